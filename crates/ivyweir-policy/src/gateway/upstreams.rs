//! The upstreams as a box sees them: which there are, how busy they are, and which may serve.
//!
//! All that is heard of an upstream is taken in here, and every send asks here whether it may go. What is kept is
//! kept by incarnation, so the next one begins anew.

mod choice;
mod gate;
mod heard;
mod pool;
mod supply;
mod versions;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use crate::Name;
use crate::gateway::backoff::Backoff;
use crate::gateway::cold::RecentSends;
use crate::gateway::departures::Departures;
use crate::gateway::fleet::{Fleet, Standing, UpstreamRecord};
use crate::gateway::limit::Limit;
use crate::gateway::owners::Sharing;
use crate::gateway::peer_report::Work;
use crate::gateway::place::UpstreamLoad;
use crate::gateway::rollout::{RolloutState, Side};
use crate::rank::hash64;

pub use heard::Heard;

/// The upstreams and what this box knows of their load.
#[derive(Debug, Default)]
pub struct Upstreams {
    fleet: Fleet,
    loads: HashMap<Name, Known>,
    /// The version of each pool that serves what no roll-out moves.
    settled: HashMap<Name, Name>,
    /// Halls whose upstreams get nothing.
    drained_halls: BTreeSet<Name>,
    departures: Departures,
    /// Upstreams of which a limit was heard.
    limited: HashSet<Name>,
    /// Differs between boxes.
    own: u64,
    /// Other boxes' work, and when it was told.
    others_work: Work,
    others_at_ms: Option<u64>,
    swept: Swept,
}

/// What the last sweep found.
#[derive(Debug, Default)]
struct Swept {
    /// The fleet's revision.
    revision: u64,
    /// Whether something was kept of upstreams that are gone.
    has_kept: bool,
}

#[derive(Debug)]
struct Known {
    load: UpstreamLoad,
    id_hash: u64,
    sends: RecentSends,
    backoff: Backoff,
    limit: Limit,
}

impl Known {
    /// Whether this box's part of what the upstream bears while it is cold is not used up.
    fn bears_one(&self, sharing: &Sharing, limit: u32, now_ms: u64) -> bool {
        self.sends.count(now_ms) < sharing.own_part(self.id_hash, limit)
    }
}

/// What binds sends to the upstreams of a pool.
#[derive(Debug, Clone, Default)]
pub struct SendRules {
    /// How boxes share what an upstream takes.
    pub sharing: Sharing,
    /// Requests that an upstream may get within a second while it is cold, over all boxes; none where they are never
    /// cold.
    pub cold_limit: Option<u32>,
}

/// Why no upstream takes a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unplaced {
    /// None is left.
    Nobody,
    /// All that are left are in drained halls.
    HallsDrained,
    /// All that are left are cold and have got this box's part of what they bear.
    AllCold,
    /// All that are left want nothing from this box for now.
    AllBackingOff {
        /// Time until the first one takes a request.
        for_ms: u64,
    },
}

/// Why a request is not sent to the upstream that was chosen for it: what was known of either has changed
/// since.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withheld {
    /// It left.
    Gone,
    /// Its hall is drained.
    HallDrained,
    /// It wants nothing from this box for now.
    Backoff {
        /// Time until it takes a request.
        for_ms: u64,
    },
    /// It names a limit, and this box has sent its part of that.
    Limited {
        /// Time until it takes a request.
        for_ms: u64,
    },
    /// It is cold and has got this box's part of what it bears.
    Cold,
    /// The request was at several upstreams when they ended.
    Quarantined,
}

/// An upstream that was chosen, and why.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The upstream.
    pub upstream: Arc<UpstreamRecord>,
    /// Mean work of the pool's upstreams.
    pub mean_work_ms: f64,
    /// Number of upstreams that were weighed.
    pub candidates: usize,
    /// Work under way at the one that was chosen.
    pub load_ms: f64,
    /// What the request itself takes until its first token.
    pub read_ms: f64,
    /// What of that is saved where its shared part is kept.
    pub saved_ms: f64,
}

/// Which upstreams of a pool may serve a request.
#[derive(Debug, Clone, Copy)]
pub struct Scope<'a> {
    /// The pool.
    pub pool: &'a Name,
    /// The side of a roll-out that serves it; none where none is under way.
    pub side: Option<Side>,
    /// Upstreams that were tried.
    pub tried: &'a [Name],
}

/// A roll-out's version and how far it is.
#[derive(Debug)]
pub struct Target {
    /// The version that is to serve the pool.
    pub version: Name,
    /// How far the roll-out is.
    pub state: RolloutState,
    /// Share of the pool's sessions that the version gets now.
    pub share: f64,
}

impl Upstreams {
    /// No upstream yet; `own` differs between boxes.
    pub fn new(own: u64) -> Self {
        Self {
            own,
            ..Self::default()
        }
    }

    /// Drains a hall; returns whether it was not drained before.
    pub fn drain_hall(&mut self, hall: Name) -> bool {
        self.drained_halls.insert(hall)
    }

    /// Ends the drain of a hall; returns whether it was drained. Its upstreams may have turned cold
    /// meanwhile, so each is taken to be cold until `cold_until_ms`.
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

    /// Halls that are drained.
    pub fn drained_halls(&self) -> Vec<Name> {
        self.drained_halls.iter().cloned().collect()
    }

    /// The upstreams themselves.
    pub fn fleet(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    /// What is known of an upstream's load.
    pub fn load(&mut self, id: &Name) -> &mut UpstreamLoad {
        &mut self.known(id).load
    }

    /// Takes in a pool's version that serves what no roll-out moves.
    pub fn settle(&mut self, pool: &Name, version: &Name) {
        self.settled.insert(pool.clone(), version.clone());
    }

    /// Records of upstreams that take work.
    pub fn ready(&self, now_ms: u64) -> Vec<UpstreamRecord> {
        let members = self.fleet.members();
        let ready = members.filter(|m| m.standing == Standing::Ready);
        ready
            .map(|m| UpstreamRecord {
                cold_remaining_ms: m.cold_for_ms(now_ms),
                ..(*m.record).clone()
            })
            .collect()
    }

    /// Work of this box's own requests, where there is some, in whole milliseconds: their digits are most of
    /// what boxes tell each other.
    pub fn own_work(&self) -> Work {
        let loads = self.loads.iter();
        let own = loads.map(|(id, known)| (id, known.load.own_work_ms().round()));
        let some = own.filter(|(_, work_ms)| *work_ms > 0.0);
        some.map(|(id, work_ms)| (id.clone(), work_ms)).collect()
    }

    /// Takes in other boxes' work.
    pub fn take_others_work(&mut self, work: Work, now_ms: u64) {
        self.others_work = work;
        self.others_at_ms = Some(now_ms);
    }

    /// Forgets upstreams that lapsed `grace_ms` ago; returns their ids.
    pub fn sweep(&mut self, grace_ms: u64, now_ms: u64) -> Vec<Name> {
        let forgotten = self.fleet.forget_lapsed(grace_ms, now_ms);
        let revision = self.fleet.revision();
        if self.swept.revision == revision && !self.swept.has_kept {
            return forgotten;
        }
        let fleet = &self.fleet;
        let mut has_kept = false;
        self.loads.retain(|id, known| {
            if fleet.member(id).is_some() {
                return true;
            }
            let is_kept = known.load.in_flight() > 0
                || known.backoff.binds(now_ms)
                || known.limit.told(id, now_ms).is_some();
            has_kept |= is_kept;
            is_kept
        });
        let loads = &self.loads;
        self.limited.retain(|id| loads.contains_key(id));
        self.swept = Swept { revision, has_kept };
        forgotten
    }

    /// Whether this is an upstream that may be used.
    pub fn knows(&self, id: &str) -> bool {
        self.fleet.member(id).is_some()
    }

    /// Requests that the upstreams that may serve take of this box within a time; each shares its places out among
    /// `boxes`.
    pub fn places_within(
        &mut self,
        scope: &Scope,
        target: Option<&Target>,
        boxes: u32,
        until_ms: u64,
    ) -> u32 {
        let usable = self.usable(scope, target);
        let places = usable.iter().map(|record| {
            let own_part = (record.slots / boxes.max(1)).max(1);
            let known = self.known(&record.id);
            let limit = known.limit.room_by(until_ms).unwrap_or(u32::MAX);
            known.backoff.room_by(until_ms).min(limit).min(own_part)
        });
        places.fold(0, u32::saturating_add)
    }

    fn known(&mut self, id: &Name) -> &mut Known {
        self.loads.entry(id.clone()).or_insert_with(|| Known {
            load: UpstreamLoad::default(),
            id_hash: hash64(&[id.as_bytes()]),
            sends: RecentSends::default(),
            backoff: Backoff::default(),
            limit: Limit::default(),
        })
    }
}
