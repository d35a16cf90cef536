//! Gateway decisions: routing and access keys, fleet state, placement, model escalation, retry budgets,
//! work estimates and incarnations.

use std::net::SocketAddr;
use std::sync::Arc;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::cascade::{CONFIDENCE_FLOOR, EscalationInput, escalate};
use ivyweir_policy::gateway::fleet::{Fleet, FleetChange, UpstreamRecord};
use ivyweir_policy::gateway::occupancy::PoolOccupancy;
use ivyweir_policy::gateway::placement::{Candidate, PlacementRequest, UpstreamLoad, choose};
use ivyweir_policy::gateway::retry_budget::{RetryBudget, RetryLimits};
use ivyweir_policy::gateway::site::{
    Access, PoolShare, Route, RouteKind, SiteConfig, SiteIndex, Workspace,
};
use ivyweir_policy::gateway::urgency::{Band, ShortestFirst, UrgencyInput, UrgencyOrder};
use ivyweir_policy::gateway::work::{Tokens, estimate};

/// Milliseconds per token of each model, smallest model first.
const MS_PER_TOKEN: [f64; 3] = [0.005, 0.016, 0.05];

fn route(prefix: &str, anonymous: bool) -> Arc<Route> {
    Arc::new(Route {
        name: prefix.into(),
        host: "h".into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Safe,
        timeout_ms: 1_000,
        latency_aim_ms: 100,
        priority: 1,
        models: Vec::new(),
        pools: vec![share("p1", 90), share("p2", 10)],
        max_attempts: 2,
        anonymous,
    })
}

fn share(pool: &str, weight: u32) -> PoolShare {
    PoolShare {
        pool: pool.into(),
        weight,
    }
}

fn index() -> SiteIndex {
    let workspace = Workspace {
        name: "w".into(),
        keys: vec!["k".into()],
        priority: None,
    };
    SiteIndex::from(SiteConfig {
        version: 1,
        routes: vec![route("/", false), route("/a/", true), route("/a/b/", false)],
        workspaces: vec![Arc::new(workspace)],
        ..SiteConfig::default()
    })
}

macro_rules! route_cases {
    ($($name:ident: $host:expr, $path:expr => $route:expr;)*) => {$(
        #[test]
        fn $name() {
            let index = index();
            let found = index.route($host, $path).map(|route| &*route.name);
            assert_eq!(found, $route);
        }
    )*};
}

route_cases! {
    the_longest_prefix_wins: "h", "/a/b/c" => Some("/a/b/");
    a_shorter_one_serves_the_rest: "h", "/a/c" => Some("/a/");
    a_prefix_ends_with_its_slash: "h", "/a" => Some("/");
    another_host_has_no_routes: "other", "/a/" => None;
}

macro_rules! access_cases {
    ($($name:ident: $path:expr, $key:expr => $caller:expr;)*) => {$(
        #[test]
        fn $name() {
            let index = index();
            let route = index.route("h", $path).expect("a route");
            let caller = match index.access(route, $key) {
                Access::Workspace(workspace) => workspace.name.to_string(),
                Access::Anonymous => "nobody".into(),
                Access::Denied => "denied".into(),
            };
            assert_eq!(caller, $caller);
        }
    )*};
}

access_cases! {
    a_known_key_names_its_workspace: "/x", Some("k") => "w";
    an_unknown_key_is_denied: "/x", Some("guess") => "denied";
    no_key_is_denied: "/x", None => "denied";
    no_key_is_fine_where_none_is_asked_for: "/a/x", None => "nobody";
    an_unknown_key_is_denied_there_too: "/a/x", Some("guess") => "denied";
}

#[test]
fn pools_get_their_weights() {
    let route = route("/", true);
    let first = (0..1_000).filter(|n| route.pool(*n).is_some_and(|pool| &**pool == "p1"));
    assert_eq!(first.count(), 900);
}

/// Derives the port from the id, so that records have different addresses.
fn record(id: &str, hall: &str) -> UpstreamRecord {
    let port = 1 + (ivyweir_policy::hash::hash64(&[id.as_bytes()]) % 60_000) as u16;
    UpstreamRecord {
        id: id.into(),
        pool: "p".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], port)),
        hall: hall.into(),
        version: "v1".into(),
        slots: 8,
        is_leaving: false,
        cold_remaining_ms: 0,
        is_spot: false,
        registered_as: None,
    }
}

fn leaving(id: &str) -> UpstreamRecord {
    UpstreamRecord {
        is_leaving: true,
        ..record(id, "a")
    }
}

fn usable_ids(fleet: &Fleet) -> Vec<Name> {
    let mut ids: Vec<Name> = fleet
        .usable("p", |_| true)
        .iter()
        .map(|r| r.id.clone())
        .collect();
    ids.sort();
    ids
}

#[test]
fn an_upstream_that_left_never_comes_back() {
    let mut fleet = Fleet::default();
    fleet.put(record("u1", "a"), 0);
    assert_eq!(fleet.put(leaving("u1"), 0), FleetChange::Leaving);
    assert_eq!(fleet.put(record("u1", "a"), 0), FleetChange::Nothing);
    assert!(usable_ids(&fleet).is_empty());
}

#[test]
fn a_lapsed_upstream_is_used_only_where_no_other_is_left() {
    let mut fleet = Fleet::default();
    fleet.put(record("u1", "a"), 0);
    fleet.put(record("u2", "a"), 0);
    fleet.mark_lapsed("u1", 100);
    assert_eq!(usable_ids(&fleet), ["u2".into()]);
    fleet.mark_lapsed("u2", 200);
    assert_eq!(usable_ids(&fleet), ["u1".into(), "u2".into()]);
    fleet.expire_lapsed(1_000, 1_150);
    assert_eq!(usable_ids(&fleet), ["u2".into()]);
    assert_eq!(fleet.put(record("u2", "a"), 0), FleetChange::Returned);
}

#[test]
fn a_listing_lapses_what_it_lacks() {
    let mut fleet = Fleet::default();
    fleet.put(record("u1", "a"), 0);
    let changes = fleet.replace_all(vec![record("u2", "a"), leaving("u3")], 5);
    let expected = [
        ("u1".into(), FleetChange::Lapsed),
        ("u2".into(), FleetChange::Joined),
        ("u3".into(), FleetChange::Leaving),
    ];
    assert_eq!(changes, expected);
}

fn candidate(record: &UpstreamRecord, number: u64, load: UpstreamLoad) -> Candidate<'_> {
    Candidate {
        record,
        id_hash: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        load,
    }
}

const LONG_PROMPT: Tokens = Tokens {
    shared: 5_000,
    unique: 6_000,
    output: 300,
};

fn placement_request(
    prefix: Option<u64>,
    tokens: Option<Tokens>,
    seed: u64,
) -> PlacementRequest<'static> {
    PlacementRequest {
        prefix,
        engine: tokens.map(|tokens| estimate(Some(tokens), MS_PER_TOKEN[0])),
        hall: "a",
        far_engine_ms: 400.0,
        band: Band::LAST,
        forecast: false,
        avoid_failing: true,
        seed,
        isolation_hash: None,
    }
}

#[test]
fn requests_with_the_same_part_go_to_the_same_idle_engine() {
    let records: Vec<_> = (0..8).map(|n| record(&format!("u{n}"), "a")).collect();
    let chosen = |seed| {
        let idle = |(n, record)| candidate(record, n as u64, UpstreamLoad::default());
        let candidates: Vec<_> = records.iter().enumerate().map(idle).collect();
        choose(
            &candidates,
            &placement_request(Some(7), Some(LONG_PROMPT), seed),
            0,
        )
    };
    let first = chosen(0);
    assert!((0..50).all(|seed| chosen(seed) == first));
}

#[test]
fn a_busy_engine_is_passed_over_in_spite_of_its_memory() {
    let records: Vec<_> = (0..8).map(|n| record(&format!("u{n}"), "a")).collect();
    let chosen = |busy: Option<usize>, seed| {
        let loaded = |(n, record)| {
            let mut load = UpstreamLoad::default();
            if Some(n) == busy {
                load.begin(Band::FIRST, 10_000.0);
            }
            candidate(record, n as u64, load)
        };
        let candidates: Vec<_> = records.iter().enumerate().map(loaded).collect();
        choose(
            &candidates,
            &placement_request(Some(7), Some(LONG_PROMPT), seed),
            0,
        )
    };
    let preferred = chosen(None, 0);
    assert!((0..50).all(|seed| chosen(preferred, seed) != preferred));
}

#[test]
fn a_plain_request_stays_in_its_hall_until_that_is_fuller() {
    let records = [record("near", "a"), record("far", "b")];
    let chosen = |near_requests: u32| {
        let mut near = UpstreamLoad::default();
        (0..near_requests).for_each(|_| near.begin(Band::FIRST, 1.0));
        let far = UpstreamLoad::default();
        let candidates = [
            candidate(&records[0], 1, near),
            candidate(&records[1], 2, far),
        ];
        choose(&candidates, &placement_request(None, None, 0), 0)
    };
    assert_eq!(chosen(0), Some(0));
    assert_eq!(chosen(1), Some(0));
    assert_eq!(chosen(4), Some(1));
}

#[test]
fn an_upstream_that_cannot_be_reached_is_left_alone_for_a_while() {
    let records = [record("near", "a"), record("far", "b")];
    let mut near = UpstreamLoad::default();
    near.record_connection_failure(0);
    let chosen = |now_ms| {
        let far = UpstreamLoad::default();
        let near = candidate(&records[0], 1, near.clone());
        choose(
            &[near, candidate(&records[1], 2, far)],
            &placement_request(None, None, 0),
            now_ms,
        )
    };
    assert_eq!(chosen(10), Some(1));
    assert_eq!(chosen(500), Some(0));
}

macro_rules! escalation_cases {
    ($($name:ident: $confidence:expr, from $model:expr, wait $wait_ms:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let input = EscalationInput {
                confidence: $confidence,
                model: $model,
                models: 3,
                floor: CONFIDENCE_FLOOR,
                wait_ms: $wait_ms,
                remaining_ms: 4_000.0,
                occupancy: PoolOccupancy::default(),
                band: Band::FIRST,
                sustained_share: 1.0,
                waits_for_slot: false,
                draw: 0.0,
            };
            assert_eq!(escalate(&input), $expected);
        }
    )*};
}

escalation_cases! {
    an_unsure_small_model_gives_way_to_the_largest: Some(20), from 0, wait 0.0 => Some(2);
    a_sure_one_does_not: Some(80), from 0, wait 0.0 => None;
    the_largest_has_the_last_word: Some(0), from 2, wait 0.0 => None;
    a_model_that_tells_nothing_is_believed: None, from 0, wait 0.0 => None;
    a_busy_pool_takes_what_it_has: Some(20), from 0, wait 6_000.0 => None;
    a_wait_of_half_the_time_changes_nothing: Some(49), from 0, wait 2_000.0 => Some(2);
    a_longer_one_spares_the_least_doubtful: Some(30), from 0, wait 4_000.0 => None;
    and_asks_for_the_most_doubtful: Some(10), from 0, wait 4_000.0 => Some(2);
    a_wait_that_is_no_number_asks_nothing: Some(20), from 0, wait f64::NAN => None;
}

#[test]
fn an_answer_that_is_late_already_is_not_asked_again() {
    let input = EscalationInput {
        confidence: Some(0),
        model: 0,
        models: 3,
        floor: CONFIDENCE_FLOOR,
        wait_ms: 0.0,
        remaining_ms: 0.0,
        occupancy: PoolOccupancy::default(),
        band: Band::FIRST,
        sustained_share: 1.0,
        waits_for_slot: false,
        draw: 0.0,
    };
    assert_eq!(escalate(&input), None);
}

const RETRY_LIMITS: RetryLimits = RetryLimits {
    ratio: 0.5,
    slack: 1.0,
    fleet_slack: 20.0,
    window_ms: 10_000,
};

fn retries_granted(budget: &mut RetryBudget, now_ms: u64) -> usize {
    (0..100)
        .filter(|_| budget.try_take(&RETRY_LIMITS, None, now_ms))
        .count()
}

#[test]
fn repeats_keep_to_their_share_of_a_sliding_window() {
    let mut budget = RetryBudget::default();
    assert_eq!(
        retries_granted(&mut budget, 0),
        1,
        "only the slack without requests"
    );
    (0..10).for_each(|_| budget.count_request(&RETRY_LIMITS, 100));
    assert_eq!(
        retries_granted(&mut budget, 200),
        5,
        "ratio 0.5 of ten requests"
    );
    assert_eq!(
        retries_granted(&mut budget, 9_000),
        0,
        "the requests are still in the window"
    );
    assert_eq!(
        retries_granted(&mut budget, 25_000),
        1,
        "only the slack after the window"
    );
}

#[test]
fn long_prompts_and_large_models_rank_behind() {
    let short = Tokens {
        shared: 100,
        unique: 600,
        output: 100,
    };
    let rank = |tokens, model| {
        let input = UrgencyInput {
            priority: 0,
            estimate: estimate(Some(tokens), MS_PER_TOKEN[model]),
            to_target_ms: 0,
            occupancy: 0.0,
        };
        ShortestFirst.urgency(&input).level()
    };
    assert!(rank(short, 0) < rank(LONG_PROMPT, 0));
    assert!(rank(LONG_PROMPT, 0) < rank(LONG_PROMPT, 2));
    assert!(rank(LONG_PROMPT, 2) <= 9);
}

#[test]
fn requests_that_were_together_at_an_upstream_that_ended_are_apart_next() {
    let records: Vec<_> = (0..17).map(|n| record(&format!("u{n}"), "a")).collect();
    let numbered = records.iter().zip(0..);
    let idle: Vec<_> = numbered
        .map(|(r, n)| candidate(r, n, UpstreamLoad::default()))
        .collect();
    let mut placed = std::collections::HashMap::<usize, usize>::new();
    for request_number in 0..43 {
        let isolation_hash = Some(ivyweir_policy::hash::hash64(&[&[request_number]]));
        let request = PlacementRequest {
            isolation_hash,
            ..placement_request(None, Some(LONG_PROMPT), 0)
        };
        let chosen = choose(&idle, &request, 0).expect("a candidate");
        assert_eq!(choose(&idle, &request, 0), Some(chosen));
        *placed.entry(chosen).or_default() += 1;
    }
    assert!(placed.values().all(|count| *count <= 7), "{placed:?}");
}

/// Record of the incarnation of `u` whose own clock read `started_at_ms` at its start.
fn incarnation(started_at_ms: u64) -> UpstreamRecord {
    UpstreamRecord {
        registered_as: Some("u".into()),
        addr: record("u", "a").addr,
        ..record(&UpstreamRecord::incarnation_id("u", started_at_ms), "a")
    }
}

fn leaving_incarnation(started_at_ms: u64) -> UpstreamRecord {
    UpstreamRecord {
        is_leaving: true,
        ..incarnation(started_at_ms)
    }
}

macro_rules! incarnation_cases {
    ($($name:ident: $records:expr => usable $usable:expr, replaced $replaced:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut fleet = Fleet::default();
            for record in $records {
                fleet.put(record, 0);
            }
            assert_eq!(usable_ids(&fleet), $usable as [Name; _]);
            let replaced: Vec<Name> = fleet.take_replaced().iter().map(|r| r.id.clone()).collect();
            assert_eq!(replaced, $replaced as [Name; _]);
        }
    )*};
}

incarnation_cases! {
    another_start_is_another_upstream: [incarnation(5), incarnation(9)] => usable ["u@9".into()], replaced ["u@5".into()];
    the_order_is_the_registrys_since_clocks_step: [incarnation(9), incarnation(5)] => usable ["u@5".into()], replaced ["u@9".into()];
    an_old_record_does_not_bring_the_old_one_back: [incarnation(5), incarnation(9), incarnation(5)] => usable ["u@9".into()], replaced ["u@5".into()];
    twice_in_a_row: [incarnation(5), incarnation(6), incarnation(7)] => usable ["u@7".into()], replaced ["u@5".into(), "u@6".into()];
    after_a_notice_that_it_leaves: [incarnation(5), leaving_incarnation(5), incarnation(9)] => usable ["u@9".into()], replaced [];
    a_late_notice_of_the_old_one: [incarnation(5), incarnation(9), leaving_incarnation(5)] => usable ["u@9".into()], replaced ["u@5".into()];
    one_that_starts_leaving: [incarnation(5), leaving_incarnation(9)] => usable [], replaced ["u@5".into()];
}

#[test]
fn the_registry_takes_out_whichever_incarnation_has_the_name() {
    let mut fleet = Fleet::default();
    fleet.put(incarnation(5), 0);
    fleet.put(incarnation(9), 0);
    assert_eq!(fleet.mark_lapsed("u", 10), FleetChange::Lapsed);
    fleet.expire_lapsed(0, 10);
    assert!(usable_ids(&fleet).is_empty());
    // The expired incarnation `u@9` still counts as a predecessor of `u@12`.
    fleet.put(incarnation(12), 20);
    fleet.put(incarnation(9), 30);
    assert_eq!(usable_ids(&fleet), ["u@12".into()]);
}

fn record_at_address_of(id: &str, address_owner: &str) -> UpstreamRecord {
    UpstreamRecord {
        addr: record(address_owner, "a").addr,
        ..record(id, "a")
    }
}

#[test]
fn a_record_at_another_ones_address_is_used_only_once_that_is_gone() {
    let mut fleet = Fleet::default();
    fleet.put(record("own", "a"), 0);
    fleet.put(record_at_address_of("foreign", "own"), 0);
    fleet.put(record_at_address_of("next", "own"), 0);
    assert_eq!(usable_ids(&fleet), ["own".into()]);
    // Writing the record again does not lose its precedence at the address.
    fleet.put(record("own", "a"), 5);
    assert_eq!(usable_ids(&fleet), ["own".into()]);
    fleet.mark_lapsed("own", 10);
    assert_eq!(usable_ids(&fleet), ["foreign".into()]);
    fleet.mark_left(&"foreign".into());
    assert_eq!(usable_ids(&fleet), ["next".into()]);
    fleet.put(record("next", "a"), 20);
    fleet.put(record("own", "a"), 20);
    assert_eq!(usable_ids(&fleet), ["next".into(), "own".into()]);
}

#[test]
fn a_record_of_an_unknown_pool_keeps_nobody_from_its_address() {
    let mut fleet = Fleet::default();
    let foreign = UpstreamRecord {
        pool: "nobody's".into(),
        ..record_at_address_of("a-foreign", "own")
    };
    fleet.put(foreign, 0);
    fleet.put(record("own", "a"), 0);
    assert_eq!(usable_ids(&fleet), ["own".into()]);
}

#[test]
fn a_record_without_a_start_is_not_used_where_most_tell_theirs() {
    let mut fleet = Fleet::default();
    fleet.put(record("untold", "a"), 0);
    assert_eq!(usable_ids(&fleet), ["untold".into()]);
    for n in 0..2 {
        let name = format!("u{n}");
        let incarnation = UpstreamRecord {
            registered_as: Some(name.as_str().into()),
            ..record(&UpstreamRecord::incarnation_id(&name, 7), "a")
        };
        fleet.put(incarnation, 0);
    }
    assert_eq!(usable_ids(&fleet), ["u0@7".into(), "u1@7".into()]);
}
