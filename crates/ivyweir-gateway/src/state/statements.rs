//! Statements of upstreams about themselves: their application, and their propagation to other boxes.

use ivyweir_policy::Name;
use ivyweir_policy::gateway::brittle::BrittleUpdate;
use ivyweir_policy::gateway::fleet::FleetChange;
use ivyweir_policy::gateway::rate_limit::{LimitChange, LimitUpdate};
use ivyweir_policy::gateway::statement::{DeclaredLimit, Source, Statement};
use serde_json::json;

use super::Gateway;
use crate::mutex::lock;

impl Gateway {
    /// Applies a statement of an upstream, received in a response or through another box.
    pub fn apply_statement(&self, id: &Name, statement: &Statement) {
        let now_ms = self.clock.now_ms();
        let max_backoff_ms = self.settings.policy.max_backoff_ms;
        let applied = lock(&self.upstreams).apply_statement(id, statement, max_backoff_ms, now_ms);
        if applied.fleet != FleetChange::Nothing {
            self.log_change(id, applied.fleet, statement.source);
        }
        if let Some(change) = applied.limit {
            self.log_limit(id, change, statement.source);
        }
        // A changed or ended limit is sent with the next periodic report, because limits may change with every
        // response.
        let is_new_limit = matches!(applied.limit, Some(LimitChange::Started(_)));
        let is_urgent = applied.fleet != FleetChange::Nothing || is_new_limit;
        if is_urgent && self.forwards_immediately(statement.source) {
            self.urgent_update.notify_one();
        }
    }

    fn log_limit(&self, id: &Name, change: LimitChange, source: Source) {
        let per_s = match change {
            // Each box that receives a changed limit from the upstream itself logs it; logging it here too would add
            // as many lines as there are responses.
            LimitChange::Changed(_) if source == Source::Peer => return,
            LimitChange::Started(per_1000_s) | LimitChange::Changed(per_1000_s) => {
                DeclaredLimit::Per1000S(per_1000_s).requests_per_s()
            }
            LimitChange::Ended => None,
        };
        let detail = json!({"upstream": id, "limit_per_s": per_s, "source": source.name()});
        self.log.line("limit_changed", detail);
    }

    /// Whether a statement from this source is forwarded immediately: one received from the upstream itself, and on a
    /// relay also one from another box. If the 75 boxes of a hall returned to their relay what it sent them, each
    /// departure would cause 75 messages.
    fn forwards_immediately(&self, source: Source) -> bool {
        let now_ms = self.clock.now_ms();
        match source {
            Source::Answer => true,
            Source::Peer => self.peers.relay(&self.settings.hall, now_ms).is_none(),
            Source::Record | Source::OtherIncarnation => false,
        }
    }

    /// Applies departures of upstreams that other boxes reported.
    pub fn apply_departures(&self, ids: &[Name]) {
        let statement = Statement {
            is_leaving: true,
            ..Statement::new(Source::Peer)
        };
        ids.iter()
            .for_each(|id| self.apply_statement(id, &statement));
    }

    /// Upstreams whose departure this box recently learned of other than through the registry.
    pub fn recent_departures(&self) -> Vec<Name> {
        let now_ms = self.clock.now_ms();
        lock(&self.upstreams).recent_departures(now_ms)
    }

    /// Applies limits of upstreams that other boxes reported.
    pub fn apply_limits(&self, limits: &[LimitUpdate]) {
        for update in limits {
            self.apply_statement(&update.upstream, &update.statement());
        }
    }

    /// Recent limits of upstreams, for propagation to other boxes.
    pub fn recent_limits(&self) -> Vec<LimitUpdate> {
        let now_ms = self.clock.now_ms();
        lock(&self.upstreams).recent_limits(now_ms)
    }

    /// Applies what another box knows of brittle pools.
    pub fn apply_brittle_pools(&self, updates: &[BrittleUpdate]) {
        if !updates.is_empty() {
            let now_ms = self.clock.now_ms();
            lock(&self.upstreams).apply_brittle_pools(updates, now_ms);
        }
    }

    /// The pools whose upstreams are brittle, for propagation to other boxes.
    pub fn recent_brittle_pools(&self) -> Vec<BrittleUpdate> {
        let now_ms = self.clock.now_ms();
        lock(&self.upstreams).recent_brittle_pools(now_ms)
    }

    /// Whether the upstreams of a pool are brittle and this box may use none of their slots.
    pub fn owns_no_brittle_slots(&self, pool: &Name) -> bool {
        let now_ms = self.clock.now_ms();
        if !lock(&self.upstreams).is_brittle(pool, now_ms) {
            return false;
        }
        let rules = self.send_rules(pool, now_ms);
        lock(&self.upstreams).owns_no_brittle_slots(pool, &rules, now_ms)
    }

    /// Records that an upstream rejected a request for want of room.
    pub fn record_rejection(&self, id: &Name) {
        let now_ms = self.clock.now_ms();
        lock(&self.upstreams).record_rejection(id, now_ms);
    }

    /// Waits until there is an update that other boxes need immediately.
    pub async fn wait_for_urgent_update(&self) {
        self.urgent_update.notified().await;
    }

    /// Marks an upstream as left because another incarnation responds at its address.
    pub fn mark_upstream_left(&self, id: &Name) {
        self.update_fleet(Source::OtherIncarnation, |fleet, _| {
            vec![(id.clone(), fleet.mark_left(id))]
        });
    }
}
