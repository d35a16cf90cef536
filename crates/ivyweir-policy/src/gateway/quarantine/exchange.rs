//! How two boxes tell each other what is new in their ledgers.
//!
//! A box tells what changed since the other one last confirmed, and confirms what it heard with its next
//! message. A message that is lost is told again; a box that starts anew has another ledger and is told
//! everything.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{Ledger, SuspectNews, Verdicts};
use crate::Name;

/// Entries told at once, some 30 bytes each: an upstream takes 64 requests with it, and a hall's 40 upstreams are
/// told within 3 s at the rate at which boxes talk.
const TOLD_AT_ONCE: usize = 256;
/// Boxes of which is remembered what they confirmed.
const PEERS_KEPT: usize = 1_024;

/// A place in a box's ledger.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The box's ledger: a number drawn at its start.
    pub ledger: u64,
    /// The last change of it that is known.
    pub change: u64,
}

/// What one box tells another of its ledger.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerNews {
    /// Entries that changed.
    pub suspects: Vec<SuspectNews>,
    /// Up to where they tell all.
    pub told: Place,
    /// Up to where the teller knows the other one's ledger.
    pub heard: Place,
}

#[derive(Debug, Default)]
struct Peer {
    /// Up to where this box knows the peer's ledger.
    heard: Place,
    /// Whether the peer was told so.
    is_heard_told: bool,
    /// Up to where the peer knows this box's.
    confirmed: Place,
}

/// What the other boxes know of this box's ledger, and it of theirs.
#[derive(Debug)]
pub struct Exchange {
    ledger: u64,
    peers: HashMap<Name, Peer>,
}

impl Exchange {
    /// Of the ledger with this number.
    pub fn new(ledger: u64) -> Self {
        Self {
            ledger,
            peers: HashMap::new(),
        }
    }

    /// What a box is to be told; none where it knows everything. The first message tells it that this ledger
    /// has just begun.
    pub fn news_for(&mut self, peer: &Name, ledger: &Ledger, now_ms: i64) -> Option<LedgerNews> {
        let own = self.ledger;
        let known = self.peer(peer);
        let is_same = known.confirmed.ledger == own;
        let since = if is_same { known.confirmed.change } else { 0 };
        let (suspects, change) = ledger.news(since, TOLD_AT_ONCE, now_ms);
        let is_heard_told = std::mem::replace(&mut known.is_heard_told, true);
        if suspects.is_empty() && is_heard_told {
            return None;
        }
        Some(LedgerNews {
            suspects,
            told: Place {
                ledger: own,
                change,
            },
            heard: known.heard,
        })
    }

    /// Takes in what a box told.
    pub fn hear(
        &mut self,
        peer: &Name,
        news: LedgerNews,
        ledger: &mut Ledger,
        now_ms: i64,
    ) -> Verdicts {
        let known = self.peer(peer);
        known.is_heard_told = news.suspects.is_empty();
        known.heard = news.told;
        known.confirmed = news.heard;
        ledger.hear(news.suspects, now_ms)
    }

    fn peer(&mut self, name: &Name) -> &mut Peer {
        if self.peers.len() >= PEERS_KEPT && !self.peers.contains_key(name) {
            // Whoever is forgotten is told everything once more.
            self.peers.clear();
        }
        self.peers.entry(name.clone()).or_default()
    }
}
