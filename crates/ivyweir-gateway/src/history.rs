//! What a box can pass on of the store's topics.

use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::copies::{CopySource, CopyTransfers};
use ivyweir_policy::gateway::relay::Source;
use ivyweir_policy::gateway::revision::Revision;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::dialect::{Item, Topic};

/// Changes of a topic that are kept at least, however few records it has.
const MIN_CHANGES_KEPT: usize = 128;
/// Time for which a question shows that this box is a relay.
const FOLLOWER_ACTIVE_MS: u64 = 4_000;

/// A change as it is passed on.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordChange {
    /// A record was written.
    Put(Item),
    /// The record of this name is gone.
    #[serde(rename = "gone")]
    Deleted(Name),
}

/// What a box can pass on of one topic.
#[derive(Debug, Default)]
struct History {
    revision: Revision,
    /// Who asks from before this needs everything.
    compacted: Revision,
    changes: VecDeque<(Revision, RecordChange)>,
    source: TopicSource,
}

/// From whom this box hears a topic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TopicSource {
    /// From nobody.
    #[default]
    Unavailable,
    /// From the store.
    Store,
    /// From the root: this box is its hall's relay.
    Root,
    /// From its hall's relay.
    Relay,
}

impl TopicSource {
    /// Whom a source stands for.
    pub fn of(source: &Source) -> Self {
        match source {
            Source::Store => Self::Store,
            Source::Root(_) => Self::Root,
            Source::Relay(_) => Self::Relay,
            Source::Unavailable => Self::Unavailable,
        }
    }
}

/// Who asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Requester {
    /// A box of this hall, of the hall's relay.
    Follower,
    /// A relay, of the root.
    Relay,
    /// A box that was sent here for all records of a topic.
    Copier,
}

/// What a box that asks does not know yet.
pub enum Backlog {
    /// More than is kept; the revision of everything.
    Snapshot(Revision),
    /// The changes, up to this revision.
    Changes(Revision, Vec<RecordChange>),
}

/// What this box knows of the store from its own questions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum StoreStatus {
    /// No question was answered or failed yet.
    #[default]
    Untried,
    /// It answers in time.
    Responsive,
    /// It does not.
    Unresponsive,
}

/// Why this box does not tell of a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceUnavailable {
    /// It asked the store a moment ago, for the first time.
    Pending,
    /// It is looking for another source.
    Searching,
    /// It follows another box itself.
    NotASource,
}

/// What a box can pass on.
#[derive(Debug, Default)]
pub struct Histories {
    topics: Mutex<HashMap<Topic, History>>,
    store_status: Mutex<StoreStatus>,
    /// When a box last asked here.
    last_request_ms: AtomicU64,
    updates: watch::Sender<u64>,
    /// Who gives whole copies to whom.
    copy_transfers: Mutex<HashMap<Topic, CopyTransfers>>,
}

impl Histories {
    /// Takes in that a topic was read as a whole.
    pub fn reset(&self, topic: Topic, revision: Revision) {
        let mut topics = self.topics();
        let history = topics.entry(topic).or_default();
        history.revision = revision;
        history.compacted = revision;
        history.changes.clear();
        drop(topics);
        // Copies of what was known before do not reach up to here.
        self.copy_transfers().remove(&topic);
        self.notify();
    }

    /// Takes in changes of a topic that has so many `records` now. As many changes are kept: who is further behind
    /// is told less by getting everything.
    pub fn append(
        &self,
        topic: Topic,
        revision: Revision,
        changes: Vec<RecordChange>,
        records: usize,
    ) {
        let kept = records.max(MIN_CHANGES_KEPT);
        let mut topics = self.topics();
        let history = topics.entry(topic).or_default();
        history.revision = revision;
        let any = !changes.is_empty();
        history
            .changes
            .extend(changes.into_iter().map(|c| (revision, c)));
        while history.changes.len() > kept {
            if let Some((revision, _)) = history.changes.pop_front() {
                history.compacted = revision;
            }
        }
        drop(topics);
        if any {
            self.notify();
        }
    }

    /// Takes in from whom this box hears a topic.
    pub fn set_source(&self, topic: Topic, source: TopicSource) {
        let mut topics = self.topics();
        let history = topics.entry(topic).or_default();
        if history.source != source {
            history.source = source;
            drop(topics);
            self.notify();
        }
    }

    /// Takes in whether the store answers this box in time; boxes that follow here must not be held
    /// up.
    pub fn set_store_responsive(&self, is_responsive: bool) {
        let status = if is_responsive {
            StoreStatus::Responsive
        } else {
            StoreStatus::Unresponsive
        };
        let before = std::mem::replace(&mut *self.status(), status);
        if before != status {
            self.notify();
        }
    }

    /// Whether this box hears the configuration from the store, and that answers.
    pub fn is_root(&self) -> bool {
        let topics = self.topics();
        let source = topics.get(&Topic::Site).map(|history| history.source);
        source == Some(TopicSource::Store) && self.is_store_responsive()
    }

    /// Whether the store answered this box when it was last asked about the configuration.
    pub fn is_store_responsive(&self) -> bool {
        *self.status() == StoreStatus::Responsive
    }

    /// Whether this box has neither an answer of the store nor a failure yet.
    pub fn is_store_untried(&self) -> bool {
        *self.status() == StoreStatus::Untried
    }

    /// Takes in that another box asks here.
    pub fn record_request(&self, now_ms: u64) {
        self.last_request_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Whether another box asked here lately.
    pub fn has_recent_followers(&self, now_ms: u64) -> bool {
        let last_request_ms = self.last_request_ms.load(Ordering::Relaxed);
        last_request_ms > 0 && now_ms < last_request_ms + FOLLOWER_ACTIVE_MS
    }

    /// Finds who gives a box its copy of a topic's records.
    pub fn assign_copy_source(&self, topic: Topic, requester: &Name, now_ms: u64) -> CopySource {
        self.copy_transfers()
            .entry(topic)
            .or_default()
            .assign_source(requester, now_ms)
    }

    /// Takes in that a box knows a topic up to `since`: it may have got its copy.
    pub fn record_copy_progress(&self, topic: Topic, since: Revision, name: &Name) {
        let compacted = self.topics().get(&topic).map(|history| history.compacted);
        let compacted = compacted.unwrap_or_default();
        if !since.is_zero()
            && since >= compacted
            && let Some(copy_transfers) = self.copy_transfers().get_mut(&topic)
        {
            copy_transfers.record_received(name);
        }
    }

    fn copy_transfers(&self) -> MutexGuard<'_, HashMap<Topic, CopyTransfers>> {
        self.copy_transfers
            .lock()
            .expect("invariant: no holder panics")
    }

    /// Wakes who waits: something changed, or the proof is newer.
    pub fn notify(&self) {
        self.updates.send_modify(|count| *count += 1);
    }

    /// Tells from now on whenever something changes, or the proof is newer.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.updates.subscribe()
    }

    /// Waits until something changes, or `limit` has passed.
    pub async fn wait_for_change(&self, limit: Duration) {
        let mut updates = self.updates.subscribe();
        // Either way the caller looks at the state itself.
        let _woken = timeout(limit, updates.changed()).await;
    }

    fn status(&self) -> MutexGuard<'_, StoreStatus> {
        self.store_status
            .lock()
            .expect("invariant: no holder panics")
    }

    fn topics(&self) -> MutexGuard<'_, HashMap<Topic, History>> {
        self.topics.lock().expect("invariant: no holder panics")
    }

    /// Changes behind `since`; none if there are none, an error if this box does not hear of them.
    pub fn changes_since(
        &self,
        topic: Topic,
        since: Revision,
        requester: Requester,
    ) -> Result<Option<Backlog>, SourceUnavailable> {
        let topics = self.topics();
        let history = topics.get(&topic).ok_or(SourceUnavailable::Searching)?;
        // Who knows nothing yet is better off with what was last heard; its proof tells the age.
        let is_new_requester = since.is_zero() && !history.compacted.is_zero();
        if requester == Requester::Copier && !is_new_requester {
            return Err(SourceUnavailable::NotASource);
        }
        if !is_new_requester {
            self.check_source(history.source, requester)?;
        }
        if since < history.compacted {
            return Ok(Some(Backlog::Snapshot(history.revision)));
        }
        let first = history.changes.partition_point(|(at, _)| *at <= since);
        let newer = history.changes.range(first..);
        let changes: Vec<RecordChange> = newer.map(|(_, change)| change.clone()).collect();
        let is_empty = changes.is_empty();
        Ok((!is_empty).then_some(Backlog::Changes(history.revision, changes)))
    }

    /// Revision of the last change of a topic that this box knows; none where it is no source of the topic for who asks.
    pub fn last_change_revision(&self, topic: Topic, requester: Requester) -> Option<Revision> {
        let topics = self.topics();
        let history = topics.get(&topic)?;
        self.check_source(history.source, requester).ok()?;
        let last = history.changes.back().map(|(revision, _)| *revision);
        Some(last.unwrap_or(history.compacted))
    }

    /// Revision up to which this box knows a topic; zero if it knows nothing yet.
    pub fn revision(&self, topic: Topic) -> Revision {
        let topics = self.topics();
        let history = topics.get(&topic);
        history.map_or_else(Revision::default, |history| history.revision)
    }

    /// Whether this box is a source for who asks.
    fn check_source(
        &self,
        source: TopicSource,
        requester: Requester,
    ) -> Result<(), SourceUnavailable> {
        let status = *self.status();
        match (source, requester) {
            (TopicSource::Store, _) if status == StoreStatus::Responsive => Ok(()),
            (TopicSource::Store, _) if status == StoreStatus::Untried => {
                Err(SourceUnavailable::Pending)
            }
            (TopicSource::Root, Requester::Follower) => Ok(()),
            (TopicSource::Relay, _) => Err(SourceUnavailable::NotASource),
            _ => Err(SourceUnavailable::Searching),
        }
    }
}
