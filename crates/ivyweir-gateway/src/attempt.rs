//! One attempt of a request at one upstream, up to the head of the response.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use hyper::body::{Body, Incoming};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::answer_end::Framing;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::forecast::Forecast;
use ivyweir_policy::gateway::promise::{ConnectionUse, NotRun, SendLedger};
use ivyweir_policy::gateway::statement::{DeclaredLimit, RetryAfter, Statement};
use ivyweir_policy::gateway::urgency::Band;
use ivyweir_policy::gateway::work::Estimate;
use serde_json::json;
use tokio::time::timeout;

use crate::connection::{self, Connection, SendError, framing, keep_alive_ms};
use crate::dialect::{ForwardMetadata, ResponseMetadata};
use crate::exchange::{ExchangeError, exchange};
use crate::in_flight::{AnswerTerms, InFlightRequest};
use crate::job::Job;
use crate::log::Trace;
use crate::state::{Gateway, Suspicion};

/// Time limit for opening a connection where another box can serve the request instead.
const HANDOVER_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time without data after which an answer that its caller gave up counts as missing, as a multiple of the latency target.
const OVERDUE_FACTOR: u64 = 3;

/// The head of an upstream's response, and what is needed to read its body.
pub struct Reply {
    /// Status, headers and the unread body.
    pub response: Response<Incoming>,
    /// Metadata from the response headers.
    pub metadata: ResponseMetadata,
    /// Guard for the request at the upstream.
    pub in_flight: InFlightRequest,
    /// Time for which the connection may be kept idle afterwards; `None` if it must be closed.
    pub keep_alive_ms: Option<u64>,
    /// How the body shows its end.
    pub framing: Framing,
    /// Time from sending the request to the head of the response.
    pub head_after_ms: u64,
}

/// Outcome of an attempt.
pub enum AttemptOutcome {
    /// The upstream responded.
    Answered(Box<Reply>),
    /// The request did not run: no byte of it was sent, or the upstream rejected it.
    NotRun {
        /// Whether the request reached the upstream.
        arrived: bool,
    },
    /// The request may have run, but there is no usable response.
    Lost,
}

/// Options of an attempt, beyond the job itself.
#[derive(Debug, Clone, Copy)]
pub struct AttemptOptions {
    /// Index of the model, from the smallest.
    pub model: usize,
    /// Id of the event after which the stream resumes.
    pub resume_after: Option<u64>,
    /// Time limit for the head of the response.
    pub head_timeout_ms: u64,
    /// Forecast by which the upstream was chosen, with load control.
    pub forecast: Option<Forecast>,
}

/// Sends a job to an upstream and waits for the head of the response. What becomes of the send is recorded in `ledger`.
pub async fn send(
    gateway: &Arc<Gateway>,
    job: &Job,
    upstream: &Arc<UpstreamRecord>,
    options: AttemptOptions,
    ledger: &mut SendLedger,
    trace: &mut Trace,
) -> AttemptOutcome {
    let estimate = gateway.estimate(job, options.model);
    let band = gateway.urgency(job, estimate).band();
    let mut in_flight = InFlightRequest::new(
        gateway.clone(),
        upstream.clone(),
        estimate,
        band,
        job.run_key(),
        AnswerTerms {
            lane: job.lane(options.model),
            overdue_after_ms: job.route.latency_aim_ms * OVERDUE_FACTOR,
        },
    );
    // The upstream may have closed a pooled connection in the meantime, so a failure to send on one is retried on a new
    // connection. A request whose connection just broke gets a new connection at once: if many upstreams terminate
    // at the same time, a pooled connection may lead to another terminated one, and the request would be suspected of
    // that termination too.
    let mut pooled = if gateway.suspicion(job.identity.request) != Suspicion::None {
        None
    } else {
        let now_ms = gateway.clock.now_ms();
        let request_id = job.metadata.request_id.as_deref();
        gateway.channels.take(&upstream.id, request_id, now_ms)
    };
    loop {
        let is_pooled = pooled.is_some();
        let connection = match pooled.take() {
            Some(connection) => connection,
            None => match connect(gateway, job, upstream, trace).await {
                Some(connection) => connection,
                None => return AttemptOutcome::NotRun { arrived: false },
            },
        };
        if job.is_authenticated && !gateway.may_serve_keys() {
            trace.fail(
                "keys_not_current",
                json!({"proof_age_ms": gateway.proof_age_ms()}),
            );
            return AttemptOutcome::NotRun { arrived: false };
        }
        if let Err(why) = gateway.begin_send(upstream, &job.identity) {
            let detail = json!({"upstream": upstream.id, "why": format!("{why:?}")});
            trace.fail("withheld", detail);
            count_attempt(gateway, job, "withheld");
            return AttemptOutcome::NotRun { arrived: false };
        }
        let forward = forward_metadata(gateway, job, upstream, options, estimate);
        let request = job.upstream_request(&*gateway.dialect, &forward);
        let sent_at_ms = gateway.clock.now_ms();
        ledger.begin();
        in_flight.record_sent();
        if let Some(handed_over) = &job.handed_over {
            handed_over.record_send(&upstream.id);
        }
        gateway.count_workspace_work(job, estimate, sent_at_ms);
        let limit = Duration::from_millis(options.head_timeout_ms);
        let mut replaced = gateway.watch_replacement(&upstream.id);
        let mut path = gateway.watch_path(&upstream.id);
        let exchange = exchange(
            gateway,
            job,
            upstream,
            request,
            connection,
            &mut in_flight,
            trace,
        );
        let result = tokio::select! {
            result = timeout(limit, exchange) => result,
            () = path.hangs(gateway), if job.route.kind.is_repeatable() => {
                trace.fail("path_hangs", json!({"upstream": upstream.id}));
                count_attempt(gateway, job, "lost");
                return AttemptOutcome::Lost;
            }
            () = gateway.until_quarantined(&job.identity) => {
                trace.fail("quarantined_at_upstream", json!({"upstream": upstream.id}));
                count_attempt(gateway, job, "lost");
                return AttemptOutcome::Lost;
            }
            () = replaced.replaced(gateway) => {
                in_flight.record_broken_connection();
                trace.fail("upstream_replaced", json!({"upstream": upstream.id}));
                count_attempt(gateway, job, "lost");
                return AttemptOutcome::Lost;
            }
        };
        match result {
            Ok(Ok((response, metadata))) => {
                let head = Head {
                    response,
                    metadata,
                    connection: last_use(&in_flight),
                    after_ms: gateway.clock.now_ms() - sent_at_ms,
                    forecast: options.forecast,
                    band,
                };
                let rejection = NotRun::Rejected {
                    upstream: upstream.id.clone(),
                    status: head.response.status().as_u16(),
                    connection: head.connection,
                };
                let outcome = classify_response(gateway, job, upstream, in_flight, head, trace);
                if matches!(outcome, AttemptOutcome::NotRun { .. }) {
                    ledger.settle(rejection);
                    gateway.retract_workspace_work(job, estimate, sent_at_ms);
                }
                return outcome;
            }
            Ok(Err(ExchangeError::Send(SendError::NotSent))) if is_pooled => {
                ledger.settle(NotRun::NotWritten);
                in_flight.settle();
                gateway.retract_workspace_work(job, estimate, sent_at_ms);
            }
            Ok(Err(ExchangeError::Send(SendError::NotSent))) => {
                ledger.settle(NotRun::NotWritten);
                in_flight.settle();
                gateway.retract_workspace_work(job, estimate, sent_at_ms);
                gateway.with_load(&upstream.id, |load, now_ms| {
                    load.record_connection_failure(now_ms)
                });
                trace.fail("not_sent", json!({"upstream": upstream.id}));
                count_attempt(gateway, job, "not_sent");
                return AttemptOutcome::NotRun { arrived: false };
            }
            Ok(Err(ExchangeError::Send(SendError::ResponseLost(e)))) => {
                in_flight.record_broken_connection();
                let detail = json!({
                    "upstream": upstream.id, "error": e.to_string(), "kept_connection": is_pooled,
                });
                trace.fail("answer_lost", detail);
                count_attempt(gateway, job, "lost");
                return AttemptOutcome::Lost;
            }
            Ok(Err(ExchangeError::Foreign)) => {
                in_flight.record_missing_answer();
                count_attempt(gateway, job, "spoilt");
                return AttemptOutcome::Lost;
            }
            Err(_) => {
                in_flight.record_missing_answer();
                let detail = json!({"upstream": upstream.id, "waited_ms": options.head_timeout_ms});
                trace.fail("no_head_in_time", detail);
                count_attempt(gateway, job, "late");
                return AttemptOutcome::Lost;
            }
        }
    }
}

/// Opens a connection, or records and logs the failure.
async fn connect(
    gateway: &Arc<Gateway>,
    job: &Job,
    upstream: &UpstreamRecord,
    trace: &mut Trace,
) -> Option<Connection> {
    let limit = if job.may_be_handed_over(gateway) {
        HANDOVER_CONNECT_TIMEOUT
    } else {
        connection::CONNECT_TIMEOUT
    };
    match Connection::open_within(upstream.addr, limit).await {
        Ok(connection) => Some(connection),
        Err(e) => {
            let detail = json!({"upstream": upstream.id, "error": e.to_string()});
            trace.fail("connect_failed", detail);
            // With other boxes, the check of the path finds out whether the upstream terminated.
            if e.kind() == io::ErrorKind::ConnectionRefused && gateway.peers.peer_count() == 0 {
                gateway.record_upstream_termination(upstream);
            }
            gateway.suspect_path(&upstream.id);
            gateway.with_load(&upstream.id, |load, now_ms| {
                load.record_connection_failure(now_ms)
            });
            count_attempt(gateway, job, "connect_failed");
            None
        }
    }
}

/// Head of the answer to a request.
struct Head {
    response: Response<Incoming>,
    metadata: ResponseMetadata,
    /// The connection on which it came.
    connection: ConnectionUse,
    /// Time from sending the request to the head.
    after_ms: u64,
    /// Forecast of this time.
    forecast: Option<Forecast>,
    /// Band of the request.
    band: Band,
}

fn last_use(in_flight: &InFlightRequest) -> ConnectionUse {
    let connection = in_flight.connection();
    connection.map_or_else(ConnectionUse::default, Connection::last_use)
}

/// Records the head of the answer to a request and decides whether the answer is usable.
fn classify_response(
    gateway: &Arc<Gateway>,
    job: &Job,
    record: &UpstreamRecord,
    mut in_flight: InFlightRequest,
    head: Head,
    trace: &mut Trace,
) -> AttemptOutcome {
    let Head {
        response,
        metadata,
        connection,
        after_ms: head_after_ms,
        forecast,
        band,
    } = head;
    let status = response.status().as_u16();
    gateway.note_unread_headers(&record.id, response.headers());
    let keep_alive_ms = keep_alive_ms(response.headers());
    let framing = framing(&response);
    in_flight.record_contact();
    in_flight.record_prefilled();
    let upstream: &Name = &record.id;
    let is_genuine = !metadata.not_run && (metadata.is_signed || !response.status().is_success());
    let statement = Statement {
        response_time_ms: is_genuine.then_some(head_after_ms),
        ..metadata.statement
    };
    let detail = json!({
        "upstream": upstream, "status": status, "leaving": statement.is_leaving,
        "retry_after": statement.retry_after.map(|s| format!("{s:?}")),
        "limit_per_s": statement.limit.map(DeclaredLimit::requests_per_s),
        "load": statement.load.map(|l| [l.running, l.waiting]),
        "local_port": connection.local_port, "requests_on_connection": connection.requests,
    });
    if metadata.is_other_incarnation {
        trace.fail("other_incarnation", detail);
        in_flight.settle();
        // An upstream also rejects a model that it does not have, in the same way.
        if !job.names_own_model() {
            gateway.mark_upstream_left(upstream);
        }
        count_attempt(gateway, job, "other_incarnation");
        return AttemptOutcome::NotRun { arrived: true };
    }
    // Recorded before the response is examined: the upstream's statement holds even if the response is discarded.
    gateway.apply_statement(upstream, &statement);
    count_statement(gateway, job, &statement);
    if let Some(load) = statement.load {
        gateway.record_room_load(&job.pool, upstream, load);
    }
    if metadata.not_run {
        trace.fail("upstream_refused", detail);
        let slots = record.slots;
        gateway.record_rejection(upstream);
        gateway.record_room_refusal(&job.pool, upstream, statement.load, slots);
        in_flight.settle();
        in_flight.record_outcome(true);
        if response.body().is_end_stream() {
            in_flight.release_connection(keep_alive_ms);
        }
        count_attempt(gateway, job, "refused");
        return AttemptOutcome::NotRun { arrived: true };
    }
    if !is_genuine {
        trace.fail("not_our_answer", detail);
        in_flight.record_missing_answer();
        count_attempt(gateway, job, "spoilt");
        return AttemptOutcome::Lost;
    }
    gateway.record_room_answer(&job.pool, head_after_ms);
    count_attempt(gateway, job, "answered");
    if let Some(forecast) = forecast.filter(|_| response.status().is_success()) {
        gateway.record_forecast(record, band, &forecast, head_after_ms);
    }
    AttemptOutcome::Answered(Box::new(Reply {
        response,
        metadata,
        in_flight,
        keep_alive_ms,
        framing,
        head_after_ms,
    }))
}

/// Builds the metadata that the gateway adds for this upstream.
fn forward_metadata<'a>(
    gateway: &Gateway,
    job: &'a Job,
    upstream: &'a UpstreamRecord,
    options: AttemptOptions,
    estimate: Estimate,
) -> ForwardMetadata<'a> {
    let left_ms = job.deadline_ms.saturating_sub(gateway.clock.now_ms());
    ForwardMetadata {
        upstream_name: upstream.name(),
        budget_ms: left_ms.max(1),
        workspace: job.workspace.as_ref().map(|w| &*w.name),
        model: job
            .chooses_model()
            .then(|| &*job.route.models[options.model]),
        resume_after: options.resume_after,
        urgency: (job.route.kind.is_stream() && gateway.settings.policy.rank_prompts)
            .then(|| gateway.urgency(job, estimate).level()),
    }
}

/// Counts the statements of an upstream other than its load.
fn count_statement(gateway: &Gateway, job: &Job, statement: &Statement) {
    let count = |label: &str| {
        let statements = &gateway.metrics.upstream_statements;
        statements.with_label_values(&[&*job.pool, label]).inc();
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

fn count_attempt(gateway: &Gateway, job: &Job, outcome: &str) {
    let sends = &gateway.metrics.sends;
    sends.with_label_values(&[&*job.pool, outcome]).inc();
}
