//! The gate before the upstreams: who is called, and who waits for that.

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

/// Upstreams and the queues before them, under one lock: a choice needs all of them.
pub struct Gate {
    inner: Mutex<Inner>,
    limits: Limits,
    hall: Name,
}

struct Inner {
    balancer: Balancer,
    lanes: HashMap<Name, Lane>,
    waiters: HashMap<u64, Waiter>,
    next_id: u64,
    budget: RetryBudget,
}

struct Lane {
    queue: Queue,
    pace: WaitEstimator,
}

struct Waiter {
    ask: Ask,
    grants: Sender<Grant>,
}

enum Grant {
    Go(Box<Upstream>),
    Displaced,
}

/// What a request needs of an upstream.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The pool, or none for any engine.
    pub pool: Option<Name>,
    /// The version it must have loaded.
    pub version: Option<Name>,
    /// Hash of what calls with a common prefix share.
    pub prefix: Option<u64>,
    /// Upstreams already tried.
    pub tried: Vec<Name>,
    /// The workspace and its weight.
    pub workspace: Name,
    /// The workspace's weight.
    pub weight: u32,
    /// Higher goes first within the workspace.
    pub priority: u8,
    /// When it is of no use any more.
    pub deadline_ms: u64,
    /// Random bits.
    pub random: u64,
}

impl Ask {
    /// Requests of one lane compete for the same upstreams.
    fn lane(&self) -> Name {
        let none: Name = "".into();
        self.version
            .clone()
            .or_else(|| self.pool.clone())
            .unwrap_or(none)
    }

    fn want<'a>(&'a self, hall: &'a str, live_boxes: u32, now_ms: u64) -> CallRequirements<'a> {
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

/// An upstream that is held for one call; the call counts until this is finished.
pub struct Held<'a> {
    gate: &'a Gate,
    /// The upstream.
    pub upstream: Upstream,
    finished: bool,
}

/// Time now and boxes alive, as the choices need them.
#[derive(Debug, Clone, Copy)]
pub struct Moment {
    /// Now.
    pub now_ms: u64,
    /// Boxes that share the upstreams.
    pub live_boxes: u32,
}

impl Held<'_> {
    /// Ends the call. `ok` speaks of the upstream, not of the request.
    pub fn finish(mut self, ok: bool, first_token_ms: Option<u64>, moment: Moment) {
        self.finished = true;
        self.gate.finish(&self.upstream, ok, first_token_ms, moment);
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        assert!(
            self.finished || std::thread::panicking(),
            "invariant: every call that was counted is ended"
        );
    }
}

impl Gate {
    /// A gate that knows no upstream yet.
    pub fn new(settings: &Settings) -> Self {
        Self {
            inner: Mutex::new(Inner {
                balancer: Balancer::new(settings.policy.balance.into()),
                lanes: HashMap::new(),
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

    /// Waits for an upstream.
    ///
    /// # Errors
    ///
    /// A refusal; nothing was sent.
    pub fn acquire(&self, ask: Ask, moment: Moment) -> Result<Held<'_>, Refusal> {
        let deadline_ms = ask.deadline_ms;
        let (id, workspace, grants) = match self.enter(ask, moment)? {
            Entry::Go(upstream) => return Ok(self.held(*upstream)),
            Entry::Wait(id, workspace, grants) => (id, workspace, grants),
        };
        let left = Duration::from_millis(deadline_ms.saturating_sub(moment.now_ms));
        match grants.recv_timeout(left) {
            Ok(Grant::Go(upstream)) => Ok(self.held(*upstream)),
            Ok(Grant::Displaced) => {
                Err(overloaded("a workspace under its share came first", 0, id))
            }
            Err(_) => self.give_up(id, &workspace, &grants),
        }
    }

    fn held(&self, upstream: Upstream) -> Held<'_> {
        Held {
            gate: self,
            upstream,
            finished: false,
        }
    }

    /// Leaves the queue; a grant that came at the same moment is taken after all.
    fn give_up(
        &self,
        id: u64,
        workspace: &Name,
        grants: &Receiver<Grant>,
    ) -> Result<Held<'_>, Refusal> {
        let mut inner = lock(&self.inner);
        if let Some(waiter) = inner.waiters.remove(&id)
            && let Some(lane) = inner.lanes.get_mut(&waiter.ask.lane())
        {
            lane.queue.cancel(workspace, id);
        }
        drop(inner);
        match grants.try_recv() {
            Ok(Grant::Go(upstream)) => Ok(self.held(*upstream)),
            _ => Err(Refusal::not_run(
                Code::DeadlineUnmet,
                "no upstream was free in time",
            )),
        }
    }

    fn enter(&self, ask: Ask, moment: Moment) -> Result<Entry, Refusal> {
        let mut inner = lock(&self.inner);
        inner.next_id += 1;
        let id = inner.next_id;
        let lane_name = ask.lane();
        let limits = self.limits;
        let lane = inner
            .lanes
            .entry(lane_name.clone())
            .or_insert_with(|| Lane {
                queue: Queue::new(limits),
                pace: WaitEstimator::default(),
            });
        let ahead = lane.queue.len();
        let wait_ms = lane.pace.wait_ms(ahead);
        if ahead == 0 {
            let want = ask.want(&self.hall, moment.live_boxes, moment.now_ms);
            match inner.balancer.pick(&want) {
                Ok(upstream) => return Ok(Entry::Go(Box::new(upstream))),
                Err(PickError::NoMatch) => return Err(none_offers(&ask, id)),
                Err(PickError::NoCapacity) => {}
            }
        }
        let ticket = QueuedRequest {
            id,
            workspace: ask.workspace.clone(),
            weight: ask.weight,
            priority: ask.priority,
            deadline_ms: ask.deadline_ms,
        };
        let lane = inner
            .lanes
            .get_mut(&lane_name)
            .expect("the lane was just made");
        let offered = lane.queue.enqueue(ticket, moment.now_ms, wait_ms);
        let displaced = match offered {
            Ok(displaced) => displaced,
            Err(AdmissionError::QueueFull) => {
                return Err(overloaded("the queue is full", wait_ms, id));
            }
            Err(AdmissionError::WaitTooLong) => return Err(too_late(wait_ms, id)),
        };
        if let Some(victim) = displaced {
            inner.tell(victim.id, Grant::Displaced);
        }
        let workspace = ask.workspace.clone();
        let (grants, receiver) = bounded(1);
        inner.waiters.insert(id, Waiter { ask, grants });
        Ok(Entry::Wait(id, workspace, receiver))
    }

    fn finish(&self, picked: &Upstream, ok: bool, first_token_ms: Option<u64>, moment: Moment) {
        let mut inner = lock(&self.inner);
        inner
            .balancer
            .finish(picked, ok, first_token_ms, moment.now_ms);
        inner.pump(&self.hall, moment);
    }

    /// Takes in load reports; those who wait may go on then.
    pub fn report(&self, reports: impl IntoIterator<Item = (u64, LoadReport)>, moment: Moment) {
        let mut inner = lock(&self.inner);
        for (id, report) in reports {
            inner.balancer.apply_report(id, report);
        }
        inner.pump(&self.hall, moment);
    }

    /// What `read` makes of each upstream, without the cost of copying them all.
    pub fn read_upstreams<T>(&self, read: impl FnMut(&Upstream) -> Option<T>) -> Vec<T> {
        lock(&self.inner).balancer.iter().filter_map(read).collect()
    }

    /// Takes in a box list: upstreams that are new, moved, leaving or gone.
    pub fn apply_list(&self, list: &BoxList, moment: Moment) {
        let mut inner = lock(&self.inner);
        let upstreams = list.boxes.iter().filter(|b| b.kind == BoxKind::Upstream);
        for entry in upstreams.clone() {
            let mut fresh = Upstream::new(
                entry.name.clone(),
                entry.addr.clone(),
                entry.hall.clone(),
                entry.pool.clone(),
                moment.now_ms,
            );
            fresh.state = entry.state;
            inner.balancer.upsert(fresh);
        }
        let is_listed = |name: &str| upstreams.clone().any(|b| b.name.as_ref() == name);
        inner.balancer.retire_unlisted(is_listed);
        inner.pump(&self.hall, moment);
    }

    /// All upstreams as they stand.
    pub fn upstreams(&self) -> Vec<Upstream> {
        lock(&self.inner).balancer.iter().cloned().collect()
    }

    /// Counts a first try, for the retry budget.
    pub fn count_try(&self) {
        lock(&self.inner).budget.deposit();
    }

    /// Whether the budget has a retry left; takes it.
    pub fn may_retry(&self) -> bool {
        lock(&self.inner).budget.try_withdraw()
    }
}

enum Entry {
    Go(Box<Upstream>),
    Wait(u64, Name, Receiver<Grant>),
}

impl Inner {
    fn tell(&mut self, id: u64, grant: Grant) {
        if let Some(waiter) = self.waiters.remove(&id) {
            // A waiter that gave up takes its grant on the way out.
            let _has_room = waiter.grants.try_send(grant);
        }
    }

    /// Lets those go on for whom there is an upstream now.
    fn pump(&mut self, hall: &str, moment: Moment) {
        let lanes: Vec<Name> = self
            .lanes
            .iter()
            .filter(|(_, lane)| !lane.queue.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for lane in lanes {
            while self.serve_one(&lane, hall, moment) {}
        }
    }

    fn serve_one(&mut self, lane_name: &Name, hall: &str, moment: Moment) -> bool {
        let lane = self.lanes.get_mut(lane_name).expect("the lane was listed");
        let mut expired = Vec::new();
        let mut picked = None;
        let waiters = &self.waiters;
        let balancer = &mut self.balancer;
        let ticket = lane.queue.dequeue(moment.now_ms, &mut expired, |ticket| {
            let Some(waiter) = waiters.get(&ticket.id) else {
                return true;
            };
            let want = waiter.ask.want(hall, moment.live_boxes, moment.now_ms);
            picked = balancer.pick(&want).ok();
            picked.is_some()
        });
        for late in expired {
            // Its thread wakes at the deadline by itself.
            self.waiters.remove(&late.id);
        }
        let Some(ticket) = ticket else {
            return false;
        };
        lane.pace.record_dispatch(moment.now_ms);
        if let Some(upstream) = picked {
            self.tell(ticket.id, Grant::Go(Box::new(upstream)));
        }
        true
    }
}

#[cold]
fn none_offers(ask: &Ask, seed: u64) -> Refusal {
    let what = ask.lane();
    let code = if ask.tried.is_empty() {
        Code::NoUpstream
    } else {
        Code::UpstreamFailed
    };
    Refusal::not_run(code, format!("no other upstream offers {what}"))
        .with_retry_after(jittered_retry_after_ms(NO_UPSTREAM_HINT_MS, seed))
}

const NO_UPSTREAM_HINT_MS: u64 = 2_000;

#[cold]
fn overloaded(text: &str, wait_ms: u64, seed: u64) -> Refusal {
    Refusal::not_run(Code::Overloaded, text)
        .with_retry_after(jittered_retry_after_ms(wait_ms.max(MIN_BUSY_MS), seed))
}

const MIN_BUSY_MS: u64 = 500;

#[cold]
fn too_late(wait_ms: u64, seed: u64) -> Refusal {
    Refusal::not_run(
        Code::DeadlineUnmet,
        format!("the wait would be {wait_ms} ms"),
    )
    .with_retry_after(jittered_retry_after_ms(wait_ms, seed))
}
