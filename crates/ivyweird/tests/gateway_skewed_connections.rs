//! One box has most of the new connections, while what upstreams take of all boxes is divided among them.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_policy::gateway::cold::ColdStart;
use ivyweir_standins::edge::{
    Arrival, KEY, RateLimitInvariant, ScriptedUpstream, TestCluster, UpstreamAction, post_stream,
    site_config,
};

use common::BINARY;

const HALLS: [&str; 6] = ["hall-a", "hall-a", "hall-b", "hall-b", "hall-c", "hall-c"];
const ENGINES: usize = 4;
/// Requests a second that each engine takes of all boxes.
const ENGINE_PER_S: u32 = 18;
/// Requests a second of all callers: what all engines take is enough for them.
const CALLS_PER_S: u64 = 30;
/// Time for which all boxes have as many requests, and then for which one box has most.
const PHASE: Duration = Duration::from_secs(5);
/// Requests of which all but one are sent to the first box while it has most.
const SKEW_ONE_IN: u64 = 10;
/// Least share of the requests served at the first attempt, of that before.
const LEAST_SHARE: f64 = 0.75;

/// A cluster whose engines answer at once.
fn cluster() -> TestCluster {
    let mut cluster = TestCluster::start(BINARY);
    for n in cluster.engines.len()..ENGINES {
        let id = format!("engines-{n}");
        let engine = ScriptedUpstream::start_on_own_ip(&id, "engines", "v1");
        cluster.store.put_upstream(&engine.record());
        cluster.engines.push(engine);
    }
    for engine in &cluster.engines {
        engine.set_action(UpstreamAction::Stream {
            events: 3,
            gap_ms: 1,
            truncate_after: None,
            confidence: None,
        });
    }
    cluster
}

fn start_boxes(cluster: &mut TestCluster) {
    for hall in HALLS {
        cluster.add_box(hall);
    }
    // A box that has just started owns no parts.
    thread::sleep(Duration::from_secs(4));
}

/// Calls boxes for the time of a phase; returns the share of the requests that were served.
fn served_share(cluster: &TestCluster, name: &str, box_of: fn(u64) -> u64) -> f64 {
    let addrs: Vec<SocketAddr> = (0..HALLS.len()).map(|n| cluster.addr(n)).collect();
    let served = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let gap = Duration::from_secs(1) / CALLS_PER_S as u32;
    let calls: Vec<_> = (0..)
        .take_while(|_| {
            let is_open = start.elapsed() < PHASE;
            thread::sleep(gap);
            is_open
        })
        .map(|number| {
            let at = box_of(number) as usize % addrs.len();
            let (addr, served) = (addrs[at], served.clone());
            let id = format!("{at}-{name}-{number}");
            thread::spawn(move || {
                let reply = post_stream(addr, "/stream/x", &id);
                if reply.is_ok_and(|reply| reply.status == 200 && reply.is_complete) {
                    served.fetch_add(1, Ordering::SeqCst);
                }
            })
        })
        .collect();
    let asked = calls.len();
    for call in calls {
        call.join().expect("no caller panics");
    }
    served.load(Ordering::SeqCst) as f64 / asked as f64
}

fn evenly(number: u64) -> u64 {
    number
}

fn mostly_at_the_first(number: u64) -> u64 {
    if number.is_multiple_of(SKEW_ONE_IN) {
        number / SKEW_ONE_IN
    } else {
        0
    }
}

fn check_shares(cluster: &TestCluster) {
    let before = served_share(cluster, "even", evenly);
    let skewed = served_share(cluster, "skew", mostly_at_the_first);
    println!("served: {before:.3} where all boxes have as many, {skewed:.3} where one has most");
    assert!(before > 0.9, "{before:.3} served before");
    assert!(
        skewed >= LEAST_SHARE * before,
        "{skewed:.3} served, {before:.3} before"
    );
}

/// Guards against the parts of a limit that lie idle at other boxes while the box with the requests refuses them.
#[test]
fn limits_of_upstreams_are_used_where_one_box_has_most_requests() {
    let mut cluster = cluster();
    start_boxes(&mut cluster);
    for engine in &cluster.engines {
        engine.advertise_limit(Some(&ENGINE_PER_S.to_string()));
    }
    let since = Instant::now();
    check_shares(&cluster);
    for engine in &cluster.engines {
        let seen = engine.received_requests().into_iter();
        let arrivals: Vec<Arrival> = seen
            .filter(|seen| seen.received_at >= since)
            .map(|seen| Arrival {
                at_ms: (seen.received_at - since).as_millis() as u64,
                sender: "all boxes".into(),
                advertised_per_s: seen.advertised_limit.and_then(|limit| limit.parse().ok()),
            })
            .collect();
        if let Err(excess) = RateLimitInvariant::STANDARD.check(&arrivals) {
            panic!("{excess}");
        }
    }
}

/// Guards against the rate of cold upstreams that lies idle at other boxes while the box with the requests refuses them.
#[test]
fn cold_upstreams_are_used_where_one_box_has_most_requests() {
    let mut cluster = cluster();
    let mut site = site_config(2, &[KEY]);
    let pool = site.pools.iter_mut().find(|pool| &*pool.name == "engines");
    pool.expect("a pool of engines").cold_start = Some(ColdStart {
        lasts_ms: 60_000,
        requests_per_s: f64::from(ENGINE_PER_S),
    });
    cluster.store.put_site(&site);
    for engine in &cluster.engines {
        let mut record = engine.record();
        record.cold_remaining_ms = 60_000;
        cluster.store.put_upstream(&record);
    }
    start_boxes(&mut cluster);
    check_shares(&cluster);
}
