//! What upstreams say of themselves, in whichever order it is heard, and when boxes return to those that were full.

use std::net::SocketAddr;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::backoff::Backoff;
use ivyweir_policy::gateway::fleet::{FleetChange, UpstreamRecord};
use ivyweir_policy::gateway::placement::PlacementRequest;
use ivyweir_policy::gateway::statement::{RetryAfter, Source, Statement};
use ivyweir_policy::gateway::upstreams::{ChooseError, Scope, SendDenied, SendRules, Upstreams};
use ivyweir_policy::gateway::wait::{BlockedRequest, Queue, spread_retry_after_ms};
use ivyweir_policy::hash::mix;

/// The most for which an upstream is left alone in these tests.
const MAX_BACKOFF_MS: u64 = 60_000;

/// The record of incarnation `born` of an upstream.
fn record(name: &str, born: u64) -> UpstreamRecord {
    UpstreamRecord {
        id: UpstreamRecord::incarnation_id(name, born),
        pool: "p".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1_000 + name.len() as u16)),
        hall: "h".into(),
        version: "v".into(),
        slots: 8,
        is_leaving: false,
        cold_remaining_ms: 0,
        is_spot: false,
        registered_as: Some(name.into()),
    }
}

fn leaving(record: UpstreamRecord) -> UpstreamRecord {
    UpstreamRecord {
        is_leaving: true,
        ..record
    }
}

fn says_leaving() -> Statement {
    Statement {
        is_leaving: true,
        ..Statement::new(Source::Answer)
    }
}

fn says_retry_after(retry_after: RetryAfter) -> Statement {
    Statement {
        retry_after: Some(retry_after),
        ..Statement::new(Source::Answer)
    }
}

/// What is heard of the upstream `u`.
enum Heard {
    /// Its record says that it takes work.
    Ready(u64),
    /// Its record says that it leaves.
    Leaving(u64),
    /// Its record is gone.
    Gone,
    /// A whole listing has it as ready.
    Listed(u64),
    /// A whole listing lacks it.
    Unlisted,
    /// An answer says that it leaves.
    Answer(u64),
    /// An answer says nothing of leaving.
    Silent(u64),
}

fn hear(upstreams: &mut Upstreams, heard: &Heard) {
    let id = |born: u64| UpstreamRecord::incarnation_id("u", born);
    match *heard {
        Heard::Ready(born) => drop(upstreams.fleet().put(record("u", born), 0)),
        Heard::Leaving(born) => drop(upstreams.fleet().put(leaving(record("u", born)), 0)),
        Heard::Gone => drop(upstreams.fleet().mark_lapsed("u", 0)),
        Heard::Listed(born) => drop(upstreams.fleet().replace_all(vec![record("u", born)], 0)),
        Heard::Unlisted => drop(upstreams.fleet().replace_all(Vec::new(), 0)),
        Heard::Answer(born) => {
            upstreams.apply_statement(&id(born), &says_leaving(), MAX_BACKOFF_MS, 0);
        }
        Heard::Silent(born) => {
            let statement = Statement::new(Source::Answer);
            upstreams.apply_statement(&id(born), &statement, MAX_BACKOFF_MS, 0);
        }
    }
}

macro_rules! orders {
    ($($name:ident: $heard:expr => $usable:expr;)*) => {$(
        #[test]
        fn $name() {
            use Heard::*;
            let mut upstreams = Upstreams::default();
            let heard: &[Heard] = &$heard;
            heard.iter().for_each(|heard| hear(&mut upstreams, heard));
            let usable: Vec<u64> = (1..=9)
                .filter(|born| {
                    let id = UpstreamRecord::incarnation_id("u", *born);
                    upstreams.may_send(&id, &SendRules::default(), 0).is_ok()
                })
                .collect();
            let expected: &[u64] = &$usable;
            assert_eq!(usable, expected);
        }
    )*};
}

orders! {
    an_answer_ends_its_use: [Ready(5), Answer(5)] => [];
    a_record_written_later_does_not_bring_it_back: [Ready(5), Answer(5), Ready(5)] => [];
    nor_a_listing: [Ready(5), Answer(5), Listed(5)] => [];
    nor_an_answer_that_says_nothing_of_it: [Ready(5), Answer(5), Silent(5)] => [];
    nor_its_record_going_and_coming: [Ready(5), Answer(5), Gone, Ready(5), Unlisted, Listed(5)] => [];
    an_answer_before_its_record_is_known: [Answer(5), Ready(5)] => [];
    an_answer_behind_its_record: [Ready(5), Leaving(5), Answer(5), Listed(5)] => [];
    an_answer_of_one_whose_record_is_gone: [Ready(5), Gone, Answer(5), Ready(5)] => [];
    the_next_incarnation_begins_anew: [Ready(5), Answer(5), Ready(8)] => [8];
    a_late_answer_of_the_old_one_harms_no_new_one: [Ready(5), Ready(8), Answer(5)] => [8];
    nor_does_a_late_record_of_the_old_one: [Ready(5), Answer(5), Ready(8), Leaving(5), Listed(8)] => [8];
    an_old_listing_does_not_bring_the_old_one_back: [Ready(5), Answer(5), Ready(8), Listed(5)] => [8];
    the_next_one_may_leave_too: [Ready(5), Answer(5), Ready(8), Answer(8), Listed(8)] => [];
    silence_ends_nothing: [Ready(5), Silent(5)] => [5];
}

#[test]
fn a_departure_is_told_on_for_a_while_and_taken_in_once() {
    let mut first = Upstreams::default();
    let mut second = Upstreams::default();
    for upstreams in [&mut first, &mut second] {
        upstreams.fleet().put(record("u", 5), 0);
    }
    let id = UpstreamRecord::incarnation_id("u", 5);
    first.apply_statement(&id, &says_leaving(), MAX_BACKOFF_MS, 0);
    let told = first.recent_departures(100);
    assert_eq!(told, std::slice::from_ref(&id));
    let by_peer = Statement {
        source: Source::Peer,
        ..says_leaving()
    };
    assert_eq!(
        second
            .apply_statement(&id, &by_peer, MAX_BACKOFF_MS, 100)
            .fleet,
        FleetChange::Leaving
    );
    assert_eq!(
        second
            .apply_statement(&id, &by_peer, MAX_BACKOFF_MS, 200)
            .fleet,
        FleetChange::Nothing
    );
    assert_eq!(
        second.may_send(&id, &SendRules::default(), 200),
        Err(SendDenied::Gone)
    );
    // It tells it on for as long as if it had heard it itself, and no longer.
    assert_eq!(second.recent_departures(10_000), [id]);
    assert!(second.recent_departures(10_100).is_empty());
}

#[test]
fn what_the_registry_says_is_not_told_on() {
    let mut upstreams = Upstreams::default();
    hear(&mut upstreams, &Heard::Ready(5));
    hear(&mut upstreams, &Heard::Leaving(5));
    hear(&mut upstreams, &Heard::Answer(5));
    assert!(upstreams.recent_departures(0).is_empty());
}

#[test]
fn of_thousands_that_leave_at_once_a_bounded_number_is_told() {
    let mut upstreams = Upstreams::default();
    for n in 0..5_000 {
        let id = UpstreamRecord::incarnation_id(&format!("u{n}"), 1);
        upstreams.apply_statement(&id, &says_leaving(), MAX_BACKOFF_MS, n);
    }
    let told = upstreams.recent_departures(5_000);
    assert_eq!(told.len(), 256);
    assert_eq!(told.last(), Some(&"u4999@1".into()));
}

/// Two upstreams, the first of which said to stay away at 0 ms.
fn one_backing_off(retry_after: RetryAfter) -> Upstreams {
    let mut upstreams = Upstreams::default();
    for name in ["u", "uu"] {
        upstreams.fleet().put(record(name, 1), 0);
    }
    upstreams.apply_statement(
        &"u@1".into(),
        &says_retry_after(retry_after),
        MAX_BACKOFF_MS,
        0,
    );
    upstreams
}

fn backoff_ms(upstreams: &mut Upstreams, now_ms: u64) -> u64 {
    match upstreams.may_send(&"u@1".into(), &SendRules::default(), now_ms) {
        Ok(()) => 0,
        Err(SendDenied::Backoff { for_ms }) => for_ms,
        Err(other) => panic!("{other:?}"),
    }
}

macro_rules! times {
    ($($name:ident: $retry_after:expr => $least_ms:expr, $most_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut upstreams = one_backing_off($retry_after);
            let for_ms = backoff_ms(&mut upstreams, 0);
            assert!(($least_ms..=$most_ms).contains(&for_ms), "{for_ms} ms");
            assert_eq!(backoff_ms(&mut upstreams, for_ms), 0);
        }
    )*};
}

times! {
    it_is_left_alone_for_as_long_as_it_says: RetryAfter::ForMs(1_000) => 1_000, 1_250;
    a_short_time_is_kept_too: RetryAfter::ForMs(1) => 1, 1;
    no_time_is_none: RetryAfter::ForMs(0) => 0, 0;
    what_cannot_be_read_binds_nothing: RetryAfter::Unreadable => 0, 0;
    an_absurd_time_is_bounded: RetryAfter::ForMs(u64::MAX) => MAX_BACKOFF_MS, MAX_BACKOFF_MS + 350;
}

#[test]
fn a_shorter_time_said_later_does_not_end_a_longer_one() {
    let mut upstreams = one_backing_off(RetryAfter::ForMs(5_000));
    let short = says_retry_after(RetryAfter::ForMs(10));
    upstreams.apply_statement(&"u@1".into(), &short, MAX_BACKOFF_MS, 100);
    assert!(backoff_ms(&mut upstreams, 4_999) > 0);
}

#[test]
fn the_next_incarnation_owes_nothing_to_the_old_ones_word() {
    let mut upstreams = one_backing_off(RetryAfter::ForMs(5_000));
    upstreams.fleet().put(record("u", 2), 100);
    assert_eq!(
        upstreams.may_send(&"u@2".into(), &SendRules::default(), 100),
        Ok(())
    );
}

#[test]
fn a_time_to_retry_after_outlasts_the_record() {
    let mut upstreams = one_backing_off(RetryAfter::ForMs(5_000));
    upstreams.fleet().mark_lapsed("u", 100);
    upstreams.sweep(0, 200);
    upstreams.fleet().put(record("u", 1), 300);
    assert!(backoff_ms(&mut upstreams, 400) > 0);
}

fn ask() -> PlacementRequest<'static> {
    PlacementRequest {
        prefix: None,
        engine: None,
        hall: "h",
        far_engine_ms: 0.0,
        avoid_failing: true,
        seed: 7,
        isolation_hash: None,
    }
}

fn choose(upstreams: &mut Upstreams, tried: &[Name], now_ms: u64) -> Result<Name, ChooseError> {
    let scope = Scope {
        pool: &"p".into(),
        side: None,
        tried,
    };
    let choice = upstreams.choose(&scope, &ask(), None, &SendRules::default(), now_ms);
    choice.map(|choice| choice.upstream.id.clone())
}

#[test]
fn others_serve_while_one_is_left_alone() {
    let mut upstreams = one_backing_off(RetryAfter::ForMs(5_000));
    for now_ms in 0..100 {
        assert_eq!(choose(&mut upstreams, &[], now_ms), Ok("uu@1".into()));
    }
    // A request that the other one refused too has nowhere to go.
    let tried = ["uu@1".into()];
    let refused = choose(&mut upstreams, &tried, 100);
    assert!(
        matches!(refused, Err(ChooseError::AllBackingOff { .. })),
        "{refused:?}"
    );
}

#[test]
fn where_all_want_nothing_the_shortest_time_is_told() {
    let mut upstreams = one_backing_off(RetryAfter::ForMs(5_000));
    let shorter = says_retry_after(RetryAfter::ForMs(400));
    upstreams.apply_statement(&"uu@1".into(), &shorter, MAX_BACKOFF_MS, 0);
    let Err(ChooseError::AllBackingOff { for_ms }) = choose(&mut upstreams, &[], 0) else {
        panic!("nothing is to be chosen");
    };
    assert!((400..=500).contains(&for_ms), "{for_ms} ms");
    assert_eq!(choose(&mut upstreams, &[], for_ms), Ok("uu@1".into()));
}

/// Boxes that an upstream told at 0 ms to stay away for a second, each with more requests than may go; gives what
/// reaches it, by tens of milliseconds from then on.
fn returns(boxes: u64) -> Vec<u64> {
    const FOR_MS: u64 = 1_000;
    const EACH_HAS: u32 = 40;
    let mut arrivals = Vec::new();
    for own in 0..boxes {
        let mut backoff = Backoff::default();
        backoff.start(FOR_MS, mix(own, 1), 0);
        let mut left = EACH_HAS;
        for now_ms in 0..5_000 {
            while left > 0 && backoff.remaining_ms(now_ms) == 0 {
                backoff.record_send();
                left -= 1;
                arrivals.push(now_ms);
            }
        }
        assert_eq!(left, 0, "all are sent in the end");
    }
    assert!(arrivals.iter().all(|at_ms| *at_ms >= FOR_MS));
    let mut by_ten = vec![0; 500];
    arrivals
        .iter()
        .for_each(|at_ms| by_ten[(*at_ms / 10) as usize] += 1);
    by_ten
}

/// Within 50 ms a refusal is back at the box that sent; what comes until then cannot be held back. An upstream of 64
/// places with a queue as long bears 128 in that time.
macro_rules! returning {
    ($($name:ident: $boxes:expr, first $first:expr;)*) => {$(
        #[test]
        fn $name() {
            let by_ten = returns($boxes);
            let starts = by_ten.iter().position(|n| *n > 0).expect("they come back");
            let first: u64 = by_ten[starts..starts + 5].iter().sum();
            assert!(first <= $first, "{first} requests in the first 50 ms");
        }
    )*};
}

returning! {
    nine_boxes_come_back_one_by_one: 9, first 9;
    eighty_four_boxes_come_back_spread: 84, first 42;
    three_hundred_boxes_come_back_spread: 300, first 128;
}

#[test]
fn callers_come_back_by_rank_and_never_early() {
    for for_ms in [1, 40, 400, 5_000] {
        let times = |rank: u8| -> Vec<u64> {
            let seeds = (0..500).map(|n| mix(n, 1));
            seeds
                .map(|seed| spread_retry_after_ms(for_ms, rank, seed))
                .collect()
        };
        for rank in 0..3 {
            let own = times(rank);
            assert!(own.iter().all(|ms| *ms >= for_ms));
            let later = times(rank + 1);
            if rank < 2 {
                assert!(
                    own.iter().max() <= later.iter().min(),
                    "rank {rank} of {for_ms}"
                );
            }
            let distinct: std::collections::HashSet<_> = own.iter().collect();
            assert!(
                distinct.len() >= 40,
                "{} moments of {for_ms}",
                distinct.len()
            );
        }
    }
}

macro_rules! held {
    ($($name:ident: for $for_ms:expr, aim $aim_ms:expr, deadline $deadline_ms:expr, ahead $ahead:expr => $waits:expr;)*) => {$(
        #[test]
        fn $name() {
            let held = BlockedRequest {
                for_ms: $for_ms,
                to_target_ms: $aim_ms,
                to_deadline_ms: $deadline_ms,
                prefill_ms: 50,
                ahead: $ahead,
            };
            // Upstreams take one request for each 100 ms behind the first.
            let places_within = |within_ms: u64| {
                within_ms.checked_sub($for_ms).map_or(0, |ms| 1 + ms as u32 / 100)
            };
            assert_eq!(held.should_wait(places_within), $waits);
        }
    )*};
}

held! {
    one_that_can_be_in_time_waits: for 200, aim 500, deadline 5_000, ahead 0 => true;
    one_whose_reading_makes_it_late_comes_back: for 460, aim 500, deadline 5_000, ahead 0 => false;
    one_behind_too_many_comes_back: for 200, aim 500, deadline 5_000, ahead 3 => false;
    one_that_would_come_back_too_early_waits: for 2_000, aim 500, deadline 5_000, ahead 0 => true;
    unless_there_are_too_many: for 2_000, aim 500, deadline 5_000, ahead 30 => false;
    one_that_cannot_be_served_is_refused: for 4_960, aim 500, deadline 5_000, ahead 0 => false;
    one_whose_time_is_up_is_refused: for 1, aim 0, deadline 0, ahead 0 => false;
}

#[test]
fn the_queue_is_by_rank_and_then_by_arrival() {
    let mut queue = Queue::default();
    let late_first = queue.push(0, 30);
    let early_second = queue.push(1, 10);
    let late_second = queue.push(1, 20);
    let same = queue.push(1, 20);
    let ahead = [late_first, early_second, late_second, same].map(|ticket| queue.ahead_of(ticket));
    assert_eq!(ahead, [0, 1, 2, 3]);
    assert_eq!(queue.ahead_of_new(1, 20), 4);
    assert_eq!(queue.ahead_of_new(0, 40), 1);
    queue.remove(late_first);
    assert_eq!(queue.ahead_of(same), 2);
}
