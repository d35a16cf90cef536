//! Shares of the workspaces in the pools: this box's work, the reports of others, and what operators are told.

use ivyweir_policy::Name;
use ivyweir_policy::gateway::share::{Coverage, PoolState, ShareChange, ShareReport, Standing};
use ivyweir_policy::gateway::wait::Queue;
use ivyweir_policy::gateway::work::Estimate;
use serde_json::{Value, json};

use super::Gateway;
use crate::job::Job;
use crate::mutex::lock;

/// Name under which all requests without a workspace are counted together. Workspaces have non-empty names.
const ANONYMOUS: &str = "";

impl Gateway {
    /// How far the workspace of a request is above its fair share of the pool, as a part of that share. 0 if it is
    /// within its share, if the pool is not short of capacity, and without load control.
    pub fn over_share(&self, job: &Job) -> f64 {
        if !self.has_load_control() {
            return 0.0;
        }
        let standing = lock(&self.shares).standing(&job.pool, &workspace_name(job));
        standing.over_share()
    }

    /// Counts the workspace of a request among those that have requests for the pool, whether the request is sent, waits
    /// or is refused.
    pub fn record_workspace_demand(&self, job: &Job) {
        if self.has_load_control() {
            let now_ms = self.clock.now_ms();
            lock(&self.shares).record_demand(&job.pool, &workspace_name(job), now_ms);
        }
    }

    /// Counts a request that is sent to an upstream towards the work of its workspace.
    pub fn count_workspace_work(&self, job: &Job, estimate: Estimate, sent_at_ms: u64) {
        if self.has_load_control() {
            let workspace = workspace_name(job);
            let mut shares = lock(&self.shares);
            shares.record(&job.pool, &workspace, estimate.total_ms(), sent_at_ms);
        }
    }

    /// Removes the work of a send at this time, as the upstream did not run the request.
    pub fn retract_workspace_work(&self, job: &Job, estimate: Estimate, sent_at_ms: u64) {
        if self.has_load_control() {
            let workspace = workspace_name(job);
            let mut shares = lock(&self.shares);
            shares.retract(&job.pool, &workspace, estimate.total_ms(), sent_at_ms);
        }
    }

    /// Work by workspace for the report of this box; empty without load control.
    pub(super) fn local_shares(&self) -> ShareReport {
        if !self.has_load_control() {
            return ShareReport::default();
        }
        lock(&self.shares).local_report(self.clock.now_ms())
    }

    /// Applies the work by workspace of other boxes, and computes the shares that are due. Requests read them as of the
    /// last exchange of reports.
    pub(super) fn apply_share_report(&self, report: ShareReport) {
        if !self.has_load_control() {
            return;
        }
        let now_ms = self.clock.now_ms();
        let fleet_size = self.peers.fleet_size();
        let mut shares = lock(&self.shares);
        shares.set_others(report, now_ms);
        let coverage = shares.coverage(fleet_size, now_ms);
        let change = shares.update_coverage(&coverage, now_ms);
        let pools = shares.due_pools(now_ms);
        drop(shares);
        if let Some(is_incomplete) = change {
            self.log_coverage(&coverage, is_incomplete);
        }
        self.refresh_shares(pools, fleet_size, now_ms);
    }

    /// Logs that the work by workspace begins or ceases to be an estimate from a part of the fleet.
    fn log_coverage(&self, coverage: &Coverage, is_incomplete: bool) {
        let event = if is_incomplete {
            "shares_estimated"
        } else {
            "shares_complete"
        };
        let detail = json!({
            "boxes": coverage.boxes, "fleet_size": coverage.fleet_size, "scale": coverage.scale(),
        });
        self.log.line(event, detail);
    }

    /// Computes the shares of pools, and logs and exports what changed. Each lock is acquired once for all pools.
    fn refresh_shares(&self, pools: Vec<Name>, fleet_size: usize, now_ms: u64) {
        let mut upstreams = lock(&self.upstreams);
        let occupancies = pools.iter().map(|pool| {
            // Without a usable upstream, requests fail for that reason and not for a lack of capacity.
            upstreams.pool_occupancy(pool, now_ms).unwrap_or_default()
        });
        let occupancies: Vec<f64> = occupancies.collect();
        drop(upstreams);
        let queues = lock(&self.queues);
        let waiting = pools
            .iter()
            .map(|pool| queues.get(pool).map_or(0, Queue::len));
        let mut waiting: Vec<u32> = waiting.collect();
        drop(queues);
        let rooms = lock(&self.rooms);
        for (pool, waiting) in pools.iter().zip(&mut waiting) {
            *waiting += rooms.waiting(pool);
        }
        drop(rooms);
        let mut shares = lock(&self.shares);
        let states = occupancies.into_iter().zip(waiting);
        let states = states.map(|(occupancy, waiting)| PoolState {
            occupancy,
            waiting,
            fleet_size,
        });
        let refreshed = pools
            .into_iter()
            .zip(states)
            .map(|(pool, state)| RefreshedPool {
                changes: shares.refresh(&pool, &state, now_ms),
                work_ms: shares.pool_work_ms(&pool),
                over: shares.over_count(&pool),
                occupancy: shares.occupancy(&pool),
                waiting: state.waiting,
                pool,
            });
        let refreshed: Vec<RefreshedPool> = refreshed.collect();
        drop(shares);
        refreshed.iter().for_each(|pool| self.publish_shares(pool));
    }

    /// Logs and exports the shares of a pool.
    fn publish_shares(&self, refreshed: &RefreshedPool) {
        let labels = &[&*refreshed.pool];
        let work_gauge = self.metrics.pool_work.with_label_values(labels);
        work_gauge.set(refreshed.work_ms.round() as i64);
        let over_gauge = self.metrics.workspaces_over.with_label_values(labels);
        over_gauge.set(i64::try_from(refreshed.over).unwrap_or(i64::MAX));
        for change in &refreshed.changes {
            let (event, mut detail) = change_line(change);
            detail["pool"] = json!(refreshed.pool);
            detail["occupancy"] = json!(refreshed.occupancy);
            detail["waiting"] = json!(refreshed.waiting);
            detail["pool_work_ms"] = json!(refreshed.work_ms.round());
            self.log.line(event, detail);
        }
    }
}

/// Shares of a pool after they were computed.
struct RefreshedPool {
    pool: Name,
    changes: Vec<ShareChange>,
    work_ms: f64,
    /// Number of workspaces that are held back.
    over: usize,
    occupancy: f64,
    waiting: u32,
}

/// Name under which the work of a request is counted.
fn workspace_name(job: &Job) -> Name {
    let workspace = job.workspace.as_ref();
    workspace.map_or_else(|| ANONYMOUS.into(), |workspace| workspace.name.clone())
}

/// Event and details of the log line about a change.
fn change_line(change: &ShareChange) -> (&'static str, Value) {
    let of_workspace = |workspace: &Name, standing: &Standing| {
        json!({
            "workspace": workspace, "work_ms": standing.work_ms.round(),
            "fair_ms": standing.fair_ms.round(), "ratio": standing.ratio(),
        })
    };
    match change {
        ShareChange::Short => ("pool_short", json!({})),
        ShareChange::Relieved => ("pool_relieved", json!({})),
        ShareChange::Over {
            workspace,
            standing,
        } => ("workspace_over_share", of_workspace(workspace, standing)),
        ShareChange::Within {
            workspace,
            standing,
        } => ("workspace_within_share", of_workspace(workspace, standing)),
    }
}
