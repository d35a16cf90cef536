//! A random soak of planned stops: boxes are stopped in series and at the same time, told to stop again and to reload
//! while they do, paused, and started again, while upstreams, routes and their times change. No request that ran is left
//! without a whole answer, no unsafe one runs twice, and each process ends in order within its grace.
//!
//! `IVYWEIR_SOAK_SEED` chooses what is drawn, `IVYWEIR_SOAK_STEPS` the number of steps and `IVYWEIR_SOAK_BOXES` the number
//! of boxes; `IVYWEIR_SOAK_BINARY` names another daemon. Callers' timing is not replayed.

mod common;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::soak::{Boxes, seed_and_steps};
use common::steady_callers::{Callers, Outcome, ids, judge};
use ivyweir_standins::edge::{KEY, ScriptedUpstream, UpstreamAction, eventually, site_config};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

const CI_SEED: u64 = 84;
const CI_STEPS: u32 = 40;
const CI_BOXES: usize = 3;
const PATHS: [&str; 3] = ["/unsafe/x", "/safe/x", "/stream/x"];
/// Time since the order to stop up to which a request may be sent that is cut while its upstream still sends its answer.
const LAST_SENT: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What happens in a step.
#[derive(Debug, Clone, Copy)]
enum Step {
    Stop,
    StopAgain,
    Reload,
    Pause,
    ChangeSite,
    ChangeWork,
    Leave,
    Join,
}

/// Stops are as frequent as all other steps.
const STEPS: [Step; 10] = [
    Step::Stop,
    Step::Stop,
    Step::Stop,
    Step::StopAgain,
    Step::Reload,
    Step::Pause,
    Step::ChangeSite,
    Step::ChangeWork,
    Step::Leave,
    Step::Join,
];

struct Soak {
    boxes: Boxes,
    random: StdRng,
    grace: Duration,
    site_version: u64,
    upstreams: Vec<ScriptedUpstream>,
    /// When boxes were told to stop that have not ended.
    stopping: HashMap<usize, Instant>,
    /// All boxes that were told to stop, and when.
    stops: Vec<(usize, Instant)>,
}

impl Soak {
    fn start(seed: u64, count: usize) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let grace_s = random.random_range(2..=8);
        println!("seed {seed}, {count} boxes, grace of {grace_s} s");
        let halls = ["hall-a", "hall-b"].into_iter().cycle().take(count);
        let halls: Vec<&'static str> = halls.collect();
        let mut boxes = Boxes::new("stop", seed, halls.leak());
        boxes.town.stop_grace_s = grace_s;
        let upstreams: Vec<ScriptedUpstream> = (0..3)
            .flat_map(|n| ["engines", "services"].map(|pool| (n, pool)))
            .map(|(n, pool)| {
                ScriptedUpstream::start_on_own_ip(&format!("{pool}-sound-{n}"), pool, "v1")
            })
            .collect();
        for upstream in &upstreams {
            boxes.town.store.put_upstream(&upstream.record());
        }
        boxes.town.store.put_site(&site_config(2, &[KEY]));
        let mut soak = Self {
            boxes,
            random,
            grace: Duration::from_secs(grace_s),
            site_version: 2,
            upstreams,
            stopping: HashMap::new(),
            stops: Vec::new(),
        };
        (0..soak.upstreams.len()).for_each(|number| soak.draw_work(number));
        soak.boxes.start_all();
        soak
    }

    /// Callers of each path of each box, with the number of the box.
    fn start_callers(&self) -> Vec<(usize, Callers)> {
        let start = |number: usize, path: &'static str| {
            let addrs = self.boxes.addrs.clone();
            let addr = move || addrs.lock().expect("no panic")[number];
            let name = format!("box-{number}{}", path.replace('/', "-"));
            (number, Callers::start(addr, path, &name))
        };
        let numbers = 0..self.boxes.town.boxes.len();
        numbers
            .flat_map(|number| PATHS.map(|path| start(number, path)))
            .collect()
    }

    /// Draws how long an upstream takes for its requests.
    fn draw_work(&mut self, number: usize) {
        let upstream = &self.upstreams[number];
        let action = if &*upstream.record().pool == "engines" {
            UpstreamAction::Stream {
                events: self.random.random_range(2..80),
                gap_ms: 10,
                truncate_after: None,
                confidence: None,
            }
        } else {
            let longest_ms = *[50, 400, 1_500, 3_500]
                .choose(&mut self.random)
                .expect("some");
            UpstreamAction::Slots {
                work_ms: self.random.random_range(5..longest_ms),
            }
        };
        upstream.set_action(action);
    }

    /// An upstream that may leave: the first ones of both pools stay.
    fn draw_upstream(&mut self) -> &ScriptedUpstream {
        &self.upstreams[self.random.random_range(2..self.upstreams.len())]
    }

    fn step(&mut self) {
        let number = self.random.random_range(0..self.boxes.town.boxes.len());
        let is_stopping = self.stopping.contains_key(&number);
        let step = *STEPS.choose(&mut self.random).expect("some");
        match step {
            Step::Stop if !is_stopping => {
                self.boxes.town.boxes[number].signal("TERM");
                let now = Instant::now();
                self.stopping.insert(number, now);
                self.stops.push((number, now));
            }
            Step::StopAgain if is_stopping => self.boxes.town.boxes[number].signal("TERM"),
            Step::Reload => {
                let count = self.random.random_range(1..20);
                (0..count).for_each(|_| self.boxes.town.boxes[number].signal("HUP"));
            }
            // A paused process cannot end within its grace.
            Step::Pause if !is_stopping => {
                let pause_ms = self.random.random_range(20..200);
                self.boxes.pause(number, Duration::from_millis(pause_ms));
            }
            Step::Stop | Step::StopAgain | Step::Pause => {}
            Step::ChangeSite => {
                self.site_version += 1;
                let mut site = site_config(self.site_version, &[KEY]);
                let timeout_ms = self.random.random_range(4_000..20_000);
                for route in &mut site.routes {
                    Arc::make_mut(route).timeout_ms = timeout_ms;
                }
                self.boxes.town.store.put_site(&site);
            }
            Step::ChangeWork => {
                let upstream = self.random.random_range(0..self.upstreams.len());
                self.draw_work(upstream);
            }
            Step::Leave => {
                let record = self.draw_upstream().leaving_record();
                self.boxes.town.store.put_upstream(&record);
            }
            Step::Join => {
                let record = self.draw_upstream().record();
                self.boxes.town.store.put_upstream(&record);
            }
        }
        let pause = Duration::from_millis(self.random.random_range(20..500));
        self.watch_until(Instant::now() + pause, |_| false);
    }

    /// Starts boxes that have ended again, until `deadline` or until this is so.
    fn watch_until(&mut self, deadline: Instant, is_done: impl Fn(&Self) -> bool) {
        while Instant::now() < deadline && !is_done(self) {
            let numbers: Vec<usize> = self.stopping.keys().copied().collect();
            for number in numbers {
                if self.boxes.town.boxes[number].is_running() {
                    continue;
                }
                let took = self.stopping.remove(&number).expect("it stops").elapsed();
                let ended = self.boxes.town.boxes[number].wait_exit(POLL_INTERVAL);
                assert_eq!(ended, Some(0), "box {number} ends in order");
                assert!(took < self.grace, "box {number} ends after {took:?}");
                self.boxes.restart(number);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Whether a stream was cut at the end of its box's grace while its upstream was still sending it. No box can send
    /// what it does not have, and the caller may resume the stream elsewhere.
    fn was_still_sent(&self, number: usize, outcome: &Outcome) -> bool {
        let is_stopped_then = |(stopped, at): &(usize, Instant)| {
            *stopped == number
                && outcome.sent_at <= *at + LAST_SENT
                && outcome.ended_at >= *at + self.grace * 5 / 6
                && outcome.ended_at <= *at + self.grace
        };
        let mut upstreams = self.upstreams.iter();
        outcome.answer == Some((200, false))
            && outcome.id.contains("stream")
            && self.stops.iter().any(is_stopped_then)
            && !upstreams.any(|upstream| upstream.has_finished_stream(&outcome.id))
    }

    /// Unsafe requests that ran more than once.
    fn repeated(&self) -> Vec<String> {
        let mut counts: HashMap<String, u32> = HashMap::new();
        for upstream in &self.upstreams {
            let received = upstream.received_requests();
            for request in received.iter().filter(|request| request.was_run) {
                let id = request.header("ivyweir-request-id").unwrap_or_default();
                if id.contains("unsafe") {
                    *counts.entry(id.to_owned()).or_default() += 1;
                }
            }
        }
        let repeated = counts.into_iter().filter(|(_, count)| *count > 1);
        repeated.map(|(id, _)| id).collect()
    }
}

fn run(seed: u64, steps: u32, boxes: usize) {
    let mut soak = Soak::start(seed, boxes);
    let callers = soak.start_callers();
    (0..steps).for_each(|_| soak.step());
    let deadline = Instant::now() + soak.grace * 2;
    soak.watch_until(deadline, |soak| soak.stopping.is_empty());
    assert!(
        soak.stopping.is_empty(),
        "{:?} have not ended",
        soak.stopping
    );
    eventually("all boxes are ready", || {
        (0..boxes).all(|number| soak.boxes.town.is_ready(number))
    });
    let (mut outcomes, mut cut) = (Vec::new(), 0);
    for (number, callers) in callers {
        for outcome in callers.finish() {
            if soak.was_still_sent(number, &outcome) {
                cut += 1;
            } else {
                outcomes.push(outcome);
            }
        }
    }
    let mut statuses: BTreeMap<Option<(u16, bool)>, u32> = BTreeMap::new();
    for outcome in &outcomes {
        *statuses.entry(outcome.answer).or_default() += 1;
    }
    let stops = soak.stops.len();
    println!("{stops} stops, {cut} streams still sent at the end, answers by status: {statuses:?}");
    judge(&outcomes, &ids(&soak.upstreams));
    assert_eq!(soak.repeated(), Vec::<String>::new());
    let served = outcomes
        .iter()
        .filter(|outcome| outcome.answer == Some((200, true)));
    assert!(served.count() > 100, "hardly any request is served");
}

#[test]
fn planned_stops_leave_no_request_without_its_answer() {
    let (seed, steps) = seed_and_steps(CI_SEED, CI_STEPS);
    let boxes = std::env::var("IVYWEIR_SOAK_BOXES").ok();
    let boxes = boxes.and_then(|boxes| boxes.parse().ok());
    run(seed, steps, boxes.unwrap_or(CI_BOXES));
}
