//! What orders of upstreams are planned by.

use std::collections::HashMap;

use crate::Name;
use crate::gateway::duty::scaling::HallCapacity;
use crate::gateway::fleet::Standing;
use crate::gateway::peer_report::Running;
use crate::gateway::upstreams::Upstreams;

impl Upstreams {
    /// A pool's upstreams that serve and are not cold, by hall, and the most requests that one of them works on.
    pub fn supply(&self, pool: &Name, now_ms: u64) -> (HashMap<Name, HallCapacity>, u32) {
        let mut supply: HashMap<Name, HallCapacity> = HashMap::new();
        let mut slots = 0;
        let of_pool = self.fleet.members().filter(|m| m.record.pool == *pool);
        let serving =
            of_pool.filter(|m| m.standing == Standing::Ready && m.cold_for_ms(now_ms) == 0);
        for record in serving.map(|member| &member.record) {
            let of_hall = supply.entry(record.hall.clone()).or_default();
            if record.is_spot {
                of_hall.spot += 1;
            } else {
                of_hall.on_demand += 1;
            }
            slots = slots.max(record.slots);
        }
        (supply, slots)
    }

    /// This box's requests under way, by pool.
    pub fn own_running(&self) -> Running {
        let mut running = Running::new();
        for (id, known) in &self.loads {
            let in_flight = known.load.in_flight();
            if in_flight > 0
                && let Some(member) = self.fleet.member(id)
            {
                *running.entry(member.record.pool.clone()).or_default() += in_flight;
            }
        }
        running
    }
}
