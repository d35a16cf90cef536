//! From whom a box hears of the store's records.
//!
//! One box of each hall, its relay, hears them for the others of the hall. One of the relays, the
//! root, watches the store; the relays of other halls ask it. So calls to the store grow neither
//! with boxes nor with halls. All boxes compute the same order of relays and roots, by rendezvous
//! hashing, and pass over those that did not answer lately.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::hash::hash64;

/// Halls whose relays may be the root. Few, as each that tries a store that is out is paid for, and
/// more than one, as the store may turn single boxes away.
const ROOT_HALLS: usize = 3;

/// Boxes of a hall that may be its relay: the first that answer. Where none of them hears the store, the
/// others take it to be out, and do not look for it one after the other; a few, as the store may turn
/// single boxes away.
const RELAYS_A_HALL: usize = 3;

/// Where a box is found by others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxRecord {
    /// Its name.
    pub name: Name,
    /// Its hall.
    pub hall: Name,
    /// Where it listens for other boxes.
    pub peer_addr: SocketAddr,
    /// Its share of a processor core, in thousandths: relays are taken from the largest boxes.
    pub cpu_milli: u32,
}

impl BoxRecord {
    /// Its place in the order of its hall's relays, highest first; all boxes agree on it.
    pub fn rank(&self) -> (u32, u64) {
        let hash = hash64(&[self.hall.as_bytes(), self.name.as_bytes()]);
        (self.cpu_milli, hash)
    }
}

/// How long boxes are left alone after a failure.
#[derive(Debug, Clone, Copy)]
pub struct ShunPauses {
    /// The first pause; it doubles with each further failure.
    pub first_ms: u64,
    /// The longest.
    pub most_ms: u64,
}

/// Boxes that are left alone for a while.
#[derive(Debug)]
pub struct Shunned {
    pauses: ShunPauses,
    boxes: HashMap<Name, Shun>,
}

#[derive(Debug, Clone, Copy)]
struct Shun {
    failures: u32,
    until_ms: u64,
}

impl Shunned {
    /// Nobody yet.
    pub fn new(pauses: ShunPauses) -> Self {
        Self {
            pauses,
            boxes: HashMap::new(),
        }
    }

    /// Takes in that a box did not answer as it should.
    pub fn failed(&mut self, name: &Name, now_ms: u64) {
        let shun = self.boxes.entry(name.clone()).or_insert(Shun {
            failures: 0,
            until_ms: 0,
        });
        let pause_ms = self.pauses.first_ms << shun.failures.min(8);
        shun.failures += 1;
        shun.until_ms = now_ms + pause_ms.min(self.pauses.most_ms);
    }

    /// Takes in that a box answered.
    pub fn answered(&mut self, name: &str) {
        self.boxes.remove(name);
    }

    /// Whether a box is left alone for now.
    pub fn contains(&self, name: &str, now_ms: u64) -> bool {
        self.boxes
            .get(name)
            .is_some_and(|shun| now_ms < shun.until_ms)
    }
}

/// From whom a box hears of the store's records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// From the store itself.
    Store,
    /// From another box of its hall.
    Relay(BoxRecord),
    /// From the root, a relay of another hall.
    Root(BoxRecord),
    /// From nobody: whoever could tell it hears nothing either.
    Nobody,
}

/// Time for which a relay keeps to its root though another one comes first: boxes that start
/// together do not know each other yet, and one that lost the store should not try it too often.
const ROOT_KEPT_MS: u64 = 10_000;

/// The root that a relay hears from, which may be itself.
#[derive(Debug, Default)]
pub struct KeptRoot {
    known: Option<KnownRoot>,
}

/// A root, and since when it is one for this box.
#[derive(Debug)]
struct KnownRoot {
    name: Name,
    since_ms: u64,
}

impl KeptRoot {
    /// The root, whether it is still kept or not.
    pub fn name(&self) -> Option<&Name> {
        self.known.as_ref().map(|known| &known.name)
    }

    /// The root, while it is kept though another one may come first.
    pub fn kept(&self, now_ms: u64) -> Option<&Name> {
        let known = self.known.as_ref()?;
        (now_ms < known.since_ms + ROOT_KEPT_MS).then_some(&known.name)
    }

    /// Takes in from whom `me` is to hear.
    pub fn choose(&mut self, source: &Source, me: &BoxRecord, now_ms: u64) {
        let name = match source {
            Source::Store => Some(&me.name),
            Source::Root(record) => Some(&record.name),
            Source::Relay(_) | Source::Nobody => None,
        };
        if self.name() != name {
            self.known = name.cloned().map(|name| KnownRoot {
                name,
                since_ms: now_ms,
            });
        }
    }

    /// Takes in that `other` is a root; returns whether `me`, which was the root too, gives way to it.
    ///
    /// After an outage the relays of several halls would watch the store, each for itself, for
    /// [`ROOT_KEPT_MS`].
    pub fn give_way(&mut self, me: &BoxRecord, other: &BoxRecord) -> bool {
        let gives_way = self.name() == Some(&me.name) && asks(&me.hall, &other.hall);
        if gives_way {
            self.known = None;
        }
        gives_way
    }
}

/// What a box chooses its source by.
#[derive(Debug)]
pub struct View<'a, S, H> {
    /// The box itself.
    pub me: &'a BoxRecord,
    /// The other boxes.
    pub others: &'a HashMap<Name, BoxRecord>,
    /// Boxes that do not answer; others take their places.
    pub is_silent: S,
    /// Boxes that hear nothing; for the box itself, whether the store does not answer it.
    pub is_sourceless: H,
    /// The root that it hears from, which it leaves only if that is out.
    pub root: Option<&'a Name>,
}

impl<S: Fn(&str) -> bool, H: Fn(&str) -> bool> View<'_, S, H> {
    /// The source to ask next.
    pub fn source(&self) -> Source {
        let hall = &self.me.hall;
        let relays = self.relays(hall);
        let first = relays.iter().find(|r| self.is_me(r) || self.hears(r));
        match first {
            Some(relay) if !self.is_me(relay) => return Source::Relay((*relay).clone()),
            Some(_) => {}
            None => return Source::Nobody,
        }
        let halls = self.root_halls();
        let kept = self.root.and_then(|name| self.as_root(name));
        let next = || halls.iter().find_map(|hall| self.root_in(hall));
        if let Some(root) = kept.or_else(next) {
            return root;
        }
        match self.other_relay(&relays) {
            Some(other) => Source::Relay(other.clone()),
            None if halls.contains(&hall) => Source::Store,
            None => Source::Nobody,
        }
    }

    fn is_me(&self, record: &BoxRecord) -> bool {
        record.name == self.me.name
    }

    fn hears(&self, record: &BoxRecord) -> bool {
        !(self.is_sourceless)(&record.name)
    }

    /// The boxes of a hall that may be its relay, the first first.
    fn relays(&self, hall: &Name) -> Vec<&BoxRecord> {
        let all = self.others.values().chain([self.me]);
        let in_hall = all.filter(|r| r.hall == *hall);
        let answering = in_hall.filter(|r| self.is_me(r) || !(self.is_silent)(&r.name));
        let mut relays: Vec<&BoxRecord> = answering.collect();
        relays.sort_by_cached_key(|record| std::cmp::Reverse(record.rank()));
        relays.truncate(RELAYS_A_HALL);
        relays
    }

    /// The first of these relays, but for this box, that hears the records.
    fn other_relay<'r>(&self, relays: &[&'r BoxRecord]) -> Option<&'r BoxRecord> {
        let mut others = relays.iter().filter(|r| !self.is_me(r));
        others.find(|r| self.hears(r)).copied()
    }

    /// The halls whose relays may be the root, in the order in which they are asked.
    fn root_halls(&self) -> Vec<&Name> {
        let mut halls: Vec<&Name> = self.others.values().map(|record| &record.hall).collect();
        halls.push(&self.me.hall);
        halls.sort_by_key(|hall| std::cmp::Reverse(root_rank(hall)));
        halls.dedup();
        halls.truncate(ROOT_HALLS);
        halls
    }

    /// The relay of a hall as the root, if it is not out.
    fn root_in(&self, hall: &Name) -> Option<Source> {
        let relays = self.relays(hall);
        if *hall != self.me.hall {
            return self.as_root(&self.other_relay(&relays)?.name);
        }
        let next = || self.other_relay(&relays).cloned().map(Source::Relay);
        self.as_root(&self.me.name).or_else(next)
    }

    fn as_root(&self, name: &Name) -> Option<Source> {
        if (self.is_sourceless)(name) {
            return None;
        }
        if *name == self.me.name {
            return Some(Source::Store);
        }
        if (self.is_silent)(name) {
            return None;
        }
        self.others.get(name).cloned().map(Source::Root)
    }
}

/// The box of a hall that hears the store for the others.
pub fn relay_of<'a>(hall: impl Iterator<Item = &'a BoxRecord>) -> Option<&'a BoxRecord> {
    hall.max_by_key(|record| record.rank())
}

/// A hall's place in the order of those whose relays may be the root, highest first.
fn root_rank(hall: &str) -> (u64, &str) {
    (hash64(&[b"root", hall.as_bytes()]), hall)
}

/// Whether the relay of the first hall asks that of the second when the two talk: the one that
/// comes later as root asks, since it must notice the loss of the other.
pub fn asks(hall: &str, of: &str) -> bool {
    root_rank(hall) < root_rank(of)
}
