//! Proof that the active configuration was the newest one at a known time.
//!
//! A revoked key must stop working within a bounded time, even on a box that lost its connection to the store. A
//! request with a key is therefore forwarded only while the newest proof is younger than the bound. A proof dates from
//! when the store was *asked*, because its answer reflects a state at some time after that.

/// Maximum difference between times of the same proof when another box reports it repeatedly, which is caused by
/// varying network latency. It is below the minimum interval of 50 ms between two questions to the store.
const SAME_PROOF_TOLERANCE_MS: i64 = 25;

/// Time of the newest proof, in milliseconds of the monotonic clock. It is negative if it lies before the start of the
/// box's clock, because a box that has just started receives proofs that are older than itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct FreshnessProof {
    asked_at_ms: Option<i64>,
}

impl FreshnessProof {
    /// Records an answer of the store to a question asked at `asked_at_ms`.
    pub fn renew(&mut self, asked_at_ms: i64) {
        self.asked_at_ms = self.asked_at_ms.max(Some(asked_at_ms));
    }

    /// Time of the newest proof; `None` if there never was one.
    pub fn asked_at_ms(&self) -> Option<i64> {
        self.asked_at_ms
    }

    /// Whether a proof of this time is a newer one rather than the known one reported again.
    pub fn is_superseded_by(&self, asked_at_ms: i64) -> bool {
        let known_ms = self.asked_at_ms;
        known_ms
            .is_none_or(|known_ms| asked_at_ms > known_ms.saturating_add(SAME_PROOF_TOLERANCE_MS))
    }

    /// Age of the newest proof; `None` if there never was one.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let now_ms = i64::try_from(now_ms).unwrap_or(i64::MAX);
        u64::try_from(now_ms.saturating_sub(self.asked_at_ms?).max(0)).ok()
    }

    /// Whether the newest proof is younger than `bound_ms`. `false` if there never was one.
    pub fn is_younger_than(&self, bound_ms: u64, now_ms: u64) -> bool {
        self.age_ms(now_ms).is_some_and(|age_ms| age_ms < bound_ms)
    }
}
