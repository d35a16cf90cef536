//! Which model answers: the cheapest that meets the quality target, alone or in a cascade.

use crate::VersionRef;
use crate::quality::{CONFIDENCE_BUCKETS, DEFAULT_Z, QualityCounts};

/// Ratings of delivered buckets from which on a cascade is considered.
const MIN_BUCKET_RATED: u64 = 12;
/// Standard errors below the mean for a cascade: the best of many thresholds looks better than it is.
const CASCADE_Z: f64 = 1.5;

/// One version that may answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The version.
    pub at: VersionRef,
    /// Price of one thousand tokens, in millionths.
    pub cost_micro_per_ktoken: u64,
    /// Quality expected before any rating.
    pub prior_quality: f64,
    /// Counts by confidence bucket.
    pub buckets: [QualityCounts; CONFIDENCE_BUCKETS],
    /// Whether it is held to be bad now.
    pub bad: bool,
}

/// What to do for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// One call to the candidate of this index.
    Single(usize),
    /// A call to `first`; an answer below the bucket is dropped for one of `then`.
    Cascade {
        /// Index of the cheap candidate.
        first: usize,
        /// Index of the better one.
        then: usize,
        /// The lowest confidence bucket whose answers are delivered.
        accept_from: u8,
    },
}

/// Quality and price that a choice is expected to have.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Lower bound of the mean quality, 0 to 1.
    pub quality: f64,
    /// Expected price of one thousand tokens, in millionths.
    pub cost_micro: f64,
}

/// What limits the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Needs {
    /// Mean quality to reach, 0 to 1.
    pub quality_target: f64,
    /// Whether a second call is possible: the answer is not streamed and the deadline allows it.
    pub may_cascade: bool,
}

impl Candidate {
    fn total(&self) -> QualityCounts {
        self.buckets
            .iter()
            .fold(QualityCounts::default(), |sum, c| sum.plus(*c))
    }

    fn forecast(&self) -> Forecast {
        Forecast {
            quality: self
                .total()
                .estimate(self.prior_quality)
                .lower_bound(DEFAULT_Z),
            cost_micro: self.cost_micro_per_ktoken as f64,
        }
    }
}

/// Chooses among `candidates`; none if there is no candidate.
///
/// Without a choice that meets the target, the best expected quality wins.
pub fn choose(candidates: &[Candidate], needs: Needs) -> Option<Choice> {
    let usable: Vec<usize> = usable(candidates);
    let mut options: Vec<(Choice, Forecast)> = usable
        .iter()
        .map(|&i| (Choice::Single(i), candidates[i].forecast()))
        .collect();
    if needs.may_cascade {
        options.extend(cascades(candidates, &usable));
    }
    let meeting = options
        .iter()
        .filter(|(_, f)| f.quality >= needs.quality_target)
        .min_by(|a, b| a.1.cost_micro.total_cmp(&b.1.cost_micro));
    let best = || {
        options
            .iter()
            .max_by(|a, b| a.1.quality.total_cmp(&b.1.quality))
    };
    meeting.or_else(best).map(|(choice, _)| *choice)
}

/// Good versions; the bad ones only where there is no other.
fn usable(candidates: &[Candidate]) -> Vec<usize> {
    let good: Vec<usize> = (0..candidates.len())
        .filter(|&i| !candidates[i].bad)
        .collect();
    if good.is_empty() {
        (0..candidates.len()).collect()
    } else {
        good
    }
}

fn cascades(candidates: &[Candidate], usable: &[usize]) -> Vec<(Choice, Forecast)> {
    let mut options = Vec::new();
    for &first in usable {
        for &then in usable {
            let dearer =
                candidates[then].cost_micro_per_ktoken > candidates[first].cost_micro_per_ktoken;
            if !dearer {
                continue;
            }
            for accept_from in 1..CONFIDENCE_BUCKETS as u8 {
                let forecast = cascade(&candidates[first], &candidates[then], accept_from);
                let choice = Choice::Cascade {
                    first,
                    then,
                    accept_from,
                };
                options.extend(forecast.map(|f| (choice, f)));
            }
        }
    }
    options
}

/// Forecast of a cascade; none while too few answers of `first` were rated.
fn cascade(first: &Candidate, then: &Candidate, accept_from: u8) -> Option<Forecast> {
    let total_done: u64 = first.buckets.iter().map(|c| c.done).sum();
    let kept = &first.buckets[usize::from(accept_from)..];
    let kept_count = kept
        .iter()
        .fold(QualityCounts::default(), |sum, c| sum.plus(*c));
    if total_done == 0 || kept_count.rated < MIN_BUCKET_RATED {
        return None;
    }
    let kept_share = kept_count.done as f64 / total_done as f64;
    let kept_quality = kept_count
        .estimate(first.prior_quality)
        .lower_bound(CASCADE_Z);
    let then_forecast = then.forecast();
    let passed_share = 1.0 - kept_share;
    Some(Forecast {
        quality: kept_share * kept_quality + passed_share * then_forecast.quality,
        cost_micro: first.cost_micro_per_ktoken as f64 + passed_share * then_forecast.cost_micro,
    })
}

/// What to do for the sake of a candidate's ratings, if anything.
///
/// `draw_permille` is uniform over 0..1000. The candidate with the fewest ratings is tried, more
/// often while it has next to none; where a second call is possible, an answer that it is not sure
/// of is dropped for one of the best candidate, so that trying costs little quality.
pub fn explore(candidates: &[Candidate], needs: Needs, draw_permille: u32) -> Option<Choice> {
    let first = (0..candidates.len())
        .filter(|&i| !candidates[i].bad)
        .min_by_key(|&i| {
            (
                candidates[i].total().rated,
                candidates[i].cost_micro_per_ktoken,
            )
        })?;
    let chance_permille = match candidates[first].total().rated {
        0..FEW_RATED => EAGER_PERMILLE,
        FEW_RATED..ENOUGH_RATED => EXPLORE_PERMILLE,
        _ => 0,
    };
    if draw_permille >= chance_permille {
        return None;
    }
    let quality = |i: &usize| candidates[*i].forecast().quality;
    let then = (0..candidates.len())
        .filter(|&i| !candidates[i].bad && i != first)
        .max_by(|a, b| quality(a).total_cmp(&quality(b)));
    match then {
        Some(then) if needs.may_cascade => Some(Choice::Cascade {
            first,
            then,
            accept_from: CONFIDENCE_BUCKETS as u8 / 2,
        }),
        _ => Some(Choice::Single(first)),
    }
}

/// Ratings up to which a candidate is hardly known.
const FEW_RATED: u64 = 24;
/// Ratings from which on it is known.
const ENOUGH_RATED: u64 = 96;
const EAGER_PERMILLE: u32 = 60;
const EXPLORE_PERMILLE: u32 = 20;
