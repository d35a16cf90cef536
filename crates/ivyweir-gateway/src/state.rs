//! State of a box that its tasks share.

mod forecasts;
mod freshness;
mod load_control;
mod paths;
mod placement;
mod quarantine;
mod queues;
mod retries;
mod rollouts;
mod rooms;
mod scaling;
mod shares;
mod statements;
mod store_era;
mod unread_headers;
mod unreadable_records;
mod usage;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use ivyweir_policy::Name;
use ivyweir_policy::gateway::backlog::Backlog;
use ivyweir_policy::gateway::cascade::SustainedShare;
use ivyweir_policy::gateway::fleet::{Fleet, FleetChange};
use ivyweir_policy::gateway::freshness::FreshnessProof;
use ivyweir_policy::gateway::helpers::Helpers;
use ivyweir_policy::gateway::occupancy::PoolOccupancy;
use ivyweir_policy::gateway::pace::PrefillPace;
use ivyweir_policy::gateway::peer_report::{PeerReport, Running, Work};
use ivyweir_policy::gateway::placement::UpstreamLoad;
use ivyweir_policy::gateway::reachability::Reachability;
use ivyweir_policy::gateway::relay::BoxRecord;
use ivyweir_policy::gateway::retry_budget::{FleetCounts, RetryBudget};
use ivyweir_policy::gateway::rollout::RolloutTracker;
use ivyweir_policy::gateway::share::Shares;
use ivyweir_policy::gateway::site::SiteIndex;
use ivyweir_policy::gateway::statement::Source;
use ivyweir_policy::gateway::stop::StopSchedule;
use ivyweir_policy::gateway::upstreams::Upstreams;
use ivyweir_policy::gateway::urgency::BANDS;
use ivyweir_policy::hash::hash64;
use quarantine::Quarantine;
use queues::Queues;
use rooms::Rooms;
use serde_json::json;
use store_era::StoreEra;
use tokio::sync::{Notify, watch};
use unread_headers::UnreadHeaders;
use unreadable_records::UnreadableRecords;
use usage::UsageCounter;

use crate::clock::Clock;
use crate::connection::ConnectionPool;
use crate::dialect::{Adapter, Dialect, DutyCodec, Features, StoreCodec, StoreRecord, Topic};
use crate::history::Histories;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::mutex::lock;
use crate::peers::Peers;
use crate::relay_buffer::RelayBuffers;
use crate::settings::Settings;
use crate::store_events::StoreEvents;
use crate::supervisor::Supervisor;

pub use forecasts::forecast_json;
pub use freshness::SiteView;
pub use paths::PathWatch;
pub use quarantine::{ReplacementWatch, Suspicion};
pub use queues::Waiter;
pub use rollouts::tally_json;
pub use rooms::{RoomDecision, RoomWaiter};

/// Part of the time within which a leaving upstream must have its last work that is reserved for network latency.
const LEAVING_MARGIN_MS: u64 = 700;

/// Maximum number of upstreams in one update whose joining is logged individually.
const MAX_JOINS_LOGGED: usize = 20;

/// State of a box. Each part has its own lock, and no lock is held across an `await`.
pub struct Gateway {
    /// Settings as read at the start.
    pub settings: Settings,
    /// Features that the contracts of the platform call for.
    pub features: Features,
    /// Random id of this run of the process.
    pub run_id: u64,
    /// Monotonic clock.
    pub clock: Clock,
    /// Header names and message formats towards callers and upstreams.
    pub dialect: Arc<dyn Dialect>,
    /// Messages to and from the store.
    pub store_codec: Arc<dyn StoreCodec>,
    /// Messages of the duties to the platform.
    pub duty_codec: Arc<dyn DutyCodec>,
    /// Event log.
    pub log: Log,
    /// Metrics.
    pub metrics: Metrics,
    /// Restarts the background tasks.
    pub supervisor: Supervisor,
    /// Bytes held for callers and upstreams.
    pub relay_buffers: Arc<RelayBuffers>,
    /// Idle connections to upstreams.
    pub channels: ConnectionPool,
    /// Idle connections to boxes that requests were handed over to.
    pub helper_channels: ConnectionPool,
    /// Requests of other boxes that this box is serving.
    pub accepted_handovers: Arc<AtomicU64>,
    /// Membership and reports of the other boxes.
    pub peers: Peers,
    /// Recent changes of the topics, for boxes that follow this one.
    pub histories: Histories,
    /// Notifications about the store between the tasks that follow topics.
    pub store_events: StoreEvents,
    store_era: Mutex<StoreEra>,
    site: Mutex<Option<Arc<SiteIndex>>>,
    proof: Mutex<FreshnessProof>,
    upstreams: Mutex<Upstreams>,
    /// Occupancy of the pools at the last choice of an upstream.
    occupancies: Mutex<HashMap<Name, PoolOccupancy>>,
    /// Shares of escalations by pool and band.
    escalation_shares: Mutex<HashMap<Name, [SustainedShare; BANDS]>>,
    rollouts: Mutex<HashMap<Name, RolloutTracker>>,
    retry_budgets: Mutex<HashMap<Name, RetryBudget>>,
    /// Requests and retries of all boxes, by pool.
    fleet_retry_counts: Mutex<HashMap<Name, FleetCounts>>,
    prefill_paces: Mutex<HashMap<Name, PrefillPace>>,
    quarantine: Mutex<Quarantine>,
    /// Requests that wait until an upstream accepts requests again.
    queues: Mutex<Queues>,
    /// Work and shares of the workspaces, for pools with load control.
    shares: Mutex<Shares>,
    /// Capacity of the plain pools with load control.
    rooms: Mutex<Rooms>,
    /// Counts of started requests, if usage is reported.
    usage: Mutex<UsageCounter>,
    /// Records of the store that cannot be decoded.
    unreadable_records: Mutex<UnreadableRecords>,
    /// Headers of responses that no code reads.
    unread_headers: Mutex<UnreadHeaders>,
    /// Paths to the upstreams.
    paths: Mutex<Reachability>,
    /// Number of checks of the paths, and of changes that concern all of them.
    path_changes: watch::Sender<u64>,
    /// Boxes that requests are handed over to, by pool.
    helpers: Mutex<HashMap<Name, Helpers>>,
    /// Addresses of boxes that others named as able to serve requests.
    hinted_boxes: Mutex<HashMap<Name, SocketAddr>>,
    /// Number of updates in which incarnations of upstreams were replaced.
    replacements: watch::Sender<u64>,
    /// Number of finished checks whether an upstream terminated.
    termination_checks: watch::Sender<u64>,
    /// When other boxes last declined to send requests of a pool for this one.
    share_declined_ms: Mutex<HashMap<Name, u64>>,
    /// Number of times that requests or parts were quarantined.
    quarantine_changes: watch::Sender<u64>,
    /// Notified when there is an update that other boxes need immediately.
    urgent_update: Notify,
    synced_topics: Mutex<Vec<Topic>>,
    stopping_since_ms: AtomicU64,
    /// Whether the shutdown has started.
    stop_signal: watch::Sender<bool>,
    active_requests: AtomicU64,
}

impl Gateway {
    /// Creates the state of a box that has no configuration and no upstreams yet.
    pub fn new(settings: Settings, clock: Clock, adapter: Adapter, log: Log) -> Self {
        let me = BoxRecord {
            name: settings.box_name.clone(),
            hall: settings.hall.clone(),
            peer_addr: settings.peer_addr,
            cpu_milli: (settings.machine.cpu_share * 1_000.0) as u32,
        };
        let box_seed = hash64(&[me.name.as_bytes()]);
        // 32 bits, because JSON parsers that read numbers as doubles keep only 53.
        let run_id = u64::from(rand::random::<u32>());
        let peers = Peers::new(me, run_id, settings.seed_addrs.clone());
        let features = adapter.dialect.features(&settings.contracts);
        let metrics = Metrics::default();
        let relay_buffers = Arc::new(RelayBuffers::new(
            settings.machine.memory_mb,
            features.reads_ahead,
            clock.clone(),
            log.clone(),
            metrics.slow_readers.clone(),
        ));
        let supervisor = Supervisor::new(log.clone(), metrics.task_ends.clone());
        Self {
            clock,
            supervisor,
            features,
            relay_buffers,
            dialect: adapter.dialect,
            store_codec: adapter.store,
            duty_codec: adapter.duties,
            usage: Mutex::new(UsageCounter::new(&settings, run_id)),
            run_id,
            settings,
            log,
            metrics,
            channels: ConnectionPool::default(),
            helper_channels: ConnectionPool::default(),
            accepted_handovers: Arc::default(),
            peers,
            histories: Histories::default(),
            store_events: StoreEvents::default(),
            store_era: Mutex::default(),
            site: Mutex::default(),
            proof: Mutex::default(),
            upstreams: Mutex::new(Upstreams::new(box_seed)),
            occupancies: Mutex::default(),
            escalation_shares: Mutex::default(),
            rollouts: Mutex::default(),
            retry_budgets: Mutex::default(),
            fleet_retry_counts: Mutex::default(),
            prefill_paces: Mutex::default(),
            quarantine: Mutex::default(),
            queues: Mutex::default(),
            shares: Mutex::default(),
            rooms: Mutex::default(),
            unreadable_records: Mutex::default(),
            unread_headers: Mutex::default(),
            paths: Mutex::default(),
            path_changes: watch::Sender::default(),
            helpers: Mutex::default(),
            hinted_boxes: Mutex::default(),
            replacements: watch::Sender::default(),
            termination_checks: watch::Sender::default(),
            share_declined_ms: Mutex::default(),
            quarantine_changes: watch::Sender::default(),
            urgent_update: Notify::new(),
            synced_topics: Mutex::default(),
            stopping_since_ms: AtomicU64::new(0),
            stop_signal: watch::Sender::default(),
            active_requests: AtomicU64::new(0),
        }
    }

    /// The active configuration.
    pub fn site(&self) -> Option<Arc<SiteIndex>> {
        lock(&self.site).clone()
    }

    /// Activates a configuration if it is newer than the active one; returns whether it was.
    pub fn adopt_site(&self, index: SiteIndex) -> bool {
        let mut site = lock(&self.site);
        let version = index.site().version;
        if site.as_ref().is_some_and(|s| s.site().version >= version) {
            return false;
        }
        *site = Some(Arc::new(index));
        true
    }

    /// The known records of a topic.
    pub fn items(&self, topic: Topic) -> Vec<StoreRecord> {
        match topic {
            Topic::Site => {
                let site = self.site();
                let site = site.map(|site| StoreRecord::Site(Box::new(site.site().clone())));
                site.into_iter().collect()
            }
            Topic::Upstreams => {
                let ready = lock(&self.upstreams).ready(self.clock.now_ms());
                ready.into_iter().map(StoreRecord::Upstream).collect()
            }
            Topic::Rollouts => self.with_rollouts(|rollouts, _| {
                let orders = rollouts.values().map(|tracker| tracker.order().clone());
                orders.map(StoreRecord::Rollout).collect()
            }),
            Topic::DrainedHalls => {
                let halls = self.drained_halls().into_iter();
                halls.map(StoreRecord::DrainedHall).collect()
            }
        }
    }

    /// Approximate number of records of a topic, or of routes for the configuration.
    pub fn approximate_len(&self, topic: Topic) -> usize {
        match topic {
            Topic::Site => self.site().map_or(0, |site| site.site().routes.len()),
            Topic::Upstreams => lock(&self.upstreams).fleet().len(),
            Topic::Rollouts | Topic::DrainedHalls => 0,
        }
    }

    /// Report of this box for other boxes.
    pub fn local_report(&self) -> PeerReport {
        let tallies = self.local_tallies();
        let upstreams = lock(&self.upstreams);
        let work = upstreams.local_work();
        let backlog = upstreams.local_backlog();
        let orders_upstreams = self.settings.duties.is_some_and(|d| d.order_upstreams);
        let running = if orders_upstreams {
            upstreams.local_running()
        } else {
            Running::new()
        };
        drop(upstreams);
        let backlog = if self.has_load_control() {
            backlog
        } else {
            Backlog::new()
        };
        PeerReport {
            work,
            backlog,
            tallies,
            repeats: self.local_retry_counts(),
            running,
            shares: self.local_shares(),
            flows: self.local_flows(),
        }
    }

    /// Applies the sum of the reports of other boxes. `report.repeats` and `report.flows` include this box.
    pub fn apply_remote_report(&self, report: PeerReport) {
        self.set_fleet_retry_counts(report.repeats);
        self.set_fleet_flows(&report.flows);
        for (pool, tally) in report.tallies {
            self.set_remote_tally(&pool, tally);
        }
        if self.settings.policy.hear_work {
            self.apply_upstream_reports(&report.work, report.backlog);
        }
        self.apply_share_report(report.shares);
    }

    /// Applies what other boxes report of the upstreams.
    fn apply_upstream_reports(&self, work: &Work, backlog: Backlog) {
        let now_ms = self.clock.now_ms();
        // Boxes with load control report bands also to those without it.
        let backlog = if self.has_load_control() {
            backlog
        } else {
            Backlog::new()
        };
        let mut upstreams = lock(&self.upstreams);
        // Requests whose answers have begun may have no work left, but they still occupy slots.
        if !work.is_empty() || !backlog.is_empty() {
            upstreams.set_peer_work(work, &backlog, now_ms);
        }
    }

    /// Records that a topic was read in full.
    pub fn mark_synced(&self, topic: Topic) {
        let mut synced_topics = lock(&self.synced_topics);
        if !synced_topics.contains(&topic) {
            synced_topics.push(topic);
            self.histories.notify();
        }
    }

    /// Whether all topics have been read and there is an active configuration, as required for serving.
    pub fn is_synced(&self) -> bool {
        lock(&self.synced_topics).len() == self.topics().len() && lock(&self.site).is_some()
    }

    /// Topics that this box follows; it serves once it has read all of them.
    pub fn topics(&self) -> &'static [Topic] {
        if self.settings.bounds.hall_drain_ms.is_some() {
            &Topic::ALL
        } else {
            &Topic::WITHOUT_DRAINS
        }
    }

    /// Starts the shutdown.
    pub fn stop(&self) {
        self.stopping_since_ms
            .store(self.clock.now_ms().max(1), Ordering::Relaxed);
        self.stop_signal.send_replace(true);
        // Boxes that follow this one wait for a change.
        self.histories.notify();
    }

    /// Schedule of the shutdown.
    pub fn stop_schedule(&self) -> StopSchedule {
        StopSchedule::new(self.settings.bounds.stop_grace_ms())
    }

    /// Time of this box's clock at which callers without an answer are told so; `None` if the box is not stopping.
    pub fn answers_until_ms(&self) -> Option<u64> {
        match self.stopping_since_ms.load(Ordering::Relaxed) {
            0 => None,
            since_ms => Some(since_ms + self.stop_schedule().answers_until_ms()),
        }
    }

    /// Waits for the time in the shutdown at which callers without an answer are told so.
    pub async fn until_last_answers(&self) {
        let mut stop = self.stop_signal.subscribe();
        // The sender is borrowed for the wait, so it cannot be gone.
        drop(stop.wait_for(|is_stopping| *is_stopping).await);
        let at_ms = self.answers_until_ms().unwrap_or_default();
        tokio::time::sleep_until(self.clock.instant(at_ms)).await;
    }

    /// Time since the start of the shutdown; `None` if it has not started.
    pub fn stopping_for_ms(&self) -> Option<u64> {
        match self.stopping_since_ms.load(Ordering::Relaxed) {
            0 => None,
            since_ms => Some(self.clock.now_ms().saturating_sub(since_ms)),
        }
    }

    /// Reloads the seed addresses from the settings file, for when boxes were added or removed. Returns false if the file is
    /// incomplete, as while it is being written.
    pub fn reload_seeds(&self) -> bool {
        let Some(file) = &self.settings.file else {
            return true;
        };
        match Settings::from_file(file) {
            Ok(settings) => {
                if self.peers.set_seeds(settings.seed_addrs) {
                    let detail = json!({"seed_addrs": self.peers.seeds()});
                    self.log.line("seeds_changed", detail);
                }
                true
            }
            Err(e) => {
                let detail = json!({"error": e.to_string()});
                self.log.line("settings_unreadable", detail);
                !e.is_incomplete()
            }
        }
    }

    /// Handles a suspension of the machine that lasted for `lasted_ms`. Ages already include that time. Waiting tasks
    /// are woken to check them again, and responses that the store still owes are no longer awaited.
    pub fn handle_suspension(&self, lasted_ms: u64) {
        let detail = json!({"lasted_ms": lasted_ms, "proof_age_ms": self.proof_age_ms()});
        self.log.line("woke", detail);
        self.store_events.notify_store_lost();
        self.histories.notify();
    }

    /// Counts a request as active until the returned guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> ActiveRequest {
        self.active_requests.fetch_add(1, Ordering::Relaxed);
        ActiveRequest(self.clone())
    }

    /// Number of active requests.
    pub fn active_requests(&self) -> u64 {
        self.active_requests.load(Ordering::Relaxed)
    }

    /// Applies a change to the fleet of upstreams and logs the result; `source` is where the change was learned.
    pub fn update_fleet(
        &self,
        source: Source,
        change: impl FnOnce(&mut Fleet, u64) -> Vec<(Name, FleetChange)>,
    ) {
        let now_ms = self.clock.now_ms();
        let mut upstreams = lock(&self.upstreams);
        let changes = change(upstreams.fleet(), now_ms);
        let replaced = upstreams.fleet().take_replaced();
        drop(upstreams);
        self.record_replacements(&replaced);
        // A starting box learns of all upstreams in one update.
        let joined = changes.iter().filter(|(_, c)| *c == FleetChange::Joined);
        let joined = joined.count();
        let is_summarized = joined > MAX_JOINS_LOGGED;
        if is_summarized {
            self.log
                .line("upstreams_joined", json!({"upstreams": joined}));
        }
        for (id, change) in changes {
            let is_logged = is_summarized && change == FleetChange::Joined;
            if change != FleetChange::Nothing && !is_logged {
                self.log_change(&id, change, source);
            }
        }
    }

    fn log_change(&self, id: &Name, change: FleetChange, source: Source) {
        let detail = json!({
            "upstream": id, "change": format!("{change:?}"), "source": source.name(),
        });
        self.log.line("upstream_changed", detail);
    }

    /// Removes upstreams that lapsed long ago and other expired state, and closes idle connections that are no longer
    /// needed.
    pub fn sweep(&self) {
        let now_ms = self.clock.now_ms();
        let grace_ms = self
            .settings
            .bounds
            .leaving_ms
            .saturating_sub(LEAVING_MARGIN_MS);
        if let Some(site) = self.site() {
            lock(&self.rooms).retain_pools(|pool| site.pool(pool).is_some());
        }
        let mut upstreams = lock(&self.upstreams);
        let removed = upstreams.sweep(grace_ms, now_ms);
        self.channels.sweep(|id| upstreams.contains(id), now_ms);
        let known = |id: &str| upstreams.contains(id);
        lock(&self.rooms).retain_upstreams(known);
        self.sweep_paths(known);
        drop(upstreams);
        self.relay_buffers.sweep();
        self.sweep_quarantine();
        self.sweep_usage();
        for id in removed {
            self.log.line("upstream_forgotten", json!({"upstream": id}));
        }
    }

    /// Updates the load of an upstream.
    pub fn with_load(&self, id: &Name, change: impl FnOnce(&mut UpstreamLoad, u64)) {
        let now_ms = self.clock.now_ms();
        let mut upstreams = lock(&self.upstreams);
        change(upstreams.load(id), now_ms);
    }
}

/// Counts a request as active while it exists.
pub struct ActiveRequest(Arc<Gateway>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active_requests.fetch_sub(1, Ordering::Relaxed);
    }
}
