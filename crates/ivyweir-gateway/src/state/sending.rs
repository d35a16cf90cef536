//! Where requests may be sent: drained halls, cold upstreams, and the choice among the rest.

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::pace::PrefillPace;
use ivyweir_policy::gateway::placement::PlacementRequest;
use ivyweir_policy::gateway::quarantine::Fingerprint;
use ivyweir_policy::gateway::quota::{self, QuotaShare};
use ivyweir_policy::gateway::upstreams::{Choice, ChooseError, Scope, SendDenied, SendRules};
use ivyweir_policy::gateway::work::Estimate;
use serde_json::json;

use super::{Gateway, lock};
use crate::job::Job;

impl Gateway {
    /// Halls that are drained.
    pub fn drained_halls(&self) -> Vec<Name> {
        lock(&self.upstreams).drained_halls()
    }

    /// Sends nothing more to the upstreams of a hall.
    pub fn drain_hall(&self, hall: Name) {
        if lock(&self.upstreams).drain_hall(hall.clone()) {
            self.log.line("hall_drained", json!({"hall": hall}));
        }
    }

    /// Sends to the upstreams of a hall again, as to cold ones.
    pub fn undrain_hall(&self, hall: &Name) {
        let now_ms = self.clock.now_ms();
        let site = self.site();
        let cold_until_ms = |record: &UpstreamRecord| {
            let pool = site.as_ref().and_then(|site| site.pool(&record.pool));
            let start = pool.and_then(|pool| pool.cold_start);
            start.map_or(0, |start| now_ms.saturating_add(start.lasts_ms))
        };
        if lock(&self.upstreams).undrain_hall(hall, cold_until_ms) {
            self.log.line("hall_undrained", json!({"hall": hall}));
        }
    }

    /// Works on what is known of a pool's pace.
    pub fn with_pace<T>(&self, pool: &Name, work: impl FnOnce(&mut PrefillPace) -> T) -> T {
        work(lock(&self.paces).entry(pool.clone()).or_default())
    }

    /// What a job takes of an upstream with the model in this place, by the pool's pace.
    pub fn estimate(&self, job: &Job, model: usize) -> Estimate {
        let models = job.route.models.len();
        let ms_per_token = self.with_pace(&job.pool, |pace| pace.ms_per_token(model, models));
        job.estimate(ms_per_token)
    }

    /// Chooses an upstream.
    ///
    /// # Errors
    ///
    /// When none may take the request now.
    pub fn choose(&self, scope: &Scope, ask: &PlacementRequest) -> Result<Choice, ChooseError> {
        let now_ms = self.clock.now_ms();
        let rules = self.send_rules(scope.pool, now_ms);
        let mut upstreams = lock(&self.upstreams);
        let target = self.rollout_target(scope.pool);
        upstreams.choose(scope, ask, target.as_ref(), &rules, now_ms)
    }

    /// Counts a request that is sent to an upstream now, if it may be.
    ///
    /// # Errors
    ///
    /// When what has become known of the request, or of the upstream since it was chosen, forbids it.
    pub fn begin_send(
        &self,
        upstream: &UpstreamRecord,
        fingerprint: Fingerprint,
    ) -> Result<(), SendDenied> {
        if self.is_quarantined(fingerprint) {
            return Err(SendDenied::Quarantined);
        }
        let now_ms = self.clock.now_ms();
        let rules = self.send_rules(&upstream.pool, now_ms);
        lock(&self.upstreams).begin_send(&upstream.id, &rules, now_ms)
    }

    /// What binds sends to the upstreams of a pool now.
    fn send_rules(&self, pool: &Name, now_ms: u64) -> SendRules {
        let site = self.site();
        let cold_start = site.and_then(|site| site.pool(pool)?.cold_start);
        let may_own = quota::may_own(now_ms, self.peers.since_joined_ms(now_ms));
        SendRules {
            sharing: QuotaShare::new(self.peers.quota_owners(), may_own, self.peers.fleet_size()),
            cold_limit: cold_start.map(|start| start.limit()),
        }
    }
}
