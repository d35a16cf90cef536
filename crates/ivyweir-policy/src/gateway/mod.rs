//! Decision logic of the request gateway: routing, upstream selection, model cascades, retries and roll-outs.
//!
//! The types perform no I/O and read no clock: the current time is passed in by the caller. The gateway's I/O is in
//! `ivyweir-gateway`.

pub mod answer_end;
pub mod answer_owner;
pub mod answer_status;
pub mod backlog;
pub mod backoff;
pub mod brittle;
pub mod canary;
pub mod cascade;
pub mod cold;
pub mod copies;
pub mod departures;
pub mod duty;
pub mod event_stream;
pub mod fleet;
pub mod forecast;
pub mod freshness;
pub mod helpers;
pub mod membership;
pub mod occupancy;
pub mod pace;
pub mod peer_report;
pub mod placement;
pub mod promise;
pub mod quarantine;
pub mod quota;
pub mod rate_limit;
pub mod reachability;
pub mod relay;
pub mod relay_buffer;
pub mod retry_budget;
pub mod revision;
pub mod rollout;
pub mod room;
pub mod send_count;
pub mod share;
pub mod site;
pub mod slowness;
pub mod statement;
pub mod stop;
pub mod upstreams;
pub mod urgency;
pub mod wait;
pub mod work;
