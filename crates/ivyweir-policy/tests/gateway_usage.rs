//! Aggregation of usage counts over boxes that exchange updates, and the schedule that fixes usage windows.

use std::collections::BTreeMap;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::duty::report::UsageSchedule;
use ivyweir_policy::gateway::duty::usage::{BoxRun, Counts, UpdateContent, UsageTable};
use ivyweir_policy::gateway::duty::wall_clock::StableWallClock;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SCHEDULE: UsageSchedule = UsageSchedule {
    window_ms: 5_000,
    late_ms: 10_000,
};
const ROUND_MS: u64 = 250;
const HALLS: usize = 4;

struct Fleet {
    tables: Vec<UsageTable>,
    runs: Vec<u64>,
    /// The relay of each hall.
    relays: Vec<usize>,
    rows_sent: usize,
    rng: StdRng,
}

fn name(number: usize) -> Name {
    format!("box-{number}").into()
}

fn table(number: usize, run: u64) -> UsageTable {
    let name = name(number);
    UsageTable::new(BoxRun { name, run })
}

impl Fleet {
    fn new(boxes: usize, seed: u64) -> Self {
        Self {
            tables: (0..boxes).map(|n| table(n, 0)).collect(),
            runs: vec![0; boxes],
            relays: (0..HALLS).collect(),
            rows_sent: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Kills and restarts a box, which loses its table.
    fn restart(&mut self, number: usize) {
        self.runs[number] += 1;
        self.tables[number] = table(number, self.runs[number]);
    }

    /// Each box exchanges updates with its relay, and each relay with the other relays. A share `loss_rate` of the
    /// messages and of the responses is lost.
    fn round(&mut self, now_ms: u64, loss_rate: f64) {
        for number in 0..self.tables.len() {
            let relay = self.relays[number % HALLS];
            if number != relay {
                self.exchange(number, relay, true, loss_rate, now_ms);
            }
        }
        for first in 0..HALLS {
            for second in first + 1..HALLS {
                let (initiator, responder) = (self.relays[first], self.relays[second]);
                self.exchange(initiator, responder, false, loss_rate, now_ms);
            }
        }
    }

    fn exchange(
        &mut self,
        initiator: usize,
        responder: usize,
        is_same_hall: bool,
        loss_rate: f64,
        now_ms: u64,
    ) {
        let responder_name = name(responder);
        let update =
            self.tables[initiator].update_for(&responder_name, UpdateContent::Rows, now_ms);
        if self.rng.random_bool(loss_rate) {
            return;
        }
        if let Some(update) = update {
            self.rows_sent += update.rows.len();
            self.tables[responder].apply(&name(initiator), update, is_same_hall, now_ms);
        }
        let content = if is_same_hall {
            UpdateContent::AckOnly
        } else {
            UpdateContent::Rows
        };
        let response = self.tables[responder].update_for(&name(initiator), content, now_ms);
        if self.rng.random_bool(loss_rate) {
            return;
        }
        if let Some(response) = response {
            self.rows_sent += response.rows.len();
            self.tables[initiator].apply(&responder_name, response, is_same_hall, now_ms);
        }
    }
}

/// Simulates 14 s of requests while messages are lost and, with `restarts`, relays change and boxes restart. Returns
/// the counts of all requests, the totals that a relay has at the end, and the number of rows sent.
fn simulate(boxes: usize, seed: u64, loss_rate: f64, restarts: bool) -> (Counts, Counts, usize) {
    let mut fleet = Fleet::new(boxes, seed);
    let mut counted = Counts::new();
    for now_ms in (0..30_000).step_by(ROUND_MS as usize) {
        if now_ms < 14_000 {
            for _ in 0..20 {
                let (number, workspace_number) = (
                    fleet.rng.random_range(0..boxes),
                    fleet.rng.random_range(0..9),
                );
                let workspace: Name = format!("studio-{workspace_number}").into();
                fleet.tables[number].count(&workspace, 1);
                *counted.entry(workspace).or_default() += 1;
            }
        }
        if restarts && now_ms == 6_000 {
            // The relay of the first hall is killed, and another box of the hall replaces it.
            fleet.restart(0);
            fleet.relays[0] = HALLS;
        }
        if restarts && now_ms == 9_000 {
            fleet.relays[0] = 0;
            fleet.restart(HALLS + 1);
        }
        fleet.round(now_ms, loss_rate);
    }
    let relay_total = fleet.tables[fleet.relays[2]].total(1);
    (counted, relay_total, fleet.rows_sent)
}

fn sum(counts: &Counts) -> f64 {
    counts.values().map(|count| f64::from(*count)).sum()
}

#[test]
fn every_relay_knows_all_that_was_counted() {
    for seed in 0..20 {
        let (counted, relay_total, _) = simulate(40, seed, 0.0, false);
        assert_eq!(counted, relay_total, "seed {seed}");
    }
}

#[test]
fn lost_messages_lose_nothing() {
    for seed in 0..20 {
        let (counted, relay_total, _) = simulate(40, seed, 0.2, false);
        assert_eq!(counted, relay_total, "seed {seed}");
    }
}

/// A killed box loses the counts since its last update, and a killed relay also the counts that only it has. Nothing
/// is counted twice.
#[test]
fn killed_boxes_lose_their_last_round_at_most() {
    for seed in 0..20 {
        let (counted, relay_total, _) = simulate(40, seed, 0.1, true);
        assert!(
            relay_total
                .iter()
                .all(|(workspace, count)| *count <= counted[workspace]),
            "seed {seed}"
        );
        let lost = 1.0 - sum(&relay_total) / sum(&counted);
        assert!(lost <= 0.01, "seed {seed}: {lost} lost");
    }
}

/// The number of rows sent depends on requests, not on boxes: a box without requests has no rows to send.
#[test]
fn rows_told_do_not_grow_with_the_fleet() {
    let (_, _, small_fleet_rows) = simulate(50, 1, 0.0, false);
    let (_, _, large_fleet_rows) = simulate(500, 1, 0.0, false);
    let requests = 20 * 56;
    // Each request changes one row, which its box sends to its relay, and the relay to three others.
    assert!(
        small_fleet_rows <= requests * HALLS,
        "{small_fleet_rows} rows"
    );
    assert!(
        large_fleet_rows <= requests * HALLS,
        "{large_fleet_rows} rows"
    );
}

#[test]
fn what_was_told_and_heard_is_not_told_again() {
    let mut first = table(0, 0);
    let mut second = table(1, 0);
    first.count(&"studio".into(), 1);
    let update = first
        .update_for(&name(1), UpdateContent::Rows, 0)
        .expect("an update");
    assert_eq!(update.rows.len(), 1);
    second.apply(&name(0), update, true, 0);
    let response = second
        .update_for(&name(0), UpdateContent::AckOnly, 0)
        .expect("a response");
    assert!(response.rows.is_empty());
    first.apply(&name(1), response, true, 0);
    assert_eq!(
        first.update_for(&name(1), UpdateContent::Rows, 10_000),
        None
    );
    assert_eq!(
        second.update_for(&name(0), UpdateContent::AckOnly, 10_000),
        None
    );
    // The second box restarts with an empty table.
    let mut second = table(1, 1);
    let update = second.update_for(&name(0), UpdateContent::Rows, 10_000);
    assert_eq!(update, None);
    second.count(&"studio".into(), 2);
    let update = second
        .update_for(&name(0), UpdateContent::Rows, 10_000)
        .expect("an update");
    first.apply(&name(1), update, true, 10_000);
    let update = first
        .update_for(&name(1), UpdateContent::Rows, 10_000)
        .expect("an update");
    assert_eq!(update.rows.len(), 2);
}

#[test]
fn windows_that_are_long_past_are_forgotten() {
    let mut table = table(0, 0);
    table.count(&"studio".into(), 1);
    table.count(&"studio".into(), 9);
    assert_eq!(table.first_window(), Some(1));
    table.discard_before(5, 0);
    assert_eq!(table.first_window(), Some(9));
    assert_eq!(table.total(1), BTreeMap::new());
}

macro_rules! fix_cases {
    ($($name:ident: fixed $fixed:expr, first $first:expr, receiving $receiving_ms:expr, at $epoch_ms:expr => $windows:expr;)*) => {$(
        #[test]
        fn $name() {
            let windows = SCHEDULE.windows_to_fix($fixed, $first, $receiving_ms, $epoch_ms);
            assert_eq!(windows.collect::<Vec<u64>>(), $windows as [u64; _]);
        }
    )*};
}

fix_cases! {
    nothing_before_anything_was_counted: fixed None, first None, receiving 60_000, at 100_000 => [];
    nothing_before_a_window_has_settled: fixed None, first Some(10), receiving 60_000, at 58_999 => [];
    a_settled_window: fixed None, first Some(10), receiving 60_000, at 59_000 => [10];
    the_one_behind_the_last: fixed Some(10), first Some(8), receiving 60_000, at 64_000 => [11];
    none_twice: fixed Some(11), first Some(8), receiving 60_000, at 64_000 => [];
    a_box_that_has_just_begun_to_hear_waits: fixed Some(10), first None, receiving 100, at 66_999 => [];
    but_not_for_ever: fixed Some(10), first None, receiving 100, at 67_000 => [11];
    all_that_were_missed: fixed Some(10), first None, receiving 60_000, at 75_000 => [11, 12, 13];
    none_that_is_forgotten: fixed Some(1), first None, receiving 60_000, at 100_000 => [14, 15, 16, 17, 18];
}

#[test]
fn a_step_of_the_time_of_day_does_not_count_until_it_has_lasted() {
    let mut epoch = StableWallClock::default();
    assert_eq!(epoch.epoch_ms(1_000_000, 0), 1_000_000);
    // The clock drifts.
    assert_eq!(epoch.epoch_ms(1_001_100, 1_000), 1_001_100);
    // The clock steps forward and back.
    assert_eq!(epoch.epoch_ms(1_004_100, 2_000), 1_002_100);
    assert_eq!(epoch.epoch_ms(1_003_100, 3_000), 1_003_100);
    // The clock steps forward permanently.
    assert_eq!(epoch.epoch_ms(1_014_100, 4_000), 1_004_100);
    assert_eq!(epoch.epoch_ms(1_073_100, 63_000), 1_063_100);
    assert_eq!(epoch.epoch_ms(1_074_100, 64_000), 1_074_100);
}

#[test]
fn the_newest_fixed_window_is_sent_to_other_boxes() {
    let box_run = |name: &str| BoxRun {
        name: name.into(),
        run: 1,
    };
    let mut sender = UsageTable::new(box_run("a"));
    let mut receiver = UsageTable::new(box_run("b"));
    let mut send = |window, now_ms| {
        sender.note_fixed_window(window);
        let update = sender.update_for(&"b".into(), UpdateContent::Rows, now_ms);
        receiver.apply(&"a".into(), update.expect("an update"), true, now_ms);
        receiver.fixed_window()
    };
    assert_eq!(send(8, 0), Some(8));
    assert_eq!(send(9, 2_000), Some(9));
    receiver.note_fixed_window(3);
    assert_eq!(receiver.fixed_window(), Some(9));
}
