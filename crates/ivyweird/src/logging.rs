//! Logs: JSON lines on standard output, one for each change of state.

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;

/// Starts logging; a second start in one process changes nothing.
pub fn start() {
    let console = ConsoleAppender::builder()
        .target(Target::Stdout)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(LevelFilter::Info))
        .expect("the configuration is complete");
    let _started_before = log4rs::init_config(config);
}
