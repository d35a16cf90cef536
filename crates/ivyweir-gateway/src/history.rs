//! Per-topic histories of the store's records, from which a box serves the boxes that follow it.

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

use crate::dialect::{StoreRecord, Topic};
use crate::mutex::lock;

/// Minimum number of changes kept for a topic, however few records it has.
const MIN_CHANGES_KEPT: usize = 128;
/// Time after a request during which this box counts as followed.
const FOLLOWER_ACTIVE_MS: u64 = 4_000;

/// A change as it is sent to other boxes.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordChange {
    /// A record was written.
    Put(StoreRecord),
    /// The record of this name was deleted.
    #[serde(rename = "gone")]
    Deleted(Name),
}

/// The changes of one topic.
#[derive(Debug, Default)]
struct History {
    revision: Revision,
    /// A requester at an older revision needs all records.
    compacted_revision: Revision,
    changes: VecDeque<(Revision, RecordChange)>,
    source: TopicSource,
}

impl History {
    /// Drops all changes before the newest write. Each write of the configuration holds all of it, so a requester at any
    /// revision needs the newest only.
    fn drop_replaced(&mut self) {
        let is_write =
            |(_, change): &(Revision, RecordChange)| matches!(change, RecordChange::Put(_));
        if let Some(newest) = self.changes.iter().rposition(is_write) {
            self.changes.drain(..newest);
        }
    }
}

/// Where this box receives a topic from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TopicSource {
    /// No source.
    #[default]
    Unavailable,
    /// The store.
    Store,
    /// The root; this box is its hall's relay.
    Root,
    /// The relay of this box's hall.
    Relay,
}

impl TopicSource {
    /// Maps a selected source to its kind.
    pub fn of(source: &Source) -> Self {
        match source {
            Source::Store => Self::Store,
            Source::Root(_) => Self::Root,
            Source::Relay(_) => Self::Relay,
            Source::Unavailable => Self::Unavailable,
        }
    }
}

/// The role of the box that sends a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Requester {
    /// A box of this hall, which takes this box for the hall's relay.
    Follower,
    /// A relay, which takes this box for the root.
    Relay,
    /// A box that was redirected here for all records of a topic.
    Copier,
}

/// The changes that a requester lacks.
pub enum Backlog {
    /// All records are needed, as the history does not reach back far enough; the revision is that
    /// of the records.
    Snapshot(Revision),
    /// The changes, up to this revision.
    Changes(Revision, Vec<RecordChange>),
}

/// State of the store as seen by this box's own requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum StoreStatus {
    /// No request received a response or failed yet.
    #[default]
    Untried,
    /// The store responds in time.
    Responsive,
    /// The store does not respond in time.
    Unresponsive,
}

/// Why this box cannot serve a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceUnavailable {
    /// It has sent the store its first request and waits for the response.
    Pending,
    /// It is looking for another source.
    Searching,
    /// It follows a relay itself, or it has no data for a redirected box.
    NotASource,
}

/// The histories of all topics and the state of their sources.
#[derive(Debug, Default)]
pub struct Histories {
    topics: Mutex<HashMap<Topic, History>>,
    store_status: Mutex<StoreStatus>,
    /// Time of the last request from another box.
    last_request_ms: AtomicU64,
    updates: watch::Sender<u64>,
    /// Which boxes send all records of a topic to which others.
    copy_transfers: Mutex<HashMap<Topic, CopyTransfers>>,
}

impl Histories {
    /// Restarts the history of a topic after all of its records were read.
    pub fn reset(&self, topic: Topic, revision: Revision) {
        let mut topics = self.topics();
        let history = topics.entry(topic).or_default();
        history.revision = revision;
        history.compacted_revision = revision;
        history.changes.clear();
        drop(topics);
        // Copies of the previous records do not reach this revision.
        self.copy_transfers().remove(&topic);
        self.notify();
    }

    /// Appends changes of a topic that now has this number of `records`. No more changes than
    /// records are kept, beyond the minimum: for a requester that is further behind, all records
    /// are the smaller response. Of the configuration only the newest write is kept.
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
        if topic == Topic::Site {
            history.drop_replaced();
        }
        while history.changes.len() > kept {
            if let Some((revision, _)) = history.changes.pop_front() {
                history.compacted_revision = revision;
            }
        }
        drop(topics);
        if any {
            self.notify();
        }
    }

    /// Sets the source from which this box receives a topic.
    pub fn set_source(&self, topic: Topic, source: TopicSource) {
        let mut topics = self.topics();
        let history = topics.entry(topic).or_default();
        if history.source != source {
            history.source = source;
            drop(topics);
            self.notify();
        }
    }

    /// Sets whether the store responds to this box in time. Waiting followers are woken on a
    /// change, so that they can move to another source.
    pub fn set_store_responsive(&self, is_responsive: bool) {
        let store_status = if is_responsive {
            StoreStatus::Responsive
        } else {
            StoreStatus::Unresponsive
        };
        let before = std::mem::replace(&mut *self.store_status(), store_status);
        if before != store_status {
            self.notify();
        }
    }

    /// Whether this box receives the configuration from the store, and the store responds.
    pub fn is_root(&self) -> bool {
        let topics = self.topics();
        let source = topics.get(&Topic::Site).map(|history| history.source);
        source == Some(TopicSource::Store) && self.is_store_responsive()
    }

    /// Whether the store responded to this box's last request about the configuration.
    pub fn is_store_responsive(&self) -> bool {
        *self.store_status() == StoreStatus::Responsive
    }

    /// Whether the store has neither responded to nor failed any request of this box yet.
    pub fn is_store_untried(&self) -> bool {
        *self.store_status() == StoreStatus::Untried
    }

    /// Records a request from another box.
    pub fn record_request(&self, now_ms: u64) {
        self.last_request_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Whether another box sent a request recently.
    pub fn has_recent_followers(&self, now_ms: u64) -> bool {
        let last_request_ms = self.last_request_ms.load(Ordering::Relaxed);
        last_request_ms > 0 && now_ms < last_request_ms + FOLLOWER_ACTIVE_MS
    }

    /// Assigns a source to a box that needs all records of a topic.
    pub fn assign_copy_source(&self, topic: Topic, requester: &Name, now_ms: u64) -> CopySource {
        self.copy_transfers()
            .entry(topic)
            .or_default()
            .assign_source(requester, now_ms)
    }

    /// Records that a box has a topic up to `since`, which may mean that it received its copy.
    pub fn record_copy_progress(&self, topic: Topic, since: Revision, name: &Name) {
        let compacted_revision = self
            .topics()
            .get(&topic)
            .map(|history| history.compacted_revision);
        let compacted_revision = compacted_revision.unwrap_or_default();
        if !since.is_zero()
            && since >= compacted_revision
            && let Some(copy_transfers) = self.copy_transfers().get_mut(&topic)
        {
            copy_transfers.record_received(name);
        }
    }

    fn copy_transfers(&self) -> MutexGuard<'_, HashMap<Topic, CopyTransfers>> {
        lock(&self.copy_transfers)
    }

    /// Wakes the waiting tasks: something changed, or the proof was renewed.
    pub fn notify(&self) {
        self.updates.send_modify(|count| *count += 1);
    }

    /// Subscribes to changes and renewals of the proof.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.updates.subscribe()
    }

    /// Waits until something changes or the proof is renewed, for at most `limit`.
    pub async fn wait_for_change(&self, limit: Duration) {
        let mut updates = self.updates.subscribe();
        // The caller checks the state itself in either case.
        let _woken = timeout(limit, updates.changed()).await;
    }

    fn store_status(&self) -> MutexGuard<'_, StoreStatus> {
        lock(&self.store_status)
    }

    fn topics(&self) -> MutexGuard<'_, HashMap<Topic, History>> {
        lock(&self.topics)
    }

    /// Returns the changes since a revision; `None` if there are none.
    ///
    /// # Errors
    ///
    /// When this box is not a source of the topic for the requester.
    pub fn changes_since(
        &self,
        topic: Topic,
        since: Revision,
        requester: Requester,
    ) -> Result<Option<Backlog>, SourceUnavailable> {
        let topics = self.topics();
        let history = topics.get(&topic).ok_or(SourceUnavailable::Searching)?;
        // A box without any data is better served with the last known records than refused; the
        // proof tells it their age.
        let is_new_requester = since.is_zero() && !history.compacted_revision.is_zero();
        if requester == Requester::Copier && !is_new_requester {
            return Err(SourceUnavailable::NotASource);
        }
        if !is_new_requester {
            self.check_source(history.source, requester)?;
        }
        if since < history.compacted_revision {
            return Ok(Some(Backlog::Snapshot(history.revision)));
        }
        let first = history.changes.partition_point(|(at, _)| *at <= since);
        let newer = history.changes.range(first..);
        let changes: Vec<RecordChange> = newer.map(|(_, change)| change.clone()).collect();
        let is_empty = changes.is_empty();
        Ok((!is_empty).then_some(Backlog::Changes(history.revision, changes)))
    }

    /// Revision of the last known change of a topic; `None` if this box is not a source of the
    /// topic for the requester.
    pub fn last_change_revision(&self, topic: Topic, requester: Requester) -> Option<Revision> {
        let topics = self.topics();
        let history = topics.get(&topic)?;
        self.check_source(history.source, requester).ok()?;
        let last = history.changes.back().map(|(revision, _)| *revision);
        Some(last.unwrap_or(history.compacted_revision))
    }

    /// Revision up to which this box has a topic; zero if it has no data yet.
    pub fn revision(&self, topic: Topic) -> Revision {
        let topics = self.topics();
        let history = topics.get(&topic);
        history.map_or_else(Revision::default, |history| history.revision)
    }

    /// Checks that this box is a source for the requester.
    fn check_source(
        &self,
        source: TopicSource,
        requester: Requester,
    ) -> Result<(), SourceUnavailable> {
        let store_status = *self.store_status();
        match (source, requester) {
            (TopicSource::Store, _) if store_status == StoreStatus::Responsive => Ok(()),
            (TopicSource::Store, _) if store_status == StoreStatus::Untried => {
                Err(SourceUnavailable::Pending)
            }
            (TopicSource::Root, Requester::Follower) => Ok(()),
            (TopicSource::Relay, _) => Err(SourceUnavailable::NotASource),
            _ => Err(SourceUnavailable::Searching),
        }
    }
}
