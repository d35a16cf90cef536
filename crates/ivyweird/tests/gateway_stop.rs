//! Planned stops: callers keep using their connections until the process is gone. No request that ran is left without a
//! whole answer or told that it was not run, and the process ends within its grace.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::BINARY;
use common::cut_box::CutBoxCluster;
use common::steady_callers::{CALLERS, Callers, Outcome, ids, judge};
use ivyweir_standins::edge::{
    KEY, RawAnswer, RawEnd, RawUpstream, TestCluster, UpstreamAction, site_config,
};

/// Time of callers before the stop.
const BEFORE_STOP: Duration = Duration::from_millis(600);

fn at(addr: SocketAddr) -> impl Fn() -> Option<SocketAddr> + Clone {
    move || Some(addr)
}

/// Stops a box and waits until it has ended.
fn stop_box(town: &mut TestCluster, number: usize, grace: Duration, reloads: bool) {
    let asked = Instant::now();
    town.boxes[number].signal("TERM");
    while reloads && asked.elapsed() < grace / 2 {
        town.boxes[number].signal("HUP");
        thread::sleep(Duration::from_millis(100));
    }
    let ended = town.boxes[number].wait_exit(grace * 2);
    let took = asked.elapsed();
    assert_eq!(ended, Some(0), "it ends in order");
    assert!(took < grace, "it ends after {took:?}");
}

/// Load on a box of this grace before upstreams that take these times; then a stop.
fn stop_under_load(grace_s: u64, path: &'static str, works_ms: [u64; 2], reloads: bool) {
    let mut town = TestCluster::start(BINARY);
    town.stop_grace_s = grace_s;
    for (upstream, work_ms) in town.services.iter().zip(works_ms) {
        upstream.set_action(UpstreamAction::Slots { work_ms });
    }
    for engine in &town.engines {
        engine.set_action(UpstreamAction::Stream {
            events: works_ms[0] / 10,
            gap_ms: 10,
            truncate_after: None,
            confidence: None,
        });
    }
    town.add_box("hall-a");
    let callers = Callers::start(at(town.addr(0)), path, "load");
    thread::sleep(BEFORE_STOP);
    stop_box(&mut town, 0, Duration::from_secs(grace_s), reloads);
    let outcomes = callers.finish();
    let upstreams: Vec<_> = town.services.iter().chain(&town.engines).cloned().collect();
    assert!(judge(&outcomes, &ids(&upstreams)) >= CALLERS);
}

macro_rules! under_load {
    ($($name:ident: grace $grace_s:expr, $path:expr, work $works_ms:expr, reloads $reloads:expr;)*) => {$(
        /// Guards against requests that are taken late in a grace and cut at its end.
        #[test]
        fn $name() {
            stop_under_load($grace_s, $path, $works_ms, $reloads);
        }
    )*};
}

under_load! {
    unsafe_requests_in_a_usual_grace: grace 8, "/unsafe/x", work [50, 1_500], reloads false;
    unsafe_requests_in_a_short_grace: grace 2, "/unsafe/x", work [50, 400], reloads false;
    unsafe_requests_that_take_longer_than_a_short_grace: grace 2, "/unsafe/x", work [1_200, 3_500], reloads false;
    safe_requests_in_a_short_grace: grace 2, "/safe/x", work [50, 1_200], reloads false;
    streams_in_a_usual_grace: grace 8, "/stream/x", work [1_500, 50], reloads false;
    unsafe_requests_in_a_long_grace: grace 30, "/unsafe/x", work [50, 3_500], reloads false;
    unsafe_requests_in_a_grace_with_reloads: grace 4, "/unsafe/x", work [50, 1_000], reloads true;
}

/// Guards against a request without an answer whose connection is cut at the end of the grace: it is told that it may
/// have run.
#[test]
fn a_request_that_is_never_answered_is_told_so_in_the_grace() {
    let mut town = TestCluster::start(BINARY);
    town.stop_grace_s = 3;
    let mut site = site_config(2, &[KEY]);
    for route in &mut site.routes {
        Arc::make_mut(route).timeout_ms = 60_000;
    }
    town.store.put_site(&site);
    for upstream in &town.services {
        upstream.set_action(UpstreamAction::Hang);
    }
    town.add_box("hall-a");
    let callers = Callers::start(at(town.addr(0)), "/unsafe/x", "hang");
    thread::sleep(BEFORE_STOP);
    stop_box(&mut town, 0, Duration::from_secs(3), false);
    let outcomes = callers.finish();
    judge(&outcomes, &ids(&town.services));
    let told = outcomes
        .iter()
        .filter(|outcome| matches!(outcome.answer, Some((502 | 504, true))));
    assert!(told.count() >= CALLERS, "{outcomes:?}");
}

/// Guards against an answer that another box serves and that is cut on its way to the box of the caller, or at that box.
#[test]
fn requests_handed_from_box_to_box_outlive_the_stop_of_either() {
    let stream = UpstreamAction::Stream {
        events: 100,
        gap_ms: 10,
        truncate_after: None,
        confidence: None,
    };
    let put_site = |town: &TestCluster| town.store.put_site(&site_config(2, &[KEY]));
    let mut inner = CutBoxCluster::start(&["hall-a", "hall-b", "hall-c"], 2, put_site, &stream);
    let town = &mut inner.cluster;
    for upstream in &town.services {
        upstream.set_action(UpstreamAction::Slots { work_ms: 700 });
    }
    let addr = town.addr(0);
    let plain = Callers::start(at(addr), "/unsafe/x", "handed");
    let streams = Callers::start(at(addr), "/stream/x", "streamed");
    for number in [1, 0] {
        thread::sleep(BEFORE_STOP);
        stop_box(town, number, Duration::from_secs(8), false);
    }
    let upstreams: Vec<_> = town.services.iter().chain(&town.engines).cloned().collect();
    let ran = ids(&upstreams);
    assert!(judge(&plain.finish(), &ran) > CALLERS);
    assert!(judge(&streams.finish(), &ran) > CALLERS);
}

/// Guards against stops of which each is in order, but that leave requests between the boxes unanswered.
#[test]
fn boxes_that_stop_one_after_another_answer_all_that_ran() {
    const BOXES: usize = 3;
    let mut town = TestCluster::start(BINARY);
    town.stop_grace_s = 4;
    for upstream in &town.services {
        upstream.set_action(UpstreamAction::Slots { work_ms: 300 });
    }
    for _ in 0..BOXES {
        town.add_box("hall-a");
    }
    let callers: Vec<_> = (0..BOXES)
        .map(|n| Callers::start(at(town.addr(n)), "/unsafe/x", &format!("box-{n}")))
        .collect();
    for number in 0..BOXES {
        thread::sleep(Duration::from_millis(300));
        town.boxes[number].signal("TERM");
    }
    for running in &mut town.boxes {
        assert_eq!(running.wait_exit(Duration::from_secs(8)), Some(0));
    }
    for of_box in callers {
        assert!(judge(&of_box.finish(), &ids(&town.services)) > CALLERS);
    }
}

const SLOW_ANSWER_BYTES: usize = 1 << 20;

/// Starts a box before an upstream with a large plain answer.
fn town_with_large_answers(halls: &[&str]) -> (TestCluster, RawUpstream) {
    let mut town = TestCluster::start(BINARY);
    let mut site = site_config(2, &[KEY]);
    for route in &mut site.routes {
        Arc::make_mut(route).timeout_ms = 60_000;
    }
    town.store.put_site(&site);
    for upstream in &town.services {
        town.store.put_upstream(&upstream.leaving_record());
    }
    let large = RawUpstream::start_with_sound_probes("services-large", "services", || RawAnswer {
        head: format!(
            "HTTP/1.1 200 OK\r\nivyweir-signature: s\r\nivyweir-request-id: REQUEST_ID\r\n\
             content-length: {SLOW_ANSWER_BYTES}\r\n\r\n"
        )
        .into_bytes(),
        filler: vec![b'x'; 1024],
        repeats: (SLOW_ANSWER_BYTES / 1024) as u64,
        end: RawEnd::Keep,
    });
    town.store.put_upstream(&large.record());
    for hall in halls {
        town.add_box(hall);
    }
    (town, large)
}

fn send_request(addr: SocketAddr, id: &str, length: usize) -> TcpStream {
    let mut stream = TcpStream::connect(addr).expect("the box accepts connections");
    let head = format!(
        "POST /unsafe/x HTTP/1.1\r\nhost: studio.example\r\nivyweir-request-id: {id}\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("the box reads");
    stream
}

/// Reads an answer in pieces with pauses; returns the number of bytes of its body.
fn read_slowly(mut stream: TcpStream, piece: usize, pause: Duration) -> usize {
    let mut answer = Vec::new();
    let mut part = vec![0; piece];
    loop {
        let length = match stream.read(&mut part) {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        answer.extend_from_slice(&part[..length]);
        let head = answer.windows(4).position(|w| w == b"\r\n\r\n");
        if head.is_some_and(|end| answer.len() - end - 4 >= SLOW_ANSWER_BYTES) {
            break;
        }
        thread::sleep(pause);
    }
    let head = answer.windows(4).position(|w| w == b"\r\n\r\n");
    head.map_or(0, |end| answer.len() - end - 4)
}

/// Guards against a stop that ends the process while a whole answer is still being written to its caller.
#[test]
fn whole_answers_are_written_to_callers_that_read_slowly() {
    let (mut town, _large) = town_with_large_answers(&["hall-a"]);
    let addr = town.addr(0);
    let readers: Vec<_> = (0..4)
        .map(|n| {
            let stream = send_request(addr, &format!("slow-{n}"), 0);
            // The whole answer takes 4 to 5.5 s.
            let piece = (10 << 10) + n * (1 << 10);
            thread::spawn(move || read_slowly(stream, piece, Duration::from_millis(50)))
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    stop_box(&mut town, 0, Duration::from_secs(8), false);
    for reader in readers {
        let bytes = reader.join().expect("the reader does not panic");
        assert_eq!(bytes, SLOW_ANSWER_BYTES);
    }
}

/// Guards against a request that is taken when its upload ends late in the grace, and cut.
#[test]
fn uploads_that_end_in_the_grace_are_answered() {
    const BODY_BYTES: usize = 20_000;
    let mut town = TestCluster::start(BINARY);
    town.stop_grace_s = 6;
    for upstream in &town.services {
        upstream.set_action(UpstreamAction::Slots { work_ms: 300 });
    }
    town.add_box("hall-a");
    let addr = town.addr(0);
    let uploads: Vec<_> = (1..20_u32)
        .map(|n| {
            thread::spawn(move || {
                let id = format!("upload-{n}");
                let mut stream = send_request(addr, &id, BODY_BYTES);
                let piece = vec![b'x'; BODY_BYTES / 10];
                for _ in 0..10 {
                    thread::sleep(Duration::from_millis(30) * n);
                    if stream.write_all(&piece).is_err() {
                        break;
                    }
                }
                let sent_at = Instant::now();
                let mut status = [0; 12];
                let is_answered = stream.read_exact(&mut status).is_ok();
                let status = String::from_utf8_lossy(&status[9..]).parse().unwrap_or(0);
                Outcome {
                    id,
                    answer: is_answered.then_some((status, true)),
                    sent_at,
                    ended_at: Instant::now(),
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    stop_box(&mut town, 0, Duration::from_secs(6), false);
    let outcomes = uploads.into_iter().map(|upload| upload.join());
    let outcomes: Vec<Outcome> = outcomes.map(|o| o.expect("no panic")).collect();
    assert!(judge(&outcomes, &ids(&town.services)) > 2);
}
