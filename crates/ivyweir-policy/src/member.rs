//! Membership: heartbeat counters that spread from box to box, seeded and checked by a box list.

use std::collections::HashMap;

use crate::hash::{hash64, mix};
use crate::{BoxKind, BoxList, BoxState, Name};

/// Times that decide over life and death of a member, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time between two exchanges of one box.
    pub period_ms: u64,
    /// Silence after which a member is suspect: nothing new is entrusted to it.
    pub suspect_ms: u64,
    /// Silence after which it is held to be dead.
    pub dead_ms: u64,
    /// Silence after which it is forgotten; later news of that incarnation is not believed.
    pub forget_ms: u64,
    /// Partners per exchange.
    pub fanout: usize,
}

impl Timing {
    /// Times for a fleet of `boxes`: news needs about log2 of the fleet in exchanges.
    pub fn for_fleet(boxes: usize) -> Self {
        let rounds = u64::from(usize::BITS - boxes.max(2).leading_zeros());
        let period_ms = match boxes {
            0..=SMALL_FLEET => 250,
            _ if boxes <= LARGE_FLEET => 500,
            // Each digest names all members, so larger fleets exchange less often.
            _ => 750,
        };
        let fanout = if boxes <= TINY_FLEET { 2 } else { 1 };
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

const TINY_FLEET: usize = 5;
const SMALL_FLEET: usize = 32;
const LARGE_FLEET: usize = 200;
const FORGET_MS: u64 = 60_000;

/// What is said of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The box.
    pub name: Name,
    /// Grows with each start of the box.
    pub incarnation: u64,
    /// Grows with each exchange of the box.
    pub heartbeat: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Its hall.
    pub hall: Name,
    /// IP address and port of its peer protocol.
    pub peer_addr: Name,
    /// The box and incarnation that took over its sessions.
    pub successor: Option<(Name, u64)>,
    /// Generation of the configuration in force there.
    pub generation: u64,
}

/// A bare heartbeat: all that is said of a member whose record is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Beat {
    /// From [`member_id`].
    pub member_id: u32,
    /// The heartbeat.
    pub heartbeat: u64,
    /// Generation of the configuration in force there.
    pub generation: u64,
}

/// How a member stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Heard of lately.
    Alive,
    /// Not heard of for a while.
    Suspect,
    /// Held to be gone.
    Dead,
}

#[derive(Debug, Clone)]
struct Row {
    record: Record,
    advanced_ms: u64,
}

/// All members that this box knows.
#[derive(Debug)]
pub struct Table {
    me: Record,
    rows: HashMap<Name, Row>,
    /// Highest incarnation forgotten, by box.
    graves: HashMap<Name, u64>,
    ids: HashMap<u32, Name>,
    listed: Vec<(Name, Name, Name)>,
    turn: u64,
}

/// The short id of a member in heartbeats.
pub fn member_id(name: &str, incarnation: u64) -> u32 {
    hash64(&[name.as_bytes(), &incarnation.to_le_bytes()]) as u32
}

impl Table {
    /// A table that knows this box only.
    pub fn new(me: Record) -> Self {
        let mut table = Self {
            me: me.clone(),
            rows: HashMap::new(),
            graves: HashMap::new(),
            ids: HashMap::new(),
            listed: Vec::new(),
            turn: hash64(&[me.name.as_bytes()]),
        };
        table
            .ids
            .insert(member_id(&me.name, me.incarnation), me.name);
        table
    }

    /// This box's own record.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// Advances this box's heartbeat.
    pub fn beat(&mut self) {
        self.me.heartbeat += 1;
    }

    /// Says where peers reach this box.
    pub fn set_peer_addr(&mut self, peer_addr: Name) {
        self.me.peer_addr = peer_addr;
    }

    /// Says which generation of the configuration is in force here.
    pub fn set_generation(&mut self, generation: u64) {
        self.me.generation = generation;
    }

    /// Heartbeats of all members that are not dead, this box first.
    pub fn beats(&self, timing: &Timing, now_ms: u64) -> Vec<Beat> {
        self.records()
            .filter(|r| self.health(&r.name, timing, now_ms) != Health::Dead)
            .map(|r| Beat {
                member_id: member_id(&r.name, r.incarnation),
                heartbeat: r.heartbeat,
                generation: r.generation,
            })
            .collect()
    }

    /// Says that this box takes no new work.
    pub fn leave(&mut self) {
        self.me.leaving = true;
    }

    /// Names the box that took over this one's sessions.
    pub fn succeed(&mut self, successor: (Name, u64)) {
        self.me.successor = Some(successor);
    }

    /// Takes in a box list: addresses to seed from, boxes that leave, boxes that are off it.
    pub fn apply_list(&mut self, list: &BoxList) {
        let entries = list.boxes.iter().filter(|b| b.kind == BoxKind::Entry);
        self.listed = entries
            .clone()
            .map(|b| (b.name.clone(), b.addr.clone(), b.hall.clone()))
            .collect();
        for entry in entries.filter(|b| b.state == BoxState::Leaving) {
            if let Some(row) = self.rows.get_mut(&entry.name) {
                row.record.leaving = true;
            }
        }
    }

    /// Takes in what another box says of a member. Returns whether it was news.
    pub fn merge(&mut self, told: Record, now_ms: u64) -> bool {
        if told.name == self.me.name {
            return false;
        }
        let buried = self.graves.get(&told.name).copied().unwrap_or(0);
        if told.incarnation <= buried {
            return false;
        }
        match self.rows.get_mut(&told.name) {
            Some(row) if told.incarnation < row.record.incarnation => false,
            Some(row) if told.incarnation == row.record.incarnation => {
                let beats = told.heartbeat > row.record.heartbeat;
                if beats {
                    row.record.heartbeat = told.heartbeat;
                    row.record.generation = told.generation.max(row.record.generation);
                    row.advanced_ms = now_ms;
                }
                let leaves = told.leaving && !row.record.leaving;
                row.record.leaving |= told.leaving;
                let succeeds = told.successor.is_some() && row.record.successor.is_none();
                if succeeds {
                    row.record.successor = told.successor;
                }
                beats || leaves || succeeds
            }
            _ => {
                let id = member_id(&told.name, told.incarnation);
                self.ids.insert(id, told.name.clone());
                let row = Row {
                    record: told,
                    advanced_ms: now_ms,
                };
                self.rows.insert(row.record.name.clone(), row);
                true
            }
        }
    }

    /// Takes in a bare heartbeat. Returns false if the member is not known.
    pub fn merge_beat(&mut self, beat: Beat, now_ms: u64) -> bool {
        let Beat {
            member_id: id,
            heartbeat,
            generation,
        } = beat;
        let Some(name) = self.ids.get(&id) else {
            return false;
        };
        if let Some(row) = self.rows.get_mut(name) {
            let same = member_id(&row.record.name, row.record.incarnation) == id;
            if same && heartbeat > row.record.heartbeat {
                row.record.heartbeat = heartbeat;
                row.record.generation = generation.max(row.record.generation);
                row.advanced_ms = now_ms;
            }
        }
        true
    }

    /// Forgets members that have been silent for long.
    pub fn expire(&mut self, timing: &Timing, now_ms: u64) {
        let forgotten: Vec<Name> = self
            .rows
            .values()
            .filter(|row| now_ms.saturating_sub(row.advanced_ms) > timing.forget_ms)
            .map(|row| row.record.name.clone())
            .collect();
        for name in forgotten {
            let row = self.rows.remove(&name).expect("the row was listed");
            self.ids.remove(&member_id(&name, row.record.incarnation));
            self.graves.insert(name, row.record.incarnation);
        }
    }

    /// Health of a member by name; this box is alive, an unknown one dead.
    pub fn health(&self, name: &str, timing: &Timing, now_ms: u64) -> Health {
        if name == self.me.name.as_ref() {
            return Health::Alive;
        }
        let Some(row) = self.rows.get(name) else {
            return Health::Dead;
        };
        let silent_ms = now_ms.saturating_sub(row.advanced_ms);
        if silent_ms > timing.dead_ms {
            Health::Dead
        } else if silent_ms > timing.suspect_ms {
            Health::Suspect
        } else {
            Health::Alive
        }
    }

    /// The record of a member, this box included.
    pub fn get(&self, name: &str) -> Option<&Record> {
        if name == self.me.name.as_ref() {
            return Some(&self.me);
        }
        self.rows.get(name).map(|row| &row.record)
    }

    /// Records of all known members, this box first.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        std::iter::once(&self.me).chain(self.rows.values().map(|row| &row.record))
    }

    /// Members that are alive and stay, this box included unless it leaves, sorted by name.
    pub fn serving(&self, timing: &Timing, now_ms: u64) -> Vec<Record> {
        let mut serving: Vec<Record> = self
            .records()
            .filter(|r| !r.leaving && self.health(&r.name, timing, now_ms) == Health::Alive)
            .cloned()
            .collect();
        serving.sort_by(|a, b| a.name.cmp(&b.name));
        serving
    }

    /// Boxes on the last list and, of those, boxes heard of lately; this box counts in both.
    pub fn listed_and_heard(&self, timing: &Timing, now_ms: u64) -> (usize, usize) {
        let others = self
            .listed
            .iter()
            .filter(|(name, ..)| *name != self.me.name);
        let heard = others
            .clone()
            .filter(|(name, ..)| self.health(name, timing, now_ms) == Health::Alive)
            .count();
        (others.count() + 1, heard + 1)
    }

    /// Digest of names and incarnations: two boxes with the same know the same members.
    pub fn digest(&self) -> u64 {
        self.records()
            .map(|r| u64::from(member_id(&r.name, r.incarnation)) ^ flags(r))
            .fold(0, |sum, id| sum.wrapping_add(mix(id, 1)))
    }

    /// Addresses to exchange with next: members in turn, across halls, and a listed box unheard of.
    pub fn partners(&mut self, timing: &Timing, now_ms: u64) -> Vec<Name> {
        self.turn = mix(self.turn, now_ms);
        let mut known: Vec<&Row> = self
            .rows
            .values()
            .filter(|row| now_ms.saturating_sub(row.advanced_ms) <= timing.dead_ms)
            .collect();
        known.sort_by_key(|row| mix(self.turn, hash64(&[row.record.name.as_bytes()])));
        let mut picked: Vec<Name> = Vec::new();
        // One partner in this hall and one outside it keep both connected.
        let in_hall = known.iter().find(|r| r.record.hall == self.me.hall);
        let outside = known.iter().find(|r| r.record.hall != self.me.hall);
        let both = if self.turn.is_multiple_of(2) {
            [in_hall, outside]
        } else {
            [outside, in_hall]
        };
        picked.extend(
            both.into_iter()
                .flatten()
                .map(|r| r.record.peer_addr.clone()),
        );
        picked.truncate(timing.fanout);
        picked.extend(self.unheard_seed(timing, now_ms));
        picked
    }

    /// A listed box that is not alive here, tried now and then in case it is.
    fn unheard_seed(&self, timing: &Timing, now_ms: u64) -> Option<Name> {
        const TRY_ONE_IN: u64 = 4;
        if !self.rows.is_empty() && !self.turn.is_multiple_of(TRY_ONE_IN) {
            return None;
        }
        let unheard: Vec<&Name> = self
            .listed
            .iter()
            .filter(|(name, ..)| self.health(name, timing, now_ms) != Health::Alive)
            .map(|(_, addr, _)| addr)
            .collect();
        let at = self.turn.checked_rem(unheard.len() as u64)?;
        Some(unheard[at as usize].clone())
    }
}

fn flags(record: &Record) -> u64 {
    let successor = record.successor.as_ref().map_or(0, |s| s.1 | 1);
    u64::from(record.leaving) << 63 ^ successor.rotate_left(7)
}
