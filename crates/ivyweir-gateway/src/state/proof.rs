//! How old the proof of a box's configuration is, and what the box may do with it.

use super::{Gateway, lock};
use crate::settings::UnprovenKeys;

/// Part of the bound on withdrawn keys that is left for the way to the upstream.
const PROOF_MARGIN_MS: u64 = 300;
/// Time since its start for which a box without a proof waits for one; others took 0.5 s at most.
const STARTING_MS: u64 = 2_000;
/// Age of the proof from which a box asks the balancer for no new connections.
const READY_PROOF_AGE_MS: u64 = 3_000;
/// Age of the proof from which this box does not trust its own "no such route".
const DENY_PROOF_AGE_MS: u64 = 3_000;

impl Gateway {
    /// Takes in that the store answered a question about the configuration asked at `asked_at_ms`.
    ///
    /// Does nothing if a restored store had not settled by then: it may have lost the withdrawal of a key.
    pub fn renew_proof(&self, asked_at_ms: i64) {
        if !self.was_store_settled_at(asked_at_ms) {
            return;
        }
        lock(&self.proof).renew(asked_at_ms);
        self.histories.tell();
    }

    /// When the proof dates from, by this box's clock; none if there is none.
    pub fn proof_at_ms(&self) -> Option<i64> {
        lock(&self.proof).asked_at_ms()
    }

    /// Whether a proof of this time is a newer one.
    pub fn is_proof_older_than(&self, asked_at_ms: i64) -> bool {
        lock(&self.proof).is_superseded_by(asked_at_ms)
    }

    /// Age of the proof that the configuration is the newest.
    pub fn proof_age_ms(&self) -> Option<u64> {
        lock(&self.proof).age_ms(self.clock.now_ms())
    }

    /// Whether the proof is as young as that of a box which hears the store's records.
    pub fn hears_store(&self) -> bool {
        let limit_ms = self.settings.bounds.proof_renewal_timeout_ms();
        lock(&self.proof).is_younger_than(limit_ms, self.clock.now_ms())
    }

    /// Whether a keyed request may be sent now.
    pub fn may_serve_keys(&self) -> bool {
        self.serves_unproven_keys() || self.keys_are_current()
    }

    /// Whether keyed requests are served however old the proof is.
    fn serves_unproven_keys(&self) -> bool {
        self.settings.policy.unproven_keys == UnprovenKeys::Serve
    }

    /// Whether the proof is younger than the bound on withdrawn keys.
    fn keys_are_current(&self) -> bool {
        let bound_ms = self
            .settings
            .bounds
            .revoke_ms
            .saturating_sub(PROOF_MARGIN_MS);
        lock(&self.proof).is_younger_than(bound_ms, self.clock.now_ms())
    }

    /// Whether this box may say that a route or key does not exist.
    pub fn may_deny(&self) -> bool {
        lock(&self.proof).is_younger_than(DENY_PROOF_AGE_MS, self.clock.now_ms())
    }

    /// Whether this box started a moment ago and has no proof yet that its configuration is the
    /// newest, which it needs; the relay that told it may have started too.
    pub fn is_starting(&self) -> bool {
        !self.serves_unproven_keys()
            && self.clock.now_ms() < STARTING_MS
            && self.proof_age_ms().is_none()
    }

    /// Whether the balancer should send new connections.
    pub fn is_ready(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let proven = lock(&self.proof).is_younger_than(READY_PROOF_AGE_MS, now_ms);
        proven && self.is_synced() && self.stopping_for_ms().is_none()
    }
}
