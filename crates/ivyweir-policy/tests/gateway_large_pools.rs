//! What users of the whole fleet saw: answers of plain services late, first events late, while engines were idle. Order of events: a
//! request comes to a box with an eighth of a core; the box goes over all 10,000 upstreams, several times; the request leaves
//! tens of milliseconds later. Cause: what a choice cost grew with the pool. These tests count what is looked at.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::{Fleet, FleetChange, UpstreamRecord};
use ivyweir_policy::gateway::placement::PlacementRequest;
use ivyweir_policy::gateway::upstreams::{Choice, ChooseError, Scope, SendRules, Upstreams};
use ivyweir_policy::gateway::work::Estimate;
use ivyweir_policy::hash::{hash64, mix};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const HALLS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// Most upstreams that a request may look at, whatever the pool: twice a home, and those drawn.
const MOST_LOOKED_AT: usize = 64 * 2 + 16;

fn record(n: usize) -> UpstreamRecord {
    UpstreamRecord {
        id: format!("i-{n}").into(),
        pool: "engines".into(),
        addr: format!("10.{}.{}.{}:80", n >> 16, n >> 8 & 255, n & 255)
            .parse()
            .expect("an address"),
        hall: HALLS[n % HALLS.len()].into(),
        version: "v1".into(),
        slots: 24,
        is_leaving: false,
        cold_remaining_ms: 0,
        is_spot: false,
        registered_as: None,
    }
}

fn pool_of(numbers: impl Iterator<Item = usize>, own: u64) -> Upstreams {
    let mut upstreams = Upstreams::new(own);
    for n in numbers {
        upstreams.fleet().put(record(n), 0);
    }
    upstreams
}

fn ask(prefix: Option<u64>, seed: u64) -> PlacementRequest<'static> {
    PlacementRequest {
        prefix: prefix.map(|prefix| mix(prefix, 7)),
        engine: Some(Estimate {
            prefill_ms: 50.0,
            decode_ms: 20.0,
            saved_ms: 40.0,
        }),
        hall: "a",
        far_engine_ms: 0.0,
        avoid_failing: true,
        seed: mix(seed, 3),
        isolation_hash: None,
    }
}

fn choose(
    upstreams: &mut Upstreams,
    ask: &PlacementRequest,
    tried: &[Name],
) -> Result<Choice, ChooseError> {
    let pool = Name::from("engines");
    let scope = Scope {
        pool: &pool,
        side: None,
        tried,
    };
    upstreams.choose(&scope, ask, None, &SendRules::default(), 1_000)
}

fn chosen(upstreams: &mut Upstreams, ask: &PlacementRequest) -> Name {
    let choice = choose(upstreams, ask, &[]).expect("an upstream");
    choice.upstream.id.clone()
}

macro_rules! pools {
    ($($name:ident: $upstreams:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut upstreams = pool_of(0..$upstreams, 1);
            for n in 0..200 {
                let looked = choose(&mut upstreams, &ask(Some(n), n), &[]).expect("an upstream");
                assert!(looked.candidates <= MOST_LOOKED_AT, "{} looked at", looked.candidates);
            }
        }
    )*};
}

pools! {
    of_1_000_a_request_looks_at_some: 1_000;
    of_10_000_at_no_more: 10_000;
    nor_of_20_000: 20_000;
}

#[test]
fn of_a_small_pool_all_are_weighed() {
    let mut upstreams = pool_of(0..500, 1);
    let choice = choose(&mut upstreams, &ask(Some(1), 1), &[]).expect("an upstream");
    assert_eq!(choice.candidates, 500);
}

#[test]
fn boxes_agree_on_where_a_shared_part_is_kept() {
    let mut one = pool_of(0..3_000, 1);
    let mut other = pool_of((0..3_000).rev(), 2);
    for part in 0..300 {
        // Other requests with the part, at other boxes.
        let first = chosen(&mut one, &ask(Some(part), part));
        let second = chosen(&mut other, &ask(Some(part), part + 9_000));
        assert_eq!(first, second, "part {part}");
    }
}

#[test]
fn few_parts_move_when_upstreams_come_and_go() {
    let mut before = pool_of(0..3_000, 1);
    let mut after = pool_of(30..3_030, 1);
    let parts = 1_000;
    let moved = (0..parts).filter(|&part| {
        let ask = ask(Some(part), part);
        chosen(&mut before, &ask) != chosen(&mut after, &ask)
    });
    // One in a hundred went, and one in a hundred came.
    let moved = moved.count();
    assert!(moved <= 40, "{moved} of {parts} moved");
}

#[test]
fn shared_parts_are_spread_evenly() {
    let mut upstreams = pool_of(0..1_000, 1);
    let mut parts: HashMap<Name, u32> = HashMap::new();
    for part in 0..20_000 {
        *parts
            .entry(chosen(&mut upstreams, &ask(Some(part), part)))
            .or_default() += 1;
    }
    let most = parts.values().copied().max().unwrap_or(0);
    assert!(most <= 60, "one has {most} parts where the mean is 20");
    assert!(parts.len() > 980, "{} have any", parts.len());
}

#[test]
fn work_without_a_shared_part_is_spread_evenly() {
    let mut upstreams = pool_of(0..1_000, 1);
    for n in 0..5_000 {
        let id = chosen(&mut upstreams, &ask(None, n));
        upstreams.load(&id).begin(100.0);
    }
    let ids = (0..1_000).map(|n| record(n).id);
    let most = ids.map(|id| upstreams.load(&id).in_flight()).max();
    assert!(most <= Some(10), "one has {most:?} where the mean is 5");
}

#[test]
fn what_other_boxes_told_counts_for_all() {
    let mut upstreams = pool_of(0..1_000, 1);
    let idle = record(77).id;
    let busy = (0..1_000)
        .filter(|n| *n != 77)
        .map(|n| (record(n).id, 5_000.0));
    upstreams.set_peer_work(busy.collect(), 900);
    let drawn = (0..2_000).filter(|&n| chosen(&mut upstreams, &ask(None, n)) == idle);
    // Four of a thousand are weighed of those that a request draws, more than that where fewer can be.
    assert!(drawn.count() >= 2);
}

#[test]
fn the_only_one_that_takes_work_is_found() {
    let mut upstreams = pool_of(0..1_000, 1);
    let tried: Vec<Name> = (0..1_000)
        .filter(|n| *n != 77)
        .map(|n| record(n).id)
        .collect();
    for n in 0..5 {
        let choice = choose(&mut upstreams, &ask(Some(n), n), &tried).expect("an upstream");
        assert_eq!(choice.upstream.id, record(77).id);
    }
}

#[test]
fn one_that_left_or_is_drained_is_not_chosen() {
    let mut upstreams = pool_of(0..1_000, 1);
    let first: HashSet<Name> = (0..300)
        .map(|n| chosen(&mut upstreams, &ask(Some(n), n)))
        .collect();
    for id in &first {
        upstreams.fleet().mark_left(id);
    }
    for n in 0..300 {
        assert!(!first.contains(&chosen(&mut upstreams, &ask(Some(n), n))));
    }
    upstreams.drain_hall("b".into());
    for n in 0..300 {
        let choice = choose(&mut upstreams, &ask(Some(n), n), &[]).expect("an upstream");
        assert_ne!(&*choice.upstream.hall, "b");
    }
}

#[test]
fn requests_under_which_upstreams_ended_are_placed_alike_by_all_boxes() {
    let mut one = pool_of(0..1_000, 1);
    let mut other = pool_of((0..1_000).rev(), 2);
    for n in 0..100 {
        let own = hash64(&[b"request", &[n]]);
        let apart = |seed| PlacementRequest {
            isolation_hash: Some(own),
            ..ask(None, seed)
        };
        assert_eq!(chosen(&mut one, &apart(1)), chosen(&mut other, &apart(2)));
    }
}

/// Whatever comes and goes, of the records that name an address one is used while any of them stands.
#[test]
fn of_those_that_name_an_address_one_is_used() {
    let mut rng = StdRng::seed_from_u64(9);
    for run in 0..50 {
        let mut fleet = Fleet::default();
        let mut standing: HashMap<Name, SocketAddr> = HashMap::new();
        for now_ms in 0..300 {
            let n = rng.random_range(0..60_usize);
            let id = record(n).id;
            match rng.random_range(0..10) {
                0 => {
                    fleet.mark_lapsed(&id, now_ms);
                    standing.remove(&id);
                }
                1 if now_ms > 250 => {
                    fleet.mark_left(&id);
                    standing.remove(&id);
                }
                2 => {
                    fleet.expire_lapsed(20, now_ms);
                }
                _ => {
                    let named = UpstreamRecord {
                        addr: record(rng.random_range(0..12)).addr,
                        ..record(n)
                    };
                    let addr = named.addr;
                    if !fleet.put(named, now_ms).eq(&FleetChange::Nothing)
                        || standing.contains_key(&id)
                    {
                        standing.insert(id, addr);
                    }
                }
            }
            let usable = fleet.usable("engines", |_| true);
            let used: HashSet<SocketAddr> = usable.iter().map(|record| record.addr).collect();
            assert_eq!(used.len(), usable.len(), "run {run}: two at one address");
            let named: HashSet<SocketAddr> = standing.values().copied().collect();
            if !named.is_empty() {
                assert_eq!(used, named, "run {run} at {now_ms} ms");
            }
        }
    }
}
