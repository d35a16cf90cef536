//! Upstreams that name in their answers how many requests a second they take from all boxes together.
//!
//! What users saw: an engine that had named about one request a second got 15 of them in 4 s, another one 20, from boxes to
//! which it had said so; 12 and 13 are allowed. Order of events: a calm fleet of nine boxes; two of 18 engines began to name a limit;
//! boxes passed such answers on, and chose these engines as often as before.
//!
//! Cause: no code read the word. What an upstream takes of all boxes together was kept only while it is cold, which its record
//! says; a limit named in answers bound nobody, neither the box that heard it nor the others. Evidence: on the code before the mend the
//! lines of those answers say `"limit_per_s":1.0`, half of a box's lines go on to be of that engine, and no line tells of a
//! decision.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_standins::edge::{
    Arrival, RateLimitInvariant, ScriptedUpstream, TestCluster, UpstreamAction, eventually,
    post_stream,
};

const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");

/// Time for which callers ask: two windows.
const ASKED_FOR: Duration = Duration::from_millis(8_000);
/// Pause of a caller between its requests.
const PAUSE: Duration = Duration::from_millis(20);

fn events(confidence: Option<u8>, break_after: Option<u64>) -> UpstreamAction {
    UpstreamAction::Stream {
        events: 3,
        gap_ms: 1,
        truncate_after: break_after,
        confidence,
    }
}

/// A caller at each box asks for this path, for some time.
fn ask_all(town: &TestCluster, path: &str) {
    ask_at(&caller_addrs(town), path);
}

fn caller_addrs(town: &TestCluster) -> Vec<SocketAddr> {
    town.boxes
        .iter()
        .map(|running| running.caller_addr)
        .collect()
}

/// The same at these addresses.
fn ask_at(addrs: &[SocketAddr], path: &str) {
    let until = Instant::now() + ASKED_FOR;
    thread::scope(|scope| {
        for (number, addr) in addrs.iter().enumerate() {
            scope.spawn(move || {
                for n in 0.. {
                    if Instant::now() >= until {
                        break;
                    }
                    // What becomes of a request is not judged here; its id tells the box.
                    let id = format!("{number}-{n}");
                    let _reply = post_stream(*addr, path, &id);
                    thread::sleep(PAUSE);
                }
            });
        }
    });
}

/// What reached an upstream since then, by the box that sent it.
fn arrivals(upstream: &ScriptedUpstream, since: Instant) -> Vec<Arrival> {
    let seen = upstream.received_requests().into_iter().map(|seen| {
        let id = seen.header("ivyweir-request-id").unwrap_or_default();
        Arrival {
            at_ms: (seen.received_at - since).as_millis() as u64,
            sender: id.split('-').next().unwrap_or_default().into(),
            advertised_per_s: seen
                .advertised_limit
                .as_deref()
                .and_then(|per_s| per_s.parse().ok()),
        }
    });
    seen.collect()
}

fn keeps_promise(upstream: &ScriptedUpstream, since: Instant) {
    let arrivals = arrivals(upstream, since);
    assert!(arrivals.len() > 1, "it gets what it takes");
    if let Err(excess) = RateLimitInvariant::STANDARD.check(&arrivals) {
        panic!("{excess}");
    }
}

/// The first upstream of a pool names a limit of one request a second, in each answer of whichever kind; the other one
/// does `other`. Requests reach the first one in the way that the case names.
macro_rules! limited {
    ($($name:ident: $halls:expr, $path:expr, $pool:ident, one $one:expr, the_other $other:expr;)*) => {$(
        #[test]
        fn $name() {
            let town = TestCluster::with_boxes(BINARY, &$halls);
            let since = Instant::now();
            town.$pool[0].set_action($one);
            town.$pool[1].set_action($other);
            town.$pool[0].advertise_limit(Some("1"));
            ask_all(&town, $path);
            keeps_promise(&town.$pool[0], since);
        }
    )*};
}

limited! {
    a_limit_binds_a_box: ["hall-a"], "/stream/x", engines, one events(None, None), the_other events(None, None);
    a_limit_binds_all_boxes_together: ["hall-a", "hall-a", "hall-b", "hall-b"], "/stream/x", engines,
        one events(None, None), the_other events(None, None);
    plain_requests: ["hall-a", "hall-b"], "/safe/x", services, one UpstreamAction::Answer(200), the_other UpstreamAction::Answer(200);
    requests_that_may_run_once: ["hall-a", "hall-b"], "/unsafe/x", services,
        one UpstreamAction::Answer(200), the_other UpstreamAction::Answer(200);
    repeats_of_failed_requests: ["hall-a", "hall-b"], "/safe/x", services,
        one UpstreamAction::Answer(200), the_other UpstreamAction::Answer(500);
    repeats_of_refused_requests: ["hall-a", "hall-b"], "/unsafe/x", services,
        one UpstreamAction::Answer(200), the_other UpstreamAction::NotRun;
    repeats_of_lost_requests: ["hall-a", "hall-b"], "/safe/x", services, one UpstreamAction::Answer(200), the_other UpstreamAction::Close;
    larger_models: ["hall-a", "hall-b"], "/sized/x", engines,
        one events(Some(100), None), the_other events(Some(3), None);
    resumptions_of_streams: ["hall-a", "hall-b"], "/stream/x", engines,
        one events(None, None), the_other events(None, Some(1));
    a_limit_that_refusals_name: ["hall-a", "hall-b"], "/safe/x", services,
        one UpstreamAction::NotRun, the_other UpstreamAction::Answer(200);
    a_limit_that_failures_name: ["hall-a", "hall-b"], "/safe/x", services,
        one UpstreamAction::Answer(500), the_other UpstreamAction::Answer(200);
    a_limit_of_answers_that_are_put_aside: ["hall-a", "hall-b"], "/sized/x", engines,
        one events(Some(3), None), the_other events(Some(100), None);
    a_limit_of_streams_that_break_off: ["hall-a", "hall-b"], "/stream/x", engines,
        one events(None, Some(1)), the_other events(None, None);
}

#[test]
fn where_all_of_a_pool_are_limited_each_gets_its_own() {
    let town = TestCluster::with_boxes(BINARY, &["hall-a", "hall-b"]);
    let since = Instant::now();
    for service in &town.services {
        service.advertise_limit(Some("2"));
    }
    ask_all(&town, "/unsafe/x");
    for service in &town.services {
        keeps_promise(service, since);
    }
}

#[test]
fn a_box_hears_of_a_limit_from_the_others_before_its_first_send() {
    let mut town = TestCluster::with_boxes(BINARY, &["hall-a", "hall-a", "hall-b"]);
    town.services[0].advertise_limit(Some("1"));
    let since = Instant::now();
    let addrs = caller_addrs(&town);
    let late = thread::scope(|scope| {
        scope.spawn(|| ask_at(&addrs, "/unsafe/x"));
        town.add_box("hall-b")
    });
    let heard = || {
        let changes = town.boxes[late].event_lines("limit_changed");
        changes.iter().any(|line| line["source"] == "peer")
    };
    eventually("the box that started late has heard", heard);
    ask_all(&town, "/unsafe/x");
    keeps_promise(&town.services[0], since);
}

#[test]
fn a_limit_ends_once_answers_name_none() {
    let town = TestCluster::with_boxes(BINARY, &["hall-a"]);
    let service = &town.services[0];
    service.advertise_limit(Some("1"));
    ask_all(&town, "/unsafe/x");
    service.advertise_limit(None);
    // Requests of one id would all be drawn to the same upstream.
    let mut ids = (0..).map(|n| format!("0-until-{n}"));
    let ended = || {
        let id = ids.next().expect("there is always a next one");
        let _reply = post_stream(town.addr(0), "/unsafe/x", &id);
        let changes = town.boxes[0].event_lines("limit_changed");
        changes.iter().any(|line| line["limit_per_s"].is_null())
    };
    eventually("the limit has ended", ended);
    let before = service.received_requests().len();
    for n in 0..40 {
        post_stream(town.addr(0), "/unsafe/x", &format!("0-{n}")).expect("an answer");
    }
    assert!(service.received_requests().len() >= before + 10);
}
