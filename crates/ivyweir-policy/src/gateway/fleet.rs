//! Membership of the upstreams known to a box, from the registry and from its own observations.

mod index;

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::hash::hash64;
use index::PoolIndex;

/// Number of ids of removed upstreams that are kept; an id is never reused.
const MAX_RECENT_IDS: usize = 4_096;

/// The registry's record of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Id of this incarnation. All state of an upstream is stored under it, so that states of different incarnations
    /// are never mixed.
    pub id: Name,
    /// Its pool.
    pub pool: Name,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Its hall.
    pub hall: Name,
    /// Version of the software that it runs.
    pub version: Name,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it has announced that it leaves.
    pub is_leaving: bool,
    /// Remaining time for which it is cold.
    #[serde(default)]
    pub cold_remaining_ms: u64,
    /// Whether the platform may reclaim it at short notice.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_spot: bool,
    /// Its name in the registry and in its own messages, if that differs from its id: it keeps the name after a
    /// restart.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub registered_as: Option<Name>,
}

impl UpstreamRecord {
    /// Its name in the registry and in its own messages.
    pub fn name(&self) -> &Name {
        self.registered_as.as_ref().unwrap_or(&self.id)
    }

    /// The id of the incarnation that started at this time. A restarted upstream counts as another upstream, since it
    /// has lost its state. The order of incarnations comes from the registry, since the wall clock may step.
    pub fn incarnation_id(name: &str, started_at_ms: u64) -> Name {
        format!("{name}@{started_at_ms}").into()
    }
}

/// Membership state of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// It accepts requests.
    Ready,
    /// Its record disappeared without notice; it may return.
    Lapsed {
        /// When the disappearance was observed.
        since_ms: u64,
    },
}

/// An upstream with its membership state.
#[derive(Debug, Clone)]
pub struct Member {
    /// The latest record from the registry.
    pub record: Arc<UpstreamRecord>,
    /// Its membership state.
    pub state: MemberState,
    /// Hash of its id.
    pub id_hash: u64,
    /// End of its cold phase according to its record, counted from the record's receipt.
    cold_until_ms: u64,
    /// Time until which it is assumed to be cold regardless of its record.
    assumed_cold_until_ms: u64,
}

impl Member {
    fn is_ready(&self) -> bool {
        self.state == MemberState::Ready
    }

    fn pool_addr(&self) -> PoolAddr {
        (self.record.pool.clone(), self.record.addr)
    }

    /// Remaining time for which it is cold; 0 if it is not.
    pub fn cold_for_ms(&self, now_ms: u64) -> u64 {
        let until_ms = self.cold_until_ms.max(self.assumed_cold_until_ms);
        until_ms.saturating_sub(now_ms)
    }
}

/// Change of membership caused by a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetChange {
    /// An upstream was added.
    Joined,
    /// A lapsed upstream returned.
    Returned,
    /// An upstream announced that it leaves.
    Leaving,
    /// An upstream's record disappeared.
    Lapsed,
    /// No change that affects decisions.
    Nothing,
}

/// A pool and an address: another service may reuse the address of an upstream that left.
type PoolAddr = (Name, SocketAddr);

/// All upstreams that may be used, by id.
#[derive(Debug, Default)]
pub struct Fleet {
    members: HashMap<Name, Member>,
    /// Id of the latest incarnation under each registry name.
    ids_by_name: HashMap<Name, Name>,
    /// The member that holds each address: the first one of its pool with a record for the address, until that record
    /// disappears. Another record with the same address comes from another writer or from the next upstream there. If
    /// the holder is not the upstream at the address, the upstream's first answer reveals it, and the next claimant
    /// becomes the holder.
    addr_holders: HashMap<PoolAddr, Name>,
    /// All members whose records contain an address.
    addr_claimants: HashMap<PoolAddr, Vec<Name>>,
    /// Incarnations replaced by a later one of the same name, until `take_replaced` returns them.
    replaced: Vec<Arc<UpstreamRecord>>,
    left_ids: RecentIds,
    /// Upstreams that were removed some time after they lapsed.
    expired_ids: RecentIds,
    replaced_ids: RecentIds,
    pools: HashMap<Name, PoolIndex>,
    /// Members whose records disappeared.
    lapsed_ids: HashSet<Name>,
    /// Number of membership changes.
    revision: u64,
}

/// A bounded set of ids; the oldest are evicted.
#[derive(Debug, Default)]
struct RecentIds {
    ids: HashSet<Name>,
    order: VecDeque<Name>,
}

impl RecentIds {
    /// Adds an id; returns whether it is new.
    fn insert(&mut self, id: &Name) -> bool {
        if !self.ids.insert(id.clone()) {
            return false;
        }
        self.order.push_back(id.clone());
        if self.order.len() > MAX_RECENT_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
        true
    }

    fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }
}

impl Fleet {
    /// Adds or updates an upstream.
    pub fn put(&mut self, record: UpstreamRecord, now_ms: u64) -> FleetChange {
        if self.left_ids.contains(&record.id) {
            return FleetChange::Nothing;
        }
        self.remove_previous_incarnation(&record);
        if record.is_leaving {
            return self.mark_left(&record.id);
        }
        let known = self.members.get(&record.id);
        let before = known.map(|m| m.state);
        let id_hash = known.map_or_else(|| hash64(&[record.id.as_bytes()]), |m| m.id_hash);
        let has_start_time = record.registered_as.is_some();
        let member = Member {
            cold_until_ms: now_ms.saturating_add(record.cold_remaining_ms),
            assumed_cold_until_ms: known.map_or(0, |m| m.assumed_cold_until_ms),
            id_hash,
            record: Arc::new(record),
            state: MemberState::Ready,
        };
        self.revision += 1;
        self.lapsed_ids.remove(&member.record.id);
        let (id, addr) = (member.record.id.clone(), member.pool_addr());
        let before_addr = self
            .members
            .insert(id.clone(), member)
            .map(|m| m.pool_addr());
        if before_addr.as_ref() != Some(&addr) {
            let claimants = self.addr_claimants.entry(addr.clone()).or_default();
            claimants.push(id.clone());
            if let Some(previous) = before_addr {
                self.release_addr(&previous, &id);
                self.remove_claimant(&previous, &id);
                let pool = self.pools.entry(previous.0).or_default();
                pool.remove(&id, id_hash, has_start_time);
            }
            let pool = self.pools.entry(addr.0.clone()).or_default();
            pool.add(&id, id_hash, has_start_time);
        }
        self.claim_addr(addr, &id);
        match before {
            None => FleetChange::Joined,
            Some(MemberState::Lapsed { .. }) => FleetChange::Returned,
            Some(MemberState::Ready) => FleetChange::Nothing,
        }
    }

    /// Makes a member the holder of an address unless another ready member holds it.
    fn claim_addr(&mut self, addr: PoolAddr, id: &Name) {
        let is_free = match self.addr_holders.get(&addr) {
            Some(other) => !self.members.get(other).is_some_and(Member::is_ready),
            None => true,
        };
        if is_free {
            self.addr_holders.insert(addr, id.clone());
        }
    }

    /// Removes a member as the holder of an address; another ready claimant becomes the holder.
    fn release_addr(&mut self, addr: &PoolAddr, id: &Name) {
        if self.addr_holders.get(addr) != Some(id) {
            return;
        }
        self.addr_holders.remove(addr);
        let others = self.addr_claimants.get(addr).into_iter().flatten();
        let others = others.filter(|other| {
            let member = self.members.get(*other);
            *other != id && member.is_some_and(Member::is_ready)
        });
        // The minimum makes all boxes choose the same one.
        if let Some(next) = others.min().cloned() {
            self.addr_holders.insert(addr.clone(), next);
        }
    }

    /// Removes a member from the claimants of an address.
    fn remove_claimant(&mut self, addr: &PoolAddr, id: &Name) {
        if let Some(claimants) = self.addr_claimants.get_mut(addr) {
            claimants.retain(|other| other != id);
            if claimants.is_empty() {
                self.addr_claimants.remove(addr);
            }
        }
    }

    fn remove(&mut self, id: &Name) {
        let Some(member) = self.members.remove(id) else {
            return;
        };
        let addr = member.pool_addr();
        self.lapsed_ids.remove(id);
        self.revision += 1;
        self.release_addr(&addr, id);
        self.remove_claimant(&addr, id);
        if let Some(pool) = self.pools.get_mut(&addr.0) {
            pool.remove(id, member.id_hash, member.record.registered_as.is_some());
        }
    }

    /// Whether no other member is known to hold a member's address.
    fn holds_addr(&self, member: &Member) -> bool {
        let holder = self.addr_holders.get(&member.pool_addr());
        holder.is_none_or(|id| *id == member.record.id)
    }

    /// Removes the previous incarnation under a record's name: it has ended, whether or not that was observed, and an
    /// outdated list does not restore it.
    fn remove_previous_incarnation(&mut self, record: &UpstreamRecord) {
        let previous = self
            .ids_by_name
            .insert(record.name().clone(), record.id.clone());
        let Some(previous) = previous.filter(|previous| *previous != record.id) else {
            return;
        };
        if let Some(member) = self.members.get(&previous) {
            self.replaced.push(member.record.clone());
        }
        self.replaced_ids.insert(&previous);
        self.mark_left(&previous);
    }

    /// Whether a later incarnation has replaced this one.
    pub fn is_replaced(&self, id: &str) -> bool {
        self.replaced_ids.contains(id)
    }

    /// Returns the incarnations replaced since the last call.
    pub fn take_replaced(&mut self) -> Vec<Arc<UpstreamRecord>> {
        std::mem::take(&mut self.replaced)
    }

    /// Assumes the upstreams of a hall to be cold until `until_ms`, regardless of their records: they may have become
    /// cold since the records were written.
    pub fn assume_cold(&mut self, hall: &str, until_ms: impl Fn(&UpstreamRecord) -> u64) {
        let in_hall = self.members.values_mut();
        for member in in_hall.filter(|m| &*m.record.hall == hall) {
            member.assumed_cold_until_ms = until_ms(&member.record);
        }
    }

    /// The member with this id.
    pub fn member(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Marks the upstream of this name as lapsed: its record disappeared.
    pub fn mark_lapsed(&mut self, name: &str, now_ms: u64) -> FleetChange {
        let id = self.ids_by_name.get(name).cloned();
        match id.and_then(|id| self.members.get_mut(&id)) {
            Some(member) if member.state == MemberState::Ready => {
                member.state = MemberState::Lapsed { since_ms: now_ms };
                let (addr, id) = (member.pool_addr(), member.record.id.clone());
                self.lapsed_ids.insert(id.clone());
                self.revision += 1;
                self.release_addr(&addr, &id);
                FleetChange::Lapsed
            }
            _ => FleetChange::Nothing,
        }
    }

    /// Removes an upstream for good: it leaves, or another one answers at its address.
    pub fn mark_left(&mut self, id: &Name) -> FleetChange {
        if !self.left_ids.insert(id) {
            return FleetChange::Nothing;
        }
        self.remove(id);
        FleetChange::Leaving
    }

    /// Replaces the membership by a complete listing; returns the changes.
    pub fn replace_all(
        &mut self,
        records: Vec<UpstreamRecord>,
        now_ms: u64,
    ) -> Vec<(Name, FleetChange)> {
        let listed: HashSet<&Name> = records.iter().map(UpstreamRecord::name).collect();
        let names = self.members.values().map(|member| member.record.name());
        let missing = names.filter(|name| !listed.contains(*name));
        let missing: Vec<Name> = missing.cloned().collect();
        let mut changes: Vec<(Name, FleetChange)> = Vec::new();
        for name in missing {
            let change = self.mark_lapsed(&name, now_ms);
            changes.push((name, change));
        }
        for record in records {
            let id = record.id.clone();
            changes.push((id, self.put(record, now_ms)));
        }
        changes.retain(|(_, change)| *change != FleetChange::Nothing);
        changes
    }

    /// Merges a listing that may lack current records and contain removed ones; returns the changes.
    ///
    /// Missing upstreams are kept, and lapsed or expired ones do not return.
    pub fn merge(&mut self, records: Vec<UpstreamRecord>, now_ms: u64) -> Vec<(Name, FleetChange)> {
        let mut changes = Vec::new();
        for record in records {
            if !record.is_leaving && self.is_lapsed_or_expired(&record.id) {
                continue;
            }
            let id = record.id.clone();
            changes.push((id, self.put(record, now_ms)));
        }
        changes.retain(|(_, change)| *change != FleetChange::Nothing);
        changes
    }

    fn is_lapsed_or_expired(&self, id: &str) -> bool {
        match self.members.get(id) {
            Some(member) => !member.is_ready(),
            None => self.expired_ids.contains(id),
        }
    }

    /// Removes upstreams that lapsed `grace_ms` ago or earlier; returns their ids.
    pub fn expire_lapsed(&mut self, grace_ms: u64, now_ms: u64) -> Vec<Name> {
        let is_expired = |id: &&Name| match self.members.get(*id).map(|m| m.state) {
            Some(MemberState::Lapsed { since_ms }) => now_ms >= since_ms + grace_ms,
            _ => false,
        };
        let ids: Vec<Name> = self.lapsed_ids.iter().filter(is_expired).cloned().collect();
        for id in &ids {
            self.remove(id);
            self.expired_ids.insert(id);
        }
        // A name is kept after its member's removal, so that the next incarnation is recognized as a later one.
        if self.ids_by_name.len() > self.members.len() + MAX_RECENT_IDS {
            let members = &self.members;
            self.ids_by_name.retain(|_, id| members.contains_key(id));
        }
        ids
    }

    /// Usable upstreams of a pool: the ready ones, or the lapsed ones if none is ready.
    ///
    /// If a whole pool lapses at once, the cause is more likely the registry than the upstreams. A record without a
    /// start time in a pool where most records have one comes from another writer and is ignored.
    pub fn usable(
        &self,
        pool: &str,
        may_serve: impl Fn(&UpstreamRecord) -> bool,
    ) -> Vec<Arc<UpstreamRecord>> {
        let mut of_pool: Vec<&Member> = Vec::new();
        let mut with_start_time = 0;
        for member in self.members.values().filter(|m| &*m.record.pool == pool) {
            with_start_time += usize::from(member.record.registered_as.is_some());
            of_pool.push(member);
        }
        let requires_start_time = with_start_time * 2 > of_pool.len();
        of_pool.retain(|member| {
            let is_accepted = !requires_start_time || member.record.registered_as.is_some();
            is_accepted && may_serve(&member.record) && self.holds_addr(member)
        });
        let has_ready = of_pool.iter().any(|member| member.is_ready());
        of_pool.retain(|member| member.is_ready() == has_ready);
        let records = of_pool.into_iter().map(|member| member.record.clone());
        records.collect()
    }

    /// Number of members of a pool.
    pub fn pool_len(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, PoolIndex::len)
    }

    /// Ready upstreams of a key's partition of a large pool.
    pub fn usable_in_partition(
        &self,
        pool: &str,
        key: u64,
        may_serve: impl Fn(&UpstreamRecord) -> bool,
    ) -> Vec<Arc<UpstreamRecord>> {
        let Some(index) = self.pools.get(pool) else {
            return Vec::new();
        };
        self.usable_of(index, index.partition(key), may_serve)
    }

    /// Ready ones of up to `count` random upstreams of a large pool, determined by the seed.
    pub fn usable_sample(
        &self,
        pool: &str,
        seed: u64,
        count: u64,
        may_serve: impl Fn(&UpstreamRecord) -> bool,
    ) -> Vec<Arc<UpstreamRecord>> {
        let Some(index) = self.pools.get(pool) else {
            return Vec::new();
        };
        self.usable_of(index, index.sample(seed, count), may_serve)
    }

    fn usable_of<'a>(
        &self,
        pool: &PoolIndex,
        ids: impl Iterator<Item = &'a Name>,
        may_serve: impl Fn(&UpstreamRecord) -> bool,
    ) -> Vec<Arc<UpstreamRecord>> {
        let requires_start_time = pool.mostly_has_start_time();
        let members = ids.filter_map(|id| self.members.get(id));
        let usable = members.filter(|member| {
            let is_accepted = !requires_start_time || member.record.registered_as.is_some();
            is_accepted && member.is_ready() && may_serve(&member.record) && self.holds_addr(member)
        });
        usable.map(|member| member.record.clone()).collect()
    }

    /// Revision of the membership; it increases with every change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }
}
