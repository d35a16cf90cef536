//! Entries of the ledger as boxes send them to each other.

use serde::{Deserialize, Serialize};

use super::{Clearance, Suspect, SuspectKind, UpstreamEnd};
use crate::gateway::quarantine::Fingerprint;
use crate::gateway::quarantine::completions::CompletionUpdate;

impl Suspect {
    /// Builds the entry as sent to another box.
    pub(in crate::gateway::quarantine) fn to_update(
        &self,
        fingerprint: Fingerprint,
        is_quarantined: bool,
        now_ms: i64,
    ) -> SuspectUpdate {
        let to_update = |end: &UpstreamEnd| EndUpdate::of(end, now_ms);
        let completions = self.completions.iter();
        SuspectUpdate {
            fingerprint,
            kind: self.kind,
            completions: completions
                .map(|completion| CompletionUpdate::of(completion, now_ms))
                .collect(),
            ends: self.ends.iter().map(to_update).collect(),
            unconfirmed: self.unconfirmed(now_ms).map(to_update).collect(),
            is_transient: !self.has_had_ends,
            cleared_ago_ms: self.cleared.map(|known| now_ms - known.at_ms),
            cleared_id: self.cleared.map_or(0, |known| known.id),
            is_quarantined,
        }
    }

    /// Merges a received entry; returns whether that changed this one.
    pub(in crate::gateway::quarantine) fn merge(
        &mut self,
        update: &SuspectUpdate,
        now_ms: i64,
    ) -> bool {
        self.has_had_ends |= !update.is_transient;
        let mut is_changed = self.merge_clearance(update, now_ms);
        for completion in &update.completions {
            is_changed |= self.completions.add(completion.resolve(now_ms));
        }
        for end in &update.ends {
            is_changed |= self.add_end(end.resolve(now_ms));
        }
        for end in &update.unconfirmed {
            is_changed |= self.add_unconfirmed(end.resolve(now_ms));
        }
        let is_newly_quarantined =
            update.is_quarantined && !self.is_quarantined_elsewhere && !self.ends.is_empty();
        self.is_quarantined_elsewhere |= is_newly_quarantined;
        is_changed | is_newly_quarantined
    }

    /// Applies the clearance of a received entry; returns whether it replaced the known one.
    fn merge_clearance(&mut self, update: &SuspectUpdate, now_ms: i64) -> bool {
        let Some(ago_ms) = update.cleared_ago_ms else {
            return false;
        };
        let mut told = Clearance {
            at_ms: now_ms.saturating_sub(ago_ms),
            id: update.cleared_id,
        };
        if let Some(known) = self.cleared {
            if !told.replaces(&known) {
                return false;
            }
            told.at_ms = told.at_ms.max(known.at_ms);
        }
        self.set_cleared(told);
        true
    }
}

/// Termination of an upstream as sent to another box. Clocks of boxes differ, so times are sent as
/// ages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndUpdate {
    /// Hash of the upstream's incarnation.
    #[serde(rename = "u")]
    upstream: u64,
    /// Hash of the id of the interrupted try.
    #[serde(rename = "t")]
    try_hash: u32,
    /// Time since the termination, in milliseconds.
    #[serde(rename = "ago")]
    ago_ms: i64,
    /// Time for which the request had been at the upstream, in milliseconds.
    #[serde(rename = "ran")]
    ran_ms: i64,
}

impl EndUpdate {
    /// Builds the entry of a record in the store, which keeps no more of a termination.
    pub(in crate::gateway::quarantine) fn from_store(upstream: u64, ago_ms: i64) -> Self {
        Self {
            upstream,
            try_hash: 0,
            ago_ms,
            ran_ms: 0,
        }
    }

    fn of(end: &UpstreamEnd, now_ms: i64) -> Self {
        Self {
            upstream: end.upstream,
            try_hash: end.try_hash,
            ago_ms: now_ms - end.at_ms,
            ran_ms: end.at_ms - end.began_at_ms,
        }
    }

    /// Converts the ages to times of the clock of this box.
    fn resolve(&self, now_ms: i64) -> UpstreamEnd {
        let at_ms = now_ms.saturating_sub(self.ago_ms);
        UpstreamEnd {
            upstream: self.upstream,
            try_hash: self.try_hash,
            began_at_ms: at_ms.saturating_sub(self.ran_ms),
            at_ms,
        }
    }
}

/// Entry of the ledger as sent to another box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// Fingerprint of the request or part.
    pub fingerprint: Fingerprint,
    /// What it is.
    #[serde(default, skip_serializing_if = "SuspectKind::is_request")]
    pub kind: SuspectKind,
    /// The last answers that were completed on a part.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub completions: Vec<CompletionUpdate>,
    /// Terminations since the request last completed.
    pub ends: Vec<EndUpdate>,
    /// Broken connections to upstreams that are not known to have terminated.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unconfirmed: Vec<EndUpdate>,
    /// Whether the sending box knows of no termination, before the last completion or after it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_transient: bool,
    /// Time since the request last completed, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cleared_ago_ms: Option<i64>,
    /// Identifies the completion; 0 where it is unknown.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cleared_id: u32,
    /// Whether the sending box refuses the request.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_quarantined: bool,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}
