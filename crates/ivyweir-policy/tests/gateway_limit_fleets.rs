//! What whole fleets send to an upstream that names a limit, judged by what reaches it: never more than is allowed,
//! whatever boxes know of each other, and most of it where there is work enough.

mod common;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::rate_limit::LimitUpdate;
use ivyweir_policy::gateway::statement::{DeclaredLimit, Source, Statement};
use ivyweir_policy::gateway::upstreams::{SendRules, Upstreams};
use ivyweir_standins::edge::{Arrival, RateLimitInvariant};
use proptest::prelude::*;

use common::{Event, STEP_MS, SimBox, SimFleet, Trouble, hash, troubles};

const MAX_BACKOFF_MS: u64 = 60_000;
/// How often boxes tell each other what they heard.
const ROUND_MS: u64 = 250;
/// When the upstream begins to name a limit.
const NAMED_AT_MS: u64 = 10_000;

/// What the upstream names over time.
#[derive(Debug, Clone, Copy)]
enum Naming {
    /// The same in every answer.
    Steady(f64),
    /// One limit and another one by turns, each for some time.
    Turns(f64, f64, u64),
    /// In every second answer only.
    Half(f64),
    /// Until that time, and none afterwards.
    Until(f64, u64),
    /// The same in every answer, none of which arrives from that time on.
    Unheard(f64, u64),
}

impl Naming {
    /// Whether its answers arrive.
    fn is_heard(self, now_ms: u64) -> bool {
        !matches!(self, Self::Unheard(_, from_ms) if now_ms >= from_ms)
    }

    /// What the answer to its request of this number names.
    fn at(self, now_ms: u64, number: usize) -> Option<f64> {
        if now_ms < NAMED_AT_MS {
            return None;
        }
        match self {
            Self::Steady(per_s) | Self::Unheard(per_s, _) => Some(per_s),
            Self::Turns(first, second, turn_ms) => {
                let is_first = (now_ms / turn_ms).is_multiple_of(2);
                Some(if is_first { first } else { second })
            }
            Self::Half(per_s) => number.is_multiple_of(2).then_some(per_s),
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

/// A box's own knowledge of the upstream, from its last start on.
struct Own {
    starts: u32,
    upstreams: Upstreams,
}

impl Own {
    fn of(sim: &SimBox) -> Self {
        let mut upstreams = Upstreams::new(hash(&sim.name()));
        upstreams.fleet().put(upstream(), 0);
        Self {
            starts: sim.starts,
            upstreams,
        }
    }

    fn hear(&mut self, statement: &Statement, now_ms: u64) {
        let id: Name = "u".into();
        self.upstreams
            .apply_statement(&id, statement, MAX_BACKOFF_MS, now_ms);
    }

    /// Sends a request if it may go now.
    fn send(&mut self, sim: &SimBox, now_ms: u64) -> bool {
        let rules = SendRules {
            sharing: sim.sharing(now_ms),
            cold_limit: None,
        };
        let id: Name = "u".into();
        self.upstreams.begin_send(&id, &rules, now_ms).is_ok()
    }
}

/// Takes in what another box knows.
fn take(own: &mut Own, told: &[LimitUpdate], now_ms: u64) {
    for told in told {
        own.hear(&told.statement(), now_ms);
    }
}

/// Boxes that reach each other tell the first of them what they know, and hear from it what others do.
fn exchange(fleet: &SimFleet, owns: &mut [Own], now_ms: u64) {
    let reached = |n: &usize| fleet.boxes[*n].lives(now_ms) && !fleet.boxes[*n].is_cut(now_ms);
    let reached: Vec<usize> = (0..owns.len()).filter(reached).collect();
    let Some((&relay, others)) = reached.split_first() else {
        return;
    };
    for &n in others {
        let told = owns[n].upstreams.recent_limits(now_ms);
        take(&mut owns[relay], &told, now_ms);
    }
    let told = owns[relay].upstreams.recent_limits(now_ms);
    for &n in others {
        take(&mut owns[n], &told, now_ms);
    }
}

/// Which boxes have work, and when.
#[derive(Debug, Clone, Copy)]
enum Work {
    /// All of them, all the time.
    All,
    /// All of them, but for a span without any.
    Pause(u64, u64),
    /// From the second time on, only the box of this number.
    Only(usize, u64),
}

impl Work {
    fn has(self, n: usize, now_ms: u64) -> bool {
        match self {
            Self::All => true,
            Self::Pause(from_ms, until_ms) => now_ms < from_ms || now_ms >= until_ms,
            Self::Only(only, from_ms) => now_ms < from_ms || n == only,
        }
    }
}

/// The sender of a request: a box, whatever happened to it meanwhile.
fn by_box(sim: &SimBox) -> Name {
    sim.name()
}

/// The sender of a request: a box from one start to the next. A restart excuses a box until it is told again.
fn by_start(sim: &SimBox) -> Name {
    format!("{}@{}", sim.name(), sim.starts).into()
}

/// Plays a fleet all of whose boxes send to one upstream whenever they may, once it names a limit; what reaches it.
fn play(
    boxes: usize,
    halls: usize,
    naming: Naming,
    events: &[Event],
    until_ms: u64,
    sender: fn(&SimBox) -> Name,
) -> Vec<Arrival> {
    play_work(boxes, halls, naming, Work::All, events, until_ms, sender)
}

/// The same, where not all boxes have work all the time.
fn play_work(
    boxes: usize,
    halls: usize,
    naming: Naming,
    work: Work,
    events: &[Event],
    until_ms: u64,
    sender: fn(&SimBox) -> Name,
) -> Vec<Arrival> {
    let mut fleet = SimFleet::new(boxes, halls);
    let mut owns: Vec<Own> = fleet.boxes.iter().map(Own::of).collect();
    let mut arrivals = Vec::new();
    for now_ms in (0..until_ms).step_by(STEP_MS as usize) {
        fleet.trouble(events, now_ms);
        for (n, own) in owns.iter_mut().enumerate() {
            if !fleet.step(n, now_ms) {
                continue;
            }
            let sim = &fleet.boxes[n];
            if own.starts != sim.starts {
                *own = Own::of(sim);
            }
            let has_work = now_ms >= NAMED_AT_MS && work.has(n, now_ms);
            if !has_work || !own.send(sim, now_ms) {
                continue;
            }
            let names_per_s = naming.at(now_ms, arrivals.len());
            let limit = names_per_s.map(|per_s| DeclaredLimit::Per1000S((per_s * 1_000.0) as u32));
            let statement = Statement {
                limit,
                response_time_ms: Some(0),
                ..Statement::new(Source::Answer)
            };
            if naming.is_heard(now_ms) {
                own.hear(&statement, now_ms);
            }
            arrivals.push(Arrival {
                at_ms: now_ms,
                sender: sender(sim),
                advertised_per_s: names_per_s,
            });
        }
        if now_ms.is_multiple_of(ROUND_MS) {
            exchange(&fleet, &mut owns, now_ms);
        }
    }
    arrivals
}

/// In calm, a limit is kept to and used at each size, evenly over time.
macro_rules! calm {
    ($($name:ident: $boxes:expr, $halls:expr, $per_s:expr;)*) => {$(
        #[test]
        fn $name() {
            let per_s: f64 = $per_s;
            let arrivals = play($boxes, $halls, Naming::Steady(per_s), &[], 42_000, by_box);
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

calm! {
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

/// Limits that change, or are named in some answers only.
macro_rules! changing {
    ($($name:ident: $boxes:expr, $halls:expr, $naming:expr;)*) => {$(
        #[test]
        fn $name() {
            let arrivals = play($boxes, $halls, $naming, &[], 60_000, by_box);
            assert_eq!(RateLimitInvariant::STANDARD.check(&arrivals), Ok(()));
        }
    )*};
}

changing! {
    a_limit_that_falls_and_rises: 9, 4, Naming::Turns(5.0, 1.0, 7_000);
    a_limit_that_moves_with_each_answer: 9, 4, Naming::Turns(1.0, 1.3, 50);
    one_that_is_named_in_half_of_the_answers: 9, 4, Naming::Half(1.0);
    one_whose_answers_are_lost: 9, 4, Naming::Unheard(1.0, 16_000);
    one_that_takes_hardly_any_whose_answers_are_lost: 84, 4, Naming::Unheard(0.3, 16_000);
    the_same_before_eighty_four_boxes: 84, 4, Naming::Half(2.0);
}

/// Nothing is sent for a while, so nobody hears whether the limit stands, and then all boxes have work at once.
macro_rules! pauses {
    ($($name:ident: $boxes:expr, $halls:expr, $per_s:expr, from $from_ms:expr, until $until_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let work = Work::Pause($from_ms, $until_ms);
            let naming = Naming::Steady($per_s);
            let arrivals = play_work($boxes, $halls, naming, work, &[], $until_ms + 10_000, by_box);
            assert_eq!(RateLimitInvariant::STANDARD.check(&arrivals), Ok(()));
        }
    )*};
}

pauses! {
    nine_boxes_begin_again_after_a_pause: 9, 4, 1.0, from 16_000, until 40_000;
    eighty_four_boxes_do: 84, 4, 1.0, from 16_000, until 45_000;
    three_hundred_boxes_do: 300, 6, 1.0, from 14_000, until 33_300;
    three_hundred_boxes_before_one_that_takes_hardly_any: 300, 6, 0.3, from 14_000, until 33_300;
}

/// The limit ends, and no box but one has work; whichever that is, it finds out.
macro_rules! lonely {
    ($($name:ident: $boxes:expr, $halls:expr, within $within_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            for only in 0..$boxes {
                let work = Work::Only(only, 18_000);
                let naming = Naming::Until(1.0, 18_000);
                let until_ms = 18_000 + $within_ms;
                let arrivals = play_work($boxes, $halls, naming, work, &[], until_ms, by_box);
                let late = arrivals.iter().filter(|arrival| arrival.at_ms >= until_ms - 1_000);
                assert!(late.count() >= 15, "box {only} sends freely");
            }
        }
    )*};
}

lonely! {
    one_box_of_three_finds_out_that_a_limit_ended: 3, 2, within 16_000;
    one_box_of_nine_does: 9, 4, within 28_000;
}

#[test]
fn all_boxes_restart_in_series_and_forget_what_they_heard() {
    let restarts = (0..24).map(|n| {
        (
            16_000 + 20 * n as u64,
            n,
            Trouble::Restart { after_ms: 100 },
        )
    });
    let events: Vec<Event> = restarts.collect();
    let arrivals = play(24, 4, Naming::Steady(1.0), &events, 40_000, by_start);
    assert_eq!(RateLimitInvariant::STANDARD.check(&arrivals), Ok(()));
    let after = arrivals.iter().filter(|arrival| arrival.at_ms >= 24_000);
    assert!(after.count() >= 12, "they send again");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 16, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(39), ..ProptestConfig::default() })]
    #[test]
    fn no_trouble_makes_boxes_that_are_well_exceed_a_limit(
        boxes in 6_usize..40, halls in 1_usize..6, per_s in 0.2_f64..20.0, events in troubles()
    ) {
        let events: Vec<Event> = events.into_iter().map(|(at_ms, n, trouble)| (at_ms, n % boxes, trouble)).collect();
        let arrivals = play(boxes, halls, Naming::Steady(per_s), &events, 60_000, by_box);
        prop_assert_eq!(RateLimitInvariant::STANDARD.check(&arrivals), Ok(()));
    }
}
