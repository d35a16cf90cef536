//! Occupancy of a whole pool.

use std::sync::Arc;

use super::Upstreams;
use crate::Name;
use crate::gateway::fleet::UpstreamRecord;
use crate::gateway::occupancy::least_occupancy;
use crate::gateway::placement::Candidate;

impl Upstreams {
    /// Requests of all bands per slot of the pool's usable upstreams, of all versions; `None` if there is no such
    /// upstream. Load figures of upstreams count where they exceed what boxes report. The cost grows with the pool, so it
    /// is not meant to be called for each request.
    pub fn pool_occupancy(&mut self, pool: &Name, now_ms: u64) -> Option<f64> {
        let drained_halls = &self.drained_halls;
        let is_in_service = |record: &UpstreamRecord| !drained_halls.contains(&record.hall);
        let records: Vec<Arc<UpstreamRecord>> = self.fleet.usable(pool, is_in_service);
        let candidates: Vec<Candidate> = records.iter().map(|r| self.loaded_candidate(r)).collect();
        let has_upstreams = !candidates.is_empty();
        has_upstreams.then(|| least_occupancy(&candidates, now_ms))
    }
}
