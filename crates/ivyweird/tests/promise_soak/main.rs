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
mod judge_cases;
mod site;
mod steps;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use ivyweir_policy::hash::mix;
use ivyweir_standins::Fault;
use ivyweir_standins::edge::{Conduct, ErraticUpstream, PathProxies, StoreFault};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;

use callers::{Role, Shared, start_caller};
use common::soak::{Boxes, seed_and_steps};
use judge::{Logs, Verdict};
use site::{ENGINES, KEYS, POOL, site};
use steps::Step;

const CI_SEED: u64 = 20_261_204;
/// As many as there are kinds of steps, so that each comes once.
const CI_STEPS: u32 = 29;
const CI_BOXES: usize = 4;
const HALLS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const UPSTREAMS: usize = 8;
const CALLERS_PER_BOX: usize = 6;
const SURGE_CALLERS_PER_BOX: usize = 8;
const SLOW_CALLERS_PER_BOX: usize = 3;
/// Number of faulty requests whose lines of the logs are printed.
const MAX_TRACES: usize = 8;
/// Time in which requests may still begin to run that their callers were told of: longer than any pause of an upstream.
const SETTLING: Duration = Duration::from_millis(4_500);

/// What a seed chooses for the whole soak.
#[derive(Debug, Clone, Copy)]
struct Setup {
    /// Whether the paths from boxes to upstreams can be cut; otherwise boxes reach upstreams without a proxy.
    has_cuts: bool,
    /// Whether streams are served by engines.
    has_engines: bool,
    has_load_control: bool,
    /// Memory of the machine for boxes that bound what they hold.
    memory_mb: Option<u64>,
    has_long_requests: bool,
}

impl Setup {
    fn choose(random: &mut StdRng) -> Self {
        Self {
            has_cuts: random.random_bool(0.7),
            has_engines: random.random_bool(0.5),
            has_load_control: random.random_bool(0.4),
            memory_mb: *[None, None, Some(1), Some(110)]
                .choose(random)
                .expect("sizes"),
            has_long_requests: random.random_bool(0.25),
        }
    }

    const CI: Self = Self {
        has_cuts: true,
        has_engines: true,
        has_load_control: false,
        memory_mb: None,
        has_long_requests: false,
    };
}

struct Upstream {
    upstream: ErraticUpstream,
    /// Where boxes reach it.
    addr: SocketAddr,
    is_engine: bool,
    version: u64,
    /// The process of it that is registered.
    life: u64,
}

struct Soak {
    boxes: Boxes,
    random: StdRng,
    seed: u64,
    setup: Setup,
    /// All upstreams there ever were.
    upstreams: Vec<Upstream>,
    /// Numbers of those that are registered.
    registered: Vec<usize>,
    paths: Option<PathProxies>,
    shared: Arc<Shared>,
    config_version: u64,
    kills: Vec<(usize, Instant)>,
    steps: Vec<Step>,
    /// The version that is in use, and whether it is being replaced by the next one.
    version: u64,
    is_rolling: bool,
}

impl Soak {
    fn start(seed: u64, setup: Setup, boxes: usize) -> Self {
        let halls: Vec<&'static str> = HALLS.iter().copied().cycle().take(boxes).collect();
        let mut boxes = Boxes::new("promise-soak", seed, halls.leak());
        if setup.has_load_control {
            boxes.town.policy = json!({"load_control": "on"});
        }
        if let Some(memory_mb) = setup.memory_mb {
            boxes.town.contracts = vec!["pressure"];
            boxes.town.memory_mb = memory_mb;
        }
        let mut soak = Self {
            random: StdRng::seed_from_u64(seed),
            seed,
            setup,
            upstreams: Vec::new(),
            registered: Vec::new(),
            paths: setup.has_cuts.then(PathProxies::default),
            shared: Arc::new(Shared {
                addrs: boxes.addrs.clone(),
                asked: Mutex::default(),
                stop: AtomicBool::new(false),
                has_long_requests: setup.has_long_requests,
                is_surge: AtomicBool::new(false),
                is_harmful: AtomicBool::new(false),
                unanswered: AtomicU64::new(0),
            }),
            config_version: 1,
            kills: Vec::new(),
            steps: Vec::new(),
            version: 1,
            is_rolling: false,
            boxes,
        };
        for number in 0..UPSTREAMS {
            soak.add_upstream(setup.has_engines && number % 2 == 1, 1);
        }
        soak.change_config(&KEYS);
        soak.boxes.start_all();
        soak.tell_paths_of_boxes();
        soak
    }

    fn add_upstream(&mut self, is_engine: bool, version: u64) {
        let number = self.upstreams.len();
        let seed = mix(self.seed, number as u64);
        let shares = [0.02, 0.15, 0.3, 0.6];
        let fault_share = *shares.choose(&mut self.random).expect("shares");
        let hall = HALLS[number % HALLS.len()];
        let pool = if is_engine { ENGINES } else { POOL };
        let plan = move |n| Conduct::choose(&mut StdRng::seed_from_u64(mix(seed, n)), fault_share);
        let name = format!("{pool}-{number}");
        let mut upstream = ErraticUpstream::start(&name, pool, hall, plan);
        upstream.set_version(&format!("v{version}"));
        let addr = match &self.paths {
            Some(paths) => paths.start_proxy(upstream.addr()),
            None => upstream.addr(),
        };
        self.boxes
            .town
            .store
            .put_upstream(&upstream.record_at(addr));
        self.upstreams.push(Upstream {
            upstream,
            addr,
            is_engine,
            version,
            life: 0,
        });
        self.registered.push(number);
    }

    /// Registers the processes of upstreams that ended and came back.
    fn register_again(&mut self) {
        for number in &self.registered {
            let known = &mut self.upstreams[*number];
            let life = known.upstream.life();
            if life != known.life {
                known.life = life;
                let record = known.upstream.record_at(known.addr);
                self.boxes.town.store.put_upstream(&record);
            }
        }
    }

    fn remove_upstream(&mut self, number: usize) {
        self.registered.retain(|registered| *registered != number);
        let name = self.upstreams[number].upstream.name();
        self.boxes.town.store.remove_upstream(&name);
    }

    fn change_config(&mut self, keys: &[&str]) {
        self.config_version += 1;
        let site = site(self.config_version, keys, self.setup.has_engines);
        self.boxes.town.store.put_site(&site);
    }

    fn tell_paths_of_boxes(&self) {
        if let Some(paths) = &self.paths {
            let boxes = self.boxes.town.boxes.iter();
            boxes.for_each(|running| paths.add_process(running.pid()));
        }
    }

    fn heal(&mut self) {
        self.boxes.town.store.set_fault(StoreFault::None);
        for path in &self.boxes.store_paths {
            path.set(Fault::None);
        }
        if let Some(paths) = &self.paths {
            paths.heal();
        }
        for hall in HALLS {
            self.boxes.town.store.undrain_hall(hall);
        }
    }

    /// Ends the traffic, and waits until nothing more can run.
    fn end(&mut self, callers: Vec<JoinHandle<()>>) {
        self.heal();
        self.change_config(&KEYS);
        self.boxes.until_all_ready();
        self.shared.stop.store(true, Ordering::Relaxed);
        for caller in callers {
            caller.join().expect("no caller panics");
        }
        thread::sleep(SETTLING);
    }
}

fn soak(seed: u64, setup: Setup, steps: u32, boxes: usize) -> Verdict {
    let is_other_binary = std::env::var_os("IVYWEIR_SOAK_BINARY").is_some();
    let began = Instant::now();
    let mut soak = Soak::start(seed, setup, boxes);
    let roles = [
        (Role::Usual, CALLERS_PER_BOX),
        (Role::Surge, SURGE_CALLERS_PER_BOX),
        (Role::Slow, SLOW_CALLERS_PER_BOX),
    ];
    let roles = roles
        .iter()
        .flat_map(|(role, per_box)| vec![*role; per_box * boxes]);
    let caller = |(number, role)| start_caller(soak.shared.clone(), number, role, seed);
    let callers: Vec<_> = roles.enumerate().map(caller).collect();
    for _ in 0..steps {
        soak.step();
    }
    soak.end(callers);
    let handled = soak.upstreams.iter().flat_map(|u| u.upstream.handled());
    let handled: Vec<_> = handled.collect();
    let asked = soak.shared.asked.lock().expect("no panic");
    let logs = Logs::read(&soak.boxes.folder);
    let mut verdict = Verdict::new(&asked, &handled, &logs);
    if !is_other_binary {
        verdict.faults.extend(logs.unexplained(&asked, &soak.kills));
    }
    println!(
        "seed {seed}, {steps} steps, {boxes} boxes, {setup:?}, {} s, {} unanswered",
        began.elapsed().as_secs(),
        soak.shared.unanswered.load(Ordering::Relaxed),
    );
    verdict.print();
    logs.print_events();
    for id in verdict.faulty.iter().take(MAX_TRACES) {
        println!("{id}:\n{}", logs.lines_of(id).join("\n"));
    }
    assert!(
        verdict.faults.is_empty(),
        "seed {seed}: {:#?}\nlogs in {}",
        verdict.faults,
        soak.boxes.folder.display()
    );
    let _left_behind = std::fs::remove_dir_all(&soak.boxes.folder);
    verdict
}

#[test]
fn requests_that_callers_were_told_have_not_run_never_run() {
    let (seed, steps) = seed_and_steps(CI_SEED, CI_STEPS);
    let boxes = std::env::var("IVYWEIR_SOAK_BOXES").ok();
    let boxes = boxes.and_then(|boxes| boxes.parse().ok());
    if std::env::var_os("IVYWEIR_SOAK_SEED").is_some() {
        let setup = Setup::choose(&mut StdRng::seed_from_u64(!seed));
        soak(seed, setup, steps, boxes.unwrap_or(CI_BOXES));
        return;
    }
    let verdict = soak(seed, Setup::CI, steps, boxes.unwrap_or(CI_BOXES));
    assert_eq!(
        verdict.missing_kinds(),
        [""; 0],
        "promises of each kind are given"
    );
}
