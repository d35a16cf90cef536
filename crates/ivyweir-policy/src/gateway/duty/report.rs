//! Time at which the usage of a window is fixed and may be reported.
//!
//! Reports are never corrected, so the fixed counts of a window are final. A window is fixed late enough to include the
//! counts of boxes that are slow or temporarily disconnected, and early enough that another holder can still send the
//! report in time.

use std::ops::Range;

/// Share of the time between the end of a window and its report deadline after which the window is fixed.
const FIX_DELAY_SHARE: f64 = 0.4;
/// The same share while the box may not have received the counts of all others yet.
const FIX_DELAY_SHARE_INCOMPLETE: f64 = 0.7;
/// Time after which a box that receives counts has received those of all others.
const COMPLETE_AFTER_MS: u64 = 3_000;
/// Number of windows that are kept beyond their report deadline, because a late report is better than none.
const OVERDUE_WINDOWS: u64 = 4;

/// Schedule of usage reports.
#[derive(Debug, Clone, Copy)]
pub struct UsageSchedule {
    /// Length of a usage window.
    pub window_ms: u64,
    /// Time between the end of a window and its report deadline.
    pub late_ms: u64,
}

impl UsageSchedule {
    /// Number of the window that contains the wall-clock time `epoch_ms`.
    pub fn window_at(&self, epoch_ms: u64) -> u64 {
        epoch_ms / self.window_ms.max(1)
    }

    /// Oldest window whose counts are kept.
    pub fn oldest_kept(&self, epoch_ms: u64) -> u64 {
        let late = self.late_ms.div_ceil(self.window_ms.max(1));
        self.window_at(epoch_ms)
            .saturating_sub(late + OVERDUE_WINDOWS)
    }

    /// The windows to fix now, oldest first. They start after `fixed`, or at `first` if no window was ever fixed.
    /// `receiving_ms` is the time for which this box has been receiving the counts of others.
    pub fn windows_to_fix(
        &self,
        fixed: Option<u64>,
        first: Option<u64>,
        receiving_ms: u64,
        epoch_ms: u64,
    ) -> Range<u64> {
        let delay_share = if receiving_ms >= COMPLETE_AFTER_MS {
            FIX_DELAY_SHARE
        } else {
            FIX_DELAY_SHARE_INCOMPLETE
        };
        let delay_ms = (self.late_ms as f64 * delay_share) as u64;
        let ended = self.window_at(epoch_ms.saturating_sub(delay_ms));
        let oldest = self.oldest_kept(epoch_ms);
        match fixed.map(|window| window + 1).or(first) {
            Some(next) => next.max(oldest)..ended,
            None => 0..0,
        }
    }
}
