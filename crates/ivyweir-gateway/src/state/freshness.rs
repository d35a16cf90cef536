//! Age of the proof that the active configuration is the newest, and what a box may do at that age.

use std::sync::Arc;

use ivyweir_policy::gateway::freshness::ProofTime;
use ivyweir_policy::gateway::site::SiteIndex;
use serde_json::json;

use super::Gateway;
use crate::mutex::lock;
use crate::settings::UnprovenKeys;

/// Part of the bound on the use of revoked keys that is reserved for forwarding to the upstream.
const PROOF_MARGIN_MS: u64 = 300;
/// Time since its start for which a box without a proof waits for one. Boxes obtained their first proof within 0.5 s.
const STARTUP_GRACE_MS: u64 = 2_000;
/// Age of the proof from which a box reports itself as not ready to the load balancer.
const READY_MAX_PROOF_AGE_MS: u64 = 3_000;
/// Age of the proof from which a box no longer reports an unknown route or key as nonexistent, because it may be new.
const NOT_FOUND_MAX_PROOF_AGE_MS: u64 = 3_000;

/// The active configuration, and what its proof permits.
pub struct SiteView {
    /// The configuration.
    pub index: Arc<SiteIndex>,
    /// Whether a request with a key in it may be forwarded.
    pub serves_keys: bool,
    /// Whether a route or key that is not in it may be reported as nonexistent.
    pub may_report_not_found: bool,
}

impl Gateway {
    /// The active configuration, and what its proof permits; `None` without a configuration.
    pub fn site_view(&self) -> Option<SiteView> {
        // The proof is judged first. Afterwards it may be that of a configuration which is newer than `index`.
        let serves_keys = self.may_serve_keys();
        let may_report_not_found = self.may_report_not_found();
        Some(SiteView {
            index: self.site()?,
            serves_keys,
            may_report_not_found,
        })
    }

    /// Records a proof that the active configuration was the newest one. The configuration must have been activated
    /// before.
    ///
    /// Does nothing if a restored store had not settled by then, because it may have lost the revocation of a key.
    pub fn renew_proof(&self, proven_at: ProofTime) {
        if !self.was_store_settled_at(proven_at) {
            return;
        }
        lock(&self.proof).renew(proven_at);
        self.histories.notify();
    }

    /// Time of the newest proof by this box's clock; `None` if there is none.
    pub fn proven_at(&self) -> Option<ProofTime> {
        lock(&self.proof).newest()
    }

    /// Whether a proof of this time is newer than the known one.
    pub fn is_proof_superseded_by(&self, proven_at: ProofTime) -> bool {
        lock(&self.proof).is_superseded_by(proven_at)
    }

    /// Logs that requests with a key are forwarded again or no longer, and which statement the newest proof rests on.
    pub fn log_key_service(&self, is_served: bool) {
        let source = self.proven_at().map(|proven_at| proven_at.source().name());
        let detail = json!({
            "served": is_served, "proof_age_ms": self.proof_age_ms(), "proof_source": source,
        });
        self.log.line("key_service", detail);
    }

    /// Age of the proof; `None` if there is none.
    pub fn proof_age_ms(&self) -> Option<u64> {
        lock(&self.proof).age_ms(self.clock.now_ms())
    }

    /// Whether this box currently receives the store's records from any source, judged by the age of the
    /// proof.
    pub fn receives_store_records(&self) -> bool {
        let limit_ms = self.settings.bounds.proof_renewal_timeout_ms();
        lock(&self.proof).is_younger_than(limit_ms, self.clock.now_ms())
    }

    /// Whether a request with a key may be forwarded now.
    pub fn may_serve_keys(&self) -> bool {
        self.serves_unproven_keys() || self.keys_are_current()
    }

    /// Whether requests with a key are served regardless of the age of the proof.
    fn serves_unproven_keys(&self) -> bool {
        self.settings.policy.unproven_keys == UnprovenKeys::Serve
    }

    /// Whether the proof is younger than the bound on the use of revoked keys.
    fn keys_are_current(&self) -> bool {
        let bound_ms = self
            .settings
            .bounds
            .revoke_ms
            .saturating_sub(PROOF_MARGIN_MS);
        lock(&self.proof).is_younger_than(bound_ms, self.clock.now_ms())
    }

    /// Whether this box may report that a route or key does not exist.
    fn may_report_not_found(&self) -> bool {
        lock(&self.proof).is_younger_than(NOT_FOUND_MAX_PROOF_AGE_MS, self.clock.now_ms())
    }

    /// Whether this box started recently and still lacks a proof that it needs. The relay that it received the
    /// configuration from may have just started as well.
    pub fn is_starting(&self) -> bool {
        !self.serves_unproven_keys()
            && self.clock.now_ms() < STARTUP_GRACE_MS
            && self.proof_age_ms().is_none()
    }

    /// Whether the load balancer should open new connections to this box.
    pub fn is_ready(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let is_current = lock(&self.proof).is_younger_than(READY_MAX_PROOF_AGE_MS, now_ms);
        is_current
            && self.is_synced()
            && self.stopping_for_ms().is_none()
            && self.supervisor.is_serving()
    }
}
