//! A monotonic clock, and the wall-clock time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic clock of one process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
}

/// First value of [`Clock::now_ms`]. It is above 0, so that 0 can stand for "never".
const MONOTONIC_BASE_MS: u64 = 1_000_000;

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Monotonic time in milliseconds, comparable within this process only.
    pub fn now_ms(&self) -> u64 {
        MONOTONIC_BASE_MS + self.started.elapsed().as_millis() as u64
    }

    /// Milliseconds since the Unix epoch, by the wall clock of the machine.
    pub fn epoch_ms() -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        since_epoch.unwrap_or(Duration::ZERO).as_millis() as u64
    }
}
