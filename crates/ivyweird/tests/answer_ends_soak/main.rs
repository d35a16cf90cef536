//! A random soak in which answers end early: bodies with a length, chunks or neither, at and inside events, cleanly, by
//! a reset or with their upstream; and meanwhile boxes that lose their paths, are stopped, paused and killed, a store
//! that fails, and configurations that change.
//!
//! `IVYWEIR_SOAK_SEED` chooses the faults, `IVYWEIR_SOAK_STEPS` how many and `IVYWEIR_SOAK_BOXES` the number of boxes;
//! callers' timing is not replayed.

mod callers;
#[path = "../common/mod.rs"]
mod common;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use ivyweir_standins::Fault;
use ivyweir_standins::edge::{
    BodyEnd, BodyFraming, EventScript, KEY, LineEnd, PathFault, PathProxies, PlainScript,
    ScriptedUpstream, StoreFault, UpstreamAction, site_config_with_once,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use callers::{Answer, Shared, start_callers};
use common::soak::{Boxes, seed_and_steps};

const CI_SEED: u64 = 20_261_204;
const CI_STEPS: u32 = 120;
const CI_BOXES: usize = 4;
/// Seeds that failed once, and their steps.
const KEPT_SEEDS: [u64; 2] = [6_403, 6_407];
const KEPT_STEPS: u32 = 60;
const HALLS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const EVENTS: u64 = 8;
const EVENT_GAP_MS: u64 = 5;
/// Upstreams of each pool behind proxies, whose paths fail for single boxes.
const PROXIED: usize = 4;
/// Upstreams of each pool that boxes reach directly, which exit and are replaced.
const DIRECT: usize = 3;

/// Upstreams that end their answers early from one step on.
const MAX_ENDED_EARLY: usize = 5;

struct Upstream {
    upstream: ScriptedUpstream,
    is_proxied: bool,
}

struct Soak {
    boxes: Boxes,
    random: StdRng,
    proxies: PathProxies,
    /// All upstreams there ever were.
    upstreams: Vec<Upstream>,
    shared: Arc<Shared>,
    version: u64,
}

impl Upstream {
    fn serves(&self, pool: &str) -> bool {
        &*self.upstream.record().pool == pool && !self.upstream.has_exited()
    }
}

impl Soak {
    fn start(seed: u64, boxes: usize) -> Self {
        let halls: Vec<&'static str> = HALLS.iter().copied().cycle().take(boxes).collect();
        let boxes = Boxes::new("answer-ends-soak", seed, halls.leak());
        let mut soak = Self {
            random: StdRng::seed_from_u64(seed),
            proxies: PathProxies::default(),
            upstreams: Vec::new(),
            shared: Arc::new(Shared {
                addrs: boxes.addrs.clone(),
                answers: Mutex::default(),
                stop: AtomicBool::new(false),
            }),
            version: 1,
            boxes,
        };
        for pool in ["engines", "services"] {
            for number in 0..PROXIED + DIRECT {
                soak.add_upstream(pool, number < PROXIED);
            }
        }
        soak.change_config();
        soak.boxes.start_all();
        soak.add_processes();
        soak
    }

    fn add_processes(&self) {
        for running in &self.boxes.town.boxes {
            self.proxies.add_process(running.pid());
        }
    }

    fn add_upstream(&mut self, pool: &str, is_proxied: bool) {
        let id = format!("{pool}-{}", self.upstreams.len());
        let upstream = ScriptedUpstream::start_on_own_ip(&id, pool, "v1");
        upstream.set_action(well(pool));
        let mut record = upstream.record();
        if is_proxied {
            record.addr = self.proxies.start_proxy(record.addr);
        }
        self.boxes.town.store.put_upstream(&record);
        self.upstreams.push(Upstream {
            upstream,
            is_proxied,
        });
    }

    /// A new configuration of the same routes.
    fn change_config(&mut self) {
        self.version += 1;
        let site = site_config_with_once(self.version, &[KEY]);
        self.boxes.town.store.put_site(&site);
    }

    /// One random fault or change; some last, until another step or the end undoes them.
    fn step(&mut self) {
        let number = self.random.random_range(0..self.boxes.town.boxes.len());
        match self.random.random_range(0..24) {
            0..=7 => self.end_early("engines"),
            8..=11 => self.end_early("services"),
            12 | 13 => self.fail_paths(number),
            14 | 15 => self.proxies.heal(),
            16 => self.boxes.kill(number),
            17 => self.stop_beside_changes(number),
            18 => {
                let pause = Duration::from_millis(self.random.random_range(50..900));
                self.boxes.pause(number, pause);
            }
            19 => self.boxes.store_paths[number].set(Fault::Cut),
            20 => {
                self.boxes.town.store.set_fault(StoreFault::Silent);
                thread::sleep(Duration::from_millis(self.random.random_range(100..1_500)));
                self.boxes.town.store.set_fault(StoreFault::None);
            }
            21 => self.boxes.town.boxes[number].signal("HUP"),
            22 => self.change_config(),
            _ => self.heal(),
        }
        self.add_processes();
        self.replace_exited();
        thread::sleep(Duration::from_millis(self.random.random_range(50..400)));
    }

    /// Lets some upstreams end their answers early, or whole ones in unusual ways.
    fn end_early(&mut self, pool: &str) {
        for _ in 0..self.random.random_range(1..=MAX_ENDED_EARLY) {
            self.end_early_at_one(pool);
        }
    }

    fn end_early_at_one(&mut self, pool: &str) {
        let random = &mut self.random;
        let of_pool = self.upstreams.iter().filter(|u| u.serves(pool));
        let of_pool: Vec<&Upstream> = of_pool.collect();
        let Upstream {
            upstream,
            is_proxied,
        } = of_pool[random.random_range(0..of_pool.len())];
        let framings = [
            BodyFraming::Length,
            BodyFraming::Chunks,
            BodyFraming::Connection,
        ];
        let framing = framings[random.random_range(0..3)];
        let ends = [BodyEnd::Framed, BodyEnd::Reset, BodyEnd::Exit];
        // Behind a proxy, an upstream that has exited looks like one that accepts connections.
        let end = ends[random.random_range(0..if *is_proxied { 2 } else { 3 })];
        let is_whole = random.random_bool(0.25) && end == BodyEnd::Framed;
        let action = if pool == "engines" {
            let line_ends = [LineEnd::Lf, LineEnd::Crlf, LineEnd::Cr, LineEnd::Mixed];
            UpstreamAction::Events(EventScript {
                last_sent: (!is_whole).then(|| random.random_range(0..EVENTS)),
                // Nothing tells a clean end between events from that of a whole stream.
                is_torn: end == BodyEnd::Framed || random.random_bool(0.5),
                line_end: line_ends[random.random_range(0..4)],
                framing,
                end,
                piece_bytes: [0, 0, 1, 7][random.random_range(0..4)],
                gap_ms: EVENT_GAP_MS,
                ..EventScript::whole(EVENTS)
            })
        } else {
            UpstreamAction::Plain(PlainScript {
                is_cut: end != BodyEnd::Framed,
                framing,
                end,
            })
        };
        upstream.set_action(action);
    }

    /// Lets a box lose its paths to all upstreams behind proxies, or to some.
    fn fail_paths(&mut self, number: usize) {
        let faults = [PathFault::Hang, PathFault::Reset, PathFault::RefuseNew];
        let fault = faults[self.random.random_range(0..3)];
        let pid = self.boxes.town.boxes[number].pid();
        if self.random.random_bool(0.5) {
            self.proxies.set_fault(pid, fault);
            return;
        }
        let proxied = self.upstreams.iter().filter(|u| u.is_proxied);
        let addrs: Vec<_> = proxied.map(|u| u.upstream.record().addr).collect();
        let some = addrs.into_iter().filter(|_| self.random.random_bool(0.5));
        let some = some.collect();
        self.proxies.set_fault_to(pid, fault, some);
    }

    /// Stops a box while its callers keep coming, and meanwhile reloads its settings and changes what is around it.
    fn stop_beside_changes(&mut self, number: usize) {
        self.boxes.town.boxes[number].signal("HUP");
        self.change_config();
        self.end_early("engines");
        let other = (number + 1) % self.boxes.town.boxes.len();
        self.fail_paths(other);
        self.boxes.stop(number);
        self.proxies.heal();
    }

    /// Starts an upstream in place of each one that has exited.
    fn replace_exited(&mut self) {
        for pool in ["engines", "services"] {
            let living = self.upstreams.iter().filter(|u| u.serves(pool)).count();
            for _ in living..PROXIED + DIRECT {
                self.add_upstream(pool, false);
            }
        }
        for gone in self.upstreams.iter().filter(|u| u.upstream.has_exited()) {
            self.boxes.town.store.remove_upstream(&gone.upstream.id());
        }
    }

    fn heal(&mut self) {
        self.boxes.town.store.set_fault(StoreFault::None);
        self.proxies.heal();
        for path in &self.boxes.store_paths {
            path.set(Fault::None);
        }
        for Upstream { upstream, .. } in &self.upstreams {
            upstream.set_action(well(&upstream.record().pool));
        }
    }

    /// Compares what callers hold with what upstreams meant to send, and with what they ran.
    fn check(&self) -> Vec<String> {
        let mut runs: HashMap<String, usize> = HashMap::new();
        for Upstream { upstream, .. } in &self.upstreams {
            let received = upstream.received_requests();
            for request in received.iter().filter(|request| request.was_run) {
                let id = request.header("ivyweir-request-id").unwrap_or("-");
                *runs.entry(id.to_owned()).or_default() += 1;
            }
        }
        let answers = self.shared.answers.lock().expect("no panic");
        let faults = answers.iter().flat_map(|answer| {
            let runs = runs.get(&answer.id).copied().unwrap_or(0);
            faults_of(answer, runs).into_iter().map(move |fault| {
                let Answer {
                    id, kind, version, ..
                } = answer;
                format!("{id} ({kind}, HTTP/{version}) {fault}")
            })
        });
        faults.collect()
    }
}

/// What is wrong with an answer, if anything.
fn faults_of(answer: &Answer, runs: usize) -> Vec<String> {
    let Answer {
        id,
        kind,
        status,
        is_complete,
        ..
    } = answer;
    let mut faults = Vec::new();
    let is_repeatable = !matches!(*kind, "unsafe" | "once");
    if !is_repeatable && runs > 1 {
        faults.push(format!("ran {runs} times"));
    }
    if !is_repeatable && matches!(status, 408 | 421 | 429 | 503) && runs > 0 {
        faults.push(format!("got {status} and ran"));
    }
    if *status != 200 {
        return faults;
    }
    let text = answer.text.replace("\r\n", "\n").replace('\r', "\n");
    let expected = match *kind {
        "safe" | "unsafe" => format!("echo of {} bytes", id.len()),
        _ => EventScript::whole(EVENTS).text_up_to(EVENTS),
    };
    let is_right = if *is_complete {
        text == expected
    } else {
        expected.starts_with(&text)
    };
    if !is_right {
        faults.push(format!("got {text:?}, complete: {is_complete}"));
    }
    faults
}

fn well(pool: &str) -> UpstreamAction {
    if pool != "engines" {
        return UpstreamAction::Answer(200);
    }
    UpstreamAction::Events(EventScript {
        gap_ms: EVENT_GAP_MS,
        ..EventScript::whole(EVENTS)
    })
}

fn soak(seed: u64, steps: u32, boxes: usize) {
    let mut soak = Soak::start(seed, boxes);
    let callers = start_callers(&soak.shared, boxes, seed);
    for _ in 0..steps {
        soak.step();
    }
    soak.heal();
    soak.boxes.until_all_ready();
    soak.shared.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("no caller panics");
    }
    let faults = soak.check();
    let answers = soak.shared.answers.lock().expect("no panic");
    let count =
        |is_counted: &dyn Fn(&Answer) -> bool| answers.iter().filter(|a| is_counted(a)).count();
    let whole = count(&|a| a.status == 200 && a.is_complete);
    let broken_off = count(&|a| a.status == 200 && !a.is_complete);
    println!(
        "seed {seed}, {steps} steps, {boxes} boxes: {} requests, {whole} whole, {broken_off} broken off, {} wrong",
        answers.len(),
        faults.len(),
    );
    assert!(
        faults.is_empty(),
        "seed {seed}: {faults:#?}\nlogs in {}",
        soak.boxes.folder.display()
    );
    assert!(whole > 0, "seed {seed}: nothing was served");
    assert!(broken_off > 0, "seed {seed}: no answer ended early");
    let _left_behind = std::fs::remove_dir_all(&soak.boxes.folder);
}

#[test]
fn answers_that_end_early_never_look_complete() {
    let (seed, steps) = seed_and_steps(CI_SEED, CI_STEPS);
    let boxes = std::env::var("IVYWEIR_SOAK_BOXES").ok();
    let boxes = boxes.and_then(|boxes| boxes.parse().ok());
    soak(seed, steps, boxes.unwrap_or(CI_BOXES));
}

#[test]
fn seeds_that_failed_once_pass() {
    for seed in KEPT_SEEDS {
        soak(seed, KEPT_STEPS, CI_BOXES);
    }
}
