//! Keeps quarantined requests in the store, for the case that all boxes lose their memory at once.
//!
//! Boxes tell each other their ledgers, so the store is only written to when a request is quarantined or
//! released, and only read by a box that hears the store itself: when it begins to, and now and then while a
//! request is quarantined, so that operators lift a quarantine by removing its record.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use ivyweir_policy::gateway::quarantine::{Fingerprint, QuarantineRecord};
use serde_json::json;
use tokio::time::sleep;

use crate::client::{ANSWER_LIMIT, CallError};
use crate::state::Gateway;
use crate::store_client::{StoreAnswer, StoreClient};

/// How often a box looks whether there is something to write.
const ROUND: Duration = Duration::from_millis(250);
/// Pause after a call that failed: the quarantine holds meanwhile, in memory.
const FAILED_PAUSE: Duration = Duration::from_secs(2);
/// How often the records are read while there are some: an operator who lifts one waits for as long.
const LOOK_MS: u64 = 5_000;
/// Quarantined requests that are kept; one listing holds them all.
const MOST_KEPT: usize = 256;

/// Keeps quarantined requests for the life of the process.
pub async fn run(gateway: Arc<Gateway>) {
    let mut keeper = Keeper {
        client: StoreClient::new(gateway.clone()),
        gateway,
        kept: HashSet::new(),
        listed_era: 0,
        looked_at_ms: None,
    };
    loop {
        sleep(ROUND).await;
        if !keeper.gateway.histories.is_root() {
            continue;
        }
        if let Err(e) = keeper.round().await {
            let detail = json!({"error": e.to_string()});
            keeper.gateway.log.line("quarantines_not_kept", detail);
            sleep(FAILED_PAUSE).await;
        }
    }
}

struct Keeper {
    gateway: Arc<Gateway>,
    client: StoreClient,
    /// Requests of which the store has a record, as far as is known.
    kept: HashSet<Fingerprint>,
    /// Store era of the last listing of the records.
    listed_era: u64,
    /// When the records were last read.
    looked_at_ms: Option<u64>,
}

impl Keeper {
    async fn round(&mut self) -> Result<(), CallError> {
        if self.is_look_due() {
            self.look().await?;
        }
        let quarantined = self.gateway.quarantined();
        let released: Vec<Fingerprint> = self.kept.difference(&quarantined).copied().collect();
        for fingerprint in released {
            let request = self.gateway.codec.delete_quarantine(fingerprint);
            self.write(request, &[StatusCode::OK, StatusCode::NOT_FOUND])
                .await?;
            self.kept.remove(&fingerprint);
        }
        for fingerprint in quarantined {
            self.keep(fingerprint).await?;
        }
        Ok(())
    }

    fn is_look_due(&self) -> bool {
        let now_ms = self.gateway.clock.now_ms();
        let store_era = self.gateway.store_era();
        match self.looked_at_ms {
            None => true,
            Some(_) if store_era.is_some_and(|era| era != self.listed_era) => true,
            Some(at_ms) => !self.kept.is_empty() && now_ms >= at_ms + LOOK_MS,
        }
    }

    /// Reads the records: those gone within an era of the store were lifted by an operator, others may have outlasted all
    /// boxes.
    async fn look(&mut self) -> Result<(), CallError> {
        let request = self.gateway.codec.list_quarantines();
        let answer = self.call(request).await?;
        // A store that never held one may not know the kind.
        let records = match answer.status {
            StatusCode::OK => self.read(&answer)?,
            StatusCode::NOT_FOUND => Vec::new(),
            status => return Err(CallError::refused(status)),
        };
        let listed: HashSet<Fingerprint> = records.iter().map(|r| r.fingerprint).collect();
        // After a restore, a missing record may be lost rather than removed by an operator. Its quarantine
        // stays in force, and `round` writes the record again.
        if answer.era == self.listed_era {
            let lifted = self.kept.difference(&listed).copied();
            self.gateway.lift_quarantines(lifted.collect());
        }
        self.listed_era = answer.era;
        self.gateway.restore_quarantines(&records);
        self.kept = listed;
        self.looked_at_ms = Some(self.gateway.clock.now_ms());
        Ok(())
    }

    /// The records that can be read.
    fn read(&self, answer: &StoreAnswer) -> Result<Vec<QuarantineRecord>, CallError> {
        let entries = self.gateway.codec.decode_quarantines(&answer.body);
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

    /// Writes the record of a request, unless there is one.
    async fn keep(&mut self, fingerprint: Fingerprint) -> Result<(), CallError> {
        if self.kept.contains(&fingerprint) || self.kept.len() >= MOST_KEPT {
            return Ok(());
        }
        let Some(record) = self.gateway.quarantine_record(fingerprint) else {
            return Ok(());
        };
        let request = self.gateway.codec.create_quarantine(&record);
        let written = [StatusCode::OK, StatusCode::CREATED, StatusCode::CONFLICT];
        self.write(request, &written).await?;
        self.kept.insert(fingerprint);
        Ok(())
    }

    async fn write(
        &mut self,
        request: Request<Bytes>,
        done: &[StatusCode],
    ) -> Result<(), CallError> {
        let answer = self.call(request).await?;
        if done.contains(&answer.status) {
            Ok(())
        } else {
            Err(CallError::refused(answer.status))
        }
    }

    async fn call(&mut self, request: Request<Bytes>) -> Result<StoreAnswer, CallError> {
        let answer = self.client.call(request, ANSWER_LIMIT).await;
        let outcome = if answer.is_ok() { "ok" } else { "failed" };
        let calls = &self.gateway.metrics.store_calls;
        calls.with_label_values(&["quarantines", outcome]).inc();
        answer
    }
}
