//! The fleet's bound on repeats: never reached by boxes that tell each other their counts late, and hardly
//! felt where it is far.

use std::collections::VecDeque;

use ivyweir_policy::gateway::retry_budget::{FleetCounts, RetryBudget, RetryCounts, RetryLimits};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const RATIO: f64 = 0.9;
const SLACK: f64 = 208.0;
const WINDOW_MS: u64 = 10_000;
const STEP_MS: u64 = 50;

/// How the requests of a run ask for repeats.
#[derive(Clone, Copy)]
struct Load {
    boxes: usize,
    requests_per_s: f64,
    /// Chance that a request asks for a repeat, until and from `turn_ms`; it may ask twice.
    doubt: [f64; 2],
    turn_ms: u64,
    /// Age of the counts that boxes hear of each other; none where they hear nothing.
    told_after_ms: Option<u64>,
}

struct Outcome {
    /// Repeats that were not allowed, of those asked for.
    denied: f64,
    /// The most repeats of any window, as part of what the fleet's bound allows.
    most: f64,
}

fn limits(boxes: usize) -> RetryLimits {
    RetryLimits {
        ratio: RATIO * 0.85,
        slack: SLACK / boxes.max(20) as f64,
        fleet_slack: SLACK,
        window_ms: WINDOW_MS,
    }
}

fn play(load: Load) -> Outcome {
    let limits = limits(load.boxes);
    let mut rng = StdRng::seed_from_u64(27);
    let mut budgets = vec![RetryBudget::default(); load.boxes];
    let mut told: VecDeque<(u64, RetryCounts)> = VecDeque::new();
    let mut steps: Vec<(u32, u32)> = Vec::new();
    let (mut asked, mut denied) = (0_u32, 0_u32);
    for now_ms in (0..60_000).step_by(STEP_MS as usize) {
        let mut sum = RetryCounts::default();
        for budget in &mut budgets {
            sum.add(budget.counts(&limits, now_ms));
        }
        told.push_back((now_ms, sum));
        let is_told = |at_ms: u64| load.told_after_ms.is_some_and(|ms| at_ms + ms <= now_ms);
        while told.len() > 1 && is_told(told[1].0) {
            told.pop_front();
        }
        let heard = told.front().filter(|(at_ms, _)| is_told(*at_ms));
        let fleet = heard.map(|(_, counts)| FleetCounts {
            counts: *counts,
            received_at_ms: now_ms,
        });
        let mut step = (0, 0);
        let expected = load.requests_per_s * STEP_MS as f64 / 1_000.0;
        let arrivals = expected as u32 + u32::from(rng.random::<f64>() < expected.fract());
        for _ in 0..arrivals {
            let at = rng.random_range(0..load.boxes);
            budgets[at].count_request(&limits, now_ms);
            step.0 += 1;
            let doubt = load.doubt[usize::from(now_ms >= load.turn_ms)];
            for _ in 0..2 {
                if rng.random::<f64>() >= doubt {
                    break;
                }
                asked += 1;
                if !budgets[at].try_take(&limits, fleet.as_ref(), now_ms) {
                    denied += 1;
                    break;
                }
                step.1 += 1;
            }
        }
        steps.push(step);
    }
    let window = (WINDOW_MS / STEP_MS) as usize;
    let parts = steps.windows(window).map(|steps| {
        let requests: u32 = steps.iter().map(|s| s.0).sum();
        let repeats: u32 = steps.iter().map(|s| s.1).sum();
        f64::from(repeats) / (RATIO * f64::from(requests) + SLACK)
    });
    Outcome {
        denied: f64::from(denied) / f64::from(asked.max(1)),
        most: parts.fold(0.0, f64::max),
    }
}

/// Requests of which two in five are doubtful, as a cascade makes them.
const USUAL: Load = Load {
    boxes: 300,
    requests_per_s: 40.0,
    doubt: [0.42, 0.42],
    turn_ms: 0,
    told_after_ms: Some(1_200),
};

#[test]
fn boxes_with_few_requests_are_hardly_denied_while_the_fleet_has_room() {
    let alone = play(Load {
        told_after_ms: None,
        ..USUAL
    });
    let together = play(USUAL);
    // Without the fleet's counts more than a tenth of what is asked for is denied.
    assert!(alone.denied > 0.1, "{}", alone.denied);
    assert!(together.denied < 0.05, "{}", together.denied);
    assert!(together.most < 1.0, "{}", together.most);
}

macro_rules! surges {
    ($($name:ident: $load:expr;)*) => {$(
        #[test]
        fn $name() {
            let outcome = play($load);
            assert!(outcome.most <= 1.0, "{} of the bound", outcome.most);
        }
    )*};
}

/// From one moment on every request asks for all repeats that it may have.
const SURGE: Load = Load {
    requests_per_s: 2_000.0,
    doubt: [0.42, 1.0],
    turn_ms: 30_000,
    told_after_ms: Some(1_800),
    ..USUAL
};

surges! {
    three_hundred_boxes_keep_the_bound: SURGE;
    eighty_four_boxes_keep_the_bound: Load { boxes: 84, ..SURGE };
    eight_boxes_keep_the_bound: Load { boxes: 8, requests_per_s: 300.0, ..SURGE };
    they_keep_it_where_requests_are_rare: Load { requests_per_s: 100.0, ..SURGE };
    they_keep_it_where_all_is_doubtful_from_the_start: Load { doubt: [1.0, 1.0], ..SURGE };
    they_keep_it_where_nothing_is_doubtful_before: Load { doubt: [0.0, 1.0], ..SURGE };
    they_keep_it_where_boxes_hear_nothing: Load { told_after_ms: None, ..SURGE };
}
