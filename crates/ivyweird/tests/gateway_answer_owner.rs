//! Surplus answers, which come in the place of the answers to other requests.

mod common;

use bytes::Bytes;
use ivyweir_standins::edge::{
    Following, HOST, KEY, KeptConnection, RepeatingUpstream, Reply, SurplusAnswer, SurplusFraming,
    SurplusId, TestCluster, call, eventually, get, site_config_for_pool,
};

use common::BINARY;

const POOL: &str = "repeating";
const ROUNDS: usize = 12;
/// Routes of the configuration.
const UNSAFE: &str = "unsafe";
const SAFE: &str = "safe";
const STREAM: &str = "stream";

/// A box before upstreams that all send this surplus answer.
fn cluster(
    upstreams: usize,
    surplus: Option<SurplusAnswer>,
) -> (TestCluster, Vec<RepeatingUpstream>) {
    let mut cluster = TestCluster::start(BINARY);
    let site = site_config_for_pool(2, &[KEY], POOL);
    cluster.store.put_site(&site);
    let start = |n: usize| RepeatingUpstream::start(&format!("repeating-{n}"), POOL, surplus);
    let upstreams: Vec<_> = (0..upstreams).map(start).collect();
    for upstream in &upstreams {
        cluster.store.put_upstream(&upstream.record());
    }
    cluster.add_box("hall-a");
    (cluster, upstreams)
}

fn ask(cluster: &TestCluster, route: &str, id: &str) -> Reply {
    let authorization = format!("Bearer {KEY}");
    let headers = [
        ("host", HOST),
        ("ivyweir-request-id", id),
        ("authorization", authorization.as_str()),
    ];
    let body = Bytes::copy_from_slice(id.as_bytes());
    let path = format!("/{route}/x");
    call(cluster.addr(0), "POST", &path, &headers, body).expect("an answer")
}

fn run_count(upstreams: &[RepeatingUpstream], id: &str) -> usize {
    let runs = upstreams.iter().flat_map(RepeatingUpstream::runs);
    runs.filter(|run| run == id).count()
}

fn surplus_count(upstreams: &[RepeatingUpstream]) -> usize {
    upstreams
        .iter()
        .map(RepeatingUpstream::surplus_answers)
        .sum()
}

/// Whether a status promises that its request has not run.
fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// The body of the whole answer to a request.
fn expected_body(route: &str, id: &str) -> String {
    if route != STREAM {
        return format!("answer to {id}");
    }
    let events = (1..=3).map(|event| format!("id: {event}\ndata: {event} of {id}\n\n"));
    events.collect()
}

macro_rules! surplus_answers {
    ($($name:ident: $status:expr, $id:ident, $framing:ident, then $following:ident, $route:ident => $statuses:expr;)*) => {$(
        /// Guards against a surplus answer that is taken for the answer to the next request on its connection.
        #[test]
        fn $name() {
            let surplus = SurplusAnswer {
                status: $status,
                id: SurplusId::$id,
                framing: SurplusFraming::$framing,
                following: Following::$following,
            };
            let (cluster, upstreams) = cluster(2, Some(surplus));
            let expected: &[u16] = &$statuses;
            for n in 0..ROUNDS {
                let id = format!("r{n}");
                let reply = ask(&cluster, $route, &id);
                let status = reply.status;
                assert!(expected.contains(&status), "{id}: {status}");
                let runs = run_count(&upstreams, &id);
                if $route != SAFE {
                    assert!(runs <= 1, "{id} ran {runs} times");
                }
                if promises_not_run(status) {
                    assert_eq!(runs, 0, "{id} was denied though it ran");
                }
                if status == 200 {
                    assert!(reply.is_complete);
                    assert_eq!(reply.text(), expected_body($route, &id));
                }
            }
            let surplus = surplus_count(&upstreams);
            assert!(surplus >= ROUNDS / 4, "{surplus} surplus answers");
        }
    )*};
}

surplus_answers! {
    a_surplus_rejection_is_not_that_of_an_unsafe_request: 503, Earlier, Length, then Answer, UNSAFE => [200];
    a_surplus_rejection_that_arrives_with_the_answer_is_not_that_of_an_unsafe_request: 503, Earlier, Length, then AnswerAtOnce, UNSAFE => [200];
    a_surplus_rejection_in_chunks_is_not_that_of_an_unsafe_request: 503, Earlier, Chunks, then Answer, UNSAFE => [200];
    a_surplus_rejection_is_not_that_of_a_safe_request: 503, Earlier, Length, then Answer, SAFE => [200];
    a_surplus_rejection_is_not_that_of_a_stream: 503, Earlier, Length, then Answer, STREAM => [200];
    a_surplus_rejection_before_a_true_one_does_not_end_a_request: 503, Earlier, Length, then Rejection, UNSAFE => [200, 503];
    a_surplus_rejection_before_the_end_of_its_connection_promises_nothing: 503, Earlier, Length, then End, UNSAFE => [200, 502];
    a_surplus_rejection_that_ends_with_its_connection_promises_nothing: 503, Earlier, Connection, then End, UNSAFE => [200, 502];
    a_safe_request_is_repeated_where_its_answer_does_not_follow: 503, Earlier, Length, then End, SAFE => [200];
    a_surplus_limit_is_not_that_of_an_unsafe_request: 429, Earlier, Length, then Answer, UNSAFE => [200];
    a_surplus_word_of_another_incarnation_does_not_end_the_use_of_an_upstream: 421, Earlier, Length, then Answer, UNSAFE => [200];
    a_surplus_failure_is_not_that_of_an_unsafe_request: 500, Earlier, Length, then Answer, UNSAFE => [200];
    a_surplus_success_is_not_that_of_an_unsafe_request: 200, Earlier, Length, then Answer, UNSAFE => [200];
    a_surplus_success_that_arrives_with_the_answer_is_not_that_of_a_stream: 200, Earlier, Chunks, then AnswerAtOnce, STREAM => [200];
    a_rejection_of_a_request_of_another_box_is_not_believed: 503, Stranger, Length, then Answer, UNSAFE => [200];
    a_rejection_without_an_id_is_not_believed: 503, Missing, Length, then Answer, UNSAFE => [200];
    a_rejection_with_an_empty_id_is_not_believed: 503, Empty, Length, then Answer, UNSAFE => [200];
    a_rejection_with_two_ids_is_not_believed: 503, Both, Length, then Answer, UNSAFE => [200, 502];
    an_informational_response_belongs_to_no_request: 103, Missing, NoBody, then Answer, UNSAFE => [200];
    an_informational_response_with_the_id_of_another_request_belongs_to_none: 103, Earlier, NoBody, then AnswerAtOnce, STREAM => [200];
    a_switch_of_protocols_that_nobody_asked_for_promises_nothing: 101, Missing, NoBody, then Answer, UNSAFE => [200, 502];
    a_surplus_word_of_another_incarnation_without_an_id_is_not_believed: 421, Missing, Length, then Answer, UNSAFE => [200];
}

/// Guards against a surplus rejection that is taken for that of the repeat of the same request, whose id it has.
#[test]
fn a_surplus_rejection_is_not_that_of_the_repeat_of_its_request() {
    let (cluster, upstreams) = cluster(2, None);
    let mut served = 0;
    for n in 0..ROUNDS {
        let id = format!("r{n}");
        for upstream in &upstreams {
            upstream.reject_once(&id);
        }
        let reply = ask(&cluster, UNSAFE, &id);
        let expected_runs = usize::from(!promises_not_run(reply.status));
        assert_eq!(run_count(&upstreams, &id), expected_runs, "{id}");
        served += expected_runs;
    }
    assert!(served >= ROUNDS / 4, "{served} served");
}

macro_rules! rejections_on_new_connections {
    ($($name:ident: $status:expr, $id:ident;)*) => {$(
        /// Guards against a rejection of no request that is believed on each new connection.
        #[test]
        fn $name() {
            let mut cluster = TestCluster::start(BINARY);
            let site = site_config_for_pool(2, &[KEY], POOL);
            cluster.store.put_site(&site);
            let surplus = SurplusAnswer {
                status: $status,
                id: SurplusId::$id,
                framing: SurplusFraming::Length,
                following: Following::Answer,
            };
            let upstream = RepeatingUpstream::start_from_first("repeating-0", POOL, surplus);
            cluster.store.put_upstream(&upstream.record());
            cluster.add_box("hall-a");
            let upstreams = [upstream];
            for n in 0..ROUNDS {
                let id = format!("r{n}");
                let status = ask(&cluster, UNSAFE, &id).status;
                assert!([200, 502].contains(&status), "{id}: {status}");
            }
            let has_run_once = |n| run_count(&upstreams, &format!("r{n}")) == 1;
            eventually("each request has run once", || {
                (0..ROUNDS).all(has_run_once)
            });
            assert!(surplus_count(&upstreams) >= ROUNDS);
        }
    )*};
}

rejections_on_new_connections! {
    a_rejection_of_another_request_on_a_new_connection_promises_nothing: 503, Stranger;
    a_rejection_without_an_id_on_a_new_connection_promises_nothing: 503, Missing;
    a_limit_without_an_id_on_a_new_connection_promises_nothing: 429, Missing;
    a_word_of_another_incarnation_without_an_id_on_a_new_connection_promises_nothing: 421, Missing;
}

/// Guards against answers that cannot be told apart where a caller uses an id twice.
#[test]
fn a_connection_is_not_used_for_two_requests_with_one_id() {
    let (cluster, upstreams) = cluster(1, None);
    for _ in 0..ROUNDS {
        assert_eq!(ask(&cluster, UNSAFE, "r").status, 200);
    }
    let connections = upstreams[0].connections();
    assert!(connections >= ROUNDS, "{connections} connections");
}

/// Guards against connections that are not used again though nothing is wrong with them.
#[test]
fn a_connection_without_surplus_answers_is_kept() {
    let (cluster, upstreams) = cluster(1, None);
    let mut caller = KeptConnection::open(cluster.addr(0)).expect("the box accepts connections");
    for n in 0..ROUNDS {
        let id = format!("r{n}");
        let authorization = format!("Bearer {KEY}");
        let headers = [
            ("ivyweir-request-id", id.as_str()),
            ("authorization", authorization.as_str()),
        ];
        let body = Bytes::from_static(b"activate");
        let reply = caller.call("POST", "/unsafe/x", &headers, body);
        assert_eq!(reply.expect("an answer").status, 200);
    }
    let connections = upstreams[0].connections();
    assert!(connections < ROUNDS / 2, "{connections} connections");
}

/// Guards against a faulty upstream that on-call cannot name.
#[test]
fn a_metric_and_a_log_line_name_the_upstream_of_a_surplus_answer() {
    let surplus = SurplusAnswer {
        status: 503,
        id: SurplusId::Earlier,
        framing: SurplusFraming::Length,
        following: Following::Answer,
    };
    let (cluster, _upstreams) = cluster(1, Some(surplus));
    for n in 0..ROUNDS {
        ask(&cluster, UNSAFE, &format!("r{n}"));
    }
    eventually("the log names both requests", || {
        let log = cluster.boxes[0].log();
        log.lines().any(|line| {
            line.contains("not_our_answer")
                && line.contains("repeating-0")
                && line.contains("sent_id")
                && line.contains("answered_id")
        })
    });
    let metrics = get(cluster.boxes[0].metrics_addr, "/metrics", &[]);
    let metrics = metrics.expect("metrics").text();
    let metric = "ivyweir_foreign_answers_total{then=\"skipped\",upstream=\"repeating-0\"}";
    assert!(metrics.contains(metric), "{metrics}");
}
