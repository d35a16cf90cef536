//! The clock includes the time for which the machine is suspended, while the runtime's timers do not
//! advance.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ivyweir_gateway::clock::{Clock, SuspensionDetector, TimeSource};
use ivyweir_policy::gateway::cold::RecentSends;
use ivyweir_policy::gateway::freshness::{FreshnessProof, ProofTime};

/// Time source that advances only on demand, to simulate suspensions.
#[derive(Default)]
struct ManualTimeSource(AtomicU64);

impl ManualTimeSource {
    fn advance(&self, ms: u64) {
        self.0.fetch_add(ms, Ordering::Relaxed);
    }
}

impl TimeSource for ManualTimeSource {
    fn elapsed(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed))
    }
}

fn manual_clock() -> (Arc<ManualTimeSource>, Clock) {
    let source = Arc::new(ManualTimeSource::default());
    source.advance(70_000);
    let clock = Clock::with_source(source.clone());
    (source, clock)
}

#[test]
fn a_proof_is_as_old_as_the_suspension_made_it() {
    let (source, clock) = manual_clock();
    let mut proof = FreshnessProof::default();
    proof.renew(ProofTime::of_read(clock.now_ms()));
    // A key may be revoked during the suspension; this must take effect within 5 s.
    source.advance(4_900);
    assert!(!proof.is_younger_than(4_700, clock.now_ms()));
    assert_eq!(proof.age_ms(clock.now_ms()), Some(4_900));
}

#[test]
fn what_was_sent_before_a_suspension_is_past() {
    let (source, clock) = manual_clock();
    let mut sends = RecentSends::default();
    sends.record(clock.now_ms());
    source.advance(3_000);
    assert_eq!(sends.count(clock.now_ms()), 0);
}

#[test]
fn a_deadline_that_passed_in_suspension_is_due_at_once() {
    let (source, clock) = manual_clock();
    let deadline_ms = clock.now_ms() + 1_000;
    let before = tokio::time::Instant::now();
    assert!(clock.instant(deadline_ms) >= before + Duration::from_millis(1_000));
    source.advance(5_000);
    assert!(clock.instant(deadline_ms) <= tokio::time::Instant::now());
}

#[test]
fn a_suspension_is_noticed_once_and_a_pause_is_none() {
    let (source, clock) = manual_clock();
    let mut suspension = SuspensionDetector::start(&clock);
    assert_eq!(suspension.poll(&clock), None);
    source.advance(6_000);
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
