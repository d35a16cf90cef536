//! The upstreams a box knows, from the registry and from what it saw itself.

mod index;

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::hash::hash64;
use index::PoolIndex;

/// Ids of upstreams that left which are remembered; an id is never used again.
const LEFT_KEPT: usize = 4_096;

/// What the registry says of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Id of this incarnation. All that a box keeps of an upstream is kept under it, so nothing of an incarnation
    /// is taken for another's.
    pub id: Name,
    /// Its pool.
    pub pool: Name,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its hall.
    pub hall: Name,
    /// Version of what it runs.
    pub version: Name,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// Time for which it is still cold.
    #[serde(default)]
    pub cold_remaining_ms: u64,
    /// Whether the platform may take it away at short notice.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_spot: bool,
    /// What the registry and the upstream itself call it, where that is not its id: it may start again under
    /// that name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub registered_as: Option<Name>,
}

impl UpstreamRecord {
    /// What the registry and the upstream itself call it.
    pub fn name(&self) -> &Name {
        self.registered_as.as_ref().unwrap_or(&self.id)
    }

    /// The id of the incarnation of an upstream that started at this time: another start is another upstream, which
    /// knows nothing of before. The order of starts is the registry's, since a time of day may step.
    pub fn incarnation_id(name: &str, started_at_ms: u64) -> Name {
        format!("{name}@{started_at_ms}").into()
    }
}

/// How far an upstream may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It takes work.
    Ready,
    /// Its record is gone without a notice; it may come back.
    Lapsed {
        /// When that was seen.
        since_ms: u64,
    },
}

/// An upstream and its standing.
#[derive(Debug, Clone)]
pub struct Member {
    /// What the registry last said.
    pub record: Arc<UpstreamRecord>,
    /// How far it may be used.
    pub standing: Standing,
    /// Hash of its id.
    pub id_hash: u64,
    /// Until when it is cold by its record, counted from when that was heard.
    cold_until_ms: u64,
    /// Until when it is taken to be cold whatever its record says.
    assumed_cold_until_ms: u64,
}

impl Member {
    fn is_ready(&self) -> bool {
        self.standing == Standing::Ready
    }

    fn place(&self) -> Place {
        (self.record.pool.clone(), self.record.addr)
    }

    /// Time for which it is still cold; 0 where it is not.
    pub fn cold_for_ms(&self, now_ms: u64) -> u64 {
        let until_ms = self.cold_until_ms.max(self.assumed_cold_until_ms);
        until_ms.saturating_sub(now_ms)
    }
}

/// What a record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetChange {
    /// An upstream was added.
    Joined,
    /// A lapsed one is back.
    Returned,
    /// It announced that it leaves.
    Leaving,
    /// Its record is gone.
    Lapsed,
    /// Nothing that decisions depend on.
    Nothing,
}

/// A pool and an address: another service may have the address of an upstream that is gone.
type Place = (Name, SocketAddr);

/// All upstreams that may be used, by id.
#[derive(Debug, Default)]
pub struct Fleet {
    members: HashMap<Name, Member>,
    /// The member of each name in the registry.
    ids: HashMap<Name, Name>,
    /// The member that is at each address: the first of its pool that named it, until its record is gone. Another
    /// record that names it too is another writer's, or the next upstream's there. If the first one is not who is
    /// there, the upstream says so when it is first asked, and the next one takes its place.
    at: HashMap<Place, Name>,
    /// All members that name an address.
    naming: HashMap<Place, Vec<Name>>,
    /// Incarnations that others replaced under their names, until they are taken.
    replaced: Vec<Arc<UpstreamRecord>>,
    left: RecentIds,
    /// Upstreams that were removed some time after they lapsed.
    forgotten: RecentIds,
    replaced_ids: RecentIds,
    pools: HashMap<Name, PoolIndex>,
    /// Members whose records are gone.
    lapsed: HashSet<Name>,
    /// Counts how often members changed.
    revision: u64,
}

/// Ids, the oldest of which are forgotten.
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
        if self.order.len() > LEFT_KEPT
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
    /// Takes in a record.
    pub fn put(&mut self, record: UpstreamRecord, now_ms: u64) -> FleetChange {
        if self.left.contains(&record.id) {
            return FleetChange::Nothing;
        }
        self.replace_earlier(&record);
        if record.is_leaving {
            return self.leave(&record.id);
        }
        let known = self.members.get(&record.id);
        let before = known.map(|m| m.standing);
        let id_hash = known.map_or_else(|| hash64(&[record.id.as_bytes()]), |m| m.id_hash);
        let tells_start = record.registered_as.is_some();
        let member = Member {
            cold_until_ms: now_ms.saturating_add(record.cold_remaining_ms),
            assumed_cold_until_ms: known.map_or(0, |m| m.assumed_cold_until_ms),
            id_hash,
            record: Arc::new(record),
            standing: Standing::Ready,
        };
        self.revision += 1;
        self.lapsed.remove(&member.record.id);
        let (id, place) = (member.record.id.clone(), member.place());
        let before_place = self.members.insert(id.clone(), member).map(|m| m.place());
        if before_place.as_ref() != Some(&place) {
            let naming = self.naming.entry(place.clone()).or_default();
            naming.push(id.clone());
            if let Some(left) = before_place {
                self.vacate(&left, &id);
                self.name_no_more(&left, &id);
                let pool = self.pools.entry(left.0).or_default();
                pool.remove(&id, id_hash, tells_start);
            }
            let pool = self.pools.entry(place.0.clone()).or_default();
            pool.add(&id, id_hash, tells_start);
        }
        self.occupy(place, &id);
        match before {
            None => FleetChange::Joined,
            Some(Standing::Lapsed { .. }) => FleetChange::Returned,
            Some(Standing::Ready) => FleetChange::Nothing,
        }
    }

    /// Takes in that a member names an address.
    fn occupy(&mut self, place: Place, id: &Name) {
        let is_free = match self.at.get(&place) {
            Some(other) => !self.members.get(other).is_some_and(Member::is_ready),
            None => true,
        };
        if is_free {
            self.at.insert(place, id.clone());
        }
    }

    /// Takes in that a member is at an address no longer; another one that names it is there now.
    fn vacate(&mut self, place: &Place, id: &Name) {
        if self.at.get(place) != Some(id) {
            return;
        }
        self.at.remove(place);
        let others = self.naming.get(place).into_iter().flatten();
        let others = others.filter(|other| {
            let member = self.members.get(*other);
            *other != id && member.is_some_and(Member::is_ready)
        });
        // The same one at each box.
        if let Some(next) = others.min().cloned() {
            self.at.insert(place.clone(), next);
        }
    }

    /// Takes in that a member names an address no longer.
    fn name_no_more(&mut self, place: &Place, id: &Name) {
        if let Some(naming) = self.naming.get_mut(place) {
            naming.retain(|other| other != id);
            if naming.is_empty() {
                self.naming.remove(place);
            }
        }
    }

    fn remove(&mut self, id: &Name) {
        let Some(member) = self.members.remove(id) else {
            return;
        };
        let place = member.place();
        self.lapsed.remove(id);
        self.revision += 1;
        self.vacate(&place, id);
        self.name_no_more(&place, id);
        if let Some(pool) = self.pools.get_mut(&place.0) {
            pool.remove(id, member.id_hash, member.record.registered_as.is_some());
        }
    }

    /// Whether nobody else is at a member's address, as far as is known.
    fn is_at_its_place(&self, member: &Member) -> bool {
        let at = self.at.get(&member.place());
        at.is_none_or(|id| *id == member.record.id)
    }

    /// Takes an earlier incarnation under a record's name out: it ended, whether anybody saw that or not, and an
    /// old list does not bring it back.
    fn replace_earlier(&mut self, record: &UpstreamRecord) {
        let earlier = self.ids.insert(record.name().clone(), record.id.clone());
        let Some(earlier) = earlier.filter(|earlier| *earlier != record.id) else {
            return;
        };
        if let Some(member) = self.members.get(&earlier) {
            self.replaced.push(member.record.clone());
        }
        self.replaced_ids.insert(&earlier);
        self.leave(&earlier);
    }

    /// Whether another incarnation has taken this one's place.
    pub fn is_replaced(&self, id: &str) -> bool {
        self.replaced_ids.contains(id)
    }

    /// Incarnations that others replaced since this was last asked.
    pub fn take_replaced(&mut self) -> Vec<Arc<UpstreamRecord>> {
        std::mem::take(&mut self.replaced)
    }

    /// Takes upstreams of a hall to be cold until then, whatever their records say: they may have turned
    /// cold since.
    pub fn assume_cold(&mut self, hall: &str, until_ms: impl Fn(&UpstreamRecord) -> u64) {
        let in_hall = self.members.values_mut();
        for member in in_hall.filter(|m| &*m.record.hall == hall) {
            member.assumed_cold_until_ms = until_ms(&member.record);
        }
    }

    /// The member of this id.
    pub fn member(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Takes in that the record of this name is gone.
    pub fn lapse(&mut self, name: &str, now_ms: u64) -> FleetChange {
        let id = self.ids.get(name).cloned();
        match id.and_then(|id| self.members.get_mut(&id)) {
            Some(member) if member.standing == Standing::Ready => {
                member.standing = Standing::Lapsed { since_ms: now_ms };
                let (place, id) = (member.place(), member.record.id.clone());
                self.lapsed.insert(id.clone());
                self.revision += 1;
                self.vacate(&place, &id);
                FleetChange::Lapsed
            }
            _ => FleetChange::Nothing,
        }
    }

    /// Takes in that an upstream leaves, or that another one answers at its address.
    pub fn leave(&mut self, id: &Name) -> FleetChange {
        if !self.left.insert(id) {
            return FleetChange::Nothing;
        }
        self.remove(id);
        FleetChange::Leaving
    }

    /// Takes in a whole listing; returns what changed.
    pub fn replace(
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
            let change = self.lapse(&name, now_ms);
            changes.push((name, change));
        }
        for record in records {
            let id = record.id.clone();
            changes.push((id, self.put(record, now_ms)));
        }
        changes.retain(|(_, change)| *change != FleetChange::Nothing);
        changes
    }

    /// Merges a listing that may lack current records and contain removed ones; returns what changed.
    ///
    /// Missing upstreams are kept, and lapsed or forgotten ones do not return.
    pub fn merge(&mut self, records: Vec<UpstreamRecord>, now_ms: u64) -> Vec<(Name, FleetChange)> {
        let mut changes = Vec::new();
        for record in records {
            if !record.is_leaving && self.is_lapsed_or_forgotten(&record.id) {
                continue;
            }
            let id = record.id.clone();
            changes.push((id, self.put(record, now_ms)));
        }
        changes.retain(|(_, change)| *change != FleetChange::Nothing);
        changes
    }

    fn is_lapsed_or_forgotten(&self, id: &str) -> bool {
        match self.members.get(id) {
            Some(member) => !member.is_ready(),
            None => self.forgotten.contains(id),
        }
    }

    /// Forgets upstreams that lapsed `grace_ms` ago or earlier; returns their ids.
    pub fn forget_lapsed(&mut self, grace_ms: u64, now_ms: u64) -> Vec<Name> {
        let is_gone = |id: &&Name| match self.members.get(*id).map(|m| m.standing) {
            Some(Standing::Lapsed { since_ms }) => now_ms >= since_ms + grace_ms,
            _ => false,
        };
        let ids: Vec<Name> = self.lapsed.iter().filter(is_gone).cloned().collect();
        for id in &ids {
            self.remove(id);
            self.forgotten.insert(id);
        }
        // A name outlasts its member, so that the next incarnation under it is known to be the later one.
        if self.ids.len() > self.members.len() + LEFT_KEPT {
            let members = &self.members;
            self.ids.retain(|_, id| members.contains_key(id));
        }
        ids
    }

    /// Upstreams of a pool: the ready ones, or the lapsed ones where none is ready.
    ///
    /// When a whole pool lapses at once, the registry is the likelier cause than the upstreams. A record that does not tell
    /// its start where most of the pool do is another writer's and names nobody.
    pub fn usable(
        &self,
        pool: &str,
        may_serve: impl Fn(&UpstreamRecord) -> bool,
    ) -> Vec<Arc<UpstreamRecord>> {
        let mut of_pool: Vec<&Member> = Vec::new();
        let mut told = 0;
        for member in self.members.values().filter(|m| &*m.record.pool == pool) {
            told += usize::from(member.record.registered_as.is_some());
            of_pool.push(member);
        }
        let tell_starts = told * 2 > of_pool.len();
        of_pool.retain(|member| {
            let tells = !tell_starts || member.record.registered_as.is_some();
            tells && may_serve(&member.record) && self.is_at_its_place(member)
        });
        let has_ready = of_pool.iter().any(|member| member.is_ready());
        of_pool.retain(|member| member.is_ready() == has_ready);
        let records = of_pool.into_iter().map(|member| member.record.clone());
        records.collect()
    }

    /// Members of a pool.
    pub fn pool_len(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, PoolIndex::len)
    }

    /// Ready upstreams of a key's home in a large pool.
    pub fn usable_home(
        &self,
        pool: &str,
        key: u64,
        may_serve: impl Fn(&UpstreamRecord) -> bool,
    ) -> Vec<Arc<UpstreamRecord>> {
        let Some(index) = self.pools.get(pool) else {
            return Vec::new();
        };
        self.usable_of(index, index.home(key), may_serve)
    }

    /// Ready ones of up to `count` upstreams of a large pool, drawn at random by the seed.
    pub fn usable_drawn(
        &self,
        pool: &str,
        seed: u64,
        count: u64,
        may_serve: impl Fn(&UpstreamRecord) -> bool,
    ) -> Vec<Arc<UpstreamRecord>> {
        let Some(index) = self.pools.get(pool) else {
            return Vec::new();
        };
        self.usable_of(index, index.drawn(seed, count), may_serve)
    }

    fn usable_of<'a>(
        &self,
        pool: &PoolIndex,
        ids: impl Iterator<Item = &'a Name>,
        may_serve: impl Fn(&UpstreamRecord) -> bool,
    ) -> Vec<Arc<UpstreamRecord>> {
        let tell_starts = pool.tell_starts();
        let members = ids.filter_map(|id| self.members.get(id));
        let usable = members.filter(|member| {
            let tells = !tell_starts || member.record.registered_as.is_some();
            tells && member.is_ready() && may_serve(&member.record) && self.is_at_its_place(member)
        });
        usable.map(|member| member.record.clone()).collect()
    }

    /// Changes whenever a member does.
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
