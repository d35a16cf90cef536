//! How long engines of a pool take to read a prompt token, by model, learned from their answers.
//!
//! The time to the head of an answer holds more than reading: other prompts that are read first, and
//! less than the whole prompt where its shared part was kept. Over many answers the lower quartile of
//! time by token is near what a whole prompt takes alone: measured at 1.0 to 1.13 times an engine's own
//! pace for a large model and 1.9 for a small one, where the steps of the streams beside it weigh in.

use std::collections::VecDeque;

use crate::gateway::work::place_of;

/// Time by token of the smallest model, in milliseconds, until answers tell: 200 tokens a millisecond.
const PRIOR_MS: f64 = 1.0 / 200.0;
/// The same of the largest model relative to the smallest; sizes between lie on a geometric scale.
const PRIOR_LARGEST_TO_SMALLEST: f64 = 10.0;
/// Shortest prompt that is learned from: below it, fixed costs outweigh reading.
const MIN_TOKENS: u32 = 500;
/// Answers that are kept to learn from: a box hears as many in 15 to 30 s where it serves four requests a
/// second, so that it follows a pool whose machines change.
const KEPT: usize = 64;
/// Answers from which they are believed rather than the prior.
const MIN_ANSWERS: usize = 8;
/// Part of answers that are quicker than the pace.
const QUARTILE: f64 = 0.25;
/// How many times the prior a pace may be, either way; beyond it clocks or counts are wrong.
const MAX_RATIO: f64 = 50.0;

/// The pace at which a pool reads, by the model's place from the smallest.
#[derive(Debug, Default)]
pub struct ReadingPace {
    models: Vec<Answers>,
}

impl ReadingPace {
    /// Takes in that the head of an answer came `took_ms` after a prompt of so many tokens was sent.
    pub fn learn(&mut self, model: usize, tokens: u32, took_ms: u64) {
        if tokens < MIN_TOKENS {
            return;
        }
        if self.models.len() <= model {
            self.models.resize_with(model + 1, Answers::default);
        }
        self.models[model].push(took_ms as f64 / f64::from(tokens));
    }

    /// Time by token of the model in this place of `models`, in milliseconds.
    ///
    /// A model that was not heard of is taken to differ from the nearest one that was as it does by
    /// the prior.
    pub fn ms_per_token(&self, model: usize, models: usize) -> f64 {
        let heard = self.models.iter().enumerate();
        let heard = heard.filter_map(|(at, answers)| Some((at, answers.quartile_ms?)));
        let nearest = heard.min_by_key(|(at, _)| at.abs_diff(model));
        let ratio = nearest.map_or(1.0, |(at, ms)| ms / prior_ms(at, models));
        prior_ms(model, models) * ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO)
    }

    /// Answers that the pace of a model rests on; 0 where it is not believed yet.
    pub fn answers(&self, model: usize) -> usize {
        let answers = self.models.get(model);
        answers.map_or(0, |answers| match answers.quartile_ms {
            Some(_) => answers.newest_ms.len(),
            None => 0,
        })
    }
}

/// Time by token before any answer.
fn prior_ms(model: usize, models: usize) -> f64 {
    PRIOR_MS * PRIOR_LARGEST_TO_SMALLEST.powf(place_of(model, models))
}

/// Newest answers of a model, by their time by token.
#[derive(Debug, Default)]
struct Answers {
    newest_ms: VecDeque<f64>,
    /// Their lower quartile, once there are enough.
    quartile_ms: Option<f64>,
}

impl Answers {
    fn push(&mut self, ms_per_token: f64) {
        if self.newest_ms.len() == KEPT {
            self.newest_ms.pop_front();
        }
        self.newest_ms.push_back(ms_per_token);
        if self.newest_ms.len() >= MIN_ANSWERS {
            let mut sorted: Vec<f64> = self.newest_ms.iter().copied().collect();
            sorted.sort_unstable_by(f64::total_cmp);
            let at = (sorted.len() - 1) as f64 * QUARTILE;
            self.quartile_ms = Some(sorted[at as usize]);
        }
    }
}
