//! Statistics on versions: ratings, failures, and the health verdicts of this and other boxes.

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

/// Time after receipt at which another box's verdict expires, so that the verdict of a box that no
/// longer reports does not stay in effect.
const VERDICT_TTL_MS: u64 = 120_000;

/// One box's verdict on one version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The box that gave the verdict.
    pub reporter: CounterOwner,
    /// The version.
    pub version: Name,
    /// Whether the box considers the version bad.
    pub bad: bool,
    /// Incremented by the box on each change of one of its verdicts.
    pub seq: u64,
}

/// The counters of one box for one key, as exchanged in digests.
#[derive(Debug, Clone, PartialEq)]
pub struct CounterRow {
    /// What is counted.
    pub key: CounterKey,
    /// The box that counted.
    pub owner: CounterOwner,
    /// The counters.
    pub counts: QualityCounts,
}

/// Statistics on all versions.
pub struct VersionStats {
    local: CounterOwner,
    quality: Mutex<QualityTable>,
    health: Mutex<HealthState>,
    /// Known version sets by identifier.
    version_sets: Mutex<HashMap<u32, VersionSet>>,
    /// Cached counters by version and class.
    cached_counts: Mutex<HashMap<(Name, Name), CachedCounts>>,
}

/// Counters by confidence bucket, and when they were computed.
#[derive(Clone, Copy)]
struct CachedCounts {
    at_ms: u64,
    buckets: [QualityCounts; CONFIDENCE_BUCKETS],
}

/// Maximum age of cached counters. They are cached because computing them scans the quality table.
const CACHED_COUNTS_TTL_MS: u64 = 250;

#[derive(Default)]
struct HealthState {
    /// Detectors of a raised rate of failed answers, by version.
    answers: HashMap<Name, ChangeDetector>,
    /// Detectors of a raised rate of bad ratings, by version.
    ratings: HashMap<Name, ChangeDetector>,
    /// Sequence number of this box's last change of a verdict.
    own_seq: u64,
    /// Newest verdicts, by reporting box and version.
    verdicts: HashMap<(Name, Name), StoredVerdict>,
    /// Upstreams whose last call failed. Further failures of such an upstream are not passed
    /// to the detectors.
    failing_upstreams: HashSet<Name>,
}

struct StoredVerdict {
    verdict: Verdict,
    received_ms: u64,
}

/// The result of one answer, as evidence about the version that gave it.
#[derive(Debug, Clone)]
pub struct Observation {
    /// The version.
    pub version: VersionRef,
    /// Workspace and class, as built by [`class_name`].
    pub class: Name,
    /// Confidence bucket.
    pub bucket: u8,
    /// The upstream that answered.
    pub upstream: Name,
    /// Whether the answer failed or was incomplete.
    pub failed: bool,
}

/// Returns the class name under which counters are kept.
pub fn class_name(workspace: &str, class: &str) -> Name {
    format!("{workspace}/{class}").into()
}

impl VersionStats {
    /// Creates empty statistics.
    pub fn new(local: &Incarnation) -> Self {
        Self {
            local: CounterOwner {
                box_name: local.box_name.clone(),
                incarnation: local.number,
            },
            quality: Mutex::new(QualityTable::default()),
            health: Mutex::new(HealthState::default()),
            version_sets: Mutex::new(HashMap::new()),
            cached_counts: Mutex::new(HashMap::new()),
        }
    }

    /// Adds a set of versions that upstreams have loaded.
    pub fn add_version_set(&self, set: VersionSet) {
        lock(&self.version_sets).insert(set.id(), set);
    }

    /// Returns the version set with this identifier, if it is known.
    pub fn version_set(&self, id: u32) -> Option<VersionSet> {
        lock(&self.version_sets).get(&id).cloned()
    }

    /// Returns all known version sets.
    pub fn version_sets(&self) -> Vec<VersionSet> {
        lock(&self.version_sets).values().cloned().collect()
    }

    /// Records an answer. Returns whether this box's verdict on the version changed.
    pub fn record_answer(&self, observation: &Observation, epoch_ms: u64) -> bool {
        let key = counter_key(
            &observation.version,
            &observation.class,
            observation.bucket,
            epoch_ms,
        );
        lock(&self.quality)
            .counts_mut(key, &self.local)
            .add_answer(observation.failed);
        let mut health = lock(&self.health);
        let version: Name = observation.version.to_string().into();
        // An unreachable upstream fails every call, whatever the version, so the detectors observe
        // only its first failure in a row.
        if observation.failed
            && !health
                .failing_upstreams
                .insert(observation.upstream.clone())
        {
            return false;
        }
        if !observation.failed {
            health.failing_upstreams.remove(&observation.upstream);
        }
        let was_bad = health.is_bad(&version);
        health
            .answers
            .entry(version.clone())
            .or_default()
            .observe(observation.failed);
        health.update_verdict(&self.local, version, was_bad)
    }

    /// Records a rating; `expected` is the quality expected of the version.
    ///
    /// Returns whether this box's verdict on the version changed.
    pub fn record_rating(
        &self,
        observation: &Observation,
        score: f64,
        expected: f64,
        epoch_ms: u64,
    ) -> bool {
        let key = counter_key(
            &observation.version,
            &observation.class,
            observation.bucket,
            epoch_ms,
        );
        lock(&self.quality)
            .counts_mut(key, &self.local)
            .add_rating(score);
        let version: Name = observation.version.to_string().into();
        let is_bad = version_health::is_bad_rating(score, expected);
        let mut health = lock(&self.health);
        let was_bad = health.is_bad(&version);
        let detector = health.ratings.entry(version.clone());
        detector
            .or_insert_with(|| ChangeDetector::for_ratings(expected))
            .observe(is_bad);
        health.update_verdict(&self.local, version, was_bad)
    }

    /// Returns the counters by confidence bucket, using other classes where there are too few
    /// ratings. The result is up to 250 ms old.
    pub fn by_bucket(
        &self,
        version: &VersionRef,
        class: &Name,
        now_ms: u64,
    ) -> [QualityCounts; CONFIDENCE_BUCKETS] {
        let key = (Name::from(version.to_string()), class.clone());
        let cached = lock(&self.cached_counts).get(&key).copied();
        if let Some(cached) = cached
            && now_ms < cached.at_ms + CACHED_COUNTS_TTL_MS
        {
            return cached.buckets;
        }
        let buckets = lock(&self.quality).by_bucket_with_fallback(version, class);
        let computed = CachedCounts {
            at_ms: now_ms,
            buckets,
        };
        lock(&self.cached_counts).insert(key, computed);
        buckets
    }

    /// Returns the counters of a version over all classes of a workspace, or of all workspaces.
    pub fn across_classes(&self, version: &VersionRef, workspace: Option<&str>) -> QualityCounts {
        let prefix = workspace.map_or(String::new(), |w| format!("{w}/"));
        lock(&self.quality).across_classes(version, &prefix)
    }

    /// Returns whether the version is considered bad, by this box or by enough other boxes.
    pub fn is_bad(&self, version: &str, now_ms: u64) -> bool {
        let health = lock(&self.health);
        let own = health.is_bad(version);
        let others = health
            .verdicts
            .values()
            .filter(|v| v.verdict.bad && v.verdict.version.as_ref() == version)
            .filter(|v| v.verdict.reporter != self.local && now_ms < v.received_ms + VERDICT_TTL_MS)
            .count();
        version_health::is_bad(own, others)
    }

    /// Returns all verdicts that have not expired.
    pub fn verdicts(&self, now_ms: u64) -> Vec<Verdict> {
        let health = lock(&self.health);
        let stored = health.verdicts.values();
        stored
            .filter(|v| v.verdict.reporter == self.local || now_ms < v.received_ms + VERDICT_TTL_MS)
            .map(|v| v.verdict.clone())
            .collect()
    }

    /// Merges another box's verdict.
    pub fn merge_verdict(&self, verdict: Verdict, now_ms: u64) {
        if verdict.reporter == self.local {
            return;
        }
        let mut health = lock(&self.health);
        let key = (verdict.reporter.box_name.clone(), verdict.version.clone());
        let is_newer = health.verdicts.get(&key).is_none_or(|stored| {
            let known = &stored.verdict;
            (verdict.reporter.incarnation, verdict.seq) > (known.reporter.incarnation, known.seq)
        });
        if is_newer {
            let stored = StoredVerdict {
                verdict,
                received_ms: now_ms,
            };
            health.verdicts.insert(key, stored);
        }
    }

    /// Merges other boxes' counters.
    pub fn merge_counters(&self, rows: impl IntoIterator<Item = CounterRow>) {
        let mut quality = lock(&self.quality);
        for row in rows {
            if row.owner != self.local {
                quality.merge(row.key, &row.owner, row.counts);
            }
        }
    }

    /// Selects up to `max_rows` rows for the digest number `digest_seq`: up to half of them this
    /// box's own, the rest those of other boxes. Successive digests rotate through the rows.
    pub fn select_counters(&self, max_rows: usize, digest_seq: usize) -> Vec<CounterRow> {
        let quality = lock(&self.quality);
        let own = select_rows(
            quality.iter().filter(|(_, owner, _)| **owner == self.local),
            digest_seq,
            max_rows / 2,
        );
        let rest = max_rows - own.len();
        let others = select_rows(
            quality.iter().filter(|(_, owner, _)| **owner != self.local),
            digest_seq,
            rest,
        );
        own.into_iter().chain(others).collect()
    }

    /// Drops cached counters and counting windows that are no longer evaluated.
    pub fn remove_expired(&self, epoch_ms: u64) {
        lock(&self.cached_counts).clear();
        lock(&self.quality).drop_old_windows(epoch_ms);
    }
}

/// Copies up to `max_rows` of the rows, starting at an offset that advances with `digest_seq`.
fn select_rows<'b>(
    rows: impl Iterator<Item = (&'b CounterKey, &'b CounterOwner, &'b QualityCounts)> + Clone,
    digest_seq: usize,
    max_rows: usize,
) -> Vec<CounterRow> {
    let total = rows.clone().count();
    let start = if total > max_rows {
        (digest_seq * max_rows) % total
    } else {
        0
    };
    let from_start = rows
        .clone()
        .skip(start)
        .chain(rows)
        .take(max_rows.min(total));
    from_start
        .map(|(key, owner, counts)| CounterRow {
            key: key.clone(),
            owner: owner.clone(),
            counts: *counts,
        })
        .collect()
}

fn counter_key(version: &VersionRef, class: &Name, bucket: u8, epoch_ms: u64) -> CounterKey {
    CounterKey {
        version: version.to_string().into(),
        class: class.clone(),
        bucket,
        window: QualityTable::window(epoch_ms),
    }
}

impl HealthState {
    /// Returns whether one of this box's detectors reports the version as bad.
    fn is_bad(&self, version: &str) -> bool {
        let detectors = [self.answers.get(version), self.ratings.get(version)];
        detectors.into_iter().flatten().any(ChangeDetector::is_bad)
    }

    /// Stores this box's verdict if it differs from `was_bad`. Returns whether it does.
    fn update_verdict(&mut self, local: &CounterOwner, version: Name, was_bad: bool) -> bool {
        let bad = self.is_bad(&version);
        if bad == was_bad {
            return false;
        }
        self.own_seq += 1;
        let verdict = Verdict {
            reporter: local.clone(),
            version: version.clone(),
            bad,
            seq: self.own_seq,
        };
        let stored = StoredVerdict {
            verdict,
            received_ms: 0,
        };
        self.verdicts
            .insert((local.box_name.clone(), version), stored);
        true
    }
}
