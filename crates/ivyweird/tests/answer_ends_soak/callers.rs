//! Callers that keep connections while they can, over both versions of HTTP.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use bytes::Bytes;
use ivyweir_standins::edge::{HOST, KEY, KeptConnection};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::common::soak::Addrs;

const CALLERS_PER_BOX: u64 = 2;
/// Pause of a caller that was not served.
const FAILED_PAUSE: Duration = Duration::from_millis(20);
/// Time after which a caller gives up an answer.
const PATIENCE: Duration = Duration::from_secs(10);

/// Kinds of requests, which are the names of their routes.
pub const KINDS: [&str; 5] = ["safe", "unsafe", "stream", "once", "sized"];

/// What a caller holds of an answer.
pub struct Answer {
    pub id: String,
    pub kind: &'static str,
    pub version: &'static str,
    /// 0 if there is no head.
    pub status: u16,
    pub text: String,
    pub is_complete: bool,
}

/// What callers share with the soak.
pub struct Shared {
    pub addrs: Addrs,
    pub answers: Mutex<Vec<Answer>>,
    pub stop: AtomicBool,
}

pub fn start_callers(shared: &Arc<Shared>, boxes: usize, seed: u64) -> Vec<JoinHandle<()>> {
    let start = |caller: u64| {
        let shared = shared.clone();
        let number = caller as usize % boxes;
        thread::spawn(move || {
            let mut random = StdRng::seed_from_u64(seed ^ (caller + 1));
            let mut kept = None;
            while !shared.stop.load(Ordering::Relaxed) {
                let addr = shared.addrs.lock().expect("no panic")[number];
                let Some(addr) = addr else {
                    thread::sleep(FAILED_PAUSE);
                    continue;
                };
                let answer = ask(addr, &mut kept, &mut random);
                if answer.status != 200 || !answer.is_complete {
                    thread::sleep(FAILED_PAUSE);
                }
                shared.answers.lock().expect("no panic").push(answer);
            }
        })
    };
    let callers = boxes as u64 * CALLERS_PER_BOX;
    (0..callers).map(start).collect()
}

/// Sends a request, over the connection that is kept if it can.
fn ask(addr: SocketAddr, kept: &mut Option<KeptConnection>, random: &mut StdRng) -> Answer {
    static IDS: AtomicU64 = AtomicU64::new(0);
    let id = format!("r{}", IDS.fetch_add(1, Ordering::Relaxed));
    let kind = KINDS[random.random_range(0..KINDS.len())];
    let version = ["1.1", "1.1", "1.0"][random.random_range(0..3)];
    let (status, text, is_complete) = match version {
        "1.0" => ask_http_1_0(addr, kind, &id),
        _ => ask_http_1_1(addr, kept, kind, &id),
    };
    Answer {
        id,
        kind,
        version,
        status,
        text,
        is_complete,
    }
}

const NO_ANSWER: (u16, String, bool) = (0, String::new(), false);

fn ask_http_1_1(
    addr: SocketAddr,
    kept: &mut Option<KeptConnection>,
    kind: &str,
    id: &str,
) -> (u16, String, bool) {
    let connection = kept.take().or_else(|| KeptConnection::open(addr).ok());
    let Some(mut connection) = connection else {
        return NO_ANSWER;
    };
    let auth = format!("Bearer {KEY}");
    let headers = [
        ("ivyweir-request-id", id),
        ("authorization", &auth),
        ("ivyweir-model", "*"),
    ];
    let body = Bytes::copy_from_slice(id.as_bytes());
    let Ok(reply) = connection.call("POST", &format!("/{kind}/x"), &headers, body) else {
        return NO_ANSWER;
    };
    if reply.is_complete {
        *kept = Some(connection);
    }
    (reply.status, reply.text(), reply.is_complete)
}

fn ask_http_1_0(addr: SocketAddr, kind: &str, id: &str) -> (u16, String, bool) {
    let Ok(mut caller) = TcpStream::connect(addr) else {
        return NO_ANSWER;
    };
    let length = id.len();
    let request = format!(
        "POST /{kind}/x HTTP/1.0\r\nhost: {HOST}\r\nivyweir-request-id: {id}\r\n\
         authorization: Bearer {KEY}\r\nivyweir-model: *\r\ncontent-length: {length}\r\n\r\n{id}"
    );
    let is_sent = caller.set_read_timeout(Some(PATIENCE)).is_ok()
        && caller.write_all(request.as_bytes()).is_ok();
    let mut answer = Vec::new();
    let is_read = is_sent && caller.read_to_end(&mut answer).is_ok();
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return NO_ANSWER;
    };
    let head = head.to_lowercase();
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    let length: Option<usize> = length.and_then(|length| length.parse().ok());
    let is_long_enough = length.is_none_or(|length| body.len() >= length);
    let is_complete = is_read && is_long_enough;
    (status.unwrap_or(0), body.to_owned(), is_complete)
}
