//! Inputs for planning how many upstreams to order.

use std::collections::HashMap;

use crate::Name;
use crate::gateway::duty::scaling::HallCapacity;
use crate::gateway::fleet::MemberState;
use crate::gateway::peer_report::Running;
use crate::gateway::upstreams::Upstreams;

impl Upstreams {
    /// Number of a pool's ready upstreams that are not cold, by hall, and the highest slot count among them.
    pub fn supply(&self, pool: &Name, now_ms: u64) -> (HashMap<Name, HallCapacity>, u32) {
        let mut capacity: HashMap<Name, HallCapacity> = HashMap::new();
        let mut slots = 0;
        let of_pool = self.fleet.members().filter(|m| m.record.pool == *pool);
        let serving =
            of_pool.filter(|m| m.state == MemberState::Ready && m.cold_for_ms(now_ms) == 0);
        for record in serving.map(|member| &member.record) {
            let hall_capacity = capacity.entry(record.hall.clone()).or_default();
            if record.is_spot {
                hall_capacity.spot += 1;
            } else {
                hall_capacity.on_demand += 1;
            }
            slots = slots.max(record.slots);
        }
        (capacity, slots)
    }

    /// Number of this box's requests in flight, by pool.
    pub fn local_running(&self) -> Running {
        let mut running = Running::new();
        for (id, state) in &self.states {
            let in_flight = state.load.in_flight();
            if in_flight > 0
                && let Some(member) = self.fleet.member(id)
            {
                *running.entry(member.record.pool.clone()).or_default() += in_flight;
            }
        }
        running
    }
}
