//! Estimates of the prefill time per token, learned from response times.

use ivyweir_policy::gateway::pace::PrefillPace;

/// Milliseconds per token of a pool's three models after responses of `model` to prompts of 2,000 tokens.
fn learned_ms_per_token(model: usize, durations_ms: &[u64]) -> [f64; 3] {
    let mut pace = PrefillPace::default();
    for duration_ms in durations_ms {
        pace.record(model, 2_000, *duration_ms);
    }
    [0, 1, 2].map(|model| pace.ms_per_token(model, 3))
}

macro_rules! pace_cases {
    ($($name:ident: $model:expr, $durations_ms:expr => $ms_per_token:expr;)*) => {$(
        #[test]
        fn $name() {
            let learned = learned_ms_per_token($model, &$durations_ms);
            for (learned, expected) in learned.iter().zip::<[f64; 3]>($ms_per_token) {
                assert!((learned / expected - 1.0).abs() < 0.01, "{learned} ms per token, expected {expected}");
            }
        }
    )*};
}

pace_cases! {
    nothing_heard_is_the_prior: 0, [] => [0.005, 0.0158, 0.05];
    a_few_answers_are_not_believed: 2, [400; 7] => [0.005, 0.0158, 0.05];
    a_quicker_pool_is_believed_for_all_models: 2, [50; 8] => [0.0025, 0.0079, 0.025];
    a_slower_one_too: 0, [20; 8] => [0.01, 0.0316, 0.1];
    answers_that_waited_count_little: 0, [20, 20, 20, 20, 400, 900, 900, 4_000] => [0.01, 0.0316, 0.1];
    answers_in_no_time_leave_a_bounded_pace: 0, [0; 8] => [0.0001, 0.000_316, 0.001];
    answers_that_took_a_day_do_too: 0, [86_400_000; 8] => [0.25, 0.79, 2.5];
}

#[test]
fn each_model_is_believed_by_its_own_answers() {
    let mut pace = PrefillPace::default();
    for _ in 0..20 {
        pace.record(0, 4_000, 60);
        pace.record(2, 4_000, 400);
    }
    assert!((pace.ms_per_token(0, 3) - 0.015).abs() < 1e-9);
    assert!((pace.ms_per_token(2, 3) - 0.1).abs() < 1e-9);
    assert_eq!([0, 1, 2].map(|model| pace.sample_count(model)), [20, 0, 20]);
}

#[test]
fn a_pool_that_grew_slower_is_followed() {
    let mut pace = PrefillPace::default();
    (0..200).for_each(|_| pace.record(0, 1_000, 10));
    (0..64).for_each(|_| pace.record(0, 1_000, 30));
    assert!((pace.ms_per_token(0, 3) - 0.03).abs() < 1e-9);
}

#[test]
fn short_prompts_tell_nothing() {
    let mut pace = PrefillPace::default();
    (0..50).for_each(|_| pace.record(0, 100, 300));
    assert_eq!(pace.sample_count(0), 0);
}

#[test]
fn a_pool_without_models_has_a_pace() {
    assert!(PrefillPace::default().ms_per_token(0, 0) > 0.0);
}
