//! Division of the capacity of an upstream among boxes.
//!
//! Some boxes may neither know the others nor remember what they sent. The capacity of an upstream
//! is therefore divided into parts with one owner each: first among halls, then among the boxes of
//! a hall, both in rendezvous order. Boxes agree on the owners without a message. While boxes
//! disagree about the membership, a part may have no owner; a box that others may not know, or that
//! has forgotten what it sent, owns nothing.

use std::sync::Arc;

use crate::hash::mix;

/// Time since its start in which a box owns nothing: it has forgotten what it sent, and boxes that
/// start together have yet to learn of each other.
const STARTUP_HOLD_MS: u64 = 3_000;
/// Time since a box last joined at a seed from which it owns nothing: shorter than the time after
/// which others remove it and take over its parts.
const MAX_JOIN_AGE_MS: u64 = 15_000;

/// The boxes among which the capacity of upstreams is divided, as seen by one of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuotaOwners {
    /// Hashes of the names of the halls.
    halls: Vec<u64>,
    own_hall: u64,
    /// Hashes of the names of the boxes of this hall.
    boxes: Vec<u64>,
    own_box: u64,
}

impl QuotaOwners {
    /// Creates the owners from the hashes of their names; the own hall and box are added where they
    /// are missing.
    pub fn new(mut halls: Vec<u64>, own_hall: u64, mut boxes: Vec<u64>, own_box: u64) -> Self {
        halls.push(own_hall);
        halls.sort_unstable();
        halls.dedup();
        boxes.push(own_box);
        boxes.sort_unstable();
        boxes.dedup();
        Self {
            halls,
            own_hall,
            boxes,
            own_box,
        }
    }

    /// Number of boxes of this hall.
    pub fn hall_size(&self) -> usize {
        self.boxes.len()
    }

    /// How many of the `parts` of an upstream this box owns.
    pub fn own_parts(&self, upstream: u64, parts: u32) -> u32 {
        let hall_parts = portion(parts, &self.halls, self.own_hall, upstream);
        portion(hall_parts, &self.boxes, self.own_box, upstream)
    }
}

/// Portion of `whole` that falls to one of `parties`: equal portions, and one more for those that
/// come first in rendezvous order for `key`.
fn portion(whole: u32, parties: &[u64], own: u64, key: u64) -> u32 {
    let count = u32::try_from(parties.len().max(1)).unwrap_or(u32::MAX);
    let score = |party: u64| (mix(key, party), party);
    let before = parties.iter().filter(|&&p| score(p) > score(own)).count();
    let is_among_first = (before as u64) < u64::from(whole % count);
    whole / count + u32::from(is_among_first)
}

/// Whether a box may own parts now, by the time since its start and since it last joined the
/// others; `None` where it has none to join.
pub fn may_own(up_ms: u64, since_joined_ms: Option<u64>) -> bool {
    up_ms >= STARTUP_HOLD_MS && since_joined_ms.is_none_or(|since_ms| since_ms < MAX_JOIN_AGE_MS)
}

/// Current share of this box in the capacity of upstreams.
#[derive(Debug, Clone, Default)]
pub struct QuotaShare {
    owners: Arc<QuotaOwners>,
    may_own: bool,
    boxes: u32,
}

impl QuotaShare {
    /// Creates the share from the owners and the number of boxes of all halls; `may_own` tells
    /// whether this box may own parts now.
    pub fn new(owners: Arc<QuotaOwners>, may_own: bool, boxes: usize) -> Self {
        let boxes = u32::try_from(boxes).unwrap_or(u32::MAX);
        Self {
            owners,
            may_own,
            boxes,
        }
    }

    /// Whether this box may own parts now.
    pub fn may_own(&self) -> bool {
        self.may_own
    }

    /// Number of boxes of all halls, this one included.
    pub fn boxes(&self) -> u32 {
        self.boxes.max(1)
    }

    /// How many of the `parts` of an upstream this box owns now.
    pub fn own_parts(&self, upstream: u64, parts: u32) -> u32 {
        if self.may_own {
            self.owners.own_parts(upstream, parts)
        } else {
            0
        }
    }
}
