//! A randomised run: callers, operators, faults and restarts, with a seed that replays it.
//!
//! Invariants are asserted inside `ivyweird`, which aborts on a broken one, and here from the
//! stand-ins' own records. `IVYWEIR_SEED` and `IVYWEIR_STEPS` set another seed and a longer run.

mod common;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use attohttpc::Method;
use common::{at, event, spec, start};
use ivyweir_operator::ConfirmReply;
use ivyweir_policy::{Guard, Intent};
use ivyweir_standins::cluster::{SERVICES, epoch_ms};
use ivyweir_standins::{
    Behaviour, Caller, Cluster, ClusterSpec, Fault, PlatformFaults, text, wait_until,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

const BOXES: usize = 4;
const CALLERS: usize = 6;
const DEFAULT_SEED: u64 = 20_261_202;
const DEFAULT_STEPS: usize = 24;

fn setting<T: std::str::FromStr>(name: &str, default: T) -> T {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(default)
}

/// What callers were told, for the comparison at the end.
#[derive(Default)]
struct Told {
    /// Request keys whose whole answer came.
    whole: Mutex<HashSet<String>>,
    /// Not-repeatable keys that were refused as not run every time they were sent.
    never_run: Mutex<HashMap<String, bool>>,
    /// Versions by session.
    sessions: Mutex<HashMap<String, String>>,
    requests: AtomicUsize,
    refused: AtomicUsize,
}

/// Where callers find the boxes; an address is empty while its box is down.
struct Entrances(Mutex<Vec<String>>);

impl Entrances {
    fn of(world: &Cluster) -> Self {
        let urls = (0..BOXES).map(|at| world.running_box(at).caller_url());
        Self(Mutex::new(urls.collect()))
    }

    fn set(&self, at: usize, url: String) {
        self.0.lock().expect("no panic with the lock")[at] = url;
    }

    fn caller(&self, at: usize) -> Option<Caller> {
        let urls = self.0.lock().expect("no panic with the lock");
        let url = urls[at].clone();
        (!url.is_empty())
            .then(|| Caller::new(&url, &ivyweir_standins::cluster::workspace_key("studio")))
    }
}

fn call_until(stop: &AtomicBool, entrances: &Entrances, told: &Told, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut session: Option<String> = None;
    let mut n = 0;
    while !stop.load(Ordering::Relaxed) {
        n += 1;
        let Some(caller) = entrances.caller(rng.random_range(0..BOXES)) else {
            continue;
        };
        told.requests.fetch_add(1, Ordering::Relaxed);
        match rng.random_range(0..10) {
            0 => session = caller.open_session().ok(),
            1..=3 => activate(
                &caller,
                entrances,
                told,
                &mut rng,
                &format!("k-{seed}-{n}"),
                session.as_deref(),
            ),
            4..=5 => in_session(&caller, told, session.as_deref(), n),
            draw => {
                let key = format!("c-{seed}-{n}");
                let keyed = caller.with_header("Idempotency-Key", &key);
                let outcome = if draw % 2 == 0 {
                    keyed.chat("notes", &key, 8)
                } else {
                    keyed.stream("notes", &key, 8)
                };
                if outcome.complete {
                    assert_eq!(outcome.text.split(' ').count(), 8, "{outcome:?}");
                    let own = text::quality(&key, &outcome.text).is_some();
                    assert!(own, "an answer to another request: {outcome:?}");
                    told.whole
                        .lock()
                        .expect("no panic with the lock")
                        .insert(key);
                } else {
                    told.refused.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }
}

/// Sends a not-repeatable request, and perhaps again at other boxes.
fn activate(
    caller: &Caller,
    entrances: &Entrances,
    told: &Told,
    rng: &mut SmallRng,
    key: &str,
    session: Option<&str>,
) {
    let path = format!("/services/{SERVICES}/sims/{key}");
    let mut caller = caller.at_most_once(key);
    for _ in 0..rng.random_range(1..4) {
        let with_session = session.map_or(caller.clone(), |token| caller.in_session(token));
        let outcome = with_session.service(Method::POST, &path, "{}");
        let not_run = outcome.run == "not_run";
        let mut never_run = told.never_run.lock().expect("no panic with the lock");
        *never_run.entry(key.to_owned()).or_insert(true) &= not_run;
        drop(never_run);
        if outcome.status == 200 {
            told.whole
                .lock()
                .expect("no panic with the lock")
                .insert(key.to_owned());
            if rng.random_bool(0.5) {
                return;
            }
        }
        if let Some(other) = entrances.caller(rng.random_range(0..BOXES)) {
            caller = other.at_most_once(key);
        }
    }
}

fn in_session(caller: &Caller, told: &Told, session: Option<&str>, n: usize) {
    let Some(token) = session else {
        return;
    };
    let outcome = caller.in_session(token).chat("notes", &format!("s-{n}"), 4);
    if outcome.complete {
        let mut sessions = told.sessions.lock().expect("no panic with the lock");
        let first = sessions
            .entry(token.to_owned())
            .or_insert_with(|| outcome.version.clone());
        assert_eq!(*first, outcome.version, "a session keeps its version");
    }
}

/// One fault, operator or restart.
fn disturb(world: &mut Cluster, entrances: &Entrances, rng: &mut SmallRng, step: usize) -> String {
    let which = rng.random_range(0..BOXES);
    match rng.random_range(0..11) {
        0 => {
            entrances.set(which, String::new());
            world.kill_box(which);
            thread::sleep(Duration::from_millis(rng.random_range(50..800)));
            restart(world, entrances, which);
            format!("killed box {which}")
        }
        1 => {
            world.running_box(which).signal("STOP");
            thread::sleep(Duration::from_millis(rng.random_range(100..3_500)));
            world.running_box(which).signal("CONT");
            format!("paused box {which}")
        }
        2 => {
            world.running_box(which).signal("TERM");
            let mut stopping = world.boxes[which].take().expect("the box is up");
            let code = stopping.wait_exit(Duration::from_secs(60));
            assert_eq!(code, Some(0), "a planned stop ends well");
            restart(world, entrances, which);
            format!("stopped box {which}")
        }
        3 => {
            world.platform.set_faults(PlatformFaults {
                down: true,
                ..PlatformFaults::default()
            });
            thread::sleep(Duration::from_millis(rng.random_range(200..5_000)));
            world.platform.set_faults(PlatformFaults::default());
            "store out".into()
        }
        4 => {
            let lose_response_every = rng.random_range(1..5);
            world.platform.set_faults(PlatformFaults {
                lose_response_every,
                ..PlatformFaults::default()
            });
            "store loses answers".into()
        }
        5 => {
            world.platform.set_faults(PlatformFaults {
                delay_ms: 100,
                ..PlatformFaults::default()
            });
            "store slow".into()
        }
        6 => {
            let fault = [
                Fault::Cut,
                Fault::HalfOpen,
                Fault::LoseAnswers,
                Fault::DelayMs(40),
            ][rng.random_range(0..4)];
            world.platform_proxies[which].set(fault);
            thread::sleep(Duration::from_millis(rng.random_range(200..4_500)));
            world.platform_proxies[which].set(Fault::None);
            format!("box {which} and the store: {fault:?}")
        }
        7 => {
            let fault = [
                Fault::Cut,
                Fault::HalfOpen,
                Fault::LoseAnswers,
                Fault::TruncateAfter(300),
            ][rng.random_range(0..4)];
            world.peer_proxies[which].set(fault);
            thread::sleep(Duration::from_millis(rng.random_range(200..3_000)));
            world.peer_proxies[which].set(Fault::None);
            format!("peers and box {which}: {fault:?}")
        }
        8 => {
            let engine = &world.engines[rng.random_range(0..world.engines.len())];
            engine.set_down(true);
            thread::sleep(Duration::from_millis(rng.random_range(50..500)));
            engine.set_down(false);
            "an engine died and came back".into()
        }
        9 => {
            let spoilt = Behaviour {
                truncate_rate: 0.2,
                mismatch_rate: 0.1,
                fail_rate: 0.1,
                ..Behaviour::good(0.9)
            };
            for engine in &world.engines {
                engine.set_behaviour("notes@v2", spoilt);
            }
            "notes@v2 spoils answers".into()
        }
        _ => {
            let now_ms = epoch_ms();
            let intent = match rng.random_range(0..3) {
                0 => event(&format!("event-{step}")),
                1 => Intent::SetCurrent {
                    at: at(["notes@v1", "notes@v2"][rng.random_range(0..2)]),
                },
                _ => Intent::Roll {
                    workspace: "studio".into(),
                    to: at("notes@v2"),
                    target_permille: 500,
                    start_ms: now_ms,
                    until_ms: now_ms + 2_000,
                    steps: 4,
                    guard: Guard::default(),
                },
            };
            let operator = world.operator(which);
            let confirmed = operator
                .plan(&intent)
                .and_then(|plan| operator.confirm(&plan));
            if let Ok(ConfirmReply::Applied { generation, .. }) = confirmed {
                world.platform.set_faults(PlatformFaults::default());
                world.wait_for_generation(generation);
                return format!("generation {generation} is in force");
            }
            "an intent that was not accepted".into()
        }
    }
}

fn restart(world: &mut Cluster, entrances: &Entrances, which: usize) {
    world.start_box(which).expect("the box starts");
    entrances.set(which, world.running_box(which).caller_url());
}

#[test]
fn promises_hold_in_a_randomised_run() {
    let seed = setting("IVYWEIR_SEED", DEFAULT_SEED);
    let steps = setting("IVYWEIR_STEPS", DEFAULT_STEPS);
    println!("IVYWEIR_SEED={seed} IVYWEIR_STEPS={steps}");
    let mut world = start(ClusterSpec {
        platform_proxies: true,
        peer_proxies: true,
        limits: Some(json!({ "session_key_ms": 10_000 })),
        ..spec(&["hall-a", "hall-b", "hall-c", "hall-d"])
    });
    let (stop, told, entrances) = (
        AtomicBool::new(false),
        Told::default(),
        Entrances::of(&world),
    );
    let mut rng = SmallRng::seed_from_u64(seed);
    thread::scope(|scope| {
        for caller in 0..CALLERS as u64 {
            let (stop, told, entrances) = (&stop, &told, &entrances);
            scope.spawn(move || call_until(stop, entrances, told, seed * 100 + caller));
        }
        for step in 0..steps {
            let what = disturb(&mut world, &entrances, &mut rng, step);
            println!("step {step}: {what}");
            for process in world.boxes.iter_mut().flatten() {
                assert!(
                    process.is_running(),
                    "a broken invariant stopped {}",
                    process.settings.box_name
                );
            }
            thread::sleep(Duration::from_millis(rng.random_range(0..400)));
        }
        world.platform.set_faults(PlatformFaults::default());
        stop.store(true, Ordering::Relaxed);
    });
    compare(&world, &told);
}

/// Holds what callers were told against what upstreams and the store recorded.
fn compare(world: &Cluster, told: &Told) {
    world.wait_ready();
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in world.services.iter().flat_map(|s| s.runs()) {
        *runs.entry(run.key).or_default() += 1;
    }
    let twice: Vec<_> = runs.iter().filter(|(_, n)| **n > 1).collect();
    assert!(
        twice.is_empty(),
        "not repeatable, yet ran more than once: {twice:?}"
    );
    for (key, never_run) in told
        .never_run
        .lock()
        .expect("no panic with the lock")
        .iter()
    {
        assert!(
            !never_run || !runs.contains_key(key),
            "{key} was told as not run, yet ran"
        );
    }
    let whole = told.whole.lock().expect("no panic with the lock");
    let billed = || {
        let mut keys: HashMap<String, usize> = HashMap::new();
        for body in world.platform.objects_with_prefix("bill/") {
            let segment: ivyweir_policy::billing::Segment =
                serde_json::from_slice(&body).expect("a segment");
            for record in segment.records {
                *keys.entry(record.key.to_string()).or_default() += 1;
            }
        }
        keys
    };
    wait_until("every whole answer is billed", || {
        let billed = billed();
        whole.iter().all(|key| billed.contains_key(key))
    });
    let bill = world.operator(0).bill().expect("the bill can be read");
    let total = bill.workspaces["studio"].requests;
    assert_eq!(total, billed().len() as u64, "each key is billed once");
    println!(
        "{} requests, {} whole answers, {} plain refusals, {} activations run once, {total} billed, {} repeated records",
        told.requests.load(Ordering::Relaxed),
        whole.len(),
        told.refused.load(Ordering::Relaxed),
        runs.len(),
        bill.repeated_records
    );
    assert!(whole.len() > 100, "the run did something");
}
