//! The schedule of a planned stop, and which requests are accepted in it.

use ivyweir_policy::gateway::site::RouteKind;
use ivyweir_policy::gateway::stop::{ExpectedTime, StopSchedule};

const AIM_MS: u64 = 500;
const RESUMABLE: RouteKind = RouteKind::Stream {
    resumable: true,
    gap_aim_ms: 1_000,
};
const ONCE: RouteKind = RouteKind::Stream {
    resumable: false,
    gap_aim_ms: 1_000,
};

macro_rules! schedules {
    ($($name:ident: grace $grace_ms:expr => accepts until $accepts:expr, answers until $answers:expr, ends at $ends:expr;)*) => {$(
        #[test]
        fn $name() {
            let schedule = StopSchedule::new($grace_ms);
            assert_eq!(schedule.accepts_until_ms(), $accepts);
            assert_eq!(schedule.answers_until_ms(), $answers);
            assert_eq!(schedule.ends_at_ms(), $ends);
            assert!(schedule.accepts_until_ms() <= schedule.answers_until_ms());
            assert!(schedule.ends_at_ms() <= $grace_ms);
        }
    )*};
}

schedules! {
    a_usual_grace: grace 8_000 => accepts until 2_400, answers until 7_500, ends at 7_750;
    a_long_grace: grace 30_000 => accepts until 2_400, answers until 29_500, ends at 29_750;
    a_short_grace: grace 2_000 => accepts until 600, answers until 1_500, ends at 1_750;
    a_very_short_grace: grace 400 => accepts until 120, answers until 300, ends at 350;
    no_grace: grace 0 => accepts until 0, answers until 0, ends at 0;
}

macro_rules! requests {
    ($($name:ident: $kind:expr, budget $budget_ms:expr, grace $grace_ms:expr, received at $stopping_ms:expr => $accepted:expr;)*) => {$(
        #[test]
        fn $name() {
            let expected = ExpectedTime { kind: $kind, latency_aim_ms: AIM_MS, budget_ms: $budget_ms };
            assert_eq!(StopSchedule::new($grace_ms).accepts($stopping_ms, expected), $accepted);
        }
    )*};
}

requests! {
    a_plain_request_before_the_balancer_has_noticed: RouteKind::Unsafe, budget 25_000, grace 8_000, received at 2_400 => true;
    a_plain_request_after_that: RouteKind::Unsafe, budget 25_000, grace 8_000, received at 2_401 => false;
    a_plain_request_that_fits_a_short_grace: RouteKind::Unsafe, budget 25_000, grace 2_000, received at 500 => true;
    a_plain_request_that_does_not_fit_it_any_more: RouteKind::Unsafe, budget 25_000, grace 2_000, received at 501 => false;
    a_safe_request_that_does_not_fit_it: RouteKind::Safe, budget 25_000, grace 2_000, received at 501 => false;
    a_request_with_a_budget_that_fits_it: RouteKind::Unsafe, budget 900, grace 2_000, received at 600 => true;
    a_stream_that_can_be_resumed_elsewhere: RESUMABLE, budget 25_000, grace 8_000, received at 2_000 => true;
    a_stream_that_cannot_be_resumed_and_may_last: ONCE, budget 25_000, grace 8_000, received at 0 => false;
    a_stream_that_cannot_be_resumed_and_fits: ONCE, budget 5_000, grace 8_000, received at 2_000 => true;
    a_stream_that_cannot_be_resumed_in_a_long_grace: ONCE, budget 25_000, grace 30_000, received at 2_000 => true;
    a_time_beyond_all_bounds: ONCE, budget u64::MAX, grace 8_000, received at 0 => false;
}
