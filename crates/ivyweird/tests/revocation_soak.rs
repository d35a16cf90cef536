//! A random soak of withdrawn keys: a configuration without a key is acknowledged while watches hear of no change, and the
//! store is lost after that. Its judge counts requests with the withdrawn key that ran although they were sent after the bound.
//!
//! A play draws the number of boxes and halls, the phase of their watches, how often and when the waiting watches are ended or
//! cut, which boxes are paused or lose their way to the store, and the order of what the store's failure consists of.
//!
//! `IVYWEIR_SOAK_SEED` chooses the first seed of `drawn_plays_keep_the_bound` and `IVYWEIR_SOAK_STEPS` the number of seeds;
//! `IVYWEIR_SOAK_BINARY` names another daemon.

#[path = "common/mod.rs"]
mod common;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ivyweir_standins::Fault;
use ivyweir_standins::edge::{
    KEY, KeptConnection, RecordStore, ScriptedUpstream, StoreFault, site_config,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use common::soak::{Boxes, seed_and_steps};

const WITHDRAWN_KEY: &str = "key-that-is-withdrawn";
/// The bound on withdrawn keys in the boxes' settings, from the store's acknowledgement.
const REVOKE: Duration = Duration::from_millis(5_000);
/// Longest time for which watches hear of no change, before the store drops its history.
const DEAF: Duration = Duration::from_millis(1_000);
/// Time since the acknowledgement at which callers begin, and at which they stop.
const CALLS_FROM: Duration = Duration::from_millis(500);
const CALLS_UNTIL: Duration = Duration::from_millis(6_500);
const CALL_PAUSE: Duration = Duration::from_millis(8);
/// Time after the store's return in which valid keys are served again.
const RECOVERY: Duration = Duration::from_secs(15);
const CI_SEED: u64 = 1;
const CI_PLAYS: u32 = 2;

/// What a play draws.
#[derive(Debug)]
struct Play {
    halls: Vec<&'static str>,
    /// Time until the key is withdrawn, which shifts it against all watches.
    phase: Duration,
    /// Times since the acknowledgement at which the waiting watches are ended, and whether without an answer.
    watch_ends: Vec<(Duration, bool)>,
    /// When the store is lost, and whether it drops its history and cuts the waiting watches first.
    loses_store_after: Duration,
    drops_history: bool,
    fault: StoreFault,
    /// A box that is paused, and the span since the acknowledgement.
    pause: Option<(usize, Duration, Duration)>,
    /// A box whose way to the store is cut from the acknowledgement on.
    cut_off: Option<usize>,
}

impl Play {
    fn draw(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let boxes = [1, 2, 4, 9][random.random_range(0..4)];
        let halls = random.random_range(1..=3_usize);
        let ms = |random: &mut StdRng, range| Duration::from_millis(random.random_range(range));
        let mut watch_ends: Vec<_> = (0..random.random_range(0..5))
            .map(|_| (ms(&mut random, 0..1_000), random.random_bool(0.6)))
            .collect();
        watch_ends.sort();
        let loses_store_after = if random.random_bool(0.7) {
            DEAF
        } else {
            ms(&mut random, 100..1_000)
        };
        Self {
            halls: (0..boxes)
                .map(|n| ["hall-a", "hall-b", "hall-c"][n % halls])
                .collect(),
            phase: ms(&mut random, 0..1_300),
            watch_ends,
            loses_store_after,
            drops_history: random.random_bool(0.5),
            fault: if random.random_bool(0.8) {
                StoreFault::Silent
            } else {
                StoreFault::Refuse
            },
            pause: random.random_bool(0.3).then(|| {
                let from = ms(&mut random, 0..1_000);
                (
                    random.random_range(0..boxes),
                    from,
                    ms(&mut random, 50..1_500),
                )
            }),
            cut_off: random
                .random_bool(0.3)
                .then(|| random.random_range(0..boxes)),
        }
    }
}

/// A call and its outcome.
struct Call {
    id: String,
    sent_at: Instant,
    is_withdrawn_key: bool,
    status: u16,
}

/// Calls a box with both keys until `until`.
fn call_in_turn(number: usize, addr: SocketAddr, until: Instant, calls: &Sender<Call>) {
    let mut connection = None;
    for count in 0.. {
        if Instant::now() >= until {
            return;
        }
        let is_withdrawn_key = count % 8 != 0;
        let key = if is_withdrawn_key { WITHDRAWN_KEY } else { KEY };
        let id = format!("{number}-{count}");
        let auth = format!("Bearer {key}");
        let headers = [
            ("ivyweir-request-id", id.as_str()),
            ("authorization", &auth),
        ];
        let mut open = match connection.take() {
            Some(open) => open,
            None => match KeptConnection::open(addr) {
                Ok(open) => open,
                Err(_) => continue,
            },
        };
        let sent_at = Instant::now();
        let reply = open.call("GET", "/safe/x", &headers, Bytes::new());
        let status = reply.as_ref().map_or(0, |reply| reply.status);
        if reply.is_ok() {
            connection = Some(open);
        }
        let call = Call {
            id,
            sent_at,
            is_withdrawn_key,
            status,
        };
        if calls.send(call).is_err() {
            return;
        }
        thread::sleep(CALL_PAUSE);
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Ends waiting watches at the drawn times, then loses the store.
fn fail_store(store: &RecordStore, play: &Play, acked_at: Instant) {
    let lost_at = acked_at + play.loses_store_after;
    for (after, is_cut) in &play.watch_ends {
        if acked_at + *after >= lost_at {
            break;
        }
        sleep_until(acked_at + *after);
        if *is_cut {
            store.cut_watches();
        } else {
            store.end_watches();
        }
    }
    sleep_until(lost_at);
    store.set_fault(play.fault);
    if play.drops_history {
        store.forget_history();
        store.cut_watches();
    }
    store.hide_changes_from_watches(false);
}

/// What a play has shown.
#[derive(Debug, Default)]
struct Outcome {
    /// Runs of requests with the withdrawn key that were sent after the bound, and the latest of them.
    late: usize,
    latest_ms: u128,
    /// Time since the store's loss until the first valid key was refused; `None` if none was.
    first_refusal_ms: Option<u128>,
}

fn play(seed: u64) -> Outcome {
    let play = Play::draw(seed);
    println!("seed {seed}: {play:?}");
    let mut boxes = Boxes::new("revocation", seed, play.halls.clone().leak());
    let services: Vec<_> = (0..2)
        .map(|n| ScriptedUpstream::start(&format!("sound-{n}"), "services", "v1"))
        .collect();
    let store = boxes.town.store.clone();
    services
        .iter()
        .for_each(|service| store.put_upstream(&service.record()));
    store.put_site(&site_config(2, &[KEY, WITHDRAWN_KEY]));
    boxes.start_all();
    thread::sleep(Duration::from_secs(2) + play.phase);

    store.hide_changes_from_watches(true);
    store.put_site(&site_config(3, &[KEY]));
    let acked_at = Instant::now();
    if let Some(number) = play.cut_off {
        boxes.store_paths[number].set(Fault::HalfOpen);
    }
    let (calls, outcomes) = channel();
    let addrs: Vec<_> = boxes
        .town
        .boxes
        .iter()
        .map(|running| running.caller_addr)
        .collect();
    thread::scope(|scope| {
        scope.spawn(|| fail_store(&store, &play, acked_at));
        if let Some((number, from, pause)) = play.pause {
            let paused = &boxes.town.boxes[number];
            scope.spawn(move || {
                sleep_until(acked_at + from);
                paused.signal("STOP");
                thread::sleep(pause);
                paused.signal("CONT");
            });
        }
        for (number, addr) in addrs.iter().enumerate() {
            let calls = calls.clone();
            scope.spawn(move || {
                sleep_until(acked_at + CALLS_FROM);
                call_in_turn(number, *addr, acked_at + CALLS_UNTIL, &calls);
            });
        }
    });
    drop(calls);
    let outcome = judge(&play, acked_at, outcomes.iter().collect(), &services);
    store.set_fault(StoreFault::None);
    boxes
        .store_paths
        .iter()
        .for_each(|path| path.set(Fault::None));
    assert_recovers(&boxes);
    outcome
}

fn judge(
    play: &Play,
    acked_at: Instant,
    calls: Vec<Call>,
    services: &[ScriptedUpstream],
) -> Outcome {
    let runs: HashSet<String> = services
        .iter()
        .flat_map(ScriptedUpstream::received_requests)
        .filter_map(|run| run.header("ivyweir-request-id").map(str::to_owned))
        .collect();
    let lost_at = acked_at + play.loses_store_after;
    let mut outcome = Outcome::default();
    let mut counts: HashMap<u16, usize> = HashMap::new();
    for call in &calls {
        *counts.entry(call.status).or_default() += 1;
        let after = call.sent_at.saturating_duration_since(acked_at);
        if call.is_withdrawn_key && after > REVOKE && runs.contains(&call.id) {
            outcome.late += 1;
            outcome.latest_ms = outcome.latest_ms.max(after.as_millis());
        }
        if !call.is_withdrawn_key && call.status == 503 {
            let refused_ms = call.sent_at.saturating_duration_since(lost_at).as_millis();
            let first_ms = outcome.first_refusal_ms.get_or_insert(refused_ms);
            *first_ms = refused_ms.min(*first_ms);
        }
    }
    println!("{outcome:?}, statuses {counts:?}");
    outcome
}

fn assert_recovers(boxes: &Boxes) {
    let deadline = Instant::now() + RECOVERY;
    for number in 0..boxes.town.boxes.len() {
        while boxes.town.status(number, KEY) != 200 {
            assert!(Instant::now() < deadline, "box {number} serves again");
            thread::sleep(Duration::from_millis(50));
        }
        assert_eq!(
            boxes.town.status(number, WITHDRAWN_KEY),
            401,
            "box {number}"
        );
    }
}

macro_rules! plays {
    ($($name:ident: $seed:expr;)*) => {$(
        #[test]
        fn $name() {
            let outcome = play($seed);
            assert_eq!(outcome.late, 0, "runs after the bound: {outcome:?}");
        }
    )*};
}

plays! {}

/// Guards against proofs that are younger than what the store's answers show.
#[test]
fn drawn_plays_keep_the_bound() {
    let (first, count) = seed_and_steps(CI_SEED, CI_PLAYS);
    let outcomes = (first..first + u64::from(count)).map(|seed| (seed, play(seed)));
    let broken: Vec<_> = outcomes.filter(|(_, outcome)| outcome.late > 0).collect();
    assert!(broken.is_empty(), "of {count} seeds: {broken:?}");
}
