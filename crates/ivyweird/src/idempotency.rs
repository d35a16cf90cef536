//! At-most-once execution of requests by idempotency key: an in-memory authority for sessions, and
//! claims in the store for all requests.

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

/// Maximum number of replies cached per shard. Keys of evicted replies are reported as lost.
const MAX_REPLIES_PER_SHARD: usize = 256;
/// Maximum body size of a cached reply.
const MAX_REPLY_BYTES: usize = 64 << 10;
/// Attempts to read and conditionally write a claim.
const MAX_CLAIM_ATTEMPTS: usize = 8;
/// Time after which no further attempt starts. The caller is waiting, and a store that takes longer
/// is treated as unavailable.
const CLAIM_TIMEOUT_MS: u64 = 1_000;

/// How to proceed with a request that runs at most once.
#[derive(Debug)]
pub enum ExecutionDecision {
    /// Execute the request, then call [`IdempotencyKeys::finish`], [`IdempotencyKeys::mark_lost`]
    /// or [`IdempotencyKeys::release`].
    Run,
    /// The request has already run and produced this reply.
    Completed(Reply),
    /// The request must not run on this box.
    Refused(Refusal),
    /// The given box is now the authority for the session.
    Forward(Incarnation),
}

/// The idempotency keys that this box is the authority for.
pub struct IdempotencyKeys {
    local: Incarnation,
    shards: Shards<Shard>,
    /// One lock per shard of the journal; serialises this box's writes to the shard.
    journal_locks: Vec<Mutex<()>>,
}

struct Shard {
    authority: Authority<Reply>,
    /// Keys with a cached reply, oldest first.
    cached: VecDeque<Name>,
}

impl IdempotencyKeys {
    /// Creates a registry without any keys.
    pub fn new(local: &Incarnation) -> Self {
        let make = || Shard {
            authority: Authority::new(local.clone()),
            cached: VecDeque::new(),
        };
        Self {
            local: local.clone(),
            shards: Shards::new(make),
            journal_locks: (0..claim::SHARD_COUNT).map(|_| Mutex::new(())).collect(),
        }
    }

    /// Requests to execute `key`. `opener` is the box that opened the session, or this box for a
    /// request without a session.
    pub fn begin(&self, opener: &Incarnation, key: &Name) -> ExecutionDecision {
        match self.shards.lock_for(key).authority.begin(opener, key) {
            BeginOutcome::Run => ExecutionDecision::Run,
            BeginOutcome::Completed(reply) => ExecutionDecision::Completed(reply),
            BeginOutcome::Running => ExecutionDecision::Refused(Refusal::unknown(
                Code::Duplicate,
                "the request with this key is still running",
            )),
            BeginOutcome::Lost => ExecutionDecision::Refused(lost()),
            BeginOutcome::HandedOver(Some(successor)) => ExecutionDecision::Forward(successor),
            BeginOutcome::HandedOver(None) | BeginOutcome::NotAuthority => {
                ExecutionDecision::Refused(Refusal::unknown(
                    Code::SessionLost,
                    "the box that opened the session is gone; open a new session",
                ))
            }
        }
    }

    /// Records the reply of a key that this box executed. A reply above the size limit is not
    /// cached.
    pub fn finish(&self, key: &Name, reply: &Reply) {
        let mut shard = self.shards.lock_for(key);
        if reply.body.len() > MAX_REPLY_BYTES {
            shard.authority.mark_lost(key);
            return;
        }
        shard.authority.finish(key, reply.clone());
        shard.cached.push_back(key.clone());
        if shard.cached.len() > MAX_REPLIES_PER_SHARD
            && let Some(oldest) = shard.cached.pop_front()
        {
            shard.authority.mark_lost(&oldest);
        }
    }

    /// Records that a key ran, or may have run, without a reply that can be returned again.
    pub fn mark_lost(&self, key: &Name) {
        self.shards.lock_for(key).authority.mark_lost(key);
    }

    /// Makes a key usable again after an execution of which nothing was sent to an upstream.
    pub fn release(&self, key: &Name) {
        self.shards.lock_for(key).authority.release(key);
    }

    /// Stops accepting new keys. Returns the final successor and the keys used so far, which are to
    /// be handed over to it.
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

    /// Takes over the sessions of another box and the keys that it used. Returns whether all shards
    /// accepted.
    pub fn adopt(&self, from: &Incarnation, used: Vec<Name>) -> bool {
        let mut used_keys: Vec<Name> = used;
        let mut adopted = true;
        // All used keys must be recorded in their shards before any shard accepts requests of the
        // sessions; otherwise a used key could run again.
        for key in used_keys.drain(..) {
            self.shards.lock_for(&key).authority.mark_lost(&key);
        }
        for mut shard in self.shards.iter() {
            adopted &= shard.authority.adopt(from.clone(), Vec::new());
        }
        adopted
    }

    /// Returns the execution outcome of a key to a peer.
    pub fn outcome(&self, key: &Name) -> pb::OutcomeReply {
        let no_opener = Incarnation {
            box_name: "".into(),
            number: 0,
        };
        let status = |status: pb::OutcomeStatus| pb::OutcomeReply {
            status: status.into(),
            ..Default::default()
        };
        match self.shards.lock_for(key).authority.begin(&no_opener, key) {
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
        "the request with this key has run, or may have, and its answer is not available",
    )
}

/// The outcome of claiming a key in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimWriteOutcome {
    /// The claim is written to the store.
    Granted,
    /// Another request holds the key; this is the incarnation that claimed it.
    Taken(Incarnation),
    /// The store did not confirm the write; the claim may or may not exist.
    NotWritten,
}

/// Claims a key in the store. The request goes through the box that owns the key's shard; without a
/// definite reply from it, or if this box is the owner, the claim is written directly.
pub fn claim_key(node: &Node, workspace: &str, key: &str, nonce: &Name) -> ClaimWriteOutcome {
    let request = pb::ClaimRequest {
        workspace: workspace.to_owned(),
        key: key.to_owned(),
        nonce: nonce.to_string(),
        r#box: node.incarnation.box_name.to_string(),
        incarnation: node.incarnation.number,
        at_ms: Clock::epoch_ms(),
    };
    let shard = claim::shard(workspace, key);
    let serving = node.serving_members();
    let names: Vec<&str> = serving.iter().map(|r| r.name.as_ref()).collect();
    let owner = hash::rendezvous_top(&format!("claim/{shard}"), names, 1)
        .first()
        .copied();
    let remote = serving
        .iter()
        .find(|r| Some(r.name.as_ref()) == owner && r.name != node.incarnation.box_name);
    if let Some(owner) = remote
        && let Ok(reply) = node.peers.claim(&owner.peer_addr, request.clone())
        && reply.status() != pb::ClaimStatus::ClaimUnknown
    {
        return claim_write_outcome(&reply);
    }
    // The conditional update guards against concurrent writers, so writing the claim here is
    // equally safe. Repeating a claim with the same nonce cannot take the key twice.
    write_claim(node, &request)
}

fn claim_write_outcome(reply: &pb::ClaimReply) -> ClaimWriteOutcome {
    match reply.status() {
        pb::ClaimStatus::ClaimGranted => ClaimWriteOutcome::Granted,
        pb::ClaimStatus::ClaimTaken => ClaimWriteOutcome::Taken(Incarnation {
            box_name: reply.holder_box.as_str().into(),
            number: reply.holder_incarnation,
        }),
        _ => ClaimWriteOutcome::NotWritten,
    }
}

/// Encodes the outcome of a claim as a reply to a peer.
pub fn claim_reply(claimed: &ClaimWriteOutcome) -> pb::ClaimReply {
    let status = match claimed {
        ClaimWriteOutcome::Granted => pb::ClaimStatus::ClaimGranted,
        ClaimWriteOutcome::Taken(_) => pb::ClaimStatus::ClaimTaken,
        ClaimWriteOutcome::NotWritten => pb::ClaimStatus::ClaimNotWritten,
    };
    let mut reply = pb::ClaimReply {
        status: status.into(),
        ..Default::default()
    };
    if let ClaimWriteOutcome::Taken(holder) = claimed {
        reply.holder_box = holder.box_name.to_string();
        reply.holder_incarnation = holder.number;
    }
    reply
}

/// Writes a claim to the journal of its shard by conditional update.
pub fn write_claim(node: &Node, request: &pb::ClaimRequest) -> ClaimWriteOutcome {
    let shard = claim::shard(&request.workspace, &request.key);
    let _guard = lock(&node.idempotency.journal_locks[shard as usize]);
    let object = format!("claims/{shard:04}");
    let deadline_ms = node.clock.now_ms() + CLAIM_TIMEOUT_MS;
    for _ in 0..MAX_CLAIM_ATTEMPTS {
        if node.clock.now_ms() > deadline_ms {
            break;
        }
        match try_claim(node, &object, request) {
            Ok(Some(claimed)) => return claimed,
            Ok(None) => {}
            Err(ErrorKind::OutcomeUnknown) => {}
            Err(_) => return ClaimWriteOutcome::NotWritten,
        }
    }
    ClaimWriteOutcome::NotWritten
}

/// Makes one attempt to read and conditionally write the journal. Returns `None` if another writer
/// updated the journal in between.
fn try_claim(
    node: &Node,
    object: &str,
    request: &pb::ClaimRequest,
) -> Result<Option<ClaimWriteOutcome>, ErrorKind> {
    node.metrics.count_store_call("claim_read");
    let stored = node.claim_store.get(object).map_err(|e| e.kind())?;
    let (mut journal, expect) = match &stored {
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
    let already_claimed = journal.claims.contains_key(&entry);
    let claim = Claim {
        nonce: request.nonce.as_str().into(),
        holder: Incarnation {
            box_name: request.r#box.as_str().into(),
            number: request.incarnation,
        },
        at_ms: request.at_ms,
    };
    let outcome = journal.claim(entry, claim);
    let claimed = match outcome {
        ClaimOutcome::Granted => ClaimWriteOutcome::Granted,
        ClaimOutcome::Taken(holder) => ClaimWriteOutcome::Taken(holder),
    };
    if already_claimed {
        return Ok(Some(claimed));
    }
    journal.remove_expired(Clock::epoch_ms());
    let body = serde_json::to_vec(&journal).expect("a journal is always valid JSON");
    node.metrics.count_store_call("claim_write");
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
    /// Returns this box's incarnation, as recorded in the sessions that it opens.
    pub fn opener(&self) -> Incarnation {
        self.idempotency.local.clone()
    }
}
