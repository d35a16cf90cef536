//! Answers whose status HTTP does not define reach no caller, directly or through another box, and count as failures of
//! their upstream.

mod common;

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use common::cut_box::CutBoxCluster;
use ivyweir_standins::edge::{
    KEY, KeptConnection, RawAnswer, RawEnd, RawUpstream, Reply, TestCluster, UpstreamAction,
    eventually, site_config,
};

const BODY: &str = "the body of the answer";
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// An answer with this status line, whose framing and end go together.
fn answer(status_line: &str, framing: &str) -> RawAnswer {
    let signed = "ivyweir-signature: s\r\nivyweir-request-id: REQUEST_ID\r\n";
    let length = BODY.len();
    let (rest, end) = match framing {
        "length" => (
            format!("content-length: {length}\r\n\r\n{BODY}"),
            RawEnd::Keep,
        ),
        "close" => (format!("connection: close\r\n\r\n{BODY}"), RawEnd::Close),
        "events" => (
            format!("content-type: text/event-stream\r\nconnection: close\r\n\r\n{EVENTS}"),
            RawEnd::Close,
        ),
        _ => ("content-length: 0\r\n\r\n".into(), RawEnd::Keep),
    };
    RawAnswer {
        head: format!("{status_line}\r\n{signed}{rest}").into_bytes(),
        filler: Vec::new(),
        repeats: 0,
        end,
    }
}

/// Two boxes, of which the first has no path to upstreams, before one upstream of each pool whose answers are scripted.
struct Cluster {
    inner: CutBoxCluster,
    script: Arc<Mutex<(String, &'static str)>>,
    upstreams: Vec<RawUpstream>,
}

impl Cluster {
    fn start() -> Self {
        let stream = UpstreamAction::Stream {
            events: 2,
            gap_ms: 1,
            truncate_after: None,
            confidence: None,
        };
        let put_site = |cluster: &TestCluster| cluster.store.put_site(&site_config(2, &[KEY]));
        let inner = CutBoxCluster::start(&["hall-a", "hall-b"], 2, put_site, &stream);
        let cluster = &inner.cluster;
        let script = Arc::new(Mutex::new((String::from("HTTP/1.1 200 OK"), "length")));
        let mut upstreams = Vec::new();
        for pool in ["engines", "services"] {
            let script = script.clone();
            let upstream =
                RawUpstream::start_with_sound_probes(&format!("{pool}-odd"), pool, move || {
                    let script = script.lock().expect("no panic");
                    answer(&script.0, script.1)
                });
            let mut record = upstream.record();
            record.addr = inner.proxies.start_proxy(record.addr);
            cluster.store.put_upstream(&record);
            upstreams.push(upstream);
        }
        for upstream in cluster.engines.iter().chain(&cluster.services) {
            cluster.store.put_upstream(&upstream.leaving_record());
        }
        for running in &cluster.boxes {
            eventually("upstreams have changed", || {
                let seen = running.event_lines("upstream_changed");
                let leaving = seen.iter().filter(|line| line["change"] == "Leaving");
                let joined = seen.iter().any(|line| line["upstream"] == "services-odd");
                joined && leaving.count() >= 4
            });
        }
        Self {
            inner,
            script,
            upstreams,
        }
    }

    fn set_script(&self, status_line: &str, framing: &'static str) {
        *self.script.lock().expect("no panic") = (status_line.into(), framing);
    }

    /// Sends a request; returns the reply and how often it was run.
    fn call(
        &self,
        connection: &mut KeptConnection,
        path: &str,
        id: &str,
    ) -> (Option<Reply>, usize) {
        let auth = format!("Bearer {KEY}");
        let headers = [
            ("ivyweir-request-id", id),
            ("authorization", auth.as_str()),
            ("ivyweir-model", "*"),
            ("ivyweir-budget-ms", "1500"),
        ];
        let reply = connection.call("POST", path, &headers, Bytes::from_static(b"prompt"));
        let received = self.upstreams.iter().flat_map(RawUpstream::request_ids);
        (
            reply.ok(),
            received.filter(|received| received == id).count(),
        )
    }
}

/// What reaches a caller if the upstream answers with this status line, on each kind of route, with each framing, on a
/// new connection of the upstream and on kept ones, and through another box.
fn assert_not_passed_on(status_line: &str) {
    let cluster = Cluster::start();
    let mut ran = 0;
    for framing in ["length", "close", "events", "none"] {
        cluster.set_script(status_line, framing);
        for number in [1, 0] {
            let addr = cluster.inner.cluster.addr(number);
            for path in ["/unsafe/x", "/safe/x", "/stream/x"] {
                let mut connection = KeptConnection::open(addr).expect("the box listens");
                let id = format!("{framing}-{number}-{}", path.replace('/', ""));
                let (reply, runs) = cluster.call(&mut connection, path, &id);
                let reply = reply.unwrap_or_else(|| panic!("{id}: the box answers"));
                let case = format!("{status_line}, {id}: {} after {runs} runs", reply.status);
                assert!(matches!(reply.status, 502..=504), "{case}");
                assert!(runs == 0 || reply.status != 503, "{case}");
                assert!(path != "/unsafe/x" || runs <= 1, "{case}");
                assert_eq!(reply.headers.get("ivyweir-signature"), None, "{case}");
                assert!(!reply.text().contains(BODY), "{case}");
                assert!(!reply.text().contains("data:"), "{case}");
                ran += runs;
            }
        }
    }
    assert!(ran >= 8, "only {ran} runs");
}

macro_rules! not_passed_on {
    ($($name:ident: $status_line:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_not_passed_on($status_line);
        }
    )*};
}

not_passed_on! {
    a_status_of_zeros_reaches_no_caller: "HTTP/1.1 000 X";
    a_status_below_a_hundred_reaches_no_caller: "HTTP/1.1 099 X";
    a_status_for_an_upgrade_reaches_no_caller: "HTTP/1.1 101 Switching Protocols";
    the_first_status_beyond_http_reaches_no_caller: "HTTP/1.1 600 X";
    a_status_of_seven_hundred_reaches_no_caller: "HTTP/1.1 700 X";
    the_last_status_of_three_digits_reaches_no_caller: "HTTP/1.1 999 X";
    a_status_of_two_digits_reaches_no_caller: "HTTP/1.1 20 X";
    a_status_of_four_digits_reaches_no_caller: "HTTP/1.1 2000 X";
    another_version_of_http_reaches_no_caller: "HTTP/3.7 200 OK";
    a_status_without_a_version_reaches_no_caller: "200 OK";
}

/// Guards against a reason of the upstream's choice in the box's own status line.
#[test]
fn a_reason_is_not_passed_on() {
    let cluster = Cluster::start();
    cluster.set_script("HTTP/1.1 200 Not what it seems", "length");
    let addr = cluster.inner.cluster.addr(1);
    let mut connection = KeptConnection::open(addr).expect("the box listens");
    let (reply, _) = cluster.call(&mut connection, "/safe/x", "reason");
    let reply = reply.expect("the box answers");
    assert_eq!((reply.status, reply.reason.as_deref()), (200, None));
}
