//! What a box costs at rest, in fleets of several sizes: processor time, memory, bytes, store calls.

use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

use ivyweir_policy::Intent;
use ivyweir_standins::cluster::fast_engine_options;
use ivyweir_standins::{BoxProcess, Cluster, ClusterSpec};

use crate::Args;

type Failure = Box<dyn std::error::Error>;

const HALLS: [&str; 4] = ["hall-a", "hall-b", "hall-c", "hall-d"];
const SETTLE: Duration = Duration::from_secs(5);
/// Clock ticks a second in `/proc`.
const TICKS_PER_S: f64 = 100.0;

#[derive(Clone, Copy, Default)]
struct Use {
    ticks: u64,
    digest_bytes: f64,
    exchanges: f64,
    load_polls: f64,
}

/// Measures fleets of these sizes and prints a table.
pub fn run(args: &Args, binary: &Path, sizes: &str) -> Result<(), Failure> {
    println!(
        "| boxes | upstreams | core % per box | resident MB per box | digest KB/s per box | exchanges/s per box | load polls/s per box | store calls/s in all | change in force ms (median, worst of 5) |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for size in sizes.split(',') {
        measure(args, binary, size.trim().parse()?)?;
    }
    Ok(())
}

fn measure(args: &Args, binary: &Path, boxes: usize) -> Result<(), Failure> {
    let halls: Vec<&'static str> = (0..boxes).map(|at| HALLS[at % HALLS.len()]).collect();
    let upstreams = boxes * 2;
    let engines = (0..upstreams)
        .map(|_| fast_engine_options(&[("notes@v1", 0.9), ("tags@v1", 0.5)]))
        .collect();
    let world = ClusterSpec::new(binary, &halls, engines).start()?;
    world.configure(
        &[("notes@v1", 1_000, 0.9), ("tags@v1", 100, 0.5)],
        &[("studio", 0.5, 1)],
    );
    std::thread::sleep(SETTLE);
    let calls_before = world.platform.count();
    let before: Vec<Use> = world.boxes.iter().flatten().map(read_use).collect();
    let started = Instant::now();
    std::thread::sleep(Duration::from_secs(args.seconds));
    let elapsed_s = started.elapsed().as_secs_f64();
    let after: Vec<Use> = world.boxes.iter().flatten().map(read_use).collect();
    let calls_after = world.platform.count();
    let per_box = |pick: fn(&Use) -> f64| {
        let sum: f64 = before
            .iter()
            .zip(&after)
            .map(|(b, a)| pick(a) - pick(b))
            .sum();
        sum / boxes as f64 / elapsed_s
    };
    let total = |c: ivyweir_standins::CallCount| (c.reads + c.watches + c.writes) as f64;
    let store_calls = (total(calls_after) - total(calls_before)) / elapsed_s;
    let resident: u64 = world
        .boxes
        .iter()
        .flatten()
        .map(BoxProcess::resident_bytes)
        .sum();
    let (median_ms, worst_ms) = in_force(&world);
    println!(
        "| {boxes} | {upstreams} | {:.2} | {:.1} | {:.2} | {:.1} | {:.1} | {store_calls:.1} | {median_ms}, {worst_ms} |",
        per_box(|u| u.ticks as f64) / TICKS_PER_S * 100.0,
        resident as f64 / boxes as f64 / 1e6,
        per_box(|u| u.digest_bytes) / 1e3,
        per_box(|u| u.exchanges),
        per_box(|u| u.load_polls),
    );
    Ok(())
}

/// Times from a confirm until every box has the change, over a few changes.
fn in_force(world: &Cluster) -> (u128, u128) {
    let mut times: Vec<u128> = (0..5)
        .map(|n| {
            let started = Instant::now();
            let intent = Intent::CreateEvent {
                name: format!("event-{n}").into(),
                start_ms: 1,
                workspaces: vec![],
            };
            let generation = world.apply_intent(n % world.boxes.len(), &intent);
            world.wait_for_generation(generation);
            started.elapsed().as_millis()
        })
        .collect();
    times.sort_unstable();
    (times[2], times[4])
}

fn read_use(process: &BoxProcess) -> Use {
    let metrics = attohttpc::get(format!("{}/metrics", process.caller_url()))
        .send()
        .and_then(|r| r.text())
        .unwrap_or_default();
    let read = |name: &str| {
        let line = metrics.lines().find(|l| l.starts_with(name));
        let value = line.and_then(|l| l.rsplit(' ').next()?.parse().ok());
        value.unwrap_or(0.0)
    };
    Use {
        ticks: ticks(process.pid()),
        digest_bytes: read("ivyweir_digest_bytes"),
        exchanges: read("ivyweir_exchanges"),
        load_polls: read("ivyweir_load_polls"),
    }
}

/// Processor time of a process, user and system.
fn ticks(pid: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let field = |at: usize| {
        fields
            .get(at)
            .and_then(|f| f.parse::<u64>().ok())
            .unwrap_or(0)
    };
    field(11) + field(12)
}
