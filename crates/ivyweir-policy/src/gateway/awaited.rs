//! Streams in progress, which are judged at an age by which nearly all streams of the old version are timed.
//!
//! The age of a stream counts from the head of its response. The time to the head says little of a version, as the prompt
//! caches of new engines are empty.
//!
//! The slower a stream is, the later it is timed. Judged by those that were timed, a version some of whose streams are
//! slow looks like one that gives few answers, all of them fast.

use std::collections::{HashMap, VecDeque};

use crate::Name;
use crate::gateway::rollout::Side;

/// Ratio between the age at which streams are judged and the upper decile of the old version's ages when timed.
const AGE_RATIO: f64 = 2.0;
/// The upper decile.
const DECILE: f64 = 0.9;
/// Number of streams of the old version in a lane from which others are judged by their age there.
const MIN_SAMPLES: usize = 10;
/// Number of newest streams of the old version kept in each lane.
const MAX_SAMPLES: usize = 64;

/// An answer that is awaited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AwaitedAnswer {
    /// Upstream that gives the answer.
    pub upstream: Name,
    /// Version of the upstream.
    pub side: Side,
    /// Hash of route and model.
    pub lane: u64,
    /// When its response began.
    pub began_ms: u64,
}

/// What is known of a stream at the age at which it is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamState {
    /// Its pace is not known.
    Untimed,
    /// It was timed.
    Timed {
        /// Whether it was slow.
        is_slow: bool,
    },
}

#[derive(Debug)]
struct Entry {
    answer: AwaitedAnswer,
    state: StreamState,
    /// Whether it reached the age before it was timed.
    is_overdue: bool,
}

/// Answers that were not judged by their age yet.
#[derive(Debug, Default)]
pub struct AwaitedAnswers {
    entries: HashMap<u64, Entry>,
    /// Ages at which the old version's streams were timed, by lane.
    timed_after_ms: HashMap<u64, VecDeque<u64>>,
}

impl AwaitedAnswers {
    /// Adds an answer.
    pub fn begin(&mut self, id: u64, answer: AwaitedAnswer) {
        let entry = Entry {
            answer,
            state: StreamState::Untimed,
            is_overdue: false,
        };
        self.entries.insert(id, entry);
    }

    /// Records that an answer has ended. One that was not timed is not judged.
    pub fn end(&mut self, id: u64) {
        let is_untimed = |entry: &Entry| entry.state == StreamState::Untimed;
        if self.entries.get(&id).is_some_and(is_untimed) {
            self.entries.remove(&id);
        }
    }

    /// Whether a stream was judged before it was timed.
    pub fn is_overdue(&self, id: u64) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.is_overdue)
    }

    /// Records that a stream was timed.
    pub fn time(&mut self, id: u64, is_slow: bool, now_ms: u64) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.state = StreamState::Timed { is_slow };
        if entry.answer.side == Side::Old {
            let ages_ms = self.timed_after_ms.entry(entry.answer.lane).or_default();
            if ages_ms.len() == MAX_SAMPLES {
                ages_ms.pop_front();
            }
            ages_ms.push_back(now_ms.saturating_sub(entry.answer.began_ms));
        }
    }

    /// Takes the answers that have reached the age of their lane, with what is known of them. Lanes without streams have
    /// none.
    pub fn take_aged(&mut self, now_ms: u64) -> Vec<(AwaitedAnswer, StreamState)> {
        let judged_at_ms: HashMap<u64, u64> = self
            .timed_after_ms
            .iter()
            .filter_map(|(lane, ages_ms)| Some((*lane, judged_at_ms(ages_ms)?)))
            .collect();
        let mut aged = Vec::new();
        self.entries.retain(|_, entry| {
            let age_ms = now_ms.saturating_sub(entry.answer.began_ms);
            let at_ms = judged_at_ms.get(&entry.answer.lane);
            if entry.is_overdue || at_ms.is_none_or(|at_ms| age_ms < *at_ms) {
                return true;
            }
            aged.push((entry.answer.clone(), entry.state));
            entry.is_overdue = entry.state == StreamState::Untimed;
            entry.is_overdue
        });
        aged
    }
}

/// Age at which the streams of a lane are judged; `None` if too few were timed.
fn judged_at_ms(ages_ms: &VecDeque<u64>) -> Option<u64> {
    if ages_ms.len() < MIN_SAMPLES {
        return None;
    }
    let mut sorted: Vec<u64> = ages_ms.iter().copied().collect();
    sorted.sort_unstable();
    let decile_ms = sorted[((sorted.len() - 1) as f64 * DECILE) as usize];
    Some((decile_ms as f64 * AGE_RATIO) as u64)
}
