//! Whether a request may go to an upstream now: the one gate that every send asks.

use std::sync::Arc;

use super::{SendRules, Unplaced, Upstreams, Withheld};
use crate::Name;
use crate::gateway::fleet::UpstreamRecord;

impl Upstreams {
    /// Whether a request may go to an upstream now. A send asks as it is made: what was known when the upstream was
    /// chosen may have changed since.
    ///
    /// # Errors
    ///
    /// When the upstream has left, its hall is drained, it wants nothing from this box, or it names a limit or is cold and
    /// has got this box's part.
    pub fn may_send(&mut self, id: &Name, rules: &SendRules, now_ms: u64) -> Result<(), Withheld> {
        let member = self.fleet.member(id).ok_or(Withheld::Gone)?;
        if self.drained_halls.contains(&member.record.hall) {
            return Err(Withheld::HallDrained);
        }
        let is_cold = member.cold_for_ms(now_ms) > 0;
        self.check_limits(id, rules, is_cold, now_ms)
    }

    /// Checks what an upstream that may serve takes of this box now: its backoff, and the box's part of its limit and of what
    /// it bears while it is cold.
    fn check_limits(
        &mut self,
        id: &Name,
        rules: &SendRules,
        is_cold: bool,
        now_ms: u64,
    ) -> Result<(), Withheld> {
        let cold_limit = rules.cold_limit.filter(|_| is_cold);
        let known = self.known(id);
        let for_ms = known.backoff.remaining_ms(now_ms);
        if for_ms > 0 {
            return Err(Withheld::Backoff { for_ms });
        }
        let for_ms = known.limit.left_ms(&rules.sharing, known.id_hash, now_ms);
        if for_ms > 0 {
            return Err(Withheld::Limited { for_ms });
        }
        if cold_limit.is_some_and(|limit| !known.bears_one(&rules.sharing, limit, now_ms)) {
            return Err(Withheld::Cold);
        }
        Ok(())
    }

    /// Counts a request that is sent to an upstream now, if it may be.
    ///
    /// # Errors
    ///
    /// As for [`may_send`](Self::may_send).
    pub fn begin_send(
        &mut self,
        id: &Name,
        rules: &SendRules,
        now_ms: u64,
    ) -> Result<(), Withheld> {
        self.may_send(id, rules, now_ms)?;
        let known = self.known(id);
        known.backoff.record_send();
        known.limit.note_send(now_ms);
        if rules.cold_limit.is_some() {
            // Counted while it is warm too: it may turn cold within the second.
            known.sends.record(now_ms);
        }
        Ok(())
    }

    /// Those of some usable upstreams to which a request may go now; an error where there are none.
    pub(super) fn open_ones(
        &mut self,
        records: Vec<Arc<UpstreamRecord>>,
        rules: &SendRules,
        now_ms: u64,
    ) -> Result<Vec<Arc<UpstreamRecord>>, Unplaced> {
        let mut open = Vec::with_capacity(records.len());
        let mut shortest_ms: Option<u64> = None;
        let mut has_cold = false;
        for record in records {
            let member = self.fleet.member(&record.id);
            let is_cold = member.is_some_and(|member| member.cold_for_ms(now_ms) > 0);
            match self.check_limits(&record.id, rules, is_cold, now_ms) {
                Ok(()) => open.push(record),
                Err(Withheld::Backoff { for_ms } | Withheld::Limited { for_ms }) => {
                    shortest_ms = Some(shortest_ms.map_or(for_ms, |ms| ms.min(for_ms)));
                }
                Err(Withheld::Cold) => has_cold = true,
                Err(_) => {}
            }
        }
        if !open.is_empty() {
            return Ok(open);
        }
        Err(match shortest_ms {
            // A cold one may take a request sooner than a full one says.
            Some(for_ms) if !has_cold => Unplaced::AllBackingOff { for_ms },
            _ if has_cold => Unplaced::AllCold,
            _ => Unplaced::Nobody,
        })
    }
}
