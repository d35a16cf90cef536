//! Notices that a version has turned bad, from errors and ratings, before an operator does.

/// Cumulative sum over "bad" observations: sure against noise, quick on a real change.
///
/// With the defaults a version whose answers are bad in 3 of 100 cases raises a false alarm about
/// once in tens of thousands of answers; the property test and `docs/MEASUREMENTS.md` give the rate.
#[derive(Debug, Clone)]
pub struct Detector {
    sum: f64,
    bad: bool,
    good_in_row: u32,
}

/// Share of bad answers that is normal.
const NORMAL: f64 = 0.05;
/// Share of bad answers that must be noticed.
const BROKEN: f64 = 0.35;
/// Sum at which the alarm is raised.
const ALARM: f64 = 7.0;
/// Good answers in a row that clear the alarm.
const CLEAR_AFTER: u32 = 25;

impl Default for Detector {
    fn default() -> Self {
        Self {
            sum: 0.0,
            bad: false,
            good_in_row: 0,
        }
    }
}

impl Detector {
    /// Takes in one answer. Returns whether the verdict changed.
    pub fn observe(&mut self, is_bad: bool) -> bool {
        let was = self.bad;
        let step = if is_bad {
            (BROKEN / NORMAL).ln()
        } else {
            ((1.0 - BROKEN) / (1.0 - NORMAL)).ln()
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
