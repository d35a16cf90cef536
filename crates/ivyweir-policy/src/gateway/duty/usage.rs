//! Usage counts: requests of each workspace that began in each window, summed over all boxes.
//!
//! Each box counts its own requests. Counts are sent along the same paths as work reports: to the relay of the hall,
//! and from there to the other relays. The counts of one process run only increase and are merged by maximum, so a row
//! that is received twice, late or from several boxes is counted once. Counts that were sent survive the box. A row is
//! sent repeatedly until the receiver acknowledges it.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::Name;

/// Requests by workspace.
pub type Counts = BTreeMap<Name, u32>;

/// Interval between updates to another box. If a box is killed, the counts since its last update are lost.
const UPDATE_INTERVAL_MS: u64 = 900;
/// Time since the last exchange with a box after which its state is discarded.
const PEER_TTL_MS: u64 = 60_000;

/// Usage of one window, as reported to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Number of the window, counted from the Unix epoch.
    pub window: u64,
    /// Requests that began in the window.
    pub counts: Counts,
}

/// One process run of a box.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BoxRun {
    /// Name of the box.
    #[serde(rename = "b")]
    pub name: Name,
    /// Identifier of the run.
    #[serde(rename = "r")]
    pub run: u64,
}

/// Counts of one process run of a box in one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// Process run that counted the requests.
    #[serde(rename = "of")]
    pub counter: BoxRun,
    /// The window.
    #[serde(rename = "w")]
    pub window: u64,
    /// The counts.
    #[serde(rename = "c")]
    pub counts: Counts,
}

/// Position in the sequence of changes of a sender's table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCursor {
    /// Process run of the sender.
    pub run: u64,
    /// Number of the last change received.
    pub change: u64,
}

/// Usage update from one box to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageUpdate {
    /// Position of the sender after this update, if it contains rows.
    #[serde(default, rename = "told", skip_serializing_if = "Option::is_none")]
    pub sent_up_to: Option<UsageCursor>,
    /// Rows that changed since the last change acknowledged by the receiver.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<UsageRow>,
    /// Acknowledgement: position of the sender in the receiver's changes.
    #[serde(default, rename = "heard", skip_serializing_if = "Option::is_none")]
    pub received_up_to: Option<UsageCursor>,
    /// The newest window whose report the sender knows to be fixed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fixed_window: Option<u64>,
}

#[derive(Debug, Default)]
struct Row {
    counts: Counts,
    /// Number of the change that last modified the row.
    last_change: u64,
    /// Whether the row originates in this hall: counted here, or received from the box that counted it.
    is_local_hall: bool,
}

/// State of the exchange with another box.
#[derive(Debug, Default)]
struct Peer {
    /// Position of this box in the changes of the other one.
    received: Option<UsageCursor>,
    /// Number of this box's last change that the other one acknowledged.
    acked_change: u64,
    updated_at_ms: Option<u64>,
    /// Whether rows were received that have not been acknowledged yet.
    ack_due: bool,
    last_contact_ms: u64,
}

/// Content of an update to another box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateContent {
    /// Changed rows and the acknowledgement.
    Rows,
    /// Only the acknowledgement, because the receiver does not sum up counts.
    AckOnly,
}

/// All usage counts known to a box.
#[derive(Debug)]
pub struct UsageTable {
    me: BoxRun,
    rows: BTreeMap<(u64, BoxRun), Row>,
    changes: u64,
    peers: HashMap<Name, Peer>,
    /// Newest window whose report is known to be fixed. A restore of the store may lose the record of it.
    fixed_window: Option<u64>,
}

impl UsageTable {
    /// Creates an empty table for a process run of this box.
    pub fn new(me: BoxRun) -> Self {
        Self {
            me,
            rows: BTreeMap::new(),
            changes: 0,
            peers: HashMap::new(),
            fixed_window: None,
        }
    }

    /// Counts one request on this box.
    pub fn count(&mut self, workspace: &Name, window: u64) {
        self.changes += 1;
        let row = self.rows.entry((window, self.me.clone())).or_default();
        row.is_local_hall = true;
        row.last_change = self.changes;
        *row.counts.entry(workspace.clone()).or_default() += 1;
    }

    /// Counts of a window summed over all boxes.
    pub fn total(&self, window: u64) -> Counts {
        let mut total = Counts::new();
        let rows = self.rows.iter().filter(|((of, _), _)| *of == window);
        for (workspace, count) in rows.flat_map(|(_, row)| &row.counts) {
            *total.entry(workspace.clone()).or_default() += count;
        }
        total
    }

    /// Oldest window for which there are counts.
    pub fn first_window(&self) -> Option<u64> {
        self.rows.keys().next().map(|(window, _)| *window)
    }

    /// The update to send to `peer` now, if any.
    pub fn update_for(
        &mut self,
        peer: &Name,
        content: UpdateContent,
        now_ms: u64,
    ) -> Option<UsageUpdate> {
        let known = self.peers.entry(peer.clone()).or_default();
        known.last_contact_ms = now_ms;
        let is_due = known
            .updated_at_ms
            .is_none_or(|at_ms| now_ms >= at_ms + UPDATE_INTERVAL_MS);
        let has_changes = content == UpdateContent::Rows && known.acked_change < self.changes;
        if !(known.ack_due || has_changes && is_due) {
            return None;
        }
        known.ack_due = false;
        let mut rows = Vec::new();
        if has_changes {
            known.updated_at_ms = Some(now_ms);
            let changed = self.rows.iter();
            let changed = changed
                .filter(|(_, row)| row.is_local_hall && row.last_change > known.acked_change);
            rows.extend(changed.map(|((window, counter), row)| UsageRow {
                counter: counter.clone(),
                window: *window,
                counts: row.counts.clone(),
            }));
        }
        Some(UsageUpdate {
            sent_up_to: has_changes.then_some(UsageCursor {
                run: self.me.run,
                change: self.changes,
            }),
            rows,
            received_up_to: known.received,
            fixed_window: self.fixed_window,
        })
    }

    /// Applies an update from `peer`. `is_local_hall` states that the peer is in this hall and sends its own counts.
    pub fn apply(&mut self, peer: &Name, update: UsageUpdate, is_local_hall: bool, now_ms: u64) {
        let known = self.peers.entry(peer.clone()).or_default();
        known.last_contact_ms = now_ms;
        if let Some(window) = update.fixed_window {
            self.note_fixed_window(window);
        }
        let known = self.peers.entry(peer.clone()).or_default();
        if let Some(sent_up_to) = update.sent_up_to {
            known.received = Some(sent_up_to);
            known.ack_due = true;
        }
        // Acknowledgements of an earlier run of this box do not apply to the current run.
        let acked = update
            .received_up_to
            .filter(|acked| acked.run == self.me.run);
        known.acked_change = acked.map_or(0, |acked| acked.change);
        for row in update.rows {
            self.merge(row, is_local_hall);
        }
    }

    /// Records that the reports of `window` and all earlier ones are fixed.
    pub fn note_fixed_window(&mut self, window: u64) {
        if self.fixed_window < Some(window) {
            self.fixed_window = Some(window);
            self.changes += 1;
        }
    }

    /// Newest window whose report is known to be fixed.
    pub fn fixed_window(&self) -> Option<u64> {
        self.fixed_window
    }

    fn merge(&mut self, received: UsageRow, is_local_hall: bool) {
        if received.counter == self.me {
            return;
        }
        let row = self
            .rows
            .entry((received.window, received.counter))
            .or_default();
        let mut is_changed = is_local_hall && !row.is_local_hall;
        row.is_local_hall |= is_local_hall;
        for (workspace, count) in received.counts {
            let known = row.counts.entry(workspace).or_default();
            is_changed |= count > *known;
            *known = count.max(*known);
        }
        if is_changed {
            self.changes += 1;
            row.last_change = self.changes;
        }
    }

    /// Discards windows before `window` and the state of boxes without recent contact.
    pub fn discard_before(&mut self, window: u64, now_ms: u64) {
        self.rows.retain(|(of, _), _| *of >= window);
        self.peers
            .retain(|_, peer| now_ms < peer.last_contact_ms + PEER_TTL_MS);
    }
}
