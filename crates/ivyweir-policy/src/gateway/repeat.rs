//! Repeats held to a share of the requests of the last seconds.
//!
//! The fleet's bound is on a sum over all boxes. A box that keeps its own repeats under the ratio
//! of its own requests keeps the sum under it, with no message between boxes.
//!
//! A box that serves a request now and then would refuse many repeats that the fleet has room for: two
//! doubtful answers in a row are two repeats for two requests. So boxes also tell each other their counts,
//! and one that has used its own part goes on while the fleet as a whole is far from the bound.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Parts into which the window is cut.
const PARTS: u64 = 20;
/// Part of the fleet's bound up to which a box may go beyond its own. Counts are told within 1.8 s; were every
/// request of these seconds sent three times, the fleet would reach the bound in a window of 10 s.
const FLEET_ROOM: f64 = 0.6;
/// Age from which the fleet's counts say nothing any more.
const FLEET_MAX_AGE_MS: u64 = 1_500;
/// How far a box may go then: repeats for each request, and beyond that.
const MOST_RATIO: f64 = 1.25;
const MOST_SLACK: f64 = 2.0;

/// Bounds on repeats.
#[derive(Debug, Clone, Copy)]
pub struct RepeatLimits {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beyond that.
    pub slack: f64,
    /// The same for the whole fleet.
    pub fleet_slack: f64,
    /// The span that is counted.
    pub window_ms: u64,
}

/// Requests and repeats of the last window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepeatCounts {
    /// Requests.
    pub requests: u32,
    /// Repeats.
    pub repeats: u32,
}

impl RepeatCounts {
    /// Adds another box's.
    pub fn add(&mut self, more: Self) {
        self.requests = self.requests.saturating_add(more.requests);
        self.repeats = self.repeats.saturating_add(more.repeats);
    }
}

/// The counts of all boxes, as they were told.
#[derive(Debug, Clone, Copy)]
pub struct FleetCounts {
    /// Their sum.
    pub counts: RepeatCounts,
    /// When it was told.
    pub told_at_ms: u64,
}

impl FleetCounts {
    /// Whether the fleet is far from its bound.
    fn has_room(&self, limits: &RepeatLimits, now_ms: u64) -> bool {
        let allowed = limits.ratio * f64::from(self.counts.requests) + limits.fleet_slack;
        now_ms < self.told_at_ms + FLEET_MAX_AGE_MS
            && f64::from(self.counts.repeats) < FLEET_ROOM * allowed
    }
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

    /// Takes a repeat out of the budget, if there is one; `fleet` is what all boxes counted, if that is known.
    pub fn take(
        &mut self,
        limits: &RepeatLimits,
        fleet: Option<&FleetCounts>,
        now_ms: u64,
    ) -> bool {
        let own = self.counts(limits, now_ms);
        let requests = f64::from(own.requests);
        let next = f64::from(own.repeats + 1);
        let is_own = next <= limits.ratio * requests + limits.slack;
        let is_fleets = next <= MOST_RATIO * requests + MOST_SLACK
            && fleet.is_some_and(|fleet| fleet.has_room(limits, now_ms));
        if is_own || is_fleets {
            self.part(limits, now_ms).repeats += 1;
        }
        is_own || is_fleets
    }

    /// This box's counts of the last window.
    pub fn counts(&mut self, limits: &RepeatLimits, now_ms: u64) -> RepeatCounts {
        self.part(limits, now_ms);
        RepeatCounts {
            requests: self.parts.iter().map(|p| p.requests).sum(),
            repeats: self.parts.iter().map(|p| p.repeats).sum(),
        }
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
