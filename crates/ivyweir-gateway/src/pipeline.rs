//! The way of a request: read, route, admit, choose, send, pass on.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response, header};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::cascade::{self, EscalationInput};
use ivyweir_policy::gateway::statement::DeclaredLimit;
use serde_json::json;

use crate::admit::admit;
use crate::answer::AnswerBody;
use crate::attempt::Reply;
use crate::error_response::ErrorReason;
use crate::gather::gather;
use crate::job::Job;
use crate::judge::judge_head;
use crate::log::Trace;
use crate::state::{Active, Gateway};
use crate::stream;
use crate::tries::{Tries, choose, may_repeat, next_reply};

/// Answers a request.
pub async fn handle(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    let active = gateway.begin_request();
    let arrived_ms = gateway.clock.now_ms();
    let (head, body) = request.into_parts();
    let envelope = gateway.dialect.request_metadata(&head.headers);
    let id = envelope.request_id.clone().unwrap_or_else(|| "-".into());
    let mut trace = Trace::new(gateway.log.clone(), id);
    let path = head.uri.path().to_owned();
    let admitted = admit(&gateway, head, body, arrived_ms, &mut trace).await;
    let close = gateway.stopping_for_ms().is_some();
    let (route, answer) = match admitted {
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
            ("-".into(), Err(reason))
        }
    };
    finish(&gateway, &route, arrived_ms, answer, close)
}

/// Counts the answer, and asks the caller for a new connection where this box stops.
fn finish(
    gateway: &Gateway,
    route: &Name,
    arrived_ms: u64,
    answer: Result<Response<AnswerBody>, ErrorReason>,
    close: bool,
) -> Response<AnswerBody> {
    let outcome = match &answer {
        Ok(answer) if answer.status().is_success() => "ok",
        Ok(_) => "upstream_failure",
        Err(reason) => reason.name(),
    };
    let metrics = &gateway.metrics;
    metrics.requests.with_label_values(&[route, outcome]).inc();
    let took_ms = gateway.clock.now_ms().saturating_sub(arrived_ms);
    let latency = metrics.head_latency.with_label_values(&[route]);
    latency.observe(took_ms as f64 / 1_000.0);
    match answer {
        Ok(mut answer) => {
            if close {
                let close = header::HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            answer
        }
        Err(reason) => reason.into_response(close),
    }
}

/// A smaller model's answer that is kept until the larger one's has begun.
struct Kept {
    reply: Reply,
    model: usize,
}

/// What becomes of a reply.
enum Use {
    /// It is the answer.
    Answer,
    /// The job runs again in its place.
    Again,
    /// A larger model is asked, by its place from the smallest.
    Larger(usize),
}

/// Sends an admitted request until there is an answer to pass on.
async fn serve(
    gateway: &Arc<Gateway>,
    job: Arc<Job>,
    mut trace: Trace,
    active: Active,
) -> Result<Response<AnswerBody>, ErrorReason> {
    gateway.count_request(&job.pool);
    let mut tries = Tries::default();
    let mut kept = None;
    let mut has_begun = false;
    loop {
        let reply = match next_reply(gateway, &job, &mut tries, &mut trace).await {
            Ok(reply) => *reply,
            Err(reason) => match kept.take() {
                Some(smaller) => {
                    return Ok(relay_kept(gateway, job, smaller, &tries, trace, active));
                }
                None => {
                    trace.fail(
                        "refused",
                        json!({"reason": reason.name(), "sends": tries.sent}),
                    );
                    return Err(reason);
                }
            },
        };
        if !std::mem::replace(&mut has_begun, true)
            && let Some(workspace) = &job.workspace
        {
            gateway.count_begun(&workspace.name);
        }
        judge_head(gateway, &job, &reply, tries.model);
        match use_of(gateway, &job, &mut tries, &reply, &mut trace) {
            Use::Answer => {}
            Use::Again => continue,
            Use::Larger(larger) => {
                let model = std::mem::replace(&mut tries.model, larger);
                kept = Some(Kept { reply, model });
                continue;
            }
        }
        let is_success = reply.response.status().is_success();
        if !is_success && let Some(smaller) = kept.take() {
            return Ok(relay_kept(gateway, job, smaller, &tries, trace, active));
        }
        if job.route.kind.is_stream() && is_success {
            return Ok(relay(
                gateway,
                job,
                reply,
                tries.model,
                &tries,
                trace,
                active,
            ));
        }
        match gather(gateway, &job, reply, &mut trace).await {
            Ok(answer) => return Ok(answer),
            Err(upstream) => {
                tries.may_have_run = true;
                gateway.until_looked(&upstream).await;
                tries.tried.push(upstream);
                if !may_repeat(gateway, &job, &tries) {
                    trace.fail(
                        "refused",
                        json!({"reason": ErrorReason::ResponseLost.name()}),
                    );
                    return Err(ErrorReason::ResponseLost);
                }
            }
        }
    }
}

/// Passes a stream on.
fn relay(
    gateway: &Arc<Gateway>,
    job: Arc<Job>,
    reply: Reply,
    model: usize,
    tries: &Tries,
    mut trace: Trace,
    active: Active,
) -> Response<AnswerBody> {
    let detail = json!({
        "upstream": reply.lease.upstream.id, "model": model,
        "confidence": reply.marks.confidence, "head_after_ms": reply.head_after_ms,
        "leaving": reply.marks.statement.is_leaving, "limit_per_s": reply.marks.statement.limit.map(DeclaredLimit::requests_per_s),
    });
    trace.step("relaying", detail);
    stream::start(gateway, job, reply, model, tries, trace, active)
}

/// Passes the smaller model's answer on after all: the larger one gave none.
fn relay_kept(
    gateway: &Arc<Gateway>,
    job: Arc<Job>,
    smaller: Kept,
    tries: &Tries,
    mut trace: Trace,
    active: Active,
) -> Response<AnswerBody> {
    trace.step("larger_model_failed", json!({"from": tries.model}));
    let Kept { reply, model } = smaller;
    relay(gateway, job, reply, model, tries, trace, active)
}

/// Whether a reply is used, or what is asked in its place; makes ready for that.
fn use_of(
    gateway: &Gateway,
    job: &Job,
    tries: &mut Tries,
    reply: &Reply,
    trace: &mut Trace,
) -> Use {
    let status = reply.response.status();
    if status.is_server_error() && may_repeat(gateway, job, tries) {
        trace.step("sent_again", json!({"after_status": status.as_u16()}));
        tries.tried.push(reply.lease.upstream.id.clone());
        tries.may_have_run = true;
        return Use::Again;
    }
    let Some(larger) = larger_model(gateway, job, tries, reply) else {
        return Use::Answer;
    };
    let detail = json!({"confidence": reply.marks.confidence, "from": tries.model, "to": larger});
    trace.step("larger_model", detail);
    tries.may_have_run = true;
    Use::Larger(larger)
}

/// The larger model to ask, where the answer's confidence is low and a repeat is left.
fn larger_model(gateway: &Gateway, job: &Job, tries: &Tries, reply: &Reply) -> Option<usize> {
    if !job.chooses_model() || !reply.response.status().is_success() {
        return None;
    }
    let models = job.route.models.len();
    let read_ms = gateway.estimate(job, models.saturating_sub(1)).prefill_ms;
    let late_at_ms = job.arrived_ms + job.route.latency_aim_ms;
    let larger = cascade::escalate(&EscalationInput {
        confidence: reply.marks.confidence,
        floor: gateway.settings.policy.confidence_floor,
        model: tries.model,
        models,
        wait_ms: choose(gateway, job, &[], tries.model).ok()?.mean_work_ms + read_ms,
        remaining_ms: late_at_ms.saturating_sub(gateway.clock.now_ms()) as f64,
    })?;
    may_repeat(gateway, job, tries).then_some(larger)
}
