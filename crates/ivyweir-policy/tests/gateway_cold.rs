//! Rate of requests from a fleet to a cold upstream: it must stay within the upstream's capacity,
//! whatever the boxes know of each other.

mod common;

use ivyweir_policy::gateway::cold::{ColdStart, RecentSends};
use ivyweir_policy::gateway::quota::{QuotaOwners, may_own};
use ivyweir_policy::hash::hash64;
use proptest::prelude::*;

use common::{Fault, FaultEvent, STEP_MS, SimFleet, fault_events, hash};

const UPSTREAM: u64 = 0x5eed;
const COLD_START: ColdStart = ColdStart {
    lasts_ms: 3_000,
    requests_per_s: 8.8,
};
/// Number of requests within one second at which such an upstream may fail: 1.5 times its rate plus 5.
const OVERLOAD_THRESHOLD: usize = 18;

fn fleet_owners(boxes: usize, halls: usize) -> Vec<QuotaOwners> {
    let hall_of = |n: usize| hash(&format!("hall-{}", n % halls));
    let all_halls: Vec<u64> = (0..halls).map(hall_of).collect();
    (0..boxes)
        .map(|n| {
            let in_hall = (0..boxes).filter(|other| other % halls == n % halls);
            let names = in_hall.map(|other| hash(&format!("box-{other}")));
            let own = hash(&format!("box-{n}"));
            QuotaOwners::new(all_halls.clone(), hall_of(n), names.collect(), own)
        })
        .collect()
}

macro_rules! part_sum_tests {
    ($($name:ident: $boxes:expr, $halls:expr, $limit:expr;)*) => {$(
        #[test]
        fn $name() {
            let owners = fleet_owners($boxes, $halls);
            for upstream in 0..50 {
                let parts = owners.iter().map(|o| o.own_parts(hash(&format!("u-{upstream}")), $limit));
                assert_eq!(parts.sum::<u32>(), $limit);
            }
        }
    )*};
}

part_sum_tests! {
    one_box_has_all_parts: 1, 1, 8;
    seven_boxes_in_four_halls_share_all: 7, 4, 8;
    as_many_parts_as_halls: 84, 4, 4;
    fewer_parts_than_halls: 300, 6, 2;
    fewer_parts_than_boxes: 300, 6, 18;
    one_request_for_a_thousand_boxes: 1_000, 22, 1;
}

#[test]
fn boxes_own_parts_of_about_equally_many_upstreams() {
    let owners = fleet_owners(40, 4);
    let owned = |o: &QuotaOwners| -> u32 {
        (0..400)
            .map(|n| o.own_parts(hash64(&[&[n as u8, (n >> 8) as u8]]), 8))
            .sum()
    };
    let counts: Vec<u32> = owners.iter().map(owned).collect();
    // 400 upstreams with 8 parts each on 40 boxes give a mean of 80 parts per box.
    assert!(
        counts.iter().all(|count| (45..130).contains(count)),
        "{counts:?}"
    );
}

macro_rules! may_own_tests {
    ($($name:ident: $up_ms:expr, $since_joined_ms:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(may_own($up_ms, $since_joined_ms), $expected);
        }
    )*};
}

may_own_tests! {
    a_box_that_just_started_owns_nothing: 1_000, Some(10) => false;
    a_box_that_is_known_owns: 4_000, Some(10) => true;
    a_box_that_others_may_have_dropped_owns_nothing: 60_000, Some(16_000) => false;
    the_only_box_owns: 4_000, None => true;
}

#[test]
fn a_rate_below_one_still_lets_one_request_through() {
    let start = ColdStart {
        lasts_ms: 0,
        requests_per_s: 0.2,
    };
    assert_eq!(start.limit(), 1);
}

macro_rules! rate_validity_tests {
    ($($name:ident: $rate:expr => $is_valid:expr;)*) => {$(
        #[test]
        fn $name() {
            let start = ColdStart { lasts_ms: 0, requests_per_s: $rate };
            assert_eq!(start.is_valid(), $is_valid);
        }
    )*};
}

rate_validity_tests! {
    a_rate_is_sane: 8.8 => true;
    a_negative_rate_is_not: -1.0 => false;
    no_rate_is_not: 0.0 => false;
    an_endless_rate_is_not: f64::INFINITY => false;
    a_rate_that_is_no_number_is_not: f64::NAN => false;
}

/// Simulates a fleet whose boxes all send to one cold upstream at the highest rate allowed. Returns the
/// times of all requests.
fn simulate(boxes: usize, halls: usize, events: &[FaultEvent], until_ms: u64) -> Vec<u64> {
    let mut fleet = SimFleet::new(boxes, halls);
    let mut recent_sends: Vec<(u32, RecentSends)> = vec![Default::default(); boxes];
    let mut sent_at_ms = Vec::new();
    for now_ms in (0..until_ms).step_by(STEP_MS as usize) {
        fleet.inject_faults(events, now_ms);
        for (n, (starts, recent)) in recent_sends.iter_mut().enumerate() {
            if !fleet.step(n, now_ms) {
                continue;
            }
            let sim_box = &fleet.boxes[n];
            if *starts != sim_box.starts {
                (*starts, *recent) = (sim_box.starts, RecentSends::default());
            }
            let own_parts = sim_box
                .quota_share(now_ms)
                .own_parts(UPSTREAM, COLD_START.limit());
            while recent.count(now_ms) < own_parts {
                recent.record(now_ms);
                sent_at_ms.push(now_ms);
            }
        }
    }
    sent_at_ms
}

/// The highest number of requests within any one second.
fn max_requests_per_second(sent_at_ms: &[u64]) -> usize {
    let in_second = |from: u64| {
        sent_at_ms
            .iter()
            .filter(|&&at| at >= from && at < from + 1_000)
            .count()
    };
    sent_at_ms
        .iter()
        .map(|&from| in_second(from))
        .max()
        .unwrap_or(0)
}

#[test]
fn a_fleet_at_rest_gives_a_cold_upstream_what_it_bears() {
    let sent_at_ms = simulate(24, 4, &[], 10_000);
    assert!(max_requests_per_second(&sent_at_ms) <= COLD_START.limit() as usize);
    // At 8 requests/s, the last 5 s admit 40 requests; at least 34 of them must be sent.
    let sent_late = sent_at_ms.iter().filter(|&&at| at >= 5_000).count();
    assert!(sent_late >= 34, "{sent_late} requests in the last 5 s");
}

#[test]
fn all_boxes_restart_at_once_and_forget_what_they_sent() {
    let restarts = (0..24).map(|n| (6_000 + 20 * n as u64, n, Fault::Restart { after_ms: 100 }));
    let events: Vec<FaultEvent> = restarts.collect();
    let sent_at_ms = simulate(24, 4, &events, 14_000);
    assert!(
        max_requests_per_second(&sent_at_ms) <= OVERLOAD_THRESHOLD,
        "{}",
        max_requests_per_second(&sent_at_ms)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 16, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(27), ..ProptestConfig::default() })]
    #[test]
    fn no_trouble_makes_a_fleet_exceed_what_a_cold_upstream_bears(
        boxes in 6_usize..40, halls in 1_usize..6, events in fault_events()
    ) {
        let sent_at_ms = simulate(boxes, halls, &events, 60_000);
        prop_assert!(max_requests_per_second(&sent_at_ms) <= OVERLOAD_THRESHOLD, "{}", max_requests_per_second(&sent_at_ms));
    }
}
