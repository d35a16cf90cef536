//! What upstreams say of themselves, taken in and told on.

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::FleetChange;
use ivyweir_policy::gateway::rate_limit::{LimitChange, LimitUpdate};
use ivyweir_policy::gateway::statement::{DeclaredLimit, Source, Statement};
use serde_json::json;

use super::{Gateway, lock};

impl Gateway {
    /// Takes in what an upstream says of itself in an answer.
    pub fn hear(&self, id: &Name, statement: &Statement) {
        let now_ms = self.clock.now_ms();
        let max_backoff_ms = self.settings.policy.max_backoff_ms;
        let heard = lock(&self.upstreams).apply_statement(id, statement, max_backoff_ms, now_ms);
        if heard.fleet != FleetChange::Nothing {
            self.log_change(id, heard.fleet, statement.source);
        }
        if let Some(change) = heard.limit {
            self.log_limit(id, change, statement.source);
        }
        // Limits that move, or end, are told with the next round: they may move with each answer.
        let begins = matches!(heard.limit, Some(LimitChange::Started(_)));
        let is_news = heard.fleet != FleetChange::Nothing || begins;
        if is_news && self.passes_on(statement.source) {
            self.urgent.notify_one();
        }
    }

    fn log_limit(&self, id: &Name, change: LimitChange, source: Source) {
        let per_s = match change {
            // A limit that moves is told by each box that the upstream itself told: as many lines as answers.
            LimitChange::Changed(_) if source == Source::Peer => return,
            LimitChange::Started(per_1000_s) | LimitChange::Changed(per_1000_s) => {
                DeclaredLimit::Per1000S(per_1000_s).requests_per_s()
            }
            LimitChange::Ended => None,
        };
        let detail = json!({"upstream": id, "limit_per_s": per_s, "source": source.name()});
        self.log.line("limit_changed", detail);
    }

    /// Whether what was heard there is told on at once: what is heard first hand, and by a relay, whom others hear. 75
    /// boxes of a hall that each told their relay what they have from it would be 75 messages for each departure.
    fn passes_on(&self, source: Source) -> bool {
        let now_ms = self.clock.now_ms();
        match source {
            Source::Answer => true,
            Source::Peer => self.peers.relay(&self.settings.hall, now_ms).is_none(),
            Source::Record | Source::OtherIncarnation => false,
        }
    }

    /// Takes in that other boxes heard these upstreams to leave.
    pub fn hear_departures(&self, ids: &[Name]) {
        let statement = Statement {
            is_leaving: true,
            ..Statement::new(Source::Peer)
        };
        ids.iter().for_each(|id| self.hear(id, &statement));
    }

    /// Upstreams that this box heard to leave lately, other than by the registry.
    pub fn departures(&self) -> Vec<Name> {
        let now_ms = self.clock.now_ms();
        lock(&self.upstreams).recent_departures(now_ms)
    }

    /// Takes in what other boxes know of upstreams' limits.
    pub fn hear_limits(&self, limits: &[LimitUpdate]) {
        for told in limits {
            self.hear(&told.upstream, &told.statement());
        }
    }

    /// What other boxes are to know of upstreams' limits.
    pub fn limits(&self) -> Vec<LimitUpdate> {
        let now_ms = self.clock.now_ms();
        lock(&self.upstreams).recent_limits(now_ms)
    }

    /// Waits until there is something that other boxes must know at once.
    pub async fn until_urgent(&self) {
        self.urgent.notified().await;
    }

    /// Takes in that another incarnation answers at an upstream's address: this one has left.
    pub fn upstream_left(&self, id: &Name) {
        self.change_upstream(Source::OtherIncarnation, |fleet, _| {
            vec![(id.clone(), fleet.mark_left(id))]
        });
    }
}
