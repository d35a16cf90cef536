//! Which boxes there are: each joins again and again at a few of them, the seeds, which tell it of
//! the others.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::gateway::hall::BoxRecord;

/// Time without a word after which a box that joined is taken to be gone. A box joins every two
/// seconds, at each of three seeds in turn.
const JOINED_MS: u64 = 20_000;
/// Time for which a seed's list is kept when that seed answers no more, while others do.
const SEED_LIST_MS: u64 = 30_000;
/// Boxes of each other hall on a list: those first in the order of its relays.
const LISTED_OF_OTHER_HALLS: usize = 3;

/// How often boxes that joined no more are looked for.
const SWEEP_MS: u64 = 500;
/// Boxes that joined no more which are remembered; who asks for what is behind that is told all.
const GONE_KEPT: usize = 4_096;

/// Time since its start from which a seed's list has all others.
const SETTLED_SEED_MS: u64 = 3_000;
/// Time since a box's start after which it takes a young seed's list as it is: of boxes that
/// start together nearly all have joined. A wrong relay costs some calls more, waiting costs callers.
const SETTLED_MS: u64 = 130;
/// Time since a seed's start before which few have joined there.
const JOINED_SEED_MS: u64 = 100;
/// Time since a box's start after which it goes on without any seed. Boxes that lose power together are
/// back within half a second of each other, the seeds perhaps last; each that goes on alone asks the store
/// for everything.
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

/// How much of a seed's changes a box has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListMark {
    /// Differs between runs of a seed's process.
    pub run: u64,
    /// The seed's last change that the box was told of.
    pub change: u64,
}

/// What a seed tells a box that joins there: the boxes of its hall, and of each other hall those that come
/// first as its relays.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListNews {
    /// Up to where this goes.
    pub mark: ListMark,
    /// Whether it is all that the seed has, and not only what changed.
    pub is_whole: bool,
    /// Boxes of the asker's hall that are new or not what they were; of other halls, all that are told of a
    /// hall in which anything changed.
    pub boxes: Vec<BoxRecord>,
    /// Boxes that joined no more.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<Name>,
}

/// Boxes that joined here.
#[derive(Debug, Default)]
pub struct Joined {
    run: u64,
    halls: BTreeMap<Name, BTreeMap<Name, Member>>,
    /// Counts how often the boxes changed.
    changes: u64,
    /// Boxes that joined no more and their halls, by the change that it was.
    gone: VecDeque<(u64, Name, Name)>,
    /// The change up to which those were forgotten.
    gone_from: u64,
    swept_at_ms: u64,
}

/// A box, and when it last joined.
#[derive(Debug)]
struct Member {
    record: BoxRecord,
    rank: (u32, u64),
    joined_at_ms: u64,
    /// The change that it was new with.
    change: u64,
}

impl Member {
    fn lives(&self, now_ms: u64) -> bool {
        self.joined_at_ms + JOINED_MS > now_ms
    }
}

impl Joined {
    /// Nobody yet; `run` differs between runs of the process.
    pub fn new(run: u64) -> Self {
        Self {
            run,
            ..Self::default()
        }
    }

    /// Takes in that a box joins; returns whether it is new here.
    pub fn join(&mut self, record: BoxRecord, now_ms: u64) -> bool {
        self.sweep(now_ms);
        let hall = self.halls.entry(record.hall.clone()).or_default();
        let known = hall.get_mut(&record.name);
        if let Some(known) = known.filter(|known| known.record == record) {
            known.joined_at_ms = now_ms;
            return false;
        }
        self.changes += 1;
        let member = Member {
            rank: record.rank(),
            record,
            joined_at_ms: now_ms,
            change: self.changes,
        };
        hall.insert(member.record.name.clone(), member);
        true
    }

    /// Drops boxes that have not joined for long.
    fn sweep(&mut self, now_ms: u64) {
        if now_ms < self.swept_at_ms + SWEEP_MS {
            return;
        }
        self.swept_at_ms = now_ms;
        for (hall, members) in &mut self.halls {
            let dead = members.iter().filter(|(_, member)| !member.lives(now_ms));
            let dead: Vec<Name> = dead.map(|(name, _)| name.clone()).collect();
            for name in dead {
                members.remove(&name);
                self.changes += 1;
                self.gone.push_back((self.changes, hall.clone(), name));
            }
        }
        while self.gone.len() > GONE_KEPT {
            if let Some((change, _, _)) = self.gone.pop_front() {
                self.gone_from = change;
            }
        }
    }

    /// Boxes that joined lately.
    pub fn count(&self, now_ms: u64) -> usize {
        let members = self.halls.values().flat_map(BTreeMap::values);
        members.filter(|member| member.lives(now_ms)).count()
    }

    /// The list for a box of this hall: the boxes of its hall, and some of each other one.
    pub fn list_for(&self, hall: &str, now_ms: u64) -> Vec<BoxRecord> {
        let mut list = Vec::new();
        for (of, members) in &self.halls {
            let live = members.values().filter(|member| member.lives(now_ms));
            if **of == *hall {
                list.extend(live.map(|member| member.record.clone()));
            } else {
                list.extend(first_relays(live));
            }
        }
        list
    }

    /// What a box of this hall is to be told that has `has` of it; none where nothing changed.
    pub fn news_for(&mut self, hall: &str, has: Option<ListMark>, now_ms: u64) -> Option<ListNews> {
        self.sweep(now_ms);
        let mark = ListMark {
            run: self.run,
            change: self.changes,
        };
        if has == Some(mark) {
            return None;
        }
        let known = has.filter(|has| has.run == self.run && has.change >= self.gone_from);
        let Some(known) = known else {
            return Some(ListNews {
                mark,
                is_whole: true,
                boxes: self.list_for(hall, now_ms),
                gone: Vec::new(),
            });
        };
        let gone = self.gone.iter().filter(|(at, _, _)| *at > known.change);
        let gone: Vec<(&Name, &Name)> = gone.map(|(_, of, name)| (of, name)).collect();
        let mut boxes = Vec::new();
        for (of, members) in &self.halls {
            let mut changed = members.values().filter(|m| m.change > known.change);
            if **of == *hall {
                boxes.extend(changed.map(|member| member.record.clone()));
            } else if changed.next().is_some() || gone.iter().any(|(hall, _)| *hall == of) {
                boxes.extend(first_relays(members.values()));
            }
        }
        // One that left and came back since is there.
        let is_back = |name: &Name| boxes.iter().any(|record| record.name == *name);
        let gone = gone.into_iter().map(|(_, name)| name.clone());
        let gone = gone.filter(|name| !is_back(name)).collect();
        Some(ListNews {
            mark,
            is_whole: false,
            boxes,
            gone,
        })
    }
}

/// The boxes that come first as relays of their hall.
fn first_relays<'a>(members: impl Iterator<Item = &'a Member>) -> impl Iterator<Item = BoxRecord> {
    let mut members: Vec<&Member> = members.collect();
    members.sort_unstable_by_key(|member| std::cmp::Reverse(member.rank));
    members.truncate(LISTED_OF_OTHER_HALLS);
    members.into_iter().map(|member| member.record.clone())
}

/// Lists of the other boxes that a box got, by the seed that sent each.
#[derive(Debug)]
pub struct SeedLists {
    /// The hall of the box itself.
    hall: Name,
    by_seed: HashMap<SocketAddr, SeedList>,
}

/// What a box has of a seed's list, and when the seed last answered.
#[derive(Debug, Default)]
struct SeedList {
    mark: Option<ListMark>,
    boxes: BTreeMap<Name, BoxRecord>,
    answered_at_ms: u64,
}

impl SeedList {
    fn take(&mut self, news: ListNews, own_hall: &str) {
        self.mark = Some(news.mark);
        if news.is_whole {
            self.boxes.clear();
        }
        // Of another hall all that are told are told anew.
        let told: HashSet<&Name> = news.boxes.iter().map(|record| &record.hall).collect();
        self.boxes
            .retain(|_, record| *record.hall == *own_hall || !told.contains(&record.hall));
        for name in &news.gone {
            self.boxes.remove(name);
        }
        let boxes = news.boxes.into_iter();
        self.boxes
            .extend(boxes.map(|record| (record.name.clone(), record)));
    }
}

impl SeedLists {
    /// No list yet, of a box of this hall.
    pub fn new(hall: Name) -> Self {
        Self {
            hall,
            by_seed: HashMap::new(),
        }
    }

    /// What this box has of a seed's list, if it has any.
    pub fn mark(&self, seed: SocketAddr) -> Option<ListMark> {
        self.by_seed.get(&seed)?.mark
    }

    /// Takes in a seed's answer: what is new on its list, or none where that has not changed.
    pub fn take(&mut self, seed: SocketAddr, news: Option<ListNews>, now_ms: u64) {
        let known = self.by_seed.entry(seed).or_default();
        known.answered_at_ms = now_ms;
        if let Some(news) = news {
            known.take(news, &self.hall);
        }
        self.by_seed
            .retain(|_, list| list.answered_at_ms + SEED_LIST_MS > now_ms);
    }

    /// All boxes on the lists; the newest list that names a box counts.
    pub fn boxes(&self) -> HashMap<Name, BoxRecord> {
        let mut lists: Vec<&SeedList> = self.by_seed.values().collect();
        lists.sort_by_key(|list| list.answered_at_ms);
        let records = lists.into_iter().flat_map(|list| list.boxes.values());
        records.map(|r| (r.name.clone(), r.clone())).collect()
    }
}
