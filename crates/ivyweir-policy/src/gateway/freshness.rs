//! Proof that the active configuration was the newest one at a known time.
//!
//! A revoked key must stop working within a bounded time, even on a box that lost its connection to the store. A
//! request with a key is therefore forwarded only while the newest proof is younger than the bound. What proves how
//! much is listed in `docs/design/freshness.md`.

/// Maximum difference between times of the same proof when another box reports it repeatedly, which is caused by
/// varying network latency. It is below the minimum interval of 50 ms between two questions to the store.
const SAME_PROOF_TOLERANCE_MS: i64 = 25;
/// Rounding error of the other box's age and holding time, which are differences of whole milliseconds.
const RELAY_ROUNDING_MS: i64 = 2;

/// Time up to which a statement of the store or of another box shows that nothing newer was acknowledged.
///
/// In milliseconds of this box's monotonic clock. It is negative if it lies before the start of that clock, because a
/// box that has just started receives proofs that are older than itself.
///
/// Only the constructors below infer such a time. There is none for the response to a watch: a watch may end at any
/// moment, and the store may have hidden acknowledged changes from it, for as long as it takes to drop its history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProofTime {
    at_ms: i64,
    source: ProofSource,
}

/// What made the statement that a proof rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProofSource {
    /// Another box.
    Peer,
    /// The store.
    Store,
}

impl ProofSource {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }
}

impl ProofTime {
    /// The store answered a linearizable read that was sent at `requested_at_ms`.
    ///
    /// The store may have executed the read as soon as it was sent.
    pub fn of_read(requested_at_ms: u64) -> Self {
        Self {
            at_ms: saturating_signed(requested_at_ms),
            source: ProofSource::Store,
        }
    }

    /// Another box passed on its proof in the response to a request that was sent at `requested_at_ms`.
    pub fn of_relayed(relayed: RelayedProof) -> Self {
        let RelayedProof {
            requested_at_ms,
            responded_at_ms,
            held_ms,
            age_ms,
        } = relayed;
        // The other box received the request after it was sent, so it responded no earlier than this.
        let sent_at_ms = requested_at_ms.saturating_add(held_ms).min(responded_at_ms);
        let proven_at_ms = saturating_signed(sent_at_ms).saturating_sub(saturating_signed(age_ms));
        Self {
            at_ms: proven_at_ms.saturating_sub(RELAY_ROUNDING_MS),
            source: ProofSource::Peer,
        }
    }

    /// What made the statement.
    pub fn source(self) -> ProofSource {
        self.source
    }

    /// Age at `now_ms`. A time in the future has age 0.
    pub fn age_ms(self, now_ms: u64) -> u64 {
        let age_ms = saturating_signed(now_ms).saturating_sub(self.at_ms);
        u64::try_from(age_ms).unwrap_or(0)
    }

    /// Whether this is `at_ms` or later.
    pub fn is_at_or_after(self, at_ms: u64) -> bool {
        self.at_ms >= saturating_signed(at_ms)
    }
}

/// A proof as another box passes it on. No clocks are compared between boxes, only durations.
#[derive(Debug, Clone, Copy)]
pub struct RelayedProof {
    /// When this box sent its request.
    pub requested_at_ms: u64,
    /// When this box received the response.
    pub responded_at_ms: u64,
    /// Time between the request and the response, as measured by the other box.
    pub held_ms: u64,
    /// Age of the proof when the other box responded.
    pub age_ms: u64,
}

fn saturating_signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}

/// The newest proof of a box.
#[derive(Debug, Clone, Copy, Default)]
pub struct FreshnessProof {
    newest: Option<ProofTime>,
}

impl FreshnessProof {
    /// Records a proof. An older one than the known one changes nothing.
    pub fn renew(&mut self, proven_at: ProofTime) {
        self.newest = self.newest.max(Some(proven_at));
    }

    /// Time of the newest proof; `None` if there never was one.
    pub fn newest(&self) -> Option<ProofTime> {
        self.newest
    }

    /// Whether a proof of this time is a newer one rather than the known one reported again.
    pub fn is_superseded_by(&self, proven_at: ProofTime) -> bool {
        self.newest.is_none_or(|known| {
            proven_at.at_ms > known.at_ms.saturating_add(SAME_PROOF_TOLERANCE_MS)
        })
    }

    /// Age of the newest proof; `None` if there never was one.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.newest.map(|newest| newest.age_ms(now_ms))
    }

    /// Whether the newest proof is younger than `bound_ms`. `false` if there never was one.
    pub fn is_younger_than(&self, bound_ms: u64, now_ms: u64) -> bool {
        self.age_ms(now_ms).is_some_and(|age_ms| age_ms < bound_ms)
    }
}
