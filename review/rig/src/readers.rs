//! LOST: a box ends callers that read steadily, to admit more requests.

use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{self, Place, Record};
use crate::http::Channel;
use crate::server::{SHORT, Server};
use crate::store::Store;

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const ANSWER_BYTES: usize = 1 << 20;
const CALLERS: usize = 40;
const CALLER_PAUSE: Duration = Duration::from_millis(20);
/// A slow caller takes a piece of this size each `PIECE_PAUSE`: 100 KB a second.
const PIECE_BYTES: usize = 5 << 10;
const PIECE_PAUSE: Duration = Duration::from_millis(50);
/// Receive buffer of a slow caller's socket.
const WINDOW_BYTES: i32 = 16 << 10;
const BUDGET_MS: u64 = 25_000;
/// More lost answers than this break the rule.
const MAX_LOST: usize = 3;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Bounds what the kernel takes for a slow caller.
fn limit_window(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the value outlives the call and has the stated length.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &WINDOW_BYTES, 4) };
}

/// What a caller saw.
struct Seen {
    caller: usize,
    id: String,
    sent: Instant,
    ended: Instant,
    status: u16,
    bytes: usize,
    longest_pause: Duration,
    end: String,
}

/// Sends a short request and then one with a large answer on the same channel.
fn call(caller: usize, place: &Place, is_slow: bool) -> Option<Seen> {
    let stream = TcpStream::connect(place.caller).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .ok()?;
    if is_slow {
        limit_window(&stream);
    }
    let mut channel = Channel::new(stream);
    let first = fleet::request(
        "GET",
        &format!("/cufi504{SHORT}"),
        &format!("aa{caller:014x}"),
        KEY,
        1_500,
        b"",
    );
    channel.write(&first).ok()?;
    let head = channel.read_head().ok()??;
    let mut left: usize = head.header("content-length")?.parse().ok()?;
    while left > 0 {
        left -= channel.read_some(left).ok()?.len();
    }
    let id = format!("bb{caller:014x}");
    let request = fleet::request("POST", "/puxa403/2f", &id, KEY, BUDGET_MS, b"activate");
    let sent = Instant::now();
    channel.write(&request).ok()?;
    let mut seen = Seen {
        caller,
        id,
        sent,
        ended: sent,
        status: 0,
        bytes: 0,
        longest_pause: Duration::ZERO,
        end: "whole".into(),
    };
    match channel.read_head() {
        Ok(Some(head)) => seen.status = head.status(),
        Ok(None) => seen.end = "closed".into(),
        Err(e) => seen.end = e.kind().to_string(),
    }
    let mut last_read = Instant::now();
    while seen.status == 200 && seen.bytes < ANSWER_BYTES {
        seen.longest_pause = seen.longest_pause.max(last_read.elapsed());
        last_read = Instant::now();
        match channel.read_some(PIECE_BYTES) {
            Ok(part) if part.is_empty() => {
                seen.end = "closed".into();
                break;
            }
            Ok(part) => seen.bytes += part.len(),
            Err(e) => {
                seen.end = e.kind().to_string();
                break;
            }
        }
        if is_slow {
            thread::sleep(PIECE_PAUSE);
        }
    }
    seen.ended = Instant::now();
    Some(seen)
}

pub fn run(folder: &Path, record: &mut Record, has_trouble: bool) -> Verdict {
    let store = Store::start();
    let body = vec![b'x'; ANSWER_BYTES];
    store.put("config", "main", &fleet::config(7, 100, 25_000, &[KEY]));
    let servers: Vec<Server> = (0..4)
        .map(|n| {
            Server::start(
                &format!("i-7f3a91c{n}"),
                body.clone(),
                Duration::from_millis(30),
            )
        })
        .collect();
    for (server, zone) in servers.iter().zip(["hall-a", "hall-b", "hall-c", "hall-d"]) {
        store.put("servers", &server.id, &server.spec("wuno96b", zone));
    }
    let places = [Place::free(), Place::free()];
    let boxes = fleet::start(fleet::MAGNOLIA, folder, &places, store.addr);
    if !fleet::wait_ready(&boxes, Duration::from_secs(15)) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let speed = if has_trouble {
        "100 KB a second"
    } else {
        "as fast as it comes"
    };
    record.now(&format!("{CALLERS} callers of front-0, one each 20 ms, each with a short request and then POST /puxa403/2f on the same channel, answer {ANSWER_BYTES} bytes, read {speed}"));
    let (tell, told) = mpsc::channel();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            thread::sleep(CALLER_PAUSE);
            let (tell, place) = (tell.clone(), places[0]);
            thread::spawn(move || {
                let _ignored = tell.send(call(n, &place, has_trouble));
            })
        })
        .collect();
    drop(tell);
    let mut all: Vec<Seen> = told.iter().flatten().collect();
    for caller in callers {
        let _ignored = caller.join();
    }
    all.sort_by_key(|seen| seen.caller);
    let ran: Vec<String> = servers
        .iter()
        .flat_map(Server::runs)
        .map(|run| run.id)
        .collect();
    let (mut lost, mut refused) = (0, 0);
    for seen in &all {
        let is_run = ran.contains(&seen.id);
        let in_time = seen.ended - seen.sent < Duration::from_millis(BUDGET_MS);
        let is_lost = is_run && in_time && seen.end != "whole";
        lost += usize::from(is_lost);
        refused += usize::from(seen.status == 503);
        record.line(
            seen.sent,
            &format!(
                "{} {}: {}, {} bytes in {:.2?}, longest pause of the caller {:.0?}, {}{}",
                seen.id,
                if is_run { "run" } else { "not run" },
                seen.status,
                seen.bytes,
                seen.ended - seen.sent,
                seen.longest_pause,
                seen.end,
                if is_lost { "  LOST" } else { "" },
            ),
        );
    }
    record.now(&format!(
        "{lost} of {} requests ran and their channels were closed without the answer; {refused} were refused",
        all.len()
    ));
    if all.len() < CALLERS / 2 {
        Verdict::NotRun
    } else if lost > MAX_LOST {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
