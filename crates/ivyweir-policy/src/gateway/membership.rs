//! Fleet membership. Each box periodically joins at a few boxes, the seeds, which return lists of the other boxes.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::gateway::relay::BoxRecord;

/// Time since its last join after which a box is removed. A box joins every two seconds, at each of three seeds in
/// turn.
const MEMBER_TTL_MS: u64 = 20_000;
/// Time for which the list of a seed that stopped answering is kept while other seeds answer.
const SEED_LIST_TTL_MS: u64 = 30_000;
/// Maximum number of boxes listed of each other hall, in the order of its relay candidates.
const MAX_LISTED_PER_OTHER_HALL: usize = 3;

/// Interval between sweeps for expired boxes.
const SWEEP_INTERVAL_MS: u64 = 500;
/// Maximum number of removals that are remembered. A box whose cursor is older receives the full list.
const MAX_REMOVALS: usize = 4_096;

/// Uptime from which a seed's list is complete.
const SEED_COMPLETE_MS: u64 = 3_000;
/// Uptime from which a box accepts the list of a recently started seed. By then nearly all boxes that started together
/// have joined. A wrong choice of relay costs a few extra calls, whereas waiting delays callers' requests.
const SEED_LIST_WAIT_MS: u64 = 130;
/// Uptime of a seed below which few boxes have joined there.
const MIN_SEED_UPTIME_MS: u64 = 100;
/// Uptime after which a box proceeds without any seed. Boxes that lose power together are back within half a second of
/// each other, possibly with the seeds last, and each box that proceeds alone reads everything from the store.
const NO_SEED_WAIT_MS: u64 = 900;

/// Uptimes of a box and of the seed that it contacted last.
#[derive(Debug, Clone, Copy)]
pub struct Uptimes {
    /// Uptime of this box.
    pub up_ms: u64,
    /// Uptime of the seed; `None` if no seed answered.
    pub seed_up_ms: Option<u64>,
}

impl Uptimes {
    /// Whether the whole fleet may just have started.
    pub fn is_fleet_start(&self) -> bool {
        self.seed_up_ms.is_none_or(|up_ms| up_ms < SEED_COMPLETE_MS)
    }

    /// Whether the member list is complete enough to choose a relay.
    pub fn can_choose_relay(&self) -> bool {
        match self.seed_up_ms {
            Some(seed_up_ms) if self.up_ms < SEED_LIST_WAIT_MS => seed_up_ms >= SEED_COMPLETE_MS,
            Some(seed_up_ms) => seed_up_ms >= MIN_SEED_UPTIME_MS,
            None => self.up_ms >= NO_SEED_WAIT_MS,
        }
    }
}

/// Position of a box in a seed's sequence of membership changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipCursor {
    /// Identifier of the seed's process run.
    pub run: u64,
    /// Number of the last change that the box received.
    pub change: u64,
}

/// A seed's answer to a join: the boxes of the joining box's hall, and the first relay candidates of each other hall.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// Position after this update.
    pub mark: MembershipCursor,
    /// Whether this is the full list rather than the changes since the box's cursor.
    pub is_whole: bool,
    /// New or changed boxes of the joining box's hall. For each other hall with any change, all boxes listed of it.
    pub boxes: Vec<BoxRecord>,
    /// Removed boxes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<Name>,
}

/// Boxes that joined at this seed.
#[derive(Debug, Default)]
pub struct JoinedBoxes {
    run: u64,
    halls: BTreeMap<Name, BTreeMap<Name, Member>>,
    /// Number of membership changes so far.
    changes: u64,
    /// Removals, as change number, hall and box.
    removals: VecDeque<(u64, Name, Name)>,
    /// Number of the newest change whose removal was discarded.
    discarded_until: u64,
    swept_at_ms: u64,
}

/// A box and the time of its last join.
#[derive(Debug)]
struct Member {
    record: BoxRecord,
    rank: (u32, u64),
    joined_at_ms: u64,
    /// Number of the change that added or last modified it.
    change: u64,
}

impl Member {
    fn is_live(&self, now_ms: u64) -> bool {
        self.joined_at_ms + MEMBER_TTL_MS > now_ms
    }
}

impl JoinedBoxes {
    /// Creates an empty membership. `run` identifies the run of the process.
    pub fn new(run: u64) -> Self {
        Self {
            run,
            ..Self::default()
        }
    }

    /// Records a join. Returns whether the box is new or its record changed.
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

    /// Removes boxes whose last join is too long ago.
    fn sweep(&mut self, now_ms: u64) {
        if now_ms < self.swept_at_ms + SWEEP_INTERVAL_MS {
            return;
        }
        self.swept_at_ms = now_ms;
        for (hall, members) in &mut self.halls {
            let expired = members.iter().filter(|(_, member)| !member.is_live(now_ms));
            let expired: Vec<Name> = expired.map(|(name, _)| name.clone()).collect();
            for name in expired {
                members.remove(&name);
                self.changes += 1;
                self.removals.push_back((self.changes, hall.clone(), name));
            }
        }
        while self.removals.len() > MAX_REMOVALS {
            if let Some((change, _, _)) = self.removals.pop_front() {
                self.discarded_until = change;
            }
        }
    }

    /// Number of live boxes.
    pub fn count(&self, now_ms: u64) -> usize {
        let members = self.halls.values().flat_map(BTreeMap::values);
        members.filter(|member| member.is_live(now_ms)).count()
    }

    /// The full list for a box of `hall`: all boxes of that hall and the first relay candidates of each other hall.
    pub fn list_for(&self, hall: &str, now_ms: u64) -> Vec<BoxRecord> {
        let mut list = Vec::new();
        for (of, members) in &self.halls {
            let live = members.values().filter(|member| member.is_live(now_ms));
            if **of == *hall {
                list.extend(live.map(|member| member.record.clone()));
            } else {
                list.extend(relay_candidates(live));
            }
        }
        list
    }

    /// The update for a box of `hall` at position `cursor`; `None` if nothing changed since.
    pub fn update_for(
        &mut self,
        hall: &str,
        cursor: Option<MembershipCursor>,
        now_ms: u64,
    ) -> Option<MembershipUpdate> {
        self.sweep(now_ms);
        let mark = MembershipCursor {
            run: self.run,
            change: self.changes,
        };
        if cursor == Some(mark) {
            return None;
        }
        let known =
            cursor.filter(|cursor| cursor.run == self.run && cursor.change >= self.discarded_until);
        let Some(known) = known else {
            return Some(MembershipUpdate {
                mark,
                is_whole: true,
                boxes: self.list_for(hall, now_ms),
                gone: Vec::new(),
            });
        };
        let gone = self.removals.iter().filter(|(at, _, _)| *at > known.change);
        let gone: Vec<(&Name, &Name)> = gone.map(|(_, of, name)| (of, name)).collect();
        let mut boxes = Vec::new();
        for (of, members) in &self.halls {
            let mut changed = members.values().filter(|m| m.change > known.change);
            if **of == *hall {
                boxes.extend(changed.map(|member| member.record.clone()));
            } else if changed.next().is_some() || gone.iter().any(|(hall, _)| *hall == of) {
                boxes.extend(relay_candidates(members.values()));
            }
        }
        // A box that was removed and joined again since is a member.
        let has_rejoined = |name: &Name| boxes.iter().any(|record| record.name == *name);
        let gone = gone.into_iter().map(|(_, name)| name.clone());
        let gone = gone.filter(|name| !has_rejoined(name)).collect();
        Some(MembershipUpdate {
            mark,
            is_whole: false,
            boxes,
            gone,
        })
    }
}

/// The first relay candidates among the boxes of one hall.
fn relay_candidates<'a>(
    members: impl Iterator<Item = &'a Member>,
) -> impl Iterator<Item = BoxRecord> {
    let mut members: Vec<&Member> = members.collect();
    members.sort_unstable_by_key(|member| std::cmp::Reverse(member.rank));
    members.truncate(MAX_LISTED_PER_OTHER_HALL);
    members.into_iter().map(|member| member.record.clone())
}

/// Lists of the other boxes that a box received, by seed.
#[derive(Debug)]
pub struct SeedLists {
    /// Hall of this box.
    hall: Name,
    by_seed: HashMap<SocketAddr, SeedList>,
}

/// The list of one seed and the time of the seed's last answer.
#[derive(Debug, Default)]
struct SeedList {
    cursor: Option<MembershipCursor>,
    boxes: BTreeMap<Name, BoxRecord>,
    answered_at_ms: u64,
}

impl SeedList {
    fn apply(&mut self, update: MembershipUpdate, own_hall: &str) {
        self.cursor = Some(update.mark);
        if update.is_whole {
            self.boxes.clear();
        }
        // An update replaces all entries of each other hall that it contains.
        let replaced: HashSet<&Name> = update.boxes.iter().map(|record| &record.hall).collect();
        self.boxes
            .retain(|_, record| *record.hall == *own_hall || !replaced.contains(&record.hall));
        for name in &update.gone {
            self.boxes.remove(name);
        }
        let boxes = update.boxes.into_iter();
        self.boxes
            .extend(boxes.map(|record| (record.name.clone(), record)));
    }
}

impl SeedLists {
    /// Creates an empty set of lists for a box of `hall`.
    pub fn new(hall: Name) -> Self {
        Self {
            hall,
            by_seed: HashMap::new(),
        }
    }

    /// Position of this box in the changes of a seed; `None` if it has no list of that seed.
    pub fn cursor(&self, seed: SocketAddr) -> Option<MembershipCursor> {
        self.by_seed.get(&seed)?.cursor
    }

    /// Applies the answer of a seed; `update` is `None` if the seed's list did not change.
    pub fn apply(&mut self, seed: SocketAddr, update: Option<MembershipUpdate>, now_ms: u64) {
        let list = self.by_seed.entry(seed).or_default();
        list.answered_at_ms = now_ms;
        if let Some(update) = update {
            list.apply(update, &self.hall);
        }
        self.by_seed
            .retain(|_, list| list.answered_at_ms + SEED_LIST_TTL_MS > now_ms);
    }

    /// All listed boxes. If several lists contain a box, the most recently confirmed list takes precedence.
    pub fn boxes(&self) -> HashMap<Name, BoxRecord> {
        let mut lists: Vec<&SeedList> = self.by_seed.values().collect();
        lists.sort_by_key(|list| list.answered_at_ms);
        let records = lists.into_iter().flat_map(|list| list.boxes.values());
        records.map(|r| (r.name.clone(), r.clone())).collect()
    }
}
