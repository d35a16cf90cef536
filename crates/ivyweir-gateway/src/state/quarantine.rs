//! Tracks which requests run on which upstream and which were running when it terminated, and quarantines requests
//! that repeatedly terminate upstreams.

use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;
use std::time::Duration;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::quarantine::{
    Containment, EndObservation, Fingerprint, InterruptedRun, Ledger, LedgerSync, LedgerUpdate,
    NewQuarantine, QuarantineChanges, QuarantineRecord, Refusal, RequestIdentity, RunEnd, RunKey,
    RunRegistry, SuspectKind, SuspectUpdate, UpstreamEnd,
};
use ivyweir_policy::gateway::rollout::RolloutState;
use ivyweir_policy::hash::hash64;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::timeout;

use super::Gateway;
use crate::clock::epoch_ms;
use crate::log::fingerprint_texts;
use crate::mutex::lock;

/// Maximum number of requests, and of shared parts of their prompts, listed in the log event for a terminated upstream; most engines run no more at once.
const MAX_LOGGED_FINGERPRINTS: usize = 64;

/// Maximum time that a request waits for the check whether its upstream terminated: three round trips to the farthest
/// hall. If the upstream does not respond, the request continues without the result.
const TERMINATION_CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// State for the quarantine of requests during which upstreams terminate.
#[derive(Debug)]
pub struct Quarantine {
    runs: RunRegistry,
    ledger: Ledger,
    exchange: LedgerSync,
    /// Upstreams with a check in progress whether they terminated.
    checking: HashSet<Name>,
    /// Upstreams that are watched after such a check.
    watched: HashSet<Name>,
    /// Change of the ledger up to which other boxes were last sent it.
    reported_change: u64,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            runs: RunRegistry::default(),
            ledger: Ledger::default(),
            // The random id lets other boxes detect that this box restarted.
            exchange: LedgerSync::new(u64::from(rand::random::<u32>())),
            checking: HashSet::new(),
            watched: HashSet::new(),
            reported_change: 0,
        }
    }
}

/// What happened to upstreams running a request since its last complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// No connection broke and no upstream terminated.
    None,
    /// A connection broke; it is not known whether the upstream terminated.
    ConnectionBroke,
    /// An upstream terminated.
    UpstreamEnded,
}

/// Watches for the replacement of an upstream while a request runs on it. After the first check it reads the fleet
/// only when some incarnation was replaced, because a stream waits on it for each event.
pub struct ReplacementWatch {
    upstream: Name,
    replacements: watch::Receiver<u64>,
    is_first_check: bool,
}

impl ReplacementWatch {
    /// Waits until another incarnation has replaced the upstream.
    pub async fn replaced(&mut self, gateway: &Gateway) {
        loop {
            if !std::mem::take(&mut self.is_first_check) {
                // The sender is never dropped before the `Gateway`.
                let _changed = self.replacements.changed().await;
            }
            if lock(&gateway.upstreams).fleet().is_replaced(&self.upstream) {
                return;
            }
        }
    }
}

impl Gateway {
    /// Records that a request starts to run on an upstream.
    pub fn record_run_start(&self, upstream: &Name, key: RunKey) {
        let now_ms = self.clock.now_ms();
        let mut quarantine = lock(&self.quarantine);
        quarantine.runs.begin(upstream, key, now_ms);
        quarantine.ledger.run_started(now_ms.cast_signed());
    }

    /// Records that a request no longer runs on an upstream.
    pub fn record_run_end(&self, upstream: &Name, key: &RunKey, end: RunEnd) {
        let now_ms = self.clock.now_ms();
        let mut quarantine = lock(&self.quarantine);
        quarantine.runs.end(upstream, key, end, now_ms);
    }

    /// Records that a request was lost with its connection. Whether its upstream terminated is not known yet. Where all
    /// paths of this box are in doubt, it counts against the request only if a check finds that they are not lost.
    pub fn record_lost_run(self: &Arc<Self>, upstream: &UpstreamRecord, key: &RunKey) {
        let is_planned = self.is_termination_planned(upstream);
        let now_ms = self.clock.now_ms();
        let run = {
            let runs = &mut lock(&self.quarantine).runs;
            runs.end(&upstream.id, key, RunEnd::ConnectionLost, now_ms)
        };
        // Without a run, the termination of the upstream was recorded before the connection was seen to break.
        let Some(run) = run.filter(|_| !is_planned) else {
            return;
        };
        let observation = observation(&upstream.id, &run);
        if !self.may_be_cut_off() {
            self.record_unconfirmed_end(&observation);
            return;
        }
        let gateway = self.clone();
        tokio::spawn(async move {
            gateway.wait_for_path_check().await;
            if !gateway.may_be_cut_off() {
                gateway.record_unconfirmed_end(&observation);
            }
        });
    }

    /// Records that the connection of a request broke, and that its upstream may have terminated.
    fn record_unconfirmed_end(&self, observation: &EndObservation) {
        let is_contained = lock(&self.quarantine).ledger.connection_broke(observation);
        if is_contained {
            let detail = json!({"fingerprint": observation.identity.request.to_string()});
            self.log.line("contained", detail);
            self.urgent_update.notify_one();
        }
    }

    /// The containment of a request that may have terminated several upstreams.
    pub fn containment(&self, fingerprint: Fingerprint) -> Option<Containment> {
        let now_ms = self.ledger_now_ms();
        lock(&self.quarantine)
            .ledger
            .containment(fingerprint, now_ms)
    }

    /// Records that a request received a complete response.
    pub fn record_run_completion(&self, run: &RunKey) {
        let now_ms = self.clock.now_ms();
        let changes = {
            let mut quarantine = lock(&self.quarantine);
            quarantine
                .runs
                .record_completion(run.identity.request, now_ms);
            quarantine.ledger.run_completed(run, now_ms.cast_signed())
        };
        self.report_quarantine_changes(changes);
    }

    /// Records that a run has been answered for a while.
    pub fn record_lasting_run(&self, run: &RunKey) {
        let now_ms = self.ledger_now_ms();
        let changes = lock(&self.quarantine).ledger.run_lasted(run, now_ms);
        self.report_quarantine_changes(changes);
    }

    /// The part of its prompt for which a request is placed by the part's fingerprint and not by load.
    pub fn contained_part(&self, identity: &RequestIdentity) -> Option<Fingerprint> {
        let now_ms = self.ledger_now_ms();
        lock(&self.quarantine)
            .ledger
            .contained_part(identity, now_ms)
    }

    /// Whether a request is quarantined, or a part of its prompt is.
    pub fn is_quarantined(&self, identity: &RequestIdentity) -> bool {
        self.refusal(identity).is_some()
    }

    /// Returns why a request is refused; `None` if it is not.
    pub fn refusal(&self, identity: &RequestIdentity) -> Option<Refusal> {
        let now_ms = self.ledger_now_ms();
        lock(&self.quarantine).ledger.refusal(identity, now_ms)
    }

    /// Waits until a request is quarantined, or a part of its prompt is.
    pub async fn until_quarantined(&self, identity: &RequestIdentity) {
        let mut changes = self.quarantine_changes.subscribe();
        while !self.is_quarantined(identity) {
            // The sender is never dropped before the `Gateway`.
            let _changed = changes.changed().await;
        }
    }

    /// Lets a request through that is refused only for a part of its prompt, if it is time to try the part. Only the root
    /// does, so that one box tries at a time.
    pub fn take_part_trial(&self, identity: &RequestIdentity) {
        if !self.histories.is_root() {
            return;
        }
        let now_ms = self.ledger_now_ms();
        let is_let_through = lock(&self.quarantine).ledger.take_trial(identity, now_ms);
        if is_let_through {
            let detail = json!({"fingerprint": identity.request.to_string()});
            self.log.line("quarantine_trial", detail);
        }
    }

    /// Number of quarantined requests or parts.
    pub fn quarantined_count(&self, kind: SuspectKind) -> usize {
        lock(&self.quarantine).ledger.quarantined_count(kind)
    }

    /// The quarantined requests and parts.
    pub fn quarantined(&self) -> HashSet<Fingerprint> {
        lock(&self.quarantine).ledger.quarantined().collect()
    }

    /// Record of a request's quarantine for the store.
    pub fn quarantine_record(&self, fingerprint: Fingerprint) -> Option<QuarantineRecord> {
        let now_ms = self.ledger_now_ms();
        let ledger = &lock(&self.quarantine).ledger;
        ledger.record(fingerprint, now_ms, epoch_ms())
    }

    /// Restores quarantines from records of the store.
    pub fn restore_quarantines(&self, records: &[QuarantineRecord]) {
        let now_ms = self.ledger_now_ms();
        let ledger = &mut lock(&self.quarantine).ledger;
        let changes = ledger.restore(records, now_ms, epoch_ms());
        self.report_quarantine_changes(changes);
    }

    /// Lifts quarantines whose records an operator removed.
    pub fn lift_quarantines(&self, fingerprints: Vec<Fingerprint>) {
        let now_ms = self.ledger_now_ms();
        for fingerprint in fingerprints {
            let changes = lock(&self.quarantine).ledger.lift(fingerprint, now_ms);
            self.report_quarantine_changes(changes);
        }
    }

    /// Records that the connection of a request broke. A separate check determines whether its upstream terminated.
    pub fn record_broken_connection(&self, fingerprint: Fingerprint) {
        let now_ms = self.clock.now_ms();
        lock(&self.quarantine)
            .runs
            .record_broken_connection(fingerprint, now_ms);
    }

    /// What happened to upstreams running this request since its last complete response.
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

    /// Starts a check whether an upstream terminated; returns `false` if one is already in progress.
    pub fn begin_termination_check(&self, upstream: &Name) -> bool {
        lock(&self.quarantine).checking.insert(upstream.clone())
    }

    /// Finishes the check whether an upstream terminated.
    pub fn finish_termination_check(&self, upstream: &Name) {
        lock(&self.quarantine).checking.remove(upstream);
        self.termination_checks.send_modify(|count| *count += 1);
    }

    /// Starts to watch whether an upstream terminates; returns `false` if it is watched already.
    pub fn begin_watch(&self, upstream: &Name) -> bool {
        lock(&self.quarantine).watched.insert(upstream.clone())
    }

    /// Stops to watch an upstream.
    pub fn finish_watch(&self, upstream: &Name) {
        lock(&self.quarantine).watched.remove(upstream);
    }

    /// Time until no lost run counts as running at an upstream any more; `None` if none does.
    pub fn lost_runs_expire_after(&self, upstream: &Name) -> Option<Duration> {
        let now_ms = self.clock.now_ms();
        let expires_ms = lock(&self.quarantine).runs.lost_runs_expire_ms(upstream)?;
        let left_ms = expires_ms
            .checked_sub(now_ms)
            .filter(|left_ms| *left_ms > 0)?;
        Some(Duration::from_millis(left_ms))
    }

    /// Waits for checks in progress whether an upstream terminated and whether there are paths, for a limited time. If it did, the request whose
    /// connection broke is placed apart from the others that ran there; if not, it is placed by load.
    pub async fn wait_for_termination_check(&self, upstream: &Name) {
        let mut checks = self.termination_checks.subscribe();
        let finished = async {
            while lock(&self.quarantine).checking.contains(upstream) {
                // The sender is never dropped before the `Gateway`.
                let _changed = checks.changed().await;
            }
            self.path_check_ended().await;
        };
        let _in_time = timeout(TERMINATION_CHECK_TIMEOUT, finished).await;
    }

    /// Records that an upstream's process terminated, as its address refuses connections.
    pub fn record_upstream_termination(&self, upstream: &UpstreamRecord) {
        let is_planned = self.is_termination_planned(upstream);
        self.record_termination(upstream, is_planned);
    }

    /// Records that these upstreams were replaced by other incarnations. They terminated undetected, because they were
    /// replaced immediately or were unreachable, and requests sent to them will not get a response.
    pub(super) fn record_replacements(&self, replaced: &[Arc<UpstreamRecord>]) {
        for upstream in replaced {
            let detail = json!({"upstream": upstream.id, "change": "Replaced"});
            self.log.line("upstream_changed", detail);
            self.record_termination(upstream, self.is_version_replaced(upstream));
        }
        if !replaced.is_empty() {
            self.replacements.send_modify(|count| *count += 1);
        }
    }

    /// Returns a watch for the replacement of an upstream by another incarnation.
    pub fn watch_replacement(&self, upstream: &Name) -> ReplacementWatch {
        ReplacementWatch {
            upstream: upstream.clone(),
            replacements: self.replacements.subscribe(),
            is_first_check: true,
        }
    }

    fn record_termination(&self, upstream: &UpstreamRecord, is_planned: bool) {
        let now_ms = self.clock.now_ms();
        let interrupted = lock(&self.quarantine)
            .runs
            .upstream_ended(&upstream.id, now_ms);
        if interrupted.is_empty() {
            return;
        }
        let ends = &self.metrics.upstream_ends;
        ends.with_label_values(&[&*upstream.pool]).inc();
        let logged = || interrupted.iter().take(MAX_LOGGED_FINGERPRINTS);
        let fingerprints = fingerprint_texts(logged().map(|run| &run.key.identity.request));
        let parts: BTreeSet<Fingerprint> = logged()
            .flat_map(|run| run.key.identity.parts.iter().copied())
            .collect();
        let parts = fingerprint_texts(parts.iter().take(MAX_LOGGED_FINGERPRINTS));
        let detail = json!({
            "upstream": upstream.id, "pool": upstream.pool, "requests": interrupted.len(),
            "fingerprints": fingerprints, "parts": parts, "planned": is_planned,
        });
        self.log.line("upstream_ended", detail);
        if !is_planned {
            self.add_termination_to_ledger(upstream, &interrupted);
        }
    }

    fn add_termination_to_ledger(&self, upstream: &UpstreamRecord, interrupted: &[InterruptedRun]) {
        let observations = interrupted.iter().map(|run| observation(&upstream.id, run));
        let observations: Vec<EndObservation> = observations.collect();
        let changes = {
            let Quarantine { runs, ledger, .. } = &mut *lock(&self.quarantine);
            let parts = observations.iter().flat_map(|o| o.identity.parts.iter());
            ledger.set_running_parts(runs.running_parts(parts.copied()));
            ledger.upstream_ended(&observations)
        };
        self.report_quarantine_changes(changes);
    }

    /// Whether the termination of an upstream was expected: it announced its departure, or its version was replaced.
    pub fn is_termination_planned(&self, upstream: &UpstreamRecord) -> bool {
        let is_known = lock(&self.upstreams).fleet().member(&upstream.id).is_some();
        !is_known || self.is_version_replaced(upstream)
    }

    fn is_version_replaced(&self, upstream: &UpstreamRecord) -> bool {
        let target = self.rollout_target(&upstream.pool);
        target.is_some_and(|target| {
            target.state == RolloutState::Completed && target.version != upstream.version
        })
    }

    /// Requests during which upstreams terminated, for a box that starts.
    pub fn ledger_snapshot(&self) -> Vec<SuspectUpdate> {
        let now_ms = self.ledger_now_ms();
        lock(&self.quarantine).ledger.snapshot(now_ms)
    }

    /// Applies what another box knows of requests during which upstreams terminated.
    pub fn merge_ledger_snapshot(&self, suspects: Vec<SuspectUpdate>) {
        let now_ms = self.ledger_now_ms();
        let changes = lock(&self.quarantine).ledger.merge(suspects, now_ms);
        self.report_quarantine_changes(changes);
    }

    /// Number of the last change of the ledger.
    pub fn ledger_change(&self) -> u64 {
        lock(&self.quarantine).ledger.last_change()
    }

    /// Records that other boxes were sent the ledger up to a change, whether they received it or not.
    pub fn record_ledger_reported(&self, change: u64) {
        lock(&self.quarantine).reported_change = change;
    }

    /// The change of the ledger up to which other boxes were last sent it.
    pub fn reported_ledger_change(&self) -> u64 {
        lock(&self.quarantine).reported_change
    }

    /// Whether no upstream is being checked or watched.
    pub fn has_finished_checks(&self) -> bool {
        let quarantine = lock(&self.quarantine);
        quarantine.checking.is_empty() && quarantine.watched.is_empty()
    }

    /// Requests a report to other boxes as soon as possible.
    pub fn request_report(&self) {
        self.urgent_update.notify_one();
    }

    /// Update for another box on requests during which upstreams terminated.
    pub fn ledger_update_for(&self, peer: &Name) -> Option<LedgerUpdate> {
        let now_ms = self.ledger_now_ms();
        let Quarantine {
            ledger, exchange, ..
        } = &mut *lock(&self.quarantine);
        exchange.update_for(peer, ledger, now_ms)
    }

    /// Applies an update of another box on requests during which upstreams terminated.
    pub fn apply_ledger_update(&self, peer: &Name, update: LedgerUpdate) {
        let now_ms = self.ledger_now_ms();
        let changes = {
            let Quarantine {
                runs,
                ledger,
                exchange,
                ..
            } = &mut *lock(&self.quarantine);
            let parts = update.parts.iter().map(|part| part.fingerprint);
            ledger.set_running_parts(runs.running_parts(parts));
            exchange.receive(peer, update, ledger, now_ms)
        };
        self.report_quarantine_changes(changes);
    }

    /// Removes expired runs and ledger entries.
    pub(super) fn sweep_quarantine(&self) {
        let now_ms = self.clock.now_ms();
        let changes = {
            let mut quarantine = lock(&self.quarantine);
            quarantine.runs.sweep(now_ms);
            quarantine.ledger.sweep(now_ms.cast_signed())
        };
        self.report_quarantine_changes(changes);
    }

    fn report_quarantine_changes(&self, changes: QuarantineChanges) {
        if !changes.quarantined.is_empty() || changes.is_part_suspected {
            self.urgent_update.notify_one();
        }
        if !changes.quarantined.is_empty() {
            self.quarantine_changes.send_modify(|count| *count += 1);
        }
        for NewQuarantine {
            fingerprint,
            kind,
            ends,
        } in changes.quarantined
        {
            let detail = json!({
                "fingerprint": fingerprint.to_string(), "kind": kind.name(), "upstream_ends": ends,
            });
            self.log.line("quarantined", detail);
        }
        for fingerprint in changes.released {
            let detail = json!({"fingerprint": fingerprint.to_string()});
            self.log.line("quarantine_ended", detail);
        }
    }

    /// The current time, signed because times in the ledger may be earlier than the start of this box.
    fn ledger_now_ms(&self) -> i64 {
        self.clock.now_ms().cast_signed()
    }
}

/// The observation of a run that was interrupted by the termination of its upstream.
fn observation(upstream_id: &Name, run: &InterruptedRun) -> EndObservation {
    EndObservation {
        identity: run.key.identity.clone(),
        end: UpstreamEnd {
            upstream: hash64(&[upstream_id.as_bytes()]),
            try_hash: run.key.try_hash,
            began_at_ms: run.began_at_ms.cast_signed(),
            at_ms: run.at_ms.cast_signed(),
        },
        completed_at_ms: run.completed_at_ms.map(u64::cast_signed),
    }
}
