//! Work sent for the workspaces of a pool in a sliding window.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Length of a bucket.
const BUCKET_MS: u64 = 1_000;
/// Number of buckets; the window is 4 to 5 s long, about as long as an answer of the largest model holds its slot.
const BUCKETS: usize = 5;

/// Work sent to upstreams, with the number of requests that it is made of.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "[u64; 3]", into = "[u64; 3]")]
pub struct SentWork {
    /// Estimated work in milliseconds of upstream time.
    pub work_ms: f64,
    /// Requests sent.
    pub requests: f64,
    /// Sum of the squares of the estimated work of the requests, in square milliseconds.
    pub squares: f64,
}

impl SentWork {
    /// One request with this work.
    pub fn request(work_ms: f64) -> Self {
        Self {
            work_ms,
            requests: 1.0,
            squares: work_ms * work_ms,
        }
    }

    /// Adds `more`.
    pub fn add(&mut self, more: Self) {
        self.work_ms += more.work_ms;
        self.requests += more.requests;
        self.squares += more.squares;
    }

    /// Removes `less`, down to zero.
    pub fn subtract(&mut self, less: Self) {
        self.work_ms = (self.work_ms - less.work_ms).max(0.0);
        self.requests = (self.requests - less.requests).max(0.0);
        self.squares = (self.squares - less.squares).max(0.0);
    }

    /// Work of a request, weighted by the work itself. The work in a window varies by chance as that of requests which
    /// all have this work: the variance of a sum of independent requests is the sum of the squares of their work.
    pub fn effective_request_ms(&self) -> f64 {
        if self.work_ms > 0.0 {
            self.squares / self.work_ms
        } else {
            0.0
        }
    }

    /// Whether nothing was sent.
    pub fn is_zero(&self) -> bool {
        self.requests <= 0.0
    }
}

impl From<[u64; 3]> for SentWork {
    fn from([work_ms, requests, squares]: [u64; 3]) -> Self {
        Self {
            work_ms: work_ms as f64,
            requests: requests as f64,
            squares: squares as f64,
        }
    }
}

impl From<SentWork> for [u64; 3] {
    fn from(sent: SentWork) -> Self {
        [sent.work_ms, sent.requests, sent.squares].map(|figure| figure.round() as u64)
    }
}

/// Work of one workspace, by time.
#[derive(Debug, Clone, Copy, Default)]
struct Buckets {
    sent: [SentWork; BUCKETS],
    /// Number of the bucket that was written last, counted from time zero.
    newest: u64,
}

impl Buckets {
    fn record(&mut self, sent: SentWork, now_ms: u64) {
        let index = now_ms / BUCKET_MS;
        let outdated = index.saturating_sub(self.newest).min(BUCKETS as u64);
        for number in index + 1 - outdated..=index {
            self.sent[number as usize % BUCKETS] = SentWork::default();
        }
        self.newest = self.newest.max(index);
        self.sent[index as usize % BUCKETS].add(sent);
    }

    /// Removes a request that was recorded at `sent_at_ms`, unless its bucket was reused since.
    fn retract(&mut self, sent: SentWork, sent_at_ms: u64) {
        let index = sent_at_ms / BUCKET_MS;
        if index <= self.newest && self.newest < index + BUCKETS as u64 {
            self.sent[index as usize % BUCKETS].subtract(sent);
        }
    }

    fn is_recent(&self, now_ms: u64) -> bool {
        self.newest >= oldest_bucket(now_ms)
    }

    fn total(&self, now_ms: u64) -> SentWork {
        let oldest = oldest_bucket(now_ms);
        let mut total = SentWork::default();
        for age in 0..BUCKETS as u64 {
            if let Some(number) = self.newest.checked_sub(age)
                && number >= oldest
            {
                total.add(self.sent[number as usize % BUCKETS]);
            }
        }
        total
    }
}

/// Number of the oldest bucket of the window.
fn oldest_bucket(now_ms: u64) -> u64 {
    (now_ms / BUCKET_MS + 1).saturating_sub(BUCKETS as u64)
}

/// Work of the workspaces of a pool in the last 5 s. It needs memory for each workspace with requests in that time, not
/// for each request.
#[derive(Debug, Default)]
pub struct WorkWindow {
    workspaces: HashMap<Name, Buckets>,
}

impl WorkWindow {
    /// Records a request of a workspace that is sent.
    pub fn record(&mut self, workspace: &Name, work_ms: f64, now_ms: u64) {
        self.buckets(workspace)
            .record(SentWork::request(work_ms), now_ms);
    }

    /// Removes a request of a workspace that was recorded at `sent_at_ms`.
    pub fn retract(&mut self, workspace: &str, work_ms: f64, sent_at_ms: u64) {
        if let Some(buckets) = self.workspaces.get_mut(workspace) {
            buckets.retract(SentWork::request(work_ms), sent_at_ms);
        }
    }

    /// Records that a workspace has a request for the pool, sent or not.
    pub fn record_demand(&mut self, workspace: &Name, now_ms: u64) {
        self.buckets(workspace).record(SentWork::default(), now_ms);
    }

    /// Work in the window by workspace, including workspaces of which no request was sent. Workspaces without requests
    /// in the window are removed.
    pub fn totals(&mut self, now_ms: u64) -> HashMap<Name, SentWork> {
        self.workspaces
            .retain(|_, buckets| buckets.is_recent(now_ms));
        let workspaces = self.workspaces.iter();
        workspaces
            .map(|(workspace, buckets)| (workspace.clone(), buckets.total(now_ms)))
            .collect()
    }

    /// Whether no workspace had requests at the last call of [`totals`](Self::totals) or since.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    fn buckets(&mut self, workspace: &Name) -> &mut Buckets {
        self.workspaces.entry(workspace.clone()).or_default()
    }
}
