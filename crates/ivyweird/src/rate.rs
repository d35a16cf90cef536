//! Ratings: a sample of the answers, within the rating service's limit.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};

use crate::clock::Clock;
use crate::node::Node;
use crate::version_stats::Observation;

/// Samples that wait; with a slow rating service later ones are dropped.
const MAX_WAITING: usize = 32;
const POLL: Duration = Duration::from_millis(200);

/// An answer that may be rated.
#[derive(Debug, Clone)]
pub struct Sample {
    /// The prompt.
    pub prompt: String,
    /// The answer's text.
    pub answer: String,
    /// What it is counted under.
    pub observation: Observation,
    /// What its version should give.
    pub expected: f64,
}

/// Answers that wait for a rating.
pub struct RatingQueue {
    sender: Sender<Sample>,
    receiver: Receiver<Sample>,
    next_ms: AtomicU64,
}

impl RatingQueue {
    /// Nothing waits.
    pub fn new() -> Self {
        let (sender, receiver) = bounded(MAX_WAITING);
        Self {
            sender,
            receiver,
            next_ms: AtomicU64::new(0),
        }
    }

    /// Offers an answer; it is dropped when enough wait.
    pub fn offer(&self, sample: Sample) {
        let _dropped_when_full = self.sender.try_send(sample);
    }
}

impl Default for RatingQueue {
    fn default() -> Self {
        Self::new()
    }
}

/// Has answers rated for as long as the box runs.
pub fn rate(node: &Node) {
    let Some(rater) = node.rater.clone() else {
        return;
    };
    while !node.is_stopped() {
        let Ok(sample) = node.ratings.receiver.recv_timeout(POLL) else {
            continue;
        };
        wait_turn(node);
        // A rating that fails is a rating less; nothing waits for it.
        let Ok(score) = rater.rate(&sample.prompt, &sample.answer) else {
            continue;
        };
        node.metrics.ratings.add(1, &[]);
        let epoch_ms = Clock::epoch_ms();
        let changed =
            node.learning
                .record_rating(&sample.observation, score, sample.expected, epoch_ms);
        if changed {
            node.metrics.verdict_changes.add(1, &[]);
            log::warn!(
                "ratings changed the verdict on {}",
                sample.observation.version
            );
        }
    }
}

/// Keeps this box's share of the fleet's rate.
fn wait_turn(node: &Node) {
    let fleet_rate = u64::from(node.settings.limits.ratings_per_s.max(1));
    let interval_ms = 1_000 * u64::from(node.live_boxes()) / fleet_rate;
    let now_ms = node.clock.now_ms();
    let due_ms = node.ratings.next_ms.load(Ordering::Relaxed).max(now_ms);
    node.pause(Duration::from_millis(due_ms - now_ms));
    node.ratings
        .next_ms
        .store(due_ms + interval_ms, Ordering::Relaxed);
}
