//! What follows for requests from terminations that are attributed to them.

use super::Fingerprint;
use super::suspect::SuspectKind;
use crate::hash::hash64;

/// A request or part that is refused from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewQuarantine {
    /// Its fingerprint.
    pub fingerprint: Fingerprint,
    /// What it is.
    pub kind: SuspectKind,
    /// Number of terminations while it was running.
    pub ends: usize,
}

/// Quarantines that a change of the ledger started or ended, and parts that it holds to few upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuarantineChanges {
    /// Requests and parts refused from now on.
    pub quarantined: Vec<NewQuarantine>,
    /// Requests and parts served again.
    pub released: Vec<Fingerprint>,
    /// Whether a part was at one more termination and is not proven sound, so that other boxes should be told at once.
    pub is_part_suspected: bool,
}

impl QuarantineChanges {
    /// Whether no quarantine started or ended.
    pub fn is_empty(&self) -> bool {
        self.quarantined.is_empty() && self.released.is_empty()
    }
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Upstreams terminated under the request itself.
    Request(Fingerprint),
    /// Upstreams terminated under a part of its prompt.
    Part {
        /// Fingerprint of the part.
        part: Fingerprint,
        /// Time until a request with the part is let through to try it.
        retry_in_ms: u64,
    },
}

/// The upstreams to which a request may be sent while it is not known whether it terminated them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Containment {
    /// Hashes of the upstreams to which its connections broke.
    pub upstreams: Vec<u64>,
    /// When the first of them no longer counts as a possible termination, by the clock of this box.
    pub until_ms: i64,
}

impl Containment {
    /// Whether the request may be sent to an upstream.
    pub fn allows(&self, upstream_id: &str) -> bool {
        self.upstreams.contains(&hash64(&[upstream_id.as_bytes()]))
    }
}
