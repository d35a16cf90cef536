//! Records of the store that cannot be decoded; each is logged once.

use std::collections::HashSet;

use ivyweir_policy::Name;
use serde_json::json;

use super::Gateway;
use crate::dialect::{InvalidRecord, Topic};
use crate::mutex::lock;

/// Maximum number of unreadable records that are tracked to report each only once. Records beyond it are reported
/// each time they are read.
const MAX_TRACKED: usize = 4_096;
/// Maximum number of unreadable records of one listing that are logged individually.
const MAX_LOGGED_PER_LISTING: usize = 8;

/// Unreadable records as of the last read.
#[derive(Debug, Default)]
pub struct UnreadableRecords {
    known: HashSet<(Topic, Option<Name>)>,
}

impl UnreadableRecords {
    /// Adds a record; returns whether it was not tracked before.
    fn add(&mut self, topic: Topic, name: Option<&Name>) -> bool {
        let key = (topic, name.cloned());
        if self.known.contains(&key) {
            return false;
        }
        if self.known.len() < MAX_TRACKED {
            self.known.insert(key);
        }
        true
    }
}

impl Gateway {
    /// Counts and logs a record that cannot be decoded, unless it is already tracked.
    pub fn note_unreadable(&self, topic: Topic, record: InvalidRecord) {
        let is_new = lock(&self.unreadable_records).add(topic, record.name.as_ref());
        if is_new {
            self.log_unreadable(topic, &record);
        }
    }

    /// Stops tracking a record that can be decoded again or was deleted.
    pub fn note_readable(&self, topic: Topic, name: Option<&Name>) {
        let mut unreadable = lock(&self.unreadable_records);
        if !unreadable.known.is_empty() {
            unreadable.known.remove(&(topic, name.cloned()));
        }
    }

    /// Replaces the unreadable records of a topic by those of a full listing.
    pub fn set_unreadable(&self, topic: Topic, records: Vec<InvalidRecord>) {
        let new: Vec<InvalidRecord> = {
            let mut unreadable = lock(&self.unreadable_records);
            let before = std::mem::take(&mut unreadable.known);
            let (same_topic, others) = before.into_iter().partition(|(of, _)| *of == topic);
            let same_topic: HashSet<(Topic, Option<Name>)> = same_topic;
            unreadable.known = others;
            let records = records.into_iter();
            let new = records.filter(|record| {
                let is_new = unreadable.add(topic, record.name.as_ref());
                is_new && !same_topic.contains(&(topic, record.name.clone()))
            });
            new.collect()
        };
        for record in new.iter().take(MAX_LOGGED_PER_LISTING) {
            self.log_unreadable(topic, record);
        }
        let Some(rest) = new
            .get(MAX_LOGGED_PER_LISTING..)
            .filter(|rest| !rest.is_empty())
        else {
            return;
        };
        for record in rest {
            self.count_unreadable(topic, record);
        }
        let detail = json!({"topic": topic.name(), "more": rest.len()});
        self.log.line("records_unreadable", detail);
    }

    fn log_unreadable(&self, topic: Topic, record: &InvalidRecord) {
        self.count_unreadable(topic, record);
        let detail = json!({
            "topic": topic.name(), "name": record.name, "fault": record.fault.name(),
            "error": record.detail,
        });
        self.log.line("record_unreadable", detail);
    }

    fn count_unreadable(&self, topic: Topic, record: &InvalidRecord) {
        let counter = &self.metrics.unreadable_records;
        let labels = [topic.name(), record.fault.name()];
        counter.with_label_values(&labels).inc();
    }
}
