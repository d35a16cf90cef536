//! The gateway's request path, with real boxes: what is passed on, what is repeated, what is
//! refused.

use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

use ivyweir_standins::edge::{
    Reply, ScriptedUpstream, TestCluster, UpstreamAction, call, event_ids, eventually, get,
    post_stream,
};

const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");
const AUTH: (&str, &str) = ("authorization", "Bearer key-of-the-studio");

fn town() -> TestCluster {
    TestCluster::with_boxes(BINARY, &["hall-a"])
}

fn stream(events: u64, break_after: Option<u64>, confidence: Option<u8>) -> UpstreamAction {
    UpstreamAction::Stream {
        events,
        gap_ms: 5,
        truncate_after: break_after,
        confidence,
    }
}

fn ask(town: &TestCluster, path: &str) -> Reply {
    let headers = [("ivyweir-request-id", "r1"), AUTH];
    get(town.addr(0), path, &headers).expect("an answer")
}

fn sends(town: &TestCluster) -> usize {
    let all = town.services.iter().chain(&town.engines);
    all.map(|upstream| upstream.received_requests().len()).sum()
}

#[test]
fn a_request_reaches_its_upstream_unaltered_but_for_what_is_the_systems() {
    let town = town();
    let headers = [
        ("ivyweir-request-id", "r1"),
        ("ivyweir-budget-ms", "900"),
        AUTH,
        ("ivyweir-workspace", "somebody-else"),
        ("x-own", "kept"),
        ("connection", "x-hop"),
        ("x-hop", "dropped"),
    ];
    let body = bytes::Bytes::from_static(b"the body");
    let reply = call(town.addr(0), "POST", "/safe/a/b?c=d", &headers, body).expect("an answer");
    assert_eq!(reply.status, 200);
    assert_eq!(reply.text(), "echo of 8 bytes");
    assert!(reply.headers.contains_key("ivyweir-signature"));
    let seen: Vec<_> = town
        .services
        .iter()
        .flat_map(|s| s.received_requests())
        .collect();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].request_line, "POST /safe/a/b?c=d");
    assert_eq!(&seen[0].body[..], b"the body");
    assert_eq!(seen[0].header("ivyweir-workspace"), Some("studio"));
    assert_eq!(seen[0].header("x-own"), Some("kept"));
    assert_eq!(seen[0].header("x-hop"), None);
    assert_eq!(seen[0].header("authorization"), None);
    assert_eq!(seen[0].header("ivyweir-request-id"), Some("r1"));
    let left_ms: u64 = seen[0]
        .header("ivyweir-budget-ms")
        .expect("a budget")
        .parse()
        .expect("ms");
    assert!((1..=900).contains(&left_ms), "{left_ms} ms left of 900");
}

macro_rules! statuses {
    ($($name:ident: $path:expr, acts $acts:expr => $status:expr, sends $sends:expr;)*) => {$(
        #[test]
        fn $name() {
            let town = town();
            for upstream in town.services.iter().chain(&town.engines) {
                upstream.set_action($acts);
            }
            let reply = ask(&town, $path);
            assert_eq!((reply.status, sends(&town)), ($status, $sends));
        }
    )*};
}

statuses! {
    a_failure_of_an_unsafe_request_is_passed_on: "/unsafe/x", acts UpstreamAction::Answer(500) => 500, sends 1;
    a_failure_of_a_safe_request_is_tried_once_more: "/safe/x", acts UpstreamAction::Answer(500) => 500, sends 2;
    an_unsafe_request_whose_answer_is_lost_is_not_repeated: "/unsafe/x", acts UpstreamAction::Close => 502, sends 1;
    an_answer_that_breaks_off_does_not_look_whole: "/unsafe/x", acts UpstreamAction::TruncateBody => 502, sends 1;
    an_unsigned_success_is_none: "/unsafe/x", acts UpstreamAction::Unsigned => 502, sends 1;
    another_requests_answer_is_none: "/unsafe/x", acts UpstreamAction::WrongId => 502, sends 1;
    an_unsafe_request_is_refused_only_if_it_did_not_run: "/unsafe/x", acts UpstreamAction::NotRun => 503, sends 1;
    an_upstreams_bare_503_promises_nothing: "/unsafe/x", acts UpstreamAction::Answer(503) => 502, sends 1;
    an_unsafe_request_that_nobody_answers_is_late: "/unsafe/x", acts UpstreamAction::Hang => 504, sends 1;
    a_path_without_a_route_is_not_found: "/elsewhere/x", acts UpstreamAction::Answer(200) => 404, sends 0;
}

#[test]
fn a_refusal_says_when_to_come_back() {
    let town = town();
    for upstream in &town.services {
        upstream.set_action(UpstreamAction::NotRun);
    }
    let reply = ask(&town, "/unsafe/x");
    let after = reply.headers.get("retry-after").expect("a time");
    let after_s: f64 = after.to_str().expect("text").parse().expect("seconds");
    assert!(after_s > 0.0 && after_s <= 1.0, "{after_s} s");
}

#[test]
fn an_unknown_key_is_denied_without_a_send() {
    let town = town();
    let headers = [
        ("ivyweir-request-id", "r1"),
        ("authorization", "Bearer guess"),
    ];
    let reply = get(town.addr(0), "/safe/x", &headers).expect("an answer");
    assert_eq!((reply.status, sends(&town)), (401, 0));
}

#[test]
fn a_body_over_the_limit_is_refused() {
    let town = town();
    let body = bytes::Bytes::from(vec![b'x'; 70_000]);
    let headers = [("ivyweir-request-id", "r1"), AUTH];
    let reply = call(town.addr(0), "POST", "/safe/x", &headers, body).expect("an answer");
    assert_eq!((reply.status, sends(&town)), (413, 0));
}

#[test]
fn another_incarnation_at_an_address_is_never_asked_again() {
    let town = town();
    town.services[0].set_action(UpstreamAction::OtherIncarnation);
    for n in 0..20 {
        let headers = [("ivyweir-request-id", format!("r{n}"))];
        let headers = [(headers[0].0, headers[0].1.as_str()), AUTH];
        let reply = get(town.addr(0), "/safe/x", &headers).expect("an answer");
        assert_eq!(reply.status, 200);
    }
    assert!(town.services[0].received_requests().len() <= 1);
}

/// Guards against callers that take upstreams out of use by naming a model that they do not have.
#[test]
fn a_model_that_no_upstream_has_takes_none_out_of_use() {
    let town = town();
    for engine in &town.engines {
        engine.set_action(UpstreamAction::OtherIncarnation);
    }
    for n in 0..4 {
        let id = format!("r{n}");
        let headers = [
            ("ivyweir-request-id", id.as_str()),
            ("ivyweir-model", "unknown"),
            AUTH,
        ];
        let reply = get(town.addr(0), "/sized/x", &headers).expect("an answer");
        assert!(reply.status >= 400, "{}", reply.status);
    }
    for engine in &town.engines {
        engine.set_action(stream(10, None, None));
    }
    let reply = post_stream(town.addr(0), "/stream/x", "r").expect("an answer");
    assert_eq!((reply.status, reply.is_complete), (200, true));
}

#[test]
fn a_stream_arrives_whole_and_in_order() {
    let town = town();
    for engine in &town.engines {
        engine.set_action(stream(10, None, None));
    }
    let reply = post_stream(town.addr(0), "/stream/x", "r1").expect("an answer");
    assert!(reply.is_complete);
    assert_eq!(event_ids(&reply.text()), (1..=10).collect::<Vec<_>>());
}

#[test]
fn a_stream_that_breaks_goes_on_behind_its_last_whole_event() {
    let town = town();
    for engine in &town.engines {
        engine.set_action(stream(10, None, None));
        engine.set_next_actions(vec![stream(10, Some(4), None)]);
    }
    // Whichever engine is asked first breaks off; the other may break off further on.
    let reply = post_stream(town.addr(0), "/stream/x", "r1").expect("an answer");
    assert!(reply.is_complete, "{}", reply.text());
    assert_eq!(event_ids(&reply.text()), (1..=10).collect::<Vec<_>>());
    assert!(
        !reply.text().contains("data: to\n"),
        "no torn event is passed on"
    );
    let resumed = town.engines.iter().flat_map(|e| e.received_requests());
    let resumed: Vec<_> = resumed
        .filter(|s| s.header("last-event-id").is_some())
        .collect();
    assert!(
        resumed
            .iter()
            .any(|s| s.header("last-event-id") == Some("4"))
    );
}

/// Takes all engines but the first out of the pool.
fn leave_one_engine(town: &TestCluster) {
    town.store.put_upstream(&town.engines[1].leaving_record());
    eventually("the box has seen it", || {
        let seen = town.boxes[0].event_lines("upstream_changed");
        seen.iter().any(|line| line["change"] == "Leaving")
    });
}

/// A stream that sends an event in a minute.
const SILENT: UpstreamAction = UpstreamAction::Stream {
    events: 10,
    gap_ms: 60_000,
    truncate_after: None,
    confidence: None,
};

#[test]
fn a_stream_that_falls_silent_goes_on_elsewhere() {
    let town = town();
    for engine in &town.engines {
        engine.set_action(stream(10, None, None));
        engine.set_next_actions(vec![SILENT]);
    }
    let other = &town.engines[1];
    other.set_next_actions(vec![]);
    // The silent engine may not be the first that is asked.
    for n in 0..20 {
        let reply = post_stream(town.addr(0), "/stream/x", &format!("r{n}")).expect("an answer");
        assert!(reply.is_complete, "{}", reply.text());
        assert_eq!(event_ids(&reply.text()), (1..=10).collect::<Vec<_>>());
    }
    // The log is written behind the answers.
    eventually("its silence and the resumption are in the log", || {
        let count = |event| town.boxes[0].event_lines(event).len();
        count("stream_silent") == 1 && count("resumed") == 1
    });
}

#[test]
fn a_slow_stream_goes_on_where_no_other_upstream_takes_it() {
    let town = town();
    let slow = UpstreamAction::Stream {
        events: 1,
        gap_ms: 2_500,
        truncate_after: None,
        confidence: None,
    };
    for engine in &town.engines {
        engine.set_action(UpstreamAction::NotRun);
        engine.set_next_actions(vec![slow.clone()]);
    }
    leave_one_engine(&town);
    let reply = post_stream(town.addr(0), "/stream/x", "r1").expect("an answer");
    assert!(reply.is_complete, "{}", reply.text());
    assert_eq!(event_ids(&reply.text()), [1]);
    eventually("its silence is in the log", || {
        town.boxes[0].event_lines("stream_silent").len() == 1
    });
}

#[test]
fn a_stream_that_cannot_go_on_does_not_look_whole() {
    let town = town();
    for engine in &town.engines {
        engine.set_action(stream(10, Some(0), None));
    }
    let reply = post_stream(town.addr(0), "/stream/x", "r1").expect("a head");
    assert!(!reply.is_complete);
}

macro_rules! models {
    ($($name:ident: $confidence:expr => $asked:expr;)*) => {$(
        #[test]
        fn $name() {
            let town = town();
            for engine in &town.engines {
                engine.set_action(stream(3, None, Some($confidence)));
            }
            // The budget on repeats allows a larger model only beside other requests.
            for n in 0..3 {
                post_stream(town.addr(0), "/stream/x", &format!("before-{n}")).expect("an answer");
            }
            let reply = post_stream(town.addr(0), "/sized/x", "r1").expect("an answer");
            assert_eq!(event_ids(&reply.text()), [1, 2, 3]);
            let seen = town.engines.iter().flat_map(|e| e.received_requests());
            let mut asked: Vec<String> = seen
                .filter(|s| s.header("ivyweir-request-id") == Some("r1"))
                .map(|s| s.header("ivyweir-model").unwrap_or("-").to_owned())
                .collect();
            asked.sort();
            assert_eq!(asked, $asked);
        }
    )*};
}

models! {
    a_sure_small_model_answers: 90 => ["small"];
    an_unsure_one_is_dropped_for_the_largest: 10 => ["large", "small"];
}

macro_rules! larger_models {
    ($($name:ident: $acts:expr => $events:expr;)*) => {$(
        #[test]
        fn $name() {
            let town = town();
            for engine in &town.engines {
                engine.set_action(stream(3, None, Some(90)));
            }
            // The budget on repeats allows a larger model only beside other requests.
            for n in 0..6 {
                post_stream(town.addr(0), "/stream/x", &format!("before-{n}")).expect("an answer");
            }
            // One engine is left; it gives a doubtful answer, and no better one.
            leave_one_engine(&town);
            town.engines[0].set_next_actions(vec![stream(4, None, Some(10))]);
            town.engines[0].set_action($acts);
            let reply = post_stream(town.addr(0), "/sized/x", "r1").expect("an answer");
            assert_eq!(reply.status, 200);
            assert!(reply.is_complete);
            assert_eq!(event_ids(&reply.text()), $events);
            let asked = town.engines[0].received_requests();
            let large = asked.iter().filter(|s| s.header("ivyweir-model") == Some("large"));
            assert!(large.count() > 0, "a larger model was asked");
        }
    )*};
}

larger_models! {
    a_larger_model_that_fails_leaves_the_smaller_ones_answer: UpstreamAction::Answer(500) => [1, 2, 3, 4];
    a_larger_model_that_hangs_up_does_too: UpstreamAction::Close => [1, 2, 3, 4];
    a_larger_model_that_refuses_does_too: UpstreamAction::NotRun => [1, 2, 3, 4];
}

#[test]
fn a_caller_that_leaves_ends_the_work() {
    let town = town();
    for engine in &town.engines {
        engine.set_action(UpstreamAction::Stream {
            events: 1_000,
            gap_ms: 20,
            truncate_after: None,
            confidence: None,
        });
    }
    let addr = town.addr(0);
    let caller = std::net::TcpStream::connect(addr).expect("a connection");
    let request = "POST /stream/x HTTP/1.1\r\nhost: studio.example\r\nivyweir-request-id: r1\r\n\
                   authorization: Bearer key-of-the-studio\r\ncontent-length: 0\r\n\r\n";
    std::io::Write::write_all(&mut (&caller), request.as_bytes()).expect("it is sent");
    let active = || {
        town.engines
            .iter()
            .map(|e| e.active_requests())
            .sum::<u64>()
    };
    eventually("the engine works", || active() == 1);
    drop(caller);
    eventually("the engine stops", || active() == 0);
}

#[test]
fn a_planned_stop_lets_a_stream_end() {
    let mut town = town();
    for engine in &town.engines {
        engine.set_action(UpstreamAction::Stream {
            events: 60,
            gap_ms: 20,
            truncate_after: None,
            confidence: None,
        });
    }
    let addr = town.addr(0);
    let caller = thread::spawn(move || post_stream(addr, "/stream/x", "r1"));
    eventually("the stream runs", || {
        town.engines.iter().any(|e| e.active_requests() > 0)
    });
    town.boxes[0].signal("TERM");
    eventually("the balancer is told", || !town.is_ready(0));
    let reply = caller.join().expect("the caller ends").expect("an answer");
    assert!(reply.is_complete);
    assert_eq!(event_ids(&reply.text()).len(), 60);
    assert_eq!(town.boxes[0].wait_exit(Duration::from_secs(20)), Some(0));
}

#[test]
fn a_failed_request_is_explained_by_its_lines() {
    let town = town();
    for service in &town.services {
        service.set_action(UpstreamAction::Close);
    }
    ask(&town, "/unsafe/x");
    eventually("the lines are written", || {
        let lines = town.boxes[0].request_lines("r1");
        let events: Vec<_> = lines.iter().filter_map(|l| l["event"].as_str()).collect();
        events == ["admitted", "chosen", "answer_lost", "refused"]
    });
    assert!(
        !town.boxes[0].log().contains("key-of-the-studio"),
        "no key is logged"
    );
}

/// An address at which nobody listens. A port that was bound and freed may be given to another test.
fn dead_addr() -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], 1))
}

/// A town in which all but one of twelve plain upstreams are gone, and their records are still there.
fn mostly_gone() -> TestCluster {
    let town = town();
    town.store.remove_upstream(&town.services[1].id());
    for n in 0..11 {
        let mut record = town.services[0].record();
        record.id = format!("gone-{n}").into();
        record.addr = dead_addr();
        town.store.put_upstream(&record);
    }
    eventually("the box knows all of them", || {
        let changed = town.boxes[0].event_lines("upstream_changed");
        changed
            .iter()
            .filter(|line| line["change"] == "Joined")
            .count()
            >= 13
    });
    town
}

#[test]
fn a_request_is_served_though_most_of_a_pool_cannot_be_reached() {
    // Each box meets the pool for the first time: it has learned of none that is gone.
    for id in ["r1", "r2", "r3"] {
        let town = mostly_gone();
        let headers = [("ivyweir-request-id", id), AUTH];
        let reply = get(town.addr(0), "/unsafe/x", &headers).expect("an answer");
        assert_eq!(reply.status, 200, "{id}");
        assert_eq!(town.services[0].received_requests().len(), 1);
    }
}

#[test]
fn a_request_is_refused_once_all_of_a_pool_were_tried() {
    let town = mostly_gone();
    town.store.remove_upstream(&town.services[0].id());
    eventually("the last one has lapsed", || {
        let changed = town.boxes[0].event_lines("upstream_changed");
        changed
            .iter()
            .any(|line| line["change"] == "Lapsed" && line["upstream"] == *town.services[0].id())
    });
    let reply = ask(&town, "/unsafe/x");
    assert_eq!(reply.status, 503);
    assert!(reply.text().contains("no_upstream"), "{}", reply.text());
    let connects = town.boxes[0].request_lines("r1");
    let failed = connects
        .iter()
        .filter(|line| line["event"] == "connect_failed")
        .count();
    assert!(failed <= 12, "{failed} tries of eleven upstreams");
}

/// An upstream that starts again under its name, and whether a request that was at the first one is asked at the second.
macro_rules! reborn {
    ($($name:ident: $pool:expr, $path:expr, $first:expr => status $status:expr, second asked $asked:expr;)*) => {$(
        /// The first incarnation ends behind a cut: its connections stay, and nothing comes on them.
        #[test]
        fn $name() {
            let mut town = TestCluster::start(Path::new(BINARY));
            for upstream in town.services.iter().chain(&town.engines) {
                town.store.put_upstream(&upstream.leaving_record());
            }
            let first = ScriptedUpstream::start_incarnation("u", 1, $pool, "v1");
            first.set_action($first);
            town.store.put_upstream(&first.record());
            town.add_box("hall-a");
            let addr = town.addr(0);
            let asking = thread::spawn(move || {
                let headers = [("ivyweir-request-id", "r1"), AUTH];
                get(addr, $path, &headers)
            });
            eventually("the first one has it", || first.received_requests().len() == 1);
            let second = ScriptedUpstream::start_incarnation("u", 2, $pool, "v1");
            second.set_action(if $pool == "engines" { stream(3, None, None) } else { UpstreamAction::Answer(200) });
            town.store.put_upstream(&second.record());
            let reply = asking.join().expect("no panic").expect("an answer");
            assert_eq!((reply.status, second.received_requests().len()), ($status, $asked));
            // What the first one said of itself does not bind the second.
            town.store.put_upstream(&first.leaving_record());
            let reply = ask(&town, $path);
            assert_eq!((reply.status, second.received_requests().len()), (200, $asked + 1));
        }
    )*};
}

reborn! {
    a_stream_goes_on_at_once_at_an_upstream_that_started_again: "engines", "/stream/x", SILENT => status 200, second asked 1;
    a_safe_request_goes_on_at_once_at_an_upstream_that_started_again: "services", "/safe/x", UpstreamAction::Hang => status 200, second asked 1;
    an_unsafe_request_is_not_sent_to_an_upstream_that_started_again: "services", "/unsafe/x", UpstreamAction::Hang => status 502, second asked 0;
}

// Guards against idle connections to the readiness listener that use up the descriptors of the box.
#[test]
fn idle_connections_to_the_readiness_listener_are_bounded_and_closed() {
    const CONNECTIONS: usize = 400;
    let town = town();
    let ready_addr = town.boxes[0].ready_addr;
    let descriptors = || {
        let folder = format!("/proc/{}/fd", town.boxes[0].pid());
        std::fs::read_dir(folder)
            .expect("they can be listed")
            .count()
    };
    let before = descriptors();
    let _idle: Vec<TcpStream> = (0..CONNECTIONS)
        .map(|_| TcpStream::connect(ready_addr).expect("the box accepts connections"))
        .collect();
    assert_eq!(ask(&town, "/safe/x").status, 200);
    assert!(
        descriptors() < before + CONNECTIONS - 100,
        "{}",
        descriptors()
    );
    eventually("a readiness check is answered", || town.is_ready(0));
}
