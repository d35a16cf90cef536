//! Quality estimates: counters that boxes merge without a vote, and lower confidence bounds.

use std::collections::BTreeMap;

use crate::{Name, VersionRef};

/// How many confidence buckets answers fall into.
pub const BUCKETS: usize = 8;

/// Length of one counting window.
pub const WINDOW_MS: u64 = 300_000;

/// Windows that count: the current one and those just before it.
const WINDOWS_KEPT: u64 = 3;

/// Weight of the operator's prior, in ratings.
const PRIOR_WEIGHT: f64 = 10.0;

/// Ratings of a class and bucket from which on other classes add nothing.
const ENOUGH_PER_BUCKET: u64 = 20;

/// Number of standard errors between the mean and the lower bound.
pub const DEFAULT_Z: f64 = 1.0;

/// Counters of ratings; they only grow within a window.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Count {
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

impl Count {
    /// Counts a rating between 0 and 1.
    pub fn rate(&mut self, score: f64) {
        let score = score.clamp(0.0, 1.0);
        self.rated += 1;
        self.score_milli += (score * 1_000.0).round() as u64;
        self.score_square_milli += (score * score * 1_000.0).round() as u64;
    }

    /// Counts an answer.
    pub fn finish(&mut self, failed: bool) {
        self.done += 1;
        self.failed += u64::from(failed);
    }

    /// The larger of each counter; right for two states of one box's counters.
    pub fn max(self, other: Self) -> Self {
        Self {
            rated: self.rated.max(other.rated),
            score_milli: self.score_milli.max(other.score_milli),
            score_square_milli: self.score_square_milli.max(other.score_square_milli),
            done: self.done.max(other.done),
            failed: self.failed.max(other.failed),
        }
    }

    /// The sum; right for counters of different boxes.
    pub fn plus(self, other: Self) -> Self {
        Self {
            rated: self.rated + other.rated,
            score_milli: self.score_milli + other.score_milli,
            score_square_milli: self.score_square_milli + other.score_square_milli,
            done: self.done + other.done,
            failed: self.failed + other.failed,
        }
    }

    /// The same proportions with `most` ratings at the most.
    pub fn scaled_to(self, most: u64) -> Self {
        let scale = |n: u64| n * most / self.rated.max(1);
        if self.rated <= most {
            return self;
        }
        Self {
            rated: most,
            score_milli: scale(self.score_milli),
            score_square_milli: scale(self.score_square_milli),
            done: scale(self.done),
            failed: scale(self.failed),
        }
    }

    /// Mean rating, 0 to 1; 0 when none is in.
    pub fn mean(self) -> f64 {
        self.score_milli as f64 / 1_000.0 / (self.rated.max(1) as f64)
    }

    /// Estimate with `prior` as the mean of ten imagined ratings.
    pub fn estimate(self, prior: f64) -> Estimate {
        let n = self.rated as f64;
        let weight = n + PRIOR_WEIGHT;
        let mean = (self.score_milli as f64 / 1_000.0 + prior * PRIOR_WEIGHT) / weight;
        let prior_square = prior * prior + prior * (1.0 - prior) * PRIOR_SPREAD;
        let square =
            (self.score_square_milli as f64 / 1_000.0 + prior_square * PRIOR_WEIGHT) / weight;
        let variance = (square - mean * mean).max(MIN_VARIANCE);
        Estimate {
            mean,
            error: (variance / weight).sqrt(),
        }
    }
}

/// Spread of the imagined ratings, relative to ratings that are all 0 or 1.
const PRIOR_SPREAD: f64 = 0.1;
const MIN_VARIANCE: f64 = 1e-4;

/// A mean and its standard error.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// The mean, 0 to 1.
    pub mean: f64,
    /// Its standard error.
    pub error: f64,
}

impl Estimate {
    /// The lower confidence bound at `z` standard errors.
    pub fn lower(self, z: f64) -> f64 {
        (self.mean - z * self.error).max(0.0)
    }
}

/// What a count is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Subject {
    /// The version.
    pub version: Name,
    /// Workspace and class of request.
    pub class: Name,
    /// Confidence bucket of the answers, below [`BUCKETS`].
    pub bucket: u8,
    /// Counting window.
    pub window: u64,
}

/// Who counted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Counter {
    /// The box.
    pub box_name: Name,
    /// Its incarnation.
    pub incarnation: u64,
}

/// All counts this box knows: its own and those it was told of.
#[derive(Debug, Default)]
pub struct Book {
    rows: BTreeMap<Subject, BTreeMap<Counter, Count>>,
}

impl Book {
    /// The window that `now_ms` falls into.
    pub fn window(now_ms: u64) -> u64 {
        now_ms / WINDOW_MS
    }

    /// The counters of `by` about `subject`, to count on.
    pub fn row(&mut self, subject: Subject, by: &Counter) -> &mut Count {
        self.rows
            .entry(subject)
            .or_default()
            .entry(by.clone())
            .or_default()
    }

    /// Takes in another state of somebody's counters. Returns whether anything grew.
    pub fn merge(&mut self, subject: Subject, by: &Counter, count: Count) -> bool {
        let row = self.row(subject, by);
        let merged = row.max(count);
        let grew = merged != *row;
        *row = merged;
        grew
    }

    /// Drops windows that no longer count.
    pub fn forget(&mut self, now_ms: u64) {
        let oldest = Self::window(now_ms).saturating_sub(WINDOWS_KEPT - 1);
        self.rows.retain(|subject, _| subject.window >= oldest);
    }

    /// The merged count of one version and class over the windows kept and all buckets.
    pub fn total(&self, at: &VersionRef, class: &str) -> Count {
        self.by_bucket(at, class)
            .into_iter()
            .fold(Count::default(), Count::plus)
    }

    /// The merged counts of one version and class, by confidence bucket.
    pub fn by_bucket(&self, at: &VersionRef, class: &str) -> [Count; BUCKETS] {
        let mut buckets = [Count::default(); BUCKETS];
        let version: Name = at.to_string().into();
        let first = Subject {
            version: version.clone(),
            class: class.into(),
            bucket: 0,
            window: 0,
        };
        let rows = self
            .rows
            .range(first..)
            .take_while(|(s, _)| s.version == version && s.class.as_ref() == class);
        for (subject, counts) in rows {
            let bucket = &mut buckets[usize::from(subject.bucket) % BUCKETS];
            *bucket = counts.values().fold(*bucket, |sum, c| sum.plus(*c));
        }
        buckets
    }

    /// Counts by bucket for a class, filled up from all other classes while it has few ratings.
    ///
    /// A new workspace starts from what the others have learnt, and outweighs that with its own.
    pub fn by_bucket_filled(&self, at: &VersionRef, class: &str) -> [Count; BUCKETS] {
        let mut own = self.by_bucket(at, class);
        let version: Name = at.to_string().into();
        let mut others = [Count::default(); BUCKETS];
        let rows = self.rows.iter();
        for (subject, counts) in
            rows.filter(|(s, _)| s.version == version && s.class.as_ref() != class)
        {
            let bucket = &mut others[usize::from(subject.bucket) % BUCKETS];
            *bucket = counts.values().fold(*bucket, |sum, c| sum.plus(*c));
        }
        for (own, others) in own.iter_mut().zip(others) {
            let lacking = ENOUGH_PER_BUCKET.saturating_sub(own.rated);
            *own = own.plus(others.scaled_to(lacking));
        }
        own
    }

    /// The merged count of one version over all classes whose name starts with `prefix`.
    pub fn across_classes(&self, at: &VersionRef, prefix: &str) -> Count {
        let version: Name = at.to_string().into();
        self.rows
            .iter()
            .filter(|(s, _)| s.version == version && s.class.starts_with(prefix))
            .flat_map(|(_, counts)| counts.values())
            .fold(Count::default(), |sum, c| sum.plus(*c))
    }

    /// All rows, for digests.
    pub fn iter(&self) -> impl Iterator<Item = (&Subject, &Counter, &Count)> + Clone {
        self.rows
            .iter()
            .flat_map(|(s, counts)| counts.iter().map(move |(by, c)| (s, by, c)))
    }
}

/// The bucket of an answer whose mean token probability is `confidence`, 0 to 1.
pub fn bucket(confidence: f64) -> u8 {
    let scaled = confidence.clamp(0.0, 1.0) * BUCKETS as f64;
    (scaled as usize).min(BUCKETS - 1) as u8
}
