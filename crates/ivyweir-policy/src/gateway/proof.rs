//! How long ago the configuration in force was last shown to be the newest.
//!
//! A key that was withdrawn must not be honoured for long, also by a box that no longer reaches the
//! store. So a keyed request is sent on only while the last proof is younger than the bound. The
//! proof dates from when the question was *asked*: what the answer shows held at some time after
//! that.

/// How far times of one proof differ that another box told again and again: by the ways of the questions.
/// The store is asked again after 50 ms or more.
const TOLD_APART_MS: i64 = 25;

/// Keeps the time of the newest proof, in milliseconds of a steady clock. It may lie before the start of
/// the box's clock: a box that has just started hears of proofs that are older than itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct Proof {
    asked_at_ms: Option<i64>,
}

impl Proof {
    /// Takes in an answer of the store to a question asked at `asked_at_ms`.
    pub fn renew(&mut self, asked_at_ms: i64) {
        self.asked_at_ms = self.asked_at_ms.max(Some(asked_at_ms));
    }

    /// When the newest proof dates from; none if there never was one.
    pub fn asked_at_ms(&self) -> Option<i64> {
        self.asked_at_ms
    }

    /// Whether a proof of this time is another and newer one, not the same told again.
    pub fn is_older_than(&self, asked_at_ms: i64) -> bool {
        let known_ms = self.asked_at_ms;
        known_ms.is_none_or(|known_ms| asked_at_ms > known_ms.saturating_add(TOLD_APART_MS))
    }

    /// Age of the proof; none if there never was one.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let now_ms = i64::try_from(now_ms).unwrap_or(i64::MAX);
        u64::try_from(now_ms.saturating_sub(self.asked_at_ms?).max(0)).ok()
    }

    /// Whether the proof is younger than `bound_ms`.
    pub fn is_younger_than(&self, bound_ms: u64, now_ms: u64) -> bool {
        self.age_ms(now_ms).is_some_and(|age_ms| age_ms < bound_ms)
    }
}
