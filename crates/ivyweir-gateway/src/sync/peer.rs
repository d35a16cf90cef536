//! Follows a topic at another box: the hall's relay, or the root.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use ivyweir_policy::gateway::relay::BoxRecord;
use ivyweir_policy::gateway::revision::Revision;
use serde_json::json;
use tokio::time::timeout;

use super::confirm::ResponseSource;
use super::{FetchError, Follower, IDLE_WATCH_MS};
use crate::apply::{ListingKind, apply_changes, apply_listing};
use crate::box_call::{BoxCallError, decode_response, get_request};
use crate::client::{BufferedResponse, CallError, Client};
use crate::dialect::{StoreRecord, Topic};
use crate::follow::{FollowResponse, ProofScope, Snapshot, follow_path};
use crate::history::Requester;

/// Minimum wait of a request about the configuration; the relay responds as soon as its own proof
/// is renewed.
const MIN_RELAY_SITE_WAIT_MS: u64 = 250;
/// Wait of a box without a proof for the relay's next one.
const FIRST_PROOF_WAIT_MS: u64 = 100;
/// Response timeout of a relay, in addition to the wait.
const RELAY_RESPONSE_LIMIT_MS: u64 = 500;
/// The same for all records of a topic, and while boxes start together: a list of 3,000 upstreams
/// takes 0.1 s over a link of 10 Mbit/s, and several boxes may receive theirs at a time.
const COPY_LIMIT_MS: u64 = 2_000;
/// Time for the relay's changes of other topics to arrive, as they come over other connections than
/// its proof.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(60);
/// Age of the proof beyond which the relay is taken to have lost the store.
const RELAY_PROOF_MAX_MS: u64 = 2_700;

impl Follower {
    /// Sends a request to another box and applies the response. Returns the revision to continue
    /// from.
    pub(super) async fn query_box(
        &mut self,
        since: Revision,
        relay: BoxRecord,
        requester: Requester,
    ) -> Result<Revision, FetchError> {
        let requested_at_ms = self.gateway.clock.now_ms();
        let response = self.call_box(since, &relay, requester).await?;
        if matches!(&response, Ok(response) if response.status == StatusCode::SERVICE_UNAVAILABLE) {
            return Err(self.report_sourceless(&relay));
        }
        let response = match decode_response::<FollowResponse>(response) {
            Ok(response) => response,
            Err(error) => return Err(self.report_unresponsive(&relay, &error)),
        };
        self.failures = 0;
        let revision = match self.apply_response(since, requested_at_ms, response).await {
            Ok(revision) => revision,
            Err(error) => return Err(self.report_copy_failure(&error)),
        };
        self.gateway.mark_synced(self.topic);
        if self.topic == Topic::Site {
            self.check_freshness(&relay);
        }
        Ok(revision)
    }

    /// Records that the box did not respond correctly.
    fn report_unresponsive(&mut self, relay: &BoxRecord, error: &BoxCallError) -> FetchError {
        self.connection = None;
        let now_ms = self.gateway.clock.now_ms();
        self.gateway.peers.record_unresponsive(&relay.name, now_ms);
        let error = error.to_string();
        let detail = json!({"peer": relay.name, "about": self.topic.name(), "error": error});
        self.gateway.log.line("peer_lost", detail);
        FetchError::Peer
    }

    /// Judges by the age of the proof whether the box that responded has a source itself.
    fn check_freshness(&self, relay: &BoxRecord) {
        // Boxes that start together wait for the root's first proof. If they left it before, the
        // root and each box that follows it would be tried in turn, with increasing back-off.
        let Some(age_ms) = self.gateway.proof_age_ms() else {
            return;
        };
        // No box renews its proof until a restored store has settled.
        if age_ms <= RELAY_PROOF_MAX_MS || !self.gateway.is_store_settled() {
            self.gateway.peers.record_source(&relay.name);
            return;
        }
        let now_ms = self.gateway.clock.now_ms();
        self.gateway.peers.record_sourceless(&relay.name, now_ms);
        let detail = json!({"peer": relay.name, "about": "proof", "proof_age_ms": age_ms});
        self.gateway.log.line("peer_unhearing", detail);
    }

    /// Records that the box has no source of the store's records itself.
    fn report_sourceless(&self, relay: &BoxRecord) -> FetchError {
        // The configuration's follower finds another source for all topics, but not while it waits
        // for this follower: its own back-off for the box that refused may have passed.
        if self.topic != Topic::Site && !self.is_upstreams_requested() {
            return FetchError::NoSource;
        }
        let now_ms = self.gateway.clock.now_ms();
        self.gateway.peers.record_sourceless(&relay.name, now_ms);
        let detail = json!({"peer": relay.name, "about": self.topic.name()});
        self.gateway.log.line("peer_unhearing", detail);
        FetchError::Peer
    }

    /// Requests the changes since a revision; gives up if another follower finds the box lost.
    async fn call_box(
        &mut self,
        since: Revision,
        relay: &BoxRecord,
        requester: Requester,
    ) -> Result<Result<BufferedResponse, CallError>, FetchError> {
        let is_upstreams_requested = self.begin_request();
        let wait_ms = self.box_wait_ms(is_upstreams_requested);
        let requested = self.upstreams_requests_seen;
        let me = &self.gateway.settings.box_name;
        let path = follow_path(self.topic, since, wait_ms, requester, me);
        let request = get_request(relay.peer_addr, &path);
        let client = match &mut self.connection {
            Some((known, client)) if known == relay => client,
            other => {
                let client = Client::new(relay.peer_addr);
                &mut other.insert((relay.clone(), client)).1
            }
        };
        let limit_ms = if since.is_zero() || self.gateway.peers.is_fleet_starting() {
            COPY_LIMIT_MS
        } else {
            RELAY_RESPONSE_LIMIT_MS
        };
        let limit = Duration::from_millis(wait_ms + limit_ms);
        let store_events = &self.gateway.store_events;
        tokio::select! {
            response = client.call(request, limit) => return Ok(response),
            () = self.gateway.peers.wait_until_backing_off(&relay.name, &self.gateway.clock) => {}
            () = store_events.wait_for_upstreams_request(requested), if self.topic == Topic::Upstreams => {}
            () = store_events.wait_for_poll_request(), if self.topic != Topic::Site => {}
        }
        self.connection = None;
        Err(FetchError::Peer)
    }

    /// Wait of a request. One about the configuration ends when this box has to probe the store;
    /// one whose response is needed at once does not wait.
    fn box_wait_ms(&self, is_upstreams_requested: bool) -> u64 {
        match self.topic {
            // A box that has copied the configuration from elsewhere needs only the proof.
            Topic::Site if self.gateway.proven_at().is_none() => {
                return FIRST_PROOF_WAIT_MS;
            }
            Topic::Site => {}
            _ if is_upstreams_requested => return 0,
            Topic::Upstreams | Topic::Rollouts | Topic::DrainedHalls => return IDLE_WATCH_MS,
        }
        let now_ms = self.gateway.clock.now_ms();
        let left_ms = self.probes.until_first_ms(now_ms);
        let most_ms = self.gateway.settings.bounds.proof_renewal_timeout_ms();
        left_ms.min(most_ms).max(MIN_RELAY_SITE_WAIT_MS)
    }

    /// Applies a response and the proof in it; returns the revision to continue from.
    async fn apply_response(
        &mut self,
        since: Revision,
        requested_at_ms: u64,
        response: FollowResponse,
    ) -> Result<Revision, BoxCallError> {
        let gateway = self.gateway.clone();
        let proven_at = response.proven_at(requested_at_ms, gateway.clock.now_ms());
        let is_proven = response
            .proof_age_ms
            .is_some_and(|age_ms| age_ms <= RELAY_PROOF_MAX_MS);
        // Revision zero means that the box has no data yet; its era is not the store's.
        if !response.revision.is_zero() {
            gateway.update_store_era(Some(response.revision.era));
        }
        let mut revision = response.revision.max(since);
        match response.snapshot {
            Some(Snapshot::Inline(items)) => self.apply_copy(response.revision, items),
            Some(Snapshot::Redirect(peer_addr)) => revision = self.copy_from(peer_addr).await?,
            None => {}
        }
        apply_changes(&gateway, self.topic, revision, response.changes);
        let source = ResponseSource::Peer {
            has_source: is_proven && revision >= response.revision,
        };
        if self.topic != Topic::Site {
            self.confirm(source).await;
            return Ok(revision);
        }
        // During an outage, relays respond with the proof from before it, so there is nothing to
        // confirm. The proof covers the state of the relay, which may be newer than that of the box
        // that sent a copy.
        if let Some(proven_at) = proven_at
            && revision >= response.revision
            && gateway.is_proof_superseded_by(proven_at)
        {
            // Upstreams and drained halls arrive through other followers. If this box renewed the
            // proof without the relay's state of them, it would keep using upstreams that left, and
            // it would not probe the store itself.
            let ProofScope {
                upstreams,
                drained_halls,
            } = response.proof_scope;
            if !self.has_reached(Topic::Upstreams, upstreams).await {
                self.is_unconfirmed = true;
            }
            if self.has_reached(Topic::DrainedHalls, drained_halls).await
                && self.confirm(source).await
            {
                gateway.renew_proof(proven_at);
            }
        }
        Ok(revision)
    }

    /// Whether this box has reached the relay's last change of a topic; waits a limited time for
    /// changes still in transit. A topic that is not followed counts as reached.
    async fn has_reached(&self, topic: Topic, last_change_revision: Option<Revision>) -> bool {
        if !self.gateway.topics().contains(&topic) {
            return true;
        }
        let histories = &self.gateway.histories;
        let mut updates = histories.subscribe();
        let is_known = || last_change_revision.is_some_and(|at| histories.revision(topic) >= at);
        let known = async {
            while !is_known() {
                // The sender lives as long as the box's state.
                let _changed = updates.changed().await;
            }
        };
        timeout(PROPAGATION_LIMIT, known).await.is_ok()
    }

    /// Copies all records from another box; returns their revision.
    async fn copy_from(&self, peer_addr: SocketAddr) -> Result<Revision, BoxCallError> {
        let me = &self.gateway.settings.box_name;
        let path = follow_path(self.topic, Revision::default(), 0, Requester::Copier, me);
        let limit = Duration::from_millis(COPY_LIMIT_MS);
        let response = Client::new(peer_addr)
            .call(get_request(peer_addr, &path), limit)
            .await;
        let response = decode_response::<FollowResponse>(response)?;
        if let Some(Snapshot::Inline(items)) = response.snapshot {
            let detail = json!({
                "topic": self.topic.name(), "giver": peer_addr, "revision": response.revision.to_string(),
                "records": items.len(),
            });
            self.gateway.log.line("records_copied", detail);
            self.apply_copy(response.revision, items);
        }
        Ok(response.revision)
    }

    fn apply_copy(&self, revision: Revision, items: Vec<StoreRecord>) {
        let entries = items.into_iter().map(Ok).collect();
        apply_listing(
            &self.gateway,
            self.topic,
            revision,
            ListingKind::Complete,
            entries,
        );
    }

    /// Records that the box did not send all records. The relay names another one on the next
    /// request.
    fn report_copy_failure(&self, error: &BoxCallError) -> FetchError {
        let detail = json!({"topic": self.topic.name(), "error": error.to_string()});
        self.gateway.log.line("copy_failed", detail);
        FetchError::Peer
    }
}
