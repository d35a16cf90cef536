//! What a box sends to an upstream that names a limit, in whichever order it hears of it.

use std::net::SocketAddr;
use std::sync::Arc;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::quota::{QuotaOwners, QuotaShare};
use ivyweir_policy::gateway::rate_limit::LimitChange;
use ivyweir_policy::gateway::statement::{DeclaredLimit, Source, Statement};
use ivyweir_policy::gateway::upstreams::{SendDenied, SendRules, Upstreams};

const MAX_BACKOFF_MS: u64 = 60_000;

fn id() -> Name {
    "u".into()
}

fn one_upstream() -> Upstreams {
    let mut upstreams = Upstreams::new(7);
    let record = UpstreamRecord {
        id: id(),
        pool: "p".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        hall: "h".into(),
        version: "v".into(),
        slots: 8,
        is_leaving: false,
        cold_remaining_ms: 0,
        is_spot: false,
        registered_as: None,
    };
    upstreams.fleet().put(record, 0);
    upstreams
}

/// All parts are the box's own. There are so many boxes that its turn to ask whether a limit stands does not come.
fn alone() -> SendRules {
    SendRules {
        sharing: QuotaShare::new(Arc::default(), true, 1_000_000),
        cold_limit: None,
    }
}

/// What is heard of the upstream's limit, and when.
#[derive(Debug, Clone, Copy)]
enum Heard {
    /// An answer names so many requests a second.
    Names(f64, u64),
    /// An answer names none, to a request that was sent so long before.
    NamesNone(u64, u64),
    /// An answer that may be another request's names none.
    Doubtful(u64),
    /// An answer names what cannot be read.
    Garbage(u64),
    /// Another box tells of a limit that was named so long before.
    Told(f64, u64, u64),
    /// Another box tells that it ended so long before.
    ToldEnd(u64, u64),
}

fn per_1000_s(per_s: f64) -> DeclaredLimit {
    DeclaredLimit::Per1000S((per_s * 1_000.0) as u32)
}

fn hear(upstreams: &mut Upstreams, heard: Heard) -> Option<LimitChange> {
    let answer = Statement::new(Source::Answer);
    let by_peer = Statement::new(Source::Peer);
    let (statement, now_ms) = match heard {
        Heard::Names(per_s, now_ms) => {
            let limit = Some(per_1000_s(per_s));
            (Statement { limit, ..answer }, now_ms)
        }
        Heard::NamesNone(after_ms, now_ms) => {
            let answered_after_ms = Some(after_ms);
            let statement = Statement {
                response_time_ms: answered_after_ms,
                ..answer
            };
            (statement, now_ms)
        }
        Heard::Doubtful(now_ms) => (answer, now_ms),
        Heard::Garbage(now_ms) => {
            let limit = Some(DeclaredLimit::Unreadable);
            (Statement { limit, ..answer }, now_ms)
        }
        Heard::Told(per_s, age_ms, now_ms) => {
            let limit = Some(per_1000_s(per_s));
            let statement = Statement {
                limit,
                age_ms,
                ..by_peer
            };
            (statement, now_ms)
        }
        Heard::ToldEnd(age_ms, now_ms) => {
            let limit = Some(DeclaredLimit::Ended);
            let statement = Statement {
                limit,
                age_ms,
                ..by_peer
            };
            (statement, now_ms)
        }
    };
    upstreams
        .apply_statement(&id(), &statement, MAX_BACKOFF_MS, now_ms)
        .limit
}

/// Sends all that may go, a try each 10 ms, and gives when they went.
fn send_all(upstreams: &mut Upstreams, rules: &SendRules, from_ms: u64, until_ms: u64) -> Vec<u64> {
    let tries = (from_ms..until_ms).step_by(10);
    tries
        .filter(|now_ms| upstreams.begin_send(&id(), rules, *now_ms).is_ok())
        .collect()
}

/// Requests of the fullest window of 4 s.
fn most_in_a_window(sent_ms: &[u64]) -> usize {
    let window = |end: &u64| {
        let within = |at: &&u64| **at <= *end && **at + 4_000 > *end;
        sent_ms.iter().filter(within).count()
    };
    sent_ms.iter().map(window).max().unwrap_or(0)
}

/// A box that shares with nobody sends about what is named over a minute, and never many at once.
macro_rules! rates {
    ($($name:ident: $per_s:expr => $least:expr, $most:expr, $in_a_window:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut upstreams = one_upstream();
            hear(&mut upstreams, Heard::Names($per_s, 1_000));
            let sent_ms = send_all(&mut upstreams, &alone(), 1_000, 61_000);
            assert!(($least..=$most).contains(&sent_ms.len()), "{} sends", sent_ms.len());
            let most = most_in_a_window(&sent_ms);
            assert!(most <= $in_a_window, "{most} in 4 s");
        }
    )*};
}

rates! {
    one_a_second: 1.0 => 57, 63, 6;
    one_and_a_bit: 1.1 => 63, 69, 7;
    half_a_request_a_second: 0.5 => 28, 32, 4;
    ten_a_second: 10.0 => 585, 612, 52;
    none_is_one_each_four_seconds: 0.0 => 14, 17, 3;
    hardly_any_is_the_same: 0.001 => 14, 17, 3;
    beyond_all_bounds_binds_nothing: 1e9 => 5_999, 6_000, 400;
}

/// What is in force at the end, by what was heard; a box sends all it can in the ten seconds behind that.
macro_rules! orders {
    ($($name:ident: $heard:expr => $per_s:expr;)*) => {$(
        #[test]
        fn $name() {
            use Heard::*;
            let mut upstreams = one_upstream();
            let heard: &[Heard] = &$heard;
            for heard in heard {
                hear(&mut upstreams, *heard);
            }
            let sent = send_all(&mut upstreams, &alone(), 20_000, 30_000).len();
            let per_s: Option<f64> = $per_s;
            match per_s {
                Some(per_s) => {
                    let expected = per_s * 10.0;
                    let most = expected + per_s.ceil() + 2.0;
                    assert!(sent as f64 >= expected - 1.0 && sent as f64 <= most, "{sent} sends");
                }
                None => assert_eq!(sent, 1_000),
            }
        }
    )*};
}

orders! {
    no_word_is_no_limit: [NamesNone(5, 9_000)] => None;
    a_limit_holds_until_it_is_ended: [Names(2.0, 1)] => Some(2.0);
    the_latest_one_counts: [Names(2.0, 1_000), Names(5.0, 2_000)] => Some(5.0);
    a_lower_one_too: [Names(5.0, 1_000), Names(2.0, 2_000)] => Some(2.0);
    an_answer_without_one_ends_it: [Names(2.0, 1_000), NamesNone(5, 6_000)] => None;
    not_at_once: [Names(2.0, 1_000), NamesNone(5, 4_900)] => Some(2.0);
    nor_to_a_request_that_was_sent_before: [Names(2.0, 1_000), NamesNone(3_000, 6_000)] => Some(2.0);
    nor_where_it_may_be_another_requests: [Names(2.0, 1_000), Doubtful(9_000)] => Some(2.0);
    named_by_some_answers_only: [
        Names(2.0, 1_000), NamesNone(5, 3_000), NamesNone(5, 4_000), Names(2.0, 4_500), NamesNone(5, 8_000),
    ] => Some(2.0);
    one_that_cannot_be_read_changes_nothing: [Names(2.0, 1_000), Garbage(9_000)] => Some(2.0);
    nor_does_it_make_one: [Garbage(9_000)] => None;
    another_boxes_word_counts: [Told(2.0, 100, 1_000)] => Some(2.0);
    an_older_word_does_not: [Names(2.0, 1_000), Told(5.0, 400, 1_300)] => Some(2.0);
    a_newer_one_does: [Names(2.0, 1_000), Told(5.0, 200, 1_300)] => Some(5.0);
    another_box_tells_its_end: [Names(2.0, 1_000), ToldEnd(200, 6_000)] => None;
    of_an_earlier_one: [Names(2.0, 6_000), ToldEnd(400, 6_300)] => Some(2.0);
    a_late_word_of_one_that_ended: [Names(2.0, 1_000), NamesNone(5, 6_000), Told(2.0, 4_000, 6_100)] => None;
    named_again_after_its_end: [Names(2.0, 1_000), NamesNone(5, 6_000), Names(3.0, 7_000)] => Some(3.0);
}

#[test]
fn a_change_is_told_once() {
    let mut upstreams = one_upstream();
    let changes = [
        Heard::Names(1.0, 1_000),
        Heard::Names(1.0, 2_000),
        Heard::Names(1.5, 3_000),
        Heard::NamesNone(5, 8_000),
        Heard::NamesNone(5, 9_000),
    ]
    .map(|heard| hear(&mut upstreams, heard));
    let expected = [
        Some(LimitChange::Started(1_000)),
        None,
        Some(LimitChange::Changed(1_500)),
        Some(LimitChange::Ended),
        None,
    ];
    assert_eq!(changes, expected);
}

#[test]
fn what_was_named_is_told_on_for_a_while_and_comes_back_as_nothing_new() {
    let mut upstreams = one_upstream();
    assert!(upstreams.recent_limits(0).is_empty());
    hear(&mut upstreams, Heard::Names(1.0, 1_000));
    let told = upstreams.recent_limits(3_000);
    assert_eq!(told.len(), 1);
    assert_eq!((&*told[0].upstream, told[0].per_1000_s), ("u", Some(1_000)));
    assert!(told[0].age_ms >= 2_000);
    let echo = Heard::Told(1.0, told[0].age_ms, 3_150);
    hear(&mut upstreams, echo);
    assert_eq!(
        upstreams.recent_limits(3_150)[0].age_ms,
        told[0].age_ms + 150
    );
    assert!(upstreams.recent_limits(11_500).is_empty());
}

#[test]
fn a_thousand_limits_are_told_a_few_at_a_time_and_the_latest_first() {
    let mut upstreams = Upstreams::new(7);
    let limit = Some(DeclaredLimit::Per1000S(1_000));
    for n in 0..1_000 {
        let statement = Statement {
            limit,
            ..Statement::new(Source::Answer)
        };
        upstreams.apply_statement(&format!("u-{n}").into(), &statement, MAX_BACKOFF_MS, n);
    }
    let told = upstreams.recent_limits(1_000);
    assert_eq!(told.len(), 128);
    assert_eq!(&*told[0].upstream, "u-999");
}

#[test]
fn a_box_that_may_own_nothing_sends_nothing() {
    let mut upstreams = one_upstream();
    hear(&mut upstreams, Heard::Names(5.0, 0));
    let rules = SendRules::default();
    assert!(send_all(&mut upstreams, &rules, 0, 10_000).is_empty());
    let held = upstreams.begin_send(&id(), &rules, 10_000);
    assert_eq!(held, Err(SendDenied::Limited { for_ms: 200 }));
}

#[test]
fn a_limit_of_which_nothing_is_heard_is_asked_for_in_turns() {
    let mut upstreams = one_upstream();
    hear(&mut upstreams, Heard::Names(5.0, 0));
    let rules = SendRules {
        sharing: QuotaShare::new(no_part(), true, 3),
        cold_limit: None,
    };
    assert!(send_all(&mut upstreams, &rules, 0, 8_000).is_empty());
    let sent_ms = send_all(&mut upstreams, &rules, 8_000, 26_000);
    // Of three boxes one has its turn of two seconds in each six.
    assert_eq!(sent_ms.len(), 3, "{sent_ms:?}");
    assert!(
        sent_ms.windows(2).all(|two| two[1] - two[0] == 6_000),
        "{sent_ms:?}"
    );
}

/// A hall of others, which own all parts.
fn no_part() -> Arc<QuotaOwners> {
    let others = (1..=200).collect();
    Arc::new(QuotaOwners::new(vec![1], 1, others, u64::MAX))
}

#[test]
fn a_part_that_was_another_boxes_begins_empty() {
    let mut upstreams = one_upstream();
    hear(&mut upstreams, Heard::Names(1.0, 0));
    assert!(send_all(&mut upstreams, &SendRules::default(), 0, 60_000).is_empty());
    let sent_ms = send_all(&mut upstreams, &alone(), 60_000, 62_000);
    assert!(sent_ms.len() <= 3, "{sent_ms:?}");
}

#[test]
fn the_next_incarnation_begins_without_a_limit() {
    let mut upstreams = one_upstream();
    hear(&mut upstreams, Heard::Names(1.0, 0));
    let next = UpstreamRecord {
        id: "u-2".into(),
        ..upstreams.ready(0)[0].clone()
    };
    upstreams.fleet().put(next, 0);
    let sent = (0..100).filter(|now_ms| {
        let sent = upstreams.begin_send(&"u-2".into(), &alone(), *now_ms);
        sent.is_ok()
    });
    assert_eq!(sent.count(), 100);
}
