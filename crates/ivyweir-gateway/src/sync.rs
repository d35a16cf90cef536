//! Keeps a topic in sync with the store: lists and watches it, or follows the box that does, and
//! probes the store if that box does not renew the proof.

mod confirm;
mod peer;
mod probe;
mod site;
mod watch;

use std::sync::Arc;
use std::time::Duration;

use ivyweir_policy::gateway::relay::{BoxRecord, Source};
use ivyweir_policy::gateway::revision::Revision;
use rand::Rng;
use serde_json::json;
use tokio::time::sleep;

use crate::client::{CallError, Client};
use crate::dialect::Topic;
use crate::history::{Requester, TopicSource};
use crate::state::Gateway;
use crate::store_client::StoreClient;

use probe::Probes;
use site::SiteWatch;

/// Response timeout of the store for a probe; a slow store takes 300 ms.
const PROBE_LIMIT: Duration = Duration::from_millis(700);
/// Initial and maximum back-off after a failed call to the store; other boxes may follow this one.
const INITIAL_RETRY_MS: u64 = 100;
const MAX_RETRY_MS: u64 = 600;
/// Interval at which a box without a source looks for one among the others.
const SOURCE_POLL: Duration = Duration::from_millis(200);
/// Interval at which a starting box checks whether its list of boxes is complete enough.
const MEMBERSHIP_POLL: Duration = Duration::from_millis(20);
/// Longest wait for a change after a failed call about any topic but the configuration.
const MAX_CHANGE_WAIT: Duration = Duration::from_millis(2_500);
/// Duration of a watch of a topic that rarely changes; the kernel detects dead connections sooner.
const IDLE_WATCH_MS: u64 = 15_000;

/// Follows one topic for the lifetime of the process.
pub async fn follow(gateway: Arc<Gateway>, topic: Topic) {
    while !gateway.peers.is_membership_ready() {
        sleep(MEMBERSHIP_POLL).await;
    }
    let mut follower = Follower::new(gateway, topic);
    let mut since = None;
    loop {
        match follower.fetch(since).await {
            Ok(next) => since = next,
            Err(FetchError::Store) => follower.back_off().await,
            Err(FetchError::Peer) => {}
            Err(FetchError::NoSource) => follower.wait_for_source().await,
        }
    }
}

/// What did not respond.
enum FetchError {
    /// The store.
    Store,
    /// Another box; the next request goes to another source at once.
    Peer,
    /// There is no source of the topic now.
    NoSource,
}

struct Follower {
    client: StoreClient,
    /// The box that is followed, and the connection to it.
    connection: Option<(BoxRecord, Client)>,
    gateway: Arc<Gateway>,
    topic: Topic,
    failures: u32,
    /// Probes of the store while this box follows another.
    probes: Probes,
    /// Whether a probe is in progress, or a poll that follows one.
    is_probing: bool,
    /// Number of poll requests that this follower has seen.
    polls_seen: u64,
    /// Number of requests for an immediate response about upstreams when this follower sent the
    /// request behind its last such response, and when it sent its last request.
    upstreams_requests_served: u64,
    upstreams_requests_seen: u64,
    /// The watch of the configuration, if this is its follower.
    site_watch: SiteWatch,
    /// Time of the last read of the configuration, and its size.
    site_read_at_ms: u64,
    site_read_bytes: u64,
    /// Version of the last configuration that the store sent, active or not.
    site_version_seen: Option<u64>,
    /// Whether this follower used another box as its source before the current call to the store.
    has_switched_to_store: bool,
    /// Whether no response about upstreams has followed the last loss yet.
    is_unconfirmed: bool,
    /// Number of consecutive waits for such a response that timed out.
    failed_waits: u32,
}

impl Follower {
    fn new(gateway: Arc<Gateway>, topic: Topic) -> Self {
        Self {
            client: StoreClient::new(gateway.clone()),
            connection: None,
            probes: Probes::new(
                gateway.settings.bounds.proof_renewal_timeout_ms(),
                gateway.clock.now_ms(),
            ),
            is_probing: false,
            polls_seen: gateway.store_events.poll_requests(),
            upstreams_requests_served: gateway.store_events.upstreams_requests(),
            upstreams_requests_seen: gateway.store_events.upstreams_requests(),
            site_watch: SiteWatch::default(),
            site_read_at_ms: 0,
            site_read_bytes: 0,
            site_version_seen: None,
            has_switched_to_store: false,
            gateway,
            topic,
            failures: 0,
            is_unconfirmed: false,
            failed_waits: 0,
        }
    }

    /// Whether the configuration's follower waits for a response about upstreams that this follower
    /// has to get.
    fn is_upstreams_requested(&self) -> bool {
        let requested = self.gateway.store_events.upstreams_requests();
        self.topic == Topic::Upstreams && requested > self.upstreams_requests_served
    }

    /// Marks the start of a request; returns whether its response is needed at once.
    fn begin_request(&mut self) -> bool {
        self.upstreams_requests_seen = self.gateway.store_events.upstreams_requests();
        self.is_upstreams_requested()
    }

    /// Fetches changes once. Returns the revision to continue from, or `None` if the topic must be
    /// read again.
    async fn fetch(&mut self, since: Option<Revision>) -> Result<Option<Revision>, FetchError> {
        let gateway = self.gateway.clone();
        let source = gateway.peers.source(gateway.clock.now_ms());
        if source != Source::Store {
            if self.is_probe_due() {
                return self.probe(since).await;
            }
            if self.is_poll_requested() {
                return self.poll(since).await;
            }
            self.site_watch.close();
        }
        gateway
            .histories
            .set_source(self.topic, TopicSource::of(&source));
        match source {
            Source::Store if self.awaits_site_follower() => Err(FetchError::NoSource),
            Source::Store => self.fetch_from_store(since).await,
            Source::Relay(relay) => self.fetch_from_box(since, relay, Requester::Follower).await,
            Source::Root(root) => self.fetch_from_box(since, root, Requester::Relay).await,
            Source::Unavailable => Err(FetchError::NoSource),
        }
    }

    /// Whether the configuration's follower has to find the store responsive first, as each call to
    /// an unavailable store has a cost. On a box that has just started, callers wait for all
    /// topics, so none of them is delayed.
    fn awaits_site_follower(&self) -> bool {
        let histories = &self.gateway.histories;
        let starts = histories.is_store_untried() && !self.gateway.is_synced();
        self.topic != Topic::Site && !histories.is_store_responsive() && !starts
    }

    /// Fetches changes from another box.
    async fn fetch_from_box(
        &mut self,
        since: Option<Revision>,
        other: BoxRecord,
        requester: Requester,
    ) -> Result<Option<Revision>, FetchError> {
        let next = self
            .query_box(since.unwrap_or_default(), other, requester)
            .await?;
        Ok(Some(next))
    }

    /// Fetches changes from the store.
    async fn fetch_from_store(
        &mut self,
        since: Option<Revision>,
    ) -> Result<Option<Revision>, FetchError> {
        self.has_switched_to_store = self.connection.take().is_some();
        match since.filter(|since| self.can_watch_from(*since)) {
            None => self.list().await.map(Some),
            Some(since) if self.topic == Topic::Site => self.follow_site(since).await,
            Some(since) => self.watch_store(since).await,
        }
        .map_err(|()| FetchError::Store)
    }

    /// Whether the topic can be watched from a revision instead of being listed again.
    ///
    /// The revision must be of the store's era. An unsettled one requires a new listing once the store has settled.
    fn can_watch_from(&self, since: Revision) -> bool {
        let era = self.gateway.store_era().unwrap_or_default();
        since.era == era && (since.is_settled || !self.gateway.is_store_settled())
    }

    /// Records a response of the store.
    fn record_success(&mut self) {
        self.count("ok");
        self.gateway
            .peers
            .record_source(&self.gateway.settings.box_name);
        if self.is_probing && self.topic == Topic::Site {
            self.gateway.store_events.request_poll();
        }
        if self.failures > 0 {
            let detail = json!({"topic": self.topic.name(), "after_failures": self.failures});
            self.gateway.log.line("store_regained", detail);
        }
        self.failures = 0;
    }

    /// Records a failed call to the store.
    fn record_failure(&mut self, error: &CallError) {
        self.count("failed");
        if self.topic == Topic::Site {
            let now_ms = self.gateway.clock.now_ms();
            let me = &self.gateway.settings.box_name;
            self.gateway.peers.record_sourceless(me, now_ms);
        }
        if self.failures == 0 {
            let detail = json!({"topic": self.topic.name(), "error": error.to_string()});
            self.gateway.log.line("store_lost", detail);
        }
        self.failures += 1;
        self.is_unconfirmed = true;
    }

    fn count(&self, outcome: &str) {
        let calls = &self.gateway.metrics.store_calls;
        calls.with_label_values(&[self.topic.name(), outcome]).inc();
    }

    /// Waits after a failure. Only the configuration's follower retries the store; the others wait
    /// for a change, and its success is one.
    async fn back_off(&self) {
        let histories = &self.gateway.histories;
        if self.topic != Topic::Site {
            histories.wait_for_change(MAX_CHANGE_WAIT).await;
            return;
        }
        let doublings = self.failures.saturating_sub(1).min(4);
        let pause_ms = (INITIAL_RETRY_MS << doublings).min(MAX_RETRY_MS);
        let spread_ms = rand::rng().random_range(0..=pause_ms / 2);
        sleep(Duration::from_millis(pause_ms / 2 + spread_ms)).await;
    }

    /// Waits while there is no source of the topic.
    async fn wait_for_source(&self) {
        let histories = &self.gateway.histories;
        match self.topic {
            Topic::Site => sleep(SOURCE_POLL).await,
            _ if self.is_upstreams_requested() => histories.wait_for_change(SOURCE_POLL).await,
            _ => histories.wait_for_change(MAX_CHANGE_WAIT).await,
        }
    }
}
