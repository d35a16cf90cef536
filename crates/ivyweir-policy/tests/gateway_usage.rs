//! Usage summed up over boxes that tell each other, and when it is fixed.

use std::collections::BTreeMap;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::duty::report::UsageSchedule;
use ivyweir_policy::gateway::duty::usage::{BoxRun, Counts, UpdateContent, UsageTable};
use ivyweir_policy::gateway::duty::wall_clock::StableWallClock;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const TERMS: UsageSchedule = UsageSchedule {
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
    rows_told: usize,
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
            rows_told: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// A box is killed and starts again.
    fn restart(&mut self, number: usize) {
        self.runs[number] += 1;
        self.tables[number] = table(number, self.runs[number]);
    }

    /// Each box tells its relay, and each relay the other ones; a part of the messages and of the answers is
    /// lost.
    fn round(&mut self, now_ms: u64, lost: f64) {
        for number in 0..self.tables.len() {
            let relay = self.relays[number % HALLS];
            if number != relay {
                self.exchange(number, relay, true, lost, now_ms);
            }
        }
        for first in 0..HALLS {
            for second in first + 1..HALLS {
                let (asker, asked) = (self.relays[first], self.relays[second]);
                self.exchange(asker, asked, false, lost, now_ms);
            }
        }
    }

    fn exchange(&mut self, asker: usize, asked: usize, is_near: bool, lost: f64, now_ms: u64) {
        let asked_is = name(asked);
        let news = self.tables[asker].update_for(&asked_is, UpdateContent::Rows, now_ms);
        if self.rng.random_bool(lost) {
            return;
        }
        if let Some(news) = news {
            self.rows_told += news.rows.len();
            self.tables[asked].apply(&name(asker), news, is_near, now_ms);
        }
        let telling = if is_near {
            UpdateContent::AckOnly
        } else {
            UpdateContent::Rows
        };
        let answer = self.tables[asked].update_for(&name(asker), telling, now_ms);
        if self.rng.random_bool(lost) {
            return;
        }
        if let Some(answer) = answer {
            self.rows_told += answer.rows.len();
            self.tables[asker].apply(&asked_is, answer, is_near, now_ms);
        }
    }
}

/// Plays requests of some seconds; a part of the messages is lost, relays change and boxes restart. Returns the
/// truth and what a relay knows.
fn play(boxes: usize, seed: u64, lost: f64, restarts: bool) -> (Counts, Counts, usize) {
    let mut fleet = Fleet::new(boxes, seed);
    let mut truth = Counts::new();
    for now_ms in (0..30_000).step_by(ROUND_MS as usize) {
        if now_ms < 14_000 {
            for _ in 0..20 {
                let (at, of) = (
                    fleet.rng.random_range(0..boxes),
                    fleet.rng.random_range(0..9),
                );
                let workspace: Name = format!("studio-{of}").into();
                fleet.tables[at].count(&workspace, 1);
                *truth.entry(workspace).or_default() += 1;
            }
        }
        if restarts && now_ms == 6_000 {
            // The relay of the first hall is killed, and another box of the hall takes its place.
            fleet.restart(0);
            fleet.relays[0] = HALLS;
        }
        if restarts && now_ms == 9_000 {
            fleet.relays[0] = 0;
            fleet.restart(HALLS + 1);
        }
        fleet.round(now_ms, lost);
    }
    let known = fleet.tables[fleet.relays[2]].total(1);
    (truth, known, fleet.rows_told)
}

fn sum(counts: &Counts) -> f64 {
    counts.values().map(|count| f64::from(*count)).sum()
}

#[test]
fn every_relay_knows_all_that_was_counted() {
    for seed in 0..20 {
        let (truth, known, _) = play(40, seed, 0.0, false);
        assert_eq!(truth, known, "seed {seed}");
    }
}

#[test]
fn lost_messages_lose_nothing() {
    for seed in 0..20 {
        let (truth, known, _) = play(40, seed, 0.2, false);
        assert_eq!(truth, known, "seed {seed}");
    }
}

/// A box that is killed takes with it what it counted since it last told that, and the relay what it alone counted;
/// nothing is counted twice.
#[test]
fn killed_boxes_lose_their_last_round_at_most() {
    for seed in 0..20 {
        let (truth, known, _) = play(40, seed, 0.1, true);
        assert!(
            known.iter().all(|(of, count)| *count <= truth[of]),
            "seed {seed}"
        );
        let lost = 1.0 - sum(&known) / sum(&truth);
        assert!(lost <= 0.01, "seed {seed}: {lost} lost");
    }
}

/// What is told follows requests, not boxes: a box without any has nothing to tell.
#[test]
fn rows_told_do_not_grow_with_the_fleet() {
    let (_, _, few) = play(50, 1, 0.0, false);
    let (_, _, many) = play(500, 1, 0.0, false);
    let requests = 20 * 56;
    // Each request changes one row, which its box tells its relay, and the relay three others.
    assert!(few <= requests * HALLS, "{few} rows");
    assert!(many <= requests * HALLS, "{many} rows");
}

#[test]
fn what_was_told_and_heard_is_not_told_again() {
    let mut first = table(0, 0);
    let mut second = table(1, 0);
    first.count(&"studio".into(), 1);
    let news = first
        .update_for(&name(1), UpdateContent::Rows, 0)
        .expect("news");
    assert_eq!(news.rows.len(), 1);
    second.apply(&name(0), news, true, 0);
    let answer = second
        .update_for(&name(0), UpdateContent::AckOnly, 0)
        .expect("an answer");
    assert!(answer.rows.is_empty());
    first.apply(&name(1), answer, true, 0);
    assert_eq!(
        first.update_for(&name(1), UpdateContent::Rows, 10_000),
        None
    );
    assert_eq!(
        second.update_for(&name(0), UpdateContent::AckOnly, 10_000),
        None
    );
    // The other one starts again and has nothing.
    let mut second = table(1, 1);
    let news = second.update_for(&name(0), UpdateContent::Rows, 10_000);
    assert_eq!(news, None);
    second.count(&"studio".into(), 2);
    let news = second
        .update_for(&name(0), UpdateContent::Rows, 10_000)
        .expect("news");
    first.apply(&name(1), news, true, 10_000);
    let news = first
        .update_for(&name(1), UpdateContent::Rows, 10_000)
        .expect("news");
    assert_eq!(news.rows.len(), 2);
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

macro_rules! fixing {
    ($($name:ident: fixed $fixed:expr, first $first:expr, hearing $hearing_ms:expr, at $epoch_ms:expr => $windows:expr;)*) => {$(
        #[test]
        fn $name() {
            let windows = TERMS.windows_to_fix($fixed, $first, $hearing_ms, $epoch_ms);
            assert_eq!(windows.collect::<Vec<u64>>(), $windows as [u64; _]);
        }
    )*};
}

fixing! {
    nothing_before_anything_was_counted: fixed None, first None, hearing 60_000, at 100_000 => [];
    nothing_before_a_window_has_settled: fixed None, first Some(10), hearing 60_000, at 58_999 => [];
    a_settled_window: fixed None, first Some(10), hearing 60_000, at 59_000 => [10];
    the_one_behind_the_last: fixed Some(10), first Some(8), hearing 60_000, at 64_000 => [11];
    none_twice: fixed Some(11), first Some(8), hearing 60_000, at 64_000 => [];
    a_box_that_has_just_begun_to_hear_waits: fixed Some(10), first None, hearing 100, at 66_999 => [];
    but_not_for_ever: fixed Some(10), first None, hearing 100, at 67_000 => [11];
    all_that_were_missed: fixed Some(10), first None, hearing 60_000, at 75_000 => [11, 12, 13];
    none_that_is_forgotten: fixed Some(1), first None, hearing 60_000, at 100_000 => [14, 15, 16, 17, 18];
}

#[test]
fn a_step_of_the_time_of_day_does_not_count_until_it_has_lasted() {
    let mut epoch = StableWallClock::default();
    assert_eq!(epoch.epoch_ms(1_000_000, 0), 1_000_000);
    // It drifts.
    assert_eq!(epoch.epoch_ms(1_001_100, 1_000), 1_001_100);
    // It steps, and back.
    assert_eq!(epoch.epoch_ms(1_004_100, 2_000), 1_002_100);
    assert_eq!(epoch.epoch_ms(1_003_100, 3_000), 1_003_100);
    // It steps for good.
    assert_eq!(epoch.epoch_ms(1_014_100, 4_000), 1_004_100);
    assert_eq!(epoch.epoch_ms(1_073_100, 63_000), 1_063_100);
    assert_eq!(epoch.epoch_ms(1_074_100, 64_000), 1_074_100);
}

#[test]
fn the_newest_fixed_window_is_sent_to_other_boxes() {
    let run = |name: &str| BoxRun {
        name: name.into(),
        run: 1,
    };
    let mut sender = UsageTable::new(run("a"));
    let mut receiver = UsageTable::new(run("b"));
    let mut send = |window, now_ms| {
        sender.note_fixed_window(window);
        let news = sender.update_for(&"b".into(), UpdateContent::Rows, now_ms);
        receiver.apply(&"a".into(), news.expect("news"), true, now_ms);
        receiver.fixed_window()
    };
    assert_eq!(send(8, 0), Some(8));
    assert_eq!(send(9, 2_000), Some(9));
    receiver.note_fixed_window(3);
    assert_eq!(receiver.fixed_window(), Some(9));
}
