//! The ivyweir daemon: `ivyweird --settings FILE` runs a box, `ivyweird --gateway FILE` a gateway on
//! the users' platform.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use gumdrop::Options;
use ivyweir_adapter::{ObjectCodec, PlatformDutyCodec};
use ivyweir_gateway::native::{self, NativeCodec, NativeDutyCodec};
use ivyweir_gateway::{Adapter, DialectChoice, Settings as GatewaySettings};
use ivyweird::Settings;

/// Exit code for missing or invalid settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code when the daemon fails to start.
const EXIT_START: u8 = 1;

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file (JSON)", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(
        help = "run as a gateway, with this settings file (JSON)",
        meta = "FILE"
    )]
    gateway: Option<PathBuf>,
    #[options(help = "check the settings file and exit", no_short)]
    check: bool,
    #[options(help = "print the version", no_short)]
    version: bool,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    if args.version {
        println!("ivyweird {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if let Some(file) = args.gateway {
        return run_gateway(&file, args.check);
    }
    let Some(file) = args.settings else {
        eprintln!("ivyweird: --settings FILE or --gateway FILE is required; see --help");
        return ExitCode::from(EXIT_SETTINGS);
    };
    let settings = match Settings::from_file(&file) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("ivyweird: {e}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check {
        println!("{}: ok", file.display());
        return ExitCode::SUCCESS;
    }
    match ivyweird::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("ivyweird: {e}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn run_gateway(file: &Path, check: bool) -> ExitCode {
    let settings = match GatewaySettings::from_file(file) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("ivyweird: {e}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if check {
        println!("{}: ok", file.display());
        return ExitCode::SUCCESS;
    }
    let adapter = match settings.dialect {
        DialectChoice::Native => Adapter {
            dialect: Arc::new(native::dialect()),
            store: Arc::new(NativeCodec),
            duties: Arc::new(NativeDutyCodec),
        },
        DialectChoice::Platform => Adapter {
            dialect: Arc::new(ivyweir_adapter::dialect()),
            store: Arc::new(ObjectCodec::new(settings.store_addr)),
            duties: Arc::new(PlatformDutyCodec),
        },
    };
    match ivyweir_gateway::run(settings, adapter) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("ivyweird: {e}");
            ExitCode::from(EXIT_START)
        }
    }
}
