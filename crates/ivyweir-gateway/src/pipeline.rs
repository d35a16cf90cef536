//! The request pipeline: read, route, admit, choose an upstream, send, relay the response.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response, header};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::promise::{NotRun, SendLedger};
use ivyweir_policy::gateway::statement::DeclaredLimit;
use serde_json::json;

use crate::admit::admit;
use crate::attempt::Reply;
use crate::buffer::buffer_response;
use crate::canary::record_head;
use crate::error_response::ErrorReason;
use crate::job::Job;
use crate::larger_model::{count_relayed, escalation_target};
use crate::log::Trace;
use crate::promise::{self, Recipient, is_promise};
use crate::response::{ResponseBody, hold_until_read};
use crate::retry::{RetryState, next_reply, take_retry};
use crate::state::{ActiveRequest, Gateway};
use crate::stream;

/// Handles a request of a caller.
pub async fn handle(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<ResponseBody> {
    let active = gateway.begin_request();
    let arrived_ms = gateway.clock.now_ms();
    let (head, body) = request.into_parts();
    let metadata = gateway.dialect.request_metadata(&head.headers);
    let id = metadata.request_id.clone().unwrap_or_else(|| "-".into());
    let mut trace = Trace::new(gateway.log.clone(), id);
    let path = head.uri.path().to_owned();
    let to = Recipient::of(head.extensions.get());
    let admitted = admit(&gateway, head, body, arrived_ms, &mut trace).await;
    let (route, response) = match admitted {
        Ok(job) => {
            let route = job.route.name.clone();
            (route, serve(&gateway, Arc::new(job), trace, active).await)
        }
        Err(reason) => {
            let site = gateway.site();
            let detail = json!({
                "reason": reason.name(), "path": path, "proof_age_ms": gateway.proof_age_ms(),
                "site_version": site.map(|site| site.site().version),
            });
            trace.fail("refused", detail);
            let no_sends = SendLedger::default();
            promise::record(&gateway, &no_sends, reason.status(), to, &mut trace);
            ("-".into(), Err(reason))
        }
    };
    finish(&gateway, &route, arrived_ms, response)
}

/// Records the metrics of a response, and closes the caller's connection after it if this box is stopping.
fn finish(
    gateway: &Gateway,
    route: &Name,
    arrived_ms: u64,
    response: Result<Response<ResponseBody>, ErrorReason>,
) -> Response<ResponseBody> {
    let close = gateway.stopping_for_ms().is_some();
    let outcome = match &response {
        Ok(response) if response.status().is_success() => "ok",
        Ok(_) => "upstream_failure",
        Err(reason) => reason.name(),
    };
    let metrics = &gateway.metrics;
    metrics.requests.with_label_values(&[route, outcome]).inc();
    let took_ms = gateway.clock.now_ms().saturating_sub(arrived_ms);
    let latency = metrics.head_latency.with_label_values(&[route]);
    latency.observe(took_ms as f64 / 1_000.0);
    match response {
        Ok(mut response) => {
            if close {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        }
        Err(reason) => reason.into_response(close),
    }
}

/// Response of a smaller model, held until the response of the larger one has begun.
struct FallbackReply {
    reply: Reply,
    model: usize,
}

/// What to do with a reply.
enum ReplyAction {
    /// Relay it to the caller.
    Relay,
    /// Discard it and send the job to another upstream.
    Retry,
    /// Ask the larger model with this index, from the smallest.
    Escalate(usize),
}

/// The answer to a request.
enum Answer {
    /// A stream, whose body is still to be read.
    Stream { reply: Box<Reply>, model: usize },
    /// A response that has been read completely.
    Whole(Response<ResponseBody>),
}

/// Serves an admitted request. No refusal promises more than what became of the sends allows.
async fn serve(
    gateway: &Arc<Gateway>,
    job: Arc<Job>,
    mut trace: Trace,
    active: ActiveRequest,
) -> Result<Response<ResponseBody>, ErrorReason> {
    let mut state = RetryState::new(&job);
    let to = Recipient::of(job.handed_over.as_ref());
    let answered = tokio::select! {
        biased;
        answered = answer(gateway, &job, &mut state, &mut trace) => answered,
        // The connection would be cut at the end of the process.
        () = gateway.until_last_answers() => Err(ErrorReason::Stopping),
    };
    match answered {
        Ok(Answer::Stream { reply, model }) => {
            Ok(relay(gateway, job, *reply, model, &state, trace, active))
        }
        Ok(Answer::Whole(response)) => {
            promise::record(gateway, &state.ledger, response.status(), to, &mut trace);
            Ok(response.map(|body| hold_until_read(body, active)))
        }
        Err(reason) => {
            let reason = promise::told_reason(reason, &state.ledger);
            if let Some(handed_over) = &job.handed_over {
                handed_over.record_refusal(&job, &state.sends);
            }
            trace.fail("refused", state.refusal_detail(reason));
            promise::record(gateway, &state.ledger, reason.status(), to, &mut trace);
            Err(reason)
        }
    }
}

/// Sends an admitted request to upstreams until there is an answer.
async fn answer(
    gateway: &Arc<Gateway>,
    job: &Arc<Job>,
    state: &mut RetryState,
    trace: &mut Trace,
) -> Result<Answer, ErrorReason> {
    let mut fallback = None;
    let mut has_response = false;
    loop {
        let mut reply = match next_reply(gateway, job, state, trace).await {
            Ok(reply) => *reply,
            Err(reason) => {
                let smaller = fallback.take().ok_or(reason)?;
                return Ok(fall_back(smaller, state, trace));
            }
        };
        let is_at_upstream = reply.in_flight.upstream().is_some();
        if is_at_upstream
            && !std::mem::replace(&mut has_response, true)
            && let Some(workspace) = &job.workspace
        {
            gateway.count_usage(&workspace.name);
        }
        record_head(gateway, job, &mut reply, state.model);
        match reply_action(gateway, job, state, &reply, trace) {
            ReplyAction::Relay => {}
            ReplyAction::Retry => {
                reply.in_flight.discard();
                continue;
            }
            ReplyAction::Escalate(larger) => {
                let model = std::mem::replace(&mut state.model, larger);
                fallback = Some(FallbackReply { reply, model });
                continue;
            }
        }
        let status = reply.response.status();
        if !status.is_success()
            && let Some(smaller) = fallback.take()
        {
            return Ok(fall_back(smaller, state, trace));
        }
        if !is_at_upstream && is_promise(status) {
            state.ledger.settle(NotRun::Declined {
                name: reply.in_flight.place().clone(),
            });
            // The other box did not run the request, but an upstream may have run it before.
            if state.may_have_run() {
                return Err(ErrorReason::ResponseLost);
            }
        }
        if let Some(smaller) = &mut fallback {
            smaller.reply.in_flight.discard();
        }
        if job.route.kind.is_stream() && status.is_success() {
            return Ok(Answer::Stream {
                reply: Box::new(reply),
                model: state.model,
            });
        }
        count_relayed(gateway, job, state.model, &reply);
        match buffer_response(gateway, job, reply, trace).await {
            Ok(response) => return Ok(Answer::Whole(response)),
            Err(upstream) => {
                gateway.wait_for_termination_check(&upstream).await;
                state.tried.push(upstream);
                if !take_retry(gateway, job, state) {
                    return Err(ErrorReason::ResponseLost);
                }
            }
        }
    }
}

/// Relays a stream.
fn relay(
    gateway: &Arc<Gateway>,
    job: Arc<Job>,
    reply: Reply,
    model: usize,
    state: &RetryState,
    mut trace: Trace,
    active: ActiveRequest,
) -> Response<ResponseBody> {
    let detail = json!({
        "upstream": reply.in_flight.place(), "model": model,
        "confidence": reply.metadata.confidence, "head_after_ms": reply.head_after_ms,
        "leaving": reply.metadata.statement.is_leaving, "limit_per_s": reply.metadata.statement.limit.map(DeclaredLimit::requests_per_s),
    });
    trace.step("relaying", detail);
    count_relayed(gateway, &job, model, &reply);
    stream::start(gateway, job, reply, model, state, trace, active)
}

/// Returns the response of the smaller model, because the larger one failed.
fn fall_back(smaller: FallbackReply, state: &RetryState, trace: &mut Trace) -> Answer {
    trace.step("larger_model_failed", json!({"from": state.model}));
    Answer::Stream {
        reply: Box::new(smaller.reply),
        model: smaller.model,
    }
}

/// Decides what to do with a reply, and updates `state` for the next attempt.
fn reply_action(
    gateway: &Gateway,
    job: &Job,
    state: &mut RetryState,
    reply: &Reply,
    trace: &mut Trace,
) -> ReplyAction {
    let status = reply.response.status();
    let is_at_box = reply.in_flight.upstream().is_none();
    // Another box that says so has found that no upstream runs the request.
    let is_refused = is_at_box && is_promise(status);
    if status.is_server_error() && !is_refused && take_retry(gateway, job, state) {
        trace.step("sent_again", json!({"after_status": status.as_u16()}));
        state.tried.push(reply.in_flight.place().clone());
        return ReplyAction::Retry;
    }
    if is_at_box {
        return ReplyAction::Relay;
    }
    let is_model_given = job.handed_over.as_ref().is_some_and(|h| h.model.is_some());
    if is_model_given {
        return ReplyAction::Relay;
    }
    let Some(larger) = escalation_target(gateway, job, state, reply, trace) else {
        return ReplyAction::Relay;
    };
    ReplyAction::Escalate(larger)
}
