//! Selection of a pool's usable upstreams by version.

use std::collections::HashMap;
use std::sync::Arc;

use super::{RolloutTarget, Scope, Upstreams};
use crate::Name;
use crate::gateway::fleet::UpstreamRecord;
use crate::gateway::rollout::{RolloutState, Side};
use crate::hash::hash64;

impl Upstreams {
    /// Upstreams of the versions that may serve, including those already tried.
    pub(super) fn usable(
        &mut self,
        scope: &Scope,
        target: Option<&RolloutTarget>,
    ) -> Vec<Arc<UpstreamRecord>> {
        let default_version = self.default_version(scope.pool, target);
        let is_in_service = |record: &UpstreamRecord| !self.drained_halls.contains(&record.hall);
        let of_version = |version: &Name| {
            let may_serve = |r: &UpstreamRecord| r.version == *version && is_in_service(r);
            self.fleet.usable(scope.pool, may_serve)
        };
        let is_target = |r: &UpstreamRecord| target.is_some_and(|t| r.version == t.version);
        if scope.side == Some(Side::New)
            && let Some(target) = target
        {
            let new = of_version(&target.version);
            if !new.is_empty() {
                let old = default_version
                    .as_ref()
                    .map_or(0, |old| of_version(old).len());
                return select_new_upstreams(new, old, target.share, scope.tried);
            }
        }
        if let Some(default_version) = default_version {
            let old = of_version(&default_version);
            if !old.is_empty() {
                return old;
            }
        }
        let completed = target.is_some_and(|t| t.state == RolloutState::Completed);
        self.fleet.usable(scope.pool, |record| {
            (completed || !is_target(record)) && is_in_service(record)
        })
    }

    /// The version that serves requests outside a roll-out: the first one seen, until a roll-out completes.
    pub(super) fn default_version(
        &mut self,
        pool: &Name,
        target: Option<&RolloutTarget>,
    ) -> Option<Name> {
        if let Some(target) = target
            && target.state == RolloutState::Completed
        {
            return Some(target.version.clone());
        }
        if let Some(version) = self.default_versions.get(pool)
            && target.is_none_or(|t| t.version != *version)
        {
            return Some(version.clone());
        }
        let mut counts: HashMap<Name, usize> = HashMap::new();
        for member in self.fleet.members().filter(|m| m.record.pool == *pool) {
            let version = &member.record.version;
            if target.is_none_or(|t| t.version != *version) {
                *counts.entry(version.clone()).or_default() += 1;
            }
        }
        // Ties are broken by name, so that all boxes select the same version.
        let by_count = |a: &(Name, usize), b: &(Name, usize)| a.1.cmp(&b.1).then(b.0.cmp(&a.0));
        let (version, _) = counts.into_iter().max_by(by_count)?;
        self.default_versions.insert(pool.clone(), version.clone());
        Some(version)
    }
}

/// Minimum number of a new version's upstreams that serve while its share is small. A version is found bad by bad
/// answers of two upstreams, and boxes prefer upstreams of their own hall: with two upstreams in all, a version that
/// became bad was not rolled back in 2 of 4 runs of a day with four plain services; with all four upstreams, in none.
const MIN_NEW_UPSTREAMS: usize = 4;

/// Selects the new version's upstreams that serve its share, so that each has about the load of one of the `old`
/// ones: a fault that only occurs under load should show while few requests are exposed to it. With 12.5 % of the
/// requests spread over all new upstreams, each had an eighth of the load: of a version that fails only under load,
/// none of 273 answers had failed when all traffic moved to it, and it got 3,638 requests before the roll-back (84
/// boxes, one day). With this selection, the version is rolled back in time on the same day.
///
/// All boxes select the same upstreams; those that a request already tried are replaced by the next ones.
fn select_new_upstreams(
    mut new: Vec<Arc<UpstreamRecord>>,
    old: usize,
    share: f64,
    tried: &[Name],
) -> Vec<Arc<UpstreamRecord>> {
    let has_all_traffic = share >= 1.0;
    new.retain(|record| has_all_traffic || !tried.contains(&record.id));
    if has_all_traffic {
        return new;
    }
    let at_equal_load = (share / (1.0 - share) * old as f64).ceil() as usize;
    new.sort_by_cached_key(|record| hash64(&[record.id.as_bytes()]));
    new.truncate(at_equal_load.max(MIN_NEW_UPSTREAMS));
    new
}
