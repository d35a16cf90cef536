//! A random soak in which the store's records and the upstreams' bytes are drawn at random, while boxes are signalled,
//! stopped, killed and paused. Its judge counts ends of processes and tasks, peak memory, and requests without an answer.
//!
//! `IVYWEIR_SOAK_SEED` chooses what is drawn, `IVYWEIR_SOAK_STEPS` the number of steps and `IVYWEIR_SOAK_BOXES` the number
//! of boxes; `IVYWEIR_SOAK_BINARY` names another daemon. Callers' timing is not replayed.

#[path = "../common/mod.rs"]
mod common;

mod callers;
mod draw;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use ivyweir_gateway::dialect::Topic;
use ivyweir_policy::gateway::site::{PoolShare, SiteConfig};
use ivyweir_standins::edge::{
    KEY, RawUpstream, ScriptedUpstream, StoreFault, UpstreamAction, eventually, site_config,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use callers::{Shared, start_caller, start_hostile_caller};
use common::soak::{Boxes, seed_and_steps};
use draw::{odd_name, odd_record, odd_site, raw_answer};

const CI_SEED: u64 = 78;
const CI_STEPS: u32 = 40;
const CI_BOXES: usize = 2;
const MEMORY_BYTES: u64 = 110 << 20;
/// Pool whose upstreams and records are drawn at random.
pub const WILD_POOL: &str = "wild";
const CALLERS_PER_BOX: usize = 4;
const HOSTILE_CALLERS_PER_BOX: usize = 2;
const KINDS_OF_STEPS: u32 = 14;

struct Soak {
    boxes: Boxes,
    random: StdRng,
    shared: Arc<Shared>,
    site_version: u64,
    /// Upstreams of all pools, which serve as long as they are held.
    _sound: Vec<ScriptedUpstream>,
    wild: Vec<RawUpstream>,
    faults: Vec<String>,
}

impl Soak {
    fn start(seed: u64, count: usize) -> Self {
        let halls: Vec<&'static str> = ["hall-a", "hall-b"]
            .into_iter()
            .cycle()
            .take(count)
            .collect();
        let mut boxes = Boxes::new("hostile-input", seed, halls.leak());
        let store = boxes.town.store.clone();
        store.set_page_records(3);
        let sound = sound_upstreams();
        sound
            .iter()
            .for_each(|upstream| store.put_upstream(&upstream.record()));
        let draws = Arc::new(Mutex::new(StdRng::seed_from_u64(seed)));
        let wild: Vec<RawUpstream> = (0..4)
            .map(|n| {
                let draws = draws.clone();
                let answer = move || raw_answer(&mut draws.lock().expect("no panic"));
                RawUpstream::start(&format!("wild-{n}"), WILD_POOL, answer)
            })
            .collect();
        wild.iter()
            .for_each(|upstream| store.put_upstream(&upstream.record()));
        store.put_site(&site(2));
        boxes.start_all();
        let shared = Arc::new(Shared {
            addrs: boxes.addrs.clone(),
            stop: AtomicBool::new(false),
            answered: Mutex::default(),
            unanswered: Mutex::default(),
        });
        Self {
            boxes,
            random: StdRng::seed_from_u64(seed),
            shared,
            site_version: 2,
            _sound: sound,
            wild,
            faults: Vec::new(),
        }
    }

    fn start_callers(&self, seed: u64) -> Vec<JoinHandle<()>> {
        let mut callers = Vec::new();
        for number in 0..self.boxes.town.boxes.len() {
            for caller in 0..CALLERS_PER_BOX {
                let id = format!("{number}-{caller}");
                callers.push(start_caller(self.shared.clone(), number, id));
            }
            for caller in 0..HOSTILE_CALLERS_PER_BOX as u64 {
                let seed = seed ^ (caller + 1) << 32 ^ number as u64;
                callers.push(start_hostile_caller(self.shared.clone(), number, seed));
            }
        }
        callers
    }

    fn step(&mut self, step: u32) {
        let count = self.boxes.town.boxes.len();
        let number = self.random.random_range(0..count);
        let store = self.boxes.town.store.clone();
        match step % KINDS_OF_STEPS {
            0..=3 => self.put_odd_record(),
            4 => {
                self.site_version += 1;
                let mut site = site(self.site_version);
                odd_site(&mut site, &mut self.random);
                store.put_site(&site);
            }
            5 => {
                let version = odd_name(&mut self.random);
                let duration_ms = [0, 1, 1_000, u64::MAX][self.random.random_range(0..4)];
                store.order_rollout(WILD_POOL, &version, duration_ms);
            }
            6 => (0..20).for_each(|_| self.boxes.town.boxes[number].signal("HUP")),
            7 => self.pause(number),
            8 => {
                self.boxes.town.boxes[number].signal("HUP");
                self.check_process(number);
                self.boxes.stop(number);
            }
            9 => {
                self.check_process(number);
                self.boxes.kill(number);
            }
            10 => {
                store.set_fault(StoreFault::Silent);
                thread::sleep(Duration::from_millis(self.random.random_range(100..1_500)));
                store.set_fault(StoreFault::None);
            }
            11 => store.forget_history(),
            12 => {
                let upstream = self.wild[self.random.random_range(0..self.wild.len())].record();
                store.remove_upstream(upstream.name());
                store.put_upstream(&upstream);
            }
            _ => {
                store.withdraw_rollout(WILD_POOL);
                store.back_up();
            }
        }
        thread::sleep(Duration::from_millis(self.random.random_range(20..300)));
    }

    fn put_odd_record(&mut self) {
        let topics = [
            Topic::Upstreams,
            Topic::Upstreams,
            Topic::Rollouts,
            Topic::DrainedHalls,
        ];
        let topic = topics[self.random.random_range(0..topics.len())];
        let name = odd_name(&mut self.random);
        let record = odd_record(&name, &self.wild[0].record(), &mut self.random);
        self.boxes.town.store.put_unreadable(topic, &name, record);
    }

    fn pause(&mut self, number: usize) {
        let pause_ms = self.random.random_range(50..1_200);
        self.boxes.pause(number, Duration::from_millis(pause_ms));
    }

    /// Records what is wrong with a process before it is ended on purpose, or at the end.
    fn check_process(&mut self, number: usize) {
        let process = &mut self.boxes.town.boxes[number];
        if !process.is_running() {
            self.faults.push(format!("box {number} ended by itself"));
            return;
        }
        let peak = process.peak_resident_bytes();
        println!("box {number}: peak of {} MB", peak >> 20);
        if peak > MEMORY_BYTES {
            self.faults
                .push(format!("box {number} took {} MB", peak >> 20));
        }
        for event in ["panicked", "task_ended", "request_panicked"] {
            for line in process.event_lines(event) {
                self.faults.push(format!("box {number}: {line}"));
            }
        }
    }

    fn judge(mut self) {
        for number in 0..self.boxes.town.boxes.len() {
            self.check_process(number);
        }
        let unanswered = std::mem::take(&mut *self.shared.unanswered.lock().expect("no panic"));
        for lost in unanswered {
            if !self
                .boxes
                .is_disturbed(lost.number, lost.sent_at, lost.failed_at)
            {
                let Self { faults, .. } = &mut self;
                faults.push(format!("no answer: {lost}"));
            }
        }
        let answered = self.shared.answered.lock().expect("no panic").clone();
        println!("answers by status: {answered:?}");
        assert!(
            answered.get(&200).is_some_and(|count| *count > 0),
            "none is served"
        );
        assert!(self.faults.is_empty(), "{:#?}", self.faults);
    }
}

fn sound_upstreams() -> Vec<ScriptedUpstream> {
    let start = |pool: &str, n: usize| {
        let id = format!("{pool}-sound-{n}");
        ScriptedUpstream::start_on_own_ip(&id, pool, "v1")
    };
    let engines = (0..2).map(|n| start("engines", n));
    let sound: Vec<ScriptedUpstream> = engines
        .chain((0..2).map(|n| start("services", n)))
        .collect();
    for engine in &sound[..2] {
        engine.set_action(UpstreamAction::Stream {
            events: 6,
            gap_ms: 5,
            truncate_after: None,
            confidence: None,
        });
    }
    sound
}

/// A configuration with sound routes, and the same ones below `/wild-` to the pool of wild upstreams.
fn site(version: u64) -> SiteConfig {
    let mut site = site_config(version, &[KEY]);
    let mut pool = site.pools[1].clone();
    pool.name = WILD_POOL.into();
    pool.max_connections = 1_000;
    site.pools.push(pool);
    if let Some(limits) = &mut site.limits {
        limits.max_body_bytes = 4 << 20;
    }
    for route in site.routes.clone() {
        let mut wild = (*route).clone();
        wild.name = format!("wild-{}", route.name).into();
        wild.path_prefix = format!("/wild-{}/", route.name).into();
        wild.pools = vec![PoolShare {
            pool: WILD_POOL.into(),
            weight: 1,
        }];
        site.routes.push(Arc::new(wild));
    }
    site
}

fn run(seed: u64, steps: u32, boxes: usize) {
    println!("seed {seed}, {steps} steps, {boxes} boxes");
    let mut soak = Soak::start(seed, boxes);
    let callers = soak.start_callers(seed);
    let first = soak.random.random_range(0..KINDS_OF_STEPS);
    for n in 0..steps {
        // Each kind of step comes, in an order of the seed's.
        let step = (first + n * 5) % KINDS_OF_STEPS;
        soak.step(step);
    }
    soak.boxes.town.store.set_fault(StoreFault::None);
    eventually("all boxes are ready", || {
        (0..boxes).all(|number| soak.boxes.town.is_ready(number))
    });
    soak.shared.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("a caller does not panic");
    }
    soak.judge();
}

/// Seeds that failed.
macro_rules! seeds {
    ($($name:ident: $seed:expr;)*) => {$(
        #[test]
        fn $name() {
            run($seed, CI_STEPS, CI_BOXES);
        }
    )*};
}

seeds! {
    seed_116_leaves_all_boxes_ready: 116;
    seed_134_stays_within_the_memory_of_a_box: 134;
    seed_145_stays_within_the_memory_of_a_box: 145;
}

#[test]
fn hostile_input_ends_no_process_and_loses_no_request() {
    let (seed, steps) = seed_and_steps(CI_SEED, CI_STEPS);
    let boxes = std::env::var("IVYWEIR_SOAK_BOXES").ok();
    let boxes = boxes.and_then(|boxes| boxes.parse().ok());
    run(seed, steps, boxes.unwrap_or(CI_BOXES));
}
