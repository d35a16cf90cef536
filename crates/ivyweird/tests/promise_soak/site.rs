//! The configuration of a soak: routes that send a request once, twice and three times, and streams of each kind.

use std::sync::Arc;

use ivyweir_policy::gateway::site::{PoolShare, PoolSpec, Route, RouteKind, SiteConfig};
use ivyweir_standins::edge::{KEY, site_config_for_pool};

use super::callers::MAX_BODY_BYTES;

/// Pool of plain requests.
pub const POOL: &str = "erratic";
/// Pool of streams, where they have one of their own.
pub const ENGINES: &str = "erratic-engines";
/// Routes by name. Requests of "safe" and "stream" may be repeated, others may not.
pub const ROUTES: [&str; 7] = [
    "unsafe", "unsafe2", "unsafe3", "once", "once3", "stream", "safe",
];
/// Keys of callers; the second one is revoked at times.
pub const KEYS: [&str; 2] = [KEY, "key-that-is-revoked"];
/// Route of requests that outlast the stop of a box.
pub const LONG_ROUTE: &str = "long";
/// Time in which it answers.
pub const LONG_TIMEOUT_MS: u64 = 12_000;
/// Time in which the other routes answer.
const TIMEOUT_MS: u64 = 2_500;

/// Whether callers send requests of this name.
pub fn is_route(name: &str) -> bool {
    name == LONG_ROUTE || ROUTES.contains(&name)
}

/// Whether a request of a route may run again.
pub fn is_repeatable(route: &str) -> bool {
    matches!(route, "safe" | "stream")
}

/// The id of a request, by which its route is known at the upstreams.
pub fn request_id(route: &str, number: u64) -> String {
    format!("{route}-{number}")
}

/// The route of a request, by its id.
pub fn route_of(id: &str) -> &str {
    id.split_once('-').map_or("", |(route, _)| route)
}

/// Builds the configuration.
pub fn site(version: u64, keys: &[&str], has_engines: bool) -> SiteConfig {
    let mut site = site_config_for_pool(version, keys, POOL);
    let limits = site.limits.as_mut().expect("limits");
    limits.max_body_bytes = MAX_BODY_BYTES;
    let plain = site.pools.iter().find(|pool| &*pool.name == POOL);
    let engines = PoolSpec {
        name: ENGINES.into(),
        is_engine: true,
        ..plain.expect("the pool of the routes").clone()
    };
    site.pools.push(engines);
    let template = site.routes[0].clone();
    let route = |name: &'static str, kind: RouteKind, max_attempts: u32| {
        Arc::new(Route {
            name: name.into(),
            path_prefix: format!("/{name}/").into(),
            kind,
            max_attempts,
            timeout_ms: TIMEOUT_MS,
            pools: vec![PoolShare {
                pool: if has_engines && kind.is_stream() {
                    ENGINES
                } else {
                    POOL
                }
                .into(),
                weight: 1,
            }],
            ..(*template).clone()
        })
    };
    let stream = |resumable| RouteKind::Stream {
        resumable,
        gap_aim_ms: 1_000,
    };
    let mut long = (*route(LONG_ROUTE, RouteKind::Unsafe, 1)).clone();
    long.timeout_ms = LONG_TIMEOUT_MS;
    site.routes = vec![
        Arc::new(long),
        route("unsafe", RouteKind::Unsafe, 1),
        route("unsafe2", RouteKind::Unsafe, 2),
        route("unsafe3", RouteKind::Unsafe, 3),
        route("once", stream(false), 1),
        route("once3", stream(false), 3),
        route("stream", stream(true), 3),
        route("safe", RouteKind::Safe, 3),
    ];
    site
}
