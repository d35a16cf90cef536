//! Attribution of terminations to requests and to parts of prompts.

use std::collections::{HashMap, HashSet};

use super::Fingerprint;
use super::interruptions::Interruptions;
use super::suspect::{INDEPENDENT_END_GAP_MS, QUARANTINE_ENDS, Suspect, SuspectKind};

/// Terminations after which a request is quarantined whatever else was running each time. Where two
/// requests are harmful at the same time, an innocent one may have been at more terminations than
/// either, and those of the harmful ones would be attributed to it.
const UNCONDITIONAL_QUARANTINE_ENDS: usize = 5;

/// Requests and parts to which terminations are attributed.
#[derive(Debug, Default)]
pub(super) struct Attribution {
    /// Requests and parts that are refused.
    pub(super) quarantined: HashSet<Fingerprint>,
    /// Suspects that cannot be told apart, of which some are parts.
    ties: Vec<Tie>,
}

/// Suspects that were together at every termination. Each request is refused by itself; parts only
/// where they come together.
#[derive(Debug)]
struct Tie {
    parts: Vec<Fingerprint>,
    /// Whether a single request explains the terminations as well as the parts do.
    has_request: bool,
}

impl Tie {
    fn is_within(&self, parts: &[Fingerprint]) -> bool {
        !self.has_request && self.parts.iter().all(|part| parts.contains(part))
    }
}

impl Attribution {
    /// Attributes each termination to the suspects with the most evidence against them.
    pub(super) fn of(
        suspects: &HashMap<Fingerprint, Suspect>,
        interruptions: &Interruptions,
    ) -> Self {
        let none_attributed = HashSet::new();
        let explained = ends_of_unproven_parts(suspects);
        let mut attribution = Self::default();
        let mut attributed = HashSet::new();
        loop {
            let candidates = suspects.iter();
            let candidates = candidates.filter(|(f, suspect)| {
                suspect.ends().len() >= suspect.needed_ends(0) && !attribution.is_harmful(**f)
            });
            let evidence = candidates.filter_map(|(f, suspect)| {
                let evidence = Evidence::of(suspect, interruptions, &explained, &attributed)?;
                Some((*f, evidence))
            });
            let harmful = most_harmful(&evidence.collect::<Vec<_>>());
            if harmful.is_empty() {
                break;
            }
            for fingerprint in &harmful {
                let ends = suspects[fingerprint].ends();
                attributed.extend(ends.iter().map(|end| end.upstream));
            }
            attribution.add(harmful, suspects);
        }
        let unconditional = suspects.iter().filter(|(_, suspect)| {
            suspect.kind() == SuspectKind::Request
                && suspect.counted_ends(&none_attributed).len() >= UNCONDITIONAL_QUARANTINE_ENDS
        });
        let unconditional = unconditional.map(|(fingerprint, _)| *fingerprint);
        attribution.quarantined.extend(unconditional);
        attribution
    }

    /// Adds suspects that are equally harmful. Those with the same terminations cannot be told apart.
    fn add(&mut self, mut harmful: Vec<Fingerprint>, suspects: &HashMap<Fingerprint, Suspect>) {
        let is_request = |f: &Fingerprint| suspects[f].kind() == SuspectKind::Request;
        while let Some(first) = harmful.pop() {
            let is_same = |f: &Fingerprint| suspects[f].has_same_ends(&suspects[&first]);
            let (mut together, others): (Vec<_>, Vec<_>) = harmful.into_iter().partition(is_same);
            harmful = others;
            together.push(first);
            let (requests, parts): (Vec<_>, Vec<_>) = together.into_iter().partition(is_request);
            let has_request = !requests.is_empty();
            self.quarantined.extend(requests);
            match &parts[..] {
                [] => {}
                [part] if !has_request => drop(self.quarantined.insert(*part)),
                _ => self.ties.push(Tie { parts, has_request }),
            }
        }
    }

    /// Whether terminations are attributed to a request or part, alone or with others.
    pub(super) fn is_harmful(&self, fingerprint: Fingerprint) -> bool {
        self.quarantined.contains(&fingerprint) || self.is_tied(fingerprint)
    }

    /// Whether a part cannot be told apart from others.
    pub(super) fn is_tied(&self, part: Fingerprint) -> bool {
        self.ties.iter().any(|tie| tie.parts.contains(&part))
    }

    /// The part for which a request with these parts is refused.
    pub(super) fn refused_part(&self, parts: &[Fingerprint]) -> Option<Fingerprint> {
        let single = parts.iter().find(|part| self.quarantined.contains(part));
        let tied = || self.ties.iter().find(|tie| tie.is_within(parts));
        single
            .or_else(|| tied().and_then(|tie| tie.parts.first()))
            .copied()
    }

    /// All requests and parts to which terminations are attributed.
    pub(super) fn harmful(&self) -> impl Iterator<Item = Fingerprint> {
        let tied = self.ties.iter().flat_map(|tie| tie.parts.iter());
        self.quarantined.iter().chain(tied).copied()
    }
}

/// Terminations that may be those of harmful parts: under each of some parts there were several, and no answer was
/// completed on it. Of several harmful parts, none is taken for sound because the others interrupt as many runs.
fn ends_of_unproven_parts(suspects: &HashMap<Fingerprint, Suspect>) -> HashSet<u64> {
    let unproven = suspects
        .values()
        .filter(|suspect| suspect.kind() == SuspectKind::Part && suspect.never_completed());
    let unproven = unproven.filter(|suspect| suspect.ends().len() >= QUARANTINE_ENDS);
    let ends = unproven.flat_map(|suspect| suspect.ends().iter());
    ends.map(|end| end.upstream).collect()
}

/// Evidence against a suspect that suffices to quarantine it.
#[derive(Debug, Clone, Copy)]
struct Evidence {
    /// Whether no answer is known that was completed.
    never_completed: bool,
    /// Terminations beyond those that suffice.
    excess: usize,
    /// When they sufficed.
    sufficient_at_ms: i64,
}

impl Evidence {
    fn of(
        suspect: &Suspect,
        interruptions: &Interruptions,
        explained: &HashSet<u64>,
        attributed: &HashSet<u64>,
    ) -> Option<Self> {
        let mut needed = suspect.needed_ends(0);
        if suspect.may_be_there_by_chance() {
            let has_explanation = |upstream| {
                explained.contains(&upstream)
                    || attributed.contains(&upstream)
                    || suspect.ends().iter().any(|end| end.upstream == upstream)
            };
            needed = suspect.needed_ends(interruptions.ends_beyond_chance(has_explanation));
        }
        let times_ms = suspect.counted_ends(attributed);
        Some(Self {
            never_completed: suspect.never_completed(),
            excess: times_ms.len().checked_sub(needed)?,
            sufficient_at_ms: *times_ms.get(needed - 1)?,
        })
    }
}

/// Returns the suspects with the most evidence against them: those on which no answer was completed first. Of several, one against which it
/// sufficed later than against another one may have been there only because it was when the other one
/// terminated an upstream. Those against which it sufficed together cannot be told apart.
fn most_harmful(evidence: &[(Fingerprint, Evidence)]) -> Vec<Fingerprint> {
    let strength = |evidence: &Evidence| (evidence.never_completed, evidence.excess);
    let most = evidence
        .iter()
        .map(|(_, evidence)| strength(evidence))
        .max();
    let strongest = || evidence.iter().filter(|(_, e)| Some(strength(e)) == most);
    let first_ms = strongest().map(|(_, e)| e.sufficient_at_ms).min();
    let is_together = |at_ms: i64| first_ms.is_some_and(|ms| at_ms - ms < INDEPENDENT_END_GAP_MS);
    let together = strongest().filter(|(_, e)| is_together(e.sufficient_at_ms));
    together.map(|(fingerprint, _)| *fingerprint).collect()
}
