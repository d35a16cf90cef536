//! Bytes without end from an upstream behind another box, from the store, from a seed, in many heads at once, and while a
//! box stops: the memory of a box is bounded, and the requests of others are answered.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::BINARY;
use common::cut_box::CutBoxCluster;
use ivyweir_standins::edge::{
    GatewayProcess, KEY, RawAnswer, RawEnd, RawUpstream, Reply, ScriptedUpstream, TestCluster,
    UpstreamAction, call, eventually, site_config,
};
use ivyweir_standins::{Fault, FaultProxy};

/// Memory of a box in the settings, and the bound of these tests.
const MEMORY_BYTES: u64 = 110 << 20;
/// Size of what has no end: four times the memory.
const ENDLESS_BYTES: u64 = 440 << 20;
const GRACE: Duration = Duration::from_secs(8);

const ANSWER_HEAD: &str =
    "HTTP/1.1 200 OK\r\nivyweir-signature: s\r\nivyweir-request-id: REQUEST_ID\r\n";

fn endless(head: &str, filler: &[u8]) -> RawAnswer {
    RawAnswer {
        head: head.into(),
        filler: filler.to_vec(),
        repeats: ENDLESS_BYTES / filler.len() as u64,
        end: RawEnd::Close,
    }
}

/// A head in which one value has no end.
fn endless_value() -> RawAnswer {
    endless(&format!("{ANSWER_HEAD}x-long: "), &[b'x'; 1024])
}

/// A head with headers without end.
fn endless_headers() -> RawAnswer {
    endless(ANSWER_HEAD, b"x-more: y\r\n")
}

/// A status line without an end.
fn endless_reason() -> RawAnswer {
    endless("HTTP/1.1 200 ", &[b'x'; 1024])
}

/// A stream in which one event has no end.
fn endless_event() -> RawAnswer {
    let head = format!("{ANSWER_HEAD}content-type: text/event-stream\r\nconnection: close\r\n\r\n");
    endless(&head, &[b'x'; 1024])
}

/// A plain answer without an end.
fn endless_body() -> RawAnswer {
    let head = format!("{ANSWER_HEAD}content-type: text/plain\r\nconnection: close\r\n\r\n");
    endless(&head, &[b'x'; 1024])
}

fn post(addr: SocketAddr, path: &str, id: &str) -> Option<Reply> {
    let auth = format!("Bearer {KEY}");
    let headers = [
        ("ivyweir-request-id", id),
        ("authorization", auth.as_str()),
        ("ivyweir-model", "*"),
        ("ivyweir-budget-ms", "4000"),
    ];
    call(addr, "POST", path, &headers, Bytes::from_static(b"prompt")).ok()
}

fn check_memory(running: &GatewayProcess) {
    let peak = running.peak_resident_bytes();
    println!("peak of {}: {} MB", running.name, peak >> 20);
    assert!(peak > 0, "{} has ended", running.name);
    assert!(peak < MEMORY_BYTES, "{}: {} MB", running.name, peak >> 20);
}

/// An upstream of each pool whose answers to requests have no end, beside the sound ones.
fn add_endless(cluster: &TestCluster, answer: fn() -> RawAnswer) -> Vec<RawUpstream> {
    let start = |pool: &str| {
        let upstream =
            RawUpstream::start_with_sound_probes(&format!("{pool}-endless"), pool, answer);
        cluster.store.put_upstream(&upstream.record());
        upstream
    };
    ["engines", "services"].map(start).into()
}

fn leave(cluster: &TestCluster, upstreams: &[ScriptedUpstream]) {
    for upstream in upstreams {
        cluster.store.put_upstream(&upstream.leaving_record());
    }
}

fn until_heard(running: &GatewayProcess, upstream: &str) {
    eventually("the upstream is known", || {
        let seen = running.event_lines("upstream_changed");
        seen.iter().any(|line| line["upstream"] == upstream)
    });
}

fn until_left(running: &GatewayProcess, upstreams: usize) {
    eventually("the sound upstreams are leaving", || {
        let seen = running.event_lines("upstream_changed");
        let leaving = seen.iter().filter(|line| line["change"] == "Leaving");
        leaving.count() >= upstreams
    });
}

macro_rules! through_another_box {
    ($($name:ident: $path:expr, $answer:expr;)*) => {$(
        /// Guards against bytes that are bounded where they arrive, but not at the box that is handed them.
        #[test]
        fn $name() {
            const CALLERS: usize = 8;
            let stream = UpstreamAction::Stream { events: 2, gap_ms: 1, truncate_after: None, confidence: None };
            let put_site = |cluster: &TestCluster| cluster.store.put_site(&site_config(2, &[KEY]));
            let inner = CutBoxCluster::start(&["hall-a", "hall-b"], 2, put_site, &stream);
            let cluster = &inner.cluster;
            for pool in ["engines", "services"] {
                let upstream = RawUpstream::start_with_sound_probes(&format!("{pool}-endless"), pool, $answer);
                let mut record = upstream.record();
                record.addr = inner.proxies.start_proxy(record.addr);
                cluster.store.put_upstream(&record);
            }
            leave(cluster, &cluster.engines);
            leave(cluster, &cluster.services);
            for running in &cluster.boxes {
                until_heard(running, "services-endless");
                until_left(running, cluster.engines.len() + cluster.services.len());
            }
            let addr = cluster.addr(0);
            let ask = |n: usize| thread::spawn(move || post(addr, $path, &format!("endless-{n}")));
            let callers: Vec<_> = (0..CALLERS).map(ask).collect();
            for caller in callers {
                let reply = caller.join().expect("the caller does not panic");
                let is_whole = reply.is_some_and(|reply| reply.is_complete && reply.status == 200);
                assert!(!is_whole, "it looks complete");
            }
            cluster.boxes.iter().for_each(check_memory);
        }
    )*};
}

through_another_box! {
    an_endless_event_behind_another_box_is_bounded: "/stream/x", endless_event;
    an_endless_body_behind_another_box_is_bounded: "/unsafe/x", endless_body;
    an_endless_value_behind_another_box_is_bounded: "/unsafe/x", endless_value;
    endless_headers_behind_another_box_are_bounded: "/unsafe/x", endless_headers;
}

macro_rules! many_at_once {
    ($($name:ident: $path:expr, $answer:expr;)*) => {$(
        /// Guards against heads and bodies that are bounded one by one, but not all together; callers of sound upstreams are
        /// answered meanwhile.
        #[test]
        fn $name() {
            const CALLERS: usize = 150;
            let mut cluster = TestCluster::start(BINARY);
            let mut site = site_config(2, &[KEY]);
            site.pools.iter_mut().for_each(|pool| pool.max_connections = 1_000);
            cluster.store.put_site(&site);
            leave(&cluster, &cluster.engines);
            let _endless = add_endless(&cluster, $answer);
            leave(&cluster, &cluster.services);
            cluster.add_box("hall-a");
            let addr = cluster.addr(0);
            let ask = |n: usize| thread::spawn(move || post(addr, $path, &format!("endless-{n}")));
            let callers: Vec<JoinHandle<_>> = (0..CALLERS).map(ask).collect();
            for caller in callers {
                let reply = caller.join().expect("the caller does not panic");
                let reply = reply.expect("an answer");
                assert!(reply.status != 200 || !reply.is_complete, "it looks complete");
            }
            check_memory(&cluster.boxes[0]);
            let sound = ScriptedUpstream::start_on_own_ip("services-sound", "services", "v1");
            cluster.store.put_upstream(&sound.record());
            eventually("a sound upstream serves", || {
                post(addr, "/safe/x", "sound").is_some_and(|reply| reply.status == 200)
            });
        }
    )*};
}

many_at_once! {
    many_endless_values_are_bounded: "/unsafe/x", endless_value;
    many_endless_headers_are_bounded: "/unsafe/x", endless_headers;
    many_endless_reasons_are_bounded: "/unsafe/x", endless_reason;
    many_endless_bodies_are_bounded: "/unsafe/x", endless_body;
    many_endless_events_are_bounded: "/stream/x", endless_event;
}

/// Guards against answers to probes that are kept until the box is killed for its memory. A plain answer that ends with its
/// connection makes the box probe the upstream.
#[test]
fn endless_answers_to_probes_are_bounded() {
    const CALLS: usize = 4;
    let mut cluster = TestCluster::start(BINARY);
    leave(&cluster, &cluster.engines);
    leave(&cluster, &cluster.services);
    let answer = || RawAnswer {
        head: format!("{ANSWER_HEAD}connection: close\r\n\r\nbody").into_bytes(),
        filler: Vec::new(),
        repeats: 0,
        end: RawEnd::Close,
    };
    let upstream =
        RawUpstream::start_with_probes("services-probed", "services", answer, endless_body);
    cluster.store.put_upstream(&upstream.record());
    cluster.add_box("hall-a");
    for n in 0..CALLS {
        // Whether the answer counts as whole depends on the probe.
        let _reply = post(cluster.addr(0), "/safe/x", &format!("r{n}"));
        thread::sleep(Duration::from_millis(300));
    }
    check_memory(&cluster.boxes[0]);
}

/// A server that responds to everything with a head and a filler without end.
struct EndlessServer {
    addr: SocketAddr,
    calls: Arc<AtomicUsize>,
}

impl EndlessServer {
    fn start(head: &'static str, filler: &'static [u8]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let calls = Arc::<AtomicUsize>::default();
        let counted = calls.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counted = counted.clone();
                thread::spawn(move || {
                    counted.fetch_add(1, Ordering::Relaxed);
                    serve_endlessly(stream, head, filler);
                });
            }
        });
        Self { addr, calls }
    }

    fn assert_called(&self) {
        assert!(self.calls.load(Ordering::Relaxed) > 0, "nobody called it");
    }
}

fn serve_endlessly(mut stream: TcpStream, head: &str, filler: &[u8]) {
    let mut request = [0; 4096];
    let chunk = filler.repeat((16 << 10) / filler.len());
    let mut sent = 0;
    // Ends once the box closes the connection.
    if stream.read(&mut request).is_err() || stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    while sent < ENDLESS_BYTES && stream.write_all(&chunk).is_ok() {
        sent += chunk.len() as u64;
    }
}

macro_rules! others {
    ($($name:ident: $head:expr, $filler:expr;)*) => {$(
        mod $name {
            use super::*;

            /// Guards against a store whose responses have no end; requests are served meanwhile, and afterwards.
            #[test]
            fn from_the_store_is_bounded() {
                let mut cluster = TestCluster::start(BINARY);
                let path = FaultProxy::start(&cluster.store.addr().to_string()).expect("a port");
                cluster.add_box_with_store_addr("hall-a", &path.addr());
                let addr = cluster.addr(0);
                let endless = EndlessServer::start($head, $filler);
                path.set_target(&endless.addr.to_string());
                path.set(Fault::Cut);
                thread::sleep(Duration::from_millis(50));
                path.set(Fault::None);
                assert_eq!(post(addr, "/safe/x", "first").map(|reply| reply.status), Some(200));
                thread::sleep(Duration::from_secs(4));
                endless.assert_called();
                check_memory(&cluster.boxes[0]);
                path.set_target(&cluster.store.addr().to_string());
                path.set(Fault::Cut);
                thread::sleep(Duration::from_millis(50));
                path.set(Fault::None);
                eventually("the store is followed again", || {
                    post(addr, "/safe/x", "again").is_some_and(|reply| reply.status == 200)
                });
                check_memory(&cluster.boxes[0]);
            }

            /// Guards against another box whose responses have no end.
            #[test]
            fn from_a_seed_is_bounded() {
                let mut cluster = TestCluster::with_boxes(BINARY, &["hall-a"]);
                let endless = EndlessServer::start($head, $filler);
                cluster.boxes[0].peer_addr = endless.addr;
                let store_addr = cluster.store.addr().to_string();
                let number = cluster.start_box("hall-a", &store_addr);
                thread::sleep(Duration::from_secs(4));
                endless.assert_called();
                check_memory(&cluster.boxes[number]);
            }
        }
    )*};
}

others! {
    a_body_without_end: "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\n\r\n", b"[";
    an_item_without_end: "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{\"items\":[\"", b"xxxxxxxxxxxxxxxx";
    a_head_without_end: "HTTP/1.1 200 OK\r\nx-long: ", b"xxxxxxxxxxxxxxxx";
    chunks_without_end: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"1\r\nx\r\n";
    bytes_that_are_no_http: "", b"xxxxxxxxxxxxxxxx";
}

macro_rules! while_a_box_stops {
    ($($name:ident: $path:expr, $answer:expr;)*) => {$(
        /// Guards against a stop that waits for what has no end, or that cuts the requests beside it.
        #[test]
        fn $name() {
            const CALLERS: usize = 4;
            let mut cluster = TestCluster::start(BINARY);
            let sound = ScriptedUpstream::start_on_own_ip("services-slow", "services", "v1");
            sound.set_action(UpstreamAction::Slots { work_ms: 2_000 });
            let mut site = site_config(2, &[KEY]);
            for route in &mut site.routes {
                Arc::make_mut(route).timeout_ms = 60_000;
            }
            cluster.store.put_site(&site);
            leave(&cluster, &cluster.engines);
            leave(&cluster, &cluster.services);
            cluster.store.put_upstream(&sound.record());
            let endless = RawUpstream::start_with_sound_probes("engines-endless", "engines", $answer);
            cluster.store.put_upstream(&endless.record());
            cluster.add_box("hall-a");
            let addr = cluster.addr(0);
            let ask = |path: &'static str, n: usize| {
                thread::spawn(move || post(addr, path, &format!("r-{n}")))
            };
            let cut: Vec<_> = (0..CALLERS).map(|n| ask($path, n)).collect();
            let whole: Vec<_> = (0..CALLERS).map(|n| ask("/unsafe/x", 100 + n)).collect();
            thread::sleep(Duration::from_millis(200));
            let stopped = Instant::now();
            cluster.boxes[0].signal("TERM");
            for caller in whole {
                let reply = caller.join().expect("the caller does not panic");
                assert_eq!(reply.map(|reply| (reply.status, reply.is_complete)), Some((200, true)));
            }
            assert_eq!(cluster.boxes[0].wait_exit(GRACE * 2), Some(0));
            assert!(stopped.elapsed() < GRACE, "{:?}", stopped.elapsed());
            for caller in cut {
                let reply = caller.join().expect("the caller does not panic");
                assert!(!reply.is_some_and(|reply| reply.is_complete && reply.status == 200));
            }
        }
    )*};
}

while_a_box_stops! {
    a_stop_beside_endless_events_ends_in_its_grace: "/stream/x", endless_event;
    a_stop_beside_endless_headers_ends_in_its_grace: "/stream/x", endless_headers;
    a_stop_beside_an_endless_stream_ends_in_its_grace: "/stream/x", || {
        let head = format!("{ANSWER_HEAD}content-type: text/event-stream\r\nconnection: close\r\n\r\n");
        endless(&head, b"id: 1\ndata: x\n\n")
    };
}
