//! Tests which requests are quarantined after upstreams ended while handling them, and which are not.

use ivyweir_policy::Name;
use ivyweir_policy::gateway::quarantine::{
    EndObservation, Fingerprint, Ledger, LedgerSync, RequestContent, RequestIdentity, RunEnd,
    RunKey, RunRegistry, UpstreamEnd,
};
use proptest::prelude::*;

fn fingerprint_of(name: &str) -> Fingerprint {
    Fingerprint::of(&RequestContent {
        method: "POST",
        host: "studio.example",
        path: "/stream/x",
        workspace: Some("studio"),
        body: name.as_bytes(),
    })
}

/// The end at `at_ms` of an upstream to which the request was sent `ran_ms` earlier.
fn end(upstream: u64, at_ms: i64, ran_ms: i64) -> UpstreamEnd {
    UpstreamEnd {
        upstream,
        try_hash: 1,
        began_at_ms: at_ms - ran_ms,
        at_ms,
    }
}

fn observation_of(fingerprint: Fingerprint, end: UpstreamEnd) -> EndObservation {
    EndObservation {
        identity: RequestIdentity::new(fingerprint, "engines", [].into_iter()),
        end,
        completed_at_ms: None,
    }
}

/// Builds a ledger from upstream ends, each with the requests in flight at that upstream.
fn ledger(ends: &[(u64, i64, i64, &[&str])]) -> Ledger {
    let mut ledger = Ledger::default();
    for (upstream, at_ms, ran_ms, in_flight) in ends {
        let end = end(*upstream, *at_ms, *ran_ms);
        let observations: Vec<_> = in_flight
            .iter()
            .map(|name| observation_of(fingerprint_of(name), end))
            .collect();
        ledger.upstream_ended(&observations);
    }
    ledger
}

fn quarantined_names(ledger: &Ledger, names: &[&'static str]) -> Vec<&'static str> {
    let quarantined = names
        .iter()
        .filter(|name| ledger.is_quarantined(fingerprint_of(name)));
    quarantined.copied().collect()
}

macro_rules! quarantine_cases {
    ($($name:ident: $ends:expr => $quarantined:expr;)*) => {$(
        #[test]
        fn $name() {
            let ledger = ledger(&$ends);
            assert_eq!(quarantined_names(&ledger, &["harm", "b", "c"]), $quarantined as [&str; _]);
        }
    )*};
}

quarantine_cases! {
    two_ends_are_too_few: [(1, 100, 50, &["harm"]), (2, 200, 50, &["harm"])] => [];
    three_ends_one_after_the_other: [(1, 100, 50, &["harm"]), (2, 160, 50, &["harm"]), (3, 220, 50, &["harm"])] => ["harm"];
    // Guards against counting successive ends as one loss where two of them have the same time.
    three_ends_one_after_the_other_of_which_two_bear_the_same_time: [(3, 100, 1, &["harm"]), (2, 100, 0, &["harm"]), (1, 101, 1, &["harm"])] => ["harm"];
    three_ends_one_after_the_other_that_all_bear_the_same_time: [(3, 100, 5, &["harm"]), (2, 100, 0, &["harm"]), (1, 100, 0, &["harm"])] => ["harm"];
    two_ends_one_after_the_other_beside_a_third_at_the_same_time: [(3, 100, 1, &["harm"]), (2, 100, 0, &["harm"]), (1, 100, 20, &["harm"])] => [];
    three_ends_far_apart: [(1, 100, 50, &["harm"]), (2, 60_000, 50, &["harm"]), (3, 1_800_000, 50, &["harm"])] => ["harm"];
    three_ends_at_one_moment_are_one_loss: [(1, 100, 50, &["harm"]), (2, 110, 50, &["harm"]), (3, 130, 50, &["harm"])] => [];
    three_ends_of_requests_made_at_once_but_apart: [(1, 100, 50, &["harm"]), (2, 250, 250, &["harm"]), (3, 400, 400, &["harm"])] => ["harm"];
    one_end_seen_three_times_is_one: [(1, 100, 50, &["harm"]), (1, 900, 50, &["harm"]), (1, 2_000, 50, &["harm"])] => [];
    who_was_there_less_often_is_innocent: [
        (1, 100, 50, &["harm", "b"]), (2, 200, 50, &["harm", "b", "c"]), (3, 300, 50, &["harm", "b"]), (4, 400, 50, &["harm", "c"])
    ] => ["harm"];
    who_was_there_each_time_cannot_be_told_apart: [
        (1, 100, 50, &["harm", "b"]), (2, 200, 50, &["harm", "b"]), (3, 300, 50, &["harm", "b"])
    ] => ["harm", "b"];
    // Guards against refusing a request that has as many ends as a quarantined one only with one of the latter's.
    who_has_as_many_ends_later_only_with_one_of_the_harmful_one_is_innocent: [
        (1, 100, 50, &["harm"]), (2, 200, 50, &["harm"]), (3, 300, 50, &["harm", "b"]), (4, 410, 50, &["b"]), (5, 520, 50, &["b"])
    ] => ["harm"];
    who_has_as_many_ends_at_the_same_moment_cannot_be_told_apart: [
        (1, 100, 50, &["harm"]), (2, 200, 50, &["harm"]), (4, 150, 50, &["b"]), (5, 250, 50, &["b"]), (3, 350, 50, &["harm", "b"])
    ] => ["harm", "b"];
    two_harmful_ones_are_both_found: [
        (1, 100, 50, &["harm", "c"]), (2, 200, 50, &["harm"]), (3, 300, 50, &["harm", "b"]), (4, 400, 50, &["harm"]),
        (5, 500, 50, &["b", "c"]), (6, 600, 50, &["b"]), (7, 700, 50, &["b"])
    ] => ["harm", "b"];
}

#[test]
fn ends_at_one_moment_under_tries_of_a_request_that_never_was_answered() {
    let mut ledger = Ledger::default();
    for n in 0..3 {
        let end = UpstreamEnd {
            try_hash: n,
            ..end(u64::from(n), 100 + i64::from(n), 50)
        };
        ledger.upstream_ended(&[observation_of(fingerprint_of("harm"), end)]);
    }
    assert!(ledger.is_quarantined(fingerprint_of("harm")));
}

#[test]
fn ends_at_one_moment_of_a_request_that_was_answered_before_are_one_loss() {
    let mut ledger = Ledger::default();
    let mut record_end = |upstream: u64, at_ms: i64| {
        let observation = EndObservation {
            completed_at_ms: Some(20),
            ..observation_of(fingerprint_of("often"), end(upstream, at_ms, 200))
        };
        ledger.upstream_ended(&[observation]);
        ledger.is_quarantined(fingerprint_of("often"))
    };
    assert!(!record_end(1, 100));
    assert!(!record_end(2, 110));
    assert!(!record_end(3, 140));
    // A second group of simultaneous ends counts as one loss, and a later end is the third.
    assert!(!record_end(4, 5_000));
    assert!(!record_end(5, 5_010));
    assert!(record_end(6, 9_000));
}

#[test]
fn an_innocent_request_at_the_ends_of_two_harmful_ones_shields_neither() {
    // Each harmful request is in flight at three ends alone and at two more together with the innocent `c`.
    let ledger = ledger(&[
        (1, 100, 50, &["harm", "c"]),
        (2, 200, 50, &["harm", "c"]),
        (3, 300, 50, &["b", "c"]),
        (4, 400, 50, &["b", "c"]),
        (5, 500, 50, &["harm"]),
        (6, 600, 50, &["harm"]),
        (7, 700, 50, &["harm"]),
        (8, 800, 50, &["b"]),
        (9, 900, 50, &["b"]),
        (10, 1_000, 50, &["b"]),
    ]);
    assert_eq!(quarantined_names(&ledger, &["harm", "b"]), ["harm", "b"]);
}

#[test]
fn a_request_that_was_refused_with_the_harmful_one_is_served_once_that_ends_another() {
    let mut ledger = ledger(&[
        (1, 100, 50, &["harm", "b"]),
        (2, 200, 50, &["harm", "b"]),
        (3, 300, 50, &["harm", "b"]),
    ]);
    let verdicts =
        ledger.upstream_ended(&[observation_of(fingerprint_of("harm"), end(4, 400, 50))]);
    assert_eq!(verdicts.released, [fingerprint_of("b")]);
    assert_eq!(quarantined_names(&ledger, &["harm", "b"]), ["harm"]);
}

#[test]
fn a_whole_answer_clears_what_was_before() {
    let mut ledger = ledger(&[(1, 100, 50, &["b"]), (2, 200, 50, &["b"])]);
    ledger.completed(fingerprint_of("b"), 250);
    assert!(!ledger.is_suspect(fingerprint_of("b")));
    ledger.upstream_ended(&[observation_of(fingerprint_of("b"), end(3, 300, 20))]);
    // A late report of an end before the completed response has no effect.
    ledger.upstream_ended(&[observation_of(fingerprint_of("b"), end(4, 240, 20))]);
    ledger.upstream_ended(&[observation_of(fingerprint_of("b"), end(5, 400, 20))]);
    assert!(!ledger.is_quarantined(fingerprint_of("b")));
    ledger.upstream_ended(&[observation_of(fingerprint_of("b"), end(6, 500, 20))]);
    assert!(ledger.is_quarantined(fingerprint_of("b")));
}

#[test]
fn a_request_that_no_upstream_ended_under_is_not_remembered() {
    let mut ledger = Ledger::default();
    ledger.completed(fingerprint_of("b"), 100);
    assert_eq!(ledger.last_change(), 0);
}

#[test]
fn a_quarantine_ends_an_hour_after_its_last_end() {
    let mut ledger = ledger(&[
        (1, 100, 50, &["harm"]),
        (2, 200, 50, &["harm"]),
        (3, 300, 50, &["harm"]),
    ]);
    assert!(ledger.sweep(300 + 3_599_999).is_empty());
    let verdicts = ledger.sweep(300 + 3_600_000);
    assert_eq!(verdicts.released, [fingerprint_of("harm")]);
}

#[test]
fn as_many_harmful_requests_as_a_caller_likes_are_bounded_and_the_quarantined_stay() {
    let mut ledger = ledger(&[
        (1, 100, 50, &["harm"]),
        (2, 200, 50, &["harm"]),
        (3, 300, 50, &["harm"]),
    ]);
    for n in 0..20_000_u64 {
        let once = fingerprint_of(&format!("once-{n}"));
        ledger.upstream_ended(&[observation_of(once, end(10 + n, 1_000 + n as i64, 10))]);
    }
    assert!(ledger.is_quarantined(fingerprint_of("harm")));
    let (updates, _) = ledger.updates_since(0, usize::MAX, 30_000);
    assert!(updates.len() <= 1_024, "{} entries", updates.len());
}

#[test]
fn content_makes_the_request_and_its_caller() {
    let base = RequestContent {
        method: "POST",
        host: "h",
        path: "/a",
        workspace: None,
        body: b"x",
    };
    let others = [
        RequestContent {
            method: "PUT",
            ..base
        },
        RequestContent { host: "i", ..base },
        RequestContent {
            path: "/a?b",
            ..base
        },
        RequestContent {
            workspace: Some(""),
            ..base
        },
        RequestContent {
            workspace: Some("w"),
            ..base
        },
        RequestContent { body: b"", ..base },
    ];
    for other in others {
        assert_ne!(Fingerprint::of(&other), Fingerprint::of(&base), "{other:?}");
    }
    assert_eq!(Fingerprint::of(&base.clone()), Fingerprint::of(&base));
}

#[test]
fn who_is_at_an_upstream_and_who_just_left() {
    let upstream = Name::from("u");
    let mut runs = RunRegistry::default();
    let run_key = |name: &str| RunKey {
        identity: RequestIdentity::new(fingerprint_of(name), "engines", [].into_iter()),
        try_hash: 1,
    };
    for (name, began_ms) in [
        ("there", 0),
        ("answered", 10),
        ("broken", 20),
        ("taken away", 25),
        ("long gone", 30),
        ("just taken away", 40),
    ] {
        runs.begin(&upstream, run_key(name), began_ms);
    }
    runs.end(&upstream, &run_key("answered"), RunEnd::Settled, 1_000);
    runs.end(
        &upstream,
        &run_key("long gone"),
        RunEnd::ConnectionLost,
        1_000,
    );
    runs.end(&upstream, &run_key("broken"), RunEnd::ConnectionLost, 4_000);
    runs.end(&upstream, &run_key("taken away"), RunEnd::Cancelled, 4_400);
    runs.end(
        &upstream,
        &run_key("just taken away"),
        RunEnd::Cancelled,
        4_900,
    );
    runs.sweep(4_500);
    let in_flight = runs.upstream_ended(&upstream, 5_000);
    let found = in_flight
        .iter()
        .map(|run| (run.key.identity.request, run.at_ms));
    let mut found: Vec<_> = found.collect();
    found.sort_unstable();
    let mut expected = vec![
        (fingerprint_of("there"), 5_000),
        (fingerprint_of("broken"), 4_000),
        (fingerprint_of("just taken away"), 4_900),
    ];
    expected.sort_unstable();
    assert_eq!(found, expected);
    assert!(runs.upstream_ended(&upstream, 5_000).is_empty());
}

/// A simulated box whose clock is offset from those of the others.
struct SimBox {
    name: Name,
    ledger: Ledger,
    sync: LedgerSync,
    clock_offset_ms: i64,
}

fn sim_boxes(count: usize) -> Vec<SimBox> {
    let new_box = |n: usize| SimBox {
        name: format!("box-{n}").into(),
        ledger: Ledger::default(),
        sync: LedgerSync::new(n as u64 + 1),
        clock_offset_ms: 977 * n as i64,
    };
    (0..count).map(new_box).collect()
}

/// Sends the updates of box `a` to box `b`, which replies with its own; `lost` drops the message or the reply.
fn exchange_updates(boxes: &mut [SimBox], (a, b): (usize, usize), lost: (bool, bool), now_ms: i64) {
    let mut send = |from: usize, to: usize, is_lost: bool| {
        let name = boxes[to].name.clone();
        let local_ms = now_ms + boxes[from].clock_offset_ms;
        let sender = &mut boxes[from];
        let update = sender.sync.update_for(&name, &sender.ledger, local_ms);
        let from = boxes[from].name.clone();
        if let (Some(update), false) = (update, is_lost) {
            let receiver = &mut boxes[to];
            let local_ms = now_ms + receiver.clock_offset_ms;
            receiver
                .sync
                .receive(&from, update, &mut receiver.ledger, local_ms);
        }
        is_lost
    };
    if !send(a, b, lost.0) {
        send(b, a, lost.1);
    }
}

proptest! {
    /// All boxes converge on the same quarantined requests once each has synchronized with the others again,
    /// whatever the order of earlier exchanges and whichever messages were lost.
    #[test]
    fn boxes_agree_whatever_order_they_talk_in(
        ends in prop::collection::vec((0_usize..5, 0_u64..12, 0_i64..5_000, 0_u8..6), 1..40),
        talks in prop::collection::vec((0_usize..5, 0_usize..5, any::<bool>(), any::<bool>()), 0..60),
        answered in prop::collection::vec((0_usize..5, 0_u8..6, 0_i64..5_000), 0..3),
    ) {
        let mut boxes = sim_boxes(5);
        let mut talks = talks.into_iter();
        for (observer, upstream, at_ms, who) in ends {
            let at_ms = at_ms + boxes[observer].clock_offset_ms;
            let observation = observation_of(fingerprint_of(&format!("r{who}")), end(upstream, at_ms, 40));
            boxes[observer].ledger.upstream_ended(&[observation]);
            if let Some((a, b, first, second)) = talks.next() && a != b {
                exchange_updates(&mut boxes, (a, b), (first, second), 6_000);
            }
        }
        for (observer, who, at_ms) in answered {
            let at_ms = at_ms + boxes[observer].clock_offset_ms;
            boxes[observer].ledger.completed(fingerprint_of(&format!("r{who}")), at_ms);
        }
        for _ in 0..4 {
            for a in 0..5 {
                for b in 0..a {
                    exchange_updates(&mut boxes, (a, b), (false, false), 6_100);
                }
            }
        }
        let quarantined = |sim: &SimBox| {
            let mut all: Vec<_> = sim.ledger.quarantined().collect();
            all.sort_unstable();
            all
        };
        for sim in &boxes[1..] {
            prop_assert_eq!(quarantined(sim), quarantined(&boxes[0]));
        }
    }
}

#[test]
fn boxes_that_know_nothing_new_tell_nothing() {
    let mut boxes = sim_boxes(2);
    let next_update = |boxes: &mut [SimBox], from: usize, to: usize| {
        let name = boxes[to].name.clone();
        let sender = &mut boxes[from];
        sender.sync.update_for(&name, &sender.ledger, 0)
    };
    assert!(
        next_update(&mut boxes, 0, 1).is_some(),
        "the first update announces the sender"
    );
    assert_eq!(next_update(&mut boxes, 0, 1), None);
    boxes[0]
        .ledger
        .upstream_ended(&[observation_of(fingerprint_of("b"), end(1, 0, 10))]);
    for _ in 0..3 {
        exchange_updates(&mut boxes, (0, 1), (false, false), 0);
    }
    assert!(boxes[1].ledger.is_suspect(fingerprint_of("b")));
    assert_eq!(next_update(&mut boxes, 0, 1), None);
    assert_eq!(next_update(&mut boxes, 1, 0), None);
}

/// Sends the updates of two boxes to each other, each of which takes `transit_ms`; returns whether there was one.
fn exchange_slowly(boxes: &mut [SimBox], now_ms: &mut i64, transit_ms: i64) -> bool {
    let mut is_any = false;
    for (from, to) in [(0, 1), (1, 0)] {
        let name = boxes[to].name.clone();
        let sender = &mut boxes[from];
        let update = sender.sync.update_for(&name, &sender.ledger, *now_ms);
        let from = sender.name.clone();
        *now_ms += transit_ms;
        is_any |= update
            .as_ref()
            .is_some_and(|update| !update.suspects.is_empty());
        if let Some(update) = update {
            let receiver = &mut boxes[to];
            let ledger = &mut receiver.ledger;
            receiver.sync.receive(&from, update, ledger, *now_ms);
        }
    }
    is_any
}

macro_rules! slow_exchange_cases {
    ($($name:ident: transit_ms $transit_ms:expr, answered_ms $answered_ms:expr;)*) => {$(
        /// Guards against a time of completion that grows with each message that tells it: it outgrew the ends after it.
        #[test]
        fn $name() {
            let mut boxes = sim_boxes(2);
            let first = observation_of(fingerprint_of("harm"), end(9, 100, 50));
            for sim in &mut boxes {
                sim.ledger.upstream_ended(std::slice::from_ref(&first));
            }
            for (sim, at_ms) in boxes.iter_mut().zip($answered_ms) {
                sim.ledger.completed(fingerprint_of("harm"), at_ms);
            }
            for n in 0..3 {
                let end = end(n, 400 + 200 * n as i64, 10);
                boxes[0].ledger.upstream_ended(&[observation_of(fingerprint_of("harm"), end)]);
            }
            let mut now_ms = 1_000;
            let rounds = (0..2_000).filter(|_| exchange_slowly(&mut boxes, &mut now_ms, $transit_ms));
            assert!(rounds.count() <= 4, "boxes tell each other the same again and again");
            for sim in &boxes {
                assert!(sim.ledger.is_quarantined(fingerprint_of("harm")), "{}", sim.name);
            }
        }
    )*};
}

slow_exchange_cases! {
    a_completion_is_told_once: transit_ms 2, answered_ms [200, 200];
    a_completion_is_told_once_over_a_slow_path: transit_ms 120, answered_ms [200, 200];
    two_completions_are_told_once: transit_ms 2, answered_ms [200, 201];
    two_completions_far_apart_are_told_once: transit_ms 2, answered_ms [200, 380];
}

#[test]
fn a_box_that_starts_anew_is_told_everything() {
    let mut boxes = sim_boxes(2);
    for n in 0..3 {
        let end = end(n, 200 * n as i64, 10);
        boxes[0]
            .ledger
            .upstream_ended(&[observation_of(fingerprint_of("harm"), end)]);
    }
    exchange_updates(&mut boxes, (0, 1), (false, false), 700);
    exchange_updates(&mut boxes, (0, 1), (false, false), 700);
    boxes[1].ledger = Ledger::default();
    boxes[1].sync = LedgerSync::new(77);
    exchange_updates(&mut boxes, (1, 0), (false, false), 900);
    exchange_updates(&mut boxes, (1, 0), (false, false), 900);
    assert!(boxes[1].ledger.is_quarantined(fingerprint_of("harm")));
}
