//! Does the duties that one box does for all: reports usage and orders upstreams.
//!
//! The box that hears the store itself tries to hold them. What is to be sent is written to the record first:
//! the write renews the lease, and the next holder repeats what this one may not have sent.

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

use crate::client::{ANSWER_LIMIT, CallError, Client};
use crate::settings;
use crate::state::Gateway;
use crate::store_client::StoreClient;

/// How often duties are looked at.
const ROUND: Duration = Duration::from_millis(250);
/// Pause after a call that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(500);
/// The longest time that a duty's call may take; a part of the lease must be left for it.
const CALL_LIMIT_MS: u64 = 1_000;
/// The same as a part of a short lease.
const CALL_PART: u64 = 3;

/// Does the duties for the life of the process.
pub async fn run(gateway: Arc<Gateway>, settings: settings::Duties) {
    let mut worker = Worker::new(gateway, settings);
    loop {
        sleep(ROUND).await;
        if !worker.gateway.histories.is_root() {
            worker.rest();
            continue;
        }
        if let Err(e) = worker.round().await {
            let detail = json!({"error": e.to_string()});
            worker.gateway.log.line("duties_delayed", detail);
            sleep(FAILED_PAUSE).await;
        }
    }
}

struct Worker {
    gateway: Arc<Gateway>,
    settings: settings::Duties,
    store: StoreClient,
    platform: Client,
    call_limit: Duration,
    lease: Lease,
    /// Since when this box hears the store itself, and so the counts of all halls.
    hearing_since_ms: Option<u64>,
    /// Windows whose reports were accepted.
    accepted: BTreeSet<u64>,
    /// Orders that were written down and not sent yet.
    unsent: Vec<UpstreamOrder>,
    planners: HashMap<Name, ScalingPlanner>,
}

/// What is to be written to the record.
#[derive(Debug, Default)]
struct News {
    reports: Vec<UsageReport>,
    orders: Vec<UpstreamOrder>,
}

impl News {
    fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.orders.is_empty()
    }

    /// Adds it to the record, from which accepted reports are dropped.
    fn write_to(self, record: &mut DutyRecord, accepted: &BTreeSet<u64>) {
        record
            .reports
            .retain(|report| !accepted.contains(&report.window));
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
        let call_ms = CALL_LIMIT_MS.min(settings.lease_ms / CALL_PART);
        let terms = LeaseConfig {
            lease_ms: settings.lease_ms,
            call_ms,
        };
        let me = gateway.settings.box_name.clone();
        Self {
            store: StoreClient::new(gateway.clone()),
            platform: Client::new(settings.addr),
            call_limit: Duration::from_millis(call_ms),
            lease: Lease::new(me, gateway.run, terms),
            hearing_since_ms: None,
            accepted: BTreeSet::new(),
            unsent: Vec::new(),
            planners: HashMap::new(),
            gateway,
            settings,
        }
    }

    /// Does nothing while another box hears the store: what was planned by holds no more afterwards.
    fn rest(&mut self) {
        self.hearing_since_ms = None;
        self.planners.clear();
        self.unsent.clear();
    }

    async fn round(&mut self) -> Result<(), CallError> {
        let now_ms = self.gateway.clock.now_ms();
        let since_ms = *self.hearing_since_ms.get_or_insert(now_ms);
        match self.lease.step(now_ms) {
            LeaseStep::Read => self.read().await,
            LeaseStep::Wait => Ok(()),
            LeaseStep::TakeOver => {
                self.write(News::default()).await?;
                self.log_holder();
                Ok(())
            }
            LeaseStep::Held => self.work(now_ms.saturating_sub(since_ms)).await,
        }
    }

    /// Does what is due as the holder; `hearing_ms` is for how long this box has heard the counts of others.
    async fn work(&mut self, hearing_ms: u64) -> Result<(), CallError> {
        let now_ms = self.gateway.clock.now_ms();
        let news = News {
            reports: self.reports_to_fix(hearing_ms),
            orders: self.plan(now_ms),
        };
        self.unsent
            .retain(|order| !news.orders.iter().any(|newer| newer.has_same_scope(order)));
        self.unsent.extend(news.orders.iter().cloned());
        let has_calls = !self.unsent.is_empty() || self.open_reports().next().is_some();
        if !news.is_empty() || has_calls && self.lease.fence(now_ms).is_none() {
            self.write(news).await?;
        }
        self.send_reports().await?;
        self.send_orders().await
    }

    fn reports_to_fix(&self, hearing_ms: u64) -> Vec<UsageReport> {
        let Some(usage) = self.settings.usage else {
            return Vec::new();
        };
        let gateway = &self.gateway;
        let windows = usage.schedule().windows_to_fix(
            gateway.fixed_usage_window(),
            gateway.first_usage_window(),
            hearing_ms,
            gateway.usage_epoch_ms(),
        );
        let counts = gateway.usage_of(windows).into_iter();
        let reports = counts.map(|(window, counts)| UsageReport { window, counts });
        reports.collect()
    }

    /// Reports that are fixed and not known to be accepted, oldest first.
    fn open_reports(&self) -> impl Iterator<Item = &UsageReport> {
        let reports = self.lease.reports().iter();
        reports.filter(|report| !self.accepted.contains(&report.window))
    }

    async fn read(&mut self) -> Result<(), CallError> {
        let request = self.gateway.codec.read_duties();
        self.ask_store(request).await
    }

    async fn write(&mut self, news: News) -> Result<(), CallError> {
        let now_ms = self.gateway.clock.now_ms();
        let accepted = &self.accepted;
        let (record, revision) = self
            .lease
            .write(now_ms, |record| news.write_to(record, accepted));
        let request = self.gateway.codec.write_duties(&record, revision);
        self.ask_store(request).await
    }

    /// Reads or writes the record, and takes in how it stands then.
    async fn ask_store(&mut self, request: Request<Bytes>) -> Result<(), CallError> {
        let answer = self.store.call(request, ANSWER_LIMIT).await;
        let outcome = if answer.is_ok() { "ok" } else { "failed" };
        let calls = &self.gateway.metrics.store_calls;
        calls.with_label_values(&["duties", outcome]).inc();
        let answer = answer?;
        let stored = match answer.status {
            StatusCode::OK | StatusCode::CREATED | StatusCode::CONFLICT => {
                let stored = self.gateway.codec.decode_duties(&answer.body);
                Some(stored.map_err(CallError::unreadable)?)
            }
            StatusCode::NOT_FOUND => None,
            status => return Err(CallError::refused(status)),
        };
        self.lease
            .observe(stored, answer.era, self.gateway.clock.now_ms());
        if let Some(window) = self.lease.record().and_then(|record| record.fixed_window) {
            self.gateway.note_fixed_usage_window(window);
        }
        let reports = self.lease.reports();
        self.accepted
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
