//! Stand-ins for the cases of the review: the platform's store, servers, requesters, and the start of the project's
//! own program. Only the standard library is used.

pub mod boxes;
pub mod http;
pub mod json;
pub mod plain;
pub mod record;
pub mod store;

use std::time::{Duration, Instant};

/// Waits until `check` holds. Returns whether it did within the limit.
pub fn wait_for(limit: Duration, mut check: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if check() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
