//! Which answers of a new version are slow: much slower than the old version's at the same load.

use std::collections::{HashMap, VecDeque};

/// How many times the old version's quick answers make an answer a slow one, at the least.
const SLOW_RATIO: f64 = 2.5;
/// Time up to which no answer that is no stream counts as slow: it may be the machine's. The users'
/// services take 15 ms and more.
const SLOW_MIN_MS: f64 = 25.0;
/// Answers of the old version, of one lane, needed to tell a slow one.
const PACE_SAMPLES: u32 = 5;
/// The lower quartile.
const QUARTILE: f64 = 0.25;
/// Step by which an answer moves the lower quartile.
const PACE_STEP: f64 = 0.1;
/// Of the old version's streams at the nearest load, the part that are quicker than a slow one.
const SLOW_QUANTILE: f64 = 0.5;
/// Old streams at the nearest load that a stream is compared with.
const COMPARED: usize = 16;
/// Newest streams of the old version that are kept to compare with: few enough to be of the same
/// time of day, and four times as many as are compared, so that some are of any load.
const STREAMS_KEPT: usize = 64;

/// The part of an answer whose pace is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Span {
    /// All of an answer that is no stream.
    Whole,
    /// Its first events, or all of a short stream: told soon.
    Start,
    /// Many events, which the prompts of others hardly move: told for certain.
    Long,
}

/// An answer whose time is judged.
#[derive(Debug, Clone, Copy)]
pub struct Timed {
    /// Mean pause between its events, or the time to a plain answer.
    pub pace_ms: f64,
    /// The part of the answer that the pace is of.
    pub span: Span,
    /// Answers that are alike: hash of route and model.
    pub lane: u64,
    /// Requests that its upstream ran when it began.
    pub running: u32,
    /// Whether the old version gave it.
    pub is_old: bool,
}

/// The old version's times.
#[derive(Debug, Default)]
pub struct OldAnswers {
    /// Of plain answers, by lane.
    plain: HashMap<u64, PlainPace>,
    /// Of streams, over all lanes: in an engine's batch all take the same steps.
    streams: HashMap<Span, StreamPace>,
}

impl OldAnswers {
    /// Whether an answer is slow beside these; takes it in if the old version gave it.
    pub fn is_slow(&mut self, answer: &Timed) -> bool {
        match answer.span {
            Span::Whole => {
                let pace = self.plain.entry(answer.lane).or_default();
                let is_slow = pace.is_slow(answer.pace_ms);
                if answer.is_old {
                    pace.add(answer.pace_ms);
                }
                is_slow
            }
            Span::Start | Span::Long => {
                let pace = self.streams.entry(answer.span).or_default();
                let is_slow = pace.is_slow(answer.pace_ms, answer.running);
                if answer.is_old {
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
/// The new version's engines run little until all work has moved, so a version that is four times as
/// slow has pauses like those of the busy old engines. It is told at equal load.
#[derive(Debug, Default)]
struct StreamPace {
    newest: VecDeque<OldStream>,
}

impl StreamPace {
    /// Whether a stream is much slower than most at the nearest load.
    fn is_slow(&self, pace_ms: f64, running: u32) -> bool {
        if self.newest.len() < PACE_SAMPLES as usize {
            return false;
        }
        let mut nearest: Vec<OldStream> = self.newest.iter().copied().collect();
        nearest.sort_by_key(|old| old.running.abs_diff(running));
        nearest.truncate(COMPARED);
        nearest.sort_unstable_by(|a, b| a.pace_ms.total_cmp(&b.pace_ms));
        let quantile = |part: f64| nearest[((nearest.len() - 1) as f64 * part) as usize].pace_ms;
        pace_ms > quantile(QUARTILE) * SLOW_RATIO && pace_ms >= quantile(SLOW_QUANTILE)
    }

    fn add(&mut self, pace_ms: f64, running: u32) {
        if self.newest.len() == STREAMS_KEPT {
            self.newest.pop_front();
        }
        self.newest.push_back(OldStream { pace_ms, running });
    }
}

/// Lower quartile of the time to a plain answer. Unlike the mean it hardly moves with load.
#[derive(Debug, Default, Clone, Copy)]
struct PlainPace {
    low_ms: f64,
    samples: u32,
}

impl PlainPace {
    /// Whether an answer took long beside the old version's.
    fn is_slow(&self, pace_ms: f64) -> bool {
        self.samples >= PACE_SAMPLES && pace_ms > SLOW_MIN_MS && pace_ms > self.low_ms * SLOW_RATIO
    }

    fn add(&mut self, pace_ms: f64) {
        self.samples += 1;
        if self.samples == 1 {
            self.low_ms = pace_ms;
        } else if pace_ms < self.low_ms {
            self.low_ms *= 1.0 - PACE_STEP * (1.0 - QUARTILE);
        } else {
            self.low_ms *= 1.0 + PACE_STEP * QUARTILE;
        }
    }
}
