//! Whether a box may go on serving on the configuration it has.
//!
//! A withdrawn version must receive no new work within seconds, so a box that cannot show that its
//! configuration is the latest stops, unless nobody can have changed it.

/// How old a proof may be before a box doubts its configuration.
pub const PROOF_LIMIT_MS: u64 = 3_000;

/// What a box knows about the freshness of its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// Age of the newest proof that the configuration was the store's latest.
    pub proof_age_ms: Option<u64>,
    /// Boxes on the last list, this one included.
    pub listed: usize,
    /// Boxes heard of lately, this one included.
    pub heard: usize,
}

/// What follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sight {
    /// The proof is fresh: serve.
    Fresh,
    /// The store is out for most boxes, so that nobody can accept a change: serve.
    StoreOut,
    /// Cut off: others may accept changes that this box does not see.
    Blind,
}

impl Sight {
    /// Whether new requests may be admitted.
    pub fn admits(self) -> bool {
        self != Sight::Blind
    }
}

/// Judges the evidence.
///
/// Proofs travel with the heartbeats and the freshest is kept, so a stale `proof_age_ms` says that
/// none of the boxes heard of has a fresher one. A change is accepted only by a box that hears a
/// majority ([`may_accept`]); two majorities share a box, which passes the change on.
pub fn judge(seen: Evidence) -> Sight {
    let fresh = seen.proof_age_ms.is_some_and(|age| age <= PROOF_LIMIT_MS);
    if fresh {
        Sight::Fresh
    } else if is_majority(seen) {
        Sight::StoreOut
    } else {
        Sight::Blind
    }
}

/// Whether a box with this evidence may accept a change of the configuration.
pub fn may_accept(seen: Evidence) -> bool {
    is_majority(seen)
}

fn is_majority(seen: Evidence) -> bool {
    seen.heard * 2 > seen.listed
}
