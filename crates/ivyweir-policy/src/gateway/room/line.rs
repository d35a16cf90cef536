//! Requests of one pool that wait in their box, in the order in which they are sent.

use std::collections::{BTreeMap, BTreeSet};

/// Properties of a request that determine its place in the line.
#[derive(Debug, Clone, Copy)]
pub struct LineEntry {
    /// Whether its workspace uses more than its fair share.
    pub is_over_share: bool,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time of its arrival.
    pub arrived_ms: u64,
    /// Time from which it cannot be in time any more.
    pub late_from_ms: u64,
}

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LineTicket(u64);

/// Position: in-time requests first, then workspaces within their share, then by priority and arrival.
type Position = (bool, bool, u8, u64, LineTicket);

/// The waiting requests.
#[derive(Debug, Default)]
pub struct Line {
    positions: BTreeSet<Position>,
    entries: BTreeMap<LineTicket, (LineEntry, bool)>,
    /// Requests that are still in time, by the time from which they are late.
    turning_late: BTreeSet<(u64, LineTicket)>,
    issued: u64,
}

impl Line {
    /// Adds a request.
    pub fn push(&mut self, entry: LineEntry, now_ms: u64) -> LineTicket {
        self.issued += 1;
        let ticket = LineTicket(self.issued);
        let is_late = now_ms >= entry.late_from_ms;
        self.positions.insert(position(&entry, is_late, ticket));
        self.entries.insert(ticket, (entry, is_late));
        if !is_late {
            self.turning_late.insert((entry.late_from_ms, ticket));
        }
        ticket
    }

    /// Sets whether the workspace of a request uses more than its fair share now.
    pub fn set_over_share(&mut self, ticket: LineTicket, is_over_share: bool) {
        if let Some((entry, is_late)) = self.entries.get_mut(&ticket)
            && entry.is_over_share != is_over_share
        {
            self.positions.remove(&position(entry, *is_late, ticket));
            entry.is_over_share = is_over_share;
            self.positions.insert(position(entry, *is_late, ticket));
        }
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: LineTicket) {
        if let Some((entry, is_late)) = self.entries.remove(&ticket) {
            self.positions.remove(&position(&entry, is_late, ticket));
            self.turning_late.remove(&(entry.late_from_ms, ticket));
        }
    }

    /// Moves requests that have become late behind those that can still be in time.
    pub fn advance(&mut self, now_ms: u64) {
        while let Some((late_from_ms, ticket)) = self.turning_late.first().copied() {
            if late_from_ms > now_ms {
                return;
            }
            self.turning_late.pop_first();
            if let Some((entry, is_late)) = self.entries.get_mut(&ticket) {
                self.positions.remove(&position(entry, *is_late, ticket));
                *is_late = true;
                self.positions.insert(position(entry, true, ticket));
            }
        }
    }

    /// Number of requests before a waiting one.
    pub fn ahead_of(&self, ticket: LineTicket) -> usize {
        self.entries.get(&ticket).map_or(0, |(entry, is_late)| {
            let position = position(entry, *is_late, ticket);
            self.positions.range(..position).count()
        })
    }

    /// Number of requests that would be before a new one.
    pub fn ahead_of_new(&self, entry: &LineEntry, now_ms: u64) -> usize {
        let is_late = now_ms >= entry.late_from_ms;
        let position = position(entry, is_late, LineTicket(u64::MAX));
        self.positions.range(..position).count()
    }

    /// The request that is sent next.
    pub fn first(&self) -> Option<LineTicket> {
        self.positions.first().map(|(.., ticket)| *ticket)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}

fn position(entry: &LineEntry, is_late: bool, ticket: LineTicket) -> Position {
    let LineEntry {
        is_over_share,
        priority,
        arrived_ms,
        ..
    } = *entry;
    (is_late, is_over_share, priority, arrived_ms, ticket)
}
