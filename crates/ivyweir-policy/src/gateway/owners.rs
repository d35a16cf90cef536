//! Which box may send how much of what an upstream takes from all boxes together.
//!
//! Some boxes may neither hear of the others nor remember what they sent. So what an upstream takes is shared out among
//! owners: first among halls, then among the boxes of a hall, both in rendezvous order. Boxes agree on it without a
//! message. Where boxes disagree about which of them there are, a part may be nobody's for a while; a box that others
//! may not know, or that has forgotten what it sent, owns nothing.

use std::sync::Arc;

use crate::hash::mix;

/// Time since its start in which a box owns nothing: it has forgotten what it sent, and boxes that start together
/// have yet to hear of each other.
const SETTLING_MS: u64 = 3_000;
/// Time since a box last joined at a seed from which it owns nothing: shorter than the time after which others drop it
/// and take its parts over.
const JOINED_MS: u64 = 15_000;

/// The boxes among which what upstreams take is shared out, as one of them sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Owners {
    /// Hashes of the halls' names.
    halls: Vec<u64>,
    own_hall: u64,
    /// Hashes of the names of this hall's boxes.
    boxes: Vec<u64>,
    own_box: u64,
}

impl Owners {
    /// The owners by the hashes of their names; a hall or box that is missing in its list is added.
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

    /// Boxes of this hall.
    pub fn hall_size(&self) -> usize {
        self.boxes.len()
    }

    /// How many of an upstream's `parts` are this box's.
    pub fn own_part(&self, upstream: u64, parts: u32) -> u32 {
        let of_hall = part_of(parts, &self.halls, self.own_hall, upstream);
        part_of(of_hall, &self.boxes, self.own_box, upstream)
    }
}

/// The part of a whole that falls to one of `parties`: equal parts, and one more for those that come first
/// in rendezvous order for `key`.
fn part_of(whole: u32, parties: &[u64], own: u64, key: u64) -> u32 {
    let count = u32::try_from(parties.len().max(1)).unwrap_or(u32::MAX);
    let score = |party: u64| (mix(key, party), party);
    let before = parties.iter().filter(|&&p| score(p) > score(own)).count();
    let is_among_first = (before as u64) < u64::from(whole % count);
    whole / count + u32::from(is_among_first)
}

/// Whether a box may own parts now, by the time since its start and since it last joined the others; no
/// time where it has none to join.
pub fn may_own(up_ms: u64, since_joined_ms: Option<u64>) -> bool {
    up_ms >= SETTLING_MS && since_joined_ms.is_none_or(|since_ms| since_ms < JOINED_MS)
}

/// How this box shares what upstreams take with others now.
#[derive(Debug, Clone, Default)]
pub struct Sharing {
    owners: Arc<Owners>,
    may_own: bool,
    boxes: u32,
}

impl Sharing {
    /// Among these boxes, `boxes` in all halls; `may_own` tells whether this one may own parts now.
    pub fn new(owners: Arc<Owners>, may_own: bool, boxes: usize) -> Self {
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

    /// Boxes of all halls, this one included.
    pub fn boxes(&self) -> u32 {
        self.boxes.max(1)
    }

    /// How many of an upstream's `parts` are this box's now.
    pub fn own_part(&self, upstream: u64, parts: u32) -> u32 {
        if self.may_own {
            self.owners.own_part(upstream, parts)
        } else {
            0
        }
    }
}
