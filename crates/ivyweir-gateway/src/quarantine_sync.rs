//! Synchronizes quarantines with the store, so that they survive a simultaneous restart of all boxes.
//!
//! Boxes exchange their ledgers directly. The store is therefore written only when a request is quarantined or
//! released, and read only by the root: when it first becomes the root, after a restore of the store, and periodically
//! while there are records, so that operators can lift a quarantine by removing its record.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use ivyweir_policy::gateway::quarantine::{Fingerprint, QuarantineRecord};
use serde_json::json;
use tokio::time::sleep;

use crate::client::{CallError, RESPONSE_TIMEOUT};
use crate::state::Gateway;
use crate::store_client::{StoreClient, StoreResponse};

/// Interval between checks for quarantines to write.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Delay after a failed call. Quarantines stay in force in memory meanwhile.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Interval between reads of the records while there are any, and so the maximum delay until the removal of a record
/// takes effect.
const REFRESH_INTERVAL_MS: u64 = 5_000;
/// Time for which the store may still apply a removal that it has not answered.
const LATE_REMOVAL_MS: u64 = 30_000;
/// Maximum number of records in the store, so that one listing returns them all.
const MAX_RECORDS: usize = 256;

/// Synchronizes quarantines for the lifetime of the process.
pub async fn run(gateway: Arc<Gateway>) {
    let mut sync = QuarantineSync {
        client: StoreClient::new(gateway.clone()),
        gateway,
        stored: HashSet::new(),
        late_removals: HashMap::new(),
        listed_era: 0,
        refreshed_at_ms: None,
    };
    loop {
        sleep(POLL_INTERVAL).await;
        if !sync.gateway.histories.is_root() {
            continue;
        }
        if let Err(e) = sync.poll().await {
            let detail = json!({"error": e.to_string()});
            sync.gateway.log.line("quarantines_not_kept", detail);
            sleep(RETRY_DELAY).await;
        }
    }
}

struct QuarantineSync {
    gateway: Arc<Gateway>,
    client: StoreClient,
    /// Requests known to have a record in the store.
    stored: HashSet<Fingerprint>,
    /// Records whose removal the store has not answered, and the time until which it may still be applied.
    late_removals: HashMap<Fingerprint, u64>,
    /// Store era of the last listing of the records.
    listed_era: u64,
    /// When the records were last read.
    refreshed_at_ms: Option<u64>,
}

impl QuarantineSync {
    async fn poll(&mut self) -> Result<(), CallError> {
        if self.is_refresh_due() {
            self.refresh().await?;
        }
        let quarantined = self.gateway.quarantined();
        let released: Vec<Fingerprint> = self.stored.difference(&quarantined).copied().collect();
        for fingerprint in released {
            self.remove_record(fingerprint).await?;
        }
        for fingerprint in quarantined {
            self.store_record(fingerprint).await?;
        }
        Ok(())
    }

    fn is_refresh_due(&self) -> bool {
        let now_ms = self.gateway.clock.now_ms();
        let store_era = self.gateway.store_era();
        match self.refreshed_at_ms {
            None => true,
            Some(_) if store_era.is_some_and(|era| era != self.listed_era) => true,
            Some(at_ms) => !self.stored.is_empty() && now_ms >= at_ms + REFRESH_INTERVAL_MS,
        }
    }

    /// Reads the records. The quarantine of a record that disappeared within an era of the store was lifted by an
    /// operator. Quarantines that no box knows any more are restored.
    async fn refresh(&mut self) -> Result<(), CallError> {
        let request = self.gateway.store_codec.list_quarantines();
        let response = self.call(request).await?;
        // A store that never held such a record may not know its kind.
        let records = match response.status {
            StatusCode::OK => self.decode_records(&response)?,
            StatusCode::NOT_FOUND => Vec::new(),
            status => return Err(CallError::refused(status)),
        };
        let listed: HashSet<Fingerprint> = records.iter().map(|r| r.fingerprint).collect();
        let now_ms = self.gateway.clock.now_ms();
        self.late_removals.retain(|_, until_ms| now_ms < *until_ms);
        // After a restore, a missing record may be lost rather than removed by an operator, and so may one that this box
        // asked to remove before. Its quarantine stays in force, and `poll` writes the record again.
        if response.era == self.listed_era {
            let missing = self.stored.difference(&listed).copied();
            let lifted = missing.filter(|missing| !self.late_removals.contains_key(missing));
            self.gateway.lift_quarantines(lifted.collect());
        }
        self.listed_era = response.era;
        self.gateway.restore_quarantines(&records);
        self.stored = listed;
        self.refreshed_at_ms = Some(self.gateway.clock.now_ms());
        Ok(())
    }

    /// Decodes the records of a listing; logs and skips those that cannot be decoded.
    fn decode_records(&self, response: &StoreResponse) -> Result<Vec<QuarantineRecord>, CallError> {
        let entries = self.gateway.store_codec.decode_quarantines(&response.body);
        let mut records = Vec::new();
        for entry in entries.map_err(CallError::unreadable)? {
            match entry {
                Ok(record) => records.push(record),
                Err(e) => {
                    let detail = json!({"topic": "quarantines", "error": e.to_string()});
                    self.gateway.log.line("record_unreadable", detail);
                }
            }
        }
        Ok(records)
    }

    async fn remove_record(&mut self, fingerprint: Fingerprint) -> Result<(), CallError> {
        let request = self.gateway.store_codec.delete_quarantine(fingerprint);
        let removed = [StatusCode::OK, StatusCode::NOT_FOUND];
        let result = self.write(request, &removed).await;
        if let Err(CallError::ResponseLost { .. } | CallError::Abandoned { .. }) = &result {
            let until_ms = self.gateway.clock.now_ms() + LATE_REMOVAL_MS;
            self.late_removals.insert(fingerprint, until_ms);
        }
        result?;
        self.stored.remove(&fingerprint);
        Ok(())
    }

    /// Writes the record of a quarantined request, unless it has one.
    async fn store_record(&mut self, fingerprint: Fingerprint) -> Result<(), CallError> {
        if self.stored.contains(&fingerprint) || self.stored.len() >= MAX_RECORDS {
            return Ok(());
        }
        let Some(record) = self.gateway.quarantine_record(fingerprint) else {
            return Ok(());
        };
        let request = self.gateway.store_codec.create_quarantine(&record);
        let written = [StatusCode::OK, StatusCode::CREATED, StatusCode::CONFLICT];
        self.write(request, &written).await?;
        self.stored.insert(fingerprint);
        Ok(())
    }

    async fn write(
        &mut self,
        request: Request<Bytes>,
        accepted: &[StatusCode],
    ) -> Result<(), CallError> {
        let response = self.call(request).await?;
        if accepted.contains(&response.status) {
            Ok(())
        } else {
            Err(CallError::refused(response.status))
        }
    }

    async fn call(&mut self, request: Request<Bytes>) -> Result<StoreResponse, CallError> {
        let response = self.client.call(request, RESPONSE_TIMEOUT).await;
        let outcome = if response.is_ok() { "ok" } else { "failed" };
        let calls = &self.gateway.metrics.store_calls;
        calls.with_label_values(&["quarantines", outcome]).inc();
        response
    }
}
