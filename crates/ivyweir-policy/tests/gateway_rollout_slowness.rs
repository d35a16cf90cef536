//! Model of a pool that is rolled out to a version with slow streams or plain answers, over many seeds: slow versions are
//! rolled back and get no more requests than the bounds allow, good ones are completed in time.

use std::collections::BTreeMap;

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
const UPSTREAMS: usize = 4;
const LANES: u64 = 4;
/// Interval between events of a stream that runs alone, and its growth with each stream beside it.
const GAP_MS: f64 = 20.0;
const GAP_GROWTH: f64 = 0.1;
/// Share of the streams whose first intervals contain the prefill of another prompt.
const INTERRUPTED: f64 = 0.17;
/// Time of a plain answer, and the share of those that take several times as long.
const WORK_MS: f64 = 15.0;
const TAIL: f64 = 0.03;
/// Numbers of events of a stream.
const EVENTS: [u32; 5] = [5, 12, 30, 60, 120];
/// Time without a first event after which a caller gives up.
const PATIENCE_MS: u64 = 4_000;
/// Share of all requests that a bad version may get, and requests beyond it.
const EXPOSE_SHARE: f64 = 0.15;
const EXPOSE_SLACK: f64 = 30.0;
/// Time after this many bad answers from which the version gets no request.
const ROLLBACK_MS: u64 = 5_000;
const BAD_ANSWERS: usize = 50;
/// Good versions of the seeds that may be rolled back by chance or completed late: one in fifty, rounded up.
const GOOD_LOST: usize = 1;

/// What is slow in the new version.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Slow {
    Nothing,
    Everything,
    FirstEvent,
    Intervals,
    Lane,
}

#[derive(Debug, Clone, Copy)]
struct Load {
    requests_per_s: f64,
    duration_ms: u64,
    slow: Slow,
    /// Factor of the time of slow requests, and the share of requests that are slow.
    factor: f64,
    share: f64,
    /// When the version becomes slow.
    from_ms: u64,
    /// Share of the old version's streams that are slow by a factor of four, for the whole time.
    slow_old: f64,
    /// Factor of the requests in the second half of the roll-out.
    surge: f64,
    /// Whether answers are plain, and not streams.
    is_plain: bool,
}

const fn load(requests_per_s: f64, duration_ms: u64) -> Load {
    Load {
        requests_per_s,
        duration_ms,
        slow: Slow::Nothing,
        factor: 1.0,
        share: 0.0,
        from_ms: 0,
        slow_old: 0.0,
        surge: 1.0,
        is_plain: false,
    }
}

const fn plain(load: Load) -> Load {
    Load {
        is_plain: true,
        ..load
    }
}

const fn slow(load: Load, slow: Slow, factor: f64, share: f64) -> Load {
    Load {
        slow,
        factor,
        share,
        ..load
    }
}

/// A stream as its box sees it.
#[derive(Debug, Clone)]
struct Stream {
    sent_ms: u64,
    at_box: usize,
    side: Side,
    upstream: Name,
    lane: u64,
    running: u32,
    first_ms: f64,
    /// Mean interval over the first events, and over many.
    start_gap_ms: f64,
    long_gap_ms: f64,
    events: u32,
    is_bad: bool,
}

/// What the box of a stream learns.
#[derive(Debug, Clone, Copy)]
enum Step {
    Paced(Span, f64),
    Ended,
    GivenUp,
}

#[derive(Debug, Default)]
struct Outcome {
    completed_ms: Option<u64>,
    rolled_back_ms: Option<u64>,
    /// Requests to the new version, and all, until the end of the duration.
    new: u32,
    all: u32,
    bad_at_ms: Vec<u64>,
    last_sent_ms: u64,
}

impl Outcome {
    fn keeps_to_bounds(&self) -> bool {
        let mut bad_at_ms = self.bad_at_ms.clone();
        bad_at_ms.sort_unstable();
        let late = bad_at_ms
            .get(BAD_ANSWERS - 1)
            .is_some_and(|at_ms| self.last_sent_ms > at_ms + ROLLBACK_MS);
        f64::from(self.new) <= EXPOSE_SHARE * f64::from(self.all) + EXPOSE_SLACK && !late
    }
}

struct Model {
    load: Load,
    rng: StdRng,
    trackers: Vec<RolloutTracker>,
    /// Steps of streams that are due, by time and number.
    due: BTreeMap<(u64, u64), (Stream, Step)>,
    numbers: u64,
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
        let started = order(&load, RolloutState::Running { elapsed_ms: 0 }, 1);
        let trackers = (0..BOXES).map(|_| RolloutTracker::new(started.clone(), 0));
        Self {
            load,
            rng: StdRng::seed_from_u64(seed),
            trackers: trackers.collect(),
            due: BTreeMap::new(),
            numbers: 0,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        for now_ms in (0..3 * self.load.duration_ms).step_by(STEP_MS as usize) {
            self.send(now_ms);
            self.receive(now_ms);
            if now_ms % EXCHANGE_MS == 0 {
                self.exchange(now_ms);
            }
            for tracker in &mut self.trackers {
                tracker.tick(now_ms, false);
            }
            self.write(now_ms);
        }
        self.outcome
    }

    fn send(&mut self, now_ms: u64) {
        let is_surge = self.load.surge != 1.0 && 2 * now_ms > self.load.duration_ms;
        let factor = if is_surge { self.load.surge } else { 1.0 };
        let expected = self.load.requests_per_s * factor * STEP_MS as f64 / 1_000.0;
        let mut count = expected as u32;
        count += u32::from(self.rng.random_bool(expected.fract()));
        for _ in 0..count {
            let at_box = self.rng.random_range(0..BOXES);
            let side = self.trackers[at_box].side(self.rng.random(), now_ms);
            if now_ms < self.load.duration_ms {
                self.outcome.all += 1;
                self.outcome.new += u32::from(side == Side::New);
            }
            if side == Side::New {
                self.outcome.last_sent_ms = now_ms;
            }
            let stream = self.stream(at_box, side, now_ms, factor);
            self.schedule(stream);
        }
    }

    fn stream(&mut self, at_box: usize, side: Side, now_ms: u64, surge: f64) -> Stream {
        let is_new = side == Side::New;
        let lane = self.rng.random_range(0..LANES);
        let load = self.load;
        let is_slow = is_new
            && now_ms >= load.from_ms
            && (load.slow != Slow::Lane || lane == 0)
            && self.rng.random_bool(load.share);
        let mut factors = match load.slow {
            _ if !is_slow => (1.0, 1.0),
            Slow::Nothing => (1.0, 1.0),
            Slow::Everything | Slow::Lane => (load.factor, load.factor),
            Slow::FirstEvent => (load.factor, 1.0),
            Slow::Intervals => (1.0, load.factor),
        };
        if !is_new && self.rng.random_bool(load.slow_old) {
            factors = (4.0, 4.0);
        }
        let most = if is_new { 4 } else { 8 };
        let running = (f64::from(self.rng.random_range(1..=most)) * surge) as u32;
        let noise = |rng: &mut StdRng| rng.random_range(0.85..1.25);
        let gap_ms = GAP_MS * (1.0 + GAP_GROWTH * f64::from(running));
        let long_gap_ms = gap_ms * noise(&mut self.rng) * factors.1;
        let is_interrupted = self.rng.random_bool(INTERRUPTED);
        let interruption = if is_interrupted {
            self.rng.random_range(2.0..5.0)
        } else {
            1.0
        };
        let tokens = self.rng.random_range(0.5..4.0);
        let events = EVENTS[self.rng.random_range(0..EVENTS.len())];
        Stream {
            sent_ms: now_ms,
            at_box,
            side,
            upstream: format!("{side:?}-{}", self.rng.random_range(0..UPSTREAMS)).into(),
            lane,
            running,
            first_ms: 60.0 * tokens * noise(&mut self.rng) * factors.0,
            start_gap_ms: long_gap_ms * interruption,
            long_gap_ms,
            events,
            is_bad: is_slow,
        }
    }

    /// Lets a plain answer come, with the time of its request.
    fn answer(&mut self, stream: &Stream, factor: f64) {
        let is_in_tail = self.rng.random_bool(TAIL);
        let tail = if is_in_tail { 5.0 } else { 1.0 };
        let work_ms = WORK_MS * self.rng.random_range(0.5..1.8) * tail * factor;
        if stream.is_bad {
            let at_ms = stream.sent_ms + work_ms as u64;
            self.outcome.bad_at_ms.push(at_ms);
        }
        self.put(stream, work_ms, Step::Paced(Span::Whole, work_ms));
        self.put(stream, work_ms, Step::Ended);
    }

    fn schedule(&mut self, stream: Stream) {
        if self.load.is_plain {
            let factor = if stream.is_bad { self.load.factor } else { 1.0 };
            self.answer(&stream, factor);
            return;
        }
        if stream.first_ms > PATIENCE_MS as f64 {
            self.put(&stream, PATIENCE_MS as f64, Step::GivenUp);
            return;
        }
        if stream.is_bad {
            let at_ms = stream.sent_ms + stream.first_ms as u64;
            self.outcome.bad_at_ms.push(at_ms);
        }
        let time_ms = |events: u32| {
            let early = events.min(7) - 1;
            let late = events.saturating_sub(7);
            stream.first_ms
                + f64::from(early) * stream.start_gap_ms
                + f64::from(late) * stream.long_gap_ms
        };
        let pace_ms = |events: u32| (time_ms(events) - stream.first_ms) / f64::from(events - 1);
        for (events, span) in [(7, Span::Start), (24, Span::Long)] {
            if stream.events >= events {
                let step = Step::Paced(span, pace_ms(events));
                self.put(&stream, time_ms(events), step);
            }
        }
        if stream.events < 7 {
            let step = Step::Paced(Span::Start, pace_ms(stream.events));
            self.put(&stream, time_ms(stream.events), step);
        }
        self.put(&stream, time_ms(stream.events), Step::Ended);
    }

    fn put(&mut self, stream: &Stream, after_ms: f64, step: Step) {
        self.numbers += 1;
        let at = (stream.sent_ms + after_ms as u64, self.numbers);
        self.due.insert(at, (stream.clone(), step));
    }

    fn receive(&mut self, now_ms: u64) {
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > now_ms {
                break;
            }
            let (stream, step) = entry.remove();
            let (pace_ms, span) = match step {
                Step::Paced(span, pace_ms) => (Some(pace_ms), span),
                Step::Ended => (None, Span::Whole),
                Step::GivenUp => continue,
            };
            let sample = AnswerSample {
                upstream: &stream.upstream,
                failed: false,
                is_final: pace_ms.is_none(),
                lane: stream.lane,
                pace_ms,
                span,
                age_ms: now_ms - stream.sent_ms,
                running: stream.running,
                queue: 0.0,
            };
            self.trackers[stream.at_box].record_answer(stream.side, &sample, now_ms);
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
    let outcomes: Vec<Outcome> = (0..SEEDS)
        .map(|seed| Model::new(load, seed).run())
        .collect();
    let completed = outcomes.iter().filter(|o| o.completed_ms.is_some()).count();
    let by_ms = |at: Option<u64>| at.is_some_and(|at_ms| at_ms <= load.duration_ms);
    let in_time = |f: fn(&Outcome) -> Option<u64>| outcomes.iter().filter(|o| by_ms(f(o))).count();
    println!(
        "completed {completed} (in time {}), rolled back in time {}, beyond bounds {}, of {SEEDS}; new {:?}",
        in_time(|o| o.completed_ms),
        in_time(|o| o.rolled_back_ms),
        outcomes.iter().filter(|o| !o.keeps_to_bounds()).count(),
        outcomes.iter().map(|o| o.new).max(),
    );
    outcomes
}

macro_rules! good {
    ($($name:ident: $load:expr;)*) => {$(
        /// Guards against a good version that is rolled back, or completed late.
        #[test]
        fn $name() {
            let load: Load = $load;
            let is_lost = |o: &&Outcome| o.completed_ms.is_none_or(|at_ms| at_ms > load.duration_ms);
            let lost = outcomes(load).iter().filter(is_lost).count();
            assert!(lost <= GOOD_LOST, "{lost} of {SEEDS}");
        }
    )*};
}

good! {
    a_good_version_is_completed: load(50.0, 16_000);
    a_good_version_is_completed_in_a_short_roll_out: load(50.0, 9_000);
    a_good_version_is_completed_at_moderate_load: load(25.0, 15_000);
    a_good_version_is_completed_under_high_load: load(300.0, 16_000);
    a_good_version_with_little_traffic_is_completed: load(5.0, 16_000);
    a_good_version_with_hardly_any_traffic_is_completed: load(0.5, 16_000);
    a_good_version_beside_slow_upstreams_is_completed: Load { slow_old: 0.2, ..load(50.0, 16_000) };
    a_good_version_in_a_surge_is_completed: Load { surge: 2.0, ..load(50.0, 16_000) };
    a_good_plain_version_is_completed: plain(load(35.0, 15_000));
    a_good_plain_version_is_completed_in_a_short_roll_out: plain(load(35.0, 8_000));
    a_good_plain_version_with_little_traffic_is_completed: plain(load(5.0, 16_000));
    a_good_plain_version_with_hardly_any_traffic_is_completed: plain(load(0.5, 16_000));
}

macro_rules! bad {
    ($($name:ident: $load:expr;)*) => {$(
        /// Guards against a slow version that is completed, or gets more requests than the bounds allow.
        #[test]
        fn $name() {
            let outcomes = outcomes($load);
            let is_kept = |o: &&Outcome| o.completed_ms.is_some() || !o.keeps_to_bounds();
            let kept = outcomes.iter().filter(is_kept).count();
            assert_eq!(kept, 0, "of {SEEDS}");
        }
    )*};
}

bad! {
    a_version_slow_by_3_is_rolled_back: slow(load(50.0, 16_000), Slow::Everything, 3.0, 1.0);
    a_version_slow_by_4_for_half_is_rolled_back: slow(load(50.0, 16_000), Slow::Everything, 4.0, 0.5);
    a_version_slow_by_8_for_half_is_rolled_back: slow(load(50.0, 16_000), Slow::Everything, 8.0, 0.5);
    a_version_slow_by_16_for_half_is_rolled_back: slow(load(50.0, 16_000), Slow::Everything, 16.0, 0.5);
    a_version_slow_by_8_for_all_is_rolled_back: slow(load(50.0, 16_000), Slow::Everything, 8.0, 1.0);
    a_version_slow_by_8_for_a_fifth_is_rolled_back: slow(load(50.0, 16_000), Slow::Everything, 8.0, 0.2);
    a_version_slow_by_8_on_one_lane_is_rolled_back: slow(load(50.0, 16_000), Slow::Lane, 8.0, 1.0);
    a_version_with_a_slow_first_event_is_rolled_back: slow(load(50.0, 16_000), Slow::FirstEvent, 8.0, 1.0);
    a_version_with_slow_intervals_is_rolled_back: slow(load(50.0, 16_000), Slow::Intervals, 8.0, 0.5);
    a_version_that_turns_slow_is_rolled_back: Load { from_ms: 12_000, ..slow(load(50.0, 16_000), Slow::Everything, 8.0, 0.5) };
    a_slow_version_is_rolled_back_in_a_short_roll_out: slow(load(50.0, 9_000), Slow::Everything, 8.0, 0.5);
    a_slow_version_is_rolled_back_at_moderate_load: slow(load(25.0, 15_000), Slow::Everything, 8.0, 0.5);
    a_slow_version_is_rolled_back_under_high_load: slow(load(300.0, 16_000), Slow::Everything, 8.0, 0.5);
    a_slow_version_with_little_traffic_is_rolled_back: slow(load(5.0, 16_000), Slow::Everything, 8.0, 0.5);
    a_slow_version_beside_slow_upstreams_is_rolled_back: Load { slow_old: 0.2, ..slow(load(50.0, 16_000), Slow::Everything, 8.0, 0.5) };
    a_slow_plain_version_is_rolled_back: plain(slow(load(35.0, 15_000), Slow::Everything, 8.0, 0.5));
    a_plain_version_slow_by_4_is_rolled_back: plain(slow(load(35.0, 15_000), Slow::Everything, 4.0, 0.5));
    a_slow_plain_version_is_rolled_back_in_a_short_roll_out: plain(slow(load(35.0, 8_000), Slow::Everything, 8.0, 0.5));
    a_slow_plain_version_with_little_traffic_is_rolled_back: plain(slow(load(5.0, 16_000), Slow::Everything, 8.0, 0.5));
    a_slow_plain_version_with_moderate_traffic_is_rolled_back: plain(slow(load(12.0, 12_000), Slow::Everything, 8.0, 0.5));
    a_plain_version_that_turns_slow_is_rolled_back: plain(Load { from_ms: 13_000, ..slow(load(35.0, 15_000), Slow::Everything, 8.0, 0.5) });
    a_slow_version_in_a_surge_is_rolled_back: Load { surge: 2.0, ..slow(load(50.0, 16_000), Slow::Everything, 8.0, 0.5) };
}
