//! A [`Dialect`] with configurable header names.
//!
//! The formats of the values are fixed: whole numbers, comma-separated lists and `ID:TOKENS` pairs.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::site::MAX_TIME_MS;
use ivyweir_policy::gateway::statement::{
    DeclaredLimit, ReportedLoad, RetryAfter, Source, Statement,
};
use ivyweir_policy::hash::hash64;

use crate::dialect::{
    Dialect, Features, ForwardMetadata, PromptPart, RequestMetadata, ResponseMetadata,
};

/// Header names and readiness path of a dialect.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Path of the load balancer's readiness check.
    pub ready_path: &'static str,
    /// Request target by which an engine is found to respond, `*` for the server as a whole; `None` if there is none.
    pub engine_ping: Option<&'static str>,
    /// The same for a plain service.
    pub service_ping: Option<&'static str>,
    /// Contract that calls for load control and bounded buffers, if the platform has contracts.
    pub load_contract: Option<&'static str>,
    /// Id of one try of a request, on requests and responses.
    pub request_id: HeaderName,
    /// Time for which the caller waits, in milliseconds from now.
    pub budget_ms: HeaderName,
    /// The upstream incarnation that is to run a request; any other must refuse it.
    pub upstream_id: HeaderName,
    /// Workspace of the request.
    pub workspace: HeaderName,
    /// The model; `*` lets the gateway choose it.
    pub model: HeaderName,
    /// `PROMPT,MAX_OUTPUT`, in tokens.
    pub token_counts: HeaderName,
    /// The caller's estimate of the output length, in tokens.
    pub output_estimate: HeaderName,
    /// Parts of the prompt, a comma-separated list of `ID:TOKENS`.
    pub prompt_parts: HeaderName,
    /// Session id, the same on all requests of a session.
    pub session: HeaderName,
    /// Priority in the engine's queue, 0 first.
    pub urgency: HeaderName,
    /// The upstream's signature of its response.
    pub signature: HeaderName,
    /// Load of the upstream: `RUNNING,WAITING,SLOTS`.
    pub load: HeaderName,
    /// `1` if the upstream is about to leave the pool.
    pub leaving: HeaderName,
    /// Request rate that the upstream accepts from all boxes together, per second, as a decimal number.
    pub limit: HeaderName,
    /// Number of rejections per second above which the upstream fails.
    pub brittle: HeaderName,
    /// The model's confidence in its response, 0 to 100.
    pub confidence: HeaderName,
    /// Present if the request did not run and will not run.
    pub not_run: HeaderName,
    /// Further headers that only the system may set.
    pub system_only: Vec<HeaderName>,
    /// Prefixes of the dialect's header names.
    pub prefixes: &'static [&'static str],
}

/// Largest number of requests that an upstream is taken to run or to queue.
const MAX_REPORTED_REQUESTS: u32 = 1_000_000;
/// Value of the model header that lets the gateway choose.
const ANY_MODEL: &str = "*";
/// Status with which an upstream refuses a request for another incarnation.
const MISDIRECTED: u16 = 421;
/// Status with which an upstream rejects a request; its `Retry-After` is honoured.
const UNAVAILABLE: u16 = 503;
/// Value of the leaving header if the upstream is about to leave.
const LEAVING: &str = "1";
/// Request target of `OPTIONS` requests that concern the server as a whole.
const SERVER_TARGET: &str = "*";
const BEARER: &str = "Bearer ";
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// A dialect with configurable header names.
#[derive(Debug, Clone)]
pub struct HeaderDialect {
    names: HeaderNames,
}

impl HeaderDialect {
    /// Creates a dialect with these names.
    pub fn new(names: HeaderNames) -> Self {
        Self { names }
    }
}

impl Dialect for HeaderDialect {
    fn ready_path(&self) -> &str {
        self.names.ready_path
    }

    fn ping(&self, is_engine: bool, addr: SocketAddr) -> Option<Request<Full<Bytes>>> {
        let names = &self.names;
        let target = if is_engine {
            names.engine_ping
        } else {
            names.service_ping
        }?;
        let method = if target == SERVER_TARGET {
            Method::OPTIONS
        } else {
            Method::GET
        };
        let request = Request::builder()
            .method(method)
            .uri(target)
            .header(header::HOST, addr.to_string());
        request.body(Full::default()).ok()
    }

    fn features(&self, contracts: &[Name]) -> Features {
        let calls_for_load_control = contracts
            .iter()
            .any(|contract| Some(&**contract) == self.names.load_contract);
        Features {
            load_control: calls_for_load_control,
            reads_ahead: calls_for_load_control,
        }
    }

    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata {
        let names = &self.names;
        let session = header_text(headers, &names.session);
        RequestMetadata {
            request_id: header_text(headers, &names.request_id).map(Name::from),
            budget_ms: header_text(headers, &names.budget_ms).and_then(parse_ms),
            key: header_text(headers, &header::AUTHORIZATION)
                .and_then(|value| value.strip_prefix(BEARER))
                .map(Name::from),
            auto_model: header_text(headers, &names.model) == Some(ANY_MODEL),
            expected_output_tokens: self.parse_out_tokens(headers),
            prompt_parts: header_text(headers, &names.prompt_parts)
                .map_or_else(Vec::new, parse_prompt_parts),
            last_event_id: header_text(headers, &LAST_EVENT_ID).and_then(|id| id.parse().ok()),
            session: session.map(|session| hash64(&[session.as_bytes()])),
        }
    }

    fn strip_reserved_headers(&self, headers: &mut HeaderMap) {
        let names = &self.names;
        for name in [
            &names.workspace,
            &names.upstream_id,
            &names.urgency,
            &names.budget_ms,
        ] {
            headers.remove(name);
        }
        for name in &names.system_only {
            headers.remove(name);
        }
        headers.remove(header::AUTHORIZATION);
    }

    fn add_forward_headers(&self, headers: &mut HeaderMap, forward: &ForwardMetadata) {
        let names = &self.names;
        headers.insert(&names.budget_ms, HeaderValue::from(forward.budget_ms));
        set_header(headers, &names.upstream_id, Some(forward.upstream_name));
        set_header(headers, &names.workspace, forward.workspace);
        set_header(headers, &names.model, forward.model);
        if let Some(id) = forward.resume_after {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(id));
        }
        if let Some(urgency) = forward.urgency {
            headers.insert(&names.urgency, HeaderValue::from(u16::from(urgency)));
        }
    }

    fn response_metadata(&self, status: u16, headers: &HeaderMap) -> ResponseMetadata {
        let names = &self.names;
        ResponseMetadata {
            request_id: header_text(headers, &names.request_id).map(Name::from),
            has_several_ids: headers.get_all(&names.request_id).iter().count() > 1,
            is_signed: headers.contains_key(&names.signature),
            not_run: headers.contains_key(&names.not_run),
            is_other_incarnation: status == MISDIRECTED,
            statement: Statement {
                load: header_text(headers, &names.load).and_then(parse_load),
                is_leaving: header_text(headers, &names.leaving).map(str::trim) == Some(LEAVING),
                retry_after: (status == UNAVAILABLE)
                    .then(|| parse_retry_after(headers))
                    .flatten(),
                limit: parse_limit(headers, &names.limit),
                brittle: parse_brittle(headers, &names.brittle),
                ..Statement::new(Source::Answer)
            },
            confidence: header_text(headers, &names.confidence)
                .and_then(|value| value.parse().ok()),
        }
    }

    fn unread_headers<'h>(&self, headers: &'h HeaderMap) -> Vec<&'h HeaderName> {
        let names = &self.names;
        let is_own = |name: &&HeaderName| {
            let mut prefixes = names.prefixes.iter();
            prefixes.any(|prefix| name.as_str().starts_with(prefix))
        };
        let own = headers.keys().filter(is_own);
        own.filter(|name| !names.is_parsed(name)).collect()
    }
}

impl HeaderNames {
    /// Returns whether this header is parsed on responses.
    fn is_parsed(&self, name: &HeaderName) -> bool {
        let read = [
            &self.request_id,
            &self.signature,
            &self.load,
            &self.leaving,
            &self.limit,
            &self.brittle,
            &self.confidence,
            &self.not_run,
        ];
        read.contains(&name)
    }
}

impl HeaderDialect {
    /// Returns the caller's output estimate, or else the limit after the comma of `PROMPT,MAX_OUTPUT`.
    fn parse_out_tokens(&self, headers: &HeaderMap) -> Option<u32> {
        let estimate =
            header_text(headers, &self.names.output_estimate).and_then(|value| value.parse().ok());
        let limit = || {
            let (_, max_output) =
                header_text(headers, &self.names.token_counts)?.split_once(',')?;
            max_output.trim().parse().ok()
        };
        estimate.or_else(limit)
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn set_header(headers: &mut HeaderMap, name: &HeaderName, value: Option<&str>) {
    if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
        headers.insert(name, value);
    }
}

fn parse_ms(value: &str) -> Option<u64> {
    let ms: f64 = value.parse().ok()?;
    (ms >= 0.0).then_some((ms as u64).min(MAX_TIME_MS))
}

/// Returns the longest valid `Retry-After` delay. An HTTP date counts as unreadable, since it refers to another
/// clock.
fn parse_retry_after(headers: &HeaderMap) -> Option<RetryAfter> {
    let values = headers.get_all(header::RETRY_AFTER).iter();
    let delays_ms: Vec<Option<u64>> = values
        .map(|value| value.to_str().ok().and_then(parse_seconds_as_ms))
        .collect();
    if delays_ms.is_empty() {
        return None;
    }
    let longest_ms = delays_ms.into_iter().flatten().max();
    Some(longest_ms.map_or(RetryAfter::Unreadable, RetryAfter::ForMs))
}

/// Returns the lowest valid rate limit of a response.
fn parse_limit(headers: &HeaderMap, name: &HeaderName) -> Option<DeclaredLimit> {
    let values = headers.get_all(name).iter();
    let limits: Vec<Option<u32>> = values
        .map(|value| value.to_str().ok().and_then(parse_rate_per_1000_s))
        .collect();
    if limits.is_empty() {
        return None;
    }
    let lowest = limits.into_iter().flatten().min();
    Some(lowest.map_or(DeclaredLimit::Unreadable, DeclaredLimit::Per1000S))
}

/// Returns the lowest valid number of rejections per second above which the upstream fails.
fn parse_brittle(headers: &HeaderMap, name: &HeaderName) -> Option<u32> {
    let values = headers.get_all(name).iter();
    let numbers = values.filter_map(|value| value.to_str().ok()?.trim().parse().ok());
    numbers.min()
}

/// Parses a decimal rate per second as a whole number per 1,000 seconds. It is rounded down, so that it never exceeds
/// the stated rate.
fn parse_rate_per_1000_s(value: &str) -> Option<u32> {
    let per_s: f64 = value.trim().parse().ok()?;
    (per_s.is_finite() && per_s >= 0.0).then_some((per_s * 1_000.0) as u32)
}

/// Parses decimal seconds as whole milliseconds. They are rounded up, so that the delay is never shortened.
fn parse_seconds_as_ms(value: &str) -> Option<u64> {
    let seconds: f64 = value.trim().parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some((seconds * 1_000.0).ceil() as u64)
}

fn parse_prompt_parts(value: &str) -> Vec<PromptPart> {
    let part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart {
            id_hash: hash64(&[id.as_bytes()]),
            tokens: tokens.parse().ok()?,
        })
    };
    value.split(',').filter_map(part).collect()
}

fn parse_load(value: &str) -> Option<ReportedLoad> {
    let mut counts = value.split(',').map(|count| count.trim().parse().ok());
    let mut count = || Some(MAX_REPORTED_REQUESTS.min(counts.next()??));
    Some(ReportedLoad {
        running: count()?,
        waiting: count()?,
    })
}
