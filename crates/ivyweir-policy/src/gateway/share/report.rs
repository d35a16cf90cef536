//! Work by workspace as boxes report it to each other.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::window::SentWork;
use crate::Name;

/// Number of workspaces of a pool that a report names. With equal shares, a workspace that is not among the 16 largest
/// uses less than a sixteenth of a pool, so it can hardly crowd out the others.
pub const MAX_NAMED: usize = 16;

/// Work for a pool in the last 5 s by workspace: the largest by name, the others as a sum.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolWork {
    /// Work by workspace.
    pub named: HashMap<Name, SentWork>,
    /// Work of all other workspaces.
    #[serde(default)]
    pub rest: SentWork,
    /// Number of the other workspaces. In a sum of reports it is a lower bound, as several boxes may count the same
    /// ones; a lower bound makes the shares larger and so holds nobody back wrongly.
    #[serde(default)]
    pub rest_workspaces: u32,
}

impl PoolWork {
    /// Adds the work of other boxes.
    pub fn add(&mut self, more: &Self) {
        for (workspace, sent) in &more.named {
            self.named.entry(workspace.clone()).or_default().add(*sent);
        }
        self.rest.add(more.rest);
        self.rest_workspaces = self.rest_workspaces.max(more.rest_workspaces);
    }

    /// Removes the work that a box reported itself. What the sum does not name was added to its rest.
    fn subtract(&mut self, less: &Self) {
        for (workspace, sent) in &less.named {
            let Some(named) = self.named.get_mut(workspace) else {
                self.rest.subtract(*sent);
                continue;
            };
            named.subtract(*sent);
            if named.is_zero() {
                self.named.remove(workspace);
            }
        }
        self.rest.subtract(less.rest);
    }

    /// Moves all but the largest workspaces to the rest.
    pub fn bound(&mut self) {
        if self.named.len() <= MAX_NAMED {
            return;
        }
        let mut ranked: Vec<(Name, SentWork)> = self.named.drain().collect();
        // Ties are broken by name, so that all boxes name the same workspaces.
        ranked.sort_by(|a, b| {
            let by_work = b.1.work_ms.total_cmp(&a.1.work_ms);
            by_work.then_with(|| a.0.cmp(&b.0))
        });
        let unnamed = ranked.split_off(MAX_NAMED);
        self.named = ranked.into_iter().collect();
        let moved = u32::try_from(unnamed.len()).unwrap_or(u32::MAX);
        self.rest_workspaces = self.rest_workspaces.max(moved);
        unnamed.iter().for_each(|(_, sent)| self.rest.add(*sent));
    }

    /// Work of all workspaces.
    pub fn total(&self) -> SentWork {
        let mut total = self.rest;
        self.named.values().for_each(|sent| total.add(*sent));
        total
    }
}

/// Work by workspace of one box, or of several boxes together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ShareReport {
    /// Number of boxes whose work is included.
    pub boxes: u32,
    /// Work by pool.
    #[serde(default, skip_serializing_if = "HashMap::is_empty")]
    pub pools: HashMap<Name, PoolWork>,
}

impl ShareReport {
    /// Whether it includes no box.
    pub fn is_empty(&self) -> bool {
        self.boxes == 0
    }

    /// Adds the report of other boxes.
    pub fn add(&mut self, more: &Self) {
        self.boxes = self.boxes.saturating_add(more.boxes);
        for (pool, work) in &more.pools {
            self.pools.entry(pool.clone()).or_default().add(work);
        }
    }

    /// Removes what a box reported itself from the report of all boxes.
    #[must_use]
    pub fn without(mut self, own: &Self) -> Self {
        self.boxes = self.boxes.saturating_sub(own.boxes);
        for (pool, work) in &own.pools {
            if let Some(sum) = self.pools.get_mut(pool) {
                sum.subtract(work);
            }
        }
        self
    }

    /// Bounds the size of the report: the largest workspaces of each pool stay named.
    #[must_use]
    pub fn bounded(mut self) -> Self {
        self.pools.values_mut().for_each(PoolWork::bound);
        self
    }
}
