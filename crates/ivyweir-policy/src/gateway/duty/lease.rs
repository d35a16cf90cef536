//! Lease on the duties, based on conditional writes of a record.
//!
//! The receiver of a duty's calls may not compare fences, so two holders must not overlap in time. A holder sends a
//! call only if its lease, counted from before its last write was requested, outlasts the call. Another box takes over
//! only after it has seen the record unchanged for longer than that. No clocks are compared between boxes.
//!
//! After a restore from a backup, the store may hold an older record or none, and may reuse revisions. A restore
//! therefore ends every lease: each box waits as it does for another box's lease, and fences include the store's era so
//! that none is issued twice.

use crate::Name;
use crate::gateway::duty::scaling::UpstreamOrder;
use crate::gateway::duty::usage::UsageReport;
use crate::gateway::duty::{DutyRecord, StoredDuties};

/// Time for which a call in flight may outlast its sender's lease.
const IN_FLIGHT_MS: u64 = 500;

/// Size of the range of fences reserved for each era. Revisions stay below it, so that the ranges do not overlap.
const FENCES_PER_ERA: u64 = 1 << 32;

/// Durations of leases.
#[derive(Debug, Clone, Copy)]
pub struct LeaseConfig {
    /// Duration of a lease, counted from when its write was requested.
    pub lease_ms: u64,
    /// Maximum duration of a duty's call.
    pub call_ms: u64,
}

impl LeaseConfig {
    /// Time for which the record must be unchanged before another box may take over.
    fn takeover_ms(&self) -> u64 {
        self.lease_ms + IN_FLIGHT_MS
    }
}

/// Next action of a box regarding the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStep {
    /// Read the record.
    Read,
    /// Wait, because the lease of another box may not have expired yet.
    Wait,
    /// Write the record to take over the duties.
    TakeOver,
    /// Perform the duties as the holder.
    Held,
}

/// Latest observation of the record.
#[derive(Debug, Clone)]
struct Observation {
    /// `None` if the store has no record.
    stored: Option<StoredDuties>,
    /// Time of the first observation in this state.
    since_ms: u64,
}

/// A write with unknown outcome. It may still be applied while its condition holds, so no other write is sent before it
/// is resolved.
#[derive(Debug, Clone)]
struct Pending {
    record: DutyRecord,
    first_requested_at_ms: u64,
}

/// State of the lease as known to one box.
#[derive(Debug)]
pub struct Lease {
    me: Name,
    run: u64,
    config: LeaseConfig,
    observed: Option<Observation>,
    pending: Option<Pending>,
    held_until_ms: u64,
    highest_fence: u64,
    /// Highest era of the store seen so far.
    era: u64,
    /// Newest record seen in any era; a restored store may have lost it.
    newest_record: Option<DutyRecord>,
}

impl Lease {
    /// Creates the initial state for the box `me`. `run` identifies the run of its process.
    pub fn new(me: Name, run: u64, config: LeaseConfig) -> Self {
        Self {
            me,
            run,
            config,
            observed: None,
            pending: None,
            held_until_ms: 0,
            highest_fence: 0,
            era: 0,
            newest_record: None,
        }
    }

    /// The next action.
    pub fn step(&self, now_ms: u64) -> LeaseStep {
        let Some(observed) = &self.observed else {
            return LeaseStep::Read;
        };
        match &observed.stored {
            None if self.era == 0 => LeaseStep::TakeOver,
            Some(stored) if self.is_own(&stored.record) => LeaseStep::Held,
            _ if now_ms >= observed.since_ms + self.config.takeover_ms() => LeaseStep::TakeOver,
            _ => LeaseStep::Wait,
        }
    }

    /// The record as last observed.
    pub fn record(&self) -> Option<&DutyRecord> {
        let stored = self.observed.as_ref()?.stored.as_ref()?;
        Some(&stored.record)
    }

    /// Fixed reports in the record. Empty if there is no record.
    pub fn reports(&self) -> &[UsageReport] {
        self.record().map_or(&[], |record| &record.reports)
    }

    /// Orders in force in the record. Empty if there is no record.
    pub fn orders(&self) -> &[UpstreamOrder] {
        self.record().map_or(&[], |record| &record.orders)
    }

    /// Fence under which this box may send a duty's call now; `None` if it must not send one.
    pub fn fence(&self, now_ms: u64) -> Option<u64> {
        let record = self.record().filter(|record| self.is_own(record))?;
        let is_held = now_ms + self.config.call_ms <= self.held_until_ms;
        is_held.then_some(record.fence)
    }

    /// The record to write now and the revision on which the write is conditional; `None` if the record must not exist.
    /// If an earlier write is still pending, that write is returned again and `change` is not applied.
    pub fn write(
        &mut self,
        now_ms: u64,
        change: impl FnOnce(&mut DutyRecord),
    ) -> (DutyRecord, Option<u64>) {
        let stored = self
            .observed
            .as_ref()
            .and_then(|observed| observed.stored.clone());
        let revision = stored.as_ref().map(|stored| stored.revision);
        if let Some(pending) = &self.pending {
            return (pending.record.clone(), revision);
        }
        let mut record = stored.map(|stored| stored.record).unwrap_or_default();
        if self.is_own(&record) {
            record.renewals += 1;
        } else {
            if !self.is_from_current_era(&record) {
                self.recover_lost_record(&mut record);
            }
            let highest = record.fence.max(self.highest_fence);
            record.fence = highest.max(self.fence_lower_bound(revision)) + 1;
            record.renewals = 0;
            record.holder = self.me.clone();
            record.run = self.run;
        }
        change(&mut record);
        self.pending = Some(Pending {
            record: record.clone(),
            first_requested_at_ms: now_ms,
        });
        (record, revision)
    }

    /// Processes the store's record, or its absence, as answered in `era` to a read or to a write, whether or not the
    /// write was applied. Answers from an earlier era are ignored; a later era ends the lease.
    pub fn observe(&mut self, stored: Option<StoredDuties>, era: u64, now_ms: u64) {
        if era < self.era {
            return;
        }
        if era > self.era {
            self.era = era;
            self.invalidate();
        }
        if let Some(stored) = &stored {
            self.highest_fence = self.highest_fence.max(stored.record.fence);
            self.update_newest_record(&stored.record);
        }
        let revision = |stored: &Option<StoredDuties>| stored.as_ref().map(|s| s.revision);
        let is_changed = self
            .observed
            .as_ref()
            .is_none_or(|observed| revision(&observed.stored) != revision(&stored));
        // A pending write may still be applied while the revision is the one on which it is conditional.
        if is_changed && let Some(pending) = self.pending.take() {
            let record = stored.as_ref().map(|stored| &stored.record);
            if record == Some(&pending.record) {
                self.held_until_ms = pending.first_requested_at_ms + self.config.lease_ms;
            }
        }
        if is_changed {
            self.observed = Some(Observation {
                stored,
                since_ms: now_ms,
            });
        }
    }

    /// Ends the lease and requires a new read of the record. Called when a call under this box's fence was rejected
    /// because another holder has a higher one, or when the store was restored.
    pub fn invalidate(&mut self) {
        self.held_until_ms = 0;
        self.observed = None;
        self.pending = None;
    }

    /// The exclusive lower bound of a fence taken at `revision`. A write requested before a restore may be applied
    /// after it and put back a record with a lower fence. The revision still increases, so the bound includes it.
    fn fence_lower_bound(&self, revision: Option<u64>) -> u64 {
        match self.era {
            0 => 0,
            era => era * FENCES_PER_ERA + revision.unwrap_or(0),
        }
    }

    fn update_newest_record(&mut self, record: &DutyRecord) {
        let is_newer = |known: &DutyRecord| record.version() > known.version();
        if self.newest_record.as_ref().is_none_or(is_newer) {
            self.newest_record = Some(record.clone());
        }
    }

    /// Replaces a missing record, or one from an earlier era, with the newest known record. If none is newer, clears
    /// the orders, because the orders in force may have been lost in the restore.
    fn recover_lost_record(&self, record: &mut DutyRecord) {
        match &self.newest_record {
            Some(newest) if newest.version() > record.version() => *record = newest.clone(),
            _ => record.orders.clear(),
        }
    }

    fn is_own(&self, record: &DutyRecord) -> bool {
        record.holder == self.me && record.run == self.run && self.is_from_current_era(record)
    }

    /// Whether the fence of a record was issued in the current era.
    fn is_from_current_era(&self, record: &DutyRecord) -> bool {
        record.fence > self.era * FENCES_PER_ERA
    }
}
