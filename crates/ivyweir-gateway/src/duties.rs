//! Performs the duties that one box performs for all: it reports usage and orders upstreams.
//!
//! The root, which is the box that watches the store, tries to hold the lease on the duties. Reports and orders are
//! written to the record before they are sent: the write renews the lease, and the next holder repeats those that this
//! one may not have sent.

mod calls;
mod orders;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::duty::DutyRecord;
use ivyweir_policy::gateway::duty::lease::{Lease, LeaseConfig, LeaseStep};
use ivyweir_policy::gateway::duty::scaling::{ScalingPlanner, UpstreamOrder};
use ivyweir_policy::gateway::duty::usage::UsageReport;
use serde_json::json;
use tokio::time::sleep;

use crate::client::{CallError, Client, RESPONSE_TIMEOUT};
use crate::settings;
use crate::state::Gateway;
use crate::store_client::StoreClient;

/// Interval between checks for due work.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Timeout of a duty's call. A call is sent only if the lease outlasts it.
const MAX_CALL_TIMEOUT_MS: u64 = 1_000;
/// With a short lease, the timeout is the lease duration divided by this.
const CALL_TIMEOUT_LEASE_DIVISOR: u64 = 3;

/// Performs the duties for the lifetime of the process.
pub async fn run(gateway: Arc<Gateway>, settings: settings::Duties) {
    let mut worker = Worker::new(gateway, settings);
    loop {
        sleep(POLL_INTERVAL).await;
        if !worker.gateway.histories.is_root() {
            worker.stand_down();
            continue;
        }
        if let Err(e) = worker.poll().await {
            let detail = json!({"error": e.to_string()});
            worker.gateway.log.line("duties_delayed", detail);
            sleep(RETRY_DELAY).await;
        }
    }
}

struct Worker {
    gateway: Arc<Gateway>,
    settings: settings::Duties,
    store: StoreClient,
    platform: Client,
    call_timeout: Duration,
    lease: Lease,
    /// When this box became the root, and so began to receive the counts of all halls; `None` if it is not the root.
    root_since_ms: Option<u64>,
    /// Windows whose reports the platform accepted.
    accepted_windows: BTreeSet<u64>,
    /// Planned orders that have not been sent yet.
    unsent_orders: Vec<UpstreamOrder>,
    planners: HashMap<Name, ScalingPlanner>,
}

/// Changes to write to the record.
#[derive(Debug, Default)]
struct RecordUpdate {
    reports: Vec<UsageReport>,
    orders: Vec<UpstreamOrder>,
}

impl RecordUpdate {
    fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.orders.is_empty()
    }

    /// Applies the changes to the record and removes reports that were accepted.
    fn apply_to(self, record: &mut DutyRecord, accepted_windows: &BTreeSet<u64>) {
        record
            .reports
            .retain(|report| !accepted_windows.contains(&report.window));
        let newest = self.reports.iter().map(|report| report.window).max();
        record.fixed_window = newest.max(record.fixed_window);
        record.reports.extend(self.reports);
        for order in self.orders {
            record.orders.retain(|known| !known.has_same_scope(&order));
            record.orders.push(order);
        }
    }
}

impl Worker {
    fn new(gateway: Arc<Gateway>, settings: settings::Duties) -> Self {
        let call_ms = MAX_CALL_TIMEOUT_MS.min(settings.lease_ms / CALL_TIMEOUT_LEASE_DIVISOR);
        let lease_config = LeaseConfig {
            lease_ms: settings.lease_ms,
            call_ms,
        };
        let me = gateway.settings.box_name.clone();
        Self {
            store: StoreClient::new(gateway.clone()),
            platform: Client::new(settings.addr),
            call_timeout: Duration::from_millis(call_ms),
            lease: Lease::new(me, gateway.run_id, lease_config),
            root_since_ms: None,
            accepted_windows: BTreeSet::new(),
            unsent_orders: Vec::new(),
            planners: HashMap::new(),
            gateway,
            settings,
        }
    }

    /// Discards the planning state, which is outdated by the time this box becomes the root again.
    fn stand_down(&mut self) {
        self.root_since_ms = None;
        self.planners.clear();
        self.unsent_orders.clear();
    }

    async fn poll(&mut self) -> Result<(), CallError> {
        let now_ms = self.gateway.clock.now_ms();
        let root_since_ms = *self.root_since_ms.get_or_insert(now_ms);
        match self.lease.step(now_ms) {
            LeaseStep::Read => self.read().await,
            LeaseStep::Wait => Ok(()),
            LeaseStep::TakeOver => {
                self.write(RecordUpdate::default()).await?;
                self.log_holder();
                Ok(())
            }
            LeaseStep::Held => self.perform(now_ms.saturating_sub(root_since_ms)).await,
        }
    }

    /// Performs the due work as the holder of the lease. `root_for_ms` is the time for which this box has received the
    /// counts of all halls.
    async fn perform(&mut self, root_for_ms: u64) -> Result<(), CallError> {
        let now_ms = self.gateway.clock.now_ms();
        let update = RecordUpdate {
            reports: self.reports_to_fix(root_for_ms),
            orders: self.plan(now_ms),
        };
        self.unsent_orders.retain(|order| {
            !update
                .orders
                .iter()
                .any(|newer| newer.has_same_scope(order))
        });
        self.unsent_orders.extend(update.orders.iter().cloned());
        let has_calls = !self.unsent_orders.is_empty() || self.pending_reports().next().is_some();
        if !update.is_empty() || has_calls && self.lease.fence(now_ms).is_none() {
            self.write(update).await?;
        }
        self.send_reports().await?;
        self.send_orders().await
    }

    fn reports_to_fix(&self, root_for_ms: u64) -> Vec<UsageReport> {
        let Some(usage) = self.settings.usage else {
            return Vec::new();
        };
        let gateway = &self.gateway;
        let windows = usage.schedule().windows_to_fix(
            gateway.fixed_usage_window(),
            gateway.first_usage_window(),
            root_for_ms,
            gateway.usage_epoch_ms(),
        );
        let counts = gateway.usage_totals(windows).into_iter();
        let reports = counts.map(|(window, counts)| UsageReport { window, counts });
        reports.collect()
    }

    /// Fixed reports that are not known to be accepted, oldest first.
    fn pending_reports(&self) -> impl Iterator<Item = &UsageReport> {
        let reports = self.lease.reports().iter();
        reports.filter(|report| !self.accepted_windows.contains(&report.window))
    }

    async fn read(&mut self) -> Result<(), CallError> {
        let request = self.gateway.store_codec.read_duties();
        self.call_store(request).await
    }

    async fn write(&mut self, update: RecordUpdate) -> Result<(), CallError> {
        let now_ms = self.gateway.clock.now_ms();
        let accepted_windows = &self.accepted_windows;
        let (record, revision) = self
            .lease
            .write(now_ms, |record| update.apply_to(record, accepted_windows));
        let request = self.gateway.store_codec.write_duties(&record, revision);
        self.call_store(request).await
    }

    /// Sends a read or write of the record, and processes the state of the record in the response.
    async fn call_store(&mut self, request: Request<Bytes>) -> Result<(), CallError> {
        let response = self.store.call(request, RESPONSE_TIMEOUT).await;
        let outcome = if response.is_ok() { "ok" } else { "failed" };
        let calls = &self.gateway.metrics.store_calls;
        calls.with_label_values(&["duties", outcome]).inc();
        let response = response?;
        let stored = match response.status {
            StatusCode::OK | StatusCode::CREATED | StatusCode::CONFLICT => {
                let stored = self.gateway.store_codec.decode_duties(&response.body);
                Some(stored.map_err(CallError::unreadable)?)
            }
            StatusCode::NOT_FOUND => None,
            status => return Err(CallError::refused(status)),
        };
        self.lease
            .observe(stored, response.era, self.gateway.clock.now_ms());
        if let Some(window) = self.lease.record().and_then(|record| record.fixed_window) {
            self.gateway.note_fixed_usage_window(window);
        }
        let reports = self.lease.reports();
        self.accepted_windows
            .retain(|window| reports.iter().any(|report| report.window == *window));
        Ok(())
    }

    fn log_holder(&self) {
        let record = self.lease.record();
        let is_own = record.is_some_and(|record| record.holder == self.gateway.settings.box_name);
        let event = if is_own {
            "duties_taken"
        } else {
            "duties_held_elsewhere"
        };
        let detail = json!({
            "holder": record.map(|record| &record.holder), "fence": record.map(|record| record.fence),
            "fixed_window": record.and_then(|record| record.fixed_window),
        });
        self.gateway.log.line(event, detail);
    }
}
