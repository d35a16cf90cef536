//! Statuses that promise that a request has not run, and the log event of each with what it rests on.

mod common;

use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use ivyweir_standins::edge::{
    EventScript, HOST, KEY, PathFault, Reply, ScriptedUpstream, TestCluster, UpstreamAction, call,
    eventually, get, site_config,
};
use serde_json::Value;

use common::BINARY;
use common::cut_box::CutBoxCluster;

const ID: &str = "promised";

fn ask(cluster: &TestCluster, path: &str, headers: &[(&str, &str)]) -> Reply {
    let auth = format!("Bearer {KEY}");
    let own = [("ivyweir-request-id", ID), ("authorization", &*auth)];
    let headers = [&own[..], headers].concat();
    let body = Bytes::from_static(b"prompt");
    call(cluster.addr(0), "POST", path, &headers, body).expect("an answer")
}

/// Number of times that an upstream ran the request.
fn runs(cluster: &TestCluster) -> usize {
    let upstreams = cluster.engines.iter().chain(&cluster.services);
    let received = upstreams.flat_map(ScriptedUpstream::received_requests);
    let ran = received.filter(|request| request.was_run);
    ran.filter(|request| request.header("ivyweir-request-id") == Some(ID))
        .count()
}

/// The promises in a box's log, by its metrics as many as were given.
fn promises(cluster: &TestCluster, number: usize) -> Vec<Value> {
    let running = &cluster.boxes[number];
    let mut lines = Vec::new();
    eventually("all promises are in the log", || {
        let text = get(running.metrics_addr, "/metrics", &[]).expect("metrics");
        lines = running.event_lines("promised_not_run");
        count(&text.text()) == lines.len()
    });
    lines
}

/// Sum of the counters of promises.
fn count(metrics: &str) -> usize {
    let counters = metrics.lines();
    let counters = counters.filter(|line| line.starts_with("ivyweir_promises_total{"));
    let counts = counters.filter_map(|line| line.rsplit_once(' '));
    counts
        .filter_map(|(_, count)| count.parse::<usize>().ok())
        .sum()
}

fn no_upstream(cluster: &TestCluster) {
    for upstream in &cluster.services {
        cluster.store.remove_upstream(upstream.record().name());
    }
    eventually("the upstreams are gone", || cluster.status(0, KEY) == 503);
}

fn all_do(action: UpstreamAction) -> impl Fn(&TestCluster) {
    move |cluster| {
        let services = cluster.services.iter();
        services.for_each(|upstream| upstream.set_action(action.clone()));
    }
}

fn retry_later(cluster: &TestCluster) {
    for upstream in &cluster.services {
        upstream.set_action(UpstreamAction::NotRun);
        upstream.set_retry_after("5");
    }
    ask(cluster, "/safe/x", &[("ivyweir-request-id", "before")]);
}

macro_rules! promises {
    ($($name:ident: $prepare:expr, $path:expr, $headers:expr => $status:expr, $basis:expr;)*) => {$(
        /// Guards against promises that nothing in the log explains.
        #[test]
        fn $name() {
            let cluster = TestCluster::with_boxes(BINARY, &["hall-a"]);
            $prepare(&cluster);
            let before = promises(&cluster, 0).len();
            let reply = ask(&cluster, $path, &$headers);
            assert_eq!(reply.status, $status, "{}", reply.text());
            let given = promises(&cluster, 0);
            let [promise] = &given[before..] else {
                panic!("{given:?}");
            };
            assert_eq!(promise["request_id"], ID);
            assert_eq!(promise["status"], $status);
            assert_eq!(promise["basis"], $basis, "{promise}");
            let has_proof = $basis == "no_send" || promise["shown_by"][0]["local_port"].is_u64();
            assert!(has_proof, "{promise}");
            assert_eq!(runs(&cluster), 0);
        }
    )*};
}

promises! {
    the_promise_of_a_request_without_an_upstream_is_logged:
        no_upstream, "/unsafe/x", [] => 503, "no_send";
    the_promise_of_a_request_that_an_upstream_rejects_is_logged:
        all_do(UpstreamAction::NotRun), "/unsafe/x", [] => 503, "rejections";
    the_promise_of_a_request_that_all_upstreams_reject_is_logged:
        all_do(UpstreamAction::NotRun), "/safe/x", [] => 503, "rejections";
    the_promise_of_a_request_for_another_incarnation_is_logged:
        all_do(UpstreamAction::OtherIncarnation), "/unsafe/x", [] => 503, "rejections";
    the_promise_of_a_request_that_must_wait_too_long_is_logged:
        retry_later, "/unsafe/x", [("ivyweir-budget-ms", "400")] => 503, "no_send";
    the_promise_of_a_request_without_time_is_logged:
        |_: &TestCluster| (), "/unsafe/x", [("ivyweir-budget-ms", "0")] => 503, "no_send";
}

macro_rules! no_promises {
    ($($name:ident: $action:expr, $path:expr, $headers:expr => $status:expr;)*) => {$(
        #[test]
        fn $name() {
            let cluster = TestCluster::with_boxes(BINARY, &["hall-a"]);
            all_do($action)(&cluster);
            let reply = ask(&cluster, $path, &$headers);
            assert_eq!(reply.status, $status, "{}", reply.text());
            eventually("the refusal is in the log", || {
                let events = ["refused", "answered"].iter();
                events.flat_map(|event| cluster.boxes[0].event_lines(event)).any(|line| line["request_id"] == ID)
            });
            assert!(promises(&cluster, 0).is_empty());
            assert!(runs(&cluster) > 0);
        }
    )*};
}

no_promises! {
    a_503_that_does_not_say_not_run_is_no_promise: UpstreamAction::Answer(503), "/unsafe/x", [] => 502;
    a_429_that_does_not_say_not_run_is_no_promise: UpstreamAction::Answer(429), "/unsafe/x", [] => 502;
    a_408_that_does_not_say_not_run_is_no_promise: UpstreamAction::Answer(408), "/unsafe/x", [] => 502;
    a_closed_connection_is_no_promise: UpstreamAction::Close, "/unsafe/x", [] => 502;
    a_body_that_breaks_off_is_no_promise: UpstreamAction::TruncateBody, "/unsafe/x", [] => 502;
    an_answer_of_another_request_is_no_promise: UpstreamAction::WrongId, "/unsafe/x", [] => 502;
    an_answer_without_a_signature_is_no_promise: UpstreamAction::Unsigned, "/unsafe/x", [] => 502;
    an_answer_that_is_late_is_no_promise: UpstreamAction::Hang, "/unsafe/x", [("ivyweir-budget-ms", "300")] => 504;
    repeats_that_are_lost_are_no_promise: UpstreamAction::Close, "/safe/x", [] => 502;
}

/// Guards against a log in which a failure of an upstream looks like a promise to its caller.
#[test]
fn the_log_has_the_status_that_a_caller_was_told() {
    let cluster = TestCluster::with_boxes(BINARY, &["hall-a"]);
    all_do(UpstreamAction::Answer(503))(&cluster);
    let reply = ask(&cluster, "/unsafe/x", &[]);
    assert_eq!(reply.status, 502, "{}", reply.text());
    let mut answered = Vec::new();
    eventually("the answer is in the log", || {
        answered = cluster.boxes[0].event_lines("answered");
        answered.retain(|line| line["request_id"] == ID);
        !answered.is_empty()
    });
    assert_eq!(answered[0]["status"], 503);
    assert_eq!(answered[0]["told"], 502, "{}", answered[0]);
}

#[test]
fn the_promise_of_a_request_that_other_boxes_decline_is_logged_by_each() {
    let stream = UpstreamAction::Events(EventScript::whole(2));
    let put_site = |cluster: &TestCluster| {
        cluster.store.put_site(&site_config(2, &[KEY]));
    };
    let CutBoxCluster { cluster, .. } =
        CutBoxCluster::start(&["hall-a", "hall-b"], 2, put_site, &stream);
    all_do(UpstreamAction::NotRun)(&cluster);
    let reply = ask(&cluster, "/unsafe/x", &[]);
    assert_eq!(reply.status, 503, "{}", reply.text());
    let own = promises(&cluster, 0);
    let of_request = own.iter().find(|line| line["request_id"] == ID);
    let promise = of_request.expect("a promise");
    assert_eq!(promise["basis"], "other_boxes", "{promise}");
    assert_eq!(promise["shown_by"][0]["box"], cluster.boxes[1].name);
    let others = promises(&cluster, 1);
    let of_request = others.iter().find(|line| line["request_id"] == ID);
    assert_eq!(of_request.expect("a promise")["basis"], "rejections");
    assert_eq!(runs(&cluster), 0);
}

/// Guards against taking a box that declines a request, which another box then runs, for a promise to the caller.
#[test]
fn a_request_that_a_box_declines_and_another_one_runs_is_not_logged_as_promised_to_its_caller() {
    let stream = UpstreamAction::Events(EventScript::whole(2));
    let put_site = |cluster: &TestCluster| {
        cluster.store.put_site(&site_config(2, &[KEY]));
    };
    let CutBoxCluster { cluster, proxies } =
        CutBoxCluster::start(&["hall-a", "hall-b", "hall-c"], 2, put_site, &stream);
    let services = cluster.services.iter();
    let services = services.map(|upstream| upstream.record().addr).collect();
    proxies.set_fault_to(cluster.boxes[1].pid(), PathFault::Reset, services);
    let auth = format!("Bearer {KEY}");
    let mut ran = HashSet::new();
    let mut declined = Vec::new();
    let mut ids = (0..).map(|number| format!("request-{number}"));
    eventually("a box declines a request that another one runs", || {
        let id = ids.next().expect("ids without end");
        let headers = [("ivyweir-request-id", &*id), ("authorization", &*auth)];
        let body = Bytes::from_static(b"prompt");
        let reply = call(cluster.addr(0), "POST", "/safe/x", &headers, body).expect("an answer");
        if reply.status == 200 {
            ran.insert(id);
        }
        declined = cluster.boxes[1].event_lines("promised_not_run");
        declined.retain(|line| {
            line["request_id"]
                .as_str()
                .is_some_and(|id| ran.contains(id))
        });
        !declined.is_empty()
    });
    assert_eq!(declined[0]["to"], "box", "{}", declined[0]);
    for running in &cluster.boxes {
        for line in running.event_lines("promised_not_run") {
            let has_run = line["request_id"]
                .as_str()
                .is_some_and(|id| ran.contains(id));
            assert!(!has_run || line["to"] == "box", "{line}");
        }
    }
}

#[test]
fn the_promise_of_a_request_whose_body_is_late_is_logged() {
    let cluster = TestCluster::with_boxes(BINARY, &["hall-a"]);
    let mut caller = TcpStream::connect(cluster.addr(0)).expect("the box accepts");
    let head = format!(
        "POST /unsafe/x HTTP/1.1\r\nhost: {HOST}\r\nivyweir-request-id: {ID}\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 9\r\n\r\nbegin"
    );
    caller.write_all(head.as_bytes()).expect("the box reads");
    let mut status = [0; 12];
    caller.read_exact(&mut status).expect("an answer");
    assert_eq!(&status, b"HTTP/1.1 408");
    let given = promises(&cluster, 0);
    assert_eq!(given[0]["status"], 408, "{given:?}");
    assert_eq!(given[0]["basis"], "no_send");
    assert_eq!(runs(&cluster), 0);
}

fn two_boxes_of_which_one_sends() -> CutBoxCluster {
    let stream = UpstreamAction::Events(EventScript::whole(2));
    let put_site = |cluster: &TestCluster| {
        cluster.store.put_site(&site_config(2, &[KEY]));
    };
    CutBoxCluster::start(&["hall-a", "hall-b"], 2, put_site, &stream)
}

macro_rules! handed_over {
    ($($name:ident: $action:expr => $statuses:expr, runs $runs:expr;)*) => {$(
        #[test]
        fn $name() {
            let CutBoxCluster { cluster, .. } = two_boxes_of_which_one_sends();
            all_do($action)(&cluster);
            let reply = ask(&cluster, "/unsafe/x", &[("ivyweir-budget-ms", "1000")]);
            assert!($statuses.contains(&reply.status), "{} {}", reply.status, reply.text());
            assert_eq!(runs(&cluster), $runs);
        }
    )*};
}

handed_over! {
    a_request_that_another_box_had_rejected_is_promised: UpstreamAction::NotRun => [503], runs 0;
    a_503_to_another_box_that_does_not_say_not_run_is_no_promise: UpstreamAction::Answer(503) => [502], runs 1;
    a_429_to_another_box_that_does_not_say_not_run_is_no_promise: UpstreamAction::Answer(429) => [502], runs 1;
    a_connection_of_another_box_that_is_closed_is_no_promise: UpstreamAction::Close => [502], runs 1;
    a_body_to_another_box_that_breaks_off_is_no_promise: UpstreamAction::TruncateBody => [502], runs 1;
    an_answer_of_another_request_to_another_box_is_no_promise: UpstreamAction::WrongId => [502, 504], runs 1;
    an_answer_without_a_signature_to_another_box_is_no_promise: UpstreamAction::Unsigned => [502], runs 1;
    an_answer_to_another_box_that_is_late_is_no_promise: UpstreamAction::Hang => [502, 504], runs 1;
}

#[test]
fn a_request_at_a_box_that_is_killed_is_no_promise() {
    let CutBoxCluster { mut cluster, .. } = two_boxes_of_which_one_sends();
    all_do(UpstreamAction::Hang)(&cluster);
    let addr = cluster.addr(0);
    let caller = thread::spawn(move || {
        let auth = format!("Bearer {KEY}");
        let headers = [("ivyweir-request-id", ID), ("authorization", &*auth)];
        let body = Bytes::from_static(b"prompt");
        call(addr, "POST", "/unsafe/x", &headers, body).expect("an answer")
    });
    eventually("the request runs", || runs(&cluster) == 1);
    cluster.boxes[1].kill();
    let reply = caller.join().expect("no caller panics");
    assert!(
        [502, 504].contains(&reply.status),
        "{} {}",
        reply.status,
        reply.text()
    );
    assert_eq!(runs(&cluster), 1);
}

/// Pause between the parts in which a caller writes its requests.
const WRITE_PAUSE: Duration = Duration::from_millis(30);

/// Writes requests in parts, and returns the statuses of all answers.
fn statuses(cluster: &TestCluster, parts: &[String], half_closes: bool) -> Vec<u16> {
    let mut caller = TcpStream::connect(cluster.addr(0)).expect("the box accepts");
    for part in parts {
        caller.write_all(part.as_bytes()).expect("the box reads");
        thread::sleep(WRITE_PAUSE);
    }
    if half_closes {
        caller
            .shutdown(Shutdown::Write)
            .expect("an open connection");
    }
    let mut answers = Vec::new();
    // A reset ends the answers as an orderly end does.
    let _reset = caller.read_to_end(&mut answers);
    let answers = String::from_utf8_lossy(&answers);
    let heads = answers.split("HTTP/1.").skip(1);
    let statuses = heads.filter_map(|head| head.get(2..5)?.parse().ok());
    statuses.filter(|status| *status != 100).collect()
}

fn head(method: &str, path: &str, version: &str, headers: &str) -> String {
    format!(
        "{method} {path} HTTP/{version}\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n\
         ivyweir-budget-ms: 400\r\n{headers}\r\n"
    )
}

fn with_id(path: &str, headers: &str) -> String {
    let id = path.replace('/', "-");
    format!("ivyweir-request-id: {id}\r\n{headers}")
}

fn last(headers: &str) -> String {
    format!("connection: close\r\n{headers}")
}

/// Number of times that a request for this path ran.
fn runs_of(cluster: &TestCluster, path: &str) -> usize {
    let received = cluster.services.iter();
    let received = received.flat_map(ScriptedUpstream::received_requests);
    let ran = received.filter(|request| request.was_run);
    ran.filter(|request| request.request_line.ends_with(path))
        .count()
}

macro_rules! callers {
    ($($name:ident: $parts:expr, half-closes: $half_closes:expr;)*) => {$(
        #[test]
        fn $name() {
            let cluster = TestCluster::with_boxes(BINARY, &["hall-a"]);
            let actions = [
                UpstreamAction::Answer(200),
                UpstreamAction::NotRun,
                UpstreamAction::Answer(503),
                UpstreamAction::Answer(429),
                UpstreamAction::Answer(408),
                UpstreamAction::Unsigned,
                UpstreamAction::WrongId,
                UpstreamAction::Close,
                UpstreamAction::TruncateBody,
                UpstreamAction::Hang,
            ];
            let (mut promised, mut ran) = (0, 0);
            for (number, action) in actions.into_iter().enumerate() {
                all_do(action.clone())(&cluster);
                let paths = [format!("/unsafe/{number}/a"), format!("/unsafe/{number}/b")];
                let parts: Vec<String> = $parts(&*paths[0], &*paths[1]);
                let statuses = statuses(&cluster, &parts, $half_closes);
                for (path, status) in paths.iter().zip(&statuses) {
                    let runs = runs_of(&cluster, path);
                    let is_promise = matches!(status, 408 | 421 | 429 | 503);
                    assert!(!is_promise || runs == 0, "{action:?}: {path} {statuses:?}");
                    promised += usize::from(is_promise);
                    ran += runs;
                }
                assert!(paths.iter().all(|path| runs_of(&cluster, path) <= 1), "{action:?}");
            }
            assert!(promised > 0 && ran > 0, "{promised} promised, {ran} ran");
        }
    )*};
}

callers! {
    an_old_caller_is_promised_nothing_that_ran:
        |a, _| vec![head("POST", a, "1.0", &with_id(a, "content-length: 4\r\n")) + "body"], half-closes: false;
    a_caller_that_sends_chunks_is_promised_nothing_that_ran:
        |a, _| vec![head("POST", a, "1.1", &with_id(a, &last("transfer-encoding: chunked\r\n"))), "4\r\nbody\r\n".into(), "0\r\n\r\n".into()], half-closes: false;
    a_caller_that_waits_to_send_its_body_is_promised_nothing_that_ran:
        |a, _| vec![head("POST", a, "1.1", &with_id(a, &last("expect: 100-continue\r\ncontent-length: 4\r\n"))), "body".into()], half-closes: false;
    a_caller_without_a_body_is_promised_nothing_that_ran:
        |a, _| vec![head("POST", a, "1.1", &with_id(a, &last("")))], half-closes: false;
    a_caller_that_gets_is_promised_nothing_that_ran:
        |a, _| vec![head("GET", a, "1.1", &with_id(a, &last("")))], half-closes: false;
    a_caller_that_asks_for_a_head_is_promised_nothing_that_ran:
        |a, _| vec![head("HEAD", a, "1.1", &with_id(a, &last("")))], half-closes: false;
    a_caller_without_an_id_is_promised_nothing_that_ran:
        |a, _| vec![head("POST", a, "1.1", &last("content-length: 4\r\n")) + "body"], half-closes: false;
    callers_with_one_id_are_promised_nothing_that_ran:
        |a, _| vec![head("POST", a, "1.1", &last("ivyweir-request-id: one\r\ncontent-length: 4\r\n")) + "body"], half-closes: false;
    a_caller_with_two_ids_is_promised_nothing_that_ran:
        |a, _| vec![head("POST", a, "1.1", &with_id(a, &with_id("other", &last("content-length: 4\r\n")))) + "body"], half-closes: false;
    a_caller_that_pipelines_is_promised_nothing_that_ran:
        |a, b| vec![head("POST", a, "1.1", &with_id(a, "content-length: 4\r\n")) + "body" + &head("POST", b, "1.1", &with_id(b, &last("content-length: 4\r\n"))) + "body"], half-closes: false;
    a_caller_that_half_closes_is_promised_nothing_that_ran:
        |a, _| vec![head("POST", a, "1.1", &with_id(a, "content-length: 4\r\n")) + "body"], half-closes: true;
    a_caller_that_pipelines_and_half_closes_is_promised_nothing_that_ran:
        |a, b| vec![head("POST", a, "1.1", &with_id(a, "content-length: 4\r\n")) + "body" + &head("POST", b, "1.1", &with_id(b, "content-length: 4\r\n")) + "body"], half-closes: true;
}
