//! Records of the store that other writers made: they name nothing to use, and the others hold.

use std::path::Path;

use ivyweir_gateway::dialect::Topic;
use ivyweir_standins::edge::{KEY, ScriptedUpstream, TestCluster, eventually, get, site_config};
use serde_json::json;

const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");

fn served_by(town: &TestCluster, number: usize, id: &str) -> u16 {
    let auth = format!("Bearer {KEY}");
    let headers = [("ivyweir-request-id", id), ("authorization", auth.as_str())];
    let reply = get(town.addr(number), "/safe/x", &headers);
    reply.map_or(0, |reply| reply.status)
}

/// Records of other writers as they come: thousands, some of them long.
fn foreign_records(count: usize) -> Vec<(String, serde_json::Value)> {
    let record = |n: usize| {
        let name = format!("foreign-{n}");
        let record = match n % 4 {
            0 => json!({}),
            1 => json!(17),
            2 => json!({"name": name, "upstream": {"id": name, "pool": "services"}}),
            _ => json!({"name": name, "upstream": "x".repeat(if n < 8 { 300_000 } else { 20 })}),
        };
        (name, record)
    };
    (0..count).map(record).collect()
}

#[test]
fn records_of_other_writers_name_no_upstream_and_the_others_hold() {
    let mut town = TestCluster::start(Path::new(BINARY));
    for (name, record) in foreign_records(2_000) {
        town.store.put_unreadable(Topic::Upstreams, &name, record);
    }
    town.add_box("hall-a");
    town.add_box("hall-a");
    for number in 0..2 {
        assert_eq!(served_by(&town, number, "listed"), 200);
    }
    let told = |number: usize| town.boxes[number].event_lines("record_unreadable").len();
    let before = told(0) + told(1);
    assert!(
        (1..=16).contains(&before),
        "{before} lines for 2,000 records"
    );
    // More of them while boxes watch; a sound record behind them is heard.
    for (name, record) in foreign_records(40) {
        town.store
            .put_unreadable(Topic::Upstreams, &format!("late-{name}"), record);
    }
    let late = ScriptedUpstream::start("services-late", "services", "v1");
    town.store.put_upstream(&late.record());
    for number in 0..2 {
        eventually("the sound record is heard", || {
            town.boxes[number].log().contains("services-late")
        });
        assert_eq!(served_by(&town, number, "watched"), 200);
    }
}

#[test]
fn a_record_that_turns_unreadable_counts_as_gone() {
    let mut town = TestCluster::start(Path::new(BINARY));
    for hall in ["hall-a", "hall-a", "hall-b"] {
        town.add_box(hall);
    }
    let name = town.services[0].id();
    let foreign = json!({"name": &*name, "upstream": {"id": &*name}});
    town.store.put_unreadable(Topic::Upstreams, &name, foreign);
    for number in 0..3 {
        eventually("the box has heard", || {
            let changes = town.boxes[number].event_lines("upstream_changed");
            let lapsed =
                |line: &serde_json::Value| line["upstream"] == *name && line["change"] == "Lapsed";
            changes.iter().any(lapsed)
        });
    }
    let before = town.services[0].received_requests().len();
    for n in 0..30 {
        assert_eq!(served_by(&town, n % 3, &format!("after-{n}")), 200);
    }
    assert_eq!(town.services[0].received_requests().len(), before);
    // Written by itself again it is used again.
    town.store.put_upstream(&town.services[0].record());
    let mut n = 0;
    eventually("it is used again", || {
        n += 1;
        served_by(&town, n % 3, &format!("again-{n}"));
        town.services[0].received_requests().len() > before
    });
}

#[test]
fn a_configuration_that_turns_unreadable_leaves_the_last_one_in_force() {
    let mut town = TestCluster::start(Path::new(BINARY));
    town.add_box("hall-a");
    town.store
        .put_unreadable(Topic::Site, "main", json!({"name": "main", "site": []}));
    eventually("the box has told", || {
        !town.boxes[0].event_lines("record_unreadable").is_empty()
    });
    assert_eq!(served_by(&town, 0, "r1"), 200);
    town.store.put_site(&site_config(2, &[KEY]));
    eventually("the next one is in force", || {
        let seen = town.boxes[0].event_lines("site_seen");
        seen.iter().any(|line| line["version"] == 2)
    });
}
