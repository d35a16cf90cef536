//! Which requests are at which upstream, which were there when it ended, and which are sent no more.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::quarantine::{
    EndObservation, Fingerprint, InterruptedRun, Ledger, LedgerSync, LedgerUpdate,
    QuarantineChanges, QuarantineRecord, RunEnd, RunKey, RunRegistry, UpstreamEnd,
};
use ivyweir_policy::gateway::rollout::RolloutState;
use ivyweir_policy::hash::hash64;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::timeout;

use super::{Gateway, lock};
use crate::clock::epoch_ms;

/// Requests named in the line about an upstream that ended: as many as most engines run at once.
const NAMED_IN_LOG: usize = 64;

/// Longest wait of a request for the look at the upstream that it was at: three times the way to the farthest hall
/// and back. Where upstreams are silent it goes on without.
const LOOK_WAIT: Duration = Duration::from_millis(50);

/// What a box knows of requests under which upstreams end.
#[derive(Debug)]
pub struct Quarantine {
    runs: RunRegistry,
    ledger: Ledger,
    exchange: LedgerSync,
    /// Upstreams of which is being found out whether they ended.
    looked_at: HashSet<Name>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            runs: RunRegistry::default(),
            ledger: Ledger::default(),
            // Other boxes tell a box that starts anew by it.
            exchange: LedgerSync::new(u64::from(rand::random::<u32>())),
            looked_at: HashSet::new(),
        }
    }
}

/// What became of upstreams under a request since it last had a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// Nothing.
    None,
    /// A connection broke; whether the upstream ended is not known.
    ConnectionBroke,
    /// An upstream ended.
    UpstreamEnded,
}

/// Watches one upstream for as long as a request is there. It looks at the upstreams only once something was replaced:
/// a stream waits with it for each of its events.
pub struct ReplacedWatch {
    upstream: Name,
    news: watch::Receiver<u64>,
    is_first: bool,
}

impl ReplacedWatch {
    /// Waits until another incarnation has taken the upstream's place.
    pub async fn replaced(&mut self, gateway: &Gateway) {
        loop {
            if !std::mem::take(&mut self.is_first) {
                // The sender lives as long as the box's state.
                let _changed = self.news.changed().await;
            }
            if lock(&gateway.upstreams).fleet().is_replaced(&self.upstream) {
                return;
            }
        }
    }
}

impl Gateway {
    /// Takes in that a request is sent to an upstream.
    pub fn run_began(&self, upstream: &Name, key: RunKey) {
        let now_ms = self.clock.now_ms();
        let mut quarantine = lock(&self.quarantine);
        quarantine.runs.begin(upstream, key, now_ms);
    }

    /// Takes in that it has left there.
    pub fn run_left(&self, upstream: &Name, key: RunKey, how: RunEnd) {
        let now_ms = self.clock.now_ms();
        let mut quarantine = lock(&self.quarantine);
        quarantine.runs.end(upstream, key, how, now_ms);
    }

    /// Takes in that a request had its whole answer.
    pub fn run_completed(&self, fingerprint: Fingerprint) {
        let now_ms = self.clock.now_ms();
        let verdicts = {
            let mut quarantine = lock(&self.quarantine);
            quarantine.runs.record_completion(fingerprint, now_ms);
            quarantine
                .ledger
                .completed(fingerprint, now_ms.cast_signed())
        };
        self.take_verdicts(verdicts);
    }

    /// Whether a request is sent no more.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        lock(&self.quarantine).ledger.is_quarantined(fingerprint)
    }

    /// Requests that are sent no more.
    pub fn quarantined(&self) -> HashSet<Fingerprint> {
        lock(&self.quarantine).ledger.quarantined().collect()
    }

    /// A request's quarantine as the store is to keep it.
    pub fn quarantine_record(&self, fingerprint: Fingerprint) -> Option<QuarantineRecord> {
        let now_ms = self.ledger_now_ms();
        let ledger = &lock(&self.quarantine).ledger;
        ledger.record(fingerprint, now_ms, epoch_ms())
    }

    /// Takes in the quarantines that the store kept.
    pub fn restore_quarantines(&self, records: &[QuarantineRecord]) {
        let now_ms = self.ledger_now_ms();
        let ledger = &mut lock(&self.quarantine).ledger;
        let verdicts = ledger.restore(records, now_ms, epoch_ms());
        self.take_verdicts(verdicts);
    }

    /// Takes in that operators lifted quarantines.
    pub fn lift_quarantines(&self, fingerprints: Vec<Fingerprint>) {
        let now_ms = self.ledger_now_ms();
        for fingerprint in fingerprints {
            let verdicts = lock(&self.quarantine).ledger.lift(fingerprint, now_ms);
            self.take_verdicts(verdicts);
        }
    }

    /// Takes in that a request's connection broke; whether its upstream ended is found out.
    pub fn run_broke(&self, fingerprint: Fingerprint) {
        let now_ms = self.clock.now_ms();
        lock(&self.quarantine)
            .runs
            .record_broken_connection(fingerprint, now_ms);
    }

    /// What became of upstreams under a request since it last had a whole answer.
    pub fn suspicion(&self, fingerprint: Fingerprint) -> Suspicion {
        let quarantine = lock(&self.quarantine);
        if quarantine.ledger.is_suspect(fingerprint) {
            Suspicion::UpstreamEnded
        } else if quarantine.runs.has_broken_connection(fingerprint) {
            Suspicion::ConnectionBroke
        } else {
            Suspicion::None
        }
    }

    /// Begins to find out whether an upstream ended; returns whether nobody is at it yet.
    pub fn begin_look(&self, upstream: &Name) -> bool {
        lock(&self.quarantine).looked_at.insert(upstream.clone())
    }

    /// Takes in that it was found out.
    pub fn end_look(&self, upstream: &Name) {
        lock(&self.quarantine).looked_at.remove(upstream);
        self.looks.send_modify(|count| *count += 1);
    }

    /// Waits until it is found out whether an upstream ended, for a moment: the request whose connection broke goes on
    /// apart from others if it did, and by load if it did not.
    pub async fn until_looked(&self, upstream: &Name) {
        let mut looks = self.looks.subscribe();
        let found_out = async {
            while lock(&self.quarantine).looked_at.contains(upstream) {
                // The sender lives as long as the box's state.
                let _changed = looks.changed().await;
            }
        };
        let _in_time = timeout(LOOK_WAIT, found_out).await;
    }

    /// Takes in that nobody listens at an upstream's address any more: its process has ended.
    pub fn upstream_ended(&self, upstream: &UpstreamRecord) {
        let is_planned = self.is_end_planned(upstream);
        self.note_end(upstream, is_planned);
    }

    /// Takes in that other incarnations have taken the places of these: they ended unseen, at once or behind a
    /// cut, and what was sent to them has no answer.
    pub(super) fn upstreams_replaced(&self, replaced: &[Arc<UpstreamRecord>]) {
        for upstream in replaced {
            let detail = json!({"upstream": upstream.id, "change": "Replaced"});
            self.log.line("upstream_changed", detail);
            self.note_end(upstream, self.is_version_replaced(upstream));
        }
        if !replaced.is_empty() {
            self.replacements.send_modify(|count| *count += 1);
        }
    }

    /// Watches whether another incarnation takes an upstream's place.
    pub fn watch_replaced(&self, upstream: &Name) -> ReplacedWatch {
        ReplacedWatch {
            upstream: upstream.clone(),
            news: self.replacements.subscribe(),
            is_first: true,
        }
    }

    fn note_end(&self, upstream: &UpstreamRecord, is_planned: bool) {
        let now_ms = self.clock.now_ms();
        let there = lock(&self.quarantine)
            .runs
            .upstream_ended(&upstream.id, now_ms);
        if there.is_empty() {
            return;
        }
        let ends = &self.metrics.upstream_ends;
        ends.with_label_values(&[&*upstream.pool]).inc();
        let named = there.iter().take(NAMED_IN_LOG);
        let named: Vec<String> = named.map(|left| left.key.fingerprint.to_string()).collect();
        let detail = json!({
            "upstream": upstream.id, "pool": upstream.pool, "requests": there.len(),
            "fingerprints": named, "planned": is_planned,
        });
        self.log.line("upstream_ended", detail);
        if !is_planned {
            self.lay_end(upstream, &there);
        }
    }

    fn lay_end(&self, upstream: &UpstreamRecord, there: &[InterruptedRun]) {
        let upstream = hash64(&[upstream.id.as_bytes()]);
        let witness = |left: &InterruptedRun| EndObservation {
            fingerprint: left.key.fingerprint,
            end: UpstreamEnd {
                upstream,
                try_hash: left.key.try_hash,
                began_at_ms: left.began_at_ms.cast_signed(),
                at_ms: left.at_ms.cast_signed(),
            },
            completed_at_ms: left.completed_at_ms.map(u64::cast_signed),
        };
        let there: Vec<EndObservation> = there.iter().map(witness).collect();
        let verdicts = lock(&self.quarantine).ledger.upstream_ended(&there);
        self.take_verdicts(verdicts);
    }

    /// Whether an upstream was to end: it had announced that it leaves, or its version was replaced.
    fn is_end_planned(&self, upstream: &UpstreamRecord) -> bool {
        let is_known = lock(&self.upstreams).fleet().member(&upstream.id).is_some();
        !is_known || self.is_version_replaced(upstream)
    }

    fn is_version_replaced(&self, upstream: &UpstreamRecord) -> bool {
        let target = self.rollout_target(&upstream.pool);
        target.is_some_and(|target| {
            target.state == RolloutState::Completed && target.version != upstream.version
        })
    }

    /// What a box is to be told of requests under which upstreams ended.
    pub fn ledger_news_for(&self, peer: &Name) -> Option<LedgerUpdate> {
        let now_ms = self.ledger_now_ms();
        let Quarantine {
            ledger, exchange, ..
        } = &mut *lock(&self.quarantine);
        exchange.update_for(peer, ledger, now_ms)
    }

    /// Takes in what a box told of them.
    pub fn hear_ledger(&self, peer: &Name, news: LedgerUpdate) {
        let now_ms = self.ledger_now_ms();
        let verdicts = {
            let Quarantine {
                ledger, exchange, ..
            } = &mut *lock(&self.quarantine);
            exchange.receive(peer, news, ledger, now_ms)
        };
        self.take_verdicts(verdicts);
    }

    /// Forgets what is long past.
    pub(super) fn sweep_quarantine(&self) {
        let now_ms = self.clock.now_ms();
        let verdicts = {
            let mut quarantine = lock(&self.quarantine);
            quarantine.runs.sweep(now_ms);
            quarantine.ledger.sweep(now_ms.cast_signed())
        };
        self.take_verdicts(verdicts);
    }

    fn take_verdicts(&self, verdicts: QuarantineChanges) {
        if !verdicts.quarantined.is_empty() {
            self.urgent.notify_one();
        }
        for (fingerprint, ends) in verdicts.quarantined {
            let detail = json!({"fingerprint": fingerprint.to_string(), "upstream_ends": ends});
            self.log.line("quarantined", detail);
        }
        for fingerprint in verdicts.released {
            let detail = json!({"fingerprint": fingerprint.to_string()});
            self.log.line("quarantine_ended", detail);
        }
    }

    /// Times of the ledger may lie before this box's start.
    fn ledger_now_ms(&self) -> i64 {
        self.clock.now_ms().cast_signed()
    }
}
