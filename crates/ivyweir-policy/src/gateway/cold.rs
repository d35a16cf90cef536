//! Rate limit for requests to a cold upstream.
//!
//! For some seconds after its start, and occasionally later, an upstream handles only a few requests per second and
//! fails well above that rate. The rate is a total over all boxes, so it is divided among [owners](super::quota).
//! A box that owns no share of an upstream's rate sends it nothing while it is cold.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Counting window: one second, and a tenth because network latency varies between requests.
const WINDOW_MS: u64 = 1_100;
/// Cold-start behaviour of a pool's upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Time for which an upstream is cold after its start.
    pub lasts_ms: u64,
    /// Requests per second that a cold upstream can handle.
    pub requests_per_s: f64,
}

impl ColdStart {
    /// Whether the rate is finite and positive.
    pub fn is_valid(&self) -> bool {
        self.requests_per_s.is_finite() && self.requests_per_s > 0.0
    }

    /// Requests that a cold upstream may get per second from all boxes together: at least one, since it would otherwise
    /// get none while it is cold.
    pub fn limit(&self) -> u32 {
        (self.requests_per_s as u32).max(1)
    }
}

/// Times of the requests sent to an upstream within the counting window.
#[derive(Debug, Clone, Default)]
pub struct RecentSends {
    at_ms: VecDeque<u64>,
}

impl RecentSends {
    /// Counts a request that is sent now.
    pub fn record(&mut self, now_ms: u64) {
        self.evict_old(now_ms);
        self.at_ms.push_back(now_ms);
    }

    /// Number of requests within the counting window.
    pub fn count(&self, now_ms: u64) -> u32 {
        let recent = self.at_ms.iter().filter(|&&at| is_recent(at, now_ms));
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }

    fn evict_old(&mut self, now_ms: u64) {
        while self.at_ms.front().is_some_and(|&at| !is_recent(at, now_ms)) {
            self.at_ms.pop_front();
        }
    }
}

fn is_recent(at_ms: u64, now_ms: u64) -> bool {
    at_ms + WINDOW_MS > now_ms
}
