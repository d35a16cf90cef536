//! Rating of a sample of the answers, within the rate limit of the rating service.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};

use crate::clock::Clock;
use crate::node::Node;
use crate::version_stats::Observation;

/// Capacity of the queue; when the rating service is slow, further samples are dropped.
const MAX_QUEUED_SAMPLES: usize = 32;
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// An answer to be rated.
#[derive(Debug, Clone)]
pub struct Sample {
    /// The prompt.
    pub prompt: String,
    /// Text of the answer.
    pub answer: String,
    /// What the rating counts for: the version, the workspace and class, and the confidence bucket.
    pub observation: Observation,
    /// Quality expected of the version.
    pub expected_quality: f64,
}

/// Queue of the answers that wait to be rated.
pub struct RatingQueue {
    sender: Sender<Sample>,
    receiver: Receiver<Sample>,
    next_rating_ms: AtomicU64,
}

impl RatingQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        let (sender, receiver) = bounded(MAX_QUEUED_SAMPLES);
        Self {
            sender,
            receiver,
            next_rating_ms: AtomicU64::new(0),
        }
    }

    /// Queues an answer, or drops it if the queue is full.
    pub fn offer(&self, sample: Sample) {
        let _dropped_when_full = self.sender.try_send(sample);
    }
}

impl Default for RatingQueue {
    fn default() -> Self {
        Self::new()
    }
}

/// Has queued answers rated until the box stops.
pub fn run(node: &Node) {
    let Some(rater) = node.rater.clone() else {
        return;
    };
    while !node.is_stopped() {
        let Ok(sample) = node.rating_queue.receiver.recv_timeout(POLL_INTERVAL) else {
            continue;
        };
        wait_for_rate_limit(node);
        // A sample whose rating fails is dropped: nothing depends on a single rating.
        let Ok(score) = rater.rate(&sample.prompt, &sample.answer) else {
            continue;
        };
        node.metrics.ratings.add(1, &[]);
        let epoch_ms = Clock::epoch_ms();
        let changed = node.version_stats.record_rating(
            &sample.observation,
            score,
            sample.expected_quality,
            epoch_ms,
        );
        if changed {
            node.metrics.verdict_changes.add(1, &[]);
            log::warn!(
                "ratings changed the verdict on {}",
                sample.observation.version
            );
        }
    }
}

/// Waits until this box may request its next rating. Each serving box uses an equal share of the
/// rate limit of the fleet.
fn wait_for_rate_limit(node: &Node) {
    let fleet_rate = u64::from(node.settings.limits.ratings_per_s.max(1));
    let interval_ms = 1_000 * u64::from(node.live_boxes()) / fleet_rate;
    let now_ms = node.clock.now_ms();
    let due_ms = node
        .rating_queue
        .next_rating_ms
        .load(Ordering::Relaxed)
        .max(now_ms);
    node.pause(Duration::from_millis(due_ms - now_ms));
    node.rating_queue
        .next_rating_ms
        .store(due_ms + interval_ms, Ordering::Relaxed);
}
