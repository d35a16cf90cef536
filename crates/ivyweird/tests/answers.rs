//! Answers, sessions, stops: what callers get when versions, engines and boxes fail.

mod common;

use std::thread;
use std::time::Duration;

use common::{at, set_current, spec, start, three, wait_billed};
use ivyweir_policy::{Guard, Intent};
use ivyweir_standins::cluster::{epoch_ms, fast_engine_options};
use ivyweir_standins::{Behaviour, Cluster, ClusterSpec, text, wait_until};
use serde_json::json;

fn behave(world: &Cluster, version: &str, behaviour: Behaviour) {
    for engine in &world.engines {
        engine.set_behaviour(version, behaviour);
    }
}

macro_rules! spoilt {
    ($($name:ident: $fault:ident;)*) => {
        $(#[test] fn $name() {
            let world = three();
            let bad = Behaviour { $fault: 0.5, ..Behaviour::good(0.9) };
            behave(&world, "notes@v1", bad);
            let mut whole = 0;
            for n in 0..30 {
                let caller = world.caller(n % 3, "studio");
                let prompt = format!("episode {n}");
                let outcome = if n % 2 == 0 {
                    caller.chat("notes", &prompt, 12)
                } else {
                    caller.stream("notes", &prompt, 12)
                };
                if outcome.complete {
                    whole += 1;
                    let own = text::quality(&prompt, &outcome.text).is_some();
                    assert!(own, "an answer to another request: {outcome:?}");
                    let words = outcome.text.split(' ').count();
                    assert!(outcome.text.ends_with("end.") && words == 12, "{outcome:?}");
                } else {
                    assert!(!outcome.code.is_empty(), "a typed error, no silent stop: {outcome:?}");
                }
            }
            assert!(whole >= 10, "retries get most of them through: {whole}");
            wait_billed(&world, 0, whole);
        })*
    };
}

spoilt! {
    truncated_answers_are_never_delivered_as_whole: truncate_rate;
    answers_to_other_requests_are_never_delivered: mismatch_rate;
    failed_answers_are_retried: fail_rate;
}

#[test]
fn a_stream_whose_engine_dies_goes_on_at_another() {
    let slow = || {
        let mut options =
            fast_engine_options(&[("notes@v1", 0.9), ("notes@v2", 0.9), ("tags@v1", 0.4)]);
        options.speed.step_us = 10_000;
        options
    };
    let world = start(ClusterSpec {
        engines: vec![slow(), slow()],
        ..spec(&["hall-a", "hall-b"])
    });
    let outcome = thread::scope(|scope| {
        let stream = scope.spawn(|| world.caller(0, "studio").stream("notes", "a long one", 200));
        wait_until("an engine has it", || {
            world.engines.iter().any(|e| !e.runs().is_empty())
        });
        thread::sleep(Duration::from_millis(300));
        let busy = world
            .engines
            .iter()
            .find(|e| !e.runs().is_empty())
            .expect("one has it");
        busy.set_down(true);
        stream.join().expect("no caller panics")
    });
    assert!(outcome.complete, "{outcome:?}");
    assert_eq!(
        outcome.text.split(' ').count(),
        200,
        "no token is lost or doubled"
    );
    let runs: Vec<_> = world.engines.iter().flat_map(|e| e.runs()).collect();
    assert_eq!(runs.len(), 2);
    assert!(runs.iter().all(|r| r.version == "notes@v1"));
    wait_billed(&world, 0, 1);
}

#[test]
fn a_planned_stop_cuts_off_no_stream() {
    let mut world = three();
    let mut served_late = 0;
    let outcomes = thread::scope(|scope| {
        let streams: Vec<_> = (0..6)
            .map(|n| {
                let caller = world.caller(0, "studio");
                scope.spawn(move || caller.stream("notes", &format!("long {n}"), 3_000))
            })
            .collect();
        let started = || world.engines.iter().map(|e| e.runs().len()).sum::<usize>() == 6;
        wait_until("all streams have started", started);
        world.running_box(0).signal("TERM");
        let late = world.caller(0, "studio");
        loop {
            let outcome = late.chat("notes", "late", 4);
            if outcome.code == "draining" {
                break;
            }
            assert!(outcome.complete, "{outcome:?}");
            served_late += 1;
        }
        streams
            .into_iter()
            .map(|s| s.join().expect("no caller panics"))
            .collect::<Vec<_>>()
    });
    assert!(
        outcomes.iter().all(|o| o.complete && o.tokens == 3_000),
        "{outcomes:?}"
    );
    let mut stopping = world.boxes[0].take().expect("the box is up");
    assert_eq!(stopping.wait_exit(Duration::from_secs(60)), Some(0));
    wait_billed(&world, 1, 6 + served_late);
}

#[test]
fn a_leaving_upstream_gets_no_new_work() {
    let world = three();
    world.platform.mark_leaving("engine-00");
    wait_until("all boxes know", || {
        (0..3).all(|at| {
            let status = world.operator(at).status().expect("the box answers");
            status
                .upstreams
                .iter()
                .any(|u| u.name.as_ref() == "engine-00" && u.state == "leaving")
        })
    });
    let before = world.engines[0].runs().len();
    for n in 0..30 {
        assert!(
            world
                .caller(n % 3, "studio")
                .chat("notes", &format!("e{n}"), 4)
                .complete
        );
    }
    assert_eq!(world.engines[0].runs().len(), before);
}

#[test]
fn a_session_keeps_its_version_over_roll_outs_rotations_and_restarts() {
    let mut world = start(ClusterSpec {
        limits: Some(json!({ "session_key_ms": 1_500, "session_ms": 60_000 })),
        ..spec(&["hall-a", "hall-b", "hall-c"])
    });
    let token = world
        .caller(0, "studio")
        .open_session()
        .expect("a session opens");
    let keys = || {
        world
            .operator(1)
            .config()
            .map_or(0, |c| c.session_keys.len())
    };
    let before = keys();
    wait_until("the key has rotated", || keys() > before);
    set_current(&world, "notes@v2");
    let now_ms = epoch_ms();
    world.apply_intent(
        1,
        &Intent::Roll {
            workspace: "studio".into(),
            to: at("notes@v2"),
            target_permille: 1_000,
            start_ms: now_ms,
            until_ms: now_ms + 500,
            steps: 2,
            guard: Guard::default(),
        },
    );
    world.kill_box(0);
    world.start_box(0).expect("the box starts");
    world.wait_ready();
    for at in 0..3 {
        let kept = world
            .caller(at, "studio")
            .in_session(&token)
            .chat("notes", "go on", 4);
        assert_eq!(kept.version, "notes@v1", "{kept:?}");
        let other = world
            .caller(at, "studio")
            .in_session(&token)
            .chat("notes@v2", "x", 4);
        assert_eq!(
            (other.code.as_str(), other.run.as_str()),
            ("forbidden", "not_run")
        );
        assert_eq!(
            world.caller(at, "studio").chat("notes", "new", 4).version,
            "notes@v2"
        );
    }
    let generation = world.apply_intent(2, &Intent::Withdraw { at: at("notes@v1") });
    world.wait_for_generation(generation);
    for at in 0..3 {
        let refused = world
            .caller(at, "studio")
            .in_session(&token)
            .chat("notes", "x", 4);
        assert_eq!(
            (refused.code.as_str(), refused.run.as_str()),
            ("version_withdrawn", "not_run")
        );
    }
}

#[test]
fn a_roll_out_is_finished_by_another_box_when_its_driver_dies() {
    let mut world = three();
    let now_ms = epoch_ms();
    world.apply_intent(
        1,
        &Intent::Roll {
            workspace: "studio".into(),
            to: at("notes@v2"),
            target_permille: 800,
            start_ms: now_ms,
            until_ms: now_ms + 4_000,
            steps: 8,
            guard: Guard::default(),
        },
    );
    let share = |world: &Cluster, at: usize| {
        let rollouts = world
            .operator(at)
            .status()
            .map(|s| s.rollouts)
            .unwrap_or_default();
        rollouts.first().map_or(0, |r| r.share_permille)
    };
    wait_until("it has begun", || share(&world, 1) > 0);
    let body = world
        .platform
        .object("leases/duties")
        .expect("somebody holds the lease");
    let lease: serde_json::Value = serde_json::from_slice(&body).expect("a lease is JSON");
    let driver = lease["holder"]["box_name"]
        .as_str()
        .expect("it names its holder")
        .to_owned();
    let driver_at = (0..3)
        .find(|at| world.running_box(*at).settings.box_name == driver)
        .expect("a box");
    world.kill_box(driver_at);
    let other = (driver_at + 1) % 3;
    wait_until("another box finishes it", || share(&world, other) == 800);
}

#[test]
fn a_version_that_turns_bad_is_cut_before_an_operator_acts() {
    let world = three();
    set_current(&world, "notes@v2");
    let pinned: Vec<String> = (0..3)
        .map(|at| {
            world
                .caller(at, "studio")
                .open_session()
                .expect("a session opens")
        })
        .collect();
    behave(
        &world,
        "notes@v2",
        Behaviour {
            truncate_rate: 0.9,
            ..Behaviour::good(0.9)
        },
    );
    let mut last = Vec::new();
    for n in 0..240 {
        let outcome = world
            .caller(n % 3, "studio")
            .chat("notes", &format!("e{n}"), 4);
        last.push(outcome.version);
        thread::sleep(Duration::from_millis(5));
    }
    let to_good = last[200..]
        .iter()
        .filter(|v| v.as_str() == "notes@v1")
        .count();
    assert!(
        to_good >= 38,
        "new work goes to the other version: {to_good} of 40"
    );
    let refused = (0..20)
        .map(|n| {
            world
                .caller(n % 3, "studio")
                .in_session(&pinned[n % 3])
                .chat("notes", "x", 4)
        })
        .filter(|o| o.code == "version_suspended" && o.run == "not_run")
        .count();
    assert!(
        refused >= 15,
        "sessions are refused, not moved: {refused} of 20"
    );
}

#[test]
fn upstreams_that_die_do_not_condemn_the_versions_they_had() {
    let engine = || fast_engine_options(&[("notes@v1", 0.9), ("notes@v2", 0.9), ("tags@v1", 0.4)]);
    let world = start(ClusterSpec {
        engines: (0..6).map(|_| engine()).collect(),
        ..spec(&["hall-a", "hall-b", "hall-c"])
    });
    for engine in &world.engines[..2] {
        engine.set_down(true);
    }
    let codes: Vec<String> = (0..150)
        .map(|n| {
            world
                .caller(n % 3, "studio")
                .chat("notes", &format!("e{n}"), 4)
                .code
        })
        .collect();
    let refused = codes.iter().filter(|c| !c.is_empty()).count();
    assert!(refused <= 3, "retries and ejection carry it: {codes:?}");
    let status = world.operator(0).status().expect("the box answers");
    assert!(
        status.exposure.iter().all(|e| !e.bad),
        "{:?}",
        status.exposure
    );
}
