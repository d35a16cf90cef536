//! A random soak with a part of prompts under which engines exit and come back: boxes that are stopped, killed and
//! paused, cut from the store, a store that fails, engines that exit for other causes.
//!
//! `IVYWEIR_SOAK_SEED` chooses the faults and `IVYWEIR_SOAK_STEPS` how many; callers' timing is not replayed.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bytes::Bytes;
use ivyweir_standins::Fault;
use ivyweir_standins::edge::{
    BodyEnd, EventScript, KEY, Reply, RestartingPool, ScriptedUpstream, StoreFault, UpstreamAction,
    call,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use common::soak::{Addrs, Boxes, seed_and_steps};

const CI_SEED: u64 = 20_261_204;
const CI_STEPS: u32 = 16;
const HALLS: [&str; 5] = ["hall-a", "hall-a", "hall-b", "hall-b", "hall-c"];
const ENGINES: usize = 16;
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
const EXIT_DELAY_MS: u64 = 60;
const HARMFUL: &str = "bad0";
const HARM_GAP: Duration = Duration::from_millis(150);
const SOUND_CALLERS: u64 = 8;
/// Exits under the part after which boxes that are in touch may send requests with it a few times more.
const EXITS: usize = 5;
const MORE_SENDS: usize = 3;
/// Time for boxes to hear of it, and time without a fault after which a box counts as in touch.
const IN_TOUCH: Duration = Duration::from_secs(3);
/// Share of the sound requests that are refused as harmful at most.
const MAX_REFUSED_SHARE: f64 = 0.05;

struct Calls {
    addrs: Addrs,
    is_stopped: AtomicBool,
    sound: AtomicU64,
    sound_refused: AtomicU64,
    /// Harmful requests, by the box and the time at which they were sent.
    harmful: Mutex<Vec<(String, usize, Instant)>>,
}

impl Calls {
    fn addr(&self, number: usize) -> Option<SocketAddr> {
        self.addrs.lock().expect("no panic")[number]
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }
}

fn ask(addr: SocketAddr, id: &str, shared: &[&str]) -> Option<Reply> {
    let own = format!("own-{id}");
    let parts = shared.iter().copied().chain([own.as_str()]);
    let parts: Vec<String> = parts.map(|part| format!("{part}:50")).collect();
    let (parts, auth) = (parts.join(","), format!("Bearer {KEY}"));
    let headers = [
        ("ivyweir-request-id", id),
        ("authorization", auth.as_str()),
        ("ivyweir-prompt-parts", parts.as_str()),
    ];
    let body = Bytes::from(id.to_owned());
    call(addr, "POST", "/stream/x", &headers, body).ok()
}

fn start_callers(calls: &Arc<Calls>, seed: u64) -> Vec<JoinHandle<()>> {
    let sound = (0..SOUND_CALLERS).map(|caller| {
        let calls = calls.clone();
        thread::spawn(move || {
            let mut random = StdRng::seed_from_u64(seed ^ (caller + 1));
            let own_part = format!("c{caller}");
            for number in 0.. {
                if calls.is_stopped() {
                    return;
                }
                let at = random.random_range(0..HALLS.len());
                let Some(addr) = calls.addr(at) else {
                    continue;
                };
                calls.sound.fetch_add(1, Ordering::Relaxed);
                let reply = ask(addr, &format!("s-{caller}-{number}"), &["a0", &own_part]);
                if reply.is_some_and(|reply| reply.text().contains("quarantined")) {
                    calls.sound_refused.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(20));
                }
            }
        })
    });
    let mut callers: Vec<JoinHandle<()>> = sound.collect();
    let calls = calls.clone();
    callers.push(thread::spawn(move || {
        let mut random = StdRng::seed_from_u64(!seed);
        let mut sent = Vec::new();
        for number in 0.. {
            if calls.is_stopped() {
                break;
            }
            let at = random.random_range(0..HALLS.len());
            if let Some(addr) = calls.addr(at) {
                let id = format!("h-{number}");
                let harmful = (id.clone(), at, Instant::now());
                calls.harmful.lock().expect("no panic").push(harmful);
                sent.push(thread::spawn(move || ask(addr, &id, &["a0", HARMFUL])));
            }
            thread::sleep(HARM_GAP);
        }
        for caller in sent {
            caller.join().expect("no caller panics");
        }
    }));
    callers
}

/// A span in which a box, or all of them, were disturbed.
struct Trouble {
    number: Option<usize>,
    from: Instant,
    until: Instant,
}

struct Soak {
    boxes: Boxes,
    pool: RestartingPool,
    random: StdRng,
    troubles: Vec<Trouble>,
}

impl Soak {
    fn start(seed: u64) -> Self {
        let mut boxes = Boxes::new("prompt-parts-soak", seed, &HALLS);
        let whole = EventScript {
            gap_ms: 20,
            ..EventScript::whole(8)
        };
        let exits = EventScript {
            last_sent: Some(0),
            gap_ms: EXIT_DELAY_MS,
            end: BodyEnd::Exit,
            ..whole.clone()
        };
        let engines = (0..ENGINES).map(|n| {
            let name = format!("engine-{n}");
            let engine = ScriptedUpstream::start_incarnation(&name, 0, "engines", "v1");
            engine.set_action(UpstreamAction::Events(whole.clone()));
            engine.set_action_for_prompt_part(HARMFUL, UpstreamAction::Events(exits.clone()));
            engine
        });
        let pool = RestartingPool::start(&boxes.town.store, engines.collect(), RESTART_DELAY);
        boxes.start_all();
        Self {
            boxes,
            pool,
            random: StdRng::seed_from_u64(seed),
            troubles: Vec::new(),
        }
    }

    /// One random fault.
    fn step(&mut self) {
        let number = self.random.random_range(0..HALLS.len());
        let for_ms = self.random.random_range(100..900);
        let lasts = Duration::from_millis(for_ms);
        let from = Instant::now();
        let disturbed = match self.random.random_range(0..8) {
            0 => self.cut_from_store(number, Fault::Cut, lasts),
            1 => self.cut_from_store(number, Fault::HalfOpen, lasts),
            2 => self.break_store(StoreFault::Refuse, lasts),
            3 => self.break_store(StoreFault::Silent, lasts),
            4 => {
                self.boxes.pause(number, lasts);
                Some(Some(number))
            }
            5 => {
                self.boxes.stop(number);
                Some(Some(number))
            }
            6 => {
                self.boxes.kill(number);
                Some(Some(number))
            }
            _ => {
                let engines = self.pool.incarnations();
                let running = engines.iter().filter(|engine| !engine.has_exited());
                running.take(3).for_each(ScriptedUpstream::exit);
                None
            }
        };
        if let Some(number) = disturbed {
            let until = Instant::now();
            self.troubles.push(Trouble {
                number,
                from,
                until,
            });
        }
        // In a series, the next fault begins while the last one still has effects.
        if self.random.random_bool(0.5) {
            thread::sleep(Duration::from_millis(for_ms));
        }
    }

    fn cut_from_store(
        &mut self,
        number: usize,
        fault: Fault,
        lasts: Duration,
    ) -> Option<Option<usize>> {
        self.boxes.store_paths[number].set(fault);
        thread::sleep(lasts);
        self.boxes.store_paths[number].set(Fault::None);
        Some(Some(number))
    }

    fn break_store(&mut self, fault: StoreFault, lasts: Duration) -> Option<Option<usize>> {
        self.boxes.town.store.set_fault(fault);
        thread::sleep(lasts);
        self.boxes.town.store.set_fault(StoreFault::None);
        Some(None)
    }

    fn is_in_touch(&self, number: usize, at: Instant) -> bool {
        let overlaps = |trouble: &Trouble| {
            let is_here = trouble.number.is_none_or(|n| n == number);
            is_here && trouble.from <= at && at <= trouble.until + IN_TOUCH
        };
        !self.troubles.iter().any(overlaps)
    }

    /// Number of exits under the part, and of sends with it by boxes in touch after the last exit that is allowed.
    fn harm(&self, calls: &Calls) -> (usize, usize) {
        let harmful = calls.harmful.lock().expect("no panic");
        let mut exits = Vec::new();
        let mut sends = Vec::new();
        for engine in self.pool.incarnations() {
            let seen = engine.received_requests();
            let of_part: Vec<(usize, Instant)> = seen
                .iter()
                .filter_map(|seen| {
                    let id = seen.header("ivyweir-request-id")?;
                    let (_, number, _) = harmful.iter().find(|(known, _, _)| known == id)?;
                    Some((*number, seen.received_at))
                })
                .collect();
            let first = of_part.iter().map(|(_, at)| *at).min();
            exits.extend(first.map(|at| at + Duration::from_millis(EXIT_DELAY_MS)));
            sends.extend(of_part);
        }
        exits.sort();
        let late = exits.get(EXITS - 1).map_or(0, |last| {
            let is_late = |(number, at): &&(usize, Instant)| {
                *at > *last + IN_TOUCH && self.is_in_touch(*number, *at)
            };
            sends.iter().filter(is_late).count()
        });
        (exits.len(), late)
    }
}

/// Guards against a part that is forgotten, or known to some boxes only, while these stop, start and lose the store.
#[test]
fn harmful_parts_are_sent_no_more_in_a_random_soak() {
    let (seed, steps) = seed_and_steps(CI_SEED, CI_STEPS);
    let mut soak = Soak::start(seed);
    let calls = Arc::new(Calls {
        addrs: soak.boxes.addrs.clone(),
        is_stopped: AtomicBool::new(false),
        sound: AtomicU64::new(0),
        sound_refused: AtomicU64::new(0),
        harmful: Mutex::default(),
    });
    let callers = start_callers(&calls, seed);
    for _ in 0..steps {
        soak.step();
    }
    soak.boxes.until_all_ready();
    // After the last fault all boxes are in touch again, and harmful requests still come.
    thread::sleep(IN_TOUCH + IN_TOUCH / 2);
    calls.is_stopped.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("no caller panics");
    }
    let (exits, late) = soak.harm(&calls);
    let sound = calls.sound.load(Ordering::Relaxed);
    let refused = calls.sound_refused.load(Ordering::Relaxed);
    println!(
        "seed {seed}, {steps} steps: {exits} exits, {late} late sends, {refused} of {sound} sound requests refused"
    );
    let logs = soak.boxes.folder.display();
    assert!(
        late <= MORE_SENDS,
        "seed {seed}: {late} late sends, logs in {logs}"
    );
    assert!(sound > 0, "seed {seed}: nothing was asked");
    let share = refused as f64 / sound as f64;
    assert!(
        share <= MAX_REFUSED_SHARE,
        "seed {seed}: {share:.3} refused, logs in {logs}"
    );
    let _left_behind = std::fs::remove_dir_all(&soak.boxes.folder);
}
