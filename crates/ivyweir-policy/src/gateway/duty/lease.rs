//! Which box holds the duties, by a record that boxes write conditionally.
//!
//! Whoever receives a duty's calls may not compare fences, so two holders must not overlap in time. A holder
//! sends only while its lease, counted from before its last write was asked for, outlasts the call. Another
//! box takes over only when it has seen the record unchanged for longer than that. Neither compares its clock
//! with the other's.
//!
//! After a restore from a backup, the store may hold an older record or none, and may reuse revisions. A restore
//! therefore ends every lease: each box waits as it does for another box's lease, and fences include the store's era so
//! that none is issued twice.

use crate::Name;
use crate::gateway::duty::supply::UpstreamOrder;
use crate::gateway::duty::usage::UsageReport;
use crate::gateway::duty::{DutyRecord, StoredDuties};

/// Time for which a call that is already on its way may outlast its sender's lease.
const IN_FLIGHT_MS: u64 = 500;

/// Size of the range of fences reserved for each era. Revisions stay below it, so that the ranges do not overlap.
const FENCES_PER_ERA: u64 = 1 << 32;

/// How long leases last.
#[derive(Debug, Clone, Copy)]
pub struct LeaseTerms {
    /// Time since a write was asked for in which its writer may act as holder.
    pub lease_ms: u64,
    /// The longest time that a duty's call may take.
    pub call_ms: u64,
}

impl LeaseTerms {
    /// Time for which the record must not have changed before another box may take it over.
    fn takeover_ms(&self) -> u64 {
        self.lease_ms + IN_FLIGHT_MS
    }
}

/// What a box has to do about the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStep {
    /// Read it.
    Read,
    /// Leave it to its holder.
    Wait,
    /// Write it, to take the duties over.
    Take,
    /// It is this box's.
    Held,
}

/// The record as it was last seen.
#[derive(Debug, Clone)]
struct Seen {
    /// None where the store has none.
    stored: Option<StoredDuties>,
    /// When it was first seen so.
    since_ms: u64,
}

/// A write whose outcome is not known: it may still be done while its condition holds, so nothing else is
/// written before it.
#[derive(Debug, Clone)]
struct Pending {
    record: DutyRecord,
    first_asked_at_ms: u64,
}

/// A box's view of who holds the duties.
#[derive(Debug)]
pub struct Lease {
    me: Name,
    run: u64,
    terms: LeaseTerms,
    seen: Option<Seen>,
    pending: Option<Pending>,
    held_until_ms: u64,
    highest_fence: u64,
    /// Highest era of the store seen so far.
    era: u64,
    /// Newest record seen in any era; a restored store may have lost it.
    newest_record: Option<DutyRecord>,
}

impl Lease {
    /// The view of the box `me` that knows nothing yet; `run` differs between runs of its process.
    pub fn new(me: Name, run: u64, terms: LeaseTerms) -> Self {
        Self {
            me,
            run,
            terms,
            seen: None,
            pending: None,
            held_until_ms: 0,
            highest_fence: 0,
            era: 0,
            newest_record: None,
        }
    }

    /// What to do now.
    pub fn step(&self, now_ms: u64) -> LeaseStep {
        let Some(seen) = &self.seen else {
            return LeaseStep::Read;
        };
        match &seen.stored {
            None if self.era == 0 => LeaseStep::Take,
            Some(stored) if self.is_mine(&stored.record) => LeaseStep::Held,
            _ if now_ms >= seen.since_ms + self.terms.takeover_ms() => LeaseStep::Take,
            _ => LeaseStep::Wait,
        }
    }

    /// The record as it was last seen.
    pub fn record(&self) -> Option<&DutyRecord> {
        let stored = self.seen.as_ref()?.stored.as_ref()?;
        Some(&stored.record)
    }

    /// The fixed reports of the record; none where there is no record.
    pub fn reports(&self) -> &[UsageReport] {
        self.record().map_or(&[], |record| &record.reports)
    }

    /// The orders in force by the record; none where there is no record.
    pub fn orders(&self) -> &[UpstreamOrder] {
        self.record().map_or(&[], |record| &record.orders)
    }

    /// The fence under which this box may send a duty's call now, if it may.
    pub fn fence(&self, now_ms: u64) -> Option<u64> {
        let record = self.record().filter(|record| self.is_mine(record))?;
        let is_held = now_ms + self.terms.call_ms <= self.held_until_ms;
        is_held.then_some(record.fence)
    }

    /// The write to ask for now, and the revision that the record must have for it; none where there must be
    /// no record. `change` is applied unless a write before it is still open.
    pub fn write(
        &mut self,
        now_ms: u64,
        change: impl FnOnce(&mut DutyRecord),
    ) -> (DutyRecord, Option<u64>) {
        let stored = self.seen.as_ref().and_then(|seen| seen.stored.clone());
        let revision = stored.as_ref().map(|stored| stored.revision);
        if let Some(pending) = &self.pending {
            return (pending.record.clone(), revision);
        }
        let mut record = stored.map(|stored| stored.record).unwrap_or_default();
        if self.is_mine(&record) {
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
            first_asked_at_ms: now_ms,
        });
        (record, revision)
    }

    /// Processes the store's record, or its absence, as answered in `era` to a read or to a write, whether or not the
    /// write was applied. Answers from an earlier era are ignored; a later era ends the lease.
    pub fn see(&mut self, stored: Option<StoredDuties>, era: u64, now_ms: u64) {
        if era < self.era {
            return;
        }
        if era > self.era {
            self.era = era;
            self.doubt();
        }
        if let Some(stored) = &stored {
            self.highest_fence = self.highest_fence.max(stored.record.fence);
            self.update_newest_record(&stored.record);
        }
        let revision = |stored: &Option<StoredDuties>| stored.as_ref().map(|s| s.revision);
        let is_news = self
            .seen
            .as_ref()
            .is_none_or(|seen| revision(&seen.stored) != revision(&stored));
        // While the revision is the one it was asked for under, an open write may still be done.
        if is_news && let Some(pending) = self.pending.take() {
            let record = stored.as_ref().map(|stored| &stored.record);
            if record == Some(&pending.record) {
                self.held_until_ms = pending.first_asked_at_ms + self.terms.lease_ms;
            }
        }
        if is_news {
            self.seen = Some(Seen {
                stored,
                since_ms: now_ms,
            });
        }
    }

    /// Takes in that a call under this box's fence was refused: another holder has a higher one.
    pub fn doubt(&mut self) {
        self.held_until_ms = 0;
        self.seen = None;
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

    fn is_mine(&self, record: &DutyRecord) -> bool {
        record.holder == self.me && record.run == self.run && self.is_from_current_era(record)
    }

    /// Whether the fence of a record was issued in the current era.
    fn is_from_current_era(&self, record: &DutyRecord) -> bool {
        record.fence > self.era * FENCES_PER_ERA
    }
}
