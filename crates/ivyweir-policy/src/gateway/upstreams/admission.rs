//! Admission check for sends: whether an upstream may be sent a request now. Every send passes it.

use std::sync::Arc;

use super::{ChooseError, RolloutTarget, Scope, SendDenied, SendRules, Upstreams};
use crate::Name;
use crate::gateway::brittle::{BrittleLoad, RECHECK_MS};
use crate::gateway::fleet::UpstreamRecord;
use crate::hash::hash64;

impl Upstreams {
    /// Checks whether an upstream may be sent a request now. The check is made at the time of the send, since the state
    /// may have changed since the upstream was chosen.
    ///
    /// # Errors
    ///
    /// If the upstream has left, its hall is drained, it backs off from this box, or this box's share of its limit or
    /// of its cold rate is used up.
    pub fn may_send(
        &mut self,
        id: &Name,
        rules: &SendRules,
        now_ms: u64,
    ) -> Result<(), SendDenied> {
        let member = self.fleet.member(id).ok_or(SendDenied::Gone)?;
        if self.drained_halls.contains(&member.record.hall) {
            return Err(SendDenied::HallDrained);
        }
        let is_cold = member.cold_for_ms(now_ms) > 0;
        let record = member.record.clone();
        self.check_limits(&record, rules, is_cold, 0, now_ms)
    }

    /// Checks an upstream's back-off and this box's shares of its limit, of its cold rate and, if it is brittle, of its
    /// room. `uncounted` is 1 if the request does not yet count towards the upstream's load.
    fn check_limits(
        &mut self,
        record: &UpstreamRecord,
        rules: &SendRules,
        is_cold: bool,
        uncounted: u32,
        now_ms: u64,
    ) -> Result<(), SendDenied> {
        let cold_limit = rules.cold_limit.filter(|_| is_cold);
        if let Some(load) = self.brittle_load(record, rules, uncounted, now_ms)
            && !self
                .state_mut(&record.id)
                .rejection_risk
                .allows_send(&load, now_ms)
        {
            return Err(SendDenied::Limited { for_ms: RECHECK_MS });
        }
        let state = self.state_mut(&record.id);
        let for_ms = state.backoff.remaining_ms(now_ms);
        if for_ms > 0 {
            return Err(SendDenied::Backoff { for_ms });
        }
        let for_ms = state.limit.wait_ms(&rules.sharing, state.id_hash, now_ms);
        if for_ms > 0 {
            return Err(SendDenied::Limited { for_ms });
        }
        if cold_limit.is_some_and(|limit| !state.allows_cold_send(&rules.sharing, limit, now_ms)) {
            return Err(SendDenied::Cold);
        }
        Ok(())
    }

    /// What decides whether a request may be sent to an upstream that is brittle; `None` if it is not.
    fn brittle_load(
        &mut self,
        record: &UpstreamRecord,
        rules: &SendRules,
        uncounted: u32,
        now_ms: u64,
    ) -> Option<BrittleLoad> {
        let rejections_per_s = self.brittle_pools.rejections_per_s(&record.pool, now_ms)?;
        let state = self.state_mut(&record.id);
        let (id_hash, in_flight) = (state.id_hash, state.load.in_flight());
        let slots = record.slots.max(1);
        Some(BrittleLoad {
            own_slots: rules.sharing.own_parts(id_hash, slots),
            own_rejections: rules.sharing.own_parts(id_hash, rejections_per_s),
            own_requests: in_flight + uncounted,
        })
    }

    /// Whether the upstreams of a pool are brittle.
    pub fn is_brittle(&self, pool: &str, now_ms: u64) -> bool {
        let stated = self.brittle_pools.rejections_per_s(pool, now_ms);
        stated.is_some()
    }

    /// Whether the upstreams of a pool are brittle and this box owns no slot of any of them.
    pub fn owns_no_brittle_slots(&self, pool: &Name, rules: &SendRules, now_ms: u64) -> bool {
        if !self.is_brittle(pool, now_ms) {
            return false;
        }
        let upstreams = self.fleet.usable(pool, |_| true);
        !upstreams.iter().any(|upstream| {
            let id_hash = hash64(&[upstream.id.as_bytes()]);
            rules.sharing.own_parts(id_hash, upstream.slots.max(1)) > 0
        })
    }

    /// Whether no upstream may be sent a request now, and one would be if this box owned more of its limit or of its cold
    /// rate. Other boxes may own parts that they do not use.
    pub fn lacks_share(
        &mut self,
        scope: &Scope,
        target: Option<&RolloutTarget>,
        rules: &SendRules,
        now_ms: u64,
    ) -> bool {
        let mut is_starved = false;
        for record in self.usable(scope, target) {
            if scope.tried.contains(&record.id) {
                continue;
            }
            match self.may_send(&record.id, rules, now_ms) {
                Ok(()) => return false,
                Err(SendDenied::Limited { .. } | SendDenied::Cold) => is_starved = true,
                Err(_) => {}
            }
        }
        is_starved
    }

    /// Checks a send and, if it is allowed, counts it.
    ///
    /// # Errors
    ///
    /// As for [`may_send`](Self::may_send).
    pub fn begin_send(
        &mut self,
        id: &Name,
        rules: &SendRules,
        now_ms: u64,
    ) -> Result<(), SendDenied> {
        self.may_send(id, rules, now_ms)?;
        let record = self.fleet.member(id).map(|member| member.record.clone());
        if let Some(record) = record
            && let Some(load) = self.brittle_load(&record, rules, 0, now_ms)
        {
            let risk = &mut self.state_mut(id).rejection_risk;
            risk.record_send(&load, now_ms);
        }
        let state = self.state_mut(id);
        state.backoff.record_send();
        state.limit.record_send(now_ms);
        if rules.cold_limit.is_some() {
            // Also counted while it is warm, since it may become cold within the counting window.
            state.sends.record(now_ms);
        }
        Ok(())
    }

    /// Returns those of the usable upstreams that may be sent a request now, or an error if there are none.
    pub(super) fn filter_sendable(
        &mut self,
        records: Vec<Arc<UpstreamRecord>>,
        rules: &SendRules,
        now_ms: u64,
    ) -> Result<Vec<Arc<UpstreamRecord>>, ChooseError> {
        let mut sendable = Vec::with_capacity(records.len());
        let mut shortest_ms: Option<u64> = None;
        let mut has_cold = false;
        for record in records {
            let member = self.fleet.member(&record.id);
            let is_cold = member.is_some_and(|member| member.cold_for_ms(now_ms) > 0);
            match self.check_limits(&record, rules, is_cold, 1, now_ms) {
                Ok(()) => sendable.push(record),
                Err(SendDenied::Backoff { for_ms } | SendDenied::Limited { for_ms }) => {
                    shortest_ms = Some(shortest_ms.map_or(for_ms, |ms| ms.min(for_ms)));
                }
                Err(SendDenied::Cold) => has_cold = true,
                Err(_) => {}
            }
        }
        if !sendable.is_empty() {
            return Ok(sendable);
        }
        Err(match shortest_ms {
            // A cold upstream may accept a request before the shortest back-off ends.
            Some(for_ms) if !has_cold => ChooseError::AllBackingOff { for_ms },
            _ if has_cold => ChooseError::AllCold,
            _ => ChooseError::NoUpstream,
        })
    }
}
