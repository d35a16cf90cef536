//! Tests of the `LimitPromise` check itself: traffic exactly at the limit passes, and one request more is
//! reported.

use ivyweir_standins::edge::{Arrival, RateLimitInvariant, RateLimitViolation};

/// Creates a request from `from` at each of these times; each response states a limit of one request per
/// second.
fn arrivals(from: &str, times_ms: &[u64]) -> Vec<Arrival> {
    let arrival = |at_ms: &u64| Arrival {
        at_ms: *at_ms,
        sender: from.into(),
        advertised_per_s: Some(1.0),
    };
    times_ms.iter().map(arrival).collect()
}

/// Merges the arrivals of several boxes in order of time.
fn merge_by_time(arrivals: &[Vec<Arrival>]) -> Vec<Arrival> {
    let mut all = arrivals.concat();
    all.sort_by_key(|arrival| arrival.at_ms);
    all
}

/// Returns `count` times at intervals of 10 ms, starting at `from_ms`.
fn every_10_ms(from_ms: u64, count: u64) -> Vec<u64> {
    (0..count).map(|n| from_ms + n * 10).collect()
}

macro_rules! limit_tests {
    ($($name:ident: $arrivals:expr => $requests:expr;)*) => {$(
        #[test]
        fn $name() {
            let result = RateLimitInvariant::STANDARD.check(&merge_by_time(&$arrivals));
            let requests = result.err().map(|excess| excess.requests);
            assert_eq!(requests, $requests);
        }
    )*};
}

// A limit of one request per second allows 1.5 x 1 x 4 + 5 = 11 requests within a window of 4 s.
limit_tests! {
    as_many_as_are_allowed: [arrivals("a", &[0]), arrivals("a", &every_10_ms(5_000, 11))] => None;
    one_more: [arrivals("a", &[0]), arrivals("a", &every_10_ms(5_000, 12))] => Some(12);
    of_two_boxes_together: [
        arrivals("a", &[0]),
        arrivals("b", &[0]),
        arrivals("a", &every_10_ms(5_000, 6)),
        arrivals("b", &every_10_ms(5_001, 6)),
    ] => Some(12);
    a_box_that_was_not_told_counts_not: [
        arrivals("a", &[0]), arrivals("a", &every_10_ms(5_000, 11)), arrivals("b", &[5_050]),
    ] => None;
    nor_does_one_that_was_just_told: [
        arrivals("a", &[0]),
        arrivals("b", &[4_600]),
        arrivals("a", &every_10_ms(5_000, 11)),
        arrivals("b", &[5_099]),
    ] => None;
    one_that_was_told_half_a_second_ago_does: [
        arrivals("a", &[0]),
        arrivals("b", &[4_600]),
        arrivals("a", &every_10_ms(5_000, 11)),
        arrivals("b", &[5_100]),
    ] => Some(12);
    nothing_counts_while_it_settles: [arrivals("a", &[0]), arrivals("a", &every_10_ms(2_500, 50))] => None;
    but_what_came_then_counts_in_later_windows: [
        arrivals("a", &[0]), arrivals("a", &every_10_ms(2_500, 11)), arrivals("a", &[3_000]),
    ] => Some(12);
    a_window_is_open_at_its_begin: [
        arrivals("a", &[0]), arrivals("a", &every_10_ms(5_000, 11)), arrivals("a", &[9_000]),
    ] => None;
    and_holds_what_came_just_behind_it: [
        arrivals("a", &[0]), arrivals("a", &every_10_ms(5_000, 11)), arrivals("a", &[8_999]),
    ] => Some(12);
}

#[test]
fn what_is_answered_without_a_limit_is_not_counted() {
    let mut arrivals =
        merge_by_time(&[arrivals("a", &[0]), arrivals("a", &every_10_ms(5_000, 12))]);
    arrivals[5].advertised_per_s = None;
    assert_eq!(RateLimitInvariant::STANDARD.check(&arrivals), Ok(()));
}

#[test]
fn the_highest_limit_of_a_window_counts() {
    let mut arrivals =
        merge_by_time(&[arrivals("a", &[0]), arrivals("a", &every_10_ms(5_000, 14))]);
    arrivals[5].advertised_per_s = Some(1.25);
    let excess = RateLimitViolation {
        at_ms: 5_120,
        requests: 13,
        allowed: 12.5,
    };
    assert_eq!(
        RateLimitInvariant::STANDARD.check(&arrivals),
        Err(excess.clone())
    );
    assert_eq!(excess.to_string(), "13 requests at 5120 ms, 12.5 allowed");
}
