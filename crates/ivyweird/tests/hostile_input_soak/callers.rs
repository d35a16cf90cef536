//! Callers whose requests must be answered, and callers that send anything.

use std::collections::BTreeMap;
use std::fmt;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bytes::Bytes;
use ivyweir_standins::edge::{KEY, KeptConnection, Reply};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::common::soak::Addrs;

/// Paths of sound routes and of those whose upstreams are wild, with whether the body must be complete.
const PATHS: [(&str, &str, bool); 7] = [
    ("GET", "/safe/x", true),
    ("POST", "/unsafe/x", true),
    ("POST", "/stream/x", true),
    ("GET", "/wild-safe/x", false),
    ("POST", "/wild-unsafe/x", false),
    ("POST", "/wild-stream/x", false),
    ("POST", "/nowhere/x", true),
];
const PAUSE: Duration = Duration::from_millis(15);

/// What callers share.
pub struct Shared {
    pub addrs: Addrs,
    pub stop: AtomicBool,
    /// Number of answers by status.
    pub answered: Mutex<BTreeMap<u16, u64>>,
    /// Requests without a whole answer.
    pub unanswered: Mutex<Vec<Unanswered>>,
}

/// A request to which there was no whole answer.
#[derive(Debug, Clone)]
pub struct Unanswered {
    pub id: String,
    pub path: &'static str,
    /// The box.
    pub number: usize,
    pub sent_at: Instant,
    pub failed_at: Instant,
    pub error: String,
}

impl fmt::Display for Unanswered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            id,
            path,
            number,
            error,
            ..
        } = self;
        let after_ms = self.failed_at.duration_since(self.sent_at).as_millis();
        write!(
            f,
            "{id} {path} at box {number} after {after_ms} ms: {error}"
        )
    }
}

impl Shared {
    fn addr(&self, number: usize) -> Option<SocketAddr> {
        self.addrs.lock().expect("no panic")[number]
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

/// Starts a caller that keeps its connection for as long as the box does.
pub fn start_caller(shared: Arc<Shared>, number: usize, caller: String) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut kept: Option<(SocketAddr, KeptConnection)> = None;
        for turn in 0.. {
            if shared.is_stopped() {
                return;
            }
            thread::sleep(PAUSE);
            let Some(addr) = shared.addr(number) else {
                kept = None;
                continue;
            };
            let known = kept.take().filter(|(known, _)| *known == addr);
            let connection = known.map(|(_, connection)| connection);
            let connection = connection.map_or_else(|| KeptConnection::open(addr).ok(), Some);
            let Some(mut connection) = connection else {
                continue;
            };
            let (method, path, must_be_complete) = PATHS[turn % PATHS.len()];
            let id = format!("{caller}-{turn}");
            let sent_at = Instant::now();
            let answer = ask(&mut connection, method, path, &id);
            let error = match &answer {
                Ok(reply) if reply.is_complete || !must_be_complete => None,
                Ok(reply) => Some(format!("{} incomplete", reply.status)),
                Err(e) => Some(e.to_string()),
            };
            if let Some(error) = error {
                shared
                    .unanswered
                    .lock()
                    .expect("no panic")
                    .push(Unanswered {
                        id,
                        path,
                        number,
                        sent_at,
                        failed_at: Instant::now(),
                        error,
                    });
            }
            let Ok(reply) = answer else { continue };
            *shared
                .answered
                .lock()
                .expect("no panic")
                .entry(reply.status)
                .or_default() += 1;
            let is_closed = reply
                .headers
                .get("connection")
                .is_some_and(|c| c == "close");
            if reply.is_complete && !is_closed {
                kept = Some((addr, connection));
            }
        }
    })
}

fn ask(
    connection: &mut KeptConnection,
    method: &str,
    path: &str,
    id: &str,
) -> std::io::Result<Reply> {
    let auth = format!("Bearer {KEY}");
    let headers = [("ivyweir-request-id", id), ("authorization", auth.as_str())];
    let body = if method == "GET" {
        Bytes::new()
    } else {
        Bytes::from_static(b"prompt")
    };
    connection.call(method, path, &headers, body)
}

/// Starts a caller that sends bytes of several kinds and may leave before an answer.
pub fn start_hostile_caller(shared: Arc<Shared>, number: usize, seed: u64) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut random = StdRng::seed_from_u64(seed);
        let mut open = Vec::new();
        while !shared.is_stopped() {
            thread::sleep(Duration::from_millis(random.random_range(5..80)));
            if open.len() > 40 {
                open.drain(..20);
            }
            let Some(addr) = shared.addr(number) else {
                continue;
            };
            let Ok(mut stream) = TcpStream::connect(addr) else {
                continue;
            };
            let written = stream
                .set_write_timeout(Some(Duration::from_millis(200)))
                .and_then(|()| stream.write_all(&bytes(&mut random)));
            // A box may close such a connection at once.
            if written.is_ok() || random.random_bool(0.5) {
                open.push(stream);
            }
        }
    })
}

fn bytes(random: &mut StdRng) -> Vec<u8> {
    let head = |length: usize| {
        let path = ["/unsafe/x", "/wild-stream/x"][length % 2];
        format!(
            "POST {path} HTTP/1.1\r\nhost: studio.example\r\nivyweir-request-id: h\r\n\
             authorization: Bearer {KEY}\r\ncontent-length: {length}\r\n\r\n"
        )
    };
    match random.random_range(0..6) {
        0 => (0..random.random_range(1..4_000))
            .map(|_| random.random())
            .collect(),
        1 => vec![b'x'; random.random_range(1..200_000)],
        2 => {
            let length = random.random_range(1..(4 << 20));
            let mut request = head(length).into_bytes();
            request.resize(request.len() + length - 1, b'x');
            request
        }
        3 => head(random.random_range(0..99))[..20].into(),
        4 => {
            let name = "x".repeat(random.random_range(1..60_000));
            format!("GET /safe/x HTTP/1.1\r\nhost: studio.example\r\n{name}: 1\r\n\r\n").into()
        }
        _ => head(random.random_range(0..usize::MAX)).into(),
    }
}
