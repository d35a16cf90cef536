//! Requests that boxes receive for a plain pool and answers that they get from it, over a short sliding window.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Name;

/// Length of the window. It holds about 1.5 answers of a box where 300 boxes share 200 answers per second, and is not
/// longer than the reports are late, so that the figures lag by no more than twice that time.
pub const WINDOW_MS: u64 = 1_000;
/// Number of buckets of the window.
const BUCKETS: u64 = 8;

/// Figures of one pool in the last window, of one box or summed over several.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolFlow {
    /// Number of boxes whose figures are included.
    pub boxes: u32,
    /// Those of them that did not start within the last seconds, so that their figures cover the whole window.
    pub settled: u32,
    /// Requests received from callers.
    pub arrived: u32,
    /// Answers received from the upstreams.
    pub answered: u32,
    /// Sum of the times from sending these requests to their answers.
    pub busy_ms: u32,
    /// Requests that wait in their boxes now.
    pub waiting: u32,
    /// Requests received in the window of the retry budget, which is longer: the share of a box follows from it.
    pub requests: u32,
}

/// Flows by pool.
pub type PoolFlows = HashMap<Name, PoolFlow>;

impl PoolFlow {
    /// Adds the figures of other boxes.
    pub fn add(&mut self, more: &Self) {
        self.boxes = self.boxes.saturating_add(more.boxes);
        self.settled = self.settled.saturating_add(more.settled);
        self.arrived = self.arrived.saturating_add(more.arrived);
        self.answered = self.answered.saturating_add(more.answered);
        self.busy_ms = self.busy_ms.saturating_add(more.busy_ms);
        self.waiting = self.waiting.saturating_add(more.waiting);
        self.requests = self.requests.saturating_add(more.requests);
    }

    /// Mean time from sending a request to its answer; `None` without answers.
    pub fn mean_ms(&self) -> Option<f64> {
        (self.answered > 0).then(|| f64::from(self.busy_ms) / f64::from(self.answered))
    }
}

/// Adds the flows `more` to `to`.
pub fn add_flows(to: &mut PoolFlows, more: &PoolFlows) {
    for (pool, flow) in more {
        to.entry(pool.clone()).or_default().add(flow);
    }
}

/// Converts a count of one window to a rate per millisecond.
pub fn per_ms(count: f64) -> f64 {
    count / WINDOW_MS as f64
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    index: u64,
    flow: PoolFlow,
}

/// Sliding window over the requests and answers of one box.
#[derive(Debug, Default)]
pub struct FlowWindow {
    buckets: VecDeque<Bucket>,
}

impl FlowWindow {
    /// Counts a request from a caller.
    pub fn record_arrival(&mut self, now_ms: u64) {
        self.current(now_ms).arrived += 1;
    }

    /// Counts an answer that came `took_ms` after its request was sent.
    pub fn record_answer(&mut self, took_ms: u64, now_ms: u64) {
        let took_ms = u32::try_from(took_ms).unwrap_or(u32::MAX);
        let flow = self.current(now_ms);
        flow.answered += 1;
        flow.busy_ms = flow.busy_ms.saturating_add(took_ms);
    }

    /// Figures of this box in the last window.
    pub fn flow(&self, now_ms: u64) -> PoolFlow {
        let current = now_ms * BUCKETS / WINDOW_MS;
        let mut sum = PoolFlow::default();
        // Without the current bucket, which covers only a part of its time: rates would be up to an eighth too low.
        let is_recent =
            |bucket: &&Bucket| bucket.index < current && bucket.index + BUCKETS >= current;
        let recent = self.buckets.iter().filter(is_recent);
        recent.for_each(|bucket| sum.add(&bucket.flow));
        PoolFlow { boxes: 1, ..sum }
    }

    fn current(&mut self, now_ms: u64) -> &mut PoolFlow {
        let index = now_ms * BUCKETS / WINDOW_MS;
        if self.buckets.back().is_none_or(|last| last.index != index) {
            self.buckets.push_back(Bucket {
                index,
                flow: PoolFlow::default(),
            });
        }
        while self.buckets.len() as u64 > BUCKETS + 1 {
            self.buckets.pop_front();
        }
        let last = self.buckets.back_mut();
        &mut last.expect("invariant: a bucket was added").flow
    }
}
