//! Answers whose source ends early, and whole ones that show their end in unusual ways.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use ivyweir_standins::edge::{
    BodyEnd, BodyFraming, EventScript, HOST, KEY, LineEnd, PlainScript, ScriptedUpstream,
    TestCluster, UpstreamAction, eventually, get, post_stream, site_config_with_once,
};

use common::BINARY;
use common::cut_box::CutBoxCluster;

const AUTH: (&str, &str) = ("authorization", "Bearer key-of-the-studio");
const EVENTS: u64 = 10;
/// Number of the event after which a stream ends early.
const LAST_SENT: u64 = 4;
/// Time limit for bytes that an upstream has sent to reach the caller.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Stream route whose requests may not be repeated.
const ONCE: &str = "/once/x";
/// Stream route whose streams may be resumed.
const RESUMED: &str = "/stream/x";

/// Adds a stream route whose requests may not be repeated.
fn put_site(cluster: &TestCluster) {
    let site = site_config_with_once(2, &[KEY]);
    cluster.store.put_site(&site);
}

fn cluster() -> TestCluster {
    let mut cluster = TestCluster::start(BINARY);
    put_site(&cluster);
    cluster.add_box("hall-a");
    cluster
}

fn script(line_end: LineEnd, framing: BodyFraming) -> EventScript {
    EventScript {
        line_end,
        framing,
        ..EventScript::whole(EVENTS)
    }
}

/// Ends inside the event after `LAST_SENT`.
fn torn(line_end: LineEnd, framing: BodyFraming) -> EventScript {
    EventScript {
        last_sent: Some(LAST_SENT),
        is_torn: true,
        ..script(line_end, framing)
    }
}

/// Lets the first answer of each upstream be `first`, and all further ones whole.
fn answer_first(upstreams: &[ScriptedUpstream], first: &EventScript) {
    let whole = script(first.line_end, first.framing);
    for upstream in upstreams {
        upstream.set_action(UpstreamAction::Events(whole.clone()));
        upstream.set_next_actions(vec![UpstreamAction::Events(first.clone())]);
    }
}

fn sends(upstreams: &[ScriptedUpstream]) -> usize {
    let sends = upstreams.iter().map(|u| u.received_requests().len());
    sends.sum()
}

/// What a caller holds of an answer.
#[derive(Debug, PartialEq, Eq)]
struct Received {
    text: String,
    is_complete: bool,
}

/// Sends a request over HTTP/1.0, whose answer ends with the connection.
fn send_http_1_0(addr: SocketAddr, path: &str) -> TcpStream {
    let mut caller = TcpStream::connect(addr).expect("the box accepts connections");
    let request = format!(
        "POST {path} HTTP/1.0\r\nhost: {HOST}\r\nivyweir-request-id: r1\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 6\r\n\r\nprompt"
    );
    let written = caller.write_all(request.as_bytes());
    written.expect("the box reads the request");
    let timeout = caller.set_read_timeout(Some(READ_TIMEOUT));
    timeout.expect("a time limit can be set");
    caller
}

/// Reads an answer to the end of its connection.
fn read_http_1_0(mut caller: TcpStream) -> Received {
    let mut answer = Vec::new();
    // A connection that is reset ends with an error, after the bytes that were received before.
    let is_complete = caller.read_to_end(&mut answer).is_ok();
    let answer = String::from_utf8(answer).expect("text");
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    assert!(!head.to_lowercase().contains("content-length"), "{head}");
    assert!(!head.to_lowercase().contains("chunked"), "{head}");
    Received {
        text: body.to_owned(),
        is_complete,
    }
}

/// Sends a request over this version of HTTP and reads the answer to its end.
fn ask(addr: SocketAddr, path: &str, version: &str) -> Received {
    if version == "1.0" {
        return read_http_1_0(send_http_1_0(addr, path));
    }
    let reply = post_stream(addr, path, "r1").expect("a head");
    Received {
        text: reply.text(),
        is_complete: reply.is_complete,
    }
}

macro_rules! torn_streams {
    ($($name:ident: $framing:ident, $line_end:ident, $path:ident, HTTP $version:expr;)*) => {$(
        /// Guards against an event that is cut off by the end of its body, and an answer that ends there as complete.
        #[test]
        fn $name() {
            let cluster = cluster();
            let first = torn(LineEnd::$line_end, BodyFraming::$framing);
            answer_first(&cluster.engines, &first);
            let received = ask(cluster.addr(0), $path, $version);
            let is_resumed = $path == RESUMED;
            let last = if is_resumed { EVENTS } else { LAST_SENT };
            let expected = Received { text: first.text_up_to(last), is_complete: is_resumed };
            assert_eq!(received, expected);
            let sent = sends(&cluster.engines);
            // The second upstream cuts the event off too.
            assert_eq!(sent, if is_resumed { 3 } else { 1 });
        }
    )*};
}

torn_streams! {
    an_event_cut_off_by_the_end_of_its_connection_is_resumed: Connection, Lf, RESUMED, HTTP "1.1";
    an_event_cut_off_by_the_last_chunk_is_resumed: Chunks, Lf, RESUMED, HTTP "1.1";
    an_event_cut_off_by_the_length_is_resumed: Length, Lf, RESUMED, HTTP "1.1";
    a_crlf_event_cut_off_by_the_end_of_its_connection_is_resumed: Connection, Crlf, RESUMED, HTTP "1.1";
    a_crlf_event_cut_off_by_the_last_chunk_is_resumed: Chunks, Crlf, RESUMED, HTTP "1.1";
    a_crlf_event_cut_off_by_the_length_is_resumed: Length, Crlf, RESUMED, HTTP "1.1";
    a_cr_event_cut_off_by_the_end_of_its_connection_is_resumed: Connection, Cr, RESUMED, HTTP "1.1";
    an_event_cut_off_is_resumed_for_a_caller_of_an_older_version: Connection, Lf, RESUMED, HTTP "1.0";
    an_event_cut_off_by_the_end_of_its_connection_breaks_the_answer: Connection, Lf, ONCE, HTTP "1.1";
    an_event_cut_off_by_the_last_chunk_breaks_the_answer: Chunks, Lf, ONCE, HTTP "1.1";
    an_event_cut_off_by_the_length_breaks_the_answer: Length, Lf, ONCE, HTTP "1.1";
    a_crlf_event_cut_off_breaks_the_answer: Connection, Crlf, ONCE, HTTP "1.1";
    an_event_cut_off_by_the_end_of_its_connection_resets_a_caller_of_an_older_version: Connection, Lf, ONCE, HTTP "1.0";
    an_event_cut_off_by_the_last_chunk_resets_a_caller_of_an_older_version: Chunks, Crlf, ONCE, HTTP "1.0";
}

/// Guards against resumption from a later event, or twice from the same, where nothing was passed on.
#[test]
fn a_first_event_that_is_cut_off_is_passed_on_once_and_whole() {
    let cluster = cluster();
    let first = EventScript {
        last_sent: Some(0),
        ..torn(LineEnd::Crlf, BodyFraming::Connection)
    };
    answer_first(&cluster.engines, &first);
    let received = ask(cluster.addr(0), RESUMED, "1.1");
    let text = first.text_up_to(EVENTS);
    let is_complete = true;
    assert_eq!(received, Received { text, is_complete });
}

/// Guards against whole events that are dropped with the torn one behind them, and against a head that is.
#[test]
fn what_was_received_before_a_break_is_passed_on() {
    let cluster = cluster();
    for last_sent in [0, LAST_SENT] {
        let at_once = EventScript {
            last_sent: Some(last_sent),
            piece_bytes: 1 << 16,
            ..torn(LineEnd::Lf, BodyFraming::Length)
        };
        answer_first(&cluster.engines, &at_once);
        let received = ask(cluster.addr(0), ONCE, "1.1");
        let text = at_once.text_up_to(last_sent);
        let is_complete = false;
        assert_eq!(received, Received { text, is_complete });
    }
}

/// Guards against a request that is contained as one that ends upstreams, though each of them runs on.
#[test]
fn a_request_whose_streams_are_cut_off_in_order_is_not_contained() {
    let mut cluster = TestCluster::start(BINARY);
    for number in 2..5 {
        let id = format!("engines-{number}");
        let engine = ScriptedUpstream::start_on_own_ip(&id, "engines", "v1");
        cluster.store.put_upstream(&engine.record());
        cluster.engines.push(engine);
    }
    cluster.add_box("hall-a");
    let torn = torn(LineEnd::Lf, BodyFraming::Chunks);
    for engine in &cluster.engines {
        engine.set_action(UpstreamAction::Events(torn.clone()));
    }
    for _ in 0..2 {
        let received = ask(cluster.addr(0), RESUMED, "1.1");
        assert!(!received.is_complete);
        assert_eq!(received.text, torn.text_up_to(LAST_SENT));
    }
    let asked = cluster.engines.iter();
    let asked = asked.filter(|engine| !engine.received_requests().is_empty());
    assert!(asked.count() >= 3);
    eventually("the lines are written", || {
        cluster.boxes[0].event_lines("stream_broken_off").len() == 2
    });
    for event in ["contained", "quarantined", "upstream_ended"] {
        assert!(cluster.boxes[0].event_lines(event).is_empty(), "{event}");
    }
}

/// Guards against a stream without ids that begins anew behind events that were passed on.
#[test]
fn a_stream_without_ids_is_not_resumed_behind_its_first_event() {
    let cluster = cluster();
    let first = EventScript {
        has_ids: false,
        ..torn(LineEnd::Lf, BodyFraming::Chunks)
    };
    answer_first(&cluster.engines, &first);
    let received = ask(cluster.addr(0), RESUMED, "1.1");
    let text = first.text_up_to(LAST_SENT);
    let is_complete = false;
    assert_eq!(received, Received { text, is_complete });
    assert_eq!(sends(&cluster.engines), 1);
}

/// Guards against an event that a larger model cuts off.
#[test]
fn an_event_cut_off_by_a_larger_model_is_resumed() {
    let cluster = cluster();
    let whole = script(LineEnd::Lf, BodyFraming::Chunks);
    for engine in &cluster.engines {
        engine.set_action(UpstreamAction::Events(whole.clone()));
    }
    // The budget on repeats allows a larger model only beside other requests.
    for n in 0..8 {
        post_stream(cluster.addr(0), RESUMED, &format!("before-{n}")).expect("an answer");
    }
    for engine in &cluster.engines {
        engine.add_header("ivyweir-confidence", "10");
    }
    // The smaller model's answer is whole, and the larger one's is not.
    let torn = torn(LineEnd::Lf, BodyFraming::Connection);
    for engine in &cluster.engines {
        engine.set_action(UpstreamAction::Events(torn.clone()));
    }
    let reply = post_stream(cluster.addr(0), "/sized/x", "r1").expect("a head");
    let seen = cluster.engines.iter().flat_map(|e| e.received_requests());
    let seen: Vec<_> = seen
        .filter(|s| s.header("ivyweir-request-id") == Some("r1"))
        .collect();
    let resumed = seen.iter().filter(|s| s.header("last-event-id").is_some());
    assert_eq!((seen.len(), resumed.count()), (3, 1), "{seen:?}");
    // The last upstream that may be asked cuts its event off as well.
    assert!(!reply.is_complete);
    assert_eq!(reply.text(), whole.text_up_to(LAST_SENT));
}

macro_rules! whole_streams {
    ($($name:ident: $framing:ident, $line_end:ident, pieces of $piece_bytes:expr, HTTP $version:expr;)*) => {$(
        /// Guards against whole streams that are taken for broken ones.
        #[test]
        fn $name() {
            let cluster = cluster();
            let whole = EventScript {
                piece_bytes: $piece_bytes,
                ..script(LineEnd::$line_end, BodyFraming::$framing)
            };
            answer_first(&cluster.engines, &whole);
            for path in [RESUMED, ONCE] {
                let received = ask(cluster.addr(0), path, $version);
                let text = whole.text_up_to(EVENTS);
                assert_eq!(received, Received { text, is_complete: true });
            }
            assert_eq!(sends(&cluster.engines), 2);
        }
    )*};
}

whole_streams! {
    a_whole_stream_that_ends_with_its_connection_stays_whole: Connection, Lf, pieces of 0, HTTP "1.1";
    a_whole_stream_with_a_length_stays_whole: Length, Lf, pieces of 0, HTTP "1.1";
    a_whole_crlf_stream_stays_whole: Chunks, Crlf, pieces of 0, HTTP "1.1";
    a_whole_crlf_stream_that_ends_with_its_connection_stays_whole: Connection, Crlf, pieces of 0, HTTP "1.1";
    a_whole_crlf_stream_in_small_pieces_stays_whole: Chunks, Crlf, pieces of 1, HTTP "1.1";
    a_whole_cr_stream_stays_whole: Connection, Cr, pieces of 0, HTTP "1.1";
    a_whole_stream_of_mixed_line_ends_stays_whole: Connection, Mixed, pieces of 2, HTTP "1.1";
    a_whole_stream_stays_whole_for_a_caller_of_an_older_version: Connection, Crlf, pieces of 0, HTTP "1.0";
}

macro_rules! passed_on {
    ($($name:ident: $line_end:ident;)*) => {$(
        /// Guards against events that are held back until the body ends.
        #[test]
        fn $name() {
            let cluster = cluster();
            let silent = EventScript {
                last_sent: Some(LAST_SENT),
                end: BodyEnd::Silence,
                ..script(LineEnd::$line_end, BodyFraming::Chunks)
            };
            answer_first(&cluster.engines, &silent);
            let mut caller = send_http_1_0(cluster.addr(0), ONCE);
            let expected = silent.text_up_to(LAST_SENT).into_bytes();
            let mut answer = Vec::new();
            while !answer.ends_with(&expected) {
                let mut part = [0; 1 << 10];
                let read = caller.read(&mut part).expect("all events arrive");
                assert!(read > 0, "the answer ends early");
                answer.extend_from_slice(&part[..read]);
            }
        }
    )*};
}

passed_on! {
    lf_events_are_passed_on_as_they_come: Lf;
    crlf_events_are_passed_on_as_they_come: Crlf;
    cr_events_are_passed_on_as_they_come: Cr;
    events_of_mixed_line_ends_are_passed_on_as_they_come: Mixed;
}

/// Guards against an answer that a killed box ends as complete.
#[test]
fn a_box_that_is_killed_resets_a_caller_of_an_older_version() {
    let mut cluster = cluster();
    let long = EventScript {
        gap_ms: 100,
        ..script(LineEnd::Lf, BodyFraming::Chunks)
    };
    answer_first(&cluster.engines, &long);
    let mut caller = send_http_1_0(cluster.addr(0), ONCE);
    let mut first = [0; 1];
    caller.read_exact(&mut first).expect("a head");
    cluster.boxes[0].kill();
    let mut rest = Vec::new();
    assert!(caller.read_to_end(&mut rest).is_err());
}

/// Guards against an upstream that counts as running because no other box tells that it has exited.
#[test]
fn a_stream_that_ends_with_its_upstream_is_resumed_though_no_other_box_answers() {
    let mut cluster = cluster();
    cluster.add_box("hall-b");
    for running in &cluster.boxes {
        eventually("the boxes know each other", || {
            !running.event_lines("boxes_heard").is_empty()
        });
    }
    cluster.boxes[1].signal("STOP");
    let whole = script(LineEnd::Lf, BodyFraming::Connection);
    let exits = EventScript {
        last_sent: Some(LAST_SENT),
        end: BodyEnd::Exit,
        ..whole.clone()
    };
    cluster.engines[0].set_action(UpstreamAction::Events(exits));
    cluster.engines[1].set_action(UpstreamAction::Events(whole.clone()));
    for n in 0..50 {
        let reply = post_stream(cluster.addr(0), RESUMED, &format!("r{n}")).expect("a head");
        assert!(reply.is_complete);
        assert_eq!(reply.text(), whole.text_up_to(EVENTS));
        if cluster.engines[0].has_exited() {
            return;
        }
    }
    panic!("the first engine was never asked");
}

/// A box whose paths to all upstreams are reset, and another one that serves for it.
fn cluster_with_cut_box() -> CutBoxCluster {
    let whole = UpstreamAction::Events(script(LineEnd::Lf, BodyFraming::Connection));
    CutBoxCluster::start(&["hall-a", "hall-b"], 2, put_site, &whole)
}

macro_rules! handed_over_streams {
    ($($name:ident: $framing:ident, $path:ident, HTTP $version:expr;)*) => {$(
        /// Guards against an event that is cut off at the upstream of the box that serves for another one.
        #[test]
        fn $name() {
            let CutBoxCluster { cluster, .. } = cluster_with_cut_box();
            let before = sends(&cluster.engines);
            let first = torn(LineEnd::Lf, BodyFraming::$framing);
            answer_first(&cluster.engines, &first);
            let received = ask(cluster.addr(0), $path, $version);
            let is_resumed = $path == RESUMED;
            let last = if is_resumed { EVENTS } else { LAST_SENT };
            let expected = Received { text: first.text_up_to(last), is_complete: is_resumed };
            assert_eq!(received, expected);
            assert_eq!(sends(&cluster.engines) - before, if is_resumed { 3 } else { 1 });
        }
    )*};
}

handed_over_streams! {
    an_event_cut_off_at_the_upstream_of_another_box_is_resumed: Connection, RESUMED, HTTP "1.1";
    an_event_cut_off_by_the_last_chunk_at_another_box_is_resumed: Chunks, RESUMED, HTTP "1.1";
    an_event_cut_off_at_another_box_breaks_the_answer: Connection, ONCE, HTTP "1.1";
    an_event_cut_off_at_another_box_resets_a_caller_of_an_older_version: Connection, ONCE, HTTP "1.0";
}

/// Sends requests until the first service was asked, and returns their statuses.
fn ask_until_first_service(cluster: &TestCluster, path: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    while cluster.services[0].received_requests().is_empty() {
        assert!(statuses.len() < 50, "the first service was never asked");
        let id = format!("r{}", statuses.len());
        let headers = [("ivyweir-request-id", id.as_str()), AUTH];
        let reply = get(cluster.addr(0), path, &headers).expect("an answer");
        if reply.status == 200 {
            assert_eq!(reply.text(), "echo of 0 bytes");
            assert!(reply.is_complete);
        }
        statuses.push(reply.status);
    }
    statuses
}

macro_rules! plain_answers {
    ($($name:ident: $path:expr, cut $is_cut:expr, $framing:ident, $end:ident => $status:expr, sends $sends:expr;)*) => {$(
        /// Guards against part of a plain answer that is taken for the whole one, and the reverse.
        #[test]
        fn $name() {
            let cluster = cluster();
            let first = PlainScript {
                is_cut: $is_cut,
                framing: BodyFraming::$framing,
                end: BodyEnd::$end,
            };
            cluster.services[0].set_action(UpstreamAction::Plain(first));
            let statuses = ask_until_first_service(&cluster, $path);
            let (last, before) = statuses.split_last().expect("a status");
            assert!(before.iter().all(|status| *status == 200), "{before:?}");
            assert_eq!(*last, $status);
            assert_eq!(sends(&cluster.services) - before.len(), $sends);
        }
    )*};
}

plain_answers! {
    a_plain_answer_that_ends_with_its_connection_is_whole: "/unsafe/x", cut false, Connection, Framed => 200, sends 1;
    a_safe_answer_that_ends_with_its_connection_is_not_asked_again: "/safe/x", cut false, Connection, Framed => 200, sends 1;
    an_unsafe_answer_without_length_whose_connection_is_reset_is_lost: "/unsafe/x", cut true, Connection, Reset => 502, sends 1;
    a_safe_answer_without_length_whose_connection_is_reset_is_asked_again: "/safe/x", cut true, Connection, Reset => 200, sends 2;
    an_unsafe_answer_without_length_that_ends_with_its_upstream_is_lost: "/unsafe/x", cut true, Connection, Exit => 502, sends 1;
    a_safe_answer_without_length_that_ends_with_its_upstream_is_asked_again: "/safe/x", cut true, Connection, Exit => 200, sends 2;
    an_unsafe_answer_shorter_than_its_length_is_lost: "/unsafe/x", cut true, Length, Exit => 502, sends 1;
    a_safe_answer_without_its_last_chunk_is_asked_again: "/safe/x", cut true, Chunks, Reset => 200, sends 2;
}
