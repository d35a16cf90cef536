//! How often requests may be sent again, by this box's counts and those of the fleet.

use ivyweir_policy::Name;
use ivyweir_policy::gateway::peer_report::PoolRetryCounts;
use ivyweir_policy::gateway::retry_budget::{FleetCounts, RetryCounts, RetryLimits};

use super::{Gateway, lock};

impl Gateway {
    /// Counts a request against which repeats are weighed.
    pub fn count_request(&self, pool: &Name) {
        let limits = self.repeat_limits();
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(pool.clone()).or_default();
        budget.count_request(&limits, self.clock.now_ms());
    }

    /// Takes a repeat out of the pool's budget, if there is one.
    pub fn take_repeat(&self, pool: &Name) -> bool {
        let limits = self.repeat_limits();
        let fleet = lock(&self.fleet_repeats).get(pool).copied();
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(pool.clone()).or_default();
        budget.try_take(&limits, fleet.as_ref(), self.clock.now_ms())
    }

    /// This box's part of the bounds on repeats, by the number of boxes known.
    fn repeat_limits(&self) -> RetryLimits {
        let boxes = self.peers.fleet_size();
        self.settings.bounds.retry_limits(boxes)
    }

    /// This box's own requests and repeats of the last seconds.
    pub(super) fn own_repeats(&self) -> PoolRetryCounts {
        let limits = self.repeat_limits();
        let now_ms = self.clock.now_ms();
        let mut budgets = lock(&self.budgets);
        let counts = budgets.iter_mut();
        let counts = counts.map(|(pool, budget)| (pool.clone(), budget.counts(&limits, now_ms)));
        counts
            .filter(|(_, counts)| *counts != RetryCounts::default())
            .collect()
    }

    /// Takes in what all boxes counted.
    pub(super) fn take_fleet_repeats(&self, repeats: PoolRetryCounts) {
        let received_at_ms = self.clock.now_ms();
        let fleet = repeats.into_iter();
        let fleet = fleet.map(|(pool, counts)| {
            (
                pool,
                FleetCounts {
                    counts,
                    received_at_ms,
                },
            )
        });
        *lock(&self.fleet_repeats) = fleet.collect();
    }
}
