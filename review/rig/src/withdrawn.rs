//! CONFIG: a key is withdrawn while the store forgets its history, and then the store is down.

use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{self, Place, Record};
use crate::server::Server;
use crate::store::{Mode, Store};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const WITHDRAWN: &str = "anfqasnmgkcuyj8pjbvk";
const REVOKE: Duration = Duration::from_millis(5_000);
/// Time for which watches hear nothing.
const DEAF: Duration = Duration::from_millis(1_000);
/// Time for which the store is down after that.
const DOWN: Duration = Duration::from_millis(4_500);

pub fn run(folder: &Path, record: &mut Record, has_trouble: bool) -> Verdict {
    let store = Store::start();
    let server = Server::start("i-7f3a91c2", vec![b'x'; 800], Duration::from_millis(5));
    store.put(
        "config",
        "main",
        &fleet::config(7, 150, 1_500, &[KEY, WITHDRAWN]),
    );
    store.put("servers", &server.id, &server.spec("wuno96b", "hall-a"));
    let places = [Place::free(), Place::free(), Place::free(), Place::free()];
    let boxes = fleet::start(fleet::MLS, folder, &places, store.addr);
    if !fleet::wait_ready(&boxes, Duration::from_secs(15)) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(5));
    // Waits for a new watch of the configuration, so that another one is answered at the end of the deaf second.
    let (seen, _) = store.last_watch().expect("boxes watch");
    let (watch_at, wait_ms) = loop {
        thread::sleep(Duration::from_millis(1));
        match store.last_watch() {
            Some((at, wait_ms)) if at > seen => break (at, wait_ms),
            _ => {}
        }
    };
    record.line(
        watch_at,
        &format!("watch of the configuration, waitMs {wait_ms}"),
    );
    // With watches of W ms: the one under way ends at W, the next one at 2 W + the time between. The deaf second is to
    // end just behind that.
    let period = Duration::from_millis(wait_ms + 8);
    let change_at = watch_at + period * 2 + Duration::from_millis(10) - DEAF;
    thread::sleep(change_at.saturating_duration_since(Instant::now()));
    if has_trouble {
        store.set_mode(Mode::Deaf);
    }
    let acked = store.put("config", "main", &fleet::config(8, 150, 1_500, &[KEY]));
    record.line(
        acked,
        &format!("store acknowledges version 8 without the key {WITHDRAWN}"),
    );
    if has_trouble {
        thread::sleep((acked + DEAF).saturating_duration_since(Instant::now()));
        store.set_mode(Mode::Silent);
        record.now("end of the deaf second: the store is down, silent, for 4.5 s");
        let store = store.clone();
        thread::spawn(move || {
            thread::sleep(DOWN);
            store.set_mode(Mode::Up);
        });
    }
    // Sends a request with the withdrawn key to each box every 10 ms, from just before the bound.
    let (tell, told) = mpsc::channel();
    let first = acked + Duration::from_millis(4_500);
    thread::sleep(first.saturating_duration_since(Instant::now()));
    let senders: Vec<_> = places
        .iter()
        .enumerate()
        .map(|(n, place)| {
            let (place, tell) = (*place, tell.clone());
            thread::spawn(move || {
                let mut count = 0;
                while acked.elapsed() < Duration::from_millis(6_500) {
                    count += 1;
                    let id = format!("{n:04x}{count:012x}");
                    let request = fleet::request("GET", "/cufi504/2f", &id, WITHDRAWN, 1_500, b"");
                    let sent = Instant::now();
                    let answer = fleet::ask(&place, &request, Duration::from_millis(1_500));
                    let status = answer.map_or(0, |answer| answer.status());
                    let _ignored = tell.send((sent, n, id, status));
                    thread::sleep(Duration::from_millis(8));
                }
            })
        })
        .collect();
    drop(tell);
    let sends: Vec<_> = told.iter().collect();
    for sender in senders {
        let _ignored = sender.join();
    }
    let runs = server.runs();
    let mut late = 0;
    for (sent, n, id, status) in &sends {
        let run = runs.iter().find(|run| run.id == *id);
        let after = sent.saturating_duration_since(acked);
        let is_late = run.is_some() && after > REVOKE;
        late += u32::from(is_late);
        let run = run.map_or("not run".to_owned(), |run| {
            format!("run for {}", run.tenant)
        });
        let mark = if is_late { "  LATE" } else { "" };
        record.line(
            *sent,
            &format!(
                "{id} to front-{n}, {} ms after the ack: {status}, {run}{mark}",
                after.as_millis()
            ),
        );
    }
    record.now(&format!(
        "{late} requests of {} ran that were sent later than 5000 ms after the ack",
        sends.len()
    ));
    if sends.is_empty() {
        Verdict::NotRun
    } else if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
