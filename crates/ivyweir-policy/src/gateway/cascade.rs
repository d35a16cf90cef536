//! Which size of model is asked first, and when a larger one is asked again.

/// Confidence under which the largest model is asked again while there is room. Measured on quiet days
/// of both sites: 50 beat 30 and 70.
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
    /// Share of the pool's slots that are taken, 0 to 1 and above.
    pub pressure: f64,
}

/// The model to ask again, if the answer is better dropped.
pub fn escalate(doubt: &Doubt) -> Option<usize> {
    let largest = doubt.models.checked_sub(1)?;
    let confidence = doubt.confidence?;
    if doubt.model >= largest || confidence >= floor_at(doubt.pressure) {
        return None;
    }
    Some(largest)
}

/// Pressure from which the floor sinks, and at which no answer is asked again.
const PRESSURE_FROM: f64 = 0.6;
const PRESSURE_FULL: f64 = 1.2;

fn floor_at(pressure: f64) -> u8 {
    let room = (PRESSURE_FULL - pressure) / (PRESSURE_FULL - PRESSURE_FROM);
    (f64::from(CONFIDENCE_FLOOR) * room.clamp(0.0, 1.0)) as u8
}
