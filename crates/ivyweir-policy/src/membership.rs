//! Membership: a gossip protocol that spreads heartbeat counters between boxes. The box list of the
//! platform supplies initial addresses and the expected members.

use std::collections::HashMap;

use crate::hash::{hash64, mix};
use crate::{BoxKind, BoxList, BoxState, Name};

/// Gossip interval, failure detection timeouts and fan-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GossipTiming {
    /// Interval between two exchanges of a box.
    pub period_ms: u64,
    /// Time without a new heartbeat after which a member is suspect and gets no new work.
    pub suspect_ms: u64,
    /// Time without a new heartbeat after which a member is considered dead.
    pub dead_ms: u64,
    /// Time without a new heartbeat after which a member is removed from the table. Records of that
    /// incarnation received later are ignored.
    pub forget_ms: u64,
    /// Number of partners per exchange.
    pub fanout: usize,
}

impl GossipTiming {
    /// Timing for a fleet of `boxes`. An update takes about log2(`boxes`) exchanges to reach all
    /// boxes, so the suspect timeout grows with that.
    pub fn for_fleet(boxes: usize) -> Self {
        let rounds = u64::from(usize::BITS - boxes.max(2).leading_zeros());
        let period_ms = match boxes {
            0..=SMALL_FLEET_MAX_BOXES => 250,
            _ if boxes <= MEDIUM_FLEET_MAX_BOXES => 500,
            // Each digest lists all members, so larger fleets exchange digests less often.
            _ => 750,
        };
        let fanout = if boxes <= TINY_FLEET_MAX_BOXES { 2 } else { 1 };
        let suspect_ms = period_ms * (4 + rounds);
        Self {
            period_ms,
            suspect_ms,
            dead_ms: 2 * suspect_ms,
            forget_ms: FORGET_MS,
            fanout,
        }
    }
}

const TINY_FLEET_MAX_BOXES: usize = 5;
const SMALL_FLEET_MAX_BOXES: usize = 32;
const MEDIUM_FLEET_MAX_BOXES: usize = 200;
const FORGET_MS: u64 = 60_000;

/// State of a member, as exchanged between boxes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the box.
    pub name: Name,
    /// Increases with each start of the box.
    pub incarnation: u64,
    /// Increases with each exchange of the box.
    pub heartbeat: u64,
    /// Whether the box is leaving and takes no new work.
    pub leaving: bool,
    /// The box's hall.
    pub hall: Name,
    /// IP address and port of the box's peer protocol.
    pub peer_addr: Name,
    /// The box and incarnation that took over the sessions of this box.
    pub successor: Option<(Name, u64)>,
    /// Generation of the configuration active on the box.
    pub generation: u64,
}

/// A heartbeat update for a member whose full state the receiver already has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// Short id of the member, from [`member_id`].
    pub member_id: u32,
    /// The heartbeat counter.
    pub heartbeat: u64,
    /// Generation of the configuration active on the member.
    pub generation: u64,
}

/// Health of a member, according to the time since its heartbeat last increased.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Within the suspect timeout.
    Alive,
    /// Between the suspect timeout and the dead timeout.
    Suspect,
    /// Beyond the dead timeout, or unknown.
    Dead,
}

#[derive(Debug, Clone)]
struct Row {
    member: Member,
    last_heartbeat_ms: u64,
}

/// All members known to this box.
#[derive(Debug)]
pub struct MemberTable {
    local: Member,
    rows: HashMap<Name, Row>,
    /// Highest removed incarnation, by box name.
    tombstones: HashMap<Name, u64>,
    names_by_id: HashMap<u32, Name>,
    /// Name, peer address and hall of each entry box on the last box list.
    listed: Vec<(Name, Name, Name)>,
    /// Pseudo-random state that determines the order of exchange partners.
    shuffle_seed: u64,
}

/// Returns the short id that identifies a member incarnation in heartbeats.
pub fn member_id(name: &str, incarnation: u64) -> u32 {
    hash64(&[name.as_bytes(), &incarnation.to_le_bytes()]) as u32
}

impl MemberTable {
    /// Creates a table that contains only this box.
    pub fn new(local: Member) -> Self {
        let mut table = Self {
            local: local.clone(),
            rows: HashMap::new(),
            tombstones: HashMap::new(),
            names_by_id: HashMap::new(),
            listed: Vec::new(),
            shuffle_seed: hash64(&[local.name.as_bytes()]),
        };
        table
            .names_by_id
            .insert(member_id(&local.name, local.incarnation), local.name);
        table
    }

    /// This box's own state.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Advances this box's heartbeat.
    pub fn increment_heartbeat(&mut self) {
        self.local.heartbeat += 1;
    }

    /// Sets the address at which peers reach this box.
    pub fn set_peer_addr(&mut self, peer_addr: Name) {
        self.local.peer_addr = peer_addr;
    }

    /// Sets the generation of the configuration that is active on this box.
    pub fn set_generation(&mut self, generation: u64) {
        self.local.generation = generation;
    }

    /// Returns the heartbeats of all members that are not dead, this box first.
    pub fn heartbeats(&self, timing: &GossipTiming, now_ms: u64) -> Vec<Heartbeat> {
        self.members()
            .filter(|m| self.health(&m.name, timing, now_ms) != Health::Dead)
            .map(|m| Heartbeat {
                member_id: member_id(&m.name, m.incarnation),
                heartbeat: m.heartbeat,
                generation: m.generation,
            })
            .collect()
    }

    /// Marks this box as leaving: it takes no new work.
    pub fn set_leaving(&mut self) {
        self.local.leaving = true;
    }

    /// Sets the box that took over the sessions of this box.
    pub fn set_successor(&mut self, successor: (Name, u64)) {
        self.local.successor = Some(successor);
    }

    /// Applies a box list: replaces the listed boxes and marks members that the list shows as
    /// leaving.
    pub fn apply_box_list(&mut self, list: &BoxList) {
        let entries = list.boxes.iter().filter(|b| b.kind == BoxKind::Entry);
        self.listed = entries
            .clone()
            .map(|b| (b.name.clone(), b.addr.clone(), b.hall.clone()))
            .collect();
        for entry in entries.filter(|b| b.state == BoxState::Leaving) {
            if let Some(row) = self.rows.get_mut(&entry.name) {
                row.member.leaving = true;
            }
        }
    }

    /// Merges a member's state received from another box. Returns whether anything changed.
    pub fn merge(&mut self, received: Member, now_ms: u64) -> bool {
        if received.name == self.local.name {
            return false;
        }
        let removed_incarnation = self.tombstones.get(&received.name).copied().unwrap_or(0);
        if received.incarnation <= removed_incarnation {
            return false;
        }
        match self.rows.get_mut(&received.name) {
            Some(row) if received.incarnation < row.member.incarnation => false,
            Some(row) if received.incarnation == row.member.incarnation => {
                let heartbeat_advanced = received.heartbeat > row.member.heartbeat;
                if heartbeat_advanced {
                    row.member.heartbeat = received.heartbeat;
                    row.member.generation = received.generation.max(row.member.generation);
                    row.last_heartbeat_ms = now_ms;
                }
                let now_leaving = received.leaving && !row.member.leaving;
                row.member.leaving |= received.leaving;
                let new_successor = received.successor.is_some() && row.member.successor.is_none();
                if new_successor {
                    row.member.successor = received.successor;
                }
                heartbeat_advanced || now_leaving || new_successor
            }
            _ => {
                let id = member_id(&received.name, received.incarnation);
                self.names_by_id.insert(id, received.name.clone());
                let row = Row {
                    member: received,
                    last_heartbeat_ms: now_ms,
                };
                self.rows.insert(row.member.name.clone(), row);
                true
            }
        }
    }

    /// Merges a received heartbeat. Returns false if the member is unknown.
    pub fn merge_heartbeat(&mut self, received: Heartbeat, now_ms: u64) -> bool {
        let Heartbeat {
            member_id: id,
            heartbeat,
            generation,
        } = received;
        let Some(name) = self.names_by_id.get(&id) else {
            return false;
        };
        if let Some(row) = self.rows.get_mut(name) {
            let same_incarnation = member_id(&row.member.name, row.member.incarnation) == id;
            if same_incarnation && heartbeat > row.member.heartbeat {
                row.member.heartbeat = heartbeat;
                row.member.generation = generation.max(row.member.generation);
                row.last_heartbeat_ms = now_ms;
            }
        }
        true
    }

    /// Removes members without a new heartbeat for longer than `forget_ms`, and records their
    /// incarnations so that outdated records cannot add them again.
    pub fn remove_expired(&mut self, timing: &GossipTiming, now_ms: u64) {
        let expired: Vec<Name> = self
            .rows
            .values()
            .filter(|row| now_ms.saturating_sub(row.last_heartbeat_ms) > timing.forget_ms)
            .map(|row| row.member.name.clone())
            .collect();
        for name in expired {
            let row = self
                .rows
                .remove(&name)
                .expect("expired member is in the table");
            self.names_by_id
                .remove(&member_id(&name, row.member.incarnation));
            self.tombstones.insert(name, row.member.incarnation);
        }
    }

    /// Returns the health of a member. This box is always alive, and an unknown box is dead.
    pub fn health(&self, name: &str, timing: &GossipTiming, now_ms: u64) -> Health {
        if name == self.local.name.as_ref() {
            return Health::Alive;
        }
        let Some(row) = self.rows.get(name) else {
            return Health::Dead;
        };
        let silent_ms = now_ms.saturating_sub(row.last_heartbeat_ms);
        if silent_ms > timing.dead_ms {
            Health::Dead
        } else if silent_ms > timing.suspect_ms {
            Health::Suspect
        } else {
            Health::Alive
        }
    }

    /// Returns a member by name; this box is included.
    pub fn get(&self, name: &str) -> Option<&Member> {
        if name == self.local.name.as_ref() {
            return Some(&self.local);
        }
        self.rows.get(name).map(|row| &row.member)
    }

    /// Iterates over all known members, this box first.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.local).chain(self.rows.values().map(|row| &row.member))
    }

    /// Returns the members that are alive and not leaving, sorted by name. This box is included
    /// unless it is leaving.
    pub fn serving(&self, timing: &GossipTiming, now_ms: u64) -> Vec<Member> {
        let mut serving: Vec<Member> = self
            .members()
            .filter(|m| !m.leaving && self.health(&m.name, timing, now_ms) == Health::Alive)
            .cloned()
            .collect();
        serving.sort_by(|a, b| a.name.cmp(&b.name));
        serving
    }

    /// Returns the number of boxes on the last box list and how many of those are alive. This box
    /// is counted in both.
    pub fn listed_and_alive_counts(&self, timing: &GossipTiming, now_ms: u64) -> (usize, usize) {
        let others = self
            .listed
            .iter()
            .filter(|(name, ..)| *name != self.local.name);
        let alive = others
            .clone()
            .filter(|(name, ..)| self.health(name, timing, now_ms) == Health::Alive)
            .count();
        (others.count() + 1, alive + 1)
    }

    /// Returns a digest of the names, incarnations, leaving flags and successors of all members.
    /// Two boxes with equal digests know the same members.
    pub fn digest(&self) -> u64 {
        self.members()
            .map(|m| u64::from(member_id(&m.name, m.incarnation)) ^ status_bits(m))
            .fold(0, |sum, id| sum.wrapping_add(mix(id, 1)))
    }

    /// Returns the addresses to exchange with next: pseudo-randomly chosen members that are not
    /// dead, inside and outside this hall, and at times a listed box that is not alive.
    pub fn next_partners(&mut self, timing: &GossipTiming, now_ms: u64) -> Vec<Name> {
        self.shuffle_seed = mix(self.shuffle_seed, now_ms);
        let mut candidates: Vec<&Row> = self
            .rows
            .values()
            .filter(|row| now_ms.saturating_sub(row.last_heartbeat_ms) <= timing.dead_ms)
            .collect();
        candidates.sort_by_key(|row| mix(self.shuffle_seed, hash64(&[row.member.name.as_bytes()])));
        let mut addrs: Vec<Name> = Vec::new();
        // Exchanges both within the hall and across halls keep the whole fleet connected.
        let same_hall = candidates
            .iter()
            .find(|row| row.member.hall == self.local.hall);
        let other_hall = candidates
            .iter()
            .find(|row| row.member.hall != self.local.hall);
        let partners = if self.shuffle_seed.is_multiple_of(2) {
            [same_hall, other_hall]
        } else {
            [other_hall, same_hall]
        };
        addrs.extend(
            partners
                .into_iter()
                .flatten()
                .map(|row| row.member.peer_addr.clone()),
        );
        addrs.truncate(timing.fanout);
        addrs.extend(self.unreachable_seed(timing, now_ms));
        addrs
    }

    /// Returns the address of a listed box that is not alive according to this table, so that boxes
    /// that are not known yet or have come back are found. Once other members are known, this is
    /// done in one of four exchanges on average.
    fn unreachable_seed(&self, timing: &GossipTiming, now_ms: u64) -> Option<Name> {
        const TRY_ONE_IN: u64 = 4;
        if !self.rows.is_empty() && !self.shuffle_seed.is_multiple_of(TRY_ONE_IN) {
            return None;
        }
        let not_alive: Vec<&Name> = self
            .listed
            .iter()
            .filter(|(name, ..)| self.health(name, timing, now_ms) != Health::Alive)
            .map(|(_, addr, _)| addr)
            .collect();
        let index = self.shuffle_seed.checked_rem(not_alive.len() as u64)?;
        Some(not_alive[index as usize].clone())
    }
}

/// Encodes the leaving flag and the successor's incarnation for the digest.
fn status_bits(member: &Member) -> u64 {
    let successor = member.successor.as_ref().map_or(0, |s| s.1 | 1);
    u64::from(member.leaving) << 63 ^ successor.rotate_left(7)
}
