//! When the usage of a window is fixed, so that it may be reported.
//!
//! A report is never corrected: what is fixed is all that is ever told of a window. So it is fixed late enough
//! for the counts of boxes that are slow or cut off for a while, and early enough that another holder can
//! still send it in time.

use std::ops::Range;

/// Part of the time between a window's end and when its report is due, after which it is fixed.
const SETTLED: f64 = 0.4;
/// The same where the box has not heard all others yet.
const SETTLED_UNHEARD: f64 = 0.7;
/// Time for which a box must have been hearing others to have heard all of them.
const HEARD_ALL_MS: u64 = 3_000;
/// Windows whose counts are kept beyond the time in which they are due: a late report is better than none.
const KEPT_LATE_WINDOWS: u64 = 4;

/// What is asked for of usage.
#[derive(Debug, Clone, Copy)]
pub struct UsageTerms {
    /// Length of a window.
    pub window_ms: u64,
    /// Time between a window's end and when its report is due.
    pub late_ms: u64,
}

impl UsageTerms {
    /// The window of a time of day.
    pub fn window_at(&self, epoch_ms: u64) -> u64 {
        epoch_ms / self.window_ms.max(1)
    }

    /// The oldest window whose counts are kept.
    pub fn oldest_kept(&self, epoch_ms: u64) -> u64 {
        let late = self.late_ms.div_ceil(self.window_ms.max(1));
        self.window_at(epoch_ms)
            .saturating_sub(late + KEPT_LATE_WINDOWS)
    }

    /// The windows to fix now, oldest first: those behind `fixed`, or from `first` on where none was ever
    /// fixed. `hearing_ms` is for how long this box has been hearing the counts of others.
    pub fn to_fix(
        &self,
        fixed: Option<u64>,
        first: Option<u64>,
        hearing_ms: u64,
        epoch_ms: u64,
    ) -> Range<u64> {
        let settled = if hearing_ms >= HEARD_ALL_MS {
            SETTLED
        } else {
            SETTLED_UNHEARD
        };
        let settle_ms = (self.late_ms as f64 * settled) as u64;
        let ended = self.window_at(epoch_ms.saturating_sub(settle_ms));
        let oldest = self.oldest_kept(epoch_ms);
        match fixed.map(|window| window + 1).or(first) {
            Some(next) => next.max(oldest)..ended,
            None => 0..0,
        }
    }
}
