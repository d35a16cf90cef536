//! The whole path: callers, boxes, engines, services and the bill.

use attohttpc::Method;
use ivyweir_standins::cluster::{
    Cluster, ClusterSpec, SERVICES, fast_engine_options, workspace_key,
};
use ivyweir_standins::{Caller, wait_until};

const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");

fn world(halls: &[&'static str]) -> Cluster {
    let engine = || fast_engine_options(&[("notes@v1", 0.8), ("notes@v2", 0.9), ("tags@v1", 0.4)]);
    let world = ClusterSpec::new(BINARY, halls, vec![engine(), engine()])
        .start()
        .expect("the world starts");
    let versions = [
        ("notes@v1", 4_000, 0.9),
        ("notes@v2", 4_000, 0.9),
        ("tags@v1", 500, 0.5),
    ];
    world.configure(&versions, &[("studio", 0.8, 1)]);
    world.apply_intent(
        0,
        &ivyweir_policy::Intent::SetCurrent {
            at: "notes@v1".parse().expect("a version"),
        },
    );
    world
}

#[test]
fn serves_whole_streamed_sessions_and_services_and_bills_once() {
    let world = world(&["hall-a", "hall-b", "hall-c"]);
    let caller = world.caller(0, "studio");

    let whole = caller.chat("notes", "write notes for episode one", 12);
    assert_eq!((whole.status, whole.complete), (200, true), "{whole:?}");
    assert_eq!(whole.version, "notes@v1");
    assert_eq!(whole.text.split(' ').count(), 12);

    let streamed = world
        .caller(1, "studio")
        .stream("notes@v2", "write notes", 20);
    assert!(streamed.complete, "{streamed:?}");
    assert_eq!(streamed.tokens, 20);

    let token = caller.open_session().expect("a session opens");
    let in_session = world
        .caller(2, "studio")
        .in_session(&token)
        .chat("notes", "go on", 8);
    assert_eq!(in_session.version, "notes@v1");

    let path = format!("/services/{SERVICES}/sims/5?plan=a%20b");
    let served = caller
        .at_most_once("sim-5")
        .service(Method::POST, &path, "{\"sim\":5}");
    assert_eq!(served.body["line"], "POST /sims/5?plan=a%20b");
    assert_eq!(served.body["body"], "{\"sim\":5}");

    let billed = || {
        let bill = world.operator(0).bill().unwrap_or_default();
        let total = bill.workspaces.get("studio").copied().unwrap_or_default();
        total.requests == 4
    };
    wait_until("four requests are billed", billed);
    let bill = world.operator(1).bill().expect("the bill can be read");
    assert_eq!(bill.workspaces.len(), 1);
}

#[test]
fn refuses_what_is_not_allowed_before_anything_is_sent() {
    let world = world(&["hall-a"]);
    let caller = world.caller(0, "studio");
    let stranger = Caller::new(
        &world.running_box(0).caller_url(),
        &workspace_key("stranger"),
    );

    let code = |outcome: ivyweir_standins::Outcome| (outcome.status, outcome.code, outcome.run);
    let refusal = |status, code: &str| (status, code.to_owned(), "not_run".to_owned());
    assert_eq!(
        code(stranger.chat("notes", "x", 4)),
        refusal(401, "unauthenticated")
    );
    assert_eq!(
        code(caller.chat("songs", "x", 4)),
        refusal(404, "model_not_found")
    );
    assert_eq!(
        code(caller.chat("notes@v9", "x", 4)),
        refusal(404, "model_not_found")
    );
    let forged = caller.in_session("00.11");
    assert_eq!(
        code(forged.chat("notes", "x", 4)),
        refusal(401, "session_invalid")
    );
    let keyless = caller.with_header("X-Ivyweir-Repeatable", "no");
    assert_eq!(
        code(keyless.chat("notes", "x", 4)),
        refusal(400, "key_required")
    );
    let unknown = caller.service(Method::GET, "/services/nothing/x", "");
    assert_eq!(code(unknown), refusal(404, "not_found"));

    let runs: usize = world.engines.iter().map(|e| e.runs().len()).sum();
    assert_eq!(runs, 0, "nothing reached an engine");
}
