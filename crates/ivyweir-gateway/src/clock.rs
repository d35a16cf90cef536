//! Monotonic clock that includes the time for which the machine is suspended.
//!
//! It measures everything that expires: proofs, lists, messages of other boxes, sessions, cold
//! periods, deadlines, budgets and pooled connections. With a clock that stops during suspension, a
//! box would take an old proof for a fresh one and forward requests with a key that was withdrawn
//! meanwhile. The timers of the async runtime do stop, so a task checks this clock when it wakes
//! up.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// A monotonic time source.
pub trait TimeSource: Send + Sync {
    /// Returns the time since a fixed moment.
    fn elapsed(&self) -> Duration;
}

/// Time since the machine booted, including suspension.
#[derive(Debug, Clone, Copy)]
struct BootTimeSource;

impl TimeSource for BootTimeSource {
    fn elapsed(&self) -> Duration {
        let now = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
        let nanoseconds = u32::try_from(now.tv_nsec).unwrap_or(0);
        Duration::new(seconds, nanoseconds)
    }
}

/// Clock that counts milliseconds since its start.
#[derive(Clone)]
pub struct Clock {
    source: Arc<dyn TimeSource>,
    started: Duration,
}

impl Clock {
    /// Starts a clock on the machine's boot time.
    pub fn start() -> Self {
        Self::with_source(Arc::new(BootTimeSource))
    }

    /// Starts a clock on the given time source.
    pub fn with_source(source: Arc<dyn TimeSource>) -> Self {
        let started = source.elapsed();
        Self { source, started }
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.since_start().as_millis() as u64
    }

    /// Converts a time of this clock to an instant of the async runtime, which is correct unless
    /// the machine is suspended in between.
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

/// Minimum lead of this clock over the runtime's that counts as a suspension. The clocks are read
/// one after the other, so they differ by some milliseconds if the process is descheduled in
/// between.
const MIN_SUSPENSION_MS: u64 = 100;

/// Detects that the machine was suspended, from the lead of this clock over the runtime's.
#[derive(Debug)]
pub struct SuspensionDetector {
    clock_ms: u64,
    runtime: tokio::time::Instant,
}

impl SuspensionDetector {
    /// Starts detecting suspensions.
    pub fn start(clock: &Clock) -> Self {
        Self {
            clock_ms: clock.now_ms(),
            runtime: tokio::time::Instant::now(),
        }
    }

    /// Returns how long the machine was suspended since the previous call, if it was.
    pub fn poll(&mut self, clock: &Clock) -> Option<u64> {
        let before = std::mem::replace(self, Self::start(clock));
        let runtime_ms = self.runtime.duration_since(before.runtime).as_millis() as u64;
        let suspended_ms = (self.clock_ms - before.clock_ms).saturating_sub(runtime_ms);
        (suspended_ms >= MIN_SUSPENSION_MS).then_some(suspended_ms)
    }
}

/// Wall-clock time for log lines, in milliseconds since 1970. It may jump.
pub fn epoch_ms() -> u64 {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    since_1970.map_or(0, |age| age.as_millis() as u64)
}
