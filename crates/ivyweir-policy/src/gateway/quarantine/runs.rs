//! Requests that a box is running, or was running until recently, by upstream.

use std::collections::{HashMap, HashSet, VecDeque};

use super::{Fingerprint, RequestIdentity};
use crate::Name;

/// Time for which a request whose connection broke still counts as running at its upstream. In this
/// time the box determines whether the upstream terminated, or learns of its next incarnation.
pub(super) const LOST_RUN_RETENTION_MS: u64 = 2_000;
/// The same for a request that the box cancelled, for a larger model or because its caller
/// disconnected. The upstream learns of a cancellation within a few milliseconds and drops most
/// such requests; a termination half a second later has another cause.
const CANCELLED_RUN_RETENTION_MS: u64 = 150;

/// Limit of remembered completed requests, some 40 bytes each. The one recorded first is evicted
/// first.
const MAX_COMPLETED: usize = 4_096;

/// How the run of a request at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The request was answered completely, or the upstream reported that it does not run it.
    Settled,
    /// The connection broke before the answer was complete.
    ConnectionLost,
    /// The box cancelled the request; the upstream may continue to run it for a moment.
    Cancelled,
}

/// Identifies one try of a request at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunKey {
    /// Identity of the request.
    pub identity: RequestIdentity,
    /// Hash of the id of the try. A try is at one upstream at a time, or at two while a larger
    /// model is asked.
    pub try_hash: u32,
}

/// A request that was running at an upstream when it terminated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InterruptedRun {
    /// The interrupted try.
    pub key: RunKey,
    /// When the request was sent to the upstream.
    pub began_at_ms: u64,
    /// When its connection broke, or when the termination was detected.
    pub at_ms: u64,
    /// When a try of the request last completed, where that is remembered.
    pub completed_at_ms: Option<u64>,
}

#[derive(Debug)]
struct Run {
    key: RunKey,
    began_at_ms: u64,
    /// When the run ended, and until when it still counts as running; `None` while it is running.
    ended: Option<(u64, u64)>,
}

impl Run {
    fn is_expired(&self, now_ms: u64) -> bool {
        self.ended.is_some_and(|(_, until_ms)| now_ms >= until_ms)
    }
}

/// Runs of one box, by upstream.
#[derive(Debug, Default)]
pub struct RunRegistry {
    by_upstream: HashMap<Name, Vec<Run>>,
    /// When the connection of a request last broke.
    broken_at_ms: HashMap<Fingerprint, u64>,
    completed: CompletedRequests,
}

/// Recently completed requests: mostly those that are made often.
#[derive(Debug, Default)]
struct CompletedRequests {
    at_ms: HashMap<Fingerprint, u64>,
    order: VecDeque<Fingerprint>,
}

impl CompletedRequests {
    fn last_ms(&self, fingerprint: Fingerprint) -> Option<u64> {
        self.at_ms.get(&fingerprint).copied()
    }

    fn record(&mut self, fingerprint: Fingerprint, now_ms: u64) {
        if self.at_ms.insert(fingerprint, now_ms).is_none() {
            self.order.push_back(fingerprint);
        }
        if self.order.len() > MAX_COMPLETED
            && let Some(oldest) = self.order.pop_front()
        {
            self.at_ms.remove(&oldest);
        }
    }
}

impl RunRegistry {
    /// Records that a request is sent to an upstream.
    pub fn begin(&mut self, upstream: &Name, key: RunKey, now_ms: u64) {
        let runs = self.by_upstream.entry(upstream.clone()).or_default();
        runs.push(Run {
            key,
            began_at_ms: now_ms,
            ended: None,
        });
    }

    /// Records how a run ended. Returns it as an interrupted one, in case its upstream turns out to
    /// have terminated; `None` where that is recorded already.
    pub fn end(
        &mut self,
        upstream: &Name,
        key: &RunKey,
        end: RunEnd,
        now_ms: u64,
    ) -> Option<InterruptedRun> {
        let runs = self.by_upstream.get_mut(upstream)?;
        let is_active = |run: &Run| run.key == *key && run.ended.is_none();
        let at = runs.iter().position(is_active)?;
        let interrupted = InterruptedRun {
            key: key.clone(),
            began_at_ms: runs[at].began_at_ms,
            at_ms: now_ms,
            completed_at_ms: self.completed.last_ms(key.identity.request),
        };
        match end {
            RunEnd::Settled => drop(runs.swap_remove(at)),
            RunEnd::ConnectionLost => {
                runs[at].ended = Some((now_ms, now_ms + LOST_RUN_RETENTION_MS))
            }
            RunEnd::Cancelled => {
                runs[at].ended = Some((now_ms, now_ms + CANCELLED_RUN_RETENTION_MS))
            }
        }
        if runs.is_empty() {
            self.by_upstream.remove(upstream);
        }
        Some(interrupted)
    }

    /// Records that a request completed.
    pub fn record_completion(&mut self, fingerprint: Fingerprint, now_ms: u64) {
        self.completed.record(fingerprint, now_ms);
    }

    /// Records that the connection of a request broke.
    pub fn record_broken_connection(&mut self, fingerprint: Fingerprint, now_ms: u64) {
        self.broken_at_ms.insert(fingerprint, now_ms);
    }

    /// Whether the connection of a request broke recently.
    pub fn has_broken_connection(&self, fingerprint: Fingerprint) -> bool {
        self.broken_at_ms.contains_key(&fingerprint)
    }

    /// Time at which the last of the runs that ended without an answer no longer counts as running at
    /// an upstream.
    pub fn lost_runs_expire_ms(&self, upstream: &str) -> Option<u64> {
        let runs = self.by_upstream.get(upstream)?;
        let ended = runs.iter().filter_map(|run| run.ended);
        ended.map(|(_, until_ms)| until_ms).max()
    }

    /// Records that an upstream terminated; returns the requests that were running there, each
    /// once.
    pub fn upstream_ended(&mut self, upstream: &str, now_ms: u64) -> Vec<InterruptedRun> {
        let runs = self.by_upstream.remove(upstream).unwrap_or_default();
        let active = runs.iter().filter(|run| !run.is_expired(now_ms));
        let interrupted = active.map(|run| InterruptedRun {
            key: run.key.clone(),
            began_at_ms: run.began_at_ms,
            at_ms: run.ended.map_or(now_ms, |(ended_at_ms, _)| ended_at_ms),
            completed_at_ms: self.completed.last_ms(run.key.identity.request),
        });
        let mut interrupted: Vec<InterruptedRun> = interrupted.collect();
        interrupted.sort_unstable_by_key(|run| (run.key.identity.request, run.at_ms));
        interrupted.dedup_by_key(|run| run.key.identity.request);
        interrupted
    }

    /// Number of upstreams that are running requests with each of these parts.
    pub fn running_parts(
        &self,
        parts: impl IntoIterator<Item = Fingerprint>,
    ) -> HashMap<Fingerprint, usize> {
        let mut running: HashMap<Fingerprint, usize> =
            parts.into_iter().map(|part| (part, 0)).collect();
        for runs in self.by_upstream.values() {
            let active = runs.iter().filter(|run| run.ended.is_none());
            let parts = active.flat_map(|run| run.key.identity.parts.iter());
            for part in parts.collect::<HashSet<_>>() {
                if let Some(upstreams) = running.get_mut(part) {
                    *upstreams += 1;
                }
            }
        }
        running
    }

    /// Removes runs and broken connections past their retention time.
    pub fn sweep(&mut self, now_ms: u64) {
        self.broken_at_ms
            .retain(|_, broke_at_ms| now_ms < *broke_at_ms + LOST_RUN_RETENTION_MS);
        self.by_upstream.retain(|_, runs| {
            runs.retain(|run| !run.is_expired(now_ms));
            !runs.is_empty()
        });
    }
}
