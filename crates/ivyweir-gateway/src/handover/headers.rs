//! Headers of requests that are handed over, and of their responses.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, Uri};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::send_count::SendCount;

use super::{HANDOVER_PATH, HandoverOptions, grant};
use crate::job::Job;
use crate::state::Gateway;

/// Method of the caller's request.
pub(super) const METHOD: HeaderName = HeaderName::from_static("ivyweir-peer-method");
/// URI of the caller's request, in origin form.
pub(super) const URI: HeaderName = HeaderName::from_static("ivyweir-peer-uri");
/// Time for which the caller waits, from the arrival of its request.
pub(super) const BUDGET_MS: HeaderName = HeaderName::from_static("ivyweir-peer-budget-ms");
/// Time since the arrival of the caller's request.
pub(super) const ELAPSED_MS: HeaderName = HeaderName::from_static("ivyweir-peer-elapsed-ms");
/// Number of upstreams that the request was sent to before, in requests and in responses of boxes that decline.
pub(super) const SENDS: HeaderName = HeaderName::from_static("ivyweir-peer-sends");
/// Number of sends in all that the other box may bring the request to.
pub(super) const LIMIT: HeaderName = HeaderName::from_static("ivyweir-peer-limit");
/// Upstreams that rejected the request and are not asked again, in requests and in responses of boxes that decline: a
/// list of ids.
pub(super) const REJECTED: HeaderName = HeaderName::from_static("ivyweir-peer-rejected");
/// Upstreams that the request was sent to before, so that others are preferred, and in responses those that the other box
/// sent it to: a list of ids.
pub(super) const TRIED: HeaderName = HeaderName::from_static("ivyweir-peer-tried");
/// Index of the model, from the smallest, if the other box is not to choose it.
pub(super) const MODEL: HeaderName = HeaderName::from_static("ivyweir-peer-model");
/// Present if the other box is asked only for its part of the upstreams' limits, and declines if it has none left.
pub(super) const FOR_SHARE: HeaderName = HeaderName::from_static("ivyweir-peer-for-share");
/// Whether the box that hands the request over has counted it.
pub(super) const COUNTED: HeaderName = HeaderName::from_static("ivyweir-peer-counted");
/// Whether the box served the request, in the response.
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("ivyweir-peer-outcome");
/// Other boxes that can serve such requests, in requests and in responses of boxes that decline: a list of
/// `NAME@ADDRESS`.
pub(super) const HINTS: HeaderName = HeaderName::from_static("ivyweir-peer-hints");
/// Pool of the request's upstreams.
pub(super) const POOL: HeaderName = HeaderName::from_static("ivyweir-peer-pool");
/// Number of requests of other boxes that a box serves, in the response.
pub(super) const LOAD: HeaderName = HeaderName::from_static("ivyweir-peer-load");
pub(super) const SERVED: &str = "served";
pub(super) const BUSY: &str = "busy";
pub(super) const UNABLE: &str = "unable";
pub(super) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Builds the request to the other box.
pub(super) fn request(
    gateway: &Gateway,
    job: &Job,
    options: HandoverOptions,
    sends: &SendCount,
    tried: &[Name],
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(HANDOVER_PATH);
    let headers = request.headers_mut();
    *headers = job.head.headers.clone();
    let uri = job.head.uri.to_string();
    set(headers, METHOD, Some(job.head.method.as_str()));
    set(headers, URI, Some(&uri));
    set(headers, POOL, Some(&job.pool));
    set(headers, HINTS, format_hints(gateway, &job.pool).as_deref());
    set_number(headers, BUDGET_MS, job.metadata.budget_ms);
    let elapsed_ms = gateway.clock.now_ms().saturating_sub(job.arrived_ms);
    set_number(headers, ELAPSED_MS, Some(elapsed_ms));
    set_sends(headers, sends);
    set_ids(headers, TRIED, tried);
    set_number(headers, LIMIT, Some(grant(job, sends).into()));
    set_number(headers, MODEL, options.model.map(|model| model as u64));
    set_number(headers, COUNTED, Some(options.is_counted.into()));
    set_number(headers, FOR_SHARE, options.is_for_share.then_some(1));
    if options.resume_after.is_some() {
        set_number(headers, LAST_EVENT_ID, options.resume_after);
    }
    let key = job.metadata.key.as_ref().map(|key| format!("Bearer {key}"));
    set(headers, header::AUTHORIZATION, key.as_deref());
    request
}

pub(super) fn set_sends(headers: &mut HeaderMap, sends: &SendCount) {
    set_number(headers, SENDS, Some(sends.sent().into()));
    set_ids(headers, REJECTED, sends.rejected());
}

pub(super) fn set_ids(headers: &mut HeaderMap, name: HeaderName, ids: &[Name]) {
    let ids = (!ids.is_empty()).then(|| ids.join(","));
    set(headers, name, ids.as_deref());
}

pub(super) fn set(headers: &mut HeaderMap, name: HeaderName, value: Option<&str>) {
    match value.and_then(|value| HeaderValue::from_str(value).ok()) {
        Some(value) => drop(headers.insert(name, value)),
        None => drop(headers.remove(name)),
    }
}

pub(super) fn set_number(headers: &mut HeaderMap, name: HeaderName, value: Option<u64>) {
    match value {
        Some(value) => drop(headers.insert(name, HeaderValue::from(value))),
        None => drop(headers.remove(name)),
    }
}

pub(super) fn format_hints(gateway: &Gateway, pool: &Name) -> Option<String> {
    let hints = gateway.helper_hints(pool).into_iter();
    let hints: Vec<String> = hints.map(|(name, addr)| format!("{name}@{addr}")).collect();
    (!hints.is_empty()).then(|| hints.join(","))
}

pub(super) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u32> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

pub(super) fn parse_ids(headers: &HeaderMap, name: &HeaderName) -> Vec<Name> {
    let ids = headers.get(name);
    split_ids(ids.and_then(|value| value.to_str().ok()))
}

pub(super) fn split_ids(ids: Option<&str>) -> Vec<Name> {
    let ids = ids.into_iter().flat_map(|ids| ids.split(','));
    ids.filter(|id| !id.is_empty()).map(Name::from).collect()
}

pub(super) fn parse_hints(headers: &HeaderMap) -> Vec<(Name, SocketAddr)> {
    let hints = headers.get(&HINTS).and_then(|value| value.to_str().ok());
    let hints = hints.into_iter().flat_map(|hints| hints.split(','));
    let parsed = hints.filter_map(|hint| {
        let (name, addr) = hint.rsplit_once('@')?;
        Some((name.into(), addr.parse().ok()?))
    });
    parsed.collect()
}
