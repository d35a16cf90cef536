//! Records of the store that cannot be read, each told once.

use std::collections::HashSet;

use ivyweir_policy::Name;
use serde_json::json;

use super::{Gateway, lock};
use crate::dialect::{InvalidRecord, Topic};

/// Unreadable records that are remembered, so that they are not told again; of more, each is counted.
const REMEMBERED: usize = 4_096;
/// Unreadable records of one listing that have a line each.
const LOGGED_AT_ONCE: usize = 8;

/// Records that cannot be read, as last seen.
#[derive(Debug, Default)]
pub struct UnreadableRecords {
    known: HashSet<(Topic, Option<Name>)>,
}

impl UnreadableRecords {
    /// Adds a record; returns whether it was not known.
    fn add(&mut self, topic: Topic, name: Option<&Name>) -> bool {
        let key = (topic, name.cloned());
        if self.known.contains(&key) {
            return false;
        }
        if self.known.len() < REMEMBERED {
            self.known.insert(key);
        }
        true
    }
}

impl Gateway {
    /// Takes in that a record cannot be read.
    pub fn note_unreadable(&self, topic: Topic, record: InvalidRecord) {
        let is_new = lock(&self.unreadable).add(topic, record.name.as_ref());
        if is_new {
            self.tell_unreadable(topic, &record);
        }
    }

    /// Takes in that a record can be read, or is gone.
    pub fn note_readable(&self, topic: Topic, name: Option<&Name>) {
        let mut unreadable = lock(&self.unreadable);
        if !unreadable.known.is_empty() {
            unreadable.known.remove(&(topic, name.cloned()));
        }
    }

    /// Takes in the unreadable records of a whole listing.
    pub fn set_unreadable(&self, topic: Topic, records: Vec<InvalidRecord>) {
        let new: Vec<InvalidRecord> = {
            let mut unreadable = lock(&self.unreadable);
            let before = std::mem::take(&mut unreadable.known);
            let (own, others) = before.into_iter().partition(|(of, _)| *of == topic);
            let own: HashSet<(Topic, Option<Name>)> = own;
            unreadable.known = others;
            let records = records.into_iter();
            let new = records.filter(|record| {
                let is_new = unreadable.add(topic, record.name.as_ref());
                is_new && !own.contains(&(topic, record.name.clone()))
            });
            new.collect()
        };
        for record in new.iter().take(LOGGED_AT_ONCE) {
            self.tell_unreadable(topic, record);
        }
        let Some(rest) = new.get(LOGGED_AT_ONCE..).filter(|rest| !rest.is_empty()) else {
            return;
        };
        for record in rest {
            self.count_unreadable(topic, record);
        }
        let detail = json!({"topic": topic.name(), "more": rest.len()});
        self.log.line("records_unreadable", detail);
    }

    fn tell_unreadable(&self, topic: Topic, record: &InvalidRecord) {
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
