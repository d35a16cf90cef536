//! The clock counts the time of a suspension, in which the runtime's timers stand still.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ivyweir_gateway::clock::{Clock, SuspensionDetector, TimeSource};
use ivyweir_policy::gateway::cold::RecentSends;
use ivyweir_policy::gateway::freshness::FreshnessProof;

/// The time of a machine that tests suspend.
#[derive(Default)]
struct Machine(AtomicU64);

impl Machine {
    fn pass(&self, ms: u64) {
        self.0.fetch_add(ms, Ordering::Relaxed);
    }
}

impl TimeSource for Machine {
    fn elapsed(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed))
    }
}

fn machine() -> (Arc<Machine>, Clock) {
    let machine = Arc::new(Machine::default());
    machine.pass(70_000);
    let clock = Clock::with_source(machine.clone());
    (machine, clock)
}

#[test]
fn a_proof_is_as_old_as_the_suspension_made_it() {
    let (machine, clock) = machine();
    let mut proof = FreshnessProof::default();
    proof.renew(clock.now_ms().cast_signed());
    // A key may be withdrawn meanwhile; the bound on that is 5 s.
    machine.pass(4_900);
    assert!(!proof.is_younger_than(4_700, clock.now_ms()));
    assert_eq!(proof.age_ms(clock.now_ms()), Some(4_900));
}

#[test]
fn what_was_sent_before_a_suspension_is_past() {
    let (machine, clock) = machine();
    let mut sends = RecentSends::default();
    sends.record(clock.now_ms());
    machine.pass(3_000);
    assert_eq!(sends.count(clock.now_ms()), 0);
}

#[test]
fn a_deadline_that_passed_in_suspension_is_due_at_once() {
    let (machine, clock) = machine();
    let deadline_ms = clock.now_ms() + 1_000;
    let before = tokio::time::Instant::now();
    assert!(clock.instant(deadline_ms) >= before + Duration::from_millis(1_000));
    machine.pass(5_000);
    assert!(clock.instant(deadline_ms) <= tokio::time::Instant::now());
}

#[test]
fn a_suspension_is_noticed_once_and_a_pause_is_none() {
    let (machine, clock) = machine();
    let mut suspension = SuspensionDetector::start(&clock);
    assert_eq!(suspension.poll(&clock), None);
    machine.pass(6_000);
    let lasted_ms = suspension.poll(&clock).expect("a suspension");
    assert!((5_000..=6_000).contains(&lasted_ms), "{lasted_ms} ms");
    assert_eq!(suspension.poll(&clock), None);
}

#[test]
fn the_machines_own_time_goes_on() {
    let clock = Clock::start();
    let first_ms = clock.now_ms();
    std::thread::sleep(Duration::from_millis(20));
    assert!(clock.now_ms() >= first_ms + 20);
}
