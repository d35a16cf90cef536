//! Prefill time per prompt token of a pool's engines, by model, learned from their answers.
//!
//! The time to the head of an answer also contains the prefill of prompts that are processed first, and covers less
//! than the whole prompt if its shared part was cached. Over many answers, the lower quartile of the time per token is
//! close to the time of a whole prompt alone: measured at 1.0 to 1.13 times an engine's actual prefill time for a large
//! model and 1.9 times for a small one, where the decode steps of concurrent streams add to it.

use std::collections::VecDeque;

use crate::gateway::work::size_fraction;

/// Time per token of the smallest model before any answers, in milliseconds: 200 tokens per millisecond.
const PRIOR_MS: f64 = 1.0 / 200.0;
/// Prior of the largest model relative to the smallest; models between them lie on a geometric scale.
const PRIOR_LARGEST_TO_SMALLEST: f64 = 10.0;
/// Shortest prompt that is learned from: below it, fixed costs outweigh the prefill.
const MIN_TOKENS: u32 = 500;
/// Number of samples kept: a box receives as many in 15 to 30 s at four requests per second, so the estimate follows a
/// pool whose machines change.
const MAX_SAMPLES: usize = 64;
/// Number of samples from which they replace the prior.
const MIN_SAMPLES: usize = 8;
/// Quantile of the samples that is the estimate.
const QUARTILE: f64 = 0.25;
/// Bound on the ratio between estimate and prior, in both directions; a ratio beyond it means wrong clocks or token
/// counts.
const MAX_RATIO: f64 = 50.0;

/// Prefill time per token in a pool, by model index from the smallest.
#[derive(Debug, Default)]
pub struct PrefillPace {
    models: Vec<PaceSamples>,
}

impl PrefillPace {
    /// Records that the head of an answer arrived `took_ms` after a prompt of `tokens` tokens was sent.
    pub fn record(&mut self, model: usize, tokens: u32, took_ms: u64) {
        if tokens < MIN_TOKENS {
            return;
        }
        if self.models.len() <= model {
            self.models.resize_with(model + 1, PaceSamples::default);
        }
        self.models[model].push(took_ms as f64 / f64::from(tokens));
    }

    /// Time per token, in milliseconds, of the model with this index among `models`.
    ///
    /// A model without enough samples is assumed to deviate from its prior by the same ratio as the nearest model with
    /// enough samples.
    pub fn ms_per_token(&self, model: usize, models: usize) -> f64 {
        let measured = self.models.iter().enumerate();
        let measured = measured.filter_map(|(at, samples)| Some((at, samples.quartile_ms?)));
        let nearest = measured.min_by_key(|(at, _)| at.abs_diff(model));
        let ratio = nearest.map_or(1.0, |(at, ms)| ms / prior_ms(at, models));
        prior_ms(model, models) * ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO)
    }

    /// Number of samples that the estimate of a model is based on; 0 while there are too few.
    pub fn sample_count(&self, model: usize) -> usize {
        let samples = self.models.get(model);
        samples.map_or(0, |samples| match samples.quartile_ms {
            Some(_) => samples.ms_per_token.len(),
            None => 0,
        })
    }
}

/// Time per token before any answers.
fn prior_ms(model: usize, models: usize) -> f64 {
    PRIOR_MS * PRIOR_LARGEST_TO_SMALLEST.powf(size_fraction(model, models))
}

/// The newest samples of a model.
#[derive(Debug, Default)]
struct PaceSamples {
    ms_per_token: VecDeque<f64>,
    /// Their lower quartile, once there are enough.
    quartile_ms: Option<f64>,
}

impl PaceSamples {
    fn push(&mut self, ms_per_token: f64) {
        if self.ms_per_token.len() == MAX_SAMPLES {
            self.ms_per_token.pop_front();
        }
        self.ms_per_token.push_back(ms_per_token);
        if self.ms_per_token.len() >= MIN_SAMPLES {
            let mut sorted: Vec<f64> = self.ms_per_token.iter().copied().collect();
            sorted.sort_unstable_by(f64::total_cmp);
            let at = (sorted.len() - 1) as f64 * QUARTILE;
            self.quartile_ms = Some(sorted[at as usize]);
        }
    }
}
