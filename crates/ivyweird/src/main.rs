//! The ivyweir daemon: `ivyweird --settings FILE` runs a box, `ivyweird --gateway FILE` a gateway on
//! the users' platform.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use gumdrop::Options;
use ivyweir_adapter::{ObjectCodec, PlatformDutyCodec};
use ivyweir_gateway::native::{self, NativeCodec, NativeDutyCodec};
use ivyweir_gateway::settings_file::read_when_complete;
use ivyweir_gateway::{
    Adapter, DialectChoice, Settings as GatewaySettings, SettingsError, Signals,
};
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
    let signals = match Signals::register() {
        Ok(signals) => signals,
        Err(e) => {
            eprintln!("ivyweird: {e}");
            return ExitCode::from(EXIT_START);
        }
    };
    let args = Args::parse_args_default_or_exit();
    if args.version {
        println!("ivyweird {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if let Some(file) = args.gateway {
        return run_gateway(&file, args.check, &signals);
    }
    let Some(file) = args.settings else {
        eprintln!("ivyweird: --settings FILE or --gateway FILE is required; see --help");
        return ExitCode::from(EXIT_SETTINGS);
    };
    let read = || Settings::from_file(&file);
    let settings = match read_settings(read, args.check, &signals) {
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
    match ivyweird::run(settings, &signals) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("ivyweird: {e}");
            ExitCode::from(EXIT_START)
        }
    }
}

/// Reads settings, at a start also from a file that is still being written.
fn read_settings<T>(
    read: impl FnMut() -> Result<T, SettingsError>,
    is_check: bool,
    signals: &Signals,
) -> Result<T, SettingsError> {
    read_when_complete(read, || is_check || signals.is_stop_requested())
}

fn run_gateway(file: &Path, check: bool, signals: &Signals) -> ExitCode {
    let read = || GatewaySettings::from_file(file);
    let settings = match read_settings(read, check, signals) {
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
    match ivyweir_gateway::run(settings, adapter, signals) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("ivyweird: {e}");
            ExitCode::from(EXIT_START)
        }
    }
}
