//! Ranges of the numbers in a configuration, so that arithmetic with them cannot overflow.

use std::sync::Arc;

use super::{CallerLimits, PoolSpec, Route, RouteKind, SiteConfig};

/// Longest time in a configuration: a day. Requests, connections and starts take far less.
pub const MAX_TIME_MS: u64 = 24 * 3_600 * 1_000;

impl SiteConfig {
    /// Brings all numbers into range.
    pub(super) fn bound(&mut self) {
        for route in &mut self.routes {
            if !route.is_in_range() {
                Arc::make_mut(route).bound();
            }
        }
        self.pools.iter_mut().for_each(PoolSpec::bound);
        if let Some(limits) = &mut self.limits {
            limits.bound();
        }
    }
}

impl Route {
    fn is_in_range(&self) -> bool {
        let gap_aim_ms = match self.kind {
            RouteKind::Stream { gap_aim_ms, .. } => gap_aim_ms,
            _ => 0,
        };
        self.timeout_ms.max(self.latency_aim_ms).max(gap_aim_ms) <= MAX_TIME_MS
    }

    fn bound(&mut self) {
        self.timeout_ms = self.timeout_ms.min(MAX_TIME_MS);
        self.latency_aim_ms = self.latency_aim_ms.min(MAX_TIME_MS);
        if let RouteKind::Stream { gap_aim_ms, .. } = &mut self.kind {
            *gap_aim_ms = (*gap_aim_ms).min(MAX_TIME_MS);
        }
    }
}

impl PoolSpec {
    fn bound(&mut self) {
        if let Some(cold_start) = &mut self.cold_start {
            cold_start.lasts_ms = cold_start.lasts_ms.min(MAX_TIME_MS);
        }
        if let Some(scaling) = &mut self.scaling {
            scaling.boot_ms = scaling.boot_ms.min(MAX_TIME_MS);
            scaling.max = scaling.max.max(scaling.min);
        }
    }
}

impl CallerLimits {
    fn bound(&mut self) {
        self.header_timeout_ms = self.header_timeout_ms.min(MAX_TIME_MS);
        self.idle_timeout_ms = self.idle_timeout_ms.min(MAX_TIME_MS);
    }
}
