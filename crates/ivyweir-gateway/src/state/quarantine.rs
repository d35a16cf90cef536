//! Which requests are at which upstream, and which were there when it ended.

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::quarantine::{Fingerprint, RunEnd};
use serde_json::json;

use super::{Gateway, lock};

/// Requests named in the line about an upstream that ended: as many as most engines run at once.
const NAMED_IN_LOG: usize = 64;

impl Gateway {
    /// Takes in that a request is sent to an upstream.
    pub fn run_began(&self, upstream: &Name, fingerprint: Fingerprint) {
        lock(&self.runs).begin(upstream, fingerprint);
    }

    /// Takes in that it has left there.
    pub fn run_left(&self, upstream: &Name, fingerprint: Fingerprint, how: RunEnd) {
        let now_ms = self.clock.now_ms();
        lock(&self.runs).end(upstream, fingerprint, how, now_ms);
    }

    /// Begins to find out whether an upstream ended; returns whether nobody is at it yet.
    pub fn begin_look(&self, upstream: &Name) -> bool {
        lock(&self.looked_at).insert(upstream.clone())
    }

    /// Takes in that it was found out.
    pub fn end_look(&self, upstream: &Name) {
        lock(&self.looked_at).remove(upstream);
    }

    /// Takes in that nobody listens at an upstream's address any more: its process has ended.
    pub fn upstream_ended(&self, upstream: &UpstreamRecord) {
        let now_ms = self.clock.now_ms();
        let there = lock(&self.runs).upstream_ended(&upstream.id, now_ms);
        if there.is_empty() {
            return;
        }
        let ends = &self.metrics.upstream_ends;
        ends.with_label_values(&[&*upstream.pool]).inc();
        let named = there.iter().take(NAMED_IN_LOG);
        let named: Vec<String> = named.map(Fingerprint::to_string).collect();
        let detail = json!({
            "upstream": upstream.id, "pool": upstream.pool, "requests": there.len(),
            "fingerprints": named,
        });
        self.log.line("upstream_ended", detail);
    }
}
