//! What a box holds for upstreams and callers that send without end, or all at once.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use ivyweir_standins::edge::{
    KEY, RawAnswer, RawEnd, RawUpstream, Reply, TestCluster, UpstreamAction, call, eventually,
    site_config,
};
use socket2::SockRef;

const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");
/// Memory of a box, in the settings and as the bound of these tests.
const MEMORY_MB: u64 = 110;
const MEMORY_BYTES: u64 = MEMORY_MB << 20;
/// Size of bodies and answers in the tests of many at once, which is also their limit.
const LARGE_BYTES: usize = 4 << 20;

/// Starts a box whose only upstream of both pools is the one that `answer` scripts.
fn cluster(contracts: Vec<&'static str>, answer: fn() -> RawAnswer) -> TestCluster {
    let mut cluster = TestCluster::start(BINARY);
    cluster.contracts = contracts;
    cluster.memory_mb = MEMORY_MB;
    let mut site = site_config(2, &[KEY]);
    if let Some(limits) = &mut site.limits {
        limits.max_body_bytes = LARGE_BYTES + 1;
    }
    for route in &mut site.routes {
        Arc::make_mut(route).timeout_ms = 60_000;
    }
    cluster.store.put_site(&site);
    for upstream in cluster.engines.iter().chain(&cluster.services) {
        cluster.store.remove_upstream(upstream.record().name());
    }
    for pool in ["engines", "services"] {
        let upstream = RawUpstream::start(&format!("{pool}-raw"), pool, answer);
        cluster.store.put_upstream(&upstream.record());
    }
    cluster.add_box("hall-a");
    cluster
}

fn head(framing: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nivyweir-signature: s\r\nivyweir-request-id: REQUEST_ID\r\n\
         content-type: text/event-stream\r\n{framing}\r\n"
    );
    head.into_bytes()
}

/// An answer of 400 MB without the end of an event, in one of the framings of HTTP.
macro_rules! endless {
    ($($name:ident: $framing:expr, $filler:expr;)*) => {$(
        #[test]
        fn $name() {
            let cluster = cluster(Vec::new(), || RawAnswer {
                head: head($framing),
                filler: $filler.to_vec(),
                repeats: (400 << 20) / $filler.len() as u64,
                end: RawEnd::Close,
            });
            let reply = post(cluster.addr(0), "/stream/x", "endless", b"prompt".to_vec());
            assert!(!reply.is_some_and(|reply| reply.is_complete), "it looks complete");
            check_memory(&cluster);
        }
    )*};
}

// Guards against a stream without the end of an event that is held until the box is killed for its memory.
endless! {
    an_endless_event_in_chunks: "transfer-encoding: chunked\r\n", b"1000\r\n".iter().copied()
        .chain([b'x'; 0x1000]).chain(*b"\r\n").collect::<Vec<u8>>();
    an_endless_event_of_a_length: "content-length: 1000000000\r\n", [b'x'; 1024];
    an_endless_event_until_the_connection_closes: "connection: close\r\n", [b'x'; 1024];
    endless_lines_of_one_event: "content-length: 1000000000\r\n", b"data: more\n";
}

// Guards against a connection that keeps the box busy with informational responses until the deadline of its request.
#[test]
fn informational_responses_without_end_end_the_attempt() {
    let cluster = cluster(Vec::new(), || RawAnswer {
        head: Vec::new(),
        filler: b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(),
        repeats: 200_000,
        end: RawEnd::Silence,
    });
    let reply = post(cluster.addr(0), "/unsafe/x", "endless", b"prompt".to_vec());
    assert_eq!(reply.map(|reply| reply.status), Some(502));
    eventually("the reason is in the log", || {
        let lost = cluster.boxes[0].event_lines("answer_lost");
        let mut errors = lost.iter().filter_map(|line| line["error"].as_str());
        errors.any(|error| error.contains("informational"))
    });
    check_memory(&cluster);
}

fn post(addr: SocketAddr, path: &str, id: &str, body: Vec<u8>) -> Option<Reply> {
    let auth = format!("Bearer {KEY}");
    let headers = [("ivyweir-request-id", id), ("authorization", auth.as_str())];
    call(addr, "POST", path, &headers, body.into()).ok()
}

fn check_memory(cluster: &TestCluster) {
    let peak = cluster.boxes[0].peak_resident_bytes();
    println!("peak of the box: {} MB", peak >> 20);
    assert!(peak > 0, "the box has ended");
    assert!(peak < MEMORY_BYTES, "{} MB of {MEMORY_MB}", peak >> 20);
}

fn plain_answer(bytes: usize) -> RawAnswer {
    let framing = format!("content-length: {bytes}\r\n");
    RawAnswer {
        head: head(&framing.replace("text/event-stream", "text/plain")),
        filler: vec![b'x'; 1024],
        repeats: bytes as u64 / 1024,
        end: RawEnd::Keep,
    }
}

/// Sends a request, again for as long as the box says that it has not run for lack of memory.
fn post_until_admitted(addr: SocketAddr, id: &str) -> Option<Reply> {
    let deadline = Instant::now() + Duration::from_secs(30);
    for attempt in 0.. {
        let reply = post(addr, "/unsafe/x", &format!("{id}-{attempt}"), Vec::new())?;
        let retry_after = reply.headers.get("retry-after");
        let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
        let is_full = reply.status == 503 && reply.text().contains("buffers_full");
        match retry_after {
            Some(seconds) if is_full && Instant::now() < deadline => {
                thread::sleep(Duration::from_secs_f64(seconds));
            }
            _ => return Some(reply),
        }
    }
    None
}

// Guards against plain answers that are bounded one by one, but not all together. A caller that comes while others read
// may be refused as not run, and is served when it comes again as told.
#[test]
fn many_large_answers_at_once_are_bounded_and_delivered() {
    const CALLERS: usize = 60;
    let cluster = cluster(Vec::new(), || plain_answer(LARGE_BYTES));
    let addr = cluster.addr(0);
    let ask = |n| thread::spawn(move || post_until_admitted(addr, &format!("r{n}")));
    let callers: Vec<_> = (0..CALLERS).map(ask).collect();
    for caller in callers {
        let reply = caller.join().expect("the caller does not panic");
        let reply = reply.expect("an answer");
        assert_eq!((reply.status, reply.body.len()), (200, LARGE_BYTES));
    }
    check_memory(&cluster);
}

/// Sends a request and reads its answer in small pieces, without a pause of more than some milliseconds. Returns the
/// status, and the bytes of the body.
fn read_steadily(addr: SocketAddr, id: &str) -> Option<(u16, usize)> {
    const WINDOW_BYTES: usize = 16 << 10;
    const PIECE_BYTES: usize = 5 << 10;
    const PAUSE: Duration = Duration::from_millis(50);
    let mut stream = TcpStream::connect(addr).ok()?;
    SockRef::from(&stream)
        .set_recv_buffer_size(WINDOW_BYTES)
        .ok()?;
    let head = format!(
        "POST /unsafe/x HTTP/1.1\r\nhost: studio.example\r\nivyweir-request-id: {id}\r\n\
         authorization: Bearer {KEY}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(length) => answer.extend_from_slice(&piece[..length]),
        }
        thread::sleep(PAUSE);
    }
    let status = String::from_utf8_lossy(answer.get(9..12)?).parse().ok()?;
    let end = answer.windows(4).position(|w| w == b"\r\n\r\n")?;
    Some((status, answer.len() - end - 4))
}

// Guards against ending callers that read steadily, whose requests have run, to admit others that could be refused as not
// run: their progress shows only when their kernels take more.
#[test]
fn callers_that_read_steadily_are_not_ended_for_others() {
    const CALLERS: usize = 60;
    const ANSWER_BYTES: usize = 512 << 10;
    let cluster = cluster(Vec::new(), || plain_answer(ANSWER_BYTES));
    let mut site = site_config(3, &[KEY]);
    for route in &mut site.routes {
        let route = Arc::make_mut(route);
        route.timeout_ms = 25_000;
        route.latency_aim_ms = 100;
    }
    cluster.store.put_site(&site);
    eventually("the configuration is in force", || {
        let seen = cluster.boxes[0].event_lines("site_seen");
        seen.iter().any(|line| line["version"] == 3)
    });
    let addr = cluster.addr(0);
    let ask = |n: usize| {
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(20) * n as u32);
            read_steadily(addr, &format!("steady-{n}"))
        })
    };
    let callers: Vec<_> = (0..CALLERS).map(ask).collect();
    let outcomes = callers.into_iter().map(JoinHandle::join);
    let outcomes: Vec<_> = outcomes.map(|outcome| outcome.expect("no panic")).collect();
    let refused = |outcome: &&Option<(u16, usize)>| matches!(outcome, Some((503, _)));
    let whole = |outcome: &&Option<(u16, usize)>| **outcome == Some((200, ANSWER_BYTES));
    let (refused, whole) = (
        outcomes.iter().filter(refused).count(),
        outcomes.iter().filter(whole).count(),
    );
    assert_eq!(refused + whole, CALLERS, "{outcomes:?}");
    assert!(refused > 0, "memory was not short");
    check_memory(&cluster);
}

// Guards against bodies that are bounded one by one, but not all together, and against callers that are shut out by those
// that hold back the ends of their bodies.
#[test]
fn many_bodies_that_do_not_end_are_bounded_and_leave_room_for_others() {
    const CALLERS: usize = 60;
    let cluster = cluster(Vec::new(), || plain_answer(1024));
    let addr = cluster.addr(0);
    let _held_back: Vec<TcpStream> = (0..CALLERS)
        .map(|n| begin_body(addr, &format!("held-{n}")))
        .collect();
    // The bodies arrive.
    thread::sleep(Duration::from_millis(900));
    check_memory(&cluster);
    let started = Instant::now();
    eventually("another caller is served", || {
        let reply = post(addr, "/unsafe/x", "other", vec![b'x'; 600]);
        reply.is_some_and(|reply| reply.status == 200)
    });
    let waited = started.elapsed();
    assert!(waited < Duration::from_secs(4), "served after {waited:?}");
    check_memory(&cluster);
}

/// Sends a request but for the last byte of its body.
fn begin_body(addr: SocketAddr, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).expect("the box accepts connections");
    let head = format!(
        "POST /unsafe/x HTTP/1.1\r\nhost: studio.example\r\nivyweir-request-id: {id}\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {LARGE_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("the box reads");
    let mut writer = stream.try_clone().expect("the socket can be cloned");
    // The box may answer and close before it has read the body.
    thread::spawn(move || {
        let _ignored = writer.write_all(&vec![b'x'; LARGE_BYTES - 1]);
    });
    stream
}

// Guards against a box that is killed for its memory, and takes the requests along that it has open.
#[test]
fn requests_beside_endless_streams_are_answered() {
    const ENDLESS: usize = 4;
    const SOUND: usize = 3;
    let mut cluster = cluster(Vec::new(), || RawAnswer {
        head: head("connection: close\r\n"),
        filler: vec![b'x'; 1024],
        repeats: 200 << 10,
        end: RawEnd::Close,
    });
    let sound = &cluster.services[0];
    sound.set_action(UpstreamAction::Slots { work_ms: 5_000 });
    cluster.store.put_upstream(&sound.record());
    cluster.store.remove_upstream(&"services-raw".into());
    eventually("only the sound upstream is left", || {
        let forgotten = cluster.boxes[0].event_lines("upstream_forgotten");
        forgotten
            .iter()
            .any(|line| line["upstream"] == "services-raw")
    });
    let addr = cluster.addr(0);
    let ask = |path: &'static str, id: String| {
        thread::spawn(move || post(addr, path, &id, b"prompt".to_vec()))
    };
    let sound: Vec<_> = (0..SOUND)
        .map(|n| ask("/unsafe/x", format!("sound-{n}")))
        .collect();
    let endless: Vec<_> = (0..ENDLESS)
        .map(|n| ask("/stream/x", format!("endless-{n}")))
        .collect();
    while !sound.iter().chain(&endless).all(JoinHandle::is_finished) {
        // The platform kills a process that takes more than its memory.
        if cluster.boxes[0].resident_bytes() > MEMORY_BYTES {
            cluster.boxes[0].kill();
        }
        thread::sleep(Duration::from_millis(2));
    }
    let statuses = sound.into_iter().map(|caller| {
        let reply = caller.join().expect("the caller does not panic");
        reply.map(|reply| reply.status)
    });
    assert_eq!(statuses.collect::<Vec<_>>(), [Some(200); SOUND]);
    for caller in endless {
        let reply = caller.join().expect("the caller does not panic");
        assert!(!reply.is_some_and(|reply| reply.is_complete));
    }
    check_memory(&cluster);
}

// Guards against a connection that is closed at a limit before the caller has the answer.
#[test]
fn a_caller_whose_body_is_too_slow_while_memory_is_short_is_told_that_it_was_not_run() {
    let cluster = cluster(Vec::new(), || plain_answer(1024));
    let addr = cluster.addr(0);
    let mut held_back: HashMap<String, TcpStream> = (0..13)
        .map(|n| format!("held-{n}"))
        .map(|id| (id.clone(), begin_body(addr, &id)))
        .collect();
    let ended = || {
        let lines = cluster.boxes[0].event_lines("slow_reader_ended");
        let mut lines = lines.into_iter();
        lines.find(|line| line["reason"] == "slow_body")
    };
    eventually("a body is ended for another request", || {
        let other = post(addr, "/unsafe/x", "other", vec![b'x'; 1 << 20]);
        if other.is_some_and(|reply| reply.status == 200) && ended().is_none() {
            // Some of the bodies were refused when the first ones arrived, so memory is not short yet.
            let id = format!("held-{}", held_back.len());
            let body = begin_body(addr, &id);
            held_back.insert(id, body);
        }
        ended().is_some()
    });
    let ended = ended().expect("a body is ended");
    let id = ended["request_id"].as_str().expect("an id");
    let caller = held_back.get_mut(id).expect("it is held back");
    let mut status = [0; 12];
    caller.read_exact(&mut status).expect("an answer");
    assert_eq!(&status, b"HTTP/1.1 408");
}
