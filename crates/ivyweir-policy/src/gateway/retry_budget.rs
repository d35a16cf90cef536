//! Retry budget: limits retries to a share of the requests in a sliding window.
//!
//! The limit applies to the sum over all boxes. If each box keeps its retries below the ratio of its own requests, so
//! does the sum, without any communication between boxes.
//!
//! A box with little traffic would reject many retries for which the fleet has room: two uncertain answers in a row
//! already are two retries for two requests. Boxes therefore also exchange their counts, and a box that has used up its
//! own share may continue to retry while the fleet as a whole is far from the limit.
//!
//! A request that another box sends is counted there. The box that handed it over has to retry it if the other one is
//! lost, so it counts as one of its own where the fleet as a whole is the limit.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Number of buckets in the window.
const BUCKETS: u64 = 20;
/// Share of the fleet's limit below which a box may exceed its own. Counts reach all boxes within 1.8 s. If every
/// request of that time were sent three times, the fleet would reach its limit in a window of 10 s.
const FLEET_HEADROOM_SHARE: f64 = 0.6;
/// Age from which the fleet's counts are ignored.
const FLEET_MAX_AGE_MS: u64 = 1_500;
/// Maximum retries per request of a box that exceeds its own limit.
const MAX_RATIO: f64 = 1.25;
/// Retries that such a box may make in addition.
const MAX_SLACK: f64 = 2.0;

/// Limits on retries.
#[derive(Debug, Clone, Copy)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition to the ratio.
    pub slack: f64,
    /// Retries allowed in addition to the ratio for the whole fleet.
    pub fleet_slack: f64,
    /// Length of the sliding window.
    pub window_ms: u64,
}

/// Requests and retries in the last window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryCounts {
    /// Requests, each counted once regardless of retries.
    pub requests: u32,
    /// Retries.
    pub repeats: u32,
}

impl RetryCounts {
    /// Adds the counts of another box.
    pub fn add(&mut self, more: Self) {
        self.requests = self.requests.saturating_add(more.requests);
        self.repeats = self.repeats.saturating_add(more.repeats);
    }
}

/// Counts summed over all boxes.
#[derive(Debug, Clone, Copy)]
pub struct FleetCounts {
    /// Sum of the counts.
    pub counts: RetryCounts,
    /// Time at which the sum was received.
    pub received_at_ms: u64,
}

impl FleetCounts {
    /// Whether the counts are current and the fleet is far from its limit.
    fn has_room(&self, limits: &RetryLimits, now_ms: u64) -> bool {
        let allowed = limits.ratio * f64::from(self.counts.requests) + limits.fleet_slack;
        now_ms < self.received_at_ms + FLEET_MAX_AGE_MS
            && f64::from(self.counts.repeats) < FLEET_HEADROOM_SHARE * allowed
    }
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    index: u64,
    requests: u32,
    /// Requests that another box counts.
    handed_over: u32,
    retries: u32,
}

/// Retry budget of one pool on one box.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Counts a request.
    pub fn count_request(&mut self, limits: &RetryLimits, now_ms: u64) {
        self.current_bucket(limits, now_ms).requests += 1;
    }

    /// Counts a request that another box sends and counts.
    pub fn count_handed_over(&mut self, limits: &RetryLimits, now_ms: u64) {
        self.current_bucket(limits, now_ms).handed_over += 1;
    }

    /// Takes one retry out of the budget. Returns `false` if the budget is exhausted. `fleet` holds the counts of all
    /// boxes, if they are known.
    pub fn try_take(
        &mut self,
        limits: &RetryLimits,
        fleet: Option<&FleetCounts>,
        now_ms: u64,
    ) -> bool {
        let own = self.counts(limits, now_ms);
        let requests = f64::from(own.requests);
        let next = f64::from(own.repeats + 1);
        let is_within_own = next <= limits.ratio * requests + limits.slack;
        let handed_over: u32 = self.buckets.iter().map(|bucket| bucket.handed_over).sum();
        let all_requests = requests + f64::from(handed_over);
        let is_within_fleet = next <= MAX_RATIO * all_requests + MAX_SLACK
            && fleet.is_some_and(|fleet| fleet.has_room(limits, now_ms));
        if is_within_own || is_within_fleet {
            self.current_bucket(limits, now_ms).retries += 1;
        }
        is_within_own || is_within_fleet
    }

    /// Counts of this box in the last window.
    pub fn counts(&mut self, limits: &RetryLimits, now_ms: u64) -> RetryCounts {
        self.current_bucket(limits, now_ms);
        RetryCounts {
            requests: self.buckets.iter().map(|bucket| bucket.requests).sum(),
            repeats: self.buckets.iter().map(|bucket| bucket.retries).sum(),
        }
    }

    fn current_bucket(&mut self, limits: &RetryLimits, now_ms: u64) -> &mut Bucket {
        let index = now_ms * BUCKETS / limits.window_ms.max(1);
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.index + BUCKETS < index)
        {
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.index != index)
        {
            self.buckets.push_back(Bucket {
                index,
                requests: 0,
                handed_over: 0,
                retries: 0,
            });
        }
        self.buckets
            .back_mut()
            .expect("invariant: a bucket was added")
    }
}
