//! Callers that write down what they were told.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bytes::Bytes;
use ivyweir_policy::hash::mix;
use ivyweir_standins::edge::{HARMFUL_PATH, HOST, KeptConnection};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::common::soak::Addrs;
use super::site::{KEYS, LONG_ROUTE, LONG_TIMEOUT_MS, ROUTES, request_id};

/// Largest body that is sent.
pub const MAX_BODY_BYTES: usize = 3 << 20;
/// Time after which the end of a body comes that a box waits for no more.
const LATE_BODY_MS: std::ops::Range<u64> = 10_100..10_600;
/// Number of requests of a slow caller, so few that the last one ends before the soak.
const SLOW_REQUESTS: usize = 3;
/// Begin of the id of a request in the body of another one.
pub const SMUGGLED: &str = "smuggled-";
const SMUGGLED_BYTES: usize = 256;
/// Time for the answer to a request that is sent slowly; the connection stays open behind it.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// What a caller was told of a request.
#[derive(Debug, Clone)]
pub struct Asked {
    pub id: String,
    pub route: &'static str,
    /// The box.
    pub number: usize,
    pub status: u16,
    pub text: String,
    pub is_complete: bool,
    pub sent_at: Instant,
    pub answered_at: Instant,
}

/// What callers share.
pub struct Shared {
    pub addrs: Addrs,
    pub asked: Mutex<Vec<Asked>>,
    pub stop: AtomicBool,
    /// Whether some requests run for seconds.
    pub has_long_requests: bool,
    /// Whether more callers send requests.
    pub is_surge: AtomicBool,
    /// Whether some requests end the upstreams that run them.
    pub is_harmful: AtomicBool,
    /// Requests to which there was no answer.
    pub unanswered: AtomicU64,
}

/// What a caller does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Sends requests all the time.
    Usual,
    /// Sends requests in a surge.
    Surge,
    /// Sends a few requests whose bodies come slowly.
    Slow,
}

/// How a request is sent.
enum Sending {
    Whole,
    /// The end of the body comes late.
    Slow(Duration),
    /// The caller leaves before the answer.
    Leave(Duration),
}

impl Sending {
    fn choose(random: &mut StdRng, role: Role) -> Self {
        if role == Role::Slow {
            let is_late = random.random_bool(0.7);
            let pauses = if is_late { LATE_BODY_MS } else { 50..1_500 };
            return Self::Slow(millis(random, pauses));
        }
        if random.random_bool(0.03) {
            return Self::Leave(millis(random, 1..400));
        }
        Self::Whole
    }
}

fn millis(random: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

/// Sends requests to a box, on connections that are kept for as long as they are open.
pub fn start_caller(shared: Arc<Shared>, number: usize, role: Role, seed: u64) -> JoinHandle<()> {
    static REQUESTS: AtomicU64 = AtomicU64::new(0);
    let mut random = StdRng::seed_from_u64(mix(seed, number as u64));
    let mut left = if role == Role::Slow {
        SLOW_REQUESTS
    } else {
        usize::MAX
    };
    thread::spawn(move || {
        let mut kept: Option<KeptConnection> = None;
        while left > 0 && !shared.stop.load(Ordering::Relaxed) {
            thread::sleep(millis(&mut random, 0..40));
            if role == Role::Surge && !shared.is_surge.load(Ordering::Relaxed) {
                continue;
            }
            let addrs = shared.addrs.lock().expect("no panic").clone();
            let number = number % addrs.len();
            let Some(addr) = addrs[number] else {
                continue;
            };
            let mut route = *ROUTES.choose(&mut random).expect("routes");
            if shared.has_long_requests && random.random_bool(0.1) {
                route = LONG_ROUTE;
            }
            let id = request_id(route, REQUESTS.fetch_add(1, Ordering::Relaxed));
            let sent_at = Instant::now();
            let may_harm = shared.is_harmful.load(Ordering::Relaxed);
            let request = Request::choose(&mut random, route, &id, may_harm, role);
            left -= 1;
            let told = match Sending::choose(&mut random, role) {
                Sending::Slow(pause) => request.send_slowly(addr, pause),
                Sending::Leave(after) => {
                    // Nothing is told to a caller that leaves.
                    let _ignored = request.leave(addr, after);
                    continue;
                }
                Sending::Whole => request.send(addr, &mut kept),
            };
            let answered_at = Instant::now();
            let Ok(told) = told else {
                shared.unanswered.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            if told.status != 200 {
                thread::sleep(millis(&mut random, 20..120));
            }
            let asked = Asked {
                id,
                route,
                number,
                status: told.status,
                text: told.text,
                is_complete: told.is_complete,
                sent_at,
                answered_at,
            };
            shared.asked.lock().expect("no panic").push(asked);
        }
    })
}

/// The text of a request that no caller sends, of [`SMUGGLED_BYTES`].
fn smuggled_request(id: &str, key: &str) -> String {
    let text = format!(
        "POST /unsafe/x HTTP/1.1\r\nhost: {HOST}\r\nivyweir-request-id: {SMUGGLED}{id}\r\n\
         authorization: Bearer {key}\r\ncontent-length: 0\r\nx-padding: "
    );
    format!("{text:.<width$}\r\n\r\n", width = SMUGGLED_BYTES - 4)
}

struct Told {
    status: u16,
    text: String,
    is_complete: bool,
}

struct Request {
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

impl Request {
    fn choose(
        random: &mut StdRng,
        route: &'static str,
        id: &str,
        may_harm: bool,
        role: Role,
    ) -> Self {
        let budget_ms = match random.random_range(0..10) {
            0 => random.random_range(0..30),
            1 | 2 => random.random_range(30..400),
            3 => 4_000,
            _ if route == LONG_ROUTE => LONG_TIMEOUT_MS,
            _ => 1_500,
        };
        let key = if random.random_bool(0.2) {
            KEYS[1]
        } else {
            KEYS[0]
        };
        let length = match random.random_range(0..100) {
            0 | 1 => random.random_range(0..MAX_BODY_BYTES),
            2..=9 => random.random_range(0..64 << 10),
            _ if role == Role::Slow => 2 * SMUGGLED_BYTES,
            _ => 40,
        };
        // Its end is a request that would run if the body were taken for one.
        let smuggled = smuggled_request(id, key);
        let mut body = id.as_bytes().to_vec();
        if length > id.len() + smuggled.len() {
            body.resize(length - smuggled.len(), b'.');
            body.extend_from_slice(smuggled.as_bytes());
        }
        let is_harmful = may_harm && random.random_bool(0.2);
        if is_harmful {
            body = b"harmful".to_vec();
        }
        let headers = vec![
            ("ivyweir-request-id", id.to_owned()),
            ("ivyweir-budget-ms", budget_ms.to_string()),
            ("authorization", format!("Bearer {key}")),
        ];
        Self {
            path: format!("/{route}{}", if is_harmful { HARMFUL_PATH } else { "/x" }),
            headers,
            body: body.into(),
        }
    }

    fn headers(&self) -> Vec<(&str, &str)> {
        let headers = self.headers.iter();
        headers
            .map(|(name, value)| (*name, value.as_str()))
            .collect()
    }

    fn send(&self, addr: SocketAddr, kept: &mut Option<KeptConnection>) -> io::Result<Told> {
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => KeptConnection::open(addr)?,
        };
        let reply = connection.call("POST", &self.path, &self.headers(), self.body.clone())?;
        if reply.is_complete {
            *kept = Some(connection);
        }
        Ok(Told {
            status: reply.status,
            text: reply.text(),
            is_complete: reply.is_complete,
        })
    }

    fn leave(&self, addr: SocketAddr, after: Duration) -> io::Result<()> {
        let connection = KeptConnection::open(addr)?;
        connection.call_and_leave(
            "POST",
            &self.path,
            &self.headers(),
            self.body.clone(),
            after,
        )
    }

    /// Sends the end of the body after a pause, and reads the status.
    fn send_slowly(&self, addr: SocketAddr, pause: Duration) -> io::Result<Told> {
        let mut stream = TcpStream::connect(addr)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        let mut head = format!("POST {} HTTP/1.1\r\nhost: {HOST}\r\n", self.path);
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += &format!("content-length: {}\r\n\r\n", self.body.len());
        stream.write_all(head.as_bytes())?;
        let end = self.body.len().min(SMUGGLED_BYTES);
        let (begin, last) = self.body.split_at(self.body.len() - end);
        stream.write_all(begin)?;
        thread::sleep(pause);
        // The box may have answered and closed the connection.
        let _ignored = stream.write_all(last);
        let mut answer = Vec::new();
        // The status counts, also of an answer that breaks off.
        let _ignored = stream.read_to_end(&mut answer);
        let answer = String::from_utf8_lossy(&answer);
        let status = answer
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        Ok(Told {
            status: status.ok_or_else(|| io::Error::other("no status"))?,
            text: String::new(),
            is_complete: false,
        })
    }
}
