//! Which size of model is asked first, and when a larger one is asked again.

/// Confidence under which the largest model is asked again while there is room. Measured on quiet
/// days of both sites: 50 beat 30 and 70.
pub const CONFIDENCE_FLOOR: u8 = 50;

/// What a choice between models depends on.
#[derive(Debug, Clone, Copy)]
pub struct Doubt {
    /// The model's opinion of its own answer, 0 to 100; none where it told none.
    pub confidence: Option<u8>,
    /// The model that answered, by its place from the smallest.
    pub model: usize,
    /// Number of models.
    pub models: usize,
    /// Mean work of the pool's upstreams.
    pub mean_work_ms: f64,
}

/// The model to ask again, if the answer is better dropped.
pub fn escalate(doubt: &Doubt) -> Option<usize> {
    let largest = doubt.models.checked_sub(1)?;
    let confidence = doubt.confidence?;
    if doubt.model >= largest || confidence >= floor_at(doubt.mean_work_ms) {
        return None;
    }
    Some(largest)
}

/// Mean work from which the floor sinks, and at which no answer is asked again.
const WORK_FROM_MS: f64 = 1_500.0;
const WORK_FULL_MS: f64 = 5_000.0;

fn floor_at(mean_work_ms: f64) -> u8 {
    let room = (WORK_FULL_MS - mean_work_ms) / (WORK_FULL_MS - WORK_FROM_MS);
    (f64::from(CONFIDENCE_FLOOR) * room.clamp(0.0, 1.0)) as u8
}
