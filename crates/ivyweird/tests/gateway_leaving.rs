//! What upstreams say of themselves in their answers: that they leave, and that they want nothing for a while.
//!
//! What users saw: requests reached an engine 11.6 and 12.0 s after its answers had begun to say that it leaves; 2 s are
//! allowed. Order of events: the store went out; the engine began to leave, so its record could not say so; its answers did,
//! and boxes passed them on; boxes refused keyed requests for want of a proof; the store came back, and for 0.3 s its record
//! of the engine still said that it takes work; two boxes sent to it, the idlest of 18.
//!
//! Cause: a box read what an answer says of its load and of the request, and nothing of what it says of the upstream's
//! leaving; only records and refusals by another incarnation moved an upstream's standing. Evidence: the lines of those
//! answers say `"leaving":true`, and no `upstream_changed` follows on that box until the record changes.

use std::io::{Read, Write};
use std::net::TcpStream;

use ivyweir_standins::edge::{
    HOST, KEY, Reply, ScriptedUpstream, StoreFault, TestCluster, UpstreamAction, event_ids,
    eventually, get, post_stream,
};

const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");

fn town(halls: &[&str]) -> TestCluster {
    TestCluster::with_boxes(BINARY, halls)
}

fn ask(town: &TestCluster, number: usize, path: &str) -> Reply {
    let auth = format!("Bearer {KEY}");
    let headers = [("ivyweir-request-id", "r"), ("authorization", &auth)];
    get(town.addr(number), path, &headers).expect("an answer")
}

fn stream(town: &TestCluster, number: usize) -> Reply {
    post_stream(town.addr(number), "/stream/x", "r").expect("an answer")
}

fn seen(upstream: &ScriptedUpstream) -> usize {
    upstream.received_requests().len()
}

/// Lets the first engine say that it leaves, until it has said so to the first box.
fn say_leaving_while_the_store_is_out(town: &TestCluster) {
    town.store.set_fault(StoreFault::Silent);
    town.engines[0].advertise_leaving();
    eventually("the box has its word", || {
        stream(town, 0);
        let relaying = town.boxes[0].event_lines("relaying");
        relaying.iter().any(|line| line["leaving"] == true)
    });
}

#[test]
fn what_an_upstream_said_of_leaving_holds_when_the_store_is_back_and_says_otherwise() {
    let town = town(&["hall-a"]);
    let act = UpstreamAction::Stream {
        events: 2,
        gap_ms: 1,
        truncate_after: None,
        confidence: None,
    };
    town.engines
        .iter()
        .for_each(|engine| engine.set_action(act.clone()));
    say_leaving_while_the_store_is_out(&town);
    eventually("the box has lost its proof", || !town.is_ready(0));
    let before = seen(&town.engines[0]);
    town.store.set_fault(StoreFault::None);
    eventually("the key works again", || stream(&town, 0).status == 200);
    for _ in 0..20 {
        assert_eq!(stream(&town, 0).status, 200);
    }
    assert_eq!(seen(&town.engines[0]), before);
}

/// How the word reaches the box: what the first upstream of a pool does with a request, and the request.
struct Way {
    path: &'static str,
    act: UpstreamAction,
}

impl Way {
    fn upstreams<'a>(&self, town: &'a TestCluster) -> &'a [ScriptedUpstream] {
        let is_engine = ["/stream/", "/sized/"]
            .iter()
            .any(|p| self.path.starts_with(p));
        if is_engine {
            &town.engines
        } else {
            &town.services
        }
    }

    fn send(&self, town: &TestCluster) -> Reply {
        post_stream(town.addr(0), self.path, "r").expect("an answer")
    }
}

fn events(confidence: Option<u8>, break_after: Option<u64>) -> UpstreamAction {
    UpstreamAction::Stream {
        events: 3,
        gap_ms: 1,
        truncate_after: break_after,
        confidence,
    }
}

/// The first upstream of a pool says that it leaves while it does `act`; once it was asked, nothing of any kind of
/// request reaches it, though its record, written anew, says that it takes work.
macro_rules! heard {
    ($($name:ident: $path:expr, $act:expr;)*) => {$(
        #[test]
        fn $name() {
            let town = town(&["hall-a"]);
            let way = Way { path: $path, act: $act };
            let (leaving, other) = way.upstreams(&town).split_first().expect("two upstreams");
            other[0].set_action(if way.path.starts_with("/s") && way.path != "/safe/x" {
                events(Some(100), None)
            } else {
                UpstreamAction::Answer(200)
            });
            leaving.set_action(way.act.clone());
            leaving.advertise_leaving();
            eventually("it was asked", || {
                way.send(&town);
                seen(leaving) > 0
            });
            let before = seen(leaving);
            leaving.set_action(events(Some(100), None));
            town.store.put_upstream(&leaving.record());
            for path in ["/safe/x", "/unsafe/x", "/stream/x", "/sized/x"] {
                for _ in 0..10 {
                    post_stream(town.addr(0), path, "r").expect("an answer");
                }
            }
            assert_eq!(seen(leaving), before);
            let changes = || {
                let lines = town.boxes[0].event_lines("upstream_changed");
                lines.iter().filter(|line| line["source"] == "answer").count()
            };
            eventually("the change is in the log", || changes() > 0);
            assert_eq!(changes(), 1, "one line for the change");
        }
    )*};
}

heard! {
    in_a_whole_answer: "/unsafe/x", UpstreamAction::Answer(200);
    in_a_failure_that_is_passed_on: "/unsafe/x", UpstreamAction::Answer(500);
    in_a_failure_that_is_repeated_elsewhere: "/safe/x", UpstreamAction::Answer(500);
    in_a_refusal: "/safe/x", UpstreamAction::NotRun;
    in_an_answer_that_breaks_off: "/safe/x", UpstreamAction::TruncateBody;
    in_an_answer_without_a_signature: "/unsafe/x", UpstreamAction::Unsigned;
    in_an_answer_to_another_request: "/unsafe/x", UpstreamAction::WrongId;
    in_the_head_of_a_stream: "/stream/x", events(None, None);
    in_a_stream_that_goes_on_elsewhere: "/stream/x", events(None, Some(1));
    in_a_smaller_models_answer_that_is_put_aside: "/sized/x", events(Some(3), None);
}

#[test]
fn a_caller_that_gives_up_behind_the_head_leaves_the_word_behind() {
    let town = town(&["hall-a"]);
    let long = UpstreamAction::Stream {
        events: 1_000,
        gap_ms: 20,
        truncate_after: None,
        confidence: None,
    };
    town.engines
        .iter()
        .for_each(|engine| engine.set_action(long.clone()));
    town.engines[0].advertise_leaving();
    eventually("it was asked", || {
        read_head(&town, "/stream/x");
        seen(&town.engines[0]) > 0
    });
    let before = seen(&town.engines[0]);
    for _ in 0..20 {
        read_head(&town, "/stream/x");
    }
    assert_eq!(seen(&town.engines[0]), before);
}

/// Asks for a stream, reads the head of the answer and leaves.
fn read_head(town: &TestCluster, path: &str) {
    let mut caller = TcpStream::connect(town.addr(0)).expect("a connection");
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: {HOST}\r\nivyweir-request-id: r\r\nauthorization: Bearer {KEY}\r\n\r\n"
    );
    caller.write_all(request.as_bytes()).expect("it is sent");
    let mut head = [0; 256];
    let read = caller.read(&mut head).expect("a head");
    assert!(head[..read].starts_with(b"HTTP/1.1 200"));
}

/// Sends that would go to the first upstream, had it not said that it leaves.
macro_rules! sends {
    ($($name:ident: $path:expr, the_other $act:expr => $status:expr;)*) => {$(
        #[test]
        fn $name() {
            let town = town(&["hall-a"]);
            for (leaving, path) in [(&town.services[0], "/unsafe/x"), (&town.engines[0], "/stream/x")] {
                leaving.set_action(events(Some(100), None));
                leaving.advertise_leaving();
                eventually("it was asked", || {
                    post_stream(town.addr(0), path, "r").expect("an answer");
                    seen(leaving) > 0
                });
            }
            let before = (seen(&town.services[0]), seen(&town.engines[0]));
            town.services[1].set_action($act);
            town.engines[1].set_action($act);
            for _ in 0..10 {
                let reply = post_stream(town.addr(0), $path, "r").expect("an answer");
                assert_eq!(reply.status, $status);
            }
            assert_eq!((seen(&town.services[0]), seen(&town.engines[0])), before);
        }
    )*};
}

sends! {
    no_first_try_of_a_plain_request: "/safe/x", the_other UpstreamAction::Answer(200) => 200;
    no_first_try_of_a_request_that_may_run_once: "/unsafe/x", the_other UpstreamAction::Answer(200) => 200;
    no_repeat_of_a_failed_request: "/safe/x", the_other UpstreamAction::Answer(500) => 502;
    no_repeat_of_a_refused_request: "/unsafe/x", the_other UpstreamAction::NotRun => 503;
    no_repeat_of_a_lost_one: "/safe/x", the_other UpstreamAction::Close => 502;
    no_larger_model: "/sized/x", the_other events(Some(3), None) => 200;
    no_stream: "/stream/x", the_other events(None, None) => 200;
    no_resumption_of_a_stream: "/stream/x", the_other events(None, Some(1)) => 200;
}

#[test]
fn boxes_of_all_halls_hear_of_it_from_each_other_while_the_store_is_out() {
    let town = town(&["hall-a", "hall-a", "hall-b", "hall-b"]);
    let act = events(None, None);
    town.engines
        .iter()
        .for_each(|engine| engine.set_action(act.clone()));
    say_leaving_while_the_store_is_out(&town);
    for number in 1..4 {
        eventually("the box has heard", || {
            let changes = town.boxes[number].event_lines("upstream_changed");
            changes.iter().any(|line| line["source"] == "peer")
        });
    }
    let before = seen(&town.engines[0]);
    town.store.set_fault(StoreFault::None);
    for number in 0..4 {
        eventually("the key works again", || {
            stream(&town, number).status == 200
        });
        for _ in 0..10 {
            assert_eq!(stream(&town, number).status, 200);
        }
    }
    assert_eq!(seen(&town.engines[0]), before);
}

#[test]
fn an_upstream_that_wants_nothing_for_a_while_gets_nothing() {
    let town = town(&["hall-a"]);
    for service in &town.services {
        service.set_action(UpstreamAction::NotRun);
        service.set_retry_after("60");
    }
    for _ in 0..20 {
        assert_eq!(ask(&town, 0, "/unsafe/x").status, 503);
    }
    for service in &town.services {
        assert!(seen(service) <= 2, "{} sends", seen(service));
    }
}

/// Both services refuse one request each and want nothing for so many seconds; then they serve.
fn refuse_once(town: &TestCluster, seconds: &str) {
    for service in &town.services {
        service.set_next_actions(vec![UpstreamAction::NotRun]);
        service.set_retry_after(seconds);
    }
    // A request that may run again is sent to both.
    assert_eq!(ask(town, 0, "/safe/x").status, 503);
}

/// What becomes of a request that comes while nothing is wanted; its aim is 0.5 s and its time 4 s.
macro_rules! waiting {
    ($($name:ident: $seconds:expr => $status:expr, sends $sends:expr;)*) => {$(
        #[test]
        fn $name() {
            let town = town(&["hall-a"]);
            refuse_once(&town, $seconds);
            let before: usize = town.services.iter().map(seen).sum();
            let reply = ask(&town, 0, "/unsafe/x");
            assert_eq!(reply.status, $status);
            let after: usize = town.services.iter().map(seen).sum();
            assert_eq!(after - before, $sends);
            if reply.status == 503 {
                assert!(reply.text().contains("backing_off"));
                let after_s = reply.headers["retry-after"].to_str().expect("text");
                let after_s: f64 = after_s.parse().expect("seconds");
                let told_s: f64 = $seconds.parse().expect("seconds");
                // A refusal and an answer ago it was as long as told, and then the spread is added.
                assert!(after_s > told_s / 2.0 && after_s < told_s * 2.0 + 1.0, "{after_s} s");
            }
        }
    )*};
}

waiting! {
    a_request_that_can_be_in_time_waits: "0.2" => 200, sends 1;
    one_that_would_come_back_too_early_waits: "2" => 200, sends 1;
    one_that_cannot_be_served_is_refused_at_once: "30" => 503, sends 0;
    no_time_is_waited_for_none: "0" => 200, sends 1;
}

/// A stream breaks off behind its first event, and the only other upstream wants nothing for so many seconds; the pause that
/// keeps an answer in time is one second.
macro_rules! broken_off {
    ($($name:ident: $seconds:expr => whole $whole:expr;)*) => {$(
        #[test]
        fn $name() {
            let town = town(&["hall-a"]);
            let (full, breaking) = (&town.engines[0], &town.engines[1]);
            breaking.set_action(events(None, Some(1)));
            full.set_action(events(None, None));
            full.set_next_actions(vec![UpstreamAction::NotRun]);
            full.set_retry_after($seconds);
            // The first one goes to the full one, or breaks off and goes there next.
            eventually("the full one has refused", || {
                stream(&town, 0);
                full.received_requests().iter().any(|seen| !seen.was_run)
            });
            let reply = stream(&town, 0);
            assert_eq!(reply.status, 200);
            assert_eq!(reply.is_complete, $whole);
            if $whole {
                assert_eq!(event_ids(&reply.text()), [1, 2, 3]);
            }
        }
    )*};
}

broken_off! {
    a_stream_that_breaks_off_waits_for_a_full_upstream: "0.4" => whole true;
    unless_its_caller_would_wait_too_long: "60" => whole false;
}

#[test]
fn a_caller_that_leaves_takes_its_place_in_the_queue_with_it() {
    let town = town(&["hall-a"]);
    refuse_once(&town, "2");
    let auth = format!("Bearer {KEY}");
    for _ in 0..50 {
        let mut caller = TcpStream::connect(town.addr(0)).expect("a connection");
        let request = format!(
            "GET /unsafe/x HTTP/1.1\r\nhost: {HOST}\r\nivyweir-request-id: gone\r\nauthorization: {auth}\r\n\r\n"
        );
        caller.write_all(request.as_bytes()).expect("it is sent");
    }
    eventually("they are gone", || {
        let metrics = get(town.boxes[0].metrics_addr, "/metrics", &[]);
        metrics.is_ok_and(|m| {
            m.text()
                .contains("ivyweir_belief{what=\"requests_active\"} 0")
        })
    });
    assert_eq!(ask(&town, 0, "/unsafe/x").status, 200);
    let seen: Vec<_> = town
        .services
        .iter()
        .flat_map(ScriptedUpstream::received_requests)
        .collect();
    assert!(
        seen.iter()
            .all(|s| s.header("ivyweir-request-id") != Some("gone"))
    );
}
