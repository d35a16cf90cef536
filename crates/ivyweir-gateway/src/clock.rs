//! The steady clock of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Counts milliseconds since the process started; never steps.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// The instant of a time of this clock.
    pub fn instant(&self, at_ms: u64) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.started + Duration::from_millis(at_ms))
    }
}

/// Time of day for log lines, in milliseconds since 1970; it may step.
pub fn epoch_ms() -> u64 {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    since_1970.map_or(0, |age| age.as_millis() as u64)
}
