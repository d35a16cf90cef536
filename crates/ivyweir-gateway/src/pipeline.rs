//! The way of a request: read, route, admit, choose, send, pass on.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response, header};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::cascade::{self, Doubt};
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::site::{Access, SiteIndex};
use ivyweir_policy::gateway::verdict::Evidence;
use serde_json::json;
use tokio::time::timeout;

use crate::attempt::{self, Reply, Sending, Sent};
use crate::job::{self, Job, strip_hop_by_hop};
use crate::log::Trace;
use crate::refusal::{AnswerBody, Reason, whole};
use crate::state::{Active, Choice, Gateway, Scope};
use crate::stream;

/// Time for a body to arrive where the caller names none.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest body before a configuration tells the limit.
const BODY_DEFAULT_BYTES: usize = 1 << 20;
/// Largest answer that is gathered before it is passed on.
const WHOLE_ANSWER_BYTES: usize = 4 << 20;
/// Upstreams that could not be reached, after which a request is refused.
const MAX_UNREACHED: u32 = 4;
/// Time after the order to stop in which the balancer may still send work here.
pub const STOP_NOTICE_MS: u64 = 2_400;
/// How many times the latency aim one send of a safe request may take while another is left.
const SAFE_WAIT_AIMS: u64 = 4;

/// Answers a request.
pub async fn handle(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    let active = gateway.begin_request();
    let arrived_ms = gateway.clock.now_ms();
    let (head, body) = request.into_parts();
    let envelope = gateway.dialect.envelope(&head.headers);
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

fn finish(
    gateway: &Gateway,
    route: &Name,
    arrived_ms: u64,
    answer: Result<Response<AnswerBody>, Reason>,
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
        Err(reason) => reason.into_answer(close),
    }
}

/// Reads a request and finds out whether and how it is served.
async fn admit(
    gateway: &Arc<Gateway>,
    head: Parts,
    body: Incoming,
    arrived_ms: u64,
    trace: &mut Trace,
) -> Result<Job, Reason> {
    let site = gateway.site();
    // The body is read before any answer: a connection with unread bytes is reset when it closes.
    let body = read_body(body, site.as_deref()).await?;
    if gateway
        .stopping_for_ms()
        .is_some_and(|ms| ms > STOP_NOTICE_MS)
    {
        return Err(Reason::Stopping);
    }
    let site = site.ok_or(Reason::NotCurrent)?;
    if !gateway.is_synced() {
        return Err(Reason::NotCurrent);
    }
    let deny = |reason| {
        if gateway.may_deny() {
            reason
        } else {
            Reason::NotCurrent
        }
    };
    let host = host_of(&head).ok_or(Reason::BadRequest)?;
    let route = site
        .route(host, head.uri.path())
        .ok_or_else(|| deny(Reason::NoRoute))?
        .clone();
    let envelope = gateway.dialect.envelope(&head.headers);
    let workspace = match site.access(&route, envelope.key.as_deref()) {
        Access::Anonymous => None,
        Access::Workspace(workspace) => Some(workspace),
        Access::Denied => return Err(deny(Reason::NoAccess)),
    };
    if workspace.is_some() && !gateway.keys_are_current() {
        return Err(Reason::NotCurrent);
    }
    let seed = job::seed_of(&envelope);
    let pool = route.pool(seed).ok_or(Reason::NoUpstream)?.clone();
    let side = gateway.side(&pool, envelope.session, seed);
    let budget_ms = envelope.budget_ms.unwrap_or(route.timeout_ms);
    let deadline_ms = arrived_ms + budget_ms.min(route.timeout_ms);
    trace.step(
        "admitted",
        json!({
            "route": route.name, "pool": pool, "site_version": site.site().version,
            "proof_age_ms": gateway.proof_age_ms(), "budget_ms": budget_ms,
            "side": side.map(|s| format!("{s:?}")),
        }),
    );
    Ok(Job {
        head: job::passed_on(head, &*gateway.dialect),
        body,
        is_keyed: workspace.is_some(),
        envelope,
        route,
        pool,
        workspace,
        arrived_ms,
        deadline_ms,
        side,
        seed,
    })
}

async fn read_body(body: Incoming, site: Option<&SiteIndex>) -> Result<Bytes, Reason> {
    let limits = site.and_then(|site| site.site().limits);
    let max_bytes = limits.map_or(BODY_DEFAULT_BYTES, |l| l.max_body_bytes);
    let gathered = timeout(BODY_TIMEOUT, Limited::new(body, max_bytes).collect()).await;
    match gathered {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(Reason::TooLarge),
        Ok(Err(_)) => Err(Reason::BadRequest),
        Err(_) => Err(Reason::BodyLate),
    }
}

fn host_of(head: &Parts) -> Option<&str> {
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|value| value.to_str().ok());
    let host = host.or_else(|| head.uri.authority().map(|a| a.as_str()))?;
    Some(host.split(':').next().unwrap_or(host))
}

/// The tries of one request.
struct Tries {
    tried: Vec<Name>,
    /// Upstreams that were sent the request.
    sent: u32,
    unreached: u32,
    /// Whether an upstream may have run it.
    may_have_run: bool,
    model: usize,
}

async fn serve(
    gateway: &Arc<Gateway>,
    job: Arc<Job>,
    mut trace: Trace,
    active: Active,
) -> Result<Response<AnswerBody>, Reason> {
    gateway.count_request(&job.pool);
    let mut tries = Tries {
        tried: Vec::new(),
        sent: 0,
        unreached: 0,
        may_have_run: false,
        model: 0,
    };
    loop {
        let reply = match next_reply(gateway, &job, &mut tries, &mut trace).await {
            Ok(reply) => reply,
            Err(reason) => {
                trace.fail(
                    "refused",
                    json!({"reason": reason.name(), "sends": tries.sent}),
                );
                return Err(reason);
            }
        };
        let status = reply.response.status();
        judge(gateway, &job, &reply, tries.model);
        if status.is_server_error() && may_repeat(gateway, &job, &tries) {
            trace.step("sent_again", json!({"after_status": status.as_u16()}));
            tries.tried.push(reply.lease.upstream.id.clone());
            tries.may_have_run = true;
            continue;
        }
        if let Some(larger) = larger_model(gateway, &job, &tries, &reply) {
            let detail =
                json!({"confidence": reply.marks.confidence, "from": tries.model, "to": larger});
            trace.step("larger_model", detail);
            tries.model = larger;
            tries.may_have_run = true;
            continue;
        }
        if job.route.kind.is_stream() && status.is_success() {
            trace.step(
                "relaying",
                json!({"upstream": reply.lease.upstream.id, "model": tries.model}),
            );
            return Ok(stream::start(
                gateway,
                job,
                *reply,
                tries.model,
                tries.sent,
                trace,
                active,
            ));
        }
        match gather(&job, gateway, *reply, &mut trace).await {
            Ok(answer) => return Ok(answer),
            Err(upstream) => {
                tries.may_have_run = true;
                tries.tried.push(upstream);
                if !may_repeat(gateway, &job, &tries) {
                    trace.fail("refused", json!({"reason": Reason::AnswerLost.name()}));
                    return Err(Reason::AnswerLost);
                }
            }
        }
    }
}

/// Sends until an upstream answers.
async fn next_reply(
    gateway: &Arc<Gateway>,
    job: &Job,
    tries: &mut Tries,
    trace: &mut Trace,
) -> Result<Box<Reply>, Reason> {
    loop {
        let now_ms = gateway.clock.now_ms();
        if now_ms >= job.deadline_ms {
            return Err(gave_up(tries, Reason::LateNotRun, Reason::Late));
        }
        let Some(choice) = choose(gateway, job, &tries.tried, tries.model) else {
            return Err(gave_up(tries, Reason::NoUpstream, Reason::AnswerLost));
        };
        trace.step(
            "chosen",
            json!({
                "upstream": choice.upstream.id, "version": choice.upstream.version,
                "hall": choice.upstream.hall, "mean_work_ms": choice.mean_work_ms,
                "candidates": choice.candidates, "model": tries.model,
            }),
        );
        let sending = Sending {
            model: tries.model,
            resume_after: None,
            wait_ms: wait_ms(job, tries, now_ms),
        };
        match attempt::send(gateway, job, &choice.upstream, sending, trace).await {
            Sent::Answered(reply) => {
                tries.sent += 1;
                return Ok(reply);
            }
            Sent::NotRun { arrived: false } => {
                tries.unreached += 1;
                tries.tried.push(choice.upstream.id.clone());
                if tries.unreached >= MAX_UNREACHED || (job.is_keyed && !gateway.keys_are_current())
                {
                    return Err(gave_up(tries, Reason::NoUpstream, Reason::AnswerLost));
                }
            }
            Sent::NotRun { arrived: true } => {
                tries.sent += 1;
                tries.tried.push(choice.upstream.id.clone());
                if !has_attempt(gateway, job, tries) {
                    return Err(gave_up(tries, Reason::NoUpstream, Reason::AnswerLost));
                }
            }
            Sent::Lost => {
                tries.sent += 1;
                tries.may_have_run = true;
                tries.tried.push(choice.upstream.id.clone());
                if !may_repeat(gateway, job, tries) {
                    let late = gateway.clock.now_ms() >= job.deadline_ms;
                    return Err(if late {
                        Reason::Late
                    } else {
                        Reason::AnswerLost
                    });
                }
            }
        }
    }
}

/// Chooses an upstream for a job: one that was not tried, or else any but the last that was.
pub fn choose(gateway: &Gateway, job: &Job, tried: &[Name], model: usize) -> Option<Choice> {
    let ask = job.ask(model, &gateway.settings.hall);
    let among = |tried: &[Name]| {
        let scope = Scope {
            pool: &job.pool,
            side: job.side,
            tried,
        };
        gateway.choose(&scope, &ask)
    };
    among(tried).or_else(|| among(tried.last().map_or(&[], std::slice::from_ref)))
}

/// The reason to give up with, by whether the request may have run.
fn gave_up(tries: &Tries, not_run: Reason, may_have_run: Reason) -> Reason {
    if tries.may_have_run {
        may_have_run
    } else {
        not_run
    }
}

fn has_attempt(gateway: &Gateway, job: &Job, tries: &Tries) -> bool {
    tries.sent < job.route.max_attempts
        && gateway.clock.now_ms() < job.deadline_ms
        && gateway.take_repeat(&job.pool)
}

/// Whether a request that may have run may run again, and there is an attempt left for it.
fn may_repeat(gateway: &Gateway, job: &Job, tries: &Tries) -> bool {
    job.route.kind.is_repeatable() && has_attempt(gateway, job, tries)
}

/// How long the head of the answer is waited for: less than all the time only where a repeat is left.
fn wait_ms(job: &Job, tries: &Tries, now_ms: u64) -> u64 {
    let left_ms = job.deadline_ms.saturating_sub(now_ms);
    let is_plain_safe = !job.route.kind.is_stream() && job.route.kind.is_repeatable();
    if is_plain_safe && tries.sent + 1 < job.route.max_attempts {
        left_ms.min(job.route.latency_aim_ms * SAFE_WAIT_AIMS)
    } else {
        left_ms
    }
}

fn larger_model(gateway: &Gateway, job: &Job, tries: &Tries, reply: &Reply) -> Option<usize> {
    if !job.chooses_model() || !reply.response.status().is_success() {
        return None;
    }
    let mean_work_ms = choose(gateway, job, &[], tries.model)?.mean_work_ms;
    let larger = cascade::escalate(&Doubt {
        confidence: reply.marks.confidence,
        model: tries.model,
        models: job.route.models.len(),
        mean_work_ms,
    })?;
    may_repeat(gateway, job, tries).then_some(larger)
}

/// Takes in what the head of an answer says about its upstream and version; a stream is judged at its end.
fn judge(gateway: &Gateway, job: &Job, reply: &Reply, model: usize) {
    let failed = reply.response.status().is_server_error();
    reply.lease.outcome(failed);
    if failed || !job.route.kind.is_stream() {
        let evidence = Evidence {
            upstream: &reply.lease.upstream.id,
            failed,
            is_final: true,
            lane: job.lane(model),
            pace_ms: (!failed).then_some(reply.head_after_ms as f64),
        };
        weigh(gateway, job, &reply.lease.upstream, &evidence);
    }
}

/// Adds an answer to what is known about its version.
pub fn weigh(gateway: &Gateway, job: &Job, upstream: &UpstreamRecord, evidence: &Evidence) {
    let condemned = gateway.with_rollouts(|rollouts, now_ms| {
        let track = rollouts.get_mut(&job.pool)?;
        let side = track.side_of(&upstream.version);
        track.judge(side, evidence, now_ms).then(|| track.sum())
    });
    if let Some(sum) = condemned {
        gateway.log_condemned(&job.pool, &sum);
    }
}

/// Reads a whole answer and passes it on; gives the upstream where it broke off.
async fn gather(
    job: &Job,
    gateway: &Gateway,
    reply: Reply,
    trace: &mut Trace,
) -> Result<Response<AnswerBody>, Name> {
    let Reply {
        response,
        mut lease,
        keep_ms,
        ..
    } = reply;
    let (mut head, body) = response.into_parts();
    let left_ms = job.deadline_ms.saturating_sub(gateway.clock.now_ms());
    let body = timeout(
        Duration::from_millis(left_ms),
        Limited::new(body, WHOLE_ANSWER_BYTES).collect(),
    )
    .await;
    let upstream = lease.upstream.id.clone();
    let bytes = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) => {
            lease.broke();
            trace.fail(
                "answer_broke_off",
                json!({"upstream": upstream, "error": e.to_string()}),
            );
            return Err(upstream);
        }
        Err(_) => {
            trace.fail("answer_late", json!({"upstream": upstream}));
            return Err(upstream);
        }
    };
    lease.keep_channel(keep_ms);
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    let detail =
        json!({"upstream": upstream, "status": head.status.as_u16(), "bytes": bytes.len()});
    if head.status.is_server_error() {
        trace.fail("answered", detail);
    } else {
        trace.step("answered", detail);
    }
    // Only an upstream's own word makes 429, 503 and the like true; it was heard before.
    if promises_not_run(head.status.as_u16()) {
        return Ok(Reason::AnswerLost.into_answer(false));
    }
    Ok(Response::from_parts(head, whole(bytes)))
}

fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
