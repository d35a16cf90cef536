//! Repeats held to a share of the requests of the last seconds.
//!
//! The fleet's bound is on a sum over all boxes. A box that keeps its own repeats under the ratio
//! of its own requests keeps the sum under it, with no message between boxes.

use std::collections::VecDeque;

/// Parts into which the window is cut.
const PARTS: u64 = 20;

/// Bounds on repeats.
#[derive(Debug, Clone, Copy)]
pub struct RepeatLimits {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beyond that.
    pub slack: f64,
    /// The span that is counted.
    pub window_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Part {
    index: u64,
    requests: u32,
    repeats: u32,
}

/// Counts of one pool.
#[derive(Debug, Clone, Default)]
pub struct RepeatBudget {
    parts: VecDeque<Part>,
}

impl RepeatBudget {
    /// Counts a request.
    pub fn count_request(&mut self, limits: &RepeatLimits, now_ms: u64) {
        self.part(limits, now_ms).requests += 1;
    }

    /// Takes a repeat out of the budget, if there is one.
    pub fn take(&mut self, limits: &RepeatLimits, now_ms: u64) -> bool {
        self.part(limits, now_ms);
        let requests: u32 = self.parts.iter().map(|p| p.requests).sum();
        let repeats: u32 = self.parts.iter().map(|p| p.repeats).sum();
        let allowed = limits.ratio * f64::from(requests) + limits.slack;
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        self.part(limits, now_ms).repeats += 1;
        true
    }

    fn part(&mut self, limits: &RepeatLimits, now_ms: u64) -> &mut Part {
        let index = now_ms * PARTS / limits.window_ms.max(1);
        while self.parts.front().is_some_and(|p| p.index + PARTS < index) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|p| p.index != index) {
            self.parts.push_back(Part {
                index,
                requests: 0,
                repeats: 0,
            });
        }
        self.parts.back_mut().expect("invariant: a part was added")
    }
}
