//! What is heard of upstreams, taken in, and what of it other boxes are to know.

use super::Upstreams;
use crate::Name;
use crate::gateway::fleet::FleetChange;
use crate::gateway::limit::{LimitChange, ToldLimit};
use crate::gateway::statement::{DeclaredLimit, RetryAfter, Statement};
use crate::rank::mix;

/// Limits that are told at once; the latest go first, and an upstream that gets requests names its own again and again.
const LIMITS_TOLD: usize = 128;

/// What a statement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heard {
    /// Which upstreams there are.
    pub fleet: FleetChange,
    /// What the upstream takes of all boxes together.
    pub limit: Option<LimitChange>,
}

impl Upstreams {
    /// Takes in what an upstream says of itself; `max_backoff_ms` bounds the time for which it is left alone. Whatever
    /// a record or a list says later, an incarnation that leaves stays gone.
    pub fn hear(
        &mut self,
        id: &Name,
        statement: &Statement,
        max_backoff_ms: u64,
        now_ms: u64,
    ) -> Heard {
        if let Some(load) = statement.load {
            let known = self.known(id);
            known.load.report(load.running, load.waiting, now_ms);
        }
        if let Some(RetryAfter::ForMs(for_ms)) = statement.retry_after {
            let own = self.own;
            let known = self.known(id);
            let own = mix(own, known.id_hash);
            known.backoff.start(for_ms.min(max_backoff_ms), own, now_ms);
        }
        Heard {
            limit: self.hear_limit(id, statement, now_ms),
            fleet: self.hear_leaving(id, statement.is_leaving, now_ms),
        }
    }

    fn hear_leaving(&mut self, id: &Name, is_leaving: bool, now_ms: u64) -> FleetChange {
        if !is_leaving {
            return FleetChange::Nothing;
        }
        let change = self.fleet.mark_left(id);
        if change == FleetChange::Leaving {
            self.departures.record(id, now_ms);
        }
        change
    }

    fn hear_limit(&mut self, id: &Name, statement: &Statement, now_ms: u64) -> Option<LimitChange> {
        let said_at_ms = now_ms.saturating_sub(statement.age_ms);
        match statement.limit {
            Some(DeclaredLimit::Per1000S(per_1000_s)) => {
                self.limited.insert(id.clone());
                let own = self.own;
                let known = self.known(id);
                let first = unit(mix(own, known.id_hash));
                known.limit.named(per_1000_s, first, said_at_ms)
            }
            Some(DeclaredLimit::Ended) => {
                self.limited.insert(id.clone());
                self.known(id).limit.ended(said_at_ms)
            }
            // One that cannot be read neither sets nor ends a limit.
            Some(DeclaredLimit::Unreadable) => None,
            None => {
                let asked_at_ms = now_ms.saturating_sub(statement.response_time_ms?);
                let known = self.loads.get_mut(id)?;
                known.limit.unnamed(asked_at_ms, now_ms)
            }
        }
    }

    /// What other boxes are to know of upstreams' limits, the latest of them.
    pub fn limits(&self, now_ms: u64) -> Vec<ToldLimit> {
        let limited = self.limited.iter();
        let told = limited.filter_map(|id| self.loads.get(id)?.limit.told(id, now_ms));
        let mut told: Vec<ToldLimit> = told.collect();
        told.sort_by(|a, b| (a.age_ms, &a.upstream).cmp(&(b.age_ms, &b.upstream)));
        told.truncate(LIMITS_TOLD);
        told
    }

    /// Upstreams that were heard to leave lately, other than by the registry, for other boxes to know.
    pub fn departures(&mut self, now_ms: u64) -> Vec<Name> {
        self.departures.recent(now_ms)
    }
}

/// A hash as a number from 0 up to 1.
fn unit(hash: u64) -> f64 {
    hash as f64 / (u64::MAX as f64 + 1.0)
}
