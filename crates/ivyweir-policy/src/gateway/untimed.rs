//! Streams whose pace is not known yet, and how long that takes in the old version.
//!
//! The slower a stream is, the later it is timed. Judged by those that were timed, a version some of whose streams are
//! slow looks like one that gives few answers, all of them fast.

use std::collections::{HashMap, VecDeque};

use crate::Name;
use crate::gateway::rollout::Side;

/// Ratio between the time after which a stream is overdue and the upper decile of the old version's times.
const OVERDUE_RATIO: f64 = 2.0;
/// The upper decile.
const DECILE: f64 = 0.9;
/// Number of streams of the old version in a lane from which others are overdue there.
const MIN_SAMPLES: usize = 10;
/// Number of newest streams of the old version kept in each lane.
const MAX_SAMPLES: usize = 64;

/// An answer that has begun and was not timed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UntimedAnswer {
    /// Upstream that gives the answer.
    pub upstream: Name,
    /// Version of the upstream.
    pub side: Side,
    /// Hash of route and model.
    pub lane: u64,
    /// When its request was sent.
    pub sent_ms: u64,
}

/// Answers that were not timed yet.
#[derive(Debug, Default)]
pub struct UntimedAnswers {
    /// Answers by id; `None` once one was overdue.
    answers: HashMap<u64, Option<UntimedAnswer>>,
    /// Times from the request to the timing of the old version's streams, by lane.
    timed_after_ms: HashMap<u64, VecDeque<u64>>,
}

impl UntimedAnswers {
    /// Adds an answer.
    pub fn begin(&mut self, id: u64, answer: UntimedAnswer) {
        self.answers.insert(id, Some(answer));
    }

    /// Removes an answer that has ended.
    pub fn end(&mut self, id: u64) {
        self.answers.remove(&id);
    }

    /// Records that a stream is timed now; returns whether it was overdue before.
    pub fn time(&mut self, id: u64, now_ms: u64) -> bool {
        let Some(answer) = self.answers.remove(&id) else {
            return false;
        };
        let Some(answer) = answer else {
            return true;
        };
        if answer.side == Side::Old {
            let times = self.timed_after_ms.entry(answer.lane).or_default();
            if times.len() == MAX_SAMPLES {
                times.pop_front();
            }
            times.push_back(now_ms.saturating_sub(answer.sent_ms));
        }
        false
    }

    /// Takes the answers that have become overdue. Lanes without streams have none.
    pub fn take_overdue(&mut self, now_ms: u64) -> Vec<UntimedAnswer> {
        let limits_ms: HashMap<u64, u64> = self
            .timed_after_ms
            .iter()
            .filter_map(|(lane, times)| Some((*lane, limit_ms(times)?)))
            .collect();
        let is_overdue = |answer: &mut UntimedAnswer| {
            let age_ms = now_ms.saturating_sub(answer.sent_ms);
            limits_ms
                .get(&answer.lane)
                .is_some_and(|limit_ms| age_ms > *limit_ms)
        };
        self.answers
            .values_mut()
            .filter_map(|answer| answer.take_if(is_overdue))
            .collect()
    }
}

/// Time after which a stream is overdue; `None` if too few were timed.
fn limit_ms(times: &VecDeque<u64>) -> Option<u64> {
    if times.len() < MIN_SAMPLES {
        return None;
    }
    let mut sorted: Vec<u64> = times.iter().copied().collect();
    sorted.sort_unstable();
    let decile_ms = sorted[((sorted.len() - 1) as f64 * DECILE) as usize];
    Some((decile_ms as f64 * OVERDUE_RATIO) as u64)
}
