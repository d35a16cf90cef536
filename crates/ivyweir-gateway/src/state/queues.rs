//! Queues of requests that wait until an upstream accepts requests again.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::upstreams::Scope;
use ivyweir_policy::gateway::wait::{BlockedRequest, Queue, Ticket};
use tokio::time::sleep;

use super::Gateway;
use crate::job::Job;
use crate::mutex::lock;

/// Delay between queued requests of the same pool, so that they are sent in order. It is longer than choosing an
/// upstream takes.
const STAGGER_MS: u64 = 1;

/// A request in the queue of its pool. Dropping it removes the request, also if the caller has disconnected.
pub struct Waiter {
    gateway: Arc<Gateway>,
    pool: Name,
    ticket: Ticket,
}

impl Waiter {
    /// Waits for `for_ms`, when the first upstream accepts requests again, plus a delay for each request ahead.
    pub async fn wait(&self, for_ms: u64) {
        let ahead = self.with_queue(|queue| queue.ahead_of(self.ticket));
        let wait_ms = for_ms + u64::from(ahead) * STAGGER_MS;
        sleep(Duration::from_millis(wait_ms)).await;
    }

    /// Number of requests queued before this one.
    pub fn ahead(&self) -> u32 {
        self.with_queue(|queue| queue.ahead_of(self.ticket))
    }

    fn with_queue<T>(&self, work: impl FnOnce(&mut Queue) -> T) -> T {
        work(
            lock(&self.gateway.queues)
                .entry(self.pool.clone())
                .or_default(),
        )
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut queues = lock(&self.gateway.queues);
        if let Some(queue) = queues.get_mut(&self.pool) {
            queue.remove(self.ticket);
            if queue.is_empty() {
                queues.remove(&self.pool);
            }
        }
    }
}

/// Queues of waiting requests, by pool.
pub type Queues = HashMap<Name, Queue>;

impl Gateway {
    /// Adds a request to the queue of its pool.
    pub fn join_queue(self: &Arc<Self>, job: &Job) -> Waiter {
        let mut queues = lock(&self.queues);
        let queue = queues.entry(job.pool.clone()).or_default();
        Waiter {
            gateway: self.clone(),
            pool: job.pool.clone(),
            ticket: queue.push(job.priority(), job.arrived_ms),
        }
    }

    /// Whether a request should wait for upstreams that accept no request for `for_ms`. `ahead` is the number of
    /// requests queued before it, or `None` if it is not in the queue yet.
    pub fn should_wait(&self, job: &Job, for_ms: u64, prefill_ms: f64, ahead: Option<u32>) -> bool {
        let now_ms = self.clock.now_ms();
        let ahead = ahead.unwrap_or_else(|| {
            let queues = lock(&self.queues);
            let queue = queues.get(&job.pool);
            queue.map_or(0, |queue| {
                queue.ahead_of_new(job.priority(), job.arrived_ms)
            })
        });
        let blocked = BlockedRequest {
            for_ms,
            to_target_ms: (job.arrived_ms + job.route.latency_aim_ms).saturating_sub(now_ms),
            to_deadline_ms: job.deadline_ms.saturating_sub(now_ms),
            prefill_ms: prefill_ms as u64,
            ahead,
        };
        blocked.should_wait(|within_ms| self.capacity_by(job, now_ms + within_ms))
    }

    /// Whether an upstream accepts a request of this box before `until_ms`, if the first upstream accepts requests
    /// again after `for_ms`.
    pub fn has_capacity_by(&self, job: &Job, for_ms: u64, until_ms: u64) -> bool {
        self.clock.now_ms() + for_ms < until_ms && self.capacity_by(job, until_ms) > 0
    }

    /// Number of requests that the upstreams accept from this box up to `until_ms`.
    fn capacity_by(&self, job: &Job, until_ms: u64) -> u32 {
        let scope = Scope {
            pool: &job.pool,
            side: job.side,
            tried: &[],
        };
        let boxes = u32::try_from(self.peers.fleet_size()).unwrap_or(u32::MAX);
        let target = self.rollout_target(scope.pool);
        let mut upstreams = lock(&self.upstreams);
        upstreams.capacity_by(&scope, target.as_ref(), boxes, until_ms)
    }
}
