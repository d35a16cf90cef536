//! Requests that run at most once: authority for sessions, claims in the store for all.

use std::collections::VecDeque;
use std::sync::Mutex;

use ivyweir_caller::Reply;
use ivyweir_peer::pb;
use ivyweir_platform::{ErrorKind, Precondition, PutOutcome};
use ivyweir_policy::claim::{
    self, Authority, BeginOutcome, Claim, ClaimOutcome, Incarnation, Journal,
};
use ivyweir_policy::{Code, Name, Refusal, hash};

use crate::clock::Clock;
use crate::node::Node;
use crate::shards::{Shards, lock};

/// Answers kept per shard; an older one is told as lost.
const KEPT_PER_SHARD: usize = 256;
/// Largest answer that is kept.
const MAX_KEPT_BYTES: usize = 64 << 10;
/// Rounds of read and conditional write before a claim is given up.
const CLAIM_ROUNDS: usize = 8;
/// Time after which no further round is begun: a caller waits, and a store that hangs is out.
const CLAIM_MS: u64 = 1_000;

/// What a request that runs at most once may do.
#[derive(Debug)]
pub enum Permit {
    /// Run it, now and once; then [`Once::finish`] or [`Once::lose`] it.
    Run,
    /// It has run: this is its answer.
    Kept(Reply),
    /// It must not run here.
    Refused(Refusal),
    /// Another box holds the authority.
    Elsewhere(Incarnation),
}

/// The keys that this box answers for.
pub struct Once {
    me: Incarnation,
    shards: Shards<Shard>,
    /// One writer of claims at a time and shard of the journal.
    writers: Vec<Mutex<()>>,
}

struct Shard {
    authority: Authority<Reply>,
    kept: VecDeque<Name>,
}

impl Once {
    /// No key used.
    pub fn new(me: &Incarnation) -> Self {
        let make = || Shard {
            authority: Authority::new(me.clone()),
            kept: VecDeque::new(),
        };
        Self {
            me: me.clone(),
            shards: Shards::new(make),
            writers: (0..claim::SHARD_COUNT).map(|_| Mutex::new(())).collect(),
        }
    }

    /// Asks to run `key`, for a session that `opener` opened or for none.
    pub fn begin(&self, opener: &Incarnation, key: &Name) -> Permit {
        match self.shards.of(key).authority.begin(opener, key) {
            BeginOutcome::Run => Permit::Run,
            BeginOutcome::Completed(reply) => Permit::Kept(reply),
            BeginOutcome::Running => Permit::Refused(Refusal::unknown(
                Code::Duplicate,
                "the request with this key is still running",
            )),
            BeginOutcome::Lost => Permit::Refused(lost()),
            BeginOutcome::HandedOver(Some(successor)) => Permit::Elsewhere(successor),
            BeginOutcome::HandedOver(None) | BeginOutcome::NotAuthority => {
                Permit::Refused(Refusal::unknown(
                    Code::SessionLost,
                    "the box that opened the session is gone; open a new session",
                ))
            }
        }
    }

    /// Keeps the answer of a key that ran here.
    pub fn finish(&self, key: &Name, reply: &Reply) {
        let mut shard = self.shards.of(key);
        if reply.body.len() > MAX_KEPT_BYTES {
            shard.authority.mark_lost(key);
            return;
        }
        shard.authority.finish(key, reply.clone());
        shard.kept.push_back(key.clone());
        if shard.kept.len() > KEPT_PER_SHARD
            && let Some(oldest) = shard.kept.pop_front()
        {
            shard.authority.mark_lost(&oldest);
        }
    }

    /// Notes that a key ran, or may have, without an answer.
    pub fn lose(&self, key: &Name) {
        self.shards.of(key).authority.mark_lost(key);
    }

    /// Takes back a key of which nothing has left for an upstream.
    pub fn release(&self, key: &Name) {
        self.shards.of(key).authority.release(key);
    }

    /// Runs no key any more and passes the used ones on. Returns the one successor and the keys.
    pub fn freeze(&self, successor: Option<Incarnation>) -> (Option<Incarnation>, Vec<Name>) {
        let mut chosen = successor;
        let mut used = Vec::new();
        for mut shard in self.shards.iter() {
            let (first, keys) = shard.authority.freeze(chosen.clone());
            chosen = first;
            used.extend(keys);
        }
        (chosen, used)
    }

    /// Takes over another box's sessions and the keys it used. Returns whether it did.
    pub fn adopt(&self, from: &Incarnation, used: Vec<Name>) -> bool {
        let mut by_shard: Vec<Name> = used;
        let mut adopted = true;
        // Each key goes to its own shard before any shard answers for the sessions.
        for key in by_shard.drain(..) {
            self.shards.of(&key).authority.mark_lost(&key);
        }
        for mut shard in self.shards.iter() {
            adopted &= shard.authority.adopt(from.clone(), Vec::new());
        }
        adopted
    }

    /// The answer of a key, for a peer that was asked for it.
    pub fn outcome(&self, key: &Name) -> pb::OutcomeReply {
        let nobody = Incarnation {
            box_name: "".into(),
            number: 0,
        };
        let status = |status: pb::OutcomeStatus| pb::OutcomeReply {
            status: status.into(),
            ..Default::default()
        };
        match self.shards.of(key).authority.begin(&nobody, key) {
            BeginOutcome::Completed(reply) => pb::OutcomeReply {
                status: pb::OutcomeStatus::OutcomeKept.into(),
                http_status: u32::from(reply.status),
                content_type: content_type(&reply),
                body: reply.body,
            },
            BeginOutcome::Running => status(pb::OutcomeStatus::OutcomeRunning),
            _ => status(pb::OutcomeStatus::OutcomeUnknown),
        }
    }
}

fn content_type(reply: &Reply) -> String {
    let header = reply
        .headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case("content-type"));
    header.map(|h| h.value.clone()).unwrap_or_default()
}

#[cold]
fn lost() -> Refusal {
    Refusal::unknown(
        Code::Duplicate,
        "the key was used and its answer is not kept",
    )
}

/// What the journal in the store says of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claimed {
    /// The claim is in the store.
    Granted,
    /// Somebody else holds the key.
    Taken(Incarnation),
    /// The store did not answer; the claim may be there or not.
    NotWritten,
}

/// Claims a key in the store, through the owner of its shard if that is another box.
pub fn claim_key(node: &Node, workspace: &str, key: &str, nonce: &Name) -> Claimed {
    let request = pb::ClaimRequest {
        workspace: workspace.to_owned(),
        key: key.to_owned(),
        nonce: nonce.to_string(),
        r#box: node.me.box_name.to_string(),
        incarnation: node.me.number,
        at_ms: Clock::epoch_ms(),
    };
    let shard = claim::shard(workspace, key);
    let serving = node.serving();
    let names: Vec<&str> = serving.iter().map(|r| r.name.as_ref()).collect();
    let owner = hash::rendezvous_top(&format!("claim/{shard}"), names, 1)
        .first()
        .copied();
    let remote = serving
        .iter()
        .find(|r| Some(r.name.as_ref()) == owner && r.name != node.me.box_name);
    if let Some(owner) = remote
        && let Ok(reply) = node.peers.claim(&owner.peer_addr, request.clone())
        && reply.status() != pb::ClaimStatus::ClaimUnknown
    {
        return claimed_of(&reply);
    }
    // The update is the fence, so writing it here is as safe; asking again with the same nonce
    // cannot take the key twice.
    write_claim(node, &request)
}

fn claimed_of(reply: &pb::ClaimReply) -> Claimed {
    match reply.status() {
        pb::ClaimStatus::ClaimGranted => Claimed::Granted,
        pb::ClaimStatus::ClaimTaken => Claimed::Taken(Incarnation {
            box_name: reply.holder_box.as_str().into(),
            number: reply.holder_incarnation,
        }),
        _ => Claimed::NotWritten,
    }
}

/// The reply to a peer that asked for a claim.
pub fn claim_reply(claimed: &Claimed) -> pb::ClaimReply {
    let status = match claimed {
        Claimed::Granted => pb::ClaimStatus::ClaimGranted,
        Claimed::Taken(_) => pb::ClaimStatus::ClaimTaken,
        Claimed::NotWritten => pb::ClaimStatus::ClaimNotWritten,
    };
    let mut reply = pb::ClaimReply {
        status: status.into(),
        ..Default::default()
    };
    if let Claimed::Taken(holder) = claimed {
        reply.holder_box = holder.box_name.to_string();
        reply.holder_incarnation = holder.number;
    }
    reply
}

/// Writes a claim into its shard's journal by conditional update.
pub fn write_claim(node: &Node, request: &pb::ClaimRequest) -> Claimed {
    let shard = claim::shard(&request.workspace, &request.key);
    let _one_at_a_time = lock(&node.once.writers[shard as usize]);
    let object = format!("claims/{shard:04}");
    let give_up_ms = node.clock.now_ms() + CLAIM_MS;
    for _ in 0..CLAIM_ROUNDS {
        if node.clock.now_ms() > give_up_ms {
            break;
        }
        match claim_round(node, &object, request) {
            Ok(Some(claimed)) => return claimed,
            Ok(None) => {}
            Err(ErrorKind::OutcomeUnknown) => {}
            Err(_) => return Claimed::NotWritten,
        }
    }
    Claimed::NotWritten
}

/// One read and conditional write; none if it has to be done again.
fn claim_round(
    node: &Node,
    object: &str,
    request: &pb::ClaimRequest,
) -> Result<Option<Claimed>, ErrorKind> {
    node.metrics.store_call("claim_read");
    let held = node.claim_store.get(object).map_err(|e| e.kind())?;
    let (mut journal, expect) = match &held {
        None => (Journal::default(), Precondition::Absent),
        Some(object) => {
            let journal = serde_json::from_slice(&object.body);
            (
                journal.map_err(|_| ErrorKind::InvalidResponse)?,
                Precondition::Revision(object.revision),
            )
        }
    };
    let entry = Journal::entry_name(&request.workspace, &request.key);
    let was_there = journal.claims.contains_key(&entry);
    let claim = Claim {
        nonce: request.nonce.as_str().into(),
        holder: Incarnation {
            box_name: request.r#box.as_str().into(),
            number: request.incarnation,
        },
        at_ms: request.at_ms,
    };
    let verdict = journal.claim(entry, claim);
    let claimed = match verdict {
        ClaimOutcome::Granted => Claimed::Granted,
        ClaimOutcome::Taken(holder) => Claimed::Taken(holder),
    };
    if was_there {
        return Ok(Some(claimed));
    }
    journal.remove_expired(Clock::epoch_ms());
    let body = serde_json::to_vec(&journal).expect("a journal is always valid JSON");
    node.metrics.store_call("claim_write");
    node.metrics.claim_writes.add(1, &[]);
    match node
        .claim_store
        .put(object, &body, expect)
        .map_err(|e| e.kind())?
    {
        PutOutcome::Written { .. } => Ok(Some(claimed)),
        PutOutcome::Conflict => Ok(None),
    }
}

impl Node {
    /// This box's incarnation, as the opener of its sessions.
    pub fn opener(&self) -> Incarnation {
        self.once.me.clone()
    }
}
