//! Billing: exactly once, whatever dies or is lost.

mod common;

use common::{spec, start, three, wait_billed};
use ivyweir_policy::billing::Segment;
use ivyweir_standins::{Cluster, ClusterSpec, PlatformFaults, wait_until};
use serde_json::json;

fn slow_flush() -> ClusterSpec {
    ClusterSpec {
        limits: Some(json!({ "flush_ms_per_box": 600_000 })),
        ..spec(&["hall-a", "hall-b", "hall-c"])
    }
}

fn chat(world: &Cluster, at: usize, requests: usize) {
    for n in 0..requests {
        let outcome = world
            .caller(at, "studio")
            .chat("notes", &format!("episode {n}"), 4);
        assert!(outcome.complete, "{outcome:?}");
    }
}

#[test]
fn a_box_killed_before_it_flushed_loses_no_record() {
    let mut world = start(slow_flush());
    chat(&world, 0, 20);
    world.kill_box(0);
    world.platform.deregister_box("box-1");
    let flushed = world.platform.objects_with_prefix("bill/").len();
    assert_eq!(flushed, 0, "nothing was flushed before");
    // Its replica has the records, and writes them when it stops.
    for at in [1, 2] {
        world.running_box(at).signal("TERM");
    }
    for at in [1, 2] {
        let mut process = world.boxes[at].take().expect("the box is up");
        let code = process.wait_exit(std::time::Duration::from_secs(60));
        assert_eq!(code, Some(0));
    }
    let total: usize = world
        .platform
        .objects_with_prefix("bill/")
        .iter()
        .map(|body| serde_json::from_slice::<Segment>(body).unwrap())
        .map(|segment| segment.records.len())
        .sum();
    assert_eq!(total, 20);
}

#[test]
fn a_replica_writes_the_records_of_a_box_that_died() {
    let mut world = start(ClusterSpec {
        limits: Some(json!({ "flush_ms_per_box": 700 })),
        ..spec(&["hall-a", "hall-b", "hall-c"])
    });
    chat(&world, 1, 10);
    world.kill_box(1);
    wait_billed(&world, 0, 10);
}

#[test]
fn lost_answers_of_the_store_bill_nothing_twice() {
    let world = three();
    world.platform.set_faults(PlatformFaults {
        lose_response_every: 2,
        ..PlatformFaults::default()
    });
    for at in 0..3 {
        chat(&world, at, 10);
    }
    wait_billed(&world, 0, 30);
}

#[test]
fn a_long_outage_of_the_store_is_billed_afterwards() {
    let mut world = three();
    world.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    for at in 0..3 {
        chat(&world, at, 10);
    }
    // One of them dies in the outage, one stops as planned and passes its records on.
    world.kill_box(0);
    world.running_box(1).signal("TERM");
    let mut stopping = world.boxes[1].take().expect("the box is up");
    assert_eq!(
        stopping.wait_exit(std::time::Duration::from_secs(60)),
        Some(0)
    );
    world.platform.set_faults(PlatformFaults::default());
    wait_billed(&world, 2, 30);
}

#[test]
fn a_repeated_key_is_billed_once() {
    let world = three();
    for at in 0..3 {
        let caller = world
            .caller(at, "studio")
            .with_header("Idempotency-Key", "notes-7");
        assert!(caller.chat("notes", "episode 7", 4).complete);
    }
    let records = || -> usize {
        let bodies = world.platform.objects_with_prefix("bill/");
        let segments = bodies
            .iter()
            .map(|body| serde_json::from_slice::<Segment>(body));
        segments.map(|s| s.expect("a segment").records.len()).sum()
    };
    wait_until("all three records are in the store", || records() == 3);
    wait_billed(&world, 0, 1);
}

#[test]
fn small_segments_are_merged_and_the_bill_stays() {
    let world = three();
    let segment = |n: usize| {
        let record = json!({
            "workspace": "studio", "key": format!("k{n}"),
            "calls": [{ "version": "notes@v1", "tokens": 3, "cost_micro": 2 }], "at_ms": n,
        });
        json!({ "records": [record] }).to_string().into_bytes()
    };
    for n in 0..200 {
        world
            .platform
            .restore(&format!("bill/old-1/old-{n:010}"), segment(n));
    }
    wait_until("segments are merged", || {
        world.platform.objects_with_prefix("bill/").len() < 100
    });
    let bill = world.operator(0).bill().expect("the bill can be read");
    let total = bill.workspaces["studio"];
    assert_eq!(
        (total.requests, total.tokens, total.cost_micro),
        (200, 600, 400)
    );
}
