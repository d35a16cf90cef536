//! Inputs for planning orders of upstreams.

use std::collections::HashMap;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::duty::scaling::{PoolView, Scaling, UpstreamOrder};

use super::Gateway;
use crate::mutex::lock;

impl Gateway {
    /// Requests in progress on all boxes, by pool; `None` if there is no recent report from some hall.
    pub fn fleet_running_requests(&self) -> Option<HashMap<Name, f64>> {
        let now_ms = self.clock.now_ms();
        if !self.peers.has_reports_from_all_halls(now_ms) {
            return None;
        }
        let mut report = self.peers.sum_reports_except(|_| false, now_ms);
        report.add(&self.local_report());
        let running = report.running.into_iter();
        let running = running.map(|(pool, count)| (pool, f64::from(count)));
        Some(running.collect())
    }

    /// State of a pool for planning its upstreams.
    pub fn pool_view<'a>(
        &self,
        pool: &'a Name,
        scaling: &'a Scaling,
        running: Option<f64>,
        drained_halls: &'a [Name],
        orders: &'a [UpstreamOrder],
    ) -> PoolView<'a> {
        let now_ms = self.clock.now_ms();
        let (capacity, slots) = lock(&self.upstreams).supply(pool, now_ms);
        PoolView {
            pool,
            scaling,
            drained_halls,
            is_rolling_out: self.is_rolling_out(pool),
            capacity,
            slots,
            running,
            orders,
        }
    }

    fn is_rolling_out(&self, pool: &Name) -> bool {
        self.with_rollouts(|rollouts, _| {
            let tracker = rollouts.get(pool);
            tracker.is_some_and(|tracker| !tracker.is_over())
        })
    }
}
