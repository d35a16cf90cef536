//! Scenarios, and the baselines that each is compared with.

use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_standins::cluster::epoch_ms;
use ivyweir_standins::{Behaviour, Cluster, ClusterSpec, EngineOptions, PlatformFaults, Speed};
use serde_json::{Value, json};

use crate::Args;
use crate::cost;
use crate::drive::{self, Arrivals, Done, Plan};
use crate::report::{self, Row};

type Failure = Box<dyn std::error::Error>;

/// The deployment's sizes, as the brief gives them; engines run on a quicker clock.
pub struct Deployment {
    halls: Vec<&'static str>,
    engines: usize,
    services: usize,
    tokens: (u64, u64),
    deadline_ms: u64,
}

impl Deployment {
    /// A deployment by its name.
    pub fn named(name: &str) -> Result<Self, Failure> {
        let halls = ["hall-a", "hall-b", "hall-c", "hall-d"];
        let (boxes, engines, tokens, deadline_ms) = match name {
            "wavecast" => (9, 18, (16, 64), 6_000),
            "line" => (7, 12, (8, 24), 2_500),
            _ => return Err(format!("deployment {name:?}, expected wavecast or line").into()),
        };
        Ok(Self {
            halls: (0..boxes).map(|at| halls[at % halls.len()]).collect(),
            engines,
            services: 4,
            tokens,
            deadline_ms,
        })
    }
}

/// Versions, prices and hidden skills.
const VERSIONS: [(&str, u64, f64, f64); 4] = [
    ("small@v1", 500, 0.55, 0.45),
    ("medium@v1", 1_800, 0.70, 0.68),
    ("large@v1", 5_000, 0.85, 0.97),
    ("large@v2", 5_000, 0.85, 0.97),
];

/// Qualities that workspaces ask for, in turn.
const TARGETS: [f64; 4] = [0.50, 0.65, 0.75, 0.85];

/// The quality that a workspace asks for.
pub fn target(workspace: usize) -> f64 {
    TARGETS[workspace % TARGETS.len()]
}

const WORKSPACES: usize = 10;
const WARM_UP: Duration = Duration::from_secs(10);

/// A scenario and the policies it is run with.
struct Scenario {
    name: &'static str,
    policies: &'static [&'static str],
}

const SCENARIOS: [Scenario; 6] = [
    Scenario {
        name: "steady",
        policies: &[
            "product",
            "round_robin",
            "random",
            "least_in_flight",
            "two_choices",
            "strong",
            "cheap",
            "no_cascade",
        ],
    },
    Scenario {
        name: "surge",
        policies: &["product", "round_robin", "random", "least_in_flight"],
    },
    Scenario {
        name: "bad_version",
        policies: &["product", "no_guard"],
    },
    Scenario {
        name: "third_gone",
        policies: &["product", "round_robin"],
    },
    Scenario {
        name: "store_out",
        policies: &["product"],
    },
    Scenario {
        name: "flood",
        policies: &["product"],
    },
];

fn policy_settings(name: &str) -> Result<Value, Failure> {
    Ok(match name {
        "product" => json!({}),
        "strong" | "cheap" => json!({ "model": name, "cascade": false }),
        "no_cascade" => json!({ "cascade": false }),
        "no_guard" => json!({ "guard": false }),
        "round_robin" | "random" | "least_in_flight" | "two_choices" => json!({ "balance": name }),
        _ => return Err(format!("policy {name:?} is not known").into()),
    })
}

/// Runs scenarios with their policies and writes tables and plots.
pub fn run(args: &Args, binary: &Path) -> Result<(), Failure> {
    let mut rows = Vec::new();
    for scenario in &SCENARIOS {
        if args
            .scenario
            .as_deref()
            .is_some_and(|only| only != scenario.name)
        {
            continue;
        }
        for policy in scenario.policies {
            if args.policy.as_deref().is_some_and(|only| only != *policy) {
                continue;
            }
            let row = run_one(args, binary, scenario.name, policy)?;
            println!("{}", report::line(&row));
            rows.push(row);
        }
    }
    report::write(args, &rows)
}

fn run_one(args: &Args, binary: &Path, scenario: &str, policy: &str) -> Result<Row, Failure> {
    let deployment = Deployment::named(&args.deployment)?;
    let world = start(binary, &deployment, policy)?;
    let callers = drive::callers(&world, WORKSPACES);
    let plan = |seed: u64, seconds: u64, arrivals: Arrivals| Plan {
        seed,
        duration: Duration::from_secs(seconds),
        arrivals,
        tokens: deployment.tokens,
        deadline_ms: deployment.deadline_ms,
        model: if scenario == "bad_version" {
            "large"
        } else {
            "auto"
        },
        workspaces: WORKSPACES,
    };
    // The fleet learns first, as it would have over days.
    let steady = Arrivals::steady(args.rate * 2);
    drive::drive(&callers, &plan(args.seed ^ 1, WARM_UP.as_secs(), steady));
    let (hits_before, looks_before) = cache_use(&world);
    let started_ms = epoch_ms();
    let started = Instant::now();
    let engines_now: Vec<Duration> = world.engines.iter().map(|e| e.now()).collect();
    let arrivals = match scenario {
        "surge" | "third_gone" => Arrivals::surge(args.rate),
        "flood" => Arrivals::flood(args.rate),
        _ => Arrivals::steady(args.rate * 2),
    };
    let measured = plan(args.seed, args.seconds, arrivals);
    let surge_at = drive::SURGE_AT;
    let done: Vec<Done> = thread::scope(|scope| {
        let driving = scope.spawn(|| drive::drive(&callers, &measured));
        thread::sleep(surge_at.saturating_sub(started.elapsed()));
        disturb(&world, scenario);
        driving.join().expect("the driver does not panic")
    });
    let (hits, looks) = cache_use(&world);
    let exposed = exposed(&world, &engines_now, surge_at);
    if scenario == "store_out" {
        world.platform.set_faults(PlatformFaults::default());
    }
    let cost_micro = cost::settled_since(&world, started_ms);
    Ok(report::summarise(report::Measured {
        scenario: scenario.to_owned(),
        policy: policy.to_owned(),
        done,
        cost_micro,
        exposed,
        hit_rate: (hits - hits_before) as f64 / (looks - looks_before).max(1) as f64,
        deadline_ms: deployment.deadline_ms,
    }))
}

fn start(binary: &Path, deployment: &Deployment, policy: &str) -> Result<Cluster, Failure> {
    let mut spec = ClusterSpec::new(
        binary,
        &deployment.halls,
        (0..deployment.engines).map(|_| engine()).collect(),
    );
    spec.services = deployment.services;
    spec.policy = Some(policy_settings(policy)?);
    // The clock is quickened, so the fleet may have its ratings quicker too.
    spec.limits = Some(json!({ "ratings_per_s": 120 }));
    let world = spec.start()?;
    let versions = VERSIONS.map(|(at, cost, prior, _)| (at, cost, prior));
    let names: Vec<String> = (0..WORKSPACES).map(drive::workspace).collect();
    let workspaces: Vec<(&str, f64, u32)> = names
        .iter()
        .enumerate()
        .map(|(at, n)| (n.as_str(), target(at), 1))
        .collect();
    world.configure(&versions, &workspaces);
    Ok(world)
}

fn engine() -> EngineOptions {
    let versions: BTreeMap<String, Behaviour> = VERSIONS
        .iter()
        .map(|(at, _, _, skill)| ((*at).to_owned(), Behaviour::good(*skill)))
        .collect();
    EngineOptions {
        speed: Speed {
            slots: 8,
            step_us: 6_000,
            per_sequence_us: 700,
            prefill_us_per_token: 250,
            cache_blocks: 500,
        },
        versions,
        load_lag_ms: 250,
        checks_fence: true,
    }
}

/// What happens at the start of the event.
fn disturb(world: &Cluster, scenario: &str) {
    match scenario {
        "bad_version" => {
            for engine in &world.engines {
                let bad = Behaviour {
                    skill: 0.0,
                    truncate_rate: 0.4,
                    ..Behaviour::good(0.0)
                };
                engine.set_behaviour("large@v1", bad);
            }
        }
        "third_gone" => {
            for engine in world.engines.iter().step_by(3) {
                engine.set_down(true);
            }
        }
        "store_out" => world.platform.set_faults(PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        }),
        _ => {}
    }
}

fn cache_use(world: &Cluster) -> (u64, u64) {
    world
        .engines
        .iter()
        .map(|e| e.prefix_cache_stats())
        .fold((0, 0), |(hits, looks), (h, l)| (hits + h, looks + l))
}

/// Engine calls on the version that turned bad, from then on.
fn exposed(world: &Cluster, engines_now: &[Duration], after: Duration) -> usize {
    world
        .engines
        .iter()
        .zip(engines_now)
        .flat_map(|(engine, now)| {
            let from = *now + after;
            engine
                .runs()
                .into_iter()
                .filter(move |r| r.at >= from && r.version == "large@v1")
        })
        .count()
}
