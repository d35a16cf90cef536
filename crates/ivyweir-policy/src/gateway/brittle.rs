//! Upstreams that fail if they have to reject many requests.
//!
//! At times the upstreams of a pool state that each of them fails when it rejects more than a number of requests in a
//! second for want of room. Boxes divide the slots of such an upstream among them, and this number too: a request that
//! fits into a box's slots is not rejected, and of others each box sends at most as many in a second as its part of the
//! rejections. A box that owns no slot of the pool hands its requests over to others.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::gateway::cold::RecentSends;

/// Time for which a statement counts. Upstreams repeat it in all their responses.
const STATEMENT_TTL_MS: u64 = 2_500;
/// Time after which a request that was held back may be sent.
pub(crate) const RECHECK_MS: u64 = 40;

/// A pool whose upstreams are brittle, for propagation to other boxes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleUpdate {
    /// The pool.
    pub pool: Name,
    /// Rejections per second above which an upstream fails.
    pub rejections_per_s: u32,
    /// Time since an upstream stated it.
    pub age_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct StatedAt {
    rejections_per_s: u32,
    at_ms: u64,
}

/// Pools whose upstreams are brittle.
#[derive(Debug, Default)]
pub struct BrittlePools {
    pools: HashMap<Name, StatedAt>,
}

impl BrittlePools {
    /// Records that an upstream of a pool fails above this number of rejections per second.
    pub fn record(&mut self, pool: &Name, rejections_per_s: u32, stated_at_ms: u64) {
        let stated = StatedAt {
            rejections_per_s,
            at_ms: stated_at_ms,
        };
        let known = self.pools.entry(pool.clone()).or_insert(stated);
        if known.at_ms <= stated_at_ms {
            *known = stated;
        }
    }

    /// Rejections per second above which the upstreams of a pool fail; `None` if they are not brittle.
    pub fn rejections_per_s(&self, pool: &str, now_ms: u64) -> Option<u32> {
        let stated = self.pools.get(pool)?;
        (now_ms < stated.at_ms + STATEMENT_TTL_MS).then_some(stated.rejections_per_s)
    }

    /// The pools whose upstreams are brittle, for propagation to other boxes.
    pub fn recent(&self, now_ms: u64) -> Vec<BrittleUpdate> {
        let pools = self.pools.iter();
        let recent = pools.filter(|(pool, _)| self.rejections_per_s(pool, now_ms).is_some());
        let updates = recent.map(|(pool, stated)| BrittleUpdate {
            pool: pool.clone(),
            rejections_per_s: stated.rejections_per_s,
            age_ms: now_ms.saturating_sub(stated.at_ms),
        });
        updates.collect()
    }
}

/// Requests that this box sent to an upstream and that it may have rejected.
#[derive(Debug, Clone, Default)]
pub struct RejectionRisk {
    risky_sends: RecentSends,
    rejections: RecentSends,
}

/// What decides whether a request may be sent to a brittle upstream.
#[derive(Debug, Clone, Copy)]
pub struct BrittleLoad {
    /// Slots that this box owns.
    pub own_slots: u32,
    /// Rejections per second that this box owns.
    pub own_rejections: u32,
    /// Requests of this box there, including the one to be sent.
    pub own_requests: u32,
}

impl BrittleLoad {
    /// Whether the request fits into this box's slots, so that the upstream has room for it whatever other boxes send.
    pub fn has_room(&self) -> bool {
        self.own_requests <= self.own_slots
    }
}

impl RejectionRisk {
    /// Whether a request may be sent now.
    pub fn allows_send(&self, load: &BrittleLoad, now_ms: u64) -> bool {
        let rejections = self.rejections.count(now_ms);
        if rejections > 0 && rejections >= load.own_rejections {
            return false;
        }
        load.has_room() || self.risky_sends.count(now_ms) < load.own_rejections
    }

    /// Records that a request is sent.
    pub fn record_send(&mut self, load: &BrittleLoad, now_ms: u64) {
        if !load.has_room() {
            self.risky_sends.record(now_ms);
        }
    }

    /// Records that a request was rejected.
    pub fn record_rejection(&mut self, now_ms: u64) {
        self.rejections.record(now_ms);
    }
}
