//! Decisions of the request gateway: routes, upstreams, models, repeats and roll-outs.
//!
//! Each type is plain data that is handed the time; the gateway's I/O lives in `ivyweir-gateway`.

pub mod backoff;
pub mod cascade;
pub mod cold;
pub mod copies;
pub mod departures;
pub mod duty;
pub mod fleet;
pub mod freshness;
pub mod limit;
pub mod membership;
pub mod owners;
pub mod pace;
pub mod peer_report;
pub mod place;
pub mod quarantine;
pub mod relay;
pub mod retry_budget;
pub mod revision;
pub mod rollout;
pub mod site;
pub mod slowness;
pub mod statement;
pub mod upstreams;
pub mod verdict;
pub mod wait;
pub mod work;
