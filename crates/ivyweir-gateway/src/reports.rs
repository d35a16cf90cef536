//! The reports that boxes exchange a few times a second.
//!
//! A relay sends all boxes of its hall the same totals of work, theirs included, and each box
//! subtracts its own: computing separate totals for each of 75 boxes took time quadratic in their
//! number.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::backlog::subtract_backlog;
use ivyweir_policy::gateway::duty::usage::UpdateContent;
use ivyweir_policy::gateway::peer_report::{
    PeerReport, PeerReportMessage, add_retry_counts, add_tallies, subtract_work,
};
use ivyweir_policy::gateway::relay::{BoxRecord, polls};
use ivyweir_policy::gateway::room::add_flows;
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::box_call;
use crate::client::Client;
use crate::response::{self, ResponseBody, status_only};
use crate::state::Gateway;

/// HTTP path for reports.
pub const REPORT_PATH: &str = "/peer/word";
/// Interval between reports; requests start and end within a few hundred milliseconds.
const EXCHANGE_INTERVAL_MS: u64 = 250;
/// Number of boxes of a hall up to which this interval holds. An empty report and its response are
/// estimated at 450 bytes with their headers: 54 KB a second at the relay of 30 boxes.
const BASE_INTERVAL_BOXES: u64 = 30;
/// Maximum interval between reports; a report stays valid for twice as long.
const MAX_EXCHANGE_INTERVAL_MS: u64 = 600;
/// Minimum pause between a box's reports. Without it, each departure would be a message of its own
/// where hundreds of upstreams leave at once.
const MIN_EXCHANGE_PAUSE: Duration = Duration::from_millis(50);
/// Age up to which a relay sends the same totals of all boxes again.
const FLEET_TOTALS_MAX_AGE_MS: u64 = 100;
/// Response timeout of another box.
const RESPONSE_LIMIT: Duration = Duration::from_millis(400);
/// The same while boxes start together. Relays then pass on complete lists, and seeds respond to
/// every box: behind a link of 10 Mbit/s in front of 75 boxes, responses took longer than 0.4 s,
/// and all boxes left their relay.
const STARTUP_RESPONSE_LIMIT: Duration = Duration::from_millis(1_500);
/// Maximum size of a message between boxes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Exchanges reports with other boxes for the lifetime of the process.
pub async fn exchange_reports(gateway: Arc<Gateway>) {
    let mut clients: HashMap<SocketAddr, Client> = HashMap::new();
    // The relay's totals include what this box last reported.
    let mut last_sent = PeerReport::default();
    loop {
        sleep(MIN_EXCHANGE_PAUSE).await;
        let interval =
            exchange_interval(gateway.peers.hall_size() as u64).saturating_sub(MIN_EXCHANGE_PAUSE);
        // A quarantine or a departure is sent at once: until it arrives, another box may still send
        // a request.
        let _woken = timeout(interval, gateway.wait_for_urgent_update()).await;
        let ledger_change = gateway.ledger_change();
        let mut report = match relay_to_report_to(&gateway) {
            Some(relay) => {
                let own = gateway.local_report();
                let sent = std::mem::replace(&mut last_sent, own.clone());
                let message = own_message(&gateway, &relay.name, false, own, UpdateContent::Rows);
                send_report(&gateway, &mut clients, &relay, &message).await;
                let mut report = others_report(&gateway, |_| false);
                report.work = subtract_work(report.work, &sent.work);
                report.backlog = subtract_backlog(report.backlog, &sent.backlog);
                report.shares = report.shares.without(&sent.shares);
                report
            }
            None => {
                report_to_other_halls(&gateway, &mut clients).await;
                let mut report = others_report(&gateway, |_| false);
                let own = gateway.local_report();
                add_retry_counts(&mut report.repeats, &own.repeats);
                add_flows(&mut report.flows, &own.flows);
                report
            }
        };
        report.work.retain(|_, work_ms| *work_ms > 0.0);
        report.backlog.retain(|_, load| !load.is_zero());
        gateway.apply_remote_report(report);
        gateway.record_ledger_reported(ledger_change);
    }
}

/// Returns the relay of this box's hall, unless it is this box. A box that stops refuses the calls of others, so they
/// have another relay, and it reports to that one.
fn relay_to_report_to(gateway: &Gateway) -> Option<BoxRecord> {
    let (hall, now_ms) = (&gateway.settings.hall, gateway.clock.now_ms());
    if gateway.stopping_for_ms().is_some() {
        gateway.peers.relay_after_me(hall, now_ms)
    } else {
        gateway.peers.relay(hall, now_ms)
    }
}

/// Interval between a box's reports, by the number of boxes in its hall.
fn exchange_interval(boxes: u64) -> Duration {
    let interval_ms = EXCHANGE_INTERVAL_MS * boxes.max(BASE_INTERVAL_BOXES) / BASE_INTERVAL_BOXES;
    Duration::from_millis(interval_ms.min(MAX_EXCHANGE_INTERVAL_MS))
}

/// Sends this hall's report to the relays of other halls.
async fn report_to_other_halls(gateway: &Gateway, clients: &mut HashMap<SocketAddr, Client>) {
    let own_hall = &gateway.settings.hall;
    let root = gateway.peers.root();
    for hall in gateway.peers.halls() {
        if hall == *own_hall {
            continue;
        }
        let Some(relay) = gateway.peers.relay(&hall, gateway.clock.now_ms()) else {
            continue;
        };
        // Each pair of relays exchanges reports once per interval. A relay always calls its root,
        // as it must detect its loss. A relay that stops refuses calls, so it makes them all.
        let is_stopping = gateway.stopping_for_ms().is_some();
        if is_stopping || polls(own_hall, &hall) || root.as_ref() == Some(&relay) {
            let report = hall_report(gateway);
            let message = own_message(gateway, &relay.name, true, report, UpdateContent::Rows);
            send_report(gateway, clients, &relay, &message).await;
        }
    }
}

/// Sends a message to a box and applies its response.
async fn send_report(
    gateway: &Gateway,
    clients: &mut HashMap<SocketAddr, Client>,
    to: &BoxRecord,
    message: &PeerReportMessage,
) {
    let client = clients
        .entry(to.peer_addr)
        .or_insert_with(|| Client::new(to.peer_addr));
    let limit = if gateway.peers.is_fleet_starting() {
        STARTUP_RESPONSE_LIMIT
    } else {
        RESPONSE_LIMIT
    };
    let response = box_call::post::<PeerReportMessage>(client, REPORT_PATH, message, limit).await;
    let now_ms = gateway.clock.now_ms();
    match response {
        Ok(response) => {
            gateway.peers.record_response(&to.name);
            apply_message(gateway, response, now_ms);
        }
        Err(_) => {
            clients.remove(&to.peer_addr);
            gateway.peers.record_unresponsive(&to.name, now_ms);
            gateway
                .log
                .line("peer_lost", json!({"peer": to.name, "about": "word"}));
        }
    }
}

/// Applies a message of another box.
fn apply_message(gateway: &Gateway, message: PeerReportMessage, now_ms: u64) {
    if message.is_root && gateway.peers.yield_root(&message.from) {
        let detail = json!({"peer": message.from});
        gateway.log.line("root_yielded", detail);
    }
    // A box without a source returns at once to one that has a source, instead of waiting for its
    // back-off.
    if message.receives_records && !gateway.receives_store_records() {
        gateway.peers.record_source(&message.from);
    }
    gateway.apply_departures(&message.departures);
    gateway.apply_limits(&message.limits);
    gateway.apply_brittle_pools(&message.brittle);
    if let Some(update) = message.quarantine {
        gateway.apply_ledger_update(&message.from, update);
    }
    if let Some(update) = message.usage {
        gateway.apply_usage_update(&message.from, update, !message.for_hall);
    }
    gateway
        .peers
        .add_report(&message.from, message.report, now_ms);
}

/// Returns the sum of the reports of boxes other than those matched by `except`.
fn others_report(gateway: &Gateway, except: impl Fn(&str) -> bool) -> PeerReport {
    let now_ms = gateway.clock.now_ms();
    gateway.peers.sum_reports_except(except, now_ms)
}

/// Returns the report of this hall: this box's own and those of the boxes of the hall that report
/// to it.
fn hall_report(gateway: &Gateway) -> PeerReport {
    let hall = &gateway.settings.hall;
    let mut report = others_report(gateway, |from| !gateway.peers.is_in_hall(from, hall));
    report.add(&gateway.local_report());
    report.shares = report.shares.bounded();
    report
}

/// Returns the report for a box of this hall: all work and retry counts, including its own, and the
/// roll-out counts of all others.
fn report_for(gateway: &Gateway, sender: &Name, now_ms: u64) -> PeerReport {
    let own = gateway.local_report();
    let totals = gateway
        .peers
        .fleet_totals(FLEET_TOTALS_MAX_AGE_MS, now_ms, &own);
    let mut tallies = gateway.peers.tallies_except(sender, now_ms);
    add_tallies(&mut tallies, &own.tallies);
    PeerReport { tallies, ..totals }
}

/// Builds this box's message to another one.
fn own_message(
    gateway: &Gateway,
    to: &Name,
    for_hall: bool,
    report: PeerReport,
    content: UpdateContent,
) -> PeerReportMessage {
    PeerReportMessage {
        from: gateway.settings.box_name.clone(),
        for_hall,
        is_root: gateway.histories.is_root(),
        receives_records: gateway.receives_store_records(),
        report,
        departures: gateway.recent_departures(),
        limits: gateway.recent_limits(),
        brittle: gateway.recent_brittle_pools(),
        quarantine: gateway.ledger_update_for(to),
        usage: gateway.usage_update_for(to, content),
    }
}

/// Handles a report, and responds with the reports of other boxes.
pub async fn handle(gateway: &Gateway, request: Request<Incoming>) -> Response<ResponseBody> {
    let message = box_call::read_message::<PeerReportMessage>(request, MAX_MESSAGE_BYTES);
    let Some(message) = message.await else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    let now_ms = gateway.clock.now_ms();
    let report = if message.for_hall {
        hall_report(gateway)
    } else {
        report_for(gateway, &message.from, now_ms)
    };
    let (sender, for_hall) = (message.from.clone(), message.for_hall);
    apply_message(gateway, message, now_ms);
    // Boxes of the hall compute no sums, so they need no rows.
    let content = if for_hall {
        UpdateContent::Rows
    } else {
        UpdateContent::AckOnly
    };
    response::peer_message(&own_message(gateway, &sender, for_hall, report, content))
}
