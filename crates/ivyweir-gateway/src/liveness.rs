//! Probes an upstream after a connection to it broke, to find out whether its process has terminated.
//!
//! A single connection may break while the upstream runs on: the network resets it, or the upstream closes it in the
//! middle of a response. When the process terminates, all its connections break and nothing listens at its address.

use std::io;
use std::sync::Arc;

use ivyweir_policy::gateway::fleet::UpstreamRecord;

use crate::connection::Connection;
use crate::state::Gateway;

/// Time for which the connection opened by a probe is kept in the pool. The upstream is up, and another request is
/// likely to be sent there in place of the one that broke.
const PROBE_KEEP_ALIVE_MS: u64 = 1_000;

/// Probes in the background whether an upstream still listens at its address. If several connections break at once,
/// only one probe runs.
pub fn probe(gateway: &Arc<Gateway>, upstream: &Arc<UpstreamRecord>) {
    if !gateway.begin_termination_check(&upstream.id) {
        return;
    }
    let (gateway, upstream) = (gateway.clone(), upstream.clone());
    tokio::spawn(async move {
        let opened = Connection::open(upstream.addr).await;
        match opened {
            Ok(channel) => {
                let now_ms = gateway.clock.now_ms();
                let channels = &gateway.channels;
                channels.keep(&upstream.id, channel, PROBE_KEEP_ALIVE_MS, now_ms);
            }
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                gateway.record_upstream_termination(&upstream);
            }
            // Any other error, such as a timeout, is inconclusive: the network path may be down.
            Err(_) => {}
        }
        // Last: requests that wait for the probe act on its result.
        gateway.finish_termination_check(&upstream.id);
    });
}
