//! Load generator and experiments: `cargo run --release --example load -- --help`.
//!
//! Sends open-loop load to real boxes in front of stand-in engines. `--experiment` runs scenarios
//! against baselines, `--overhead` compares with calling the engines directly, `--recover` measures
//! recovery times on nine boxes, `--size` measures the resource use of an idle box in fleets of
//! several sizes.

mod cost;
mod driver;
mod overhead;
mod recover;
mod report;
mod scenario;
mod size;

use std::path::PathBuf;

use gumdrop::Options;
use ivyweir_standins::build_binaries;

/// Command-line options.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "run the scenarios, each with its baselines, in one run",
        no_short
    )]
    experiment: bool,
    #[options(
        help = "measure the latency added over calling the engines directly",
        no_short
    )]
    overhead: bool,
    #[options(help = "measure recovery times on nine boxes", no_short)]
    recover: bool,
    #[options(
        help = "measure the resource use of an idle box in fleets of these sizes, such as 3,9,18",
        meta = "LIST",
        no_short
    )]
    size: Option<String>,
    #[options(
        help = "deployment to run: wavecast or line",
        default = "wavecast",
        meta = "NAME"
    )]
    deployment: String,
    #[options(help = "run only this scenario", meta = "NAME")]
    scenario: Option<String>,
    #[options(help = "run only this policy", meta = "NAME")]
    policy: Option<String>,
    #[options(help = "length of the measured phase in seconds", default = "8")]
    seconds: u64,
    #[options(help = "requests per second before the surge", default = "24")]
    rate: u64,
    #[options(help = "seed for arrivals and prompts", default = "1")]
    seed: u64,
    #[options(
        help = "output directory for tables and plots",
        default = "target/load",
        meta = "DIR"
    )]
    out: PathBuf,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args = Args::parse_args_default_or_exit();
    let binary = build_binaries()?.join("ivyweird");
    std::fs::create_dir_all(&args.out)?;
    if args.overhead {
        return overhead::run(&args, &binary);
    }
    if args.recover {
        return recover::run(&args, &binary);
    }
    if let Some(sizes) = &args.size {
        return size::run(&args, &binary, sizes);
    }
    scenario::run(&args, &binary)
}
