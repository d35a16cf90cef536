//! Planning of the upstreams that the holder orders.

use ivyweir_policy::gateway::duty::scaling::UpstreamOrder;
use serde_json::json;

use super::Worker;

impl Worker {
    /// Plans orders for all pools with scaling.
    pub(super) fn plan(&mut self, now_ms: u64) -> Vec<UpstreamOrder> {
        let Some(site) = self
            .gateway
            .site()
            .filter(|_| self.settings.order_upstreams)
        else {
            return Vec::new();
        };
        let running = self.gateway.fleet_running_requests();
        let drained_halls = self.gateway.drained_halls();
        let mut orders = Vec::new();
        for pool in &site.site().pools {
            let Some(scaling) = &pool.scaling else {
                continue;
            };
            let in_force = self.lease.orders().iter();
            let in_force = in_force.filter(|order| order.pool == pool.name);
            let in_force: Vec<UpstreamOrder> = in_force.cloned().collect();
            let running = running
                .as_ref()
                .map(|running| running.get(&pool.name).copied().unwrap_or(0.0));
            let view =
                self.gateway
                    .pool_view(&pool.name, scaling, running, &drained_halls, &in_force);
            let planner = self.planners.entry(pool.name.clone()).or_default();
            let planned = planner.plan(&view, now_ms);
            for order in &planned {
                let detail = json!({
                    "pool": order.pool, "hall": order.hall, "spot": order.is_spot,
                    "count": order.count, "running": running,
                    "needed": planner.needed(&view),
                    "serving": view.capacity.get(&order.hall).map(|s| [s.on_demand, s.spot]),
                });
                self.gateway.log.line("upstreams_planned", detail);
            }
            orders.extend(planned);
        }
        orders
    }
}
