//! Open-loop load: arrivals are drawn beforehand and happen in time, whoever is still busy.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_standins::cluster::{Cluster, workspace_key};
use ivyweir_standins::text;
use ivyweir_standins::{Caller, Outcome};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// When the surge, or the fault, begins.
pub const SURGE_AT: Duration = Duration::from_secs(2);
/// How long the surge lasts.
const SURGE_FOR: Duration = Duration::from_secs(3);
/// Callers that can wait at once; more arrivals are late, which is counted.
const THREADS: usize = 700;
/// Common prefixes per workspace.
const PREFIXES: u64 = 6;
const PREFIX_CHARS: usize = 1_024;

/// Requests a second at a time since the start, and who sends them.
#[derive(Debug, Clone, Copy)]
pub struct Arrivals {
    rate: u64,
    surge_factor: u64,
    flooder_share: f64,
}

impl Arrivals {
    /// The same rate all the time.
    pub fn steady(rate: u64) -> Self {
        Self {
            rate,
            surge_factor: 1,
            flooder_share: 0.0,
        }
    }

    /// Ten times the rate, within a second, for a few seconds.
    pub fn surge(rate: u64) -> Self {
        Self {
            surge_factor: 10,
            ..Self::steady(rate)
        }
    }

    /// The surge comes from one workspace alone.
    pub fn flood(rate: u64) -> Self {
        Self {
            flooder_share: 0.9,
            ..Self::surge(rate)
        }
    }

    fn rate_at(&self, at: Duration) -> f64 {
        let in_surge = at >= SURGE_AT && at < SURGE_AT + SURGE_FOR;
        let factor = if in_surge { self.surge_factor } else { 1 };
        (self.rate * factor) as f64
    }
}

/// What is sent.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Decides arrivals, prompts and lengths.
    pub seed: u64,
    /// How long.
    pub duration: Duration,
    /// When.
    pub arrivals: Arrivals,
    /// Fewest and most tokens of an answer.
    pub tokens: (u64, u64),
    /// Time for each request.
    pub deadline_ms: u64,
    /// The model asked for.
    pub model: &'static str,
    /// Number of workspaces.
    pub workspaces: usize,
}

#[derive(Debug, Clone)]
struct Job {
    at: Duration,
    workspace: usize,
    box_at: usize,
    prompt: String,
    tokens: u64,
    stream: bool,
}

/// One request that is over.
#[derive(Debug, Clone)]
pub struct Done {
    /// Whose it was.
    pub workspace: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Quality of a whole answer.
    pub quality: Option<f64>,
    /// Whether it was streamed.
    pub stream: bool,
    /// Whether it was sent later than due, because all callers were busy.
    pub late: bool,
}

/// The name of a workspace.
pub fn workspace(at: usize) -> String {
    format!("w{at}")
}

/// Callers by box and workspace.
pub fn callers(world: &Cluster, workspaces: usize) -> Vec<Vec<Caller>> {
    world
        .boxes
        .iter()
        .flatten()
        .map(|b| {
            (0..workspaces)
                .map(|w| Caller::new(&b.caller_url(), &workspace_key(&workspace(w))))
                .collect()
        })
        .collect()
}

fn draw(plan: &Plan, boxes: usize) -> Vec<Job> {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let mut jobs = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let gap_s = -rng.random::<f64>().max(1e-9).ln() / plan.arrivals.rate_at(at);
        at += Duration::from_secs_f64(gap_s);
        if at >= plan.duration {
            return jobs;
        }
        let in_surge = plan.arrivals.rate_at(at) > plan.arrivals.rate as f64;
        let floods = in_surge && rng.random_bool(plan.arrivals.flooder_share);
        let workspace = if floods {
            0
        } else {
            skewed(&mut rng, plan.workspaces)
        };
        jobs.push(Job {
            at,
            workspace,
            box_at: rng.random_range(0..boxes),
            prompt: prompt(&mut rng, workspace),
            tokens: rng.random_range(plan.tokens.0..=plan.tokens.1),
            stream: rng.random_bool(0.4),
        });
    }
}

/// A few workspaces are large.
fn skewed(rng: &mut SmallRng, workspaces: usize) -> usize {
    let draw: f64 = rng.random();
    ((draw * draw) * workspaces as f64) as usize % workspaces
}

fn prompt(rng: &mut SmallRng, workspace: usize) -> String {
    let prefix = rng.random_range(0..PREFIXES);
    let line = format!("instructions {prefix} of workspace {workspace}, to be followed. ");
    let mut prompt = line.repeat(PREFIX_CHARS / line.len() + 1);
    prompt.truncate(PREFIX_CHARS);
    prompt + &format!("episode {:x}", rng.random::<u64>())
}

/// Sends everything and waits for the last answer.
pub fn drive(callers: &[Vec<Caller>], plan: &Plan) -> Vec<Done> {
    let jobs = draw(plan, callers.len());
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::with_capacity(jobs.len()));
    let started = Instant::now();
    thread::scope(|scope| {
        for _ in 0..THREADS.min(jobs.len()) {
            let worker = thread::Builder::new().stack_size(192 << 10);
            let run = || work(callers, plan, &jobs, &next, &done, started);
            worker
                .spawn_scoped(scope, run)
                .expect("threads can be made");
        }
    });
    done.into_inner().expect("no worker panics")
}

fn work(
    callers: &[Vec<Caller>],
    plan: &Plan,
    jobs: &[Job],
    next: &AtomicUsize,
    done: &Mutex<Vec<Done>>,
    started: Instant,
) {
    while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
        let wait = job.at.saturating_sub(started.elapsed());
        thread::sleep(wait);
        let caller = callers[job.box_at][job.workspace]
            .with_header("X-Ivyweir-Deadline-Ms", &plan.deadline_ms.to_string());
        let outcome = if job.stream {
            caller.stream(plan.model, &job.prompt, job.tokens)
        } else {
            caller.chat(plan.model, &job.prompt, job.tokens)
        };
        let quality = text::quality(&job.prompt, &outcome.text).filter(|_| outcome.complete);
        done.lock().expect("no worker panics").push(Done {
            workspace: job.workspace,
            quality,
            outcome,
            stream: job.stream,
            late: wait.is_zero(),
        });
    }
}
