//! Model of boxes that roll a version out, over many seeds: good versions complete in time where they can be judged, and
//! bad ones do not get more requests than the bound allows.

use std::collections::VecDeque;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::canary::{AnswerSample, Span, Tally, add_tally};
use ivyweir_policy::gateway::rollout::{
    RolloutDuty, RolloutOrder, RolloutState, RolloutTracker, Side,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const BOXES: usize = 3;
const SEEDS: u64 = 40;
const STEP_MS: u64 = 50;
const EXCHANGE_MS: u64 = 300;
const UPSTREAMS: usize = 6;
const LANES: u64 = 4;
/// Time for which a box serves after it lost the store.
const PROOF_MS: u64 = 1_900;
/// Share of all requests that a bad version may get, and requests beyond it.
const EXPOSE_SHARE: f64 = 0.15;
const EXPOSE_SLACK: f64 = 30.0;

/// What is wrong with the new version.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// This share of its answers fails.
    Fails(f64),
    /// This share fails on one lane.
    FailsOnLane(f64),
}

#[derive(Debug, Clone, Copy)]
struct Load {
    requests_per_s: f64,
    duration_ms: u64,
    answer_ms: u64,
    fault: Fault,
    /// Start and length of an outage of the store; a random start if it is `None`.
    outage: Option<(Option<u64>, u64)>,
}

struct Answer {
    due_ms: u64,
    sent_ms: u64,
    at_box: usize,
    side: Side,
    upstream: Name,
    lane: u64,
    failed: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    completed_ms: Option<u64>,
    rolled_back_ms: Option<u64>,
    /// Requests to the new version, and all, until the end of the duration.
    new: u32,
    all: u32,
}

struct Model {
    load: Load,
    rng: StdRng,
    trackers: Vec<RolloutTracker>,
    answers: VecDeque<Answer>,
    outage: (u64, u64),
    outcome: Outcome,
}

fn order(load: &Load, state: RolloutState, revision: u64) -> RolloutOrder {
    RolloutOrder {
        pool: "pool".into(),
        target_version: "v2".into(),
        duration_ms: load.duration_ms,
        state,
        revision,
        era: 0,
    }
}

impl Model {
    fn new(load: Load, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let outage = load.outage.map_or((0, 0), |(start, length_ms)| {
            let start = start.unwrap_or_else(|| rng.random_range(0..load.duration_ms));
            (start, start + length_ms)
        });
        let started = order(&load, RolloutState::Running { elapsed_ms: 0 }, 1);
        let trackers = (0..BOXES).map(|_| RolloutTracker::new(started.clone(), 0));
        Self {
            load,
            rng,
            trackers: trackers.collect(),
            answers: VecDeque::new(),
            outage,
            outcome: Outcome::default(),
        }
    }

    fn is_out(&self, now_ms: u64) -> bool {
        (self.outage.0..self.outage.1).contains(&now_ms)
    }

    fn is_blind(&self, now_ms: u64) -> bool {
        self.is_out(now_ms) && now_ms >= self.outage.0 + PROOF_MS
    }

    fn run(mut self) -> Outcome {
        let end_ms = 3 * self.load.duration_ms + self.outage.1;
        for now_ms in (0..end_ms).step_by(STEP_MS as usize) {
            self.send(now_ms);
            self.receive(now_ms);
            if now_ms % EXCHANGE_MS == 0 {
                self.exchange(now_ms);
            }
            let is_blind = self.is_blind(now_ms);
            for tracker in &mut self.trackers {
                tracker.tick(now_ms, is_blind);
            }
            if !self.is_out(now_ms) {
                self.write(now_ms);
            }
        }
        self.outcome
    }

    fn send(&mut self, now_ms: u64) {
        let expected = self.load.requests_per_s * STEP_MS as f64 / 1_000.0;
        let mut count = expected as u32;
        count += u32::from(self.rng.random_bool(expected.fract()));
        for _ in 0..count {
            let at_box = self.rng.random_range(0..BOXES);
            let side = self.trackers[at_box].side(self.rng.random(), now_ms);
            let lane = self.rng.random_range(0..LANES);
            if self.is_blind(now_ms) {
                continue;
            }
            let is_new = side == Side::New;
            if now_ms < self.load.duration_ms {
                self.outcome.all += 1;
                self.outcome.new += u32::from(is_new);
            }
            let failure_rate = match self.load.fault {
                Fault::Fails(rate) if is_new => rate,
                Fault::FailsOnLane(rate) if is_new && lane == 0 => rate,
                _ => 0.0,
            };
            let number = self.rng.random_range(0..UPSTREAMS);
            self.answers.push_back(Answer {
                due_ms: now_ms + self.load.answer_ms,
                sent_ms: now_ms,
                at_box,
                side,
                upstream: format!("{side:?}-{number}").into(),
                lane,
                failed: self.rng.random_bool(failure_rate),
            });
        }
    }

    fn receive(&mut self, now_ms: u64) {
        while self
            .answers
            .front()
            .is_some_and(|answer| answer.due_ms <= now_ms)
        {
            let answer = self.answers.pop_front().expect("there is a first one");
            let sample = AnswerSample {
                upstream: &answer.upstream,
                failed: answer.failed,
                is_final: true,
                lane: answer.lane,
                pace_ms: None,
                span: Span::Whole,
                age_ms: now_ms - answer.sent_ms,
                running: 0,
                queue: 0.0,
            };
            self.trackers[answer.at_box].record_answer(answer.side, &sample, now_ms);
        }
    }

    fn exchange(&mut self, now_ms: u64) {
        let tallies: Vec<Tally> = self
            .trackers
            .iter()
            .map(RolloutTracker::local_tally)
            .collect();
        for (number, tracker) in self.trackers.iter_mut().enumerate() {
            let mut others = Tally::new();
            for (_, tally) in tallies.iter().enumerate().filter(|(n, _)| *n != number) {
                add_tally(&mut others, tally);
            }
            tracker.set_remote_tally(others, now_ms);
        }
    }

    /// Lets the first box that has to write the end of the roll-out.
    fn write(&mut self, now_ms: u64) {
        let duties: Vec<RolloutDuty> = self.trackers.iter().map(|t| t.duty(now_ms)).collect();
        let state = if duties.contains(&RolloutDuty::RollBack) {
            self.outcome.rolled_back_ms = Some(now_ms);
            RolloutState::RolledBack
        } else if duties.contains(&RolloutDuty::Complete) {
            self.outcome.completed_ms = Some(now_ms);
            RolloutState::Completed
        } else {
            return;
        };
        let written = order(&self.load, state, 2);
        for tracker in &mut self.trackers {
            tracker.update(written.clone(), now_ms);
        }
    }
}

fn outcomes(load: Load) -> Vec<Outcome> {
    (0..SEEDS)
        .map(|seed| Model::new(load, seed).run())
        .collect()
}

/// Rate of requests, duration of the roll-out, and time to an answer.
const fn load(requests_per_s: f64, duration_ms: u64, answer_ms: u64) -> Load {
    Load {
        requests_per_s,
        duration_ms,
        answer_ms,
        fault: Fault::None,
        outage: None,
    }
}

const OUTAGE_MS: u64 = 8_000;

/// Adds an outage of the store that begins at a random moment.
const fn with_outage(load: Load) -> Load {
    Load {
        outage: Some((None, OUTAGE_MS)),
        ..load
    }
}

macro_rules! good {
    ($($name:ident: $load:expr, late by $late_ms:expr;)*) => {$(
        /// Guards against a good version that is not completed in time though it can be judged.
        #[test]
        fn $name() {
            let load: Load = $load;
            let outcomes = outcomes(load);
            let in_time = |outcome: &&Outcome| {
                let limit_ms = load.duration_ms + $late_ms;
                outcome.completed_ms.is_some_and(|at_ms| at_ms <= limit_ms)
            };
            let count = outcomes.iter().filter(in_time).count();
            assert_eq!(count, outcomes.len(), "{outcomes:?}");
        }
    )*};
}

good! {
    a_good_version_completes_in_time: load(50.0, 16_000, 100), late by 0;
    a_good_version_completes_in_time_in_a_short_roll_out: load(50.0, 9_000, 100), late by 0;
    a_good_version_completes_in_time_under_high_load: load(800.0, 16_000, 100), late by 0;
    a_good_version_with_little_traffic_completes_in_time: load(5.0, 16_000, 100), late by 0;
    a_good_version_with_hardly_any_traffic_completes_in_time: load(0.5, 16_000, 100), late by 0;
    a_good_version_without_traffic_completes_in_time: load(0.0, 16_000, 100), late by 0;
    a_good_version_with_slow_answers_completes: load(50.0, 16_000, 2_000), late by 2_000;
    a_good_version_completes_behind_an_outage: with_outage(load(50.0, 16_000, 100)), late by OUTAGE_MS;
    a_good_version_with_little_traffic_completes_behind_an_outage: with_outage(load(5.0, 16_000, 100)), late by OUTAGE_MS;
}

macro_rules! bad {
    ($($name:ident: $load:expr, $fault:expr, completed at most $completed:expr;)*) => {$(
        /// Guards against a bad version that gets more requests than the bound allows, or that is completed.
        #[test]
        fn $name() {
            let load = Load { fault: $fault, ..$load };
            let outcomes = outcomes(load);
            for outcome in &outcomes {
                let bound = EXPOSE_SHARE * f64::from(outcome.all) + EXPOSE_SLACK;
                assert!(f64::from(outcome.new) <= bound, "{outcome:?}");
            }
            let completed = outcomes.iter().filter(|outcome| outcome.completed_ms.is_some());
            let completed = completed.count();
            assert!(completed <= $completed, "{completed} of {} completed", outcomes.len());
        }
    )*};
}

bad! {
    a_bad_version_is_rolled_back: load(50.0, 16_000, 100), Fault::Fails(0.5), completed at most 0;
    a_bad_version_is_rolled_back_in_a_short_roll_out: load(50.0, 9_000, 100), Fault::Fails(0.5), completed at most 0;
    a_bad_version_is_rolled_back_under_high_load: load(800.0, 16_000, 100), Fault::Fails(0.5), completed at most 0;
    a_version_bad_on_one_lane_is_rolled_back: load(100.0, 16_000, 100), Fault::FailsOnLane(0.9), completed at most 0;
    a_bad_version_with_slow_answers_is_rolled_back: load(50.0, 16_000, 2_000), Fault::Fails(0.5), completed at most 0;
    a_bad_version_is_rolled_back_behind_an_outage: with_outage(load(50.0, 16_000, 100)), Fault::Fails(0.5), completed at most 0;
    a_bad_version_is_rolled_back_behind_an_outage_of_a_short_roll_out: with_outage(load(50.0, 9_000, 100)), Fault::Fails(0.5), completed at most 0;
    a_bad_version_is_rolled_back_behind_an_outage_under_high_load: with_outage(load(400.0, 9_000, 100)), Fault::Fails(0.5), completed at most 0;
    a_bad_version_with_little_traffic_keeps_to_the_bound: load(5.0, 16_000, 100), Fault::Fails(1.0), completed at most 0;
}
