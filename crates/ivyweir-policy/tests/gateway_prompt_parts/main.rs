//! Quarantine of parts of prompts, in a model of boxes and upstreams and by single cases.

mod model;

use std::ops::Range;

use ivyweir_policy::gateway::quarantine::{
    EndObservation, Fingerprint, Ledger, Refusal, RunKey, SuspectKind, UpstreamEnd,
};

use model::{ENDS, LOAD, Load, Model, Outcome, identity, part_fingerprint};

/// Share of the sound requests that are served while harmful ones come.
const SERVED_SHARE: f64 = 0.95;
/// Sends with a part that are allowed after the last termination of `ENDS`, once all boxes have heard.
const MORE_SENDS: usize = 3;

struct Totals {
    most_ends: usize,
    most_late_sends: usize,
    sound_refused: usize,
    sound_asked: usize,
    least_served: f64,
    unnoticed: usize,
}

fn totals(load: &Load, seeds: Range<u64>) -> Totals {
    let mut totals = Totals {
        most_ends: 0,
        most_late_sends: 0,
        sound_refused: 0,
        sound_asked: 0,
        least_served: 1.0,
        unnoticed: 0,
    };
    for seed in seeds {
        let mut model = Model::new(load, seed);
        model.run(load.quiet_ms + 6_000);
        let outcome = &model.outcome;
        let ends = outcome.ends.values().map(Vec::len).max().unwrap_or(0);
        totals.most_ends = totals.most_ends.max(ends);
        totals.most_late_sends = totals.most_late_sends.max(outcome.late_sends());
        totals.sound_refused += outcome.sound_refused;
        totals.sound_asked += outcome.sound_asked;
        let served = 1.0 - outcome.sound_refused as f64 / outcome.sound_asked as f64;
        totals.least_served = totals.least_served.min(served);
        totals.unnoticed += usize::from(ends >= ENDS && outcome.harmful_refused == 0);
    }
    println!(
        "at most {} ends, at most {} late sends, {} of {} sound requests refused, at least {:.3} served",
        totals.most_ends,
        totals.most_late_sends,
        totals.sound_refused,
        totals.sound_asked,
        totals.least_served
    );
    totals
}

/// Seeds of each case.
const SEEDS: Range<u64> = 0..40;

macro_rules! model_cases {
    ($($name:ident: $load:expr;)*) => {$(
        /// Guards against harmful parts that are sent on and on, and against sound requests that are refused with them.
        #[test]
        fn $name() {
            let totals = totals(&$load, SEEDS);
            assert!(totals.most_late_sends <= MORE_SENDS, "{} late sends", totals.most_late_sends);
            assert_eq!(totals.unnoticed, 0);
            assert!(totals.least_served >= SERVED_SHARE, "{}", totals.least_served);
        }
    )*};
}

model_cases! {
    a_harmful_first_part: Load { place: 0, ..LOAD };
    a_harmful_middle_part: LOAD;
    a_harmful_last_part: Load { place: 2, ..LOAD };
    a_harmful_part_of_a_long_prompt: Load { place: 7, shared_parts: 12, ..LOAD };
    a_harmful_part_before_one_box: Load { boxes: 1, ..LOAD };
    a_harmful_part_before_nine_boxes: Load { boxes: 9, ..LOAD };
    a_harmful_part_before_thirty_boxes: Load { boxes: 30, upstreams: 80, sound_per_s: 200.0, ..LOAD };
    a_harmful_part_that_comes_often: Load { harmful_per_s: 25.0, ..LOAD };
    a_harmful_part_that_seldom_comes: Load { harmful_per_s: 1.5, ..LOAD };
    a_harmful_part_before_few_upstreams: Load { upstreams: 6, sound_per_s: 15.0, harmful_per_s: 2.0, ..LOAD };
    a_harmful_part_without_answers_before: Load { quiet_ms: 0, ..LOAD };
    two_harmful_parts: Load { harmful_parts: 2, ..LOAD };
    three_harmful_parts: Load { harmful_parts: 3, harmful_per_s: 12.0, ..LOAD };
    a_harmful_part_beside_other_ends: Load { other_ends_per_s: 2.0, ..LOAD };
    a_harmful_part_beside_power_cuts: Load { power_cut_share: 0.25, ..LOAD };
    no_harmful_part_beside_other_ends: Load { harmful_per_s: 0.0, other_ends_per_s: 4.0, ..LOAD };
    no_harmful_part_beside_power_cuts: Load { harmful_per_s: 0.0, power_cut_share: 0.5, ..LOAD };
    no_harmful_part_before_few_upstreams: Load { harmful_per_s: 0.0, upstreams: 6, sound_per_s: 20.0, other_ends_per_s: 2.0, ..LOAD };
}

/// Guards against a part that is cleared by each answer that gets through.
#[test]
fn a_part_under_which_every_other_run_ends_its_upstream_is_quarantined() {
    let load = Load {
        harm_share: 0.5,
        ..LOAD
    };
    for seed in SEEDS {
        let mut model = Model::new(&load, seed);
        model.run(20_000);
        assert!(model.outcome.harmful_refused > 0, "seed {seed}");
        let Outcome {
            sound_refused,
            sound_asked,
            ..
        } = model.outcome;
        let served = 1.0 - sound_refused as f64 / sound_asked as f64;
        assert!(served >= SERVED_SHARE, "seed {seed}: {served}");
    }
}

fn observation(request: u64, parts: &[&str], upstream: u64, at_ms: i64) -> EndObservation {
    let parts: Vec<String> = parts.iter().map(|part| (*part).to_owned()).collect();
    EndObservation {
        identity: identity(request, &parts),
        end: UpstreamEnd {
            upstream,
            try_hash: request as u32,
            began_at_ms: at_ms - 50,
            at_ms,
        },
        completed_at_ms: None,
    }
}

fn run_of(request: u64, parts: &[String]) -> RunKey {
    RunKey {
        identity: identity(request, parts),
        try_hash: request as u32,
    }
}

fn refused_part(ledger: &Ledger, request: u64, parts: &[&str], now_ms: i64) -> Option<Fingerprint> {
    let parts: Vec<String> = parts.iter().map(|part| (*part).to_owned()).collect();
    match ledger.refusal(&identity(request, &parts), now_ms) {
        Some(Refusal::Part { part, .. }) => Some(part),
        _ => None,
    }
}

/// A ledger of a box that has sent many requests, of which few were interrupted.
fn busy_ledger() -> Ledger {
    let mut ledger = Ledger::default();
    (0..1_000).for_each(|_| ledger.run_started(0));
    ledger
}

/// A ledger with ends of upstreams, one each 200 ms, each with requests that differ and the parts of their prompts.
fn ledger(ends: &[&[&[&str]]]) -> Ledger {
    let mut ledger = busy_ledger();
    let mut request = 0;
    for (n, runs) in ends.iter().enumerate() {
        let observations: Vec<EndObservation> = runs
            .iter()
            .map(|parts| {
                request += 1;
                observation(request, parts, n as u64, 200 * (n as i64 + 1))
            })
            .collect();
        ledger.upstream_ended(&observations);
    }
    ledger
}

#[test]
fn parts_that_always_came_together_are_refused_only_together() {
    let ledger = ledger(&[&[&["a", "b"]], &[&["a", "b"]], &[&["a", "b"]]]);
    assert!(refused_part(&ledger, 9, &["a", "b"], 700).is_some());
    assert!(refused_part(&ledger, 9, &["a", "c"], 700).is_none());
    assert!(refused_part(&ledger, 9, &["c", "b"], 700).is_none());
    let of_a = identity(9, &["a".into(), "c".into()]);
    assert_eq!(
        ledger.contained_part(&of_a, 700),
        Some(part_fingerprint("a"))
    );
}

#[test]
fn a_part_that_ends_one_upstream_more_than_the_other_is_refused_alone() {
    let ledger = ledger(&[
        &[&["a", "b"]],
        &[&["a", "b"]],
        &[&["a", "b"]],
        &[&["a", "c"]],
    ]);
    assert_eq!(
        refused_part(&ledger, 9, &["a"], 900),
        Some(part_fingerprint("a"))
    );
    assert!(refused_part(&ledger, 9, &["b"], 900).is_none());
    assert!(
        ledger
            .contained_part(&identity(9, &["b".into()]), 900)
            .is_none()
    );
}

/// Guards against a part that is refused for a request that ends upstreams by itself.
#[test]
fn a_part_of_a_single_harmful_request_is_not_refused() {
    let mut ledger = busy_ledger();
    for upstream in 0..4 {
        let end = observation(1, &["a"], upstream, 200 * (upstream as i64 + 1));
        ledger.upstream_ended(&[end]);
    }
    assert!(ledger.is_quarantined(identity(1, &[]).request));
    assert!(refused_part(&ledger, 2, &["a"], 900).is_none());
}

/// Guards against a workspace that brings a part into disrepute on which the answers of others complete.
#[test]
fn a_part_on_which_many_answers_complete_is_not_refused_with_those_that_end_upstreams() {
    let mut ledger = busy_ledger();
    let mut request = 100;
    for n in 0..200_i64 {
        let at_ms = 200 * (n + 1);
        for sound in 0..4 {
            request += 1;
            ledger.run_completed(&run_of(request, &["a".into()]), at_ms - 100 + sound);
        }
        // Each of these harmful requests ends one upstream by what only it has.
        request += 1;
        ledger.upstream_ended(&[observation(request, &["a"], n as u64, at_ms)]);
        assert!(refused_part(&ledger, 1, &["a"], at_ms).is_none(), "end {n}");
    }
}

/// Guards against made-up parts that take the place of quarantined ones.
#[test]
fn a_flood_of_made_up_parts_evicts_no_quarantined_one_and_is_bounded() {
    let mut ledger = ledger(&[&[&["a"]], &[&["a"]], &[&["a"]], &[&["a"]]]);
    for n in 0..5_000_u64 {
        let names = [format!("made-up-{n}"), format!("other-{n}")];
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        ledger.upstream_ended(&[observation(1_000 + n, &names, 1_000 + n, 1_000 + n as i64)]);
        ledger.run_completed(&run_of(n, &[format!("made-up-{n}")]), 1_000 + n as i64);
    }
    assert_eq!(
        refused_part(&ledger, 9, &["a"], 7_000),
        Some(part_fingerprint("a"))
    );
    let (updates, _) = ledger.updates_since(0, usize::MAX, 7_000);
    let parts = updates
        .iter()
        .filter(|update| update.kind == SuspectKind::Part);
    assert_eq!((parts.count(), updates.len()), (1_024, 2_048));
}

#[test]
fn a_quarantined_part_is_tried_by_one_request_at_a_time_and_released_by_answers() {
    let mut ledger = ledger(&[&[&["a"]], &[&["a"]], &[&["a"]], &[&["a"]]]);
    let request = |number| identity(number, &["a".into()]);
    let late_ms = 800 + 30_000;
    assert!(!ledger.take_trial(&request(10), late_ms - 1));
    assert!(ledger.take_trial(&request(10), late_ms));
    assert!(!ledger.take_trial(&request(11), late_ms + 1));
    assert!(ledger.refusal(&request(10), late_ms).is_none());
    assert!(ledger.refusal(&request(11), late_ms).is_some());
    let mut tried = 0;
    for number in 10..20 {
        let now_ms = late_ms + 1_000 * number as i64;
        ledger.run_completed(&run_of(number, &["a".into()]), now_ms);
        tried += 1;
        if ledger.refusal(&request(99), now_ms + 1).is_none() {
            break;
        }
        assert!(ledger.take_trial(&request(number + 1), now_ms + 1));
    }
    assert_eq!(tried, 6);
}

#[test]
fn an_operator_lifts_the_quarantine_of_a_part() {
    let mut ledger = ledger(&[&[&["a"]], &[&["a"]], &[&["a"]], &[&["a"]]]);
    ledger.lift(part_fingerprint("a"), 1_000);
    assert!(refused_part(&ledger, 9, &["a"], 1_000).is_none());
}

#[test]
fn a_quarantined_part_is_restored_from_the_store_and_from_a_snapshot() {
    let known = ledger(&[&[&["a"]], &[&["a"]], &[&["a"]], &[&["a"]]]);
    let record = known.record(part_fingerprint("a"), 1_000, 1_000);
    let mut restored = Ledger::default();
    restored.restore(&[record.expect("a record")], 50, 1_000);
    assert_eq!(
        refused_part(&restored, 9, &["a"], 50),
        Some(part_fingerprint("a"))
    );
    let mut started = Ledger::default();
    started.merge(known.snapshot(1_000), 50);
    assert_eq!(
        refused_part(&started, 9, &["a"], 50),
        Some(part_fingerprint("a"))
    );
}
