//! Counts the rejections of upstreams that fail if they reject many requests.

use std::collections::VecDeque;
use std::sync::Arc;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::backlog::{Backlog, add_backlog};
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::placement::PlacementRequest;
use ivyweir_policy::gateway::quota::{QuotaOwners, QuotaShare};
use ivyweir_policy::gateway::statement::{ReportedLoad, Source, Statement};
use ivyweir_policy::gateway::upstreams::{Scope, SendRules, Upstreams};
use ivyweir_policy::gateway::urgency::Band;
use ivyweir_policy::hash::mix;

const POOL: &str = "feed";
const SLOTS: u32 = 6;
const UPSTREAMS: usize = 4;
const REJECTIONS_PER_S: u32 = 5;
/// Time that a request takes.
const REQUEST_MS: u64 = 60;
/// Time from a box's send to the arrival at the upstream.
const DELAY_MS: u64 = 3;
/// Interval at which boxes hear of each other's requests.
const REPORT_MS: u64 = 250;
const END_MS: u64 = 20_000;

fn record(n: usize) -> UpstreamRecord {
    UpstreamRecord {
        id: format!("u{n}").into(),
        pool: POOL.into(),
        addr: ([127, 0, 0, 1], 4_000 + n as u16).into(),
        hall: "hall-a".into(),
        version: "v1".into(),
        slots: SLOTS,
        is_leaving: false,
        cold_remaining_ms: 0,
        is_spot: false,
        registered_as: None,
    }
}

/// A simulated box.
struct Box {
    upstreams: Upstreams,
    started_at_ms: u64,
}

impl Box {
    fn new(number: usize, started_at_ms: u64) -> Self {
        let mut upstreams = Upstreams::new(number as u64 + 1);
        upstreams.set_default_version(&POOL.into(), &"v1".into());
        for n in 0..UPSTREAMS {
            upstreams.fleet().put(record(n), started_at_ms);
        }
        Self {
            upstreams,
            started_at_ms,
        }
    }
}

fn statement() -> Statement {
    Statement {
        brittle: Some(REJECTIONS_PER_S),
        ..Statement::new(Source::Answer)
    }
}

/// A request on its way to or at an upstream.
struct Sent {
    from: usize,
    upstream: usize,
    arrives_ms: u64,
    ends_ms: Option<u64>,
}

/// Lets boxes send `per_s` requests per second in all to upstreams without a queue; returns the most rejections by one
/// upstream within a second, and the share of the requests that were sent.
fn simulate(boxes: usize, per_s: u64, restart_each_ms: Option<u64>) -> (usize, f64) {
    let names: Vec<u64> = (0..boxes as u64).map(|n| mix(n, 99)).collect();
    let owners: Vec<Arc<QuotaOwners>> = names
        .iter()
        .map(|own| Arc::new(QuotaOwners::new(vec![], 1, names.clone(), *own)))
        .collect();
    let mut fleet: Vec<Box> = (0..boxes).map(|n| Box::new(n, 0)).collect();
    let mut sent: Vec<Sent> = Vec::new();
    let mut rejections: Vec<VecDeque<u64>> = vec![VecDeque::new(); UPSTREAMS];
    let (mut most, mut asked, mut accepted) = (0, 0, 0);
    let mut seed = 7;
    for now_ms in 1..END_MS {
        if now_ms % REPORT_MS == 0 {
            report(&mut fleet, now_ms);
        }
        if restart_each_ms.is_some_and(|each_ms| now_ms % each_ms == 0) {
            let number = (now_ms / restart_each_ms.unwrap_or(1)) as usize % boxes;
            sent.retain(|request| request.from != number);
            fleet[number] = Box::new(number, now_ms);
        }
        arrive(&mut fleet, &mut sent, &mut rejections, now_ms);
        for of_upstream in &mut rejections {
            of_upstream.retain(|at_ms| at_ms + 1_000 > now_ms);
            most = most.max(of_upstream.len());
        }
        seed = mix(seed, now_ms);
        // The upstreams say that they are brittle before they have less room.
        if seed % 1_000 >= per_s || now_ms < 200 {
            if now_ms < 200 {
                for member in &mut fleet {
                    let id: Name = "u0".into();
                    member
                        .upstreams
                        .apply_statement(&id, &statement(), 60_000, now_ms);
                }
            }
            continue;
        }
        asked += 1;
        let from = (mix(seed, 3) % boxes as u64) as usize;
        let up_ms = now_ms - fleet[from].started_at_ms;
        let rules = SendRules {
            sharing: QuotaShare::new(
                owners[from].clone(),
                up_ms >= 3_000 || now_ms == up_ms,
                boxes,
            ),
            cold_limit: None,
        };
        accepted += usize::from(send(
            &mut fleet[from],
            from,
            &rules,
            &mut sent,
            seed,
            now_ms,
        ));
    }
    (most, accepted as f64 / asked as f64)
}

/// Tells all boxes the requests of the others, and that the pool is brittle.
fn report(fleet: &mut [Box], now_ms: u64) {
    let own: Vec<Backlog> = fleet.iter().map(|b| b.upstreams.local_backlog()).collect();
    let updates: Vec<_> = fleet
        .iter()
        .flat_map(|b| b.upstreams.recent_brittle_pools(now_ms))
        .collect();
    for (number, member) in fleet.iter_mut().enumerate() {
        let mut others = Backlog::new();
        for (from, backlog) in own.iter().enumerate() {
            if from != number {
                add_backlog(&mut others, backlog);
            }
        }
        let work = Default::default();
        member.upstreams.set_peer_work(&work, &others, now_ms);
        member.upstreams.apply_brittle_pools(&updates, now_ms);
    }
}

/// Moves requests on by a millisecond.
fn arrive(fleet: &mut [Box], sent: &mut Vec<Sent>, rejections: &mut [VecDeque<u64>], now_ms: u64) {
    let mut running = [0; UPSTREAMS];
    for request in sent
        .iter()
        .filter(|r| r.ends_ms.is_some_and(|at| at > now_ms))
    {
        running[request.upstream] += 1;
    }
    sent.retain_mut(|request| {
        let id: Name = format!("u{}", request.upstream).into();
        let upstreams = &mut fleet[request.from].upstreams;
        let mut has_ended = request.ends_ms.is_some_and(|at| at <= now_ms);
        if request.ends_ms.is_none() && request.arrives_ms <= now_ms {
            if running[request.upstream] < SLOTS {
                running[request.upstream] += 1;
                request.ends_ms = Some(now_ms + REQUEST_MS);
            } else {
                rejections[request.upstream].push_back(now_ms);
                upstreams.record_rejection(&id, now_ms);
                has_ended = true;
            }
        }
        if has_ended {
            let load = ReportedLoad {
                running: running[request.upstream],
                waiting: 0,
            };
            let statement = Statement {
                load: Some(load),
                ..statement()
            };
            upstreams.apply_statement(&id, &statement, 60_000, now_ms);
            upstreams.load(&id).end(Band::LAST, REQUEST_MS as f64);
        }
        !has_ended
    });
}

/// Sends a request if an upstream accepts one; returns whether it does.
fn send(
    member: &mut Box,
    from: usize,
    rules: &SendRules,
    sent: &mut Vec<Sent>,
    seed: u64,
    now_ms: u64,
) -> bool {
    let pool: Name = POOL.into();
    let scope = Scope {
        pool: &pool,
        side: None,
        tried: &[],
    };
    let ask = PlacementRequest {
        prefix: None,
        engine: None,
        hall: "hall-a",
        far_engine_ms: 0.0,
        band: Band::LAST,
        forecast: false,
        avoid_failing: true,
        seed,
        isolation_hash: None,
    };
    let Ok(choice) = member.upstreams.choose(&scope, &ask, None, rules, now_ms) else {
        return false;
    };
    let id = choice.upstream.id.clone();
    member
        .upstreams
        .load(&id)
        .begin(Band::LAST, REQUEST_MS as f64);
    if member.upstreams.begin_send(&id, rules, now_ms).is_err() {
        member
            .upstreams
            .load(&id)
            .end(Band::LAST, REQUEST_MS as f64);
        return false;
    }
    sent.push(Sent {
        from,
        upstream: id[1..].parse().expect("number of the upstream"),
        arrives_ms: now_ms + DELAY_MS,
        ends_ms: None,
    });
    true
}

/// Boxes send as many requests as half of the capacity that they own takes, or all if these are fewer. Upstreams fail if
/// they reject more than `REJECTIONS_PER_S` in a second.
macro_rules! loads {
    ($($name:ident: $boxes:expr, per_s $per_s:expr $(, restart_each $each_ms:expr)? => served $served:expr;)*) => {$(
        #[test]
        fn $name() {
            let restart_each_ms: Option<u64> = None;
            $(let restart_each_ms = restart_each_ms.or(Some($each_ms));)?
            let (most, share) = simulate($boxes, $per_s, restart_each_ms);
            println!("at most {most} rejections in a second, {share:.2} sent");
            assert!(most <= REJECTIONS_PER_S as usize, "{most}");
            assert!(share >= $served, "{share}");
        }
    )*};
}

loads! {
    a_light_load: 9, per_s 60 => served 0.9;
    the_capacity: 9, per_s 400 => served 0.5;
    twice_the_capacity: 9, per_s 800 => served 0.25;
    twice_the_capacity_while_boxes_restart: 9, per_s 800, restart_each 700 => served 0.12;
    more_boxes_than_slots: 30, per_s 400 => served 0.25;
}
