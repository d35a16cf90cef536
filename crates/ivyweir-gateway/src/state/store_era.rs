//! The store's era: the number of times it has been restored from a backup.

use ivyweir_policy::gateway::freshness::ProofTime;
use serde_json::json;

use super::Gateway;
use crate::mutex::lock;

/// The store's known era, and when its contents are complete again after a restore.
#[derive(Debug, Default)]
pub(super) struct StoreEra {
    /// The highest one reported so far; `None` until a response reports one.
    number: Option<u64>,
    /// When the store settles after the last known restore; 0 if none is known.
    settles_at_ms: u64,
}

impl Gateway {
    /// Updates the known era from the one reported by a response, and logs an increase.
    ///
    /// Returns the era of the response: the reported one, else the known one, else 0. A lower era
    /// does not replace the known one, and the first one reported is not logged.
    pub fn update_store_era(&self, reported: Option<u64>) -> u64 {
        let mut known = lock(&self.store_era);
        let previous = known.number;
        let era = reported.or(previous).unwrap_or_default();
        if reported > previous {
            known.number = reported;
            if previous.is_some() {
                known.settles_at_ms = self.clock.now_ms() + self.settings.policy.store_settle_ms;
            }
            drop(known);
            if previous.is_some() {
                let detail = json!({"era": era, "era_before": previous});
                self.log.line("store_restored", detail);
                // Requests that are still open may wait for revisions that the store no longer has.
                self.store_events.notify_store_lost();
            }
        }
        era
    }

    /// The highest store era reported so far; `None` until a response reports one.
    pub fn store_era(&self) -> Option<u64> {
        lock(&self.store_era).number
    }

    /// Time until the store settles after its last restore; 0 if it has settled.
    pub fn store_settles_in_ms(&self) -> u64 {
        let settles_at_ms = lock(&self.store_era).settles_at_ms;
        settles_at_ms.saturating_sub(self.clock.now_ms())
    }

    /// Records the time until the store settles, as reported by another box.
    ///
    /// Ignored once the era is known, because this box then detects restores itself. Limited to the configured time.
    pub fn note_store_settles_in(&self, in_ms: u64) {
        let in_ms = in_ms.min(self.settings.policy.store_settle_ms);
        let mut known = lock(&self.store_era);
        if known.number.is_none() {
            known.settles_at_ms = self.clock.now_ms() + in_ms;
        }
    }

    /// Whether operators and upstreams have had time to repeat the writes that the last restore lost.
    pub fn is_store_settled(&self) -> bool {
        self.store_settles_in_ms() == 0
    }

    /// Whether the store had settled by then.
    pub(super) fn was_store_settled_at(&self, proven_at: ProofTime) -> bool {
        let settles_at_ms = lock(&self.store_era).settles_at_ms;
        settles_at_ms == 0 || proven_at.is_at_or_after(settles_at_ms)
    }
}
