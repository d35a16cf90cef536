//! Boxes while a store restored from a backup lacks writes that operators and upstreams have not repeated yet.

use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::rollout::RolloutState;
use ivyweir_standins::edge::{
    KEY, ScriptedUpstream, StoreFault, TestCluster, eventually, site_config,
};
use serde_json::{Value, json};

const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");
const HALLS: [&str; 3] = ["hall-a"; 3];
/// Outlasts every test, so that the store does not settle.
const LONG_SETTLE_MS: u64 = 120_000;
const SHORT_SETTLE_MS: u64 = 300;

/// Starts boxes with the given policy, and one upstream of each pool in each of two halls.
fn town(store_settle_ms: u64, unproven_keys: &str) -> TestCluster {
    let mut town = TestCluster::start(BINARY);
    town.policy = json!({"store_settle_ms": store_settle_ms, "unproven_keys": unproven_keys});
    for pool in [&town.services, &town.engines] {
        town.store.put_upstream(&UpstreamRecord {
            hall: "hall-b".into(),
            ..pool[1].record()
        });
    }
    for hall in HALLS {
        town.add_box(hall);
    }
    town
}

fn has_logged(town: &TestCluster, number: usize, event: &str) -> bool {
    !town.boxes[number].event_lines(event).is_empty()
}

fn all_have_logged(town: &TestCluster, event: &str) {
    for number in 0..town.boxes.len() {
        eventually(event, || has_logged(town, number, event));
    }
}

/// Restores the store and waits until all boxes have detected it.
fn restore(town: &TestCluster) {
    town.store.restore();
    all_have_logged(town, "store_restored");
}

fn first_upstream_requests(town: &TestCluster) -> usize {
    town.services[0].received_requests().len()
}

fn assert_first_upstream_unused(town: &TestCluster) {
    let before = first_upstream_requests(town);
    for number in 0..town.boxes.len() {
        for _ in 0..20 {
            assert_eq!(town.status(number, KEY), 200);
        }
    }
    assert_eq!(first_upstream_requests(town), before);
}

fn await_first_upstream_used(town: &TestCluster) {
    for number in 0..town.boxes.len() {
        let before = first_upstream_requests(town);
        eventually("the upstream is used", || {
            town.status(number, KEY);
            first_upstream_requests(town) > before
        });
    }
}

fn drain_first_upstream_hall(town: &TestCluster) {
    town.store.drain_hall("hall-a");
    all_have_logged(town, "hall_drained");
}

fn remove_first_upstream_record(town: &TestCluster) {
    town.store.remove_upstream(town.services[0].record().name());
    all_have_logged(town, "upstream_forgotten");
}

/// Guards against the use of an upstream that the restored store lists although it was taken out of use.
fn first_upstream_stays_unused(take_out_of_use: fn(&TestCluster)) {
    let town = town(LONG_SETTLE_MS, "serve");
    await_first_upstream_used(&town);
    town.store.back_up();
    take_out_of_use(&town);
    restore(&town);
    assert_first_upstream_unused(&town);
    town.store.replay_lost_writes();
    assert_first_upstream_unused(&town);
}

/// Guards against an upstream staying out of use although nobody repeated the lost write.
fn first_upstream_is_used_again(take_out_of_use: fn(&TestCluster)) {
    let town = town(SHORT_SETTLE_MS, "refuse");
    await_first_upstream_used(&town);
    town.store.back_up();
    take_out_of_use(&town);
    restore(&town);
    await_first_upstream_used(&town);
}

macro_rules! lost_writes {
    ($($name:ident: $check:ident, $take_out_of_use:ident;)*) => {$(
        #[test]
        fn $name() {
            $check($take_out_of_use);
        }
    )*};
}

lost_writes! {
    a_hall_whose_drain_was_lost_stays_drained: first_upstream_stays_unused, drain_first_upstream_hall;
    a_hall_whose_drain_is_not_repeated_is_used_again: first_upstream_is_used_again, drain_first_upstream_hall;
    an_upstream_whose_removal_was_lost_gets_no_work: first_upstream_stays_unused, remove_first_upstream_record;
    an_upstream_whose_removal_is_not_repeated_is_used_again: first_upstream_is_used_again, remove_first_upstream_record;
}

#[test]
fn a_key_withdrawn_in_an_outage_is_refused_until_the_store_settles() {
    let town = town(LONG_SETTLE_MS, "refuse");
    town.store.back_up();
    town.store.set_fault(StoreFault::Silent);
    town.store.put_site(&site_config(2, &["second"]));
    town.store.restore();
    town.store.set_fault(StoreFault::None);
    for number in 0..HALLS.len() {
        eventually("the key is refused", || town.status(number, KEY) == 503);
    }
    town.store.replay_lost_writes();
    for number in 0..HALLS.len() {
        assert_ne!(town.status(number, KEY), 200);
    }
}

fn epoch_ms(line: &Value) -> u64 {
    line["epoch_ms"].as_u64().expect("a time")
}

#[test]
fn a_box_that_starts_after_a_restore_is_not_ready_until_the_store_settles() {
    const SETTLE_MS: u64 = 3_000;
    // Timestamps and remaining times are rounded to whole milliseconds.
    const ROUNDING_MS: u64 = 20;
    let mut town = town(SETTLE_MS, "refuse");
    town.store.back_up();
    restore(&town);
    let first = town
        .boxes
        .iter()
        .flat_map(|b| b.event_lines("store_restored"));
    let restored_ms = first.map(|line| epoch_ms(&line)).min().expect("a restore");
    for hall in ["hall-a", "hall-b", "hall-c"] {
        let number = town.add_box(hall);
        eventually("it logs that it is ready", || {
            has_logged(&town, number, "readiness")
        });
        let ready_ms = epoch_ms(&town.boxes[number].event_lines("readiness")[0]);
        assert!(ready_ms + ROUNDING_MS >= restored_ms + SETTLE_MS);
    }
}

/// Guards against moving a pool again when a restored store lacks the completion of its roll-out.
#[test]
fn a_rollout_whose_completion_was_lost_does_not_start_again() {
    let town = town(LONG_SETTLE_MS, "serve");
    let new_upstream = ScriptedUpstream::start("services-new", "services", "v2");
    town.store.put_upstream(&new_upstream.record());
    town.store.back_up();
    town.store.order_rollout("services", "v2", 2_000);
    let is_completed = || town.store.rollout_state("services") == Some(RolloutState::Completed);
    eventually("the roll-out is completed", is_completed);
    restore(&town);
    town.store.replay_lost_writes();
    eventually("the completion is written again", is_completed);
    for running_box in &town.boxes {
        let restored_ms = epoch_ms(&running_box.event_lines("store_restored")[0]);
        let steps = running_box.event_lines("rollout_step");
        let mut steps_after_restore = steps.iter().filter(|step| epoch_ms(step) > restored_ms);
        assert!(
            steps_after_restore.all(|step| step["duty"] == "Complete"),
            "{steps:?}"
        );
    }
}

/// Guards against boxes that treat the first era they learn from the store as a restore.
#[test]
fn boxes_that_start_at_a_nonzero_era_detect_no_restore() {
    let mut town = TestCluster::start(BINARY);
    town.store.back_up();
    town.store.restore();
    town.store.restore();
    let store_addr = town.store.addr().to_string();
    for hall in ["hall-a", "hall-a", "hall-b", "hall-b", "hall-c", "hall-c"] {
        town.start_box(hall, &store_addr);
    }
    for number in 0..town.boxes.len() {
        eventually("the box is ready", || town.is_ready(number));
        assert!(!has_logged(&town, number, "store_restored"));
    }
}
