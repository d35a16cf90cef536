//! A simulated fleet: which boxes run, and which other boxes each knows through joining at seeds.
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
/// Intervals between a box's first join rounds after its start, in order; the same as in the daemon.
const INITIAL_JOIN_INTERVALS_MS: [u64; 7] = [40, 40, 60, 150, 300, 500, 1_000];
/// Interval between later join rounds.
const JOIN_INTERVAL_MS: u64 = 2_000;
pub const STEP_MS: u64 = 50;
/// Interval at which a box recomputes its quota owners. It grows by the same amount for every hundred
/// boxes, to keep the run short.
const OWNERS_REFRESH_MS: u64 = 200;

pub fn hash(name: &str) -> u64 {
    hash64(&[name.as_bytes()])
}

/// A fault injected into a box during a run.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The box is killed, loses all its state and starts again.
    Restart { after_ms: u64 },
    /// The box is lost permanently.
    Loss,
    /// The box cannot reach any other box for a while, but continues to send requests.
    Partition { for_ms: u64 },
}

/// The time of a fault, the index of the box it affects, and the fault.
pub type FaultEvent = (u64, usize, Fault);

/// Generates series of restarts, losses and network partitions, which may overlap.
pub fn fault_events() -> impl Strategy<Value = Vec<FaultEvent>> {
    let fault = prop_oneof![
        4 => (0_u64..4_000).prop_map(|after_ms| Fault::Restart { after_ms }),
        1 => Just(Fault::Loss),
        3 => (500_u64..40_000).prop_map(|for_ms| Fault::Partition { for_ms }),
    ];
    prop::collection::vec((0_u64..40_000, 0_usize..40, fault), 0..30)
}

/// A simulated box and its view of the other boxes.
pub struct SimBox {
    record: BoxRecord,
    /// Number of starts; each start resets the state of the box.
    pub starts: u32,
    started_ms: Option<u64>,
    starts_at_ms: u64,
    partitioned_until_ms: u64,
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
            partitioned_until_ms: 0,
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

    pub fn name(&self) -> Name {
        self.record.name.clone()
    }

    /// Whether the box is running.
    pub fn is_running(&self, now_ms: u64) -> bool {
        self.started_ms.is_some_and(|at| at <= now_ms)
    }

    /// Whether the box is partitioned from all other boxes.
    pub fn is_partitioned(&self, now_ms: u64) -> bool {
        now_ms < self.partitioned_until_ms
    }

    /// The share of the upstreams' quotas that this box may use now.
    pub fn quota_share(&self, now_ms: u64) -> QuotaShare {
        let up_ms = self.started_ms.map_or(0, |at| now_ms - at);
        let since_joined_ms = now_ms.saturating_sub(self.joined_at_ms);
        QuotaShare::new(
            self.owners.clone(),
            may_own(up_ms, Some(since_joined_ms)),
            self.fleet_size,
        )
    }

    /// The quota owners among the known boxes, merged as in the daemon.
    fn quota_owners(&self, now_ms: u64) -> QuotaOwners {
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

/// A fleet whose boxes learn of each other by joining at the first three of them, the seeds.
pub struct SimFleet {
    pub boxes: Vec<SimBox>,
}

impl SimFleet {
    /// Creates `boxes` boxes in `halls` halls, which all start at the same time.
    pub fn new(boxes: usize, halls: usize) -> Self {
        let boxes = (0..boxes).map(|n| SimBox::new(n, halls)).collect();
        Self { boxes }
    }

    /// Injects the faults that are due in this step.
    pub fn inject_faults(&mut self, events: &[FaultEvent], now_ms: u64) {
        let count = self.boxes.len();
        for &(at_ms, n, fault) in events {
            if at_ms / STEP_MS != now_ms / STEP_MS {
                continue;
            }
            let sim_box = &mut self.boxes[n % count];
            match fault {
                Fault::Restart { after_ms } => {
                    sim_box.started_ms = None;
                    sim_box.starts_at_ms = at_ms + after_ms;
                }
                Fault::Loss => {
                    sim_box.started_ms = None;
                    sim_box.starts_at_ms = u64::MAX;
                }
                Fault::Partition { for_ms } => sim_box.partitioned_until_ms = at_ms + for_ms,
            }
        }
    }

    /// Advances a box by one step: starts it, joins at a seed and recomputes the quota owners, as due.
    /// Returns whether the box is running.
    pub fn step(&mut self, n: usize, now_ms: u64) -> bool {
        let refresh_ms = OWNERS_REFRESH_MS * (1 + self.boxes.len() as u64 / 100);
        let sim_box = &mut self.boxes[n];
        if sim_box.started_ms.is_none() && now_ms >= sim_box.starts_at_ms {
            sim_box.start(now_ms);
        }
        if !sim_box.is_running(now_ms) {
            return false;
        }
        if now_ms >= sim_box.next_join_ms {
            self.join(n, now_ms);
        }
        if now_ms.is_multiple_of(refresh_ms) {
            let sim_box = &mut self.boxes[n];
            sim_box.owners = Arc::new(sim_box.quota_owners(now_ms));
        }
        true
    }

    /// Performs one join round at the next of the seeds.
    fn join(&mut self, n: usize, now_ms: u64) {
        let boxes = &mut self.boxes;
        let seed = boxes[n].rounds % SEEDS;
        let started_ms = boxes[n].started_ms.unwrap_or(now_ms);
        let round = INITIAL_JOIN_INTERVALS_MS.iter().scan(0, |sum, pause| {
            *sum += pause;
            Some(*sum)
        });
        let next = round.map(|at| started_ms + at).find(|at| *at > now_ms);
        boxes[n].next_join_ms = next.unwrap_or(now_ms + JOIN_INTERVAL_MS);
        boxes[n].rounds += 1;
        let is_partitioned = boxes[n].is_partitioned(now_ms) || boxes[seed].is_partitioned(now_ms);
        if seed == n || !boxes[seed].is_running(now_ms) || is_partitioned {
            return;
        }
        let record = boxes[n].record.clone();
        let hall = record.hall.clone();
        let seed_record = boxes[seed].record.clone();
        boxes[seed].joined.join(record, now_ms);
        boxes[seed].joined.join(seed_record, now_ms);
        let addr = boxes[seed].record.peer_addr;
        let cursor = boxes[n].lists.cursor(addr);
        let update = boxes[seed].joined.update_for(&hall, cursor, now_ms);
        boxes[n].lists.apply(addr, update, now_ms);
        boxes[n].fleet_size = boxes[seed].joined.count(now_ms);
        boxes[n].joined_at_ms = now_ms;
    }
}
