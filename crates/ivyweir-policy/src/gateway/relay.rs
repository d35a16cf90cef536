//! Selection of the source from which a box receives the store's records.
//!
//! Records are distributed over a two-level tree. One box of each hall, its relay, receives them on behalf of the
//! hall's other boxes. One of the relays, the root, watches the store, and the relays of the other halls follow the
//! root. The number of store calls therefore depends on neither the number of boxes nor the number of halls. All boxes
//! compute the same order of relays and roots by rendezvous hashing and skip those that failed recently.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::hash::hash64;

/// Maximum number of halls whose relay is eligible as the root. It is small because each attempt to reach an
/// unavailable store has a cost, and greater than 1 because the store may reject individual boxes.
const MAX_ROOT_HALLS: usize = 3;

/// Maximum number of boxes per hall that are eligible as its relay, counted over the boxes that respond. If none of
/// them reaches the store, the other boxes treat the store as unavailable instead of trying it in turn. It is greater
/// than 1 because the store may reject individual boxes.
const MAX_RELAYS_PER_HALL: usize = 3;

/// Identity and peer address of a box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxRecord {
    /// Name of the box.
    pub name: Name,
    /// Hall that the box runs in.
    pub hall: Name,
    /// Address on which the box accepts connections from other boxes.
    pub peer_addr: SocketAddr,
    /// CPU allocation in thousandths of a core. The largest boxes of a hall are preferred as relays.
    pub cpu_milli: u32,
}

impl BoxRecord {
    /// Sort key among the relay candidates of the hall, highest first. All boxes compute the same value.
    pub fn rank(&self) -> (u32, u64) {
        let hash = hash64(&[self.hall.as_bytes(), self.name.as_bytes()]);
        (self.cpu_milli, hash)
    }
}

/// Bounds of the exponential back-off after a box failed.
#[derive(Debug, Clone, Copy)]
pub struct PeerBackoffConfig {
    /// Back-off after the first failure. It doubles with each further failure.
    pub initial_ms: u64,
    /// Maximum back-off.
    pub max_ms: u64,
}

/// Boxes that are skipped for a limited time after failures.
#[derive(Debug)]
pub struct PeerBackoff {
    config: PeerBackoffConfig,
    boxes: HashMap<Name, BackoffState>,
}

#[derive(Debug, Clone, Copy)]
struct BackoffState {
    failures: u32,
    until_ms: u64,
}

impl PeerBackoff {
    /// Creates an empty set.
    pub fn new(config: PeerBackoffConfig) -> Self {
        Self {
            config,
            boxes: HashMap::new(),
        }
    }

    /// Records a failure of a box and starts or extends its back-off.
    pub fn record_failure(&mut self, name: &Name, now_ms: u64) {
        let state = self.boxes.entry(name.clone()).or_insert(BackoffState {
            failures: 0,
            until_ms: 0,
        });
        let backoff_ms = self.config.initial_ms << state.failures.min(8);
        state.failures += 1;
        state.until_ms = now_ms + backoff_ms.min(self.config.max_ms);
    }

    /// Records a success of a box, which ends its back-off and resets its failure count.
    pub fn record_success(&mut self, name: &str) {
        self.boxes.remove(name);
    }

    /// Whether a box is to be skipped at `now_ms`.
    pub fn is_backing_off(&self, name: &str, now_ms: u64) -> bool {
        self.boxes
            .get(name)
            .is_some_and(|state| now_ms < state.until_ms)
    }
}

/// Source from which a box receives the store's records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// The relay of the box's own hall.
    Relay(BoxRecord),
    /// The root, which is the relay of another hall.
    Root(BoxRecord),
    /// None: all boxes that could serve as the source are without a source themselves.
    Unavailable,
}

/// Time for which a relay keeps its current root although another one ranks higher. Boxes that start together do not
/// know each other yet, and a box that lost the store should not retry it too often.
const MIN_ROOT_TENURE_MS: u64 = 10_000;

/// Current root of a relay, which may be the relay itself.
#[derive(Debug, Default)]
pub struct StickyRoot {
    current: Option<CurrentRoot>,
}

/// A root and the time at which it was selected.
#[derive(Debug)]
struct CurrentRoot {
    name: Name,
    since_ms: u64,
}

impl StickyRoot {
    /// Name of the current root, whether or not its minimum tenure has passed.
    pub fn name(&self) -> Option<&Name> {
        self.current.as_ref().map(|root| &root.name)
    }

    /// Name of the current root during its minimum tenure, in which it takes precedence over higher-ranked ones.
    pub fn retained(&self, now_ms: u64) -> Option<&Name> {
        let root = self.current.as_ref()?;
        (now_ms < root.since_ms + MIN_ROOT_TENURE_MS).then_some(&root.name)
    }

    /// Updates the current root from the source selected for `me`.
    pub fn update(&mut self, source: &Source, me: &BoxRecord, now_ms: u64) {
        let name = match source {
            Source::Store => Some(&me.name),
            Source::Root(record) => Some(&record.name),
            Source::Relay(_) | Source::Unavailable => None,
        };
        if self.name() != name {
            self.current = name.cloned().map(|name| CurrentRoot {
                name,
                since_ms: now_ms,
            });
        }
    }

    /// Resolves a conflict between `me` and another root. Clears the current root and returns `true` if `me` was the
    /// root and has to yield to `other`.
    ///
    /// Without this, the relays of several halls would each watch the store for [`MIN_ROOT_TENURE_MS`] after an outage.
    pub fn yield_to(&mut self, me: &BoxRecord, other: &BoxRecord) -> bool {
        let yields = self.name() == Some(&me.name) && polls(&me.hall, &other.hall);
        if yields {
            self.current = None;
        }
        yields
    }
}

/// Inputs from which a box selects its source.
#[derive(Debug)]
pub struct SourceSelector<'a, S, H> {
    /// The selecting box.
    pub me: &'a BoxRecord,
    /// All other known boxes.
    pub others: &'a HashMap<Name, BoxRecord>,
    /// Whether a box is unresponsive. The next-ranked box takes its place.
    pub is_unresponsive: S,
    /// Whether a box reported that it has no source. For the selecting box: whether the store does not answer it.
    pub has_no_source: H,
    /// Root that is kept unless it is unresponsive or has no source.
    pub root: Option<&'a Name>,
}

impl<S: Fn(&str) -> bool, H: Fn(&str) -> bool> SourceSelector<'_, S, H> {
    /// Selects the source to use next.
    pub fn source(&self) -> Source {
        let hall = &self.me.hall;
        let relays = self.relays(hall);
        let first = relays.iter().find(|r| self.is_me(r) || self.has_source(r));
        match first {
            Some(relay) if !self.is_me(relay) => return Source::Relay((*relay).clone()),
            Some(_) => {}
            None => return Source::Unavailable,
        }
        let halls = self.root_halls();
        let retained = self.root.and_then(|name| self.as_root(name));
        let next = || halls.iter().find_map(|hall| self.root_in(hall));
        if let Some(root) = retained.or_else(next) {
            return root;
        }
        match self.other_relay(&relays) {
            Some(other) => Source::Relay(other.clone()),
            None if halls.contains(&hall) => Source::Store,
            None => Source::Unavailable,
        }
    }

    fn is_me(&self, record: &BoxRecord) -> bool {
        record.name == self.me.name
    }

    fn has_source(&self, record: &BoxRecord) -> bool {
        !(self.has_no_source)(&record.name)
    }

    /// The boxes of a hall that are eligible as its relay, highest rank first.
    fn relays(&self, hall: &Name) -> Vec<&BoxRecord> {
        let all = self.others.values().chain([self.me]);
        let in_hall = all.filter(|r| r.hall == *hall);
        let responsive = in_hall.filter(|r| self.is_me(r) || !(self.is_unresponsive)(&r.name));
        let mut relays: Vec<&BoxRecord> = responsive.collect();
        relays.sort_by_cached_key(|record| std::cmp::Reverse(record.rank()));
        relays.truncate(MAX_RELAYS_PER_HALL);
        relays
    }

    /// The first of these relays, other than this box, that has a source.
    fn other_relay<'r>(&self, relays: &[&'r BoxRecord]) -> Option<&'r BoxRecord> {
        let mut others = relays.iter().filter(|r| !self.is_me(r));
        others.find(|r| self.has_source(r)).copied()
    }

    /// The halls whose relays are eligible as the root, highest rank first.
    fn root_halls(&self) -> Vec<&Name> {
        let mut halls: Vec<&Name> = self.others.values().map(|record| &record.hall).collect();
        halls.push(&self.me.hall);
        halls.sort_by_key(|hall| std::cmp::Reverse(root_rank(hall)));
        halls.dedup();
        halls.truncate(MAX_ROOT_HALLS);
        halls
    }

    /// The source to use with the relay of `hall` as the root, if that relay is available.
    fn root_in(&self, hall: &Name) -> Option<Source> {
        let relays = self.relays(hall);
        if *hall != self.me.hall {
            return self.as_root(&self.other_relay(&relays)?.name);
        }
        let next = || self.other_relay(&relays).cloned().map(Source::Relay);
        self.as_root(&self.me.name).or_else(next)
    }

    fn as_root(&self, name: &Name) -> Option<Source> {
        if (self.has_no_source)(name) {
            return None;
        }
        if *name == self.me.name {
            return Some(Source::Store);
        }
        if (self.is_unresponsive)(name) {
            return None;
        }
        self.others.get(name).cloned().map(Source::Root)
    }
}

/// The highest-ranked of the given boxes of one hall, which serves as its relay.
pub fn relay_of<'a>(hall: impl Iterator<Item = &'a BoxRecord>) -> Option<&'a BoxRecord> {
    hall.max_by_key(|record| record.rank())
}

/// Sort key of a hall in the root order, highest first.
fn root_rank(hall: &str) -> (u64, &str) {
    (hash64(&[b"root", hall.as_bytes()]), hall)
}

/// Whether the relay of `hall` polls the relay of `other` when the two exchange messages. The one with the lower root
/// rank polls, because it has to detect the failure of the other.
pub fn polls(hall: &str, other: &str) -> bool {
    root_rank(hall) < root_rank(other)
}
