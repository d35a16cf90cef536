//! What a box knows of the queue of a plain upstream: its learned length and the last load figure.
//!
//! The record of an upstream states its slots only. A load figure with more waiting requests than were known to fit
//! raises the learned length to that number; a refusal whose load figure states the waiting requests sets it to that
//! number, since the queue was full there. A refusal without a figure lowers it by a quarter.

use crate::gateway::statement::ReportedLoad;

/// Age at which a load figure is older than the reports of other boxes, which are 0.5 to 1.8 s old.
const FIGURE_MAX_AGE_MS: u64 = 600;
/// Factor of the learned length after a refusal without a load figure.
const BLIND_REFUSAL_FACTOR: f64 = 0.75;
/// Assumed length of a queue that is not learned yet, in slots: it delays a request by no more than two others.
const UNKNOWN_LENGTH_SLOTS: f64 = 2.0;
/// Part of the learned queue that is used. The rest takes what boxes send before they know of each other's sends.
const USED_PART: f64 = 0.5;

/// Queue of one upstream, as learned from its answers.
#[derive(Debug, Clone, Default)]
pub struct QueueLimit {
    /// Length of the queue, once a refusal showed it.
    length: Option<f64>,
    /// Highest number of waiting requests of a load figure.
    most_waiting: f64,
    figure: Option<(u32, u64)>,
}

impl QueueLimit {
    /// Records the load figure of an answer.
    pub fn record_load(&mut self, load: ReportedLoad, now_ms: u64) {
        self.figure = Some((load.running + load.waiting, now_ms));
        let waiting = f64::from(load.waiting);
        self.most_waiting = self.most_waiting.max(waiting);
        self.length = self.length.map(|length| length.max(waiting));
    }

    /// Records that the upstream refused a request. If its load figure shows a free slot, the refusal had another reason.
    pub fn record_refusal(&mut self, load: Option<ReportedLoad>, slots: u32) {
        let length = match load {
            Some(load) if load.running < slots => return,
            Some(load) => f64::from(load.waiting),
            None => self.length(slots) * BLIND_REFUSAL_FACTOR,
        };
        self.length = Some(length);
    }

    /// Number of requests that may be queued by all boxes together.
    pub fn usable(&self, slots: u32) -> f64 {
        self.length(slots) * USED_PART
    }

    fn length(&self, slots: u32) -> f64 {
        let unknown = f64::from(slots) * UNKNOWN_LENGTH_SLOTS;
        self.length.unwrap_or(unknown.max(self.most_waiting))
    }

    /// The requests of all boxes at the upstream according to its last load figure, if that is younger than reports are.
    pub fn recent_figure(&self, now_ms: u64) -> Option<f64> {
        let (present, at_ms) = self.figure?;
        (now_ms < at_ms + FIGURE_MAX_AGE_MS).then_some(f64::from(present))
    }
}
