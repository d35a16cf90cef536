//! Times to recover on nine boxes: a change in force, a box killed, an upstream leaving.

use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_policy::Intent;
use ivyweir_standins::cluster::fast_engine_options;
use ivyweir_standins::{CallCount, Cluster, ClusterSpec, PlatformFaults};

use crate::Args;

type Failure = Box<dyn std::error::Error>;

const HALLS: [&str; 9] = [
    "hall-a", "hall-b", "hall-c", "hall-d", "hall-a", "hall-b", "hall-c", "hall-d", "hall-a",
];
const CALLERS: usize = 12;
const WATCHED: Duration = Duration::from_secs(6);
const ROUNDS: usize = 9;

/// Measures and prints.
pub fn run(args: &Args, binary: &Path) -> Result<(), Failure> {
    let engines = (0..6)
        .map(|_| fast_engine_options(&[("notes@v1", 0.9)]))
        .collect();
    let mut world = ClusterSpec::new(binary, &HALLS, engines).start()?;
    world.configure(&[("notes@v1", 1_000, 0.9)], &[("studio", 0.5, 1)]);
    thread::sleep(Duration::from_secs(3));
    println!("| what, nine boxes | measured |\n|---|---|");
    let at_rest = store_calls(&world, || thread::sleep(Duration::from_secs(args.seconds)));
    println!("| store calls/s at rest | {at_rest:.1} |");
    let under_load = store_calls(&world, || {
        under_calls(&world, 0..HALLS.len(), || {
            thread::sleep(Duration::from_secs(args.seconds))
        });
    });
    println!("| store calls/s under load | {under_load:.1} |");
    in_force(&world, "store as usual");
    world.platform.set_faults(PlatformFaults {
        delay_ms: 300,
        ..PlatformFaults::default()
    });
    in_force(&world, "each store call 300 ms slower");
    world.platform.set_faults(PlatformFaults::default());
    leaving(&world);
    killed(&mut world);
    Ok(())
}

fn store_calls(world: &Cluster, during: impl FnOnce()) -> f64 {
    let total = |c: CallCount| (c.reads + c.watches + c.writes) as f64;
    let (before, started) = (total(world.platform.count()), Instant::now());
    during();
    (total(world.platform.count()) - before) / started.elapsed().as_secs_f64()
}

fn in_force(world: &Cluster, what: &str) {
    let mut times_ms: Vec<u128> = (0..ROUNDS)
        .map(|n| {
            let intent = Intent::CreateEvent {
                name: format!("{what} {n}").into(),
                start_ms: 1,
                workspaces: vec![],
            };
            let operator = world.operator(n % HALLS.len());
            let plan = operator.plan(&intent).expect("the intent fits");
            let started = Instant::now();
            operator.confirm(&plan).expect("the box answers");
            world.wait_for_generation(plan.base_generation + 1);
            started.elapsed().as_millis()
        })
        .collect();
    times_ms.sort_unstable();
    let (median, worst) = (times_ms[ROUNDS / 2], times_ms[ROUNDS - 1]);
    println!(
        "| confirm to in force on all, {what}: median, worst of {ROUNDS} | {median} ms, {worst} ms |"
    );
}

/// Calls boxes all the time while `during` runs. Returns when, since the start, calls failed.
fn under_calls(
    world: &Cluster,
    boxes: std::ops::Range<usize>,
    during: impl FnOnce(),
) -> (usize, Vec<Duration>) {
    let (stop, failures) = (AtomicBool::new(false), Mutex::new(Vec::new()));
    let callers: Vec<_> = boxes.map(|at| world.caller(at, "studio")).collect();
    let started = Instant::now();
    let mut calls = 0;
    thread::scope(|scope| {
        let workers: Vec<_> = (0..CALLERS)
            .map(|n| {
                let (stop, failures, caller) = (&stop, &failures, &callers[n % callers.len()]);
                scope.spawn(move || {
                    let mut count = 0;
                    while !stop.load(Ordering::Relaxed) {
                        count += 1;
                        if !caller.chat("notes", &format!("{n} {count}"), 8).complete {
                            failures.lock().expect("no panic").push(started.elapsed());
                        }
                    }
                    count
                })
            })
            .collect();
        during();
        stop.store(true, Ordering::Relaxed);
        calls = workers
            .into_iter()
            .map(|w| w.join().expect("no panic"))
            .sum();
    });
    (calls, failures.into_inner().expect("no panic"))
}

fn leaving(world: &Cluster) {
    let engine = &world.engines[0];
    let mut marked = Duration::ZERO;
    let (calls, failures) = under_calls(world, 0..HALLS.len(), || {
        thread::sleep(Duration::from_secs(1));
        world.platform.mark_leaving("engine-00");
        marked = engine.now();
        thread::sleep(WATCHED);
    });
    let last = engine
        .runs()
        .into_iter()
        .map(|r| r.at)
        .max()
        .unwrap_or_default();
    let after_ms = last.saturating_sub(marked).as_millis();
    println!("| upstream marked leaving to its last new request | {after_ms} ms |");
    println!(
        "| requests failed meanwhile | {} of {calls} |",
        failures.len()
    );
}

/// Callers use the eight boxes that stay; what they notice of the ninth is what is measured.
fn killed(world: &mut Cluster) {
    let victim = HALLS.len() - 1;
    let pid = world.running_box(victim).pid().to_string();
    let (calls, failures) = under_calls(world, 0..victim, || {
        thread::sleep(Duration::from_secs(1));
        let sent = std::process::Command::new("kill")
            .args(["-KILL", &pid])
            .status();
        assert!(sent.is_ok_and(|s| s.success()), "the box is killed");
        thread::sleep(WATCHED);
    });
    let last_ms = failures
        .iter()
        .max()
        .map_or(0, |t| t.as_millis().saturating_sub(1_000));
    println!(
        "| a box killed: requests of the other eight that failed, and when the last did | {} of {calls}, {last_ms} ms |",
        failures.len()
    );
}
