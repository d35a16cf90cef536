//! Freshness of the configuration: whether a box may keep serving with the configuration it has.
//!
//! A withdrawn version must stop receiving new work within seconds. A box that cannot prove that
//! its configuration is the latest therefore stops admitting requests, unless no box can have
//! accepted a change.

/// Maximum age of a proof of freshness; an older one does not count.
pub const MAX_PROOF_AGE_MS: u64 = 3_000;

/// What a box knows about the freshness of its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessEvidence {
    /// Age of the newest proof that the configuration was the latest in the store.
    pub proof_age_ms: Option<u64>,
    /// Number of boxes on the last box list, including this one.
    pub listed_boxes: usize,
    /// Number of listed boxes that are alive according to their heartbeats, including this one.
    pub alive_boxes: usize,
}

/// Freshness of a box's configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// There is a recent proof; the box serves.
    Fresh,
    /// There is no recent proof, but the box is in contact with a majority. The store is
    /// unavailable to most boxes, so no box can accept a change, and this box serves.
    StoreUnavailable,
    /// The box is cut off from the majority: other boxes may accept changes that it does not see.
    Partitioned,
}

impl Freshness {
    /// Whether new requests may be admitted.
    pub fn admits_requests(self) -> bool {
        self != Freshness::Partitioned
    }
}

/// Determines the freshness of a configuration.
///
/// Proofs are propagated with the heartbeats and each box keeps the newest, so a stale
/// `proof_age_ms` means that none of the alive boxes has a newer one. A change is accepted only by
/// a box that is in contact with a majority ([`may_accept_change`]); two majorities have at least
/// one box in common, which propagates the change.
pub fn assess(evidence: FreshnessEvidence) -> Freshness {
    let fresh = evidence
        .proof_age_ms
        .is_some_and(|age| age <= MAX_PROOF_AGE_MS);
    if fresh {
        Freshness::Fresh
    } else if has_majority(evidence) {
        Freshness::StoreUnavailable
    } else {
        Freshness::Partitioned
    }
}

/// Whether a box with this evidence may accept a configuration change.
pub fn may_accept_change(evidence: FreshnessEvidence) -> bool {
    has_majority(evidence)
}

fn has_majority(evidence: FreshnessEvidence) -> bool {
    evidence.alive_boxes * 2 > evidence.listed_boxes
}
