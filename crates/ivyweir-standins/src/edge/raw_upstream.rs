//! Upstream that answers each request with bytes of a test's choice, whether or not they are HTTP.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use ivyweir_policy::gateway::fleet::UpstreamRecord;

use crate::loopback::unique_ip;

/// Time after which a connection that transfers nothing is closed, so that no thread outlives its test for long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const CHUNK_BYTES: usize = 16 << 10;

/// What follows the scripted bytes of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RawEnd {
    /// The connection is closed.
    Close,
    /// The connection stays open, and nothing more is sent.
    Silence,
    /// The connection is kept for the next request.
    Keep,
}

/// The bytes of an answer. `REQUEST_ID` in the head is replaced by the id of the request.
#[derive(Debug, Clone)]
pub struct RawAnswer {
    /// The first bytes.
    pub head: Vec<u8>,
    /// Bytes that are repeated behind them.
    pub filler: Vec<u8>,
    /// Number of times that they are repeated.
    pub repeats: u64,
    /// What follows.
    pub end: RawEnd,
}

/// The answer to a request with this id.
type Script = dyn Fn(Option<&str>) -> RawAnswer + Send + Sync;

/// A running upstream.
pub struct RawUpstream {
    record: UpstreamRecord,
    request_ids: Arc<Mutex<Vec<String>>>,
}

impl RawUpstream {
    /// Starts an upstream of this pool on an address of its own; `answer` scripts the answer to each request.
    ///
    /// # Panics
    ///
    /// Panics if no loopback port can be bound.
    pub fn start(
        id: &str,
        pool: &str,
        answer: impl Fn() -> RawAnswer + Send + Sync + 'static,
    ) -> Self {
        Self::start_scripted(id, pool, move |_| answer())
    }

    /// Starts an upstream as [`start`](Self::start) does, whose answers to requests without an id, such as probes, are
    /// sound and empty.
    ///
    /// # Panics
    ///
    /// Panics if no loopback port can be bound.
    pub fn start_with_sound_probes(
        id: &str,
        pool: &str,
        answer: impl Fn() -> RawAnswer + Send + Sync + 'static,
    ) -> Self {
        Self::start_with_probes(id, pool, answer, || RawAnswer {
            head: b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".into(),
            filler: Vec::new(),
            repeats: 0,
            end: RawEnd::Keep,
        })
    }

    /// Starts an upstream as [`start`](Self::start) does; `probe_answer` scripts the answers to requests without an id, such
    /// as probes.
    ///
    /// # Panics
    ///
    /// Panics if no loopback port can be bound.
    pub fn start_with_probes(
        id: &str,
        pool: &str,
        answer: impl Fn() -> RawAnswer + Send + Sync + 'static,
        probe_answer: impl Fn() -> RawAnswer + Send + Sync + 'static,
    ) -> Self {
        Self::start_scripted(id, pool, move |request_id| match request_id {
            Some(_) => answer(),
            None => probe_answer(),
        })
    }

    fn start_scripted(
        id: &str,
        pool: &str,
        answer: impl Fn(Option<&str>) -> RawAnswer + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((unique_ip(), 0)).expect("loopback port can be bound");
        let addr = listener.local_addr().expect("listener has an address");
        let answer: Arc<Script> = Arc::new(answer);
        let request_ids = Arc::<Mutex<Vec<String>>>::default();
        let received = request_ids.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (answer, received) = (answer.clone(), received.clone());
                // A box that closes its connection ends the answer.
                thread::spawn(move || {
                    let _ignored = serve(stream, &*answer, &received);
                });
            }
        });
        Self {
            record: record(id, pool, addr),
            request_ids,
        }
    }

    /// Returns the ids of the requests that were received so far. Requests without an id, such as probes, are left out.
    pub fn request_ids(&self) -> Vec<String> {
        self.request_ids.lock().expect("no panic").clone()
    }

    /// Returns the record of the upstream.
    pub fn record(&self) -> UpstreamRecord {
        self.record.clone()
    }
}

fn record(id: &str, pool: &str, addr: SocketAddr) -> UpstreamRecord {
    UpstreamRecord {
        id: id.into(),
        registered_as: None,
        pool: pool.into(),
        addr,
        hall: "hall-a".into(),
        version: "v1".into(),
        slots: 100,
        is_leaving: false,
        is_spot: false,
        cold_remaining_ms: 0,
    }
}

fn serve(mut stream: TcpStream, answer: &Script, received: &Mutex<Vec<String>>) -> io::Result<()> {
    stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
    stream.set_write_timeout(Some(IDLE_TIMEOUT))?;
    loop {
        let request = read_request(&mut stream)?;
        let id = header(&request, "ivyweir-request-id");
        received
            .lock()
            .expect("no panic")
            .extend(id.map(str::to_owned));
        let answer = answer(id);
        stream.write_all(&with_request_id(&answer.head, &request))?;
        let repeats_at_once = (CHUNK_BYTES / answer.filler.len().max(1)).max(1) as u64;
        let chunk = answer.filler.repeat(repeats_at_once as usize);
        for _ in 0..answer.repeats / repeats_at_once {
            stream.write_all(&chunk)?;
        }
        for _ in 0..answer.repeats % repeats_at_once {
            stream.write_all(&answer.filler)?;
        }
        match answer.end {
            RawEnd::Close => return Ok(()),
            RawEnd::Keep => {}
            RawEnd::Silence => {
                // Returns once the box closes the connection.
                return stream.read(&mut [0]).map(drop);
            }
        }
    }
}

/// Reads a request to its end, and returns its head.
fn read_request(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = header(&head, "content-length").and_then(|length| length.parse().ok());
    io::copy(&mut stream.take(length.unwrap_or(0)), &mut io::sink())?;
    Ok(head)
}

fn header<'h>(head: &'h str, name: &str) -> Option<&'h str> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut values = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.trim())
}

fn with_request_id(head: &[u8], request: &str) -> Vec<u8> {
    let id = header(request, "ivyweir-request-id").unwrap_or_default();
    match std::str::from_utf8(head) {
        Ok(text) => text.replace("REQUEST_ID", id).into_bytes(),
        Err(_) => head.to_vec(),
    }
}
