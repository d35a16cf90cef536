//! LOST: a machine gets SIGTERM while a slow reader takes a whole answer.

use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{self, Place, Record};
use crate::http::Channel;
use crate::server::Server;
use crate::store::Store;

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const ANSWER_BYTES: usize = 1 << 20;
/// The caller takes a piece of this size each `PIECE_PAUSE`: the answer in some 5 s.
const PIECE_BYTES: usize = 10 << 10;
const PIECE_PAUSE: Duration = Duration::from_millis(50);
const GRACE: Duration = Duration::from_secs(8);

pub fn run(folder: &Path, record: &mut Record, has_trouble: bool) -> Verdict {
    let store = Store::start();
    let body: Vec<u8> = (0..ANSWER_BYTES).map(|n| (n % 251) as u8).collect();
    let server = Server::start("i-7f3a91c2", body.clone(), Duration::from_millis(30));
    store.put("config", "main", &fleet::config(7, 150, 25_000, &[KEY]));
    store.put("servers", &server.id, &server.spec("wuno96b", "hall-a"));
    let places = [Place::free(), Place::free()];
    let mut boxes = fleet::start(fleet::MLS, folder, &places, store.addr);
    if !fleet::wait_ready(&boxes, Duration::from_secs(15)) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let Ok(stream) = TcpStream::connect(places[0].caller) else {
        return Verdict::NotRun;
    };
    let mut channel = Channel::new(stream);
    let request = fleet::request(
        "POST",
        "/puxa403/2f",
        "9c41d07be2a35f68",
        KEY,
        25_000,
        b"activate",
    );
    let sent = Instant::now();
    if channel.write(&request).is_err() {
        return Verdict::NotRun;
    }
    record.line(sent, "client sends POST /puxa403/2f (unsafe) to front-0, time budget 25 s, and keeps the channel");
    let head = match channel.read_head() {
        Ok(Some(head)) if head.status() == 200 => head,
        _ => return Verdict::NotRun,
    };
    let length = head.header("content-length").unwrap_or("none").to_owned();
    record.now(&format!(
        "client has the head: 200, Content-Length {length}"
    ));
    for run in server.runs() {
        record.line(run.at, &format!("server {} runs {}", server.id, run.id));
    }
    let mut stopped = None;
    let mut got = Vec::new();
    let mut end = "complete".to_owned();
    let mut ended = None;
    while got.len() < ANSWER_BYTES {
        if has_trouble && stopped.is_none() && sent.elapsed() > Duration::from_millis(300) {
            boxes[0].signal("TERM");
            stopped = Some(Instant::now());
            record.now(&format!(
                "SIGTERM to front-0; client has {} bytes",
                got.len()
            ));
        }
        if stopped.is_some() && ended.is_none() && boxes[0].has_ended() {
            ended = Some(Instant::now());
            record.now(&format!(
                "process of front-0 has ended; client has {} bytes",
                got.len()
            ));
        }
        match channel.read_some(PIECE_BYTES) {
            Ok(part) if part.is_empty() => {
                end = "the channel is closed".into();
                break;
            }
            Ok(part) => got.extend(part),
            Err(e) => {
                end = format!("the channel breaks: {}", e.kind());
                break;
            }
        }
        thread::sleep(PIECE_PAUSE);
    }
    let is_whole = got == body;
    let took = sent.elapsed();
    record.now(&format!(
        "client has {} of {ANSWER_BYTES} bytes after {took:.1?}: {end}",
        got.len()
    ));
    let after_stop = stopped.map(|at| at.elapsed());
    if is_whole {
        return Verdict::Held;
    }
    match after_stop {
        // Planned work: up to 1 s after the grace period.
        Some(after) if after < GRACE + Duration::from_secs(1) => Verdict::Broken,
        Some(_) => Verdict::Held,
        None => Verdict::NotRun,
    }
}
