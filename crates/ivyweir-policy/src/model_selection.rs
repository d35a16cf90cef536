//! Selects the cheapest model version or cascade of two versions that meets the quality target.
//!
//! A cascade calls the cheaper version first and replaces its answer by one of the other version if
//! the confidence is too low.

use crate::VersionRef;
use crate::quality::{CONFIDENCE_BUCKETS, DEFAULT_Z, QualityCounts};

/// Minimum ratings in the accepted confidence buckets for a cascade to be considered.
const MIN_ACCEPTED_RATINGS: u64 = 12;
/// Standard errors subtracted from the mean quality of accepted answers. Many thresholds are
/// compared, and the best of them is overestimated (selection bias).
const CASCADE_Z: f64 = 1.5;

/// A version that may serve the request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Model and version.
    pub version: VersionRef,
    /// Price per thousand tokens, in millionths.
    pub cost_micro_per_ktoken: u64,
    /// Prior of the quality, used before there are ratings.
    pub prior_quality: f64,
    /// Completed and rated answers by confidence bucket.
    pub buckets: [QualityCounts; CONFIDENCE_BUCKETS],
    /// Whether the version is currently considered unhealthy.
    pub is_bad: bool,
}

/// How a request is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// One call to the candidate at this index.
    Single(usize),
    /// A call to `first`, whose answer is replaced by one of `fallback` if it is below the bucket.
    Cascade {
        /// Index of the candidate called first.
        first: usize,
        /// Index of the candidate called if the first answer is not accepted.
        fallback: usize,
        /// Lowest confidence bucket at which the first answer is accepted.
        min_accepted_bucket: u8,
    },
}

/// Expected quality and price of a choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Lower bound of the mean quality, 0 to 1.
    pub quality: f64,
    /// Expected price per thousand tokens, in millionths.
    pub cost_micro: f64,
}

/// Constraints on the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Constraints {
    /// Required mean quality, 0 to 1.
    pub quality_target: f64,
    /// Whether a second call is possible: the answer is not streamed and the deadline allows it.
    pub may_cascade: bool,
}

impl Candidate {
    fn total_count(&self) -> QualityCounts {
        self.buckets
            .iter()
            .fold(QualityCounts::default(), |sum, c| sum.plus(*c))
    }

    fn forecast(&self) -> Forecast {
        Forecast {
            quality: self
                .total_count()
                .estimate(self.prior_quality)
                .lower_bound(DEFAULT_Z),
            cost_micro: self.cost_micro_per_ktoken as f64,
        }
    }
}

/// Selects the cheapest choice that meets the quality target, or the one of the highest expected
/// quality if none does.
///
/// Returns `None` if `candidates` is empty.
pub fn select(candidates: &[Candidate], constraints: Constraints) -> Option<Choice> {
    let usable: Vec<usize> = usable(candidates);
    let mut options: Vec<(Choice, Forecast)> = usable
        .iter()
        .map(|&i| (Choice::Single(i), candidates[i].forecast()))
        .collect();
    if constraints.may_cascade {
        options.extend(cascade_options(candidates, &usable));
    }
    let meeting = options
        .iter()
        .filter(|(_, f)| f.quality >= constraints.quality_target)
        .min_by(|a, b| a.1.cost_micro.total_cmp(&b.1.cost_micro));
    let best = || {
        options
            .iter()
            .max_by(|a, b| a.1.quality.total_cmp(&b.1.quality))
    };
    meeting.or_else(best).map(|(choice, _)| *choice)
}

/// Indices of the candidates not marked unhealthy, or of all candidates if every one is.
fn usable(candidates: &[Candidate]) -> Vec<usize> {
    let healthy: Vec<usize> = (0..candidates.len())
        .filter(|&i| !candidates[i].is_bad)
        .collect();
    if healthy.is_empty() {
        (0..candidates.len()).collect()
    } else {
        healthy
    }
}

fn cascade_options(candidates: &[Candidate], usable: &[usize]) -> Vec<(Choice, Forecast)> {
    let mut options = Vec::new();
    for &first in usable {
        for &fallback in usable {
            let costs_more = candidates[fallback].cost_micro_per_ktoken
                > candidates[first].cost_micro_per_ktoken;
            if !costs_more {
                continue;
            }
            for min_accepted_bucket in 1..CONFIDENCE_BUCKETS as u8 {
                let forecast = cascade_forecast(
                    &candidates[first],
                    &candidates[fallback],
                    min_accepted_bucket,
                );
                let choice = Choice::Cascade {
                    first,
                    fallback,
                    min_accepted_bucket,
                };
                options.extend(forecast.map(|f| (choice, f)));
            }
        }
    }
    options
}

/// Forecast of a cascade, or `None` if too few answers of `first` are rated.
fn cascade_forecast(
    first: &Candidate,
    fallback: &Candidate,
    min_accepted_bucket: u8,
) -> Option<Forecast> {
    let completed: u64 = first.buckets.iter().map(|c| c.done).sum();
    let accepted = &first.buckets[usize::from(min_accepted_bucket)..];
    let accepted_count = accepted
        .iter()
        .fold(QualityCounts::default(), |sum, c| sum.plus(*c));
    if completed == 0 || accepted_count.rated < MIN_ACCEPTED_RATINGS {
        return None;
    }
    let accepted_share = accepted_count.done as f64 / completed as f64;
    let accepted_quality = accepted_count
        .estimate(first.prior_quality)
        .lower_bound(CASCADE_Z);
    let fallback_forecast = fallback.forecast();
    let fallback_share = 1.0 - accepted_share;
    Some(Forecast {
        quality: accepted_share * accepted_quality + fallback_share * fallback_forecast.quality,
        cost_micro: first.cost_micro_per_ktoken as f64
            + fallback_share * fallback_forecast.cost_micro,
    })
}

/// Selects a choice that collects ratings for the least rated candidate, or `None` if this request
/// is not used for exploration.
///
/// `draw_permille` is uniform over 0..1000. The exploration rate is higher while the candidate has
/// very few ratings. If a second call is possible, low-confidence answers are replaced by those of
/// the candidate of the highest expected quality, so that exploration costs little quality.
pub fn explore(
    candidates: &[Candidate],
    constraints: Constraints,
    draw_permille: u32,
) -> Option<Choice> {
    let first = (0..candidates.len())
        .filter(|&i| !candidates[i].is_bad)
        .min_by_key(|&i| {
            (
                candidates[i].total_count().rated,
                candidates[i].cost_micro_per_ktoken,
            )
        })?;
    let probability_permille = match candidates[first].total_count().rated {
        0..FEW_RATINGS => INITIAL_EXPLORE_PERMILLE,
        FEW_RATINGS..SUFFICIENT_RATINGS => EXPLORE_PERMILLE,
        _ => 0,
    };
    if draw_permille >= probability_permille {
        return None;
    }
    let quality = |i: &usize| candidates[*i].forecast().quality;
    let fallback = (0..candidates.len())
        .filter(|&i| !candidates[i].is_bad && i != first)
        .max_by(|a, b| quality(a).total_cmp(&quality(b)));
    match fallback {
        Some(fallback) if constraints.may_cascade => Some(Choice::Cascade {
            first,
            fallback,
            min_accepted_bucket: CONFIDENCE_BUCKETS as u8 / 2,
        }),
        _ => Some(Choice::Single(first)),
    }
}

/// Below this number of ratings the initial exploration rate applies.
const FEW_RATINGS: u64 = 24;
/// From this number of ratings on a candidate is no longer explored.
const SUFFICIENT_RATINGS: u64 = 96;
const INITIAL_EXPLORE_PERMILLE: u32 = 60;
const EXPLORE_PERMILLE: u32 = 20;
