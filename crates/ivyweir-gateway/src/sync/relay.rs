//! Following a topic at another box: the hall's relay, or the root.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use ivyweir_policy::gateway::relay::BoxRecord;
use ivyweir_policy::gateway::revision::Revision;
use serde_json::json;
use tokio::time::timeout;

use super::confirm::AnsweredBy;
use super::{Failed, Follower, QUIET_WAIT_MS};
use crate::adopt::{ListingKind, adopt_all, adopt_changes};
use crate::box_call::{BoxCallError, question, read_answer};
use crate::client::{Answer, CallError, Client};
use crate::dialect::{StoreRecord, Topic};
use crate::follow::{FollowAnswer, Vouches, Whole, follow_path};
use crate::history::Asker;

/// Shortest wait of a question about the configuration; the relay answers as soon as its own proof
/// is renewed.
const RELAY_SITE_MIN_WAIT_MS: u64 = 250;
/// How long a box without a proof waits for the relay's next one.
const FIRST_PROOF_WAIT_MS: u64 = 100;
/// Time for a relay to answer, beyond the wait.
const RELAY_ANSWER_LIMIT_MS: u64 = 500;
/// The same for all records of a topic, and while boxes start together: a list of 3,000 upstreams passes a
/// link of 10 Mbit/s in 0.1 s, and several boxes may get theirs at a time.
const COPY_LIMIT_MS: u64 = 2_000;
/// Time for what a relay tells of other topics to come on connections of their own, beside its proof.
const NEWS_ON_WAY: Duration = Duration::from_millis(60);
/// Age of the proof from which the relay is taken to have lost the store.
const RELAY_PROOF_MAX_MS: u64 = 2_700;

impl Follower {
    /// Asks another box; returns where to go on.
    pub(super) async fn ask_box(
        &mut self,
        since: Revision,
        relay: BoxRecord,
        asker: Asker,
    ) -> Result<Revision, Failed> {
        let asked_at_ms = self.gateway.clock.now_ms();
        let answer = self.call_box(since, &relay, asker).await?;
        if matches!(&answer, Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE) {
            return Err(self.found_sourceless(&relay));
        }
        let answer = match read_answer::<FollowAnswer>(answer) {
            Ok(answer) => answer,
            Err(error) => return Err(self.found_silent(&relay, &error)),
        };
        self.failures = 0;
        let revision = match self.take_in(since, asked_at_ms, answer).await {
            Ok(revision) => revision,
            Err(error) => return Err(self.found_no_copy(&error)),
        };
        self.gateway.set_synced(self.topic);
        if self.topic == Topic::Site {
            self.judge_source(&relay);
        }
        Ok(revision)
    }

    /// Takes in that the box that was asked did not answer as it should.
    fn found_silent(&mut self, relay: &BoxRecord, error: &BoxCallError) -> Failed {
        self.relay = None;
        let now_ms = self.gateway.clock.now_ms();
        self.gateway.peers.note_silent(&relay.name, now_ms);
        let error = error.to_string();
        let detail = json!({"peer": relay.name, "about": self.topic.name(), "error": error});
        self.gateway.log.line("peer_lost", detail);
        Failed::Relay
    }

    /// Judges by the age of the proof whether the box that answered has a source itself.
    fn judge_source(&self, relay: &BoxRecord) {
        // Boxes that start together wait for the root's first proof; left meanwhile, it and each that hears it
        // would be asked for in turn, with longer and longer pauses.
        let Some(age_ms) = self.gateway.proof_age_ms() else {
            return;
        };
        // No box renews its proof until a restored store has settled.
        if age_ms <= RELAY_PROOF_MAX_MS || !self.gateway.is_store_settled() {
            self.gateway.peers.note_source(&relay.name);
            return;
        }
        let now_ms = self.gateway.clock.now_ms();
        self.gateway.peers.note_sourceless(&relay.name, now_ms);
        let detail = json!({"peer": relay.name, "about": "proof", "proof_age_ms": age_ms});
        self.gateway.log.line("peer_unhearing", detail);
    }

    /// Takes in that the box that was asked does not hear of the store's records itself.
    fn found_sourceless(&self, relay: &BoxRecord) -> Failed {
        // The configuration's follower finds another source for all topics, but not while it waits for this
        // one: its own pause for the box that sends away may be over.
        if self.topic != Topic::Site && !self.is_wanted() {
            return Failed::NoSource;
        }
        let now_ms = self.gateway.clock.now_ms();
        self.gateway.peers.note_sourceless(&relay.name, now_ms);
        let detail = json!({"peer": relay.name, "about": self.topic.name()});
        self.gateway.log.line("peer_unhearing", detail);
        Failed::Relay
    }

    /// Asks what changed behind `since`; gives up where another follower finds the box lost.
    async fn call_box(
        &mut self,
        since: Revision,
        relay: &BoxRecord,
        asker: Asker,
    ) -> Result<Result<Answer, CallError>, Failed> {
        let is_wanted = self.begin_question();
        let wait_ms = self.box_wait_ms(is_wanted);
        let wanted = self.upstreams_asked;
        let me = &self.gateway.settings.box_name;
        let path = follow_path(self.topic, since, wait_ms, asker, me);
        let request = question(relay.peer_addr, &path);
        let client = match &mut self.relay {
            Some((known, client)) if known == relay => client,
            other => {
                let client = Client::new(relay.peer_addr);
                &mut other.insert((relay.clone(), client)).1
            }
        };
        let limit_ms = if since.is_zero() || self.gateway.peers.is_young() {
            COPY_LIMIT_MS
        } else {
            RELAY_ANSWER_LIMIT_MS
        };
        let limit = Duration::from_millis(wait_ms + limit_ms);
        let store_news = &self.gateway.store_news;
        tokio::select! {
            answer = client.call(request, limit) => return Ok(answer),
            () = self.gateway.peers.until_shunned(&relay.name, &self.gateway.clock) => {}
            () = store_news.until_upstreams_wanted(wanted), if self.topic == Topic::Upstreams => {}
            () = store_news.until_poll_asked(), if self.topic != Topic::Site => {}
        }
        self.relay = None;
        Err(Failed::Relay)
    }

    /// How long a question waits: one about the configuration no longer than until this box is to
    /// try the store, and not at all where an answer is wanted at once.
    fn box_wait_ms(&self, is_wanted: bool) -> u64 {
        match self.topic {
            // A box that has copied the configuration elsewhere needs only the proof.
            Topic::Site if self.gateway.proof_at_ms().is_none() => return FIRST_PROOF_WAIT_MS,
            Topic::Site => {}
            _ if is_wanted => return 0,
            Topic::Upstreams | Topic::Rollouts | Topic::DrainedHalls => return QUIET_WAIT_MS,
        }
        let now_ms = self.gateway.clock.now_ms();
        let left_ms = self.probes.first_in_ms(now_ms);
        let most_ms = self.gateway.settings.bounds.proof_renewal_timeout_ms();
        left_ms.min(most_ms).max(RELAY_SITE_MIN_WAIT_MS)
    }

    /// Takes in an answer, and the proof that comes with it; returns where to go on.
    async fn take_in(
        &mut self,
        since: Revision,
        asked_at_ms: u64,
        answer: FollowAnswer,
    ) -> Result<Revision, BoxCallError> {
        let gateway = self.gateway.clone();
        let proven_at_ms = answer.proven_at_ms(asked_at_ms, gateway.clock.now_ms());
        let is_proven = answer
            .proof_age_ms
            .is_some_and(|age_ms| age_ms <= RELAY_PROOF_MAX_MS);
        // Revision zero means that the box has no data yet; its era is not the store's.
        if !answer.revision.is_zero() {
            gateway.update_store_era(Some(answer.revision.era));
        }
        let mut revision = answer.revision.max(since);
        match answer.whole {
            Some(Whole::Here(items)) => self.adopt_copy(answer.revision, items),
            Some(Whole::At(giver)) => revision = self.copy_from(giver).await?,
            None => {}
        }
        adopt_changes(&gateway, self.topic, revision, answer.changes);
        let answered_by = AnsweredBy::Box {
            hears: is_proven && revision >= answer.revision,
        };
        if self.topic != Topic::Site {
            self.confirmed(answered_by).await;
            return Ok(revision);
        }
        // In an outage relays answer with the proof that they had before it: there is nothing to confirm. And the
        // proof is of what the relay knows, which the box that gave a copy may not know yet.
        if let Some(proven_at_ms) = proven_at_ms
            && revision >= answer.revision
            && gateway.is_proof_older_than(proven_at_ms)
        {
            // Other followers hear of upstreams and drained halls. Without what the relay knows of them, its proof would
            // let this box go on with upstreams that left, and keep it from trying the store on its own.
            let Vouches {
                upstreams,
                drained_halls,
            } = answer.vouches;
            if !self.knows(Topic::Upstreams, upstreams).await {
                self.is_unconfirmed = true;
            }
            if self.knows(Topic::DrainedHalls, drained_halls).await
                && self.confirmed(answered_by).await
            {
                gateway.renew_proof(proven_at_ms);
            }
        }
        Ok(revision)
    }

    /// Whether this box knows of a topic what a relay knows whose last change of it has this revision; what is on its way
    /// is waited for. A topic that is not followed binds nothing.
    async fn knows(&self, topic: Topic, changed_at: Option<Revision>) -> bool {
        if !self.gateway.topics().contains(&topic) {
            return true;
        }
        let histories = &self.gateway.histories;
        let mut news = histories.news();
        let is_known = || changed_at.is_some_and(|at| histories.revision(topic) >= at);
        let known = async {
            while !is_known() {
                // The sender lives as long as the box's state.
                let _changed = news.changed().await;
            }
        };
        timeout(NEWS_ON_WAY, known).await.is_ok()
    }

    /// Gets all records from a box that has them; returns their revision.
    async fn copy_from(&self, giver: SocketAddr) -> Result<Revision, BoxCallError> {
        let me = &self.gateway.settings.box_name;
        let path = follow_path(self.topic, Revision::default(), 0, Asker::Copier, me);
        let limit = Duration::from_millis(COPY_LIMIT_MS);
        let answer = Client::new(giver).call(question(giver, &path), limit).await;
        let answer = read_answer::<FollowAnswer>(answer)?;
        if let Some(Whole::Here(items)) = answer.whole {
            let detail = json!({
                "topic": self.topic.name(), "giver": giver, "revision": answer.revision.to_string(),
                "records": items.len(),
            });
            self.gateway.log.line("records_copied", detail);
            self.adopt_copy(answer.revision, items);
        }
        Ok(answer.revision)
    }

    fn adopt_copy(&self, revision: Revision, items: Vec<StoreRecord>) {
        let entries = items.into_iter().map(Ok).collect();
        adopt_all(
            &self.gateway,
            self.topic,
            revision,
            ListingKind::Complete,
            entries,
        );
    }

    /// Takes in that the box that was to give all records did not; the relay names another one.
    fn found_no_copy(&self, error: &BoxCallError) -> Failed {
        let detail = json!({"topic": self.topic.name(), "error": error.to_string()});
        self.gateway.log.line("copy_failed", detail);
        Failed::Relay
    }
}
