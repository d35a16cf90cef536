//! What orders of upstreams are planned by.

use std::collections::HashMap;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::duty::scaling::{PoolView, Scaling, UpstreamOrder};

use super::{Gateway, lock};

impl Gateway {
    /// Requests under way over all boxes, by pool; none where some hall was not heard lately.
    pub fn fleet_running(&self) -> Option<HashMap<Name, f64>> {
        let now_ms = self.clock.now_ms();
        if !self.peers.has_reports_from_all_halls(now_ms) {
            return None;
        }
        let mut word = self.peers.sum_reports_except(|_| false, now_ms);
        word.add(&self.own_word());
        let running = word.running.into_iter();
        let running = running.map(|(pool, count)| (pool, f64::from(count)));
        Some(running.collect())
    }

    /// A pool as the holder of duties sees it.
    pub fn pool_view<'a>(
        &self,
        pool: &'a Name,
        scaling: &'a Scaling,
        running: Option<f64>,
        drained_halls: &'a [Name],
        orders: &'a [UpstreamOrder],
    ) -> PoolView<'a> {
        let now_ms = self.clock.now_ms();
        let (supply, slots) = lock(&self.upstreams).supply(pool, now_ms);
        PoolView {
            pool,
            scaling,
            drained_halls,
            is_rolling_out: self.is_rolling_out(pool),
            capacity: supply,
            slots,
            running,
            orders,
        }
    }

    fn is_rolling_out(&self, pool: &Name) -> bool {
        self.with_rollouts(|rollouts, _| {
            let track = rollouts.get(pool);
            track.is_some_and(|track| !track.is_over())
        })
    }
}
