//! Guards for requests in progress at an upstream or at another box.

use std::sync::Arc;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::quarantine::{RunEnd, RunKey};
use ivyweir_policy::gateway::urgency::Band;
use ivyweir_policy::gateway::work::Estimate;

use crate::canary::record_verdict;
use crate::connection::Connection;
use crate::handover::HandoverGuard;
use crate::liveness;
use crate::state::Gateway;

/// Time for which a run is answered until that speaks for the parts of its prompt.
const LASTING_MS: u64 = 1_000;

/// Guard for a request at an upstream or at another box. It counts towards the load there until it is dropped, and owns
/// the connection.
pub struct InFlightRequest {
    gateway: Arc<Gateway>,
    place: Place,
    connection: Option<Connection>,
}

/// Where a request is in progress.
enum Place {
    Upstream(Run),
    /// Another box, which does all accounting.
    Box(HandoverGuard),
}

/// What the answers of a request are judged by.
#[derive(Debug, Clone, Copy)]
pub struct AnswerTerms {
    /// Group of comparable answers.
    pub lane: u64,
    /// Time without data after which an answer counts as missing.
    pub overdue_after_ms: u64,
}

/// The run of a request at an upstream.
struct Run {
    upstream: Arc<UpstreamRecord>,
    terms: AnswerTerms,
    sent_at_ms: u64,
    /// When the request was sent or data was last received.
    last_contact_ms: u64,
    /// Whether its answer was counted for the version of the upstream.
    is_judged: bool,
    estimate: Estimate,
    band: Band,
    is_prefilled: bool,
    /// When it will have been answered for so long that it speaks for the parts of its prompt; `None` before its
    /// response begins and once that was recorded.
    lasts_from_ms: Option<u64>,
    key: RunKey,
    /// Whether the request was sent and its run at the upstream has not ended.
    is_running: bool,
    /// Whether the request counts as using the path to the upstream.
    uses_path: bool,
    /// Whether the response is dropped for that of another upstream.
    is_discarded: bool,
}

impl Run {
    fn remaining_work_ms(&self) -> f64 {
        if self.is_prefilled {
            self.estimate.decode_ms
        } else {
            self.estimate.total_ms()
        }
    }

    /// Counts the answer as a good or a failed one of the upstream's version, once.
    fn judge(&mut self, gateway: &Gateway, failed: bool) {
        if !std::mem::replace(&mut self.is_judged, true) {
            let age_ms = gateway.clock.now_ms().saturating_sub(self.sent_at_ms);
            record_verdict(gateway, &self.upstream, self.terms.lane, failed, age_ms);
        }
    }

    /// Whether the upstream has sent nothing for so long that the answer is missing, and the path to it is not at fault.
    fn is_overdue(&self, gateway: &Gateway) -> bool {
        let silent_ms = gateway.clock.now_ms().saturating_sub(self.last_contact_ms);
        silent_ms >= self.terms.overdue_after_ms && !gateway.has_path_trouble()
    }

    fn end(&mut self, gateway: &Gateway, end: RunEnd) {
        if std::mem::take(&mut self.is_running) {
            gateway.record_run_end(&self.upstream.id, &self.key, end);
        }
    }

    fn record_lasting(&mut self, gateway: &Gateway) {
        let now_ms = gateway.clock.now_ms();
        if self.lasts_from_ms.take_if(|ms| now_ms >= *ms).is_some() {
            gateway.record_lasting_run(&self.key);
        }
    }

    /// Records that the run was lost with its connection, and probes whether the upstream itself has terminated.
    fn lose(&mut self, gateway: &Arc<Gateway>) {
        if !self.is_discarded && !gateway.is_termination_planned(&self.upstream) {
            self.judge(gateway, true);
        }
        gateway.suspect_path(&self.upstream.id);
        if std::mem::take(&mut self.is_running) {
            gateway.record_lost_run(&self.upstream, &self.key);
        }
        gateway.record_broken_connection(self.key.identity.request);
        liveness::probe(gateway, &self.upstream);
    }
}

impl InFlightRequest {
    /// Creates the guard for a request to an upstream.
    pub fn new(
        gateway: Arc<Gateway>,
        upstream: Arc<UpstreamRecord>,
        estimate: Estimate,
        band: Band,
        key: RunKey,
        terms: AnswerTerms,
    ) -> Self {
        gateway.with_load(&upstream.id, |load, _| {
            load.begin(band, estimate.total_ms());
        });
        let now_ms = gateway.clock.now_ms();
        let run = Run {
            upstream,
            terms,
            sent_at_ms: now_ms,
            last_contact_ms: now_ms,
            is_judged: false,
            estimate,
            band,
            is_prefilled: false,
            lasts_from_ms: None,
            key,
            is_running: false,
            uses_path: false,
            is_discarded: false,
        };
        Self {
            gateway,
            place: Place::Upstream(run),
            connection: None,
        }
    }

    /// Creates the guard for a request that is handed over to another box.
    pub fn at_box(gateway: Arc<Gateway>, guard: HandoverGuard) -> Self {
        Self {
            gateway,
            place: Place::Box(guard),
            connection: None,
        }
    }

    /// The upstream; `None` if the request is at another box.
    pub fn upstream(&self) -> Option<&Arc<UpstreamRecord>> {
        match &self.place {
            Place::Upstream(run) => Some(&run.upstream),
            Place::Box(_) => None,
        }
    }

    /// Id of the upstream, or name of the other box.
    pub fn place(&self) -> &Name {
        match &self.place {
            Place::Upstream(run) => &run.upstream.id,
            Place::Box(guard) => guard.helper(),
        }
    }

    /// Sets the connection that carries the request.
    pub fn set_connection(&mut self, connection: Connection) -> &mut Connection {
        self.connection.insert(connection)
    }

    /// The connection that carries the request.
    pub fn connection(&self) -> Option<&Connection> {
        self.connection.as_ref()
    }

    /// Takes the connection that carries the request.
    pub fn take_connection(&mut self) -> Option<Connection> {
        self.connection.take()
    }

    /// Records that the request is being sent.
    pub fn record_sent(&mut self) {
        if let Place::Upstream(run) = &mut self.place {
            run.is_running = true;
            run.sent_at_ms = self.gateway.clock.now_ms();
            run.last_contact_ms = run.sent_at_ms;
            self.gateway
                .record_run_start(&run.upstream.id, run.key.clone());
            if !std::mem::replace(&mut run.uses_path, true) {
                self.gateway.begin_path_use(&run.upstream.id);
            }
        }
    }

    /// Records that data arrived.
    pub fn record_contact(&mut self) {
        if let Place::Upstream(run) = &mut self.place {
            self.gateway.record_contact(&run.upstream.id);
            run.last_contact_ms = self.gateway.clock.now_ms();
            run.record_lasting(&self.gateway);
        }
    }

    /// Records that the upstream does not run the request any more.
    pub fn settle(&mut self) {
        if let Place::Upstream(run) = &mut self.place {
            run.end(&self.gateway, RunEnd::Settled);
        }
    }

    /// Records that the response is not needed, because that of another upstream is relayed. Responses are discarded
    /// often, so their upstreams are not watched for it.
    pub fn discard(&mut self) {
        if let Place::Upstream(run) = &mut self.place {
            run.is_discarded = true;
        }
    }

    /// Records that the complete response arrived. A failure does not clear the request of suspicion, as the upstream
    /// may never have begun to run it.
    pub fn complete(&mut self, is_success: bool) {
        self.judge(false);
        self.settle();
        if let Place::Upstream(run) = &self.place
            && is_success
        {
            self.gateway.record_run_completion(&run.key);
        }
    }

    /// Records that the upstream has prefilled the prompt, as its response has begun.
    pub fn record_prefilled(&mut self) {
        if let Place::Upstream(run) = &mut self.place {
            run.is_prefilled = true;
            run.lasts_from_ms = Some(self.gateway.clock.now_ms() + LASTING_MS);
            let (band, prefilled_ms) = (run.band, run.estimate.prefill_ms);
            self.gateway.with_load(&run.upstream.id, |load, _| {
                load.progress(band, prefilled_ms)
            });
        }
    }

    /// Returns the connection to the pool, after the complete response has been read.
    pub fn release_connection(&mut self, keep_alive_ms: Option<u64>) {
        if let (Some(connection), Some(keep_alive_ms)) = (self.connection.take(), keep_alive_ms) {
            let now_ms = self.gateway.clock.now_ms();
            let channels = match self.place {
                Place::Upstream(_) => &self.gateway.channels,
                Place::Box(_) => &self.gateway.helper_channels,
            };
            channels.keep(self.place(), connection, keep_alive_ms, now_ms);
        }
    }

    /// Records for the upstream's load statistics whether the request failed.
    pub fn record_outcome(&self, failed: bool) {
        if let Place::Upstream(run) = &self.place {
            self.gateway.with_load(&run.upstream.id, |load, now_ms| {
                load.record_outcome(failed, now_ms)
            });
        }
    }

    /// Counts the answer as a good or a failed one of the upstream's version, once.
    pub fn judge(&mut self, failed: bool) {
        if let Place::Upstream(run) = &mut self.place {
            run.judge(&self.gateway, failed);
        }
    }

    /// Records that there is no usable answer, though the connection has not broken.
    pub fn record_missing_answer(&mut self) {
        self.record_outcome(true);
        self.judge(true);
    }

    /// Records that the upstream ended the response early, in order and on an open connection, so that it still runs.
    pub fn record_early_end(&mut self) {
        self.record_missing_answer();
        self.settle();
    }

    /// Records that the connection broke, and probes whether the upstream itself has terminated.
    pub fn record_broken_connection(&mut self) {
        self.record_outcome(true);
        match &mut self.place {
            Place::Upstream(run) => run.lose(&self.gateway),
            Place::Box(guard) => guard.lose(&self.gateway),
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let run = match &mut self.place {
            Place::Upstream(run) => run,
            Place::Box(guard) => return guard.end(&self.gateway),
        };
        // The connection may have broken while a set-aside response was not being read, or just before the caller left.
        if run.is_running && self.connection.as_ref().is_some_and(Connection::is_closed) {
            run.lose(&self.gateway);
        }
        if run.is_running {
            if !run.is_discarded && run.is_overdue(&self.gateway) {
                run.judge(&self.gateway, true);
            }
            run.end(&self.gateway, RunEnd::Cancelled);
            if !run.is_discarded {
                liveness::watch_cancelled(&self.gateway, &run.upstream);
            }
        }
        if run.uses_path {
            self.gateway.end_path_use(&run.upstream.id);
        }
        let remaining_ms = run.remaining_work_ms();
        self.gateway.with_load(&run.upstream.id, |load, _| {
            load.end(run.band, remaining_ms);
        });
    }
}
