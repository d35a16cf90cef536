//! Open-loop load generator.
//!
//! Arrival times are drawn before the run and do not depend on when earlier requests complete.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_standins::cluster::{Cluster, workspace_key};
use ivyweir_standins::text;
use ivyweir_standins::{Caller, Outcome};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Offset from the start of the run at which the surge or the fault begins.
pub const SURGE_START: Duration = Duration::from_secs(2);
const SURGE_DURATION: Duration = Duration::from_secs(3);
/// Upper bound on concurrent requests; requests beyond it are sent late and counted as such.
const MAX_THREADS: usize = 700;
/// Number of distinct prompt prefixes per workspace.
const PREFIXES_PER_WORKSPACE: u64 = 6;
const PREFIX_CHARS: usize = 1_024;

/// Request rate over time, and the share of surge requests sent by a single workspace.
#[derive(Debug, Clone, Copy)]
pub struct Arrivals {
    rate: u64,
    surge_factor: u64,
    flood_share: f64,
}

impl Arrivals {
    /// A constant rate, in requests per second.
    pub fn steady(rate: u64) -> Self {
        Self {
            rate,
            surge_factor: 1,
            flood_share: 0.0,
        }
    }

    /// A rate that rises at once to ten times its value, for [`SURGE_DURATION`].
    pub fn surge(rate: u64) -> Self {
        Self {
            surge_factor: 10,
            ..Self::steady(rate)
        }
    }

    /// A surge in which 90 % of the requests come from workspace 0 and the rest from workspaces
    /// drawn as usual.
    pub fn flood(rate: u64) -> Self {
        Self {
            flood_share: 0.9,
            ..Self::surge(rate)
        }
    }

    fn rate_at(&self, offset: Duration) -> f64 {
        let in_surge = offset >= SURGE_START && offset < SURGE_START + SURGE_DURATION;
        let factor = if in_surge { self.surge_factor } else { 1 };
        (self.rate * factor) as f64
    }
}

/// Parameters of a load run.
#[derive(Debug, Clone, Copy)]
pub struct Workload {
    /// Seed for arrival times, prompts and answer lengths.
    pub seed: u64,
    /// Period in which requests arrive.
    pub duration: Duration,
    /// Request rate over time.
    pub arrivals: Arrivals,
    /// Minimum and maximum answer length in tokens, both inclusive.
    pub token_range: (u64, u64),
    /// Deadline of each request.
    pub deadline_ms: u64,
    /// Requested model.
    pub model: &'static str,
    /// Number of workspaces that send requests.
    pub workspace_count: usize,
}

#[derive(Debug, Clone)]
struct ScheduledRequest {
    offset: Duration,
    workspace: usize,
    box_index: usize,
    prompt: String,
    tokens: u64,
    stream: bool,
}

/// A completed or failed request.
#[derive(Debug, Clone)]
pub struct RequestResult {
    /// Index of the workspace that sent the request.
    pub workspace: usize,
    /// Response or error that the caller received.
    pub outcome: Outcome,
    /// Quality of the answer; `None` if the answer is incomplete or cannot be rated.
    pub quality: Option<f64>,
    /// Whether the response was requested as a stream.
    pub stream: bool,
    /// Whether the request was sent after its arrival time because all threads were busy.
    pub late: bool,
}

pub fn workspace_name(index: usize) -> String {
    format!("w{index}")
}

/// One caller per box and workspace, indexed by box first.
pub fn callers(world: &Cluster, workspace_count: usize) -> Vec<Vec<Caller>> {
    world
        .boxes
        .iter()
        .flatten()
        .map(|b| {
            (0..workspace_count)
                .map(|w| Caller::new(&b.caller_url(), &workspace_key(&workspace_name(w))))
                .collect()
        })
        .collect()
}

fn draw_schedule(workload: &Workload, box_count: usize) -> Vec<ScheduledRequest> {
    let mut rng = SmallRng::seed_from_u64(workload.seed);
    let mut schedule = Vec::new();
    let mut offset = Duration::ZERO;
    loop {
        let gap_s = -rng.random::<f64>().max(1e-9).ln() / workload.arrivals.rate_at(offset);
        offset += Duration::from_secs_f64(gap_s);
        if offset >= workload.duration {
            return schedule;
        }
        let in_surge = workload.arrivals.rate_at(offset) > workload.arrivals.rate as f64;
        let is_flood = in_surge && rng.random_bool(workload.arrivals.flood_share);
        let workspace = if is_flood {
            0
        } else {
            skewed_workspace(&mut rng, workload.workspace_count)
        };
        schedule.push(ScheduledRequest {
            offset,
            workspace,
            box_index: rng.random_range(0..box_count),
            prompt: random_prompt(&mut rng, workspace),
            tokens: rng.random_range(workload.token_range.0..=workload.token_range.1),
            stream: rng.random_bool(0.4),
        });
    }
}

/// Draws a workspace index; low indices are more frequent, so a few workspaces send most requests.
fn skewed_workspace(rng: &mut SmallRng, workspace_count: usize) -> usize {
    let draw: f64 = rng.random();
    ((draw * draw) * workspace_count as f64) as usize % workspace_count
}

fn random_prompt(rng: &mut SmallRng, workspace: usize) -> String {
    let prefix = rng.random_range(0..PREFIXES_PER_WORKSPACE);
    let line = format!("instructions {prefix} of workspace {workspace}, to be followed. ");
    let mut prompt = line.repeat(PREFIX_CHARS / line.len() + 1);
    prompt.truncate(PREFIX_CHARS);
    prompt + &format!("episode {:x}", rng.random::<u64>())
}

/// Sends all requests of the workload and returns their results once the last one has ended.
pub fn run(callers: &[Vec<Caller>], workload: &Workload) -> Vec<RequestResult> {
    let schedule = draw_schedule(workload, callers.len());
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::with_capacity(schedule.len()));
    let started_at = Instant::now();
    thread::scope(|scope| {
        for _ in 0..MAX_THREADS.min(schedule.len()) {
            let builder = thread::Builder::new().stack_size(192 << 10);
            let task = || worker_loop(callers, workload, &schedule, &next, &results, started_at);
            builder
                .spawn_scoped(scope, task)
                .expect("worker thread can be started");
        }
    });
    results.into_inner().expect("worker thread does not panic")
}

fn worker_loop(
    callers: &[Vec<Caller>],
    workload: &Workload,
    schedule: &[ScheduledRequest],
    next: &AtomicUsize,
    results: &Mutex<Vec<RequestResult>>,
    started_at: Instant,
) {
    while let Some(request) = schedule.get(next.fetch_add(1, Ordering::Relaxed)) {
        let wait = request.offset.saturating_sub(started_at.elapsed());
        thread::sleep(wait);
        let caller = callers[request.box_index][request.workspace]
            .with_header("X-Ivyweir-Deadline-Ms", &workload.deadline_ms.to_string());
        let outcome = if request.stream {
            caller.stream(workload.model, &request.prompt, request.tokens)
        } else {
            caller.chat(workload.model, &request.prompt, request.tokens)
        };
        let quality = text::quality(&request.prompt, &outcome.text).filter(|_| outcome.complete);
        results
            .lock()
            .expect("worker thread does not panic")
            .push(RequestResult {
                workspace: request.workspace,
                quality,
                outcome,
                stream: request.stream,
                late: wait.is_zero(),
            });
    }
}
