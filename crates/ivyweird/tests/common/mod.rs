//! What the tests with real boxes share.
#![allow(dead_code)]

pub mod cut_box;
pub mod soak;
pub mod steady_callers;

use ivyweir_operator::Client;
use ivyweir_policy::{Intent, VersionRef};
use ivyweir_standins::cluster::{Cluster, ClusterSpec, fast_engine_options};
use ivyweir_standins::wait_until;

/// The daemon under test.
pub const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");

/// Versions, prices and expected qualities of every test world.
pub const VERSIONS: [(&str, u64, f64); 3] = [
    ("notes@v1", 4_000, 0.9),
    ("notes@v2", 4_000, 0.9),
    ("tags@v1", 500, 0.5),
];

/// A world of boxes in these halls before two engines, not yet started.
pub fn spec(halls: &[&'static str]) -> ClusterSpec {
    let engine = || fast_engine_options(&[("notes@v1", 0.9), ("notes@v2", 0.9), ("tags@v1", 0.4)]);
    ClusterSpec::new(BINARY, halls, vec![engine(), engine()])
}

/// Starts a world and configures one workspace, `studio`.
pub fn start(spec: ClusterSpec) -> Cluster {
    let world = spec.start().expect("the world starts");
    world.configure(&VERSIONS, &[("studio", 0.8, 1)]);
    set_current(&world, "notes@v1");
    world
}

/// A world of three boxes in three halls.
pub fn three() -> Cluster {
    start(spec(&["hall-a", "hall-b", "hall-c"]))
}

/// A version by its text.
pub fn at(text: &str) -> VersionRef {
    text.parse().expect("model@version")
}

/// Makes a version current and waits until that is in force.
pub fn set_current(world: &Cluster, version: &str) {
    let generation = world.apply_intent(0, &Intent::SetCurrent { at: at(version) });
    world.wait_for_generation(generation);
}

/// An event of nobody, for changes that touch nothing else.
pub fn event(name: &str) -> Intent {
    Intent::CreateEvent {
        name: name.into(),
        start_ms: 1,
        workspaces: vec![],
    }
}

/// Requests that the bill shows for `studio`.
pub fn billed(operator: &Client) -> u64 {
    let bill = operator.bill().unwrap_or_default();
    bill.workspaces.get("studio").map_or(0, |t| t.requests)
}

/// Waits until the bill shows so many requests, and checks that it shows no more then.
pub fn wait_billed(world: &Cluster, at: usize, requests: u64) {
    let operator = world.operator(at);
    wait_until(
        &format!("{requests} requests are billed, now {}", billed(&operator)),
        || billed(&operator) >= requests,
    );
    assert_eq!(billed(&operator), requests);
}
