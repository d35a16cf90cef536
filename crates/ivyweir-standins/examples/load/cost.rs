//! Billed cost, computed from the billing segments in the store.

use std::time::Duration;

use ivyweir_policy::billing::{Bill, Segment};
use ivyweir_standins::Cluster;

/// Total cost of the requests billed at or after `from_ms`, in millionths of the billing unit.
///
/// Boxes flush their billing records to the store in batches, so the total is read every 1.5 s
/// until two successive readings agree.
pub fn settled_cost_since(world: &Cluster, from_ms: u64) -> u64 {
    let mut previous = None;
    loop {
        let total = cost_since(world, from_ms);
        if previous == Some(total) {
            return total;
        }
        previous = Some(total);
        std::thread::sleep(Duration::from_millis(1_500));
    }
}

fn cost_since(world: &Cluster, from_ms: u64) -> u64 {
    let segments = world
        .platform
        .objects_with_prefix("bill/")
        .into_iter()
        .map(|body| {
            let mut segment: Segment =
                serde_json::from_slice(&body).expect("segments are valid JSON");
            segment.records.retain(|r| r.at_ms >= from_ms);
            segment
        });
    let bill = Bill::from_segments(segments);
    bill.workspaces.values().map(|t| t.cost_micro).sum()
}
