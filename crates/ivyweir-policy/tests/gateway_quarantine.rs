//! Which requests are refused after upstreams ended under them, and which are not.

use ivyweir_policy::Name;
use ivyweir_policy::gateway::quarantine::{
    EndObservation, Fingerprint, Ledger, LedgerSync, RequestContent, RunEnd, RunKey, RunRegistry,
    UpstreamEnd,
};
use proptest::prelude::*;

fn request(name: &str) -> Fingerprint {
    Fingerprint::of(&RequestContent {
        method: "POST",
        host: "studio.example",
        path: "/stream/x",
        workspace: Some("studio"),
        body: name.as_bytes(),
    })
}

/// An end at `at_ms` of an upstream that the request had been sent to `ran_ms` before.
fn end(upstream: u64, at_ms: i64, ran_ms: i64) -> UpstreamEnd {
    UpstreamEnd {
        upstream,
        try_hash: 1,
        began_at_ms: at_ms - ran_ms,
        at_ms,
    }
}

fn witness(fingerprint: Fingerprint, end: UpstreamEnd) -> EndObservation {
    EndObservation {
        fingerprint,
        end,
        completed_at_ms: None,
    }
}

/// Lets upstreams end, each with the requests that were there.
fn ledger(ends: &[(u64, i64, i64, &[&str])]) -> Ledger {
    let mut ledger = Ledger::default();
    for (upstream, at_ms, ran_ms, there) in ends {
        let end = end(*upstream, *at_ms, *ran_ms);
        let there: Vec<_> = there
            .iter()
            .map(|name| witness(request(name), end))
            .collect();
        ledger.upstream_ended(&there);
    }
    ledger
}

fn refused(ledger: &Ledger, names: &[&'static str]) -> Vec<&'static str> {
    let refused = names
        .iter()
        .filter(|name| ledger.is_quarantined(request(name)));
    refused.copied().collect()
}

macro_rules! ends {
    ($($name:ident: $ends:expr => $refused:expr;)*) => {$(
        #[test]
        fn $name() {
            let ledger = ledger(&$ends);
            assert_eq!(refused(&ledger, &["harm", "b", "c"]), $refused as [&str; _]);
        }
    )*};
}

ends! {
    two_ends_are_too_few: [(1, 100, 50, &["harm"]), (2, 200, 50, &["harm"])] => [];
    three_ends_one_after_the_other: [(1, 100, 50, &["harm"]), (2, 160, 50, &["harm"]), (3, 220, 50, &["harm"])] => ["harm"];
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
        ledger.upstream_ended(&[witness(request("harm"), end)]);
    }
    assert!(ledger.is_quarantined(request("harm")));
}

#[test]
fn ends_at_one_moment_of_a_request_that_was_answered_before_are_one_loss() {
    let mut ledger = Ledger::default();
    let mut lose = |upstream: u64, at_ms: i64| {
        let loss = EndObservation {
            completed_at_ms: Some(20),
            ..witness(request("often"), end(upstream, at_ms, 200))
        };
        ledger.upstream_ended(&[loss]);
        ledger.is_quarantined(request("often"))
    };
    assert!(!lose(1, 100));
    assert!(!lose(2, 110));
    assert!(!lose(3, 140));
    // A second loss of many, and a third.
    assert!(!lose(4, 5_000));
    assert!(!lose(5, 5_010));
    assert!(lose(6, 9_000));
}

#[test]
fn an_innocent_request_at_the_ends_of_two_harmful_ones_shields_neither() {
    // Each harmful one has three ends, and the innocent one was at two of each.
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
    assert_eq!(refused(&ledger, &["harm", "b"]), ["harm", "b"]);
}

#[test]
fn a_request_that_was_refused_with_the_harmful_one_is_served_once_that_ends_another() {
    let mut ledger = ledger(&[
        (1, 100, 50, &["harm", "b"]),
        (2, 200, 50, &["harm", "b"]),
        (3, 300, 50, &["harm", "b"]),
    ]);
    let verdicts = ledger.upstream_ended(&[witness(request("harm"), end(4, 400, 50))]);
    assert_eq!(verdicts.released, [request("b")]);
    assert_eq!(refused(&ledger, &["harm", "b"]), ["harm"]);
}

#[test]
fn a_whole_answer_clears_what_was_before() {
    let mut ledger = ledger(&[(1, 100, 50, &["b"]), (2, 200, 50, &["b"])]);
    ledger.completed(request("b"), 250);
    assert!(!ledger.is_suspect(request("b")));
    ledger.upstream_ended(&[witness(request("b"), end(3, 300, 20))]);
    // Word of an earlier end that comes late changes nothing.
    ledger.upstream_ended(&[witness(request("b"), end(4, 240, 20))]);
    ledger.upstream_ended(&[witness(request("b"), end(5, 400, 20))]);
    assert!(!ledger.is_quarantined(request("b")));
    ledger.upstream_ended(&[witness(request("b"), end(6, 500, 20))]);
    assert!(ledger.is_quarantined(request("b")));
}

#[test]
fn a_request_that_no_upstream_ended_under_is_not_remembered() {
    let mut ledger = Ledger::default();
    ledger.completed(request("b"), 100);
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
    assert_eq!(verdicts.released, [request("harm")]);
}

#[test]
fn as_many_harmful_requests_as_a_caller_likes_are_bounded_and_the_quarantined_stay() {
    let mut ledger = ledger(&[
        (1, 100, 50, &["harm"]),
        (2, 200, 50, &["harm"]),
        (3, 300, 50, &["harm"]),
    ]);
    for n in 0..20_000_u64 {
        let once = request(&format!("once-{n}"));
        ledger.upstream_ended(&[witness(once, end(10 + n, 1_000 + n as i64, 10))]);
    }
    assert!(ledger.is_quarantined(request("harm")));
    let (news, _) = ledger.updates_since(0, usize::MAX, 30_000);
    assert!(news.len() <= 1_024, "{} entries", news.len());
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
    let sent = |name: &str| RunKey {
        fingerprint: request(name),
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
        runs.begin(&upstream, sent(name), began_ms);
    }
    runs.end(&upstream, sent("answered"), RunEnd::Settled, 1_000);
    runs.end(&upstream, sent("long gone"), RunEnd::ConnectionLost, 1_000);
    runs.end(&upstream, sent("broken"), RunEnd::ConnectionLost, 4_000);
    runs.end(&upstream, sent("taken away"), RunEnd::Cancelled, 4_400);
    runs.end(&upstream, sent("just taken away"), RunEnd::Cancelled, 4_900);
    runs.sweep(4_500);
    let there = runs.upstream_ended(&upstream, 5_000);
    let found = there.iter().map(|left| (left.key.fingerprint, left.at_ms));
    let mut found: Vec<_> = found.collect();
    found.sort_unstable();
    let mut expected = vec![
        (request("there"), 5_000),
        (request("broken"), 4_000),
        (request("just taken away"), 4_900),
    ];
    expected.sort_unstable();
    assert_eq!(found, expected);
    assert!(runs.upstream_ended(&upstream, 5_000).is_empty());
}

/// A box of a model fleet: its clock began at another moment.
struct ModelBox {
    name: Name,
    ledger: Ledger,
    exchange: LedgerSync,
    clock_ahead_ms: i64,
}

fn model_boxes(count: usize) -> Vec<ModelBox> {
    let model = |n: usize| ModelBox {
        name: format!("box-{n}").into(),
        ledger: Ledger::default(),
        exchange: LedgerSync::new(n as u64 + 1),
        clock_ahead_ms: 977 * n as i64,
    };
    (0..count).map(model).collect()
}

/// Box `a` tells box `b` its news; the message or its answer may be lost.
fn talk(boxes: &mut [ModelBox], (a, b): (usize, usize), lost: (bool, bool), now_ms: i64) {
    let mut tell = |from: usize, to: usize, is_lost: bool| {
        let name = boxes[to].name.clone();
        let own_ms = now_ms + boxes[from].clock_ahead_ms;
        let teller = &mut boxes[from];
        let news = teller.exchange.update_for(&name, &teller.ledger, own_ms);
        let from = boxes[from].name.clone();
        if let (Some(news), false) = (news, is_lost) {
            let hearer = &mut boxes[to];
            let own_ms = now_ms + hearer.clock_ahead_ms;
            hearer
                .exchange
                .receive(&from, news, &mut hearer.ledger, own_ms);
        }
        is_lost
    };
    if !tell(a, b, lost.0) {
        tell(b, a, lost.1);
    }
}

proptest! {
    /// Whatever order boxes talk in and whichever messages are lost, all come to refuse the same requests once
    /// each has heard of the others again.
    #[test]
    fn boxes_agree_whatever_order_they_talk_in(
        ends in prop::collection::vec((0_usize..5, 0_u64..12, 0_i64..5_000, 0_u8..6), 1..40),
        talks in prop::collection::vec((0_usize..5, 0_usize..5, any::<bool>(), any::<bool>()), 0..60),
        answered in prop::collection::vec((0_usize..5, 0_u8..6, 0_i64..5_000), 0..3),
    ) {
        let mut boxes = model_boxes(5);
        let mut talks = talks.into_iter();
        for (seer, upstream, at_ms, who) in ends {
            let at_ms = at_ms + boxes[seer].clock_ahead_ms;
            let seen = witness(request(&format!("r{who}")), end(upstream, at_ms, 40));
            boxes[seer].ledger.upstream_ended(&[seen]);
            if let Some((a, b, first, second)) = talks.next() && a != b {
                talk(&mut boxes, (a, b), (first, second), 6_000);
            }
        }
        for (seer, who, at_ms) in answered {
            let at_ms = at_ms + boxes[seer].clock_ahead_ms;
            boxes[seer].ledger.completed(request(&format!("r{who}")), at_ms);
        }
        for _ in 0..4 {
            for a in 0..5 {
                for b in 0..a {
                    talk(&mut boxes, (a, b), (false, false), 6_100);
                }
            }
        }
        let of = |model: &ModelBox| {
            let mut all: Vec<_> = model.ledger.quarantined().collect();
            all.sort_unstable();
            all
        };
        for model in &boxes[1..] {
            prop_assert_eq!(of(model), of(&boxes[0]));
        }
    }
}

#[test]
fn boxes_that_know_nothing_new_tell_nothing() {
    let mut boxes = model_boxes(2);
    let news = |boxes: &mut [ModelBox], from: usize, to: usize| {
        let name = boxes[to].name.clone();
        let teller = &mut boxes[from];
        teller.exchange.update_for(&name, &teller.ledger, 0)
    };
    assert!(news(&mut boxes, 0, 1).is_some(), "that it has begun");
    assert_eq!(news(&mut boxes, 0, 1), None);
    boxes[0]
        .ledger
        .upstream_ended(&[witness(request("b"), end(1, 0, 10))]);
    for _ in 0..3 {
        talk(&mut boxes, (0, 1), (false, false), 0);
    }
    assert!(boxes[1].ledger.is_suspect(request("b")));
    assert_eq!(news(&mut boxes, 0, 1), None);
    assert_eq!(news(&mut boxes, 1, 0), None);
}

#[test]
fn a_box_that_starts_anew_is_told_everything() {
    let mut boxes = model_boxes(2);
    for n in 0..3 {
        let end = end(n, 200 * n as i64, 10);
        boxes[0]
            .ledger
            .upstream_ended(&[witness(request("harm"), end)]);
    }
    talk(&mut boxes, (0, 1), (false, false), 700);
    talk(&mut boxes, (0, 1), (false, false), 700);
    boxes[1].ledger = Ledger::default();
    boxes[1].exchange = LedgerSync::new(77);
    talk(&mut boxes, (1, 0), (false, false), 900);
    talk(&mut boxes, (1, 0), (false, false), 900);
    assert!(boxes[1].ledger.is_quarantined(request("harm")));
}
