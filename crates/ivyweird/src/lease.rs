//! Leases in the store, with a holder and an epoch, that do not depend on synchronised clocks.
//!
//! The holder renews its lease by conditional update and stops acting on it, by its own clock,
//! before another box may take over. Another box takes over once it has observed the same revision
//! for the whole term by its own clock.

use ivyweir_platform::{ObjectStore, Precondition, PutOutcome};
use ivyweir_policy::claim::Incarnation;
use serde::{Deserialize, Serialize};

/// Time after which a lease that was not renewed may be taken over.
pub const TERM_MS: u64 = 5_000;
/// How long before the end of the term the holder stops acting on the lease.
const SAFETY_MARGIN_MS: u64 = 1_500;
/// Interval between renewals, and between checks of a lease that another box holds.
const RENEW_INTERVAL_MS: u64 = 1_200;

/// The stored form of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// The incarnation that holds the lease.
    pub holder: Incarnation,
    /// Incremented on every change of holder.
    pub epoch: u64,
    /// Number of renewals in this epoch.
    pub renewals: u64,
}

/// The local view of one lease.
#[derive(Debug)]
pub struct Lease {
    object: String,
    local: Incarnation,
    observed_revision: u64,
    observed_since_ms: u64,
    held_until_ms: u64,
    next_check_ms: u64,
}

impl Lease {
    /// Creates the view of the lease `name`, initially not held.
    pub fn new(name: &str, local: Incarnation) -> Self {
        Self {
            object: format!("leases/{name}"),
            local,
            observed_revision: 0,
            observed_since_ms: 0,
            held_until_ms: 0,
            next_check_ms: 0,
        }
    }

    /// Returns whether this box holds the lease. Must be checked immediately before each action
    /// that the lease protects.
    pub fn is_held(&self, now_ms: u64) -> bool {
        now_ms < self.held_until_ms
    }

    /// Renews, acquires or checks the lease if the interval has passed. `clock` returns the current
    /// time.
    pub fn renew_or_acquire(&mut self, store: &dyn ObjectStore, clock: impl Fn() -> u64) {
        let requested_ms = clock();
        if requested_ms < self.next_check_ms {
            return;
        }
        self.next_check_ms = requested_ms + RENEW_INTERVAL_MS;
        let Ok(found) = store.get(&self.object) else {
            return;
        };
        let Some(object) = found else {
            self.write(store, requested_ms, 1, 0, Precondition::Absent);
            return;
        };
        let Ok(stored) = serde_json::from_slice::<LeaseRecord>(&object.body) else {
            return;
        };
        let expect = Precondition::Revision(object.revision);
        if stored.holder == self.local {
            self.write(
                store,
                requested_ms,
                stored.epoch,
                stored.renewals + 1,
                expect,
            );
            return;
        }
        self.held_until_ms = 0;
        if object.revision != self.observed_revision {
            self.observed_revision = object.revision;
            self.observed_since_ms = clock();
        } else if requested_ms.saturating_sub(self.observed_since_ms) > TERM_MS {
            self.write(store, requested_ms, stored.epoch + 1, 0, expect);
        }
    }

    fn write(
        &mut self,
        store: &dyn ObjectStore,
        requested_ms: u64,
        epoch: u64,
        renewals: u64,
        expect: Precondition,
    ) {
        let stored = LeaseRecord {
            holder: self.local.clone(),
            epoch,
            renewals,
        };
        let body = serde_json::to_vec(&stored).expect("a lease is always valid JSON");
        // If the reply is lost, the previous expiry stays in effect; the next check shows who holds
        // the lease.
        if let Ok(PutOutcome::Written { .. }) = store.put(&self.object, &body, expect) {
            self.held_until_ms = requested_ms + TERM_MS - SAFETY_MARGIN_MS;
        }
    }
}
