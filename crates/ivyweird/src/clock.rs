//! Time: a clock that never goes back, and the time of day.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The times of one process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
}

/// Start of [`Clock::now_ms`], so that "never" can be 0.
const OFFSET_MS: u64 = 1_000_000;

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Milliseconds that never go back; comparable within this process only.
    pub fn now_ms(&self) -> u64 {
        OFFSET_MS + self.started.elapsed().as_millis() as u64
    }

    /// Milliseconds since the epoch, by the box's wall clock.
    pub fn epoch_ms() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.unwrap_or(Duration::ZERO).as_millis() as u64
    }
}
