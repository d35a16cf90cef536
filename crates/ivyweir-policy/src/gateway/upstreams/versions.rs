//! Which upstreams of a pool may serve, by the versions that they run.

use std::collections::HashMap;
use std::sync::Arc;

use super::{Scope, Target, Upstreams};
use crate::Name;
use crate::gateway::fleet::UpstreamRecord;
use crate::gateway::rollout::{RolloutState, Side};
use crate::hash::hash64;

impl Upstreams {
    /// Upstreams of the versions that may serve, whether they were tried or not.
    pub(super) fn usable(
        &mut self,
        scope: &Scope,
        target: Option<&Target>,
    ) -> Vec<Arc<UpstreamRecord>> {
        let settled = self.settled_version(scope.pool, target);
        let is_open = |record: &UpstreamRecord| !self.drained_halls.contains(&record.hall);
        let of_version = |version: &Name| {
            let may_serve = |r: &UpstreamRecord| r.version == *version && is_open(r);
            self.fleet.usable(scope.pool, may_serve)
        };
        let is_target = |r: &UpstreamRecord| target.is_some_and(|t| r.version == t.version);
        if scope.side == Some(Side::New)
            && let Some(target) = target
        {
            let new = of_version(&target.version);
            if !new.is_empty() {
                let old = settled.as_ref().map_or(0, |old| of_version(old).len());
                return loaded_as_the_old(new, old, target.share, scope.tried);
            }
        }
        if let Some(settled) = settled {
            let old = of_version(&settled);
            if !old.is_empty() {
                return old;
            }
        }
        let completed = target.is_some_and(|t| t.state == RolloutState::Completed);
        self.fleet.usable(scope.pool, |record| {
            (completed || !is_target(record)) && is_open(record)
        })
    }

    /// The version that serves what no roll-out moves: the first seen, until a roll-out completes.
    pub(super) fn settled_version(&mut self, pool: &Name, target: Option<&Target>) -> Option<Name> {
        if let Some(target) = target
            && target.state == RolloutState::Completed
        {
            return Some(target.version.clone());
        }
        if let Some(settled) = self.settled.get(pool)
            && target.is_none_or(|t| t.version != *settled)
        {
            return Some(settled.clone());
        }
        let mut counts: HashMap<Name, usize> = HashMap::new();
        for member in self.fleet.members().filter(|m| m.record.pool == *pool) {
            let version = &member.record.version;
            if target.is_none_or(|t| t.version != *version) {
                *counts.entry(version.clone()).or_default() += 1;
            }
        }
        // Equal counts must not make boxes settle on different versions.
        let by_count = |a: &(Name, usize), b: &(Name, usize)| a.1.cmp(&b.1).then(b.0.cmp(&a.0));
        let (version, _) = counts.into_iter().max_by(by_count)?;
        self.settled.insert(pool.clone(), version.clone());
        Some(version)
    }
}

/// Fewest upstreams of a new version that serve while it has a small share. A version is found bad by bad answers of two
/// upstreams, and boxes prefer those of their hall: with two in all, a version that turned bad was not rolled back in 2 of
/// 4 plays of a day before four plain services, with all four in none.
const FEWEST_NEW: usize = 4;

/// Those of a new version's upstreams that serve its share, so that each bears about as much as one of the `old` ones:
/// a fault that only load brings out is to show while few requests can meet it. Spread over all of them, 12.5 % of the
/// requests left each new upstream with an eighth of the load; of a version bad under load only, none of 273 answers had
/// failed when all work moved there, and it got 3,638 requests before it could be undone (84 boxes, one day). With this
/// the same day has it rolled back in time.
///
/// All boxes choose the same ones; in place of those that a request tried, the next ones are taken.
fn loaded_as_the_old(
    mut new: Vec<Arc<UpstreamRecord>>,
    old: usize,
    share: f64,
    tried: &[Name],
) -> Vec<Arc<UpstreamRecord>> {
    let is_whole = share >= 1.0;
    new.retain(|record| is_whole || !tried.contains(&record.id));
    if is_whole {
        return new;
    }
    let as_loaded = (share / (1.0 - share) * old as f64).ceil() as usize;
    new.sort_by_cached_key(|record| hash64(&[record.id.as_bytes()]));
    new.truncate(as_loaded.max(FEWEST_NEW));
    new
}
