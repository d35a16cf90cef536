//! The main job on embedded stand-ins: `cargo run --release --example demo`.
//!
//! With `-- --hold` it stays up after the start and prints one JSON line with addresses and keys.

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

type Failure = Box<dyn std::error::Error>;

const BOXES: usize = 4;

fn main() -> Result<(), Failure> {
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, interrupted.clone())?;
    }
    println!("building ivyweird and ivyweir …");
    let folder = build_binaries()?;
    let world = start(&folder.join("ivyweird"))?;
    if std::env::args().any(|a| a == "--hold") {
        return hold(&world, &interrupted);
    }
    let mut story = Story {
        world,
        cli: folder.join("ivyweir"),
        interrupted: interrupted.clone(),
    };
    let steps: [Step; 6] = [
        (
            "callers are served, whole and streamed, on any box",
            Story::serve,
        ),
        (
            "sessions keep their version while a version is rolled out",
            Story::roll_out,
        ),
        (
            "an activation runs once, whoever repeats it",
            Story::activate_once,
        ),
        ("a version is withdrawn live", Story::withdraw),
        ("a box is killed and replaced", Story::replace_box),
        ("the bill adds up", Story::add_up),
    ];
    let started = Instant::now();
    let mut rows = Vec::new();
    for (title, step) in steps {
        if interrupted.load(Ordering::Relaxed) {
            println!("demo: interrupted");
            return Ok(());
        }
        let step_started = Instant::now();
        let summary = step(&mut story);
        println!("  {title}: {summary}");
        rows.push((title, summary, step_started.elapsed()));
    }
    println!("\n{:58} {:>9}", "STEP", "SECONDS");
    for (title, _, took) in &rows {
        println!("{title:58} {:>9.1}", took.as_secs_f64());
    }
    println!("demo: ok in {:.1} s", started.elapsed().as_secs_f64());
    Ok(())
}

type Summary = String;
type Step = (&'static str, fn(&mut Story) -> Summary);

fn start(binary: &std::path::Path) -> Result<Cluster, Failure> {
    println!("starting {BOXES} boxes in 4 halls before 6 engines and a plain service …");
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

fn hold(world: &Cluster, interrupted: &AtomicBool) -> Result<(), Failure> {
    let up = || world.boxes.iter().flatten();
    let line = json!({
        "caller_urls": up().map(|b| b.caller_url()).collect::<Vec<_>>(),
        "operator_urls": up().map(|b| b.operator_url()).collect::<Vec<_>>(),
        "caller_keys": { "studio": workspace_key("studio"), "network": workspace_key("network") },
        "operator_key": OPERATOR_KEY,
        "models": ["auto", "notes", "tags"],
        "service": format!("/services/{SERVICES}/"),
    });
    println!("{line}");
    while !interrupted.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

struct Story {
    world: Cluster,
    cli: std::path::PathBuf,
    interrupted: Arc<AtomicBool>,
}

impl Story {
    fn serve(&mut self) -> Summary {
        let mut versions = Vec::new();
        for at in 0..BOXES {
            let caller = self.world.caller(at, "studio");
            let whole = caller.chat("notes", &format!("notes for episode {at}"), 24);
            check_whole(&whole);
            let streamed = caller.stream("auto", &format!("tags for episode {at}"), 24);
            check_whole(&streamed);
            versions.push(whole.version);
        }
        assert!(versions.iter().all(|v| v == "notes@v1"), "{versions:?}");
        format!("{} answers, all whole", 2 * BOXES)
    }

    fn roll_out(&mut self) -> Summary {
        let before = self.world.caller(0, "studio");
        let old = before.open_session().expect("a session opens");
        let now_ms = epoch_ms();
        let intent = Intent::Roll {
            workspace: "studio".into(),
            to: "notes@v2".parse().expect("a version"),
            target_permille: 500,
            start_ms: now_ms,
            until_ms: now_ms + 2_000,
            steps: 4,
            guard: Guard::default(),
        };
        let generation = self.world.apply_intent(1, &intent);
        self.world.wait_for_generation(generation);
        let done = || {
            let status = self.world.operator(2).status();
            status.is_ok_and(|s| s.rollouts.iter().any(|r| r.state == "done"))
        };
        wait_until("the roll-out is done", done);
        self.world
            .wait_for_generation(self.world.operator(2).status().map_or(0, |s| s.generation));
        let mut on_v2 = 0;
        const SESSIONS: usize = 40;
        for at in 0..SESSIONS {
            let caller = self.world.caller(at % BOXES, "studio");
            let token = caller.open_session().expect("a session opens");
            let first = caller.in_session(&token).chat("notes", "first", 4).version;
            let other_box = self.world.caller((at + 1) % BOXES, "studio");
            let second = other_box
                .in_session(&token)
                .chat("notes", "second", 4)
                .version;
            assert_eq!(first, second, "a session keeps its version");
            on_v2 += usize::from(first == "notes@v2");
        }
        let kept = self
            .world
            .caller(3, "studio")
            .in_session(&old)
            .chat("notes", "still", 4);
        assert_eq!(kept.version, "notes@v1");
        assert!(
            (8..=32).contains(&on_v2),
            "about half of the sessions: {on_v2}"
        );
        format!("{on_v2} of {SESSIONS} new sessions on notes@v2, the old one on notes@v1")
    }

    fn activate_once(&mut self) -> Summary {
        let path = format!("/services/{SERVICES}/sims/8");
        let answers: Vec<Outcome> = (0..BOXES)
            .map(|at| {
                let caller = self
                    .world
                    .caller(at, "network")
                    .at_most_once("activate-sim-8");
                caller.service(attohttpc::Method::POST, &path, "{}")
            })
            .collect();
        let runs = self.world.services[0].runs();
        let ran = runs.iter().filter(|r| r.key == "activate-sim-8").count();
        assert_eq!(ran, 1, "{answers:?}");
        let kept = answers.iter().filter(|a| a.status == 200).count();
        format!("asked at {BOXES} boxes, run once, answered {kept} times")
    }

    fn withdraw(&mut self) -> Summary {
        let at: VersionRef = "notes@v2".parse().expect("a version");
        let pinned = self.session_on(&at);
        let plan_file = self.world.folder().join("withdraw.json");
        let plan_path = plan_file.to_string_lossy().into_owned();
        let shown = self.cli(&["plan", "--out", &plan_path, "withdraw", "notes@v2"]);
        assert!(
            shown.contains("nothing changes until it is confirmed"),
            "{shown}"
        );
        let confirmed = Instant::now();
        self.cli(&["confirm", &plan_path]);
        let generation = self
            .world
            .operator(0)
            .status()
            .expect("a box answers")
            .generation;
        self.world.wait_for_generation(generation);
        let took = confirmed.elapsed();
        for at in 0..BOXES {
            let refused = self
                .world
                .caller(at, "studio")
                .in_session(&pinned)
                .chat("notes", "x", 4);
            assert_eq!(
                (refused.code.as_str(), refused.run.as_str()),
                ("version_withdrawn", "not_run")
            );
            let served = self.world.caller(at, "studio").chat("notes", "y", 4);
            assert_eq!(served.version, "notes@v1");
        }
        format!(
            "in force on {BOXES} boxes {:.2} s after the confirm",
            took.as_secs_f64()
        )
    }

    fn session_on(&self, at: &VersionRef) -> String {
        for _ in 0..200 {
            let caller = self.world.caller(0, "studio");
            let token = caller.open_session().expect("a session opens");
            let version = caller.in_session(&token).chat("notes", "which", 4).version;
            if version == at.to_string() {
                return token;
            }
        }
        panic!("no session on {at} in 200");
    }

    fn replace_box(&mut self) -> Summary {
        let pid = self.world.running_box(3).pid();
        self.world.kill_box(3);
        let operator = self.world.operator(0);
        let killed = Instant::now();
        let noticed = || {
            let boxes = operator.status().map(|s| s.boxes).unwrap_or_default();
            boxes
                .iter()
                .any(|b| b.name.as_ref() == "box-4" && b.health == "dead")
        };
        wait_until("the others notice", noticed);
        for at in 0..3 {
            check_whole(&self.world.caller(at, "network").chat("notes", "go on", 8));
        }
        let noticed_s = killed.elapsed().as_secs_f64();
        self.world.start_box(3).expect("the box starts again");
        self.world.wait_ready();
        check_whole(&self.world.caller(3, "network").chat("notes", "back", 8));
        format!("pid {pid} killed, noticed after {noticed_s:.1} s; its replacement serves")
    }

    fn add_up(&mut self) -> Summary {
        let engine_runs: usize = self.world.engines.iter().map(|e| e.runs().len()).sum();
        let stable = || {
            let first = self.world.operator(0).bill();
            thread::sleep(Duration::from_millis(500));
            let second = self.world.operator(1).bill();
            matches!((first, second), (Ok(a), Ok(b)) if a.workspaces == b.workspaces)
        };
        wait_until("all records are in the store", stable);
        let text = self.cli(&["bill"]);
        let bill = self.world.operator(0).bill().expect("the bill can be read");
        let requests: u64 = bill.workspaces.values().map(|t| t.requests).sum();
        // Every engine run in this story is one request; the activation is billed once besides.
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
            .expect("the command line runs");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success(), "{args:?}: {output:?}");
        text
    }
}

fn check_whole(outcome: &Outcome) {
    assert!(
        outcome.complete && outcome.text.ends_with("end."),
        "{outcome:?}"
    );
}
