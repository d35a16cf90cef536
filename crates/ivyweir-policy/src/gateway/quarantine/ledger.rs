//! Requests that were running at upstreams when these terminated, as known to the fleet.
//!
//! Merging entries of two ledgers is commutative and idempotent, so boxes that exchange their
//! ledgers converge to the same one.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use super::Fingerprint;

/// Terminations after which a request is quarantined. A request at two terminations may have met a
/// power cut and a spot reclaim. With a sixth of a pool lost at a time, one stream in 216 is
/// calculated to meet three such losses in a row.
const QUARANTINE_ENDS: usize = 3;
/// Terminations after which a request is quarantined whatever else was running each time. Where two
/// requests are harmful at the same time, an innocent one may have been at more terminations than
/// either, and those of the harmful ones would be attributed to it.
const UNCONDITIONAL_QUARANTINE_ENDS: usize = 5;
/// Limit of terminations remembered for a request; further ones add no information.
const MAX_ENDS_PER_SUSPECT: usize = 32;
/// Limit of remembered requests.
const MAX_SUSPECTS: usize = 1_024;
/// Terminations closer to each other than this count as one, since they may be a single loss of
/// many upstreams, such as a power failure of a hall; boxes detect such terminations within some 30
/// ms. They are independent all the same where the request was sent to the second upstream after
/// the first had terminated, or where two different tries of a request that never completed were
/// running.
const INDEPENDENT_END_GAP_MS: i64 = 100;
/// Difference up to which two observations of the termination of an upstream are the same; ages are
/// rounded when boxes exchange them.
const SAME_END_TOLERANCE_MS: i64 = 50;
/// Time since its last termination for which a request is remembered, quarantined or not. A caller
/// that repeats a harmful request every hour terminates three upstreams each time; a request whose
/// cause was fixed in the meantime is refused no longer than this.
const RETENTION_MS: i64 = 3_600_000;

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
    /// Whether this termination has another cause than an earlier one, as far as their times and
    /// tries tell.
    fn is_independent_of(&self, earlier: &Self, has_completed: bool) -> bool {
        self.began_at_ms >= earlier.at_ms
            || self.at_ms - earlier.at_ms >= INDEPENDENT_END_GAP_MS
            || !has_completed && self.try_hash != earlier.try_hash
    }
}

/// Observation of a request that was running at an upstream when it terminated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndObservation {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The termination.
    pub end: UpstreamEnd,
    /// When the request last completed before the termination, where the box remembers it.
    pub completed_at_ms: Option<i64>,
}

/// Known state of a request.
#[derive(Debug, Clone, Default)]
struct Suspect {
    /// Terminations since the request last completed.
    ends: Vec<UpstreamEnd>,
    /// When it last completed, as far as is known, or when an operator lifted its quarantine.
    cleared_at_ms: Option<i64>,
    /// Whether another box quarantined the request. That box saw the terminations as independent;
    /// in the local record their times may be too close to each other.
    is_quarantined_elsewhere: bool,
    /// Number of the ledger change that last modified this entry.
    last_change: u64,
}

impl Suspect {
    /// Adds a termination; returns whether it changed the entry. The order in which terminations
    /// are added makes no difference.
    fn add_end(&mut self, end: UpstreamEnd) -> bool {
        if self.cleared_at_ms.is_some_and(|at_ms| end.at_ms <= at_ms) {
            return false;
        }
        let known = self
            .ends
            .iter_mut()
            .find(|known| known.upstream == end.upstream);
        match known {
            // An upstream terminates once, so the latest observation replaces earlier ones.
            Some(known) if known.at_ms + SAME_END_TOLERANCE_MS >= end.at_ms => return false,
            Some(known) => *known = end,
            None => self.ends.push(end),
        }
        // A request that is sent on may reach two upstreams that terminate within a millisecond; the
        // one that it reached later comes second.
        self.ends
            .sort_by_key(|end| (end.at_ms, end.began_at_ms, end.upstream));
        if self.ends.len() > MAX_ENDS_PER_SUSPECT {
            let most = self.ends.iter().map(|end| end.upstream).max();
            self.ends.retain(|end| Some(end.upstream) != most);
            return Some(end.upstream) != most;
        }
        true
    }

    /// Records that the request completed; returns whether that changed the entry.
    fn clear(&mut self, at_ms: i64) -> bool {
        if self.cleared_at_ms.is_some_and(|known_ms| known_ms >= at_ms) {
            return false;
        }
        self.cleared_at_ms = Some(at_ms);
        self.ends.retain(|end| end.at_ms > at_ms);
        self.is_quarantined_elsewhere &= !self.ends.is_empty();
        true
    }

    /// Number of independent terminations that are not attributed to another request.
    fn unattributed_ends(&self, attributed: &HashSet<u64>) -> usize {
        let unattributed = self
            .ends
            .iter()
            .filter(|end| !attributed.contains(&end.upstream));
        if self.is_quarantined_elsewhere {
            return unattributed.count();
        }
        let has_completed = self.cleared_at_ms.is_some();
        let mut last: Option<&UpstreamEnd> = None;
        let mut count = 0;
        for end in unattributed {
            if last.is_none_or(|last| end.is_independent_of(last, has_completed)) {
                count += 1;
                last = Some(end);
            }
        }
        count
    }

    fn last_ms(&self) -> i64 {
        let last_end_ms = self.ends.last().map(|end| end.at_ms);
        last_end_ms.max(self.cleared_at_ms).unwrap_or(i64::MIN)
    }
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
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Terminations since the request last completed.
    pub ends: Vec<EndUpdate>,
    /// Time since the request last completed, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cleared_ago_ms: Option<i64>,
    /// Whether the sending box refuses the request.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_quarantined: bool,
}

/// A quarantine as kept in the store, for the case that all boxes lose their ledgers at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Hashes of the upstreams that terminated while the request was running there.
    pub upstreams: Vec<u64>,
    /// When the last of them terminated, in milliseconds since 1970 by the clock of the writer.
    pub last_end_epoch_ms: u64,
}

impl QuarantineRecord {
    /// Converts the record to a ledger entry. Wall-clock times may jump, so the age is limited to
    /// half of the retention time.
    fn to_update(&self, epoch_ms: u64) -> SuspectUpdate {
        let ago_ms = epoch_ms.saturating_sub(self.last_end_epoch_ms);
        let ago_ms = ago_ms.min(RETENTION_MS.unsigned_abs() / 2).cast_signed();
        let end = |upstream: &u64| EndUpdate {
            upstream: *upstream,
            try_hash: 0,
            ago_ms,
            ran_ms: 0,
        };
        SuspectUpdate {
            fingerprint: self.fingerprint,
            ends: self.upstreams.iter().map(end).collect(),
            cleared_ago_ms: None,
            is_quarantined: true,
        }
    }
}

/// Quarantines that a change of the ledger started or ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuarantineChanges {
    /// Requests refused from now on, with the number of their terminations.
    pub quarantined: Vec<(Fingerprint, usize)>,
    /// Requests served again.
    pub released: Vec<Fingerprint>,
}

impl QuarantineChanges {
    /// Whether no quarantine started or ended.
    pub fn is_empty(&self) -> bool {
        self.quarantined.is_empty() && self.released.is_empty()
    }
}

/// Merged observations of requests that were running at terminating upstreams.
#[derive(Debug, Default)]
pub struct Ledger {
    suspects: HashMap<Fingerprint, Suspect>,
    quarantined: HashSet<Fingerprint>,
    last_change: u64,
}

impl Ledger {
    /// Records that an upstream terminated while these requests were running there.
    pub fn upstream_ended(&mut self, observations: &[EndObservation]) -> QuarantineChanges {
        let mut is_changed = false;
        for observation in observations {
            is_changed |= self.change(observation.fingerprint, |suspect| {
                let is_cleared = observation
                    .completed_at_ms
                    .is_some_and(|ms| suspect.clear(ms));
                suspect.add_end(observation.end) | is_cleared
            });
        }
        self.evaluate_if(is_changed)
    }

    /// Records that a request completed. Requests without recorded terminations are not remembered.
    pub fn completed(&mut self, fingerprint: Fingerprint, at_ms: i64) -> QuarantineChanges {
        let is_suspect = |suspect: &Suspect| !suspect.ends.is_empty();
        if !self.suspects.get(&fingerprint).is_some_and(is_suspect) {
            return QuarantineChanges::default();
        }
        let is_changed = self.change(fingerprint, |suspect| suspect.clear(at_ms));
        self.evaluate_if(is_changed)
    }

    /// Whether a request is refused.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.quarantined.contains(&fingerprint)
    }

    /// Whether an upstream terminated while the request was running there since it last completed.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| !suspect.ends.is_empty())
    }

    /// Fingerprints of the refused requests.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> {
        self.quarantined.iter().copied()
    }

    /// Number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns at most `limit` entries that changed after change `since`, the oldest change first,
    /// and the number of the change up to which they are complete.
    pub fn updates_since(
        &self,
        since: u64,
        limit: usize,
        now_ms: i64,
    ) -> (Vec<SuspectUpdate>, u64) {
        if since >= self.last_change {
            return (Vec::new(), self.last_change);
        }
        let changed = self.suspects.iter();
        let mut changed: Vec<_> = changed.filter(|(_, s)| s.last_change > since).collect();
        changed.sort_unstable_by_key(|(_, suspect)| suspect.last_change);
        let is_all = changed.len() <= limit;
        changed.truncate(limit);
        let last = changed
            .last()
            .map_or(since, |(_, suspect)| suspect.last_change);
        let to_update = |(fingerprint, suspect): (&Fingerprint, &Suspect)| SuspectUpdate {
            fingerprint: *fingerprint,
            ends: suspect
                .ends
                .iter()
                .map(|end| EndUpdate::of(end, now_ms))
                .collect(),
            cleared_ago_ms: suspect.cleared_at_ms.map(|at_ms| now_ms - at_ms),
            is_quarantined: self.is_quarantined(*fingerprint),
        };
        let updates = changed.into_iter().map(to_update).collect();
        (updates, if is_all { self.last_change } else { last })
    }

    /// Merges entries received from another box.
    pub fn merge(&mut self, updates: Vec<SuspectUpdate>, now_ms: i64) -> QuarantineChanges {
        let mut is_changed = false;
        for update in updates {
            is_changed |= self.change(update.fingerprint, |suspect| {
                merge_entry(suspect, &update, now_ms)
            });
        }
        self.evaluate_if(is_changed)
    }

    /// Merges quarantines read from the store.
    pub fn restore(
        &mut self,
        records: &[QuarantineRecord],
        now_ms: i64,
        epoch_ms: u64,
    ) -> QuarantineChanges {
        let updates = records.iter().map(|record| record.to_update(epoch_ms));
        self.merge(updates.collect(), now_ms)
    }

    /// Lifts a quarantine on behalf of an operator.
    pub fn lift(&mut self, fingerprint: Fingerprint, now_ms: i64) -> QuarantineChanges {
        self.completed(fingerprint, now_ms)
    }

    /// Returns the quarantine record of a request for the store; `None` where the request is not
    /// refused.
    pub fn record(
        &self,
        fingerprint: Fingerprint,
        now_ms: i64,
        epoch_ms: u64,
    ) -> Option<QuarantineRecord> {
        let suspect = self.suspects.get(&fingerprint);
        let suspect = suspect.filter(|_| self.is_quarantined(fingerprint))?;
        let last_ms = suspect.ends.last()?.at_ms;
        let ago_ms = now_ms.saturating_sub(last_ms).max(0).unsigned_abs();
        Some(QuarantineRecord {
            fingerprint,
            upstreams: suspect.ends.iter().map(|end| end.upstream).collect(),
            last_end_epoch_ms: epoch_ms.saturating_sub(ago_ms),
        })
    }

    /// Removes entries past their retention time.
    pub fn sweep(&mut self, now_ms: i64) -> QuarantineChanges {
        let before = self.suspects.len();
        let is_kept = |suspect: &Suspect| now_ms - suspect.last_ms() < RETENTION_MS;
        self.suspects.retain(|_, suspect| is_kept(suspect));
        self.evaluate_if(self.suspects.len() != before)
    }

    /// Modifies an entry; returns whether that changed it.
    fn change(
        &mut self,
        fingerprint: Fingerprint,
        change: impl FnOnce(&mut Suspect) -> bool,
    ) -> bool {
        let suspect = self.suspects.entry(fingerprint).or_default();
        let is_changed = change(suspect);
        if is_changed {
            self.last_change += 1;
            suspect.last_change = self.last_change;
        } else if suspect.last_change == 0 {
            self.suspects.remove(&fingerprint);
        }
        if self.suspects.len() > MAX_SUSPECTS {
            self.evict_one();
        }
        is_changed
    }

    /// Evicts the request with the fewest terminations, the oldest of them first; quarantined ones
    /// last.
    fn evict_one(&mut self) {
        let least = |(fingerprint, suspect): &(&Fingerprint, &Suspect)| {
            let is_quarantined = self.quarantined.contains(*fingerprint);
            (is_quarantined, suspect.ends.len(), suspect.last_ms())
        };
        let least = self.suspects.iter().min_by_key(least);
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    fn evaluate_if(&mut self, is_changed: bool) -> QuarantineChanges {
        if is_changed {
            self.evaluate()
        } else {
            QuarantineChanges::default()
        }
    }

    /// Attributes each termination to the request with the most terminations, and quarantines the
    /// requests that reach the limit this way.
    fn evaluate(&mut self) -> QuarantineChanges {
        let before = std::mem::take(&mut self.quarantined);
        let none_attributed = HashSet::new();
        let mut attributed = HashSet::new();
        loop {
            let candidates = self.suspects.iter();
            let candidates = candidates
                .filter(|(f, s)| s.ends.len() >= QUARANTINE_ENDS && !self.quarantined.contains(f));
            let counts: Vec<(Fingerprint, usize)> = candidates
                .map(|(fingerprint, suspect)| {
                    (*fingerprint, suspect.unattributed_ends(&attributed))
                })
                .collect();
            let most = counts.iter().map(|(_, count)| *count).max();
            let Some(most) = most.filter(|most| *most >= QUARANTINE_ENDS) else {
                break;
            };
            // Requests that were together at every termination cannot be told apart.
            for (fingerprint, _) in counts.iter().filter(|(_, count)| *count == most) {
                self.quarantined.insert(*fingerprint);
            }
            for fingerprint in &self.quarantined {
                attributed.extend(
                    self.suspects[fingerprint]
                        .ends
                        .iter()
                        .map(|end| end.upstream),
                );
            }
        }
        let unconditional = self.suspects.iter();
        let unconditional = unconditional.filter(|(_, suspect)| {
            suspect.unattributed_ends(&none_attributed) >= UNCONDITIONAL_QUARANTINE_ENDS
        });
        self.quarantined
            .extend(unconditional.map(|(fingerprint, _)| *fingerprint));
        self.quarantine_changes(&before)
    }

    /// Compares with the requests refused before. A newly refused request is marked as changed, so
    /// that it is sent to other boxes again.
    fn quarantine_changes(&mut self, before: &HashSet<Fingerprint>) -> QuarantineChanges {
        let new = self.quarantined.difference(before);
        let quarantined: Vec<(Fingerprint, usize)> =
            new.map(|f| (*f, self.suspects[f].ends.len())).collect();
        let released = before.difference(&self.quarantined).copied().collect();
        for (fingerprint, _) in &quarantined {
            if let Some(suspect) = self.suspects.get_mut(fingerprint) {
                self.last_change += 1;
                suspect.last_change = self.last_change;
            }
        }
        QuarantineChanges {
            quarantined,
            released,
        }
    }
}

/// Merges a received entry into a known one; returns whether that changed it.
fn merge_entry(suspect: &mut Suspect, update: &SuspectUpdate, now_ms: i64) -> bool {
    let mut is_changed = update
        .cleared_ago_ms
        .is_some_and(|ago_ms| suspect.clear(now_ms.saturating_sub(ago_ms)));
    for end in &update.ends {
        is_changed |= suspect.add_end(end.resolve(now_ms));
    }
    let is_newly_quarantined =
        update.is_quarantined && !suspect.is_quarantined_elsewhere && !suspect.ends.is_empty();
    suspect.is_quarantined_elsewhere |= is_newly_quarantined;
    is_changed | is_newly_quarantined
}
