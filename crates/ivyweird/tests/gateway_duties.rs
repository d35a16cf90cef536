//! Duties that one box does for all, with real boxes: what the platform is told of usage is what was asked for,
//! whoever tells it.

use std::collections::BTreeMap;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::duty::usage::UsageReport;
use ivyweir_standins::edge::{
    DutyInvariant, DutyPlatform, KEY, TestCluster, WORKSPACE, eventually, get,
};
use serde_json::json;

const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");
const LEASE_MS: u64 = 1_500;

fn town(platform: &DutyPlatform, halls: &[&str]) -> TestCluster {
    let mut town = TestCluster::start(BINARY);
    town.duties = json!({
        "addr": platform.addr(), "lease_ms": LEASE_MS, "order_upstreams": true,
        "usage": {"window_s": 1, "late_s": 4}
    });
    for hall in halls {
        town.add_box(hall);
    }
    town
}

/// Sends requests to a box, all of which are answered.
fn ask(town: &TestCluster, number: usize, requests: usize) {
    let auth = format!("Bearer {KEY}");
    for n in 0..requests {
        let id = format!("r-{number}-{n}");
        let headers = [
            ("ivyweir-request-id", id.as_str()),
            ("authorization", auth.as_str()),
        ];
        let reply = get(town.addr(number), "/safe/x", &headers).expect("an answer");
        assert_eq!(reply.status, 200);
    }
}

/// Requests of the workspace by window; a repeat says the same.
fn reported(reports: &[UsageReport]) -> u32 {
    let mut by_window = BTreeMap::new();
    for report in reports {
        let known = by_window
            .entry(report.window)
            .or_insert_with(|| report.counts.clone());
        assert_eq!(*known, report.counts, "a report was corrected");
    }
    let workspace = Name::from(WORKSPACE);
    let counts = by_window
        .values()
        .filter_map(|counts| counts.get(&workspace));
    counts.sum()
}

fn check(platform: &DutyPlatform) {
    let promise = DutyInvariant { lease_ms: LEASE_MS };
    if let Err(breach) = promise.check(&platform.calls()) {
        panic!("{breach}");
    }
}

#[test]
fn all_usage_is_reported_once() {
    let platform = DutyPlatform::start();
    let town = town(&platform, &["hall-a", "hall-a", "hall-b"]);
    for number in 0..3 {
        ask(&town, number, 7);
    }
    eventually("all usage is reported", || {
        reported(&platform.reports()) == 21
    });
    check(&platform);
}

#[test]
fn another_box_goes_on_when_the_holder_is_killed() {
    let platform = DutyPlatform::start();
    let mut town = town(&platform, &["hall-a", "hall-b", "hall-c"]);
    ask(&town, 0, 3);
    eventually("usage is reported", || reported(&platform.reports()) == 3);
    let holder = platform.calls()[0].sender.clone();
    let number = town
        .boxes
        .iter()
        .position(|running| *running.name == *holder)
        .expect("the holder is a box");
    town.boxes[number].kill();
    let others: Vec<usize> = (0..3).filter(|other| *other != number).collect();
    ask(&town, others[0], 5);
    eventually("another box reports", || reported(&platform.reports()) == 8);
    let last = platform.calls().last().expect("a call").clone();
    assert_ne!(last.sender, holder);
    check(&platform);
}

#[test]
fn what_a_platform_does_not_take_is_told_again_as_it_was() {
    let platform = DutyPlatform::start();
    let town = town(&platform, &["hall-a"]);
    platform.set_refusing(true);
    ask(&town, 0, 4);
    eventually("a report was refused", || !platform.calls().is_empty());
    ask(&town, 0, 2);
    platform.set_refusing(false);
    eventually("all usage is reported", || {
        reported(&platform.reports()) == 6
    });
    check(&platform);
}

/// Guards against a report that is fixed twice with different counts because a restore lost the record of duties.
#[test]
fn usage_is_reported_once_across_a_restore_of_the_store() {
    let platform = DutyPlatform::start();
    let town = town(&platform, &["hall-a", "hall-b", "hall-c"]);
    ask(&town, 0, 3);
    eventually("usage is reported", || reported(&platform.reports()) == 3);
    town.store.restore();
    town.store.replay_lost_writes();
    eventually("all boxes detect the restore and box 1 is ready", || {
        town.boxes
            .iter()
            .all(|b| !b.event_lines("store_restored").is_empty())
            && town.is_ready(1)
    });
    ask(&town, 1, 5);
    eventually("all usage is reported", || {
        reported(&platform.reports()) == 8
    });
    check(&platform);
}
