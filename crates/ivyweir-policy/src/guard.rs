//! Notices that a version has turned bad, from errors and ratings, before an operator does.

/// Cumulative sum over "bad" observations: sure against noise, quick on a real change.
///
/// With the defaults a version whose answers are bad in 3 of 100 cases raises a false alarm about
/// once in tens of thousands of answers; the property test and `docs/MEASUREMENTS.md` give the rate.
#[derive(Debug, Clone)]
pub struct Detector {
    normal: f64,
    broken: f64,
    sum: f64,
    bad: bool,
    good_in_row: u32,
}

/// Share of bad answers that is normal.
const NORMAL: f64 = 0.05;
/// How much of the rest must be bad as well to count as broken.
const BROKEN_OF_REST: f64 = 0.32;
/// Highest share of bad ratings that is taken as normal.
const MOST_NORMAL: f64 = 0.6;
/// How much worse than expected ratings may be before they speak against a version.
const RATING_SLACK: f64 = 1.25;
/// Sum at which the alarm is raised.
const ALARM: f64 = 7.0;
/// Good answers in a row that clear the alarm.
const CLEAR_AFTER: u32 = 25;

impl Default for Detector {
    fn default() -> Self {
        Self::new(NORMAL)
    }
}

impl Detector {
    /// A detector for observations of which the share `normal` is bad as a rule.
    pub fn new(normal: f64) -> Self {
        let normal = normal.clamp(NORMAL, MOST_NORMAL);
        Self {
            normal,
            broken: normal + (1.0 - normal) * BROKEN_OF_REST,
            sum: 0.0,
            bad: false,
            good_in_row: 0,
        }
    }

    /// A detector for ratings of a version whose mean should be `expected`.
    ///
    /// A version of middling quality has many bad answers as a rule; only more of them are news.
    pub fn for_ratings(expected: f64) -> Self {
        Self::new((1.0 - expected) * RATING_SLACK)
    }

    /// Takes in one answer. Returns whether the verdict changed.
    pub fn observe(&mut self, is_bad: bool) -> bool {
        let was = self.bad;
        let step = if is_bad {
            (self.broken / self.normal).ln()
        } else {
            ((1.0 - self.broken) / (1.0 - self.normal)).ln()
        };
        self.sum = (self.sum + step).max(0.0);
        self.good_in_row = if is_bad { 0 } else { self.good_in_row + 1 };
        if self.sum >= ALARM {
            self.bad = true;
            self.sum = ALARM;
        } else if self.bad && self.good_in_row >= CLEAR_AFTER {
            self.bad = false;
            self.sum = 0.0;
        }
        was != self.bad
    }

    /// Whether the version is held to be bad.
    pub fn is_bad(&self) -> bool {
        self.bad
    }
}

/// How many other boxes must hold a version to be bad before this one believes them.
pub const QUORUM: usize = 2;

/// Whether a version counts as bad, from this box's verdict and the number of others with it.
pub fn is_bad(own: bool, others: usize) -> bool {
    own || others >= QUORUM
}

/// Share of requests that still try a bad version where nothing else is allowed, in thousandths.
pub const PROBE_PERMILLE: u32 = 30;

/// Whether a request that has no other version may try a bad one; `draw_permille` is uniform.
pub fn may_probe(draw_permille: u32) -> bool {
    draw_permille < PROBE_PERMILLE
}

/// Whether a rating speaks for a broken version: far below what the version is expected to give.
pub fn is_bad_rating(score: f64, expected: f64) -> bool {
    score < expected * BAD_RATING_SHARE
}

const BAD_RATING_SHARE: f64 = 0.5;
