//! A random soak that compares the promises that callers were given (408, 421, 429 and 503: the request has not run and
//! never will) with what upstreams ran, while upstreams reject, lose and delay requests, and boxes are stopped, paused,
//! killed and cut off.
//!
//! `IVYWEIR_SOAK_SEED` chooses the faults, `IVYWEIR_SOAK_STEPS` how many and `IVYWEIR_SOAK_BOXES` the number of boxes;
//! `IVYWEIR_SOAK_BINARY` names another daemon, whose log is not checked. Callers' timing is not replayed.

#[path = "../common/mod.rs"]
mod common;

mod callers;
mod judge;
mod site;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_policy::hash::mix;
use ivyweir_standins::Fault;
use ivyweir_standins::edge::{Conduct, ErraticUpstream, PathFault, PathProxies, StoreFault};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use callers::{Shared, start_caller};
use common::soak::{Boxes, seed_and_steps};
use judge::{Logs, Verdict};
use site::{KEYS, POOL, site};

const CI_SEED: u64 = 20_261_204;
const CI_STEPS: u32 = 40;
const CI_BOXES: usize = 4;
const HALLS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const UPSTREAMS: usize = 6;
const CALLERS_PER_BOX: usize = 5;
/// Time in which requests may still begin to run that their callers were told of: longer than any pause of an upstream.
const SETTLING: Duration = Duration::from_millis(4_500);

struct Upstream {
    upstream: ErraticUpstream,
    /// Where boxes reach it.
    addr: std::net::SocketAddr,
}

struct Soak {
    boxes: Boxes,
    random: StdRng,
    seed: u64,
    /// All upstreams there ever were; the last ones are registered.
    upstreams: Vec<Upstream>,
    /// Paths from the boxes to the upstreams, if they may be cut.
    paths: Option<PathProxies>,
    shared: Arc<Shared>,
    version: u64,
    kills: Vec<(usize, Instant)>,
}

impl Soak {
    fn start(seed: u64, boxes: usize) -> Self {
        let halls: Vec<&'static str> = HALLS.iter().copied().cycle().take(boxes).collect();
        let mut boxes = Boxes::new("promise-soak", seed, halls.leak());
        let mut random = StdRng::seed_from_u64(seed);
        if random.random_bool(0.3) {
            boxes.town.contracts = vec!["pressure"];
        }
        let paths = random.random_bool(0.7).then(PathProxies::default);
        let mut soak = Self {
            random,
            seed,
            upstreams: Vec::new(),
            paths,
            shared: Arc::new(Shared {
                addrs: boxes.addrs.clone(),
                asked: Mutex::default(),
                stop: AtomicBool::new(false),
                unanswered: AtomicU64::new(0),
            }),
            version: 1,
            kills: Vec::new(),
            boxes,
        };
        for _ in 0..UPSTREAMS {
            soak.add_upstream();
        }
        soak.change_config(&KEYS);
        soak.boxes.start_all();
        soak.tell_paths_of_boxes();
        soak
    }

    fn add_upstream(&mut self) {
        let number = self.upstreams.len();
        let seed = mix(self.seed, number as u64);
        let fault_share = *[0.02, 0.1, 0.3, 0.6]
            .choose(&mut self.random)
            .expect("shares");
        let hall = HALLS[number % HALLS.len()];
        let plan = move |n| Conduct::choose(&mut StdRng::seed_from_u64(mix(seed, n)), fault_share);
        let upstream = ErraticUpstream::start(&format!("{POOL}-{number}"), POOL, hall, plan);
        let addr = match &self.paths {
            Some(paths) => paths.start_proxy(upstream.addr()),
            None => upstream.addr(),
        };
        self.boxes
            .town
            .store
            .put_upstream(&upstream.record_at(addr));
        self.upstreams.push(Upstream { upstream, addr });
    }

    fn change_config(&mut self, keys: &[&str]) {
        self.version += 1;
        self.boxes.town.store.put_site(&site(self.version, keys));
    }

    /// Registers another upstream in place of the oldest one, which serves on.
    fn replace_upstream(&mut self) {
        self.add_upstream();
        let oldest = &self.upstreams[self.upstreams.len() - 1 - UPSTREAMS];
        self.boxes
            .town
            .store
            .remove_upstream(&oldest.upstream.name());
    }

    /// Ends an upstream, and starts another one at its address.
    fn restart_upstream(&mut self) {
        let number = self.random_upstream();
        let Upstream { upstream, addr } = &self.upstreams[number];
        let earlier = upstream.name();
        upstream.restart_as(&format!("{earlier}-again"));
        thread::sleep(Duration::from_millis(self.random.random_range(0..300)));
        self.boxes
            .town
            .store
            .put_upstream(&upstream.record_at(*addr));
        self.boxes.town.store.remove_upstream(&earlier);
    }

    fn random_upstream(&mut self) -> usize {
        let first = self.upstreams.len() - UPSTREAMS;
        self.random.random_range(first..self.upstreams.len())
    }

    fn tell_paths_of_boxes(&self) {
        if let Some(paths) = &self.paths {
            let boxes = self.boxes.town.boxes.iter();
            boxes.for_each(|running| paths.add_process(running.pid()));
        }
    }

    /// Cuts some boxes off from all or some upstreams.
    fn cut_paths(&mut self) {
        let Some(paths) = self.paths.clone() else {
            return;
        };
        let faults = [PathFault::Hang, PathFault::Reset, PathFault::RefuseNew];
        let fault = *faults.choose(&mut self.random).expect("faults");
        let count = self.boxes.town.boxes.len();
        let cut = self.random.random_range(1..=count);
        let is_total = self.random.random_bool(0.6);
        for _ in 0..cut {
            let number = self.random.random_range(0..count);
            let pid = self.boxes.town.boxes[number].pid();
            if is_total {
                paths.set_fault(pid, fault);
                continue;
            }
            let targets = (0..UPSTREAMS / 2).map(|_| self.random_upstream());
            let targets: Vec<usize> = targets.collect();
            let targets = targets
                .iter()
                .map(|number| self.upstreams[*number].upstream.addr());
            paths.set_fault_to(pid, fault, targets.collect());
        }
    }

    /// One random fault or change; some last, until another step or the end undoes them.
    fn step(&mut self) {
        let number = self.random.random_range(0..self.boxes.town.boxes.len());
        match self.random.random_range(0..24) {
            0 => self.replace_upstream(),
            1 | 2 => self.restart_upstream(),
            3 => self.kill(number),
            4 => {
                self.boxes.stop(number);
                self.tell_paths_of_boxes();
            }
            5 => {
                let pause = self.millis(50..900);
                self.boxes.pause(number, pause);
            }
            6 => self.boxes.store_paths[number].set(Fault::Cut),
            7 => {
                self.boxes.town.store.set_fault(StoreFault::Silent);
                thread::sleep(self.millis(100..1_500));
                self.boxes.town.store.set_fault(StoreFault::None);
            }
            8 => self.boxes.town.boxes[number].signal("HUP"),
            9 => self.change_config(&KEYS[..1]),
            10 => self.change_config(&KEYS),
            11..=13 => {
                let (number, pause) = (self.random_upstream(), self.millis(500..3_000));
                self.upstreams[number].upstream.pause(pause);
            }
            14 | 15 => {
                let (number, pause) = (self.random_upstream(), self.millis(300..1_500));
                self.upstreams[number].upstream.pause_accepting(pause);
            }
            16..=19 => self.cut_paths(),
            20 | 21 => {
                if let Some(paths) = &self.paths {
                    paths.heal();
                }
            }
            _ => self.heal(),
        }
        thread::sleep(self.millis(20..400));
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn kill(&mut self, number: usize) {
        self.boxes.kill(number);
        self.kills.push((number, Instant::now()));
        self.tell_paths_of_boxes();
    }

    fn heal(&mut self) {
        self.boxes.town.store.set_fault(StoreFault::None);
        for path in &self.boxes.store_paths {
            path.set(Fault::None);
        }
        if let Some(paths) = &self.paths {
            paths.heal();
        }
    }
}

fn soak(seed: u64, steps: u32, boxes: usize) {
    let is_other_binary = std::env::var_os("IVYWEIR_SOAK_BINARY").is_some();
    let mut soak = Soak::start(seed, boxes);
    let caller = |number| start_caller(soak.shared.clone(), number, seed);
    let callers: Vec<_> = (0..boxes * CALLERS_PER_BOX).map(caller).collect();
    for _ in 0..steps {
        soak.step();
    }
    soak.heal();
    soak.change_config(&KEYS);
    soak.boxes.until_all_ready();
    soak.shared.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("no caller panics");
    }
    thread::sleep(SETTLING);
    let handled: Vec<_> = soak
        .upstreams
        .iter()
        .flat_map(|u| u.upstream.handled())
        .collect();
    let asked = soak.shared.asked.lock().expect("no panic");
    let logs = Logs::read(&soak.boxes.folder);
    let mut verdict = Verdict::new(&asked, &handled, &logs);
    if !is_other_binary {
        verdict.faults.extend(logs.unexplained(&asked, &soak.kills));
    }
    println!(
        "seed {seed}, {steps} steps, {boxes} boxes, cuts: {}, contracts: {:?}: {} answers, {} unanswered, {} runs, \
         {} of them late, rejections {:?}, promises {:?}, {} faults",
        soak.paths.is_some(),
        soak.boxes.town.contracts,
        asked.len(),
        soak.shared.unanswered.load(Ordering::Relaxed),
        verdict.runs,
        verdict.late_runs,
        verdict.rejections,
        verdict.by_status,
        verdict.faults.len(),
    );
    println!("answers {:?}", verdict.answers);
    for ((status, reason, basis, is_handed_over), count) in &verdict.promises {
        println!(
            "promise {status} {reason} {basis} handed over: {is_handed_over}: {} given, {} broken",
            count.given, count.broken
        );
    }
    println!("promises of repeatable requests: {:?}", verdict.repeatable);
    assert!(
        verdict.faults.is_empty(),
        "seed {seed}: {:#?}\nlogs in {}",
        verdict.faults,
        soak.boxes.folder.display()
    );
    assert!(
        !verdict.by_status.is_empty(),
        "seed {seed}: no promise was given"
    );
    let _left_behind = std::fs::remove_dir_all(&soak.boxes.folder);
}

#[test]
fn requests_that_callers_were_told_have_not_run_never_run() {
    let (seed, steps) = seed_and_steps(CI_SEED, CI_STEPS);
    let boxes = std::env::var("IVYWEIR_SOAK_BOXES").ok();
    let boxes = boxes.and_then(|boxes| boxes.parse().ok());
    soak(seed, steps, boxes.unwrap_or(CI_BOXES));
}
