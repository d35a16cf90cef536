//! Wall clock from which usage windows are numbered.

/// Deviation from which the machine's wall clock is considered to have stepped.
const STEP_THRESHOLD_MS: i64 = 250;
/// Time for which a step must persist before it is followed.
const STEP_CONFIRM_MS: u64 = 60_000;

/// Wall clock that follows steps of the machine's clock only after a delay, because a step may be reverted.
#[derive(Debug, Default)]
pub struct StableWallClock {
    /// Wall-clock time at which the monotonic clock was 0.
    offset_ms: Option<i64>,
    stepped_at_ms: Option<u64>,
}

impl StableWallClock {
    /// Milliseconds since the Unix epoch, given the machine's wall clock `machine_ms` and monotonic clock `now_ms`.
    pub fn epoch_ms(&mut self, machine_ms: u64, now_ms: u64) -> u64 {
        let offset_ms = machine_ms.cast_signed() - now_ms.cast_signed();
        let current_ms = *self.offset_ms.get_or_insert(offset_ms);
        let is_step = (offset_ms - current_ms).abs() > STEP_THRESHOLD_MS;
        let is_accepted = match self.stepped_at_ms {
            _ if !is_step => true,
            Some(at_ms) => now_ms >= at_ms + STEP_CONFIRM_MS,
            None => false,
        };
        if is_accepted {
            self.offset_ms = Some(offset_ms);
            self.stepped_at_ms = None;
        } else {
            self.stepped_at_ms.get_or_insert(now_ms);
        }
        let offset_ms = if is_accepted { offset_ms } else { current_ms };
        (now_ms.cast_signed() + offset_ms).max(0).unsigned_abs()
    }
}
