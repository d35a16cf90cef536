//! Boxes of which the first has no path to any upstream.

use ivyweir_standins::edge::{
    PathFault, PathProxies, ScriptedUpstream, TestCluster, UpstreamAction, eventually, post_stream,
};

use super::BINARY;

/// A cluster whose upstreams are behind proxies that reset the connections of the first box.
pub struct CutBoxCluster {
    /// The cluster.
    pub cluster: TestCluster,
    /// The proxies.
    pub proxies: PathProxies,
}

impl CutBoxCluster {
    /// Starts a box in each hall and this number of upstreams per pool, and waits until requests of the first box are
    /// handed over. Engines answer with `stream`.
    pub fn start(
        halls: &[&str],
        upstreams_per_pool: usize,
        put_site: fn(&TestCluster),
        stream: &UpstreamAction,
    ) -> Self {
        let proxies = PathProxies::default();
        let mut cluster = TestCluster::start(BINARY);
        put_site(&cluster);
        for number in cluster.engines.len()..upstreams_per_pool {
            let start = |pool: &str| {
                ScriptedUpstream::start_on_own_ip(&format!("{pool}-{number}"), pool, "v1")
            };
            cluster.engines.push(start("engines"));
            cluster.services.push(start("services"));
        }
        for upstream in cluster.engines.iter().chain(&cluster.services) {
            let mut record = upstream.record();
            record.addr = proxies.start_proxy(record.addr);
            cluster.store.put_upstream(&record);
        }
        for engine in &cluster.engines {
            engine.set_action(stream.clone());
        }
        for hall in halls {
            let number = cluster.add_box(hall);
            proxies.add_process(cluster.boxes[number].pid());
        }
        for running in &cluster.boxes {
            eventually("the boxes know each other", || {
                !running.event_lines("boxes_heard").is_empty()
            });
        }
        proxies.set_fault(cluster.boxes[0].pid(), PathFault::Reset);
        eventually("requests are handed over", || {
            let reply = post_stream(cluster.addr(0), "/stream/x", "before");
            reply.is_ok_and(|reply| reply.is_complete)
                && !cluster.boxes[0].event_lines("handed_over").is_empty()
        });
        Self { cluster, proxies }
    }
}
