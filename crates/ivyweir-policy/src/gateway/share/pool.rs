//! Shares of the workspaces in one pool.

use std::collections::{HashMap, HashSet};

use super::fair::{equal_share_ms, fair_share_ms};
use super::report::PoolWork;
use super::window::SentWork;
use crate::Name;

/// Occupancy of all bands from which a pool is short: less than a tenth of its slots is free, and reports are too late
/// to divide the last free slots among the boxes.
const SHORT_OCCUPANCY: f64 = 0.9;
/// Occupancy below which a pool is no longer short. A tenth below the other limit, as one request that starts or ends
/// moves the occupancy of a pool of 24 slots by 0.04.
const RELIEVED_OCCUPANCY: f64 = 0.8;
/// Lowest occupancy assumed of a pool for which requests wait: its capacity is used up.
const WAITING_OCCUPANCY: f64 = 1.0;
/// A higher occupancy counts at once; a lower one is approached with this half-life. Reports are up to 1.8 s old, so
/// without it a pool at the border would change its state with each report. In 1.8 s, an occupancy of 0.95 that drops
/// to 0.7 falls to 0.88, so that the pool stays short until its next peak is reported.
const OCCUPANCY_HALF_LIFE_MS: f64 = 4_000.0;
/// Least interval at which the shares are computed again. It is shorter than the usual interval between reports;
/// departures of upstreams cause exchanges every 50 ms.
const REFRESH_MS: u64 = 200;
/// Least part of the fair share by which a workspace must exceed it to be held back. It bounds the effect of estimates
/// of work that differ slightly between workspaces; chance is covered by [`CHANCE_DEVIATIONS`].
const MIN_MARGIN: f64 = 0.1;
/// Margin above the fair share in standard deviations of the work in a window. 24 equal workspaces have about 300
/// independent windows a minute; four deviations are exceeded by chance in about one of 10,000.
const CHANCE_DEVIATIONS: f64 = 4.0;
/// Part of the margin down to which a workspace that is held back stays so.
const EXIT_MARGIN: f64 = 0.5;
/// Requests in the window below which a workspace is never above its share. With few requests, four deviations are
/// exceeded more often than in a normal distribution: in 4 of 1,000 windows if one request is expected.
const MIN_REQUESTS: f64 = 16.0;

/// Share of a workspace in a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Standing {
    /// Work of the workspace in the last 5 s over the whole fleet, in milliseconds of upstream time. 0 if the workspace
    /// is not among the largest ones.
    pub work_ms: f64,
    /// Fair share of the workspace in the same unit; 0 if the pool is not short.
    pub fair_ms: f64,
    /// Whether the workspace is held back: the pool is short, and the workspace is above its share.
    pub is_over: bool,
}

impl Standing {
    /// Work relative to the fair share; 0 if the pool is not short.
    pub fn ratio(&self) -> f64 {
        if self.fair_ms > 0.0 {
            self.work_ms / self.fair_ms
        } else {
            0.0
        }
    }

    /// Part of the fair share by which the workspace is above it; 0 if it is not held back.
    pub fn over_share(&self) -> f64 {
        if self.is_over {
            (self.ratio() - 1.0).max(0.0)
        } else {
            0.0
        }
    }
}

/// State of a pool on which its shares depend.
#[derive(Debug, Clone, Copy)]
pub struct PoolState {
    /// Requests of all bands per slot of the pool's usable upstreams.
    pub occupancy: f64,
    /// Requests that wait in this box for capacity of the pool.
    pub waiting: u32,
    /// Number of boxes of the fleet, as last known.
    pub fleet_size: usize,
}

/// A change in the shares of a pool.
#[derive(Debug, Clone, PartialEq)]
pub enum ShareChange {
    /// The pool became short of capacity.
    Short,
    /// The pool is not short any more.
    Relieved,
    /// A workspace went above its share.
    Over {
        /// The workspace.
        workspace: Name,
        /// Its share.
        standing: Standing,
    },
    /// A workspace is not held back any more.
    Within {
        /// The workspace.
        workspace: Name,
        /// Its share.
        standing: Standing,
    },
}

/// Shares of one pool as of their last computation.
#[derive(Debug, Default)]
pub(super) struct PoolShares {
    at_ms: Option<u64>,
    pub(super) occupancy: f64,
    is_short: bool,
    fair_ms: f64,
    pub(super) total_ms: f64,
    work_ms: HashMap<Name, f64>,
    over: HashSet<Name>,
}

impl PoolShares {
    /// Whether the shares are to be computed again.
    pub(super) fn is_due(&self, now_ms: u64) -> bool {
        self.at_ms.is_none_or(|at_ms| now_ms >= at_ms + REFRESH_MS)
    }

    /// Whether nothing is to be remembered of the pool.
    pub(super) fn is_idle(&self) -> bool {
        !self.is_short && self.total_ms <= 0.0
    }

    /// Number of workspaces that are held back.
    pub(super) fn over_count(&self) -> usize {
        self.over.len()
    }

    /// Share of a workspace.
    pub(super) fn standing(&self, workspace: &str) -> Standing {
        Standing {
            work_ms: self.work_ms.get(workspace).copied().unwrap_or_default(),
            fair_ms: if self.is_short { self.fair_ms } else { 0.0 },
            is_over: self.over.contains(workspace),
        }
    }

    /// Computes the shares from the work that is known, multiplied by `scale` for boxes that do not report. Returns
    /// what changed.
    pub(super) fn refresh(
        &mut self,
        seen: &PoolWork,
        scale: f64,
        state: &PoolState,
        now_ms: u64,
    ) -> Vec<ShareChange> {
        let was_short = self.is_short;
        self.update_occupancy(state, now_ms);
        let mut changes = self.update_work(seen, scale);
        match (was_short, self.is_short) {
            (false, true) => changes.insert(0, ShareChange::Short),
            (true, false) => changes.push(ShareChange::Relieved),
            _ => {}
        }
        changes
    }

    fn update_occupancy(&mut self, state: &PoolState, now_ms: u64) {
        let current = if state.waiting > 0 {
            state.occupancy.max(WAITING_OCCUPANCY)
        } else {
            state.occupancy
        };
        let elapsed_ms = self.at_ms.map_or(0, |at_ms| now_ms.saturating_sub(at_ms));
        let remaining = (-(elapsed_ms as f64) / OCCUPANCY_HALF_LIFE_MS).exp2();
        self.occupancy = current.max(current + (self.occupancy - current) * remaining);
        let limit = if self.is_short {
            RELIEVED_OCCUPANCY
        } else {
            SHORT_OCCUPANCY
        };
        self.is_short = self.occupancy >= limit;
        self.at_ms = Some(now_ms);
    }

    fn update_work(&mut self, seen: &PoolWork, scale: f64) -> Vec<ShareChange> {
        let works = seen.named.iter();
        let works = works.map(|(name, sent)| (name.clone(), sent.work_ms * scale));
        self.work_ms = works.collect();
        self.total_ms = seen.total().work_ms * scale;
        // The part of the work with which the pool would be relieved. With that at which it becomes short, all workspaces
        // would be within their shares between the two limits, and each change of the occupancy would show in them.
        let served = RELIEVED_OCCUPANCY / self.occupancy.max(RELIEVED_OCCUPANCY);
        let fair_ms = fair_share_ms(seen, served);
        self.fair_ms = fair_ms * scale;
        let over = if self.is_short {
            self.above_share(seen, fair_ms, served)
        } else {
            HashSet::new()
        };
        let before = std::mem::replace(&mut self.over, over);
        let began = self.over.difference(&before);
        let began = began.map(|workspace| ShareChange::Over {
            workspace: workspace.clone(),
            standing: self.standing(workspace),
        });
        let ended = before.difference(&self.over);
        let ended = ended.map(|workspace| ShareChange::Within {
            workspace: workspace.clone(),
            standing: self.standing(workspace),
        });
        began.chain(ended).collect()
    }

    /// The workspaces above their share: in descending order of work, those before the first one that may be above its
    /// share by chance, down to the last one that went above its share now or before. So no workspace is held back while
    /// a larger one is not.
    fn above_share(&self, seen: &PoolWork, fair_ms: f64, served: f64) -> HashSet<Name> {
        let equal_ms = equal_share_ms(seen);
        let limited = seen.named.values().filter(|sent| sent.work_ms > fair_ms);
        let own_part = served / limited.count().max(1) as f64;
        let pool_request_ms = seen.total().effective_request_ms();
        let mut ranked: Vec<(&Name, &SentWork)> = seen.named.iter().collect();
        ranked.sort_by(|a, b| b.1.work_ms.total_cmp(&a.1.work_ms));
        let (mut above, mut held) = (Vec::new(), 0);
        for (name, sent) in ranked {
            let request_ms = sent.effective_request_ms().max(pool_request_ms);
            let enter_ms = enter_ms(fair_ms, equal_ms, request_ms, own_part);
            let exit_ms = fair_ms + EXIT_MARGIN * (enter_ms - fair_ms);
            if sent.requests < MIN_REQUESTS || sent.work_ms < exit_ms {
                break;
            }
            above.push(name.clone());
            if sent.work_ms >= enter_ms || self.over.contains(name) {
                held = above.len();
            }
        }
        above.truncate(held);
        above.into_iter().collect()
    }
}

/// Work from which a workspace is held back, if its requests have the effective work `request_ms`: more than equal
/// workspaces have by chance, and more above the fair share than the difference varies by chance. The number of requests
/// in a window varies by the square root of the number that is expected. The fair share contains `own_part` of the
/// work of the workspace and varies with it.
fn enter_ms(fair_ms: f64, equal_ms: f64, request_ms: f64, own_part: f64) -> f64 {
    let deviation_ms = |work_ms: f64| (work_ms * request_ms).sqrt();
    let above_equal_ms = equal_ms + CHANCE_DEVIATIONS * deviation_ms(equal_ms);
    let above_fair_ms = fair_ms + CHANCE_DEVIATIONS * deviation_ms(fair_ms * (1.0 - own_part));
    let least_ms = fair_ms * (1.0 + MIN_MARGIN);
    above_equal_ms.max(above_fair_ms).max(least_ms)
}
