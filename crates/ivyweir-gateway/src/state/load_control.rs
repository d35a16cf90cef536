//! Whether load control is in force, and the order in which requests are served.

use ivyweir_policy::Name;
use ivyweir_policy::gateway::cascade::EscalationInput;
use ivyweir_policy::gateway::occupancy::PoolOccupancy;
use ivyweir_policy::gateway::urgency::{
    Band, PriorityBands, ShortestFirst, Urgency, UrgencyInput, UrgencyOrder,
};
use ivyweir_policy::gateway::work::Estimate;

use super::Gateway;
use crate::job::Job;
use crate::mutex::lock;
use crate::settings::LoadControl;

impl Gateway {
    /// Whether load control is in force: by the settings, or because of a contract of the platform.
    pub fn has_load_control(&self) -> bool {
        match self.settings.policy.load_control {
            LoadControl::On => true,
            LoadControl::Off => false,
            LoadControl::Auto => self.features.load_control,
        }
    }

    /// Urgency of a request with this estimate at the engines of its pool.
    pub fn urgency(&self, job: &Job, estimate: Estimate) -> Urgency {
        let now_ms = self.clock.now_ms();
        let mut input = UrgencyInput {
            priority: job.class,
            estimate,
            to_target_ms: job.target_ms().saturating_sub(now_ms),
            occupancy: 0.0,
        };
        if !self.has_load_control() {
            return ShortestFirst.urgency(&input);
        }
        input.occupancy = self.last_occupancy(job);
        PriorityBands.urgency(&input)
    }

    /// Share of escalations that the crowding of the last seconds allows to the band of a request.
    pub fn sustained_share(&self, job: &Job, input: &EscalationInput) -> f64 {
        let mut pools = lock(&self.escalation_shares);
        let shares = pools.entry(job.pool.clone()).or_default();
        shares[input.band.index()].update(input.crowding(), self.clock.now_ms())
    }

    /// Records the occupancy of a pool that the choice of an upstream found.
    pub(super) fn record_occupancy(&self, pool: &Name, occupancy: PoolOccupancy) {
        lock(&self.occupancies).insert(pool.clone(), occupancy);
    }

    /// Occupancy of a request's pool for its band, as of the last choice of an upstream: the choice for this request
    /// precedes its send. It is the last one so that all upstreams need not be counted again.
    fn last_occupancy(&self, job: &Job) -> f64 {
        let occupancies = lock(&self.occupancies);
        let occupancy = occupancies.get(&job.pool);
        occupancy.map_or(0.0, |pool| pool.up_to(Band::of_priority(job.class)))
    }
}
