//! Quality estimates: counters that boxes merge without coordination (a grow-only CRDT), and lower
//! confidence bounds.

use std::collections::BTreeMap;

use crate::{Name, VersionRef};

/// Number of confidence buckets for answers.
pub const CONFIDENCE_BUCKETS: usize = 8;

/// Length of one counting window.
pub const WINDOW_MS: u64 = 300_000;

/// Number of windows that are evaluated: the current one and the ones before it.
const WINDOWS_KEPT: u64 = 3;

/// Weight of the operator's prior, as a number of ratings.
const PRIOR_WEIGHT: f64 = 10.0;

/// Number of ratings of a class and bucket from which ratings of other classes are not used.
const MIN_RATINGS_PER_BUCKET: u64 = 20;

/// Default number of standard errors between the mean and the lower bound.
pub const DEFAULT_Z: f64 = 1.0;

/// Counters of ratings and answers. They only grow within a window.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QualityCounts {
    /// Number of ratings.
    pub rated: u64,
    /// Sum of ratings, in thousandths.
    pub score_milli: u64,
    /// Sum of squared ratings, in thousandths.
    pub score_square_milli: u64,
    /// Number of answers, rated or not.
    pub done: u64,
    /// Number of failed answers.
    pub failed: u64,
}

impl QualityCounts {
    /// Adds a rating; values outside 0 to 1 are clamped.
    pub fn add_rating(&mut self, score: f64) {
        let score = score.clamp(0.0, 1.0);
        self.rated += 1;
        self.score_milli += (score * 1_000.0).round() as u64;
        self.score_square_milli += (score * score * 1_000.0).round() as u64;
    }

    /// Adds an answer.
    pub fn add_answer(&mut self, failed: bool) {
        self.done += 1;
        self.failed += u64::from(failed);
    }

    /// Returns the maximum of each counter. Merges two states of the same box's counters.
    pub fn max(self, other: Self) -> Self {
        Self {
            rated: self.rated.max(other.rated),
            score_milli: self.score_milli.max(other.score_milli),
            score_square_milli: self.score_square_milli.max(other.score_square_milli),
            done: self.done.max(other.done),
            failed: self.failed.max(other.failed),
        }
    }

    /// Returns the sum of each counter. Combines counters of different boxes.
    pub fn plus(self, other: Self) -> Self {
        Self {
            rated: self.rated + other.rated,
            score_milli: self.score_milli + other.score_milli,
            score_square_milli: self.score_square_milli + other.score_square_milli,
            done: self.done + other.done,
            failed: self.failed + other.failed,
        }
    }

    /// Scales all counters down proportionally so that there are at most `max_rated` ratings.
    pub fn scaled_to(self, max_rated: u64) -> Self {
        let scale = |n: u64| n * max_rated / self.rated.max(1);
        if self.rated <= max_rated {
            return self;
        }
        Self {
            rated: max_rated,
            score_milli: scale(self.score_milli),
            score_square_milli: scale(self.score_square_milli),
            done: scale(self.done),
            failed: scale(self.failed),
        }
    }

    /// Mean rating, 0 to 1; 0 if there are no ratings.
    pub fn mean(self) -> f64 {
        self.score_milli as f64 / 1_000.0 / (self.rated.max(1) as f64)
    }

    /// Estimates the mean rating, with a prior of ten pseudo-ratings whose mean is `prior`.
    pub fn estimate(self, prior: f64) -> Estimate {
        let n = self.rated as f64;
        let weight = n + PRIOR_WEIGHT;
        let mean = (self.score_milli as f64 / 1_000.0 + prior * PRIOR_WEIGHT) / weight;
        let prior_square = prior * prior + prior * (1.0 - prior) * PRIOR_VARIANCE_FACTOR;
        let square =
            (self.score_square_milli as f64 / 1_000.0 + prior_square * PRIOR_WEIGHT) / weight;
        let variance = (square - mean * mean).max(MIN_VARIANCE);
        Estimate {
            mean,
            standard_error: (variance / weight).sqrt(),
        }
    }
}

/// Variance of the pseudo-ratings, relative to ratings that are all 0 or 1.
const PRIOR_VARIANCE_FACTOR: f64 = 0.1;
const MIN_VARIANCE: f64 = 1e-4;

/// A mean and its standard error.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// The mean, 0 to 1.
    pub mean: f64,
    /// Standard error of the mean.
    pub standard_error: f64,
}

impl Estimate {
    /// Lower confidence bound, `z` standard errors below the mean.
    pub fn lower_bound(self, z: f64) -> f64 {
        (self.mean - z * self.standard_error).max(0.0)
    }
}

/// What a set of counters refers to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CounterKey {
    /// The version.
    pub version: Name,
    /// Workspace and class of request.
    pub class: Name,
    /// Confidence bucket of the answers, below [`CONFIDENCE_BUCKETS`].
    pub bucket: u8,
    /// Number of the counting window.
    pub window: u64,
}

/// The box incarnation that maintains a set of counters.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CounterOwner {
    /// Name of the box.
    pub box_name: Name,
    /// Incarnation of the box.
    pub incarnation: u64,
}

/// All counters known to this box: its own and those received from other boxes.
#[derive(Debug, Default)]
pub struct QualityTable {
    rows: BTreeMap<CounterKey, BTreeMap<CounterOwner, QualityCounts>>,
}

impl QualityTable {
    /// Number of the window that contains `now_ms`.
    pub fn window(now_ms: u64) -> u64 {
        now_ms / WINDOW_MS
    }

    /// Returns the counters of `owner` for `key`, creating them if necessary.
    pub fn counts_mut(&mut self, key: CounterKey, owner: &CounterOwner) -> &mut QualityCounts {
        self.rows
            .entry(key)
            .or_default()
            .entry(owner.clone())
            .or_default()
    }

    /// Merges a received state of the counters of `owner`. Returns whether any counter grew.
    pub fn merge(&mut self, key: CounterKey, owner: &CounterOwner, counts: QualityCounts) -> bool {
        let row = self.counts_mut(key, owner);
        let merged = row.max(counts);
        let grew = merged != *row;
        *row = merged;
        grew
    }

    /// Drops the counters of windows that are no longer evaluated.
    pub fn drop_old_windows(&mut self, now_ms: u64) {
        let oldest = Self::window(now_ms).saturating_sub(WINDOWS_KEPT - 1);
        self.rows.retain(|key, _| key.window >= oldest);
    }

    /// Returns the merged counters of a version and class, over all windows and buckets.
    pub fn total(&self, at: &VersionRef, class: &str) -> QualityCounts {
        self.by_bucket(at, class)
            .into_iter()
            .fold(QualityCounts::default(), QualityCounts::plus)
    }

    /// Returns the merged counters of a version and class, by confidence bucket.
    pub fn by_bucket(&self, at: &VersionRef, class: &str) -> [QualityCounts; CONFIDENCE_BUCKETS] {
        let mut buckets = [QualityCounts::default(); CONFIDENCE_BUCKETS];
        let version: Name = at.to_string().into();
        let first_key = CounterKey {
            version: version.clone(),
            class: class.into(),
            bucket: 0,
            window: 0,
        };
        let rows = self
            .rows
            .range(first_key..)
            .take_while(|(key, _)| key.version == version && key.class.as_ref() == class);
        for (key, counts) in rows {
            let bucket = &mut buckets[usize::from(key.bucket) % CONFIDENCE_BUCKETS];
            *bucket = counts.values().fold(*bucket, |sum, c| sum.plus(*c));
        }
        buckets
    }

    /// Like [`Self::by_bucket`], but buckets with few ratings are filled up from other classes.
    ///
    /// A new workspace starts with the ratings of the others, and its own ratings gradually replace
    /// them.
    pub fn by_bucket_with_fallback(
        &self,
        at: &VersionRef,
        class: &str,
    ) -> [QualityCounts; CONFIDENCE_BUCKETS] {
        let mut own = self.by_bucket(at, class);
        let version: Name = at.to_string().into();
        let mut others = [QualityCounts::default(); CONFIDENCE_BUCKETS];
        let rows = self.rows.iter();
        for (key, counts) in
            rows.filter(|(key, _)| key.version == version && key.class.as_ref() != class)
        {
            let bucket = &mut others[usize::from(key.bucket) % CONFIDENCE_BUCKETS];
            *bucket = counts.values().fold(*bucket, |sum, c| sum.plus(*c));
        }
        for (own, others) in own.iter_mut().zip(others) {
            let missing = MIN_RATINGS_PER_BUCKET.saturating_sub(own.rated);
            *own = own.plus(others.scaled_to(missing));
        }
        own
    }

    /// Returns the merged counters of a version over all classes whose name starts with `prefix`.
    pub fn across_classes(&self, at: &VersionRef, prefix: &str) -> QualityCounts {
        let version: Name = at.to_string().into();
        self.rows
            .iter()
            .filter(|(key, _)| key.version == version && key.class.starts_with(prefix))
            .flat_map(|(_, counts)| counts.values())
            .fold(QualityCounts::default(), |sum, c| sum.plus(*c))
    }

    /// Iterates over all counters, to include them in digests.
    pub fn iter(
        &self,
    ) -> impl Iterator<Item = (&CounterKey, &CounterOwner, &QualityCounts)> + Clone {
        self.rows
            .iter()
            .flat_map(|(key, counts)| counts.iter().map(move |(owner, c)| (key, owner, c)))
    }
}

/// Returns the bucket of an answer with a mean token probability of `confidence`, 0 to 1.
pub fn confidence_bucket(confidence: f64) -> u8 {
    let scaled = confidence.clamp(0.0, 1.0) * CONFIDENCE_BUCKETS as f64;
    (scaled as usize).min(CONFIDENCE_BUCKETS - 1) as u8
}
