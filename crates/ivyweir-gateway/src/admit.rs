//! Request admission: reads the body, then resolves the route, workspace, pool and deadline.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header;
use hyper::http::request::Parts;
use ivyweir_policy::gateway::quarantine::{Fingerprint, RequestContent, RequestIdentity};
use ivyweir_policy::gateway::site::{Access, Route, Workspace};
use ivyweir_policy::gateway::stop::ExpectedTime;
use serde_json::json;
use tokio::time::{Instant, timeout, timeout_at};

use crate::dialect::RequestMetadata;
use crate::error_response::ErrorReason;
use crate::handover::HandedOver;
use crate::job::{self, Job};
use crate::log::{Trace, fingerprint_texts};
use crate::pieces::Pieces;
use crate::relay_buffer::{BodyRead, RelayBuffers};
use crate::state::{Gateway, SiteView};

/// Time limit for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest request body while no configuration sets a limit.
const DEFAULT_MAX_BODY_BYTES: usize = 1 << 20;
/// Longest time that a request waits for a newly started box to load its configuration. Boxes that all
/// start together need 0.1 to 0.5 s; if it takes longer, the request is refused with a retry time.
const STARTUP_SYNC_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads a request and decides whether it is served, and with which route, pool and deadline.
pub async fn admit(
    gateway: &Arc<Gateway>,
    head: Parts,
    body: Incoming,
    arrived_ms: u64,
    trace: &mut Trace,
) -> Result<Job, ErrorReason> {
    // The body is read before any response is sent: closing a connection with unread data resets it.
    let body = read_body(gateway, body, trace).await?;
    let view = wait_for_site(gateway).await?;
    let site = &view.index;
    let host = host_of(&head).ok_or(ErrorReason::BadRequest)?;
    let route = site
        .route(host, head.uri.path())
        .ok_or_else(|| deny_if_current(&view, ErrorReason::NoRoute))?
        .clone();
    let metadata = gateway.dialect.request_metadata(&head.headers);
    let workspace = authorize(&view, &route, &metadata)?;
    let seed = job::request_seed(&metadata);
    let pool = route.pool(seed).ok_or(ErrorReason::NoUpstream)?.clone();
    let side = gateway.rollout_side(&pool, metadata.session, seed);
    let handed_over = head.extensions.get::<Arc<HandedOver>>().cloned();
    let elapsed_ms = handed_over.as_ref().map_or(0, |handed| handed.elapsed_ms);
    let arrived_ms = arrived_ms.saturating_sub(elapsed_ms);
    let stated_ms = match &handed_over {
        Some(handed) => handed.budget_ms,
        None => metadata.budget_ms,
    };
    let budget_ms = stated_ms.unwrap_or(route.timeout_ms);
    let deadline_ms = arrived_ms + budget_ms.min(route.timeout_ms);
    let deadline_ms = deadline_in_stop(gateway, &route, deadline_ms)?;
    let fingerprint = Fingerprint::of(&RequestContent {
        method: head.method.as_str(),
        host,
        path: head.uri.path_and_query().map_or("/", |path| path.as_str()),
        workspace: workspace.as_ref().map(|w| &*w.name),
        body: &body,
    });
    let shared_parts = metadata.shared_parts().iter().map(|part| part.id_hash);
    let identity = RequestIdentity::new(fingerprint, &pool, shared_parts);
    trace.step(
        "admitted",
        json!({
            "route": route.name, "pool": pool, "workspace": workspace.as_ref().map(|w| &w.name),
            "workspace_priority": workspace.as_ref().and_then(|w| w.priority), "route_priority": route.priority, "site_version": site.site().version,
            "proof_age_ms": gateway.proof_age_ms(), "budget_ms": budget_ms,
            "side": side.map(|s| format!("{s:?}")), "fingerprint": fingerprint.to_string(),
            "parts": fingerprint_texts(&*identity.parts),
        }),
    );
    let class = site.class(&route, workspace.as_deref());
    let caller = head.extensions.get().cloned();
    Ok(Job {
        class,
        head: job::forwarded_head(head, &*gateway.dialect),
        body,
        caller,
        is_authenticated: workspace.is_some(),
        metadata,
        route,
        pool,
        workspace,
        arrived_ms,
        deadline_ms,
        side,
        seed,
        handed_over,
        identity,
    })
}

/// Returns the configuration. A newly started box soon has it, with proof that it is the newest, so the
/// request waits for that up to `STARTUP_SYNC_TIMEOUT`.
async fn wait_for_site(gateway: &Gateway) -> Result<SiteView, ErrorReason> {
    let must_wait = || !gateway.is_synced() || gateway.is_starting();
    if must_wait() {
        let until = Instant::now() + STARTUP_SYNC_TIMEOUT;
        let mut updates = gateway.histories.subscribe();
        while must_wait() && timeout_at(until, updates.changed()).await.is_ok() {}
    }
    // Without that proof, the box may still serve requests that need no key.
    let view = gateway.site_view().filter(|_| gateway.is_synced());
    view.ok_or_else(|| missing_site_reason(gateway))
}

/// Returns the refusal reason of a box without a configuration.
fn missing_site_reason(gateway: &Gateway) -> ErrorReason {
    if gateway.peers.is_fleet_starting() {
        ErrorReason::Starting
    } else {
        ErrorReason::NotCurrent
    }
}

/// Checks the caller's key and returns its workspace; `None` if the route allows anonymous access.
fn authorize(
    view: &SiteView,
    route: &Route,
    metadata: &RequestMetadata,
) -> Result<Option<Arc<Workspace>>, ErrorReason> {
    match view.index.access(route, metadata.key.as_deref()) {
        Access::Anonymous => Ok(None),
        Access::Denied => Err(deny_if_current(view, ErrorReason::Unauthorized)),
        Access::Workspace(_) if !view.serves_keys => Err(ErrorReason::NotCurrent),
        Access::Workspace(workspace) => Ok(Some(workspace)),
    }
}

/// Returns `reason` if this box may report that a route or key does not exist, and otherwise that its
/// configuration may be out of date.
fn deny_if_current(view: &SiteView, reason: ErrorReason) -> ErrorReason {
    if view.may_report_not_found {
        reason
    } else {
        ErrorReason::NotCurrent
    }
}

/// Returns the deadline of a request, or a refusal if this box stops and its answer cannot be expected before the end. Of
/// a request that is accepted, the answer is due before the end, so that its upstream gives up in time.
fn deadline_in_stop(
    gateway: &Gateway,
    route: &Route,
    deadline_ms: u64,
) -> Result<u64, ErrorReason> {
    let (Some(stopping_ms), Some(answers_until_ms)) =
        (gateway.stopping_for_ms(), gateway.answers_until_ms())
    else {
        return Ok(deadline_ms);
    };
    let expected = ExpectedTime {
        kind: route.kind,
        latency_aim_ms: route.latency_aim_ms,
        budget_ms: deadline_ms.saturating_sub(gateway.clock.now_ms()),
    };
    if !gateway.stop_schedule().accepts(stopping_ms, expected) {
        return Err(ErrorReason::Stopping);
    }
    if route.kind.is_stream() {
        return Ok(deadline_ms);
    }
    Ok(deadline_ms.min(answers_until_ms))
}

async fn read_body(
    gateway: &Gateway,
    body: Incoming,
    trace: &mut Trace,
) -> Result<Bytes, ErrorReason> {
    let limits = gateway.site().and_then(|site| site.site().limits);
    let max_bytes = limits.map_or(DEFAULT_MAX_BODY_BYTES, |l| l.max_body_bytes);
    let body = Limited::new(body, max_bytes);
    read_counted_body(&gateway.relay_buffers, body, trace).await
}

/// Reads a body that counts from the receipt of its first bytes. If there is no room, it is read to its end without
/// being kept.
async fn read_counted_body(
    buffers: &Arc<RelayBuffers>,
    mut body: Limited<Incoming>,
    trace: &mut Trace,
) -> Result<Bytes, ErrorReason> {
    let mut kept = buffers.make_room_to_start().then(|| {
        (
            Pieces::default(),
            buffers.open_body(Some(trace.request_id())),
        )
    });
    let reading = async {
        loop {
            if let Some((_, buffer)) = &kept {
                let has_room = tokio::select! {
                    biased;
                    () = buffer.ended() => return Err(ErrorReason::BodyTimeout),
                    has_room = buffer.wait_for_room_if_any() => has_room,
                };
                if !has_room {
                    kept = None;
                }
            }
            let frame = match &kept {
                Some((_, buffer)) => tokio::select! {
                    biased;
                    () = buffer.ended() => return Err(ErrorReason::BodyTimeout),
                    frame = buffer.next_frame(&mut body) => frame,
                },
                None => body.frame().await.into(),
            };
            let frame = match frame {
                BodyRead::Frame(frame) => frame.map_err(|e| body_error(&*e))?,
                BodyRead::End => return Ok(()),
                BodyRead::NoRoom => continue,
            };
            if let (Some((pieces, buffer)), Some(data)) = (&mut kept, frame.data_ref()) {
                buffer.receive(data.len());
                pieces.push(data);
            }
        }
    };
    let read = timeout(BODY_TIMEOUT, reading).await;
    read.map_err(|_| ErrorReason::BodyTimeout)??;
    let Some((pieces, buffer)) = kept else {
        let figures = buffers.figures();
        let detail = json!({"held_bytes": figures.held_bytes, "limit_bytes": figures.limit_bytes});
        trace.fail("buffers_full", detail);
        return Err(ErrorReason::BuffersFull);
    };
    Ok(buffer.hold(pieces.into_bytes()))
}

fn body_error(error: &(dyn std::error::Error + Send + Sync + 'static)) -> ErrorReason {
    if error.is::<http_body_util::LengthLimitError>() {
        ErrorReason::TooLarge
    } else {
        ErrorReason::BadRequest
    }
}

fn host_of(head: &Parts) -> Option<&str> {
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|value| value.to_str().ok());
    let host = host.or_else(|| head.uri.authority().map(|a| a.as_str()))?;
    Some(host.split(':').next().unwrap_or(host))
}
