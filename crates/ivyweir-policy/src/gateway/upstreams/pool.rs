//! Which upstreams of a large pool are looked at for a request.
//!
//! What a choice costs must not grow with the pool. Of a small one all are weighed. Of a large one a request sees
//! the home of its shared part, on which all boxes agree, and some drawn at random.

use std::sync::Arc;

use super::{Choice, Scope, SendRules, Target, Upstreams};
use crate::gateway::fleet::UpstreamRecord;
use crate::gateway::place::Ask;
use crate::gateway::rollout::Side;

/// Upstreams up to which all of a pool are weighed.
const WEIGHED_WHOLE: usize = 512;
/// Upstreams of a large pool that are drawn at random for a request.
const DRAWN: u64 = 16;

impl Upstreams {
    /// Chooses among some of a large pool; none where the pool is small, or these take nothing now.
    pub(super) fn choose_of_many(
        &mut self,
        scope: &Scope,
        ask: &Ask,
        target: Option<&Target>,
        rules: &SendRules,
        now_ms: u64,
    ) -> Option<Choice> {
        // A new version's upstreams are few at first.
        let is_new = scope.side == Some(Side::New);
        if is_new || self.fleet.pool_len(scope.pool) <= WEIGHED_WHOLE {
            return None;
        }
        let version = self.settled_version(scope.pool, target)?;
        let may_serve = |record: &UpstreamRecord| {
            record.version == version
                && !self.drained_halls.contains(&record.hall)
                && !scope.tried.contains(&record.id)
        };
        let key = ask.apart.or(ask.prefix);
        let home: Vec<Arc<UpstreamRecord>> = key.map_or_else(Vec::new, |key| {
            self.fleet.usable_in_partition(scope.pool, key, may_serve)
        });
        let drawn = self
            .fleet
            .usable_sample(scope.pool, ask.seed, DRAWN, may_serve);
        let mut open = self.open_ones(home, rules, now_ms).unwrap_or_default();
        let homes = open.len();
        open.extend(self.open_ones(drawn, rules, now_ms).ok()?);
        self.choose_among(&open, Some(homes), ask, now_ms)
    }
}
