//! Retry budgets, from this box's counts and those of the fleet.

use ivyweir_policy::Name;
use ivyweir_policy::gateway::peer_report::PoolRetryCounts;
use ivyweir_policy::gateway::retry_budget::{FleetCounts, RetryCounts, RetryLimits};

use super::Gateway;
use crate::mutex::lock;

impl Gateway {
    /// Counts a request towards the retry budget of its pool.
    pub fn count_request(&self, pool: &Name) {
        let limits = self.retry_limits();
        let mut budgets = lock(&self.retry_budgets);
        let budget = budgets.entry(pool.clone()).or_default();
        budget.count_request(&limits, self.clock.now_ms());
    }

    /// Counts a request that another box sends and counts, for the retries of this one.
    pub fn count_handed_over(&self, pool: &Name) {
        let limits = self.retry_limits();
        let mut budgets = lock(&self.retry_budgets);
        let budget = budgets.entry(pool.clone()).or_default();
        budget.count_handed_over(&limits, self.clock.now_ms());
    }

    /// Takes a retry from the budget of a pool; returns whether one was available.
    pub fn try_take_retry(&self, pool: &Name) -> bool {
        let limits = self.retry_limits();
        let fleet = lock(&self.fleet_retry_counts).get(pool).copied();
        let mut budgets = lock(&self.retry_budgets);
        let budget = budgets.entry(pool.clone()).or_default();
        budget.try_take(&limits, fleet.as_ref(), self.clock.now_ms())
    }

    /// Requests of this box to a pool in the window of the retry budget, and the length of that window.
    pub(super) fn recent_requests(&self, pool: &Name) -> (u32, u64) {
        let limits = self.retry_limits();
        let now_ms = self.clock.now_ms();
        let mut budgets = lock(&self.retry_budgets);
        let budget = budgets.get_mut(pool);
        let requests = budget.map_or(0, |budget| budget.counts(&limits, now_ms).requests);
        (requests, limits.window_ms)
    }

    /// This box's share of the bounds on retries, from the number of known boxes.
    fn retry_limits(&self) -> RetryLimits {
        let boxes = self.peers.fleet_size();
        self.settings.bounds.retry_limits(boxes)
    }

    /// Requests and retries of this box in the last window.
    pub(super) fn local_retry_counts(&self) -> PoolRetryCounts {
        let limits = self.retry_limits();
        let now_ms = self.clock.now_ms();
        let mut budgets = lock(&self.retry_budgets);
        let counts = budgets.iter_mut();
        let counts = counts.map(|(pool, budget)| (pool.clone(), budget.counts(&limits, now_ms)));
        counts
            .filter(|(_, counts)| *counts != RetryCounts::default())
            .collect()
    }

    /// Replaces the retry counts of all boxes.
    pub(super) fn set_fleet_retry_counts(&self, counts: PoolRetryCounts) {
        let received_at_ms = self.clock.now_ms();
        let fleet = counts.into_iter();
        let fleet = fleet.map(|(pool, counts)| {
            (
                pool,
                FleetCounts {
                    counts,
                    received_at_ms,
                },
            )
        });
        *lock(&self.fleet_retry_counts) = fleet.collect();
    }
}
