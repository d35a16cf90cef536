//! What a box knows and shares between its tasks.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::{Fleet, FleetChange, Standing, UpstreamRecord};
use ivyweir_policy::gateway::place::{self, Ask, Candidate, UpstreamLoad};
use ivyweir_policy::gateway::proof::Proof;
use ivyweir_policy::gateway::repeat::RepeatBudget;
use ivyweir_policy::gateway::rollout::{RolloutState, RolloutTrack, Side};
use ivyweir_policy::gateway::site::SiteIndex;
use ivyweir_policy::gateway::word::Word;
use ivyweir_policy::rank::hash64;
use serde_json::json;

use crate::channel::Channels;
use crate::clock::Clock;
use crate::dialect::{Dialect, Item, ReportedLoad, StoreCodec, Topic};
use crate::history::Histories;
use crate::judge::log_condemned;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::settings::Settings;

/// Part of the bound on withdrawn keys that is left for the way to the upstream.
const PROOF_MARGIN_MS: u64 = 300;
/// Age of the proof from which a box asks the balancer for no new connections.
const READY_PROOF_AGE_MS: u64 = 3_000;
/// Age of the proof from which this box does not trust its own "no such route".
const DENY_PROOF_AGE_MS: u64 = 3_000;
/// Part of the time for a leaving upstream's last work that is left for the way there.
const LEAVING_MARGIN_MS: u64 = 700;
/// A box's state; every part has its own lock, and none is held across a wait.
pub struct Gateway {
    /// The settings it started with.
    pub settings: Settings,
    /// Steady clock.
    pub clock: Clock,
    /// Names on requests and answers.
    pub dialect: Arc<dyn Dialect>,
    /// The store's messages.
    pub codec: Arc<dyn StoreCodec>,
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
    site: Mutex<Option<Arc<SiteIndex>>>,
    proof: Mutex<Proof>,
    upstreams: Mutex<Upstreams>,
    rollouts: Mutex<HashMap<Name, RolloutTrack>>,
    budgets: Mutex<HashMap<Name, RepeatBudget>>,
    synced: Mutex<Vec<Topic>>,
    stopping_since_ms: AtomicU64,
    active: AtomicU64,
}

/// The upstreams and what this box knows of their load.
#[derive(Debug, Default)]
struct Upstreams {
    fleet: Fleet,
    loads: HashMap<Name, Known>,
    /// The version of each pool that serves what no roll-out moves.
    settled: HashMap<Name, Name>,
}

#[derive(Debug)]
struct Known {
    load: UpstreamLoad,
    id_hash: u64,
}

/// An upstream that was chosen, and why.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The upstream.
    pub upstream: Arc<UpstreamRecord>,
    /// Mean work of the pool's upstreams.
    pub mean_work_ms: f64,
    /// Number of upstreams that were weighed.
    pub candidates: usize,
}

/// Which upstreams of a pool may serve a request.
#[derive(Debug, Clone, Copy)]
pub struct Scope<'a> {
    /// The pool.
    pub pool: &'a Name,
    /// The side of a roll-out that serves it; none where none is under way.
    pub side: Option<Side>,
    /// Upstreams that were tried.
    pub tried: &'a [Name],
}

impl Gateway {
    /// A box that knows nothing yet.
    pub fn new(
        settings: Settings,
        clock: Clock,
        dialect: Arc<dyn Dialect>,
        codec: Arc<dyn StoreCodec>,
        log: Log,
    ) -> Self {
        Self {
            settings,
            clock,
            dialect,
            codec,
            log,
            metrics: Metrics::default(),
            channels: Channels::default(),
            peers: Peers::default(),
            histories: Histories::default(),
            site: Mutex::default(),
            proof: Mutex::default(),
            upstreams: Mutex::default(),
            rollouts: Mutex::default(),
            budgets: Mutex::default(),
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

    /// Takes in that the store answered a question about the configuration asked at `asked_at_ms`.
    pub fn renew_proof(&self, asked_at_ms: u64) {
        lock(&self.proof).renew(asked_at_ms);
        self.histories.tell();
    }

    /// When the proof dates from; 0 if there is none.
    pub fn proof_at_ms(&self) -> u64 {
        let now_ms = self.clock.now_ms();
        self.proof_age_ms()
            .map_or(0, |age_ms| now_ms.saturating_sub(age_ms))
    }

    /// The records of a topic as this box knows them.
    pub fn items(&self, topic: Topic) -> Vec<Item> {
        match topic {
            Topic::Site => {
                let site = self.site();
                let site = site.map(|site| Item::Site(Box::new(site.site().clone())));
                site.into_iter().collect()
            }
            Topic::Upstreams => {
                let upstreams = lock(&self.upstreams);
                let ready = upstreams.fleet.members();
                let ready = ready.filter(|m| m.standing == Standing::Ready);
                ready.map(|m| Item::Upstream((*m.record).clone())).collect()
            }
            Topic::Rollouts => self.with_rollouts(|rollouts, _| {
                let orders = rollouts.values().map(|track| track.order().clone());
                orders.map(Item::Rollout).collect()
            }),
            Topic::Boxes => Vec::new(),
        }
    }

    /// What this box has to tell others.
    pub fn own_word(&self) -> Word {
        let tallies = self.with_rollouts(|rollouts, _| {
            let under_way = rollouts.iter().filter(|(_, track)| !track.is_over());
            let tallies = under_way.map(|(pool, track)| (pool.clone(), track.tally()));
            tallies.collect()
        });
        let upstreams = lock(&self.upstreams);
        let own = upstreams.loads.iter();
        let own = own.map(|(id, known)| (id.clone(), known.load.own_work_ms()));
        Word {
            work: own.filter(|(_, work_ms)| *work_ms > 0.0).collect(),
            tallies,
        }
    }

    /// Takes in what others told.
    pub fn take_others_word(&self, word: Word) {
        for (pool, tally) in word.tallies {
            let condemned = self.with_rollouts(|rollouts, _| {
                let track = rollouts.get_mut(&pool)?;
                track.hear(tally).then(|| track.sum())
            });
            if let Some(sum) = condemned {
                log_condemned(self, &pool, &sum);
            }
        }
        if word.work.is_empty() {
            return;
        }
        let now_ms = self.clock.now_ms();
        let mut upstreams = lock(&self.upstreams);
        let ids: Vec<Name> = upstreams
            .fleet
            .members()
            .map(|m| m.record.id.clone())
            .collect();
        for id in ids {
            let work_ms = word.work.get(&id).copied().unwrap_or(0.0);
            upstreams.known(&id).load.others(work_ms, now_ms);
        }
    }

    /// Age of the proof that the configuration is the newest.
    pub fn proof_age_ms(&self) -> Option<u64> {
        lock(&self.proof).age_ms(self.clock.now_ms())
    }

    /// Whether a keyed request may be sent now.
    pub fn keys_are_current(&self) -> bool {
        let bound_ms = self
            .settings
            .bounds
            .revoke_ms
            .saturating_sub(PROOF_MARGIN_MS);
        lock(&self.proof).is_younger_than(bound_ms, self.clock.now_ms())
    }

    /// Whether this box may say that a route or key does not exist.
    pub fn may_deny(&self) -> bool {
        lock(&self.proof).is_younger_than(DENY_PROOF_AGE_MS, self.clock.now_ms())
    }

    /// Takes in that a topic was listed in full.
    pub fn set_synced(&self, topic: Topic) {
        let mut synced = lock(&self.synced);
        if !synced.contains(&topic) {
            synced.push(topic);
        }
    }

    /// Whether this box knows enough to serve.
    pub fn is_synced(&self) -> bool {
        const TOPICS: usize = 3;
        lock(&self.synced).len() == TOPICS && lock(&self.site).is_some()
    }

    /// Whether the balancer should send new connections.
    pub fn is_ready(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let proven = lock(&self.proof).is_younger_than(READY_PROOF_AGE_MS, now_ms);
        proven && self.is_synced() && self.stopping_for_ms().is_none()
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

    /// Counts a request until the returned guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> Active {
        self.active.fetch_add(1, Ordering::Relaxed);
        Active(self.clone())
    }

    /// Requests under way.
    pub fn active(&self) -> u64 {
        self.active.load(Ordering::Relaxed)
    }

    /// Takes in a change of one upstream.
    pub fn change_upstream(
        &self,
        change: impl FnOnce(&mut Fleet, u64) -> Vec<(Name, FleetChange)>,
    ) {
        let now_ms = self.clock.now_ms();
        let mut upstreams = lock(&self.upstreams);
        let changes = change(&mut upstreams.fleet, now_ms);
        drop(upstreams);
        for (id, change) in changes {
            if change != FleetChange::Nothing {
                let detail = json!({"upstream": id, "change": format!("{change:?}")});
                self.log.line("upstream_changed", detail);
            }
        }
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
        let forgotten = upstreams.fleet.forget_lapsed(grace_ms, now_ms);
        let Upstreams { fleet, loads, .. } = &mut *upstreams;
        let known: std::collections::HashSet<Name> =
            fleet.members().map(|m| m.record.id.clone()).collect();
        loads.retain(|id, known_load| known.contains(id) || known_load.load.in_flight() > 0);
        drop(upstreams);
        self.channels.sweep(|id| known.contains(id), now_ms);
        for id in forgotten {
            self.log.line("upstream_forgotten", json!({"upstream": id}));
        }
    }

    /// Chooses an upstream; none where the pool has none left.
    pub fn choose(&self, scope: &Scope, ask: &Ask) -> Option<Choice> {
        let now_ms = self.clock.now_ms();
        let mut upstreams = lock(&self.upstreams);
        let usable = upstreams.usable(scope, self.rollout_target(scope.pool).as_ref());
        let records: Vec<Arc<UpstreamRecord>> = usable
            .into_iter()
            .filter(|record| !scope.tried.contains(&record.id))
            .collect();
        let candidates: Vec<Candidate> = records
            .iter()
            .map(|record| upstreams.candidate(record))
            .collect();
        let chosen = place::choose(&candidates, ask, now_ms)?;
        Some(Choice {
            upstream: records[chosen].clone(),
            mean_work_ms: place::mean_work_ms(&candidates, now_ms),
            candidates: candidates.len(),
        })
    }

    /// Changes what is known of an upstream's load.
    pub fn with_load(&self, id: &Name, change: impl FnOnce(&mut UpstreamLoad, u64)) {
        let now_ms = self.clock.now_ms();
        let mut upstreams = lock(&self.upstreams);
        change(&mut upstreams.known(id).load, now_ms);
    }

    /// Takes in a load told with an answer.
    pub fn report_load(&self, id: &Name, load: ReportedLoad) {
        self.with_load(id, |known, now_ms| {
            known.report(load.running, load.waiting, now_ms);
        });
    }

    /// Takes in that an upstream leaves.
    pub fn upstream_left(&self, id: &Name) {
        self.change_upstream(|fleet, _| vec![(id.clone(), fleet.leave(id))]);
    }

    /// Counts a request against which repeats are weighed.
    pub fn count_request(&self, pool: &Name) {
        let limits = self.settings.bounds.repeat_limits();
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(pool.clone()).or_default();
        budget.count_request(&limits, self.clock.now_ms());
    }

    /// Takes a repeat out of the pool's budget, if there is one.
    pub fn take_repeat(&self, pool: &Name) -> bool {
        let limits = self.settings.bounds.repeat_limits();
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(pool.clone()).or_default();
        budget.take(&limits, self.clock.now_ms())
    }

    /// The side of a roll-out that serves a request; none where none is under way.
    pub fn side(&self, pool: &Name, session: Option<u64>, seed: u64) -> Option<Side> {
        let now_ms = self.clock.now_ms();
        let rollouts = lock(&self.rollouts);
        let track = rollouts.get(pool).filter(|track| !track.is_over())?;
        Some(track.side(session.unwrap_or(seed), now_ms))
    }

    /// Works on the roll-outs.
    pub fn with_rollouts<T>(
        &self,
        work: impl FnOnce(&mut HashMap<Name, RolloutTrack>, u64) -> T,
    ) -> T {
        work(&mut lock(&self.rollouts), self.clock.now_ms())
    }

    /// Takes in a pool's version that serves what no roll-out moves.
    pub fn settle(&self, pool: &Name, version: &Name) {
        lock(&self.upstreams)
            .settled
            .insert(pool.clone(), version.clone());
    }

    fn rollout_target(&self, pool: &Name) -> Option<Target> {
        let rollouts = lock(&self.rollouts);
        let order = rollouts.get(pool)?.order();
        Some(Target {
            version: order.target_version.clone(),
            state: order.state,
        })
    }
}

/// A roll-out's version and how far it is.
struct Target {
    version: Name,
    state: RolloutState,
}

impl Upstreams {
    fn usable(&mut self, scope: &Scope, target: Option<&Target>) -> Vec<Arc<UpstreamRecord>> {
        let settled = self.settled_version(scope.pool, target);
        let of_version = |version: &Name| self.fleet.usable(scope.pool, |v| v == &**version);
        let is_target = |v: &str| target.is_some_and(|t| v == &*t.version);
        if scope.side == Some(Side::New)
            && let Some(target) = target
        {
            let new = of_version(&target.version);
            if !new.is_empty() {
                return new;
            }
        }
        if let Some(settled) = settled {
            let old = of_version(&settled);
            if !old.is_empty() {
                return old;
            }
        }
        let completed = target.is_some_and(|t| t.state == RolloutState::Completed);
        self.fleet
            .usable(scope.pool, |v| completed || !is_target(v))
    }

    /// The version that serves what no roll-out moves: the first one seen, until a roll-out completes.
    fn settled_version(&mut self, pool: &Name, target: Option<&Target>) -> Option<Name> {
        if let Some(target) = target
            && target.state == RolloutState::Completed
        {
            return Some(target.version.clone());
        }
        if let Some(settled) = self.settled.get(pool)
            && target.is_none_or(|t| t.version != *settled)
        {
            return Some(settled.clone());
        }
        let mut counts: HashMap<Name, usize> = HashMap::new();
        for member in self.fleet.members().filter(|m| m.record.pool == *pool) {
            let version = &member.record.version;
            if target.is_none_or(|t| t.version != *version) {
                *counts.entry(version.clone()).or_default() += 1;
            }
        }
        let (version, _) = counts.into_iter().max_by_key(|(_, count)| *count)?;
        self.settled.insert(pool.clone(), version.clone());
        Some(version)
    }

    fn known(&mut self, id: &Name) -> &mut Known {
        self.loads.entry(id.clone()).or_insert_with(|| Known {
            load: UpstreamLoad::default(),
            id_hash: hash64(&[id.as_bytes()]),
        })
    }

    fn candidate<'a>(&mut self, record: &'a UpstreamRecord) -> Candidate<'a> {
        let known = self.known(&record.id);
        Candidate {
            record,
            id_hash: known.id_hash,
            load: known.load.clone(),
        }
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
