//! The store's era: the number of times it has been restored from a backup.

use serde_json::json;

use super::{Gateway, lock};

impl Gateway {
    /// Updates the known era from the one reported by an answer, and logs an increase.
    ///
    /// Returns the era of the answer: the reported one, else the known one, else 0. A lower era
    /// does not replace the known one, and the first one reported is not logged.
    pub fn update_store_era(&self, reported: Option<u64>) -> u64 {
        let mut known = lock(&self.store_era);
        let previous = *known;
        let era = reported.or(previous).unwrap_or_default();
        if reported > previous {
            *known = reported;
            drop(known);
            if previous.is_some() {
                let detail = json!({"era": era, "era_before": previous});
                self.log.line("store_restored", detail);
                // Requests that are still open may wait for revisions that the store no longer has.
                self.store_news.store_lost();
            }
        }
        era
    }

    /// The highest store era reported so far; `None` until an answer reports one.
    pub fn store_era(&self) -> Option<u64> {
        *lock(&self.store_era)
    }
}
