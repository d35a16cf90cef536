//! The upstreams of a pool that may serve, and which of many are looked at for a request.
//!
//! What a choice costs must not grow with the pool. Of a small one all are weighed. Of a large one a request sees
//! its *home* and some drawn at random. Homes are equal parts of the space of hashed ids, so all boxes agree on
//! the home of a shared part, an upstream that comes or goes changes one home, and the best of a home is
//! found by rendezvous as among all.

use std::sync::Arc;

use crate::gateway::fleet::UpstreamRecord;
use crate::gateway::place::Ask;
use crate::rank::mix;

/// Upstreams up to which all of a pool are weighed.
const WEIGHED_WHOLE: usize = 512;
/// Upstreams of a home at most, on average.
const HOME: usize = 64;
/// Upstreams of a large pool that are drawn at random for a request.
const DRAWN: usize = 16;
/// Keeps the choice of a home apart from other uses of the same hash.
const HOME_SALT: u64 = 0x686f_6d65_686f_6d65;

/// What a pool's list was made from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MadeFrom {
    /// The fleet's revision.
    pub revision: u64,
    /// How often halls were drained or not any more, or pools settled on a version.
    pub scope_changes: u64,
}

/// The upstreams of a large pool that are looked at for a request.
#[derive(Debug)]
pub struct Looked {
    /// Those of its home.
    pub home: Vec<Arc<UpstreamRecord>>,
    /// Those drawn at random.
    pub drawn: Vec<Arc<UpstreamRecord>>,
}

/// The upstreams of a pool that may serve.
#[derive(Debug)]
pub struct Pool {
    made_from: Option<MadeFrom>,
    /// By hashed id, where the pool is large.
    records: Vec<Arc<UpstreamRecord>>,
    /// Hashed ids in the same order; empty for a small pool.
    hashes: Vec<u64>,
}

impl Pool {
    /// The pool of these upstreams with their hashed ids; `made_from` where it may be kept.
    pub fn new(mut members: Vec<(u64, Arc<UpstreamRecord>)>, made_from: Option<MadeFrom>) -> Self {
        let mut hashes = Vec::new();
        if members.len() > WEIGHED_WHOLE {
            members.sort_unstable_by_key(|(hash, _)| *hash);
            hashes = members.iter().map(|(hash, _)| *hash).collect();
        }
        Self {
            made_from,
            records: members.into_iter().map(|(_, record)| record).collect(),
            hashes,
        }
    }

    /// Whether it was made from this and still holds.
    pub fn is_made_from(&self, made_from: MadeFrom) -> bool {
        self.made_from == Some(made_from)
    }

    /// Whether it was made from this revision of the fleet.
    pub fn has_revision(&self, revision: u64) -> bool {
        self.made_from.is_some_and(|from| from.revision == revision)
    }

    /// Its upstreams.
    pub fn records(&self) -> &[Arc<UpstreamRecord>] {
        &self.records
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The upstreams that are looked at for a request, where the pool is large.
    pub fn some_for(&self, ask: &Ask) -> Option<Looked> {
        if self.hashes.is_empty() {
            return None;
        }
        let key = ask.apart.or(ask.prefix);
        let home = key.map_or_else(Vec::new, |key| self.home(key).to_vec());
        let count = self.records.len() as u64;
        let mut places: Vec<u64> = (0..DRAWN as u64)
            .map(|turn| mix(ask.seed, turn) % count)
            .collect();
        places.sort_unstable();
        places.dedup();
        let drawn = places.into_iter();
        let drawn = drawn.map(|at| self.records[at as usize].clone());
        Some(Looked {
            home,
            drawn: drawn.collect(),
        })
    }

    /// The upstreams whose hashed ids begin as the key's does.
    fn home(&self, key: u64) -> &[Arc<UpstreamRecord>] {
        let homes = self.records.len().div_ceil(HOME).next_power_of_two();
        let bits = homes.ilog2();
        let first = |hash: u64| hash.checked_shr(u64::BITS - bits).unwrap_or(0);
        let own = first(mix(key, HOME_SALT));
        let from = self.hashes.partition_point(|hash| first(*hash) < own);
        let to = self.hashes.partition_point(|hash| first(*hash) <= own);
        &self.records[from..to]
    }
}
