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
use crate::dialect::{StoreRecord, Topic};
use crate::history::{Asker, Behind, NoSource, PassedChange};
use crate::state::Gateway;

/// Where a topic is followed.
pub const FOLLOW_PATH: &str = "/peer/follow";
/// Longest wait of a question.
const MAX_WAIT_MS: u64 = 20_000;
/// Time for which a follower's question waits while this box looks for another source.
const SOURCE_CHANGE_MS: u64 = 400;
/// The same for a relay that takes this box for the root: it may soon be, but another one may be it
/// already.
const ROOT_CHANGE_MS: u64 = 150;

/// The same for a box that knows nothing yet, while this one waits for the store's first answer. A
/// configuration of 1,600 routes takes 0.3 s over a link of 10 Mbit/s; a box that is sent away looks for
/// another root, which asks the store for all of it too.
const FIRST_ANSWER_MS: u64 = 600;

/// Pause before it is looked again for a box that gives all records of a topic.
const COPY_PAUSE_MS: u64 = 40;
/// Records, or routes of a configuration, up to which all of them are given to whoever asks: 75 boxes get
/// as many over a link of 10 Mbit/s in half a second.
const BULK_INLINE: usize = 256;

/// What changed behind a revision.
#[derive(Debug, Serialize, Deserialize)]
pub struct FollowAnswer {
    /// The store's revision up to which this holds.
    pub revision: Revision,
    /// All records, for who is too far behind.
    pub whole: Option<Whole>,
    /// Changes in order.
    pub changes: Vec<PassedChange>,
    /// Time between the question and this answer.
    pub held_ms: u64,
    /// Age of the proof that the configuration is the newest.
    pub proof_age_ms: Option<u64>,
    /// For which state of other topics the proof vouches. It is of no use to a box that knows less: the box would take it
    /// for a proof of what it knows itself.
    #[serde(default)]
    pub vouches: Vouches,
}

/// Revisions of the last changes that a box with a proof knows; none of a topic of which it does not hear itself.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Vouches {
    /// Of upstreams.
    pub upstreams: Option<Revision>,
    /// Of drained halls.
    pub drained_halls: Option<Revision>,
}

impl Vouches {
    /// What this box vouches for to who asks.
    fn of(gateway: &Gateway, asker: Asker) -> Self {
        let changed_at = |topic| gateway.histories.changed_at(topic, asker);
        Self {
            upstreams: changed_at(Topic::Upstreams),
            drained_halls: changed_at(Topic::DrainedHalls),
        }
    }
}

/// All records of a topic.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Whole {
    /// The records.
    Here(Vec<StoreRecord>),
    /// Another box gives them: this one gives them to several boxes already.
    At(SocketAddr),
}

impl FollowAnswer {
    /// When the proof dates from by the clock of the box that asked at `asked_at_ms`; none if there is none.
    pub fn proven_at_ms(&self, asked_at_ms: u64, now_ms: u64) -> Option<i64> {
        let age_ms = i64::try_from(self.proof_age_ms?).unwrap_or(i64::MAX);
        // The answer came no sooner than it says, so its proof is no older than this.
        let answered_at_ms = asked_at_ms.saturating_add(self.held_ms).min(now_ms);
        Some(answered_at_ms.cast_signed().saturating_sub(age_ms))
    }
}

/// Answers a box that follows a topic here.
pub async fn answer(gateway: &Arc<Gateway>, query: Option<&str>) -> Response<AnswerBody> {
    let Some(question) = query.and_then(Question::parse) else {
        return bare(StatusCode::BAD_REQUEST);
    };
    let asked_at_ms = gateway.clock.now_ms();
    let histories = &gateway.histories;
    histories.asked(asked_at_ms);
    histories.note_copy(question.topic, question.since, &question.from);
    let until_ms = asked_at_ms + question.wait_ms;
    let mut news = histories.news();
    let proof_at_ms = gateway.proof_at_ms();
    let mut sourceless_since_ms = None;
    loop {
        let now_ms = gateway.clock.now_ms();
        let wake_ms = match histories.behind(question.topic, question.since, question.asker) {
            Ok(behind) => {
                sourceless_since_ms = None;
                let renewed = question.topic == Topic::Site && gateway.proof_at_ms() > proof_at_ms;
                if behind.is_some() || renewed || now_ms >= until_ms {
                    let held_ms = now_ms - asked_at_ms;
                    match follow_answer(gateway, &question, behind, held_ms) {
                        Some(answer) => return message(&answer),
                        None => now_ms + COPY_PAUSE_MS,
                    }
                } else {
                    until_ms
                }
            }
            Err(NoSource::AtAll) => return bare(StatusCode::SERVICE_UNAVAILABLE),
            Err(why @ (NoSource::ForNow | NoSource::NotYet)) => {
                if !gateway.peers.is_settled() {
                    sourceless_since_ms = None;
                }
                let change_ms = source_change_ms(&question, why);
                let limit_ms = *sourceless_since_ms.get_or_insert(now_ms) + change_ms;
                if now_ms >= limit_ms {
                    return bare(StatusCode::SERVICE_UNAVAILABLE);
                }
                limit_ms
            }
        };
        let left = Duration::from_millis(wake_ms - now_ms);
        // Woken or not, the state itself is looked at again.
        let _woken = timeout(left, news.changed()).await;
    }
}

/// Time for which a question waits while this box has no source.
fn source_change_ms(question: &Question, why: NoSource) -> u64 {
    match question.asker {
        _ if why == NoSource::NotYet && question.since.is_zero() => FIRST_ANSWER_MS,
        Asker::Follower => SOURCE_CHANGE_MS,
        Asker::Relay | Asker::Copier => ROOT_CHANGE_MS,
    }
}

/// The answer to a question about a topic; none where all records are to be given and nobody can give them
/// now.
fn follow_answer(
    gateway: &Gateway,
    question: &Question,
    behind: Option<Behind>,
    held_ms: u64,
) -> Option<FollowAnswer> {
    let (revision, whole, changes) = match behind {
        None => (question.since, None, Vec::new()),
        Some(Behind::Whole(revision)) => (revision, Some(whole(gateway, question)?), Vec::new()),
        Some(Behind::Changes(revision, changes)) => (revision, None, changes),
    };
    Some(FollowAnswer {
        revision,
        whole,
        changes,
        held_ms,
        proof_age_ms: gateway.proof_age_ms(),
        vouches: Vouches::of(gateway, question.asker),
    })
}

/// All records of a topic, or who gives them; none where nobody can now.
fn whole(gateway: &Gateway, question: &Question) -> Option<Whole> {
    let here = || Whole::Here(gateway.items(question.topic));
    if question.asker != Asker::Follower || gateway.bulk(question.topic) <= BULK_INLINE {
        return Some(here());
    }
    let now_ms = gateway.clock.now_ms();
    let copies = &gateway.histories;
    match copies.give_copy(question.topic, &question.from, now_ms) {
        CopySource::Local => Some(here()),
        // A box that is not known here any more gives nothing.
        CopySource::Peer(name) => Some(gateway.peers.addr_of(&name).map_or_else(here, Whole::At)),
        CopySource::Unavailable => None,
    }
}

/// What a box asks for.
struct Question {
    topic: Topic,
    from: Name,
    asker: Asker,
    since: Revision,
    wait_ms: u64,
}

impl Question {
    /// Reads `topic=NAME&since=REVISION&wait_ms=N&asker=relay&from=NAME`, or another asker.
    fn parse(query: &str) -> Option<Self> {
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let wait_ms: u64 = field("wait_ms")?.parse().ok()?;
        let asker = match field("asker") {
            Some(RELAY) => Asker::Relay,
            Some(COPIER) => Asker::Copier,
            _ => Asker::Follower,
        };
        Some(Self {
            topic: Topic::from_name(field("topic")?)?,
            from: field("from")?.into(),
            asker,
            since: field("since")?.parse().ok()?,
            wait_ms: wait_ms.min(MAX_WAIT_MS),
        })
    }
}

/// How a box names itself in a question, by what it is to the box that it asks.
const RELAY: &str = "relay";
const FOLLOWER: &str = "follower";
const COPIER: &str = "copier";

/// The path and query at which the box `from` follows a topic.
pub fn follow_path(
    topic: Topic,
    since: Revision,
    wait_ms: u64,
    asker: Asker,
    from: &str,
) -> String {
    let topic = topic.name();
    let asker = match asker {
        Asker::Relay => RELAY,
        Asker::Follower => FOLLOWER,
        Asker::Copier => COPIER,
    };
    format!("{FOLLOW_PATH}?topic={topic}&since={since}&wait_ms={wait_ms}&asker={asker}&from={from}")
}
