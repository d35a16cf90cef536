//! Boxes among themselves: who is known, and from whom each hears the store.

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

/// The sources of all boxes where those in `out` are passed over by everybody.
fn sources(fleet: &[BoxRecord], out: &HashSet<Name>) -> HashMap<Name, Source> {
    let source = |me: &BoxRecord| {
        let others = fleet.iter().filter(|r| r.name != me.name);
        let others: HashMap<Name, BoxRecord> =
            others.map(|r| (r.name.clone(), r.clone())).collect();
        let view = SourceSelector {
            me,
            others: &others,
            is_unresponsive: |_: &str| false,
            has_no_source: |name: &str| out.contains(name),
            root: None,
        };
        view.source()
    };
    fleet
        .iter()
        .map(|me| (me.name.clone(), source(me)))
        .collect()
}

fn names(sources: &HashMap<Name, Source>, of: impl Fn(&Source) -> bool) -> Vec<Name> {
    let named = sources.iter().filter(|(_, source)| of(source));
    named.map(|(name, _)| name.clone()).collect()
}

#[test]
fn one_box_asks_the_store_one_a_hall_asks_it_and_the_rest_ask_those() {
    let sources = sources(&fleet(), &HashSet::new());
    let direct = names(&sources, |s| *s == Source::Store);
    assert_eq!(direct.len(), 1);
    let relays = names(
        &sources,
        |s| matches!(s, Source::Root(root) if root.name == direct[0]),
    );
    assert_eq!(relays.len(), HALLS.len() - 1);
    let told = relays
        .iter()
        .chain(&direct)
        .cloned()
        .collect::<HashSet<Name>>();
    let followers = names(
        &sources,
        |s| matches!(s, Source::Relay(r) if told.contains(&r.name)),
    );
    assert_eq!(followers.len(), 8);
}

#[test]
fn another_relay_is_the_root_when_the_root_is_out() {
    let root = names(&sources(&fleet(), &HashSet::new()), |s| *s == Source::Store);
    let out: HashSet<Name> = root.iter().cloned().collect();
    let sources = sources(&fleet(), &out);
    let next = names(&sources, |s| *s == Source::Store);
    assert_eq!(next.len(), 1);
    assert_ne!(next, root);
    let told_by = |source: &Source| match source {
        Source::Root(other) | Source::Relay(other) => Some(other.name.clone()),
        Source::Store | Source::Unavailable => None,
    };
    assert_eq!(told_by(&sources[&root[0]]).as_ref(), Some(&next[0]));
}

#[test]
fn few_try_a_store_that_answers_nobody() {
    let fleet = fleet();
    let all: HashSet<Name> = fleet.iter().map(|r| r.name.clone()).collect();
    let sources = sources(&fleet, &all);
    // Boxes of the three halls that may have the root try it, each for itself; others wait.
    assert_eq!(names(&sources, |s| *s == Source::Unavailable).len(), 3);
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
        let comes_later = me.hall != other.hall && polls(&me.hall, &other.hall);
        assert_eq!(root.yield_to(me, other), comes_later);
        assert_eq!(root.retained(1), (!comes_later).then_some(&me.name));
    }
}

#[test]
fn a_relay_that_is_no_root_itself_keeps_to_its_own() {
    let fleet = fleet();
    let (me, root) = (&fleet[0], &fleet[1]);
    let mut kept = StickyRoot::default();
    kept.update(&Source::Root(root.clone()), me, 0);
    for other in &fleet {
        assert!(!kept.yield_to(me, other));
    }
    kept.update(&Source::Root(root.clone()), me, 9_000);
    assert_eq!(kept.retained(9_999), Some(&root.name));
    assert_eq!(kept.retained(10_000), None);
}

#[test]
fn a_box_that_fails_again_is_left_alone_longer() {
    let mut shunned = PeerBackoff::new(PeerBackoffConfig {
        initial_ms: 100,
        max_ms: 300,
    });
    let name = Name::from("box-1");
    for until_ms in [100, 200, 300, 300] {
        shunned.record_failure(&name, 1_000);
        assert!(shunned.is_backing_off(&name, 1_000 + until_ms - 1));
        assert!(!shunned.is_backing_off(&name, 1_000 + until_ms));
    }
    shunned.record_success(&name);
    assert!(!shunned.is_backing_off(&name, 1_000));
}

#[test]
fn a_seed_tells_of_a_whole_hall_and_of_some_of_each_other() {
    let mut joined = JoinedBoxes::default();
    for n in 0..20 {
        joined.join(record(&format!("a{n}"), "hall-a", n), 0);
        joined.join(record(&format!("b{n}"), "hall-b", 100 + n), 0);
    }
    let told = joined.list_for("hall-a", 1);
    let of = |hall: &str| told.iter().filter(|r| *r.hall == *hall).count();
    assert_eq!((of("hall-a"), of("hall-b")), (20, 3));
}

#[test]
fn a_box_that_joins_no_more_is_forgotten() {
    let mut joined = JoinedBoxes::default();
    assert!(joined.join(record("gone", "hall-a", 1), 0));
    assert!(joined.join(record("stays", "hall-a", 2), 0));
    assert!(!joined.join(record("stays", "hall-a", 2), 15_000));
    let told = joined.list_for("hall-a", 21_000);
    assert_eq!(told, [record("stays", "hall-a", 2)]);
}

/// A seed at which these boxes joined.
fn seed_of(boxes: &[BoxRecord]) -> JoinedBoxes {
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
    let mut first = seed_of(&[record("moved", "hall-a", 10), record("one", "hall-a", 11)]);
    lists.apply(seeds[0], first.update_for("hall-a", None, 0), 0);
    assert_eq!(first.update_for("hall-a", lists.cursor(seeds[0]), 0), None);
    let mut second = seed_of(&[record("moved", "hall-a", 20)]);
    lists.apply(seeds[1], second.update_for("hall-a", None, 0), 1_000);
    let boxes = lists.boxes();
    assert_eq!(boxes["moved"].peer_addr.port(), 20);
    assert_eq!(boxes.keys().cloned().collect::<BTreeSet<Name>>().len(), 2);
    // The second seed goes on answering, without news; the first one is silent.
    lists.apply(seeds[1], None, 31_500);
    assert_eq!(lists.boxes().len(), 1);
}

#[test]
fn a_box_that_changed_its_size_is_news() {
    let before = record("one", "hall-a", 1);
    let mut joined = seed_of(std::slice::from_ref(&before));
    let news = joined.update_for("hall-a", None, 0).expect("a list");
    assert_eq!(news.boxes, std::slice::from_ref(&before));
    let mut after = before;
    after.cpu_milli = 500;
    assert!(joined.join(after.clone(), 0));
    let news = joined.update_for("hall-a", Some(news.mark), 0);
    assert_eq!(news.expect("news").boxes, [after]);
}

#[test]
fn a_seed_that_started_again_tells_all_it_has() {
    let mut before = seed_of(&[record("one", "hall-a", 1), record("two", "hall-a", 2)]);
    let mut lists = SeedLists::new("hall-a".into());
    let seed = SocketAddr::from(([127, 0, 0, 1], 9));
    lists.apply(seed, before.update_for("hall-a", None, 0), 0);
    let mut after = JoinedBoxes::new(2);
    for name in ["one", "three"] {
        after.join(record(name, "hall-a", 1), 0);
    }
    let news = after
        .update_for("hall-a", lists.cursor(seed), 0)
        .expect("a list");
    assert!(news.is_whole);
    lists.apply(seed, Some(news), 0);
    let boxes: BTreeSet<Name> = lists.boxes().into_keys().collect();
    assert_eq!(boxes, ["one", "three"].map(Name::from).into());
}

/// Any order of joins, losses and asks brings a box to the list that the seed has.
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
            let mut joins = record(&format!("box-{n}"), hall, n);
            joins.cpu_milli = [120, 120, 120, 500][rng.random_range(0..4)];
            joined.join(joins, now_ms);
            if rng.random_bool(0.2) {
                let news = joined.update_for("hall-a", lists.cursor(seed), now_ms);
                lists.apply(seed, news, now_ms);
                let mut known: Vec<BoxRecord> = lists.boxes().into_values().collect();
                let mut told = joined.list_for("hall-a", now_ms);
                for list in [&mut known, &mut told] {
                    list.sort_by(|a, b| a.name.cmp(&b.name));
                }
                assert_eq!(known, told, "run {run} at {now_ms} ms");
            }
        }
    }
}

/// Records that a seed tells all boxes of one hall while some boxes start again, one after the other.
fn records_told(boxes: u16, restarts: u16) -> usize {
    let name = |n: u16| format!("box-{n}");
    let hall = |n: u16| HALLS[usize::from(n) % HALLS.len()];
    let mut joined = JoinedBoxes::new(1);
    for n in 0..boxes {
        joined.join(record(&name(n), hall(n), n), 0);
    }
    let asker = SocketAddr::from(([127, 0, 0, 1], 9));
    let mut lists = SeedLists::new("hall-a".into());
    lists.apply(asker, joined.update_for("hall-a", None, 0), 0);
    let mut told = 0;
    for n in 0..restarts {
        // It comes back at another address.
        joined.join(record(&name(n), hall(n), 10_000 + n), 1);
        if let Some(news) = joined.update_for("hall-a", lists.cursor(asker), 1) {
            told += news.boxes.len() + news.gone.len();
            lists.apply(asker, Some(news), 1);
        }
    }
    told
}

/// What users of a large fleet saw: seeds on small machines whose links were full while boxes were restarted in turn.
/// Cause: a seed told its whole list again to each box whenever a single box came or went.
#[test]
fn what_a_seed_tells_of_a_change_does_not_grow_with_the_fleet() {
    assert_eq!(records_told(50, 20), records_told(500, 20));
    // Of the asker's hall the box itself, of another one the relays.
    assert_eq!(records_told(500, 20), 5 + 15 * 3);
}

macro_rules! starts {
    ($($name:ident: $up_ms:expr, $seed_up_ms:expr => $knows_enough:expr;)*) => {$(
        #[test]
        fn $name() {
            let start = Uptimes { up_ms: $up_ms, seed_up_ms: $seed_up_ms };
            assert_eq!(start.can_choose_relay(), $knows_enough);
        }
    )*};
}

starts! {
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

/// Six boxes of one hall, the first first in the order of its relays.
fn hall_of_six() -> Vec<BoxRecord> {
    let mut boxes: Vec<BoxRecord> = (0..6_u16)
        .map(|n| record(&format!("box-{n}"), "hall-a", 7_000 + n))
        .collect();
    boxes.sort_by_key(|record| std::cmp::Reverse(record.rank()));
    boxes
}

/// The source of the box in place `me` where the first `silent` boxes do not answer and the next
/// `sourceless` hear nothing.
fn source_in_hall(me: usize, silent: usize, sourceless: usize) -> Source {
    let boxes = hall_of_six();
    let is_among = |name: &str, from: usize, to: usize| {
        let place = boxes.iter().position(|record| *record.name == *name);
        place.is_some_and(|place| (from..to).contains(&place))
    };
    let others = boxes.iter().filter(|r| r.name != boxes[me].name);
    let others = others.map(|r| (r.name.clone(), r.clone())).collect();
    let view = SourceSelector {
        me: &boxes[me],
        others: &others,
        is_unresponsive: |name: &str| is_among(name, 0, silent),
        has_no_source: |name: &str| is_among(name, silent, silent + sourceless),
        root: None,
    };
    view.source()
}

macro_rules! halls_of_six {
    ($($name:ident: $me:expr, $silent:expr, $sourceless:expr => $source:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(source_in_hall($me, $silent, $sourceless), $source);
        }
    )*};
}

fn relay(place: usize) -> Source {
    Source::Relay(hall_of_six()[place].clone())
}

halls_of_six! {
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
