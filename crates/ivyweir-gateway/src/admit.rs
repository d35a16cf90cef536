//! Reads a request and finds out whether, and how, it is served.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header;
use hyper::http::request::Parts;
use ivyweir_policy::gateway::quarantine::{Fingerprint, RequestContent};
use ivyweir_policy::gateway::site::{Access, Route, SiteIndex, Workspace};
use serde_json::json;
use tokio::time::{Instant, timeout, timeout_at};

use crate::dialect::RequestMetadata;
use crate::error_response::ErrorReason;
use crate::job::{self, Job};
use crate::log::Trace;
use crate::state::Gateway;

/// Time for a body to arrive where the caller names none.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest body before a configuration tells the limit.
const BODY_DEFAULT_BYTES: usize = 1 << 20;
/// Longest wait of a request for a box that has just started to know its configuration. Boxes that all
/// start together know it after 0.1 to 0.5 s; one that takes longer says when to come back instead.
const START_WAIT: Duration = Duration::from_millis(500);
/// Time after the order to stop in which the balancer may still send work here.
pub const STOP_NOTICE_MS: u64 = 2_400;

/// Reads a request and finds out whether and how it is served.
pub async fn admit(
    gateway: &Arc<Gateway>,
    head: Parts,
    body: Incoming,
    arrived_ms: u64,
    trace: &mut Trace,
) -> Result<Job, ErrorReason> {
    // The body is read before any answer: a connection with unread bytes is reset when it closes.
    let body = read_body(body, gateway.site().as_deref()).await?;
    if is_past_notice(gateway) {
        return Err(ErrorReason::Stopping);
    }
    let site = site_once_synced(gateway).await?;
    let host = host_of(&head).ok_or(ErrorReason::BadRequest)?;
    let route = site
        .route(host, head.uri.path())
        .ok_or_else(|| deny(gateway, ErrorReason::NoRoute))?
        .clone();
    let envelope = gateway.dialect.request_metadata(&head.headers);
    let workspace = workspace_of(gateway, &site, &route, &envelope)?;
    let seed = job::seed_of(&envelope);
    let pool = route.pool(seed).ok_or(ErrorReason::NoUpstream)?.clone();
    let side = gateway.side(&pool, envelope.session, seed);
    let budget_ms = envelope.budget_ms.unwrap_or(route.timeout_ms);
    let deadline_ms = arrived_ms + budget_ms.min(route.timeout_ms);
    let fingerprint = Fingerprint::of(&RequestContent {
        method: head.method.as_str(),
        host,
        path: head.uri.path_and_query().map_or("/", |path| path.as_str()),
        workspace: workspace.as_ref().map(|w| &*w.name),
        body: &body,
    });
    trace.step(
        "admitted",
        json!({
            "route": route.name, "pool": pool, "site_version": site.site().version,
            "proof_age_ms": gateway.proof_age_ms(), "budget_ms": budget_ms,
            "side": side.map(|s| format!("{s:?}")), "fingerprint": fingerprint.to_string(),
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
        fingerprint,
    })
}

/// The configuration; a box that has just started soon knows it, and that it is the newest, so a
/// request waits for that.
async fn site_once_synced(gateway: &Gateway) -> Result<Arc<SiteIndex>, ErrorReason> {
    let waits = || !gateway.is_synced() || gateway.is_starting();
    if waits() {
        let until = Instant::now() + START_WAIT;
        let mut news = gateway.histories.news();
        while waits() && timeout_at(until, news.changed()).await.is_ok() {}
    }
    // Without a proof it may still serve those that need no key.
    let site = gateway.site().filter(|_| gateway.is_synced());
    site.ok_or_else(|| unknown_site(gateway))
}

/// Why a box that knows no configuration refuses.
fn unknown_site(gateway: &Gateway) -> ErrorReason {
    if gateway.peers.is_young() {
        ErrorReason::Starting
    } else {
        ErrorReason::NotCurrent
    }
}

/// Whose request it is; none where nobody needs a key.
fn workspace_of(
    gateway: &Gateway,
    site: &SiteIndex,
    route: &Route,
    envelope: &RequestMetadata,
) -> Result<Option<Arc<Workspace>>, ErrorReason> {
    match site.access(route, envelope.key.as_deref()) {
        Access::Anonymous => Ok(None),
        Access::Denied => Err(deny(gateway, ErrorReason::Unauthorized)),
        Access::Workspace(_) if !gateway.may_serve_keys() => Err(ErrorReason::NotCurrent),
        Access::Workspace(workspace) => Ok(Some(workspace)),
    }
}

/// A refusal of what does not exist, as far as this box may say so.
fn deny(gateway: &Gateway, reason: ErrorReason) -> ErrorReason {
    if gateway.may_deny() {
        reason
    } else {
        ErrorReason::NotCurrent
    }
}

/// Whether a request came too late for the balancer not to have noticed the stop.
fn is_past_notice(gateway: &Gateway) -> bool {
    let stopping_ms = gateway.stopping_for_ms();
    stopping_ms.is_some_and(|ms| ms > STOP_NOTICE_MS)
}

async fn read_body(body: Incoming, site: Option<&SiteIndex>) -> Result<Bytes, ErrorReason> {
    let limits = site.and_then(|site| site.site().limits);
    let max_bytes = limits.map_or(BODY_DEFAULT_BYTES, |l| l.max_body_bytes);
    let gathered = timeout(BODY_TIMEOUT, Limited::new(body, max_bytes).collect()).await;
    match gathered {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(ErrorReason::TooLarge),
        Ok(Err(_)) => Err(ErrorReason::BadRequest),
        Err(_) => Err(ErrorReason::BodyTimeout),
    }
}

fn host_of(head: &Parts) -> Option<&str> {
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|value| value.to_str().ok());
    let host = host.or_else(|| head.uri.authority().map(|a| a.as_str()))?;
    Some(host.split(':').next().unwrap_or(host))
}
