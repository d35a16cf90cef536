//! The clock of a process: it never steps, and it counts the time for which the machine is suspended.
//!
//! All ages that must not be believed too long are on it: of proofs, lists, words, sessions, cold times, deadlines,
//! budgets and kept connections. A clock that stands still in suspension would take a proof from before for a fresh
//! one, and send with a key that was withdrawn meanwhile. Timers of the runtime stand still all the same; what
//! sleeps looks at this clock when it wakes.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// A source of time that never goes back.
pub trait TimeSource: Send + Sync {
    /// Time since some moment that stays the same.
    fn elapsed(&self) -> Duration;
}

/// Time since the machine booted, suspension included.
#[derive(Debug, Clone, Copy)]
struct SinceBoot;

impl TimeSource for SinceBoot {
    fn elapsed(&self) -> Duration {
        let now = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
        let nanoseconds = u32::try_from(now.tv_nsec).unwrap_or(0);
        Duration::new(seconds, nanoseconds)
    }
}

/// Counts milliseconds since the process started.
#[derive(Clone)]
pub struct Clock {
    source: Arc<dyn TimeSource>,
    started: Duration,
}

impl Clock {
    /// A clock that starts now, on the machine's time since it booted.
    pub fn start() -> Self {
        Self::with_source(Arc::new(SinceBoot))
    }

    /// A clock that starts now, on this source.
    pub fn with_source(source: Arc<dyn TimeSource>) -> Self {
        let started = source.elapsed();
        Self { source, started }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.since_start().as_millis() as u64
    }

    /// The runtime's instant of a time of this clock, as far as no suspension comes between.
    pub fn instant(&self, at_ms: u64) -> tokio::time::Instant {
        let left = Duration::from_millis(at_ms).saturating_sub(self.since_start());
        tokio::time::Instant::now() + left
    }

    fn since_start(&self) -> Duration {
        self.source.elapsed().saturating_sub(self.started)
    }
}

impl std::fmt::Debug for Clock {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Clock")
            .field("started", &self.started)
            .finish_non_exhaustive()
    }
}

/// Time by which the clock must be ahead of the runtime's for a suspension: both are read one after the other, and
/// a process that waits for its processor in between reads them some milliseconds apart.
const SUSPENDED_MS: u64 = 100;

/// Notices that the machine was suspended: this clock went on, and the runtime's stood still.
#[derive(Debug)]
pub struct SuspensionDetector {
    clock_ms: u64,
    runtime: tokio::time::Instant,
}

impl SuspensionDetector {
    /// Notices suspensions from now on.
    pub fn start(clock: &Clock) -> Self {
        Self {
            clock_ms: clock.now_ms(),
            runtime: tokio::time::Instant::now(),
        }
    }

    /// How long the machine was suspended since the last look, if it was.
    pub fn poll(&mut self, clock: &Clock) -> Option<u64> {
        let before = std::mem::replace(self, Self::start(clock));
        let ran_ms = self.runtime.duration_since(before.runtime).as_millis() as u64;
        let suspended_ms = (self.clock_ms - before.clock_ms).saturating_sub(ran_ms);
        (suspended_ms >= SUSPENDED_MS).then_some(suspended_ms)
    }
}

/// Time of day for log lines, in milliseconds since 1970; it may step.
pub fn epoch_ms() -> u64 {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    since_1970.map_or(0, |age| age.as_millis() as u64)
}
