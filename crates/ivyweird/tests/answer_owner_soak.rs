//! A random soak beside upstreams that send surplus answers of any status, id and framing; and meanwhile boxes are
//! stopped, paused and killed, the store fails, upstreams come and go, and the configuration changes.
//!
//! `IVYWEIR_SOAK_SEED` chooses the faults, `IVYWEIR_SOAK_STEPS` how many and `IVYWEIR_SOAK_BOXES` the number of boxes;
//! callers' timing is not replayed.

mod common;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use bytes::Bytes;
use ivyweir_policy::hash::mix;
use ivyweir_standins::Fault;
use ivyweir_standins::edge::{
    Following, KEY, KeptConnection, RepeatingUpstream, StoreFault, SurplusAnswer, SurplusFraming,
    SurplusId, site_config_for_pool,
};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use common::soak::{Addrs, Boxes, seed_and_steps};

const CI_SEED: u64 = 20_261_204;
const CI_STEPS: u32 = 40;
const CI_BOXES: usize = 3;
const HALLS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const POOL: &str = "repeating";
const UPSTREAMS: usize = 4;
const CALLERS_PER_BOX: usize = 4;
/// Share of the answers before which a surplus one is sent.
const SURPLUS_SHARE: f64 = 0.2;
const ROUTES: [&str; 3] = ["unsafe", "safe", "stream"];
/// Time for which requests may still run that their callers were told of.
const SETTLING: Duration = Duration::from_millis(500);

/// What a caller received.
struct Answer {
    id: String,
    route: &'static str,
    status: u16,
    text: String,
    is_complete: bool,
}

struct Shared {
    addrs: Addrs,
    answers: Mutex<Vec<Answer>>,
    stop: AtomicBool,
}

fn random_surplus(random: &mut StdRng) -> SurplusAnswer {
    let ids = [
        SurplusId::Earlier,
        SurplusId::Earlier,
        SurplusId::Stranger,
        SurplusId::Missing,
        SurplusId::Empty,
        SurplusId::Both,
    ];
    let framings = [
        SurplusFraming::Length,
        SurplusFraming::Length,
        SurplusFraming::Chunks,
        SurplusFraming::Connection,
    ];
    let followings = [
        Following::Answer,
        Following::AnswerAtOnce,
        Following::Rejection,
        Following::End,
    ];
    SurplusAnswer {
        status: *[200, 421, 429, 500, 503].choose(random).expect("statuses"),
        id: *ids.choose(random).expect("ids"),
        framing: *framings.choose(random).expect("framings"),
        following: *followings.choose(random).expect("what follows"),
    }
}

struct Soak {
    boxes: Boxes,
    random: StdRng,
    seed: u64,
    /// All upstreams there ever were; the last ones are registered.
    upstreams: Vec<RepeatingUpstream>,
    shared: Arc<Shared>,
    version: u64,
}

impl Soak {
    fn start(seed: u64, boxes: usize) -> Self {
        let halls: Vec<&'static str> = HALLS.iter().copied().cycle().take(boxes).collect();
        let boxes = Boxes::new("answer-owner-soak", seed, halls.leak());
        let mut soak = Self {
            random: StdRng::seed_from_u64(seed),
            seed,
            upstreams: Vec::new(),
            shared: Arc::new(Shared {
                addrs: boxes.addrs.clone(),
                answers: Mutex::default(),
                stop: AtomicBool::new(false),
            }),
            version: 1,
            boxes,
        };
        for _ in 0..UPSTREAMS {
            soak.add_upstream();
        }
        soak.change_config();
        soak.boxes.start_all();
        soak
    }

    fn add_upstream(&mut self) {
        let number = self.upstreams.len();
        let seed = mix(self.seed, number as u64);
        let upstream = RepeatingUpstream::start_with(&format!("{POOL}-{number}"), POOL, move |n| {
            let mut random = StdRng::seed_from_u64(mix(seed, n));
            let is_surplus = random.random_bool(SURPLUS_SHARE);
            is_surplus.then(|| random_surplus(&mut random))
        });
        self.boxes.town.store.put_upstream(&upstream.record());
        self.upstreams.push(upstream);
    }

    fn change_config(&mut self) {
        self.version += 1;
        let site = site_config_for_pool(self.version, &[KEY], POOL);
        self.boxes.town.store.put_site(&site);
    }

    /// Registers another upstream in place of the oldest one, which serves on.
    fn replace_upstream(&mut self) {
        self.add_upstream();
        let oldest = self.upstreams.len() - 1 - UPSTREAMS;
        let record = self.upstreams[oldest].record();
        self.boxes.town.store.remove_upstream(record.name());
    }

    /// One random fault or change; some last, until another step or the end undoes them.
    fn step(&mut self) {
        let number = self.random.random_range(0..self.boxes.town.boxes.len());
        match self.random.random_range(0..16) {
            0..=3 => self.replace_upstream(),
            4 => self.boxes.kill(number),
            5 => {
                self.boxes.town.boxes[number].signal("HUP");
                self.change_config();
                self.replace_upstream();
                self.boxes.stop(number);
            }
            6 => {
                let pause = Duration::from_millis(self.random.random_range(50..900));
                self.boxes.pause(number, pause);
            }
            7 => self.boxes.store_paths[number].set(Fault::Cut),
            8 => {
                self.boxes.town.store.set_fault(StoreFault::Silent);
                thread::sleep(Duration::from_millis(self.random.random_range(100..1_500)));
                self.boxes.town.store.set_fault(StoreFault::None);
            }
            9 | 10 => self.boxes.town.boxes[number].signal("HUP"),
            11 | 12 => self.change_config(),
            _ => self.heal(),
        }
        thread::sleep(Duration::from_millis(self.random.random_range(50..400)));
    }

    fn heal(&mut self) {
        self.boxes.town.store.set_fault(StoreFault::None);
        for path in &self.boxes.store_paths {
            path.set(Fault::None);
        }
    }

    /// Compares what callers received with what upstreams ran.
    fn faults(&self) -> Vec<String> {
        let mut runs: HashMap<String, usize> = HashMap::new();
        for id in self.upstreams.iter().flat_map(RepeatingUpstream::runs) {
            *runs.entry(id).or_default() += 1;
        }
        let answers = self.shared.answers.lock().expect("no panic");
        let faults = answers.iter().flat_map(|answer| {
            let runs = runs.get(&answer.id).copied().unwrap_or(0);
            faults_of(answer, runs)
        });
        faults.collect()
    }
}

/// What is wrong with an answer, if anything.
fn faults_of(answer: &Answer, runs: usize) -> Vec<String> {
    let Answer {
        id,
        route,
        status,
        text,
        is_complete,
    } = answer;
    let mut faults = Vec::new();
    if *route != "safe" && runs > 1 {
        faults.push(format!("{id} ({route}) ran {runs} times"));
    }
    if *route != "safe" && matches!(status, 408 | 421 | 429 | 503) && runs > 0 {
        faults.push(format!("{id} ({route}) got {status} and ran"));
    }
    let expected = match *route {
        "stream" => (1..=3)
            .map(|event| format!("id: {event}\ndata: {event} of {id}\n\n"))
            .collect(),
        _ => format!("answer to {id}"),
    };
    let is_right = if *is_complete {
        *text == expected
    } else {
        expected.starts_with(text)
    };
    if *status == 200 && !is_right {
        faults.push(format!(
            "{id} ({route}) got {text:?}, complete: {is_complete}"
        ));
    }
    faults
}

/// Sends requests to a box, on connections that it keeps for as long as they are open.
fn start_caller(shared: Arc<Shared>, number: usize, seed: u64) -> JoinHandle<()> {
    static REQUESTS: AtomicU64 = AtomicU64::new(0);
    let mut random = StdRng::seed_from_u64(mix(seed, number as u64));
    let authorization = format!("Bearer {KEY}");
    thread::spawn(move || {
        let mut kept: Option<KeptConnection> = None;
        while !shared.stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(random.random_range(0..10)));
            let addrs = shared.addrs.lock().expect("no panic").clone();
            let addr = addrs[number % addrs.len()];
            let connection = kept.take().or_else(|| KeptConnection::open(addr?).ok());
            let Some(mut connection) = connection else {
                continue;
            };
            let id = format!("r{}", REQUESTS.fetch_add(1, Ordering::Relaxed));
            let route = *ROUTES.choose(&mut random).expect("routes");
            let headers = [
                ("ivyweir-request-id", id.as_str()),
                ("ivyweir-budget-ms", "1500"),
                ("authorization", authorization.as_str()),
            ];
            let body = Bytes::copy_from_slice(id.as_bytes());
            let Ok(reply) = connection.call("POST", &format!("/{route}/x"), &headers, body) else {
                continue;
            };
            if reply.is_complete {
                kept = Some(connection);
            }
            let answer = Answer {
                route,
                status: reply.status,
                text: reply.text(),
                is_complete: reply.is_complete,
                id,
            };
            shared.answers.lock().expect("no panic").push(answer);
        }
    })
}

fn soak(seed: u64, steps: u32, boxes: usize) {
    let mut soak = Soak::start(seed, boxes);
    let caller = |number| start_caller(soak.shared.clone(), number, seed);
    let callers: Vec<_> = (0..boxes * CALLERS_PER_BOX).map(caller).collect();
    for _ in 0..steps {
        soak.step();
    }
    soak.heal();
    soak.boxes.until_all_ready();
    soak.shared.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("no caller panics");
    }
    thread::sleep(SETTLING);
    let faults = soak.faults();
    let answers = soak.shared.answers.lock().expect("no panic");
    let served = answers.iter().filter(|a| a.status == 200 && a.is_complete);
    let served = served.count();
    let surplus = soak
        .upstreams
        .iter()
        .map(RepeatingUpstream::surplus_answers);
    let surplus: usize = surplus.sum();
    println!(
        "seed {seed}, {steps} steps, {boxes} boxes: {} answers, {served} served, {surplus} surplus answers, {} wrong",
        answers.len(),
        faults.len(),
    );
    assert!(
        faults.is_empty(),
        "seed {seed}: {faults:#?}\nlogs in {}",
        soak.boxes.folder.display()
    );
    assert!(served > 0, "seed {seed}: nothing was served");
    assert!(surplus > 0, "seed {seed}: no surplus answer was sent");
    let _left_behind = std::fs::remove_dir_all(&soak.boxes.folder);
}

#[test]
fn surplus_answers_are_never_taken_for_others() {
    let (seed, steps) = seed_and_steps(CI_SEED, CI_STEPS);
    let boxes = std::env::var("IVYWEIR_SOAK_BOXES").ok();
    let boxes = boxes.and_then(|boxes| boxes.parse().ok());
    soak(seed, steps, boxes.unwrap_or(CI_BOXES));
}
