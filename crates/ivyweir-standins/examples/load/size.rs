//! Resource use of an idle box in fleets of several sizes: CPU time, memory, bytes exchanged and
//! store calls.

use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

use ivyweir_policy::Intent;
use ivyweir_standins::cluster::fast_engine_options;
use ivyweir_standins::{BoxProcess, Cluster, ClusterSpec};

use crate::Args;

type DynError = Box<dyn std::error::Error>;

const HALLS: [&str; 4] = ["hall-a", "hall-b", "hall-c", "hall-d"];
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Clock ticks per second of the CPU times in `/proc`.
const TICKS_PER_S: f64 = 100.0;

#[derive(Clone, Copy, Default)]
struct ResourceUsage {
    cpu_ticks: u64,
    digest_bytes: f64,
    exchanges: f64,
    load_polls: f64,
}

/// Measures a fleet of each size in the comma-separated list `sizes` and prints a table.
pub fn run(args: &Args, binary: &Path, sizes: &str) -> Result<(), DynError> {
    println!(
        "| boxes | upstreams | core % per box | resident MB per box | digest KB/s per box | exchanges/s per box | load polls/s per box | store calls/s in all | change in force ms (median, worst of 5) |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for size in sizes.split(',') {
        measure(args, binary, size.trim().parse()?)?;
    }
    Ok(())
}

fn measure(args: &Args, binary: &Path, box_count: usize) -> Result<(), DynError> {
    let halls: Vec<&'static str> = (0..box_count)
        .map(|index| HALLS[index % HALLS.len()])
        .collect();
    let upstream_count = box_count * 2;
    let engines = (0..upstream_count)
        .map(|_| fast_engine_options(&[("notes@v1", 0.9), ("tags@v1", 0.5)]))
        .collect();
    let world = ClusterSpec::new(binary, &halls, engines).start()?;
    world.configure(
        &[("notes@v1", 1_000, 0.9), ("tags@v1", 100, 0.5)],
        &[("studio", 0.5, 1)],
    );
    std::thread::sleep(SETTLE_TIME);
    let calls_before = world.platform.count();
    let before: Vec<ResourceUsage> = world.boxes.iter().flatten().map(read_usage).collect();
    let started_at = Instant::now();
    std::thread::sleep(Duration::from_secs(args.seconds));
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let after: Vec<ResourceUsage> = world.boxes.iter().flatten().map(read_usage).collect();
    let calls_after = world.platform.count();
    let per_box = |pick: fn(&ResourceUsage) -> f64| {
        let sum: f64 = before
            .iter()
            .zip(&after)
            .map(|(b, a)| pick(a) - pick(b))
            .sum();
        sum / box_count as f64 / elapsed_s
    };
    let total = |c: ivyweir_standins::CallCount| (c.reads + c.watches + c.writes) as f64;
    let store_calls_per_s = (total(calls_after) - total(calls_before)) / elapsed_s;
    let resident_bytes: u64 = world
        .boxes
        .iter()
        .flatten()
        .map(BoxProcess::resident_bytes)
        .sum();
    let (median_ms, worst_ms) = change_times_ms(&world);
    println!(
        "| {box_count} | {upstream_count} | {:.2} | {:.1} | {:.2} | {:.1} | {:.1} | {store_calls_per_s:.1} | {median_ms}, {worst_ms} |",
        per_box(|u| u.cpu_ticks as f64) / TICKS_PER_S * 100.0,
        resident_bytes as f64 / box_count as f64 / 1e6,
        per_box(|u| u.digest_bytes) / 1e3,
        per_box(|u| u.exchanges),
        per_box(|u| u.load_polls),
    );
    Ok(())
}

/// Median and maximum time from planning a change until it is in force on every box, over five
/// changes.
fn change_times_ms(world: &Cluster) -> (u128, u128) {
    let mut times_ms: Vec<u128> = (0..5)
        .map(|n| {
            let started_at = Instant::now();
            let intent = Intent::CreateEvent {
                name: format!("event-{n}").into(),
                start_ms: 1,
                workspaces: vec![],
            };
            let generation = world.apply_intent(n % world.boxes.len(), &intent);
            world.wait_for_generation(generation);
            started_at.elapsed().as_millis()
        })
        .collect();
    times_ms.sort_unstable();
    (times_ms[2], times_ms[4])
}

fn read_usage(process: &BoxProcess) -> ResourceUsage {
    let metrics = attohttpc::get(format!("{}/metrics", process.caller_url()))
        .send()
        .and_then(|r| r.text())
        .unwrap_or_default();
    let metric = |name: &str| {
        let line = metrics.lines().find(|l| l.starts_with(name));
        let value = line.and_then(|l| l.rsplit(' ').next()?.parse().ok());
        value.unwrap_or(0.0)
    };
    ResourceUsage {
        cpu_ticks: cpu_ticks(process.pid()),
        digest_bytes: metric("ivyweir_digest_bytes"),
        exchanges: metric("ivyweir_exchanges"),
        load_polls: metric("ivyweir_load_polls"),
    }
}

/// CPU time of a process in clock ticks, user and system (`utime` and `stime` in `/proc/PID/stat`).
fn cpu_ticks(pid: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let field = |index: usize| {
        fields
            .get(index)
            .and_then(|f| f.parse::<u64>().ok())
            .unwrap_or(0)
    };
    field(11) + field(12)
}
