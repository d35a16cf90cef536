//! Detection of slow answers of a new version: much slower than the old version's at the same load.

use std::collections::{HashMap, VecDeque};

/// Lower bound of the ratio between a slow answer's time and the old version's lower quartile.
const SLOW_RATIO: f64 = 2.5;
/// Time up to which no non-streaming answer counts as slow, since the machine may be the cause. The users'
/// services take 15 ms and more.
const SLOW_MIN_MS: f64 = 25.0;
/// Answers of the old version needed for a comparison: for each lane, or for streams over all lanes.
const MIN_SAMPLES: u32 = 5;
/// The lower quartile.
const QUARTILE: f64 = 0.25;
/// Relative step by which an answer moves the estimate of the lower quartile.
const QUARTILE_STEP: f64 = 0.1;
/// A slow stream reaches at least this quantile of the old version's streams at the nearest load.
const SLOW_QUANTILE: f64 = 0.5;
/// Maximum number of old streams, those at the nearest load, that a stream is compared with.
const MAX_COMPARED: usize = 16;
/// Newest streams of the old version kept for comparison: few enough to be from the same time of day, and four times
/// the number compared, so that every load is represented.
const MAX_STREAMS: usize = 64;

/// The part of an answer whose pace is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Span {
    /// All of a non-streaming answer.
    Whole,
    /// The first events of a stream, or all of a short one: available early.
    Start,
    /// Many events of a stream: reliable, since prompts of other requests hardly affect the mean.
    Long,
}

/// An answer whose time is judged.
#[derive(Debug, Clone, Copy)]
pub struct TimedAnswer {
    /// Mean interval between events, or the time to a non-streaming answer.
    pub pace_ms: f64,
    /// The part of the answer that the pace covers.
    pub span: Span,
    /// Hash of route and model; only answers of one lane are comparable.
    pub lane: u64,
    /// Requests running at its upstream when it began.
    pub running: u32,
    /// Whether the old version gave it.
    pub is_old_version: bool,
}

/// The old version's times.
#[derive(Debug, Default)]
pub struct OldVersionPace {
    /// Non-streaming answers, by lane.
    non_streaming: HashMap<u64, NonStreamingPace>,
    /// Streams, over all lanes: all streams of an engine's batch advance in the same steps.
    streams: HashMap<Span, StreamPace>,
}

impl OldVersionPace {
    /// Whether an answer is slow compared with the old version's; adds it to them if the old version gave it.
    pub fn is_slow(&mut self, answer: &TimedAnswer) -> bool {
        match answer.span {
            Span::Whole => {
                let pace = self.non_streaming.entry(answer.lane).or_default();
                let is_slow = pace.is_slow(answer.pace_ms);
                if answer.is_old_version {
                    pace.add(answer.pace_ms);
                }
                is_slow
            }
            Span::Start | Span::Long => {
                let pace = self.streams.entry(answer.span).or_default();
                let is_slow = pace.is_slow(answer.pace_ms, answer.running);
                if answer.is_old_version {
                    pace.add(answer.pace_ms, answer.running);
                }
                is_slow
            }
        }
    }
}

/// A stream of the old version.
#[derive(Debug, Clone, Copy)]
struct OldStream {
    pace_ms: f64,
    running: u32,
}

/// The old version's newest streams.
///
/// Streams are compared at equal load. The new version's engines have little load until all traffic has moved, so a
/// version four times as slow has event intervals like those of the busy old engines.
#[derive(Debug, Default)]
struct StreamPace {
    recent: VecDeque<OldStream>,
}

impl StreamPace {
    /// Whether a stream is much slower than most at the nearest load.
    fn is_slow(&self, pace_ms: f64, running: u32) -> bool {
        if self.recent.len() < MIN_SAMPLES as usize {
            return false;
        }
        let mut nearest: Vec<OldStream> = self.recent.iter().copied().collect();
        nearest.sort_by_key(|old| old.running.abs_diff(running));
        nearest.truncate(MAX_COMPARED);
        nearest.sort_unstable_by(|a, b| a.pace_ms.total_cmp(&b.pace_ms));
        let quantile = |part: f64| nearest[((nearest.len() - 1) as f64 * part) as usize].pace_ms;
        pace_ms > quantile(QUARTILE) * SLOW_RATIO && pace_ms >= quantile(SLOW_QUANTILE)
    }

    fn add(&mut self, pace_ms: f64, running: u32) {
        if self.recent.len() == MAX_STREAMS {
            self.recent.pop_front();
        }
        self.recent.push_back(OldStream { pace_ms, running });
    }
}

/// Running estimate of the lower quartile of the time to a non-streaming answer. Unlike the mean, it hardly depends on
/// load.
#[derive(Debug, Default, Clone, Copy)]
struct NonStreamingPace {
    lower_quartile_ms: f64,
    samples: u32,
}

impl NonStreamingPace {
    /// Whether an answer took long compared with the old version's.
    fn is_slow(&self, pace_ms: f64) -> bool {
        self.samples >= MIN_SAMPLES
            && pace_ms > SLOW_MIN_MS
            && pace_ms > self.lower_quartile_ms * SLOW_RATIO
    }

    fn add(&mut self, pace_ms: f64) {
        self.samples += 1;
        if self.samples == 1 {
            self.lower_quartile_ms = pace_ms;
        } else if pace_ms < self.lower_quartile_ms {
            self.lower_quartile_ms *= 1.0 - QUARTILE_STEP * (1.0 - QUARTILE);
        } else {
            self.lower_quartile_ms *= 1.0 + QUARTILE_STEP * QUARTILE;
        }
    }
}
