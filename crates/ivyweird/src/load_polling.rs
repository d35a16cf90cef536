//! Load polling: each upstream is polled by a few boxes, which pass the reports on in digests.

use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use ivyweir_policy::balance::{LoadReport, Upstream, VersionSet};
use ivyweir_policy::{BoxState, Name, hash};

use crate::dispatcher::FleetSnapshot;
use crate::node::Node;

/// Number of boxes that poll one upstream.
const POLLERS_PER_UPSTREAM: usize = 2;
/// Minimum interval between two polls of an upstream by the same box.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The poll interval grows by this much per upstream, so that the rate of load reports between
/// boxes does not grow with the number of upstreams.
const INTERVAL_PER_UPSTREAM: Duration = Duration::from_millis(5);
/// Number of polling threads. With several, a slow upstream does not delay the polls of others.
pub const THREAD_COUNT: usize = 4;

/// The queue of upstreams to poll.
pub struct PollQueue {
    sender: Sender<PollTarget>,
    receiver: Receiver<PollTarget>,
}

struct PollTarget {
    id: u64,
    addr: Name,
}

impl PollQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        let (sender, receiver) = bounded(QUEUE_CAPACITY);
        Self { sender, receiver }
    }
}

impl Default for PollQueue {
    fn default() -> Self {
        Self::new()
    }
}

/// Capacity of the queue, larger than the number of upstreams that one box usually polls. Upstreams
/// that do not fit are queued in a later round.
const QUEUE_CAPACITY: usize = 256;

/// Queues the upstreams that this box has to poll, once per poll interval.
pub fn schedule_polls(node: &Node, queue: &PollQueue) {
    let local_hash = hash_name(&node.incarnation.box_name);
    while !node.is_stopped() {
        let serving = node.serving_members();
        let hashes: Vec<u64> = serving.iter().map(|m| hash_name(&m.name)).collect();
        let targets = node.dispatcher.filter_map_upstreams(|upstream| {
            let should_poll =
                upstream.state == BoxState::Live && is_assigned(local_hash, &hashes, upstream);
            should_poll.then(|| PollTarget {
                id: upstream.id(),
                addr: upstream.addr.clone(),
            })
        });
        for target in targets {
            let _retried_next_round = queue.sender.try_send(target);
        }
        node.pause(poll_interval(node));
    }
}

fn hash_name(name: &str) -> u64 {
    hash::hash64(&[name.as_bytes()])
}

/// Returns the interval between two polls of an upstream, given the present number of upstreams.
pub fn poll_interval(node: &Node) -> Duration {
    let upstreams = node.dispatcher.filter_map_upstreams(|_| Some(())).len() as u32;
    (INTERVAL_PER_UPSTREAM * upstreams).max(MIN_POLL_INTERVAL)
}

/// Returns whether this box is one of the pollers of an upstream, by rendezvous hashing.
///
/// Takes hashes of names, which the caller computes once per round: with 350 boxes and 1,000
/// upstreams this function runs too often to hash the names in each call.
fn is_assigned(local_hash: u64, serving_hashes: &[u64], upstream: &Upstream) -> bool {
    let score = |box_hash: u64| hash::mix(upstream.id(), box_hash);
    let own_score = score(local_hash);
    let ahead = serving_hashes
        .iter()
        .filter(|other| score(**other) > own_score);
    ahead.take(POLLERS_PER_UPSTREAM).count() < POLLERS_PER_UPSTREAM
}

/// Polls queued upstreams and applies their reports, until the box stops.
pub fn poll_upstreams(node: &Node, queue: &PollQueue) {
    while !node.is_stopped() {
        let Ok(target) = queue.receiver.recv_timeout(MIN_POLL_INTERVAL) else {
            continue;
        };
        let polled_ms = node.clock.now_ms();
        node.metrics.load_polls.add(1, &[]);
        let Ok(load) = node.engine.fetch_load(&target.addr) else {
            continue;
        };
        let versions: VersionSet = load.versions.iter().map(|v| v.as_str().into()).collect();
        node.version_stats.add_version_set(versions.clone());
        let report = LoadReport {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            versions,
            at_ms: polled_ms,
        };
        let snapshot = FleetSnapshot {
            now_ms: node.clock.now_ms(),
            live_boxes: node.live_boxes(),
        };
        node.dispatcher
            .apply_load_reports([(target.id, report)], snapshot);
    }
}
