//! Tests of pool roll-outs: traffic shares, session assignment, roll-back decisions, and the state
//! that boxes exchange.

use ivyweir_policy::Name;
use ivyweir_policy::gateway::canary::{AnswerSample, Span, Tally, add_tally};
use ivyweir_policy::gateway::rollout::{
    RolloutDuty, RolloutOrder, RolloutState, RolloutTracker, Side,
};

const DURATION_MS: u64 = 24_000;

fn order(state: RolloutState, revision: u64) -> RolloutOrder {
    RolloutOrder {
        pool: "writers".into(),
        target_version: "v2".into(),
        duration_ms: DURATION_MS,
        state,
        revision,
        era: 0,
    }
}

fn running(elapsed_ms: u64) -> RolloutState {
    RolloutState::Running { elapsed_ms }
}

fn answer_sample(upstream: &Name, failed: bool, pace_ms: Option<f64>) -> AnswerSample<'_> {
    AnswerSample {
        upstream,
        failed,
        is_final: true,
        lane: 0,
        pace_ms,
        span: Span::Start,
        age_ms: 0,
        running: 0,
        queue: 0.0,
    }
}

/// Time at which answers are recorded, unless a test uses another.
const RECORDED_AT_MS: u64 = 90;

fn sessions_on_new(tracker: &RolloutTracker, now_ms: u64) -> usize {
    let on_new = |session: &u64| tracker.side(*session, now_ms) == Side::New;
    (0..1_000).filter(on_new).count()
}

macro_rules! shares {
    ($($name:ident: at $at_ms:expr => $low:expr, $high:expr;)*) => {$(
        #[test]
        fn $name() {
            let tracker = RolloutTracker::new(order(RolloutState::Ordered, 1), 0);
            let on_new = sessions_on_new(&tracker, $at_ms);
            assert!(($low..=$high).contains(&on_new), "{on_new} of 1000 sessions");
        }
    )*};
}

shares! {
    no_session_tries_a_new_version_in_the_first_half: at 12_400 => 0, 0;
    few_do_after_half_time: at 12_600 => 25, 80;
    some_more_do_then: at 18_200 => 90, 150;
    all_do_before_the_end: at 22_100 => 1_000, 1_000;
}

#[test]
fn a_version_whose_faults_nobody_sees_gets_less_than_its_bound() {
    let tracker = RolloutTracker::new(order(RolloutState::Ordered, 1), 0);
    let shares = (0..DURATION_MS)
        .step_by(10)
        .map(|at_ms| tracker.share(at_ms));
    let mean = shares.sum::<f64>() / (DURATION_MS / 10) as f64;
    assert!(mean < 0.13, "{mean} of all requests");
}

#[test]
fn boxes_condemn_together_what_none_sees_enough_of() {
    let mut trackers = [0, 1, 2, 3].map(|_| RolloutTracker::new(order(running(0), 1), 0));
    for (n, tracker) in trackers.iter_mut().enumerate() {
        let upstream: Name = format!("u{n}").into();
        assert!(!tracker.record_answer(Side::New, &answer_sample(&upstream, true, None), 13_000));
    }
    let mut others = Tally::new();
    for tracker in &trackers[1..] {
        add_tally(&mut others, &tracker.local_tally());
    }
    assert!(trackers[0].set_remote_tally(others, 13_100));
    assert_eq!(trackers[0].duty(13_099), RolloutDuty::None);
    assert_eq!(trackers[0].duty(13_100), RolloutDuty::RollBack);
}

#[test]
fn a_session_never_goes_back() {
    let tracker = RolloutTracker::new(order(RolloutState::Ordered, 1), 0);
    for session in 0..200 {
        let sides: Vec<Side> = (0..24).map(|s| tracker.side(session, s * 1_000)).collect();
        let switches = sides.windows(2).filter(|pair| pair[0] != pair[1]).count();
        assert!(switches <= 1, "session {session}: {sides:?}");
    }
}

#[test]
fn a_box_that_learns_late_catches_up_at_the_next_step() {
    let at_step_ms = DURATION_MS * 76 / 100;
    let mut late = RolloutTracker::new(order(running(115), 2), 18_000);
    assert_eq!(
        late.elapsed_ms(18_000),
        115,
        "no newer progress record has been received"
    );
    late.update(order(running(at_step_ms), 3), at_step_ms + 10);
    assert_eq!(late.elapsed_ms(at_step_ms + 10), at_step_ms);
    let on_time = RolloutTracker::new(order(RolloutState::Ordered, 1), 0);
    for session in 0..1_000 {
        let now_ms = at_step_ms + 20;
        let sides = [&late, &on_time].map(|t| t.side(session, now_ms));
        assert_eq!(sides[0], sides[1], "session {session}");
    }
}

#[test]
fn a_later_word_never_sets_a_box_back() {
    let mut tracker = RolloutTracker::new(order(RolloutState::Ordered, 1), 0);
    tracker.update(order(running(100), 2), 5_000);
    assert_eq!(tracker.elapsed_ms(5_000), 5_000);
}

macro_rules! duties {
    ($($name:ident: $state:expr, at $at_ms:expr => $duty:expr;)*) => {$(
        #[test]
        fn $name() {
            let tracker = RolloutTracker::new(order($state, 1), 0);
            let started_ms = match $state {
                RolloutState::Running { elapsed_ms } => elapsed_ms,
                _ => 0,
            };
            assert_eq!(tracker.duty($at_ms - started_ms), $duty);
        }
    )*};
}

#[test]
fn a_box_that_just_started_counts_from_before_its_start() {
    let tracker = RolloutTracker::new(order(running(17_000), 1), 5);
    assert_eq!(tracker.elapsed_ms(1_005), 18_000);
}

duties! {
    an_order_is_taken_up: RolloutState::Ordered, at 0 => RolloutDuty::Tell;
    nothing_is_told_within_a_step: running(100), at 11_000 => RolloutDuty::None;
    each_step_is_told: running(100), at 12_600 => RolloutDuty::Tell;
    a_told_step_is_not_told_again: running(12_600), at 13_000 => RolloutDuty::None;
    the_end_is_told: running(22_000), at 23_100 => RolloutDuty::Complete;
    a_completed_one_has_no_duties: RolloutState::Completed, at 23_500 => RolloutDuty::None;
    a_rolled_back_one_has_no_duties: RolloutState::RolledBack, at 23_500 => RolloutDuty::None;
}

/// Returns a tracker that has recorded these answers, given as `(side, failed, pace_ms)`, each from
/// another upstream.
fn tracker_with_answers(answers: &[(Side, bool, Option<f64>)]) -> RolloutTracker {
    let mut tracker = RolloutTracker::new(order(running(0), 1), 0);
    for (at, (side, failed, pace_ms)) in answers.iter().enumerate() {
        let upstream: Name = format!("u{at}").into();
        tracker.record_answer(
            *side,
            &answer_sample(&upstream, *failed, *pace_ms),
            RECORDED_AT_MS,
        );
    }
    tracker
}

macro_rules! verdicts {
    ($($name:ident: $answers:expr => $duty:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(tracker_with_answers(&$answers).duty(100), $duty);
        }
    )*};
}

const OLD_OK: (Side, bool, Option<f64>) = (Side::Old, false, Some(20.0));
const OLD_FAILED: (Side, bool, Option<f64>) = (Side::Old, true, None);
const NEW_OK: (Side, bool, Option<f64>) = (Side::New, false, Some(20.0));
const NEW_FAILED: (Side, bool, Option<f64>) = (Side::New, true, None);
const NEW_SLOW: (Side, bool, Option<f64>) = (Side::New, false, Some(60.0));

verdicts! {
    two_failures_do_not_condemn: [OLD_OK, NEW_FAILED, NEW_FAILED] => RolloutDuty::None;
    three_failures_do: [OLD_OK, NEW_FAILED, NEW_OK, NEW_FAILED, NEW_FAILED] => RolloutDuty::RollBack;
    not_where_the_old_version_fails_as_often:
        [OLD_FAILED, OLD_FAILED, OLD_FAILED, OLD_FAILED, NEW_FAILED, NEW_FAILED, NEW_FAILED]
        => RolloutDuty::None;
    slow_answers_are_bad_ones:
        [OLD_OK, OLD_OK, OLD_OK, OLD_OK, OLD_OK, NEW_SLOW, NEW_SLOW, NEW_SLOW, NEW_SLOW]
        => RolloutDuty::RollBack;
    slowness_is_told_only_against_enough_old_answers:
        [OLD_OK, NEW_SLOW, NEW_SLOW, NEW_SLOW] => RolloutDuty::None;
}

#[test]
fn a_condemned_version_gets_no_session_at_once() {
    let tracker = tracker_with_answers(&[OLD_OK, NEW_FAILED, NEW_FAILED, NEW_FAILED]);
    assert_eq!(sessions_on_new(&tracker, 20_000), 0);
}

/// Returns answers of which every seventh fails, to model a service with a constant error rate.
fn every_seventh_fails(side: Side, count: usize) -> Vec<(Side, bool, Option<f64>)> {
    (0..count).map(|n| (side, n % 7 == 6, None)).collect()
}

#[test]
fn a_version_that_fails_as_often_as_the_old_one_is_not_condemned() {
    let mut answers = every_seventh_fails(Side::Old, 60);
    answers.extend(every_seventh_fails(Side::New, 200));
    assert_eq!(tracker_with_answers(&answers).duty(100), RolloutDuty::None);
}

/// Guards against completing the roll-out of a version that is probably worse. A version with four
/// slow answers in ten was completed and kept: 5 of its 21 answers before the end were bad, against 10
/// of the old version's 282. The probability of that by chance is 1 in 1,200. A threshold that is
/// checked after every answer must be stricter than that, so no roll-back followed before the
/// roll-out's duration had elapsed.
#[test]
fn a_version_that_chance_hardly_explains_is_rolled_back_at_the_end() {
    let failures_last = |side: Side, failed: usize, total: usize| {
        (0..total).map(move |n| (side, n >= total - failed, None::<f64>))
    };
    let mut answers: Vec<_> = failures_last(Side::Old, 10, 282).collect();
    // Failures come last: earlier, while there are few good answers, they would trigger a roll-back.
    answers.extend(failures_last(Side::New, 5, 21));
    let tracker = tracker_with_answers(&answers);
    assert_eq!(tracker.duty(20_000), RolloutDuty::Tell);
    assert_eq!(tracker.duty(23_400), RolloutDuty::RollBack);
    let mut answers: Vec<_> = failures_last(Side::Old, 10, 282).collect();
    answers.extend(failures_last(Side::New, 3, 21));
    assert_eq!(
        tracker_with_answers(&answers).duty(23_400),
        RolloutDuty::Complete
    );
}

#[test]
fn a_version_that_fails_on_one_lane_only_is_condemned() {
    let mut tracker = RolloutTracker::new(order(running(0), 1), 0);
    for n in 0..40 {
        let upstream: Name = format!("u{}", n % 5).into();
        let lane = n % 4;
        let sample = AnswerSample {
            upstream: &upstream,
            failed: lane == 0,
            is_final: true,
            lane,
            pace_ms: None,
            span: Span::Start,
            age_ms: 0,
            running: 0,
            queue: 0.0,
        };
        tracker.record_answer(Side::New, &sample, RECORDED_AT_MS);
    }
    assert_eq!(tracker.duty(100), RolloutDuty::RollBack);
}

/// Guards against failures of requests that the new version is not asked for, which count as failures of the old one and
/// hide those of the new one.
#[test]
fn failures_on_a_lane_that_the_new_version_does_not_serve_hide_none_of_its_own() {
    let mut tracker = RolloutTracker::new(order(running(0), 1), 0);
    let mut record = |side: Side, lane: u64, failed: usize, total: usize| {
        for n in 0..total {
            let upstream: Name = format!("u{}", (n + lane as usize) % 5).into();
            let sample = AnswerSample {
                lane,
                ..answer_sample(&upstream, n >= total - failed, None)
            };
            tracker.record_answer(side, &sample, 13_000);
        }
    };
    record(Side::Old, 0, 60, 60);
    for lane in 1..=4 {
        record(Side::Old, lane, 1, 100);
        record(Side::New, lane, 1, 10);
    }
    assert_eq!(tracker.duty(13_100), RolloutDuty::Tell);
    assert_eq!(tracker.duty(23_400), RolloutDuty::RollBack);
}

#[test]
fn a_version_that_turns_bad_is_told_after_thousands_of_answers() {
    let mut answers = vec![OLD_OK; 100];
    answers.extend(vec![NEW_OK; 1_500]);
    answers.extend(vec![NEW_FAILED; 600]);
    assert_eq!(
        tracker_with_answers(&answers).duty(100),
        RolloutDuty::RollBack
    );
}

/// Records answers timed over many events, of which `slow_per_20` in every 20 take three times as long.
fn record_long_answers(tracker: &mut RolloutTracker, side: Side, count: usize, slow_per_20: usize) {
    for n in 0..count {
        let upstream: Name = format!("u{}", n % 5).into();
        let pace_ms = if n % 20 < slow_per_20 { 60.0 } else { 20.0 };
        let sample = AnswerSample {
            is_final: false,
            span: Span::Long,
            ..answer_sample(&upstream, false, Some(pace_ms))
        };
        tracker.record_answer(side, &sample, RECORDED_AT_MS);
    }
}

#[test]
fn a_version_slow_over_many_events_is_told_by_a_few_answers() {
    let mut tracker = RolloutTracker::new(order(running(0), 1), 0);
    record_long_answers(&mut tracker, Side::Old, 200, 2);
    // Samples from the start of answers must not mask the slowness measured over many events.
    for n in 0..200 {
        let upstream: Name = format!("u{n}").into();
        tracker.record_answer(
            Side::Old,
            &answer_sample(&upstream, false, Some(20.0)),
            RECORDED_AT_MS,
        );
        tracker.record_answer(
            Side::New,
            &answer_sample(&upstream, false, Some(20.0)),
            RECORDED_AT_MS,
        );
    }
    assert_eq!(tracker.duty(100), RolloutDuty::None);
    record_long_answers(&mut tracker, Side::New, 5, 20);
    assert_eq!(tracker.duty(100), RolloutDuty::RollBack);
}

/// Streams of busy engines, as the pause between events in milliseconds and the number of requests
/// that run concurrently.
const BUSY_STREAMS: [(f64, u32); 10] = [
    (15.0, 1),
    (17.0, 2),
    (19.0, 2),
    (34.0, 4),
    (37.0, 6),
    (66.0, 6),
    (75.0, 7),
    (84.0, 8),
    (110.0, 9),
    (129.0, 9),
];

/// Records these streams, assigning each consecutive ten to the next lane.
fn record_streams_by_lane(tracker: &mut RolloutTracker, side: Side, streams: &[(f64, u32)]) {
    for (n, (pace_ms, running)) in streams.iter().enumerate() {
        let upstream: Name = format!("u{}", n % 5).into();
        let sample = AnswerSample {
            lane: n as u64 / 10,
            running: *running,
            ..answer_sample(&upstream, false, Some(*pace_ms))
        };
        tracker.record_answer(side, &sample, RECORDED_AT_MS);
    }
}

/// Returns whether these streams of the new version cause a roll-back when the old version's engines
/// are busy.
fn rolls_back_against_busy_engines(new: &[(f64, u32)]) -> bool {
    let mut tracker = RolloutTracker::new(order(running(0), 1), 0);
    record_streams_by_lane(&mut tracker, Side::Old, &BUSY_STREAMS.repeat(6));
    record_streams_by_lane(&mut tracker, Side::New, new);
    tracker.duty(100) == RolloutDuty::RollBack
}

#[test]
fn a_slow_version_on_empty_engines_is_told_beside_busy_ones() {
    // The new version's engines run one request each, so its pauses are uniform: four times those of an
    // idle engine, yet shorter than many pauses of the busy engines.
    assert!(rolls_back_against_busy_engines(&[(63.0, 1); 14]));
}

#[test]
fn a_version_as_slow_as_the_old_one_at_its_load_is_not_condemned() {
    assert!(!rolls_back_against_busy_engines(&BUSY_STREAMS.repeat(4)));
}

/// Returns whether answers timed over `span` cause a roll-back once the new version receives all
/// traffic, where the old version's took `old_ms` and the new version's take `new_ms`.
fn rolls_back_after_full_shift(span: Span, old_ms: f64, new_ms: f64) -> bool {
    rolls_back_on_delayed_answers(0, span, old_ms, new_ms)
}

/// Like [`rolls_back_after_full_shift`], for answers whose requests were sent `age_ms` earlier.
fn rolls_back_on_delayed_answers(age_ms: u64, span: Span, old_ms: f64, new_ms: f64) -> bool {
    let now_ms = DURATION_MS * 93 / 100;
    let mut tracker = RolloutTracker::new(order(running(0), 1), 0);
    for (side, pace_ms) in [(Side::Old, old_ms), (Side::New, new_ms)] {
        for n in 0..20 {
            let upstream: Name = format!("u{}", n % 5).into();
            let sample = AnswerSample {
                span,
                age_ms,
                ..answer_sample(&upstream, false, Some(pace_ms))
            };
            tracker.record_answer(side, &sample, now_ms);
        }
    }
    tracker.duty(now_ms) == RolloutDuty::RollBack
}

#[test]
fn a_plain_service_is_timed_to_the_end() {
    assert!(rolls_back_after_full_shift(Span::Whole, 20.0, 160.0));
}

/// Returns whether answers of a non-streaming service cause a roll-back once the new version receives
/// all traffic: 20 fast answers of the old version on idle upstreams, then 20 of the new version that
/// take `service_ms` behind `queue` waiting requests per running one.
fn rolls_back_under_queueing(service_ms: f64, queue: f64) -> bool {
    let now_ms = DURATION_MS * 93 / 100;
    let mut tracker = RolloutTracker::new(order(running(0), 1), 0);
    let answers = [(Side::Old, 20.0, 0.0), (Side::New, service_ms, queue)];
    for (side, service_ms, queue) in answers {
        for n in 0..20 {
            let upstream: Name = format!("u{}", n % 5).into();
            let sample = AnswerSample {
                span: Span::Whole,
                queue,
                ..answer_sample(&upstream, false, Some(service_ms * (1.0 + queue)))
            };
            tracker.record_answer(side, &sample, now_ms);
        }
    }
    tracker.duty(now_ms) == RolloutDuty::RollBack
}

macro_rules! surges {
    ($($name:ident: $service_ms:expr, $queue:expr => $rolls_back:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(rolls_back_under_queueing($service_ms, $queue), $rolls_back);
        }
    )*};
}

surges! {
    a_good_plain_version_without_a_queue_is_kept: 20.0, 0.0 => false;
    a_good_plain_version_in_a_surge_is_kept: 20.0, 3.0 => false;
    a_good_plain_version_in_a_long_queue_is_kept: 22.0, 12.0 => false;
    a_slow_plain_version_is_told_in_a_surge_too: 80.0, 3.0 => true;
    a_slow_plain_version_is_told_in_a_long_queue: 80.0, 12.0 => true;
    a_queue_out_of_range_is_none: 160.0, -0.5 => true;
}

#[test]
fn twice_the_time_is_not_slow_yet() {
    assert!(!rolls_back_after_full_shift(Span::Whole, 20.0, 45.0));
}

#[test]
fn a_few_milliseconds_are_the_machines() {
    assert!(!rolls_back_after_full_shift(Span::Whole, 1.0, 20.0));
}

#[test]
fn engines_that_have_read_nothing_yet_are_not_timed() {
    assert!(!rolls_back_after_full_shift(Span::Start, 20.0, 160.0));
    assert!(!rolls_back_after_full_shift(Span::Long, 20.0, 160.0));
}

#[test]
fn streams_sent_before_the_move_are_timed_after_it() {
    assert!(rolls_back_on_delayed_answers(
        1_000,
        Span::Start,
        20.0,
        160.0
    ));
}

#[test]
fn one_failing_upstream_does_not_condemn_its_version() {
    let mut tracker = RolloutTracker::new(order(running(0), 1), 0);
    for _ in 0..10 {
        tracker.record_answer(
            Side::New,
            &answer_sample(&"u1".into(), true, None),
            RECORDED_AT_MS,
        );
    }
    assert_eq!(tracker.duty(100), RolloutDuty::None);
}

#[test]
fn a_new_order_is_judged_afresh() {
    let mut tracker = tracker_with_answers(&[OLD_OK, NEW_FAILED, NEW_FAILED, NEW_FAILED]);
    tracker.update(order(RolloutState::RolledBack, 2), 500);
    let mut next = order(RolloutState::Ordered, 3);
    next.target_version = "v3".into();
    tracker.update(next, 40_000);
    assert_eq!(tracker.duty(40_000), RolloutDuty::Tell);
    assert!(sessions_on_new(&tracker, 62_500) > 900);
}

/// Tracks a roll-out in the `known` state, then receives its record in the `stored` state from a
/// restored store.
fn tracker_after_restore(known: RolloutState, stored: RolloutState) -> RolloutTracker {
    let mut tracker = RolloutTracker::new(order(known, 40), 0);
    let mut restored_order = order(stored, 16);
    restored_order.era = 1;
    tracker.update(restored_order, 1_000);
    tracker
}

macro_rules! restored_states {
    ($($name:ident: $known:expr, $stored:expr => $state:expr, $duty:expr;)*) => {$(
        #[test]
        fn $name() {
            let tracker = tracker_after_restore($known, $stored);
            assert_eq!(tracker.order().state, $state);
            assert_eq!(tracker.duty(1_000), $duty);
            assert_eq!((tracker.order().era, tracker.order().revision), (1, 16));
        }
    )*};
}

restored_states! {
    a_completion_that_was_lost_is_written_again:
        RolloutState::Completed, RolloutState::Ordered => RolloutState::Completed, RolloutDuty::Complete;
    a_completion_restored_as_running_is_written_again:
        RolloutState::Completed, running(20_000) => RolloutState::Completed, RolloutDuty::Complete;
    a_rollback_that_was_lost_is_written_again:
        RolloutState::RolledBack, RolloutState::Ordered => RolloutState::RolledBack, RolloutDuty::RollBack;
    progress_that_was_lost_is_written_again:
        running(14_000), RolloutState::Ordered => running(14_000), RolloutDuty::Tell;
    a_completion_in_the_backup_is_not_written_again:
        RolloutState::Completed, RolloutState::Completed => RolloutState::Completed, RolloutDuty::None;
}

#[test]
fn an_order_repeated_after_a_restore_does_not_start_again() {
    let mut tracker = tracker_after_restore(RolloutState::Completed, running(20_000));
    let mut repeated = order(RolloutState::Ordered, 17);
    repeated.era = 1;
    tracker.update(repeated, 1_100);
    assert_eq!(tracker.order().state, RolloutState::Completed);
    assert_eq!(tracker.duty(1_100), RolloutDuty::Complete);
}

#[test]
fn a_state_written_after_a_restore_is_not_written_twice() {
    let mut tracker = tracker_after_restore(RolloutState::Completed, RolloutState::Ordered);
    let mut written = order(RolloutState::Completed, 17);
    written.era = 1;
    tracker.update(written, 1_100);
    assert_eq!(tracker.duty(1_100), RolloutDuty::None);
}

#[test]
fn an_order_for_another_version_after_a_restore_starts() {
    let mut tracker = RolloutTracker::new(order(RolloutState::Completed, 40), 0);
    let mut next = order(RolloutState::Ordered, 16);
    next.era = 1;
    next.target_version = "v3".into();
    tracker.update(next, 1_000);
    assert_eq!(tracker.order().state, RolloutState::Ordered);
}

/// Guards against all boxes writing the state at once: a box that defers to others checks which duty
/// was due at an earlier time.
#[test]
fn a_lost_state_is_not_due_before_the_loss_is_detected() {
    let tracker = tracker_after_restore(RolloutState::Completed, RolloutState::Ordered);
    assert_eq!(tracker.duty(999), RolloutDuty::None);
}
