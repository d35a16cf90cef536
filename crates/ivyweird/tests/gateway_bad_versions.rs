//! Roll-outs of versions whose answers do not arrive.

mod common;

use std::sync::atomic::{AtomicU64, Ordering};

use ivyweir_policy::gateway::rollout::RolloutState;
use ivyweir_standins::edge::{
    BodyEnd, EventScript, KEY, ScriptedUpstream, TestCluster, UpstreamAction, call, eventually,
};

use common::BINARY;

const DURATION_MS: u64 = 5_000;
/// Requests behind the end of a roll-out.
const REQUESTS_AFTER: usize = 20;

/// A box before a pool that is being moved to `v2`, served by two more upstreams that do `act`.
fn rolling(pool: &str, act: &UpstreamAction) -> (TestCluster, Vec<ScriptedUpstream>) {
    let town = TestCluster::with_boxes(BINARY, &["hall-a"]);
    let whole = UpstreamAction::Events(stream());
    for engine in &town.engines {
        engine.set_action(whole.clone());
    }
    let start = |n: usize| ScriptedUpstream::start_on_own_ip(&format!("new-{n}"), pool, "v2");
    let new: Vec<_> = (0..2).map(start).collect();
    for upstream in &new {
        upstream.set_action(act.clone());
        town.store.put_upstream(&upstream.record());
    }
    town.store.order_rollout(pool, "v2", DURATION_MS);
    (town, new)
}

/// Sends a request that its caller waits for only shortly.
fn ask(town: &TestCluster, path: &str) {
    static REQUESTS: AtomicU64 = AtomicU64::new(0);
    let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
    let (id, auth) = (format!("r{number}"), format!("Bearer {KEY}"));
    let headers = [
        ("ivyweir-request-id", id.as_str()),
        ("ivyweir-budget-ms", "400"),
        ("authorization", auth.as_str()),
    ];
    // Neither a failure nor a broken connection matters to this caller.
    let _ignored = call(town.addr(0), "POST", path, &headers, id.clone().into());
}

/// Sends requests until the roll-out is over, and returns its state.
fn state_at_end(town: &TestCluster, pool: &str, path: &str) -> RolloutState {
    let state = || town.store.rollout_state(pool).expect("a roll-out");
    eventually("the roll-out is over", || {
        ask(town, path);
        state().is_over()
    });
    state()
}

/// A stream whose pace does not depend on the test machine.
fn stream() -> EventScript {
    EventScript {
        gap_ms: 20,
        ..EventScript::whole(3)
    }
}

fn cut(end: BodyEnd, is_torn: bool) -> UpstreamAction {
    UpstreamAction::Events(EventScript {
        last_sent: Some(1),
        is_torn,
        end,
        ..stream()
    })
}

macro_rules! versions {
    ($($name:ident: $pool:expr, $path:expr, $act:expr => $state:ident;)*) => {$(
        /// Guards against a version that is completed though its answers are cut, lost or never come.
        #[test]
        fn $name() {
            let (town, new) = rolling($pool, &$act);
            assert_eq!(state_at_end(&town, $pool, $path), RolloutState::$state);
            // A good version may be judged by one upstream, and gets all work now.
            (0..REQUESTS_AFTER).for_each(|_| ask(&town, $path));
            assert!(new.iter().all(|upstream| !upstream.received_requests().is_empty()));
        }
    )*};
}

versions! {
    a_version_that_cuts_plain_answers_is_rolled_back: "services", "/unsafe/x", UpstreamAction::TruncateBody => RolledBack;
    a_version_that_cuts_safe_answers_is_rolled_back: "services", "/safe/x", UpstreamAction::TruncateBody => RolledBack;
    a_version_that_loses_answers_is_rolled_back: "services", "/unsafe/x", UpstreamAction::Close => RolledBack;
    a_version_that_never_answers_is_rolled_back: "services", "/unsafe/x", UpstreamAction::Hang => RolledBack;
    a_version_that_answers_other_requests_is_rolled_back: "services", "/unsafe/x", UpstreamAction::WrongId => RolledBack;
    a_version_that_does_not_sign_is_rolled_back: "services", "/unsafe/x", UpstreamAction::Unsigned => RolledBack;
    a_version_that_cuts_streams_is_rolled_back: "engines", "/stream/x", cut(BodyEnd::Reset, false) => RolledBack;
    a_version_that_ends_streams_inside_an_event_is_rolled_back: "engines", "/stream/x", cut(BodyEnd::Framed, true) => RolledBack;
    a_version_that_loses_streams_is_rolled_back: "engines", "/stream/x", UpstreamAction::Close => RolledBack;
    a_version_that_fails_is_rolled_back: "services", "/unsafe/x", UpstreamAction::Answer(500) => RolledBack;
    a_version_whose_status_http_does_not_define_is_rolled_back: "services", "/unsafe/x", UpstreamAction::Answer(600) => RolledBack;
    a_version_whose_status_is_undefined_for_safe_requests_is_rolled_back: "services", "/safe/x", UpstreamAction::Answer(999) => RolledBack;
    a_version_whose_status_is_undefined_for_streams_is_rolled_back: "engines", "/stream/x", UpstreamAction::Answer(700) => RolledBack;
    a_version_that_answers_is_completed: "services", "/unsafe/x", UpstreamAction::Answer(200) => Completed;
    a_version_that_refuses_as_not_found_is_completed: "services", "/unsafe/x", UpstreamAction::Answer(404) => Completed;
    a_version_that_streams_is_completed: "engines", "/stream/x", UpstreamAction::Events(stream()) => Completed;
}
