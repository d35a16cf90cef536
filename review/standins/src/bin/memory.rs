//! Changes of a configuration of many routes, until a box needs more memory than its machine has.
//!
//! `memory RECORD`; exits with 1 if requests that were passed on got no answer because a box went over its memory.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_review::boxes::{RunningBox, TempFolder, free_addrs};
use ivyweir_review::has_trouble;
use ivyweir_review::http::Channel;
use ivyweir_review::plain::{self, Runs};
use ivyweir_review::record::Record;
use ivyweir_review::store::Store;

const HALLS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const CLIENTS_PER_BOX: usize = 6;
/// `memoryMb` of a machine of the site, in kilobytes.
const MACHINE_MEMORY_KB: u64 = 260 * 1_024;
/// Routes that one `big_config` adds, and how often it strikes.
const BIG_CONFIG_ROUTES: usize = 350;
const BIG_CONFIGS: usize = 8;
const BIG_CONFIG_GAP: Duration = Duration::from_millis(500);
/// A `config_storm`: a change each gap, for so long. Storms begin this far apart.
const STORM_GAP: Duration = Duration::from_millis(290);
const STORM_LASTS: Duration = Duration::from_millis(4_850);
const STORM_EVERY: Duration = Duration::from_secs(6);
const LASTS: Duration = Duration::from_secs(95);

/// The configuration with its number of routes that nobody asks for.
fn config(version: u64, idle_routes: usize) -> String {
    let mut routes = vec![r#"{"name":"activate","host":"mls.example","pathPrefix":"/activate/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":150,"priority":2,"service":"activation-api","maxAttempts":3,"allowAnonymous":false}"#.to_owned()];
    for number in 0..idle_routes {
        routes.push(format!(
            r#"{{"name":"r-{number:07}","host":"ficu95.example","pathPrefix":"/pufi{number}/","kind":"streaming","timeoutMs":25000,"targetLatencyMs":1500,"priority":0,"sizes":["daka510000","rada7437b5","ravo486f6a"],"service":"activation-api","maxAttempts":3,"allowAnonymous":false,"sessionAffinity":true,"streamResume":true,"gapAimMs":1000}}"#
        ));
    }
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"activation-api","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"shop","apiKeys":["key-of-shop"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

/// What requesters saw.
#[derive(Default)]
struct Seen {
    served: AtomicU64,
    /// Requests whose channel closed without an answer, on a channel that had answered before.
    cut: Mutex<HashSet<String>>,
}

fn request_until(end: &AtomicBool, addr: SocketAddr, name: &str, record: &Record, seen: &Seen) {
    let mut channel: Option<Channel> = None;
    let mut number = 0;
    while !end.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{name}-{number:05}");
        let request = format!(
            "POST /activate/{id} HTTP/1.1\r\nHost: mls.example\r\nX-Ivyweir-Request-Id: {id}\r\nX-Ivyweir-Deadline-Ms: 1500\r\nAuthorization: Bearer key-of-shop\r\nContent-Length: 4\r\n\r\nbody"
        );
        let is_kept = channel.is_some();
        let open = channel
            .take()
            .map_or_else(|| Channel::open(addr, Duration::from_secs(4)), Ok);
        let Ok(mut open) = open else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        record.line(format!("requester sends {id}"));
        match open.call(&request) {
            Ok(answer) => {
                record.line(format!("requester gets {} for {id}", answer.status()));
                if answer.status() == 200 {
                    seen.served.fetch_add(1, Ordering::SeqCst);
                }
                if answer.header("connection") != Some("close") {
                    channel = Some(open);
                }
            }
            Err(e) => {
                record.line(format!(
                    "requester gets no answer for {id}, kept channel {is_kept}: {e}"
                ));
                if is_kept {
                    seen.cut.lock().expect("no holder panics").insert(id);
                }
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Changes the configuration as the operator does.
fn operate(store: &Store, record: &Record, end: &AtomicBool, version: &AtomicU64) {
    let routes = BIG_CONFIG_ROUTES * BIG_CONFIGS;
    while !end.load(Ordering::SeqCst) {
        let began = Instant::now();
        record.line("a storm of changes begins");
        let mut changes = 0;
        while began.elapsed() < STORM_LASTS && !end.load(Ordering::SeqCst) {
            let next = version.fetch_add(2, Ordering::SeqCst) + 2;
            // Every other change adds a route, and the next one takes it away.
            store.put("config", "main", &config(next, routes + changes % 2));
            changes += 1;
            thread::sleep(STORM_GAP);
        }
        record.line(format!("the storm ends after {changes} changes"));
        thread::sleep(STORM_EVERY.saturating_sub(began.elapsed()));
    }
}

fn run(record: &Path) -> std::io::Result<ExitCode> {
    let record = Record::create(record)?;
    let trouble = has_trouble();
    record.say(format!(
        "storms of changes: {}",
        if trouble { "yes" } else { "no" }
    ));
    let runs = Runs::default();
    let store = Store::start()?;
    let version = Arc::new(AtomicU64::new(1));
    store.put("config", "main", &config(1, 0));
    for (number, hall) in HALLS.iter().enumerate() {
        let id = format!("i-server-{number}");
        let addr = plain::start(&id, Duration::from_millis(120), &runs, &record)?;
        let spec = format!(
            r#"{{"service":"activation-api","address":"{addr}","zone":"{hall}","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"seq":4}}"#
        );
        store.put("servers", &id, &spec);
    }
    let folder = TempFolder::create("ivyweir-review-memory")?;
    let addrs = free_addrs(HALLS.len())?;
    let seeds: Vec<SocketAddr> = addrs.iter().map(|addrs| addrs.peer).collect();
    let start = |number: usize| {
        let hall = HALLS[number];
        let name = format!("front-{hall}-1");
        RunningBox::start(&folder.0, &name, hall, addrs[number], &seeds, store.addr)
    };
    let mut boxes = (0..HALLS.len()).map(start).collect::<Result<Vec<_>, _>>()?;
    if !boxes.iter().all(RunningBox::wait_ready) {
        record.say("a box did not become ready");
        return Ok(ExitCode::from(2));
    }
    for strike in 1..=BIG_CONFIGS {
        let next = version.fetch_add(2, Ordering::SeqCst) + 2;
        let text = config(next, BIG_CONFIG_ROUTES * strike);
        record.line(format!(
            "the configuration has {} routes, {} bytes",
            BIG_CONFIG_ROUTES * strike + 1,
            text.len()
        ));
        store.put("config", "main", &text);
        thread::sleep(BIG_CONFIG_GAP);
    }
    let end = Arc::new(AtomicBool::new(false));
    let seen = Arc::new(Seen::default());
    let mut threads = Vec::new();
    for (at, running) in boxes.iter().enumerate() {
        for number in 0..CLIENTS_PER_BOX {
            let (end, record, seen) = (end.clone(), record.clone(), seen.clone());
            let (addr, name) = (running.caller_addr, format!("r{at}{number:02}"));
            threads.push(thread::spawn(move || {
                request_until(&end, addr, &name, &record, &seen)
            }));
        }
    }
    if trouble {
        let (store, record, end, version) =
            (store.clone(), record.clone(), end.clone(), version.clone());
        threads.push(thread::spawn(move || {
            operate(&store, &record, &end, &version)
        }));
    }
    let began = Instant::now();
    let mut over = 0;
    let mut reported = 0;
    let mut most_kb = 0;
    while began.elapsed() < LASTS {
        thread::sleep(Duration::from_millis(50));
        let second = began.elapsed().as_secs() / 5;
        for number in 0..boxes.len() {
            let memory_kb = boxes[number].memory_kb();
            most_kb = most_kb.max(memory_kb);
            if second > reported {
                record.say(format!(
                    "{} needs {} MB at version {}",
                    boxes[number].name,
                    memory_kb / 1_024,
                    version.load(Ordering::SeqCst)
                ));
            }
            if memory_kb > MACHINE_MEMORY_KB {
                over += 1;
                record.say(format!(
                    "{} needs {} MB: the platform kills it",
                    boxes[number].name,
                    memory_kb / 1_024
                ));
                boxes[number].kill();
                thread::sleep(Duration::from_millis(300));
                boxes[number] = start(number)?;
            }
        }
        reported = reported.max(second);
    }
    end.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ended = thread.join();
    }
    let runs = runs.lock().expect("no holder panics");
    let cut = seen.cut.lock().expect("no holder panics");
    let mut lost: Vec<&String> = cut.iter().filter(|id| runs.contains_key(*id)).collect();
    lost.sort();
    for id in &lost {
        record.say(format!("LOST: {id} was taken from a kept channel and ran, and the channel closed without an answer"));
    }
    record.say(format!(
        "{} served; most memory {} MB; {over} processes went over the memory of their machine; {} requests lost",
        seen.served.load(Ordering::SeqCst), most_kb / 1_024, lost.len()
    ));
    if seen.served.load(Ordering::SeqCst) == 0 {
        return Ok(ExitCode::from(2));
    }
    Ok(ExitCode::from(u8::from(lost.len() > 3)))
}

fn main() -> ExitCode {
    let record = std::env::args().nth(1).unwrap_or("record.txt".into());
    run(Path::new(&record)).unwrap_or_else(|e| {
        eprintln!("the case could not run: {e}");
        ExitCode::from(2)
    })
}
