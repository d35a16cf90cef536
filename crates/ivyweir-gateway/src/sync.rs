//! Keeps a topic in step with the store: lists and watches it, or asks the box that does, and tries
//! the store where that box does not renew the proof.

mod confirm;
mod probe;
mod relay;
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
use crate::history::{Asker, HeardFrom};
use crate::state::Gateway;
use crate::store_client::StoreClient;

use probe::Probes;

/// Pauses after the store failed a box that others follow: the first, and the longest.
const PAUSE_FIRST_MS: u64 = 100;
const PAUSE_MAX_MS: u64 = 600;
/// How often a box without a source looks for one among the others.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
/// How often a box that starts looks whether it knows the others.
const SETTLE_POLL: Duration = Duration::from_millis(20);
/// Longest wait for news after a failed call about anything but the configuration.
const PAUSE_OTHERS: Duration = Duration::from_millis(2_500);
/// How long quiet topics are waited for; dead connections are noticed sooner by the kernel.
const QUIET_WAIT_MS: u64 = 15_000;

/// Follows one topic for the life of the process.
pub async fn follow(gateway: Arc<Gateway>, topic: Topic) {
    while !gateway.peers.is_settled() {
        sleep(SETTLE_POLL).await;
    }
    let mut follower = Follower::new(gateway, topic);
    let mut since = None;
    loop {
        match follower.hear(since).await {
            Ok(next) => since = next,
            Err(Failed::Store) => follower.pause().await,
            Err(Failed::Relay) => {}
            Err(Failed::NoSource) => follower.wait_for_source().await,
        }
    }
}

/// Who gave no answer.
enum Failed {
    /// The store.
    Store,
    /// Another box; the next question goes elsewhere at once.
    Relay,
    /// Nobody hears of the topic now.
    NoSource,
}

struct Follower {
    client: StoreClient,
    /// The connection to the box that is asked.
    relay: Option<(BoxRecord, Client)>,
    gateway: Arc<Gateway>,
    topic: Topic,
    failures: u32,
    /// Tries of the store by a box that is to follow another.
    probes: Probes,
    /// Whether one is under way, or a poll that follows it.
    is_probing: bool,
    /// Polls of the store that were asked of this follower and done.
    polls: u64,
    /// How often an answer about upstreams at once had been asked for when this follower last got one, and
    /// when it last asked.
    upstreams_given: u64,
    upstreams_asked: u64,
    /// Whether another box was asked before.
    is_catching_up: bool,
    /// Whether a loss has not been followed yet by an answer about upstreams.
    is_unconfirmed: bool,
    /// How often such an answer was waited for in vain.
    vain_waits: u32,
}

impl Follower {
    fn new(gateway: Arc<Gateway>, topic: Topic) -> Self {
        Self {
            client: StoreClient::new(gateway.clone()),
            relay: None,
            probes: Probes::new(
                gateway.settings.bounds.proof_renewal_timeout_ms(),
                gateway.clock.now_ms(),
            ),
            is_probing: false,
            polls: gateway.store_news.polls(),
            upstreams_given: gateway.store_news.upstreams_wanted(),
            upstreams_asked: gateway.store_news.upstreams_wanted(),
            is_catching_up: false,
            gateway,
            topic,
            failures: 0,
            is_unconfirmed: false,
            vain_waits: 0,
        }
    }

    /// Whether the configuration's follower waits for an answer about upstreams that this one is to get.
    fn is_wanted(&self) -> bool {
        let wanted = self.gateway.store_news.upstreams_wanted();
        self.topic == Topic::Upstreams && wanted > self.upstreams_given
    }

    /// Takes in that a question is asked now; returns whether its answer is wanted at once.
    fn begin_question(&mut self) -> bool {
        self.upstreams_asked = self.gateway.store_news.upstreams_wanted();
        self.is_wanted()
    }

    /// Hears of changes once; returns where to go on, or none if the topic is to be read anew.
    async fn hear(&mut self, since: Option<Revision>) -> Result<Option<Revision>, Failed> {
        let gateway = self.gateway.clone();
        let source = gateway.peers.source(gateway.clock.now_ms());
        if source != Source::Store {
            if self.is_probe_due() {
                return self.probe(since).await;
            }
            if self.is_poll_asked() {
                return self.poll(since).await;
            }
        }
        gateway
            .histories
            .set_from(self.topic, HeardFrom::of(&source));
        match source {
            Source::Store if self.waits_for_site() => Err(Failed::NoSource),
            Source::Store => self.hear_store(since).await,
            Source::Relay(relay) => self.hear_box(since, relay, Asker::Follower).await,
            Source::Root(root) => self.hear_box(since, root, Asker::Relay).await,
            Source::Unavailable => Err(Failed::NoSource),
        }
    }

    /// Whether the configuration's follower is to find that the store answers first: each call to a
    /// store that is out is paid for. On a box that has just started, callers wait for all topics.
    fn waits_for_site(&self) -> bool {
        let histories = &self.gateway.histories;
        let starts = histories.is_store_untried() && !self.gateway.is_synced();
        self.topic != Topic::Site && !histories.store_answers() && !starts
    }

    /// Hears of changes from another box.
    async fn hear_box(
        &mut self,
        since: Option<Revision>,
        other: BoxRecord,
        asker: Asker,
    ) -> Result<Option<Revision>, Failed> {
        let next = self
            .ask_box(since.unwrap_or_default(), other, asker)
            .await?;
        Ok(Some(next))
    }

    /// Hears of changes from the store.
    async fn hear_store(&mut self, since: Option<Revision>) -> Result<Option<Revision>, Failed> {
        self.is_catching_up = self.relay.take().is_some();
        match since.filter(|since| self.can_watch_from(*since)) {
            None => self.list().await.map(Some),
            Some(since) => self.ask_store(since).await,
        }
        .map_err(|()| Failed::Store)
    }

    /// Whether the topic can be watched from a revision instead of being listed again.
    ///
    /// The revision must be of the store's era. An unsettled one requires a new listing once the store has settled.
    fn can_watch_from(&self, since: Revision) -> bool {
        let era = self.gateway.store_era().unwrap_or_default();
        since.era == era && (since.is_settled || !self.gateway.is_store_settled())
    }

    /// Takes in that the store answered.
    fn succeeded(&mut self) {
        self.count("ok");
        self.gateway
            .peers
            .note_source(&self.gateway.settings.box_name);
        if self.is_probing && self.topic == Topic::Site {
            self.gateway.store_news.ask_poll();
        }
        if self.failures > 0 {
            let detail = json!({"topic": self.topic.name(), "after_failures": self.failures});
            self.gateway.log.line("store_regained", detail);
        }
        self.failures = 0;
    }

    /// Takes in that the store did not answer.
    fn failed(&mut self, error: &CallError) {
        self.count("failed");
        if self.topic == Topic::Site {
            let now_ms = self.gateway.clock.now_ms();
            let me = &self.gateway.settings.box_name;
            self.gateway.peers.note_sourceless(me, now_ms);
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

    /// Waits after a failure. Only the configuration's follower tries the store again and again;
    /// the others wait for news, which its success is.
    async fn pause(&self) {
        let histories = &self.gateway.histories;
        if self.topic != Topic::Site {
            histories.until_news(PAUSE_OTHERS).await;
            return;
        }
        let doublings = self.failures.saturating_sub(1).min(4);
        let pause_ms = (PAUSE_FIRST_MS << doublings).min(PAUSE_MAX_MS);
        let spread_ms = rand::rng().random_range(0..=pause_ms / 2);
        sleep(Duration::from_millis(pause_ms / 2 + spread_ms)).await;
    }

    /// Waits while nobody hears of the topic.
    async fn wait_for_source(&self) {
        let histories = &self.gateway.histories;
        match self.topic {
            Topic::Site => sleep(LOOK_PAUSE).await,
            _ if self.is_wanted() => histories.until_news(LOOK_PAUSE).await,
            _ => histories.until_news(PAUSE_OTHERS).await,
        }
    }
}
