//! The upstreams of each pool in two orders, so that some of many are found without going over all.

use std::collections::{BTreeSet, HashMap};
use std::ops::Bound;

use crate::Name;
use crate::hash::mix;

/// Upstreams of a home at most, on average.
const HOME: usize = 64;
/// Keeps the choice of a home apart from other uses of the same hash.
const HOME_SALT: u64 = 0x686f_6d65_686f_6d65;

/// The members of one pool.
#[derive(Debug, Default)]
pub(super) struct PoolIndex {
    by_hash: BTreeSet<(u64, Name)>,
    /// In any order.
    ids: Vec<Name>,
    /// Where each stands there.
    places: HashMap<Name, usize>,
    /// Those whose records tell when they started.
    told: usize,
}

impl PoolIndex {
    /// Adds a member; `tells` says whether its record tells when it started.
    pub(super) fn add(&mut self, id: &Name, hash: u64, tells: bool) {
        if self.by_hash.insert((hash, id.clone())) {
            self.places.insert(id.clone(), self.ids.len());
            self.ids.push(id.clone());
            self.told += usize::from(tells);
        }
    }

    /// Removes a member.
    pub(super) fn remove(&mut self, id: &Name, hash: u64, tells: bool) {
        if !self.by_hash.remove(&(hash, id.clone())) {
            return;
        }
        self.told -= usize::from(tells);
        if let Some(at) = self.places.remove(id) {
            self.ids.swap_remove(at);
            if let Some(moved) = self.ids.get(at) {
                self.places.insert(moved.clone(), at);
            }
        }
    }

    /// Number of members.
    pub(super) fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether most members' records tell when they started.
    pub(super) fn tell_starts(&self) -> bool {
        self.told * 2 > self.ids.len()
    }

    /// The members of a key's home: those whose hashed ids begin as the key does. Homes are equal parts of the space
    /// of hashes, so all boxes agree on them, and a member that comes or goes changes one.
    pub(super) fn home(&self, key: u64) -> impl Iterator<Item = &Name> {
        let homes = self.ids.len().div_ceil(HOME).next_power_of_two();
        let rest = u64::MAX.checked_shr(homes.ilog2()).unwrap_or(0);
        let first = mix(key, HOME_SALT) & !rest;
        let from = (first, Name::from(""));
        let members = self
            .by_hash
            .range((Bound::Included(from), Bound::Unbounded));
        members
            .take_while(move |(hash, _)| *hash <= first | rest)
            .map(|(_, id)| id)
    }

    /// Up to `count` members, drawn at random by the seed.
    pub(super) fn drawn(&self, seed: u64, count: u64) -> impl Iterator<Item = &Name> {
        let all = self.ids.len().max(1) as u64;
        let places = (0..count).map(|turn| mix(seed, turn) % all);
        let places: BTreeSet<u64> = places.collect();
        places
            .into_iter()
            .filter_map(|at| self.ids.get(usize::try_from(at).ok()?))
    }
}
