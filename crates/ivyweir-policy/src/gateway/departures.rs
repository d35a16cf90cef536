//! Departures of upstreams that a box learned of before the registry reported them, for propagation to other boxes.
//!
//! An upstream whose record cannot be written announces its departure only to the boxes that send it requests. Each box
//! repeats to the others for a while what it learned, whether from an upstream or from another box, so that relays
//! forward it. Receiving the same departure again has no effect.

use std::collections::VecDeque;

use crate::Name;

/// Time for which a departure is propagated: about 16 rounds at the slowest exchange rate, over three boxes in a row.
const RETENTION_MS: u64 = 10_000;
/// Maximum number of departures in a message, about 25 bytes each: 6 KB if more than that leave within 10 s. The oldest
/// are dropped; the registry reports them too.
const MAX_ENTRIES: usize = 256;

/// Recent departures, each by incarnation.
#[derive(Debug, Default)]
pub struct Departures {
    /// Incarnation and time of receipt, oldest first.
    entries: VecDeque<(Name, u64)>,
}

impl Departures {
    /// Records the departure of an incarnation. The caller ensures that it was not recorded before.
    pub fn record(&mut self, id: &Name, now_ms: u64) {
        self.evict_old(now_ms);
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back((id.clone(), now_ms));
    }

    /// Departures to propagate now.
    pub fn recent(&mut self, now_ms: u64) -> Vec<Name> {
        self.evict_old(now_ms);
        self.entries.iter().map(|(id, _)| id.clone()).collect()
    }

    fn evict_old(&mut self, now_ms: u64) {
        let is_old = |at_ms: u64| at_ms.saturating_add(RETENTION_MS) <= now_ms;
        while self.entries.front().is_some_and(|(_, at)| is_old(*at)) {
            self.entries.pop_front();
        }
    }
}
