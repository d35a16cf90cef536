//! A store that is restored from a backup: boxes' revisions are ahead of its own, and it gives them out again.

use ivyweir_standins::edge::{
    GatewayProcess, KEY, ScriptedUpstream, StoreFault, Town, eventually, get, site,
};

const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");
const HALLS: [&str; 4] = ["hall-a", "hall-a", "hall-b", "hall-c"];

/// How long the store is away, and how it is then.
#[derive(Clone, Copy)]
enum Outage {
    None,
    Is(StoreFault),
}

/// Whether the store has given out all lost revisions again when boxes next ask it.
#[derive(Clone, Copy, PartialEq)]
enum Revisions {
    Behind,
    GivenOutAgain,
}

fn status(town: &Town, number: usize, key: &str) -> u16 {
    let auth = format!("Bearer {key}");
    let headers = [
        ("ivyweir-request-id", "r1"),
        ("authorization", auth.as_str()),
    ];
    get(town.addr(number), "/safe/x", &headers).map_or(0, |reply| reply.status)
}

fn all(town: &Town, what: &str, is_so: impl Fn(usize) -> bool) {
    for number in 0..town.boxes.len() {
        eventually(what, || is_so(number));
    }
}

/// Boxes that all know of writes that the backup lacks.
fn town() -> Town {
    let town = Town::with_boxes(BINARY, &HALLS);
    town.store.back_up();
    for version in 2..=5 {
        town.store.put_site(&site(version, &[KEY, "second"]));
    }
    let late = ScriptedUpstream::start("engines-late", "engines", "v1");
    town.store.put_upstream(&late.record());
    all(&town, "the second key works", |number| {
        status(&town, number, "second") == 200
    });
    all(&town, "the box knows the upstream", |number| {
        has_seen(&town, number, &["Joined"])
    });
    town
}

fn has_seen(town: &Town, number: usize, changes: &[&str]) -> bool {
    let seen = town.boxes[number].lines_of("upstream_changed");
    let mut changed = seen.iter().filter_map(|line| line["change"].as_str());
    changed.any(|change| changes.contains(&change))
}

/// Restores the store while it is away like this, and writes to it.
fn restore(town: &Town, outage: Outage, revisions: Revisions, write: impl Fn(&Town)) {
    if let Outage::Is(fault) = outage {
        town.store.set_fault(fault);
        eventually("the outage is noticed", || {
            let has_lost = |b: &GatewayProcess| !b.lines_of("store_lost").is_empty();
            town.boxes.iter().any(has_lost)
        });
    }
    town.store.restore();
    if revisions == Revisions::GivenOutAgain {
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
        town.store.put_site(&site(8, &["third"]));
    });
    all(&town, "the new key works", |number| {
        status(&town, number, "third") == 200
    });
    all(&town, "the withdrawn key is refused", |number| {
        let status = status(&town, number, KEY);
        assert_ne!(status, 200);
        status == 401
    });
}

fn a_leaving_upstream_gets_no_more_work(outage: Outage, revisions: Revisions) {
    let town = town();
    restore(&town, outage, revisions, |town| {
        town.store.put_upstream(&town.services[0].leaving());
    });
    all(&town, "the box knows that it leaves or left", |number| {
        has_seen(&town, number, &["Leaving", "Lapsed"])
    });
    all(&town, "the box serves", |number| {
        status(&town, number, KEY) == 200
    });
    let before = town.services[0].seen().len();
    for number in 0..town.boxes.len() {
        for _ in 0..10 {
            assert_eq!(status(&town, number, KEY), 200);
        }
    }
    assert_eq!(town.services[0].seen().len(), before);
}

macro_rules! restored {
    ($($name:ident: $what:ident, $outage:expr, $revisions:expr;)*) => {$(
        #[test]
        fn $name() {
            $what($outage, $revisions);
        }
    )*};
}

restored! {
    a_key_withdrawn_after_a_restore_is_refused_everywhere:
        a_withdrawn_key_is_refused, Outage::None, Revisions::Behind;
    a_key_withdrawn_after_a_restore_in_an_outage_is_refused_everywhere:
        a_withdrawn_key_is_refused, Outage::Is(StoreFault::Refuse), Revisions::Behind;
    a_key_withdrawn_at_a_revision_given_out_again_is_refused_everywhere:
        a_withdrawn_key_is_refused, Outage::Is(StoreFault::Silent), Revisions::GivenOutAgain;
    an_upstream_that_leaves_after_a_restore_gets_no_more_work:
        a_leaving_upstream_gets_no_more_work, Outage::None, Revisions::Behind;
    an_upstream_that_leaves_after_a_restore_in_an_outage_gets_no_more_work:
        a_leaving_upstream_gets_no_more_work, Outage::Is(StoreFault::Refuse), Revisions::Behind;
    an_upstream_that_leaves_at_a_revision_given_out_again_gets_no_more_work:
        a_leaving_upstream_gets_no_more_work, Outage::Is(StoreFault::Silent), Revisions::GivenOutAgain;
}
