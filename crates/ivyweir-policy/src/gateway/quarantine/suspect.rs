//! What a box knows of one request, or of one shared part of prompts, during which upstreams terminated.

mod part;
mod update;

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use super::completions::Completions;
use super::runs::LOST_RUN_RETENTION_MS;
use crate::hash::hash64;

pub(super) use update::EndUpdate;
pub use update::SuspectUpdate;

/// Terminations after which a suspect is quarantined. A request at two terminations may have met a
/// power cut and a spot reclaim. With a sixth of a pool lost at a time, one stream in 216 is
/// calculated to meet three such losses in a row.
pub(super) const QUARANTINE_ENDS: usize = 3;
/// Limit of terminations remembered for a request; further ones add no information.
const MAX_ENDS_PER_SUSPECT: usize = 32;
/// Terminations closer to each other than this count as one, since they may be a single loss of
/// many upstreams, such as a power failure of a hall; boxes detect such terminations within some 30
/// ms. They are independent all the same where the request was sent to the second upstream after
/// the first had terminated, or where two different tries of a request that never completed were
/// running.
pub(super) const INDEPENDENT_END_GAP_MS: i64 = 100;
/// Difference up to which two observations of the termination of an upstream are the same; ages are
/// rounded when boxes exchange them.
const SAME_END_TOLERANCE_MS: i64 = 50;
/// The same for completions of a request.
const SAME_CLEARANCE_TOLERANCE_MS: u64 = SAME_END_TOLERANCE_MS.unsigned_abs();

/// The termination of an upstream while a request was running there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamEnd {
    /// Hash of the upstream's incarnation.
    pub upstream: u64,
    /// Hash of the id of the interrupted try.
    pub try_hash: u32,
    /// When the request was sent to the upstream, by the clock of this box.
    pub began_at_ms: i64,
    /// When the upstream terminated.
    pub at_ms: i64,
}

impl UpstreamEnd {
    /// Orders terminations by time. A request that is sent on may reach two upstreams that terminate
    /// within a millisecond; the one that it reached later comes second.
    fn sort_key(&self) -> (i64, i64, u64) {
        (self.at_ms, self.began_at_ms, self.upstream)
    }

    /// Whether another one is the same observation, as told by another box: its times vary with the
    /// transit times of messages.
    fn is_same_observation(&self, other: &Self) -> bool {
        let ran_ms = self.at_ms - self.began_at_ms;
        self.try_hash == other.try_hash && ran_ms == other.at_ms - other.began_at_ms
    }

    /// Whether this termination has another cause than an earlier one, as far as their times and
    /// tries tell.
    fn is_independent_of(&self, earlier: &Self, has_completed: bool) -> bool {
        self.began_at_ms >= earlier.at_ms
            || self.at_ms - earlier.at_ms >= INDEPENDENT_END_GAP_MS
            || !has_completed && self.try_hash != earlier.try_hash
    }
}

/// The last completion of a request, or the lifting of its quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Clearance {
    at_ms: i64,
    /// Identifies it among boxes, whose times for it differ by the transit times of messages; 0 where
    /// it is unknown.
    id: u32,
}

impl Clearance {
    /// Creates the clearance of a request by an event on this box.
    fn new(at_ms: i64) -> Self {
        let id = hash64(&[&at_ms.to_le_bytes()]) as u32;
        Self { at_ms, id }
    }

    /// Whether this one, as told by another box, replaces a known one. If it did so each time that its
    /// time is later, boxes would tell each other the same one for ever, later each time.
    fn replaces(&self, known: &Self) -> bool {
        let is_close = self.at_ms.abs_diff(known.at_ms) <= SAME_CLEARANCE_TOLERANCE_MS;
        if is_close {
            return self.id > known.id;
        }
        (self.id == 0 || self.id != known.id) && self.at_ms > known.at_ms
    }
}

/// What is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SuspectKind {
    /// A request, by its whole content. One complete answer clears it.
    #[default]
    Request,
    /// A part of prompts that several requests share. Answers that are completed on it are weighed
    /// against terminations.
    Part,
}

impl SuspectKind {
    /// Whether it is a request.
    pub fn is_request(&self) -> bool {
        *self == Self::Request
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Part => "part",
        }
    }
}

/// Known state of a request or of a part.
#[derive(Debug, Clone)]
pub(super) struct Suspect {
    kind: SuspectKind,
    /// The last answers that were completed on a part.
    completions: Completions,
    /// Number of other upstreams at which this box was running a part when one terminated: they have not, so far.
    running_elsewhere: usize,
    /// The last request that was let through to find out whether a quarantined part still terminates
    /// upstreams, and when.
    trial: Option<(Fingerprint, i64)>,
    /// Number of such requests since an answer was last completed.
    trials: u32,
    /// Terminations since the request last completed.
    ends: Vec<UpstreamEnd>,
    /// Broken connections since then to upstreams that are not known to have terminated.
    unconfirmed: Vec<UpstreamEnd>,
    /// Whether there ever was a termination. Otherwise the entry is dropped with its broken connections.
    has_had_ends: bool,
    /// When it last completed, as far as is known, or when an operator lifted its quarantine.
    cleared: Option<Clearance>,
    /// Whether another box quarantined the request, or any box the part. That box saw the terminations as
    /// independent; in the local record their times may be too close to each other.
    is_quarantined_elsewhere: bool,
    /// Number of the ledger change that last modified this entry.
    pub(super) last_change: u64,
}

impl Suspect {
    /// Creates the state of a suspect without terminations; `completions` are those on a part.
    pub(super) fn new(kind: SuspectKind, completions: Completions) -> Self {
        Self {
            kind,
            completions,
            running_elsewhere: 0,
            trial: None,
            trials: 0,
            ends: Vec::new(),
            unconfirmed: Vec::new(),
            has_had_ends: false,
            cleared: None,
            is_quarantined_elsewhere: false,
            last_change: 0,
        }
    }

    pub(super) fn kind(&self) -> SuspectKind {
        self.kind
    }

    /// Whether both were at the terminations of the same upstreams.
    pub(super) fn has_same_ends(&self, other: &Self) -> bool {
        let is_shared = |end: &UpstreamEnd| other.ends.iter().any(|o| o.upstream == end.upstream);
        self.ends.len() == other.ends.len() && self.ends.iter().all(is_shared)
    }

    /// Terminations since the request last completed, in order.
    pub(super) fn ends(&self) -> &[UpstreamEnd] {
        &self.ends
    }

    /// Broken connections that may still turn out to be terminations.
    pub(super) fn unconfirmed(&self, now_ms: i64) -> impl Iterator<Item = &UpstreamEnd> {
        self.unconfirmed
            .iter()
            .filter(move |end| now_ms < unconfirmed_until_ms(end))
    }

    /// Whether a termination or a broken connection counts against the request.
    pub(super) fn is_suspected(&self) -> bool {
        !self.ends.is_empty() || !self.unconfirmed.is_empty()
    }

    /// Adds a termination; returns whether it changed the entry. The order in which terminations
    /// are added makes no difference.
    pub(super) fn add_end(&mut self, end: UpstreamEnd) -> bool {
        if self.is_cleared_after(&end) {
            return false;
        }
        self.has_had_ends = true;
        self.unconfirmed
            .retain(|broken| broken.upstream != end.upstream);
        let known = self
            .ends
            .iter_mut()
            .find(|known| known.upstream == end.upstream);
        match known {
            // Retold, an observation only becomes later, so the earliest time is the closest. Boxes that know it are not
            // told of a small difference.
            Some(known) if known.is_same_observation(&end) => {
                let is_news = end.at_ms + SAME_END_TOLERANCE_MS < known.at_ms;
                if end.at_ms < known.at_ms {
                    *known = end;
                    self.ends.sort_by_key(UpstreamEnd::sort_key);
                }
                return is_news;
            }
            // An upstream terminates once, so the latest observation replaces earlier ones.
            Some(known) if known.at_ms + SAME_END_TOLERANCE_MS >= end.at_ms => return false,
            Some(known) => *known = end,
            None => self.ends.push(end),
        }
        self.ends.sort_by_key(UpstreamEnd::sort_key);
        if self.ends.len() > MAX_ENDS_PER_SUSPECT && self.kind == SuspectKind::Part {
            // Only those after the last completions count.
            return self.ends.remove(0).upstream != end.upstream;
        }
        if self.ends.len() > MAX_ENDS_PER_SUSPECT {
            let most = self.ends.iter().map(|end| end.upstream).max();
            self.ends.retain(|end| Some(end.upstream) != most);
            return Some(end.upstream) != most;
        }
        true
    }

    /// Adds a broken connection to an upstream that may have terminated; returns whether it changed
    /// the entry.
    pub(super) fn add_unconfirmed(&mut self, end: UpstreamEnd) -> bool {
        if self.is_cleared_after(&end)
            || self.ends.iter().any(|known| known.upstream == end.upstream)
        {
            return false;
        }
        let of_upstream = |known: &&mut UpstreamEnd| known.upstream == end.upstream;
        match self.unconfirmed.iter_mut().find(of_upstream) {
            Some(known) if known.is_same_observation(&end) => return false,
            Some(known) if known.at_ms >= end.at_ms => return false,
            Some(known) => *known = end,
            None => self.unconfirmed.push(end),
        }
        self.unconfirmed.sort_by_key(UpstreamEnd::sort_key);
        if self.unconfirmed.len() > MAX_ENDS_PER_SUSPECT {
            self.unconfirmed.remove(0);
        }
        true
    }

    /// Removes broken connections that count no more.
    pub(super) fn expire_unconfirmed(&mut self, now_ms: i64) {
        self.unconfirmed
            .retain(|end| now_ms < unconfirmed_until_ms(end));
    }

    /// Whether the entry contains nothing worth keeping.
    pub(super) fn is_empty(&self) -> bool {
        !self.has_had_ends && self.unconfirmed.is_empty()
    }

    /// Records that the request completed; returns whether that changed the entry.
    pub(super) fn clear(&mut self, at_ms: i64) -> bool {
        if self.cleared.is_some_and(|known| known.at_ms >= at_ms) {
            return false;
        }
        self.set_cleared(Clearance::new(at_ms));
        true
    }

    fn set_cleared(&mut self, clearance: Clearance) {
        self.cleared = Some(clearance);
        self.ends.retain(|end| end.at_ms > clearance.at_ms);
        self.unconfirmed.retain(|end| end.at_ms > clearance.at_ms);
        self.is_quarantined_elsewhere &= !self.ends.is_empty();
    }

    fn is_cleared_after(&self, end: &UpstreamEnd) -> bool {
        self.cleared.is_some_and(|known| end.at_ms <= known.at_ms)
    }

    /// Times of the independent terminations that count against the suspect: those that are not attributed to another
    /// one, and under a part those behind which few answers were completed.
    pub(super) fn counted_ends(&self, attributed: &HashSet<u64>) -> Vec<i64> {
        self.independent_ends(self.ends.iter(), attributed)
    }

    /// Number of independent terminations there are if all broken connections turn out to be some.
    pub(super) fn possible_ends(&self, attributed: &HashSet<u64>, now_ms: i64) -> usize {
        let mut possible: Vec<&UpstreamEnd> = self.ends.iter().collect();
        possible.extend(self.unconfirmed(now_ms));
        possible.sort_by_key(|end| end.sort_key());
        self.independent_ends(possible.into_iter(), attributed)
            .len()
    }

    fn independent_ends<'a>(
        &self,
        ends: impl Iterator<Item = &'a UpstreamEnd>,
        attributed: &HashSet<u64>,
    ) -> Vec<i64> {
        let settled_until_ms = self.completions.settled_until_ms();
        let unattributed = ends.filter(|end| {
            let is_settled = settled_until_ms.is_some_and(|ms| end.at_ms <= ms);
            !is_settled && !attributed.contains(&end.upstream)
        });
        if self.is_quarantined_elsewhere {
            return unattributed.map(|end| end.at_ms).collect();
        }
        let has_completed = self.cleared.is_some() || !self.never_completed();
        let mut last: Option<&UpstreamEnd> = None;
        let mut times_ms = Vec::new();
        for end in unattributed {
            if last.is_none_or(|last| end.is_independent_of(last, has_completed)) {
                times_ms.push(end.at_ms);
                last = Some(end);
            }
        }
        times_ms
    }

    pub(super) fn last_ms(&self) -> i64 {
        let ends = self.ends.iter().chain(&self.unconfirmed);
        let last_end_ms = ends.map(|end| end.at_ms).max();
        let cleared_at_ms = self.cleared.map(|known| known.at_ms);
        last_end_ms.max(cleared_at_ms).unwrap_or(i64::MIN)
    }
}

/// Time until which a broken connection may turn out to be a termination: as long as its request
/// counts as running there.
pub(super) fn unconfirmed_until_ms(end: &UpstreamEnd) -> i64 {
    end.at_ms + LOST_RUN_RETENTION_MS.cast_signed()
}
