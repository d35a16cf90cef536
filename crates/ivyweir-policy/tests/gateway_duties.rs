//! Mutual exclusion of the duty lease, checked on the calls that reach the platform. Boxes are killed, suspended,
//! cut off from the store or compete for the duties; the store rejects calls, does not respond, applies a write
//! seconds after losing its response, or is restored from a backup.

use std::collections::BTreeMap;

use ivyweir_policy::gateway::duty::lease::{Lease, LeaseConfig, LeaseStep};
use ivyweir_policy::gateway::duty::scaling::UpstreamOrder;
use ivyweir_policy::gateway::duty::{DutyRecord, StoredDuties};
use ivyweir_standins::edge::{DutyCall, DutyInvariant};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const LEASE_CONFIG: LeaseConfig = LeaseConfig {
    lease_ms: 3_000,
    call_ms: 1_000,
};
const STEP_MS: u64 = 50;
/// Time after the end of a suspension in which the calls of a box are excused.
const RESUME_GRACE_MS: u64 = 300;

/// A write that the store applies at `at_ms` if its revision condition holds then.
struct PendingWrite {
    at_ms: u64,
    record: DutyRecord,
    revision: Option<u64>,
}

#[derive(Default)]
struct Store {
    stored: Option<StoredDuties>,
    revision: u64,
    pending_writes: Vec<PendingWrite>,
    era: u64,
    backup: (Option<StoredDuties>, u64),
}

impl Store {
    fn write(&mut self, record: DutyRecord, expected: Option<u64>) {
        if self.stored.as_ref().map(|stored| stored.revision) == expected {
            self.revision += 1;
            let revision = self.revision;
            self.stored = Some(StoredDuties { record, revision });
        }
    }

    fn back_up(&mut self) {
        self.backup = (self.stored.clone(), self.revision);
    }

    fn restore(&mut self) {
        (self.stored, self.revision) = self.backup.clone();
        self.era += 1;
    }

    fn apply_due_writes(&mut self, now_ms: u64) {
        let writes = std::mem::take(&mut self.pending_writes).into_iter();
        let (due, pending): (Vec<PendingWrite>, Vec<PendingWrite>) =
            writes.partition(|write| write.at_ms <= now_ms);
        self.pending_writes = pending;
        for write in due {
            self.write(write.record, write.revision);
        }
    }
}

/// Response of the store to the calls of a box.
#[derive(Clone, Copy, PartialEq)]
enum StoreBehavior {
    Normal,
    /// Applies nothing, with or without an error response.
    Rejects,
    /// Applies writes at once or up to 6 s later and loses every response.
    LosesResponses,
}

struct SimBox {
    number: usize,
    run: u64,
    lease: Lease,
    wants_duties: bool,
    store_behavior: StoreBehavior,
    suspended_until_ms: u64,
    down_until_ms: u64,
    next_call_ms: u64,
}

impl SimBox {
    fn new(number: usize) -> Self {
        Self {
            number,
            run: 0,
            lease: lease(number, 0),
            wants_duties: false,
            store_behavior: StoreBehavior::Normal,
            suspended_until_ms: 0,
            down_until_ms: 0,
            next_call_ms: 0,
        }
    }

    fn restart(&mut self, down_until_ms: u64) {
        self.run += 1;
        self.lease = lease(self.number, self.run);
        self.down_until_ms = down_until_ms;
    }

    fn is_running_at(&self, now_ms: u64) -> bool {
        now_ms >= self.suspended_until_ms && now_ms >= self.down_until_ms
    }

    /// Makes the store call that the lease requires now and passes the response to the lease.
    fn call_store(&mut self, store: &mut Store, now_ms: u64, rng: &mut StdRng) {
        let write = match self.lease.step(now_ms) {
            LeaseStep::Wait => return,
            LeaseStep::Read => None,
            LeaseStep::TakeOver | LeaseStep::Held => Some(self.lease.write(now_ms, |_| {})),
        };
        match (self.store_behavior, write) {
            (StoreBehavior::Rejects, _) => return,
            (StoreBehavior::LosesResponses, Some((record, revision))) => {
                let at_ms = now_ms + rng.random_range(0..6_000);
                store.pending_writes.push(PendingWrite {
                    at_ms,
                    record,
                    revision,
                });
                return;
            }
            (StoreBehavior::LosesResponses, None) => return,
            (StoreBehavior::Normal, Some((record, revision))) => store.write(record, revision),
            (StoreBehavior::Normal, None) => {}
        }
        self.lease.observe(store.stored.clone(), store.era, now_ms);
    }
}

fn lease(number: usize, run: u64) -> Lease {
    Lease::new(format!("box-{number}").into(), run, LEASE_CONFIG)
}

/// How often the simulated store is restored from a backup.
#[derive(Clone, Copy, PartialEq)]
enum Restores {
    Never,
    Random,
}

struct SimulationResult {
    calls: Vec<DutyCall>,
    holder_count: usize,
    last_call_ms: u64,
}

/// Simulates boxes that want the duties in turn, usually one and sometimes several at a time. Faults are
/// injected until `faults_end_ms`.
fn simulate(
    boxes: usize,
    seed: u64,
    faults_end_ms: u64,
    end_ms: u64,
    restores: Restores,
) -> SimulationResult {
    let mut rng = StdRng::seed_from_u64(seed);
    // A separate generator keeps the other draws of a seed the same with and without restores.
    let mut restore_rng = StdRng::seed_from_u64(seed);
    let mut store = Store::default();
    let mut fleet: Vec<SimBox> = (0..boxes).map(SimBox::new).collect();
    let mut calls: BTreeMap<(u64, usize), DutyCall> = BTreeMap::new();
    for now_ms in (0..end_ms).step_by(STEP_MS as usize) {
        store.apply_due_writes(now_ms);
        if restores == Restores::Random && now_ms < faults_end_ms && now_ms.is_multiple_of(500) {
            match restore_rng.random_range(0..20) {
                0 => store.restore(),
                1..8 => store.back_up(),
                _ => {}
            }
        }
        if now_ms.is_multiple_of(2_000) {
            let faults_ended = now_ms >= faults_end_ms;
            for sim in &mut fleet {
                sim.wants_duties = rng.random_bool(if faults_ended { 0.0 } else { 0.05 });
                sim.store_behavior = match rng.random_range(0..8) {
                    _ if faults_ended => StoreBehavior::Normal,
                    0 => StoreBehavior::Rejects,
                    1 => StoreBehavior::LosesResponses,
                    _ => StoreBehavior::Normal,
                };
                if !faults_ended && rng.random_bool(0.08) {
                    sim.suspended_until_ms = now_ms + rng.random_range(100..8_000);
                }
                if !faults_ended && rng.random_bool(0.08) {
                    sim.restart(now_ms + rng.random_range(100..3_000));
                }
            }
            let first = rng.random_range(0..boxes.min(4));
            fleet[if faults_ended { 0 } else { first }].wants_duties = true;
        }
        for sim in &mut fleet {
            if !sim.wants_duties || !sim.is_running_at(now_ms) {
                continue;
            }
            if let Some(fence) = sim.lease.fence(now_ms)
                && now_ms >= sim.next_call_ms
            {
                sim.next_call_ms = now_ms + 400;
                let at_ms = now_ms + rng.random_range(0..LEASE_CONFIG.call_ms);
                let call = DutyCall {
                    at_ms,
                    sender: format!("box-{}", sim.number).into(),
                    fence,
                    subject: "usage".into(),
                    report: None,
                    is_exempt_from_order: now_ms < sim.suspended_until_ms + RESUME_GRACE_MS,
                };
                calls.insert((at_ms, calls.len()), call);
            }
            if now_ms.is_multiple_of(500) || sim.lease.step(now_ms) == LeaseStep::TakeOver {
                sim.call_store(&mut store, now_ms, &mut rng);
            }
        }
    }
    let calls: Vec<DutyCall> = calls.into_values().collect();
    let mut holders: Vec<&str> = calls.iter().map(|call| &*call.sender).collect();
    holders.sort_unstable();
    holders.dedup();
    SimulationResult {
        holder_count: holders.len(),
        last_call_ms: calls.last().map_or(0, |call| call.at_ms),
        calls,
    }
}

macro_rules! exclusion_cases {
    ($($name:ident: $boxes:expr, seeds $seeds:expr, $restores:expr;)*) => {$(
        #[test]
        fn $name() {
            let promise = DutyInvariant { lease_ms: LEASE_CONFIG.lease_ms };
            let mut holders = 0;
            for seed in $seeds {
                let result = simulate($boxes, seed, 90_000, 110_000, $restores);
                if let Err(violation) = promise.check(&result.calls) {
                    panic!("seed {seed}: {violation}");
                }
                assert!(result.last_call_ms > 105_000, "seed {seed}: no box holds the duties");
                holders += result.holder_count;
            }
            assert!(holders > $seeds.count(), "the duties never changed hands");
        }
    )*};
}

exclusion_cases! {
    two_boxes_never_hold_the_duties_at_once: 2, seeds 0..200_u64, Restores::Never;
    nor_do_nine: 9, seeds 0..100_u64, Restores::Never;
    nor_do_eighty: 80, seeds 0..12_u64, Restores::Never;
    nor_do_a_thousand: 1_000, seeds 0..2_u64, Restores::Never;
    two_boxes_never_hold_the_duties_at_once_across_restores: 2, seeds 0..200_u64, Restores::Random;
    nine_boxes_never_hold_the_duties_at_once_across_restores: 9, seeds 0..100_u64, Restores::Random;
    eighty_boxes_never_hold_the_duties_at_once_across_restores: 80, seeds 0..12_u64, Restores::Random;
}

fn record(holder: &str, fence: u64) -> DutyRecord {
    DutyRecord {
        holder: holder.into(),
        run: 7,
        fence,
        ..DutyRecord::default()
    }
}

fn stored(record: DutyRecord, revision: u64) -> Option<StoredDuties> {
    Some(StoredDuties { record, revision })
}

#[test]
fn a_record_of_another_box_is_taken_over_only_when_it_stood_still_for_a_lease() {
    let mut lease = lease(0, 0);
    assert_eq!(lease.step(0), LeaseStep::Read);
    lease.observe(stored(record("other", 4), 10), 0, 1_000);
    assert_eq!(lease.step(4_400), LeaseStep::Wait);
    lease.observe(stored(record("other", 4), 11), 0, 4_400);
    assert_eq!(lease.step(7_800), LeaseStep::Wait);
    assert_eq!(lease.step(7_900), LeaseStep::TakeOver);
    let (written, revision) = lease.write(7_900, |_| {});
    assert_eq!((written.fence, revision), (5, Some(11)));
    assert_eq!(lease.fence(7_950), None);
    lease.observe(stored(written, 12), 0, 7_980);
    assert_eq!(lease.fence(7_980), Some(5));
    assert_eq!(lease.fence(9_900), Some(5));
    assert_eq!(lease.fence(9_901), None);
}

/// Guards against a lost response to a write that the store applied. The lease runs from the first attempt, and no
/// other record is written until that write is found in the store.
#[test]
fn a_write_whose_answer_was_lost_is_asked_for_again_as_it_was() {
    let mut lease = lease(0, 0);
    lease.observe(None, 0, 0);
    let (first, _) = lease.write(100, |record| record.fixed_window = Some(1));
    let (again, _) = lease.write(900, |record| record.fixed_window = Some(2));
    assert_eq!(first, again);
    lease.observe(None, 0, 950);
    assert_eq!(lease.write(1_000, |_| {}).0, first);
    lease.observe(stored(first, 3), 0, 1_500);
    assert_eq!(lease.fence(2_100), Some(1));
    assert_eq!(lease.fence(2_101), None);
    let (next, revision) = lease.write(2_101, |record| record.fixed_window = Some(2));
    assert_eq!((next.fixed_window, revision), (Some(2), Some(3)));
    assert_eq!((next.fence, next.renewals), (1, 1));
}

#[test]
fn a_box_that_starts_again_holds_nothing_until_it_has_waited() {
    let mut before = lease(0, 0);
    before.observe(None, 0, 0);
    let (written, _) = before.write(0, |_| {});
    let mut after = lease(0, 1);
    after.observe(stored(written, 1), 0, 100);
    assert_eq!(after.step(100), LeaseStep::Wait);
    assert_eq!(after.fence(100), None);
    assert_eq!(after.write(4_000, |_| {}).0.fence, 2);
}

#[test]
fn a_box_whose_fence_was_refused_reads_the_record_anew() {
    let mut lease = lease(0, 0);
    lease.observe(None, 0, 0);
    let (written, _) = lease.write(0, |_| {});
    lease.observe(stored(written, 1), 0, 10);
    lease.invalidate();
    assert_eq!(lease.step(20), LeaseStep::Read);
    assert_eq!(lease.fence(20), None);
    // The record was deleted in the meantime; a fence is still never issued twice.
    lease.observe(None, 0, 30);
    assert_eq!(lease.write(40, |_| {}).0.fence, 2);
}

/// The lease of a box that held the duties under fence 4 when a restore left `restored` in the store.
fn lease_after_restore(restored: Option<StoredDuties>) -> Lease {
    let mut lease = lease(0, 0);
    lease.observe(stored(record("other", 3), 4), 0, 0);
    let (written, _) = lease.write(4_000, |record| record.fixed_window = Some(8));
    lease.observe(stored(written, 5), 0, 4_010);
    assert_eq!(lease.fence(4_010), Some(4));
    lease.observe(restored, 1, 5_000);
    lease
}

macro_rules! restore_cases {
    ($($name:ident: $restored:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut lease = lease_after_restore($restored);
            assert_eq!(lease.fence(5_000), None);
            assert_eq!(lease.step(8_400), LeaseStep::Wait);
            assert_eq!(lease.step(8_500), LeaseStep::TakeOver);
            let (written, _) = lease.write(8_500, |_| {});
            assert!(written.fence > 1 << 32, "the fence is not from the current era");
            assert_eq!(written.fixed_window, Some(8), "the lost window was not written back");
            lease.observe(stored(written, 6), 1, 8_510);
            assert_eq!(lease.step(8_510), LeaseStep::Held);
        }
    )*};
}

restore_cases! {
    a_holder_whose_record_was_lost_waits: None;
    a_holder_whose_record_was_reverted_waits: stored(record("box-0", 2), 5);
    a_holder_whose_record_was_replaced_by_an_earlier_holders_waits: stored(record("other", 3), 4);
}

#[test]
fn an_answer_from_an_earlier_era_is_ignored() {
    let mut lease = lease_after_restore(None);
    let (written, _) = lease.write(8_500, |_| {});
    lease.observe(stored(written, 6), 1, 8_510);
    lease.observe(stored(record("other", 5), 9), 0, 8_520);
    assert_eq!(lease.step(8_520), LeaseStep::Held);
}

#[test]
fn orders_from_an_earlier_era_are_cleared_if_no_newer_record_is_known() {
    let mut lease = lease(0, 0);
    let order = UpstreamOrder {
        pool: "writers".into(),
        hall: "hall-a".into(),
        is_spot: false,
        count: 3,
    };
    let restored = DutyRecord {
        orders: vec![order],
        ..record("other", 4)
    };
    lease.observe(stored(restored, 5), 1, 0);
    assert!(lease.write(4_000, |_| {}).0.orders.is_empty());
}
