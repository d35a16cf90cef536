//! Tests how many requests a whole fleet sends to an upstream that announces a rate limit, measured by the arrivals at
//! the upstream: never more than the limit allows, whatever the boxes know of each other, and most of it where there is
//! enough work.

mod common;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::rate_limit::LimitUpdate;
use ivyweir_policy::gateway::statement::{DeclaredLimit, Source, Statement};
use ivyweir_policy::gateway::upstreams::{SendRules, Upstreams};
use ivyweir_standins::edge::{Arrival, RateLimitInvariant};
use proptest::prelude::*;

use common::{Fault, FaultEvent, STEP_MS, SimBox, SimFleet, fault_events, hash};

const MAX_BACKOFF_MS: u64 = 60_000;
/// Interval at which boxes forward announced limits to each other.
const EXCHANGE_INTERVAL_MS: u64 = 250;
/// Time from which the upstream announces a limit.
const LIMIT_FROM_MS: u64 = 10_000;

/// The limit that the upstream announces over time, in requests per second.
#[derive(Debug, Clone, Copy)]
enum LimitSchedule {
    /// The same limit in every answer.
    Steady(f64),
    /// Two limits in alternation, each for the given time in milliseconds.
    Alternating(f64, f64, u64),
    /// A limit in every second answer only.
    EverySecond(f64),
    /// A limit until the given time, and none afterwards.
    Until(f64, u64),
    /// The same limit in every answer, but from the given time on all answers are lost.
    AnswersLost(f64, u64),
}

impl LimitSchedule {
    /// Whether the answers of the upstream arrive.
    fn answers_arrive(self, now_ms: u64) -> bool {
        !matches!(self, Self::AnswersLost(_, from_ms) if now_ms >= from_ms)
    }

    /// The limit in the answer to the request of this number.
    fn at(self, now_ms: u64, request_number: usize) -> Option<f64> {
        if now_ms < LIMIT_FROM_MS {
            return None;
        }
        match self {
            Self::Steady(per_s) | Self::AnswersLost(per_s, _) => Some(per_s),
            Self::Alternating(first, second, period_ms) => {
                let is_first = (now_ms / period_ms).is_multiple_of(2);
                Some(if is_first { first } else { second })
            }
            Self::EverySecond(per_s) => request_number.is_multiple_of(2).then_some(per_s),
            Self::Until(per_s, until_ms) => (now_ms < until_ms).then_some(per_s),
        }
    }
}

fn upstream() -> UpstreamRecord {
    UpstreamRecord {
        id: "u".into(),
        pool: "p".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        hall: "h".into(),
        version: "v".into(),
        slots: 8,
        is_leaving: false,
        cold_remaining_ms: 0,
        is_spot: false,
        registered_as: None,
    }
}

/// What a box knows of the upstream since the last start of the box.
struct BoxState {
    starts: u32,
    upstreams: Upstreams,
}

impl BoxState {
    fn of(sim: &SimBox) -> Self {
        let mut upstreams = Upstreams::new(hash(&sim.name()));
        upstreams.fleet().put(upstream(), 0);
        Self {
            starts: sim.starts,
            upstreams,
        }
    }

    fn apply(&mut self, statement: &Statement, now_ms: u64) {
        let id: Name = "u".into();
        self.upstreams
            .apply_statement(&id, statement, MAX_BACKOFF_MS, now_ms);
    }

    /// Sends a request if the limit allows it now, and returns whether it was sent.
    fn try_send(&mut self, sim: &SimBox, now_ms: u64) -> bool {
        let rules = SendRules {
            sharing: sim.quota_share(now_ms),
            cold_limit: None,
        };
        let id: Name = "u".into();
        self.upstreams.begin_send(&id, &rules, now_ms).is_ok()
    }
}

/// Applies the limits that another box forwards.
fn apply_updates(state: &mut BoxState, updates: &[LimitUpdate], now_ms: u64) {
    for update in updates {
        state.apply(&update.statement(), now_ms);
    }
}

/// Forwards limits among the boxes that reach each other: from all others to the first one, and from it back to them.
fn exchange_limits(fleet: &SimFleet, states: &mut [BoxState], now_ms: u64) {
    let reachable =
        |n: &usize| fleet.boxes[*n].is_running(now_ms) && !fleet.boxes[*n].is_partitioned(now_ms);
    let reachable: Vec<usize> = (0..states.len()).filter(reachable).collect();
    let Some((&relay, others)) = reachable.split_first() else {
        return;
    };
    for &n in others {
        let updates = states[n].upstreams.recent_limits(now_ms);
        apply_updates(&mut states[relay], &updates, now_ms);
    }
    let updates = states[relay].upstreams.recent_limits(now_ms);
    for &n in others {
        apply_updates(&mut states[n], &updates, now_ms);
    }
}

/// Which boxes have requests to send, and when.
#[derive(Debug, Clone, Copy)]
enum Workload {
    /// All boxes, all the time.
    All,
    /// All boxes, except between the two times.
    Pause(u64, u64),
    /// All boxes until the given time, and only the box of this number from then on.
    OnlyBox(usize, u64),
}

impl Workload {
    fn is_active(self, n: usize, now_ms: u64) -> bool {
        match self {
            Self::All => true,
            Self::Pause(from_ms, until_ms) => now_ms < from_ms || now_ms >= until_ms,
            Self::OnlyBox(only, from_ms) => now_ms < from_ms || n == only,
        }
    }
}

/// Identifies the sender of a request by its box, across restarts.
fn sender_by_box(sim: &SimBox) -> Name {
    sim.name()
}

/// Identifies the sender of a request by its box and start. After a restart, the requests of a box do not count against
/// the limit until the box receives the limit again.
fn sender_by_start(sim: &SimBox) -> Name {
    format!("{}@{}", sim.name(), sim.starts).into()
}

/// Simulates a fleet whose boxes all send to one upstream whenever they may, from [`LIMIT_FROM_MS`] on. Returns the
/// arrivals at the upstream.
fn simulate(
    boxes: usize,
    halls: usize,
    schedule: LimitSchedule,
    events: &[FaultEvent],
    until_ms: u64,
    sender: fn(&SimBox) -> Name,
) -> Vec<Arrival> {
    simulate_workload(
        boxes,
        halls,
        schedule,
        Workload::All,
        events,
        until_ms,
        sender,
    )
}

/// Like [`simulate`], with a workload in which not all boxes have requests all the time.
fn simulate_workload(
    boxes: usize,
    halls: usize,
    schedule: LimitSchedule,
    workload: Workload,
    events: &[FaultEvent],
    until_ms: u64,
    sender: fn(&SimBox) -> Name,
) -> Vec<Arrival> {
    let mut fleet = SimFleet::new(boxes, halls);
    let mut states: Vec<BoxState> = fleet.boxes.iter().map(BoxState::of).collect();
    let mut arrivals = Vec::new();
    for now_ms in (0..until_ms).step_by(STEP_MS as usize) {
        fleet.inject_faults(events, now_ms);
        for (n, state) in states.iter_mut().enumerate() {
            if !fleet.step(n, now_ms) {
                continue;
            }
            let sim = &fleet.boxes[n];
            if state.starts != sim.starts {
                *state = BoxState::of(sim);
            }
            let has_request = now_ms >= LIMIT_FROM_MS && workload.is_active(n, now_ms);
            if !has_request || !state.try_send(sim, now_ms) {
                continue;
            }
            let names_per_s = schedule.at(now_ms, arrivals.len());
            let limit = names_per_s.map(|per_s| DeclaredLimit::Per1000S((per_s * 1_000.0) as u32));
            let statement = Statement {
                limit,
                response_time_ms: Some(0),
                ..Statement::new(Source::Answer)
            };
            if schedule.answers_arrive(now_ms) {
                state.apply(&statement, now_ms);
            }
            arrivals.push(Arrival {
                at_ms: now_ms,
                sender: sender(sim),
                advertised_per_s: names_per_s,
            });
        }
        if now_ms.is_multiple_of(EXCHANGE_INTERVAL_MS) {
            exchange_limits(&fleet, &mut states, now_ms);
        }
    }
    arrivals
}

/// Without faults, a fleet of any size keeps to the limit and uses most of it, evenly over time.
macro_rules! fault_free_cases {
    ($($name:ident: $boxes:expr, $halls:expr, $per_s:expr;)*) => {$(
        #[test]
        fn $name() {
            let per_s: f64 = $per_s;
            let arrivals = simulate($boxes, $halls, LimitSchedule::Steady(per_s), &[], 42_000, sender_by_box);
            assert_eq!(RateLimitInvariant::STANDARD.check(&arrivals), Ok(()));
            let span = |from_ms: u64, for_ms: u64| {
                let within = |a: &&Arrival| a.at_ms >= from_ms && a.at_ms < from_ms + for_ms;
                arrivals.iter().filter(within).count() as f64
            };
            let used = span(18_000, 24_000) / (per_s * 24.0);
            assert!(used >= 0.8, "{used} of what is allowed");
            for from_ms in (18_000..42_000).step_by(8_000) {
                let used = span(from_ms, 8_000) / (per_s * 8.0);
                assert!(used >= 0.5, "{used} from {from_ms} ms on");
            }
        }
    )*};
}

fault_free_cases! {
    six_boxes: 6, 3, 1.1;
    nine_boxes: 9, 4, 1.1;
    nine_boxes_with_half_a_request_a_second: 9, 4, 0.5;
    nine_boxes_with_forty_a_second: 9, 4, 40.0;
    eighty_four_boxes: 84, 4, 1.1;
    eighty_four_boxes_with_forty_a_second: 84, 4, 40.0;
    three_hundred_boxes: 300, 6, 1.1;
    three_hundred_boxes_with_half_a_request_a_second: 300, 6, 0.5;
    a_thousand_boxes: 1_000, 22, 5.0;
}

/// Limits that change, are announced in some answers only, or whose answers are lost.
macro_rules! schedule_cases {
    ($($name:ident: $boxes:expr, $halls:expr, $schedule:expr;)*) => {$(
        #[test]
        fn $name() {
            let arrivals = simulate($boxes, $halls, $schedule, &[], 60_000, sender_by_box);
            assert_eq!(RateLimitInvariant::STANDARD.check(&arrivals), Ok(()));
        }
    )*};
}

schedule_cases! {
    a_limit_that_falls_and_rises: 9, 4, LimitSchedule::Alternating(5.0, 1.0, 7_000);
    a_limit_that_moves_with_each_answer: 9, 4, LimitSchedule::Alternating(1.0, 1.3, 50);
    one_that_is_named_in_half_of_the_answers: 9, 4, LimitSchedule::EverySecond(1.0);
    one_whose_answers_are_lost: 9, 4, LimitSchedule::AnswersLost(1.0, 16_000);
    one_that_takes_hardly_any_whose_answers_are_lost: 84, 4, LimitSchedule::AnswersLost(0.3, 16_000);
    the_same_before_eighty_four_boxes: 84, 4, LimitSchedule::EverySecond(2.0);
}

/// No box sends for a while, so none learns whether the limit still applies, and then all have requests at once.
macro_rules! pause_cases {
    ($($name:ident: $boxes:expr, $halls:expr, $per_s:expr, from $from_ms:expr, until $until_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let workload = Workload::Pause($from_ms, $until_ms);
            let schedule = LimitSchedule::Steady($per_s);
            let arrivals =
                simulate_workload($boxes, $halls, schedule, workload, &[], $until_ms + 10_000, sender_by_box);
            assert_eq!(RateLimitInvariant::STANDARD.check(&arrivals), Ok(()));
        }
    )*};
}

pause_cases! {
    nine_boxes_begin_again_after_a_pause: 9, 4, 1.0, from 16_000, until 40_000;
    eighty_four_boxes_do: 84, 4, 1.0, from 16_000, until 45_000;
    three_hundred_boxes_do: 300, 6, 1.0, from 14_000, until 33_300;
    three_hundred_boxes_before_one_that_takes_hardly_any: 300, 6, 0.3, from 14_000, until 33_300;
}

/// The limit ends when only one box has requests left. Whichever box that is, it detects the end.
macro_rules! single_sender_cases {
    ($($name:ident: $boxes:expr, $halls:expr, within $within_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            for only in 0..$boxes {
                let workload = Workload::OnlyBox(only, 18_000);
                let schedule = LimitSchedule::Until(1.0, 18_000);
                let until_ms = 18_000 + $within_ms;
                let arrivals = simulate_workload($boxes, $halls, schedule, workload, &[], until_ms, sender_by_box);
                let late = arrivals.iter().filter(|arrival| arrival.at_ms >= until_ms - 1_000);
                assert!(late.count() >= 15, "box {only} still limited after the limit ended");
            }
        }
    )*};
}

single_sender_cases! {
    one_box_of_three_finds_out_that_a_limit_ended: 3, 2, within 16_000;
    one_box_of_nine_does: 9, 4, within 28_000;
}

#[test]
fn all_boxes_restart_in_series_and_forget_what_they_heard() {
    let restarts = (0..24).map(|n| (16_000 + 20 * n as u64, n, Fault::Restart { after_ms: 100 }));
    let events: Vec<FaultEvent> = restarts.collect();
    let arrivals = simulate(
        24,
        4,
        LimitSchedule::Steady(1.0),
        &events,
        40_000,
        sender_by_start,
    );
    assert_eq!(RateLimitInvariant::STANDARD.check(&arrivals), Ok(()));
    let after = arrivals.iter().filter(|arrival| arrival.at_ms >= 24_000);
    assert!(after.count() >= 12, "too few requests after the restarts");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 16, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(39), ..ProptestConfig::default() })]
    #[test]
    fn no_trouble_makes_boxes_that_are_well_exceed_a_limit(
        boxes in 6_usize..40, halls in 1_usize..6, per_s in 0.2_f64..20.0, events in fault_events()
    ) {
        let events: Vec<FaultEvent> = events.into_iter().map(|(at_ms, n, trouble)| (at_ms, n % boxes, trouble)).collect();
        let arrivals = simulate(boxes, halls, LimitSchedule::Steady(per_s), &events, 60_000, sender_by_box);
        prop_assert_eq!(RateLimitInvariant::STANDARD.check(&arrivals), Ok(()));
    }
}
