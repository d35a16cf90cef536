//! A dialect that differs from others in its header names only.
//!
//! Values have the same forms everywhere: whole numbers, lists with commas, `ID:TOKENS` pairs.

use hyper::HeaderMap;
use hyper::header::{self, HeaderName, HeaderValue};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::statement::{
    DeclaredLimit, ReportedLoad, RetryAfter, Source, Statement,
};
use ivyweir_policy::hash::hash64;

use crate::dialect::{Dialect, ForwardMetadata, PromptPart, RequestMetadata, ResponseMetadata};

/// Header names of a dialect.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Path at which the balancer asks.
    pub ready_path: &'static str,
    /// Id of a try, on requests and answers.
    pub request_id: HeaderName,
    /// Time for which the caller waits, in milliseconds.
    pub budget_ms: HeaderName,
    /// The incarnation that is to run a request.
    pub upstream_id: HeaderName,
    /// Whose request it is.
    pub workspace: HeaderName,
    /// The model; `*` leaves it to the system.
    pub model: HeaderName,
    /// `PROMPT,MOST_OUT`, in tokens.
    pub token_counts: HeaderName,
    /// The caller's guess of tokens that come out.
    pub out_guess: HeaderName,
    /// Parts of the prompt, `ID:TOKENS` each.
    pub prompt_parts: HeaderName,
    /// Requests of one session carry the same.
    pub session: HeaderName,
    /// Rank at the engine, 0 first.
    pub urgency: HeaderName,
    /// The upstream's signature of its answer.
    pub signature: HeaderName,
    /// `RUNNING,WAITING,SLOTS` of the upstream.
    pub load: HeaderName,
    /// `1` says that the upstream leaves.
    pub leaving: HeaderName,
    /// Requests a second that the upstream takes from all boxes together, a decimal number.
    pub limit: HeaderName,
    /// The model's opinion of its answer, 0 to 100.
    pub confidence: HeaderName,
    /// Says that the request did not run and will not.
    pub not_run: HeaderName,
    /// Further headers that only the system may set.
    pub system_only: Vec<HeaderName>,
    /// How the dialect's names begin.
    pub prefixes: &'static [&'static str],
}

/// In place of a model: the system chooses.
const ANY_MODEL: &str = "*";
/// Status of an upstream that is not the incarnation meant.
const MISDIRECTED: u16 = 421;
/// Status with which an upstream turns a request away; it may say for how long it wants none.
const UNAVAILABLE: u16 = 503;
/// What an upstream that leaves says.
const LEAVING: &str = "1";
const BEARER: &str = "Bearer ";
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// A dialect with these header names.
#[derive(Debug, Clone)]
pub struct HeaderDialect {
    names: HeaderNames,
}

impl HeaderDialect {
    /// The dialect with these names.
    pub fn new(names: HeaderNames) -> Self {
        Self { names }
    }
}

impl Dialect for HeaderDialect {
    fn ready_path(&self) -> &str {
        self.names.ready_path
    }

    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata {
        let names = &self.names;
        let session = text(headers, &names.session);
        RequestMetadata {
            request_id: text(headers, &names.request_id).map(Name::from),
            budget_ms: text(headers, &names.budget_ms).and_then(whole_ms),
            key: text(headers, &header::AUTHORIZATION)
                .and_then(|value| value.strip_prefix(BEARER))
                .map(Name::from),
            auto_model: text(headers, &names.model) == Some(ANY_MODEL),
            expected_output_tokens: self.expected_output_tokens(headers),
            prompt_parts: text(headers, &names.prompt_parts).map_or_else(Vec::new, prompt_parts),
            last_event_id: text(headers, &LAST_EVENT_ID).and_then(|id| id.parse().ok()),
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
        set(headers, &names.upstream_id, Some(forward.upstream_name));
        set(headers, &names.workspace, forward.workspace);
        set(headers, &names.model, forward.model);
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
            request_id: text(headers, &names.request_id).map(Name::from),
            is_signed: headers.contains_key(&names.signature),
            not_run: headers.contains_key(&names.not_run),
            is_other_incarnation: status == MISDIRECTED,
            statement: Statement {
                load: text(headers, &names.load).and_then(reported_load),
                is_leaving: text(headers, &names.leaving).map(str::trim) == Some(LEAVING),
                retry_after: (status == UNAVAILABLE)
                    .then(|| retry_after(headers))
                    .flatten(),
                limit: named_limit(headers, &names.limit),
                ..Statement::new(Source::Answer)
            },
            confidence: text(headers, &names.confidence).and_then(|value| value.parse().ok()),
        }
    }

    fn unread_headers<'h>(&self, headers: &'h HeaderMap) -> Vec<&'h HeaderName> {
        let names = &self.names;
        let is_own = |name: &&HeaderName| {
            let mut prefixes = names.prefixes.iter();
            prefixes.any(|prefix| name.as_str().starts_with(prefix))
        };
        let own = headers.keys().filter(is_own);
        own.filter(|name| !names.is_read(name)).collect()
    }
}

impl HeaderNames {
    /// Whether this name is read on answers.
    fn is_read(&self, name: &HeaderName) -> bool {
        let read = [
            &self.request_id,
            &self.signature,
            &self.load,
            &self.leaving,
            &self.limit,
            &self.confidence,
            &self.not_run,
        ];
        read.contains(&name)
    }
}

impl HeaderDialect {
    /// The caller's guess, or else the limit behind the comma of `PROMPT,MOST_OUT`.
    fn expected_output_tokens(&self, headers: &HeaderMap) -> Option<u32> {
        let guess = text(headers, &self.names.out_guess).and_then(|value| value.parse().ok());
        let limit = || {
            let (_, most) = text(headers, &self.names.token_counts)?.split_once(',')?;
            most.trim().parse().ok()
        };
        guess.or_else(limit)
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn set(headers: &mut HeaderMap, name: &HeaderName, value: Option<&str>) {
    if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
        headers.insert(name, value);
    }
}

fn whole_ms(value: &str) -> Option<u64> {
    let ms: f64 = value.parse().ok()?;
    (ms >= 0.0).then_some(ms as u64)
}

/// The longest of the times that a refusal says to stay away; a date counts as unreadable, since it would be by
/// another clock.
fn retry_after(headers: &HeaderMap) -> Option<RetryAfter> {
    let told = headers.get_all(header::RETRY_AFTER).iter();
    let times_ms: Vec<Option<u64>> = told
        .map(|value| value.to_str().ok().and_then(seconds_as_ms))
        .collect();
    if times_ms.is_empty() {
        return None;
    }
    let longest_ms = times_ms.into_iter().flatten().max();
    Some(longest_ms.map_or(RetryAfter::Unreadable, RetryAfter::ForMs))
}

/// The lowest of the limits that an answer names.
fn named_limit(headers: &HeaderMap, name: &HeaderName) -> Option<DeclaredLimit> {
    let named = headers.get_all(name).iter();
    let limits: Vec<Option<u32>> = named
        .map(|value| value.to_str().ok().and_then(per_s_as_per_1000_s))
        .collect();
    if limits.is_empty() {
        return None;
    }
    let lowest = limits.into_iter().flatten().min();
    Some(lowest.map_or(DeclaredLimit::Unreadable, DeclaredLimit::Per1000S))
}

/// A rate a second, fractions included, as a whole one in a thousand seconds; rounded down, so that it is never more
/// than was named.
fn per_s_as_per_1000_s(value: &str) -> Option<u32> {
    let per_s: f64 = value.trim().parse().ok()?;
    (per_s.is_finite() && per_s >= 0.0).then_some((per_s * 1_000.0) as u32)
}

/// Seconds, fractions included, in whole milliseconds; rounded up, so that no part of them is lost.
fn seconds_as_ms(value: &str) -> Option<u64> {
    let seconds: f64 = value.trim().parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some((seconds * 1_000.0).ceil() as u64)
}

fn prompt_parts(value: &str) -> Vec<PromptPart> {
    let part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart {
            id_hash: hash64(&[id.as_bytes()]),
            tokens: tokens.parse().ok()?,
        })
    };
    value.split(',').filter_map(part).collect()
}

fn reported_load(value: &str) -> Option<ReportedLoad> {
    let mut counts = value.split(',').map(|count| count.trim().parse().ok());
    Some(ReportedLoad {
        running: counts.next()??,
        waiting: counts.next()??,
    })
}
