//! Contents of the record store, the writes that change them, and the backup.

use std::collections::BTreeMap;

use hyper::StatusCode;
use ivyweir_gateway::dialect::{StoreRecord, Topic};
use ivyweir_gateway::native::{RecordChange, RecordChanges, RecordPage, StoredDutyRecord};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::quarantine::QuarantineRecord;
use ivyweir_policy::gateway::rollout::RolloutOrder;
use serde_json::{Value, json};

use super::StoreFault;

/// Data included in a backup.
#[derive(Debug, Clone, Default)]
pub(super) struct Contents {
    pub(super) revision: u64,
    pub(super) records: BTreeMap<(&'static str, Name), StoreRecord>,
    /// Records by other writers that the gateway cannot decode, by topic and name.
    pub(super) unreadable: BTreeMap<(&'static str, Name), Value>,
    /// Quarantine records by name.
    pub(super) quarantines: BTreeMap<String, QuarantineRecord>,
    /// The duty record with its revision.
    pub(super) duties: Option<StoredDutyRecord>,
}

/// A write by an operator or an upstream.
#[derive(Debug, Clone)]
pub(super) enum Write {
    Put(Topic, Name, StoreRecord),
    PutUnreadable(Topic, Name, Value),
    Remove(Topic, Name),
    LiftQuarantines,
}

impl Write {
    /// Returns the name of the upstream whose record this puts or removes, if any.
    pub(super) fn upstream_name(&self) -> Option<&Name> {
        match self {
            Self::Put(Topic::Upstreams, name, _)
            | Self::PutUnreadable(Topic::Upstreams, name, _)
            | Self::Remove(Topic::Upstreams, name) => Some(name),
            _ => None,
        }
    }
}

#[derive(Default)]
pub(super) struct State {
    pub(super) contents: Contents,
    /// Oldest revision from which watches can resume; earlier ones are answered with 410.
    pub(super) history_from: u64,
    pub(super) change_log: Vec<(u64, Topic, Value)>,
    pub(super) backup: Contents,
    /// Writes by operators and upstreams since the backup.
    pub(super) writes_since_backup: Vec<Write>,
    /// Writes by operators and upstreams lost in the last restore.
    pub(super) lost_writes: Vec<Write>,
    /// Number of restores.
    pub(super) era: u64,
    pub(super) fault: StoreFault,
    pub(super) calls: u64,
    /// Number of records on a page; `None` for all.
    pub(super) page_records: Option<usize>,
    /// Whether each page of the configuration is the first one.
    pub(super) repeats_site_pages: bool,
    /// Whether removals of quarantine records by boxes are not answered, and not applied yet.
    pub(super) holds_removals: bool,
    /// Names of quarantine records whose removals are held.
    pub(super) held_removals: Vec<String>,
    /// Revision behind which watches hear of no change; `None` if they hear of all.
    pub(super) watches_hear_up_to: Option<u64>,
    /// Number of times that the waiting watches were ended without changes, and without an answer.
    pub(super) watch_ends: u64,
    pub(super) watch_cuts: u64,
}

impl State {
    pub(super) fn restore(&mut self) {
        self.contents = self.backup.clone();
        self.lost_writes = std::mem::take(&mut self.writes_since_backup);
        self.history_from = self.contents.revision;
        self.change_log.clear();
        self.era += 1;
    }

    /// Applies a write by an operator or an upstream. Putting a record that is already stored creates no revision.
    pub(super) fn write(&mut self, write: Write) {
        self.writes_since_backup.push(write.clone());
        match write {
            Write::Put(topic, name, item) if self.is_already_stored(topic, &name, &item) => {}
            Write::Put(topic, name, item) => self.put(topic, name, item),
            Write::PutUnreadable(topic, name, record) => self.put_unreadable(topic, name, record),
            Write::Remove(topic, name) => self.remove(topic, &name),
            Write::LiftQuarantines => self.contents.quarantines.clear(),
        }
    }

    /// Returns whether putting `item` would change nothing. For a roll-out in progress, only the target version and the
    /// duration are compared; a finished roll-out is always written again.
    fn is_already_stored(&self, topic: Topic, name: &Name, item: &StoreRecord) -> bool {
        let known = self.contents.records.get(&(topic.name(), name.clone()));
        match (known, item) {
            (Some(StoreRecord::Rollout(known)), StoreRecord::Rollout(order)) => {
                let same = known.target_version == order.target_version;
                same && known.duration_ms == order.duration_ms && !known.state.is_over()
            }
            (known, item) => known == Some(item),
        }
    }

    pub(super) fn put(&mut self, topic: Topic, name: Name, mut item: StoreRecord) {
        self.contents.revision += 1;
        if let StoreRecord::Rollout(order) = &mut item {
            order.revision = self.contents.revision;
        }
        let key = (topic.name(), name);
        self.contents.unreadable.remove(&key);
        self.contents.records.insert(key, item.clone());
        self.log_change(topic, &RecordChange::Put(item));
    }

    fn put_unreadable(&mut self, topic: Topic, name: Name, record: Value) {
        self.contents.revision += 1;
        let key = (topic.name(), name);
        self.contents.records.remove(&key);
        self.change_log
            .push((self.contents.revision, topic, json!({"put": record})));
        self.contents.unreadable.insert(key, record);
    }

    fn log_change(&mut self, topic: Topic, change: &RecordChange) {
        let change = serde_json::to_value(change).expect("changes can be serialized");
        self.change_log
            .push((self.contents.revision, topic, change));
    }

    fn remove(&mut self, topic: Topic, name: &Name) {
        if self
            .contents
            .records
            .remove(&(topic.name(), name.clone()))
            .is_some()
        {
            self.contents.revision += 1;
            self.log_change(topic, &RecordChange::Gone(name.clone()));
        }
    }

    /// Returns the page of records whose names are greater than `after`.
    pub(super) fn page(&self, topic: Topic, after: Option<&str>) -> RecordPage {
        let after = after.filter(|_| topic != Topic::Site || !self.repeats_site_pages);
        let readable = self.contents.records.iter();
        let readable = readable.map(|(key, item)| {
            let record = serde_json::to_value(item).expect("records can be serialized");
            (key, record)
        });
        let unreadable = self
            .contents
            .unreadable
            .iter()
            .map(|(key, record)| (key, record.clone()));
        let records = readable.chain(unreadable);
        let records = records.filter(|((record_topic, _), _)| *record_topic == topic.name());
        let records = records.map(|((_, name), record)| (name, record));
        let mut records: Vec<(&Name, Value)> = records
            .filter(|(name, _)| after.is_none_or(|after| ***name > *after))
            .collect();
        records.sort_by_key(|(name, _)| *name);
        let page_records = self.page_records.unwrap_or(records.len());
        let is_truncated = records.len() > page_records;
        records.truncate(page_records);
        let last = records.last().filter(|_| is_truncated);
        RecordPage {
            next_after: last.map(|(name, _)| name.to_string()),
            records: records.into_iter().map(|(_, record)| record).collect(),
            revision: self.contents.revision,
        }
    }

    /// Changes as a watch hears of them.
    pub(super) fn changes(&self, topic: Topic, since: u64) -> RecordChanges {
        let last = self.watches_hear_up_to.unwrap_or(self.contents.revision);
        let heard = self
            .change_log
            .iter()
            .filter(|(revision, of, _)| *revision > since && *revision <= last && *of == topic);
        RecordChanges {
            changes: heard.map(|(_, _, change)| change.clone()).collect(),
            revision: last.max(since),
        }
    }

    /// Updates a roll-out if its revision is the one that the writer last read.
    pub(super) fn write_rollout(
        &mut self,
        order: RolloutOrder,
    ) -> (StatusCode, Option<StoreRecord>) {
        let key = (Topic::Rollouts.name(), order.pool.clone());
        let Some(StoreRecord::Rollout(current)) = self.contents.records.get(&key) else {
            return (StatusCode::NOT_FOUND, None);
        };
        if current.revision != order.revision {
            return (
                StatusCode::CONFLICT,
                self.contents.records.get(&key).cloned(),
            );
        }
        let pool = order.pool.clone();
        self.put(Topic::Rollouts, pool, StoreRecord::Rollout(order));
        (StatusCode::OK, self.contents.records.get(&key).cloned())
    }
}
