//! Duties that a single elected box performs for the whole fleet: reporting usage and ordering upstreams.
//!
//! A record in the store names the holder and its fencing token, which increases with each change of holder. The record
//! also contains the state that the next holder needs: fixed reports that may not have been accepted yet, and the
//! orders in force. The box whose conditional write of the record succeeds is the holder. Boxes need no other
//! agreement.

pub mod lease;
pub mod report;
pub mod scaling;
pub mod usage;
pub mod wall_clock;

use serde::{Deserialize, Serialize};

use crate::Name;
use scaling::UpstreamOrder;
use usage::UsageReport;

/// State of the duties in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord {
    /// Box that holds the duties.
    pub holder: Name,
    /// Identifier of the holder's process run. After a restart the holder no longer knows what it sent.
    pub run: u64,
    /// Fencing token, which increases with each change of holder or run.
    pub fence: u64,
    /// Number of renewals under this fence, so that each renewal changes the record.
    pub renewals: u64,
    /// Newest window whose report is fixed.
    #[serde(default)]
    pub fixed_window: Option<u64>,
    /// Fixed reports that may not have been accepted yet, oldest first.
    #[serde(default)]
    pub reports: Vec<UsageReport>,
    /// Latest order for each pool, hall and spot type.
    #[serde(default)]
    pub orders: Vec<UpstreamOrder>,
}

impl DutyRecord {
    /// Orders records by when they were written; newer records compare greater.
    fn version(&self) -> (u64, u64) {
        (self.fence, self.renewals)
    }
}

/// A duty record with its revision in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredDuties {
    /// The record.
    pub record: DutyRecord,
    /// Revision of the record.
    pub revision: u64,
}
