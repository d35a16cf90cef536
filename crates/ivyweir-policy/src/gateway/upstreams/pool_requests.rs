//! Requests at the upstreams of a pool.

use std::collections::HashSet;

use super::{RolloutTarget, Scope, Upstreams};
use crate::Name;
use crate::gateway::rollout::Side;
use crate::gateway::urgency::Band;

impl Upstreams {
    /// The upstreams of a pool that serve requests: id, slots, and the requests of all boxes there, from their reports or
    /// else from the upstream's last load figure. Both sides of a roll-out are included, as the requests that boxes
    /// report for the pool are those of both.
    pub fn pool_requests(
        &mut self,
        pool: &Name,
        target: Option<&RolloutTarget>,
        now_ms: u64,
    ) -> Vec<(Name, u32, f64)> {
        let mut usable = Vec::new();
        for side in [Side::Old, Side::New] {
            let scope = Scope {
                pool,
                side: Some(side),
                tried: &[],
            };
            usable.extend(self.usable(&scope, target));
        }
        let mut seen = HashSet::new();
        usable.retain(|record| seen.insert(record.id.clone()));
        let requests = usable.iter().map(|record| {
            let load = self.loaded_candidate(record).load;
            let requests = load.requests_before(Band::LAST, now_ms);
            // As for placement, an upstream that states no slots counts as one with a single slot.
            (record.id.clone(), record.slots.max(1), requests)
        });
        requests.collect()
    }
}
