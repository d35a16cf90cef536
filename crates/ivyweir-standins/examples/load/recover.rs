//! Recovery times on nine boxes: time until a configuration change is in force on all boxes, effect
//! of an upstream that leaves, and effect of a killed box. Also measures the rate of store calls.

use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_policy::Intent;
use ivyweir_standins::cluster::fast_engine_options;
use ivyweir_standins::{CallCount, Cluster, ClusterSpec, PlatformFaults};

use crate::Args;

type DynError = Box<dyn std::error::Error>;

const HALLS: [&str; 9] = [
    "hall-a", "hall-b", "hall-c", "hall-d", "hall-a", "hall-b", "hall-c", "hall-d", "hall-a",
];
const CALLER_COUNT: usize = 12;
const OBSERVATION_PERIOD: Duration = Duration::from_secs(6);
const CHANGE_COUNT: usize = 9;

/// Runs all measurements and prints them as a Markdown table.
pub fn run(args: &Args, binary: &Path) -> Result<(), DynError> {
    let engines = (0..6)
        .map(|_| fast_engine_options(&[("notes@v1", 0.9)]))
        .collect();
    let mut world = ClusterSpec::new(binary, &HALLS, engines).start()?;
    world.configure(&[("notes@v1", 1_000, 0.9)], &[("studio", 0.5, 1)]);
    thread::sleep(Duration::from_secs(3));
    println!("| what, nine boxes | measured |\n|---|---|");
    let at_rest = store_call_rate(&world, || thread::sleep(Duration::from_secs(args.seconds)));
    println!("| store calls/s at rest | {at_rest:.1} |");
    let under_load = store_call_rate(&world, || {
        with_load(&world, 0..HALLS.len(), || {
            thread::sleep(Duration::from_secs(args.seconds))
        });
    });
    println!("| store calls/s under load | {under_load:.1} |");
    measure_change(&world, "store as usual");
    world.platform.set_faults(PlatformFaults {
        delay_ms: 300,
        ..PlatformFaults::default()
    });
    measure_change(&world, "each store call 300 ms slower");
    world.platform.set_faults(PlatformFaults::default());
    measure_upstream_leaving(&world);
    measure_killed_box(&mut world);
    Ok(())
}

fn store_call_rate(world: &Cluster, during: impl FnOnce()) -> f64 {
    let total = |c: CallCount| (c.reads + c.watches + c.writes) as f64;
    let (before, started_at) = (total(world.platform.count()), Instant::now());
    during();
    (total(world.platform.count()) - before) / started_at.elapsed().as_secs_f64()
}

fn measure_change(world: &Cluster, condition: &str) {
    let mut times_ms: Vec<u128> = (0..CHANGE_COUNT)
        .map(|n| {
            let intent = Intent::CreateEvent {
                name: format!("{condition} {n}").into(),
                start_ms: 1,
                workspaces: vec![],
            };
            let operator = world.operator(n % HALLS.len());
            let plan = operator.plan(&intent).expect("intent can be planned");
            let started_at = Instant::now();
            operator
                .confirm(&plan)
                .expect("box answers the confirmation");
            world.wait_for_generation(plan.base_generation + 1);
            started_at.elapsed().as_millis()
        })
        .collect();
    times_ms.sort_unstable();
    let (median, worst) = (times_ms[CHANGE_COUNT / 2], times_ms[CHANGE_COUNT - 1]);
    println!(
        "| confirm to in force on all, {condition}: median, worst of {CHANGE_COUNT} | {median} ms, {worst} ms |"
    );
}

/// Sends requests to `boxes` in a closed loop while `during` runs.
///
/// Returns the number of requests, and for each failed one its time since the start.
fn with_load(
    world: &Cluster,
    boxes: std::ops::Range<usize>,
    during: impl FnOnce(),
) -> (usize, Vec<Duration>) {
    let (stop, failures) = (AtomicBool::new(false), Mutex::new(Vec::new()));
    let callers: Vec<_> = boxes
        .map(|box_index| world.caller(box_index, "studio"))
        .collect();
    let started_at = Instant::now();
    let mut request_count = 0;
    thread::scope(|scope| {
        let workers: Vec<_> = (0..CALLER_COUNT)
            .map(|n| {
                let (stop, failures, caller) = (&stop, &failures, &callers[n % callers.len()]);
                scope.spawn(move || {
                    let mut count = 0;
                    while !stop.load(Ordering::Relaxed) {
                        count += 1;
                        if !caller.chat("notes", &format!("{n} {count}"), 8).complete {
                            failures
                                .lock()
                                .expect("worker thread does not panic")
                                .push(started_at.elapsed());
                        }
                    }
                    count
                })
            })
            .collect();
        during();
        stop.store(true, Ordering::Relaxed);
        request_count = workers
            .into_iter()
            .map(|w| w.join().expect("worker thread does not panic"))
            .sum();
    });
    (
        request_count,
        failures.into_inner().expect("worker thread does not panic"),
    )
}

fn measure_upstream_leaving(world: &Cluster) {
    let engine = &world.engines[0];
    let mut marked_at = Duration::ZERO;
    let (request_count, failures) = with_load(world, 0..HALLS.len(), || {
        thread::sleep(Duration::from_secs(1));
        world.platform.mark_leaving("engine-00");
        marked_at = engine.now();
        thread::sleep(OBSERVATION_PERIOD);
    });
    let last_run_at = engine
        .runs()
        .into_iter()
        .map(|r| r.at)
        .max()
        .unwrap_or_default();
    let after_ms = last_run_at.saturating_sub(marked_at).as_millis();
    println!("| upstream marked leaving to its last new request | {after_ms} ms |");
    println!(
        "| requests failed meanwhile | {} of {request_count} |",
        failures.len()
    );
}

/// Kills the last box and counts the failed requests of callers that use the other eight boxes.
fn measure_killed_box(world: &mut Cluster) {
    let killed_index = HALLS.len() - 1;
    let pid = world.running_box(killed_index).pid().to_string();
    let (request_count, failures) = with_load(world, 0..killed_index, || {
        thread::sleep(Duration::from_secs(1));
        let kill_status = std::process::Command::new("kill")
            .args(["-KILL", &pid])
            .status();
        assert!(
            kill_status.is_ok_and(|s| s.success()),
            "kill -KILL {pid} failed"
        );
        thread::sleep(OBSERVATION_PERIOD);
    });
    let last_failure_ms = failures
        .iter()
        .max()
        .map_or(0, |t| t.as_millis().saturating_sub(1_000));
    println!(
        "| a box killed: requests of the other eight that failed, and when the last did | {} of {request_count}, {last_failure_ms} ms |",
        failures.len()
    );
}
