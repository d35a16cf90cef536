//! Shares of the workspaces in the pools.
//!
//! Boxes count the work that they send for each workspace and exchange the sums. While a pool is short of capacity, a
//! workspace with more than its fair share of the pool's work comes after others and is refused first. Otherwise no
//! workspace is held back.

mod coverage;
mod fair;
mod pool;
mod report;
mod window;

use std::collections::HashMap;

use crate::Name;
use coverage::{CoverageWatch, LargestFleet};
use pool::PoolShares;
use window::WorkWindow;

pub use coverage::Coverage;
pub use fair::fair_share_ms;
pub use pool::{PoolState, ShareChange, Standing};
pub use report::{PoolWork, ShareReport};
pub use window::SentWork;

/// Age from which the reports of other boxes are ignored.
const REPORT_MAX_AGE_MS: u64 = 1_500;

/// Work and shares of the workspaces, by pool.
#[derive(Debug, Default)]
pub struct Shares {
    windows: HashMap<Name, WorkWindow>,
    others: ShareReport,
    others_at_ms: Option<u64>,
    pools: HashMap<Name, PoolShares>,
    coverage: CoverageWatch,
    largest_fleet: LargestFleet,
}

impl Shares {
    /// Records that a request of a workspace with this estimated work is sent to the pool.
    pub fn record(&mut self, pool: &Name, workspace: &Name, work_ms: f64, now_ms: u64) {
        let window = self.windows.entry(pool.clone()).or_default();
        window.record(workspace, work_ms, now_ms);
    }

    /// Removes what [`record`](Self::record) recorded at `sent_at_ms`, as the upstream did not run the request. The
    /// workspace still counts among those that have requests.
    pub fn retract(&mut self, pool: &str, workspace: &str, work_ms: f64, sent_at_ms: u64) {
        if let Some(window) = self.windows.get_mut(pool) {
            window.retract(workspace, work_ms, sent_at_ms);
        }
    }

    /// Records that a workspace has a request for the pool, which may wait or be refused. The workspace then counts among
    /// those that share the pool: otherwise one that uses the whole pool would be alone in it and within its share.
    pub fn record_demand(&mut self, pool: &Name, workspace: &Name, now_ms: u64) {
        let window = self.windows.entry(pool.clone()).or_default();
        window.record_demand(workspace, now_ms);
    }

    /// Report of this box.
    pub fn local_report(&mut self, now_ms: u64) -> ShareReport {
        let pools = self.windows.iter_mut().map(|(pool, window)| {
            let work = PoolWork {
                named: window.totals(now_ms),
                ..PoolWork::default()
            };
            (pool.clone(), work)
        });
        let pools = pools.filter(|(_, work)| !work.named.is_empty()).collect();
        self.windows.retain(|_, window| !window.is_empty());
        ShareReport { boxes: 1, pools }.bounded()
    }

    /// Sets the sum of the reports of other boxes. A sum without boxes is ignored: no report arrived, or only reports
    /// of builds that do not count work by workspace.
    pub fn set_others(&mut self, report: ShareReport, now_ms: u64) {
        if !report.is_empty() {
            self.others = report.bounded();
            self.others_at_ms = Some(now_ms);
        }
    }

    /// Pools with work of this box or of others, or with known shares, whose shares were not computed within the last
    /// 200 ms.
    pub fn due_pools(&self, now_ms: u64) -> Vec<Name> {
        let others = self.recent_others(now_ms);
        let others = others.into_iter().flat_map(|others| others.pools.keys());
        let own = self.windows.keys().chain(self.pools.keys());
        let is_due = |pool: &&Name| {
            let shares = self.pools.get(*pool);
            shares.is_none_or(|shares| shares.is_due(now_ms))
        };
        let mut pools: Vec<Name> = own.chain(others).filter(is_due).cloned().collect();
        pools.sort();
        pools.dedup();
        pools
    }

    /// Computes the shares of a pool; returns what changed.
    pub fn refresh(&mut self, pool: &Name, state: &PoolState, now_ms: u64) -> Vec<ShareChange> {
        let scale = self.coverage(state.fleet_size, now_ms).scale();
        let seen = self.seen_work(pool, now_ms);
        let shares = self.pools.entry(pool.clone()).or_default();
        let changes = shares.refresh(&seen, scale, state, now_ms);
        if shares.is_idle() {
            self.pools.remove(pool);
        }
        changes
    }

    /// Share of a workspace in a pool as of the last computation.
    pub fn standing(&self, pool: &str, workspace: &str) -> Standing {
        let shares = self.pools.get(pool);
        shares.map_or_else(Standing::default, |shares| shares.standing(workspace))
    }

    /// Work of a pool in the last 5 s over the whole fleet, in milliseconds of upstream time.
    pub fn pool_work_ms(&self, pool: &str) -> f64 {
        self.pools.get(pool).map_or(0.0, |shares| shares.total_ms)
    }

    /// Number of workspaces of a pool that are held back.
    pub fn over_count(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, PoolShares::over_count)
    }

    /// Occupancy of a pool on which its shares are based.
    pub fn occupancy(&self, pool: &str) -> f64 {
        self.pools.get(pool).map_or(0.0, |shares| shares.occupancy)
    }

    /// How much of the fleet is included in the work. Where reports are missing, the work is multiplied by the size of
    /// the fleet relative to the boxes that are included. All workspaces are scaled alike, so that a box which is cut
    /// off decides by the ratios that it sees itself.
    pub fn coverage(&mut self, fleet_size: usize, now_ms: u64) -> Coverage {
        let fleet_size = self.largest_fleet.update(fleet_size, now_ms);
        let others = self.recent_others(now_ms).map_or(0, |others| others.boxes);
        Coverage {
            boxes: others.saturating_add(1),
            fleet_size: u32::try_from(fleet_size).unwrap_or(u32::MAX),
        }
    }

    /// Updates whether reports of too many boxes are missing, for some seconds. Returns the new state if it changed.
    pub fn update_coverage(&mut self, coverage: &Coverage, now_ms: u64) -> Option<bool> {
        self.coverage.update(coverage, now_ms)
    }

    /// Work of this box and of those that report.
    fn seen_work(&mut self, pool: &Name, now_ms: u64) -> PoolWork {
        let mut seen = PoolWork::default();
        if let Some(window) = self.windows.get_mut(pool) {
            seen.named = window.totals(now_ms);
        }
        if let Some(others) = self.recent_others(now_ms).and_then(|o| o.pools.get(pool)) {
            seen.add(others);
        }
        seen.bound();
        seen
    }

    fn recent_others(&self, now_ms: u64) -> Option<&ShareReport> {
        let at_ms = self.others_at_ms?;
        (now_ms < at_ms + REPORT_MAX_AGE_MS).then_some(&self.others)
    }
}
