//! Sampling of candidates from a large pool.
//!
//! The cost of a choice must not grow with the pool. In a small pool, all upstreams are compared. In a large one, the
//! candidates of a request are the partition of its shared prompt, on which all boxes agree, and a random sample.

use std::sync::Arc;

use super::{Choice, RolloutTarget, Scope, SendRules, Upstreams};
use crate::gateway::fleet::UpstreamRecord;
use crate::gateway::placement::PlacementRequest;
use crate::gateway::rollout::Side;

/// Size of a pool up to which all upstreams are compared.
const MAX_FULL_SCAN: usize = 512;
/// Size of the random sample for a request.
const SAMPLE_SIZE: u64 = 16;

impl Upstreams {
    /// Chooses from a sample of a large pool. Returns none if the pool is small or no upstream of the sample accepts
    /// requests now.
    pub(super) fn choose_from_sample(
        &mut self,
        scope: &Scope,
        ask: &PlacementRequest,
        target: Option<&RolloutTarget>,
        rules: &SendRules,
        now_ms: u64,
    ) -> Option<Choice> {
        // The new version has few upstreams at first.
        let is_new = scope.side == Some(Side::New);
        if is_new || self.fleet.pool_len(scope.pool) <= MAX_FULL_SCAN {
            return None;
        }
        let version = self.default_version(scope.pool, target)?;
        let may_serve = |record: &UpstreamRecord| {
            record.version == version
                && !self.drained_halls.contains(&record.hall)
                && !scope.tried.contains(&record.id)
        };
        let key = ask.isolation_hash.or(ask.prefix);
        let partition: Vec<Arc<UpstreamRecord>> = key.map_or_else(Vec::new, |key| {
            self.fleet.usable_in_partition(scope.pool, key, may_serve)
        });
        let sample = self
            .fleet
            .usable_sample(scope.pool, ask.seed, SAMPLE_SIZE, may_serve);
        let mut sendable = self
            .filter_sendable(partition, rules, now_ms)
            .unwrap_or_default();
        let partition_len = sendable.len();
        sendable.extend(self.filter_sendable(sample, rules, now_ms).ok()?);
        self.choose_from(&sendable, Some(partition_len), ask, now_ms)
    }
}
