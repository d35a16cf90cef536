//! Probes of the store from a box that follows another, for when that box does not renew the proof.

use ivyweir_policy::gateway::freshness::{FreshnessProof, ProofTime};
use ivyweir_policy::gateway::revision::Revision;
use rand::Rng;
use serde_json::json;

use super::{FetchError, Follower};
use crate::dialect::Topic;

/// Pause before the second probe, so that a box that regains the store detects it within the three
/// seconds that the user pages allow.
const SECOND_PROBE_PAUSE_MS: u64 = 2_500;
/// Mean pause between further probes: a fixed part and a part per known box, as each call has a
/// cost.
const PROBE_PAUSE_MS: u64 = 2_000;
const PROBE_PAUSE_PER_BOX_MS: u64 = 100;

/// Probes of the store since the proof was last renewed.
pub(super) struct Probes {
    /// Time at which a newer proof was last seen, and that proof.
    renewed_at_ms: u64,
    proof: FreshnessProof,
    /// Number of probes since then.
    count: u32,
    /// Time at which the next probe is due.
    next_at_ms: u64,
    /// Time without a newer proof after which the first probe is due.
    unrenewed_ms: u64,
}

impl Probes {
    /// Creates the state of a starting box, without any probes; the first is due `unrenewed_ms`
    /// after the last newer proof.
    pub fn new(unrenewed_ms: u64, now_ms: u64) -> Self {
        Self {
            renewed_at_ms: now_ms,
            proof: FreshnessProof::default(),
            count: 0,
            next_at_ms: 0,
            unrenewed_ms,
        }
    }

    /// Records the time of the proof; a newer one ends the probes.
    fn note_proof(&mut self, proven_at: Option<ProofTime>, now_ms: u64) {
        let Some(proven_at) = proven_at else {
            return;
        };
        if self.proof.is_superseded_by(proven_at) {
            self.proof.renew(proven_at);
            self.renewed_at_ms = now_ms;
            self.count = 0;
        }
    }

    /// Whether the next probe is due.
    fn is_due(&self, now_ms: u64) -> bool {
        if now_ms < self.renewed_at_ms + self.unrenewed_ms {
            return false;
        }
        self.count == 0 || now_ms >= self.next_at_ms
    }

    /// Counts a probe and schedules the next by the number of other known boxes.
    fn begin(&mut self, boxes: u64, now_ms: u64) {
        self.count += 1;
        let pause_ms = if self.count == 1 {
            SECOND_PROBE_PAUSE_MS
        } else {
            let mean_ms = PROBE_PAUSE_MS + PROBE_PAUSE_PER_BOX_MS * boxes;
            rand::rng().random_range(mean_ms / 2..=mean_ms * 3 / 2)
        };
        self.next_at_ms = now_ms + pause_ms;
    }

    /// Time left until the first probe is due, unless the proof is renewed before.
    pub fn until_first_ms(&self, now_ms: u64) -> u64 {
        (self.renewed_at_ms + self.unrenewed_ms).saturating_sub(now_ms)
    }
}

impl Follower {
    /// Whether this box has to probe the store, as the box that it follows does not renew its
    /// proof. Only the configuration's follower probes; the others poll once it succeeds.
    pub(super) fn is_probe_due(&mut self) -> bool {
        if self.topic != Topic::Site {
            return false;
        }
        let now_ms = self.gateway.clock.now_ms();
        let proven_at = self.gateway.proven_at();
        self.probes.note_proof(proven_at, now_ms);
        self.probes.is_due(now_ms)
    }

    /// Probes the store once. This box keeps following its source even if the store responds.
    pub(super) async fn probe(
        &mut self,
        since: Option<Revision>,
    ) -> Result<Option<Revision>, FetchError> {
        let now_ms = self.gateway.clock.now_ms();
        let boxes = self.gateway.peers.peer_count() as u64;
        self.probes.begin(boxes, now_ms);
        let detail = json!({
            "unrenewed_ms": now_ms - self.probes.renewed_at_ms,
            "probes": self.probes.count,
        });
        self.gateway.log.line("store_probed", detail);
        // Upstreams that left in the meantime must be known before the proof is renewed.
        self.is_unconfirmed = true;
        self.poll(since).await
    }

    /// Whether the configuration's follower found the store responsive and requested that the other
    /// topics poll it once.
    pub(super) fn is_poll_requested(&mut self) -> bool {
        let requests = self.gateway.store_events.poll_requests();
        std::mem::replace(&mut self.polls_seen, requests) != requests && self.topic != Topic::Site
    }

    /// Fetches changes from the store once, without waiting for any.
    pub(super) async fn poll(
        &mut self,
        since: Option<Revision>,
    ) -> Result<Option<Revision>, FetchError> {
        self.is_probing = true;
        let result = self.fetch_from_store(since).await;
        self.is_probing = false;
        // The box that is followed is called next, as before the poll.
        result.map_err(|_| FetchError::Peer)
    }
}
