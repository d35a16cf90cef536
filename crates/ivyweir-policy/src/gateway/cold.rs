//! How many requests a box may send to an upstream that is cold.
//!
//! For some seconds after its start, and at times later, an upstream bears a few requests a second and falls
//! over well above that. The rate is a sum over all boxes, and some boxes may neither hear of the others nor
//! remember what they sent. So each upstream's rate is shared out among owners: first among halls, then among
//! the boxes of a hall, both in rendezvous order. Boxes agree on it without a message, and a box that owns no
//! part of an upstream's rate sends nothing there while it is cold. A rate of 8 requests a second and 84 boxes
//! in four halls make 8 owners of one request each.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::rank::mix;

/// The span over which requests are counted, in milliseconds: a second, and a tenth since they take
/// different times to arrive.
const WINDOW_MS: u64 = 1_100;
/// Time since its start in which a box owns nothing: it has forgotten what it sent, and boxes that start
/// together have heard of each other after 2.1 s, at the end of their first rounds at the seeds.
const SETTLING_MS: u64 = 3_000;
/// Time since a box last joined at a seed from which it owns nothing. Others drop it after 20 s and take its
/// parts over.
const JOINED_MS: u64 = 15_000;

/// How a pool's upstreams are cold after their start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Time for which one is cold after its start.
    pub lasts_ms: u64,
    /// Requests a second that one bears meanwhile.
    pub requests_per_s: f64,
}

impl ColdStart {
    /// Whether the rate is one that can be kept to.
    pub fn is_sane(&self) -> bool {
        self.requests_per_s.is_finite() && self.requests_per_s > 0.0
    }

    /// Requests that a cold upstream is to get within a second, over all boxes: at least one, or it would get
    /// nothing while it is cold.
    pub fn limit(&self) -> u32 {
        (self.requests_per_s as u32).max(1)
    }
}

/// The boxes among which the rates of cold upstreams are shared out, as one of them sees it.
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

    /// This box's part of an upstream's `limit`.
    pub fn own_part(&self, upstream: u64, limit: u32) -> u32 {
        let of_hall = part_of(limit, &self.halls, self.own_hall, upstream);
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

/// When requests were sent to an upstream lately.
#[derive(Debug, Clone, Default)]
pub struct RecentSends {
    at_ms: VecDeque<u64>,
}

impl RecentSends {
    /// Counts a request that is sent now.
    pub fn note(&mut self, now_ms: u64) {
        self.forget(now_ms);
        self.at_ms.push_back(now_ms);
    }

    /// Requests of the last second.
    pub fn count(&self, now_ms: u64) -> u32 {
        let recent = self.at_ms.iter().filter(|&&at| is_recent(at, now_ms));
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }

    fn forget(&mut self, now_ms: u64) {
        while self.at_ms.front().is_some_and(|&at| !is_recent(at, now_ms)) {
            self.at_ms.pop_front();
        }
    }
}

fn is_recent(at_ms: u64, now_ms: u64) -> bool {
    at_ms + WINDOW_MS > now_ms
}
