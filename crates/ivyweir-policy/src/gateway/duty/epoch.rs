//! The time of day by which windows are numbered.

/// Difference from which the time of day is taken to have stepped.
const STEP_MS: i64 = 250;
/// Time for which a step must last before it is believed.
const BELIEVED_MS: u64 = 60_000;

/// A time of day that does not follow steps of the machine's at once: they may be taken back.
#[derive(Debug, Default)]
pub struct SteadyEpoch {
    /// The time of day when the steady clock was 0.
    offset_ms: Option<i64>,
    stepped_at_ms: Option<u64>,
}

impl SteadyEpoch {
    /// Milliseconds since 1970, where the machine's time of day is `machine_ms` when its steady clock is
    /// `now_ms`.
    pub fn epoch_ms(&mut self, machine_ms: u64, now_ms: u64) -> u64 {
        let offset_ms = machine_ms.cast_signed() - now_ms.cast_signed();
        let kept_ms = *self.offset_ms.get_or_insert(offset_ms);
        let is_step = (offset_ms - kept_ms).abs() > STEP_MS;
        let is_believed = match self.stepped_at_ms {
            _ if !is_step => true,
            Some(at_ms) => now_ms >= at_ms + BELIEVED_MS,
            None => false,
        };
        if is_believed {
            self.offset_ms = Some(offset_ms);
            self.stepped_at_ms = None;
        } else {
            self.stepped_at_ms.get_or_insert(now_ms);
        }
        let offset_ms = if is_believed { offset_ms } else { kept_ms };
        (now_ms.cast_signed() + offset_ms).max(0).unsigned_abs()
    }
}
