//! Test doubles for the systems around the request gateway (record store, platform, peer proxy and scripted upstreams),
//! and gateway boxes run as child processes.
//!
//! The test doubles implement the gateway's native protocol.

mod duty_invariant;
mod duty_platform;
mod erratic_upstream;
mod event_script;
mod gateway_process;
mod path_proxy;
mod peer_filter;
mod rate_limit_invariant;
mod raw_upstream;
mod record_store;
mod repeating_upstream;
mod restarting_pool;
mod scripted_upstream;
mod test_cluster;

pub use duty_invariant::{DutyCall, DutyInvariant, DutyViolation};
pub use duty_platform::DutyPlatform;
pub use erratic_upstream::{
    Conduct, ErraticUpstream, Fate, HARMFUL_PATH, Handled, LAST_EVENT, Rejection, Run, RunEnd,
    Then, answer_text, event_text,
};
pub use event_script::{BodyEnd, BodyFraming, EventScript, LineEnd, PlainScript};
pub use gateway_process::{BoxSpec, GatewayProcess, gateway_settings};
pub use path_proxy::{PathFault, PathProxies};
pub use peer_filter::PeerFilter;
pub use rate_limit_invariant::{Arrival, RateLimitInvariant, RateLimitViolation};
pub use raw_upstream::{RawAnswer, RawEnd, RawUpstream};
pub use record_store::{RecordStore, StoreFault};
pub use repeating_upstream::{
    Following, RepeatingUpstream, SurplusAnswer, SurplusFraming, SurplusId,
};
pub use restarting_pool::RestartingPool;
pub use scripted_upstream::{ANSWERED_BY, ReceivedRequest, ScriptedUpstream, UpstreamAction};
pub use test_cluster::{
    HOST, KEY, KeptConnection, Reply, TestCluster, WORKSPACE, any_port, call, event_ids,
    eventually, get, post_stream, site_config, site_config_for_pool, site_config_with_once,
};
