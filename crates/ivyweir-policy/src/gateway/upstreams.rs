//! A box's view of the upstreams: membership, load, and eligibility for requests.
//!
//! Everything that a box learns of an upstream is recorded here, and every send is checked here. State is kept by
//! incarnation, so a restarted upstream starts with an empty state.

mod admission;
mod choice;
mod large_pool;
mod occupancy;
mod pool_requests;
mod statements;
mod supply;
mod versions;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use crate::Name;
use crate::gateway::backlog::{Backlog, reported_backlog};
use crate::gateway::backoff::Backoff;
use crate::gateway::brittle::{BrittlePools, RejectionRisk};
use crate::gateway::cold::RecentSends;
use crate::gateway::departures::Departures;
use crate::gateway::fleet::{Fleet, MemberState, UpstreamRecord};
use crate::gateway::forecast::Forecast;
use crate::gateway::occupancy::PoolOccupancy;
use crate::gateway::peer_report::Work;
use crate::gateway::placement::UpstreamLoad;
use crate::gateway::quota::QuotaShare;
use crate::gateway::rate_limit::Limit;
use crate::gateway::rollout::{RolloutState, Side};
use crate::hash::hash64;

pub use statements::StatementEffects;

/// The upstreams and this box's state for each of them.
#[derive(Debug, Default)]
pub struct Upstreams {
    fleet: Fleet,
    states: HashMap<Name, UpstreamState>,
    /// The version of each pool that serves requests outside a roll-out.
    default_versions: HashMap<Name, Name>,
    /// Halls whose upstreams receive no requests.
    drained_halls: BTreeSet<Name>,
    departures: Departures,
    /// Pools whose upstreams fail if they reject many requests.
    brittle_pools: BrittlePools,
    /// Upstreams that declared a limit.
    limited: HashSet<Name>,
    /// Seed that differs between boxes.
    box_seed: u64,
    /// Work of other boxes' requests, and the time of its receipt.
    peer_work: Backlog,
    peer_work_at_ms: Option<u64>,
    last_sweep: SweepState,
}

/// Result of the last sweep.
#[derive(Debug, Default)]
struct SweepState {
    /// The fleet's revision at the sweep.
    revision: u64,
    /// Whether state of removed upstreams was retained.
    has_retained: bool,
}

#[derive(Debug)]
struct UpstreamState {
    load: UpstreamLoad,
    id_hash: u64,
    sends: RecentSends,
    backoff: Backoff,
    limit: Limit,
    rejection_risk: RejectionRisk,
}

impl UpstreamState {
    /// Whether this box's share of the cold upstream's rate allows one more request.
    fn allows_cold_send(&self, sharing: &QuotaShare, limit: u32, now_ms: u64) -> bool {
        self.sends.count(now_ms) < sharing.own_parts(self.id_hash, limit)
    }
}

/// Restrictions on sends to the upstreams of a pool.
#[derive(Debug, Clone, Default)]
pub struct SendRules {
    /// How boxes divide an upstream's limits among them.
    pub sharing: QuotaShare,
    /// Requests that a cold upstream may get per second from all boxes together; none if the pool has no cold phase.
    pub cold_limit: Option<u32>,
}

/// Why no upstream accepts a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChooseError {
    /// No upstream is left.
    NoUpstream,
    /// The remaining upstreams are in drained halls.
    HallsDrained,
    /// The remaining upstreams are cold, and this box's share of their rate is used up.
    AllCold,
    /// The remaining upstreams back off from this box.
    AllBackingOff {
        /// Time until the first one accepts a request.
        for_ms: u64,
    },
}

/// Why a request is not sent to the upstream that was chosen for it: the state of the request or of the upstream has
/// changed since the choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDenied {
    /// The upstream left.
    Gone,
    /// Its hall is drained.
    HallDrained,
    /// It backs off from this box.
    Backoff {
        /// Time until it accepts a request.
        for_ms: u64,
    },
    /// It declares a limit, and this box's share of it is used up.
    Limited {
        /// Time until it accepts a request.
        for_ms: u64,
    },
    /// It is cold, and this box's share of its rate is used up.
    Cold,
    /// The request was running at several upstreams when they terminated.
    Quarantined,
    /// The connections of the request to several upstreams broke; it is sent to no other one until it is known whether
    /// these terminated.
    Contained,
}

/// A chosen upstream with the figures behind the choice.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The upstream.
    pub upstream: Arc<UpstreamRecord>,
    /// Mean pending work of the pool's upstreams.
    pub mean_work_ms: f64,
    /// Requests of the request's band and the more urgent ones per slot of the pool.
    pub occupancy: f64,
    /// Occupancy of the pool by band.
    pub pool_occupancy: PoolOccupancy,
    /// Number of upstreams that were compared.
    pub candidates: usize,
    /// Pending work of the chosen upstream.
    pub load_ms: f64,
    /// Part of it that is served before the request.
    pub work_before_ms: f64,
    /// Estimated time of the request until its first token.
    pub prefill_ms: f64,
    /// Part of that time which is saved if the shared prompt is cached.
    pub saved_ms: f64,
    /// Forecast for the request, with load control.
    pub forecast: Option<Forecast>,
}

/// Which upstreams of a pool may serve a request.
#[derive(Debug, Clone, Copy)]
pub struct Scope<'a> {
    /// The pool.
    pub pool: &'a Name,
    /// The side of the roll-out that serves the request; none without a roll-out.
    pub side: Option<Side>,
    /// Upstreams that were already tried.
    pub tried: &'a [Name],
}

/// A roll-out's target version and its progress.
#[derive(Debug)]
pub struct RolloutTarget {
    /// The version that the roll-out introduces.
    pub version: Name,
    /// State of the roll-out.
    pub state: RolloutState,
    /// Current share of the pool's sessions that the version serves.
    pub share: f64,
}

impl Upstreams {
    /// Creates an empty set; `box_seed` differs between boxes.
    pub fn new(box_seed: u64) -> Self {
        Self {
            box_seed,
            ..Self::default()
        }
    }

    /// Drains a hall; returns whether it was not drained before.
    pub fn drain_hall(&mut self, hall: Name) -> bool {
        self.drained_halls.insert(hall)
    }

    /// Ends the drain of a hall; returns whether it was drained. Its upstreams may have become cold meanwhile, so each
    /// is assumed to be cold until `cold_until_ms`.
    pub fn undrain_hall(
        &mut self,
        hall: &Name,
        cold_until_ms: impl Fn(&UpstreamRecord) -> u64,
    ) -> bool {
        let was_drained = self.drained_halls.remove(hall);
        if was_drained {
            self.fleet.assume_cold(hall, cold_until_ms);
        }
        was_drained
    }

    /// The drained halls.
    pub fn drained_halls(&self) -> Vec<Name> {
        self.drained_halls.iter().cloned().collect()
    }

    /// The membership of the upstreams.
    pub fn fleet(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    /// Load of an upstream.
    pub fn load(&mut self, id: &Name) -> &mut UpstreamLoad {
        &mut self.state_mut(id).load
    }

    /// Sets the version of a pool that serves requests outside a roll-out.
    pub fn set_default_version(&mut self, pool: &Name, version: &Name) {
        self.default_versions.insert(pool.clone(), version.clone());
    }

    /// Records of the upstreams that accept requests.
    pub fn ready(&self, now_ms: u64) -> Vec<UpstreamRecord> {
        let members = self.fleet.members();
        let ready = members.filter(|m| m.state == MemberState::Ready);
        ready
            .map(|m| UpstreamRecord {
                cold_remaining_ms: m.cold_for_ms(now_ms),
                ..(*m.record).clone()
            })
            .collect()
    }

    /// Pending work of this box's requests by upstream, if not zero, rounded to milliseconds: these numbers are most of
    /// the traffic between boxes.
    pub fn local_work(&self) -> Work {
        let states = self.states.iter();
        let local = states.map(|(id, state)| (id, state.load.own_load().total().work_ms.round()));
        let nonzero = local.filter(|(_, work_ms)| *work_ms > 0.0);
        nonzero.map(|(id, work_ms)| (id.clone(), work_ms)).collect()
    }

    /// Pending work of this box's requests by upstream and band, if not zero.
    pub fn local_backlog(&self) -> Backlog {
        let states = self.states.iter();
        let local = states.map(|(id, state)| (id.clone(), *state.load.own_load()));
        local
            .filter(|(_, load)| load.total().requests > 0.0)
            .collect()
    }

    /// Sets the pending work of other boxes' requests: the total of all boxes, and the bands of those that report them.
    pub fn set_peer_work(&mut self, work: &Work, bands: &Backlog, now_ms: u64) {
        self.peer_work = reported_backlog(work, bands);
        self.peer_work_at_ms = Some(now_ms);
    }

    /// Removes upstreams that lapsed `grace_ms` ago or earlier, and state that is no longer needed; returns the ids of
    /// the removed upstreams.
    pub fn sweep(&mut self, grace_ms: u64, now_ms: u64) -> Vec<Name> {
        let expired = self.fleet.expire_lapsed(grace_ms, now_ms);
        let revision = self.fleet.revision();
        if self.last_sweep.revision == revision && !self.last_sweep.has_retained {
            return expired;
        }
        let fleet = &self.fleet;
        let mut has_retained = false;
        self.states.retain(|id, state| {
            if fleet.member(id).is_some() {
                return true;
            }
            let is_retained = state.load.in_flight() > 0
                || state.backoff.is_active(now_ms)
                || state.limit.update_for_peers(id, now_ms).is_some();
            has_retained |= is_retained;
            is_retained
        });
        let states = &self.states;
        self.limited.retain(|id| states.contains_key(id));
        self.last_sweep = SweepState {
            revision,
            has_retained,
        };
        expired
    }

    /// Whether an upstream is a member of the fleet.
    pub fn contains(&self, id: &str) -> bool {
        self.fleet.member(id).is_some()
    }

    /// Number of requests that the usable upstreams accept from this box up to `until_ms`; the slots of each are
    /// divided among `boxes`.
    pub fn capacity_by(
        &mut self,
        scope: &Scope,
        target: Option<&RolloutTarget>,
        boxes: u32,
        until_ms: u64,
    ) -> u32 {
        let usable = self.usable(scope, target);
        let capacities = usable.iter().map(|record| {
            let slot_share = (record.slots / boxes.max(1)).max(1);
            let state = self.state_mut(&record.id);
            let limit = state.limit.available_by(until_ms).unwrap_or(u32::MAX);
            state
                .backoff
                .capacity_by(until_ms)
                .min(limit)
                .min(slot_share)
        });
        capacities.fold(0, u32::saturating_add)
    }

    fn state_mut(&mut self, id: &Name) -> &mut UpstreamState {
        self.states
            .entry(id.clone())
            .or_insert_with(|| UpstreamState {
                load: UpstreamLoad::default(),
                id_hash: hash64(&[id.as_bytes()]),
                sends: RecentSends::default(),
                backoff: Backoff::default(),
                limit: Limit::default(),
                rejection_risk: RejectionRisk::default(),
            })
    }
}
