//! An admitted request, with everything that is needed to send it to an upstream.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderName};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Uri};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::placement::PlacementRequest;
use ivyweir_policy::gateway::quarantine::{RequestIdentity, RunKey};
use ivyweir_policy::gateway::relay_buffer::ReaderLimits;
use ivyweir_policy::gateway::rollout::Side;
use ivyweir_policy::gateway::send_count::SendCount;
use ivyweir_policy::gateway::site::{Route, Workspace};
use ivyweir_policy::gateway::urgency::Band;
use ivyweir_policy::gateway::work::{self, Estimate, Tokens};
use ivyweir_policy::hash::{hash64, mix};

use crate::caller_io::CallerConnection;
use crate::dialect::{Dialect, ForwardMetadata, RequestMetadata};
use crate::handover::HandedOver;
use crate::relay_buffer::{RelayBuffer, RelayBuffers};
use crate::settings::Settings;
use crate::state::Gateway;

/// Hop-by-hop headers that `http` has constants for.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];
/// Hop-by-hop headers that `http` has no constants for.
const HOP_BY_HOP_OTHER: [&str; 2] = ["keep-alive", "proxy-connection"];

/// An admitted request.
#[derive(Debug)]
pub struct Job {
    /// Method, path and the headers to forward.
    pub head: Parts,
    /// The complete body.
    pub body: Bytes,
    /// The caller's connection; `None` if another box handed the request over.
    pub caller: Option<Arc<CallerConnection>>,
    /// Metadata from the caller's headers.
    pub metadata: RequestMetadata,
    pub route: Arc<Route>,
    pub pool: Name,
    /// The caller's workspace; `None` for anonymous access.
    pub workspace: Option<Arc<Workspace>>,
    /// Whether the request was authorized by a key, which may be revoked.
    pub is_authenticated: bool,
    /// Time at which it arrived.
    pub arrived_ms: u64,
    /// Time by which its response must be complete.
    pub deadline_ms: u64,
    /// Class among the requests that compete for an upstream, 0 first; see `SiteIndex::class`.
    pub class: u8,
    /// The roll-out side that serves it.
    pub side: Option<Side>,
    /// Seed for all choices made by hash; see [`request_seed`].
    pub seed: u64,
    /// Set if another box handed the request over.
    pub handed_over: Option<Arc<HandedOver>>,
    /// Identifies the request by its content, so that it is the same for all retries, and the shared parts of its
    /// prompt.
    pub identity: RequestIdentity,
}

impl Job {
    /// Returns its priority, 0 first: the workspace's, or else the route's.
    pub fn priority(&self) -> u8 {
        let workspace_priority = self.workspace.as_ref().and_then(|w| w.priority);
        workspace_priority.unwrap_or(self.route.priority)
    }

    /// Returns the count of its sends before its first one by this box.
    pub fn send_count(&self) -> SendCount {
        let limit = self.route.max_attempts;
        match &self.handed_over {
            None => SendCount::new(0, limit, Vec::new()),
            Some(handed) => SendCount::new(
                handed.sends,
                handed.limit.unwrap_or(limit).min(limit),
                handed.rejected.clone(),
            ),
        }
    }

    /// Whether another box can be asked to serve it. A request is handed over once at most.
    pub fn may_be_handed_over(&self, gateway: &Gateway) -> bool {
        self.handed_over.is_none() && gateway.peers.peer_count() > 0
    }

    /// Returns the time at which its response is late.
    pub fn target_ms(&self) -> u64 {
        self.arrived_ms + self.route.latency_aim_ms
    }

    /// Returns whether the gateway chooses the model.
    pub fn chooses_model(&self) -> bool {
        self.metadata.auto_model && !self.route.models.is_empty()
    }

    /// Returns whether the caller names a model where the gateway may choose one.
    pub fn names_own_model(&self) -> bool {
        !self.metadata.auto_model && !self.route.models.is_empty()
    }

    /// Returns the key of the group in which response times are compared: same route and same model.
    pub fn lane(&self, model: usize) -> u64 {
        mix(hash64(&[self.route.name.as_bytes()]), model as u64)
    }

    /// Returns the key under which its run at an upstream is tracked.
    pub fn run_key(&self) -> RunKey {
        RunKey {
            identity: self.identity.clone(),
            try_hash: self.seed as u32,
        }
    }

    /// Estimates the work for an upstream whose model prefills at `ms_per_token`.
    pub fn estimate(&self, ms_per_token: f64) -> Estimate {
        work::estimate(self.tokens(), ms_per_token)
    }

    /// Opens a buffer for its answer; `None` if buffers are not bounded.
    pub fn open_buffer(&self, buffers: &Arc<RelayBuffers>) -> RelayBuffer {
        let limits = ReaderLimits::for_route(&self.route);
        let request_id = self.metadata.request_id.clone();
        buffers.open(limits, self.caller.clone(), request_id)
    }

    /// Returns the placement request for the model at this index.
    pub fn placement_request<'a>(
        &self,
        model: usize,
        estimate: Estimate,
        settings: &'a Settings,
    ) -> PlacementRequest<'a> {
        let policy = &settings.policy;
        let affinity_part = self
            .metadata
            .shared_parts()
            .last()
            .filter(|_| policy.draw_shared);
        PlacementRequest {
            prefix: affinity_part.map(|part| mix(part.id_hash, model as u64)),
            engine: self.tokens().map(|_| estimate),
            hall: &settings.hall,
            far_engine_ms: policy.far_engine_ms,
            band: Band::LAST,
            forecast: false,
            avoid_failing: policy.avoid_failing,
            seed: self.seed,
            isolation_hash: None,
        }
    }

    /// Returns its token counts, if the caller states them.
    pub fn tokens(&self) -> Option<Tokens> {
        let (own, shared) = self.metadata.prompt_parts.split_last()?;
        Some(Tokens {
            shared: shared.iter().map(|part| part.tokens).sum(),
            unique: own.tokens,
            output: self.metadata.expected_output_tokens.unwrap_or(0),
        })
    }

    /// Builds the request that is sent to an upstream.
    pub fn upstream_request(
        &self,
        dialect: &dyn Dialect,
        forward: &ForwardMetadata,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        dialect.add_forward_headers(request.headers_mut(), forward);
        request
    }
}

/// Converts the caller's request head to the one that is forwarded: the URI in origin form, without hop-by-hop
/// headers and without those that only the system may set.
pub fn forwarded_head(mut head: Parts, dialect: &dyn Dialect) -> Parts {
    if let Some(path) = head.uri.path_and_query() {
        head.uri = Uri::from(path.clone());
    }
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head.headers.remove(header::EXPECT);
    dialect.strip_reserved_headers(&mut head.headers);
    head.extensions.clear();
    head
}

/// Removes hop-by-hop headers, including those that the `Connection` header names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|token| token.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_OTHER {
        headers.remove(name);
    }
}

/// Returns a number that differs between requests. It is derived from the request id, so that all boxes compute the
/// same one; without an id it is random.
pub fn request_seed(metadata: &RequestMetadata) -> u64 {
    match &metadata.request_id {
        Some(id) => hash64(&[id.as_bytes()]),
        None => rand::random(),
    }
}
