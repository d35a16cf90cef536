//! Tests how many requests a box sends to an upstream that announces a rate limit, for any order of announcements.

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

fn upstreams_with_one() -> Upstreams {
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

/// Rules under which the box owns all parts of the limit. The number of boxes is so high that the box gets no turn to
/// probe whether the limit still applies.
fn sole_owner() -> SendRules {
    SendRules {
        sharing: QuotaShare::new(Arc::default(), true, 1_000_000),
        cold_limit: None,
    }
}

/// A report about the limit of the upstream. The last field is the time at which the box receives it.
#[derive(Debug, Clone, Copy)]
enum LimitReport {
    /// An answer announces this limit in requests per second.
    Announced(f64, u64),
    /// An answer without a limit, with its response time in milliseconds.
    NoLimit(u64, u64),
    /// An answer without a limit that may belong to another request.
    Unattributed(u64),
    /// An answer whose limit is unreadable.
    Unreadable(u64),
    /// Another box forwards this limit, with the age of the announcement in milliseconds.
    Forwarded(f64, u64, u64),
    /// Another box forwards the end of the limit, with its age in milliseconds.
    ForwardedEnd(u64, u64),
}

fn per_1000_s(per_s: f64) -> DeclaredLimit {
    DeclaredLimit::Per1000S((per_s * 1_000.0) as u32)
}

fn apply_report(upstreams: &mut Upstreams, report: LimitReport) -> Option<LimitChange> {
    let answer = Statement::new(Source::Answer);
    let from_peer = Statement::new(Source::Peer);
    let (statement, now_ms) = match report {
        LimitReport::Announced(per_s, now_ms) => {
            let limit = Some(per_1000_s(per_s));
            (Statement { limit, ..answer }, now_ms)
        }
        LimitReport::NoLimit(response_ms, now_ms) => {
            let response_time_ms = Some(response_ms);
            let statement = Statement {
                response_time_ms,
                ..answer
            };
            (statement, now_ms)
        }
        LimitReport::Unattributed(now_ms) => (answer, now_ms),
        LimitReport::Unreadable(now_ms) => {
            let limit = Some(DeclaredLimit::Unreadable);
            (Statement { limit, ..answer }, now_ms)
        }
        LimitReport::Forwarded(per_s, age_ms, now_ms) => {
            let limit = Some(per_1000_s(per_s));
            let statement = Statement {
                limit,
                age_ms,
                ..from_peer
            };
            (statement, now_ms)
        }
        LimitReport::ForwardedEnd(age_ms, now_ms) => {
            let limit = Some(DeclaredLimit::Ended);
            let statement = Statement {
                limit,
                age_ms,
                ..from_peer
            };
            (statement, now_ms)
        }
    };
    upstreams
        .apply_statement(&id(), &statement, MAX_BACKOFF_MS, now_ms)
        .limit
}

/// Attempts a send every 10 ms and returns the times of those that were allowed.
fn send_all(upstreams: &mut Upstreams, rules: &SendRules, from_ms: u64, until_ms: u64) -> Vec<u64> {
    let attempts = (from_ms..until_ms).step_by(10);
    attempts
        .filter(|now_ms| upstreams.begin_send(&id(), rules, *now_ms).is_ok())
        .collect()
}

/// Maximum number of requests in any window of 4 s.
fn max_per_window(sent_ms: &[u64]) -> usize {
    let window = |end: &u64| {
        let within = |at: &&u64| **at <= *end && **at + 4_000 > *end;
        sent_ms.iter().filter(within).count()
    };
    sent_ms.iter().map(window).max().unwrap_or(0)
}

/// A box that owns all parts sends at about the announced rate over a minute, without large bursts.
macro_rules! rate_cases {
    ($($name:ident: $per_s:expr => $min:expr, $max:expr, $max_in_window:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut upstreams = upstreams_with_one();
            apply_report(&mut upstreams, LimitReport::Announced($per_s, 1_000));
            let sent_ms = send_all(&mut upstreams, &sole_owner(), 1_000, 61_000);
            assert!(($min..=$max).contains(&sent_ms.len()), "{} sends", sent_ms.len());
            let in_window = max_per_window(&sent_ms);
            assert!(in_window <= $max_in_window, "{in_window} in 4 s");
        }
    )*};
}

rate_cases! {
    one_a_second: 1.0 => 57, 63, 6;
    one_and_a_bit: 1.1 => 63, 69, 7;
    half_a_request_a_second: 0.5 => 28, 32, 4;
    ten_a_second: 10.0 => 585, 612, 52;
    none_is_one_each_four_seconds: 0.0 => 14, 17, 3;
    hardly_any_is_the_same: 0.001 => 14, 17, 3;
    beyond_all_bounds_binds_nothing: 1e9 => 5_999, 6_000, 400;
}

/// The limit in force after a sequence of reports, measured by what the box can send in ten seconds.
macro_rules! report_cases {
    ($($name:ident: $reports:expr => $per_s:expr;)*) => {$(
        #[test]
        fn $name() {
            use LimitReport::*;
            let mut upstreams = upstreams_with_one();
            let reports: &[LimitReport] = &$reports;
            for report in reports {
                apply_report(&mut upstreams, *report);
            }
            let sent = send_all(&mut upstreams, &sole_owner(), 20_000, 30_000).len();
            let per_s: Option<f64> = $per_s;
            match per_s {
                Some(per_s) => {
                    let expected = per_s * 10.0;
                    let max = expected + per_s.ceil() + 2.0;
                    assert!(sent as f64 >= expected - 1.0 && sent as f64 <= max, "{sent} sends");
                }
                None => assert_eq!(sent, 1_000),
            }
        }
    )*};
}

report_cases! {
    no_word_is_no_limit: [NoLimit(5, 9_000)] => None;
    a_limit_holds_until_it_is_ended: [Announced(2.0, 1)] => Some(2.0);
    the_latest_one_counts: [Announced(2.0, 1_000), Announced(5.0, 2_000)] => Some(5.0);
    a_lower_one_too: [Announced(5.0, 1_000), Announced(2.0, 2_000)] => Some(2.0);
    an_answer_without_one_ends_it: [Announced(2.0, 1_000), NoLimit(5, 6_000)] => None;
    not_at_once: [Announced(2.0, 1_000), NoLimit(5, 4_900)] => Some(2.0);
    nor_to_a_request_that_was_sent_before: [Announced(2.0, 1_000), NoLimit(3_000, 6_000)] => Some(2.0);
    nor_where_it_may_be_another_requests: [Announced(2.0, 1_000), Unattributed(9_000)] => Some(2.0);
    named_by_some_answers_only: [
        Announced(2.0, 1_000), NoLimit(5, 3_000), NoLimit(5, 4_000), Announced(2.0, 4_500), NoLimit(5, 8_000),
    ] => Some(2.0);
    one_that_cannot_be_read_changes_nothing: [Announced(2.0, 1_000), Unreadable(9_000)] => Some(2.0);
    nor_does_it_make_one: [Unreadable(9_000)] => None;
    another_boxes_word_counts: [Forwarded(2.0, 100, 1_000)] => Some(2.0);
    an_older_word_does_not: [Announced(2.0, 1_000), Forwarded(5.0, 400, 1_300)] => Some(2.0);
    a_newer_one_does: [Announced(2.0, 1_000), Forwarded(5.0, 200, 1_300)] => Some(5.0);
    another_box_tells_its_end: [Announced(2.0, 1_000), ForwardedEnd(200, 6_000)] => None;
    of_an_earlier_one: [Announced(2.0, 6_000), ForwardedEnd(400, 6_300)] => Some(2.0);
    a_late_word_of_one_that_ended: [Announced(2.0, 1_000), NoLimit(5, 6_000), Forwarded(2.0, 4_000, 6_100)] => None;
    named_again_after_its_end: [Announced(2.0, 1_000), NoLimit(5, 6_000), Announced(3.0, 7_000)] => Some(3.0);
}

#[test]
fn a_change_is_told_once() {
    let mut upstreams = upstreams_with_one();
    let changes = [
        LimitReport::Announced(1.0, 1_000),
        LimitReport::Announced(1.0, 2_000),
        LimitReport::Announced(1.5, 3_000),
        LimitReport::NoLimit(5, 8_000),
        LimitReport::NoLimit(5, 9_000),
    ]
    .map(|report| apply_report(&mut upstreams, report));
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
    let mut upstreams = upstreams_with_one();
    assert!(upstreams.recent_limits(0).is_empty());
    apply_report(&mut upstreams, LimitReport::Announced(1.0, 1_000));
    let limits = upstreams.recent_limits(3_000);
    assert_eq!(limits.len(), 1);
    assert_eq!(
        (&*limits[0].upstream, limits[0].per_1000_s),
        ("u", Some(1_000))
    );
    assert!(limits[0].age_ms >= 2_000);
    let echo = LimitReport::Forwarded(1.0, limits[0].age_ms, 3_150);
    apply_report(&mut upstreams, echo);
    assert_eq!(
        upstreams.recent_limits(3_150)[0].age_ms,
        limits[0].age_ms + 150
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
    let limits = upstreams.recent_limits(1_000);
    assert_eq!(limits.len(), 128);
    assert_eq!(&*limits[0].upstream, "u-999");
}

#[test]
fn a_box_that_may_own_nothing_sends_nothing() {
    let mut upstreams = upstreams_with_one();
    apply_report(&mut upstreams, LimitReport::Announced(5.0, 0));
    let rules = SendRules::default();
    assert!(send_all(&mut upstreams, &rules, 0, 10_000).is_empty());
    let result = upstreams.begin_send(&id(), &rules, 10_000);
    assert_eq!(result, Err(SendDenied::Limited { for_ms: 200 }));
}

#[test]
fn a_limit_of_which_nothing_is_heard_is_asked_for_in_turns() {
    let mut upstreams = upstreams_with_one();
    apply_report(&mut upstreams, LimitReport::Announced(5.0, 0));
    let rules = SendRules {
        sharing: QuotaShare::new(owners_without_this_box(), true, 3),
        cold_limit: None,
    };
    assert!(send_all(&mut upstreams, &rules, 0, 8_000).is_empty());
    let sent_ms = send_all(&mut upstreams, &rules, 8_000, 26_000);
    // With three boxes, each has a probe turn of 2 s in every 6 s.
    assert_eq!(sent_ms.len(), 3, "{sent_ms:?}");
    assert!(
        sent_ms.windows(2).all(|pair| pair[1] - pair[0] == 6_000),
        "{sent_ms:?}"
    );
}

/// A hall whose other boxes own all parts.
fn owners_without_this_box() -> Arc<QuotaOwners> {
    let others = (1..=200).collect();
    Arc::new(QuotaOwners::new(vec![1], 1, others, u64::MAX))
}

#[test]
fn a_part_that_was_another_boxes_begins_empty() {
    let mut upstreams = upstreams_with_one();
    apply_report(&mut upstreams, LimitReport::Announced(1.0, 0));
    assert!(send_all(&mut upstreams, &SendRules::default(), 0, 60_000).is_empty());
    let sent_ms = send_all(&mut upstreams, &sole_owner(), 60_000, 62_000);
    assert!(sent_ms.len() <= 3, "{sent_ms:?}");
}

#[test]
fn the_next_incarnation_begins_without_a_limit() {
    let mut upstreams = upstreams_with_one();
    apply_report(&mut upstreams, LimitReport::Announced(1.0, 0));
    let next = UpstreamRecord {
        id: "u-2".into(),
        ..upstreams.ready(0)[0].clone()
    };
    upstreams.fleet().put(next, 0);
    let sent = (0..100).filter(|now_ms| {
        let sent = upstreams.begin_send(&"u-2".into(), &sole_owner(), *now_ms);
        sent.is_ok()
    });
    assert_eq!(sent.count(), 100);
}
