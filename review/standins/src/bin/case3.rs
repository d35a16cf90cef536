//! A roll-out of a bad version: half of its answers are cut short.
//!
//! `case3 RECORD`; exits with 1 if the bad version gets a request later than `rollbackMs` after its 50th bad answer.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use ivyweir_review::boxes::{RunningBox, TempFolder, free_addrs};
use ivyweir_review::http::{Channel, answer, listen, read_body, read_head};
use ivyweir_review::record::Record;
use ivyweir_review::store::Store;
use ivyweir_review::{has_trouble, wait_for};

const SERVICE: &str = "activation-api";
const HALLS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const SERVERS: usize = 4;
const SLOTS: u64 = 6;
const WORK: Duration = Duration::from_millis(30);
/// Requesters, and the pause of each: some 25 requests a second in all.
const CLIENTS_PER_BOX: usize = 5;
const PAUSE: Duration = Duration::from_millis(570);
const WARM_UP: Duration = Duration::from_secs(5);
const ROLLOUT_S: u64 = 16;
const AFTER: Duration = Duration::from_secs(14);
const ROLLBACK_MS: u64 = 5_000;
const BAD_ANSWERS: usize = 50;

/// What the servers of a version did.
struct Version {
    record: Record,
    /// Whether every other answer is cut short.
    is_bad: bool,
    is_stopped: AtomicBool,
    answers: AtomicU64,
    /// Times of the requests, and of the bad answers.
    requests_ms: Mutex<Vec<u64>>,
    bad_ms: Mutex<Vec<u64>>,
}

impl Version {
    fn new(record: &Record, is_bad: bool) -> Arc<Self> {
        Arc::new(Self {
            record: record.clone(),
            is_bad,
            is_stopped: AtomicBool::new(false),
            answers: AtomicU64::new(0),
            requests_ms: Mutex::default(),
            bad_ms: Mutex::default(),
        })
    }
}

fn serve(version: &Version, id: &str, stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(mut request)) = read_head(&mut reader) {
        if version.is_stopped.load(Ordering::SeqCst)
            || read_body(&mut reader, &mut request, false).is_err()
        {
            return;
        }
        let of = request
            .header("x-ivyweir-request-id")
            .unwrap_or("")
            .to_owned();
        if request.header("x-ivyweir-expect-instance") != Some(id) {
            let headers = [
                ("X-Ivyweir-Request-Id", of.as_str()),
                ("X-Ivyweir-Instance-Id", id),
            ];
            let text = answer("421 Misdirected Request", &headers, "");
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let now_ms = version.record.now_ms();
        version
            .requests_ms
            .lock()
            .expect("no holder panics")
            .push(now_ms);
        let number = version.answers.fetch_add(1, Ordering::SeqCst);
        thread::sleep(WORK);
        let headers = [
            ("X-Ivyweir-Request-Id", of.as_str()),
            ("X-Ivyweir-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("X-Ivyweir-Server-Load", "1,0,6"),
        ];
        let text = answer("200 OK", &headers, &"activated ".repeat(80));
        if version.is_bad && number % 2 == 0 {
            version
                .record
                .line(format!("server {id} runs {of} and cuts its answer short"));
            version
                .bad_ms
                .lock()
                .expect("no holder panics")
                .push(version.record.now_ms());
            let _cut = writer.write_all(&text.as_bytes()[..text.len() / 2]);
            return;
        }
        version.record.line(format!("server {id} runs {of}"));
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

fn start_servers(version: &Arc<Version>, name: &str, store: &Store) -> std::io::Result<()> {
    for number in 0..SERVERS {
        let id = format!("i-{name}-{number}");
        let (of_channels, own_id) = (version.clone(), id.clone());
        let addr = listen(move |stream| serve(&of_channels, &own_id, stream))?;
        let hall = HALLS[number % HALLS.len()];
        let spec = format!(
            r#"{{"service":"{SERVICE}","address":"{addr}","zone":"{hall}","version":"{name}","slots":{SLOTS},"state":"ready","coldRemainingMs":0,"seq":4}}"#
        );
        store.put("servers", &id, &spec);
    }
    Ok(())
}

#[derive(Default)]
struct Seen {
    served: AtomicU64,
    failed: AtomicU64,
}

fn request_until(end: &AtomicBool, addr: SocketAddr, name: &str, record: &Record, seen: &Seen) {
    let mut number = 0;
    while !end.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{name}-{number:04}");
        let request = format!(
            "POST /activate/{id} HTTP/1.1\r\nHost: mls.example\r\nX-Ivyweir-Request-Id: {id}\r\nX-Ivyweir-Deadline-Ms: 1500\r\nAuthorization: Bearer key-of-shop\r\nContent-Length: 4\r\n\r\nbody"
        );
        record.line(format!("requester sends {id}"));
        let channel = Channel::open(addr, Duration::from_secs(4));
        let status = channel
            .and_then(|mut channel| channel.call(&request))
            .map_or(0, |answer| answer.status());
        record.line(format!("requester gets {status} for {id}"));
        let count = if status == 200 {
            &seen.served
        } else {
            &seen.failed
        };
        count.fetch_add(1, Ordering::SeqCst);
        thread::sleep(PAUSE);
    }
}

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"activate","host":"mls.example","pathPrefix":"/activate/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":150,"priority":2,"service":"activation-api","maxAttempts":3,"allowAnonymous":false}],"services":[{"name":"activation-api","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"shop","apiKeys":["key-of-shop"],"priority":1}]}"#;

fn run(record: &Path) -> std::io::Result<ExitCode> {
    let record = Record::create(record)?;
    let trouble = has_trouble();
    record.say(format!(
        "the new version is {}",
        if trouble { "bad" } else { "good" }
    ));
    let store = Store::start()?;
    store.put("config", "main", CONFIG);
    let old = Version::new(&record, false);
    let new = Version::new(&record, trouble);
    start_servers(&old, "v1", &store)?;
    let folder = TempFolder::create("ivyweir-review-3")?;
    let addrs = free_addrs(HALLS.len())?;
    let seeds: Vec<SocketAddr> = addrs.iter().map(|addrs| addrs.peer).collect();
    let mut boxes = Vec::new();
    for (number, hall) in HALLS.iter().enumerate() {
        let name = format!("front-{hall}-1");
        boxes.push(RunningBox::start(
            &folder.0,
            &name,
            hall,
            addrs[number],
            &seeds,
            store.addr,
        )?);
    }
    if !boxes.iter().all(RunningBox::wait_ready) {
        record.say("a box did not become ready");
        return Ok(ExitCode::from(2));
    }
    let end = Arc::new(AtomicBool::new(false));
    let seen = Arc::new(Seen::default());
    let mut requesters = Vec::new();
    for (at, running) in boxes.iter().enumerate() {
        for number in 0..CLIENTS_PER_BOX {
            let (end, record, seen) = (end.clone(), record.clone(), seen.clone());
            let (addr, name) = (running.caller_addr, format!("r{at}{number:02}"));
            requesters.push(thread::spawn(move || {
                thread::sleep(Duration::from_millis(110 * number as u64));
                request_until(&end, addr, &name, &record, &seen);
            }));
        }
    }
    thread::sleep(WARM_UP);
    start_servers(&new, "v2", &store)?;
    let order =
        format!(r#"{{"service":"{SERVICE}","targetVersion":"v2","durationS":{ROLLOUT_S}}}"#);
    store.put("rollouts", SERVICE, &order);
    let ordered_ms = record.now_ms();
    record.say("the roll-out of v2 is ordered");
    let mut state = "running";
    wait_for(Duration::from_secs(ROLLOUT_S + 8), || {
        let status = store.status("rollouts", SERVICE).unwrap_or_default();
        for over in ["completed", "rolled_back"] {
            if status.contains(over) {
                state = over;
            }
        }
        state != "running"
    });
    record.say(format!(
        "the roll-out is {state} after {} ms",
        record.now_ms() - ordered_ms
    ));
    if state == "completed" {
        old.is_stopped.store(true, Ordering::SeqCst);
        for number in 0..SERVERS {
            store.remove("servers", &format!("i-v1-{number}"));
        }
    }
    thread::sleep(AFTER);
    end.store(true, Ordering::SeqCst);
    for requester in requesters {
        let _ended = requester.join();
    }
    let bad_ms = new.bad_ms.lock().expect("no holder panics");
    let requests_ms = new.requests_ms.lock().expect("no holder panics");
    let bound_ms = bad_ms.get(BAD_ANSWERS - 1).map(|at_ms| at_ms + ROLLBACK_MS);
    let late = requests_ms
        .iter()
        .filter(|at_ms| bound_ms.is_some_and(|bound| **at_ms > bound));
    let late = late.count();
    record.say(format!(
        "v2 got {} requests and cut {} answers short; {late} requests came later than {ROLLBACK_MS} ms after the 50th; requesters got {} answers and {} failures",
        requests_ms.len(),
        bad_ms.len(),
        seen.served.load(Ordering::SeqCst),
        seen.failed.load(Ordering::SeqCst)
    ));
    if state == "running" {
        return Ok(ExitCode::from(2));
    }
    if late > 0 {
        record.say("EXPOSURE: the bad version still gets requests");
    }
    Ok(ExitCode::from(u8::from(late > 0)))
}

fn main() -> ExitCode {
    let record = std::env::args().nth(1).unwrap_or("record.txt".into());
    run(Path::new(&record)).unwrap_or_else(|e| {
        eprintln!("the case could not run: {e}");
        ExitCode::from(2)
    })
}
