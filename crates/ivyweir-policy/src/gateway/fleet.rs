//! The upstreams a box knows, from the registry and from what it saw itself.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::rank::hash64;

/// Ids of upstreams that left which are remembered; an id is never used again.
const LEFT_KEPT: usize = 4_096;

/// What the registry says of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Id of this incarnation.
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
    /// When its process started, in milliseconds since 1970 by its own clock, where it tells: it may start again
    /// under its id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_at_ms: Option<u64>,
}

impl UpstreamRecord {
    /// Hash of its id and its start: another start is another upstream, which knows nothing of before.
    pub fn incarnation(&self) -> u64 {
        match self.started_at_ms {
            Some(started_at_ms) => hash64(&[self.id.as_bytes(), &started_at_ms.to_le_bytes()]),
            None => hash64(&[self.id.as_bytes()]),
        }
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
    /// Until when it is cold by its record, counted from when that was heard.
    cold_until_ms: u64,
    /// Until when it is taken to be cold whatever its record says.
    assumed_cold_until_ms: u64,
}

impl Member {
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

/// All upstreams that may be used, by id.
#[derive(Debug, Default)]
pub struct Fleet {
    members: HashMap<Name, Member>,
    left: HashSet<Name>,
    left_order: VecDeque<Name>,
}

impl Fleet {
    /// Takes in a record.
    pub fn put(&mut self, record: UpstreamRecord, now_ms: u64) -> FleetChange {
        if record.is_leaving {
            return self.leave(&record.id);
        }
        if self.left.contains(&record.id) {
            return FleetChange::Nothing;
        }
        let known = self.members.get(&record.id);
        let before = known.map(|m| m.standing);
        let member = Member {
            cold_until_ms: now_ms.saturating_add(record.cold_remaining_ms),
            assumed_cold_until_ms: known.map_or(0, |m| m.assumed_cold_until_ms),
            record: Arc::new(record),
            standing: Standing::Ready,
        };
        self.members.insert(member.record.id.clone(), member);
        match before {
            None => FleetChange::Joined,
            Some(Standing::Lapsed { .. }) => FleetChange::Returned,
            Some(Standing::Ready) => FleetChange::Nothing,
        }
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

    /// Takes in that a record is gone.
    pub fn lapse(&mut self, id: &str, now_ms: u64) -> FleetChange {
        match self.members.get_mut(id) {
            Some(member) if member.standing == Standing::Ready => {
                member.standing = Standing::Lapsed { since_ms: now_ms };
                FleetChange::Lapsed
            }
            _ => FleetChange::Nothing,
        }
    }

    /// Takes in that an upstream leaves, or that another one answers at its address.
    pub fn leave(&mut self, id: &Name) -> FleetChange {
        if !self.left.insert(id.clone()) {
            return FleetChange::Nothing;
        }
        self.left_order.push_back(id.clone());
        if self.left_order.len() > LEFT_KEPT
            && let Some(oldest) = self.left_order.pop_front()
        {
            self.left.remove(&oldest);
        }
        self.members.remove(id);
        FleetChange::Leaving
    }

    /// Takes in a whole listing; returns what changed.
    pub fn replace(
        &mut self,
        records: Vec<UpstreamRecord>,
        now_ms: u64,
    ) -> Vec<(Name, FleetChange)> {
        let listed: HashSet<Name> = records.iter().map(|r| r.id.clone()).collect();
        let missing: Vec<Name> = self
            .members
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        let mut changes: Vec<(Name, FleetChange)> = Vec::new();
        for id in missing {
            let change = self.lapse(&id, now_ms);
            changes.push((id, change));
        }
        for record in records {
            let id = record.id.clone();
            changes.push((id, self.put(record, now_ms)));
        }
        changes.retain(|(_, change)| *change != FleetChange::Nothing);
        changes
    }

    /// Forgets upstreams that lapsed `grace_ms` ago or earlier; returns their ids.
    pub fn forget_lapsed(&mut self, grace_ms: u64, now_ms: u64) -> Vec<Name> {
        let gone = |member: &Member| match member.standing {
            Standing::Lapsed { since_ms } => now_ms >= since_ms + grace_ms,
            Standing::Ready => false,
        };
        let ids: Vec<Name> = self
            .members
            .iter()
            .filter(|(_, m)| gone(m))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &ids {
            self.members.remove(id);
        }
        ids
    }

    /// Upstreams of a pool: the ready ones, or the lapsed ones where none is ready.
    ///
    /// When a whole pool lapses at once, the registry is the likelier cause than the upstreams.
    pub fn usable(
        &self,
        pool: &str,
        may_serve: impl Fn(&UpstreamRecord) -> bool,
    ) -> Vec<Arc<UpstreamRecord>> {
        let of_standing = |ready: bool| -> Vec<Arc<UpstreamRecord>> {
            let members = self.members.values();
            members
                .filter(|m| (m.standing == Standing::Ready) == ready)
                .filter(|m| &*m.record.pool == pool && may_serve(&m.record))
                .map(|m| m.record.clone())
                .collect()
        };
        let ready = of_standing(true);
        if ready.is_empty() {
            of_standing(false)
        } else {
            ready
        }
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
