//! Which requests a box has at which upstream, and which it had there a moment ago.

use std::collections::HashMap;

use super::Fingerprint;
use crate::Name;

/// Time for which a request that left an upstream without an answer is still taken to be there: an engine
/// goes on with some requests after their connection has closed, and a connection breaks before the box
/// knows that the upstream ended.
const LEFT_KEPT_MS: u64 = 2_000;

/// How a request left an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// It has its whole answer, or the upstream said that it does not run it.
    Settled,
    /// The connection broke, or the box gave the run up; the upstream may still be at it.
    Open,
}

#[derive(Debug)]
struct Run {
    fingerprint: Fingerprint,
    /// When it left; none while it is there.
    left_at_ms: Option<u64>,
}

impl Run {
    fn is_over(&self, now_ms: u64) -> bool {
        self.left_at_ms
            .is_some_and(|left_at_ms| now_ms >= left_at_ms + LEFT_KEPT_MS)
    }
}

/// The requests of one box, by upstream.
#[derive(Debug, Default)]
pub struct Runs {
    by_upstream: HashMap<Name, Vec<Run>>,
}

impl Runs {
    /// Takes in that a request is sent to an upstream.
    pub fn begin(&mut self, upstream: &Name, fingerprint: Fingerprint) {
        let runs = self.by_upstream.entry(upstream.clone()).or_default();
        runs.push(Run {
            fingerprint,
            left_at_ms: None,
        });
    }

    /// Takes in that it has left there.
    pub fn end(&mut self, upstream: &Name, fingerprint: Fingerprint, how: RunEnd, now_ms: u64) {
        let Some(runs) = self.by_upstream.get_mut(upstream) else {
            return;
        };
        let is_it = |run: &Run| run.fingerprint == fingerprint && run.left_at_ms.is_none();
        let Some(at) = runs.iter().position(is_it) else {
            return;
        };
        match how {
            RunEnd::Settled => drop(runs.swap_remove(at)),
            RunEnd::Open => runs[at].left_at_ms = Some(now_ms),
        }
        if runs.is_empty() {
            self.by_upstream.remove(upstream);
        }
    }

    /// Takes in that an upstream ended; returns the requests that were there, each once.
    pub fn upstream_ended(&mut self, upstream: &str, now_ms: u64) -> Vec<Fingerprint> {
        let runs = self.by_upstream.remove(upstream).unwrap_or_default();
        let there = runs.iter().filter(|run| !run.is_over(now_ms));
        let mut fingerprints: Vec<Fingerprint> = there.map(|run| run.fingerprint).collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints
    }

    /// Forgets requests that left long ago.
    pub fn sweep(&mut self, now_ms: u64) {
        self.by_upstream.retain(|_, runs| {
            runs.retain(|run| !run.is_over(now_ms));
            !runs.is_empty()
        });
    }
}
