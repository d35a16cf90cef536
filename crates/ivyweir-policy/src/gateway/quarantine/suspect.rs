//! What a box knows of one request, or of one shared part of prompts, during which upstreams terminated.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use super::completions::{Completion, CompletionUpdate, Completions};
use super::runs::LOST_RUN_RETENTION_MS;
use crate::hash::hash64;

/// Terminations after which a suspect is quarantined. A request at two terminations may have met a
/// power cut and a spot reclaim. With a sixth of a pool lost at a time, one stream in 216 is
/// calculated to meet three such losses in a row.
pub(super) const QUARANTINE_ENDS: usize = 3;
/// Answers that were completed on a part for which one termination more is needed to quarantine it. A part
/// under which every other run terminates its upstream is quarantined after twice as many as one under
/// which every run does.
const COMPLETIONS_PER_END: usize = 3;
/// The same for other upstreams that are running requests with the part.
const RUNNING_PER_END: usize = 2;
/// Limit of terminations remembered for a request; further ones add no information.
const MAX_ENDS_PER_SUSPECT: usize = 32;
/// Terminations closer to each other than this count as one, since they may be a single loss of
/// many upstreams, such as a power failure of a hall; boxes detect such terminations within some 30
/// ms. They are independent all the same where the request was sent to the second upstream after
/// the first had terminated, or where two different tries of a request that never completed were
/// running.
pub(super) const INDEPENDENT_END_GAP_MS: i64 = 100;
/// Time after the last termination under a quarantined part in which no request with it is let through; it doubles with
/// each such request under which another upstream terminates.
const TRIAL_INTERVAL_MS: i64 = 30_000;
/// Largest such time.
const MAX_TRIAL_INTERVAL_MS: i64 = 1_800_000;
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

    /// Records the number of other upstreams at which this box was running a part when one terminated.
    pub(super) fn set_running_elsewhere(&mut self, upstreams: usize) {
        self.running_elsewhere = upstreams;
    }

    /// Whether both were at the terminations of the same upstreams.
    pub(super) fn has_same_ends(&self, other: &Self) -> bool {
        let is_shared = |end: &UpstreamEnd| other.ends.iter().any(|o| o.upstream == end.upstream);
        self.ends.len() == other.ends.len() && self.ends.iter().all(is_shared)
    }

    /// Number of terminations that suffice to quarantine it, if so many could be there by chance.
    pub(super) fn needed_ends(&self, by_chance: usize) -> usize {
        QUARANTINE_ENDS.max(by_chance)
            + self.completions.len() / COMPLETIONS_PER_END
            + self.running_elsewhere / RUNNING_PER_END
    }

    /// Whether no answer is known that was completed on a part.
    pub(super) fn never_completed(&self) -> bool {
        self.completions.len() == 0
    }

    /// Whether it is to be ruled out that a part was at its terminations by chance.
    pub(super) fn may_be_there_by_chance(&self) -> bool {
        self.kind == SuspectKind::Part && !self.is_quarantined_elsewhere
    }

    /// Records that this box quarantined a part. It remains so until answers complete on it, also where runs are
    /// interrupted more often later.
    pub(super) fn confirm(&mut self) {
        self.is_quarantined_elsewhere |= self.kind == SuspectKind::Part;
    }

    /// Whether so few answers were completed on a part that it is held to few upstreams, if it was at
    /// this number of terminations.
    pub(super) fn is_unproven(&self, ends: usize) -> bool {
        self.completions.len() + self.running_elsewhere < ends * COMPLETIONS_PER_END
    }

    /// Records a completion on a part; returns whether that changed the entry. Where as many as are
    /// kept came after the last termination, further ones tell nothing.
    pub(super) fn add_completion(&mut self, completion: Completion) -> bool {
        let last_end_ms = self.ends.last().map(|end| end.at_ms);
        let settled_until_ms = self.completions.settled_until_ms();
        if settled_until_ms.is_some_and(|ms| last_end_ms.is_none_or(|end_ms| ms > end_ms)) {
            return false;
        }
        self.completions.add(completion)
    }

    /// Whether a request is the one that was let through last, and nothing was lost since.
    pub(super) fn is_on_trial(&self, request: Fingerprint) -> bool {
        let last_ms = self
            .ends
            .iter()
            .chain(&self.unconfirmed)
            .map(|end| end.at_ms)
            .max();
        self.trial
            .is_some_and(|(tried, at_ms)| tried == request && last_ms.is_none_or(|ms| ms < at_ms))
    }

    /// Lets a request through if the last termination is long ago, and so is the last such request or
    /// an answer was completed since it. Returns whether it does.
    pub(super) fn take_trial(&mut self, request: Fingerprint, now_ms: i64) -> bool {
        if self.trial_due_in_ms(now_ms) > 0 {
            return false;
        }
        let is_first = self.unanswered_trial_ms().is_none();
        self.trials = if is_first { 1 } else { self.trials + 1 };
        self.trial = Some((request, now_ms));
        true
    }

    /// When the last request was let through, unless an answer was completed since.
    fn unanswered_trial_ms(&self) -> Option<i64> {
        let trial_ms = self.trial.map(|(_, at_ms)| at_ms)?;
        (self.completions.last_ms() <= Some(trial_ms)).then_some(trial_ms)
    }

    /// Time until the next request is let through.
    pub(super) fn trial_due_in_ms(&self, now_ms: i64) -> i64 {
        let last_end_ms = self.ends.last().map(|end| end.at_ms);
        let trial_ms = self.unanswered_trial_ms();
        let interval_ms = match trial_ms {
            Some(_) => TRIAL_INTERVAL_MS << self.trials.min(16),
            None => TRIAL_INTERVAL_MS,
        };
        let interval_ms = interval_ms.min(MAX_TRIAL_INTERVAL_MS);
        let last_ms = last_end_ms.max(trial_ms);
        last_ms.map_or(0, |ms| (ms + interval_ms - now_ms).max(0))
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

    /// Builds the entry as sent to another box.
    pub(super) fn to_update(
        &self,
        fingerprint: Fingerprint,
        is_quarantined: bool,
        now_ms: i64,
    ) -> SuspectUpdate {
        let to_update = |end: &UpstreamEnd| EndUpdate::of(end, now_ms);
        let completions = self.completions.iter();
        SuspectUpdate {
            fingerprint,
            kind: self.kind,
            completions: completions
                .map(|completion| CompletionUpdate::of(completion, now_ms))
                .collect(),
            ends: self.ends.iter().map(to_update).collect(),
            unconfirmed: self.unconfirmed(now_ms).map(to_update).collect(),
            is_transient: !self.has_had_ends,
            cleared_ago_ms: self.cleared.map(|known| now_ms - known.at_ms),
            cleared_id: self.cleared.map_or(0, |known| known.id),
            is_quarantined,
        }
    }

    /// Merges a received entry; returns whether that changed this one.
    pub(super) fn merge(&mut self, update: &SuspectUpdate, now_ms: i64) -> bool {
        self.has_had_ends |= !update.is_transient;
        let mut is_changed = self.merge_clearance(update, now_ms);
        for completion in &update.completions {
            is_changed |= self.completions.add(completion.resolve(now_ms));
        }
        for end in &update.ends {
            is_changed |= self.add_end(end.resolve(now_ms));
        }
        for end in &update.unconfirmed {
            is_changed |= self.add_unconfirmed(end.resolve(now_ms));
        }
        let is_newly_quarantined =
            update.is_quarantined && !self.is_quarantined_elsewhere && !self.ends.is_empty();
        self.is_quarantined_elsewhere |= is_newly_quarantined;
        is_changed | is_newly_quarantined
    }

    /// Applies the clearance of a received entry; returns whether it replaced the known one.
    fn merge_clearance(&mut self, update: &SuspectUpdate, now_ms: i64) -> bool {
        let Some(ago_ms) = update.cleared_ago_ms else {
            return false;
        };
        let mut told = Clearance {
            at_ms: now_ms.saturating_sub(ago_ms),
            id: update.cleared_id,
        };
        if let Some(known) = self.cleared {
            if !told.replaces(&known) {
                return false;
            }
            told.at_ms = told.at_ms.max(known.at_ms);
        }
        self.set_cleared(told);
        true
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

/// Termination of an upstream as sent to another box. Clocks of boxes differ, so times are sent as
/// ages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndUpdate {
    /// Hash of the upstream's incarnation.
    #[serde(rename = "u")]
    upstream: u64,
    /// Hash of the id of the interrupted try.
    #[serde(rename = "t")]
    try_hash: u32,
    /// Time since the termination, in milliseconds.
    #[serde(rename = "ago")]
    ago_ms: i64,
    /// Time for which the request had been at the upstream, in milliseconds.
    #[serde(rename = "ran")]
    ran_ms: i64,
}

impl EndUpdate {
    /// Builds the entry of a record in the store, which keeps no more of a termination.
    pub(super) fn from_store(upstream: u64, ago_ms: i64) -> Self {
        Self {
            upstream,
            try_hash: 0,
            ago_ms,
            ran_ms: 0,
        }
    }

    fn of(end: &UpstreamEnd, now_ms: i64) -> Self {
        Self {
            upstream: end.upstream,
            try_hash: end.try_hash,
            ago_ms: now_ms - end.at_ms,
            ran_ms: end.at_ms - end.began_at_ms,
        }
    }

    /// Converts the ages to times of the clock of this box.
    fn resolve(&self, now_ms: i64) -> UpstreamEnd {
        let at_ms = now_ms.saturating_sub(self.ago_ms);
        UpstreamEnd {
            upstream: self.upstream,
            try_hash: self.try_hash,
            began_at_ms: at_ms.saturating_sub(self.ran_ms),
            at_ms,
        }
    }
}

/// Entry of the ledger as sent to another box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// Fingerprint of the request or part.
    pub fingerprint: Fingerprint,
    /// What it is.
    #[serde(default, skip_serializing_if = "SuspectKind::is_request")]
    pub kind: SuspectKind,
    /// The last answers that were completed on a part.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub completions: Vec<CompletionUpdate>,
    /// Terminations since the request last completed.
    pub ends: Vec<EndUpdate>,
    /// Broken connections to upstreams that are not known to have terminated.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unconfirmed: Vec<EndUpdate>,
    /// Whether the sending box knows of no termination, before the last completion or after it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_transient: bool,
    /// Time since the request last completed, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cleared_ago_ms: Option<i64>,
    /// Identifies the completion; 0 where it is unknown.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cleared_id: u32,
    /// Whether the sending box refuses the request.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_quarantined: bool,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}
