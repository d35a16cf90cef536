//! Which requests a box has at which upstream, and which it had there a moment ago.

use std::collections::{HashMap, VecDeque};

use super::Fingerprint;
use crate::Name;

/// Time for which a request whose connection to an upstream broke is still taken to be there: the box finds out
/// whether the upstream ended, or hears of its next incarnation.
const BROKEN_KEPT_MS: u64 = 2_000;
/// The same for a request that the box took away, for a larger model or since its caller left. An upstream hears of
/// it within a few milliseconds and drops most of them; what ends half a second later ends for another reason.
const TAKEN_KEPT_MS: u64 = 150;

/// Requests with a whole answer that are remembered, the longest known forgotten first: some 40 bytes each.
const COMPLETED_KEPT: usize = 4_096;

/// How a request left an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// It has its whole answer, or the upstream said that it does not run it.
    Settled,
    /// The connection broke.
    Broken,
    /// The box took it away; the upstream may still be at it for a moment.
    Taken,
}

/// A request that is sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunKey {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Hash of this try's id: one try is at one upstream at a time, or at two while a larger model is asked.
    pub try_hash: u32,
}

/// A request that was at an upstream when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Left {
    /// The request.
    pub key: RunKey,
    /// When it was sent there.
    pub began_at_ms: u64,
    /// When its connection broke, or when the end was noticed.
    pub at_ms: u64,
    /// When a try of it last had a whole answer, where that is remembered.
    pub completed_at_ms: Option<u64>,
}

#[derive(Debug)]
struct Run {
    key: RunKey,
    began_at_ms: u64,
    /// When it left, and until when it is taken to be there; none while it is.
    left: Option<(u64, u64)>,
}

impl Run {
    fn is_over(&self, now_ms: u64) -> bool {
        self.left.is_some_and(|(_, until_ms)| now_ms >= until_ms)
    }
}

/// The requests of one box, by upstream.
#[derive(Debug, Default)]
pub struct Runs {
    by_upstream: HashMap<Name, Vec<Run>>,
    /// When connections broke, by the request that was on them.
    broken: HashMap<Fingerprint, u64>,
    completed: Completed,
}

/// Requests that had a whole answer lately: those that are made often, mostly.
#[derive(Debug, Default)]
struct Completed {
    at_ms: HashMap<Fingerprint, u64>,
    order: VecDeque<Fingerprint>,
}

impl Completed {
    fn note(&mut self, fingerprint: Fingerprint, now_ms: u64) {
        if self.at_ms.insert(fingerprint, now_ms).is_none() {
            self.order.push_back(fingerprint);
        }
        if self.order.len() > COMPLETED_KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.at_ms.remove(&oldest);
        }
    }
}

impl Runs {
    /// Takes in that a request is sent to an upstream.
    pub fn begin(&mut self, upstream: &Name, key: RunKey, now_ms: u64) {
        let runs = self.by_upstream.entry(upstream.clone()).or_default();
        runs.push(Run {
            key,
            began_at_ms: now_ms,
            left: None,
        });
    }

    /// Takes in that it has left there.
    pub fn end(&mut self, upstream: &Name, key: RunKey, how: RunEnd, now_ms: u64) {
        let Some(runs) = self.by_upstream.get_mut(upstream) else {
            return;
        };
        let is_it = |run: &Run| run.key == key && run.left.is_none();
        let Some(at) = runs.iter().position(is_it) else {
            return;
        };
        match how {
            RunEnd::Settled => drop(runs.swap_remove(at)),
            RunEnd::Broken => runs[at].left = Some((now_ms, now_ms + BROKEN_KEPT_MS)),
            RunEnd::Taken => runs[at].left = Some((now_ms, now_ms + TAKEN_KEPT_MS)),
        }
        if runs.is_empty() {
            self.by_upstream.remove(upstream);
        }
    }

    /// Takes in that a request had its whole answer.
    pub fn completed(&mut self, fingerprint: Fingerprint, now_ms: u64) {
        self.completed.note(fingerprint, now_ms);
    }

    /// Takes in that a request's connection broke.
    pub fn broke(&mut self, fingerprint: Fingerprint, now_ms: u64) {
        self.broken.insert(fingerprint, now_ms);
    }

    /// Whether a request's connection broke a moment ago.
    pub fn is_broken(&self, fingerprint: Fingerprint) -> bool {
        self.broken.contains_key(&fingerprint)
    }

    /// Takes in that an upstream ended; returns the requests that were there, each once.
    pub fn upstream_ended(&mut self, upstream: &str, now_ms: u64) -> Vec<Left> {
        let runs = self.by_upstream.remove(upstream).unwrap_or_default();
        let there = runs.iter().filter(|run| !run.is_over(now_ms));
        let left = there.map(|run| Left {
            key: run.key,
            began_at_ms: run.began_at_ms,
            at_ms: run.left.map_or(now_ms, |(left_at_ms, _)| left_at_ms),
            completed_at_ms: self.completed.at_ms.get(&run.key.fingerprint).copied(),
        });
        let mut left: Vec<Left> = left.collect();
        left.sort_unstable_by_key(|left| (left.key.fingerprint, left.at_ms));
        left.dedup_by_key(|left| left.key.fingerprint);
        left
    }

    /// Forgets requests that left long ago.
    pub fn sweep(&mut self, now_ms: u64) {
        self.broken
            .retain(|_, broke_at_ms| now_ms < *broke_at_ms + BROKEN_KEPT_MS);
        self.by_upstream.retain(|_, runs| {
            runs.retain(|run| !run.is_over(now_ms));
            !runs.is_empty()
        });
    }
}
