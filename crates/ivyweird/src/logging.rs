//! Logging as JSON lines on standard output, one for each change of state.

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;

/// Initializes logging. Further calls in the same process have no effect.
pub fn init() {
    let console = ConsoleAppender::builder()
        .target(Target::Stdout)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(LevelFilter::Info))
        .expect("the logging configuration is valid");
    let _already_initialized = log4rs::init_config(config);
}
