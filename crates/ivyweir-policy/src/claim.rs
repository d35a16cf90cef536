//! At most once: the authority for the keys of a session, and the claim journal for the others.
//!
//! The box that opened a session is the only one that runs its not-repeatable keys. It records a
//! key before it sends. On a planned stop it freezes, hands its keys to one successor, and never
//! runs one again. Keys without a session are claimed in a journal in the store, whose conditional
//! update is the fence. `tests/claim_model.rs` explores both.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::Name;

/// One start of a box.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Incarnation {
    /// The box.
    pub box_name: Name,
    /// Its incarnation.
    pub number: u64,
}

/// What an authority says to a request that wants to run a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin<A> {
    /// Run it, now and once.
    Run,
    /// It runs already.
    Running,
    /// It has run; this is its answer.
    Kept(A),
    /// It has run or may have; the answer is lost.
    Lost,
    /// This box has handed over, or is about to.
    HandedOver(Option<Incarnation>),
    /// This box is not the authority for that session.
    NotMine,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum State<A> {
    Running,
    Done(A),
    Lost,
}

/// Whether an authority still runs keys.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    Active,
    /// Takes no key any more; the successor is the only one it will ever hand over to.
    Frozen(Option<Incarnation>),
}

/// The keys that one box incarnation answers for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Authority<A> {
    me: Incarnation,
    phase: Phase,
    keys: HashMap<Name, State<A>>,
    adopted: Vec<Incarnation>,
}

impl<A: Clone> Authority<A> {
    /// An authority for the sessions that `me` opens.
    pub fn new(me: Incarnation) -> Self {
        Self {
            me,
            phase: Phase::Active,
            keys: HashMap::new(),
            adopted: Vec::new(),
        }
    }

    /// Asks to run `key` of a session that `opener` opened.
    pub fn begin(&mut self, opener: &Incarnation, key: &Name) -> Begin<A> {
        let is_mine = *opener == self.me || self.adopted.contains(opener);
        match self.keys.get(key) {
            Some(State::Running) => return Begin::Running,
            Some(State::Done(answer)) => return Begin::Kept(answer.clone()),
            Some(State::Lost) => return Begin::Lost,
            None => {}
        }
        if !is_mine {
            return Begin::NotMine;
        }
        if let Phase::Frozen(successor) = &self.phase {
            return Begin::HandedOver(successor.clone());
        }
        self.keys.insert(key.clone(), State::Running);
        Begin::Run
    }

    /// Records the answer of a key that ran here.
    pub fn finish(&mut self, key: &Name, answer: A) {
        self.keys.insert(key.clone(), State::Done(answer));
    }

    /// Records that a key ran, or may have, and has no answer to keep.
    pub fn lose(&mut self, key: &Name) {
        self.keys.insert(key.clone(), State::Lost);
    }

    /// Takes back a key of which nothing has left for an upstream.
    pub fn release(&mut self, key: &Name) {
        let running = matches!(self.keys.get(key), Some(State::Running));
        assert!(
            running,
            "only a key that began and did not leave is released"
        );
        self.keys.remove(key);
    }

    /// Stops running keys for ever and names the one successor. Returns the keys used so far.
    ///
    /// Later calls keep the first successor: a second one could run a key that the first ran.
    pub fn freeze(&mut self, successor: Option<Incarnation>) -> (Option<Incarnation>, Vec<Name>) {
        if self.phase == Phase::Active {
            self.phase = Phase::Frozen(successor);
        }
        let Phase::Frozen(chosen) = &self.phase else {
            unreachable!("the phase was just set")
        };
        (chosen.clone(), self.keys.keys().cloned().collect())
    }

    /// Becomes the authority for the sessions of `from`, whose used keys are never run here.
    ///
    /// Returns whether it did; a frozen authority adopts nobody.
    pub fn adopt(&mut self, from: Incarnation, used: Vec<Name>) -> bool {
        if self.phase != Phase::Active {
            return false;
        }
        for key in used {
            self.keys.entry(key).or_insert(State::Lost);
        }
        if !self.adopted.contains(&from) {
            self.adopted.push(from);
        }
        true
    }

    /// Number of keys recorded.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is recorded.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

/// Shards of the claim journal.
pub const SHARDS: u64 = 1_024;

/// How long a claim is remembered.
pub const CLAIM_KEPT_MS: u64 = 24 * 3_600 * 1_000;

/// The shard of a key.
pub fn shard(workspace: &str, key: &str) -> u64 {
    crate::hash::hash64(&[b"claim", workspace.as_bytes(), key.as_bytes()]) % SHARDS
}

/// One claim: whoever holds it may run the key, once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Unique to the request that asks; tells one's own claim from another's.
    pub nonce: Name,
    /// The box that runs it.
    pub holder: Incarnation,
    /// When, in milliseconds since the epoch.
    pub at_ms: u64,
}

/// The claims of one shard, as the store keeps them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Journal {
    /// Claims by workspace and key, joined by a line feed.
    pub claims: BTreeMap<Name, Claim>,
}

/// What the journal says of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The claim is in the journal: once that is in the store, its nonce may run the key.
    Granted,
    /// Somebody else holds the key.
    Taken(Incarnation),
}

impl Journal {
    /// The name of a key in the journal.
    pub fn entry_name(workspace: &str, key: &str) -> Name {
        format!("{workspace}\n{key}").into()
    }

    /// Adds a claim unless the key is taken; asking again with the same nonce changes nothing.
    pub fn claim(&mut self, entry_name: Name, claim: Claim) -> Verdict {
        let held = self
            .claims
            .entry(entry_name)
            .or_insert_with(|| claim.clone());
        if held.nonce == claim.nonce {
            Verdict::Granted
        } else {
            Verdict::Taken(held.holder.clone())
        }
    }

    /// Drops claims that are older than [`CLAIM_KEPT_MS`].
    pub fn forget(&mut self, now_ms: u64) {
        let oldest_ms = now_ms.saturating_sub(CLAIM_KEPT_MS);
        self.claims.retain(|_, c| c.at_ms >= oldest_ms);
    }
}
