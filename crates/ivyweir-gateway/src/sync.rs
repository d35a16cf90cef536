//! Keeps a topic in step with the store: lists and watches it, or asks the box that does.

mod relay;
mod watch;

use std::sync::Arc;
use std::time::Duration;

use ivyweir_policy::gateway::hall::{BoxRecord, Source};
use rand::Rng;
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::client::{ANSWER_LIMIT, CallError, Client};
use crate::dialect::Topic;
use crate::history::{Asker, HeardFrom};
use crate::state::Gateway;

/// How often upstreams are waited for after a loss before the proof is renewed without them.
const MAX_VAIN_WAITS: u32 = 4;
/// Pauses after the store failed a box that others follow: the first, and the longest.
const PAUSE_FIRST_MS: u64 = 100;
const PAUSE_MAX_MS: u64 = 600;
/// Time without a newer proof after which a box tries the store itself, whoever it follows: the
/// bound on a leaving upstream's last work is two seconds, and a root that is well renews its proof
/// within 1.2 s.
const UNRENEWED_MS: u64 = 1_400;
/// Pause before its second try, so that a box that is back in touch knows it within the three
/// seconds that the users' pages leave it.
const SECOND_PROBE_PAUSE_MS: u64 = 2_500;
/// Mean pause between further tries: the first part, and that for each box known, as each call is
/// paid for.
const PROBE_PAUSE_MS: u64 = 2_000;
const PROBE_PAUSE_A_BOX_MS: u64 = 100;
/// How often such a box looks for a source among the others.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
/// How often a box that starts looks whether it knows the others.
const SETTLE_POLL: Duration = Duration::from_millis(20);
/// Longest wait for news after a failed call about anything but the configuration.
const PAUSE_OTHERS_MS: u64 = 2_500;
/// How long quiet topics are waited for; dead connections are noticed sooner by the kernel.
const QUIET_WAIT_MS: u64 = 15_000;

/// What every box follows; it serves once it has read all of it.
pub const TOPICS: [Topic; 3] = [Topic::Site, Topic::Upstreams, Topic::Rollouts];

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
            Err(Failed::Unhearing) => follower.wait_for_source().await,
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
    Unhearing,
}

struct Follower {
    client: Client,
    /// The connection to the box that is asked.
    relay: Option<(BoxRecord, Client)>,
    gateway: Arc<Gateway>,
    topic: Topic,
    failures: u32,
    /// When the proof was last seen to be newer than before, and what it was then.
    renewed_at_ms: u64,
    proven_at_ms: u64,
    /// Tries of the store since then, by a box that is to follow another.
    probes: u32,
    /// When the next of them is due.
    probe_at_ms: u64,
    /// Whether one is under way, or a poll that follows it.
    is_probing: bool,
    /// Polls of the store that were asked of this follower and done.
    polls: u64,
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
            client: Client::new(gateway.settings.store_addr),
            relay: None,
            renewed_at_ms: gateway.clock.now_ms(),
            proven_at_ms: 0,
            probes: 0,
            probe_at_ms: 0,
            is_probing: false,
            polls: gateway.store_news.polls(),
            is_catching_up: false,
            gateway,
            topic,
            failures: 0,
            is_unconfirmed: false,
            vain_waits: 0,
        }
    }

    /// Hears of changes once; returns where to go on, or none if the topic is to be read anew.
    async fn hear(&mut self, since: Option<u64>) -> Result<Option<u64>, Failed> {
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
        let (other, from) = match source {
            Source::Store => (None, HeardFrom::Store),
            Source::Relay(relay) => (Some((relay, Asker::Follower)), HeardFrom::Relay),
            Source::Root(root) => (Some((root, Asker::Relay)), HeardFrom::Root),
            Source::Nobody => {
                gateway.histories.set_from(self.topic, HeardFrom::Nobody);
                return Err(Failed::Unhearing);
            }
        };
        gateway.histories.set_from(self.topic, from);
        match other {
            Some((other, asker)) => self
                .ask_box(since.unwrap_or(0), other, asker)
                .await
                .map(Some),
            None => self.hear_store(since).await,
        }
    }

    /// Hears of changes from the store.
    async fn hear_store(&mut self, since: Option<u64>) -> Result<Option<u64>, Failed> {
        self.is_catching_up = self.relay.take().is_some();
        match since {
            None => self.list().await.map(Some),
            Some(since) => self.ask_store(since).await,
        }
        .map_err(|()| Failed::Store)
    }

    /// Whether this box is to try the store, since whoever it follows does not renew its proof. Only
    /// the configuration's follower does; the others come after its success.
    fn is_probe_due(&mut self) -> bool {
        if self.topic != Topic::Site {
            return false;
        }
        let now_ms = self.gateway.clock.now_ms();
        let proven_at_ms = self.gateway.proof_at_ms();
        // The time of the proof is computed from its age, which may be off by one.
        if proven_at_ms > self.proven_at_ms + 1 {
            self.proven_at_ms = proven_at_ms;
            self.renewed_at_ms = now_ms;
            self.probes = 0;
        }
        if now_ms < self.renewed_at_ms + UNRENEWED_MS {
            return false;
        }
        self.probes == 0 || now_ms >= self.probe_at_ms
    }

    /// Tries the store; a box that it answers stays with it for a while.
    async fn probe(&mut self, since: Option<u64>) -> Result<Option<u64>, Failed> {
        let gateway = self.gateway.clone();
        self.probes += 1;
        let pause_ms = if self.probes == 1 {
            SECOND_PROBE_PAUSE_MS
        } else {
            let boxes = gateway.peers.known() as u64;
            let mean_ms = PROBE_PAUSE_MS + PROBE_PAUSE_A_BOX_MS * boxes;
            rand::rng().random_range(mean_ms / 2..=mean_ms * 3 / 2)
        };
        let now_ms = gateway.clock.now_ms();
        self.probe_at_ms = now_ms + pause_ms;
        let detail = json!({"unrenewed_ms": now_ms - self.renewed_at_ms, "probes": self.probes});
        gateway.log.line("store_probed", detail);
        // Upstreams that left meanwhile must be known before the proof is renewed.
        self.is_unconfirmed = true;
        self.poll(since).await
    }

    /// Whether the configuration's follower found that the store answers, and wants the other
    /// topics to hear it once too.
    fn is_poll_asked(&mut self) -> bool {
        let asked = self.gateway.store_news.polls();
        std::mem::replace(&mut self.polls, asked) != asked && self.topic != Topic::Site
    }

    /// Hears of changes from the store once, without waiting for any.
    async fn poll(&mut self, since: Option<u64>) -> Result<Option<u64>, Failed> {
        self.is_probing = true;
        let heard = self.hear_store(since).await;
        self.is_probing = false;
        // Whoever it follows is asked next, as before.
        heard.map_err(|_| Failed::Relay)
    }

    /// Follows the adoption of an answer; returns whether it may renew the proof.
    ///
    /// After a loss it may only once the upstreams were heard of too: those that left meanwhile
    /// must get no work from a box that is current otherwise.
    async fn confirmed(&mut self) -> bool {
        if self.topic != Topic::Site {
            if self.topic == Topic::Upstreams {
                self.gateway.store_news.upstreams_heard();
            }
            return false;
        }
        if !self.is_unconfirmed {
            return true;
        }
        let heard = self.until_upstreams_heard().await;
        self.vain_waits = if heard { 0 } else { self.vain_waits + 1 };
        // A store that goes on answering about one thing and not the other is left to itself.
        self.is_unconfirmed = !heard && self.vain_waits < MAX_VAIN_WAITS;
        !self.is_unconfirmed
    }

    /// Waits until the upstreams are heard of, for a while; wakes whoever waits for the store's
    /// return. Returns whether they were.
    async fn until_upstreams_heard(&self) -> bool {
        let mut heard = self.gateway.store_news.upstreams();
        self.gateway.histories.set_store_answers(true);
        self.gateway.histories.tell();
        matches!(timeout(ANSWER_LIMIT, heard.changed()).await, Ok(Ok(())))
    }

    /// Takes in that the store answered.
    fn succeeded(&mut self) {
        self.count("ok");
        self.gateway.peers.hears(&self.gateway.settings.box_name);
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
            self.gateway.peers.hears_nothing(me, now_ms);
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
            let limit = Duration::from_millis(PAUSE_OTHERS_MS);
            histories.until_news(limit).await;
            return;
        }
        let doublings = self.failures.saturating_sub(1).min(4);
        let pause_ms = (PAUSE_FIRST_MS << doublings).min(PAUSE_MAX_MS);
        let spread_ms = rand::rng().random_range(0..=pause_ms / 2);
        sleep(Duration::from_millis(pause_ms / 2 + spread_ms)).await;
    }

    /// Waits while nobody hears of the topic.
    async fn wait_for_source(&self) {
        if self.topic == Topic::Site {
            sleep(LOOK_PAUSE).await;
        } else {
            let limit = Duration::from_millis(PAUSE_OTHERS_MS);
            self.gateway.histories.until_news(limit).await;
        }
    }
}
