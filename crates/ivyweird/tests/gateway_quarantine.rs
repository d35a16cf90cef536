//! A request that ends each upstream that begins to run it.
//!
//! What users saw: four times within a minute and a half, for five to sixteen seconds each, half of all streams and more
//! failed, in all halls at once; plain services were well. One request ended the engine that ran it within a tenth of
//! a second; the box sent it on to the next engine, as it does where a stream breaks, and that ended too. Its caller
//! came back, at other boxes, and each box began anew: 69 engines ended under the one request, 33 sends after the
//! third, and the hundreds of requests that were at these engines went on to others that ended next.
//!
//! Cause: nothing was remembered of a request beyond one try, and nothing of it was told to other boxes. A try
//! has an id of its own, and no box knew two tries to be the same request, nor an upstream's end from a
//! connection that breaks.
//!
//! Evidence: the identity of each request's content in the boxes' logs, and a line for each upstream that ended
//! with the requests that were there: one of them was at every one.

use std::collections::HashSet;
use std::path::Path;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use ivyweir_standins::edge::{
    KEY, KeptConnection, Reply, ScriptedUpstream, TestCluster, UpstreamAction, call, eventually,
    post_stream,
};

const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");
const HARMFUL: &[u8] = b"a body that no upstream survives";
/// Upstreams of a pool: more than the boxes of a test could end if each began anew.
const UPSTREAMS: usize = 16;
/// Time after which a caller comes again.
const COMES_AGAIN_AFTER: Duration = Duration::from_millis(300);
/// Ends of upstreams after which a request is sent no more.
const ENDS: usize = 3;

/// Upstreams in place of a town's own ones, which end on the harmful request.
fn fragile(town: &mut TestCluster, pool: &str, act: UpstreamAction) -> Vec<ScriptedUpstream> {
    let own = if pool == "engines" {
        std::mem::take(&mut town.engines)
    } else {
        std::mem::take(&mut town.services)
    };
    for upstream in own {
        town.store.put_upstream(&upstream.leaving_record());
    }
    (0..UPSTREAMS)
        .map(|n| {
            let id = format!("fragile-{pool}-{n}");
            let upstream = ScriptedUpstream::start_on_own_ip(&id, pool, "v1");
            upstream.set_action(UpstreamAction::Stream {
                events: 3,
                gap_ms: 5,
                truncate_after: None,
                confidence: None,
            });
            if pool == "services" {
                upstream.set_action(UpstreamAction::Answer(200));
            }
            upstream.set_action_for_body(HARMFUL, act.clone());
            town.store.put_upstream(&upstream.record());
            upstream
        })
        .collect()
}

fn post(
    town: &TestCluster,
    number: usize,
    path: &str,
    id: &str,
    body: &'static [u8],
) -> Option<Reply> {
    let auth = format!("Bearer {KEY}");
    let headers = [
        ("ivyweir-request-id", id),
        ("authorization", auth.as_str()),
        ("ivyweir-model", "*"),
    ];
    // An answer that breaks off before its head is none.
    call(
        town.addr(number),
        "POST",
        path,
        &headers,
        Bytes::from_static(body),
    )
    .ok()
}

/// Times that the harmful request reached an upstream.
fn harmful_sends(upstreams: &[ScriptedUpstream]) -> usize {
    let all = upstreams
        .iter()
        .flat_map(|upstream| upstream.received_requests());
    all.filter(|seen| seen.body == HARMFUL).count()
}

fn is_quarantined(reply: Option<Reply>) -> bool {
    reply.is_some_and(|reply| reply.status == 503 && reply.text().contains("quarantined"))
}

const STREAM_THAT_ENDS: UpstreamAction = UpstreamAction::Exit { after_events: 1 };

#[test]
fn the_log_tells_two_tries_of_a_request_by_its_content_and_who_was_at_an_upstream_that_ended() {
    let mut town = TestCluster::start(Path::new(BINARY));
    town.add_box("hall-a");
    town.add_box("hall-b");
    let engines = fragile(&mut town, "engines", STREAM_THAT_ENDS);
    eventually("the boxes know the engines", || {
        let known = |n: usize| town.boxes[n].log().contains("fragile-engines-15");
        known(0) && known(1)
    });
    post(&town, 0, "/stream/x", "harmful-1", HARMFUL);
    post(&town, 1, "/stream/x", "other", b"another body");
    post_stream(town.addr(1), "/stream/x", "third").expect("an answer");
    let fingerprint = |number: usize, id: &str| {
        let mut found = None;
        eventually("the request is in the log", || {
            let lines = town.boxes[number].request_lines(id);
            let admitted = lines.iter().find(|line| line["event"] == "admitted");
            found = admitted.and_then(|line| Some(line["fingerprint"].as_str()?.to_owned()));
            found.is_some()
        });
        found.expect("a fingerprint")
    };
    let harmful = fingerprint(0, "harmful-1");
    let all: HashSet<String> = [
        harmful.clone(),
        fingerprint(1, "other"),
        fingerprint(1, "third"),
    ]
    .into();
    assert_eq!(all.len(), 3, "other bodies are other requests");
    post(&town, 1, "/stream/x", "harmful-2", HARMFUL);
    assert_eq!(fingerprint(1, "harmful-2"), harmful);
    eventually("the ends are in the log", || {
        let ended = town.boxes[0].event_lines("upstream_ended");
        let names = |line: &serde_json::Value| line["fingerprints"][0] == harmful.as_str();
        ended.iter().any(names)
    });
    drop(engines);
}

macro_rules! one_box {
    ($($name:ident: $pool:expr, $path:expr, $act:expr, tries $tries:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut town = TestCluster::start(Path::new(BINARY));
            let upstreams = fragile(&mut town, $pool, $act);
            town.add_box("hall-a");
            for n in 0..$tries {
                post(&town, 0, $path, &format!("first-{n}"), HARMFUL);
            }
            assert_eq!(harmful_sends(&upstreams), ENDS);
            eventually("it is refused", || {
                is_quarantined(post(&town, 0, $path, "again", HARMFUL))
            });
            assert_eq!(harmful_sends(&upstreams), ENDS);
            // Whoever else comes is served.
            let other = post(&town, 0, $path, "harmless", b"another body").expect("an answer");
            assert_eq!((other.status, other.is_complete), (200, true));
        }
    )*};
}

one_box! {
    a_stream_that_ends_three_engines_is_sent_no_more: "engines", "/stream/x", STREAM_THAT_ENDS, tries 1;
    a_stream_that_ends_them_before_its_first_event_is_sent_no_more: "engines", "/stream/x", UpstreamAction::Exit { after_events: 0 }, tries 1;
    a_call_that_may_not_be_repeated_is_sent_no_more_after_three_tries: "services", "/unsafe/x", UpstreamAction::Exit { after_events: 0 }, tries 3;
}

/// Tries of a caller after which it gives up.
const MOST_TRIES: usize = 40;

/// Sends the harmful request until it is refused, to each of these boxes in turn.
fn post_until_refused(town: &TestCluster, boxes: &[usize], path: &str, pause: Duration) {
    let is_refused = |n: usize| {
        let number = boxes[n % boxes.len()];
        let reply = post(town, number, path, &format!("try-{n}"), HARMFUL);
        thread::sleep(pause);
        is_quarantined(reply)
    };
    assert!((0..MOST_TRIES).any(is_refused), "it is not refused");
}

// Guards against sending a request on while it is not known whether the upstreams at which its connections broke have
// ended: their listeners still accept connections that nobody reads.
macro_rules! listeners_that_linger {
    ($($name:ident: $pool:expr, $path:expr, $act:expr, linger_ms $linger_ms:expr, boxes $boxes:expr, pause $pause:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut town = TestCluster::start(Path::new(BINARY));
            let upstreams = fragile(&mut town, $pool, $act);
            for upstream in &upstreams {
                upstream.set_listener_linger_ms($linger_ms);
            }
            for hall in &["hall-a", "hall-a", "hall-b"][..$boxes] {
                town.add_box(hall);
            }
            let boxes: Vec<usize> = (0..$boxes).collect();
            post_until_refused(&town, &boxes, $path, $pause);
            assert_eq!(harmful_sends(&upstreams), ENDS);
            for number in 0..$boxes {
                let other = post(&town, number, $path, "harmless", b"another body").expect("an answer");
                assert_eq!((other.status, other.is_complete), (200, true));
            }
        }
    )*};
}

const AT_ONCE: Duration = Duration::ZERO;
const BEFORE_ITS_HEAD: UpstreamAction = UpstreamAction::Exit { after_events: 0 };

listeners_that_linger! {
    a_stream_lost_before_its_head_whose_listeners_linger_3_ms: "engines", "/stream/x", BEFORE_ITS_HEAD, linger_ms 3, boxes 1, pause AT_ONCE;
    a_stream_lost_before_its_head_whose_listeners_linger_20_ms: "engines", "/stream/x", BEFORE_ITS_HEAD, linger_ms 20, boxes 1, pause AT_ONCE;
    a_stream_lost_before_its_head_whose_listeners_linger_80_ms: "engines", "/stream/x", BEFORE_ITS_HEAD, linger_ms 80, boxes 1, pause AT_ONCE;
    a_stream_lost_before_its_head_whose_listeners_linger_500_ms: "engines", "/stream/x", BEFORE_ITS_HEAD, linger_ms 500, boxes 1, pause AT_ONCE;
    a_stream_lost_behind_an_event_whose_listeners_linger_3_ms: "engines", "/stream/x", STREAM_THAT_ENDS, linger_ms 3, boxes 1, pause AT_ONCE;
    a_stream_lost_behind_an_event_whose_listeners_linger_80_ms: "engines", "/stream/x", STREAM_THAT_ENDS, linger_ms 80, boxes 1, pause AT_ONCE;
    a_stream_lost_behind_an_event_whose_listeners_linger_500_ms: "engines", "/stream/x", STREAM_THAT_ENDS, linger_ms 500, boxes 1, pause AT_ONCE;
    a_call_that_may_not_be_repeated_whose_listeners_linger_3_ms: "services", "/unsafe/x", BEFORE_ITS_HEAD, linger_ms 3, boxes 1, pause AT_ONCE;
    a_call_that_may_not_be_repeated_whose_listeners_linger_80_ms: "services", "/unsafe/x", BEFORE_ITS_HEAD, linger_ms 80, boxes 1, pause AT_ONCE;
    a_call_that_may_not_be_repeated_whose_listeners_linger_500_ms: "services", "/unsafe/x", BEFORE_ITS_HEAD, linger_ms 500, boxes 1, pause AT_ONCE;
    a_call_that_may_be_repeated_whose_listeners_linger_80_ms: "services", "/safe/x", BEFORE_ITS_HEAD, linger_ms 80, boxes 1, pause AT_ONCE;
    a_stream_at_three_boxes_whose_listeners_linger_80_ms: "engines", "/stream/x", BEFORE_ITS_HEAD, linger_ms 80, boxes 3, pause COMES_AGAIN_AFTER;
    a_call_at_three_boxes_whose_listeners_linger_80_ms: "services", "/unsafe/x", BEFORE_ITS_HEAD, linger_ms 80, boxes 3, pause COMES_AGAIN_AFTER;
    a_call_at_three_boxes_whose_listeners_linger_500_ms: "services", "/unsafe/x", BEFORE_ITS_HEAD, linger_ms 500, boxes 3, pause COMES_AGAIN_AFTER;
}

/// Sends the harmful request and disconnects after a while.
fn post_and_leave(town: &TestCluster, path: &str, id: &str, after: Duration) {
    let auth = format!("Bearer {KEY}");
    let headers = [
        ("ivyweir-request-id", id),
        ("authorization", auth.as_str()),
        ("ivyweir-model", "*"),
    ];
    let connection = KeptConnection::open(town.addr(0)).expect("the box listens");
    let body = Bytes::from_static(HARMFUL);
    connection
        .call_and_leave("POST", path, &headers, body, after)
        .expect("a valid request");
}

// Guards against forgetting a request whose caller left before its upstream ended.
macro_rules! callers_that_leave {
    ($($name:ident: $pool:expr, $path:expr, after_ms $after_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut town = TestCluster::start(Path::new(BINARY));
            let upstreams = fragile(&mut town, $pool, UpstreamAction::ExitLater { after_ms: 40 });
            town.add_box("hall-a");
            for n in 0..ENDS {
                post_and_leave(&town, $path, &format!("leaves-{n}"), Duration::from_millis($after_ms));
                thread::sleep(COMES_AGAIN_AFTER);
            }
            assert_eq!(harmful_sends(&upstreams), ENDS);
            assert!(is_quarantined(post(&town, 0, $path, "again", HARMFUL)));
            assert_eq!(harmful_sends(&upstreams), ENDS);
        }
    )*};
}

callers_that_leave! {
    a_stream_whose_caller_leaves_before_its_upstream_ends: "engines", "/stream/x", after_ms 20;
    a_call_whose_caller_leaves_before_its_upstream_ends: "services", "/unsafe/x", after_ms 20;
    a_call_whose_caller_leaves_about_when_its_upstream_ends: "services", "/unsafe/x", after_ms 40;
}

/// Guards against losing the ends that a box sees last before it stops.
#[test]
fn ends_seen_by_boxes_that_stop_are_added_up() {
    let mut town = TestCluster::start(Path::new(BINARY));
    // Upstreams end later than a box that stops goes on accepting requests.
    let ends_later = UpstreamAction::ExitLater { after_ms: 1_700 };
    let services = fragile(&mut town, "services", ends_later);
    for service in &services {
        service.set_listener_linger_ms(20);
    }
    for hall in ["hall-a", "hall-a", "hall-b"] {
        town.add_box(hall);
    }
    for number in 0..2 {
        thread::scope(|scope| {
            let town = &town;
            scope.spawn(move || post(town, number, "/unsafe/x", "first", HARMFUL));
            thread::sleep(Duration::from_millis(50));
            town.boxes[number].signal("TERM");
        });
        let stopped = town.boxes[number].wait_exit(Duration::from_secs(10));
        assert_eq!(stopped, Some(0));
    }
    post_until_refused(&town, &[2], "/unsafe/x", COMES_AGAIN_AFTER);
    assert_eq!(harmful_sends(&services), ENDS);
}

/// Guards against serving a quarantined request at a box that has just started and has no report of another one yet.
#[test]
fn a_box_that_starts_refuses_at_once_what_others_refuse() {
    let halls = ["hall-a", "hall-a", "hall-b"];
    let mut town = TestCluster::start(Path::new(BINARY));
    let engines = fragile(&mut town, "engines", STREAM_THAT_ENDS);
    for hall in halls {
        town.add_box(hall);
    }
    post_until_refused(&town, &[0], "/stream/x", AT_ONCE);
    for number in 0..halls.len() {
        eventually("the box refuses it", || {
            !town.boxes[number].event_lines("quarantined").is_empty()
        });
    }
    for (number, hall) in halls.iter().enumerate() {
        town.restart_box(number, hall);
        // A request that comes before the box knows its configuration waits for that.
        let reply = post(&town, number, "/stream/x", "again", HARMFUL);
        assert!(is_quarantined(reply), "box {number}");
    }
    assert_eq!(harmful_sends(&engines), ENDS);
}

#[test]
fn other_boxes_refuse_what_ended_upstreams_of_one() {
    let mut town = TestCluster::start(Path::new(BINARY));
    let engines = fragile(&mut town, "engines", STREAM_THAT_ENDS);
    for hall in ["hall-a", "hall-a", "hall-b"] {
        town.add_box(hall);
    }
    post(&town, 0, "/stream/x", "first", HARMFUL);
    assert_eq!(harmful_sends(&engines), ENDS);
    for number in 0..3 {
        eventually("the box has heard", || {
            let known = town.boxes[number].event_lines("quarantined");
            !known.is_empty()
        });
    }
    for number in 0..3 {
        let id = format!("again-{number}");
        assert!(is_quarantined(post(
            &town,
            number,
            "/stream/x",
            &id,
            HARMFUL
        )));
    }
    assert_eq!(harmful_sends(&engines), ENDS);
}

#[test]
fn ends_seen_by_several_boxes_are_added_up() {
    let mut town = TestCluster::start(Path::new(BINARY));
    let services = fragile(
        &mut town,
        "services",
        UpstreamAction::Exit { after_events: 0 },
    );
    for hall in ["hall-a", "hall-a", "hall-b"] {
        town.add_box(hall);
    }
    for number in 0..3 {
        post(&town, number, "/unsafe/x", "first", HARMFUL);
        // Ends at one moment would be one loss of many upstreams.
        thread::sleep(COMES_AGAIN_AFTER);
    }
    assert_eq!(harmful_sends(&services), ENDS);
    for number in 0..3 {
        eventually("the box has heard", || {
            let known = town.boxes[number].event_lines("quarantined");
            !known.is_empty()
        });
        assert!(is_quarantined(post(
            &town,
            number,
            "/unsafe/x",
            "again",
            HARMFUL
        )));
    }
    assert_eq!(harmful_sends(&services), ENDS);
}

/// A town of one box in which the harmful request is quarantined and kept.
fn quarantined_town() -> (TestCluster, Vec<ScriptedUpstream>) {
    let mut town = TestCluster::start(Path::new(BINARY));
    let engines = fragile(&mut town, "engines", STREAM_THAT_ENDS);
    town.add_box("hall-a");
    post(&town, 0, "/stream/x", "first", HARMFUL);
    assert_eq!(harmful_sends(&engines), ENDS);
    eventually("the store keeps it", || town.store.quarantines().len() == 1);
    (town, engines)
}

#[test]
fn a_quarantine_outlasts_all_boxes() {
    let (mut town, engines) = quarantined_town();
    town.boxes[0].kill();
    town.boxes.clear();
    town.add_box("hall-a");
    eventually("the box has heard", || {
        let known = town.boxes[0].event_lines("quarantined");
        !known.is_empty()
    });
    assert!(is_quarantined(post(
        &town,
        0,
        "/stream/x",
        "again",
        HARMFUL
    )));
    assert_eq!(harmful_sends(&engines), ENDS);
}

#[test]
fn operators_lift_a_quarantine_by_removing_its_record() {
    let (town, engines) = quarantined_town();
    town.store.lift_quarantines();
    for engine in &engines {
        engine.set_action_for_body(
            HARMFUL,
            UpstreamAction::Stream {
                events: 3,
                gap_ms: 5,
                truncate_after: None,
                confidence: None,
            },
        );
    }
    eventually("it is served again", || {
        let reply = post(&town, 0, "/stream/x", "again", HARMFUL);
        reply.is_some_and(|reply| reply.status == 200 && reply.is_complete)
    });
}

/// Guards against treating a record lost in a store restore as one that an operator removed.
#[test]
fn a_quarantine_that_a_restored_store_lost_is_kept_again() {
    let (town, engines) = quarantined_town();
    town.store.restore();
    town.store.replay_lost_writes();
    eventually("the store keeps it", || town.store.quarantines().len() == 1);
    let ended = town.boxes[0].event_lines("quarantine_ended");
    assert!(ended.is_empty(), "{ended:?}");
    eventually("the box refuses it", || {
        is_quarantined(post(&town, 0, "/stream/x", "again", HARMFUL))
    });
    assert_eq!(harmful_sends(&engines), ENDS);
}

/// Guards against taking a record for removed by an operator that a late, unanswered call of the box removed.
#[test]
fn a_removal_that_the_store_applies_late_does_not_lift_a_later_quarantine() {
    let mut town = TestCluster::start(Path::new(BINARY));
    let slow = UpstreamAction::Stream {
        events: 60,
        gap_ms: 50,
        truncate_after: None,
        confidence: None,
    };
    let engines = fragile(&mut town, "engines", slow);
    town.add_box("hall-a");
    let town = &town;
    let quarantine = || {
        let mut tries = 0;
        eventually("the store keeps a quarantine", || {
            tries += 1;
            post(town, 0, "/stream/x", &format!("try-{tries}"), HARMFUL);
            town.store.quarantines().len() == 1
        });
    };
    thread::scope(|scope| {
        scope.spawn(|| post(town, 0, "/stream/x", "slow", HARMFUL));
        eventually("it runs", || harmful_sends(&engines) == 1);
        for engine in &engines {
            let act = if engine.received_requests().is_empty() {
                STREAM_THAT_ENDS
            } else {
                UpstreamAction::NotRun
            };
            engine.set_action_for_body(HARMFUL, act);
        }
        town.store.hold_removals(true);
        quarantine();
    });
    // The stream that was running before has ended well, which ends the quarantine.
    eventually("the box removes the record", || {
        town.store.held_removals() == 1
    });
    town.store.hold_removals(false);
    eventually("the record is removed", || {
        town.store.quarantines().is_empty()
    });
    quarantine();
    town.store.apply_held_removals();
    assert!(town.store.quarantines().is_empty());
    let ended = || town.boxes[0].event_lines("quarantine_ended").len();
    eventually("the box sees that the record is missing", || {
        ended() > 1 || town.store.quarantines().len() == 1
    });
    assert_eq!(ended(), 1);
    assert!(is_quarantined(post(town, 0, "/stream/x", "again", HARMFUL)));
}
