//! Serves boxes that follow a topic at this box, which is their hall's relay or the root.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::{Response, StatusCode};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::copies::CopySource;
use ivyweir_policy::gateway::freshness::{ProofTime, RelayedProof};
use ivyweir_policy::gateway::revision::Revision;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::dialect::{StoreRecord, Topic};
use crate::history::{Backlog, RecordChange, Requester, SourceUnavailable};
use crate::response::{ResponseBody, peer_message, status_only};
use crate::state::Gateway;

/// HTTP path for following a topic.
pub const FOLLOW_PATH: &str = "/peer/follow";
/// Longest time for which a request is held open.
const MAX_WAIT_MS: u64 = 20_000;
/// Time for which a follower's request is held open while this box looks for another source.
const FOLLOWER_SOURCE_WAIT_MS: u64 = 400;
/// The same for a request of a relay, which takes this box for the root. This box may become the
/// root soon, but another box may already be.
const RELAY_SOURCE_WAIT_MS: u64 = 150;

/// The same for a box without any data, while this box waits for the store's first response. A
/// configuration of 1,600 routes takes 0.3 s over a link of 10 Mbit/s; a box that is refused looks
/// for another root, which also reads everything from the store.
const FIRST_RESPONSE_WAIT_MS: u64 = 600;

/// Interval between attempts to find a box that can send all records of a topic.
const COPY_RETRY_MS: u64 = 40;
/// Number of records, or routes of a configuration, up to which every requester is sent all of them
/// directly: 75 boxes receive as many over a link of 10 Mbit/s in half a second.
const MAX_INLINE_RECORDS: usize = 256;

/// The changes of a topic since a revision.
#[derive(Debug, Serialize, Deserialize)]
pub struct FollowResponse {
    /// Store revision up to which this response is complete.
    pub revision: Revision,
    /// All records, for a requester that is too far behind.
    #[serde(rename = "whole")]
    pub snapshot: Option<Snapshot>,
    /// Changes, oldest first.
    pub changes: Vec<RecordChange>,
    /// Time between the request and this response.
    pub held_ms: u64,
    /// Age of the proof that the configuration is the newest.
    pub proof_age_ms: Option<u64>,
    /// The state of other topics that the proof covers. A box that is behind it must not use the
    /// proof: it would take it for a proof of its own, older state.
    #[serde(default, rename = "vouches")]
    pub proof_scope: ProofScope,
}

/// Revisions of the last changes known to a box with a proof; `None` for a topic for which that box
/// is not a source.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct ProofScope {
    /// Last change of an upstream.
    pub upstreams: Option<Revision>,
    /// Last change of a drained hall.
    pub drained_halls: Option<Revision>,
}

impl ProofScope {
    /// Returns the state that this box's proof covers for a requester.
    fn of(gateway: &Gateway, requester: Requester) -> Self {
        let last_change_revision = |topic| gateway.histories.last_change_revision(topic, requester);
        Self {
            upstreams: last_change_revision(Topic::Upstreams),
            drained_halls: last_change_revision(Topic::DrainedHalls),
        }
    }
}

/// All records of a topic, or where to get them.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Snapshot {
    /// The records.
    #[serde(rename = "here")]
    Inline(Vec<StoreRecord>),
    /// Another box has them. This one is already sending them to several boxes.
    #[serde(rename = "at")]
    Redirect(SocketAddr),
}

impl FollowResponse {
    /// Time of the proof by the clock of the box that sent the request at `requested_at_ms`; `None`
    /// if there is no proof.
    pub fn proven_at(&self, requested_at_ms: u64, responded_at_ms: u64) -> Option<ProofTime> {
        Some(ProofTime::of_relayed(RelayedProof {
            requested_at_ms,
            responded_at_ms,
            held_ms: self.held_ms,
            age_ms: self.proof_age_ms?,
        }))
    }
}

/// Handles a request of a box that follows a topic here.
pub async fn handle(gateway: &Arc<Gateway>, query: Option<&str>) -> Response<ResponseBody> {
    let Some(request) = query.and_then(FollowRequest::parse) else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    let received_at_ms = gateway.clock.now_ms();
    let histories = &gateway.histories;
    histories.record_request(received_at_ms);
    histories.record_copy_progress(request.topic, request.since, &request.from);
    let until_ms = received_at_ms.saturating_add(request.wait_ms);
    let mut updates = histories.subscribe();
    let first_proven_at = gateway.proven_at();
    let mut sourceless_since_ms = None;
    loop {
        // The requester looks for another source, as those do that call a box which stops.
        if gateway.stopping_for_ms().is_some() {
            return status_only(StatusCode::SERVICE_UNAVAILABLE);
        }
        let now_ms = gateway.clock.now_ms();
        // Before the changes: one that arrives in between must not be covered by a proof without being sent.
        let proven_at = gateway.proven_at();
        let wake_ms = match histories.changes_since(request.topic, request.since, request.requester)
        {
            Ok(backlog) => {
                sourceless_since_ms = None;
                let renewed = request.topic == Topic::Site && proven_at > first_proven_at;
                if backlog.is_some() || renewed || now_ms >= until_ms {
                    let held_ms = now_ms - received_at_ms;
                    match follow_response(gateway, &request, backlog, proven_at, held_ms) {
                        Some(response) => return peer_message(&response),
                        None => now_ms + COPY_RETRY_MS,
                    }
                } else {
                    until_ms
                }
            }
            Err(SourceUnavailable::NotASource) => {
                return status_only(StatusCode::SERVICE_UNAVAILABLE);
            }
            Err(reason @ (SourceUnavailable::Searching | SourceUnavailable::Pending)) => {
                if !gateway.peers.is_membership_ready() {
                    sourceless_since_ms = None;
                }
                let wait_ms = source_wait_ms(&request, reason);
                let limit_ms = *sourceless_since_ms.get_or_insert(now_ms) + wait_ms;
                if now_ms >= limit_ms {
                    return status_only(StatusCode::SERVICE_UNAVAILABLE);
                }
                limit_ms
            }
        };
        let left = Duration::from_millis(wake_ms - now_ms);
        // The loop checks the state again whether or not there was an update.
        let _woken = timeout(left, updates.changed()).await;
    }
}

/// Time for which a request is held open while this box has no source.
fn source_wait_ms(request: &FollowRequest, reason: SourceUnavailable) -> u64 {
    match request.requester {
        _ if reason == SourceUnavailable::Pending && request.since.is_zero() => {
            FIRST_RESPONSE_WAIT_MS
        }
        Requester::Follower => FOLLOWER_SOURCE_WAIT_MS,
        Requester::Relay | Requester::Copier => RELAY_SOURCE_WAIT_MS,
    }
}

/// Builds the response to a request; `None` if all records are needed and no box can send them now.
fn follow_response(
    gateway: &Gateway,
    request: &FollowRequest,
    backlog: Option<Backlog>,
    proven_at: Option<ProofTime>,
    held_ms: u64,
) -> Option<FollowResponse> {
    let (revision, snapshot, changes) = match backlog {
        None => (request.since, None, Vec::new()),
        Some(Backlog::Snapshot(revision)) => {
            (revision, Some(snapshot(gateway, request)?), Vec::new())
        }
        Some(Backlog::Changes(revision, changes)) => (revision, None, changes),
    };
    Some(FollowResponse {
        revision,
        snapshot,
        changes,
        held_ms,
        proof_age_ms: proven_at.map(|proven_at| proven_at.age_ms(gateway.clock.now_ms())),
        proof_scope: ProofScope::of(gateway, request.requester),
    })
}

/// Returns all records of a topic, or the box that has them; `None` if no box can send them now.
fn snapshot(gateway: &Gateway, request: &FollowRequest) -> Option<Snapshot> {
    let here = || Snapshot::Inline(gateway.items(request.topic));
    if request.requester != Requester::Follower
        || gateway.approximate_len(request.topic) <= MAX_INLINE_RECORDS
    {
        return Some(here());
    }
    let now_ms = gateway.clock.now_ms();
    let histories = &gateway.histories;
    match histories.assign_copy_source(request.topic, &request.from, now_ms) {
        CopySource::Local => Some(here()),
        // The assigned box is no longer known here, so it cannot send anything.
        CopySource::Peer(name) => Some(
            gateway
                .peers
                .addr_of(&name)
                .map_or_else(here, Snapshot::Redirect),
        ),
        CopySource::Unavailable => None,
    }
}

/// The parameters of a follow request.
struct FollowRequest {
    topic: Topic,
    from: Name,
    requester: Requester,
    since: Revision,
    wait_ms: u64,
}

impl FollowRequest {
    /// Parses `topic=NAME&since=REVISION&wait_ms=N&asker=relay&from=NAME`. Any other value of
    /// `asker` but `copier` means a follower.
    fn parse(query: &str) -> Option<Self> {
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let wait_ms: u64 = field("wait_ms")?.parse().ok()?;
        let requester = match field("asker") {
            Some(REQUESTER_RELAY) => Requester::Relay,
            Some(REQUESTER_COPIER) => Requester::Copier,
            _ => Requester::Follower,
        };
        Some(Self {
            topic: Topic::from_name(field("topic")?)?,
            from: field("from")?.into(),
            requester,
            since: field("since")?.parse().ok()?,
            wait_ms: wait_ms.min(MAX_WAIT_MS),
        })
    }
}

/// Values of the `asker` parameter: the requester's role towards the box that it calls.
const REQUESTER_RELAY: &str = "relay";
const REQUESTER_FOLLOWER: &str = "follower";
const REQUESTER_COPIER: &str = "copier";

/// Returns the path and query with which the box `from` follows a topic.
pub fn follow_path(
    topic: Topic,
    since: Revision,
    wait_ms: u64,
    requester: Requester,
    from: &str,
) -> String {
    let topic = topic.name();
    let requester = match requester {
        Requester::Relay => REQUESTER_RELAY,
        Requester::Follower => REQUESTER_FOLLOWER,
        Requester::Copier => REQUESTER_COPIER,
    };
    format!(
        "{FOLLOW_PATH}?topic={topic}&since={since}&wait_ms={wait_ms}&asker={requester}&from={from}"
    )
}
