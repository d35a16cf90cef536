//! Placement of requests on upstreams, subject to drained halls, cold starts and limits.

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::pace::PrefillPace;
use ivyweir_policy::gateway::placement::PlacementRequest;
use ivyweir_policy::gateway::quarantine::{Containment, RequestIdentity};
use ivyweir_policy::gateway::quota::{self, QuotaShare};
use ivyweir_policy::gateway::upstreams::{Choice, ChooseError, Scope, SendDenied, SendRules};
use ivyweir_policy::gateway::work::Estimate;
use serde_json::json;

use super::Gateway;
use crate::job::Job;
use crate::mutex::lock;

/// Time for which no other box is asked to send requests of a pool after those that were asked declined. Where a limit
/// is used up at all boxes, this bounds the messages about it.
const SHARE_DECLINED_PAUSE_MS: u64 = 100;

impl Gateway {
    /// The drained halls.
    pub fn drained_halls(&self) -> Vec<Name> {
        lock(&self.upstreams).drained_halls()
    }

    /// Drains a hall: no more requests are sent to its upstreams.
    pub fn drain_hall(&self, hall: Name) {
        if lock(&self.upstreams).drain_hall(hall.clone()) {
            self.log.line("hall_drained", json!({"hall": hall}));
        }
    }

    /// Ends the drain of a hall. Its upstreams are treated as cold at first.
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

    /// Calls `work` with the prefill pace of a pool.
    pub fn with_prefill_pace<T>(&self, pool: &Name, work: impl FnOnce(&mut PrefillPace) -> T) -> T {
        work(lock(&self.prefill_paces).entry(pool.clone()).or_default())
    }

    /// Estimates the work of a job on an upstream with the model at index `model` of the route, from the pool's prefill
    /// pace.
    pub fn estimate(&self, job: &Job, model: usize) -> Estimate {
        let models = job.route.models.len();
        let ms_per_token =
            self.with_prefill_pace(&job.pool, |pace| pace.ms_per_token(model, models));
        job.estimate(ms_per_token)
    }

    /// Chooses an upstream for a request.
    ///
    /// # Errors
    ///
    /// If no upstream may receive the request now.
    pub fn choose_upstream(
        &self,
        scope: &Scope,
        request: &PlacementRequest,
    ) -> Result<Choice, ChooseError> {
        let now_ms = self.clock.now_ms();
        let rules = self.send_rules(scope.pool, now_ms);
        let mut upstreams = lock(&self.upstreams);
        let target = self.rollout_target(scope.pool);
        let choice = upstreams.choose(scope, request, target.as_ref(), &rules, now_ms)?;
        drop(upstreams);
        self.record_occupancy(scope.pool, choice.pool_occupancy);
        Ok(choice)
    }

    /// Chooses an upstream for a contained request: one of those to which its connections broke.
    ///
    /// # Errors
    ///
    /// If none of them accepts the request. Where they do not back off themselves, the error states the time until one of
    /// the broken connections no longer counts.
    pub fn choose_contained(
        &self,
        containment: &Containment,
        scope: &Scope,
        request: &PlacementRequest,
    ) -> Result<Choice, ChooseError> {
        let now_ms = self.clock.now_ms();
        let rules = self.send_rules(scope.pool, now_ms);
        let mut upstreams = lock(&self.upstreams);
        let target = self.rollout_target(scope.pool);
        let among = &containment.upstreams;
        let choice = upstreams.choose_among(among, scope, request, target.as_ref(), &rules, now_ms);
        choice.map_err(|why| match why {
            ChooseError::AllBackingOff { .. } => why,
            _ => {
                let for_ms = containment.until_ms.saturating_sub(now_ms.cast_signed());
                ChooseError::AllBackingOff {
                    for_ms: for_ms.max(1).unsigned_abs(),
                }
            }
        })
    }

    /// Whether this box may send a request to no upstream now because other boxes own the parts of their limits or cold
    /// rates that are left.
    pub fn lacks_share(&self, job: &Job, tried: &[Name]) -> bool {
        let scope = Scope {
            pool: &job.pool,
            side: job.side,
            tried,
        };
        let now_ms = self.clock.now_ms();
        let rules = self.send_rules(scope.pool, now_ms);
        let mut upstreams = lock(&self.upstreams);
        let target = self.rollout_target(scope.pool);
        upstreams.lacks_share(&scope, target.as_ref(), &rules, now_ms)
    }

    /// Whether other boxes may be asked to send requests for this one: not right after all that were asked declined.
    pub fn may_ask_for_share(&self, pool: &Name) -> bool {
        let now_ms = self.clock.now_ms();
        let declined_ms = lock(&self.share_declined_ms).get(pool).copied();
        declined_ms.is_none_or(|ms| now_ms >= ms + SHARE_DECLINED_PAUSE_MS)
    }

    /// Records that all boxes that were asked declined to send a request for this one.
    pub fn record_share_declined(&self, pool: &Name) {
        let now_ms = self.clock.now_ms();
        lock(&self.share_declined_ms).insert(pool.clone(), now_ms);
    }

    /// Checks whether a request may be sent to an upstream now and, if so, counts it.
    ///
    /// # Errors
    ///
    /// If the request is quarantined or contained, or a change since the upstream was chosen forbids the send.
    pub fn begin_send(
        &self,
        upstream: &UpstreamRecord,
        identity: &RequestIdentity,
    ) -> Result<(), SendDenied> {
        if self.is_quarantined(identity) {
            return Err(SendDenied::Quarantined);
        }
        if let Some(containment) = self.containment(identity.request)
            && !containment.allows(&upstream.id)
        {
            return Err(SendDenied::Contained);
        }
        let now_ms = self.clock.now_ms();
        let rules = self.send_rules(&upstream.pool, now_ms);
        lock(&self.upstreams).begin_send(&upstream.id, &rules, now_ms)
    }

    /// The rules for sends to the upstreams of a pool at this time.
    pub(super) fn send_rules(&self, pool: &Name, now_ms: u64) -> SendRules {
        let site = self.site();
        let cold_start = site.and_then(|site| site.pool(pool)?.cold_start);
        let may_own = quota::may_own(now_ms, self.peers.since_joined_ms(now_ms));
        SendRules {
            sharing: QuotaShare::new(self.peers.quota_owners(), may_own, self.peers.fleet_size()),
            cold_limit: cold_start.map(|start| start.limit()),
        }
    }
}
