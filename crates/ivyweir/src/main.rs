//! The operator command line: `ivyweir COMMAND`.

mod args;
mod explain;
mod run;
mod show;
mod time;

use std::process::ExitCode;

use gumdrop::Options;

use args::Args;

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    if args.version {
        println!("ivyweir {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run::run(&args) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("ivyweir: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}
