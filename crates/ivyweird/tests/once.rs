//! At most once: not-repeatable requests under repeats, crashes, pauses and outages.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use attohttpc::Method;
use common::{VERSIONS, spec, start, three};
use ivyweir_caller::{Handler, Incoming, Reply, Server};
use ivyweir_engine::LoadReport;
use ivyweir_policy::{BoxEntry, BoxKind, BoxState};
use ivyweir_standins::cluster::{ENGINES, SERVICES};
use ivyweir_standins::{
    Caller, Cluster, ClusterSpec, Fault, FaultProxy, Outcome, PlatformFaults, wait_until,
};

fn activate(caller: &Caller, key: &str) -> Outcome {
    let path = format!("/services/{SERVICES}/sims/{key}");
    caller.at_most_once(key).service(Method::POST, &path, "{}")
}

fn runs(world: &Cluster, key: &str) -> usize {
    let runs = world.services.iter().flat_map(|s| s.runs());
    runs.filter(|r| r.key == key).count()
}

fn told(outcome: &Outcome) -> (&str, &str) {
    (outcome.code.as_str(), outcome.run.as_str())
}

#[test]
fn a_key_sent_to_all_boxes_at_once_runs_once() {
    let world = three();
    world.services[0].set_delay_ms(30);
    for n in 0..8 {
        let key = format!("sim-{n}");
        let outcomes: Vec<Outcome> = thread::scope(|scope| {
            let calls: Vec<_> = (0..9)
                .map(|at| {
                    let caller = world.caller(at % 3, "studio");
                    let key = &key;
                    scope.spawn(move || activate(&caller, key))
                })
                .collect();
            calls
                .into_iter()
                .map(|c| c.join().expect("no caller panics"))
                .collect()
        });
        assert_eq!(runs(&world, &key), 1, "{outcomes:?}");
        assert!(outcomes.iter().any(|o| o.status == 200));
        for outcome in outcomes.iter().filter(|o| o.status != 200) {
            assert_eq!(outcome.run, "unknown", "it ran: {outcome:?}");
        }
        wait_until("a repeat gets the kept answer", || {
            activate(&world.caller(n % 3, "studio"), &key).status == 200
        });
    }
    assert_eq!(world.services[0].runs().len(), 8);
}

#[test]
fn a_lost_answer_is_unknown_and_is_not_tried_again() {
    let world = three();
    world.services[0].set_lose_responses(true);
    let lost = activate(&world.caller(0, "studio"), "sim-lost");
    // The service's own 502 is passed on: it is the service's answer.
    assert_eq!(lost.status, 502);
    world.services[0].set_lose_responses(false);
    for at in 0..3 {
        activate(&world.caller(at, "studio"), "sim-lost");
    }
    assert_eq!(runs(&world, "sim-lost"), 1);
}

#[test]
fn a_connection_that_breaks_after_the_call_left_is_not_tried_again() {
    let world = three();
    let broken = FaultProxy::start(&world.services[0].addr()).expect("a port is free");
    world.platform.register_box(BoxEntry {
        name: "service-0".into(),
        kind: BoxKind::Upstream,
        addr: broken.addr().as_str().into(),
        hall: "hall-a".into(),
        pool: SERVICES.into(),
        state: BoxState::Live,
    });
    wait_until("all boxes go through the gateway", || {
        (0..3).all(|at| {
            broken.set(Fault::Cut);
            let path = format!("/services/{SERVICES}/probe");
            let probe = world.caller(at, "studio").service(Method::POST, &path, "");
            broken.set(Fault::None);
            probe.status != 200
        })
    });
    broken.set(Fault::TruncateAfter(0));
    let lost = activate(&world.caller(0, "studio"), "sim-1");
    assert_eq!(told(&lost), ("outcome_unknown", "unknown"), "{lost:?}");
    broken.set(Fault::None);
    for at in 0..3 {
        let again = activate(&world.caller(at, "studio"), "sim-1");
        assert_eq!(told(&again), ("duplicate", "unknown"), "{again:?}");
    }
    assert_eq!(runs(&world, "sim-1"), 1);
}

#[test]
fn without_the_store_a_session_goes_on_and_others_are_refused_as_not_run() {
    let world = three();
    let token = world
        .caller(0, "studio")
        .open_session()
        .expect("a session opens");
    world.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let refused = activate(&world.caller(1, "studio"), "sim-1");
    assert_eq!(told(&refused), ("claim_unavailable", "not_run"));
    assert_eq!(runs(&world, "sim-1"), 0);
    for at in [1, 2, 0] {
        let served = activate(&world.caller(at, "studio").in_session(&token), "sim-2");
        assert_eq!(served.status, 200, "at box {at}: {served:?}");
    }
    assert_eq!(runs(&world, "sim-2"), 1);
    world.platform.set_faults(PlatformFaults::default());
    let later = activate(&world.caller(1, "studio"), "sim-1");
    assert_eq!(later.status, 200, "{later:?}");
}

#[test]
fn a_store_that_hangs_does_not_hold_up_a_session_until_its_deadline() {
    let world = start(ClusterSpec {
        platform_proxies: true,
        ..spec(&["hall-a", "hall-b", "hall-c"])
    });
    let token = world
        .caller(0, "studio")
        .open_session()
        .expect("a session opens");
    for gateway in &world.platform_proxies {
        gateway.set(Fault::HalfOpen);
    }
    for n in 0..6 {
        let caller = world.caller(n % 3, "studio").in_session(&token);
        let served = activate(
            &caller.with_header("X-Ivyweir-Deadline-Ms", "10000"),
            &format!("sim-{n}"),
        );
        assert_eq!(served.status, 200, "{served:?}");
        assert_eq!(runs(&world, &format!("sim-{n}")), 1);
    }
}

#[test]
fn lost_claim_answers_neither_block_nor_double() {
    let world = three();
    world.platform.set_faults(PlatformFaults {
        lose_response_every: 1,
        ..PlatformFaults::default()
    });
    for n in 0..6 {
        let key = format!("sim-{n}");
        let first = activate(&world.caller(n % 3, "studio"), &key);
        assert_eq!(first.status, 200, "{first:?}");
        activate(&world.caller((n + 1) % 3, "studio"), &key);
        assert_eq!(runs(&world, &key), 1);
    }
}

#[test]
fn when_the_opener_is_killed_its_keys_are_unknown_and_run_nowhere() {
    let mut world = three();
    let token = world
        .caller(0, "studio")
        .open_session()
        .expect("a session opens");
    assert_eq!(
        activate(&world.caller(1, "studio").in_session(&token), "sim-1").status,
        200
    );
    world.kill_box(0);
    for at in [1, 2] {
        let repeated = activate(&world.caller(at, "studio").in_session(&token), "sim-1");
        assert_eq!(repeated.run, "unknown", "{repeated:?}");
    }
    // A new session of the same caller is stopped by the claim in the store.
    let fresh = world
        .caller(1, "studio")
        .open_session()
        .expect("a session opens");
    let again = activate(&world.caller(2, "studio").in_session(&fresh), "sim-1");
    assert_eq!(told(&again), ("duplicate", "unknown"));
    assert_eq!(runs(&world, "sim-1"), 1);
    // Its replacement is another incarnation and knows nothing of those keys.
    world.start_box(0).expect("the box starts");
    world.wait_ready();
    let replaced = activate(&world.caller(0, "studio").in_session(&token), "sim-1");
    assert_eq!(replaced.run, "unknown", "{replaced:?}");
    assert_eq!(runs(&world, "sim-1"), 1);
}

#[test]
fn a_stopping_box_hands_its_sessions_to_one_successor() {
    let mut world = three();
    let token = world
        .caller(0, "studio")
        .open_session()
        .expect("a session opens");
    assert_eq!(
        activate(&world.caller(0, "studio").in_session(&token), "sim-1").status,
        200
    );
    world.running_box(0).signal("TERM");
    let mut stopping = world.boxes[0].take().expect("the box is up");
    assert_eq!(
        stopping.wait_exit(std::time::Duration::from_secs(60)),
        Some(0)
    );
    wait_until("a new key of the session runs at the successor", || {
        activate(&world.caller(1, "studio").in_session(&token), "sim-2").status == 200
    });
    for at in [1, 2] {
        let repeated = activate(&world.caller(at, "studio").in_session(&token), "sim-1");
        assert_ne!(repeated.status, 200, "{repeated:?}");
        assert_eq!(repeated.run, "unknown", "{repeated:?}");
        let kept = activate(&world.caller(at, "studio").in_session(&token), "sim-2");
        assert_eq!(kept.status, 200, "{kept:?}");
    }
    assert_eq!((runs(&world, "sim-1"), runs(&world, "sim-2")), (1, 1));
}

#[test]
fn a_box_paused_for_long_does_not_run_a_key_that_another_ran() {
    let world = three();
    let slow = world.caller(0, "studio");
    world.services[0].set_delay_ms(200);
    thread::scope(|scope| {
        let first = scope.spawn(|| activate(&slow, "sim-1"));
        wait_until("it has reached the service", || runs(&world, "sim-1") == 1);
        world.running_box(0).signal("STOP");
        let others: Vec<Outcome> = [1, 2]
            .map(|at| activate(&world.caller(at, "studio"), "sim-1"))
            .into();
        assert!(others.iter().all(|o| o.run == "unknown"), "{others:?}");
        let operator = world.operator(1);
        wait_until("the others hold it to be dead", || {
            let boxes = operator.status().map(|s| s.boxes).unwrap_or_default();
            boxes
                .iter()
                .any(|b| b.name.as_ref() == "box-1" && b.health == "dead")
        });
        world.running_box(0).signal("CONT");
        let first = first.join().expect("no caller panics");
        assert_eq!(first.status, 200, "{first:?}");
    });
    assert_eq!(runs(&world, "sim-1"), 1);
}

/// Runs each call and answers it with a status that says nothing of that.
struct DenyingEngine {
    status: u16,
    runs: AtomicUsize,
}

impl Handler for DenyingEngine {
    fn handle(&self, mut incoming: Incoming) {
        let reply = if incoming.path() == "/load" {
            let report = LoadReport {
                slots: 8,
                versions: VERSIONS.map(|(at, ..)| at.to_owned()).into(),
                ..LoadReport::default()
            };
            let body = serde_json::to_vec(&report).expect("a load report serializes to JSON");
            Reply::json(200, body)
        } else {
            let _body = incoming.read_body().expect("the box sends a body");
            self.runs.fetch_add(1, Ordering::Relaxed);
            Reply::text(self.status, "")
        };
        let _disconnected = incoming.reply(reply);
    }
}

macro_rules! denying_engines {
    ($($name:ident: $status:expr;)*) => {$(
        /// Guards against believing that an engine that answers with an error status has not run the call.
        #[test]
        fn $name() {
            let world = start(spec(&["hall-a"]));
            let engines: Vec<(Arc<DenyingEngine>, Server)> = (0..2)
                .map(|at| {
                    let engine = Arc::new(DenyingEngine { status: $status, runs: AtomicUsize::new(0) });
                    let server = Server::start("127.0.0.1:0", 16, engine.clone()).expect("a port is free");
                    world.platform.register_box(BoxEntry {
                        name: format!("engine-{at:02}").as_str().into(),
                        kind: BoxKind::Upstream,
                        addr: server.addr().to_string().as_str().into(),
                        hall: "hall-a".into(),
                        pool: ENGINES.into(),
                        state: BoxState::Live,
                    });
                    (engine, server)
                })
                .collect();
            let runs = || engines.iter().map(|(engine, _)| engine.runs.load(Ordering::Relaxed)).sum::<usize>();
            let known_runs = || world.engines.iter().map(|engine| engine.runs().len()).sum::<usize>();
            let caller = world.caller(0, "studio");
            wait_until("the box calls these engines only", || {
                let before = (runs(), known_runs());
                let reached = (0..8).all(|_| caller.chat("notes", "first", 4).status != 200);
                reached && runs() > before.0 && known_runs() == before.1
            });
            let before = runs();
            let told = caller.at_most_once("once").chat("notes", "activate", 4);
            assert_eq!(runs() - before, 1, "{told:?}");
            assert_eq!(told.run, "unknown", "{told:?}");
        }
    )*};
}

denying_engines! {
    a_call_that_an_engine_answers_with_400_may_have_run: 400;
    a_call_that_an_engine_answers_with_408_may_have_run: 408;
    a_call_that_an_engine_answers_with_409_may_have_run: 409;
    a_call_that_an_engine_answers_with_429_may_have_run: 429;
    a_call_that_an_engine_answers_with_500_may_have_run: 500;
    a_call_that_an_engine_answers_with_503_may_have_run: 503;
}

macro_rules! lost_forwards {
    ($($name:ident: $fault:expr;)*) => {$(
        #[test]
        fn $name() {
            let world = start(ClusterSpec {
                peer_proxies: true,
                ..spec(&["hall-a", "hall-b"])
            });
            let token = world
                .caller(0, "studio")
                .open_session()
                .expect("a session opens");
            let other = world.caller(1, "studio").in_session(&token);
            let warm = activate(&other, "sim-warm");
            assert_eq!(warm.status, 200, "{warm:?}");
            world.services[0].set_delay_ms(300);
            let other = other.with_header("X-Ivyweir-Deadline-Ms", "2000");
            let told = thread::scope(|scope| {
                let call = scope.spawn(|| activate(&other, "sim-1"));
                wait_until("it runs", || runs(&world, "sim-1") == 1);
                world.peer_proxies[0].set($fault);
                call.join().expect("no caller panics")
            });
            world.peer_proxies[0].set(Fault::None);
            assert_eq!(told.run, "unknown", "{told:?}");
            assert_ne!(told.status, 200, "{told:?}");
            assert_eq!(runs(&world, "sim-1"), 1);
        }
    )*};
}

lost_forwards! {
    a_forwarded_call_whose_connection_is_cut_may_have_run: Fault::Cut;
    a_forwarded_call_whose_answer_is_lost_may_have_run: Fault::LoseAnswers;
    a_forwarded_call_whose_answer_hangs_may_have_run: Fault::HalfOpen;
    a_forwarded_call_whose_answer_is_cut_short_may_have_run: Fault::TruncateAfter(4);
}
