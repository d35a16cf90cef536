//! Finds out whether an upstream ended where a connection to it broke.
//!
//! A connection may break alone: a network resets it, or the upstream closes it in the middle of an answer. An
//! upstream that ended takes all its connections with it, and then nobody listens at its address.

use std::io;
use std::sync::Arc;

use ivyweir_policy::gateway::fleet::UpstreamRecord;

use crate::connection::Connection;
use crate::state::Gateway;

/// Time for which the connection is kept that was opened to look: the upstream serves, and another request
/// is likely to go there in place of the one that broke.
const KEEP_MS: u64 = 1_000;

/// Looks whether anybody listens at an upstream's address. Of all requests whose connections broke at once,
/// one looks.
pub fn look(gateway: &Arc<Gateway>, upstream: &Arc<UpstreamRecord>) {
    if !gateway.begin_look(&upstream.id) {
        return;
    }
    let (gateway, upstream) = (gateway.clone(), upstream.clone());
    tokio::spawn(async move {
        let opened = Connection::open(upstream.addr).await;
        match opened {
            Ok(channel) => {
                let now_ms = gateway.clock.now_ms();
                let channels = &gateway.channels;
                channels.keep(&upstream.id, channel, KEEP_MS, now_ms);
            }
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                gateway.upstream_ended(&upstream);
            }
            // Silence tells nothing: the way there may be cut.
            Err(_) => {}
        }
        // Who waits for this acts by what was found.
        gateway.end_look(&upstream.id);
    });
}
