//! The configuration in force: routes, pools, limits and who may call.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::gateway::cold::ColdStart;
use crate::gateway::duty::supply::Scaling;

/// What may be done with a request of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Answered by a series of events.
    Stream {
        /// Whether another upstream may continue it behind an event.
        resumable: bool,
        /// Longest pause between events that still counts as in time.
        gap_aim_ms: u64,
    },
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
}

impl RouteKind {
    /// Whether a request may run again after it may have run.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Stream { resumable, .. } => resumable,
            Self::Safe => true,
            Self::Unsafe => false,
        }
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A pool's part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolShare {
    /// The pool.
    pub pool: Name,
    /// Its part relative to the other weights of the route.
    pub weight: u32,
}

/// Where requests of a host and path go, and within which bounds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// The host it serves.
    pub host: Name,
    /// What its paths start with.
    pub path_prefix: Name,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// Longest time for which a request is held.
    pub timeout_ms: u64,
    /// Time within which an answer is worth most.
    pub latency_aim_ms: u64,
    /// Rank, 0 first.
    pub priority: u8,
    /// Models to choose from, smallest first; empty where the caller names it.
    pub models: Vec<Name>,
    /// Pools that serve it.
    pub pools: Vec<PoolShare>,
    /// Largest number of upstreams one request may be sent to.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub anonymous: bool,
}

impl Route {
    /// The pool for a request; `draw` is spread evenly over all of `u64`.
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

/// A group of upstreams that serve the same.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolSpec {
    /// Its name.
    pub name: Name,
    /// Connections that one of its upstreams accepts from all callers.
    pub max_connections: u32,
    /// Whether its upstreams are model engines.
    pub is_engine: bool,
    /// How its upstreams are cold after their start, if they are.
    #[serde(default)]
    pub cold_start: Option<ColdStart>,
    /// How many upstreams may be ordered, where the platform starts and ends them on order.
    #[serde(default)]
    pub scaling: Option<Scaling>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time for a request's head to arrive.
    pub header_timeout_ms: u64,
    /// Time after which an idle connection is closed.
    pub idle_timeout_ms: u64,
}

/// A customer and its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: Name,
    /// Keys of its callers.
    pub keys: Vec<Name>,
    /// Rank of its requests, in place of the route's.
    pub priority: Option<u8>,
}

/// One version of the whole configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Site {
    /// Grows with every version.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All pools.
    pub pools: Vec<PoolSpec>,
    /// Bounds on callers.
    pub limits: Option<CallerLimits>,
    /// Customers; none where keys are not asked for.
    pub workspaces: Vec<Arc<Workspace>>,
}

/// Who calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// Nobody in particular, and that is allowed.
    Anonymous,
    /// A caller of this workspace.
    Workspace(Arc<Workspace>),
    /// Somebody who may not.
    Denied,
}

/// A [`Site`] with the indexes that requests need.
#[derive(Debug, Default)]
pub struct SiteIndex {
    site: Site,
    routes_by_host: HashMap<Name, Vec<Arc<Route>>>,
    workspaces_by_key: HashMap<Name, Arc<Workspace>>,
    pools: HashMap<Name, PoolSpec>,
}

impl From<Site> for SiteIndex {
    fn from(site: Site) -> Self {
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
            site,
        }
    }
}

impl SiteIndex {
    /// The configuration itself.
    pub fn site(&self) -> &Site {
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

    /// Whether requests of `route` must carry a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        !route.anonymous && !self.site.workspaces.is_empty()
    }

    /// Who calls `route` with `key`.
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
