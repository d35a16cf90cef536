//! Follows the store: lists each topic once, then watches it, or asks the hall's relay to.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode, header};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::rollout::{RolloutOrder, RolloutState, RolloutTrack};
use ivyweir_policy::gateway::site::{Site, SiteIndex};
use rand::Rng;
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::dialect::{BoxRecord, Change, Entry, Item, Topic};
use crate::relay_source::{FollowAnswer, PassedChange, follow_path};
use crate::state::Gateway;
use crate::store::{StoreAnswer, StoreClient, StoreError};

/// How long a watch of the configuration waits. Each empty answer renews the proof that it is the newest,
/// which must stay younger than the bound on withdrawn keys until the next one.
const SITE_WAIT_MS: u64 = 1_200;
/// The same on a relay: the boxes that follow it must hear within a second and a half that it lost the store,
/// since an upstream that leaves gets no work two seconds later.
const RELAY_WATCH_MS: u64 = 600;
/// Time beyond the wait after which a relay takes the store to be lost; a slow store takes 300 ms.
const OVERDUE_MS: u64 = 500;
/// How often upstreams are waited for after a loss before the proof is renewed without them.
const MAX_VAIN_WAITS: u32 = 4;
/// Age at which the next proof must be there; it leaves a slow store some hundred milliseconds.
const PROOF_DUE_MS: u64 = 2_300;
const SITE_MIN_WAIT_MS: u64 = 200;
/// How far a watch may lag behind what the store has acknowledged.
const HEARD_LAG_MS: u64 = 1_000;
/// Pause between a watch that saw changes and the next, so that changes in a row cost one call. The bounds
/// on a configuration and on a leaving upstream are two seconds or more.
const GATHER_MS: u64 = 300;
/// How long a watch of upstreams waits. A call that a silent store took is never answered, and until it is
/// given up a box does not hear who leaves.
const UPSTREAMS_WAIT_MS: u64 = 4_000;
/// How long the first watches after a failure wait.
const AFTER_FAILURE_WAIT_MS: u64 = 50;
/// How long other watches wait; dead connections are noticed sooner by the kernel.
const OTHER_WAIT_MS: u64 = 15_000;
/// How long a question about the configuration waits at a relay, which answers as soon as its own proof is
/// renewed.
const RELAY_SITE_WAIT_MS: u64 = 1_500;
/// Time for a relay to answer, beyond the wait.
const RELAY_ANSWER_LIMIT_MS: u64 = 500;
/// Age of the proof from which the relay is taken to have lost the store.
const RELAY_PROOF_MAX_MS: u64 = 2_700;
/// Time for the store to answer, beyond the wait. A slow store takes some hundred milliseconds.
const ANSWER_LIMIT_MS: u64 = 1_500;
/// Pauses after a failed call: the first, and the longest, of a relay and of other boxes. A box that asks for
/// itself alone can wait longer, as each call is paid for.
const PAUSE_FIRST_MS: u64 = 100;
const PAUSE_RELAY_MS: u64 = 600;
const PAUSE_MAX_MS: u64 = 1_500;
/// Longest wait for news after a failed call about anything but the configuration.
const PAUSE_OTHERS_MS: u64 = 2_500;

/// Follows one topic for the life of the process.
pub async fn follow(gateway: Arc<Gateway>, topic: Topic) {
    let mut follower = Follower {
        client: StoreClient::new(gateway.settings.store_addr),
        relay: None,
        gateway,
        topic,
        failures: 0,
        is_unconfirmed: false,
        vain_waits: 0,
    };
    loop {
        let Some(mut since) = follower.list().await else {
            follower.pause().await;
            continue;
        };
        loop {
            match follower.follow(since).await {
                Ok(Some(next)) => since = next,
                Ok(None) => break,
                Err(Failed::Store) => follower.pause().await,
                // The next question goes to another box, or to the store.
                Err(Failed::Relay) => {}
            }
        }
    }
}

/// Who gave no answer.
enum Failed {
    Store,
    Relay,
}

struct Follower {
    client: StoreClient,
    /// The connection to the hall's relay.
    relay: Option<(BoxRecord, StoreClient)>,
    gateway: Arc<Gateway>,
    topic: Topic,
    failures: u32,
    /// Whether a loss has not been followed yet by an answer about upstreams.
    is_unconfirmed: bool,
    /// How often such an answer was waited for in vain.
    vain_waits: u32,
}

impl Follower {
    /// Lists the topic; returns the revision to watch from.
    async fn list(&mut self) -> Option<u64> {
        let asked_at_ms = self.gateway.clock.now_ms();
        let mut entries = Vec::new();
        let mut after: Option<String> = None;
        let mut revision = None;
        loop {
            let request = self.gateway.codec.list(self.topic, after.as_deref());
            let answer = self
                .client
                .call(request, Duration::from_millis(ANSWER_LIMIT_MS));
            let body = match answer.await {
                Ok(answer) if answer.status == StatusCode::OK => answer.body,
                Ok(answer) => {
                    self.failed(&StoreError::Refused {
                        status: answer.status.as_u16(),
                    });
                    return None;
                }
                Err(e) => {
                    self.failed(&e);
                    return None;
                }
            };
            match self.gateway.codec.page(self.topic, &body) {
                Ok(page) => {
                    // What changes while pages are read is told by the watch from the first page on.
                    revision.get_or_insert(page.revision);
                    entries.extend(page.entries);
                    after = page.next_after;
                }
                Err(e) => {
                    self.failed(&StoreError::Unreadable {
                        detail: e.to_string(),
                    });
                    return None;
                }
            }
            if after.is_none() {
                break;
            }
        }
        self.succeeded();
        self.adopt_all(entries);
        if let Some(revision) = revision {
            self.gateway.histories.restart(self.topic, revision);
        }
        if self.confirmed().await {
            self.gateway.renew_proof(asked_at_ms);
        }
        self.gateway.set_synced(self.topic);
        revision
    }

    /// Hears of changes once; returns where to go on, or none if the topic is to be listed again.
    async fn follow(&mut self, since: u64) -> Result<Option<u64>, Failed> {
        let gateway = self.gateway.clone();
        let settings = &gateway.settings;
        let now_ms = gateway.clock.now_ms();
        let relay = gateway
            .peers
            .relay(&settings.hall, &settings.box_name, now_ms);
        match relay {
            Some(relay) => {
                gateway.histories.set_direct(self.topic, false);
                self.ask_relay(since, relay).await.map(Some)
            }
            None => {
                self.relay = None;
                gateway.histories.set_direct(self.topic, true);
                let watched = self.watch(since).await;
                if self.topic == Topic::Site {
                    gateway.histories.set_store_answers(watched.is_ok());
                    if watched.is_err() {
                        gateway.histories.store_lost();
                    }
                }
                watched.map_err(|()| Failed::Store)
            }
        }
    }

    /// Asks the hall's relay; returns where to go on.
    async fn ask_relay(&mut self, since: u64, relay: BoxRecord) -> Result<u64, Failed> {
        let asked_at_ms = self.gateway.clock.now_ms();
        let wait_ms = if self.topic == Topic::Site {
            RELAY_SITE_WAIT_MS
        } else {
            OTHER_WAIT_MS
        };
        let request = Request::builder()
            .uri(follow_path(self.topic, since, wait_ms))
            .header(header::HOST, relay.peer_addr.to_string())
            .body(Bytes::new())
            .expect("invariant: all parts are valid");
        let client = match &mut self.relay {
            Some((known, client)) if *known == relay => client,
            other => {
                &mut other
                    .insert((relay.clone(), StoreClient::new(relay.peer_addr)))
                    .1
            }
        };
        let limit = Duration::from_millis(wait_ms + RELAY_ANSWER_LIMIT_MS);
        let answer = tokio::select! {
            answer = client.call(request, limit) => answer,
            () = self.gateway.peers.lost(&relay.name, self.gateway.clock) => {
                self.relay = None;
                return Err(Failed::Relay);
            }
        };
        let answer = match answer {
            Ok(answer) if answer.status == StatusCode::OK => {
                let read = serde_json::from_slice::<FollowAnswer>(&answer.body);
                read.map_err(|e| e.to_string())
            }
            Ok(answer) => Err(format!("status {}", answer.status.as_u16())),
            Err(e) => Err(e.to_string()),
        };
        let now_ms = self.gateway.clock.now_ms();
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                self.relay = None;
                self.gateway.peers.failed(&relay.name, now_ms);
                let detail =
                    json!({"peer": relay.name, "about": self.topic.name(), "error": error});
                self.gateway.log.line("peer_lost", detail);
                return Err(Failed::Relay);
            }
        };
        self.failures = 0;
        self.take_from_relay(asked_at_ms, &answer).await;
        let age_ms = self.gateway.proof_age_ms().unwrap_or(u64::MAX);
        if self.topic == Topic::Site && age_ms > RELAY_PROOF_MAX_MS {
            self.gateway.peers.failed(&relay.name, now_ms);
            let detail = json!({"peer": relay.name, "about": "proof", "proof_age_ms": age_ms});
            self.gateway.log.line("peer_lost", detail);
        }
        Ok(answer.revision.max(since))
    }

    async fn take_from_relay(&mut self, asked_at_ms: u64, answer: &FollowAnswer) {
        if let Some(items) = &answer.whole {
            self.adopt_all(items.iter().cloned().map(Ok).collect());
            self.gateway.histories.restart(self.topic, answer.revision);
        }
        for change in answer.changes.iter().cloned() {
            match change {
                PassedChange::Put(item) => self.adopt(Ok(item)),
                PassedChange::Gone(name) => self.remove(&name),
            }
        }
        self.gateway
            .histories
            .push(self.topic, answer.revision, answer.changes.clone());
        if self.confirmed().await
            && let Some(proof_age_ms) = answer.proof_age_ms
        {
            // The relay answered no sooner than it says, so its proof is no older than this.
            let proven_at_ms = (asked_at_ms + answer.held_ms).saturating_sub(proof_age_ms);
            self.gateway.renew_proof(proven_at_ms);
        }
    }

    /// Watches once; returns where to go on, or none if the topic is to be listed again.
    async fn watch(&mut self, since: u64) -> Result<Option<u64>, ()> {
        let asked_at_ms = self.gateway.clock.now_ms();
        let wait_ms = self.wait_ms();
        let request = self.gateway.codec.watch(self.topic, since, wait_ms);
        let answer = self.call_store(request, wait_ms).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(e) => {
                self.failed(&e);
                return Err(());
            }
        };
        if answer.status == StatusCode::GONE {
            self.succeeded();
            let detail = json!({"topic": self.topic.name(), "since": since});
            self.gateway.log.line("store_history_gone", detail);
            return Ok(None);
        }
        if answer.status != StatusCode::OK {
            self.failed(&StoreError::Refused {
                status: answer.status.as_u16(),
            });
            return Err(());
        }
        match self.gateway.codec.changes(self.topic, &answer.body) {
            Ok(changes) => {
                self.succeeded();
                let quiet = changes.changes.is_empty();
                let mut passed = Vec::new();
                for change in changes.changes {
                    match change {
                        Change::Put(entry) => {
                            passed.extend(entry.clone().ok().map(PassedChange::Put));
                            self.adopt(entry);
                        }
                        Change::Gone(name) => {
                            self.remove(&name);
                            passed.push(PassedChange::Gone(name));
                        }
                    }
                }
                let revision = changes.revision;
                self.gateway.histories.push(self.topic, revision, passed);
                if self.confirmed().await {
                    let answered_at_ms = self.gateway.clock.now_ms();
                    let proven_at_ms = proven_at(asked_at_ms, answered_at_ms, wait_ms, quiet);
                    self.gateway.renew_proof(proven_at_ms);
                }
                if !quiet {
                    sleep(Duration::from_millis(GATHER_MS)).await;
                }
                Ok(Some(changes.revision))
            }
            Err(e) => {
                self.failed(&StoreError::Unreadable {
                    detail: e.to_string(),
                });
                Err(())
            }
        }
    }

    /// Calls the store; one that is overdue is waited for, but no box should follow here meanwhile.
    async fn call_store(
        &mut self,
        request: Request<Bytes>,
        wait_ms: u64,
    ) -> Result<StoreAnswer, StoreError> {
        let limit = Duration::from_millis(wait_ms + ANSWER_LIMIT_MS);
        let histories = &self.gateway.histories;
        let mut call = pin!(self.client.call(request, limit));
        if self.topic != Topic::Site {
            // A store that was silent for a while never answers what it took then, so no long wait
            // outlasts the loss that the short ones notice.
            return tokio::select! {
                answer = call => answer,
                () = histories.until_store_lost() => Err(StoreError::Lost {
                    detail: "questions about the configuration got no answer".into(),
                }),
            };
        }
        let in_time = Duration::from_millis(wait_ms + OVERDUE_MS);
        if let Ok(answer) = timeout(in_time, call.as_mut()).await {
            return answer;
        }
        histories.set_store_answers(false);
        call.await
    }

    fn wait_ms(&self) -> u64 {
        match self.topic {
            // After a failure the answer itself is news, so it must not wait for changes.
            _ if self.failures > 0 && self.topic != Topic::Site => return AFTER_FAILURE_WAIT_MS,
            Topic::Upstreams => return UPSTREAMS_WAIT_MS,
            Topic::Rollouts | Topic::Boxes => return OTHER_WAIT_MS,
            Topic::Site => {}
        }
        let age_ms = self.gateway.proof_age_ms().unwrap_or(PROOF_DUE_MS);
        let left_ms = PROOF_DUE_MS.saturating_sub(age_ms);
        let now_ms = self.gateway.clock.now_ms();
        let most_ms = if self.gateway.histories.is_followed(now_ms) {
            RELAY_WATCH_MS
        } else {
            SITE_WAIT_MS
        };
        left_ms.clamp(SITE_MIN_WAIT_MS, most_ms)
    }

    fn adopt_all(&self, entries: Vec<Entry>) {
        if self.topic != Topic::Upstreams {
            entries.into_iter().for_each(|entry| self.adopt(entry));
            return;
        }
        let records: Vec<UpstreamRecord> = entries
            .into_iter()
            .filter_map(|entry| match self.readable(entry) {
                Some(Item::Upstream(record)) => Some(record),
                _ => None,
            })
            .collect();
        self.gateway
            .change_upstream(|fleet, now_ms| fleet.replace(records, now_ms));
    }

    fn adopt(&self, entry: Entry) {
        match self.readable(entry) {
            Some(Item::Site(site)) => self.adopt_site(*site),
            Some(Item::Upstream(record)) => self.gateway.change_upstream(|fleet, _| {
                let id = record.id.clone();
                vec![(id, fleet.put(record))]
            }),
            Some(Item::Rollout(order)) => adopt_rollout(&self.gateway, order),
            Some(Item::Box(_)) | None => {}
        }
    }

    fn adopt_site(&self, site: Site) {
        let (version, routes) = (site.version, site.routes.len());
        let adopted = self.gateway.adopt_site(SiteIndex::from(site));
        let detail = json!({"version": version, "routes": routes, "adopted": adopted});
        self.gateway.log.line("site_seen", detail);
    }

    fn remove(&self, name: &Name) {
        match self.topic {
            Topic::Upstreams => self.gateway.change_upstream(|fleet, now_ms| {
                let change = fleet.lapse(name, now_ms);
                vec![(name.clone(), change)]
            }),
            Topic::Rollouts => {
                self.gateway
                    .with_rollouts(|rollouts, _| rollouts.remove(name));
                self.gateway
                    .log
                    .line("rollout_withdrawn", json!({"pool": name}));
            }
            // A configuration is replaced, never taken away; boxes are listed elsewhere.
            Topic::Site | Topic::Boxes => {
                self.gateway.log.line("site_removed", json!({"name": name}))
            }
        }
    }

    fn readable(&self, entry: Entry) -> Option<Item> {
        match entry {
            Ok(item) => Some(item),
            Err(e) => {
                let detail = json!({"topic": self.topic.name(), "error": e.to_string()});
                self.gateway.log.line("record_unreadable", detail);
                None
            }
        }
    }

    fn succeeded(&mut self) {
        self.count("ok");
        if self.failures > 0 {
            let detail = json!({"topic": self.topic.name(), "after_failures": self.failures});
            self.gateway.log.line("store_regained", detail);
        }
        self.failures = 0;
    }

    /// Follows the adoption of an answer; returns whether it may renew the proof.
    ///
    /// After a loss it may only once the upstreams were heard of too: those that left meanwhile must get
    /// no work from a box that is current otherwise.
    async fn confirmed(&mut self) -> bool {
        let histories = &self.gateway.histories;
        if self.topic != Topic::Site {
            if self.topic == Topic::Upstreams {
                histories.upstreams_heard();
            }
            return false;
        }
        if !self.is_unconfirmed {
            return true;
        }
        let limit = Duration::from_millis(ANSWER_LIMIT_MS);
        let heard = histories.until_upstreams_heard(limit).await;
        self.vain_waits = if heard { 0 } else { self.vain_waits + 1 };
        // A store that answers about one thing for so long and not about the other is left to itself.
        self.is_unconfirmed = !heard && self.vain_waits < MAX_VAIN_WAITS;
        !self.is_unconfirmed
    }

    fn failed(&mut self, error: &StoreError) {
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

    /// Waits after a failure. Only the configuration's follower tries the store again and again; the others
    /// wait for news, which its success is.
    async fn pause(&self) {
        let histories = &self.gateway.histories;
        if self.topic != Topic::Site {
            histories
                .until_news(Duration::from_millis(PAUSE_OTHERS_MS))
                .await;
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

/// Until when an answer to a watch shows that nothing newer was acknowledged.
///
/// One that came empty after its whole wait was made at the end of the wait; any other one shows only what
/// held when it was asked for.
fn proven_at(asked_at_ms: u64, answered_at_ms: u64, wait_ms: u64, quiet: bool) -> u64 {
    let waited = answered_at_ms.saturating_sub(asked_at_ms) >= wait_ms;
    if quiet && waited {
        asked_at_ms + wait_ms.saturating_sub(HEARD_LAG_MS)
    } else {
        asked_at_ms
    }
}

/// Takes in a roll-out's record.
pub fn adopt_rollout(gateway: &Gateway, order: RolloutOrder) {
    let detail = json!({
        "pool": order.pool, "target_version": order.target_version,
        "state": order.state, "revision": order.revision,
    });
    gateway.log.line("rollout_seen", detail);
    if order.state == RolloutState::Completed {
        gateway.settle(&order.pool, &order.target_version);
    }
    gateway.with_rollouts(|rollouts, now_ms| match rollouts.get_mut(&order.pool) {
        Some(track) => track.update(order, now_ms),
        None => {
            rollouts.insert(order.pool.clone(), RolloutTrack::new(order, now_ms));
        }
    });
}
