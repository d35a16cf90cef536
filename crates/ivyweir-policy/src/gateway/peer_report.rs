//! Periodic reports between boxes: work in progress, tallies of answers during a roll-out, and retry counts.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::gateway::backlog::{Backlog, add_backlog};
use crate::gateway::brittle::BrittleUpdate;
use crate::gateway::canary::{Tally, add_tally};
use crate::gateway::duty::usage::UsageUpdate;
use crate::gateway::quarantine::LedgerUpdate;
use crate::gateway::rate_limit::LimitUpdate;
use crate::gateway::retry_budget::RetryCounts;
use crate::gateway::room::{PoolFlows, add_flows};
use crate::gateway::share::ShareReport;

/// Age from which a report is ignored.
const REPORT_MAX_AGE_MS: u64 = 1_200;

/// Work in progress in milliseconds of upstream time, by upstream.
pub type Work = HashMap<Name, f64>;

/// Requests and retries, by pool.
pub type PoolRetryCounts = HashMap<Name, RetryCounts>;

/// Requests in progress, by pool.
pub type Running = HashMap<Name, u32>;

/// Adds the retry counts `more` to `to`.
pub fn add_retry_counts(to: &mut PoolRetryCounts, more: &PoolRetryCounts) {
    for (pool, counts) in more {
        to.entry(pool.clone()).or_default().add(*counts);
    }
}

/// Report of one box, or the sum of the reports of several boxes.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PeerReport {
    /// Work in progress.
    pub work: Work,
    /// Work in progress by urgency band, for pools with load control.
    #[serde(default, skip_serializing_if = "HashMap::is_empty")]
    pub backlog: Backlog,
    /// Tallies of answers, by pool, for pools with a roll-out in progress.
    pub tallies: HashMap<Name, Tally>,
    /// Requests and retries of the last window, by pool.
    #[serde(default)]
    pub repeats: PoolRetryCounts,
    /// Requests in progress, by pool, for pools whose upstreams are scaled by demand.
    #[serde(default, skip_serializing_if = "HashMap::is_empty")]
    pub running: Running,
    /// Work by workspace, for pools with load control.
    #[serde(default, skip_serializing_if = "ShareReport::is_empty")]
    pub shares: ShareReport,
    /// Requests and answers of plain pools with load control, by pool.
    #[serde(default, skip_serializing_if = "HashMap::is_empty")]
    pub flows: PoolFlows,
}

impl PeerReport {
    /// Adds another report.
    pub fn add(&mut self, more: &Self) {
        self.add_totals(more);
        add_tallies(&mut self.tallies, &more.tallies);
        for (pool, running) in &more.running {
            *self.running.entry(pool.clone()).or_default() += running;
        }
    }

    /// Adds the parts of another report of which a box is told the sum over all boxes.
    pub fn add_totals(&mut self, more: &Self) {
        add_work(&mut self.work, &more.work);
        add_backlog(&mut self.backlog, &more.backlog);
        add_retry_counts(&mut self.repeats, &more.repeats);
        self.shares.add(&more.shares);
        add_flows(&mut self.flows, &more.flows);
    }
}

/// Adds the work `more` to `to`.
pub fn add_work(to: &mut Work, more: &Work) {
    for (upstream, work_ms) in more {
        *to.entry(upstream.clone()).or_default() += work_ms;
    }
}

/// Adds the tallies `more` to `to`.
pub fn add_tallies(to: &mut HashMap<Name, Tally>, more: &HashMap<Name, Tally>) {
    for (pool, tally) in more {
        add_tally(to.entry(pool.clone()).or_default(), tally);
    }
}

/// Subtracts the work that a box reported itself from the total of all boxes.
pub fn subtract_work(mut total: Work, own: &Work) -> Work {
    for (upstream, own_ms) in own {
        if let Some(work_ms) = total.get_mut(upstream) {
            *work_ms = (*work_ms - own_ms).max(0.0);
        }
    }
    total
}

/// Latest reports received from other boxes, by sender.
#[derive(Debug, Default)]
pub struct PeerReports {
    received: HashMap<Name, ReceivedReport>,
}

#[derive(Debug)]
struct ReceivedReport {
    report: PeerReport,
    at_ms: u64,
}

impl ReceivedReport {
    fn is_fresh(&self, now_ms: u64) -> bool {
        self.at_ms + REPORT_MAX_AGE_MS > now_ms
    }
}

impl PeerReports {
    /// Stores the report of a box, or of a relay on behalf of several boxes.
    pub fn insert(&mut self, from: &Name, report: PeerReport, now_ms: u64) {
        self.received.insert(
            from.clone(),
            ReceivedReport {
                report,
                at_ms: now_ms,
            },
        );
        self.received
            .retain(|_, received| received.is_fresh(now_ms));
    }

    /// Senders of current reports.
    pub fn recent_senders(&self, now_ms: u64) -> Vec<Name> {
        let fresh = self
            .received
            .iter()
            .filter(|(_, received)| received.is_fresh(now_ms));
        fresh.map(|(from, _)| from.clone()).collect()
    }

    /// Sums of the work, the backlog, the retry counts, the shares and the flows in current reports, without the other parts.
    pub fn totals(&self, now_ms: u64) -> PeerReport {
        let mut totals = PeerReport::default();
        for received in self
            .received
            .values()
            .filter(|received| received.is_fresh(now_ms))
        {
            totals.add_totals(&received.report);
        }
        totals
    }

    /// Sum of the tallies in current reports of senders other than `except`.
    pub fn tallies_except(&self, except: &str, now_ms: u64) -> HashMap<Name, Tally> {
        let mut sum = HashMap::new();
        let others = self.received.iter().filter(|(from, _)| &***from != except);
        for received in others.map(|(_, received)| received) {
            if received.is_fresh(now_ms) {
                add_tallies(&mut sum, &received.report.tallies);
            }
        }
        sum
    }

    /// Sum of the current reports of senders for which `except` is false.
    pub fn sum_except(&self, except: impl Fn(&str) -> bool, now_ms: u64) -> PeerReport {
        let mut sum = PeerReport::default();
        let others = self.received.iter().filter(|(from, _)| !except(from));
        for received in others.map(|(_, received)| received) {
            if received.is_fresh(now_ms) {
                sum.add(&received.report);
            }
        }
        sum
    }
}

/// A message from a box to its relay, or between relays.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerReportMessage {
    /// The sender.
    pub from: Name,
    /// Whether the report covers the whole hall of the sender.
    pub for_hall: bool,
    /// Whether the sender receives the store's records directly from the store.
    pub is_root: bool,
    /// Whether the sender currently receives the store's records from any source.
    #[serde(rename = "hears")]
    pub receives_records: bool,
    /// The report.
    #[serde(rename = "word")]
    pub report: PeerReport,
    /// Incarnations of upstreams that recently announced their departure other than through the registry.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub departures: Vec<Name>,
    /// Rate limits for all boxes together that upstreams recently stated.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitUpdate>,
    /// Pools whose upstreams fail if they reject many requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub brittle: Vec<BrittleUpdate>,
    /// Update on requests during which upstreams terminated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quarantine: Option<LedgerUpdate>,
    /// Update of the usage counts, if usage is reported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageUpdate>,
}
