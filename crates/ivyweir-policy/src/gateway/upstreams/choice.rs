//! Choice of an upstream for a request.

use std::sync::Arc;

use super::{Choice, ChooseError, RolloutTarget, Scope, SendRules, Upstreams};
use crate::Name;
use crate::gateway::fleet::UpstreamRecord;
use crate::gateway::occupancy::PoolOccupancy;
use crate::gateway::placement::{self, Candidate, PlacementRequest};
use crate::hash::hash64;

impl Upstreams {
    /// Chooses an upstream.
    ///
    /// # Errors
    ///
    /// If no upstream can accept the request now.
    pub fn choose(
        &mut self,
        scope: &Scope,
        ask: &PlacementRequest,
        target: Option<&RolloutTarget>,
        rules: &SendRules,
        now_ms: u64,
    ) -> Result<Choice, ChooseError> {
        if let Some(choice) = self.choose_from_sample(scope, ask, target, rules, now_ms) {
            return Ok(choice);
        }
        let mut records = self.usable(scope, target);
        if records.is_empty() {
            return Err(self.why_unusable(scope.pool));
        }
        records.retain(|record| !scope.tried.contains(&record.id));
        if records.is_empty() {
            return Err(ChooseError::NoUpstream);
        }
        let records = self.filter_sendable(records, rules, now_ms)?;
        self.choose_from(&records, None, ask, now_ms)
            .ok_or(ChooseError::NoUpstream)
    }

    /// Chooses an upstream for a request that may only be sent to those with these hashes of their ids, tried or not.
    ///
    /// # Errors
    ///
    /// If none of them can accept the request now.
    pub fn choose_among(
        &mut self,
        id_hashes: &[u64],
        scope: &Scope,
        ask: &PlacementRequest,
        target: Option<&RolloutTarget>,
        rules: &SendRules,
        now_ms: u64,
    ) -> Result<Choice, ChooseError> {
        let mut records = self.usable(scope, target);
        records.retain(|record| id_hashes.contains(&hash64(&[record.id.as_bytes()])));
        if records.is_empty() {
            return Err(ChooseError::NoUpstream);
        }
        let records = self.filter_sendable(records, rules, now_ms)?;
        self.choose_from(&records, None, ask, now_ms)
            .ok_or(ChooseError::NoUpstream)
    }

    /// Chooses among records. `partition_len` is the number of leading records that come from a key's partition, if the
    /// records are a sample of a large pool.
    pub(super) fn choose_from(
        &mut self,
        records: &[Arc<UpstreamRecord>],
        partition_len: Option<usize>,
        ask: &PlacementRequest,
        now_ms: u64,
    ) -> Option<Choice> {
        let mut candidates: Vec<Candidate> = records
            .iter()
            .map(|record| self.loaded_candidate(record))
            .collect();
        if ask.forecast {
            placement::assume_mean_load(&mut candidates, now_ms);
        }
        let chosen = placement::choose_from_sample(&candidates, partition_len, ask, now_ms)?;
        let pool_occupancy = PoolOccupancy::of(&candidates[partition_len.unwrap_or(0)..], now_ms);
        Some(Choice {
            upstream: records[chosen].clone(),
            mean_work_ms: placement::mean_work_ms(
                &candidates[partition_len.unwrap_or(0)..],
                now_ms,
            ),
            occupancy: pool_occupancy.up_to(ask.band),
            pool_occupancy,
            candidates: candidates.len(),
            forecast: candidates[chosen].forecast(ask, now_ms),
            load_ms: candidates[chosen].load.load_ms(now_ms),
            work_before_ms: candidates[chosen].load.work_before_ms(ask.band, now_ms),
            prefill_ms: ask.engine.map_or(0.0, |estimate| estimate.prefill_ms),
            saved_ms: ask.engine.map_or(0.0, |estimate| estimate.saved_ms),
        })
    }

    /// Why a pool has no usable upstream.
    fn why_unusable(&self, pool: &Name) -> ChooseError {
        let mut of_pool = self.fleet.members().filter(|m| m.record.pool == *pool);
        if of_pool.any(|m| self.drained_halls.contains(&m.record.hall)) {
            ChooseError::HallsDrained
        } else {
            ChooseError::NoUpstream
        }
    }

    /// The upstream with its load.
    pub(super) fn loaded_candidate<'a>(&mut self, record: &'a UpstreamRecord) -> Candidate<'a> {
        let peer_work = self.peer_work_at_ms.map(|at_ms| {
            let work = self.peer_work.get(&record.id).copied();
            (work.unwrap_or_default(), at_ms)
        });
        let state = self.state_mut(&record.id);
        let (id_hash, mut load) = (state.id_hash, state.load.clone());
        if let Some((work, at_ms)) = peer_work {
            load.set_others_work(work, at_ms);
        }
        Candidate {
            record,
            id_hash,
            load,
        }
    }
}
