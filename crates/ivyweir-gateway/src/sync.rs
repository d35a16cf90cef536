//! Keeps a topic in step with the store: lists it, then watches it or asks the hall's relay.

mod relay;
mod watch;

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::client::{ANSWER_LIMIT, CallError, Client};
use crate::dialect::{BoxRecord, Topic};
use crate::state::Gateway;

/// How often upstreams are waited for after a loss before the proof is renewed without them.
const MAX_VAIN_WAITS: u32 = 4;
/// Pauses after a failed call: the first, and the longest, of a relay and of other boxes. A box
/// that asks for itself alone can wait longer, as each call is paid for.
const PAUSE_FIRST_MS: u64 = 100;
const PAUSE_RELAY_MS: u64 = 600;
const PAUSE_MAX_MS: u64 = 1_500;
/// Longest wait for news after a failed call about anything but the configuration.
const PAUSE_OTHERS_MS: u64 = 2_500;
/// How long quiet topics are waited for; dead connections are noticed sooner by the kernel.
const QUIET_WAIT_MS: u64 = 15_000;

/// What every box follows; it serves once it has read all of it.
pub const TOPICS: [Topic; 3] = [Topic::Site, Topic::Upstreams, Topic::Rollouts];

/// Follows one topic for the life of the process.
pub async fn follow(gateway: Arc<Gateway>, topic: Topic) {
    let mut follower = Follower::new(gateway, topic);
    loop {
        match follower.list().await {
            Some(revision) => follower.follow_from(revision).await,
            None => follower.pause().await,
        }
    }
}

/// Who gave no answer.
enum Failed {
    Store,
    Relay,
}

struct Follower {
    client: Client,
    /// The connection to the hall's relay.
    relay: Option<(BoxRecord, Client)>,
    gateway: Arc<Gateway>,
    topic: Topic,
    failures: u32,
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
            gateway,
            topic,
            failures: 0,
            is_unconfirmed: false,
            vain_waits: 0,
        }
    }

    /// Follows from a revision on until the topic is to be listed again.
    async fn follow_from(&mut self, mut since: u64) {
        loop {
            match self.hear(since).await {
                Ok(Some(next)) => since = next,
                Ok(None) => return,
                Err(Failed::Store) => self.pause().await,
                // The next question goes to another box, or to the store.
                Err(Failed::Relay) => {}
            }
        }
    }

    /// Hears of changes once; returns where to go on, or none if the topic is to be listed again.
    async fn hear(&mut self, since: u64) -> Result<Option<u64>, Failed> {
        let gateway = self.gateway.clone();
        let settings = &gateway.settings;
        let now_ms = gateway.clock.now_ms();
        let relay = gateway
            .peers
            .relay(&settings.hall, &settings.box_name, now_ms);
        gateway.histories.set_direct(self.topic, relay.is_none());
        match relay {
            Some(relay) => self.ask_relay(since, relay).await.map(Some),
            None => {
                self.relay = None;
                self.ask_store(since).await.map_err(|()| Failed::Store)
            }
        }
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

    fn succeeded(&mut self) {
        self.count("ok");
        if self.failures > 0 {
            let detail = json!({"topic": self.topic.name(), "after_failures": self.failures});
            self.gateway.log.line("store_regained", detail);
        }
        self.failures = 0;
    }

    fn failed(&mut self, error: &CallError) {
        self.count("failed");
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
        let is_relay = histories.is_followed(self.gateway.clock.now_ms());
        let most_ms = if is_relay {
            PAUSE_RELAY_MS
        } else {
            PAUSE_MAX_MS
        };
        let doublings = self.failures.saturating_sub(1).min(4);
        let pause_ms = (PAUSE_FIRST_MS << doublings).min(most_ms);
        let spread_ms = rand::rng().random_range(0..=pause_ms / 2);
        sleep(Duration::from_millis(pause_ms / 2 + spread_ms)).await;
    }
}
