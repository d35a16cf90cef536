//! Which requests were at upstreams that ended, as far as the fleet knows.
//!
//! Entries of two ledgers are joined, whichever of them comes first and however often, so boxes that tell each
//! other theirs come to the same one.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use super::Fingerprint;

/// Ends of upstreams after which a request is sent no more. A request that was at two may have met a power cut and
/// a spot reclaim; with a sixth of a pool lost at a moment, one stream in 216 meets three such losses in a row, by reckoning.
const ENDS: usize = 3;
/// Ends after which a request is refused whatever else was there each time. Where two requests do harm at once an innocent
/// one may have been at more ends than either, and theirs would be laid to it.
const ENDS_AT_MOST: usize = 5;
/// Ends that are remembered of a request: of more, the first say as much.
const ENDS_KEPT: usize = 32;
/// Requests that are remembered.
const SUSPECTS_KEPT: usize = 1_024;
/// Ends closer to each other than this count as one, for they may be one loss of many upstreams, as of a hall without
/// power; boxes see such ends within some 30 ms. They are apart all the same where the request was sent to the second
/// upstream after the first had ended, or where two tries of a request that never had a whole answer were there.
const APART_MS: i64 = 100;
/// Difference up to which two sightings of an upstream's end are the same: ages are rounded on their way.
const SEEN_AGAIN_MS: i64 = 50;
/// Time since its last end for which a request is remembered, quarantined or not. A caller that repeats a request by
/// the hour ends three upstreams each time; one that is mended meanwhile is refused for no longer.
const KEPT_MS: i64 = 3_600_000;

/// An upstream's end under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamEnd {
    /// Hash of the upstream's incarnation.
    pub upstream: u64,
    /// Hash of the id of the try that was there.
    pub try_hash: u32,
    /// When the request was sent there, by this box's clock.
    pub began_at_ms: i64,
    /// When it ended.
    pub at_ms: i64,
}

impl UpstreamEnd {
    /// Whether it is none of those that ended together with an earlier one.
    fn is_apart(&self, earlier: &Self, was_answered: bool) -> bool {
        self.began_at_ms >= earlier.at_ms
            || self.at_ms - earlier.at_ms >= APART_MS
            || !was_answered && self.try_hash != earlier.try_hash
    }
}

/// A request that was at an upstream when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Witness {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The upstream's end.
    pub end: UpstreamEnd,
    /// When the request last had a whole answer before that, where the box remembers one.
    pub completed_at_ms: Option<i64>,
}

/// What is known of a request.
#[derive(Debug, Clone, Default)]
struct Suspect {
    /// Ends since it last had a whole answer.
    ends: Vec<UpstreamEnd>,
    /// When it last had one, as far as is known, or an operator lifted its quarantine.
    cleared_at_ms: Option<i64>,
    /// Whether some box quarantined it: that one saw the ends apart, and here they may seem closer.
    is_told: bool,
    /// Number of the ledger's change that changed it last.
    changed: u64,
}

impl Suspect {
    /// Takes in an end; returns whether that is news. The order in which ends are heard makes no difference.
    fn add(&mut self, end: UpstreamEnd) -> bool {
        if self.cleared_at_ms.is_some_and(|at_ms| end.at_ms <= at_ms) {
            return false;
        }
        let known = self
            .ends
            .iter_mut()
            .find(|known| known.upstream == end.upstream);
        match known {
            // An upstream ends once; who noticed it last saw it last.
            Some(known) if known.at_ms + SEEN_AGAIN_MS >= end.at_ms => return false,
            Some(known) => *known = end,
            None => self.ends.push(end),
        }
        self.ends.sort_by_key(|end| (end.at_ms, end.upstream));
        if self.ends.len() > ENDS_KEPT {
            let most = self.ends.iter().map(|end| end.upstream).max();
            self.ends.retain(|end| Some(end.upstream) != most);
            return Some(end.upstream) != most;
        }
        true
    }

    /// Takes in that it had a whole answer; returns whether that is news.
    fn clear(&mut self, at_ms: i64) -> bool {
        if self.cleared_at_ms.is_some_and(|known_ms| known_ms >= at_ms) {
            return false;
        }
        self.cleared_at_ms = Some(at_ms);
        self.ends.retain(|end| end.at_ms > at_ms);
        self.is_told &= !self.ends.is_empty();
        true
    }

    /// Its ends that are not laid to another request.
    fn weight(&self, laid: &HashSet<u64>) -> usize {
        let open = self.ends.iter().filter(|end| !laid.contains(&end.upstream));
        if self.is_told {
            return open.count();
        }
        let was_answered = self.cleared_at_ms.is_some();
        let mut last: Option<&UpstreamEnd> = None;
        let mut count = 0;
        for end in open {
            if last.is_none_or(|last| end.is_apart(last, was_answered)) {
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

/// What one box tells another of an upstream's end. Clocks of boxes differ, so times are told as ages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndNews {
    /// Hash of the upstream's incarnation.
    #[serde(rename = "u")]
    upstream: u64,
    /// Hash of the id of the try.
    #[serde(rename = "t")]
    try_hash: u32,
    /// How long ago it ended, in milliseconds.
    #[serde(rename = "ago")]
    ago_ms: i64,
    /// How long the request had been there, in milliseconds.
    #[serde(rename = "ran")]
    ran_ms: i64,
}

impl EndNews {
    fn of(end: &UpstreamEnd, now_ms: i64) -> Self {
        Self {
            upstream: end.upstream,
            try_hash: end.try_hash,
            ago_ms: now_ms - end.at_ms,
            ran_ms: end.at_ms - end.began_at_ms,
        }
    }

    fn heard(&self, now_ms: i64) -> UpstreamEnd {
        let at_ms = now_ms.saturating_sub(self.ago_ms);
        UpstreamEnd {
            upstream: self.upstream,
            try_hash: self.try_hash,
            began_at_ms: at_ms.saturating_sub(self.ran_ms),
            at_ms,
        }
    }
}

/// What one box tells another of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNews {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Upstreams that ended under it.
    pub ends: Vec<EndNews>,
    /// How long ago it had a whole answer, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cleared_ago_ms: Option<i64>,
    /// Whether the box that tells it refuses it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_quarantined: bool,
}

/// A quarantine as the store keeps it for boxes that all lost their memory at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Hashes of the upstreams that ended under it.
    pub upstreams: Vec<u64>,
    /// When the last of them ended, in milliseconds since 1970 by the writer's clock.
    pub last_end_epoch_ms: u64,
}

impl QuarantineRecord {
    /// What it tells a box; a time of day may step, so the age is taken to be half of a quarantine's time at
    /// the most.
    fn told(&self, epoch_ms: u64) -> SuspectNews {
        let ago_ms = epoch_ms.saturating_sub(self.last_end_epoch_ms);
        let ago_ms = ago_ms.min(KEPT_MS.unsigned_abs() / 2).cast_signed();
        let end = |upstream: &u64| EndNews {
            upstream: *upstream,
            try_hash: 0,
            ago_ms,
            ran_ms: 0,
        };
        SuspectNews {
            fingerprint: self.fingerprint,
            ends: self.upstreams.iter().map(end).collect(),
            cleared_ago_ms: None,
            is_quarantined: true,
        }
    }
}

/// What a change of the ledger decided.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Verdicts {
    /// Requests that are refused from now on, and the number of their ends.
    pub quarantined: Vec<(Fingerprint, usize)>,
    /// Requests that are served again.
    pub released: Vec<Fingerprint>,
}

impl Verdicts {
    /// Whether nothing was decided.
    pub fn is_empty(&self) -> bool {
        self.quarantined.is_empty() && self.released.is_empty()
    }
}

/// Requests under which upstreams ended.
#[derive(Debug, Default)]
pub struct Ledger {
    suspects: HashMap<Fingerprint, Suspect>,
    quarantined: HashSet<Fingerprint>,
    changes: u64,
}

impl Ledger {
    /// Takes in that an upstream ended while these requests were there.
    pub fn upstream_ended(&mut self, there: &[Witness]) -> Verdicts {
        let mut any = false;
        for witness in there {
            any |= self.change(witness.fingerprint, |suspect| {
                let is_cleared = witness.completed_at_ms.is_some_and(|ms| suspect.clear(ms));
                suspect.add(witness.end) | is_cleared
            });
        }
        self.judge_if(any)
    }

    /// Takes in that a request had a whole answer. What never was at an upstream that ended is not remembered.
    pub fn completed(&mut self, fingerprint: Fingerprint, at_ms: i64) -> Verdicts {
        let is_suspect = |suspect: &Suspect| !suspect.ends.is_empty();
        if !self.suspects.get(&fingerprint).is_some_and(is_suspect) {
            return Verdicts::default();
        }
        let any = self.change(fingerprint, |suspect| suspect.clear(at_ms));
        self.judge_if(any)
    }

    /// Whether a request is refused.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.quarantined.contains(&fingerprint)
    }

    /// Whether an upstream ended under a request since it last had a whole answer.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| !suspect.ends.is_empty())
    }

    /// Requests that are refused.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> {
        self.quarantined.iter().copied()
    }

    /// Number of its last change.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// At most `limit` entries that changed behind the change `since`, the oldest change first, and the change up to which these
    /// tell all.
    pub fn news(&self, since: u64, limit: usize, now_ms: i64) -> (Vec<SuspectNews>, u64) {
        if since >= self.changes {
            return (Vec::new(), self.changes);
        }
        let changed = self.suspects.iter();
        let mut changed: Vec<_> = changed.filter(|(_, s)| s.changed > since).collect();
        changed.sort_unstable_by_key(|(_, suspect)| suspect.changed);
        let is_all = changed.len() <= limit;
        changed.truncate(limit);
        let last = changed.last().map_or(since, |(_, suspect)| suspect.changed);
        let tell = |(fingerprint, suspect): (&Fingerprint, &Suspect)| SuspectNews {
            fingerprint: *fingerprint,
            ends: suspect
                .ends
                .iter()
                .map(|end| EndNews::of(end, now_ms))
                .collect(),
            cleared_ago_ms: suspect.cleared_at_ms.map(|at_ms| now_ms - at_ms),
            is_quarantined: self.is_quarantined(*fingerprint),
        };
        let news = changed.into_iter().map(tell).collect();
        (news, if is_all { self.changes } else { last })
    }

    /// Takes in what another box told.
    pub fn hear(&mut self, news: Vec<SuspectNews>, now_ms: i64) -> Verdicts {
        let mut any = false;
        for told in news {
            any |= self.change(told.fingerprint, |suspect| join(suspect, &told, now_ms));
        }
        self.judge_if(any)
    }

    /// Takes in what the store keeps.
    pub fn restore(
        &mut self,
        records: &[QuarantineRecord],
        now_ms: i64,
        epoch_ms: u64,
    ) -> Verdicts {
        let told = records.iter().map(|record| record.told(epoch_ms));
        self.hear(told.collect(), now_ms)
    }

    /// Takes in that an operator lifts a quarantine.
    pub fn lift(&mut self, fingerprint: Fingerprint, now_ms: i64) -> Verdicts {
        self.completed(fingerprint, now_ms)
    }

    /// A request's quarantine as the store is to keep it; none where it is not refused.
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

    /// Forgets what is long past.
    pub fn sweep(&mut self, now_ms: i64) -> Verdicts {
        let before = self.suspects.len();
        let is_kept = |suspect: &Suspect| now_ms - suspect.last_ms() < KEPT_MS;
        self.suspects.retain(|_, suspect| is_kept(suspect));
        self.judge_if(self.suspects.len() != before)
    }

    /// Changes an entry; returns whether that was a change.
    fn change(
        &mut self,
        fingerprint: Fingerprint,
        change: impl FnOnce(&mut Suspect) -> bool,
    ) -> bool {
        let suspect = self.suspects.entry(fingerprint).or_default();
        let is_changed = change(suspect);
        if is_changed {
            self.changes += 1;
            suspect.changed = self.changes;
        } else if suspect.changed == 0 {
            self.suspects.remove(&fingerprint);
        }
        if self.suspects.len() > SUSPECTS_KEPT {
            self.drop_one();
        }
        is_changed
    }

    /// Forgets the request with the fewest ends, the oldest of them.
    fn drop_one(&mut self) {
        let least = |(fingerprint, suspect): &(&Fingerprint, &Suspect)| {
            let is_quarantined = self.quarantined.contains(*fingerprint);
            (is_quarantined, suspect.ends.len(), suspect.last_ms())
        };
        let least = self.suspects.iter().min_by_key(least);
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    fn judge_if(&mut self, is_changed: bool) -> Verdicts {
        if is_changed {
            self.judge()
        } else {
            Verdicts::default()
        }
    }

    /// Lays each end to the request with the most ends, and finds those that are refused by that.
    fn judge(&mut self) -> Verdicts {
        let before = std::mem::take(&mut self.quarantined);
        let none_laid = HashSet::new();
        let mut laid = HashSet::new();
        loop {
            let weights = self.suspects.iter();
            let weights =
                weights.filter(|(f, s)| s.ends.len() >= ENDS && !self.quarantined.contains(f));
            let weights: Vec<(Fingerprint, usize)> = weights
                .map(|(fingerprint, suspect)| (*fingerprint, suspect.weight(&laid)))
                .collect();
            let most = weights.iter().map(|(_, weight)| *weight).max();
            let Some(most) = most.filter(|most| *most >= ENDS) else {
                break;
            };
            // Nothing tells apart those that were together each time.
            for (fingerprint, _) in weights.iter().filter(|(_, weight)| *weight == most) {
                self.quarantined.insert(*fingerprint);
            }
            for fingerprint in &self.quarantined {
                laid.extend(
                    self.suspects[fingerprint]
                        .ends
                        .iter()
                        .map(|end| end.upstream),
                );
            }
        }
        let sure = self.suspects.iter();
        let sure = sure.filter(|(_, suspect)| suspect.weight(&none_laid) >= ENDS_AT_MOST);
        self.quarantined
            .extend(sure.map(|(fingerprint, _)| *fingerprint));
        self.verdicts(&before)
    }

    /// What differs from the requests refused before; a request that is refused from now on is told anew.
    fn verdicts(&mut self, before: &HashSet<Fingerprint>) -> Verdicts {
        let new = self.quarantined.difference(before);
        let quarantined: Vec<(Fingerprint, usize)> =
            new.map(|f| (*f, self.suspects[f].ends.len())).collect();
        let released = before.difference(&self.quarantined).copied().collect();
        for (fingerprint, _) in &quarantined {
            if let Some(suspect) = self.suspects.get_mut(fingerprint) {
                self.changes += 1;
                suspect.changed = self.changes;
            }
        }
        Verdicts {
            quarantined,
            released,
        }
    }
}

/// Joins what was told to what is known; returns whether that changed it.
fn join(suspect: &mut Suspect, told: &SuspectNews, now_ms: i64) -> bool {
    let mut is_changed = told
        .cleared_ago_ms
        .is_some_and(|ago_ms| suspect.clear(now_ms.saturating_sub(ago_ms)));
    for end in &told.ends {
        is_changed |= suspect.add(end.heard(now_ms));
    }
    let is_newly_told = told.is_quarantined && !suspect.is_told && !suspect.ends.is_empty();
    suspect.is_told |= is_newly_told;
    is_changed | is_newly_told
}
