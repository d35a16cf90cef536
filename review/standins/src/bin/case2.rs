//! A roll-out whose old servers stop when it is completed, while they send answers that carry no length.
//!
//! `case2 RECORD`; exits with 1 if a requester got a stream that was ended as complete ahead of its last event.
//! `case2 server ID N` is a server of its own process; it sends every Nth answer without a length (none if N is 0), and
//! prints its address and then what it runs.
//! `case2 RECORD drain` empties half of the servers and takes them away instead; with `crash` they crash. A number behind
//! that replaces the N of half of the servers.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_review::boxes::{RunningBox, TempFolder, free_addrs};
use ivyweir_review::http::{answer, listen, read_body, read_head};
use ivyweir_review::record::Record;
use ivyweir_review::store::Store;
use ivyweir_review::{has_trouble, wait_for};

const SERVICE: &str = "ivyweir-pool";
const HALLS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const SERVERS: usize = 6;
const SLOTS: u64 = 64;
const CLIENTS_PER_BOX: usize = 90;
/// Events of a stream, and the time between them.
const EVENTS: u64 = 40;
const GAP: Duration = Duration::from_millis(100);
/// Half of the servers send one answer in so many without a length.
const ANSWERS_PER_UNFRAMED: u64 = 20;
const WARM_UP: Duration = Duration::from_secs(6);
const ROLLOUT_S: u64 = 16;
const AFTER: Duration = Duration::from_secs(6);

/// Runs a server until the process is killed.
fn run_server(id: String, unframed_every: u64) {
    let answers = Arc::new(AtomicU64::new(0));
    let running = Arc::new(AtomicU64::new(0));
    let out = Arc::new(Mutex::new(std::io::stdout()));
    let of_channels = out.clone();
    let addr = listen(move |stream| {
        serve(
            &id,
            unframed_every,
            &answers,
            &running,
            &of_channels,
            stream,
        );
    });
    let addr = addr.expect("a free port");
    say(&out, &format!("{addr}"));
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

fn say(out: &Mutex<std::io::Stdout>, line: &str) {
    let mut out = out.lock().expect("no holder panics");
    let _written = writeln!(out, "{line}").and_then(|()| out.flush());
}

fn serve(
    id: &str,
    unframed_every: u64,
    answers: &AtomicU64,
    running: &AtomicU64,
    out: &Mutex<std::io::Stdout>,
    stream: TcpStream,
) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(mut request)) = read_head(&mut reader) {
        if read_body(&mut reader, &mut request, false).is_err() {
            return;
        }
        let of = request
            .header("x-ivyweir-request-id")
            .unwrap_or("")
            .to_owned();
        let now = running.load(Ordering::SeqCst);
        let text = if request.word(1) == "/api/report" {
            let body = format!(
                r#"{{"stage":"unified","models":[{{"name":"m0","version":1,"adapters":[]}}],"busy":false,"seq":2,"waiting":0,"running":{now},"kvUsed":41000,"kvTotal":655142,"handles":0}}"#
            );
            Some(answer(
                "200 OK",
                &[("Content-Type", "application/json")],
                &body,
            ))
        } else if request.word(1) == "/health" {
            Some(answer("200 OK", &[("X-Ivyweir-Instance-Id", id)], ""))
        } else if request.header("x-ivyweir-expect-instance") != Some(id) {
            let headers = [
                ("X-Ivyweir-Request-Id", of.as_str()),
                ("X-Ivyweir-Instance-Id", id),
            ];
            Some(answer("421 Misdirected Request", &headers, ""))
        } else if now >= SLOTS {
            let headers = [
                ("X-Ivyweir-Request-Id", of.as_str()),
                ("X-Ivyweir-Not-Run", "1"),
            ];
            Some(answer("503 Service Unavailable", &headers, ""))
        } else {
            None
        };
        if let Some(text) = text {
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let number = answers.fetch_add(1, Ordering::SeqCst) + 1;
        let is_unframed = unframed_every > 0 && number % unframed_every == 0;
        let first: u64 = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        let framing = if is_unframed {
            "without a length"
        } else {
            "in chunks"
        };
        say(out, &format!("runs {of} behind event {first}, {framing}"));
        running.fetch_add(1, Ordering::SeqCst);
        let sent = stream_events(&mut writer, &of, first, is_unframed, running);
        running.fetch_sub(1, Ordering::SeqCst);
        if sent.is_err() || is_unframed {
            return;
        }
    }
}

/// Writes the events of a stream, each with one write, and its end.
fn stream_events(
    writer: &mut TcpStream,
    of: &str,
    first: u64,
    is_unframed: bool,
    running: &AtomicU64,
) -> std::io::Result<()> {
    let framing = if is_unframed {
        "Connection: close"
    } else {
        "Transfer-Encoding: chunked"
    };
    let load = running.load(Ordering::SeqCst);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Ivyweir-Request-Id: {of}\r\nX-Ivyweir-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Ivyweir-Server-Load: {load},0,{SLOTS}\r\n{framing}\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for id in first + 1..=EVENTS {
        let event = format!("id: {id}\ndata: {id} of {EVENTS} of {of}\n\n");
        let text = if is_unframed {
            event
        } else {
            format!("{:x}\r\n{event}\r\n", event.len())
        };
        writer.write_all(text.as_bytes())?;
        thread::sleep(GAP);
    }
    if !is_unframed {
        writer.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// A server in a process of its own.
struct ServerProcess {
    child: Child,
    id: String,
    addr: SocketAddr,
}

impl ServerProcess {
    fn start(id: &str, unframed_every: u64, record: &Record) -> std::io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["server", id, &unframed_every.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let out = child.stdout.take().expect("it is piped");
        let mut lines = BufReader::new(out).lines();
        let addr = lines.next().ok_or(std::io::ErrorKind::UnexpectedEof)??;
        let addr = addr.parse().map_err(std::io::Error::other)?;
        let (record, name) = (record.clone(), id.to_owned());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.line(format!("server {name} {line}"));
            }
        });
        Ok(Self {
            child,
            id: id.to_owned(),
            addr,
        })
    }

    fn stop(&mut self) {
        let _killed = self.child.kill();
        let _ended = self.child.wait();
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        self.stop();
    }
}

/// What requesters saw.
#[derive(Default)]
struct Seen {
    whole: AtomicU64,
    broken: AtomicU64,
    refused: AtomicU64,
    /// Streams that were ended as complete ahead of their last event, with the number of events.
    short: Mutex<Vec<(String, u64)>>,
    /// Streams in which an event was absent or came twice.
    torn: Mutex<Vec<String>>,
}

fn request_until(end: &AtomicBool, addr: SocketAddr, name: &str, record: &Record, seen: &Seen) {
    let mut number = 0;
    while !end.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{name}-{number:04}");
        let request = format!(
            "POST /explain/{id} HTTP/1.1\r\nHost: mls.example\r\nX-Ivyweir-Request-Id: {id}\r\nX-Ivyweir-Model: m0\r\nX-Ivyweir-Token-Counts: 826,60\r\nX-Ivyweir-Prompt-Prefix: 5c1e07a2:198,{number:x}{}:628\r\nSession: s-{name}\r\nX-Ivyweir-Deadline-Ms: 25000\r\nAuthorization: Bearer key-of-shop\r\nContent-Length: 4\r\n\r\nplan",
            name.len()
        );
        record.line(format!("requester sends {id}"));
        match read_stream(addr, &request) {
            Ok(Stream {
                status: 200,
                ids,
                is_complete,
            }) => {
                let last = ids.last().copied().unwrap_or(0);
                record.line(format!(
                    "requester gets {} events of {id}, ended as {}",
                    ids.len(),
                    if is_complete { "complete" } else { "broken" }
                ));
                if ids.iter().copied().ne(1..=last) {
                    seen.torn.lock().expect("no holder panics").push(id.clone());
                }
                if !is_complete {
                    seen.broken.fetch_add(1, Ordering::SeqCst);
                } else if last < EVENTS {
                    seen.short
                        .lock()
                        .expect("no holder panics")
                        .push((id, last));
                } else {
                    seen.whole.fetch_add(1, Ordering::SeqCst);
                }
            }
            Ok(Stream { status, .. }) => {
                seen.refused.fetch_add(1, Ordering::SeqCst);
                record.line(format!("requester gets {status} for {id}"));
                thread::sleep(Duration::from_millis(250));
            }
            Err(e) => {
                record.line(format!("requester gets no answer for {id}: {e}"));
                thread::sleep(Duration::from_millis(250));
            }
        }
    }
}

/// The answer to a request for a stream.
struct Stream {
    status: u16,
    ids: Vec<u64>,
    /// Whether the last chunk came.
    is_complete: bool,
}

fn read_stream(addr: SocketAddr, request: &str) -> std::io::Result<Stream> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    let mut reader = BufReader::new(stream);
    reader.get_mut().write_all(request.as_bytes())?;
    let mut head = read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let is_complete = read_body(&mut reader, &mut head, false).is_ok();
    let text = head.text();
    let ids = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    Ok(Stream {
        status: head.status(),
        ids: ids.collect(),
        is_complete,
    })
}

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"explain","host":"mls.example","pathPrefix":"/explain/","kind":"streaming","timeoutMs":25000,"targetLatencyMs":1500,"priority":0,"service":"ivyweir-pool","maxAttempts":3,"allowAnonymous":false,"sessionAffinity":true,"streamResume":true,"gapAimMs":1000}],"services":[{"name":"ivyweir-pool","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvTokens":655142,"kvTokenBytes":163840,"linkMbps":740000.0,"moves":true,"backups":true,"stride":5,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m0","cost":0.021}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"shop","apiKeys":["key-of-shop"],"priority":1}]}"#;

fn register(store: &Store, server: &ServerProcess, number: usize, version: &str) {
    register_as(store, server, number, version, "ready");
}

fn register_as(store: &Store, server: &ServerProcess, number: usize, version: &str, state: &str) {
    let spec = format!(
        r#"{{"service":"{SERVICE}","address":"{}","zone":"{}","version":"{version}","slots":{SLOTS},"state":"{state}","coldRemainingMs":0,"stage":"unified","models":[{{"name":"m0","version":1,"adapters":[]}}],"seq":4}}"#,
        server.addr,
        HALLS[number % HALLS.len()]
    );
    store.put("servers", &server.id, &spec);
}

/// Time for which a server that says `draining` serves on: `drainMs` and a little longer.
const DRAIN: Duration = Duration::from_millis(2_300);

/// Empties every other server and takes it away.
fn drain_half(store: &Store, servers: &mut [ServerProcess], record: &Record) {
    let leaving = || (0..SERVERS).step_by(2);
    for number in leaving() {
        register_as(store, &servers[number], number, "v1", "draining");
    }
    record.say("half of the servers say that they are draining");
    thread::sleep(DRAIN);
    for number in leaving() {
        servers[number].stop();
        store.remove("servers", &servers[number].id);
    }
    record.say("they have ended");
}

/// Lets every other server crash. Their entries go after three pings of silence.
fn crash_half(store: &Store, servers: &mut [ServerProcess], record: &Record) {
    for number in (0..SERVERS).step_by(2) {
        servers[number].stop();
    }
    record.say("half of the servers have crashed");
    thread::sleep(Duration::from_millis(3_600));
    for number in (0..SERVERS).step_by(2) {
        store.remove("servers", &servers[number].id);
    }
}

/// Rolls v2 out, and stops the old servers when that is completed; returns whether it was.
fn roll_out(
    store: &Store,
    old: &mut [ServerProcess],
    new: &mut Vec<ServerProcess>,
    unframed_every: u64,
    record: &Record,
) -> std::io::Result<bool> {
    // The servers of the new version are started alongside the old ones.
    for number in 0..SERVERS {
        new.push(start_server("v2", number, unframed_every, record)?);
        register(store, &new[number], number, "v2");
    }
    let order =
        format!(r#"{{"service":"{SERVICE}","targetVersion":"v2","durationS":{ROLLOUT_S}}}"#);
    store.put("rollouts", SERVICE, &order);
    record.say("the roll-out of v2 is ordered");
    let began = Instant::now();
    let is_completed = wait_for(Duration::from_secs(ROLLOUT_S + 8), || {
        let status = store.status("rollouts", SERVICE);
        status.is_some_and(|status| status.contains("completed"))
    });
    record.say(format!(
        "the roll-out is {} after {} ms; the old servers stop",
        if is_completed {
            "completed"
        } else {
            "not completed"
        },
        began.elapsed().as_millis()
    ));
    for server in &mut *old {
        server.stop();
    }
    record.line("the old servers have stopped");
    for server in old {
        store.remove("servers", &server.id);
    }
    Ok(is_completed)
}

fn start_server(
    version: &str,
    number: usize,
    unframed_every: u64,
    record: &Record,
) -> std::io::Result<ServerProcess> {
    let id = format!("i-{version}-{number}");
    let every = if number % 2 == 0 { unframed_every } else { 0 };
    ServerProcess::start(&id, every, record)
}

fn run(record: &Path, mode: &str, every: u64) -> std::io::Result<ExitCode> {
    let record = Record::create(record)?;
    let trouble = has_trouble();
    record.say(format!(
        "answers without a length: {}",
        if trouble { "yes" } else { "no" }
    ));
    let unframed_every = if trouble { every } else { 0 };
    let store = Store::start()?;
    store.put("config", "main", CONFIG);
    let old = (0..SERVERS).map(|number| start_server("v1", number, unframed_every, &record));
    let mut old = old.collect::<Result<Vec<_>, _>>()?;
    for (number, server) in old.iter().enumerate() {
        register(&store, server, number, "v1");
    }
    let folder = TempFolder::create("ivyweir-review-2")?;
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
                // Spreads the starts of the streams.
                thread::sleep(Duration::from_millis(45 * number as u64));
                request_until(&end, addr, &name, &record, &seen);
            }));
        }
    }
    thread::sleep(WARM_UP);
    let mut new = Vec::new();
    let is_done = match mode {
        "drain" => {
            drain_half(&store, &mut old, &record);
            true
        }
        "crash" => {
            crash_half(&store, &mut old, &record);
            true
        }
        _ => roll_out(&store, &mut old, &mut new, unframed_every, &record)?,
    };
    thread::sleep(AFTER);
    end.store(true, Ordering::SeqCst);
    for requester in requesters {
        let _ended = requester.join();
    }
    let short = seen.short.lock().expect("no holder panics");
    let torn = seen.torn.lock().expect("no holder panics");
    for (id, events) in short.iter() {
        record.say(format!(
            "ORDER: {id} was ended as complete behind event {events} of {EVENTS}"
        ));
    }
    for id in torn.iter() {
        record.say(format!("ORDER: an event of {id} is absent or came twice"));
    }
    record.say(format!(
        "{} streams whole, {} broken off, {} refused, {} ended as complete too early, {} torn",
        seen.whole.load(Ordering::SeqCst),
        seen.broken.load(Ordering::SeqCst),
        seen.refused.load(Ordering::SeqCst),
        short.len(),
        torn.len()
    ));
    if !is_done || seen.whole.load(Ordering::SeqCst) == 0 {
        return Ok(ExitCode::from(2));
    }
    Ok(ExitCode::from(u8::from(
        !short.is_empty() || !torn.is_empty(),
    )))
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    if let [_, role, id, every] = &args[..]
        && role == "server"
    {
        run_server(id.clone(), every.parse().unwrap_or(0));
        return ExitCode::SUCCESS;
    }
    let record = args.get(1).map_or("record.txt", String::as_str);
    let mode = args.get(2).map_or("", String::as_str);
    let every = args.get(3).and_then(|every| every.parse().ok());
    run(
        Path::new(record),
        mode,
        every.unwrap_or(ANSWERS_PER_UNFRAMED),
    )
    .unwrap_or_else(|e| {
        eprintln!("the case could not run: {e}");
        ExitCode::from(2)
    })
}
