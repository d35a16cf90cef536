//! The choice of an upstream for a request.

use std::sync::Arc;

use super::{Choice, Scope, SendRules, Target, Unplaced, Upstreams};
use crate::Name;
use crate::gateway::fleet::UpstreamRecord;
use crate::gateway::place::{self, Ask, Candidate};

impl Upstreams {
    /// Chooses an upstream.
    ///
    /// # Errors
    ///
    /// When none may take the request now.
    pub fn choose(
        &mut self,
        scope: &Scope,
        ask: &Ask,
        target: Option<&Target>,
        rules: &SendRules,
        now_ms: u64,
    ) -> Result<Choice, Unplaced> {
        if let Some(choice) = self.choose_of_many(scope, ask, target, rules, now_ms) {
            return Ok(choice);
        }
        let mut records = self.usable(scope, target);
        if records.is_empty() {
            return Err(self.why_unusable(scope.pool));
        }
        records.retain(|record| !scope.tried.contains(&record.id));
        if records.is_empty() {
            return Err(Unplaced::Nobody);
        }
        let records = self.open_ones(records, rules, now_ms)?;
        self.choose_among(&records, None, ask, now_ms)
            .ok_or(Unplaced::Nobody)
    }

    pub(super) fn choose_among(
        &mut self,
        records: &[Arc<UpstreamRecord>],
        homes: Option<usize>,
        ask: &Ask,
        now_ms: u64,
    ) -> Option<Choice> {
        let candidates: Vec<Candidate> = records.iter().map(|r| self.candidate(r)).collect();
        let chosen = place::choose_drawn(&candidates, homes, ask, now_ms)?;
        Some(Choice {
            upstream: records[chosen].clone(),
            mean_work_ms: place::mean_work_ms(&candidates[homes.unwrap_or(0)..], now_ms),
            candidates: candidates.len(),
            load_ms: candidates[chosen].load.load_ms(now_ms),
            read_ms: ask.engine.map_or(0.0, |estimate| estimate.prefill_ms),
            saved_ms: ask.engine.map_or(0.0, |estimate| estimate.saved_ms),
        })
    }

    /// Why a pool has no upstream that may serve.
    fn why_unusable(&self, pool: &Name) -> Unplaced {
        let mut of_pool = self.fleet.members().filter(|m| m.record.pool == *pool);
        if of_pool.any(|m| self.drained_halls.contains(&m.record.hall)) {
            Unplaced::HallsDrained
        } else {
            Unplaced::Nobody
        }
    }

    fn candidate<'a>(&mut self, record: &'a UpstreamRecord) -> Candidate<'a> {
        let others = self.others_at_ms.map(|at_ms| {
            let work_ms = self.others_work.get(&record.id).copied();
            (work_ms.unwrap_or(0.0), at_ms)
        });
        let known = self.known(&record.id);
        let (id_hash, mut load) = (known.id_hash, known.load.clone());
        if let Some((work_ms, at_ms)) = others {
            load.others(work_ms, at_ms);
        }
        Candidate {
            record,
            id_hash,
            load,
        }
    }
}
