//! Site configuration of the gateway: routes, pools, caller limits and access control.

mod range;

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::gateway::cold::ColdStart;
use crate::gateway::duty::scaling::Scaling;

pub use range::MAX_TIME_MS;

/// Kind of a route, which determines how its requests are answered and whether they may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Answered by a stream of events.
    Stream {
        /// Whether another upstream can resume the stream after a given event.
        resumable: bool,
        /// Target for the maximum gap between events.
        gap_aim_ms: u64,
    },
    /// Safe to run more than once.
    Safe,
    /// Must not run more than once.
    Unsafe,
}

impl RouteKind {
    /// Whether a request that may already have run can be run again.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Stream { resumable, .. } => resumable,
            Self::Safe => true,
            Self::Unsafe => false,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Share of a route's requests that a pool receives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolShare {
    /// Name of the pool.
    pub pool: Name,
    /// Weight of the pool relative to the other pools of the route.
    pub weight: u32,
}

/// Routing rule for the requests of a host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host that the route matches.
    pub host: Name,
    /// Path prefix that the route matches.
    pub path_prefix: Name,
    /// Kind of the route.
    pub kind: RouteKind,
    /// Maximum time for which a request is held.
    pub timeout_ms: u64,
    /// Target latency of answers.
    pub latency_aim_ms: u64,
    /// Priority of requests; 0 is the highest.
    pub priority: u8,
    /// Models to choose from, smallest first. Empty if the caller names the model.
    pub models: Vec<Name>,
    /// Pools that serve the route.
    pub pools: Vec<PoolShare>,
    /// Maximum number of upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests without a key are accepted.
    pub anonymous: bool,
}

impl Route {
    /// Selects a pool by weight. `draw` is uniformly distributed over `u64`. Returns `None` if all weights are 0.
    pub fn pool(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.pools.iter().map(|s| u64::from(s.weight)).sum();
        let mut rest = draw.checked_rem(total)?;
        for share in &self.pools {
            let weight = u64::from(share.weight);
            if rest < weight {
                return Some(&share.pool);
            }
            rest -= weight;
        }
        None
    }
}

/// Capacity of each model engine of a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineCapacity {
    /// Number of requests that an engine runs at once.
    pub slots: u32,
    /// Memory for the prompts and answers of running requests and for cached prompts, in tokens.
    pub memory_tokens: u32,
    /// Price of each model per 1,000 generated tokens; a token of the prompt counts as a quarter.
    pub model_costs: Vec<(Name, f64)>,
}

/// Group of interchangeable upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolSpec {
    /// Name of the pool.
    pub name: Name,
    /// Maximum number of connections that each upstream accepts, over all callers.
    pub max_connections: u32,
    /// Whether the upstreams are model engines.
    pub is_engine: bool,
    /// Capacity of each engine, if the configuration states it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineCapacity>,
    /// Cold-start behaviour of the upstreams, if they have a cold start.
    #[serde(default)]
    pub cold_start: Option<ColdStart>,
    /// Scaling limits, if the platform starts and stops upstreams on order.
    #[serde(default)]
    pub scaling: Option<Scaling>,
}

/// Limits on callers' connections and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Time limit for receiving a request's head.
    pub header_timeout_ms: u64,
    /// Time after which an idle connection is closed.
    pub idle_timeout_ms: u64,
}

/// A named set of API keys with an optional request priority.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Name,
    /// API keys that belong to the workspace.
    pub keys: Vec<Name>,
    /// Priority of its requests, overriding that of the route.
    pub priority: Option<u8>,
}

/// One version of the complete site configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteConfig {
    /// Version number, which increases with every change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All pools.
    pub pools: Vec<PoolSpec>,
    /// Limits on callers.
    pub limits: Option<CallerLimits>,
    /// Customers. Empty if no keys are required.
    pub workspaces: Vec<Arc<Workspace>>,
}

/// Result of the access check of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// Allowed without a key.
    Anonymous,
    /// Allowed as a caller of this workspace.
    Workspace(Arc<Workspace>),
    /// Rejected.
    Denied,
}

/// A [`SiteConfig`] with indexes for request lookups.
#[derive(Debug, Default)]
pub struct SiteIndex {
    site: SiteConfig,
    routes_by_host: HashMap<Name, Vec<Arc<Route>>>,
    workspaces_by_key: HashMap<Name, Arc<Workspace>>,
    pools: HashMap<Name, PoolSpec>,
    /// Priority of the least urgent workspace that has one.
    last_priority: Option<u8>,
}

impl From<SiteConfig> for SiteIndex {
    fn from(mut site: SiteConfig) -> Self {
        site.bound();
        let mut routes_by_host: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in &site.routes {
            let routes = routes_by_host.entry(route.host.clone()).or_default();
            routes.push(route.clone());
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut workspaces_by_key = HashMap::new();
        for workspace in &site.workspaces {
            for key in &workspace.keys {
                workspaces_by_key.insert(key.clone(), workspace.clone());
            }
        }
        let pools = site.pools.iter().map(|p| (p.name.clone(), p.clone()));
        Self {
            routes_by_host,
            workspaces_by_key,
            pools: pools.collect(),
            last_priority: site.workspaces.iter().filter_map(|w| w.priority).max(),
            site,
        }
    }
}

impl SiteIndex {
    /// The indexed configuration.
    pub fn site(&self) -> &SiteConfig {
        &self.site
    }

    /// The pool of this name.
    pub fn pool(&self, name: &str) -> Option<&PoolSpec> {
        self.pools.get(name)
    }

    /// The route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes_by_host.get(host)?;
        routes.iter().find(|r| path.starts_with(&*r.path_prefix))
    }

    /// Class of a request among those that compete for an upstream; 0 is the most urgent.
    ///
    /// The priority of the workspace goes before that of the route: requests of a workspace that is more urgent than
    /// others are all in the first class. Where workspaces have the same priority, or none, the route decides.
    pub fn class(&self, route: &Route, workspace: Option<&Workspace>) -> u8 {
        let priority = workspace.and_then(|workspace| workspace.priority);
        if priority < self.last_priority && priority.is_some() {
            return 0;
        }
        route.priority
    }

    /// Whether requests to `route` must carry a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        !route.anonymous && !self.site.workspaces.is_empty()
    }

    /// Checks the access of a request to `route` with `key`.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access {
        if self.site.workspaces.is_empty() {
            return Access::Anonymous;
        }
        match key {
            Some(key) => match self.workspaces_by_key.get(key) {
                Some(workspace) => Access::Workspace(workspace.clone()),
                None => Access::Denied,
            },
            None if route.anonymous => Access::Anonymous,
            None => Access::Denied,
        }
    }
}
