//! What a fleet sends to an upstream that is cold: never more than it bears, whatever boxes know of each
//! other.

use std::collections::HashMap;
use std::net::SocketAddr;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::cold::{ColdStart, RecentSends};
use ivyweir_policy::gateway::hall::BoxRecord;
use ivyweir_policy::gateway::joined::{Joined, SeedLists};
use ivyweir_policy::gateway::owners::{Owners, may_own};
use ivyweir_policy::rank::hash64;
use proptest::prelude::*;

const UPSTREAM: u64 = 0x5eed;
const START: ColdStart = ColdStart {
    lasts_ms: 3_000,
    requests_per_s: 8.8,
};
/// Requests of one second from which such an upstream may fall over: its rate times 1.5, and 5 more.
const FALLS_OVER_AT: usize = 18;
const SEEDS: usize = 3;
/// Time between a box's rounds at the seeds, the first of them first, as boxes keep them.
const JOIN_PAUSES_MS: [u64; 7] = [40, 40, 60, 150, 300, 500, 1_000];
const JOIN_PAUSE_MS: u64 = 2_000;
const STEP_MS: u64 = 50;
/// How often a box looks anew at which boxes there are, to keep the run short.
const LOOK_MS: u64 = 200;

fn hash(name: &str) -> u64 {
    hash64(&[name.as_bytes()])
}

fn fleet_owners(boxes: usize, halls: usize) -> Vec<Owners> {
    let hall_of = |n: usize| hash(&format!("hall-{}", n % halls));
    let all_halls: Vec<u64> = (0..halls).map(hall_of).collect();
    (0..boxes)
        .map(|n| {
            let in_hall = (0..boxes).filter(|other| other % halls == n % halls);
            let names = in_hall.map(|other| hash(&format!("box-{other}")));
            let own = hash(&format!("box-{n}"));
            Owners::new(all_halls.clone(), hall_of(n), names.collect(), own)
        })
        .collect()
}

macro_rules! fleets {
    ($($name:ident: $boxes:expr, $halls:expr, $limit:expr;)*) => {$(
        #[test]
        fn $name() {
            let owners = fleet_owners($boxes, $halls);
            for upstream in 0..50 {
                let parts = owners.iter().map(|o| o.own_part(hash(&format!("u-{upstream}")), $limit));
                assert_eq!(parts.sum::<u32>(), $limit);
            }
        }
    )*};
}

fleets! {
    one_box_has_all_parts: 1, 1, 8;
    seven_boxes_in_four_halls_share_all: 7, 4, 8;
    as_many_parts_as_halls: 84, 4, 4;
    fewer_parts_than_halls: 300, 6, 2;
    fewer_parts_than_boxes: 300, 6, 18;
    one_request_for_a_thousand_boxes: 1_000, 22, 1;
}

#[test]
fn boxes_own_parts_of_about_equally_many_upstreams() {
    let owners = fleet_owners(40, 4);
    let owned = |o: &Owners| -> u32 {
        (0..400)
            .map(|n| o.own_part(hash64(&[&[n as u8, (n >> 8) as u8]]), 8))
            .sum()
    };
    let counts: Vec<u32> = owners.iter().map(owned).collect();
    // 400 upstreams of 8 parts on 40 boxes: 80 each.
    assert!(
        counts.iter().all(|count| (45..130).contains(count)),
        "{counts:?}"
    );
}

macro_rules! owning {
    ($($name:ident: $up_ms:expr, $since_joined_ms:expr => $may:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(may_own($up_ms, $since_joined_ms), $may);
        }
    )*};
}

owning! {
    a_box_that_just_started_owns_nothing: 1_000, Some(10) => false;
    a_box_that_is_known_owns: 4_000, Some(10) => true;
    a_box_that_others_may_have_dropped_owns_nothing: 60_000, Some(16_000) => false;
    the_only_box_owns: 4_000, None => true;
}

#[test]
fn a_rate_below_one_still_lets_one_request_through() {
    let start = ColdStart {
        lasts_ms: 0,
        requests_per_s: 0.2,
    };
    assert_eq!(start.limit(), 1);
}

macro_rules! rates {
    ($($name:ident: $rate:expr => $sane:expr;)*) => {$(
        #[test]
        fn $name() {
            let start = ColdStart { lasts_ms: 0, requests_per_s: $rate };
            assert_eq!(start.is_sane(), $sane);
        }
    )*};
}

rates! {
    a_rate_is_sane: 8.8 => true;
    a_negative_rate_is_not: -1.0 => false;
    no_rate_is_not: 0.0 => false;
    an_endless_rate_is_not: f64::INFINITY => false;
    a_rate_that_is_no_number_is_not: f64::NAN => false;
}

/// What becomes of a box in the middle of a run.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    /// It is killed, forgets all, and starts again.
    Restart { after_ms: u64 },
    /// It is gone for good.
    Loss,
    /// It reaches no other box for a while, and goes on sending.
    Cut { for_ms: u64 },
}

/// A trouble, when it comes, and to which box.
type Event = (u64, usize, Trouble);

struct SimBox {
    record: BoxRecord,
    started_ms: Option<u64>,
    starts_at_ms: u64,
    cut_until_ms: u64,
    next_join_ms: u64,
    rounds: usize,
    joined: Joined,
    lists: SeedLists,
    joined_at_ms: u64,
    sends: RecentSends,
    part: u32,
}

impl SimBox {
    fn new(n: usize, halls: usize, starts_at_ms: u64) -> Self {
        let record = BoxRecord {
            name: format!("box-{n}").into(),
            hall: format!("hall-{}", n % halls).into(),
            peer_addr: SocketAddr::from(([127, 0, 0, 1], 7_000 + n as u16)),
            cpu_milli: 120,
        };
        Self {
            record,
            started_ms: None,
            starts_at_ms,
            cut_until_ms: 0,
            next_join_ms: 0,
            rounds: n,
            joined: Joined::default(),
            lists: SeedLists::default(),
            joined_at_ms: 0,
            sends: RecentSends::default(),
            part: 0,
        }
    }

    fn start(&mut self, now_ms: u64) {
        self.started_ms = Some(now_ms);
        self.next_join_ms = now_ms;
        self.rounds %= SEEDS;
        self.joined = Joined::default();
        self.lists = SeedLists::default();
        self.joined_at_ms = 0;
        self.sends = RecentSends::default();
    }

    fn lives(&self, now_ms: u64) -> bool {
        self.started_ms.is_some_and(|at| at <= now_ms)
    }

    /// The boxes it knows, as the daemon merges them.
    fn owners(&self, now_ms: u64) -> Owners {
        let mut others: HashMap<Name, BoxRecord> = self.lists.boxes();
        let joined = self.joined.list_for(&self.record.hall, now_ms);
        others.extend(joined.into_iter().map(|r| (r.name.clone(), r)));
        let in_hall = others.values().filter(|r| r.hall == self.record.hall);
        Owners::new(
            others.values().map(|r| hash(&r.hall)).collect(),
            hash(&self.record.hall),
            in_hall.map(|r| hash(&r.name)).collect(),
            hash(&self.record.name),
        )
    }

    fn may_own(&self, now_ms: u64) -> bool {
        let up_ms = self.started_ms.map_or(0, |at| now_ms - at);
        may_own(up_ms, Some(now_ms.saturating_sub(self.joined_at_ms)))
    }
}

/// Plays a fleet all of whose boxes send to one cold upstream as often as they may; returns the times of
/// all requests.
fn play(boxes: usize, halls: usize, events: &[Event], until_ms: u64) -> Vec<u64> {
    let mut fleet: Vec<SimBox> = (0..boxes).map(|n| SimBox::new(n, halls, 0)).collect();
    let mut sent = Vec::new();
    for now_ms in (0..until_ms).step_by(STEP_MS as usize) {
        for &(at_ms, n, trouble) in events
            .iter()
            .filter(|(at, ..)| at / STEP_MS == now_ms / STEP_MS)
        {
            let sim = &mut fleet[n % boxes];
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
        for n in 0..boxes {
            step(&mut fleet, n, now_ms, &mut sent);
        }
    }
    sent
}

fn step(fleet: &mut [SimBox], n: usize, now_ms: u64, sent: &mut Vec<u64>) {
    if fleet[n].started_ms.is_none() && now_ms >= fleet[n].starts_at_ms {
        fleet[n].start(now_ms);
    }
    if !fleet[n].lives(now_ms) {
        return;
    }
    if now_ms >= fleet[n].next_join_ms {
        join(fleet, n, now_ms);
    }
    let sim = &mut fleet[n];
    if now_ms.is_multiple_of(LOOK_MS) {
        sim.part = sim.owners(now_ms).own_part(UPSTREAM, START.limit());
    }
    while sim.may_own(now_ms) && sim.sends.count(now_ms) < sim.part {
        sim.sends.note(now_ms);
        sent.push(now_ms);
    }
}

/// One round at a seed: the first three boxes.
fn join(fleet: &mut [SimBox], n: usize, now_ms: u64) {
    let seed = fleet[n].rounds % SEEDS;
    let started_ms = fleet[n].started_ms.unwrap_or(now_ms);
    let round = JOIN_PAUSES_MS.iter().scan(0, |sum, pause| {
        *sum += pause;
        Some(*sum)
    });
    let next = round.map(|at| started_ms + at).find(|at| *at > now_ms);
    fleet[n].next_join_ms = next.unwrap_or(now_ms + JOIN_PAUSE_MS);
    fleet[n].rounds += 1;
    let is_cut = |sim: &SimBox| now_ms < sim.cut_until_ms;
    if seed == n || !fleet[seed].lives(now_ms) || is_cut(&fleet[n]) || is_cut(&fleet[seed]) {
        return;
    }
    let record = fleet[n].record.clone();
    let hall = record.hall.clone();
    let seed_record = fleet[seed].record.clone();
    fleet[seed].joined.join(record, now_ms);
    fleet[seed].joined.join(seed_record, now_ms);
    let list = fleet[seed].joined.list_for(&hall, now_ms);
    let addr = fleet[seed].record.peer_addr;
    fleet[n].lists.take(addr, Some(list), now_ms);
    fleet[n].joined_at_ms = now_ms;
}

/// The most requests within any second.
fn most_in_a_second(sent: &[u64]) -> usize {
    let in_second = |from: u64| {
        sent.iter()
            .filter(|&&at| at >= from && at < from + 1_000)
            .count()
    };
    sent.iter().map(|&from| in_second(from)).max().unwrap_or(0)
}

#[test]
fn a_fleet_at_rest_gives_a_cold_upstream_what_it_bears() {
    let sent = play(24, 4, &[], 10_000);
    assert!(most_in_a_second(&sent) <= START.limit() as usize);
    // Eight a second for the last five seconds, at least nine tenths of them.
    let late = sent.iter().filter(|&&at| at >= 5_000).count();
    assert!(late >= 34, "{late}");
}

#[test]
fn all_boxes_restart_at_once_and_forget_what_they_sent() {
    let restarts = (0..24).map(|n| (6_000 + 20 * n as u64, n, Trouble::Restart { after_ms: 100 }));
    let events: Vec<Event> = restarts.collect();
    let sent = play(24, 4, &events, 14_000);
    assert!(
        most_in_a_second(&sent) <= FALLS_OVER_AT,
        "{}",
        most_in_a_second(&sent)
    );
}

fn troubles() -> impl Strategy<Value = Vec<Event>> {
    let trouble = prop_oneof![
        4 => (0_u64..4_000).prop_map(|after_ms| Trouble::Restart { after_ms }),
        1 => Just(Trouble::Loss),
        3 => (500_u64..40_000).prop_map(|for_ms| Trouble::Cut { for_ms }),
    ];
    prop::collection::vec((0_u64..40_000, 0_usize..40, trouble), 0..30)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 16, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(27), ..ProptestConfig::default() })]
    #[test]
    fn no_trouble_makes_a_fleet_exceed_what_a_cold_upstream_bears(
        boxes in 6_usize..40, halls in 1_usize..6, events in troubles()
    ) {
        let sent = play(boxes, halls, &events, 60_000);
        prop_assert!(most_in_a_second(&sent) <= FALLS_OVER_AT, "{}", most_in_a_second(&sent));
    }
}
