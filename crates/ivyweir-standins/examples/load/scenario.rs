//! Load scenarios, each run with the default policy and with the baselines it is compared to.

use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_standins::cluster::epoch_ms;
use ivyweir_standins::{Behaviour, Cluster, ClusterSpec, EngineOptions, PlatformFaults, Speed};
use serde_json::{Value, json};

use crate::Args;
use crate::cost;
use crate::driver::{self, Arrivals, RequestResult, Workload};
use crate::report::{self, Row};

type DynError = Box<dyn std::error::Error>;

/// Size of a deployment, as given in the requirements.
///
/// The stand-in engines run faster than real ones.
pub struct Deployment {
    halls: Vec<&'static str>,
    engines: usize,
    services: usize,
    token_range: (u64, u64),
    deadline_ms: u64,
}

impl Deployment {
    /// Returns the deployment called `name`.
    pub fn from_name(name: &str) -> Result<Self, DynError> {
        let halls = ["hall-a", "hall-b", "hall-c", "hall-d"];
        let (box_count, engines, token_range, deadline_ms) = match name {
            "wavecast" => (9, 18, (16, 64), 6_000),
            "line" => (7, 12, (8, 24), 2_500),
            _ => {
                return Err(
                    format!("unknown deployment {name:?}, expected wavecast or line").into(),
                );
            }
        };
        Ok(Self {
            halls: (0..box_count)
                .map(|index| halls[index % halls.len()])
                .collect(),
            engines,
            services: 4,
            token_range,
            deadline_ms,
        })
    }
}

/// Model versions: name, price in millionths of the billing unit per 1000 tokens, prior quality
/// given to the fleet, and actual skill of the stand-in engines, which is hidden from the fleet.
const VERSIONS: [(&str, u64, f64, f64); 4] = [
    ("small@v1", 500, 0.55, 0.45),
    ("medium@v1", 1_800, 0.70, 0.68),
    ("large@v1", 5_000, 0.85, 0.97),
    ("large@v2", 5_000, 0.85, 0.97),
];

/// Quality targets, assigned to the workspaces in rotation.
const QUALITY_TARGETS: [f64; 4] = [0.50, 0.65, 0.75, 0.85];

/// Quality target of the workspace with this index.
pub fn quality_target(workspace: usize) -> f64 {
    QUALITY_TARGETS[workspace % QUALITY_TARGETS.len()]
}

const WORKSPACE_COUNT: usize = 10;
const WARM_UP: Duration = Duration::from_secs(10);

/// A scenario and the names of the policies it is run with.
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

fn policy_settings(name: &str) -> Result<Value, DynError> {
    Ok(match name {
        "product" => json!({}),
        "strong" | "cheap" => json!({ "model": name, "cascade": false }),
        "no_cascade" => json!({ "cascade": false }),
        "no_guard" => json!({ "guard": false }),
        "round_robin" | "random" | "least_in_flight" | "two_choices" => json!({ "balance": name }),
        _ => return Err(format!("unknown policy {name:?}").into()),
    })
}

/// Runs each selected scenario with each of its policies and writes the table and the plots.
pub fn run(args: &Args, binary: &Path) -> Result<(), DynError> {
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
            println!("{}", report::table_row(&row));
            rows.push(row);
        }
    }
    report::write(args, &rows)
}

fn run_one(args: &Args, binary: &Path, scenario: &str, policy: &str) -> Result<Row, DynError> {
    let deployment = Deployment::from_name(&args.deployment)?;
    let world = start_world(binary, &deployment, policy)?;
    let callers = driver::callers(&world, WORKSPACE_COUNT);
    let workload = |seed: u64, seconds: u64, arrivals: Arrivals| Workload {
        seed,
        duration: Duration::from_secs(seconds),
        arrivals,
        token_range: deployment.token_range,
        deadline_ms: deployment.deadline_ms,
        model: if scenario == "bad_version" {
            "large"
        } else {
            "auto"
        },
        workspace_count: WORKSPACE_COUNT,
    };
    // Warms the fleet up with unmeasured load; a fleet in service would have learned over days.
    let steady = Arrivals::steady(args.rate * 2);
    driver::run(
        &callers,
        &workload(args.seed ^ 1, WARM_UP.as_secs(), steady),
    );
    let (hits_before, lookups_before) = cache_counters(&world);
    let started_ms = epoch_ms();
    let started_at = Instant::now();
    let engine_clocks: Vec<Duration> = world.engines.iter().map(|e| e.now()).collect();
    let arrivals = match scenario {
        "surge" | "third_gone" => Arrivals::surge(args.rate),
        "flood" => Arrivals::flood(args.rate),
        _ => Arrivals::steady(args.rate * 2),
    };
    let measured = workload(args.seed, args.seconds, arrivals);
    let surge_start = driver::SURGE_START;
    let results: Vec<RequestResult> = thread::scope(|scope| {
        let driver = scope.spawn(|| driver::run(&callers, &measured));
        thread::sleep(surge_start.saturating_sub(started_at.elapsed()));
        inject_fault(&world, scenario);
        driver.join().expect("load driver does not panic")
    });
    let (hits, lookups) = cache_counters(&world);
    let exposed_calls = count_exposed_calls(&world, &engine_clocks, surge_start);
    if scenario == "store_out" {
        world.platform.set_faults(PlatformFaults::default());
    }
    let cost_micro = cost::settled_cost_since(&world, started_ms);
    Ok(report::summarize(report::RunResult {
        scenario: scenario.to_owned(),
        policy: policy.to_owned(),
        results,
        cost_micro,
        exposed_calls,
        hit_rate: (hits - hits_before) as f64 / (lookups - lookups_before).max(1) as f64,
        deadline_ms: deployment.deadline_ms,
    }))
}

fn start_world(binary: &Path, deployment: &Deployment, policy: &str) -> Result<Cluster, DynError> {
    let mut spec = ClusterSpec::new(
        binary,
        &deployment.halls,
        (0..deployment.engines).map(|_| engine_options()).collect(),
    );
    spec.services = deployment.services;
    spec.policy = Some(policy_settings(policy)?);
    // The engines run faster than real ones, so the limit on ratings is raised accordingly.
    spec.limits = Some(json!({ "ratings_per_s": 120 }));
    let world = spec.start()?;
    let versions = VERSIONS.map(|(at, cost, prior, _)| (at, cost, prior));
    let names: Vec<String> = (0..WORKSPACE_COUNT).map(driver::workspace_name).collect();
    let workspaces: Vec<(&str, f64, u32)> = names
        .iter()
        .enumerate()
        .map(|(index, n)| (n.as_str(), quality_target(index), 1))
        .collect();
    world.configure(&versions, &workspaces);
    Ok(world)
}

fn engine_options() -> EngineOptions {
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

/// Injects the fault of the scenario, if it has one.
fn inject_fault(world: &Cluster, scenario: &str) {
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

fn cache_counters(world: &Cluster) -> (u64, u64) {
    world
        .engines
        .iter()
        .map(|e| e.prefix_cache_stats())
        .fold((0, 0), |(hits, lookups), (h, l)| (hits + h, lookups + l))
}

/// Number of engine calls to `large@v1`, the version that `bad_version` degrades, made at or after
/// the given engine clocks plus `after`.
fn count_exposed_calls(world: &Cluster, engine_clocks: &[Duration], after: Duration) -> usize {
    world
        .engines
        .iter()
        .zip(engine_clocks)
        .flat_map(|(engine, now)| {
            let from = *now + after;
            engine
                .runs()
                .into_iter()
                .filter(move |r| r.at >= from && r.version == "large@v1")
        })
        .count()
}
