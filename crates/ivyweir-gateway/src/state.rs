//! What a box knows and shares between its tasks.

mod proof;
mod quarantine;
mod repeats;
mod rollouts;
mod sending;
mod statements;
mod store_era;
mod supply;
mod unread;
mod unreadable;
mod usage;
mod waiting;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::{Fleet, FleetChange};
use ivyweir_policy::gateway::freshness::FreshnessProof;
use ivyweir_policy::gateway::pace::PrefillPace;
use ivyweir_policy::gateway::peer_report::{PeerReport, Running};
use ivyweir_policy::gateway::placement::UpstreamLoad;
use ivyweir_policy::gateway::relay::BoxRecord;
use ivyweir_policy::gateway::retry_budget::{FleetCounts, RetryBudget};
use ivyweir_policy::gateway::rollout::RolloutTracker;
use ivyweir_policy::gateway::site::SiteIndex;
use ivyweir_policy::gateway::statement::Source;
use ivyweir_policy::gateway::upstreams::Upstreams;
use ivyweir_policy::hash::hash64;
use quarantine::Quarantine;
use serde_json::json;
use store_era::StoreEra;
use tokio::sync::{Notify, watch};
use unread::UnreadHeaders;
use unreadable::UnreadableRecords;
use usage::UsageCount;
use waiting::Queues;

use crate::channel::Channels;
use crate::clock::Clock;
use crate::dialect::{Adapter, Dialect, DutyCodec, StoreCodec, StoreRecord, Topic};
use crate::history::Histories;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::settings::Settings;
use crate::store_news::StoreNews;

pub use quarantine::{ReplacedWatch, Suspicion};
pub use rollouts::counts_of;
pub use waiting::Waiter;

/// Part of the time for a leaving upstream's last work that is left for the way there.
const LEAVING_MARGIN_MS: u64 = 700;

/// Upstreams that joined at once up to which each has a line in the log.
const JOINED_LOGGED: usize = 20;

/// A box's state; every part has its own lock, and none is held across a wait.
pub struct Gateway {
    /// The settings it started with.
    pub settings: Settings,
    /// Differs between runs of this box's process.
    pub run: u64,
    /// Steady clock.
    pub clock: Clock,
    /// Names on requests and answers.
    pub dialect: Arc<dyn Dialect>,
    /// The store's messages.
    pub codec: Arc<dyn StoreCodec>,
    /// Messages of duties.
    pub duty_codec: Arc<dyn DutyCodec>,
    /// Decisions, written down.
    pub log: Log,
    /// Counters.
    pub metrics: Metrics,
    /// Kept connections to upstreams.
    pub channels: Channels,
    /// Other boxes.
    pub peers: Peers,
    /// What this box passes on to others.
    pub histories: Histories,
    /// What followers of topics tell each other of the store.
    pub store_news: StoreNews,
    store_era: Mutex<StoreEra>,
    site: Mutex<Option<Arc<SiteIndex>>>,
    proof: Mutex<FreshnessProof>,
    upstreams: Mutex<Upstreams>,
    rollouts: Mutex<HashMap<Name, RolloutTracker>>,
    budgets: Mutex<HashMap<Name, RetryBudget>>,
    /// What all boxes counted of repeats, by pool.
    fleet_repeats: Mutex<HashMap<Name, FleetCounts>>,
    paces: Mutex<HashMap<Name, PrefillPace>>,
    quarantine: Mutex<Quarantine>,
    /// Requests that wait for upstreams that want nothing for now.
    queues: Mutex<Queues>,
    /// Requests that began, where usage is reported.
    usage: Mutex<UsageCount>,
    /// Records of the store that cannot be read.
    unreadable: Mutex<UnreadableRecords>,
    /// Names on answers that nobody reads.
    unread: Mutex<UnreadHeaders>,
    /// Counts how often incarnations of upstreams were replaced.
    replacements: watch::Sender<u64>,
    /// Counts how often it was found out whether an upstream ended.
    looks: watch::Sender<u64>,
    /// Told when there is something that other boxes must know at once.
    urgent: Notify,
    synced: Mutex<Vec<Topic>>,
    stopping_since_ms: AtomicU64,
    active: AtomicU64,
}

impl Gateway {
    /// A box that knows nothing yet.
    pub fn new(settings: Settings, clock: Clock, adapter: Adapter, log: Log) -> Self {
        let me = BoxRecord {
            name: settings.box_name.clone(),
            hall: settings.hall.clone(),
            peer_addr: settings.peer_addr,
            cpu_milli: (settings.machine.cpu_share * 1_000.0) as u32,
        };
        let own = hash64(&[me.name.as_bytes()]);
        // Other readers of JSON keep 53 bits of a number.
        let run = u64::from(rand::random::<u32>());
        let peers = Peers::new(me, run, settings.seed_addrs.clone());
        Self {
            clock,
            dialect: adapter.dialect,
            codec: adapter.store,
            duty_codec: adapter.duties,
            usage: Mutex::new(UsageCount::new(&settings, run)),
            run,
            settings,
            log,
            metrics: Metrics::default(),
            channels: Channels::default(),
            peers,
            histories: Histories::default(),
            store_news: StoreNews::default(),
            store_era: Mutex::default(),
            site: Mutex::default(),
            proof: Mutex::default(),
            upstreams: Mutex::new(Upstreams::new(own)),
            rollouts: Mutex::default(),
            budgets: Mutex::default(),
            fleet_repeats: Mutex::default(),
            paces: Mutex::default(),
            quarantine: Mutex::default(),
            queues: Mutex::default(),
            unreadable: Mutex::default(),
            unread: Mutex::default(),
            replacements: watch::Sender::default(),
            looks: watch::Sender::default(),
            urgent: Notify::new(),
            synced: Mutex::default(),
            stopping_since_ms: AtomicU64::new(0),
            active: AtomicU64::new(0),
        }
    }

    /// The configuration in force.
    pub fn site(&self) -> Option<Arc<SiteIndex>> {
        lock(&self.site).clone()
    }

    /// Adopts a configuration if it is newer than the one in force; returns whether it was.
    pub fn adopt_site(&self, index: SiteIndex) -> bool {
        let mut site = lock(&self.site);
        let version = index.site().version;
        if site.as_ref().is_some_and(|s| s.site().version >= version) {
            return false;
        }
        *site = Some(Arc::new(index));
        true
    }

    /// The records of a topic as this box knows them.
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
                let orders = rollouts.values().map(|track| track.order().clone());
                orders.map(StoreRecord::Rollout).collect()
            }),
            Topic::DrainedHalls => {
                let halls = self.drained_halls().into_iter();
                halls.map(StoreRecord::DrainedHall).collect()
            }
        }
    }

    /// How many records a topic has, about; of a configuration, how many routes.
    pub fn bulk(&self, topic: Topic) -> usize {
        match topic {
            Topic::Site => self.site().map_or(0, |site| site.site().routes.len()),
            Topic::Upstreams => lock(&self.upstreams).fleet().len(),
            Topic::Rollouts | Topic::DrainedHalls => 0,
        }
    }

    /// What this box has to tell others.
    pub fn own_word(&self) -> PeerReport {
        let tallies = self.own_tallies();
        let upstreams = lock(&self.upstreams);
        let work = upstreams.local_work();
        let orders_upstreams = self.settings.duties.is_some_and(|d| d.order_upstreams);
        let running = if orders_upstreams {
            upstreams.local_running()
        } else {
            Running::new()
        };
        drop(upstreams);
        PeerReport {
            work,
            tallies,
            repeats: self.own_repeats(),
            running,
        }
    }

    /// Takes in what others told; `word.repeats` counts for all boxes.
    pub fn take_others_word(&self, word: PeerReport) {
        self.take_fleet_repeats(word.repeats);
        for (pool, tally) in word.tallies {
            self.hear_tally(&pool, tally);
        }
        if word.work.is_empty() || !self.settings.policy.hear_work {
            return;
        }
        let now_ms = self.clock.now_ms();
        lock(&self.upstreams).set_peer_work(word.work, now_ms);
    }

    /// Takes in that a topic was listed in full.
    pub fn set_synced(&self, topic: Topic) {
        let mut synced = lock(&self.synced);
        if !synced.contains(&topic) {
            synced.push(topic);
            self.histories.tell();
        }
    }

    /// Whether this box knows enough to serve.
    pub fn is_synced(&self) -> bool {
        lock(&self.synced).len() == self.topics().len() && lock(&self.site).is_some()
    }

    /// What this box follows; it serves once it has read all of it.
    pub fn topics(&self) -> &'static [Topic] {
        if self.settings.bounds.hall_drain_ms.is_some() {
            &Topic::ALL
        } else {
            &Topic::WITHOUT_DRAINS
        }
    }

    /// Begins the stop.
    pub fn stop(&self) {
        self.stopping_since_ms
            .store(self.clock.now_ms().max(1), Ordering::Relaxed);
    }

    /// Time since the order to stop, if there was one.
    pub fn stopping_for_ms(&self) -> Option<u64> {
        match self.stopping_since_ms.load(Ordering::Relaxed) {
            0 => None,
            since_ms => Some(self.clock.now_ms().saturating_sub(since_ms)),
        }
    }

    /// Reads the seeds from the settings file again: which boxes there are may have changed.
    pub fn reload_seeds(&self) {
        let Some(file) = &self.settings.file else {
            return;
        };
        match Settings::from_file(file) {
            Ok(settings) => {
                if self.peers.set_seeds(settings.seed_addrs) {
                    let detail = json!({"seed_addrs": self.peers.seeds()});
                    self.log.line("seeds_changed", detail);
                }
            }
            Err(e) => {
                let detail = json!({"error": e.to_string()});
                self.log.line("settings_unreadable", detail);
            }
        }
    }

    /// Takes in that the machine was suspended for `lasted_ms`. Ages have grown by that already; what waits looks at
    /// them anew, and what was asked of the store before is not waited for.
    pub fn woke(&self, lasted_ms: u64) {
        let detail = json!({"lasted_ms": lasted_ms, "proof_age_ms": self.proof_age_ms()});
        self.log.line("woke", detail);
        self.store_news.store_lost();
        self.histories.tell();
    }

    /// Counts a request until the returned guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> Active {
        self.active.fetch_add(1, Ordering::Relaxed);
        Active(self.clone())
    }

    /// Requests under way.
    pub fn active(&self) -> u64 {
        self.active.load(Ordering::Relaxed)
    }

    /// Takes in a change of upstreams that was heard there.
    pub fn change_upstream(
        &self,
        source: Source,
        change: impl FnOnce(&mut Fleet, u64) -> Vec<(Name, FleetChange)>,
    ) {
        let now_ms = self.clock.now_ms();
        let mut upstreams = lock(&self.upstreams);
        let changes = change(upstreams.fleet(), now_ms);
        let replaced = upstreams.fleet().take_replaced();
        drop(upstreams);
        self.upstreams_replaced(&replaced);
        // A box that starts hears of all upstreams at once.
        let joined = changes.iter().filter(|(_, c)| *c == FleetChange::Joined);
        let joined = joined.count();
        let is_told_in_all = joined > JOINED_LOGGED;
        if is_told_in_all {
            self.log
                .line("upstreams_joined", json!({"upstreams": joined}));
        }
        for (id, change) in changes {
            let is_told = is_told_in_all && change == FleetChange::Joined;
            if change != FleetChange::Nothing && !is_told {
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

    /// Forgets what lapsed long ago, and closes connections that nobody will use.
    pub fn sweep(&self) {
        let now_ms = self.clock.now_ms();
        let grace_ms = self
            .settings
            .bounds
            .leaving_ms
            .saturating_sub(LEAVING_MARGIN_MS);
        let mut upstreams = lock(&self.upstreams);
        let forgotten = upstreams.sweep(grace_ms, now_ms);
        self.channels.sweep(|id| upstreams.contains(id), now_ms);
        drop(upstreams);
        self.sweep_quarantine();
        self.sweep_usage();
        for id in forgotten {
            self.log.line("upstream_forgotten", json!({"upstream": id}));
        }
    }

    /// Changes what is known of an upstream's load.
    pub fn with_load(&self, id: &Name, change: impl FnOnce(&mut UpstreamLoad, u64)) {
        let now_ms = self.clock.now_ms();
        let mut upstreams = lock(&self.upstreams);
        change(upstreams.load(id), now_ms);
    }
}

/// Counts a request while it lives.
pub struct Active(Arc<Gateway>);

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("invariant: no holder panics")
}
