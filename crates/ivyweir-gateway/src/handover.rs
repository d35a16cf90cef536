//! Hands requests over to another box, where this one has no path to the upstreams, and serves those of other boxes.
//!
//! A request is handed over as the caller sent it, so the other box makes all decisions and counts it. It is never
//! handed over again. The connection between the boxes carries one request at a time: if it ends, the other box cancels
//! the request.

mod headers;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::helpers::Declined;
use ivyweir_policy::gateway::promise::{NotRun, SendLedger};
use ivyweir_policy::gateway::send_count::SendCount;
use serde_json::json;
use tokio::time::timeout;

use crate::attempt::{AttemptOutcome, Reply};
use crate::connection::{Connection, SendError, framing, keep_alive_ms};
use crate::error_response::ErrorReason;
use crate::in_flight::InFlightRequest;
use crate::job::Job;
use crate::log::Trace;
use crate::mutex::lock;
use crate::pipeline;
use crate::response::{ResponseBody, status_only};
use crate::retry::take_attempt;
use crate::state::Gateway;

use self::headers::{
    BUDGET_MS, BUSY, COUNTED, ELAPSED_MS, FOR_SHARE, HINTS, LIMIT, LOAD, METHOD, MODEL, OUTCOME,
    POOL, REJECTED, SENDS, SERVED, TRIED, UNABLE, URI, format_hints, number, parse_hints,
    parse_ids, request, set, set_ids, set_number, set_sends, split_ids,
};

/// HTTP path of requests that are handed over.
pub const HANDOVER_PATH: &str = "/peer/request";
/// Time limit for a connection to another box.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Number of boxes that are asked to serve a request.
const MAX_HELPERS: usize = 8;
/// The same where they are asked for their parts of the upstreams' limits.
const MAX_SHARE_HELPERS: usize = 3;
/// Time for which an idle connection to another box is kept.
const KEEP_ALIVE_MS: u64 = 4_000;
/// Requests of other boxes that a box with a whole core serves at once.
const MAX_ACCEPTED_PER_CORE: f64 = 1_024.0;
/// Lower bound of that number.
const MIN_ACCEPTED: u64 = 64;

/// A request that another box handed over.
#[derive(Debug)]
pub struct HandedOver {
    /// Time for which the caller waits, from the arrival of its request.
    pub budget_ms: Option<u64>,
    /// Time since the arrival of the caller's request.
    pub elapsed_ms: u64,
    /// Number of upstreams that the request was sent to before.
    pub sends: u32,
    /// Number of sends in all that this box may bring the request to; `None` for those of the route.
    pub limit: Option<u32>,
    /// Upstreams that rejected the request and are not asked again.
    pub rejected: Vec<Name>,
    /// Upstreams that the request was sent to before.
    pub tried: Vec<Name>,
    /// Whether the other box has counted the request.
    pub is_counted: bool,
    /// Whether this box is asked only for its part of the upstreams' limits.
    pub is_for_share: bool,
    /// Index of the model, from the smallest, if this box is not to choose it.
    pub model: Option<usize>,
    /// Upstreams that this box sent the request to.
    reached: Mutex<Vec<Name>>,
    /// Set if this box refuses the request.
    refusal: OnceLock<Refusal>,
    /// Requests of other boxes that this box is serving.
    accepted: Arc<AtomicU64>,
}

/// State of a request when it is refused on behalf of another box.
#[derive(Debug)]
struct Refusal {
    sends: SendCount,
    /// Whether the request has been sent as often as its route allows.
    is_last: bool,
}

impl HandedOver {
    /// Records that this box sends the request to an upstream.
    pub fn record_send(&self, upstream: &Name) {
        let mut reached = lock(&self.reached);
        if !reached.contains(upstream) {
            reached.push(upstream.clone());
        }
    }

    fn reached(&self) -> Vec<Name> {
        let reached = lock(&self.reached);
        reached.clone()
    }

    /// Records the sends of a request that this box refuses.
    pub fn record_refusal(&self, job: &Job, sends: &SendCount) {
        let refusal = Refusal {
            sends: sends.clone(),
            is_last: sends.sent() >= job.route.max_attempts,
        };
        // A request is refused once.
        let _ignored = self.refusal.set(refusal);
    }
}

impl Drop for HandedOver {
    fn drop(&mut self) {
        self.accepted.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request that was handed over while it is in progress.
#[derive(Debug)]
pub struct HandoverGuard {
    helper: Name,
    pool: Name,
}

impl HandoverGuard {
    /// Records the end of the request.
    pub fn end(&self, gateway: &Gateway) {
        gateway.with_helpers(&self.pool, |helpers| helpers.end_request(&self.helper));
    }

    /// Records that the connection to the box broke. If the box has ended, those kept to it are of no use, but not all of
    /// them may be known to be closed.
    pub fn lose(&self, gateway: &Gateway) {
        gateway.helper_channels.forget(&self.helper);
    }

    /// Name of the box that serves the request.
    pub fn helper(&self) -> &Name {
        &self.helper
    }
}

/// State of a request when it is handed over.
#[derive(Debug, Clone, Copy)]
pub struct HandoverOptions {
    /// Whether this box has counted the request.
    pub is_counted: bool,
    /// Index of the model, from the smallest, if the other box is not to choose it.
    pub model: Option<usize>,
    /// Id of the event after which a stream resumes.
    pub resume_after: Option<u64>,
    /// Time limit for the head of the response.
    pub head_timeout_ms: u64,
    /// Whether other boxes are asked only for their parts of the upstreams' limits.
    pub is_for_share: bool,
    /// Whether a box that lost the request may be asked again.
    pub may_repeat_box: bool,
}

impl HandoverOptions {
    /// Number of boxes that are asked.
    fn max_helpers(&self) -> usize {
        if self.is_for_share {
            MAX_SHARE_HELPERS
        } else {
            MAX_HELPERS
        }
    }
}

/// Attempts of a request, to which those of other boxes are added.
pub struct Attempts<'a> {
    /// Number of sends, and the upstreams that rejected the request.
    pub sends: &'a mut SendCount,
    /// Upstreams that the request was sent to.
    pub tried: &'a mut Vec<Name>,
    /// What became of the sends.
    pub ledger: &'a mut SendLedger,
}

/// Asks other boxes to serve a request, one after another, until one accepts it or no sends are left. Counts the sends of
/// the other boxes.
pub async fn send(
    gateway: &Arc<Gateway>,
    job: &Job,
    mut options: HandoverOptions,
    attempts: Attempts<'_>,
    trace: &mut Trace,
) -> AttemptOutcome {
    let Attempts {
        sends,
        tried,
        ledger,
    } = attempts;
    // A box that has lost the request may have ended, and takes the last send with it.
    let mut excluded = if options.may_repeat_box {
        Vec::new()
    } else {
        tried.clone()
    };
    let mut asked = Vec::new();
    let mut is_repeat = false;
    while asked.len() < options.max_helpers() && !sends.is_used_up() {
        let seed = rand::random();
        let Some(helper) = gateway.choose_helper(&job.pool, &excluded, seed) else {
            break;
        };
        if std::mem::take(&mut is_repeat) && !take_attempt(gateway, job, sends) {
            break;
        }
        let sent = sends.sent();
        let attempts = Attempts {
            sends,
            tried,
            ledger,
        };
        let outcome = send_to(gateway, job, &helper, options, attempts, trace).await;
        let label = match outcome {
            AttemptOutcome::Answered(_) => "answered",
            AttemptOutcome::NotRun { .. } => "declined",
            AttemptOutcome::Lost => "lost",
        };
        gateway.metrics.handovers.with_label_values(&[label]).inc();
        if !matches!(outcome, AttemptOutcome::NotRun { .. }) {
            return outcome;
        }
        excluded.push(helper.clone());
        asked.push(helper);
        if sends.sent() > sent {
            is_repeat = true;
            options.is_counted = true;
        }
    }
    let detail = json!({"asked": asked, "sends": sends.sent(), "rejected": sends.rejected()});
    trace.step("no_helper", detail);
    AttemptOutcome::NotRun { arrived: false }
}

async fn send_to(
    gateway: &Arc<Gateway>,
    job: &Job,
    helper: &Name,
    options: HandoverOptions,
    attempts: Attempts<'_>,
    trace: &mut Trace,
) -> AttemptOutcome {
    const NOT_RUN: AttemptOutcome = AttemptOutcome::NotRun { arrived: false };
    let Attempts {
        sends,
        tried,
        ledger,
    } = attempts;
    let Some(addr) = gateway.helper_addr(helper) else {
        return NOT_RUN;
    };
    let now_ms = || gateway.clock.now_ms();
    let decline = |why| {
        gateway.with_helpers(&job.pool, |helpers| {
            helpers.record_declined(helper, why, now_ms());
        });
    };
    let mut pooled = gateway
        .helper_channels
        .take(helper, None, gateway.clock.now_ms());
    gateway.with_helpers(&job.pool, |helpers| helpers.begin_request(helper));
    let guard = HandoverGuard {
        helper: helper.clone(),
        pool: job.pool.clone(),
    };
    let mut in_flight = InFlightRequest::at_box(gateway.clone(), guard);
    let sent_at_ms = gateway.clock.now_ms();
    let limit = Duration::from_millis(options.head_timeout_ms);
    loop {
        let is_pooled = pooled.is_some();
        let connection = match pooled.take() {
            Some(connection) => connection,
            None => match Connection::open_within(addr, CONNECT_TIMEOUT).await {
                Ok(connection) => connection,
                Err(_) => {
                    decline(Declined::Unavailable);
                    return NOT_RUN;
                }
            },
        };
        let request = request(gateway, job, options, sends, tried);
        let connection = in_flight.set_connection(connection);
        ledger.begin();
        let response = match timeout(limit, connection.send(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent)) if is_pooled => {
                ledger.settle(NotRun::NotWritten);
                continue;
            }
            Ok(Err(SendError::NotSent)) => {
                ledger.settle(NotRun::NotWritten);
                decline(Declined::Unavailable);
                return NOT_RUN;
            }
            Ok(Err(SendError::ResponseLost(e))) => {
                sends.use_grant(grant(job, sends));
                decline(Declined::Unavailable);
                trace.fail(
                    "handover_lost",
                    json!({"box": helper, "error": e.to_string()}),
                );
                return AttemptOutcome::Lost;
            }
            Err(_) => {
                sends.use_grant(grant(job, sends));
                decline(Declined::Unavailable);
                trace.fail("handover_late", json!({"box": helper}));
                return AttemptOutcome::Lost;
            }
        };
        for upstream in parse_ids(response.headers(), &TRIED) {
            if !tried.contains(&upstream) {
                tried.push(upstream);
            }
        }
        if let Some(why) = declined_why(&response) {
            ledger.settle(NotRun::Declined {
                name: helper.clone(),
            });
            decline(why);
            let hints = parse_hints(response.headers());
            gateway.record_helper_hints(&job.pool, hints);
            let sent = number(response.headers(), &SENDS);
            sends.merge(sent.unwrap_or(0), parse_ids(response.headers(), &REJECTED));
            return NOT_RUN;
        }
        sends.use_grant(grant(job, sends));
        gateway.with_helpers(&job.pool, |helpers| {
            helpers.record_accepted(
                helper,
                number(response.headers(), &LOAD).unwrap_or(0),
                now_ms(),
            );
        });
        if !options.is_counted {
            gateway.count_handed_over(&job.pool);
        }
        let status = response.status().as_u16();
        trace.step("handed_over", json!({"box": helper, "status": status}));
        return AttemptOutcome::Answered(Box::new(reply(gateway, response, in_flight, sent_at_ms)));
    }
}

/// Number of sends in all that another box may bring a request to.
fn grant(job: &Job, sends: &SendCount) -> u32 {
    sends.grant(job.route.kind.is_repeatable())
}

/// Why a box did not serve the request; `None` if it did.
fn declined_why(response: &Response<Incoming>) -> Option<Declined> {
    let outcome = response.headers().get(&OUTCOME);
    match outcome.and_then(|value| value.to_str().ok()) {
        Some(SERVED) => None,
        Some(BUSY) => Some(Declined::Busy),
        Some(_) => Some(Declined::Unable),
        // A box that stops, or whose build does not know such requests.
        None => Some(Declined::Unavailable),
    }
}

fn reply(
    gateway: &Gateway,
    mut response: Response<Incoming>,
    in_flight: InFlightRequest,
    sent_at_ms: u64,
) -> Reply {
    let status = response.status().as_u16();
    response.headers_mut().remove(&OUTCOME);
    response.headers_mut().remove(&LOAD);
    response.headers_mut().remove(&TRIED);
    let metadata = gateway
        .dialect
        .response_metadata(status, response.headers());
    Reply {
        metadata,
        in_flight,
        keep_alive_ms: keep_alive_ms(response.headers()).map(|ms| ms.min(KEEP_ALIVE_MS)),
        framing: framing(&response),
        head_after_ms: gateway.clock.now_ms() - sent_at_ms,
        response,
    }
}

/// Handles a request that another box hands over.
pub async fn handle(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<ResponseBody> {
    let pool = request.headers().get(&POOL);
    let pool: Name = pool
        .and_then(|pool| pool.to_str().ok())
        .unwrap_or("")
        .into();
    let hints = parse_hints(request.headers());
    gateway.record_helper_hints(&pool, hints);
    let Some((mut request, handed_over)) = accept(&gateway, request) else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    let accepted = gateway.accepted_handovers.load(Ordering::Relaxed);
    if accepted > max_accepted(&gateway) {
        return declined(&gateway, &pool, BUSY);
    }
    if gateway.may_be_cut_off() {
        return declined(&gateway, &pool, UNABLE);
    }
    let handed_over = Arc::new(handed_over);
    request.extensions_mut().insert(handed_over.clone());
    let mut response = pipeline::handle(gateway.clone(), request).await;
    let mut response = match response.extensions().get::<ErrorReason>() {
        Some(reason) if is_local(*reason) && !is_final(&gateway, &handed_over) => {
            let is_busy = *reason == ErrorReason::NoShare;
            let outcome = if is_busy { BUSY } else { UNABLE };
            let mut response = declined(&gateway, &pool, outcome);
            if let Some(refusal) = handed_over.refusal.get() {
                set_sends(response.headers_mut(), &refusal.sends);
            }
            response
        }
        _ => {
            let served = HeaderValue::from_static(SERVED);
            response.headers_mut().insert(OUTCOME, served);
            set_number(response.headers_mut(), LOAD, Some(accepted));
            response
        }
    };
    set_ids(response.headers_mut(), TRIED, &handed_over.reached());
    response
}

/// Whether no other box is to be asked for a request that this one refuses: upstreams rejected it, and it may not be sent
/// again, or this box reaches all upstreams and found no other one for it.
fn is_final(gateway: &Gateway, handed_over: &HandedOver) -> bool {
    handed_over.refusal.get().is_some_and(|refusal| {
        let sends = &refusal.sends;
        let has_asked_all = !sends.is_used_up() && !gateway.has_path_trouble();
        !sends.rejected().is_empty() && (refusal.is_last || has_asked_all)
    })
}

/// Restores the caller's request, and counts it as accepted.
fn accept(
    gateway: &Gateway,
    request: Request<Incoming>,
) -> Option<(Request<Incoming>, HandedOver)> {
    let (mut head, body) = request.into_parts();
    let mut take = |name: HeaderName| {
        let value = head.headers.remove(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let number = |value: Option<String>| value?.parse::<u64>().ok();
    take(POOL);
    take(HINTS);
    let method = take(METHOD)?;
    let uri = take(URI)?;
    let budget_ms = number(take(BUDGET_MS));
    let elapsed_ms = number(take(ELAPSED_MS))?;
    let sends = u32::try_from(number(take(SENDS))?).ok()?;
    let limit = number(take(LIMIT)).and_then(|limit| u32::try_from(limit).ok());
    let rejected = split_ids(take(REJECTED).as_deref());
    let tried = split_ids(take(TRIED).as_deref());
    let is_counted = number(take(COUNTED))? != 0;
    let is_for_share = take(FOR_SHARE).is_some();
    let model = number(take(MODEL)).and_then(|model| usize::try_from(model).ok());
    head.method = method.parse().ok()?;
    head.uri = uri.parse().ok()?;
    gateway.accepted_handovers.fetch_add(1, Ordering::Relaxed);
    let handed_over = HandedOver {
        budget_ms,
        elapsed_ms,
        sends,
        limit,
        rejected,
        tried,
        is_counted,
        is_for_share,
        model,
        reached: Mutex::default(),
        refusal: OnceLock::new(),
        accepted: gateway.accepted_handovers.clone(),
    };
    Some((Request::from_parts(head, body), handed_over))
}

/// Number of requests of other boxes that this box serves at once.
fn max_accepted(gateway: &Gateway) -> u64 {
    let cores = gateway.settings.machine.cpu_share;
    ((cores * MAX_ACCEPTED_PER_CORE) as u64).max(MIN_ACCEPTED)
}

/// Declines a request, and names boxes that may serve it.
fn declined(gateway: &Gateway, pool: &Name, outcome: &'static str) -> Response<ResponseBody> {
    let mut response = status_only(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(outcome));
    set(headers, HINTS, format_hints(gateway, pool).as_deref());
    response
}

/// Whether another box may serve a request that this one refuses for this reason.
fn is_local(reason: ErrorReason) -> bool {
    matches!(
        reason,
        ErrorReason::NotCurrent
            | ErrorReason::Starting
            | ErrorReason::Stopping
            | ErrorReason::NoUpstream
            | ErrorReason::NoShare
            | ErrorReason::BuffersFull
    )
}
