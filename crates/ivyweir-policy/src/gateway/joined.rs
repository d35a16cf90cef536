//! Which boxes there are: each joins again and again at a few of them, the seeds, which tell it of
//! the others.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::Name;
use crate::gateway::hall::BoxRecord;
use crate::rank::hash64;

/// Time without a word after which a box that joined is taken to be gone. A box joins every two
/// seconds, at each of three seeds in turn.
const JOINED_MS: u64 = 20_000;
/// Time for which a seed's list is kept when that seed answers no more, while others do.
const SEED_LIST_MS: u64 = 30_000;
/// Boxes of each other hall on a list: those first in the order of its relays.
const LISTED_OF_OTHER_HALLS: usize = 3;

/// Time since its start from which a seed's list has all others.
const SETTLED_SEED_MS: u64 = 3_000;
/// Time since a box's start after which it takes a young seed's list as it is: of boxes that
/// start together nearly all have joined. A wrong relay costs some calls more, waiting costs callers.
const SETTLED_MS: u64 = 130;
/// Time since a seed's start before which few have joined there.
const JOINED_SEED_MS: u64 = 100;
/// Time since a box's start after which it goes on without any seed. Boxes that lose power together are
/// back within half a second of each other, the seeds perhaps last; each that goes on alone asks the store
/// for everything. Of 295 boxes 98 did so after 0.3 s, and made 690 calls in a minute rather than 110.
const ALONE_MS: u64 = 900;

/// How far a box's start is, by its own clock and that of the seed it asked last.
#[derive(Debug, Clone, Copy)]
pub struct Start {
    /// Time since this box's start.
    pub up_ms: u64,
    /// Time since the seed's start; none if no seed answered.
    pub seed_up_ms: Option<u64>,
}

impl Start {
    /// Whether all boxes may have started together.
    pub fn is_of_all(&self) -> bool {
        self.seed_up_ms.is_none_or(|up_ms| up_ms < SETTLED_SEED_MS)
    }

    /// Whether the list of boxes is good enough to choose a relay by.
    pub fn knows_enough(&self) -> bool {
        match self.seed_up_ms {
            Some(seed_up_ms) if self.up_ms < SETTLED_MS => seed_up_ms >= SETTLED_SEED_MS,
            Some(seed_up_ms) => seed_up_ms >= JOINED_SEED_MS,
            None => self.up_ms >= ALONE_MS,
        }
    }
}

/// Boxes that joined here.
#[derive(Debug, Default)]
pub struct Joined {
    boxes: BTreeMap<Name, Member>,
}

/// A box, and when it last joined.
#[derive(Debug)]
struct Member {
    record: BoxRecord,
    joined_at_ms: u64,
}

impl Member {
    fn lives(&self, now_ms: u64) -> bool {
        self.joined_at_ms + JOINED_MS > now_ms
    }
}

impl Joined {
    /// Takes in that a box joins; returns whether it is new here.
    pub fn join(&mut self, record: BoxRecord, now_ms: u64) -> bool {
        self.boxes.retain(|_, member| member.lives(now_ms));
        let is_new = self
            .boxes
            .get(&record.name)
            .is_none_or(|known| known.record != record);
        let member = Member {
            record,
            joined_at_ms: now_ms,
        };
        self.boxes.insert(member.record.name.clone(), member);
        is_new
    }

    /// Boxes that joined lately.
    pub fn count(&self, now_ms: u64) -> usize {
        self.boxes
            .values()
            .filter(|member| member.lives(now_ms))
            .count()
    }

    /// The list for a box of this hall: the boxes of its hall, and some of each other one.
    pub fn list_for(&self, hall: &str, now_ms: u64) -> Vec<BoxRecord> {
        let live = self.boxes.values().filter(|member| member.lives(now_ms));
        let mut by_hall: BTreeMap<&Name, Vec<&BoxRecord>> = BTreeMap::new();
        for record in live.map(|member| &member.record) {
            by_hall.entry(&record.hall).or_default().push(record);
        }
        let mut list = Vec::new();
        for (of, mut records) in by_hall {
            if **of != *hall {
                records.sort_by_cached_key(|record| std::cmp::Reverse(record.rank()));
                records.truncate(LISTED_OF_OTHER_HALLS);
            }
            list.extend(records.into_iter().cloned());
        }
        list
    }
}

/// A number that differs between lists of boxes.
pub fn digest(boxes: &[BoxRecord]) -> u64 {
    boxes.iter().fold(0, |sum: u64, record| {
        let addr = record.peer_addr.to_string();
        let cpu = record.cpu_milli.to_le_bytes();
        let fields = [
            record.name.as_bytes(),
            record.hall.as_bytes(),
            addr.as_bytes(),
            &cpu,
        ];
        sum.wrapping_add(hash64(&fields))
    })
}

/// Lists of the other boxes that a box got, by the seed that sent each.
#[derive(Debug, Default)]
pub struct SeedLists {
    by_seed: HashMap<SocketAddr, SeedList>,
}

/// A seed's last list, and when the seed last answered.
#[derive(Debug, Default)]
struct SeedList {
    boxes: Vec<BoxRecord>,
    answered_at_ms: u64,
}

impl SeedLists {
    /// Digest of a seed's last list; 0 if there is none.
    pub fn digest(&self, seed: SocketAddr) -> u64 {
        let list = self.by_seed.get(&seed);
        list.map_or(0, |list| digest(&list.boxes))
    }

    /// Takes in a seed's answer: its list, or none where that has not changed.
    pub fn take(&mut self, seed: SocketAddr, list: Option<Vec<BoxRecord>>, now_ms: u64) {
        let known = self.by_seed.entry(seed).or_default();
        known.answered_at_ms = now_ms;
        if let Some(boxes) = list {
            known.boxes = boxes;
        }
        self.by_seed
            .retain(|_, list| list.answered_at_ms + SEED_LIST_MS > now_ms);
    }

    /// All boxes on the lists; the newest list that names a box counts.
    pub fn boxes(&self) -> HashMap<Name, BoxRecord> {
        let mut lists: Vec<&SeedList> = self.by_seed.values().collect();
        lists.sort_by_key(|list| list.answered_at_ms);
        let records = lists.into_iter().flat_map(|list| &list.boxes);
        records.map(|r| (r.name.clone(), r.clone())).collect()
    }
}
