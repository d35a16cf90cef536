//! Quarantines as kept in the store.

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use super::ledger::RETENTION_MS;
use super::suspect::{EndUpdate, SuspectKind, SuspectUpdate};

/// A quarantine as kept in the store, for the case that all boxes lose their ledgers at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Fingerprint of the request or part.
    pub fingerprint: Fingerprint,
    /// What it is.
    #[serde(default, skip_serializing_if = "SuspectKind::is_request")]
    pub kind: SuspectKind,
    /// Hashes of the upstreams that terminated while the request, or one with the part, was running there.
    pub upstreams: Vec<u64>,
    /// When the last of them terminated, in milliseconds since 1970 by the clock of the writer.
    pub last_end_epoch_ms: u64,
}

impl QuarantineRecord {
    /// Converts the record to a ledger entry. Wall-clock times may jump, so the age is limited to
    /// half of the retention time.
    pub(super) fn to_update(&self, epoch_ms: u64) -> SuspectUpdate {
        let ago_ms = epoch_ms.saturating_sub(self.last_end_epoch_ms);
        let ago_ms = ago_ms.min(RETENTION_MS.unsigned_abs() / 2).cast_signed();
        let end = |upstream: &u64| EndUpdate::from_store(*upstream, ago_ms);
        SuspectUpdate {
            fingerprint: self.fingerprint,
            kind: self.kind,
            completions: Vec::new(),
            ends: self.upstreams.iter().map(end).collect(),
            unconfirmed: Vec::new(),
            is_transient: false,
            cleared_ago_ms: None,
            cleared_id: 0,
            is_quarantined: true,
        }
    }
}
