//! Proofs of freshness: what the statements of the store and of other boxes prove, and for how long.

use ivyweir_policy::gateway::freshness::{FreshnessProof, ProofSource, ProofTime, RelayedProof};
use proptest::prelude::*;

/// A proof that is older than a box whose clock has just started.
fn proof_from_before_start(age_ms: u64) -> ProofTime {
    ProofTime::of_relayed(RelayedProof {
        requested_at_ms: 0,
        responded_at_ms: 0,
        held_ms: 0,
        age_ms,
    })
}

#[test]
fn a_proof_never_grows_older_by_an_older_answer() {
    let mut proof = FreshnessProof::default();
    assert!(
        !proof.is_younger_than(1_000, 0),
        "no proof was received yet"
    );
    proof.renew(ProofTime::of_read(5_000));
    proof.renew(ProofTime::of_read(3_000));
    assert_eq!(proof.age_ms(6_000), Some(1_000));
    assert!(proof.is_younger_than(1_001, 6_000));
    assert!(!proof.is_younger_than(1_000, 6_000));
}

#[test]
fn a_proof_may_be_older_than_the_box_that_hears_of_it() {
    let mut proof = FreshnessProof::default();
    proof.renew(proof_from_before_start(398));
    assert_eq!(proof.age_ms(200), Some(600));
    assert!(proof.is_younger_than(1_000, 200));
    assert!(!proof.is_younger_than(1_000, 700));
    proof.renew(proof_from_before_start(u64::MAX));
    assert_eq!(proof.age_ms(200), Some(600));
}

#[test]
fn the_same_proof_told_again_is_not_a_newer_one() {
    let mut proof = FreshnessProof::default();
    let known = proof_from_before_start(400);
    assert!(proof.is_superseded_by(known), "no proof was received yet");
    proof.renew(known);
    assert!(!proof.is_superseded_by(proof_from_before_start(500)));
    assert!(!proof.is_superseded_by(known));
    assert!(
        !proof.is_superseded_by(proof_from_before_start(380)),
        "20 ms is within the tolerance for request latency"
    );
    assert!(proof.is_superseded_by(proof_from_before_start(350)));
}

#[test]
fn a_proof_as_old_as_can_be_told_is_no_proof() {
    let mut proof = FreshnessProof::default();
    proof.renew(proof_from_before_start(u64::MAX));
    assert!(!proof.is_younger_than(u64::MAX / 4, 200));
}

macro_rules! relayed {
    ($($name:ident: requested $requested:expr, responded $responded:expr, held $held:expr, age $age:expr => $at:expr;)*) => {$(
        #[test]
        fn $name() {
            let proven_at = ProofTime::of_relayed(RelayedProof {
                requested_at_ms: $requested,
                responded_at_ms: $responded,
                held_ms: $held,
                age_ms: $age,
            });
            let at_ms: u64 = $at;
            assert!(proven_at.is_at_or_after(at_ms));
            assert!(!proven_at.is_at_or_after(at_ms + 1));
            assert_eq!(proven_at.source(), ProofSource::Peer);
        }
    )*};
}

relayed! {
    a_relayed_proof_dates_from_before_the_response: requested 5_000, responded 5_400, held 390, age 100 => 5_288;
    a_relayed_proof_may_date_from_before_the_request: requested 5_000, responded 5_010, held 0, age 700 => 4_298;
    a_holding_time_longer_than_the_call_does_not_count: requested 5_000, responded 5_010, held 4_000, age 100 => 4_908;
}

/// One hop of a proof, in microseconds: how long the request is on its way, is held, and the response is on its way; and
/// by how much the clock of the requesting box is shifted.
#[derive(Debug, Clone, Copy)]
struct Hop {
    to_us: u64,
    held_us: u64,
    back_us: u64,
    clock_shift_us: u64,
}

fn hop() -> impl Strategy<Value = Hop> {
    let delay = || prop_oneof![0..300_u64, 0..400_000_u64];
    let held = prop_oneof![0..3_000_u64, 0..1_500_000_u64];
    (delay(), held, delay(), 0..5_000_000_u64).prop_map(
        |(to_us, held_us, back_us, clock_shift_us)| Hop {
            to_us,
            held_us,
            back_us,
            clock_shift_us,
        },
    )
}

/// Reading of a clock that was started `shift_us` before the time 0, in whole milliseconds.
fn reading_ms(at_us: u64, shift_us: u64) -> u64 {
    (at_us + shift_us) / 1_000
}

proptest! {
    /// No box infers a time that is later than the store's read, whatever the clocks, delays and relays between them.
    #[test]
    fn no_relay_makes_a_proof_younger(
        read_us in 0..2_000_000_u64,
        root_shift_us in 0..5_000_000_u64,
        answered_after_us in 0..400_000_u64,
        hops in prop::collection::vec(hop(), 0..5),
    ) {
        let mut proven_at = ProofTime::of_read(reading_ms(read_us, root_shift_us));
        let mut shift_us = root_shift_us;
        // The box before has the proof from here on.
        let mut known_us = read_us + answered_after_us;
        for hop in hops {
            let responded_us = known_us + hop.held_us;
            // The request may have been received before the proof was known there, and was held since then.
            let received_us = responded_us.saturating_sub(hop.held_us * 2);
            let requested_us = received_us.saturating_sub(hop.to_us);
            let returned_us = responded_us + hop.back_us;
            let held_ms = reading_ms(responded_us, shift_us) - reading_ms(received_us, shift_us);
            let age_ms = proven_at.age_ms(reading_ms(responded_us, shift_us));
            proven_at = ProofTime::of_relayed(RelayedProof {
                requested_at_ms: reading_ms(requested_us, hop.clock_shift_us),
                responded_at_ms: reading_ms(returned_us, hop.clock_shift_us),
                held_ms,
                age_ms,
            });
            shift_us = hop.clock_shift_us;
            known_us = returned_us;
        }
        prop_assert!(!proven_at.is_at_or_after(reading_ms(read_us, shift_us) + 1));
    }
}
