//! A server's surplus answer that says "not run", in the place where the answer to the next request is due.
//!
//! `case1 RECORD`; exits with 1 if an unsafe request ran twice or was answered as not run though it ran, with 0 if not.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_review::boxes::{RunningBox, TempFolder, free_addrs};
use ivyweir_review::has_trouble;
use ivyweir_review::http::{Channel, answer, listen, read_body, read_head};
use ivyweir_review::record::Record;
use ivyweir_review::store::Store;

const SERVICE: &str = "activation-api";
const HALLS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
/// Requests that a server runs at once, and that wait there beyond these.
const SLOTS: u64 = 6;
const QUEUE: u64 = 4;
const WORK: Duration = Duration::from_millis(30);
const CLIENTS_PER_BOX: usize = 14;
const LASTS: Duration = Duration::from_secs(45);
/// One answer in so many of the faulty server, of whatever status, is followed by a surplus one.
const ANSWERS_PER_SURPLUS: u64 = 50;

/// What all servers did.
struct World {
    record: Record,
    /// The servers that ran each request.
    runs: Mutex<HashMap<String, Vec<String>>>,
    surplus: AtomicU64,
    surplus_refusals: AtomicU64,
    answers: AtomicU64,
    refusals: AtomicU64,
}

/// A server of the service.
struct Server {
    id: String,
    is_faulty: bool,
    answers: AtomicU64,
    /// Requests that run, and that wait.
    load: Mutex<(u64, u64)>,
    freed: Condvar,
}

impl Server {
    /// Takes a slot, or waits for one; returns whether the request runs.
    fn admit(&self) -> bool {
        let mut load = self.load.lock().expect("no holder panics");
        if load.0 >= SLOTS {
            if load.1 >= QUEUE {
                return false;
            }
            load.1 += 1;
            while load.0 >= SLOTS {
                load = self.freed.wait(load).expect("no holder panics");
            }
            load.1 -= 1;
        }
        load.0 += 1;
        true
    }

    fn release(&self) {
        self.load.lock().expect("no holder panics").0 -= 1;
        self.freed.notify_one();
    }

    fn load_header(&self) -> String {
        let load = self.load.lock().expect("no holder panics");
        format!("{},{},{SLOTS}", load.0, load.1)
    }
}

fn serve(world: &World, server: &Server, stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    // The surplus answer that is written late, in the place where the next answer is due.
    let mut late: Option<(String, String)> = None;
    while let Ok(Some(mut request)) = read_head(&mut reader) {
        if read_body(&mut reader, &mut request, false).is_err() {
            return;
        }
        let id = request
            .header("x-ivyweir-request-id")
            .unwrap_or("")
            .to_owned();
        if let Some((of, text)) = late.take() {
            let status = text.split(' ').nth(1).unwrap_or("");
            world.record.line(format!(
                "server {} writes its surplus answer to {of} ({status}) where the answer to {id} is due",
                server.id
            ));
            world.surplus.fetch_add(1, Ordering::SeqCst);
            if status == "503" {
                world.surplus_refusals.fetch_add(1, Ordering::SeqCst);
            }
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
        let load = server.load_header();
        let load = [
            ("X-Ivyweir-Request-Id", id.as_str()),
            ("X-Ivyweir-Server-Load", &load),
        ];
        if request.word(1) == "/health" {
            let headers = [("X-Ivyweir-Instance-Id", server.id.as_str())];
            if writer
                .write_all(answer("200 OK", &headers, "").as_bytes())
                .is_err()
            {
                return;
            }
            continue;
        }
        if request.header("x-ivyweir-expect-instance") != Some(&server.id) {
            let headers = [load[0], ("X-Ivyweir-Instance-Id", server.id.as_str())];
            let text = answer("421 Misdirected Request", &headers, "");
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let number = server.answers.fetch_add(1, Ordering::SeqCst) + 1;
        world.answers.fetch_add(1, Ordering::SeqCst);
        let text = if server.admit() {
            world.record.line(format!("server {} runs {id}", server.id));
            world
                .runs
                .lock()
                .expect("no holder panics")
                .entry(id.clone())
                .or_default()
                .push(server.id.clone());
            thread::sleep(WORK);
            server.release();
            let headers = [
                load[0],
                load[1],
                ("X-Ivyweir-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ];
            answer("200 OK", &headers, &format!("activated by {id}"))
        } else {
            world.refusals.fetch_add(1, Ordering::SeqCst);
            world
                .record
                .line(format!("server {} is full and refuses {id}", server.id));
            let headers = [load[0], load[1], ("X-Ivyweir-Not-Run", "1")];
            answer("503 Service Unavailable", &headers, "")
        };
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
        if server.is_faulty && number % ANSWERS_PER_SURPLUS == 0 {
            late = Some((id, text));
        }
    }
}

fn start_server(
    world: &Arc<World>,
    number: usize,
    is_faulty: bool,
) -> std::io::Result<(String, SocketAddr)> {
    let id = format!("i-server-{number}");
    let server = Arc::new(Server {
        id: id.clone(),
        is_faulty,
        answers: AtomicU64::new(0),
        load: Mutex::default(),
        freed: Condvar::new(),
    });
    let world = world.clone();
    let addr = listen(move |stream| serve(&world, &server, stream))?;
    Ok((id, addr))
}

/// What requesters saw.
#[derive(Default)]
struct Seen {
    statuses: Mutex<HashMap<String, u16>>,
}

fn request_until(end: &AtomicBool, addr: SocketAddr, name: &str, world: &World, seen: &Seen) {
    let mut channel: Option<Channel> = None;
    let mut number = 0;
    while !end.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{name}-{number:05}");
        let body = format!("activate {id}");
        let request = format!(
            "POST /activate/{id} HTTP/1.1\r\nHost: mls.example\r\nX-Ivyweir-Request-Id: {id}\r\nX-Ivyweir-Deadline-Ms: 1500\r\nAuthorization: Bearer key-of-shop\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut open = match channel.take() {
            Some(open) => open,
            None => match Channel::open(addr, Duration::from_millis(2_500)) {
                Ok(open) => open,
                Err(_) => {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                }
            },
        };
        world.record.line(format!("requester sends {id}"));
        match open.call(&request) {
            Ok(answer) => {
                world
                    .record
                    .line(format!("requester gets {} for {id}", answer.status()));
                let mut statuses = seen.statuses.lock().expect("no holder panics");
                statuses.insert(id, answer.status());
                drop(statuses);
                if answer.status() == 503 {
                    let after = answer.header("retry-after").and_then(|s| s.parse().ok());
                    let after: f64 = after.unwrap_or(0.1);
                    thread::sleep(Duration::from_secs_f64(after.min(0.5)));
                }
                if answer.header("connection") != Some("close") {
                    channel = Some(open);
                }
            }
            Err(e) => world
                .record
                .line(format!("requester gets no answer for {id}: {e}")),
        }
        thread::sleep(Duration::from_millis(5));
    }
}

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"activate","host":"mls.example","pathPrefix":"/activate/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":150,"priority":2,"service":"activation-api","maxAttempts":3,"allowAnonymous":false}],"services":[{"name":"activation-api","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"shop","apiKeys":["key-of-shop"],"priority":1}]}"#;

fn run(record: &Path) -> std::io::Result<ExitCode> {
    let record = Record::create(record)?;
    let trouble = has_trouble();
    record.say(format!(
        "surplus answers: {}",
        if trouble { "yes" } else { "no" }
    ));
    let world = Arc::new(World {
        record: record.clone(),
        runs: Mutex::default(),
        surplus: AtomicU64::new(0),
        surplus_refusals: AtomicU64::new(0),
        answers: AtomicU64::new(0),
        refusals: AtomicU64::new(0),
    });
    let store = Store::start()?;
    store.put("config", "main", CONFIG);
    for (number, hall) in HALLS.iter().enumerate() {
        let (id, addr) = start_server(&world, number, trouble && number == 0)?;
        let spec = format!(
            r#"{{"service":"{SERVICE}","address":"{addr}","zone":"{hall}","version":"v1","slots":{SLOTS},"state":"ready","coldRemainingMs":0,"seq":4}}"#
        );
        store.put("servers", &id, &spec);
    }
    let folder = TempFolder::create("ivyweir-review-1")?;
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
            let (end, world, seen) = (end.clone(), world.clone(), seen.clone());
            let (addr, name) = (running.caller_addr, format!("r{at}{number:02}"));
            requesters.push(thread::spawn(move || {
                request_until(&end, addr, &name, &world, &seen)
            }));
        }
    }
    let deadline = Instant::now() + LASTS;
    while Instant::now() < deadline {
        thread::sleep(Duration::from_millis(200));
    }
    end.store(true, Ordering::SeqCst);
    for requester in requesters {
        let _ended = requester.join();
    }
    thread::sleep(Duration::from_millis(300));
    let runs = world.runs.lock().expect("no holder panics");
    let statuses = seen.statuses.lock().expect("no holder panics");
    let twice: Vec<_> = runs
        .iter()
        .filter(|(_, servers)| servers.len() > 1)
        .collect();
    let denied: Vec<_> = runs
        .keys()
        .filter(|id| matches!(statuses.get(*id), Some(408 | 421 | 429 | 503)))
        .collect();
    let served = statuses.values().filter(|status| **status == 200).count();
    record.say(format!(
        "{} requests answered, {served} with 200; servers answered {}, refused {}, wrote {} surplus answers, {} of them refusals",
        statuses.len(),
        world.answers.load(Ordering::SeqCst),
        world.refusals.load(Ordering::SeqCst),
        world.surplus.load(Ordering::SeqCst),
        world.surplus_refusals.load(Ordering::SeqCst),
    ));
    for (id, servers) in &twice {
        record.say(format!("TWICE: {id} ran at {}", servers.join(" and ")));
    }
    for id in &denied {
        record.say(format!("REFUSED: {id} ran and was answered as not run"));
    }
    if served == 0 {
        return Ok(ExitCode::from(2));
    }
    record.say(format!(
        "{} ran twice, {} were denied though they ran",
        twice.len(),
        denied.len()
    ));
    Ok(ExitCode::from(u8::from(
        !twice.is_empty() || !denied.is_empty(),
    )))
}

fn main() -> ExitCode {
    let record = std::env::args().nth(1).unwrap_or("record.txt".into());
    run(Path::new(&record)).unwrap_or_else(|e| {
        eprintln!("the case could not run: {e}");
        ExitCode::from(2)
    })
}
