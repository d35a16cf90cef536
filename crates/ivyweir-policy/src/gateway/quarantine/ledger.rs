//! Requests that were running at upstreams when these terminated, as known to the fleet.
//!
//! Merging entries of two ledgers is commutative and idempotent, so boxes that exchange their
//! ledgers converge to the same one.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use super::suspect::{
    EndUpdate, INDEPENDENT_END_GAP_MS, Suspect, SuspectUpdate, UpstreamEnd, unconfirmed_until_ms,
};
use super::sync::MAX_ENTRIES_PER_UPDATE;
use crate::hash::hash64;

/// Terminations after which a request is quarantined. A request at two terminations may have met a
/// power cut and a spot reclaim. With a sixth of a pool lost at a time, one stream in 216 is
/// calculated to meet three such losses in a row.
const QUARANTINE_ENDS: usize = 3;
/// Terminations after which a request is quarantined whatever else was running each time. Where two
/// requests are harmful at the same time, an innocent one may have been at more terminations than
/// either, and those of the harmful ones would be attributed to it.
const UNCONDITIONAL_QUARANTINE_ENDS: usize = 5;
/// Limit of remembered requests.
const MAX_SUSPECTS: usize = 1_024;
/// Time since its last termination for which a request is remembered, quarantined or not. A caller
/// that repeats a harmful request every hour terminates three upstreams each time; a request whose
/// cause was fixed in the meantime is refused no longer than this.
const RETENTION_MS: i64 = 3_600_000;

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
        let end = |upstream: &u64| EndUpdate::from_store(*upstream, ago_ms);
        SuspectUpdate {
            fingerprint: self.fingerprint,
            ends: self.upstreams.iter().map(end).collect(),
            unconfirmed: Vec::new(),
            is_transient: false,
            cleared_ago_ms: None,
            cleared_id: 0,
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

/// The upstreams to which a request may be sent while it is not known whether it terminated them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Containment {
    /// Hashes of the upstreams to which its connections broke.
    pub upstreams: Vec<u64>,
    /// When the first of them no longer counts as a possible termination, by the clock of this box.
    pub until_ms: i64,
}

impl Containment {
    /// Whether the request may be sent to an upstream.
    pub fn allows(&self, upstream_id: &str) -> bool {
        self.upstreams.contains(&hash64(&[upstream_id.as_bytes()]))
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

    /// Records that the connection of a request broke and that it is not known whether its upstream
    /// terminated. Returns whether the request is contained now.
    pub fn connection_broke(&mut self, observation: &EndObservation) -> bool {
        let EndObservation {
            fingerprint, end, ..
        } = *observation;
        self.change(fingerprint, |suspect| {
            let completed_at_ms = observation.completed_at_ms;
            let is_cleared = completed_at_ms.is_some_and(|ms| suspect.clear(ms));
            suspect.add_unconfirmed(end) | is_cleared
        });
        self.containment(fingerprint, end.at_ms).is_some()
    }

    /// Returns the containment of a request that is quarantined if the upstreams to which its
    /// connections broke have terminated. It is sent to no other upstream until that is known.
    pub fn containment(&self, fingerprint: Fingerprint, now_ms: i64) -> Option<Containment> {
        let suspect = self.suspects.get(&fingerprint)?;
        let unconfirmed: Vec<&UpstreamEnd> = suspect.unconfirmed(now_ms).collect();
        let is_possible = suspect.ends().len() + unconfirmed.len() >= QUARANTINE_ENDS;
        if !is_possible || self.is_quarantined(fingerprint) {
            return None;
        }
        let until_ms = unconfirmed
            .iter()
            .map(|end| unconfirmed_until_ms(end))
            .min()?;
        let attributed = self.attributed_ends();
        let is_contained = suspect.possible_ends(&attributed, now_ms) >= QUARANTINE_ENDS;
        is_contained.then(|| Containment {
            upstreams: unconfirmed.iter().map(|end| end.upstream).collect(),
            until_ms,
        })
    }

    /// Terminations that are attributed to quarantined requests.
    fn attributed_ends(&self) -> HashSet<u64> {
        let suspects = self.quarantined.iter().filter_map(|f| self.suspects.get(f));
        suspects
            .flat_map(|suspect| suspect.ends().iter().map(|end| end.upstream))
            .collect()
    }

    /// Records that a request completed. Requests without recorded terminations are not remembered.
    pub fn completed(&mut self, fingerprint: Fingerprint, at_ms: i64) -> QuarantineChanges {
        if !self
            .suspects
            .get(&fingerprint)
            .is_some_and(Suspect::is_suspected)
        {
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
        suspect.is_some_and(|suspect| !suspect.ends().is_empty())
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
        let to_update = |(fingerprint, suspect): (&Fingerprint, &Suspect)| {
            suspect.to_update(*fingerprint, self.is_quarantined(*fingerprint), now_ms)
        };
        let updates = changed.into_iter().map(to_update).collect();
        (updates, if is_all { self.last_change } else { last })
    }

    /// Returns the entries of requests during which upstreams terminated, for a box that starts: as
    /// many as fit into a message, quarantined requests first, then those with the most terminations.
    pub fn snapshot(&self, now_ms: i64) -> Vec<SuspectUpdate> {
        let suspects = self.suspects.iter();
        let mut suspects: Vec<_> = suspects.filter(|(_, s)| !s.ends().is_empty()).collect();
        suspects.sort_unstable_by_key(|(fingerprint, suspect)| {
            let is_quarantined = self.is_quarantined(**fingerprint);
            Reverse((is_quarantined, suspect.ends().len(), suspect.last_ms()))
        });
        suspects.truncate(MAX_ENTRIES_PER_UPDATE);
        let to_update = |(fingerprint, suspect): (&Fingerprint, &Suspect)| {
            suspect.to_update(*fingerprint, self.is_quarantined(*fingerprint), now_ms)
        };
        suspects.into_iter().map(to_update).collect()
    }

    /// Merges entries received from another box.
    pub fn merge(&mut self, updates: Vec<SuspectUpdate>, now_ms: i64) -> QuarantineChanges {
        let mut is_changed = false;
        for update in updates {
            is_changed |= self.change(update.fingerprint, |suspect| suspect.merge(&update, now_ms));
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
        let last_ms = suspect.ends().last()?.at_ms;
        let ago_ms = now_ms.saturating_sub(last_ms).max(0).unsigned_abs();
        Some(QuarantineRecord {
            fingerprint,
            upstreams: suspect.ends().iter().map(|end| end.upstream).collect(),
            last_end_epoch_ms: epoch_ms.saturating_sub(ago_ms),
        })
    }

    /// Removes entries past their retention time.
    pub fn sweep(&mut self, now_ms: i64) -> QuarantineChanges {
        let before = self.suspects.len();
        self.suspects.retain(|_, suspect| {
            suspect.expire_unconfirmed(now_ms);
            !suspect.is_empty() && now_ms.saturating_sub(suspect.last_ms()) < RETENTION_MS
        });
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
            (is_quarantined, suspect.ends().len(), suspect.last_ms())
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
            let candidates = candidates.filter(|(f, s)| {
                s.ends().len() >= QUARANTINE_ENDS && !self.quarantined.contains(f)
            });
            let unattributed =
                candidates.map(|(f, suspect)| (*f, suspect.unattributed_ends(&attributed)));
            let harmful = most_harmful(unattributed.collect());
            if harmful.is_empty() {
                break;
            }
            self.quarantined.extend(harmful);
            for fingerprint in &self.quarantined {
                let ends = self.suspects[fingerprint].ends();
                attributed.extend(ends.iter().map(|end| end.upstream));
            }
        }
        let unconditional = self.suspects.iter();
        let unconditional = unconditional.filter(|(_, suspect)| {
            suspect.unattributed_ends(&none_attributed).len() >= UNCONDITIONAL_QUARANTINE_ENDS
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
            new.map(|f| (*f, self.suspects[f].ends().len())).collect();
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

/// Returns those of some requests, with the times of their independent terminations, that have the
/// most and enough to be quarantined. Of several, a request that reached the limit later than another
/// one may have done so only because it was there when the other one terminated an upstream. Requests
/// that reached it together, such as those that were together at every termination, cannot be told
/// apart.
fn most_harmful(unattributed: Vec<(Fingerprint, Vec<i64>)>) -> Vec<Fingerprint> {
    let Some(most) = unattributed.iter().map(|(_, ends)| ends.len()).max() else {
        return Vec::new();
    };
    let limit_reached = unattributed
        .into_iter()
        .filter(|(_, ends)| ends.len() == most)
        .filter_map(|(f, ends)| Some((f, *ends.get(QUARANTINE_ENDS - 1)?)));
    let limit_reached: Vec<(Fingerprint, i64)> = limit_reached.collect();
    let first_ms = limit_reached.iter().map(|(_, at_ms)| *at_ms).min();
    let is_together = |at_ms: i64| first_ms.is_some_and(|ms| at_ms - ms < INDEPENDENT_END_GAP_MS);
    let together = limit_reached
        .into_iter()
        .filter(|(_, at_ms)| is_together(*at_ms));
    together.map(|(fingerprint, _)| fingerprint).collect()
}
