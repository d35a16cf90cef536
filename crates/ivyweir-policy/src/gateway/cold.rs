//! How many requests a box may send to an upstream that is cold.
//!
//! For some seconds after its start, and at times later, an upstream bears a few requests a second and falls
//! over well above that. The rate is a sum over all boxes, so it is shared out among [owners](super::quota).
//! A box that owns no part of an upstream's rate sends nothing there while it is cold.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// The span over which requests are counted: a second, and a tenth since they take different times to arrive.
const WINDOW_MS: u64 = 1_100;
/// How a pool's upstreams are cold after their start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Time for which one is cold after its start.
    pub lasts_ms: u64,
    /// Requests a second that one bears meanwhile.
    pub requests_per_s: f64,
}

impl ColdStart {
    /// Whether the rate is one that can be kept to.
    pub fn is_sane(&self) -> bool {
        self.requests_per_s.is_finite() && self.requests_per_s > 0.0
    }

    /// Requests that a cold upstream is to get within a second, over all boxes: at least one, or it would get
    /// nothing while it is cold.
    pub fn limit(&self) -> u32 {
        (self.requests_per_s as u32).max(1)
    }
}

/// When requests were sent to an upstream lately.
#[derive(Debug, Clone, Default)]
pub struct RecentSends {
    at_ms: VecDeque<u64>,
}

impl RecentSends {
    /// Counts a request that is sent now.
    pub fn note(&mut self, now_ms: u64) {
        self.forget(now_ms);
        self.at_ms.push_back(now_ms);
    }

    /// Requests of the last second.
    pub fn count(&self, now_ms: u64) -> u32 {
        let recent = self.at_ms.iter().filter(|&&at| is_recent(at, now_ms));
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }

    fn forget(&mut self, now_ms: u64) {
        while self.at_ms.front().is_some_and(|&at| !is_recent(at, now_ms)) {
            self.at_ms.pop_front();
        }
    }
}

fn is_recent(at_ms: u64, now_ms: u64) -> bool {
    at_ms + WINDOW_MS > now_ms
}
