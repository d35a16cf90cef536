//! A request that was admitted, with all that is needed to send it.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderName};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Uri};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::placement::PlacementRequest;
use ivyweir_policy::gateway::quarantine::{Fingerprint, RunKey};
use ivyweir_policy::gateway::rollout::Side;
use ivyweir_policy::gateway::site::{Route, Workspace};
use ivyweir_policy::gateway::work::{self, Estimate, Tokens};
use ivyweir_policy::hash::{hash64, mix};

use crate::dialect::{Dialect, ForwardMetadata, PromptPart, RequestMetadata};
use crate::settings::Settings;

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];
/// Further ones without a name in the library.
const HOP_BY_HOP_OTHER: [&str; 2] = ["keep-alive", "proxy-connection"];

/// An admitted request.
#[derive(Debug)]
pub struct Job {
    /// Method, path and the headers that are passed on.
    pub head: Parts,
    /// The whole body.
    pub body: Bytes,
    /// What the caller says.
    pub envelope: RequestMetadata,
    /// Its route.
    pub route: Arc<Route>,
    /// Its pool.
    pub pool: Name,
    /// Whose request it is.
    pub workspace: Option<Arc<Workspace>>,
    /// Whether it was let in by a key that may be withdrawn.
    pub is_keyed: bool,
    /// When it arrived.
    pub arrived_ms: u64,
    /// When it must have its final answer.
    pub deadline_ms: u64,
    /// The side of a roll-out that serves it.
    pub side: Option<Side>,
    /// Differs between requests.
    pub seed: u64,
    /// The same for all tries of a request.
    pub fingerprint: Fingerprint,
}

impl Job {
    /// Its rank among others, 0 first: the workspace's, or else the route's.
    pub fn rank(&self) -> u8 {
        let of_workspace = self.workspace.as_ref().and_then(|w| w.priority);
        of_workspace.unwrap_or(self.route.priority)
    }

    /// Whether the system chooses the model.
    pub fn chooses_model(&self) -> bool {
        self.envelope.auto_model && !self.route.models.is_empty()
    }

    /// Answers that are alike: those of the same route and model.
    pub fn lane(&self, model: usize) -> u64 {
        mix(hash64(&[self.route.name.as_bytes()]), model as u64)
    }

    /// What is remembered of it at an upstream.
    pub fn run_key(&self) -> RunKey {
        RunKey {
            fingerprint: self.fingerprint,
            try_hash: self.seed as u32,
        }
    }

    /// What the request takes of an upstream whose model reads a token in `ms_per_token`.
    pub fn estimate(&self, ms_per_token: f64) -> Estimate {
        work::estimate(self.tokens(), ms_per_token)
    }

    /// What is asked of an upstream for the model in this place.
    pub fn ask<'a>(
        &self,
        model: usize,
        estimate: Estimate,
        settings: &'a Settings,
    ) -> PlacementRequest<'a> {
        let policy = &settings.policy;
        let drawing = self.shared_parts().last().filter(|_| policy.draw_shared);
        PlacementRequest {
            prefix: drawing.map(|part| mix(part.id_hash, model as u64)),
            engine: self.tokens().map(|_| estimate),
            hall: &settings.hall,
            far_engine_ms: policy.far_engine_ms,
            avoid_failing: policy.avoid_failing,
            seed: self.seed,
            isolation_hash: None,
        }
    }

    /// Its tokens, where the caller tells them.
    pub fn tokens(&self) -> Option<Tokens> {
        let (own, shared) = self.envelope.prompt_parts.split_last()?;
        Some(Tokens {
            shared: shared.iter().map(|part| part.tokens).sum(),
            unique: own.tokens,
            output: self.envelope.expected_output_tokens.unwrap_or(0),
        })
    }

    /// The request as it is sent to an upstream.
    pub fn request(
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

    fn shared_parts(&self) -> &[PromptPart] {
        match self.envelope.prompt_parts.split_last() {
            Some((_, shared)) => shared,
            None => &[],
        }
    }
}

/// The head as it is passed on: origin form, without what is the connection's or the system's.
pub fn passed_on(mut head: Parts, dialect: &dyn Dialect) -> Parts {
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

/// Removes headers that concern one connection only.
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

/// A number that differs between requests, the same on all boxes.
pub fn seed_of(envelope: &RequestMetadata) -> u64 {
    match &envelope.request_id {
        Some(id) => hash64(&[id.as_bytes()]),
        None => rand::random(),
    }
}
