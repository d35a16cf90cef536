//! Admission control: a bounded queue with weighted fair scheduling, priorities and deadlines.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use crate::Name;

/// Virtual time by which one dispatch advances a workspace of weight 1 (stride scheduling).
const STRIDE: u64 = 1 << 20;

/// A request waiting for an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identifier, unique on this box.
    pub id: u64,
    /// Workspace that the request is accounted to.
    pub workspace: Name,
    /// Weight of the workspace, at least 1.
    pub weight: u32,
    /// Higher values are dispatched first within the workspace.
    pub priority: u8,
    /// Time at which the request expires, in milliseconds.
    pub deadline_ms: u64,
}

/// Limits of a [`Queue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of queued requests over all workspaces.
    pub max_queued: usize,
    /// Maximum expected wait at which a request is still admitted.
    pub max_wait_ms: u64,
}

/// Why a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionError {
    /// The queue is full and the workspace already uses its fair share of it.
    QueueFull,
    /// The expected wait exceeds the deadline or the limit.
    WaitTooLong,
}

/// Orders the requests of one workspace: by priority, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: Reverse<u8>,
    seq: u64,
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    /// Virtual time of the workspace's next dispatch.
    pass: u64,
    waiting: BTreeMap<QueueKey, QueuedRequest>,
}

/// Admission queue for requests that compete for the same upstreams.
///
/// Workspaces take turns by virtual time; the requests of one workspace are ordered by priority,
/// then by arrival.
#[derive(Debug)]
pub struct Queue {
    limits: Limits,
    workspaces: HashMap<Name, WorkspaceQueue>,
    virtual_time: u64,
    seq: u64,
    len: usize,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            workspaces: HashMap::new(),
            virtual_time: 0,
            seq: 0,
            len: 0,
        }
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Queues a request. `wait_ms` is the expected wait.
    ///
    /// If the queue is full, a workspace below its fair share evicts the least urgent, newest
    /// request of the workspace furthest above its own. The caller must refuse the returned
    /// request.
    ///
    /// # Errors
    ///
    /// Returns [`AdmissionError`] and leaves the queue unchanged.
    pub fn enqueue(
        &mut self,
        request: QueuedRequest,
        now_ms: u64,
        wait_ms: u64,
    ) -> Result<Option<QueuedRequest>, AdmissionError> {
        let remaining_ms = request.deadline_ms.saturating_sub(now_ms);
        if wait_ms > remaining_ms || wait_ms > self.limits.max_wait_ms {
            return Err(AdmissionError::WaitTooLong);
        }
        let evicted = if self.len >= self.limits.max_queued {
            Some(self.evict_for(&request)?)
        } else {
            None
        };
        self.insert(request);
        Ok(evicted)
    }

    fn insert(&mut self, request: QueuedRequest) {
        self.seq += 1;
        self.len += 1;
        let key = QueueKey {
            priority: Reverse(request.priority),
            seq: self.seq,
        };
        let now = self.virtual_time;
        let queue = self
            .workspaces
            .entry(request.workspace.clone())
            .or_default();
        if queue.waiting.is_empty() {
            // An idle workspace must not accumulate credit.
            queue.pass = queue.pass.max(now);
        }
        queue.waiting.insert(key, request);
    }

    /// Removes the least urgent, newest request of the workspace furthest above its fair share.
    fn evict_for(&mut self, request: &QueuedRequest) -> Result<QueuedRequest, AdmissionError> {
        let usage_per_weight = |queue: &WorkspaceQueue, extra: usize| -> u64 {
            let weight = queue.waiting.values().next().map_or(1, |r| r.weight);
            ((queue.waiting.len() + extra) as u64 * STRIDE) / u64::from(weight.max(1))
        };
        let own_usage = self
            .workspaces
            .get(&request.workspace)
            .map_or(STRIDE / u64::from(request.weight.max(1)), |queue| {
                usage_per_weight(queue, 1)
            });
        let most_over_share = self
            .workspaces
            .iter()
            .filter(|(name, queue)| **name != request.workspace && !queue.waiting.is_empty())
            .max_by_key(|(name, queue)| (usage_per_weight(queue, 0), Reverse((*name).clone())))
            .filter(|(_, queue)| usage_per_weight(queue, 0) > own_usage)
            .map(|(name, _)| name.clone())
            .ok_or(AdmissionError::QueueFull)?;
        let queue = self
            .workspaces
            .get_mut(&most_over_share)
            .expect("the queue was found");
        let (_, victim) = queue.waiting.pop_last().expect("the queue is not empty");
        self.len -= 1;
        Ok(victim)
    }

    /// Removes and returns the next request, if `can_dispatch` accepts it.
    ///
    /// Requests past their deadline are removed first and appended to `expired`.
    pub fn dequeue(
        &mut self,
        now_ms: u64,
        expired: &mut Vec<QueuedRequest>,
        can_dispatch: impl FnOnce(&QueuedRequest) -> bool,
    ) -> Option<QueuedRequest> {
        self.remove_expired(now_ms, expired);
        let name = self
            .workspaces
            .iter()
            .filter(|(_, queue)| !queue.waiting.is_empty())
            .min_by_key(|(name, queue)| (queue.pass, (*name).clone()))
            .map(|(name, _)| name.clone())?;
        let queue = self.workspaces.get_mut(&name).expect("the queue was found");
        let first = queue.waiting.first_entry().expect("the queue is not empty");
        if !can_dispatch(first.get()) {
            return None;
        }
        let request = first.remove();
        self.virtual_time = queue.pass;
        queue.pass += STRIDE / u64::from(request.weight.max(1));
        self.len -= 1;
        Some(request)
    }

    /// Removes a request whose caller stopped waiting. Returns whether it was queued.
    pub fn cancel(&mut self, workspace: &str, id: u64) -> bool {
        let Some(queue) = self.workspaces.get_mut(workspace) else {
            return false;
        };
        let previous_len = queue.waiting.len();
        queue.waiting.retain(|_, r| r.id != id);
        let removed = previous_len - queue.waiting.len();
        self.len -= removed;
        removed > 0
    }

    fn remove_expired(&mut self, now_ms: u64, expired: &mut Vec<QueuedRequest>) {
        for queue in self.workspaces.values_mut() {
            let expired_keys: Vec<QueueKey> = queue
                .waiting
                .iter()
                .filter(|(_, r)| r.deadline_ms <= now_ms)
                .map(|(key, _)| *key)
                .collect();
            self.len -= expired_keys.len();
            expired.extend(
                expired_keys
                    .iter()
                    .filter_map(|key| queue.waiting.remove(key)),
            );
        }
    }
}

/// Estimates queue waits from a moving average of the interval between dispatches.
#[derive(Debug, Clone, Default)]
pub struct WaitEstimator {
    interval_ewma_us: u64,
    last_ms: u64,
}

impl WaitEstimator {
    /// Records the dispatch of one request.
    pub fn record_dispatch(&mut self, now_ms: u64) {
        if self.last_ms > 0 {
            let interval_us = (now_ms - self.last_ms.min(now_ms)).min(MAX_INTERVAL_MS) * 1_000;
            self.interval_ewma_us = (self.interval_ewma_us * 7 + interval_us) / 8;
        }
        self.last_ms = now_ms;
    }

    /// Returns the expected wait behind `ahead` queued requests.
    pub fn wait_ms(&self, ahead: usize) -> u64 {
        self.interval_ewma_us * ahead as u64 / 1_000
    }
}

const MAX_INTERVAL_MS: u64 = 1_000;
