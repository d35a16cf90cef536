//! Detects unhealthy model versions from errors and ratings.

/// Change detector (CUSUM, cumulative sum of log-likelihood ratios) over pass/fail observations.
///
/// CUSUM is robust against noise and reacts quickly to a real change. With the defaults, a version
/// with 3% failed answers raises a false alarm about once in tens of thousands of answers; the
/// property test and `docs/MEASUREMENTS.md` give the rate.
#[derive(Debug, Clone)]
pub struct ChangeDetector {
    baseline: f64,
    degraded: f64,
    cusum: f64,
    alarm: bool,
    consecutive_good: u32,
}

/// Share of failed answers that is normal; also the lowest baseline of any detector.
const DEFAULT_BASELINE: f64 = 0.05;
/// Share of the otherwise successful answers that also fails in a degraded version.
const DEGRADED_INCREASE: f64 = 0.32;
/// Upper bound of the baseline.
const MAX_BASELINE: f64 = 0.6;
/// Factor by which ratings may be worse than expected before they count against a version.
const RATING_TOLERANCE: f64 = 1.25;
/// CUSUM value at which the alarm is raised.
const ALARM_THRESHOLD: f64 = 7.0;
/// Consecutive successful observations that clear the alarm.
const CLEAR_AFTER_GOOD: u32 = 25;

impl Default for ChangeDetector {
    fn default() -> Self {
        Self::new(DEFAULT_BASELINE)
    }
}

impl ChangeDetector {
    /// Creates a detector for observations of which the share `baseline` normally fails.
    pub fn new(baseline: f64) -> Self {
        let baseline = baseline.clamp(DEFAULT_BASELINE, MAX_BASELINE);
        Self {
            baseline,
            degraded: baseline + (1.0 - baseline) * DEGRADED_INCREASE,
            cusum: 0.0,
            alarm: false,
            consecutive_good: 0,
        }
    }

    /// Creates a detector for ratings of a version whose expected mean score is `expected`.
    ///
    /// A version of medium quality normally has many failed ratings, so its baseline is higher and
    /// only an increase over it raises the alarm.
    pub fn for_ratings(expected: f64) -> Self {
        Self::new((1.0 - expected) * RATING_TOLERANCE)
    }

    /// Records one observation. Returns whether the alarm state changed.
    pub fn observe(&mut self, is_bad: bool) -> bool {
        let previous = self.alarm;
        let step = if is_bad {
            (self.degraded / self.baseline).ln()
        } else {
            ((1.0 - self.degraded) / (1.0 - self.baseline)).ln()
        };
        self.cusum = (self.cusum + step).max(0.0);
        self.consecutive_good = if is_bad { 0 } else { self.consecutive_good + 1 };
        if self.cusum >= ALARM_THRESHOLD {
            self.alarm = true;
            self.cusum = ALARM_THRESHOLD;
        } else if self.alarm && self.consecutive_good >= CLEAR_AFTER_GOOD {
            self.alarm = false;
            self.cusum = 0.0;
        }
        previous != self.alarm
    }

    /// Whether the alarm is raised.
    pub fn is_bad(&self) -> bool {
        self.alarm
    }
}

/// Number of other boxes that must report a version as unhealthy before this box accepts it.
pub const PEER_QUORUM: usize = 2;

/// Whether a version is unhealthy, by this box's detector or by a quorum of the other boxes.
pub fn is_bad(own: bool, peers_reporting: usize) -> bool {
    own || peers_reporting >= PEER_QUORUM
}

/// Share of requests that probe an unhealthy version if no other is allowed, in thousandths.
pub const PROBE_PERMILLE: u32 = 30;

/// Whether a request with no alternative may probe an unhealthy version.
///
/// `draw_permille` is uniform over 0..1000.
pub fn may_probe(draw_permille: u32) -> bool {
    draw_permille < PROBE_PERMILLE
}

/// Whether a rating counts as failed: less than half of the expected score.
pub fn is_bad_rating(score: f64, expected: f64) -> bool {
    score < expected * BAD_RATING_FACTOR
}

const BAD_RATING_FACTOR: f64 = 0.5;
