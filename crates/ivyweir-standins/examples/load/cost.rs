//! What was billed, read from the store.

use std::time::Duration;

use ivyweir_policy::billing::{Bill, Segment};
use ivyweir_standins::Cluster;

/// Price of all requests billed since `from_ms`, when every box has flushed.
pub fn settled_since(world: &Cluster, from_ms: u64) -> u64 {
    let mut last = None;
    loop {
        let total = since(world, from_ms);
        if last == Some(total) {
            return total;
        }
        last = Some(total);
        std::thread::sleep(Duration::from_millis(1_500));
    }
}

fn since(world: &Cluster, from_ms: u64) -> u64 {
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
