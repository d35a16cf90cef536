//! What this box learns of versions: ratings, failures, and the verdicts of other boxes.

use std::collections::{HashMap, HashSet};
use std::sync::Mutex;

use ivyweir_policy::balance::VersionSet;
use ivyweir_policy::claim::Incarnation;
use ivyweir_policy::quality::{
    CONFIDENCE_BUCKETS, CounterKey, CounterOwner, QualityCounts, QualityTable,
};
use ivyweir_policy::version_health::{self, ChangeDetector};
use ivyweir_policy::{Name, VersionRef};

use crate::shards::lock;

/// Verdicts of a box that is silent for long are void.
const VERDICT_MS: u64 = 120_000;

/// One box's verdict on one version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The box.
    pub by: CounterOwner,
    /// The version.
    pub version: Name,
    /// Whether it is bad.
    pub bad: bool,
    /// Grows with each change.
    pub seq: u64,
}

/// One state of one box's counters.
#[derive(Debug, Clone, PartialEq)]
pub struct Tally {
    /// What it is about.
    pub subject: CounterKey,
    /// Who counted.
    pub by: CounterOwner,
    /// The counters.
    pub count: QualityCounts,
}

/// All that is learnt.
pub struct Learning {
    me: CounterOwner,
    book: Mutex<QualityTable>,
    watch: Mutex<Watch>,
    sets: Mutex<HashMap<u32, VersionSet>>,
    /// Counts by version and class, as they were a moment ago.
    known: Mutex<HashMap<(Name, Name), Known>>,
}

/// Counts by bucket, and when they were added up.
#[derive(Clone, Copy)]
struct Known {
    at_ms: u64,
    buckets: [QualityCounts; CONFIDENCE_BUCKETS],
}

/// Counts may be this old; adding them up takes a walk through the book.
const KNOWN_MS: u64 = 250;

#[derive(Default)]
struct Watch {
    /// By version: whole answers, and ratings, each against what is normal for them.
    answers: HashMap<Name, ChangeDetector>,
    ratings: HashMap<Name, ChangeDetector>,
    own_seq: u64,
    verdicts: HashMap<(Name, Name), Held>,
    /// Upstreams whose last call failed; another failure says nothing more about a version.
    failing: HashSet<Name>,
}

struct Held {
    verdict: Verdict,
    heard_ms: u64,
}

/// One answer, as it bears on its version.
#[derive(Debug, Clone)]
pub struct Observation {
    /// The version.
    pub at: VersionRef,
    /// Workspace and class.
    pub class: Name,
    /// Confidence bucket.
    pub bucket: u8,
    /// The upstream that answered.
    pub upstream: Name,
    /// Whether the answer was not whole.
    pub failed: bool,
}

/// The class that counts are kept under.
pub fn class_name(workspace: &str, class: &str) -> Name {
    format!("{workspace}/{class}").into()
}

impl Learning {
    /// Nothing learnt.
    pub fn new(me: &Incarnation) -> Self {
        Self {
            me: CounterOwner {
                box_name: me.box_name.clone(),
                incarnation: me.number,
            },
            book: Mutex::new(QualityTable::default()),
            watch: Mutex::new(Watch::default()),
            sets: Mutex::new(HashMap::new()),
            known: Mutex::new(HashMap::new()),
        }
    }

    /// Notes a set of versions that upstreams have loaded.
    pub fn learn_set(&self, set: VersionSet) {
        lock(&self.sets).insert(set.id(), set);
    }

    /// The set of this id, if it is known.
    pub fn version_set(&self, id: u32) -> Option<VersionSet> {
        lock(&self.sets).get(&id).cloned()
    }

    /// All sets known.
    pub fn version_sets(&self) -> Vec<VersionSet> {
        lock(&self.sets).values().cloned().collect()
    }

    /// Takes in an answer. Returns whether this box's verdict on the version changed.
    pub fn finished(&self, seen: &Observation, epoch_ms: u64) -> bool {
        let subject = subject(&seen.at, &seen.class, seen.bucket, epoch_ms);
        lock(&self.book)
            .counts_mut(subject, &self.me)
            .add_answer(seen.failed);
        let mut watch = lock(&self.watch);
        let version: Name = seen.at.to_string().into();
        // An upstream that is gone fails all it gets, whatever the version: it counts once.
        if seen.failed && !watch.failing.insert(seen.upstream.clone()) {
            return false;
        }
        if !seen.failed {
            watch.failing.remove(&seen.upstream);
        }
        let before = watch.is_bad(&version);
        watch
            .answers
            .entry(version.clone())
            .or_default()
            .observe(seen.failed);
        watch.judge(&self.me, version, before)
    }

    /// Takes in a rating; `expected` is what the version should give.
    /// Returns whether this box's verdict on the version changed.
    pub fn rated(&self, seen: &Observation, score: f64, expected: f64, epoch_ms: u64) -> bool {
        let subject = subject(&seen.at, &seen.class, seen.bucket, epoch_ms);
        lock(&self.book)
            .counts_mut(subject, &self.me)
            .add_rating(score);
        let version: Name = seen.at.to_string().into();
        let is_bad = version_health::is_bad_rating(score, expected);
        let mut watch = lock(&self.watch);
        let before = watch.is_bad(&version);
        let detector = watch.ratings.entry(version.clone());
        detector
            .or_insert_with(|| ChangeDetector::for_ratings(expected))
            .observe(is_bad);
        watch.judge(&self.me, version, before)
    }

    /// Counts by confidence bucket, filled up from other classes; up to 250 ms old.
    pub fn by_bucket(
        &self,
        at: &VersionRef,
        class: &Name,
        now_ms: u64,
    ) -> [QualityCounts; CONFIDENCE_BUCKETS] {
        let key = (Name::from(at.to_string()), class.clone());
        let known = lock(&self.known).get(&key).copied();
        if let Some(known) = known
            && now_ms < known.at_ms + KNOWN_MS
        {
            return known.buckets;
        }
        let buckets = lock(&self.book).by_bucket_with_fallback(at, class);
        let fresh = Known {
            at_ms: now_ms,
            buckets,
        };
        lock(&self.known).insert(key, fresh);
        buckets
    }

    /// Counts of a version in all classes of a workspace, or of all workspaces.
    pub fn across_classes(&self, at: &VersionRef, workspace: Option<&str>) -> QualityCounts {
        let prefix = workspace.map_or(String::new(), |w| format!("{w}/"));
        lock(&self.book).across_classes(at, &prefix)
    }

    /// Whether the version is held to be bad, by this box or by enough others.
    pub fn is_bad(&self, version: &str, now_ms: u64) -> bool {
        let watch = lock(&self.watch);
        let own = watch.is_bad(version);
        let others = watch
            .verdicts
            .values()
            .filter(|h| h.verdict.bad && h.verdict.version.as_ref() == version)
            .filter(|h| h.verdict.by != self.me && now_ms < h.heard_ms + VERDICT_MS)
            .count();
        version_health::is_bad(own, others)
    }

    /// All verdicts known and not void.
    pub fn verdicts(&self, now_ms: u64) -> Vec<Verdict> {
        let watch = lock(&self.watch);
        let held = watch.verdicts.values();
        held.filter(|h| h.verdict.by == self.me || now_ms < h.heard_ms + VERDICT_MS)
            .map(|h| h.verdict.clone())
            .collect()
    }

    /// Takes in another box's verdict.
    pub fn merge_verdict(&self, verdict: Verdict, now_ms: u64) {
        if verdict.by == self.me {
            return;
        }
        let mut watch = lock(&self.watch);
        let key = (verdict.by.box_name.clone(), verdict.version.clone());
        let is_news = watch.verdicts.get(&key).is_none_or(|held| {
            let known = &held.verdict;
            (verdict.by.incarnation, verdict.seq) > (known.by.incarnation, known.seq)
        });
        if is_news {
            let held = Held {
                verdict,
                heard_ms: now_ms,
            };
            watch.verdicts.insert(key, held);
        }
    }

    /// Takes in other boxes' counters.
    pub fn merge_tallies(&self, tallies: impl IntoIterator<Item = Tally>) {
        let mut book = lock(&self.book);
        for tally in tallies {
            if tally.by != self.me {
                book.merge(tally.subject, &tally.by, tally.count);
            }
        }
    }

    /// Up to `most` rows to tell others: own ones first, then others from a place that moves.
    pub fn tallies(&self, most: usize, turn: usize) -> Vec<Tally> {
        let book = lock(&self.book);
        let own = pick(
            book.iter().filter(|(_, by, _)| **by == self.me),
            turn,
            most / 2,
        );
        let rest = most - own.len();
        let others = pick(book.iter().filter(|(_, by, _)| **by != self.me), turn, rest);
        own.into_iter().chain(others).collect()
    }

    /// Drops what is too old to count.
    pub fn forget(&self, epoch_ms: u64) {
        lock(&self.known).clear();
        lock(&self.book).drop_old_windows(epoch_ms);
    }
}

/// `most` of the rows, starting at a place that moves with `turn`; only those are copied.
fn pick<'b>(
    rows: impl Iterator<Item = (&'b CounterKey, &'b CounterOwner, &'b QualityCounts)> + Clone,
    turn: usize,
    most: usize,
) -> Vec<Tally> {
    let total = rows.clone().count();
    let start = if total > most {
        (turn * most) % total
    } else {
        0
    };
    let from_start = rows.clone().skip(start).chain(rows).take(most.min(total));
    from_start
        .map(|(subject, by, count)| Tally {
            subject: subject.clone(),
            by: by.clone(),
            count: *count,
        })
        .collect()
}

fn subject(at: &VersionRef, class: &Name, bucket: u8, epoch_ms: u64) -> CounterKey {
    CounterKey {
        version: at.to_string().into(),
        class: class.clone(),
        bucket,
        window: QualityTable::window(epoch_ms),
    }
}

impl Watch {
    /// Whether one of this box's detectors holds the version to be bad.
    fn is_bad(&self, version: &str) -> bool {
        let detectors = [self.answers.get(version), self.ratings.get(version)];
        detectors.into_iter().flatten().any(ChangeDetector::is_bad)
    }

    /// Notes this box's verdict if it is another than `before`. Returns whether it is.
    fn judge(&mut self, me: &CounterOwner, version: Name, before: bool) -> bool {
        let bad = self.is_bad(&version);
        if bad == before {
            return false;
        }
        self.own_seq += 1;
        let verdict = Verdict {
            by: me.clone(),
            version: version.clone(),
            bad,
            seq: self.own_seq,
        };
        let held = Held {
            verdict,
            heard_ms: 0,
        };
        self.verdicts.insert((me.box_name.clone(), version), held);
        true
    }
}
