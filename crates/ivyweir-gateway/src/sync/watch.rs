//! Following a topic at the store itself.

use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use ivyweir_policy::gateway::revision::Revision;
use serde_json::json;
use tokio::time::{sleep, timeout};

use super::confirm::AnsweredBy;
use super::{Follower, QUIET_WAIT_MS};
use crate::adopt::{ListingKind, adopt_all, adopt_changes, readable_changes};
use crate::client::{ANSWER_LIMIT, CallError};
use crate::dialect::{Changes, RecordResult, Topic};
use crate::state::Gateway;
use crate::store_client::StoreAnswer;

/// How long a watch of the configuration waits. Each empty answer renews the proof that it is the
/// newest, which must stay younger than the bound on withdrawn keys until the next one.
const SITE_WAIT_MS: u64 = 1_200;
const SITE_MIN_WAIT_MS: u64 = 200;
/// Time beyond the wait after which a relay takes the store to be lost; a slow store takes 300 ms.
const OVERDUE_MS: u64 = 500;
/// Age at which the next proof must be there; it leaves a slow store some hundred milliseconds.
const PROOF_DUE_MS: u64 = 2_300;
/// How far a watch may lag behind what the store has acknowledged.
const HEARD_LAG_MS: u64 = 1_000;
/// Pause between a watch that saw changes and the next, so that changes in a row cost one call. The
/// bounds on a configuration and on a leaving upstream are two seconds or more.
const GATHER_MS: u64 = 300;
/// How long a watch of upstreams waits. A call that a silent store took is never answered, and
/// until it is given up a box does not hear who leaves.
const UPSTREAMS_WAIT_MS: u64 = 4_000;
/// How long the first watches after a failure, or after another box was asked, wait.
const AFTER_FAILURE_WAIT_MS: u64 = 50;
/// Time for the store to answer a try; a slow one takes 300 ms.
const PROBE_LIMIT: Duration = Duration::from_millis(700);

impl Follower {
    /// Lists the topic; returns the revision to watch from.
    pub(super) async fn list(&mut self) -> Result<Revision, ()> {
        self.begin_question();
        let asked_at_ms = self.gateway.clock.now_ms();
        let was_settled = self.gateway.is_store_settled();
        let (entries, mut revision) = match self.read_pages().await {
            Ok(listing) => listing,
            Err(e) => {
                self.tell_store_answers(false);
                self.failed(&e);
                return Err(());
            }
        };
        self.tell_store_answers(true);
        self.succeeded();
        revision.is_settled = was_settled && self.gateway.is_store_settled();
        let kind = if revision.is_settled {
            ListingKind::Complete
        } else {
            ListingKind::Incomplete
        };
        adopt_all(&self.gateway, self.topic, revision, kind, entries);
        if self.confirmed(AnsweredBy::Store).await {
            self.gateway.renew_proof(asked_at_ms.cast_signed());
        }
        self.gateway.set_synced(self.topic);
        Ok(revision)
    }

    /// All records of the topic, and the revision behind which the watch tells the rest.
    async fn read_pages(&mut self) -> Result<(Vec<RecordResult>, Revision), CallError> {
        let (first, era) = self.client.read_page(self.topic, None).await?;
        if Some(era) < self.gateway.store_era() {
            return Err(CallError::EraMismatch);
        }
        // What changes while pages are read is told by the watch from the first page on.
        let revision = Revision::new(era, first.revision);
        let mut entries = first.entries;
        let mut after = first.next_after;
        while let Some(last) = after {
            let (page, page_era) = self.client.read_page(self.topic, Some(&last)).await?;
            if page_era != era {
                return Err(CallError::EraMismatch);
            }
            entries.extend(page.entries);
            after = page.next_after;
        }
        let entries = entries
            .into_iter()
            .map(|entry| entry.map(|item| item.with_era(era)));
        Ok((entries.collect(), revision))
    }

    /// Watches once; returns where to go on, or none if the topic is to be listed again.
    pub(super) async fn ask_store(&mut self, since: Revision) -> Result<Option<Revision>, ()> {
        let watched = self.watch(since).await;
        self.tell_store_answers(watched.is_ok());
        watched
    }

    /// Tells boxes that follow here, and the other topics' followers, whether the store answers.
    fn tell_store_answers(&self, answers: bool) {
        if self.topic != Topic::Site {
            return;
        }
        self.gateway.histories.set_store_answers(answers);
        if !answers {
            self.gateway.store_news.store_lost();
        }
    }

    async fn watch(&mut self, since: Revision) -> Result<Option<Revision>, ()> {
        let asked_at_ms = self.gateway.clock.now_ms();
        let is_wanted = self.begin_question();
        let wait_ms = self.wait_ms(is_wanted);
        let request = self.gateway.codec.watch(self.topic, since.number, wait_ms);
        let mut answer = self.call_store(request, wait_ms).await;
        if self.failures == 0 && matches!(answer, Err(CallError::Lost { .. })) {
            // The store may cut a watch at any time; it is lost only if it does not answer then.
            let request = self
                .gateway
                .codec
                .watch(self.topic, since.number, AFTER_FAILURE_WAIT_MS);
            answer = self.call_store(request, AFTER_FAILURE_WAIT_MS).await;
        }
        let changes = match answer.and_then(|answer| self.read(since.era, &answer)) {
            Ok(changes) => changes,
            Err(e) => {
                self.failed(&e);
                return Err(());
            }
        };
        self.succeeded();
        let Some(changes) = changes else {
            let detail = json!({
                "topic": self.topic.name(), "since": since.to_string(), "era": self.gateway.store_era(),
            });
            self.gateway.log.line("store_history_gone", detail);
            return Ok(None);
        };
        let revision = Revision {
            number: changes.revision,
            ..since
        };
        let quiet = changes.changes.is_empty();
        let answered_at_ms = self.gateway.clock.now_ms();
        let changes = changes.changes.into_iter();
        let changes = changes.map(|change| change.with_era(since.era)).collect();
        let changes = readable_changes(&self.gateway, self.topic, changes);
        adopt_changes(&self.gateway, self.topic, revision, changes);
        if self.confirmed(AnsweredBy::Store).await {
            let proven_at_ms = proven_at(asked_at_ms, answered_at_ms, wait_ms, quiet);
            self.gateway.renew_proof(proven_at_ms.cast_signed());
        }
        if !quiet {
            sleep(Duration::from_millis(GATHER_MS)).await;
        }
        Ok(Some(revision))
    }

    /// Calls the store; one that is overdue is waited for, but no box should follow here meanwhile.
    async fn call_store(
        &mut self,
        request: Request<Bytes>,
        wait_ms: u64,
    ) -> Result<StoreAnswer, CallError> {
        let limit = if self.is_probing || self.failures > 0 {
            PROBE_LIMIT
        } else {
            ANSWER_LIMIT
        };
        let limit = Duration::from_millis(wait_ms) + limit;
        let Gateway {
            histories,
            store_news,
            ..
        } = &*self.gateway;
        let mut call = pin!(self.client.call(request, limit));
        if self.topic != Topic::Site {
            // A store that was silent for a while never answers what it took then, so no long wait
            // outlasts the loss that the short ones notice.
            return tokio::select! {
                answer = call => answer,
                () = store_news.until_store_lost() => Err(CallError::GivenUp {
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

    /// Reads the answer to a watch from a revision of `era`; `None` if the topic must be listed again, because the store
    /// no longer has the history or answers from another era.
    fn read(&self, era: u64, answer: &StoreAnswer) -> Result<Option<Changes>, CallError> {
        match answer.status {
            StatusCode::GONE => Ok(None),
            // After a restore, the same revision number stands for another change.
            StatusCode::OK if answer.era != era => Ok(None),
            StatusCode::OK => {
                let changes = self.gateway.codec.decode_changes(self.topic, &answer.body);
                changes.map(Some).map_err(CallError::unreadable)
            }
            status => Err(CallError::refused(status)),
        }
    }

    /// How long a watch waits for changes: at most until the store settles, when the topic is listed again.
    fn wait_ms(&self, is_wanted: bool) -> u64 {
        let settles_in_ms = self.gateway.store_settles_in_ms();
        let wait_ms = self.settled_wait_ms(is_wanted);
        if settles_in_ms > 0 {
            wait_ms.min(settles_in_ms)
        } else {
            wait_ms
        }
    }

    /// How long a watch of a settled store waits for changes; not at all if an answer is wanted at once.
    fn settled_wait_ms(&self, is_wanted: bool) -> u64 {
        match self.topic {
            _ if is_wanted => AFTER_FAILURE_WAIT_MS,
            // After a failure the answer itself is news, so it must not wait for changes.
            _ if self.failures > 0 => AFTER_FAILURE_WAIT_MS,
            _ if self.is_probing || self.is_catching_up => AFTER_FAILURE_WAIT_MS,
            Topic::Upstreams => UPSTREAMS_WAIT_MS,
            Topic::Rollouts => QUIET_WAIT_MS,
            Topic::DrainedHalls => self.gateway.settings.bounds.hall_drain_watch_ms(),
            Topic::Site => self.site_wait_ms(),
        }
    }

    /// How long a watch of the configuration waits: its answer must come before the proof is due.
    fn site_wait_ms(&self) -> u64 {
        let age_ms = self.gateway.proof_age_ms().unwrap_or(PROOF_DUE_MS);
        let left_ms = PROOF_DUE_MS.saturating_sub(age_ms);
        let now_ms = self.gateway.clock.now_ms();
        let most_ms = if self.gateway.histories.is_followed(now_ms) {
            self.gateway.settings.bounds.root_watch_ms()
        } else {
            SITE_WAIT_MS
        };
        left_ms.min(most_ms).max(SITE_MIN_WAIT_MS)
    }
}

/// Until when an answer to a watch shows that nothing newer was acknowledged.
///
/// One that came empty after its whole wait was made at the end of the wait; any other one shows
/// only what held when it was asked for.
fn proven_at(asked_at_ms: u64, answered_at_ms: u64, wait_ms: u64, quiet: bool) -> u64 {
    let waited = answered_at_ms.saturating_sub(asked_at_ms) >= wait_ms;
    if quiet && waited {
        asked_at_ms + wait_ms.saturating_sub(HEARD_LAG_MS)
    } else {
        asked_at_ms
    }
}
