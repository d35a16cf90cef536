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

use crate::dialect::{StoreRecord, Topic};

/// Changes of a topic that are kept at least, however few records it has.
const CHANGES_KEPT: usize = 128;
/// Time for which a question shows that this box is a relay.
const FOLLOWED_MS: u64 = 4_000;

/// A change as it is passed on.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PassedChange {
    /// A record was written.
    Put(StoreRecord),
    /// The record of this name is gone.
    Gone(Name),
}

/// What a box can pass on of one topic.
#[derive(Debug, Default)]
struct History {
    revision: Revision,
    /// Who asks from before this needs everything.
    floor: Revision,
    changes: VecDeque<(Revision, PassedChange)>,
    from: HeardFrom,
}

/// From whom this box hears a topic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum HeardFrom {
    /// From nobody.
    #[default]
    Nobody,
    /// From the store.
    Store,
    /// From the root: this box is its hall's relay.
    Root,
    /// From its hall's relay.
    Relay,
}

impl HeardFrom {
    /// Whom a source stands for.
    pub fn of(source: &Source) -> Self {
        match source {
            Source::Store => Self::Store,
            Source::Root(_) => Self::Root,
            Source::Relay(_) => Self::Relay,
            Source::Unavailable => Self::Nobody,
        }
    }
}

/// Who asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asker {
    /// A box of this hall, of the hall's relay.
    Follower,
    /// A relay, of the root.
    Relay,
    /// A box that was sent here for all records of a topic.
    Copier,
}

/// What a box that asks does not know yet.
pub enum Behind {
    /// More than is kept; the revision of everything.
    Whole(Revision),
    /// The changes, up to this revision.
    Changes(Revision, Vec<PassedChange>),
}

/// What this box knows of the store from its own questions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Standing {
    /// No question was answered or failed yet.
    #[default]
    Untried,
    /// It answers in time.
    Answers,
    /// It does not.
    Silent,
}

/// Why this box does not tell of a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoSource {
    /// It asked the store a moment ago, for the first time.
    NotYet,
    /// It is looking for another source.
    ForNow,
    /// It follows another box itself.
    AtAll,
}

/// What a box can pass on.
#[derive(Debug, Default)]
pub struct Histories {
    topics: Mutex<HashMap<Topic, History>>,
    store: Mutex<Standing>,
    /// When a box last asked here.
    asked_at_ms: AtomicU64,
    news: watch::Sender<u64>,
    /// Who gives whole copies to whom.
    copies: Mutex<HashMap<Topic, CopyTransfers>>,
}

impl Histories {
    /// Takes in that a topic was read as a whole.
    pub fn restart(&self, topic: Topic, revision: Revision) {
        let mut topics = self.topics();
        let history = topics.entry(topic).or_default();
        history.revision = revision;
        history.floor = revision;
        history.changes.clear();
        drop(topics);
        // Copies of what was known before do not reach up to here.
        self.copies().remove(&topic);
        self.tell();
    }

    /// Takes in changes of a topic that has so many `records` now. As many changes are kept: who is further behind
    /// is told less by getting everything.
    pub fn push(
        &self,
        topic: Topic,
        revision: Revision,
        changes: Vec<PassedChange>,
        records: usize,
    ) {
        let kept = records.max(CHANGES_KEPT);
        let mut topics = self.topics();
        let history = topics.entry(topic).or_default();
        history.revision = revision;
        let any = !changes.is_empty();
        history
            .changes
            .extend(changes.into_iter().map(|c| (revision, c)));
        while history.changes.len() > kept {
            if let Some((revision, _)) = history.changes.pop_front() {
                history.floor = revision;
            }
        }
        drop(topics);
        if any {
            self.tell();
        }
    }

    /// Takes in from whom this box hears a topic.
    pub fn set_from(&self, topic: Topic, from: HeardFrom) {
        let mut topics = self.topics();
        let history = topics.entry(topic).or_default();
        if history.from != from {
            history.from = from;
            drop(topics);
            self.tell();
        }
    }

    /// Takes in whether the store answers this box in time; boxes that follow here must not be held
    /// up.
    pub fn set_store_answers(&self, answers: bool) {
        let standing = if answers {
            Standing::Answers
        } else {
            Standing::Silent
        };
        let before = std::mem::replace(&mut *self.standing(), standing);
        if before != standing {
            self.tell();
        }
    }

    /// Whether this box hears the configuration from the store, and that answers.
    pub fn is_root(&self) -> bool {
        let topics = self.topics();
        let from = topics.get(&Topic::Site).map(|history| history.from);
        from == Some(HeardFrom::Store) && self.store_answers()
    }

    /// Whether the store answered this box when it was last asked about the configuration.
    pub fn store_answers(&self) -> bool {
        *self.standing() == Standing::Answers
    }

    /// Whether this box has neither an answer of the store nor a failure yet.
    pub fn is_store_untried(&self) -> bool {
        *self.standing() == Standing::Untried
    }

    /// Takes in that another box asks here.
    pub fn asked(&self, now_ms: u64) {
        self.asked_at_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Whether another box asked here lately.
    pub fn is_followed(&self, now_ms: u64) -> bool {
        let asked_at_ms = self.asked_at_ms.load(Ordering::Relaxed);
        asked_at_ms > 0 && now_ms < asked_at_ms + FOLLOWED_MS
    }

    /// Finds who gives a box its copy of a topic's records.
    pub fn give_copy(&self, topic: Topic, asker: &Name, now_ms: u64) -> CopySource {
        self.copies()
            .entry(topic)
            .or_default()
            .assign_source(asker, now_ms)
    }

    /// Takes in that a box knows a topic up to `since`: it may have got its copy.
    pub fn note_copy(&self, topic: Topic, since: Revision, name: &Name) {
        let floor = self.topics().get(&topic).map(|history| history.floor);
        let floor = floor.unwrap_or_default();
        if !since.is_zero()
            && since >= floor
            && let Some(copies) = self.copies().get_mut(&topic)
        {
            copies.record_received(name);
        }
    }

    fn copies(&self) -> MutexGuard<'_, HashMap<Topic, CopyTransfers>> {
        self.copies.lock().expect("invariant: no holder panics")
    }

    /// Wakes who waits: something changed, or the proof is newer.
    pub fn tell(&self) {
        self.news.send_modify(|count| *count += 1);
    }

    /// Tells from now on whenever something changes, or the proof is newer.
    pub fn news(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    /// Waits until something changes, or `limit` has passed.
    pub async fn until_news(&self, limit: Duration) {
        let mut news = self.news.subscribe();
        // Either way the caller looks at the state itself.
        let _woken = timeout(limit, news.changed()).await;
    }

    fn standing(&self) -> MutexGuard<'_, Standing> {
        self.store.lock().expect("invariant: no holder panics")
    }

    fn topics(&self) -> MutexGuard<'_, HashMap<Topic, History>> {
        self.topics.lock().expect("invariant: no holder panics")
    }

    /// Changes behind `since`; none if there are none, an error if this box does not hear of them.
    pub fn behind(
        &self,
        topic: Topic,
        since: Revision,
        asker: Asker,
    ) -> Result<Option<Behind>, NoSource> {
        let topics = self.topics();
        let history = topics.get(&topic).ok_or(NoSource::ForNow)?;
        // Who knows nothing yet is better off with what was last heard; its proof tells the age.
        let knows_nothing = since.is_zero() && !history.floor.is_zero();
        if asker == Asker::Copier && !knows_nothing {
            return Err(NoSource::AtAll);
        }
        if !knows_nothing {
            self.check_source(history.from, asker)?;
        }
        if since < history.floor {
            return Ok(Some(Behind::Whole(history.revision)));
        }
        let first = history.changes.partition_point(|(at, _)| *at <= since);
        let newer = history.changes.range(first..);
        let changes: Vec<PassedChange> = newer.map(|(_, change)| change.clone()).collect();
        let none = changes.is_empty();
        Ok((!none).then_some(Behind::Changes(history.revision, changes)))
    }

    /// Revision of the last change of a topic that this box knows; none where it is no source of the topic for who asks.
    pub fn changed_at(&self, topic: Topic, asker: Asker) -> Option<Revision> {
        let topics = self.topics();
        let history = topics.get(&topic)?;
        self.check_source(history.from, asker).ok()?;
        let last = history.changes.back().map(|(revision, _)| *revision);
        Some(last.unwrap_or(history.floor))
    }

    /// Revision up to which this box knows a topic; zero if it knows nothing yet.
    pub fn revision(&self, topic: Topic) -> Revision {
        let topics = self.topics();
        let history = topics.get(&topic);
        history.map_or_else(Revision::default, |history| history.revision)
    }

    /// Whether this box is a source for who asks.
    fn check_source(&self, from: HeardFrom, asker: Asker) -> Result<(), NoSource> {
        let standing = *self.standing();
        match (from, asker) {
            (HeardFrom::Store, _) if standing == Standing::Answers => Ok(()),
            (HeardFrom::Store, _) if standing == Standing::Untried => Err(NoSource::NotYet),
            (HeardFrom::Root, Asker::Follower) => Ok(()),
            (HeardFrom::Relay, _) => Err(NoSource::AtAll),
            _ => Err(NoSource::ForNow),
        }
    }
}
