//! Index of each pool's upstreams by hash and by position, so that a few of many are found without a full scan.

use std::collections::{BTreeSet, HashMap};
use std::ops::Bound;

use crate::Name;
use crate::hash::mix;

/// Maximum average size of a partition.
const MAX_MEAN_PARTITION_SIZE: usize = 64;
/// Makes the choice of a partition independent of other uses of the same hash.
const PARTITION_SALT: u64 = 0x686f_6d65_686f_6d65;

/// The members of one pool.
#[derive(Debug, Default)]
pub(super) struct PoolIndex {
    by_hash: BTreeSet<(u64, Name)>,
    /// Member ids in no particular order.
    ids: Vec<Name>,
    /// Position of each member in `ids`.
    positions: HashMap<Name, usize>,
    /// Number of members whose records contain a start time.
    with_start_time: usize,
}

impl PoolIndex {
    /// Adds a member; `has_start_time` says whether its record contains a start time.
    pub(super) fn add(&mut self, id: &Name, hash: u64, has_start_time: bool) {
        if self.by_hash.insert((hash, id.clone())) {
            self.positions.insert(id.clone(), self.ids.len());
            self.ids.push(id.clone());
            self.with_start_time += usize::from(has_start_time);
        }
    }

    /// Removes a member.
    pub(super) fn remove(&mut self, id: &Name, hash: u64, has_start_time: bool) {
        if !self.by_hash.remove(&(hash, id.clone())) {
            return;
        }
        self.with_start_time -= usize::from(has_start_time);
        if let Some(at) = self.positions.remove(id) {
            self.ids.swap_remove(at);
            if let Some(moved) = self.ids.get(at) {
                self.positions.insert(moved.clone(), at);
            }
        }
    }

    /// Number of members.
    pub(super) fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether most members' records contain a start time.
    pub(super) fn mostly_has_start_time(&self) -> bool {
        self.with_start_time * 2 > self.ids.len()
    }

    /// The members of a key's partition: those whose id hashes have the same leading bits as the key. Partitions are
    /// equal ranges of the hash space, so all boxes agree on them, and a member that joins or leaves changes only one.
    pub(super) fn partition(&self, key: u64) -> impl Iterator<Item = &Name> {
        let partitions = self
            .ids
            .len()
            .div_ceil(MAX_MEAN_PARTITION_SIZE)
            .next_power_of_two();
        let suffix_mask = u64::MAX.checked_shr(partitions.ilog2()).unwrap_or(0);
        let first = mix(key, PARTITION_SALT) & !suffix_mask;
        let from = (first, Name::from(""));
        let members = self
            .by_hash
            .range((Bound::Included(from), Bound::Unbounded));
        members
            .take_while(move |(hash, _)| *hash <= first | suffix_mask)
            .map(|(_, id)| id)
    }

    /// Up to `count` random members, determined by the seed.
    pub(super) fn sample(&self, seed: u64, count: u64) -> impl Iterator<Item = &Name> {
        let all = self.ids.len().max(1) as u64;
        let positions = (0..count).map(|turn| mix(seed, turn) % all);
        let positions: BTreeSet<u64> = positions.collect();
        positions
            .into_iter()
            .filter_map(|at| self.ids.get(usize::try_from(at).ok()?))
    }
}
