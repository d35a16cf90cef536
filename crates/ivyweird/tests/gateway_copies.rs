//! A long list of upstreams, passed on among the boxes of a hall.

use std::net::SocketAddr;
use std::path::Path;

use ivyweir_gateway::message;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_standins::edge::{TestCluster, any_port, eventually, get};
use serde_json::Value;

const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");
/// Upstreams that no route reaches: more than are given to whoever asks.
const UPSTREAMS: usize = 300;
/// Revision of a box that knows nothing yet.
const ZERO_REVISION: &str = "0.0";

/// Two boxes of a hall, and a long list of upstreams.
fn town() -> TestCluster {
    let mut town = TestCluster::start(Path::new(BINARY));
    for n in 0..UPSTREAMS {
        town.store.put_upstream(&UpstreamRecord {
            id: format!("far-{n}").into(),
            pool: "elsewhere".into(),
            addr: any_port(),
            ..town.services[0].record()
        });
    }
    for _ in 0..2 {
        town.add_box("hall-a");
    }
    town
}

/// Asks a box for the upstreams behind `since` in the name of the box `from`.
fn ask(addr: SocketAddr, from: &str, since: &str, asker: &str) -> Option<Value> {
    ask_about("upstreams", addr, from, since, asker)
}

fn ask_about(topic: &str, addr: SocketAddr, from: &str, since: &str, asker: &str) -> Option<Value> {
    let path =
        format!("/peer/follow?topic={topic}&since={since}&wait_ms=0&asker={asker}&from={from}");
    let reply = get(addr, &path, &[]).expect("an answer");
    (reply.status == 200).then(|| message::decode(&reply.body, 1 << 20).expect("a message"))
}

/// The box that the other one follows, and the other one.
fn relay_and_follower(town: &TestCluster) -> (usize, usize) {
    let mut relay = 0;
    eventually("one box follows the other", || {
        let told = |n: usize| {
            let addr = town.boxes[n].peer_addr;
            ask_about("rollouts", addr, "x", "0.1", "follower").is_some()
        };
        relay = usize::from(!told(0));
        told(relay) && !told(1 - relay)
    });
    (relay, 1 - relay)
}

fn records(answer: &Value) -> usize {
    answer["whole"]["here"].as_array().map_or(0, Vec::len)
}

#[test]
fn a_box_that_gives_its_list_to_three_names_one_that_has_it() {
    let town = town();
    let (relay, follower) = relay_and_follower(&town);
    let addr = town.boxes[relay].peer_addr;
    let holder = town.boxes[follower].name.clone();
    let mut revision = ZERO_REVISION.to_owned();
    // The last of the three is in the name of the other box, which then tells that it has its copy.
    for from in ["x1", "x2", &holder] {
        let answer = ask(addr, from, ZERO_REVISION, "follower").expect("all records");
        assert!(records(&answer) > UPSTREAMS);
        revision = answer["revision"].as_str().expect("a revision").to_owned();
    }
    ask(addr, &holder, &revision, "follower");
    let fourth = ask(addr, "x4", ZERO_REVISION, "follower").expect("all records");
    assert!(records(&fourth) > UPSTREAMS, "a place is free again");
    let fifth = ask(addr, "x5", ZERO_REVISION, "follower").expect("where all records are");
    let giver = fifth["whole"]["at"].as_str().expect("a box");
    assert_eq!(giver, town.boxes[follower].peer_addr.to_string());
}

#[test]
fn a_box_that_follows_another_gives_its_list_to_one_that_was_sent_to_it() {
    let town = town();
    let (_, follower) = relay_and_follower(&town);
    let addr = town.boxes[follower].peer_addr;
    let copy = ask(addr, "x1", ZERO_REVISION, "copier").expect("all records");
    assert!(records(&copy) > UPSTREAMS);
    // It is no source of what changes.
    let revision = copy["revision"].as_str().expect("a revision");
    assert_eq!(ask(addr, "x1", revision, "copier"), None);
}

#[test]
fn boxes_that_start_together_all_get_a_long_list_and_serve() {
    let mut town = town();
    let store_addr = town.store.addr().to_string();
    let before = town.store.call_count();
    let late: Vec<usize> = (0..6)
        .map(|_| town.start_box("hall-a", &store_addr))
        .collect();
    for number in late {
        eventually("the box is ready", || town.is_ready(number));
        eventually("it knows the whole list", || {
            let joined = town.boxes[number].event_lines("upstreams_joined");
            let known = joined.iter().filter_map(|line| line["upstreams"].as_u64());
            known.sum::<u64>() > UPSTREAMS as u64
        });
    }
    // Only the root watches the store, each topic for itself.
    assert!(town.store.call_count() - before < 60);
}
