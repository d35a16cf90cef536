//! Signals to the process, which are caught from its start on.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;

/// Signals that the process has received.
///
/// Until a signal has a handler, it ends the process. So the handlers are registered before anything that takes time,
/// such as reading the settings.
#[derive(Debug, Clone, Default)]
pub struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Registers the handlers: SIGTERM and SIGINT stop the process as planned, SIGHUP reloads its settings.
    ///
    /// # Errors
    ///
    /// When a handler cannot be registered.
    pub fn register() -> io::Result<Self> {
        let signals = Self::default();
        flag::register(SIGTERM, signals.stop.clone())?;
        flag::register(SIGINT, signals.stop.clone())?;
        flag::register(SIGHUP, signals.reload.clone())?;
        Ok(signals)
    }

    /// The flag that is set by a signal to stop.
    pub fn stop_flag(&self) -> Arc<AtomicBool> {
        self.stop.clone()
    }

    /// Whether there was a signal to stop.
    pub fn is_stop_requested(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Whether there was a signal to reload the settings since the previous call.
    pub fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
