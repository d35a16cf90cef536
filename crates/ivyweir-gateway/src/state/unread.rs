//! Headers of answers that bear the dialect's names and that no code reads: what an upstream says there, nobody heeds.

use std::collections::HashSet;

use hyper::HeaderMap;
use ivyweir_policy::Name;
use serde_json::json;

use super::{Gateway, lock};

/// Names that are remembered, so that each is told once; an upstream may make up any number of them.
const REMEMBERED: usize = 64;
/// Bytes of a name that are told.
const NAME_BYTES: usize = 128;
/// The counter's name for all beyond those that are remembered.
const OTHERS: &str = "others";

/// Unread names, as seen since the start.
pub type UnreadHeaders = HashSet<Name>;

impl Gateway {
    /// Takes in the names on an upstream's answer that nobody reads.
    pub fn note_unread(&self, upstream: &Name, headers: &HeaderMap) {
        for name in self.dialect.unread_headers(headers) {
            let name = name.as_str();
            // Header names are ASCII, so any byte is a border.
            self.note_unread_name(upstream, &name[..name.len().min(NAME_BYTES)]);
        }
    }

    fn note_unread_name(&self, upstream: &Name, name: &str) {
        let counter = &self.metrics.unread_headers;
        let mut unread = lock(&self.unread);
        if unread.contains(name) {
            counter.with_label_values(&[name]).inc();
            return;
        }
        if unread.len() >= REMEMBERED {
            counter.with_label_values(&[OTHERS]).inc();
            return;
        }
        unread.insert(name.into());
        drop(unread);
        counter.with_label_values(&[name]).inc();
        let detail = json!({"name": name, "upstream": upstream});
        self.log.line("header_unread", detail);
    }
}
