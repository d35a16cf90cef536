//! How many requests of each workspace began in each window, summed up over all boxes.
//!
//! Each box counts its own, and boxes tell their counts along the ways on which they tell work: to the relay of
//! their hall, and from there to the other relays. Counts of a box's run only grow, so a row that is told
//! twice, late or by several boxes counts once, and what a box told outlives it. A row is told on until the
//! other end says that it has it.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::Name;

/// Requests by workspace.
pub type Counts = BTreeMap<Name, u32>;

/// How often a box tells another what is new. A box that is killed takes the counts since then with it.
const TOLD_EVERY_MS: u64 = 900;
/// Time since anything was heard from a box after which what it had is forgotten.
const PEER_KEPT_MS: u64 = 60_000;

/// The usage of a window, as it is reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Number of the window since 1970.
    pub window: u64,
    /// Requests that began in it.
    pub counts: Counts,
}

/// A run of a box's process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BoxRun {
    /// The box.
    #[serde(rename = "b")]
    pub name: Name,
    /// Differs between its runs.
    #[serde(rename = "r")]
    pub run: u64,
}

/// What one run of a box counted in a window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// Whose counts they are.
    #[serde(rename = "of")]
    pub counter: BoxRun,
    /// The window.
    #[serde(rename = "w")]
    pub window: u64,
    /// The counts.
    #[serde(rename = "c")]
    pub counts: Counts,
}

/// How much of a teller's changes a box has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// The teller's run.
    pub run: u64,
    /// Its last change that was heard.
    pub change: u64,
}

/// What one box tells another of usage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageNews {
    /// The teller's run and its last change, where it tells rows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub told: Option<Heard>,
    /// Rows that changed since what the other has.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<UsageRow>,
    /// How much the teller has of the other's changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub heard: Option<Heard>,
    /// The newest window whose report the sender knows to be fixed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fixed_window: Option<u64>,
}

#[derive(Debug, Default)]
struct Row {
    counts: Counts,
    /// Number of the table's change that changed it last.
    changed: u64,
    /// Whether it is of this hall: counted here, or told by the box that counted it.
    is_near: bool,
}

/// What is known of another box's table.
#[derive(Debug, Default)]
struct Peer {
    /// What this box has of its changes.
    heard: Option<Heard>,
    /// What it has of this box's changes.
    has: u64,
    told_at_ms: Option<u64>,
    /// Whether it told rows and was not told since that this box has them.
    owed: bool,
    at_ms: u64,
}

/// What is told to another box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Telling {
    /// Rows that changed, and what was heard.
    Rows,
    /// Only what was heard: the other one sums nothing up.
    Heard,
}

/// The counts that a box knows.
#[derive(Debug)]
pub struct UsageTable {
    me: BoxRun,
    rows: BTreeMap<(u64, BoxRun), Row>,
    changes: u64,
    peers: HashMap<Name, Peer>,
    /// The newest window whose report is known to be fixed. A restore of the store may lose the record that says so.
    fixed_window: Option<u64>,
}

impl UsageTable {
    /// The empty table of a run of a box's process.
    pub fn new(me: BoxRun) -> Self {
        Self {
            me,
            rows: BTreeMap::new(),
            changes: 0,
            peers: HashMap::new(),
            fixed_window: None,
        }
    }

    /// Counts a request of this box.
    pub fn count(&mut self, workspace: &Name, window: u64) {
        self.changes += 1;
        let row = self.rows.entry((window, self.me.clone())).or_default();
        row.is_near = true;
        row.changed = self.changes;
        *row.counts.entry(workspace.clone()).or_default() += 1;
    }

    /// The counts of a window over all boxes.
    pub fn total(&self, window: u64) -> Counts {
        let mut total = Counts::new();
        let rows = self.rows.iter().filter(|((of, _), _)| *of == window);
        for (workspace, count) in rows.flat_map(|(_, row)| &row.counts) {
            *total.entry(workspace.clone()).or_default() += count;
        }
        total
    }

    /// The first window in which anything was counted, as far as is remembered.
    pub fn first_window(&self) -> Option<u64> {
        self.rows.keys().next().map(|(window, _)| *window)
    }

    /// What another box is to be told now, if anything.
    pub fn news_for(&mut self, peer: &Name, telling: Telling, now_ms: u64) -> Option<UsageNews> {
        let known = self.peers.entry(peer.clone()).or_default();
        known.at_ms = now_ms;
        let is_due = known
            .told_at_ms
            .is_none_or(|at_ms| now_ms >= at_ms + TOLD_EVERY_MS);
        let has_news = telling == Telling::Rows && known.has < self.changes;
        if !(known.owed || has_news && is_due) {
            return None;
        }
        known.owed = false;
        let mut rows = Vec::new();
        if has_news {
            known.told_at_ms = Some(now_ms);
            let changed = self.rows.iter();
            let changed = changed.filter(|(_, row)| row.is_near && row.changed > known.has);
            rows.extend(changed.map(|((window, counter), row)| UsageRow {
                counter: counter.clone(),
                window: *window,
                counts: row.counts.clone(),
            }));
        }
        Some(UsageNews {
            told: has_news.then_some(Heard {
                run: self.me.run,
                change: self.changes,
            }),
            rows,
            heard: known.heard,
            fixed_window: self.fixed_window,
        })
    }

    /// Takes in what another box tells; `is_near` says that it is of this hall and tells its own.
    pub fn hear(&mut self, peer: &Name, news: UsageNews, is_near: bool, now_ms: u64) {
        let known = self.peers.entry(peer.clone()).or_default();
        known.at_ms = now_ms;
        if let Some(window) = news.fixed_window {
            self.note_fixed_window(window);
        }
        let known = self.peers.entry(peer.clone()).or_default();
        if let Some(told) = news.told {
            known.heard = Some(told);
            known.owed = true;
        }
        // What a box has of an earlier run of this one is nothing of this run.
        let has = news.heard.filter(|heard| heard.run == self.me.run);
        known.has = has.map_or(0, |heard| heard.change);
        for row in news.rows {
            self.merge(row, is_near);
        }
    }

    /// Notes that the reports of this window and all earlier ones are fixed.
    pub fn note_fixed_window(&mut self, window: u64) {
        if self.fixed_window < Some(window) {
            self.fixed_window = Some(window);
            self.changes += 1;
        }
    }

    /// The newest window whose report is known to be fixed.
    pub fn fixed_window(&self) -> Option<u64> {
        self.fixed_window
    }

    fn merge(&mut self, told: UsageRow, is_near: bool) {
        if told.counter == self.me {
            return;
        }
        let row = self.rows.entry((told.window, told.counter)).or_default();
        let mut is_news = is_near && !row.is_near;
        row.is_near |= is_near;
        for (workspace, count) in told.counts {
            let known = row.counts.entry(workspace).or_default();
            is_news |= count > *known;
            *known = count.max(*known);
        }
        if is_news {
            self.changes += 1;
            row.changed = self.changes;
        }
    }

    /// Forgets windows before this one, and boxes of which nothing was heard for long.
    pub fn forget_before(&mut self, window: u64, now_ms: u64) {
        self.rows.retain(|(of, _), _| *of >= window);
        self.peers
            .retain(|_, peer| now_ms < peer.at_ms + PEER_KEPT_MS);
    }
}
