//! Load and experiments: `cargo run --release --example load -- --help`.
//!
//! Open-loop load on a world of real boxes and stand-in engines. `--experiment` runs scenarios
//! against baselines, `--overhead` compares with calling the engines directly, `--size` measures
//! what a box costs at rest in fleets of several sizes.

mod cost;
mod drive;
mod overhead;
mod recover;
mod report;
mod scenario;
mod size;

use std::path::PathBuf;

use gumdrop::Options;
use ivyweir_standins::build_binaries;

/// What the tool was asked for.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(help = "scenarios against baselines, in one run", no_short)]
    experiment: bool,
    #[options(help = "added time against the engines called directly", no_short)]
    overhead: bool,
    #[options(help = "times to recover on nine boxes", no_short)]
    recover: bool,
    #[options(
        help = "cost of a box at rest, for fleets of these sizes: 3,9,18",
        meta = "LIST",
        no_short
    )]
    size: Option<String>,
    #[options(help = "wavecast or line", default = "wavecast", meta = "NAME")]
    deployment: String,
    #[options(help = "one scenario only", meta = "NAME")]
    scenario: Option<String>,
    #[options(help = "one policy only", meta = "NAME")]
    policy: Option<String>,
    #[options(help = "seconds that are measured", default = "8")]
    seconds: u64,
    #[options(help = "requests a second before the surge", default = "24")]
    rate: u64,
    #[options(help = "seed of arrivals and prompts", default = "1")]
    seed: u64,
    #[options(
        help = "folder for tables and plots",
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
