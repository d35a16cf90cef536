//! How often runs are interrupted by terminations of upstreams, whatever they run.

use std::collections::VecDeque;

/// Time for which runs count.
const WINDOW_MS: i64 = 30_000;
/// Resolution at which runs that began are counted.
const BUCKET_MS: i64 = 1_000;
/// Probability up to which it is not taken for chance that runs of a part were interrupted.
const CHANCE: f64 = 1e-5;

/// Runs of this box that began or were interrupted recently.
#[derive(Debug, Default)]
pub(super) struct Interruptions {
    /// Number of runs, by the bucket in which they began.
    began: VecDeque<(i64, u32)>,
    /// Terminations with the number of runs that each interrupted.
    ends: VecDeque<End>,
}

#[derive(Debug)]
struct End {
    at_ms: i64,
    upstream: u64,
    interrupted: u32,
}

impl Interruptions {
    pub(super) fn record_start(&mut self, at_ms: i64) {
        let bucket = at_ms.div_euclid(BUCKET_MS);
        match self.began.back_mut() {
            Some((last, count)) if *last == bucket => *count += 1,
            _ => self.began.push_back((bucket, 1)),
        }
        self.forget_old(at_ms);
    }

    pub(super) fn record_end(&mut self, at_ms: i64, upstream: u64, interrupted: usize) {
        self.ends.push_back(End {
            at_ms,
            upstream,
            interrupted: u32::try_from(interrupted).unwrap_or(u32::MAX),
        });
        self.forget_old(at_ms);
    }

    fn forget_old(&mut self, now_ms: i64) {
        let from_ms = now_ms - WINDOW_MS;
        let is_old = |bucket: i64| (bucket + 1) * BUCKET_MS <= from_ms;
        while self.began.front().is_some_and(|(b, _)| is_old(*b)) {
            self.began.pop_front();
        }
        while self.ends.front().is_some_and(|end| end.at_ms <= from_ms) {
            self.ends.pop_front();
        }
    }

    /// Number of terminations that runs of a sound part meet with the probability `CHANCE`, where runs are interrupted as
    /// often as those of others are at terminations that have no explanation. `has_explanation` is given the hash of the
    /// terminated upstream.
    pub(super) fn ends_beyond_chance(&self, has_explanation: impl Fn(u64) -> bool) -> usize {
        let others = self.ends.iter();
        let others = others.filter(|end| !has_explanation(end.upstream));
        let interrupted: f64 = others.map(|end| f64::from(end.interrupted)).sum();
        let began: f64 = self.began.iter().map(|(_, n)| f64::from(*n)).sum();
        // One more of each: with few runs, nothing is known of their fate.
        let share = (interrupted + 1.0) / (began.max(interrupted) + 2.0);
        (CHANCE.ln() / share.ln()).ceil() as usize
    }
}
