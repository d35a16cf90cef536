//! Answers without a length whose upstreams terminate, as planned or not.

mod common;

use std::thread;
use std::time::Duration;

use ivyweir_standins::edge::{
    BodyFraming, EventScript, KEY, Reply, ScriptedUpstream, TestCluster, UpstreamAction,
    eventually, post_stream, site_config_with_once,
};

use common::BINARY;

const EVENTS: u64 = 10;
/// Stream route whose streams may be resumed.
const RESUMED: &str = "/stream/x";
/// Stream route whose requests may not be repeated.
const ONCE: &str = "/once/x";
const SAFE: &str = "/safe/x";
const UNSAFE: &str = "/unsafe/x";
/// Time for which a listener accepts connections behind the end of all others.
const TEARDOWN_MS: u64 = 10;

/// Why an upstream terminates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Plan {
    /// Its record was removed.
    Departure,
    /// A roll-out replaced its version.
    Replacement,
    /// Unplanned.
    Crash,
}

fn cluster() -> TestCluster {
    let mut cluster = TestCluster::start(BINARY);
    let site = site_config_with_once(2, &[KEY]);
    cluster.store.put_site(&site);
    cluster.add_box("hall-a");
    cluster
}

fn script(gap_ms: u64) -> EventScript {
    EventScript {
        gap_ms,
        framing: BodyFraming::Connection,
        ..EventScript::whole(EVENTS)
    }
}

/// Waits until one of these upstreams serves the request.
fn serving(upstreams: &[ScriptedUpstream]) -> &ScriptedUpstream {
    eventually("an upstream serves the request", || {
        upstreams.iter().any(|u| u.active_requests() == 1)
    });
    let serving = upstreams.iter().find(|u| u.active_requests() == 1);
    serving.expect("one serves it")
}

/// Sends a request whose upstream terminates in the middle of its answer.
fn ask_as_upstream_ends(
    cluster: &TestCluster,
    path: &'static str,
    plan: Plan,
    linger_ms: u64,
) -> Reply {
    let is_stream = [RESUMED, ONCE].contains(&path);
    let (pool, upstreams) = if is_stream {
        ("engines", &cluster.engines)
    } else {
        ("services", &cluster.services)
    };
    for upstream in upstreams {
        upstream.set_action(UpstreamAction::Events(script(1)));
        upstream.set_next_actions(vec![UpstreamAction::Events(script(200))]);
        upstream.set_listener_linger_ms(linger_ms);
    }
    let addr = cluster.addr(0);
    let caller = thread::spawn(move || post_stream(addr, path, "r1").expect("a head"));
    let upstream = serving(upstreams);
    for other in upstreams.iter().filter(|u| u.id() != upstream.id()) {
        other.set_next_actions(Vec::new());
    }
    thread::sleep(Duration::from_millis(300));
    match plan {
        Plan::Departure => {
            cluster.store.put_upstream(&upstream.leaving_record());
            eventually("the box knows that it leaves", || {
                let lines = cluster.boxes[0].event_lines("upstream_changed");
                let mut own = lines.iter().filter(|l| l["upstream"] == *upstream.id());
                own.any(|line| line["change"] == "Leaving")
            });
            cluster.store.remove_upstream(upstream.record().name());
            thread::sleep(Duration::from_millis(200));
        }
        Plan::Replacement => {
            let new = ScriptedUpstream::start_on_own_ip("new", pool, "v2");
            new.set_action(UpstreamAction::Events(script(1)));
            cluster.store.put_upstream(&new.record());
            cluster.store.complete_rollout(pool, "v2");
            eventually("the box knows the version", || {
                cluster.boxes[0].log().contains("completed")
                    || cluster.boxes[0].log().contains("Completed")
            });
        }
        Plan::Crash => {}
    }
    upstream.exit();
    caller.join().expect("the caller does not panic")
}

macro_rules! ends {
    ($($name:ident: $path:expr, $plan:ident, listener closes after $linger_ms:expr => $status:expr, complete $is_complete:expr;)*) => {$(
        /// Guards against part of an answer that passes for the whole one where its upstream terminates.
        #[test]
        fn $name() {
            let cluster = cluster();
            let reply = ask_as_upstream_ends(&cluster, $path, Plan::$plan, $linger_ms);
            assert_eq!((reply.status, reply.is_complete), ($status, $is_complete), "{}", reply.text());
            let whole = script(1).text_up_to(EVENTS);
            if $status == 200 && $is_complete {
                assert_eq!(reply.text(), whole);
            } else if $status == 200 {
                assert!(whole.starts_with(&reply.text()));
            }
        }
    )*};
}

ends! {
    a_stream_cut_by_a_departure_is_resumed: RESUMED, Departure, listener closes after 0 => 200, complete true;
    a_stream_cut_by_a_roll_out_is_resumed: RESUMED, Replacement, listener closes after 0 => 200, complete true;
    a_stream_cut_by_a_crash_is_resumed_though_connections_are_still_accepted: RESUMED, Crash, listener closes after TEARDOWN_MS => 200, complete true;
    a_stream_cut_by_a_departure_is_broken_off: ONCE, Departure, listener closes after 0 => 200, complete false;
    a_stream_cut_by_a_roll_out_is_broken_off: ONCE, Replacement, listener closes after 0 => 200, complete false;
    a_stream_cut_by_a_roll_out_is_broken_off_though_connections_are_still_accepted: ONCE, Replacement, listener closes after TEARDOWN_MS => 200, complete false;
    a_stream_cut_by_a_crash_is_broken_off_though_connections_are_still_accepted: ONCE, Crash, listener closes after TEARDOWN_MS => 200, complete false;
    an_unsafe_answer_cut_by_a_departure_is_lost: UNSAFE, Departure, listener closes after 0 => 502, complete true;
    an_unsafe_answer_cut_by_a_roll_out_is_lost: UNSAFE, Replacement, listener closes after 0 => 502, complete true;
    an_unsafe_answer_cut_by_a_crash_is_lost_though_connections_are_still_accepted: UNSAFE, Crash, listener closes after TEARDOWN_MS => 502, complete true;
    a_safe_answer_cut_by_a_departure_is_asked_again: SAFE, Departure, listener closes after 0 => 200, complete true;
    a_safe_answer_cut_by_a_roll_out_is_asked_again: SAFE, Replacement, listener closes after 0 => 200, complete true;
    a_safe_answer_cut_by_a_crash_is_asked_again_though_connections_are_still_accepted: SAFE, Crash, listener closes after TEARDOWN_MS => 200, complete true;
}
