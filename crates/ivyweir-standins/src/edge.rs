//! Stand-ins around the request gateway: a store of records, scripted upstreams, and boxes as
//! processes.
//!
//! They speak the gateway's own interface.

mod duty_platform;
mod duty_promise;
mod peer_filter;
mod process;
mod promise;
mod record_store;
mod scripted;
mod town;

pub use duty_platform::DutyPlatform;
pub use duty_promise::{Breach, DutyCall, DutyPromise};
pub use peer_filter::PeerFilter;
pub use process::{BoxSpec, GatewayProcess, gateway_settings};
pub use promise::{Arrival, Excess, LimitPromise};
pub use record_store::{RecordStore, StoreFault};
pub use scripted::{ANSWERED_BY, Act, ScriptedUpstream, Seen};
pub use town::{
    HOST, KEY, Reply, Town, WORKSPACE, any_port, call, event_ids, eventually, get, post_stream,
    site,
};
