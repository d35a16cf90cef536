//! Requests that wait until an upstream takes one again.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::upstreams::Scope;
use ivyweir_policy::gateway::wait::{BlockedRequest, Queue, Ticket};
use tokio::time::sleep;

use super::{Gateway, lock};
use crate::job::Job;

/// Between two that wait for the same upstreams, so that the first one is sent first: longer than it takes to choose.
const STAGGER_MS: u64 = 1;

/// A request in its pool's queue; it leaves when this is dropped, also because its caller left.
pub struct Waiter {
    gateway: Arc<Gateway>,
    pool: Name,
    ticket: Ticket,
}

impl Waiter {
    /// Waits until the first upstream takes a request again, in order of the queue.
    pub async fn wait(&self, for_ms: u64) {
        let ahead = self.with_queue(|queue| queue.ahead_of(self.ticket));
        let wait_ms = for_ms + u64::from(ahead) * STAGGER_MS;
        sleep(Duration::from_millis(wait_ms)).await;
    }

    /// Requests that wait before it.
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

/// Requests that wait, by pool.
pub type Queues = HashMap<Name, Queue>;

impl Gateway {
    /// Adds a request to its pool's queue.
    pub fn join_queue(self: &Arc<Self>, job: &Job) -> Waiter {
        let mut queues = lock(&self.queues);
        let queue = queues.entry(job.pool.clone()).or_default();
        Waiter {
            gateway: self.clone(),
            pool: job.pool.clone(),
            ticket: queue.push(job.priority(), job.arrived_ms),
        }
    }

    /// Whether a request waits for upstreams that want nothing for `for_ms`, behind `ahead` others; none where it is
    /// new.
    pub fn is_worth_waiting(
        &self,
        job: &Job,
        for_ms: u64,
        read_ms: f64,
        ahead: Option<u32>,
    ) -> bool {
        let now_ms = self.clock.now_ms();
        let ahead = ahead.unwrap_or_else(|| {
            let queues = lock(&self.queues);
            let queue = queues.get(&job.pool);
            queue.map_or(0, |queue| {
                queue.ahead_of_new(job.priority(), job.arrived_ms)
            })
        });
        let held = BlockedRequest {
            for_ms,
            to_target_ms: (job.arrived_ms + job.route.latency_aim_ms).saturating_sub(now_ms),
            to_deadline_ms: job.deadline_ms.saturating_sub(now_ms),
            prefill_ms: read_ms as u64,
            ahead,
        };
        held.should_wait(|within_ms| self.places_within(job, now_ms + within_ms))
    }

    /// Whether an upstream takes a request of this box until then, where the first one may do so after `for_ms`.
    pub fn takes_one_by(&self, job: &Job, for_ms: u64, until_ms: u64) -> bool {
        self.clock.now_ms() + for_ms < until_ms && self.places_within(job, until_ms) > 0
    }

    /// Requests that upstreams take of this box until then.
    fn places_within(&self, job: &Job, until_ms: u64) -> u32 {
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
