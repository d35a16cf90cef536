//! Attribution of terminations to requests and to parts of prompts.

use std::collections::{HashMap, HashSet};

use super::Fingerprint;
use super::suspect::{INDEPENDENT_END_GAP_MS, Suspect, SuspectKind};

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
    pub(super) fn of(suspects: &HashMap<Fingerprint, Suspect>) -> Self {
        let none_attributed = HashSet::new();
        let mut attribution = Self::default();
        let mut attributed = HashSet::new();
        loop {
            let candidates = suspects.iter();
            let candidates = candidates.filter(|(f, suspect)| {
                suspect.ends().len() >= suspect.needed_ends() && !attribution.is_harmful(**f)
            });
            let evidence = candidates.filter_map(|(f, suspect)| {
                Some((*f, suspect.kind(), Evidence::of(suspect, &attributed)?))
            });
            let harmful = most_harmful(evidence.collect());
            if harmful.is_empty() {
                break;
            }
            for (fingerprint, _) in &harmful {
                let ends = suspects[fingerprint].ends();
                attributed.extend(ends.iter().map(|end| end.upstream));
            }
            attribution.add(harmful);
        }
        let unconditional = suspects.iter().filter(|(_, suspect)| {
            suspect.kind() == SuspectKind::Request
                && suspect.counted_ends(&none_attributed).len() >= UNCONDITIONAL_QUARANTINE_ENDS
        });
        let unconditional = unconditional.map(|(fingerprint, _)| *fingerprint);
        attribution.quarantined.extend(unconditional);
        attribution
    }

    fn add(&mut self, harmful: Vec<(Fingerprint, SuspectKind)>) {
        let of_kind = |kind| {
            let of_kind = harmful.iter().filter(move |(_, k)| *k == kind);
            of_kind.map(|(fingerprint, _)| *fingerprint)
        };
        let parts: Vec<Fingerprint> = of_kind(SuspectKind::Part).collect();
        let has_request = of_kind(SuspectKind::Request).next().is_some();
        self.quarantined.extend(of_kind(SuspectKind::Request));
        match &parts[..] {
            [] => {}
            [part] if !has_request => drop(self.quarantined.insert(*part)),
            _ => self.ties.push(Tie { parts, has_request }),
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

/// Evidence against a suspect that suffices to quarantine it.
#[derive(Debug, Clone, Copy)]
struct Evidence {
    /// Terminations beyond those that suffice.
    excess: usize,
    /// When they sufficed.
    sufficient_at_ms: i64,
}

impl Evidence {
    fn of(suspect: &Suspect, attributed: &HashSet<u64>) -> Option<Self> {
        let needed = suspect.needed_ends();
        let times_ms = suspect.counted_ends(attributed);
        Some(Self {
            excess: times_ms.len().checked_sub(needed)?,
            sufficient_at_ms: *times_ms.get(needed - 1)?,
        })
    }
}

/// Returns the suspects with the most evidence against them. Of several, one against which it
/// sufficed later than against another one may have been there only because it was when the other one
/// terminated an upstream. Those against which it sufficed together cannot be told apart.
fn most_harmful(
    evidence: Vec<(Fingerprint, SuspectKind, Evidence)>,
) -> Vec<(Fingerprint, SuspectKind)> {
    let most = evidence.iter().map(|(_, _, evidence)| evidence.excess);
    let Some(most) = most.max() else {
        return Vec::new();
    };
    let strongest = || evidence.iter().filter(|(_, _, e)| e.excess == most);
    let first_ms = strongest().map(|(_, _, e)| e.sufficient_at_ms).min();
    let is_together = |at_ms: i64| first_ms.is_some_and(|ms| at_ms - ms < INDEPENDENT_END_GAP_MS);
    let together = strongest().filter(|(_, _, e)| is_together(e.sufficient_at_ms));
    together.map(|(f, kind, _)| (*f, *kind)).collect()
}
