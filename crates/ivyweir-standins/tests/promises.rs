//! The judge of promises itself: what is just allowed passes, and one step beyond is named.

use ivyweir_standins::edge::{Arrival, RateLimitInvariant, RateLimitViolation};

/// A request of `from` at each of these times, whose answer names a limit of one a second.
fn of(from: &str, times_ms: &[u64]) -> Vec<Arrival> {
    let arrival = |at_ms: &u64| Arrival {
        at_ms: *at_ms,
        sender: from.into(),
        advertised_per_s: Some(1.0),
    };
    times_ms.iter().map(arrival).collect()
}

/// The arrivals of several boxes in order of time.
fn together(arrivals: &[Vec<Arrival>]) -> Vec<Arrival> {
    let mut all = arrivals.concat();
    all.sort_by_key(|arrival| arrival.at_ms);
    all
}

/// So many times, one each 10 ms from `from_ms` on.
fn each_ten_ms(from_ms: u64, count: u64) -> Vec<u64> {
    (0..count).map(|n| from_ms + n * 10).collect()
}

macro_rules! windows {
    ($($name:ident: $arrivals:expr => $requests:expr;)*) => {$(
        #[test]
        fn $name() {
            let judged = RateLimitInvariant::STANDARD.check(&together(&$arrivals));
            let requests = judged.err().map(|excess| excess.requests);
            assert_eq!(requests, $requests);
        }
    )*};
}

// One a second allows 1.5 x 1 x 4 + 5 = 11 within 4 s.
windows! {
    as_many_as_are_allowed: [of("a", &[0]), of("a", &each_ten_ms(5_000, 11))] => None;
    one_more: [of("a", &[0]), of("a", &each_ten_ms(5_000, 12))] => Some(12);
    of_two_boxes_together: [
        of("a", &[0]), of("b", &[0]), of("a", &each_ten_ms(5_000, 6)), of("b", &each_ten_ms(5_001, 6)),
    ] => Some(12);
    a_box_that_was_not_told_counts_not: [of("a", &[0]), of("a", &each_ten_ms(5_000, 11)), of("b", &[5_050])] => None;
    nor_does_one_that_was_just_told: [
        of("a", &[0]), of("b", &[4_600]), of("a", &each_ten_ms(5_000, 11)), of("b", &[5_099]),
    ] => None;
    one_that_was_told_half_a_second_ago_does: [
        of("a", &[0]), of("b", &[4_600]), of("a", &each_ten_ms(5_000, 11)), of("b", &[5_100]),
    ] => Some(12);
    nothing_counts_while_it_settles: [of("a", &[0]), of("a", &each_ten_ms(2_500, 50))] => None;
    but_what_came_then_counts_in_later_windows: [
        of("a", &[0]), of("a", &each_ten_ms(2_500, 11)), of("a", &[3_000]),
    ] => Some(12);
    a_window_is_open_at_its_begin: [of("a", &[0]), of("a", &each_ten_ms(5_000, 11)), of("a", &[9_000])] => None;
    and_holds_what_came_just_behind_it: [of("a", &[0]), of("a", &each_ten_ms(5_000, 11)), of("a", &[8_999])] => Some(12);
}

#[test]
fn what_is_answered_without_a_limit_is_not_counted() {
    let mut arrivals = together(&[of("a", &[0]), of("a", &each_ten_ms(5_000, 12))]);
    arrivals[5].advertised_per_s = None;
    assert_eq!(RateLimitInvariant::STANDARD.check(&arrivals), Ok(()));
}

#[test]
fn the_highest_limit_of_a_window_counts() {
    let mut arrivals = together(&[of("a", &[0]), of("a", &each_ten_ms(5_000, 14))]);
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
