//! A simulated fleet: which boxes live, and what each knows of the others by joining at seeds.
#![allow(dead_code)]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::membership::{JoinedBoxes, SeedLists};
use ivyweir_policy::gateway::quota::{QuotaOwners, QuotaShare, may_own};
use ivyweir_policy::gateway::relay::BoxRecord;
use ivyweir_policy::hash::hash64;
use proptest::prelude::*;

const SEEDS: usize = 3;
/// Time between a box's rounds at the seeds, the first of them first, as boxes keep them.
const JOIN_PAUSES_MS: [u64; 7] = [40, 40, 60, 150, 300, 500, 1_000];
const JOIN_PAUSE_MS: u64 = 2_000;
pub const STEP_MS: u64 = 50;
/// How often a box looks anew at which boxes there are, and once more for each hundred of them, to keep the run short.
const LOOK_MS: u64 = 200;

/// The hash of a name.
pub fn hash(name: &str) -> u64 {
    hash64(&[name.as_bytes()])
}

/// What becomes of a box in the middle of a run.
#[derive(Debug, Clone, Copy)]
pub enum Trouble {
    /// It is killed, forgets all, and starts again.
    Restart { after_ms: u64 },
    /// It is gone for good.
    Loss,
    /// It reaches no other box for a while, and goes on sending.
    Cut { for_ms: u64 },
}

/// A trouble, when it comes, and to which box.
pub type Event = (u64, usize, Trouble);

/// Restarts, losses and cuts in series, which overlap.
pub fn troubles() -> impl Strategy<Value = Vec<Event>> {
    let trouble = prop_oneof![
        4 => (0_u64..4_000).prop_map(|after_ms| Trouble::Restart { after_ms }),
        1 => Just(Trouble::Loss),
        3 => (500_u64..40_000).prop_map(|for_ms| Trouble::Cut { for_ms }),
    ];
    prop::collection::vec((0_u64..40_000, 0_usize..40, trouble), 0..30)
}

/// A box and what it knows of others.
pub struct SimBox {
    record: BoxRecord,
    /// How often it has started; what it remembers begins anew each time.
    pub starts: u32,
    started_ms: Option<u64>,
    starts_at_ms: u64,
    cut_until_ms: u64,
    next_join_ms: u64,
    rounds: usize,
    joined: JoinedBoxes,
    lists: SeedLists,
    joined_at_ms: u64,
    owners: Arc<QuotaOwners>,
    fleet_size: usize,
}

impl SimBox {
    fn new(n: usize, halls: usize) -> Self {
        let record = BoxRecord {
            name: format!("box-{n}").into(),
            hall: format!("hall-{}", n % halls).into(),
            peer_addr: SocketAddr::from(([127, 0, 0, 1], 7_000 + n as u16)),
            cpu_milli: 120,
        };
        Self {
            lists: SeedLists::new(record.hall.clone()),
            record,
            starts: 0,
            started_ms: None,
            starts_at_ms: 0,
            cut_until_ms: 0,
            next_join_ms: 0,
            rounds: n,
            joined: JoinedBoxes::default(),
            joined_at_ms: 0,
            owners: Arc::default(),
            fleet_size: 1,
        }
    }

    fn start(&mut self, now_ms: u64) {
        self.starts += 1;
        self.started_ms = Some(now_ms);
        self.next_join_ms = now_ms;
        self.rounds %= SEEDS;
        self.joined = JoinedBoxes::new(u64::from(self.starts));
        self.lists = SeedLists::new(self.record.hall.clone());
        self.joined_at_ms = 0;
    }

    /// Its name.
    pub fn name(&self) -> Name {
        self.record.name.clone()
    }

    /// Whether it runs.
    pub fn lives(&self, now_ms: u64) -> bool {
        self.started_ms.is_some_and(|at| at <= now_ms)
    }

    /// Whether it reaches no other box.
    pub fn is_cut(&self, now_ms: u64) -> bool {
        now_ms < self.cut_until_ms
    }

    /// How it shares what upstreams take with others now.
    pub fn sharing(&self, now_ms: u64) -> QuotaShare {
        let up_ms = self.started_ms.map_or(0, |at| now_ms - at);
        let since_joined_ms = now_ms.saturating_sub(self.joined_at_ms);
        QuotaShare::new(
            self.owners.clone(),
            may_own(up_ms, Some(since_joined_ms)),
            self.fleet_size,
        )
    }

    /// The boxes it knows, as the daemon merges them.
    fn owners_among(&self, now_ms: u64) -> QuotaOwners {
        let mut others: HashMap<Name, BoxRecord> = self.lists.boxes();
        let joined = self.joined.list_for(&self.record.hall, now_ms);
        others.extend(joined.into_iter().map(|r| (r.name.clone(), r)));
        let in_hall = others.values().filter(|r| r.hall == self.record.hall);
        QuotaOwners::new(
            others.values().map(|r| hash(&r.hall)).collect(),
            hash(&self.record.hall),
            in_hall.map(|r| hash(&r.name)).collect(),
            hash(&self.record.name),
        )
    }
}

/// Boxes that join each other at the first three of them.
pub struct SimFleet {
    pub boxes: Vec<SimBox>,
}

impl SimFleet {
    /// So many boxes in so many halls, which start together.
    pub fn new(boxes: usize, halls: usize) -> Self {
        let boxes = (0..boxes).map(|n| SimBox::new(n, halls)).collect();
        Self { boxes }
    }

    /// Lets the troubles of this step come.
    pub fn trouble(&mut self, events: &[Event], now_ms: u64) {
        let count = self.boxes.len();
        for &(at_ms, n, trouble) in events {
            if at_ms / STEP_MS != now_ms / STEP_MS {
                continue;
            }
            let sim = &mut self.boxes[n % count];
            match trouble {
                Trouble::Restart { after_ms } => {
                    sim.started_ms = None;
                    sim.starts_at_ms = at_ms + after_ms;
                }
                Trouble::Loss => {
                    sim.started_ms = None;
                    sim.starts_at_ms = u64::MAX;
                }
                Trouble::Cut { for_ms } => sim.cut_until_ms = at_ms + for_ms,
            }
        }
    }

    /// A box's step: it starts, joins, and looks at which boxes there are. Whether it runs.
    pub fn step(&mut self, n: usize, now_ms: u64) -> bool {
        let look_ms = LOOK_MS * (1 + self.boxes.len() as u64 / 100);
        let sim = &mut self.boxes[n];
        if sim.started_ms.is_none() && now_ms >= sim.starts_at_ms {
            sim.start(now_ms);
        }
        if !sim.lives(now_ms) {
            return false;
        }
        if now_ms >= sim.next_join_ms {
            self.join(n, now_ms);
        }
        if now_ms.is_multiple_of(look_ms) {
            let sim = &mut self.boxes[n];
            sim.owners = Arc::new(sim.owners_among(now_ms));
        }
        true
    }

    /// One round at a seed: the first three boxes.
    fn join(&mut self, n: usize, now_ms: u64) {
        let boxes = &mut self.boxes;
        let seed = boxes[n].rounds % SEEDS;
        let started_ms = boxes[n].started_ms.unwrap_or(now_ms);
        let round = JOIN_PAUSES_MS.iter().scan(0, |sum, pause| {
            *sum += pause;
            Some(*sum)
        });
        let next = round.map(|at| started_ms + at).find(|at| *at > now_ms);
        boxes[n].next_join_ms = next.unwrap_or(now_ms + JOIN_PAUSE_MS);
        boxes[n].rounds += 1;
        let is_cut = boxes[n].is_cut(now_ms) || boxes[seed].is_cut(now_ms);
        if seed == n || !boxes[seed].lives(now_ms) || is_cut {
            return;
        }
        let record = boxes[n].record.clone();
        let hall = record.hall.clone();
        let seed_record = boxes[seed].record.clone();
        boxes[seed].joined.join(record, now_ms);
        boxes[seed].joined.join(seed_record, now_ms);
        let addr = boxes[seed].record.peer_addr;
        let has = boxes[n].lists.cursor(addr);
        let news = boxes[seed].joined.update_for(&hall, has, now_ms);
        boxes[n].lists.apply(addr, news, now_ms);
        boxes[n].fleet_size = boxes[seed].joined.count(now_ms);
        boxes[n].joined_at_ms = now_ms;
    }
}
