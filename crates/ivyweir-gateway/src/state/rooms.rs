//! Capacity of the plain pools with load control: whether a request is sent, waits or is refused.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::quota;
use ivyweir_policy::gateway::room::{
    Admission, LineTicket, Outlook, PoolFlows, Room, RoomRequest, Sharing,
};
use ivyweir_policy::gateway::statement::ReportedLoad;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::Gateway;
use crate::job::Job;
use crate::mutex::lock;

/// Time for which an outlook is used again. It depends on reports, which come every 250 ms, and its cost grows with the
/// upstreams of the pool, so it is not computed for each request.
const OUTLOOK_MAX_AGE_MS: u64 = 20;
/// Longest time until a waiting request is examined again: the interval of the reports.
const MAX_WAIT_MS: u64 = 250;

/// Capacity of the plain pools, by pool.
#[derive(Default)]
pub struct Rooms(HashMap<Name, PoolRoom>);

/// Capacity of one pool and the requests that wait for it.
#[derive(Default)]
struct PoolRoom {
    room: Room,
    outlook: Option<(u64, Outlook)>,
    /// Wakes a waiting request when it becomes the first.
    wakers: HashMap<LineTicket, Arc<Notify>>,
}

impl Rooms {
    /// Number of requests that wait in this box for capacity of a pool.
    pub fn waiting(&self, pool: &Name) -> u32 {
        let waiting = self.0.get(pool).map_or(0, |pool| pool.room.waiting());
        u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    /// Removes pools for which `is_known` is false and for which no request waits.
    pub fn retain_pools(&mut self, is_known: impl Fn(&str) -> bool) {
        self.0
            .retain(|id, pool| is_known(id) || pool.room.waiting() > 0);
    }

    /// Removes what was learned of upstreams for which `is_known` is false.
    pub fn retain_upstreams(&mut self, is_known: impl Fn(&str) -> bool) {
        for pool in self.0.values_mut() {
            pool.room.retain_upstreams(&is_known);
        }
    }
}

/// A decision with the figures behind it.
pub struct RoomDecision {
    /// The decision.
    pub admission: Admission,
    /// What the box may send.
    pub outlook: Outlook,
    /// Requests that wait for the pool in this box.
    pub waiting: usize,
    /// Sends that the box has saved up.
    pub credit: f64,
}

/// A request that waits for the capacity of its pool. Dropping it removes the request, also if the caller has
/// disconnected, and wakes the next one.
pub struct RoomWaiter {
    gateway: Arc<Gateway>,
    pool: Name,
    ticket: LineTicket,
    waker: Arc<Notify>,
}

impl RoomWaiter {
    /// Waits until the request is expected to be sent, or until it is the first.
    pub async fn wait(&self, for_ms: u64) {
        let limit = Duration::from_millis(for_ms.clamp(1, MAX_WAIT_MS));
        // Both ends mean that the request is examined again.
        let _woken = timeout(limit, self.waker.notified()).await;
    }
}

impl Drop for RoomWaiter {
    fn drop(&mut self) {
        let mut rooms = lock(&self.gateway.rooms);
        if let Some(pool) = rooms.0.get_mut(&self.pool) {
            pool.wakers.remove(&self.ticket);
            let next = pool.room.leave(self.ticket);
            if let Some(waker) = next.and_then(|next| pool.wakers.get(&next)) {
                waker.notify_one();
            }
        }
    }
}

impl Gateway {
    /// Whether requests to a pool are sent by its capacity: it has load control, and its upstreams are not engines.
    pub fn has_room_control(&self, pool: &Name) -> bool {
        let site = self.site();
        let spec = site.as_ref().and_then(|site| site.pool(pool));
        spec.is_some_and(|spec| !spec.is_engine) && self.has_load_control()
    }

    /// Counts a request from a caller.
    pub fn count_room_arrival(&self, job: &Job) {
        if self.has_room_control(&job.pool) {
            let now_ms = self.clock.now_ms();
            self.with_room(&job.pool, |pool| pool.room.record_arrival(now_ms));
        }
    }

    /// Records an answer of an upstream.
    pub fn record_room_answer(&self, pool: &Name, took_ms: u64) {
        if self.has_room_control(pool) {
            let now_ms = self.clock.now_ms();
            self.with_room(pool, |pool| pool.room.record_answer(took_ms, now_ms));
        }
    }

    /// Records the load figure of an upstream's answer.
    pub fn record_room_load(&self, pool: &Name, upstream: &Name, load: ReportedLoad) {
        if self.has_room_control(pool) {
            let now_ms = self.clock.now_ms();
            self.with_room(pool, |pool| pool.room.record_load(upstream, load, now_ms));
        }
    }

    /// Records that an upstream with this number of slots refused a request as not run.
    pub fn record_room_refusal(
        &self,
        pool: &Name,
        upstream: &Name,
        load: Option<ReportedLoad>,
        slots: u32,
    ) {
        if self.has_room_control(pool) {
            self.with_room(pool, |pool| {
                pool.room.record_refusal(upstream, load, slots);
                // The refusal shows the pool in another state than the outlook.
                pool.outlook = None;
            });
        }
    }

    /// Decides whether a request to a plain pool with load control is sent now. `waiter` is its place in the line, if it
    /// waits already.
    pub fn decide_room(&self, job: &Job, waiter: Option<&RoomWaiter>) -> RoomDecision {
        let now_ms = self.clock.now_ms();
        let outlook = self.room_outlook(job, now_ms);
        let request = self.room_request(job);
        let ticket = waiter.map(|waiter| waiter.ticket);
        self.with_room(&job.pool, |pool| RoomDecision {
            admission: pool.room.admit(&request, ticket, &outlook, now_ms),
            outlook,
            waiting: pool.room.waiting(),
            credit: pool.room.credit(),
        })
    }

    /// Adds a request to the line of its pool.
    pub fn join_room(self: &Arc<Self>, job: &Job, outlook: &Outlook) -> RoomWaiter {
        let now_ms = self.clock.now_ms();
        let request = self.room_request(job);
        let waker = Arc::new(Notify::new());
        let ticket = self.with_room(&job.pool, |pool| {
            let ticket = pool.room.join(&request, outlook, now_ms);
            pool.wakers.insert(ticket, waker.clone());
            ticket
        });
        RoomWaiter {
            gateway: self.clone(),
            pool: job.pool.clone(),
            ticket,
            waker,
        }
    }

    /// Figures of this box for the reports, by pool.
    pub(super) fn local_flows(&self) -> PoolFlows {
        if !self.has_load_control() {
            return PoolFlows::new();
        }
        let now_ms = self.clock.now_ms();
        let pools: Vec<Name> = lock(&self.rooms).0.keys().cloned().collect();
        let reporting = pools.into_iter().filter(|pool| self.has_room_control(pool));
        let flows = reporting.map(|pool| {
            let sharing = self.room_sharing(&pool);
            let flow = self.with_room(&pool, |pool| pool.room.report(&sharing, now_ms));
            (pool, flow)
        });
        flows.collect()
    }

    /// Sets the figures of all boxes.
    pub(super) fn set_fleet_flows(&self, flows: &PoolFlows) {
        let now_ms = self.clock.now_ms();
        for (pool, flow) in flows {
            if self.has_room_control(pool) {
                self.with_room(pool, |pool| pool.room.set_fleet_flow(*flow, now_ms));
            }
        }
    }

    /// What the box may send to the pool of a job.
    fn room_outlook(&self, job: &Job, now_ms: u64) -> Outlook {
        let known = self.with_room(&job.pool, |pool| pool.outlook);
        if let Some((at_ms, outlook)) = known
            && now_ms < at_ms + OUTLOOK_MAX_AGE_MS
        {
            return outlook;
        }
        let target = self.rollout_target(&job.pool);
        let requests = lock(&self.upstreams).pool_requests(&job.pool, target.as_ref(), now_ms);
        let sharing = self.room_sharing(&job.pool);
        self.with_room(&job.pool, |pool| {
            let upstreams = requests
                .iter()
                .map(|(id, slots, present)| (id, *slots, *present));
            let state = pool.room.pool_state(upstreams, sharing.boxes, now_ms);
            let outlook = pool.room.outlook(&state, &sharing, now_ms);
            pool.outlook = Some((now_ms, outlook));
            outlook
        })
    }

    fn room_sharing(&self, pool: &Name) -> Sharing {
        let (own_requests, window_ms) = self.recent_requests(pool);
        Sharing {
            boxes: u32::try_from(self.peers.fleet_size()).unwrap_or(u32::MAX),
            own_requests,
            window_ms,
            is_starting: !quota::may_own(self.clock.now_ms(), None),
        }
    }

    fn room_request(&self, job: &Job) -> RoomRequest {
        RoomRequest {
            priority: job.class,
            over_share: self.over_share(job),
            arrived_ms: job.arrived_ms,
            target_ms: job.target_ms(),
            deadline_ms: job.deadline_ms,
            seed: job.seed,
        }
    }

    fn with_room<T>(&self, pool: &Name, work: impl FnOnce(&mut PoolRoom) -> T) -> T {
        work(lock(&self.rooms).0.entry(pool.clone()).or_default())
    }
}

#[cfg(test)]
mod tests {
    use ivyweir_policy::gateway::room::PoolState;

    use super::*;

    /// Guards against the state of removed pools that is kept for ever, and against requests that lose their place in the
    /// line when their pool is removed.
    #[test]
    fn the_state_of_a_removed_pool_is_freed_when_no_request_waits() {
        let request = RoomRequest {
            priority: 0,
            over_share: 0.0,
            arrived_ms: 0,
            target_ms: 300,
            deadline_ms: 4_000,
            seed: 0,
        };
        let sharing = Sharing {
            boxes: 1,
            own_requests: 0,
            window_ms: 1_000,
            is_starting: false,
        };
        let mut rooms = Rooms::default();
        for pool in ["known", "idle", "busy"] {
            rooms.0.entry(pool.into()).or_default();
        }
        let room = &mut rooms.0.get_mut("busy").expect("it was added").room;
        let outlook = room.outlook(&PoolState::default(), &sharing, 0);
        let ticket = room.join(&request, &outlook, 0);
        let retained = |rooms: &mut Rooms| {
            rooms.retain_pools(|pool| pool == "known");
            let mut pools: Vec<_> = rooms.0.keys().map(ToString::to_string).collect();
            pools.sort();
            pools
        };
        assert_eq!(retained(&mut rooms), ["busy", "known"]);
        let room = &mut rooms.0.get_mut("busy").expect("it is retained").room;
        room.leave(ticket);
        assert_eq!(retained(&mut rooms), ["known"]);
    }
}
