//! Duties that one box at a time does for all: reporting usage, and ordering upstreams.
//!
//! A record in the store names the holder, under a fence that rises with each change of holder. It also
//! keeps what the next holder must repeat or know: reports that are fixed but may not have been accepted,
//! and the orders in force. Whoever may write the record conditionally is the holder; nothing else is
//! agreed between boxes.

pub mod epoch;
pub mod lease;
pub mod report;
pub mod supply;
pub mod usage;

use serde::{Deserialize, Serialize};

use crate::Name;
use supply::UpstreamOrder;
use usage::UsageReport;

/// What the store keeps of the duties.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord {
    /// The box that holds them.
    pub holder: Name,
    /// Differs between runs of a holder's process: one that starts again has forgotten what it sent.
    pub run: u64,
    /// Rises with each change of holder or run.
    pub fence: u64,
    /// Writes under this fence, so that each renewal changes the record.
    pub renewals: u64,
    /// The newest window whose report is fixed.
    #[serde(default)]
    pub fixed_window: Option<u64>,
    /// Fixed reports that may not have been accepted yet, oldest first.
    #[serde(default)]
    pub reports: Vec<UsageReport>,
    /// The last order of each kind of upstream in each hall.
    #[serde(default)]
    pub orders: Vec<UpstreamOrder>,
}

impl DutyRecord {
    /// Orders records by when they were written; newer records compare greater.
    fn version(&self) -> (u64, u64) {
        (self.fence, self.renewals)
    }
}

/// A record and the store's revision of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredDuties {
    /// The record.
    pub record: DutyRecord,
    /// Its revision.
    pub revision: u64,
}
