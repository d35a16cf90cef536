//! Boxes whose revisions are ahead of a store restored from a backup, which reuses the revision numbers.

use ivyweir_standins::edge::{
    GatewayProcess, KEY, ScriptedUpstream, StoreFault, TestCluster, eventually, site_config,
};

const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");
const HALLS: [&str; 4] = ["hall-a", "hall-a", "hall-b", "hall-c"];

/// Whether the store fails while it is restored.
#[derive(Clone, Copy)]
enum Outage {
    None,
    Fault(StoreFault),
}

/// Whether the store has reused all lost revision numbers before boxes ask it again.
#[derive(Clone, Copy, PartialEq)]
enum Revisions {
    Behind,
    Reused,
}

fn eventually_at_all(town: &TestCluster, what: &str, condition: impl Fn(usize) -> bool) {
    for number in 0..town.boxes.len() {
        eventually(what, || condition(number));
    }
}

/// Starts boxes that have adopted writes missing from the backup.
fn town() -> TestCluster {
    let town = TestCluster::with_boxes(BINARY, &HALLS);
    town.store.back_up();
    for version in 2..=5 {
        town.store.put_site(&site_config(version, &[KEY, "second"]));
    }
    let late = ScriptedUpstream::start("engines-late", "engines", "v1");
    town.store.put_upstream(&late.record());
    eventually_at_all(&town, "the second key works", |number| {
        town.status(number, "second") == 200
    });
    eventually_at_all(&town, "the box knows the upstream", |number| {
        has_logged_change(&town, number, &["Joined"])
    });
    town
}

fn has_logged_change(town: &TestCluster, number: usize, changes: &[&str]) -> bool {
    let seen = town.boxes[number].event_lines("upstream_changed");
    let mut changed = seen.iter().filter_map(|line| line["change"].as_str());
    changed.any(|change| changes.contains(&change))
}

/// Restores the store during the given outage, and writes to it before or after boxes reach it again.
fn restore(town: &TestCluster, outage: Outage, revisions: Revisions, write: impl Fn(&TestCluster)) {
    if let Outage::Fault(fault) = outage {
        town.store.set_fault(fault);
        eventually("the outage is noticed", || {
            let has_lost = |b: &GatewayProcess| !b.event_lines("store_lost").is_empty();
            town.boxes.iter().any(has_lost)
        });
    }
    town.store.restore();
    if revisions == Revisions::Reused {
        write(town);
        for _ in 0..8 {
            town.store.drain_hall("hall-z");
            town.store.undrain_hall("hall-z");
        }
    }
    town.store.set_fault(StoreFault::None);
    if revisions == Revisions::Behind {
        write(town);
    }
}

fn a_withdrawn_key_is_refused(outage: Outage, revisions: Revisions) {
    let town = town();
    restore(&town, outage, revisions, |town| {
        town.store.put_site(&site_config(8, &["third"]));
    });
    eventually_at_all(&town, "the new key works", |number| {
        town.status(number, "third") == 200
    });
    eventually_at_all(&town, "the withdrawn key is refused", |number| {
        let status = town.status(number, KEY);
        assert_ne!(status, 200);
        status == 401
    });
}

fn a_leaving_upstream_gets_no_more_work(outage: Outage, revisions: Revisions) {
    let town = town();
    restore(&town, outage, revisions, |town| {
        town.store.put_upstream(&town.services[0].leaving_record());
    });
    eventually_at_all(&town, "the box knows that it leaves or left", |number| {
        has_logged_change(&town, number, &["Leaving", "Lapsed"])
    });
    eventually_at_all(&town, "the box serves", |number| {
        town.status(number, KEY) == 200
    });
    let before = town.services[0].received_requests().len();
    for number in 0..town.boxes.len() {
        for _ in 0..10 {
            assert_eq!(town.status(number, KEY), 200);
        }
    }
    assert_eq!(town.services[0].received_requests().len(), before);
}

macro_rules! restore_tests {
    ($($name:ident: $what:ident, $outage:expr, $revisions:expr;)*) => {$(
        #[test]
        fn $name() {
            $what($outage, $revisions);
        }
    )*};
}

restore_tests! {
    a_key_withdrawn_after_a_restore_is_refused_everywhere:
        a_withdrawn_key_is_refused, Outage::None, Revisions::Behind;
    a_key_withdrawn_after_a_restore_in_an_outage_is_refused_everywhere:
        a_withdrawn_key_is_refused, Outage::Fault(StoreFault::Refuse), Revisions::Behind;
    a_key_withdrawn_at_a_reused_revision_is_refused_everywhere:
        a_withdrawn_key_is_refused, Outage::Fault(StoreFault::Silent), Revisions::Reused;
    an_upstream_that_leaves_after_a_restore_gets_no_more_work:
        a_leaving_upstream_gets_no_more_work, Outage::None, Revisions::Behind;
    an_upstream_that_leaves_after_a_restore_in_an_outage_gets_no_more_work:
        a_leaving_upstream_gets_no_more_work, Outage::Fault(StoreFault::Refuse), Revisions::Behind;
    an_upstream_that_leaves_at_a_reused_revision_gets_no_more_work:
        a_leaving_upstream_gets_no_more_work, Outage::Fault(StoreFault::Silent), Revisions::Reused;
}
