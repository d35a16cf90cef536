//! Answers boxes that follow a topic here: this box is their hall's relay, or the root.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::{Response, StatusCode};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::copies::CopySource;
use ivyweir_policy::gateway::revision::Revision;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::answer::{AnswerBody, bare, message};
use crate::dialect::{Item, Topic};
use crate::history::{Backlog, RecordChange, Requester, SourceUnavailable};
use crate::state::Gateway;

/// Where a topic is followed.
pub const FOLLOW_PATH: &str = "/peer/follow";
/// Longest wait of a question.
const MAX_WAIT_MS: u64 = 20_000;
/// Time for which a follower's question waits while this box looks for another source.
const FOLLOWER_SOURCE_WAIT_MS: u64 = 400;
/// The same for a relay that takes this box for the root: it may soon be, but another one may be it
/// already.
const RELAY_SOURCE_WAIT_MS: u64 = 150;

/// The same for a box that knows nothing yet, while this one waits for the store's first answer. A
/// configuration of 1,600 routes takes 0.3 s over a link of 10 Mbit/s; a box that is sent away looks for
/// another root, which asks the store for all of it too.
const FIRST_RESPONSE_WAIT_MS: u64 = 600;

/// Pause before it is looked again for a box that gives all records of a topic.
const COPY_RETRY_MS: u64 = 40;
/// Records, or routes of a configuration, up to which all of them are given to whoever asks: 75 boxes get
/// as many over a link of 10 Mbit/s in half a second.
const MAX_INLINE_RECORDS: usize = 256;

/// What changed behind a revision.
#[derive(Debug, Serialize, Deserialize)]
pub struct FollowResponse {
    /// The store's revision up to which this holds.
    pub revision: Revision,
    /// All records, for who is too far behind.
    #[serde(rename = "whole")]
    pub snapshot: Option<Snapshot>,
    /// Changes in order.
    pub changes: Vec<RecordChange>,
    /// Time between the question and this answer.
    pub held_ms: u64,
    /// Age of the proof that the configuration is the newest.
    pub proof_age_ms: Option<u64>,
    /// For which state of other topics the proof vouches. It is of no use to a box that knows less: the box would take it
    /// for a proof of what it knows itself.
    #[serde(default, rename = "vouches")]
    pub proof_scope: ProofScope,
}

/// Revisions of the last changes that a box with a proof knows; none of a topic of which it does not hear itself.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct ProofScope {
    /// Of upstreams.
    pub upstreams: Option<Revision>,
    /// Of drained halls.
    pub drained_halls: Option<Revision>,
}

impl ProofScope {
    /// What this box vouches for to who asks.
    fn of(gateway: &Gateway, requester: Requester) -> Self {
        let last_change_revision = |topic| gateway.histories.last_change_revision(topic, requester);
        Self {
            upstreams: last_change_revision(Topic::Upstreams),
            drained_halls: last_change_revision(Topic::DrainedHalls),
        }
    }
}

/// All records of a topic.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Snapshot {
    /// The records.
    #[serde(rename = "here")]
    Inline(Vec<Item>),
    /// Another box gives them: this one gives them to several boxes already.
    #[serde(rename = "at")]
    Redirect(SocketAddr),
}

impl FollowResponse {
    /// When the proof dates from by the clock of the box that asked at `asked_at_ms`; none if there is none.
    pub fn proven_at_ms(&self, requested_at_ms: u64, now_ms: u64) -> Option<i64> {
        let age_ms = i64::try_from(self.proof_age_ms?).unwrap_or(i64::MAX);
        // The answer came no sooner than it says, so its proof is no older than this.
        let answered_at_ms = requested_at_ms.saturating_add(self.held_ms).min(now_ms);
        Some(answered_at_ms.cast_signed().saturating_sub(age_ms))
    }
}

/// Answers a box that follows a topic here.
pub async fn handle(gateway: &Arc<Gateway>, query: Option<&str>) -> Response<AnswerBody> {
    let Some(request) = query.and_then(FollowRequest::parse) else {
        return bare(StatusCode::BAD_REQUEST);
    };
    let received_at_ms = gateway.clock.now_ms();
    let histories = &gateway.histories;
    histories.record_request(received_at_ms);
    histories.record_copy_progress(request.topic, request.since, &request.from);
    let until_ms = received_at_ms + request.wait_ms;
    let mut updates = histories.subscribe();
    let proof_at_ms = gateway.proof_at_ms();
    let mut sourceless_since_ms = None;
    loop {
        let now_ms = gateway.clock.now_ms();
        let wake_ms = match histories.changes_since(request.topic, request.since, request.requester)
        {
            Ok(backlog) => {
                sourceless_since_ms = None;
                let renewed = request.topic == Topic::Site && gateway.proof_at_ms() > proof_at_ms;
                if backlog.is_some() || renewed || now_ms >= until_ms {
                    let held_ms = now_ms - received_at_ms;
                    match follow_response(gateway, &request, backlog, held_ms) {
                        Some(response) => return message(&response),
                        None => now_ms + COPY_RETRY_MS,
                    }
                } else {
                    until_ms
                }
            }
            Err(SourceUnavailable::NotASource) => return bare(StatusCode::SERVICE_UNAVAILABLE),
            Err(reason @ (SourceUnavailable::Searching | SourceUnavailable::Pending)) => {
                if !gateway.peers.is_settled() {
                    sourceless_since_ms = None;
                }
                let wait_ms = source_wait_ms(&request, reason);
                let limit_ms = *sourceless_since_ms.get_or_insert(now_ms) + wait_ms;
                if now_ms >= limit_ms {
                    return bare(StatusCode::SERVICE_UNAVAILABLE);
                }
                limit_ms
            }
        };
        let left = Duration::from_millis(wake_ms - now_ms);
        // Woken or not, the state itself is looked at again.
        let _woken = timeout(left, updates.changed()).await;
    }
}

/// Time for which a question waits while this box has no source.
fn source_wait_ms(request: &FollowRequest, reason: SourceUnavailable) -> u64 {
    match request.requester {
        _ if reason == SourceUnavailable::Pending && request.since.is_zero() => {
            FIRST_RESPONSE_WAIT_MS
        }
        Requester::Follower => FOLLOWER_SOURCE_WAIT_MS,
        Requester::Relay | Requester::Copier => RELAY_SOURCE_WAIT_MS,
    }
}

/// The answer to a question about a topic; none where all records are to be given and nobody can give them
/// now.
fn follow_response(
    gateway: &Gateway,
    request: &FollowRequest,
    backlog: Option<Backlog>,
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
        proof_age_ms: gateway.proof_age_ms(),
        proof_scope: ProofScope::of(gateway, request.requester),
    })
}

/// All records of a topic, or who gives them; none where nobody can now.
fn snapshot(gateway: &Gateway, request: &FollowRequest) -> Option<Snapshot> {
    let here = || Snapshot::Inline(gateway.items(request.topic));
    if request.requester != Requester::Follower || gateway.bulk(request.topic) <= MAX_INLINE_RECORDS
    {
        return Some(here());
    }
    let now_ms = gateway.clock.now_ms();
    let histories = &gateway.histories;
    match histories.assign_copy_source(request.topic, &request.from, now_ms) {
        CopySource::Local => Some(here()),
        // A box that is not known here any more gives nothing.
        CopySource::Peer(name) => Some(
            gateway
                .peers
                .addr_of(&name)
                .map_or_else(here, Snapshot::Redirect),
        ),
        CopySource::Unavailable => None,
    }
}

/// What a box asks for.
struct FollowRequest {
    topic: Topic,
    from: Name,
    requester: Requester,
    since: Revision,
    wait_ms: u64,
}

impl FollowRequest {
    /// Reads `topic=NAME&since=REVISION&wait_ms=N&asker=relay&from=NAME`, or another asker.
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

/// How a box names itself in a question, by what it is to the box that it asks.
const REQUESTER_RELAY: &str = "relay";
const REQUESTER_FOLLOWER: &str = "follower";
const REQUESTER_COPIER: &str = "copier";

/// The path and query at which the box `from` follows a topic.
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
