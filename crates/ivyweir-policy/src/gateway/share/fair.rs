//! Max-min fair shares of a pool.

use super::report::PoolWork;

/// Work per workspace up to which no workspace of a pool is above its share, in milliseconds.
///
/// `served` is the part of the work that the pool can serve without being short. It is divided max-min: workspaces that
/// need less than an equal share get what they need, and the others divide what is left equally. The result is at least
/// an equal share of all work, so that a workspace with average work or less is never above its share, also if none
/// uses more than any other.
pub fn fair_share_ms(work: &PoolWork, served: f64) -> f64 {
    let mut demands: Vec<(f64, u32)> = work.named.values().map(|sent| (sent.work_ms, 1)).collect();
    if work.rest_workspaces > 0 {
        let mean_ms = work.rest.work_ms / f64::from(work.rest_workspaces);
        demands.push((mean_ms, work.rest_workspaces));
    }
    demands.sort_by(|a, b| a.0.total_cmp(&b.0));
    let capacity_ms = work.total().work_ms * served.clamp(0.0, 1.0);
    divide(&demands, capacity_ms).max(equal_share_ms(work))
}

/// Work per workspace if all had the same, in milliseconds.
pub(super) fn equal_share_ms(work: &PoolWork) -> f64 {
    let named = u32::try_from(work.named.len()).unwrap_or(u32::MAX);
    let workspaces = named.saturating_add(work.rest_workspaces);
    work.total().work_ms / f64::from(workspaces.max(1))
}

/// Divides `capacity_ms` among demands in ascending order, each with the number of workspaces that have it. Returns the
/// most that a workspace gets.
fn divide(demands: &[(f64, u32)], capacity_ms: f64) -> f64 {
    let mut left_ms = capacity_ms;
    let mut left: u32 = demands.iter().map(|(_, count)| count).sum();
    let mut largest_ms = 0.0;
    for (demand_ms, count) in demands {
        let level_ms = left_ms / f64::from(left.max(1));
        if *demand_ms > level_ms {
            return level_ms;
        }
        left_ms -= demand_ms * f64::from(*count);
        left -= count;
        largest_ms = *demand_ms;
    }
    largest_ms
}
