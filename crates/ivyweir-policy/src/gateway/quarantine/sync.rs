//! Replication of ledgers between pairs of boxes.
//!
//! A box sends the entries that changed since the position last acknowledged by its peer, and
//! acknowledges what it received with its next message. Changes in a lost message are sent again. A
//! box that restarts has a new ledger and is sent everything.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{Ledger, QuarantineChanges, SuspectUpdate};
use crate::Name;

/// Limit of entries in one message, some 30 bytes each. One terminating upstream interrupts 64
/// requests; at the rate at which boxes exchange messages, the 40 upstreams of a hall are covered
/// within 3 s.
pub(super) const MAX_ENTRIES_PER_UPDATE: usize = 256;
/// Limit of peers for which acknowledgements are kept.
const MAX_PEERS: usize = 1_024;

/// Position in a box's ledger.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerPosition {
    /// Id of the ledger: a number drawn when the box starts.
    pub ledger: u64,
    /// Number of the last known change.
    pub change: u64,
}

/// Ledger changes that one box sends to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerUpdate {
    /// Changed entries of requests.
    pub suspects: Vec<SuspectUpdate>,
    /// Changed entries of parts of prompts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<SuspectUpdate>,
    /// Position in the sender's ledger up to which both are complete.
    #[serde(rename = "told")]
    pub sent_up_to: LedgerPosition,
    /// Position in the receiver's ledger up to which the sender has received its changes.
    #[serde(rename = "heard")]
    pub received_up_to: LedgerPosition,
}

#[derive(Debug, Default)]
struct PeerState {
    /// Position in the peer's ledger up to which this box has received its changes.
    received: LedgerPosition,
    /// Whether `received` was sent to the peer.
    is_received_acked: bool,
    /// Position in this box's ledger that the peer has acknowledged.
    acknowledged: LedgerPosition,
}

/// Separates entries of requests from those of parts. They are sent in fields of their own, because a box whose build
/// knows of requests only would take parts for requests.
pub fn split_by_kind(suspects: Vec<SuspectUpdate>) -> (Vec<SuspectUpdate>, Vec<SuspectUpdate>) {
    let is_request = |suspect: &SuspectUpdate| suspect.kind.is_request();
    suspects.into_iter().partition(is_request)
}

/// Replication state of this box's ledger, by peer.
#[derive(Debug)]
pub struct LedgerSync {
    ledger_id: u64,
    peers: HashMap<Name, PeerState>,
}

impl LedgerSync {
    /// Creates the replication state of the ledger with this id.
    pub fn new(ledger_id: u64) -> Self {
        Self {
            ledger_id,
            peers: HashMap::new(),
        }
    }

    /// Returns the update to send to a peer, or `None` where the peer is up to date. The first
    /// message to a peer may be empty; it announces that this ledger is new.
    pub fn update_for(
        &mut self,
        peer: &Name,
        ledger: &Ledger,
        now_ms: i64,
    ) -> Option<LedgerUpdate> {
        let ledger_id = self.ledger_id;
        let state = self.peer(peer);
        let is_same_ledger = state.acknowledged.ledger == ledger_id;
        let since = if is_same_ledger {
            state.acknowledged.change
        } else {
            0
        };
        let (suspects, change) = ledger.updates_since(since, MAX_ENTRIES_PER_UPDATE, now_ms);
        let is_received_acked = std::mem::replace(&mut state.is_received_acked, true);
        if suspects.is_empty() && is_received_acked {
            return None;
        }
        let (suspects, parts) = split_by_kind(suspects);
        Some(LedgerUpdate {
            suspects,
            parts,
            sent_up_to: LedgerPosition {
                ledger: ledger_id,
                change,
            },
            received_up_to: state.received,
        })
    }

    /// Applies an update received from a peer.
    pub fn receive(
        &mut self,
        peer: &Name,
        update: LedgerUpdate,
        ledger: &mut Ledger,
        now_ms: i64,
    ) -> QuarantineChanges {
        let state = self.peer(peer);
        let suspects = [update.suspects, update.parts].concat();
        state.is_received_acked = suspects.is_empty();
        state.received = update.sent_up_to;
        state.acknowledged = update.received_up_to;
        ledger.merge(suspects, now_ms)
    }

    fn peer(&mut self, name: &Name) -> &mut PeerState {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(name) {
            // Peers whose state is dropped are sent the whole ledger again.
            self.peers.clear();
        }
        self.peers.entry(name.clone()).or_default()
    }
}
