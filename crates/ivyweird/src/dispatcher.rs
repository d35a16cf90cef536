//! Dispatches requests to upstreams and queues those for which no upstream has capacity.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use ivyweir_policy::admission::{AdmissionError, Limits, Queue, QueuedRequest, WaitEstimator};
use ivyweir_policy::balance::{Balancer, CallRequirements, LoadReport, PickError, Upstream};
use ivyweir_policy::retry::{RetryBudget, jittered_retry_after_ms};
use ivyweir_policy::{BoxKind, BoxList, Code, Name, Refusal};

use crate::settings::Settings;
use crate::shards::lock;

/// Balancer and admission queues. One lock covers both, because choosing an upstream reads and
/// updates both.
pub struct Dispatcher {
    inner: Mutex<Inner>,
    limits: Limits,
    hall: Name,
}

struct Inner {
    balancer: Balancer,
    queues: HashMap<Name, TargetQueue>,
    waiters: HashMap<u64, Waiter>,
    next_id: u64,
    budget: RetryBudget,
}

struct TargetQueue {
    queue: Queue,
    wait_estimator: WaitEstimator,
}

struct Waiter {
    request: DispatchRequest,
    outcome_sender: Sender<WaitOutcome>,
}

enum WaitOutcome {
    Dispatched(Box<Upstream>),
    Evicted,
}

/// A request for an upstream, with its requirements and its place in the queue.
#[derive(Debug, Clone)]
pub struct DispatchRequest {
    /// Pool to which the upstream must belong, or `None` for any engine.
    pub pool: Option<Name>,
    /// Version that the upstream must have loaded.
    pub version: Option<Name>,
    /// Hash of the common prefix, for affinity.
    pub prefix: Option<u64>,
    /// Upstreams already tried for this request; they are not chosen again.
    pub tried: Vec<Name>,
    /// Workspace that the request is accounted to.
    pub workspace: Name,
    /// Weight of the workspace in fair scheduling.
    pub weight: u32,
    /// Higher values are dispatched first within the workspace.
    pub priority: u8,
    /// Time at which the request expires, in milliseconds on the box's clock.
    pub deadline_ms: u64,
    /// Random bits for the balancer.
    pub random: u64,
}

impl DispatchRequest {
    /// Name of the queue for this request. Requests in one queue compete for the same upstreams.
    fn queue_name(&self) -> Name {
        let empty: Name = "".into();
        self.version
            .clone()
            .or_else(|| self.pool.clone())
            .unwrap_or(empty)
    }

    fn requirements<'a>(
        &'a self,
        hall: &'a str,
        live_boxes: u32,
        now_ms: u64,
    ) -> CallRequirements<'a> {
        CallRequirements {
            pool: self.pool.as_deref(),
            version: self.version.as_deref(),
            prefix: self.prefix,
            hall,
            live_boxes,
            tried: &self.tried,
            random: self.random,
            now_ms,
        }
    }
}

/// An upstream reserved for one call.
///
/// The call counts as in flight until [`Reservation::finish`]; dropping a reservation without
/// finishing it panics, because the upstream's in-flight count would never fall again.
pub struct Reservation<'a> {
    dispatcher: &'a Dispatcher,
    pub upstream: Upstream,
    finished: bool,
}

/// Time and fleet size that dispatch decisions are based on.
#[derive(Debug, Clone, Copy)]
pub struct FleetSnapshot {
    pub now_ms: u64,
    /// Number of live boxes sharing the upstreams.
    pub live_boxes: u32,
}

impl Reservation<'_> {
    /// Ends the call. `ok` is the health of the upstream, not the success of the request.
    pub fn finish(mut self, ok: bool, first_token_ms: Option<u64>, fleet: FleetSnapshot) {
        self.finished = true;
        self.dispatcher
            .finish(&self.upstream, ok, first_token_ms, fleet);
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        assert!(
            self.finished || std::thread::panicking(),
            "invariant: every reserved upstream is finished"
        );
    }
}

impl Dispatcher {
    /// Creates a dispatcher without upstreams.
    pub fn new(settings: &Settings) -> Self {
        Self {
            inner: Mutex::new(Inner {
                balancer: Balancer::new(settings.policy.balance.into()),
                queues: HashMap::new(),
                waiters: HashMap::new(),
                next_id: 0,
                budget: RetryBudget::default(),
            }),
            limits: Limits {
                max_queued: settings.limits.max_queued,
                max_wait_ms: settings.limits.max_wait_ms,
            },
            hall: settings.hall.clone(),
        }
    }

    /// Reserves an upstream, waiting in the queue until one has capacity or the deadline passes.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no upstream could be reserved. Nothing has been sent then.
    pub fn acquire(
        &self,
        request: DispatchRequest,
        fleet: FleetSnapshot,
    ) -> Result<Reservation<'_>, Refusal> {
        let deadline_ms = request.deadline_ms;
        let (id, workspace, outcomes) = match self.admit(request, fleet)? {
            Admission::Dispatched(upstream) => return Ok(self.reservation(*upstream)),
            Admission::Queued(id, workspace, outcomes) => (id, workspace, outcomes),
        };
        let remaining = Duration::from_millis(deadline_ms.saturating_sub(fleet.now_ms));
        match outcomes.recv_timeout(remaining) {
            Ok(WaitOutcome::Dispatched(upstream)) => Ok(self.reservation(*upstream)),
            Ok(WaitOutcome::Evicted) => Err(overloaded(
                "request evicted from the queue by a workspace below its fair share",
                0,
                id,
            )),
            Err(_) => self.cancel_wait(id, &workspace, &outcomes),
        }
    }

    fn reservation(&self, upstream: Upstream) -> Reservation<'_> {
        Reservation {
            dispatcher: self,
            upstream,
            finished: false,
        }
    }

    /// Leaves the queue. An upstream that was assigned concurrently is used, not lost.
    fn cancel_wait(
        &self,
        id: u64,
        workspace: &Name,
        outcomes: &Receiver<WaitOutcome>,
    ) -> Result<Reservation<'_>, Refusal> {
        let mut inner = lock(&self.inner);
        if let Some(waiter) = inner.waiters.remove(&id)
            && let Some(target) = inner.queues.get_mut(&waiter.request.queue_name())
        {
            target.queue.cancel(workspace, id);
        }
        drop(inner);
        match outcomes.try_recv() {
            Ok(WaitOutcome::Dispatched(upstream)) => Ok(self.reservation(*upstream)),
            _ => Err(Refusal::not_run(
                Code::DeadlineUnmet,
                "no upstream had capacity before the deadline",
            )),
        }
    }

    fn admit(&self, request: DispatchRequest, fleet: FleetSnapshot) -> Result<Admission, Refusal> {
        let mut inner = lock(&self.inner);
        inner.next_id += 1;
        let id = inner.next_id;
        let queue_name = request.queue_name();
        let limits = self.limits;
        let target = inner
            .queues
            .entry(queue_name.clone())
            .or_insert_with(|| TargetQueue {
                queue: Queue::new(limits),
                wait_estimator: WaitEstimator::default(),
            });
        let queue_len = target.queue.len();
        let wait_ms = target.wait_estimator.wait_ms(queue_len);
        if queue_len == 0 {
            let requirements = request.requirements(&self.hall, fleet.live_boxes, fleet.now_ms);
            match inner.balancer.pick(&requirements) {
                Ok(upstream) => return Ok(Admission::Dispatched(Box::new(upstream))),
                Err(PickError::NoMatch) => return Err(no_upstream(&request, id)),
                Err(PickError::NoCapacity) => {}
            }
        }
        let queued = QueuedRequest {
            id,
            workspace: request.workspace.clone(),
            weight: request.weight,
            priority: request.priority,
            deadline_ms: request.deadline_ms,
        };
        let target = inner
            .queues
            .get_mut(&queue_name)
            .expect("the queue was inserted above");
        let enqueued = target.queue.enqueue(queued, fleet.now_ms, wait_ms);
        let evicted = match enqueued {
            Ok(evicted) => evicted,
            Err(AdmissionError::QueueFull) => {
                return Err(overloaded("the admission queue is full", wait_ms, id));
            }
            Err(AdmissionError::WaitTooLong) => return Err(wait_too_long(wait_ms, id)),
        };
        if let Some(evicted) = evicted {
            inner.notify(evicted.id, WaitOutcome::Evicted);
        }
        let workspace = request.workspace.clone();
        let (outcome_sender, outcomes) = bounded(1);
        inner.waiters.insert(
            id,
            Waiter {
                request,
                outcome_sender,
            },
        );
        Ok(Admission::Queued(id, workspace, outcomes))
    }

    fn finish(
        &self,
        picked: &Upstream,
        ok: bool,
        first_token_ms: Option<u64>,
        fleet: FleetSnapshot,
    ) {
        let mut inner = lock(&self.inner);
        inner
            .balancer
            .finish(picked, ok, first_token_ms, fleet.now_ms);
        inner.dispatch_queued(&self.hall, fleet);
    }

    /// Applies load reports, then dispatches queued requests that the new capacity allows.
    pub fn apply_load_reports(
        &self,
        reports: impl IntoIterator<Item = (u64, LoadReport)>,
        fleet: FleetSnapshot,
    ) {
        let mut inner = lock(&self.inner);
        for (id, report) in reports {
            inner.balancer.apply_report(id, report);
        }
        inner.dispatch_queued(&self.hall, fleet);
    }

    /// Applies `read` to each upstream and collects the results, without cloning the upstreams.
    pub fn filter_map_upstreams<T>(&self, read: impl FnMut(&Upstream) -> Option<T>) -> Vec<T> {
        lock(&self.inner).balancer.iter().filter_map(read).collect()
    }

    /// Applies a box list: adds and updates listed upstreams and retires unlisted ones.
    pub fn apply_box_list(&self, list: &BoxList, fleet: FleetSnapshot) {
        let mut inner = lock(&self.inner);
        let upstreams = list.boxes.iter().filter(|b| b.kind == BoxKind::Upstream);
        for entry in upstreams.clone() {
            let mut upstream = Upstream::new(
                entry.name.clone(),
                entry.addr.clone(),
                entry.hall.clone(),
                entry.pool.clone(),
                fleet.now_ms,
            );
            upstream.state = entry.state;
            inner.balancer.upsert(upstream);
        }
        let is_listed = |name: &str| upstreams.clone().any(|b| b.name.as_ref() == name);
        inner.balancer.retire_unlisted(is_listed);
        inner.dispatch_queued(&self.hall, fleet);
    }

    /// Copies of all upstreams.
    pub fn upstreams(&self) -> Vec<Upstream> {
        lock(&self.inner).balancer.iter().cloned().collect()
    }

    /// Counts a first attempt, which adds to the retry budget.
    pub fn count_first_attempt(&self) {
        lock(&self.inner).budget.deposit();
    }

    /// Takes one retry from the retry budget. Returns whether one was available.
    pub fn take_retry(&self) -> bool {
        lock(&self.inner).budget.try_withdraw()
    }
}

enum Admission {
    Dispatched(Box<Upstream>),
    Queued(u64, Name, Receiver<WaitOutcome>),
}

impl Inner {
    fn notify(&mut self, id: u64, outcome: WaitOutcome) {
        if let Some(waiter) = self.waiters.remove(&id) {
            // A waiter that timed out concurrently reads its outcome in `cancel_wait`.
            let _sent = waiter.outcome_sender.try_send(outcome);
        }
    }

    /// Dispatches queued requests while an upstream has capacity for them.
    fn dispatch_queued(&mut self, hall: &str, fleet: FleetSnapshot) {
        let queues: Vec<Name> = self
            .queues
            .iter()
            .filter(|(_, target)| !target.queue.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for queue_name in queues {
            while self.dispatch_next(&queue_name, hall, fleet) {}
        }
    }

    fn dispatch_next(&mut self, queue_name: &Name, hall: &str, fleet: FleetSnapshot) -> bool {
        let target = self
            .queues
            .get_mut(queue_name)
            .expect("the queue was listed");
        let mut expired = Vec::new();
        let mut picked = None;
        let waiters = &self.waiters;
        let balancer = &mut self.balancer;
        let queued = target.queue.dequeue(fleet.now_ms, &mut expired, |queued| {
            let Some(waiter) = waiters.get(&queued.id) else {
                return true;
            };
            let requirements = waiter
                .request
                .requirements(hall, fleet.live_boxes, fleet.now_ms);
            picked = balancer.pick(&requirements).ok();
            picked.is_some()
        });
        for request in expired {
            // The waiting thread times out on its own at the deadline.
            self.waiters.remove(&request.id);
        }
        let Some(queued) = queued else {
            return false;
        };
        target.wait_estimator.record_dispatch(fleet.now_ms);
        if let Some(upstream) = picked {
            self.notify(queued.id, WaitOutcome::Dispatched(Box::new(upstream)));
        }
        true
    }
}

#[cold]
fn no_upstream(request: &DispatchRequest, seed: u64) -> Refusal {
    let queue_name = request.queue_name();
    let code = if request.tried.is_empty() {
        Code::NoUpstream
    } else {
        Code::UpstreamFailed
    };
    Refusal::not_run(code, format!("no untried upstream serves {queue_name}"))
        .with_retry_after(jittered_retry_after_ms(NO_UPSTREAM_RETRY_AFTER_MS, seed))
}

const NO_UPSTREAM_RETRY_AFTER_MS: u64 = 2_000;

#[cold]
fn overloaded(text: &str, wait_ms: u64, seed: u64) -> Refusal {
    Refusal::not_run(Code::Overloaded, text).with_retry_after(jittered_retry_after_ms(
        wait_ms.max(MIN_OVERLOADED_RETRY_AFTER_MS),
        seed,
    ))
}

const MIN_OVERLOADED_RETRY_AFTER_MS: u64 = 500;

#[cold]
fn wait_too_long(wait_ms: u64, seed: u64) -> Refusal {
    Refusal::not_run(
        Code::DeadlineUnmet,
        format!("expected queue wait of {wait_ms} ms exceeds the deadline or the limit"),
    )
    .with_retry_after(jittered_retry_after_ms(wait_ms, seed))
}
