//! Roll-outs under way, and what is known of the versions that they bring.

use std::collections::HashMap;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::canary::Tally;
use ivyweir_policy::gateway::rollout::{RolloutTracker, Side};
use ivyweir_policy::gateway::upstreams::RolloutTarget;
use serde_json::{Value, json};

use super::{Gateway, lock};

impl Gateway {
    /// The side of a roll-out that serves a request; none where none is under way.
    pub fn side(&self, pool: &Name, session: Option<u64>, seed: u64) -> Option<Side> {
        let now_ms = self.clock.now_ms();
        let rollouts = lock(&self.rollouts);
        let track = rollouts.get(pool).filter(|track| !track.is_over())?;
        Some(track.side(session.unwrap_or(seed), now_ms))
    }

    /// Works on the roll-outs.
    pub fn with_rollouts<T>(
        &self,
        work: impl FnOnce(&mut HashMap<Name, RolloutTracker>, u64) -> T,
    ) -> T {
        work(&mut lock(&self.rollouts), self.clock.now_ms())
    }

    /// Takes in a pool's version that serves what no roll-out moves.
    pub fn settle(&self, pool: &Name, version: &Name) {
        lock(&self.upstreams).set_default_version(pool, version);
    }

    pub(super) fn rollout_target(&self, pool: &Name) -> Option<RolloutTarget> {
        let rollouts = lock(&self.rollouts);
        let track = rollouts.get(pool)?;
        let order = track.order();
        Some(RolloutTarget {
            version: order.target_version.clone(),
            state: order.state,
            share: track.share(self.clock.now_ms()),
        })
    }

    /// This box's counts of answers, by the pool whose roll-out is under way.
    pub(super) fn own_tallies(&self) -> HashMap<Name, Tally> {
        self.with_rollouts(|rollouts, _| {
            let under_way = rollouts.iter().filter(|(_, track)| !track.is_over());
            let tallies = under_way.map(|(pool, track)| (pool.clone(), track.local_tally()));
            tallies.collect()
        })
    }

    /// Takes in other boxes' counts of a pool's answers.
    pub(super) fn hear_tally(&self, pool: &Name, tally: Tally) {
        let condemned = self.with_rollouts(|rollouts, now_ms| {
            let track = rollouts.get_mut(pool)?;
            track
                .set_remote_tally(tally, now_ms)
                .then(|| track.total_tally())
        });
        if let Some(sum) = condemned {
            self.log_condemned(pool, &sum);
        }
    }

    /// Writes down why a version was condemned.
    pub fn log_condemned(&self, pool: &Name, sum: &Tally) {
        let detail = json!({"pool": pool, "bad_of_all": counts_of(sum)});
        self.log.line("version_condemned", detail);
    }
}

/// Counts of a roll-out's answers, for the log.
pub fn counts_of(sum: &Tally) -> Value {
    let rows = sum.iter().map(|(group, c)| {
        json!({
            "fault": group.criterion, "lane": group.lane,
            "new": [c.new.bad, c.new.all], "old": [c.old.bad, c.old.all],
        })
    });
    rows.collect()
}
