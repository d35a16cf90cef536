//! Answers of upstreams that are cut anywhere in their head or body, directly, through another box, and where a stream is
//! resumed.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::cut_box::CutBoxCluster;
use ivyweir_standins::edge::{
    KEY, RawAnswer, RawEnd, RawUpstream, Reply, TestCluster, UpstreamAction, call, eventually,
    site_config,
};

/// Distance between the places in which answers are cut.
const STEP_BYTES: usize = 7;

const HEAD: &str = "HTTP/1.1 200 OK\r\nivyweir-signature: s\r\nivyweir-request-id: REQUEST_ID\r\n";
const PLAIN_BODY: &str = "the whole of the answer.";
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

fn plain(framing: &str, body: &str) -> String {
    format!("{HEAD}content-type: text/plain\r\n{framing}\r\n\r\n{body}")
}

fn events(framing: &str, body: &str) -> String {
    format!("{HEAD}content-type: text/event-stream\r\n{framing}\r\n\r\n{body}")
}

fn chunks(body: &str) -> String {
    let (first, rest) = body.split_at(body.len() / 3);
    let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
    format!("{}{}0\r\n\r\n", chunk(first), chunk(rest))
}

/// A cluster of two boxes, of which the first has no path to upstreams, and the place at which answers are cut.
struct Cluster {
    inner: CutBoxCluster,
    cut_at: Arc<AtomicUsize>,
}

impl Cluster {
    fn start(answer: &str) -> Self {
        let stream = UpstreamAction::Stream {
            events: 2,
            gap_ms: 1,
            truncate_after: None,
            confidence: None,
        };
        let put_site = |cluster: &TestCluster| cluster.store.put_site(&site_config(2, &[KEY]));
        let inner = CutBoxCluster::start(&["hall-a", "hall-b"], 2, put_site, &stream);
        let cluster = &inner.cluster;
        let cut_at = Arc::new(AtomicUsize::new(usize::MAX));
        for pool in ["engines", "services"] {
            let (answer, cut_at) = (answer.to_owned(), cut_at.clone());
            let upstream = RawUpstream::start(&format!("{pool}-cut"), pool, move || {
                let cut = cut_at.load(Ordering::Relaxed).min(answer.len());
                RawAnswer {
                    head: answer[..cut].into(),
                    filler: Vec::new(),
                    repeats: 0,
                    end: RawEnd::Close,
                }
            });
            let mut record = upstream.record();
            record.addr = inner.proxies.start_proxy(record.addr);
            cluster.store.put_upstream(&record);
        }
        for upstream in cluster.engines.iter().chain(&cluster.services) {
            cluster.store.put_upstream(&upstream.leaving_record());
        }
        for running in &cluster.boxes {
            eventually("upstreams have changed", || {
                let seen = running.event_lines("upstream_changed");
                let leaving = seen.iter().filter(|line| line["change"] == "Leaving");
                let joined = seen.iter().any(|line| line["upstream"] == "services-cut");
                joined && leaving.count() >= 4
            });
        }
        Self { inner, cut_at }
    }

    fn ask(&self, number: usize, path: &str, id: &str) -> Option<Reply> {
        let auth = format!("Bearer {KEY}");
        let headers = [("ivyweir-request-id", id), ("authorization", auth.as_str())];
        let addr = self.inner.cluster.addr(number);
        call(addr, "POST", path, &headers, "prompt".into()).ok()
    }
}

/// An answer that is cut at many places, asked for at the box without paths and at the other one.
macro_rules! cut_answers {
    ($($name:ident: $path:expr, $answer:expr, whole $whole:expr;)*) => {$(
        #[test]
        fn $name() {
            let answer: String = $answer;
            let cluster = Cluster::start(&answer);
            for cut in (0..answer.len()).step_by(STEP_BYTES) {
                cluster.cut_at.store(cut, Ordering::Relaxed);
                for number in [1, 0] {
                    let reply = cluster.ask(number, $path, &format!("r-{number}-{cut}"));
                    let looks_whole = reply.as_ref().is_some_and(|r| r.status == 200 && r.is_complete);
                    assert!(!looks_whole, "box {number}, cut at {cut}: {reply:?}");
                    let is_answered = reply.is_some_and(|r| r.status != 200 || !r.is_complete);
                    assert!(is_answered, "box {number}, cut at {cut}: no answer");
                }
            }
            cluster.cut_at.store(usize::MAX, Ordering::Relaxed);
            eventually("a whole answer is passed on", || {
                let reply = cluster.ask(1, $path, "whole");
                reply.is_some_and(|r| r.is_complete && r.text() == $whole)
            });
        }
    )*};
}

// Guards against a 200 with an empty or short body that looks whole.
cut_answers! {
    a_plain_answer_of_a_length_that_is_cut_does_not_look_whole:
        "/unsafe/x", plain("content-length: 24", PLAIN_BODY), whole PLAIN_BODY;
    a_plain_answer_in_chunks_that_is_cut_does_not_look_whole:
        "/unsafe/x", plain("transfer-encoding: chunked", &chunks(PLAIN_BODY)), whole PLAIN_BODY;
    a_stream_of_a_length_that_is_cut_does_not_look_whole:
        "/stream/x", events("content-length: 45", EVENTS), whole EVENTS;
    a_stream_in_chunks_that_is_cut_does_not_look_whole:
        "/stream/x", events("transfer-encoding: chunked", &chunks(EVENTS)), whole EVENTS;
}
