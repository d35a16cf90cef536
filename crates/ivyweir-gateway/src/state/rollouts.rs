//! Roll-outs in progress, and the tallies of the versions that they introduce.

use std::collections::HashMap;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::canary::Tally;
use ivyweir_policy::gateway::rollout::{RolloutTracker, Side};
use ivyweir_policy::gateway::upstreams::RolloutTarget;
use serde_json::{Value, json};

use super::Gateway;
use crate::mutex::lock;

impl Gateway {
    /// The side of the roll-out that serves a request; `None` if no roll-out of the pool is in progress.
    pub fn rollout_side(&self, pool: &Name, session: Option<u64>, seed: u64) -> Option<Side> {
        let now_ms = self.clock.now_ms();
        let rollouts = lock(&self.rollouts);
        let tracker = rollouts.get(pool).filter(|tracker| !tracker.is_over())?;
        Some(tracker.side(session.unwrap_or(seed), now_ms))
    }

    /// Calls `work` with the tracked roll-outs and the current time.
    pub fn with_rollouts<T>(
        &self,
        work: impl FnOnce(&mut HashMap<Name, RolloutTracker>, u64) -> T,
    ) -> T {
        work(&mut lock(&self.rollouts), self.clock.now_ms())
    }

    /// Sets the version of a pool that serves requests outside a roll-out.
    pub fn set_default_version(&self, pool: &Name, version: &Name) {
        lock(&self.upstreams).set_default_version(pool, version);
    }

    pub(super) fn rollout_target(&self, pool: &Name) -> Option<RolloutTarget> {
        let rollouts = lock(&self.rollouts);
        let tracker = rollouts.get(pool)?;
        let order = tracker.order();
        Some(RolloutTarget {
            version: order.target_version.clone(),
            state: order.state,
            share: tracker.share(self.clock.now_ms()),
        })
    }

    /// Tallies of this box, by pool, for pools with a roll-out in progress.
    pub(super) fn local_tallies(&self) -> HashMap<Name, Tally> {
        self.with_rollouts(|rollouts, _| {
            let in_progress = rollouts.iter().filter(|(_, tracker)| !tracker.is_over());
            let tallies = in_progress.map(|(pool, tracker)| (pool.clone(), tracker.local_tally()));
            tallies.collect()
        })
    }

    /// Replaces the tally of the other boxes for a pool.
    pub(super) fn set_remote_tally(&self, pool: &Name, tally: Tally) {
        let condemned = self.with_rollouts(|rollouts, now_ms| {
            let tracker = rollouts.get_mut(pool)?;
            tracker
                .set_remote_tally(tally, now_ms)
                .then(|| tracker.total_tally())
        });
        if let Some(tally) = condemned {
            self.log_condemned(pool, &tally);
        }
    }

    /// Logs the tally for which a version was condemned.
    pub fn log_condemned(&self, pool: &Name, tally: &Tally) {
        let detail = json!({"pool": pool, "bad_of_all": tally_json(tally)});
        self.log.line("version_condemned", detail);
    }
}

/// Formats a tally for the log.
pub fn tally_json(tally: &Tally) -> Value {
    let rows = tally.iter().map(|(group, c)| {
        json!({
            "fault": group.criterion, "lane": group.lane,
            "new": [c.new.bad, c.new.all], "old": [c.old.bad, c.old.all],
        })
    });
    rows.collect()
}
