//! Upstreams that fail if they reject many requests in a second, and say so in their responses.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_standins::edge::{KEY, TestCluster, UpstreamAction, get};

const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");
/// Rejections in a second above which an upstream fails.
const REJECTIONS_PER_S: usize = 3;
/// Time for which upstreams say that they are brittle before they are full. Boxes own nothing before.
const NOTICE: Duration = Duration::from_millis(3_500);
const FULL: Duration = Duration::from_millis(4_000);
/// Callers of each box; those of all boxes are more than the upstreams have slots.
const CALLERS_PER_BOX: usize = 12;
const WORK_MS: u64 = 150;

/// Sends requests to a box until `stop`.
fn call(cluster: &TestCluster, number: usize, stop: &AtomicBool) {
    let auth = format!("Bearer {KEY}");
    let headers = [
        ("ivyweir-request-id", "r"),
        ("authorization", auth.as_str()),
    ];
    while !stop.load(Ordering::Relaxed) {
        // A box may restart meanwhile.
        let _ignored = get(cluster.addr(number), "/safe/x", &headers);
        thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the largest number of these times within a second.
fn most_in_a_second(mut times: Vec<Instant>) -> usize {
    times.sort();
    let within = |from: &Instant| {
        let from = *from;
        let within = |at: &&Instant| **at >= from && **at < from + Duration::from_secs(1);
        times.iter().filter(within).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

#[test]
fn boxes_together_cause_no_more_rejections_than_a_brittle_upstream_bears() {
    let cluster = TestCluster::with_boxes(BINARY, &["hall-a", "hall-a", "hall-b"]);
    for service in &cluster.services {
        service.add_header("ivyweir-brittle", &REJECTIONS_PER_S.to_string());
    }
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for number in (0..cluster.boxes.len()).flat_map(|number| [number; CALLERS_PER_BOX]) {
            let (cluster, stop) = (&cluster, &stop);
            scope.spawn(move || call(cluster, number, stop));
        }
        thread::sleep(NOTICE);
        for service in &cluster.services {
            service.set_action(UpstreamAction::Slots { work_ms: WORK_MS });
        }
        thread::sleep(FULL);
        stop.store(true, Ordering::Relaxed);
    });
    for service in &cluster.services {
        let rejected = service
            .received_requests()
            .into_iter()
            .filter(|r| !r.was_run);
        let times: Vec<Instant> = rejected.map(|request| request.received_at).collect();
        let most = most_in_a_second(times);
        assert!(most <= REJECTIONS_PER_S, "{most} rejections in a second");
    }
}
