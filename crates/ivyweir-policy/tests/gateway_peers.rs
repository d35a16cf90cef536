//! Tests of fleet membership and of the source from which each box receives the records of the store.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::membership::{JoinedBoxes, SeedLists, Uptimes};
use ivyweir_policy::gateway::relay::{
    BoxRecord, PeerBackoff, PeerBackoffConfig, Source, SourceSelector, StickyRoot, polls,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const HALLS: [&str; 4] = ["hall-a", "hall-b", "hall-c", "hall-d"];

fn record(name: &str, hall: &str, port: u16) -> BoxRecord {
    BoxRecord {
        name: name.into(),
        hall: hall.into(),
        peer_addr: SocketAddr::from(([127, 0, 0, 1], port)),
        cpu_milli: 250,
    }
}

/// Three boxes in each of four halls.
fn fleet() -> Vec<BoxRecord> {
    let boxes = (0..12_u16).map(|n| (n, HALLS[usize::from(n) % HALLS.len()]));
    boxes
        .map(|(n, hall)| record(&format!("box-{n}"), hall, 7_000 + n))
        .collect()
}

/// Selects the sources of all boxes, where the boxes in `without_source` have no source.
fn sources(fleet: &[BoxRecord], without_source: &HashSet<Name>) -> HashMap<Name, Source> {
    let source = |me: &BoxRecord| {
        let others = fleet.iter().filter(|r| r.name != me.name);
        let others: HashMap<Name, BoxRecord> =
            others.map(|r| (r.name.clone(), r.clone())).collect();
        let selector = SourceSelector {
            me,
            others: &others,
            is_unresponsive: |_: &str| false,
            has_no_source: |name: &str| without_source.contains(name),
            root: None,
        };
        selector.source()
    };
    fleet
        .iter()
        .map(|me| (me.name.clone(), source(me)))
        .collect()
}

fn boxes_with_source(
    sources: &HashMap<Name, Source>,
    matches: impl Fn(&Source) -> bool,
) -> Vec<Name> {
    let matching = sources.iter().filter(|(_, source)| matches(source));
    matching.map(|(name, _)| name.clone()).collect()
}

#[test]
fn one_box_asks_the_store_one_a_hall_asks_it_and_the_rest_ask_those() {
    let sources = sources(&fleet(), &HashSet::new());
    let direct = boxes_with_source(&sources, |s| *s == Source::Store);
    assert_eq!(direct.len(), 1);
    let relays = boxes_with_source(
        &sources,
        |s| matches!(s, Source::Root(root) if root.name == direct[0]),
    );
    assert_eq!(relays.len(), HALLS.len() - 1);
    let relays_and_root = relays
        .iter()
        .chain(&direct)
        .cloned()
        .collect::<HashSet<Name>>();
    let followers = boxes_with_source(
        &sources,
        |s| matches!(s, Source::Relay(r) if relays_and_root.contains(&r.name)),
    );
    assert_eq!(followers.len(), 8);
}

#[test]
fn another_relay_is_the_root_when_the_root_is_out() {
    let old_root = boxes_with_source(&sources(&fleet(), &HashSet::new()), |s| *s == Source::Store);
    let without_source: HashSet<Name> = old_root.iter().cloned().collect();
    let sources = sources(&fleet(), &without_source);
    let new_root = boxes_with_source(&sources, |s| *s == Source::Store);
    assert_eq!(new_root.len(), 1);
    assert_ne!(new_root, old_root);
    let source_name = |source: &Source| match source {
        Source::Root(other) | Source::Relay(other) => Some(other.name.clone()),
        Source::Store | Source::Unavailable => None,
    };
    assert_eq!(
        source_name(&sources[&old_root[0]]).as_ref(),
        Some(&new_root[0])
    );
}

#[test]
fn few_try_a_store_that_answers_nobody() {
    let fleet = fleet();
    let all: HashSet<Name> = fleet.iter().map(|r| r.name.clone()).collect();
    let sources = sources(&fleet, &all);
    // Boxes of the three halls whose relay is eligible as the root try the store, each on its own. The others wait.
    assert_eq!(
        boxes_with_source(&sources, |s| *s == Source::Unavailable).len(),
        3
    );
}

#[test]
fn the_largest_box_of_a_hall_is_its_relay() {
    let mut fleet = fleet();
    for large in [4, 9] {
        fleet[large].cpu_milli = 500;
    }
    let sources = sources(&fleet, &HashSet::new());
    for large in [4, 9] {
        let hall = fleet[large].hall.clone();
        let of_hall = fleet
            .iter()
            .filter(|r| r.hall == hall && r.name != fleet[large].name);
        for other in of_hall {
            assert_eq!(sources[&other.name], Source::Relay(fleet[large].clone()));
        }
    }
}

#[test]
fn of_two_halls_one_asks_the_other() {
    for one in HALLS {
        for other in HALLS.iter().filter(|other| **other != one) {
            assert_ne!(polls(one, other), polls(other, one));
        }
    }
}

#[test]
fn of_two_roots_one_gives_way_at_once() {
    let fleet = fleet();
    for (me, other) in fleet.iter().flat_map(|a| fleet.iter().map(move |b| (a, b))) {
        let mut root = StickyRoot::default();
        root.update(&Source::Store, me, 0);
        let should_yield = me.hall != other.hall && polls(&me.hall, &other.hall);
        assert_eq!(root.yield_to(me, other), should_yield);
        assert_eq!(root.retained(1), (!should_yield).then_some(&me.name));
    }
}

#[test]
fn a_relay_that_is_no_root_itself_keeps_to_its_own() {
    let fleet = fleet();
    let (me, root) = (&fleet[0], &fleet[1]);
    let mut sticky_root = StickyRoot::default();
    sticky_root.update(&Source::Root(root.clone()), me, 0);
    for other in &fleet {
        assert!(!sticky_root.yield_to(me, other));
    }
    sticky_root.update(&Source::Root(root.clone()), me, 9_000);
    assert_eq!(sticky_root.retained(9_999), Some(&root.name));
    assert_eq!(sticky_root.retained(10_000), None);
}

#[test]
fn a_box_that_fails_again_is_left_alone_longer() {
    let mut backoff = PeerBackoff::new(PeerBackoffConfig {
        initial_ms: 100,
        max_ms: 300,
    });
    let name = Name::from("box-1");
    for until_ms in [100, 200, 300, 300] {
        backoff.record_failure(&name, 1_000);
        assert!(backoff.is_backing_off(&name, 1_000 + until_ms - 1));
        assert!(!backoff.is_backing_off(&name, 1_000 + until_ms));
    }
    backoff.record_success(&name);
    assert!(!backoff.is_backing_off(&name, 1_000));
}

#[test]
fn a_seed_tells_of_a_whole_hall_and_of_some_of_each_other() {
    let mut joined = JoinedBoxes::default();
    for n in 0..20 {
        joined.join(record(&format!("a{n}"), "hall-a", n), 0);
        joined.join(record(&format!("b{n}"), "hall-b", 100 + n), 0);
    }
    let listed = joined.list_for("hall-a", 1);
    let count_in = |hall: &str| listed.iter().filter(|r| *r.hall == *hall).count();
    assert_eq!((count_in("hall-a"), count_in("hall-b")), (20, 3));
}

#[test]
fn a_box_that_joins_no_more_is_forgotten() {
    let mut joined = JoinedBoxes::default();
    assert!(joined.join(record("gone", "hall-a", 1), 0));
    assert!(joined.join(record("stays", "hall-a", 2), 0));
    assert!(!joined.join(record("stays", "hall-a", 2), 15_000));
    let listed = joined.list_for("hall-a", 21_000);
    assert_eq!(listed, [record("stays", "hall-a", 2)]);
}

/// The membership of a seed at which these boxes joined at time 0.
fn seed_with(boxes: &[BoxRecord]) -> JoinedBoxes {
    let mut joined = JoinedBoxes::new(1);
    for record in boxes {
        joined.join(record.clone(), 0);
    }
    joined
}

#[test]
fn lists_of_seeds_are_added_up_and_the_newest_word_on_a_box_counts() {
    let seeds: [SocketAddr; 2] = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let mut lists = SeedLists::new("hall-a".into());
    assert_eq!(lists.cursor(seeds[0]), None);
    let mut first = seed_with(&[record("moved", "hall-a", 10), record("one", "hall-a", 11)]);
    lists.apply(seeds[0], first.update_for("hall-a", None, 0), 0);
    assert_eq!(first.update_for("hall-a", lists.cursor(seeds[0]), 0), None);
    let mut second = seed_with(&[record("moved", "hall-a", 20)]);
    lists.apply(seeds[1], second.update_for("hall-a", None, 0), 1_000);
    let boxes = lists.boxes();
    assert_eq!(boxes["moved"].peer_addr.port(), 20);
    assert_eq!(boxes.keys().cloned().collect::<BTreeSet<Name>>().len(), 2);
    // The second seed still answers, without an update; the first one has stopped answering.
    lists.apply(seeds[1], None, 31_500);
    assert_eq!(lists.boxes().len(), 1);
}

#[test]
fn a_box_that_changed_its_size_is_news() {
    let before = record("one", "hall-a", 1);
    let mut joined = seed_with(std::slice::from_ref(&before));
    let update = joined.update_for("hall-a", None, 0).expect("full list");
    assert_eq!(update.boxes, std::slice::from_ref(&before));
    let mut after = before;
    after.cpu_milli = 500;
    assert!(joined.join(after.clone(), 0));
    let update = joined.update_for("hall-a", Some(update.mark), 0);
    assert_eq!(update.expect("update with the new size").boxes, [after]);
}

#[test]
fn a_seed_that_started_again_tells_all_it_has() {
    let mut before = seed_with(&[record("one", "hall-a", 1), record("two", "hall-a", 2)]);
    let mut lists = SeedLists::new("hall-a".into());
    let seed = SocketAddr::from(([127, 0, 0, 1], 9));
    lists.apply(seed, before.update_for("hall-a", None, 0), 0);
    let mut after = JoinedBoxes::new(2);
    for name in ["one", "three"] {
        after.join(record(name, "hall-a", 1), 0);
    }
    let update = after
        .update_for("hall-a", lists.cursor(seed), 0)
        .expect("full list");
    assert!(update.is_whole);
    lists.apply(seed, Some(update), 0);
    let boxes: BTreeSet<Name> = lists.boxes().into_keys().collect();
    assert_eq!(boxes, ["one", "three"].map(Name::from).into());
}

/// After each update a box has the same list as the seed, for random orders of joins, expiries and updates.
#[test]
fn what_changed_adds_up_to_the_list() {
    let mut rng = StdRng::seed_from_u64(44);
    let seed = SocketAddr::from(([127, 0, 0, 1], 9));
    for run in 0..30 {
        let mut joined = JoinedBoxes::new(run);
        let mut lists = SeedLists::new("hall-a".into());
        for now_ms in (0..200_000).step_by(500) {
            let n = rng.random_range(0..40_u16);
            let hall = HALLS[usize::from(n) % HALLS.len()];
            let mut joining = record(&format!("box-{n}"), hall, n);
            joining.cpu_milli = [120, 120, 120, 500][rng.random_range(0..4)];
            joined.join(joining, now_ms);
            if rng.random_bool(0.2) {
                let update = joined.update_for("hall-a", lists.cursor(seed), now_ms);
                lists.apply(seed, update, now_ms);
                let mut known: Vec<BoxRecord> = lists.boxes().into_values().collect();
                let mut listed = joined.list_for("hall-a", now_ms);
                for list in [&mut known, &mut listed] {
                    list.sort_by(|a, b| a.name.cmp(&b.name));
                }
                assert_eq!(known, listed, "run {run} at {now_ms} ms");
            }
        }
    }
}

/// Counts the records that a seed sends to a box of one hall while some boxes restart one after the other.
fn records_sent(boxes: u16, restarts: u16) -> usize {
    let name = |n: u16| format!("box-{n}");
    let hall = |n: u16| HALLS[usize::from(n) % HALLS.len()];
    let mut joined = JoinedBoxes::new(1);
    for n in 0..boxes {
        joined.join(record(&name(n), hall(n), n), 0);
    }
    let seed = SocketAddr::from(([127, 0, 0, 1], 9));
    let mut lists = SeedLists::new("hall-a".into());
    lists.apply(seed, joined.update_for("hall-a", None, 0), 0);
    let mut sent = 0;
    for n in 0..restarts {
        // The box restarts at another address.
        joined.join(record(&name(n), hall(n), 10_000 + n), 1);
        if let Some(update) = joined.update_for("hall-a", lists.cursor(seed), 1) {
            sent += update.boxes.len() + update.gone.len();
            lists.apply(seed, Some(update), 1);
        }
    }
    sent
}

/// Guards against a fault seen by users of large fleets: the network links of seeds on small machines were saturated
/// while boxes restarted in turn, because a seed sent its full list to each box whenever a single box joined or left.
#[test]
fn what_a_seed_tells_of_a_change_does_not_grow_with_the_fleet() {
    assert_eq!(records_sent(50, 20), records_sent(500, 20));
    // A restart in the receiver's own hall sends the record of that box, and a restart in another hall sends the
    // records of that hall's relay candidates.
    assert_eq!(records_sent(500, 20), 5 + 15 * 3);
}

macro_rules! uptime_cases {
    ($($name:ident: $up_ms:expr, $seed_up_ms:expr => $can_choose_relay:expr;)*) => {$(
        #[test]
        fn $name() {
            let uptimes = Uptimes { up_ms: $up_ms, seed_up_ms: $seed_up_ms };
            assert_eq!(uptimes.can_choose_relay(), $can_choose_relay);
        }
    )*};
}

uptime_cases! {
    a_box_takes_the_list_of_an_old_seed_at_once: 5, Some(60_000) => true;
    boxes_that_start_together_wait_until_most_have_joined: 100, Some(90) => false;
    then_they_go_on: 150, Some(140) => true;
    a_seed_that_started_last_knows_few: 500, Some(40) => false;
    and_soon_knows_most: 600, Some(140) => true;
    a_box_waits_for_seeds_that_are_still_without_power: 600, None => false;
    a_box_whose_seeds_are_gone_goes_on_alone: 900, None => true;
}

#[test]
fn boxes_of_all_halls_count_until_they_join_no_more() {
    let mut joined = JoinedBoxes::default();
    for record in fleet() {
        joined.join(record, 1_000);
    }
    joined.join(fleet()[0].clone(), 15_000);
    assert_eq!(joined.count(15_000), 12);
    assert_eq!(joined.count(30_000), 1);
}

/// Six boxes of one hall, in the order of its relay candidates.
fn hall_of_six() -> Vec<BoxRecord> {
    let mut boxes: Vec<BoxRecord> = (0..6_u16)
        .map(|n| record(&format!("box-{n}"), "hall-a", 7_000 + n))
        .collect();
    boxes.sort_by_key(|record| std::cmp::Reverse(record.rank()));
    boxes
}

/// Selects the source of the box at position `me`, where the first `unresponsive` boxes do not answer and the next
/// `sourceless` have no source.
fn source_in_hall(me: usize, unresponsive: usize, sourceless: usize) -> Source {
    let boxes = hall_of_six();
    let is_in_range = |name: &str, from: usize, to: usize| {
        let position = boxes.iter().position(|record| *record.name == *name);
        position.is_some_and(|position| (from..to).contains(&position))
    };
    let others = boxes.iter().filter(|r| r.name != boxes[me].name);
    let others = others.map(|r| (r.name.clone(), r.clone())).collect();
    let selector = SourceSelector {
        me: &boxes[me],
        others: &others,
        is_unresponsive: |name: &str| is_in_range(name, 0, unresponsive),
        has_no_source: |name: &str| is_in_range(name, unresponsive, unresponsive + sourceless),
        root: None,
    };
    selector.source()
}

macro_rules! source_cases {
    ($($name:ident: $me:expr, $unresponsive:expr, $sourceless:expr => $source:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(source_in_hall($me, $unresponsive, $sourceless), $source);
        }
    )*};
}

fn relay(position: usize) -> Source {
    Source::Relay(hall_of_six()[position].clone())
}

source_cases! {
    a_box_follows_the_first_of_its_hall: 4, 0, 0 => relay(0);
    the_first_asks_the_store: 0, 0, 0 => Source::Store;
    boxes_that_do_not_answer_are_replaced: 5, 4, 0 => relay(4);
    also_by_the_last_one: 5, 5, 0 => Source::Store;
    a_relay_that_hears_nothing_is_passed_over: 4, 0, 1 => relay(1);
    the_third_may_hear_the_store_where_two_do_not: 2, 0, 2 => Source::Store;
    the_fourth_does_not_look_for_a_store_that_three_lost: 3, 0, 3 => Source::Unavailable;
    nor_does_the_last: 5, 0, 3 => Source::Unavailable;
    the_three_go_on_trying: 1, 0, 3 => Source::Store;
    those_behind_boxes_that_are_gone_try_too: 3, 1, 3 => Source::Store;
}
