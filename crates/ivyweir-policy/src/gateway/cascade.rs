//! Which size of model is asked first, and when a larger one is asked again.
//!
//! The smallest model answers first and tells how sure it is. Where it is unsure, the largest is asked
//! instead, unless its answer would come late: it reads six to ten times as slowly, and what it reads
//! holds up all others.

/// Confidence under which the largest model is asked again while there is room, unless the settings name
/// another: the middle of the scale, below which a model takes its answer for bad rather than good. Two
/// of three answers told at 40 to 50 were bad, and one of seven at 50 to 60, where asking costs more.
pub const CONFIDENCE_FLOOR: u8 = 50;
/// The highest confidence.
pub const CONFIDENCE_FULL: u8 = 100;

/// Wait for the larger model, as part of the time that is left until an answer is late, from which the
/// floor sinks, and at which no answer is asked again. Against a floor that sinks with the pool's
/// backlog alone, a seventh to a quarter fewer answers came late on three deployments.
const WAIT_FROM: f64 = 0.5;
const WAIT_FULL: f64 = 1.5;

/// What a choice between models depends on.
#[derive(Debug, Clone, Copy)]
pub struct Doubt {
    /// The model's opinion of its own answer, 0 to 100; none where it told none.
    pub confidence: Option<u8>,
    /// Confidence under which the largest model is asked while there is room.
    pub floor: u8,
    /// The model that answered, by its place from the smallest.
    pub model: usize,
    /// Number of models.
    pub models: usize,
    /// Expected time until the largest model's first token: the pool's mean backlog and the reading.
    pub wait_ms: f64,
    /// Time until an answer is late.
    pub left_ms: f64,
}

/// The model to ask again, if the answer is better dropped.
pub fn escalate(doubt: &Doubt) -> Option<usize> {
    let largest = doubt.models.checked_sub(1)?;
    let confidence = doubt.confidence?;
    if doubt.model >= largest || confidence >= floor_now(doubt) {
        return None;
    }
    Some(largest)
}

/// The floor with the room that there is. An answer that is late already is never asked again.
fn floor_now(doubt: &Doubt) -> u8 {
    if doubt.left_ms <= 0.0 {
        return 0;
    }
    let wait = doubt.wait_ms / doubt.left_ms;
    let room = (WAIT_FULL - wait) / (WAIT_FULL - WAIT_FROM);
    (f64::from(doubt.floor) * room.clamp(0.0, 1.0)) as u8
}
