//! Load reports: each upstream is asked by a few boxes, which tell the others.

use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use ivyweir_policy::balance::{LoadReport, Upstream, VersionSet};
use ivyweir_policy::{BoxState, Name, hash};

use crate::dispatcher::FleetSnapshot;
use crate::node::Node;

/// Boxes that ask one upstream.
const ASKERS: usize = 2;
/// Shortest time between two reports of one upstream to one box.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// Time added for each upstream, so that what boxes tell each other of loads does not grow.
const INTERVAL_PER_UPSTREAM: Duration = Duration::from_millis(5);
/// Threads that ask; a slow upstream must not hold up the others.
pub const THREADS: usize = 4;

/// Upstreams to be asked.
pub struct Round {
    sender: Sender<Target>,
    receiver: Receiver<Target>,
}

struct Target {
    id: u64,
    addr: Name,
}

impl Round {
    /// Nobody to be asked.
    pub fn new() -> Self {
        let (sender, receiver) = bounded(MAX_ROUND);
        Self { sender, receiver }
    }
}

impl Default for Round {
    fn default() -> Self {
        Self::new()
    }
}

/// More than one box is asked about; a longer round goes on in the next.
const MAX_ROUND: usize = 256;

/// Says, round after round, which upstreams this box is to ask.
pub fn plan_rounds(node: &Node, round: &Round) {
    let me = hash_name(&node.incarnation.box_name);
    while !node.is_stopped() {
        let serving = node.serving_members();
        let hashes: Vec<u64> = serving.iter().map(|m| hash_name(&m.name)).collect();
        let targets = node.dispatcher.filter_map_upstreams(|upstream| {
            let mine = upstream.state == BoxState::Live && is_mine(me, &hashes, upstream);
            mine.then(|| Target {
                id: upstream.id(),
                addr: upstream.addr.clone(),
            })
        });
        for target in targets {
            let _next_round = round.sender.try_send(target);
        }
        node.pause(interval(node));
    }
}

fn hash_name(name: &str) -> u64 {
    hash::hash64(&[name.as_bytes()])
}

/// Time between two reports of one upstream, for as many upstreams as there are.
pub fn interval(node: &Node) -> Duration {
    let upstreams = node.dispatcher.filter_map_upstreams(|_| Some(())).len() as u32;
    (INTERVAL_PER_UPSTREAM * upstreams).max(MIN_INTERVAL)
}

/// Whether this box is among the first for an upstream, by a rendezvous over hashed names.
///
/// With 350 boxes and 1,000 upstreams this runs often, so names are hashed once a round.
fn is_mine(me: u64, serving: &[u64], upstream: &Upstream) -> bool {
    let score = |of: u64| hash::mix(upstream.id(), of);
    let own = score(me);
    let before = serving.iter().filter(|other| score(**other) > own);
    before.take(ASKERS).count() < ASKERS
}

/// Asks upstreams as they are named, for as long as the box runs.
pub fn ask(node: &Node, round: &Round) {
    while !node.is_stopped() {
        let Ok(target) = round.receiver.recv_timeout(MIN_INTERVAL) else {
            continue;
        };
        let asked_ms = node.clock.now_ms();
        node.metrics.load_polls.add(1, &[]);
        let Ok(load) = node.engine.fetch_load(&target.addr) else {
            continue;
        };
        let versions: VersionSet = load.versions.iter().map(|v| v.as_str().into()).collect();
        node.learning.learn_set(versions.clone());
        let report = LoadReport {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            versions,
            at_ms: asked_ms,
        };
        let moment = FleetSnapshot {
            now_ms: node.clock.now_ms(),
            live_boxes: node.live_boxes(),
        };
        node.dispatcher
            .apply_load_reports([(target.id, report)], moment);
    }
}
