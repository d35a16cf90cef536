//! Headers of responses that belong to the dialect but that no code reads, so that the upstream's statement has no
//! effect.

use std::collections::HashSet;

use hyper::HeaderMap;
use ivyweir_policy::Name;
use serde_json::json;

use super::Gateway;
use crate::mutex::lock;

/// Maximum number of names that are tracked to log each only once. An upstream may send any number of names.
const MAX_TRACKED: usize = 64;
/// Length in bytes at which names are truncated.
const MAX_NAME_BYTES: usize = 128;
/// Metric label for names beyond the tracked ones.
const OTHER_NAMES: &str = "others";

/// Names of unread headers since the start.
pub type UnreadHeaders = HashSet<Name>;

impl Gateway {
    /// Counts and logs the headers of an upstream's response that no code reads.
    pub fn note_unread_headers(&self, upstream: &Name, headers: &HeaderMap) {
        for name in self.dialect.unread_headers(headers) {
            let name = name.as_str();
            // Header names are ASCII, so every byte index is a character boundary.
            self.note_unread_header(upstream, &name[..name.len().min(MAX_NAME_BYTES)]);
        }
    }

    fn note_unread_header(&self, upstream: &Name, name: &str) {
        let counter = &self.metrics.unread_headers;
        let mut unread = lock(&self.unread_headers);
        if unread.contains(name) {
            counter.with_label_values(&[name]).inc();
            return;
        }
        if unread.len() >= MAX_TRACKED {
            counter.with_label_values(&[OTHER_NAMES]).inc();
            return;
        }
        unread.insert(name.into());
        drop(unread);
        counter.with_label_values(&[name]).inc();
        let detail = json!({"name": name, "upstream": upstream});
        self.log.line("header_unread", detail);
    }
}
