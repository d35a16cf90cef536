//! At-most-once execution of idempotency keys.
//!
//! The box that opened a session is the only one that executes its non-repeatable keys (the
//! [`Authority`]). It records a key before it sends the request. On a planned shutdown it freezes,
//! hands its keys over to one successor and never executes a key again. Keys without a session are
//! claimed in a [`Journal`] in the store, whose conditional update prevents two holders.
//! `tests/claim_model.rs` explores both protocols exhaustively.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::Name;

/// One run of the process of a box.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Incarnation {
    /// Name of the box.
    pub box_name: Name,
    /// Incarnation number of the box.
    pub number: u64,
}

/// Answer of an [`Authority`] to a request to execute a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginOutcome<A> {
    /// The caller must execute it now, exactly once.
    Run,
    /// It is being executed.
    Running,
    /// It was executed; this is the stored answer.
    Completed(A),
    /// It was or may have been executed; the answer is lost.
    Lost,
    /// This box is frozen; its keys are or will be handed over to the successor, if there is one.
    HandedOver(Option<Incarnation>),
    /// This box is not the authority for the session.
    NotAuthority,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum KeyState<A> {
    Running,
    Completed(A),
    Lost,
}

/// Whether an authority still accepts keys.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    Active,
    /// Accepts no further keys. The successor is final.
    Frozen(Option<Incarnation>),
}

/// Execution state of the keys that one box incarnation is responsible for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Authority<A> {
    incarnation: Incarnation,
    phase: Phase,
    keys: HashMap<Name, KeyState<A>>,
    adopted_from: Vec<Incarnation>,
}

impl<A: Clone> Authority<A> {
    /// Creates an authority for the sessions opened by `incarnation`.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            phase: Phase::Active,
            keys: HashMap::new(),
            adopted_from: Vec::new(),
        }
    }

    /// Requests to execute `key` of a session opened by `opener`.
    pub fn begin(&mut self, opener: &Incarnation, key: &Name) -> BeginOutcome<A> {
        let is_authority = *opener == self.incarnation || self.adopted_from.contains(opener);
        match self.keys.get(key) {
            Some(KeyState::Running) => return BeginOutcome::Running,
            Some(KeyState::Completed(answer)) => return BeginOutcome::Completed(answer.clone()),
            Some(KeyState::Lost) => return BeginOutcome::Lost,
            None => {}
        }
        if !is_authority {
            return BeginOutcome::NotAuthority;
        }
        if let Phase::Frozen(successor) = &self.phase {
            return BeginOutcome::HandedOver(successor.clone());
        }
        self.keys.insert(key.clone(), KeyState::Running);
        BeginOutcome::Run
    }

    /// Records the answer of a key executed by this box.
    pub fn finish(&mut self, key: &Name, answer: A) {
        self.keys.insert(key.clone(), KeyState::Completed(answer));
    }

    /// Records that a key was or may have been executed and has no stored answer.
    pub fn mark_lost(&mut self, key: &Name) {
        self.keys.insert(key.clone(), KeyState::Lost);
    }

    /// Removes a key whose request was never sent to an upstream.
    ///
    /// # Panics
    ///
    /// Panics if the key is not being executed.
    pub fn release(&mut self, key: &Name) {
        let running = matches!(self.keys.get(key), Some(KeyState::Running));
        assert!(running, "release of a key that is not being executed");
        self.keys.remove(key);
    }

    /// Permanently stops accepting keys and sets the successor. Returns the successor and all keys
    /// used so far.
    ///
    /// Later calls keep the first successor: a second successor could execute a key that the first
    /// has already executed.
    pub fn freeze(&mut self, successor: Option<Incarnation>) -> (Option<Incarnation>, Vec<Name>) {
        if self.phase == Phase::Active {
            self.phase = Phase::Frozen(successor);
        }
        let Phase::Frozen(chosen) = &self.phase else {
            unreachable!("the phase was just set")
        };
        (chosen.clone(), self.keys.keys().cloned().collect())
    }

    /// Takes over the sessions of `from`. Its used keys are never executed here; those without a
    /// record on this box are recorded as lost.
    ///
    /// Returns `false` if this authority is frozen.
    pub fn adopt(&mut self, from: Incarnation, used_keys: Vec<Name>) -> bool {
        if self.phase != Phase::Active {
            return false;
        }
        for key in used_keys {
            self.keys.entry(key).or_insert(KeyState::Lost);
        }
        if !self.adopted_from.contains(&from) {
            self.adopted_from.push(from);
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

/// Number of shards of the claim journal.
pub const SHARD_COUNT: u64 = 1_024;

/// Retention period of a claim.
pub const CLAIM_RETENTION_MS: u64 = 24 * 3_600 * 1_000;

/// Returns the journal shard of a key.
pub fn shard(workspace: &str, key: &str) -> u64 {
    crate::hash::hash64(&[b"claim", workspace.as_bytes(), key.as_bytes()]) % SHARD_COUNT
}

/// A claim on a key. Its holder may execute the key once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Unique per request; identifies whether a stored claim is from this request.
    pub nonce: Name,
    /// Box that executes the request.
    pub holder: Incarnation,
    /// Time of the claim, in milliseconds since the epoch.
    pub at_ms: u64,
}

/// The claims of one shard, as stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Journal {
    /// Claims by workspace and key, joined by a line feed.
    pub claims: BTreeMap<Name, Claim>,
}

/// Result of [`Journal::claim`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim is in the journal. Its request may execute the key once the journal is stored.
    Granted,
    /// Another request holds the key.
    Taken(Incarnation),
}

impl Journal {
    /// Returns the name of a key in the journal.
    pub fn entry_name(workspace: &str, key: &str) -> Name {
        format!("{workspace}\n{key}").into()
    }

    /// Adds a claim unless the key is taken. Repeating a claim with the same nonce is a no-op.
    pub fn claim(&mut self, entry_name: Name, claim: Claim) -> ClaimOutcome {
        let existing = self
            .claims
            .entry(entry_name)
            .or_insert_with(|| claim.clone());
        if existing.nonce == claim.nonce {
            ClaimOutcome::Granted
        } else {
            ClaimOutcome::Taken(existing.holder.clone())
        }
    }

    /// Removes claims older than [`CLAIM_RETENTION_MS`].
    pub fn remove_expired(&mut self, now_ms: u64) {
        let oldest_ms = now_ms.saturating_sub(CLAIM_RETENTION_MS);
        self.claims.retain(|_, c| c.at_ms >= oldest_ms);
    }
}
