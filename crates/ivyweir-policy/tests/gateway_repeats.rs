//! The fleet-wide retry bound: boxes that receive each other's counts late never exceed it, and it denies few
//! retries while the fleet is far below it.

use std::collections::VecDeque;

use ivyweir_policy::gateway::retry_budget::{FleetCounts, RetryBudget, RetryCounts, RetryLimits};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const RATIO: f64 = 0.9;
const SLACK: f64 = 208.0;
const WINDOW_MS: u64 = 10_000;
const STEP_MS: u64 = 50;

/// Request load of a simulation and its demand for retries.
#[derive(Clone, Copy)]
struct Load {
    boxes: usize,
    requests_per_s: f64,
    /// Probability that a request needs a retry, before and from `change_at_ms`; it may need a second one.
    retry_probability: [f64; 2],
    change_at_ms: u64,
    /// Share of the requests that a box hands over to another one. It makes the second retry, after the loss of the other.
    handed_over_share: f64,
    /// Age of the counts that boxes receive from each other; `None` if they receive none.
    counts_delay_ms: Option<u64>,
}

struct Outcome {
    /// Share of the requested retries that was denied.
    denied_share: f64,
    /// Highest number of retries in any window, as a share of the fleet-wide bound.
    peak_bound_share: f64,
}

fn limits(boxes: usize) -> RetryLimits {
    RetryLimits {
        ratio: RATIO * 0.85,
        slack: SLACK / boxes.max(20) as f64,
        fleet_slack: SLACK,
        window_ms: WINDOW_MS,
    }
}

fn simulate(load: Load) -> Outcome {
    let limits = limits(load.boxes);
    let mut rng = StdRng::seed_from_u64(27);
    let mut budgets = vec![RetryBudget::default(); load.boxes];
    let mut sent_counts: VecDeque<(u64, RetryCounts)> = VecDeque::new();
    let mut steps: Vec<(u32, u32)> = Vec::new();
    let (mut requested, mut denied) = (0_u32, 0_u32);
    for now_ms in (0..60_000).step_by(STEP_MS as usize) {
        let mut sum = RetryCounts::default();
        for budget in &mut budgets {
            sum.add(budget.counts(&limits, now_ms));
        }
        sent_counts.push_back((now_ms, sum));
        let is_received = |at_ms: u64| load.counts_delay_ms.is_some_and(|ms| at_ms + ms <= now_ms);
        while sent_counts.len() > 1 && is_received(sent_counts[1].0) {
            sent_counts.pop_front();
        }
        let received = sent_counts.front().filter(|(at_ms, _)| is_received(*at_ms));
        let fleet = received.map(|(_, counts)| FleetCounts {
            counts: *counts,
            received_at_ms: now_ms,
        });
        let mut step = (0, 0);
        let expected = load.requests_per_s * STEP_MS as f64 / 1_000.0;
        let arrivals = expected as u32 + u32::from(rng.random::<f64>() < expected.fract());
        for _ in 0..arrivals {
            let number = rng.random_range(0..load.boxes);
            let is_handed_over =
                load.handed_over_share > 0.0 && rng.random::<f64>() < load.handed_over_share;
            let server = if is_handed_over {
                (number + 1) % load.boxes
            } else {
                number
            };
            if is_handed_over {
                budgets[number].count_handed_over(&limits, now_ms);
            }
            budgets[server].count_request(&limits, now_ms);
            step.0 += 1;
            let probability = load.retry_probability[usize::from(now_ms >= load.change_at_ms)];
            for retrying in [server, number] {
                if rng.random::<f64>() >= probability {
                    break;
                }
                requested += 1;
                if !budgets[retrying].try_take(&limits, fleet.as_ref(), now_ms) {
                    denied += 1;
                    break;
                }
                step.1 += 1;
            }
        }
        steps.push(step);
    }
    let window = (WINDOW_MS / STEP_MS) as usize;
    let bound_shares = steps.windows(window).map(|steps| {
        let requests: u32 = steps.iter().map(|s| s.0).sum();
        let retries: u32 = steps.iter().map(|s| s.1).sum();
        f64::from(retries) / (RATIO * f64::from(requests) + SLACK)
    });
    Outcome {
        denied_share: f64::from(denied) / f64::from(requested.max(1)),
        peak_bound_share: bound_shares.fold(0.0, f64::max),
    }
}

/// About two in five requests need a retry, as in a model cascade.
const CASCADE_LOAD: Load = Load {
    boxes: 300,
    requests_per_s: 40.0,
    retry_probability: [0.42, 0.42],
    change_at_ms: 0,
    handed_over_share: 0.0,
    counts_delay_ms: Some(1_200),
};

#[test]
fn boxes_with_few_requests_are_hardly_denied_while_the_fleet_has_room() {
    let without_counts = simulate(Load {
        counts_delay_ms: None,
        ..CASCADE_LOAD
    });
    let with_counts = simulate(CASCADE_LOAD);
    // Without the fleet's counts more than a tenth of the requested retries is denied.
    assert!(
        without_counts.denied_share > 0.1,
        "{}",
        without_counts.denied_share
    );
    assert!(
        with_counts.denied_share < 0.05,
        "{}",
        with_counts.denied_share
    );
    assert!(
        with_counts.peak_bound_share < 1.0,
        "{}",
        with_counts.peak_bound_share
    );
}

/// Guards against a box that may not retry what others serve for it, since the requests are counted there.
#[test]
fn a_box_that_hands_all_over_may_retry_while_the_fleet_has_room() {
    let limits = limits(8);
    let fleet = FleetCounts {
        counts: RetryCounts {
            requests: 1_000,
            repeats: 0,
        },
        received_at_ms: 0,
    };
    let mut budget = RetryBudget::default();
    (0..40).for_each(|_| budget.count_handed_over(&limits, 0));
    let granted = (0..40).filter(|_| budget.try_take(&limits, Some(&fleet), 0));
    assert_eq!(granted.count(), 40);

    let mut unheard = RetryBudget::default();
    (0..40).for_each(|_| unheard.count_handed_over(&limits, 0));
    let granted = (0..40).filter(|_| unheard.try_take(&limits, None, 0));
    assert_eq!(granted.count(), limits.slack as usize, "as before");
}

macro_rules! bound_cases {
    ($($name:ident: $load:expr;)*) => {$(
        #[test]
        fn $name() {
            let outcome = simulate($load);
            assert!(outcome.peak_bound_share <= 1.0, "{} of the bound", outcome.peak_bound_share);
        }
    )*};
}

/// From `change_at_ms` on, every request needs all the retries that it may have.
const SURGE_LOAD: Load = Load {
    requests_per_s: 2_000.0,
    retry_probability: [0.42, 1.0],
    change_at_ms: 30_000,
    counts_delay_ms: Some(1_800),
    ..CASCADE_LOAD
};

bound_cases! {
    three_hundred_boxes_keep_the_bound: SURGE_LOAD;
    eighty_four_boxes_keep_the_bound: Load { boxes: 84, ..SURGE_LOAD };
    eight_boxes_keep_the_bound: Load { boxes: 8, requests_per_s: 300.0, ..SURGE_LOAD };
    they_keep_it_where_requests_are_rare: Load { requests_per_s: 100.0, ..SURGE_LOAD };
    they_keep_it_where_all_is_doubtful_from_the_start: Load { retry_probability: [1.0, 1.0], ..SURGE_LOAD };
    they_keep_it_where_nothing_is_doubtful_before: Load { retry_probability: [0.0, 1.0], ..SURGE_LOAD };
    they_keep_it_where_all_is_handed_over: Load { handed_over_share: 1.0, ..SURGE_LOAD };
    they_keep_it_where_half_is_handed_over_and_all_is_doubtful: Load { handed_over_share: 0.5, retry_probability: [1.0, 1.0], ..SURGE_LOAD };
    eight_boxes_keep_it_where_all_is_handed_over: Load { boxes: 8, requests_per_s: 300.0, handed_over_share: 1.0, ..SURGE_LOAD };
    they_keep_it_where_boxes_hear_nothing: Load { counts_delay_ms: None, ..SURGE_LOAD };
}
