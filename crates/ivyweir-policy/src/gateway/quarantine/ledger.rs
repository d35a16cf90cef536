//! Requests that were running at upstreams when these terminated, and the shared parts of their prompts, as known to
//! the fleet.
//!
//! Merging entries of two ledgers is commutative and idempotent, so boxes that exchange their
//! ledgers converge to the same one.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

use super::attribution::Attribution;
use super::completions::{Completion, ProvenParts};
use super::interruptions::Interruptions;
use super::record::QuarantineRecord;
use super::suspect::{
    QUARANTINE_ENDS, Suspect, SuspectKind, SuspectUpdate, UpstreamEnd, unconfirmed_until_ms,
};
use super::sync::MAX_ENTRIES_PER_UPDATE;
use super::verdict::{Containment, NewQuarantine, QuarantineChanges, Refusal};
use super::{Fingerprint, RequestIdentity, RunKey};
use crate::hash::hash64;

/// Limit of remembered requests, and of remembered parts.
const MAX_SUSPECTS: usize = 1_024;
/// Time since its last termination for which a request is remembered, quarantined or not. A caller
/// that repeats a harmful request every hour terminates three upstreams each time; a request whose
/// cause was fixed in the meantime is refused no longer than this.
pub(super) const RETENTION_MS: i64 = 3_600_000;

/// Observation of a request that was running at an upstream when it terminated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndObservation {
    /// Identity of the request.
    pub identity: RequestIdentity,
    /// The termination.
    pub end: UpstreamEnd,
    /// When the request last completed before the termination, where the box remembers it.
    pub completed_at_ms: Option<i64>,
}

/// Merged observations of requests and parts that were running at terminating upstreams.
#[derive(Debug, Default)]
pub struct Ledger {
    suspects: HashMap<Fingerprint, Suspect>,
    attribution: Attribution,
    proven_parts: ProvenParts,
    interruptions: Interruptions,
    running_parts: HashMap<Fingerprint, usize>,
    last_change: u64,
}

impl Ledger {
    /// Records that a request was sent to an upstream.
    pub fn run_started(&mut self, at_ms: i64) {
        self.interruptions.record_start(at_ms);
    }

    /// Records that an upstream terminated while these requests were running there.
    pub fn upstream_ended(&mut self, observations: &[EndObservation]) -> QuarantineChanges {
        let mut is_changed = false;
        let mut is_part_suspected = false;
        if let Some(EndObservation { end, .. }) = observations.first() {
            let interrupted = observations.len();
            self.interruptions
                .record_end(end.at_ms, end.upstream, interrupted);
        }
        for observation in observations {
            let request = observation.identity.request;
            is_changed |= self.change(request, SuspectKind::Request, |suspect| {
                let completed_at_ms = observation.completed_at_ms;
                let is_cleared = completed_at_ms.is_some_and(|ms| suspect.clear(ms));
                suspect.add_end(observation.end) | is_cleared
            });
        }
        for (part, end) in ends_of_parts(observations) {
            if self.change(part, SuspectKind::Part, |suspect| suspect.add_end(end)) {
                is_changed = true;
                is_part_suspected |= self.is_unproven(part);
            }
        }
        QuarantineChanges {
            is_part_suspected,
            ..self.evaluate_if(is_changed)
        }
    }

    /// Records that the connection of a request broke and that it is not known whether its upstream
    /// terminated. Returns whether the request is contained now.
    pub fn connection_broke(&mut self, observation: &EndObservation) -> bool {
        let EndObservation { identity, end, .. } = observation;
        self.change(identity.request, SuspectKind::Request, |suspect| {
            let completed_at_ms = observation.completed_at_ms;
            let is_cleared = completed_at_ms.is_some_and(|ms| suspect.clear(ms));
            suspect.add_unconfirmed(*end) | is_cleared
        });
        for part in &*identity.parts {
            self.change(*part, SuspectKind::Part, |suspect| {
                suspect.add_unconfirmed(*end)
            });
        }
        self.containment(identity.request, end.at_ms).is_some()
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

    /// The part for which a request is held to one upstream at a time, which its fingerprint determines: of those that
    /// may have terminated upstreams and are neither refused nor proven sound by enough completions, the one with the
    /// most terminations.
    pub fn contained_part(&self, identity: &RequestIdentity, now_ms: i64) -> Option<Fingerprint> {
        let possible = |part: &&Fingerprint| {
            let suspect = self.suspects.get(part);
            suspect.is_some_and(|suspect| {
                let unconfirmed = suspect.unconfirmed(now_ms).count();
                suspect.is_unproven(suspect.ends().len() + unconfirmed)
            })
        };
        let possible: Vec<&Fingerprint> = identity.parts.iter().filter(possible).collect();
        if possible.is_empty() {
            return None;
        }
        let attributed = self.attributed_ends();
        let ends = possible.into_iter().filter_map(|part| {
            let suspect = &self.suspects[part];
            let ends = suspect.possible_ends(&attributed, now_ms);
            let is_contained = suspect.is_unproven(ends) || self.attribution.is_tied(*part);
            is_contained.then_some((suspect.ends().len(), *part))
        });
        ends.max().map(|(_, part)| part)
    }

    /// Terminations that are attributed to harmful requests and parts.
    fn attributed_ends(&self) -> HashSet<u64> {
        let suspects = self.attribution.harmful();
        let suspects = suspects.filter_map(|f| self.suspects.get(&f));
        suspects
            .flat_map(|suspect| suspect.ends().iter().map(|end| end.upstream))
            .collect()
    }

    /// Records that a request completed. Requests without recorded terminations are not remembered.
    pub fn completed(&mut self, fingerprint: Fingerprint, at_ms: i64) -> QuarantineChanges {
        let suspect = self.suspects.get(&fingerprint);
        let Some(kind) = suspect.filter(|s| s.is_suspected()).map(Suspect::kind) else {
            return QuarantineChanges::default();
        };
        let is_changed = self.change(fingerprint, kind, |suspect| suspect.clear(at_ms));
        self.evaluate_if(is_changed)
    }

    /// Records that a run of a request completed, which clears the request and speaks for the parts of its prompt.
    pub fn run_completed(&mut self, run: &RunKey, at_ms: i64) -> QuarantineChanges {
        let changes = self.completed(run.identity.request, at_ms);
        let QuarantineChanges {
            quarantined,
            released,
            ..
        } = self.run_lasted(run, at_ms);
        QuarantineChanges {
            quarantined: [changes.quarantined, quarantined].concat(),
            released: [changes.released, released].concat(),
            is_part_suspected: false,
        }
    }

    /// Records that a run has been answered for a while, which speaks for the parts of its prompt as its completion does.
    pub fn run_lasted(&mut self, run: &RunKey, at_ms: i64) -> QuarantineChanges {
        let id = hash64(&[
            &run.identity.request.bits().to_le_bytes(),
            &run.try_hash.to_le_bytes(),
        ]) as u32;
        let completion = Completion { at_ms, id };
        let mut is_changed = false;
        for part in &*run.identity.parts {
            self.proven_parts.record(*part, completion);
            if self.suspects.contains_key(part) {
                is_changed |= self.change(*part, SuspectKind::Part, |suspect| {
                    suspect.add_completion(completion)
                });
            }
        }
        self.evaluate_if(is_changed)
    }

    /// Sets the number of upstreams at which this box is running each of the parts that the next observations are about.
    pub fn set_running_parts(&mut self, running: HashMap<Fingerprint, usize>) {
        self.running_parts = running;
    }

    /// Whether a request or a part is refused wherever it comes.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.attribution.quarantined.contains(&fingerprint)
    }

    /// Returns why a request is refused; `None` if it is not.
    pub fn refusal(&self, identity: &RequestIdentity, now_ms: i64) -> Option<Refusal> {
        if self.is_quarantined(identity.request) {
            return Some(Refusal::Request(identity.request));
        }
        let part = self.attribution.refused_part(&identity.parts)?;
        let suspect = self.suspects.get(&part)?;
        let retry_in_ms = suspect.trial_due_in_ms(now_ms).unsigned_abs();
        let is_refused = !suspect.is_on_trial(identity.request);
        is_refused.then_some(Refusal::Part { part, retry_in_ms })
    }

    /// Lets a request through that is refused only for a part, if it is time to try whether the part still terminates
    /// upstreams. Returns whether it does.
    pub fn take_trial(&mut self, identity: &RequestIdentity, now_ms: i64) -> bool {
        let Some(Refusal::Part { part, .. }) = self.refusal(identity, now_ms) else {
            return false;
        };
        let suspect = self.suspects.get_mut(&part);
        suspect.is_some_and(|suspect| suspect.take_trial(identity.request, now_ms))
    }

    /// Whether an upstream terminated while the request was running there since it last completed.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| !suspect.ends().is_empty())
    }

    /// Fingerprints of the requests and parts to which terminations are attributed.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> {
        self.attribution.harmful()
    }

    /// Number of requests or parts to which terminations are attributed.
    pub fn quarantined_count(&self, kind: SuspectKind) -> usize {
        let suspects = self.attribution.harmful();
        let suspects = suspects.filter_map(|f| self.suspects.get(&f));
        suspects.filter(|suspect| suspect.kind() == kind).count()
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
            let is_harmful = self.attribution.is_harmful(*fingerprint);
            suspect.to_update(*fingerprint, is_harmful, now_ms)
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
            let is_harmful = self.attribution.is_harmful(**fingerprint);
            Reverse((is_harmful, suspect.ends().len(), suspect.last_ms()))
        });
        suspects.truncate(MAX_ENTRIES_PER_UPDATE);
        let to_update = |(fingerprint, suspect): (&Fingerprint, &Suspect)| {
            let is_harmful = self.attribution.is_harmful(*fingerprint);
            suspect.to_update(*fingerprint, is_harmful, now_ms)
        };
        suspects.into_iter().map(to_update).collect()
    }

    /// Merges entries received from another box. All terminations are attributed anew, also where only times became
    /// closer to those of other boxes, so that boxes that know the same agree.
    pub fn merge(&mut self, updates: Vec<SuspectUpdate>, now_ms: i64) -> QuarantineChanges {
        let mut is_part_suspected = false;
        let is_told = !updates.is_empty();
        for update in updates {
            let (fingerprint, kind) = (update.fingerprint, update.kind);
            if self.change(fingerprint, kind, |suspect| suspect.merge(&update, now_ms)) {
                is_part_suspected |= kind == SuspectKind::Part && self.is_unproven(fingerprint);
            }
        }
        QuarantineChanges {
            is_part_suspected,
            ..self.evaluate_if(is_told)
        }
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

    /// Returns the quarantine record of a request or part for the store; `None` where no terminations are attributed to
    /// it.
    pub fn record(
        &self,
        fingerprint: Fingerprint,
        now_ms: i64,
        epoch_ms: u64,
    ) -> Option<QuarantineRecord> {
        let suspect = self.suspects.get(&fingerprint);
        let suspect = suspect.filter(|_| self.attribution.is_harmful(fingerprint))?;
        let last_ms = suspect.ends().last()?.at_ms;
        let ago_ms = now_ms.saturating_sub(last_ms).max(0).unsigned_abs();
        Some(QuarantineRecord {
            fingerprint,
            kind: suspect.kind(),
            upstreams: suspect.ends().iter().map(|end| end.upstream).collect(),
            last_end_epoch_ms: epoch_ms.saturating_sub(ago_ms),
        })
    }

    /// Removes entries past their retention time.
    pub fn sweep(&mut self, now_ms: i64) -> QuarantineChanges {
        self.proven_parts.sweep(now_ms);
        let before = self.suspects.len();
        self.suspects.retain(|_, suspect| {
            suspect.expire_unconfirmed(now_ms);
            !suspect.is_empty() && now_ms.saturating_sub(suspect.last_ms()) < RETENTION_MS
        });
        self.evaluate_if(self.suspects.len() != before)
    }

    /// Whether too few answers were completed on a part for its terminations.
    fn is_unproven(&self, part: Fingerprint) -> bool {
        let suspect = self.suspects.get(&part);
        suspect.is_some_and(|suspect| suspect.is_unproven(suspect.ends().len()))
    }

    /// Modifies an entry; returns whether that changed it.
    fn change(
        &mut self,
        fingerprint: Fingerprint,
        kind: SuspectKind,
        change: impl FnOnce(&mut Suspect) -> bool,
    ) -> bool {
        let suspect = self
            .suspects
            .entry(fingerprint)
            .or_insert_with(|| Suspect::new(kind, self.proven_parts.of(fingerprint)));
        if let Some(upstreams) = self.running_parts.get(&fingerprint) {
            suspect.set_running_elsewhere(*upstreams);
        }
        let is_changed = change(suspect);
        if is_changed {
            self.last_change += 1;
            suspect.last_change = self.last_change;
        } else if suspect.last_change == 0 {
            self.suspects.remove(&fingerprint);
        }
        if self.suspects.len() > MAX_SUSPECTS {
            self.evict_one_of(kind);
        }
        is_changed
    }

    /// Evicts the request or part with the fewest terminations if there are too many, the oldest of them first; those
    /// to which terminations are attributed last.
    fn evict_one_of(&mut self, kind: SuspectKind) {
        let of_kind = || self.suspects.iter().filter(|(_, s)| s.kind() == kind);
        if of_kind().count() <= MAX_SUSPECTS {
            return;
        }
        let least = |(fingerprint, suspect): &(&Fingerprint, &Suspect)| {
            let is_harmful = self.attribution.is_harmful(**fingerprint);
            (is_harmful, suspect.ends().len(), suspect.last_ms())
        };
        let least = of_kind().min_by_key(least);
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

    /// Attributes all terminations anew. A newly refused request or part is marked as changed, so that it is sent to
    /// other boxes again.
    fn evaluate(&mut self) -> QuarantineChanges {
        let before: HashSet<Fingerprint> = self.attribution.harmful().collect();
        self.attribution = Attribution::of(&self.suspects, &self.interruptions);
        let after: HashSet<Fingerprint> = self.attribution.harmful().collect();
        let mut quarantined = Vec::new();
        for fingerprint in after.difference(&before) {
            if let Some(suspect) = self.suspects.get_mut(fingerprint) {
                self.last_change += 1;
                suspect.last_change = self.last_change;
                suspect.confirm();
                quarantined.push(NewQuarantine {
                    fingerprint: *fingerprint,
                    kind: suspect.kind(),
                    ends: suspect.ends().len(),
                });
            }
        }
        QuarantineChanges {
            quarantined,
            released: before.difference(&after).copied().collect(),
            is_part_suspected: false,
        }
    }
}

/// The parts of the requests that were running at an upstream when it terminated, each with the termination as seen by
/// the run that began first: a part that was there before another upstream terminated tells nothing of the order.
fn ends_of_parts(observations: &[EndObservation]) -> HashMap<Fingerprint, UpstreamEnd> {
    let mut ends: HashMap<Fingerprint, UpstreamEnd> = HashMap::new();
    for EndObservation { identity, end, .. } in observations {
        for part in &*identity.parts {
            let known = ends.entry(*part).or_insert(*end);
            if end.began_at_ms < known.began_at_ms {
                *known = *end;
            }
        }
    }
    ends
}
