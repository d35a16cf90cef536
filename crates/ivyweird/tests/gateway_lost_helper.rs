//! A box that ends while it serves requests on behalf of another one, which has no path to upstreams.

mod common;

use std::thread;
use std::time::Duration;

use common::cut_box::CutBoxCluster;
use ivyweir_standins::edge::{
    GatewayProcess, KEY, TestCluster, UpstreamAction, eventually, post_stream, site_config,
};

const CALLERS: usize = 24;
const GAP_MS: u64 = 150;

fn handed_over(running: &GatewayProcess, to: &str) -> usize {
    let lines = running.event_lines("handed_over");
    lines.iter().filter(|line| line["box"] == to).count()
}

/// Sends streams to the first box at the same time, runs `meanwhile`, and returns what was not answered whole.
fn incomplete_streams(inner: &CutBoxCluster, turn: &str, meanwhile: impl FnOnce()) -> Vec<String> {
    let addr = inner.cluster.addr(0);
    let start = |n| {
        let id = format!("{turn}-{n}");
        thread::spawn(move || match post_stream(addr, "/stream/x", &id) {
            Ok(reply) if reply.status == 200 && reply.is_complete => None,
            Ok(reply) => Some(format!(
                "{id}: status {}, complete {}",
                reply.status, reply.is_complete
            )),
            Err(e) => Some(format!("{id}: {e}")),
        })
    };
    let callers: Vec<_> = (0..CALLERS).map(start).collect();
    meanwhile();
    let outcomes = callers.into_iter().map(|caller| caller.join());
    outcomes
        .filter_map(|outcome| outcome.expect("a caller"))
        .collect()
}

/// Guards against streams that are handed over again to the box which has just ended, on a connection that was kept to
/// it, and against streams that the first box may not retry, as the other one has counted them.
#[test]
fn streams_of_a_box_that_is_killed_go_on_through_another_one() {
    let stream = UpstreamAction::Stream {
        events: 4,
        gap_ms: GAP_MS,
        truncate_after: None,
        confidence: None,
    };
    let put_site = |cluster: &TestCluster| cluster.store.put_site(&site_config(2, &[KEY]));
    let halls = ["hall-a", "hall-b", "hall-b"];
    let mut inner = CutBoxCluster::start(&halls, 2, put_site, &stream);
    assert!(incomplete_streams(&inner, "before", || ()).is_empty());

    let name = inner.cluster.boxes[1].name.clone();
    let before = handed_over(&inner.cluster.boxes[0], &name);
    let mut killed = inner.cluster.boxes.remove(1);
    let lost = incomplete_streams(&inner, "beside", || {
        eventually("streams are handed over", || {
            handed_over(&inner.cluster.boxes[0], &name) >= before + CALLERS / 4
        });
        thread::sleep(Duration::from_millis(GAP_MS / 3));
        killed.kill();
    });
    assert!(lost.is_empty(), "{lost:#?}");
}
