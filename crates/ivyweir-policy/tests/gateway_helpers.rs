//! Counts how requests of boxes without paths are spread over boxes that have them.

use std::collections::{BTreeSet, HashMap};

use ivyweir_policy::Name;
use ivyweir_policy::gateway::helpers::{Declined, Helpers};
use ivyweir_policy::gateway::membership::JoinedBoxes;
use ivyweir_policy::gateway::relay::BoxRecord;
use ivyweir_policy::hash::mix;

/// Requests that a box hands over to others, per second.
const REQUESTS_PER_S: usize = 4;
/// Time that a request takes at a helper.
const REQUEST_MS: u64 = 1_000;
/// Boxes asked for one request.
const MAX_ASKED: usize = 8;
/// Requests of others that a box serves at once.
const MAX_ACCEPTED: usize = 256;
/// The same at most where most boxes have paths: a quarter.
const MAX_SPREAD: usize = 64;
/// Boxes that one that declines names.
const HINTS: usize = 6;
const STEP_MS: u64 = 50;
/// Time within which boxes find helpers.
const NOTICE_MS: u64 = 800;
const END_MS: u64 = 5_000;

struct Fleet {
    boxes: Vec<BoxRecord>,
    /// For each box, the others that it knows.
    known: Vec<Vec<Name>>,
}

impl Fleet {
    fn new(boxes: usize, halls: usize) -> Self {
        let record = |n: usize| BoxRecord {
            name: format!("box-{n}").into(),
            hall: format!("hall-{}", n % halls).into(),
            peer_addr: ([127, 0, 0, 1], 1_024 + n as u16).into(),
            cpu_milli: 250,
        };
        let boxes: Vec<BoxRecord> = (0..boxes).map(record).collect();
        let mut joined = JoinedBoxes::new(1);
        for record in &boxes {
            joined.join(record.clone(), 0);
        }
        let known = boxes.iter().map(|record| {
            let listed = joined.list_for(&record.hall, 1).into_iter();
            let names = listed.map(|r| r.name).filter(|name| *name != record.name);
            names.collect()
        });
        Self {
            known: known.collect(),
            boxes,
        }
    }
}

/// What was counted after boxes had time to find helpers.
#[derive(Debug, Default)]
struct Counts {
    sent: usize,
    served: usize,
    asked: usize,
    most_at_one: usize,
    mean_at_one: f64,
}

/// Lets all boxes for which `is_cut` send requests, and counts.
fn simulate(fleet: &Fleet, is_cut: impl Fn(&BoxRecord, usize) -> bool) -> Counts {
    let numbers: HashMap<&Name, usize> = fleet.boxes.iter().map(|r| &r.name).zip(0..).collect();
    let cut: Vec<bool> = fleet
        .boxes
        .iter()
        .zip(0..)
        .map(|(r, n)| is_cut(r, n))
        .collect();
    let mut helpers: Vec<Helpers> = fleet.boxes.iter().map(|_| Helpers::default()).collect();
    let mut hinted: Vec<BTreeSet<Name>> = fleet.boxes.iter().map(|_| BTreeSet::new()).collect();
    let mut active = vec![0; fleet.boxes.len()];
    let mut ends: Vec<(u64, usize, Name)> = Vec::new();
    let mut counts = Counts::default();
    let mut seed = 1;
    for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
        ends.retain(|(at_ms, from, helper)| {
            let has_ended = *at_ms <= now_ms;
            if has_ended {
                active[numbers[helper]] -= 1;
                helpers[*from].end_request(helper);
            }
            !has_ended
        });
        let is_counted = now_ms >= NOTICE_MS;
        for from in (0..fleet.boxes.len()).filter(|n| cut[*n]) {
            seed = mix(seed, 1);
            let per_step = REQUESTS_PER_S as f64 * STEP_MS as f64 / 1_000.0;
            if (seed % 1_000) as f64 >= per_step * 1_000.0 {
                continue;
            }
            let mut candidates = fleet.known[from].clone();
            candidates.extend(hinted[from].iter().cloned());
            let mut tried = Vec::new();
            let mut is_served = false;
            while tried.len() < MAX_ASKED && !is_served {
                seed = mix(seed, 2);
                let chosen = helpers[from].choose(&candidates, &tried, seed, now_ms);
                let Some(helper) = chosen.cloned() else {
                    break;
                };
                let number = numbers[&helper];
                for hint in helpers[from].known_good(HINTS, now_ms) {
                    if hint != helper {
                        helpers[number].record_hint(&hint, now_ms);
                    }
                }
                is_served = !cut[number] && active[number] < MAX_ACCEPTED;
                if is_served {
                    active[number] += 1;
                    helpers[from].begin_request(&helper);
                    helpers[from].record_accepted(&helper, active[number] as u32, now_ms);
                    ends.push((now_ms + REQUEST_MS, from, helper.clone()));
                } else {
                    let why = if cut[number] {
                        Declined::Unable
                    } else {
                        Declined::Busy
                    };
                    helpers[from].record_declined(&helper, why, now_ms);
                    for hint in helpers[number].known_good(HINTS, now_ms) {
                        helpers[from].record_hint(&hint, now_ms);
                        candidates.push(hint.clone());
                        hinted[from].insert(hint);
                    }
                }
                tried.push(helper);
            }
            if is_counted {
                counts.sent += 1;
                counts.served += usize::from(is_served);
                counts.asked += tried.len();
            }
        }
        if is_counted {
            let able = active.iter().zip(&cut).filter(|(_, cut)| !**cut);
            let able: Vec<usize> = able.map(|(active, _)| *active).collect();
            let most = able.iter().copied().max().unwrap_or(0);
            if most > counts.most_at_one {
                counts.most_at_one = most;
                counts.mean_at_one = able.iter().sum::<usize>() as f64 / able.len() as f64;
            }
        }
    }
    counts
}

macro_rules! fleets {
    ($($name:ident: $boxes:expr, $halls:expr, cut $is_cut:expr, at_most $most:expr;)*) => {$(
        #[test]
        fn $name() {
            let counts = simulate(&Fleet::new($boxes, $halls), $is_cut);
            println!("{counts:?}");
            assert!(counts.served * 100 >= counts.sent * 95, "{counts:?}");
            assert!(counts.most_at_one <= $most, "{counts:?}");
        }
    )*};
}

fleets! {
    nine_boxes_of_which_one_has_paths: 9, 3, cut |_, n| n != 4, at_most MAX_ACCEPTED;
    a_third_of_nine: 9, 3, cut |_, n| n % 3 == 0, at_most MAX_SPREAD;
    a_hall_of_300: 300, 10, cut |record, _| &*record.hall == "hall-3", at_most MAX_SPREAD;
    a_fifth_of_300: 300, 10, cut |_, n| n % 5 == 0, at_most MAX_SPREAD;
    all_of_300_but_12: 300, 10, cut |_, n| n % 25 != 7, at_most MAX_ACCEPTED;
    a_hall_of_985: 985, 22, cut |record, _| &*record.hall == "hall-3", at_most MAX_SPREAD;
    a_fifth_of_985: 985, 22, cut |_, n| n % 5 == 0, at_most MAX_SPREAD;
    all_of_985_but_30: 985, 22, cut |_, n| n % 33 != 7, at_most MAX_ACCEPTED;
}
