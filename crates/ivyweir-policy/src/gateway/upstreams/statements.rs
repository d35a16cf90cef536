//! Processing of upstreams' statements, and the part of them that is propagated to other boxes.

use super::Upstreams;
use crate::Name;
use crate::gateway::brittle::BrittleUpdate;
use crate::gateway::fleet::FleetChange;
use crate::gateway::rate_limit::{LimitChange, LimitUpdate};
use crate::gateway::statement::{DeclaredLimit, RetryAfter, Statement};
use crate::hash::mix;

/// Maximum number of limits in a message. The latest take precedence, and an upstream that receives requests declares
/// its limit repeatedly.
const MAX_SENT_LIMITS: usize = 128;

/// Changes caused by a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatementEffects {
    /// Change of the fleet's membership.
    pub fleet: FleetChange,
    /// Change of the upstream's limit for all boxes together.
    pub limit: Option<LimitChange>,
}

impl Upstreams {
    /// Applies a statement of an upstream; `max_backoff_ms` bounds its back-off. An incarnation that leaves is
    /// removed for good, even if a later record or list contains it.
    pub fn apply_statement(
        &mut self,
        id: &Name,
        statement: &Statement,
        max_backoff_ms: u64,
        now_ms: u64,
    ) -> StatementEffects {
        if let Some(load) = statement.load {
            let state = self.state_mut(id);
            state.load.record_report(load.running, load.waiting, now_ms);
        }
        if let Some(rejections_per_s) = statement.brittle
            && let Some(member) = self.fleet.member(id)
        {
            let pool = &member.record.pool;
            self.brittle_pools.record(pool, rejections_per_s, now_ms);
        }
        if let Some(RetryAfter::ForMs(for_ms)) = statement.retry_after {
            let box_seed = self.box_seed;
            let state = self.state_mut(id);
            let box_seed = mix(box_seed, state.id_hash);
            state
                .backoff
                .start(for_ms.min(max_backoff_ms), box_seed, now_ms);
        }
        StatementEffects {
            limit: self.apply_limit(id, statement, now_ms),
            fleet: self.apply_leaving(id, statement.is_leaving, now_ms),
        }
    }

    fn apply_leaving(&mut self, id: &Name, is_leaving: bool, now_ms: u64) -> FleetChange {
        if !is_leaving {
            return FleetChange::Nothing;
        }
        let change = self.fleet.mark_left(id);
        if change == FleetChange::Leaving {
            self.departures.record(id, now_ms);
        }
        change
    }

    fn apply_limit(
        &mut self,
        id: &Name,
        statement: &Statement,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let stated_at_ms = now_ms.saturating_sub(statement.age_ms);
        match statement.limit {
            Some(DeclaredLimit::Per1000S(per_1000_s)) => {
                self.limited.insert(id.clone());
                let box_seed = self.box_seed;
                let state = self.state_mut(id);
                let first = unit_interval(mix(box_seed, state.id_hash));
                state.limit.announce(per_1000_s, first, stated_at_ms)
            }
            Some(DeclaredLimit::Ended) => {
                self.limited.insert(id.clone());
                self.state_mut(id).limit.end(stated_at_ms)
            }
            // An unparsable limit neither sets nor ends one.
            Some(DeclaredLimit::Unreadable) => None,
            None => {
                let asked_at_ms = now_ms.saturating_sub(statement.response_time_ms?);
                let state = self.states.get_mut(id)?;
                state.limit.observe_unlimited_answer(asked_at_ms, now_ms)
            }
        }
    }

    /// Records that an upstream rejected a request for want of room.
    pub fn record_rejection(&mut self, id: &Name, now_ms: u64) {
        self.state_mut(id).rejection_risk.record_rejection(now_ms);
    }

    /// The pools whose upstreams are brittle, for propagation to other boxes.
    pub fn recent_brittle_pools(&self, now_ms: u64) -> Vec<BrittleUpdate> {
        self.brittle_pools.recent(now_ms)
    }

    /// Applies what another box knows of brittle pools.
    pub fn apply_brittle_pools(&mut self, updates: &[BrittleUpdate], now_ms: u64) {
        for update in updates {
            let stated_at_ms = now_ms.saturating_sub(update.age_ms);
            let rejections_per_s = update.rejections_per_s;
            self.brittle_pools
                .record(&update.pool, rejections_per_s, stated_at_ms);
        }
    }

    /// The latest limits of upstreams, for propagation to other boxes.
    pub fn recent_limits(&self, now_ms: u64) -> Vec<LimitUpdate> {
        let limited = self.limited.iter();
        let limits =
            limited.filter_map(|id| self.states.get(id)?.limit.update_for_peers(id, now_ms));
        let mut limits: Vec<LimitUpdate> = limits.collect();
        limits.sort_by(|a, b| (a.age_ms, &a.upstream).cmp(&(b.age_ms, &b.upstream)));
        limits.truncate(MAX_SENT_LIMITS);
        limits
    }

    /// Recent departures that did not come from the registry, for propagation to other boxes.
    pub fn recent_departures(&mut self, now_ms: u64) -> Vec<Name> {
        self.departures.recent(now_ms)
    }
}

/// Maps a hash to the interval from 0 up to 1.
fn unit_interval(hash: u64) -> f64 {
    hash as f64 / (u64::MAX as f64 + 1.0)
}
