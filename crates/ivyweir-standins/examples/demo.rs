//! End-to-end demo on embedded stand-ins: `cargo run --release --example demo`.
//!
//! With `-- --hold` it runs no steps: it starts the processes, prints one JSON line with their
//! addresses and keys, and keeps them running until it is interrupted.

use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_policy::{Guard, Intent, VersionRef};
use ivyweir_standins::cluster::{
    OPERATOR_KEY, SERVICES, epoch_ms, fast_engine_options, workspace_key,
};
use ivyweir_standins::{Cluster, ClusterSpec, Outcome, build_binaries, wait_until};
use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};

type DynError = Box<dyn std::error::Error>;

const BOX_COUNT: usize = 4;

fn main() -> Result<(), DynError> {
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, interrupted.clone())?;
    }
    println!("building ivyweird and ivyweir …");
    let bin_dir = build_binaries()?;
    let world = start_world(&bin_dir.join("ivyweird"))?;
    if std::env::args().any(|a| a == "--hold") {
        return hold_until_interrupted(&world, &interrupted);
    }
    let mut demo = Demo {
        world,
        cli: bin_dir.join("ivyweir"),
        interrupted: interrupted.clone(),
    };
    let steps: [Step; 6] = [
        (
            "callers are served, whole and streamed, on any box",
            Demo::serve_requests,
        ),
        (
            "sessions keep their version while a version is rolled out",
            Demo::roll_out,
        ),
        (
            "an activation runs once, whoever repeats it",
            Demo::activate_once,
        ),
        ("a version is withdrawn live", Demo::withdraw_version),
        ("a box is killed and replaced", Demo::replace_box),
        ("the bill adds up", Demo::check_billing),
    ];
    let started = Instant::now();
    let mut rows = Vec::new();
    for (title, step) in steps {
        if interrupted.load(Ordering::Relaxed) {
            println!("demo: interrupted");
            return Ok(());
        }
        let step_started = Instant::now();
        let summary = step(&mut demo);
        println!("  {title}: {summary}");
        rows.push((title, summary, step_started.elapsed()));
    }
    println!("\n{:58} {:>9}", "STEP", "SECONDS");
    for (title, _, elapsed) in &rows {
        println!("{title:58} {:>9.1}", elapsed.as_secs_f64());
    }
    println!("demo: ok in {:.1} s", started.elapsed().as_secs_f64());
    Ok(())
}

type Summary = String;
type Step = (&'static str, fn(&mut Demo) -> Summary);

fn start_world(binary: &std::path::Path) -> Result<Cluster, DynError> {
    println!("starting {BOX_COUNT} boxes in 4 halls before 6 engines and a plain service …");
    let engine =
        || fast_engine_options(&[("notes@v1", 0.85), ("notes@v2", 0.95), ("tags@v1", 0.35)]);
    let halls = ["hall-a", "hall-b", "hall-c", "hall-d"];
    let world = ClusterSpec::new(binary, &halls, (0..6).map(|_| engine()).collect()).start()?;
    let versions = [
        ("notes@v1", 4_000, 0.85),
        ("notes@v2", 4_000, 0.85),
        ("tags@v1", 500, 0.4),
    ];
    world.configure(&versions, &[("studio", 0.75, 2), ("network", 0.75, 1)]);
    world.apply_intent(
        0,
        &Intent::SetCurrent {
            at: "notes@v1".parse()?,
        },
    );
    Ok(world)
}

fn hold_until_interrupted(world: &Cluster, interrupted: &AtomicBool) -> Result<(), DynError> {
    let running_boxes = || world.boxes.iter().flatten();
    let endpoints = json!({
        "caller_urls": running_boxes().map(|b| b.caller_url()).collect::<Vec<_>>(),
        "operator_urls": running_boxes().map(|b| b.operator_url()).collect::<Vec<_>>(),
        "caller_keys": { "studio": workspace_key("studio"), "network": workspace_key("network") },
        "operator_key": OPERATOR_KEY,
        "models": ["auto", "notes", "tags"],
        "service": format!("/services/{SERVICES}/"),
    });
    println!("{endpoints}");
    while !interrupted.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

struct Demo {
    world: Cluster,
    cli: std::path::PathBuf,
    interrupted: Arc<AtomicBool>,
}

impl Demo {
    fn serve_requests(&mut self) -> Summary {
        let mut versions = Vec::new();
        for box_index in 0..BOX_COUNT {
            let caller = self.world.caller(box_index, "studio");
            let answer = caller.chat("notes", &format!("notes for episode {box_index}"), 24);
            assert_complete(&answer);
            let streamed = caller.stream("auto", &format!("tags for episode {box_index}"), 24);
            assert_complete(&streamed);
            versions.push(answer.version);
        }
        assert!(versions.iter().all(|v| v == "notes@v1"), "{versions:?}");
        format!("{} answers, all whole", 2 * BOX_COUNT)
    }

    fn roll_out(&mut self) -> Summary {
        let caller = self.world.caller(0, "studio");
        let old_session = caller.open_session().expect("session can be opened");
        let now_ms = epoch_ms();
        let intent = Intent::Roll {
            workspace: "studio".into(),
            to: "notes@v2".parse().expect("valid version"),
            target_permille: 500,
            start_ms: now_ms,
            until_ms: now_ms + 2_000,
            steps: 4,
            guard: Guard::default(),
        };
        let generation = self.world.apply_intent(1, &intent);
        self.world.wait_for_generation(generation);
        let is_done = || {
            let status = self.world.operator(2).status();
            status.is_ok_and(|s| s.rollouts.iter().any(|r| r.state == "done"))
        };
        wait_until("the roll-out is done", is_done);
        self.world
            .wait_for_generation(self.world.operator(2).status().map_or(0, |s| s.generation));
        let mut on_v2 = 0;
        const SESSIONS: usize = 40;
        for session_index in 0..SESSIONS {
            let caller = self.world.caller(session_index % BOX_COUNT, "studio");
            let token = caller.open_session().expect("session can be opened");
            let first = caller.in_session(&token).chat("notes", "first", 4).version;
            let other_box = self.world.caller((session_index + 1) % BOX_COUNT, "studio");
            let second = other_box
                .in_session(&token)
                .chat("notes", "second", 4)
                .version;
            assert_eq!(first, second, "a session keeps its version");
            on_v2 += usize::from(first == "notes@v2");
        }
        let old_outcome = self
            .world
            .caller(3, "studio")
            .in_session(&old_session)
            .chat("notes", "still", 4);
        assert_eq!(old_outcome.version, "notes@v1");
        assert!(
            (8..=32).contains(&on_v2),
            "expected about half of {SESSIONS} sessions on notes@v2, got {on_v2}"
        );
        format!("{on_v2} of {SESSIONS} new sessions on notes@v2, the old one on notes@v1")
    }

    fn activate_once(&mut self) -> Summary {
        let path = format!("/services/{SERVICES}/sims/8");
        let outcomes: Vec<Outcome> = (0..BOX_COUNT)
            .map(|box_index| {
                let caller = self
                    .world
                    .caller(box_index, "network")
                    .at_most_once("activate-sim-8");
                caller.service(attohttpc::Method::POST, &path, "{}")
            })
            .collect();
        let runs = self.world.services[0].runs();
        let run_count = runs.iter().filter(|r| r.key == "activate-sim-8").count();
        assert_eq!(run_count, 1, "{outcomes:?}");
        let ok_count = outcomes.iter().filter(|a| a.status == 200).count();
        format!("asked at {BOX_COUNT} boxes, run once, answered {ok_count} times")
    }

    fn withdraw_version(&mut self) -> Summary {
        let version: VersionRef = "notes@v2".parse().expect("valid version");
        let pinned_session = self.open_session_on(&version);
        let plan_file = self.world.folder().join("withdraw.json");
        let plan_path = plan_file.to_string_lossy().into_owned();
        let plan_output = self.cli(&["plan", "--out", &plan_path, "withdraw", "notes@v2"]);
        assert!(
            plan_output.contains("nothing changes until it is confirmed"),
            "{plan_output}"
        );
        let confirmed_at = Instant::now();
        self.cli(&["confirm", &plan_path]);
        let generation = self
            .world
            .operator(0)
            .status()
            .expect("box returns its status")
            .generation;
        self.world.wait_for_generation(generation);
        let elapsed = confirmed_at.elapsed();
        for box_index in 0..BOX_COUNT {
            let rejected = self
                .world
                .caller(box_index, "studio")
                .in_session(&pinned_session)
                .chat("notes", "x", 4);
            assert_eq!(
                (rejected.code.as_str(), rejected.run.as_str()),
                ("version_withdrawn", "not_run")
            );
            let served = self.world.caller(box_index, "studio").chat("notes", "y", 4);
            assert_eq!(served.version, "notes@v1");
        }
        format!(
            "in force on {BOX_COUNT} boxes {:.2} s after the confirm",
            elapsed.as_secs_f64()
        )
    }

    fn open_session_on(&self, target: &VersionRef) -> String {
        for _ in 0..200 {
            let caller = self.world.caller(0, "studio");
            let token = caller.open_session().expect("session can be opened");
            let version = caller.in_session(&token).chat("notes", "which", 4).version;
            if version == target.to_string() {
                return token;
            }
        }
        panic!("none of 200 new sessions was assigned to {target}");
    }

    fn replace_box(&mut self) -> Summary {
        let pid = self.world.running_box(3).pid();
        self.world.kill_box(3);
        let operator = self.world.operator(0);
        let killed_at = Instant::now();
        let is_marked_dead = || {
            let boxes = operator.status().map(|s| s.boxes).unwrap_or_default();
            boxes
                .iter()
                .any(|b| b.name.as_ref() == "box-4" && b.health == "dead")
        };
        wait_until("the other boxes mark box-4 as dead", is_marked_dead);
        for box_index in 0..3 {
            assert_complete(
                &self
                    .world
                    .caller(box_index, "network")
                    .chat("notes", "go on", 8),
            );
        }
        let detection_s = killed_at.elapsed().as_secs_f64();
        self.world.start_box(3).expect("box can be restarted");
        self.world.wait_ready();
        assert_complete(&self.world.caller(3, "network").chat("notes", "back", 8));
        format!("pid {pid} killed, noticed after {detection_s:.1} s; its replacement serves")
    }

    fn check_billing(&mut self) -> Summary {
        let engine_runs: usize = self.world.engines.iter().map(|e| e.runs().len()).sum();
        let bills_match = || {
            let first = self.world.operator(0).bill();
            thread::sleep(Duration::from_millis(500));
            let second = self.world.operator(1).bill();
            matches!((first, second), (Ok(a), Ok(b)) if a.workspaces == b.workspaces)
        };
        wait_until("all billing records are in the store", bills_match);
        let text = self.cli(&["bill"]);
        let bill = self.world.operator(0).bill().expect("bill can be read");
        let requests: u64 = bill.workspaces.values().map(|t| t.requests).sum();
        // Each engine run of the demo is one billed request; the activation adds one more.
        assert_eq!(requests, engine_runs as u64 + 1, "{text}");
        if !self.interrupted.load(Ordering::Relaxed) {
            println!("\n{text}");
        }
        format!("{requests} requests billed for {engine_runs} engine runs and one activation")
    }

    fn cli(&self, args: &[&str]) -> String {
        let output = Command::new(&self.cli)
            .args(args)
            .env("IVYWEIR_BOX", self.world.running_box(0).operator_url())
            .env("IVYWEIR_KEY", OPERATOR_KEY)
            .output()
            .expect("CLI can be started");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success(), "{args:?}: {output:?}");
        text
    }
}

fn assert_complete(outcome: &Outcome) {
    assert!(
        outcome.complete && outcome.text.ends_with("end."),
        "{outcome:?}"
    );
}
