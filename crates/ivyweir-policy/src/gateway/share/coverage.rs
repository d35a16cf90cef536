//! How much of the fleet the reports of work by workspace cover.

/// Part of the fleet's boxes below which the reports are incomplete.
const INCOMPLETE_BELOW: f64 = 0.8;
/// Part of the fleet's boxes from which they are complete again.
const COMPLETE_FROM: f64 = 0.9;
/// Time for which reports must be incomplete before this is stated. A lost relay is replaced within 1.5 s.
const INCOMPLETE_AFTER_MS: u64 = 3_000;

/// Time for which the largest size of the fleet counts after it was last known. A hall that is cut off with a seed of
/// its own forgets the other boxes 20 s after their last renewal, and would then take its own reports for complete.
/// After a fleet was made smaller, reports look incomplete for this time; that changes only figures in the log and
/// in metrics, as all workspaces are scaled alike.
const FLEET_SIZE_HOLD_MS: u64 = 300_000;

/// The largest size of the fleet in the last minutes.
#[derive(Debug, Default)]
pub(super) struct LargestFleet {
    size: usize,
    known_at_ms: u64,
}

impl LargestFleet {
    /// Updates the size with the one that is known now; returns the largest one.
    pub(super) fn update(&mut self, size: usize, now_ms: u64) -> usize {
        if size >= self.size || now_ms >= self.known_at_ms + FLEET_SIZE_HOLD_MS {
            self.size = size;
            self.known_at_ms = now_ms;
        }
        self.size
    }
}

/// Boxes whose work is included in the shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Coverage {
    /// Boxes whose work is included, with this one.
    pub boxes: u32,
    /// Boxes of the fleet: the largest number in the last 5 min.
    pub fleet_size: u32,
}

impl Coverage {
    /// Factor by which the included work is multiplied: the missing boxes are assumed to do the same work.
    pub fn scale(&self) -> f64 {
        let fleet_size = self.fleet_size.max(1);
        f64::from(fleet_size) / f64::from(self.boxes.clamp(1, fleet_size))
    }

    fn included_part(&self) -> f64 {
        f64::from(self.boxes) / f64::from(self.fleet_size.max(1))
    }
}

/// Follows whether the coverage is too low for long enough to be stated.
#[derive(Debug, Default)]
pub(super) struct CoverageWatch {
    incomplete_since_ms: Option<u64>,
    is_incomplete: bool,
}

impl CoverageWatch {
    /// Updates the state; returns it if it changed: whether the reports are incomplete.
    pub(super) fn update(&mut self, coverage: &Coverage, now_ms: u64) -> Option<bool> {
        let limit = if self.is_incomplete {
            COMPLETE_FROM
        } else {
            INCOMPLETE_BELOW
        };
        if coverage.included_part() >= limit {
            self.incomplete_since_ms = None;
            return std::mem::take(&mut self.is_incomplete).then_some(false);
        }
        let since_ms = *self.incomplete_since_ms.get_or_insert(now_ms);
        if self.is_incomplete || now_ms < since_ms + INCOMPLETE_AFTER_MS {
            return None;
        }
        self.is_incomplete = true;
        Some(true)
    }
}
