//! The state of one box, shared by all of its threads.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use ivyweir_engine::{Engine, HttpEngine};
use ivyweir_peer::Client;
use ivyweir_platform::{BoxListSource, HttpPlatform, ObjectStore};
use ivyweir_policy::claim::Incarnation;
use ivyweir_policy::freshness::{self, Freshness, FreshnessEvidence};
use ivyweir_policy::membership::{GossipTiming, Member, MemberTable};
use ivyweir_policy::{BoxState, Code, Name, Refusal};
use ivyweir_rating::{HttpRater, Rater};
use ivyweir_service::{HttpService, Service};

use crate::clock::Clock;
use crate::config::{BoxListState, ConfigSnapshot, ConfigState};
use crate::dispatcher::Dispatcher;
use crate::idempotency::IdempotencyKeys;
use crate::ledger::Ledger;
use crate::metrics::Metrics;
use crate::rating::RatingQueue;
use crate::settings::Settings;
use crate::shards::lock;
use crate::version_stats::VersionStats;

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Timeout of a call to the platform while a caller waits for the result.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The shared state of a box.
pub struct Node {
    /// Settings read at start-up.
    pub settings: Settings,
    /// Identity of this run of the box: its name and the time of its start.
    pub incarnation: Incarnation,
    /// Monotonic clock of this process.
    pub clock: Clock,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// The configuration in force.
    pub config: ConfigState,
    /// The box list last read from the platform.
    pub box_list: BoxListState,
    /// The object store.
    pub store: Arc<dyn ObjectStore>,
    /// The same object store with a shorter timeout, for calls that a caller waits for.
    pub claim_store: Arc<dyn ObjectStore>,
    /// Source of the box list.
    pub box_source: Arc<dyn BoxListSource>,
    /// Client for engines.
    pub engine: Arc<dyn Engine>,
    /// Client for services other than engines.
    pub service: Arc<dyn Service>,
    /// Client for the rating service, if one is configured.
    pub rater: Option<Arc<dyn Rater>>,
    /// Client for peers.
    pub peers: Client,
    /// Upstreams and the queues of requests that wait for them.
    pub dispatcher: Dispatcher,
    /// Quality estimates and verdicts, by version.
    pub version_stats: VersionStats,
    /// Answers that wait to be rated.
    pub rating_queue: RatingQueue,
    /// Billing records that are not in the store yet.
    pub ledger: Ledger,
    /// State of the requests that run at most once.
    pub idempotency: IdempotencyKeys,
    members: Mutex<MemberTable>,
    live_boxes: AtomicU32,
    in_progress: AtomicUsize,
    draining: AtomicBool,
    warmed_up: AtomicBool,
    started_ms: u64,
    stopped: AtomicBool,
    stop_signal: (Mutex<()>, Condvar),
}

/// Counts a request as in progress until it is dropped.
pub struct RequestGuard<'a> {
    node: &'a Node,
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.node.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Node {
    /// Creates the state of a box that does not listen yet.
    ///
    /// # Errors
    ///
    /// If the threads of the peer client cannot be created.
    pub fn new(settings: Settings) -> io::Result<Self> {
        let clock = Clock::start();
        let incarnation = Incarnation {
            box_name: settings.box_name.clone(),
            number: Clock::epoch_ms(),
        };
        let platform = Arc::new(HttpPlatform::new(&settings.platform_url, PLATFORM_TIMEOUT));
        let rater = settings.rating_url.as_ref().map(|url| {
            let rater: Arc<dyn Rater> = Arc::new(HttpRater::new(url));
            rater
        });
        let members = MemberTable::new(Member {
            name: settings.box_name.clone(),
            incarnation: incarnation.number,
            heartbeat: 0,
            leaving: false,
            hall: settings.hall.clone(),
            peer_addr: settings.reachable_peer_addr().into(),
            successor: None,
            generation: 0,
        });
        Ok(Self {
            metrics: Metrics::new(),
            config: ConfigState::new(),
            box_list: BoxListState::default(),
            store: platform.clone(),
            claim_store: Arc::new(HttpPlatform::new(&settings.platform_url, CLAIM_TIMEOUT)),
            box_source: platform,
            engine: Arc::new(HttpEngine::default()),
            service: Arc::new(HttpService::default()),
            rater,
            peers: Client::new(settings.fleet_key())?,
            dispatcher: Dispatcher::new(&settings),
            version_stats: VersionStats::new(&incarnation),
            rating_queue: RatingQueue::new(),
            ledger: Ledger::new(settings.limits.max_billing_bytes),
            idempotency: IdempotencyKeys::new(&incarnation),
            members: Mutex::new(members),
            live_boxes: AtomicU32::new(1),
            in_progress: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            warmed_up: AtomicBool::new(false),
            started_ms: clock.now_ms(),
            stopped: AtomicBool::new(false),
            stop_signal: (Mutex::new(()), Condvar::new()),
            incarnation,
            clock,
            settings,
        })
    }

    /// The configuration in force.
    pub fn current(&self) -> Arc<ConfigSnapshot> {
        self.config.get()
    }

    /// Calls `f` with the locked membership table, the gossip timing and the current time.
    pub fn with_members<T>(&self, f: impl FnOnce(&mut MemberTable, &GossipTiming, u64) -> T) -> T {
        let mut table = lock(&self.members);
        let timing = self.gossip_timing();
        f(&mut table, &timing, self.clock.now_ms())
    }

    /// Gossip timing for the current size of the fleet.
    pub fn gossip_timing(&self) -> GossipTiming {
        GossipTiming::for_fleet(self.live_boxes() as usize)
    }

    /// Number of serving boxes, including this one.
    pub fn live_boxes(&self) -> u32 {
        self.live_boxes.load(Ordering::Relaxed).max(1)
    }

    /// Recounts the serving boxes.
    pub fn update_live_boxes(&self) {
        let serving = self.serving_members().len() as u32;
        self.live_boxes.store(serving, Ordering::Relaxed);
        self.metrics.boxes_alive.record(u64::from(serving), &[]);
    }

    /// Members that are alive and not leaving.
    pub fn serving_members(&self) -> Vec<Member> {
        self.with_members(|table, timing, now_ms| table.serving(timing, now_ms))
    }

    /// The membership record of a box, regardless of its health.
    pub fn member(&self, name: &str) -> Option<Member> {
        self.with_members(|table, _, _| table.get(name).cloned())
    }

    /// Evidence for the freshness of this box's configuration.
    pub fn freshness_evidence(&self) -> FreshnessEvidence {
        let (listed, alive) = self
            .with_members(|table, timing, now_ms| table.listed_and_alive_counts(timing, now_ms));
        FreshnessEvidence {
            proof_age_ms: self.config.proof_age_ms(self.clock.now_ms()),
            listed_boxes: listed,
            alive_boxes: alive,
        }
    }

    /// Whether any member has a newer configuration than this box.
    pub fn is_behind(&self) -> bool {
        let generation = self.config.generation();
        self.with_members(|table, _, _| table.members().any(|r| r.generation > generation))
    }

    /// Freshness of this box's configuration, which decides whether it may serve.
    pub fn freshness(&self) -> Freshness {
        freshness::assess(self.freshness_evidence())
    }

    /// Admits a request from a caller.
    ///
    /// # Errors
    ///
    /// If this box is draining or cannot show that its configuration is current. The request has not
    /// run in this case.
    pub fn admit(&self) -> Result<RequestGuard<'_>, Refusal> {
        let guard = self.admit_forwarded()?;
        if self.is_draining() {
            return Err(
                Refusal::not_run(Code::Draining, "this box is stopping").with_retry_after(0)
            );
        }
        Ok(guard)
    }

    /// Admits a request that a peer forwarded, even while this box is draining: whether it may run
    /// is then decided by this box's authority over the session.
    ///
    /// # Errors
    ///
    /// If this box cannot show that its configuration is current. The request has not run in this
    /// case.
    pub fn admit_forwarded(&self) -> Result<RequestGuard<'_>, Refusal> {
        self.in_progress.fetch_add(1, Ordering::AcqRel);
        let guard = RequestGuard { node: self };
        if self.config.generation() == 0 || !self.freshness().admits_requests() {
            let message = "this box cannot show that its configuration is current";
            return Err(Refusal::not_run(Code::StaleConfig, message)
                .with_retry_after(STALE_CONFIG_RETRY_AFTER_MS));
        }
        Ok(guard)
    }

    /// Number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Whether this box is ready to receive requests from callers.
    pub fn is_ready(&self) -> bool {
        let admits_requests = self.config.generation() > 0 && self.freshness().admits_requests();
        !self.is_draining() && admits_requests && self.is_warmed_up()
    }

    /// Whether the box list is known and at least half of its live upstreams have reported their load,
    /// or the warm-up has timed out.
    ///
    /// Without a warm-up, a box that has just started would refuse requests because it knows no
    /// usable upstream.
    fn is_warmed_up(&self) -> bool {
        if self.warmed_up.load(Ordering::Relaxed) {
            return true;
        }
        let live = self
            .dispatcher
            .filter_map_upstreams(|u| (u.state == BoxState::Live).then_some(u.report.at_ms));
        let reported = live.iter().filter(|at_ms| **at_ms > 0).count();
        let has_list = self.box_list.get().generation > 0;
        let timed_out = self.clock.now_ms() > self.started_ms + WARM_UP_TIMEOUT_MS;
        let warmed_up = timed_out || (has_list && reported * 2 >= live.len());
        self.warmed_up.store(warmed_up, Ordering::Relaxed);
        warmed_up
    }

    /// Stops admitting new requests. Returns whether this call started the draining.
    pub fn drain(&self) -> bool {
        !self.draining.swap(true, Ordering::AcqRel)
    }

    /// Whether this box is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Tells the background threads to end.
    pub fn stop(&self) {
        let _guard = lock(&self.stop_signal.0);
        self.stopped.store(true, Ordering::Release);
        self.stop_signal.1.notify_all();
    }

    /// Sleeps for `timeout`, or until the background threads are told to end.
    pub fn pause(&self, timeout: Duration) {
        let guard = lock(&self.stop_signal.0);
        let wait_result = self
            .stop_signal
            .1
            .wait_timeout_while(guard, timeout, |()| !self.is_stopped());
        drop(wait_result.expect("no thread panics while it holds the lock"));
    }

    /// Whether the background threads have been told to end.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    /// Creates a name that is unique across the fleet.
    pub fn unique_name(&self) -> Name {
        format!(
            "{}-{:x}-{:016x}",
            self.incarnation.box_name,
            self.incarnation.number,
            rand::random::<u64>()
        )
        .into()
    }
}

const STALE_CONFIG_RETRY_AFTER_MS: u64 = 500;
/// Longest time after the start for which a box waits for the load reports of its upstreams.
const WARM_UP_TIMEOUT_MS: u64 = 3_000;
