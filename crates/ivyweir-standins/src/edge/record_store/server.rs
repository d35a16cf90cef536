//! HTTP API of the record store.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use ivyweir_gateway::dialect::{StoreRecord, Topic};
use ivyweir_gateway::native::{STORE_ERA, StoredDutyRecord};
use ivyweir_policy::gateway::rollout::RolloutOrder;
use percent_encoding::percent_decode_str;
use tokio::time::{Instant, timeout_at};

use super::{Shared, StoreFault};

/// Error that ends a connection without an answer.
#[derive(Debug)]
pub(super) struct WatchCut;

impl fmt::Display for WatchCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("watch cut")
    }
}

impl std::error::Error for WatchCut {}

/// Answers a call.
pub(super) async fn answer(
    shared: &Shared,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, WatchCut> {
    let mut answer = answer_request(shared, request).await?;
    let era = HeaderValue::from(shared.state().era);
    answer.headers_mut().insert(STORE_ERA, era);
    Ok(answer)
}

async fn answer_request(
    shared: &Shared,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, WatchCut> {
    let is_watch = request.uri().path().ends_with("/changes");
    if !is_watch {
        return Ok(answer_call(shared, request).await);
    }
    let cuts = shared.state().watch_cuts;
    let mut change_signal = shared.change_signal.subscribe();
    let is_cut = change_signal.wait_for(|_| shared.state().watch_cuts != cuts);
    tokio::select! {
        answer = answer_call(shared, request) => Ok(answer),
        _ = is_cut => Err(WatchCut),
    }
}

async fn answer_call(shared: &Shared, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let fault = {
        let mut state = shared.state();
        state.calls += 1;
        state.fault
    };
    match fault {
        StoreFault::None => {}
        StoreFault::Refuse => return status(StatusCode::SERVICE_UNAVAILABLE),
        StoreFault::Silent => std::future::pending().await,
    }
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let body = body.to_bytes();
    let path: Vec<&str> = head.uri.path().trim_matches('/').split('/').collect();
    if let (&Method::DELETE, ["v1", "quarantines", name]) = (&head.method, path.as_slice()) {
        let is_held = {
            let mut state = shared.state();
            let is_held = state.holds_removals;
            if is_held {
                state.held_removals.push((*name).to_owned());
            }
            is_held
        };
        if is_held {
            std::future::pending::<()>().await;
        }
    }
    if let ["v1", "quarantines", name @ ..] = path.as_slice() {
        return quarantines(shared, &head.method, name, &body);
    }
    if path.as_slice() == ["v1", "duties"] {
        let query = head.uri.query().unwrap_or_default();
        return duties(shared, &head.method, query, &body);
    }
    let ["v1", "records", topic, rest @ ..] = path.as_slice() else {
        return status(StatusCode::NOT_FOUND);
    };
    let Some(topic) = Topic::from_name(topic) else {
        return status(StatusCode::NOT_FOUND);
    };
    let query = head.uri.query().unwrap_or_default();
    match (&head.method, rest) {
        (&Method::GET, []) => {
            let after = query_value(query, "after").map(decode_name);
            answer_json(&shared.state().page(topic, after.as_deref()))
        }
        (&Method::GET, ["changes"]) => watch_topic(shared, topic, query).await,
        (&Method::PUT, [_]) => write_rollout(shared, &body),
        _ => status(StatusCode::NOT_FOUND),
    }
}

/// Returns the encoded value of a parameter in a query.
fn query_value<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Decodes a name in a query.
fn decode_name(encoded: &str) -> String {
    let spaced = encoded.replace('+', " ");
    let decoded = percent_decode_str(&spaced).decode_utf8_lossy();
    decoded.into_owned()
}

fn quarantines(
    shared: &Shared,
    method: &Method,
    name: &[&str],
    body: &[u8],
) -> Response<Full<Bytes>> {
    let quarantines = &mut shared.state().contents.quarantines;
    match (method, name) {
        (&Method::GET, []) => answer_json(&quarantines.values().collect::<Vec<_>>()),
        (&Method::POST, [name]) if quarantines.contains_key(*name) => status(StatusCode::CONFLICT),
        (&Method::POST, [name]) => match serde_json::from_slice(body) {
            Ok(record) => {
                quarantines.insert((*name).to_owned(), record);
                status(StatusCode::CREATED)
            }
            Err(_) => status(StatusCode::BAD_REQUEST),
        },
        (&Method::DELETE, [name]) => match quarantines.remove(*name) {
            Some(_) => status(StatusCode::OK),
            None => status(StatusCode::NOT_FOUND),
        },
        _ => status(StatusCode::NOT_FOUND),
    }
}

/// Reads the duty record, or writes it if its revision is the one that the writer last read.
fn duties(shared: &Shared, method: &Method, query: &str, body: &[u8]) -> Response<Full<Bytes>> {
    let mut state = shared.state();
    let stored_revision = state.contents.duties.as_ref().map(|stored| stored.revision);
    let expected = match *method {
        Method::GET => None,
        Method::POST => Some(None),
        Method::PUT => Some(query.strip_prefix("revision=").and_then(|r| r.parse().ok())),
        _ => return status(StatusCode::NOT_FOUND),
    };
    let mut code = StatusCode::OK;
    match (expected, serde_json::from_slice(body)) {
        (None, _) => {}
        (Some(expected), Ok(record)) if expected == stored_revision => {
            state.contents.revision += 1;
            let revision = state.contents.revision;
            state.contents.duties = Some(StoredDutyRecord { record, revision });
        }
        (Some(_), Ok(_)) => code = StatusCode::CONFLICT,
        (Some(_), Err(_)) => return status(StatusCode::BAD_REQUEST),
    }
    let Some(stored) = &state.contents.duties else {
        return status(StatusCode::NOT_FOUND);
    };
    let mut answer = answer_json(stored);
    *answer.status_mut() = code;
    answer
}

async fn watch_topic(shared: &Shared, topic: Topic, query: &str) -> Response<Full<Bytes>> {
    let field = |name: &str| -> u64 {
        let value = query_value(query, name);
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    };
    let since = field("since");
    let deadline = Instant::now() + Duration::from_millis(field("wait_ms"));
    let mut change_signal = shared.change_signal.subscribe();
    let ends = shared.state().watch_ends;
    loop {
        let (history_is_gone, fault, is_ended, changes) = {
            let state = shared.state();
            let history_is_gone = since < state.history_from || since > state.contents.revision;
            let is_ended = state.watch_ends != ends;
            (
                history_is_gone,
                state.fault,
                is_ended,
                state.changes(topic, since),
            )
        };
        match fault {
            StoreFault::None => {}
            StoreFault::Refuse => return status(StatusCode::SERVICE_UNAVAILABLE),
            StoreFault::Silent => std::future::pending().await,
        }
        if history_is_gone {
            return status(StatusCode::GONE);
        }
        if !changes.changes.is_empty() || is_ended || Instant::now() >= deadline {
            return answer_json(&changes);
        }
        // Both a change and the deadline lead to another check.
        let _ignored = timeout_at(deadline, change_signal.changed()).await;
    }
}

fn write_rollout(shared: &Shared, body: &[u8]) -> Response<Full<Bytes>> {
    let Ok(order) = serde_json::from_slice::<RolloutOrder>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let (code, item) = shared.state().write_rollout(order);
    shared.change_signal.send_modify(|count| *count += 1);
    let mut answer = match item {
        Some(StoreRecord::Rollout(order)) => answer_json(&order),
        _ => status(code),
    };
    *answer.status_mut() = code;
    answer
}

fn answer_json(value: &impl serde::Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).expect("records can be serialized");
    Response::new(Full::new(Bytes::from(body)))
}

fn status(code: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = code;
    answer
}
