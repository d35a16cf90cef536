//! One send of a request to one upstream, up to the head of its answer.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::{HeaderMap, Response, header};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::quarantine::{RunEnd, RunKey};
use ivyweir_policy::gateway::statement::{DeclaredLimit, RetryAfter, Statement};
use ivyweir_policy::gateway::work::Estimate;
use serde_json::json;
use tokio::time::timeout;

use crate::channel::{Channel, SendError, keep_time_ms};
use crate::dialect::{ForwardMetadata, ResponseMetadata};
use crate::ends;
use crate::job::Job;
use crate::log::Trace;
use crate::state::{Gateway, Suspicion};

/// Counts a request at an upstream while it lives, and holds its connection.
pub struct Lease {
    gateway: Arc<Gateway>,
    /// The upstream.
    pub upstream: Arc<UpstreamRecord>,
    channel: Option<Channel>,
    estimate: Estimate,
    is_read: bool,
    key: RunKey,
    /// Whether the request was sent, and has not been settled since.
    is_running: bool,
}

impl Lease {
    fn new(
        gateway: Arc<Gateway>,
        upstream: Arc<UpstreamRecord>,
        estimate: Estimate,
        key: RunKey,
    ) -> Self {
        gateway.with_load(&upstream.id, |load, _| load.begin(estimate.total_ms()));
        Self {
            gateway,
            upstream,
            channel: None,
            estimate,
            is_read: false,
            key,
            is_running: false,
        }
    }

    /// Takes in that the request is sent now.
    fn begin(&mut self) {
        self.is_running = true;
        self.gateway.run_began(&self.upstream.id, self.key);
    }

    /// Takes in that the upstream has nothing more to do with the request.
    pub fn settle(&mut self) {
        self.leave(RunEnd::Settled);
    }

    /// Takes in that the whole answer came. A failure clears nothing: it may come from an upstream that
    /// never began.
    pub fn complete(&mut self, is_success: bool) {
        self.settle();
        if is_success {
            self.gateway.run_completed(self.key.fingerprint);
        }
    }

    fn leave(&mut self, how: RunEnd) {
        if std::mem::take(&mut self.is_running) {
            let id = &self.upstream.id;
            self.gateway.run_left(id, self.key, how);
        }
    }

    /// Takes in that the upstream has read the request: its answer has begun.
    fn read(&mut self) {
        self.is_read = true;
        let done_ms = self.estimate.prefill_ms;
        let id = &self.upstream.id;
        self.gateway.with_load(id, |load, _| load.progress(done_ms));
    }

    fn work_left_ms(&self) -> f64 {
        if self.is_read {
            self.estimate.decode_ms
        } else {
            self.estimate.total_ms()
        }
    }

    /// Keeps the connection for later: the whole answer was read.
    pub fn keep_channel(&mut self, keep_ms: Option<u64>) {
        if let (Some(channel), Some(keep_ms)) = (self.channel.take(), keep_ms) {
            let now_ms = self.gateway.clock.now_ms();
            let channels = &self.gateway.channels;
            channels.keep(&self.upstream.id, channel, keep_ms, now_ms);
        }
    }

    /// Takes in how the answer ended.
    pub fn outcome(&self, failed: bool) {
        let id = &self.upstream.id;
        self.gateway
            .with_load(id, |load, now_ms| load.record_outcome(failed, now_ms));
    }

    /// Takes in that the connection broke, and finds out whether the upstream itself ended.
    pub fn broke(&mut self) {
        self.outcome(true);
        self.leave(RunEnd::ConnectionLost);
        self.gateway.run_broke(self.key.fingerprint);
        ends::look(&self.gateway, &self.upstream);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        // An answer that was put aside may have broken off unread.
        if self.is_running && self.channel.as_ref().is_some_and(Channel::is_closed) {
            ends::look(&self.gateway, &self.upstream);
            self.leave(RunEnd::ConnectionLost);
        }
        self.leave(RunEnd::Cancelled);
        let left_ms = self.work_left_ms();
        self.gateway
            .with_load(&self.upstream.id, |load, _| load.end(left_ms));
    }
}

/// The head of an answer and the way to the rest.
pub struct Reply {
    /// Status, headers and the body to come.
    pub response: Response<Incoming>,
    /// What the upstream says of it.
    pub marks: ResponseMetadata,
    /// The upstream and its connection.
    pub lease: Lease,
    /// How long its connection may be kept afterwards.
    pub keep_ms: Option<u64>,
    /// Whether its end is told by more than the end of the connection.
    pub is_framed: bool,
    /// Time from sending the request to the head of its answer.
    pub head_after_ms: u64,
}

/// What became of a send.
pub enum Sent {
    /// The upstream took the request and answers.
    Answered(Box<Reply>),
    /// No byte left, or the upstream says that the request does not run.
    NotRun {
        /// Whether the request reached the upstream.
        arrived: bool,
    },
    /// It may have run; there is no answer to use.
    Lost,
}

/// What is sent, beyond the job itself.
#[derive(Debug, Clone, Copy)]
pub struct Sending {
    /// The model, by its place from the smallest.
    pub model: usize,
    /// The event behind which the stream goes on.
    pub resume_after: Option<u64>,
    /// Longest wait for the head of the answer.
    pub wait_ms: u64,
}

/// Sends a job to an upstream.
pub async fn send(
    gateway: &Arc<Gateway>,
    job: &Job,
    upstream: &Arc<UpstreamRecord>,
    sending: Sending,
    trace: &mut Trace,
) -> Sent {
    let estimate = gateway.estimate(job, sending.model);
    let mut lease = Lease::new(gateway.clone(), upstream.clone(), estimate, job.run_key());
    // A kept connection may have been closed by the upstream meanwhile; a fresh one cannot.
    // Nor is one used for a request whose connection just broke: where many upstreams end at a moment it would be
    // sent into a connection to another one that has ended, and taken to have been there.
    let mut kept = if gateway.suspicion(job.fingerprint) != Suspicion::None {
        None
    } else {
        let now_ms = gateway.clock.now_ms();
        gateway.channels.take(&upstream.id, now_ms)
    };
    loop {
        let is_kept = kept.is_some();
        let mut channel = match kept.take() {
            Some(channel) => channel,
            None => match connect(gateway, job, upstream, trace).await {
                Some(channel) => channel,
                None => return Sent::NotRun { arrived: false },
            },
        };
        if job.is_keyed && !gateway.may_serve_keys() {
            trace.fail(
                "keys_not_current",
                json!({"proof_age_ms": gateway.proof_age_ms()}),
            );
            return Sent::NotRun { arrived: false };
        }
        if let Err(why) = gateway.begin_send(upstream, job.fingerprint) {
            let detail = json!({"upstream": upstream.id, "why": format!("{why:?}")});
            trace.fail("withheld", detail);
            count(gateway, job, "withheld");
            return Sent::NotRun { arrived: false };
        }
        let forward = forward(gateway, job, upstream, sending, estimate);
        let request = job.request(&*gateway.dialect, &forward);
        let sent_at_ms = gateway.clock.now_ms();
        lease.begin();
        let limit = Duration::from_millis(sending.wait_ms);
        let mut replaced = gateway.watch_replaced(&upstream.id);
        let answer = tokio::select! {
            answer = timeout(limit, channel.send(request)) => answer,
            () = replaced.replaced(gateway) => {
                lease.broke();
                trace.fail("upstream_replaced", json!({"upstream": upstream.id}));
                count(gateway, job, "lost");
                return Sent::Lost;
            }
        };
        match answer {
            Ok(Ok(response)) => {
                lease.channel = Some(channel);
                let head_after_ms = gateway.clock.now_ms() - sent_at_ms;
                return answered(gateway, job, lease, response, head_after_ms, trace);
            }
            Ok(Err(SendError::NotSent)) if is_kept => lease.settle(),
            Ok(Err(SendError::NotSent)) => {
                lease.settle();
                gateway.with_load(&upstream.id, |load, now_ms| {
                    load.record_connection_failure(now_ms)
                });
                trace.fail("not_sent", json!({"upstream": upstream.id}));
                count(gateway, job, "not_sent");
                return Sent::NotRun { arrived: false };
            }
            Ok(Err(SendError::Lost(e))) => {
                lease.broke();
                let detail = json!({
                    "upstream": upstream.id, "error": e.to_string(), "kept_connection": is_kept,
                });
                trace.fail("answer_lost", detail);
                count(gateway, job, "lost");
                return Sent::Lost;
            }
            Err(_) => {
                lease.outcome(true);
                let detail = json!({"upstream": upstream.id, "waited_ms": sending.wait_ms});
                trace.fail("no_head_in_time", detail);
                count(gateway, job, "late");
                return Sent::Lost;
            }
        }
    }
}

/// Opens a connection, or takes in that there is none.
async fn connect(
    gateway: &Gateway,
    job: &Job,
    upstream: &UpstreamRecord,
    trace: &mut Trace,
) -> Option<Channel> {
    match Channel::open(upstream.addr).await {
        Ok(channel) => Some(channel),
        Err(e) => {
            let detail = json!({"upstream": upstream.id, "error": e.to_string()});
            trace.fail("connect_failed", detail);
            if e.kind() == io::ErrorKind::ConnectionRefused {
                gateway.upstream_ended(upstream);
            }
            gateway.with_load(&upstream.id, |load, now_ms| {
                load.record_connection_failure(now_ms)
            });
            count(gateway, job, "connect_failed");
            None
        }
    }
}

/// Takes in the head of an answer; tells whether the answer is to be used.
fn answered(
    gateway: &Arc<Gateway>,
    job: &Job,
    mut lease: Lease,
    response: Response<Incoming>,
    head_after_ms: u64,
    trace: &mut Trace,
) -> Sent {
    let status = response.status().as_u16();
    gateway.note_unread(&lease.upstream.id, response.headers());
    let marks = gateway
        .dialect
        .response_metadata(status, response.headers());
    let keep_ms = keep_time_ms(response.headers());
    let is_framed = is_framed(response.headers());
    lease.read();
    let upstream: &Name = &lease.upstream.id.clone();
    let is_own = !marks.not_run && belongs(job, &marks, status);
    let statement = Statement {
        response_time_ms: is_own.then_some(head_after_ms),
        ..marks.statement
    };
    let detail = json!({
        "upstream": upstream, "status": status, "leaving": statement.is_leaving,
        "retry_after": statement.retry_after.map(|s| format!("{s:?}")),
        "limit_per_s": statement.limit.map(DeclaredLimit::requests_per_s),
        "load": statement.load.map(|l| [l.running, l.waiting]),
    });
    if marks.is_other_incarnation {
        trace.fail("other_incarnation", detail);
        lease.settle();
        gateway.upstream_left(upstream);
        count(gateway, job, "other_incarnation");
        return Sent::NotRun { arrived: true };
    }
    // Before anything is made of the answer: whatever becomes of it, its upstream has spoken.
    gateway.hear(upstream, &statement);
    count_statement(gateway, job, &statement);
    if marks.not_run {
        trace.fail("upstream_refused", detail);
        lease.settle();
        lease.outcome(true);
        if response.body().is_end_stream() {
            lease.keep_channel(keep_ms);
        }
        count(gateway, job, "refused");
        return Sent::NotRun { arrived: true };
    }
    if !is_own {
        trace.fail("not_our_answer", detail);
        lease.outcome(true);
        count(gateway, job, "spoilt");
        return Sent::Lost;
    }
    count(gateway, job, "answered");
    Sent::Answered(Box::new(Reply {
        response,
        marks,
        lease,
        keep_ms,
        is_framed,
        head_after_ms,
    }))
}

/// Whether an answer's end is told by its length or its last chunk.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Whether an answer is the upstream's own to this request.
fn belongs(job: &Job, marks: &ResponseMetadata, status: u16) -> bool {
    let is_success = (200..300).contains(&status);
    marks.request_id == job.envelope.request_id && (marks.is_signed || !is_success)
}

/// What the system says to this upstream.
fn forward<'a>(
    gateway: &Gateway,
    job: &'a Job,
    upstream: &'a UpstreamRecord,
    sending: Sending,
    estimate: Estimate,
) -> ForwardMetadata<'a> {
    let left_ms = job.deadline_ms.saturating_sub(gateway.clock.now_ms());
    ForwardMetadata {
        upstream_name: upstream.name(),
        budget_ms: left_ms.max(1),
        workspace: job.workspace.as_ref().map(|w| &*w.name),
        model: job
            .chooses_model()
            .then(|| &*job.route.models[sending.model]),
        resume_after: sending.resume_after,
        urgency: (job.route.kind.is_stream() && gateway.settings.policy.rank_prompts)
            .then(|| estimate.rank()),
    }
}

/// Counts what an upstream says of itself, beyond its load.
fn count_statement(gateway: &Gateway, job: &Job, statement: &Statement) {
    let count = |says: &str| {
        let statements = &gateway.metrics.upstream_statements;
        statements.with_label_values(&[&*job.pool, says]).inc();
    };
    if statement.is_leaving {
        count("leaving");
    }
    match statement.retry_after {
        Some(RetryAfter::ForMs(_)) => count("retry_after"),
        Some(RetryAfter::Unreadable) => count("retry_after_unreadable"),
        None => {}
    }
    match statement.limit {
        Some(DeclaredLimit::Per1000S(_)) => count("limit"),
        Some(DeclaredLimit::Unreadable) => count("limit_unreadable"),
        Some(DeclaredLimit::Ended) | None => {}
    }
}

fn count(gateway: &Gateway, job: &Job, outcome: &str) {
    let sends = &gateway.metrics.sends;
    sends.with_label_values(&[&*job.pool, outcome]).inc();
}
