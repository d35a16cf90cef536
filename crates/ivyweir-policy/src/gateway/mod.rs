//! Decisions of the request gateway: routes, upstreams, models, repeats and roll-outs.
//!
//! Each type is plain data that is handed the time; the gateway's I/O lives in `ivyweir-gateway`.

pub mod backoff;
pub mod canary;
pub mod cascade;
pub mod cold;
pub mod copies;
pub mod departures;
pub mod duty;
pub mod fleet;
pub mod hall;
pub mod joined;
pub mod pace;
pub mod placement;
pub mod proof;
pub mod quarantine;
pub mod quota;
pub mod rate_limit;
pub mod repeat;
pub mod revision;
pub mod rollout;
pub mod site;
pub mod slowness;
pub mod statement;
pub mod upstreams;
pub mod wait;
pub mod word;
pub mod work;
