//! Upstream that sends a surplus answer in the place of the next one on a connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;

use crate::loopback::unique_ip;

/// Time for which a request runs.
const WORK_TIME: Duration = Duration::from_millis(10);
/// Number of events of a stream.
const EVENTS: u64 = 3;

/// Which request a surplus answer names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SurplusId {
    /// The request before on the connection.
    Earlier,
    /// A request that was sent on another connection, or by another box.
    Stranger,
    /// None.
    Missing,
    /// An empty id.
    Empty,
    /// The request before and the one in progress.
    Both,
}

/// How the body of a surplus answer shows its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SurplusFraming {
    /// By its length.
    Length,
    /// By its last chunk.
    Chunks,
    /// By the end of the connection.
    Connection,
    /// There is no body, as behind an informational status.
    NoBody,
}

/// What follows a surplus answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Following {
    /// The answer to the request, which runs.
    Answer,
    /// The same, in one write with the surplus answer.
    AnswerAtOnce,
    /// A true rejection of the request, which does not run.
    Rejection,
    /// The end of the connection, while the request runs.
    End,
}

/// A surplus answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SurplusAnswer {
    /// Its status. Those that say so promise that the request has not run.
    pub status: u16,
    /// The request that it names.
    pub id: SurplusId,
    /// How its body ends.
    pub framing: SurplusFraming,
    /// What follows it.
    pub following: Following,
}

/// What the upstream did.
#[derive(Debug, Default)]
struct Seen {
    /// Ids of the requests that ran, in order.
    runs: Vec<String>,
    surplus_answers: usize,
    connections: usize,
}

/// Chooses the surplus answer before the answer to a request, by the number of the request at its upstream.
type Plan = Box<dyn Fn(u64) -> Option<SurplusAnswer> + Send + Sync>;

struct Shared {
    name: Name,
    plan: Plan,
    /// Whether a surplus answer may come before the first answer on a connection too.
    is_from_first: bool,
    requests: AtomicU64,
    /// Ids that are rejected once, as not run.
    rejected_once: Mutex<Vec<String>>,
    seen: Mutex<Seen>,
}

/// A running upstream.
pub struct RepeatingUpstream {
    record: UpstreamRecord,
    shared: Arc<Shared>,
}

impl RepeatingUpstream {
    /// Starts an upstream that sends `surplus` before the answer to each request but the first on a connection. It runs
    /// until the process exits.
    pub fn start(id: &str, pool: &str, surplus: Option<SurplusAnswer>) -> Self {
        Self::start_with(id, pool, move |_| surplus)
    }

    /// Starts an upstream that sends what `plan` chooses before the answer to each request but the first on a
    /// connection, by the number of the request at this upstream. It runs until the process exits.
    pub fn start_with(
        id: &str,
        pool: &str,
        plan: impl Fn(u64) -> Option<SurplusAnswer> + Send + Sync + 'static,
    ) -> Self {
        Self::start_plan(id, pool, Box::new(plan), false)
    }

    /// Starts an upstream that sends `surplus` before the answer to each request, the first on a connection included. It
    /// runs until the process exits.
    pub fn start_from_first(id: &str, pool: &str, surplus: SurplusAnswer) -> Self {
        Self::start_plan(id, pool, Box::new(move |_| Some(surplus)), true)
    }

    fn start_plan(id: &str, pool: &str, plan: Plan, is_from_first: bool) -> Self {
        let listener = TcpListener::bind(SocketAddr::from((unique_ip(), 0)));
        let listener = listener.expect("a free port");
        let addr = listener.local_addr().expect("a bound socket");
        let shared = Arc::new(Shared {
            name: id.into(),
            plan,
            is_from_first,
            requests: AtomicU64::new(0),
            rejected_once: Mutex::default(),
            seen: Mutex::default(),
        });
        let serving = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = serving.clone();
                thread::spawn(move || serve(&shared, stream));
            }
        });
        let record = UpstreamRecord {
            id: id.into(),
            pool: pool.into(),
            addr,
            hall: "hall-a".into(),
            version: "v1".into(),
            slots: 8,
            is_leaving: false,
            cold_remaining_ms: 0,
            is_spot: false,
            registered_as: None,
        };
        Self { record, shared }
    }

    /// Returns its registry record.
    pub fn record(&self) -> UpstreamRecord {
        self.record.clone()
    }

    /// Rejects the next request with this id as not run, and sends the rejection again before the next answer on the
    /// connection.
    pub fn reject_once(&self, id: &str) {
        let mut rejected = self.shared.rejected_once.lock().expect("no holder panics");
        rejected.push(id.to_owned());
    }

    /// Returns the ids of the requests that ran.
    pub fn runs(&self) -> Vec<String> {
        self.shared.with_seen(|seen| seen.runs.clone())
    }

    /// Returns the number of surplus answers that were sent.
    pub fn surplus_answers(&self) -> usize {
        self.shared.with_seen(|seen| seen.surplus_answers)
    }

    /// Returns the number of connections that were accepted.
    pub fn connections(&self) -> usize {
        self.shared.with_seen(|seen| seen.connections)
    }
}

impl Shared {
    fn with_seen<T>(&self, read: impl FnOnce(&mut Seen) -> T) -> T {
        read(&mut self.seen.lock().expect("no holder panics"))
    }

    fn take_rejection(&self, id: &str) -> bool {
        let mut rejected = self.rejected_once.lock().expect("no holder panics");
        let found = rejected.iter().position(|rejected| rejected == id);
        found.map(|index| rejected.remove(index)).is_some()
    }

    fn run(&self, request: &Request) -> String {
        thread::sleep(WORK_TIME);
        self.with_seen(|seen| seen.runs.push(request.id.clone()));
        request.answer(&self.name)
    }
}

/// A request that was read.
struct Request {
    method: String,
    path: String,
    id: String,
}

impl Request {
    /// Reads a request; `None` at the end of the connection.
    fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut words = line.split(' ').map(str::to_owned);
        let (method, path) = (words.next(), words.next());
        let (mut id, mut length) = (String::new(), 0);
        loop {
            let mut header = String::new();
            reader.read_line(&mut header)?;
            let Some((name, value)) = header.trim().split_once(':') else {
                break;
            };
            match name.to_ascii_lowercase().as_str() {
                "ivyweir-request-id" => value.trim().clone_into(&mut id),
                "content-length" => length = value.trim().parse().unwrap_or(0),
                _ => {}
            }
        }
        io::copy(&mut reader.take(length), &mut io::sink())?;
        Ok(Some(Self {
            method: method.unwrap_or_default(),
            path: path.unwrap_or_default(),
            id,
        }))
    }

    /// The answer to the request, which has run.
    fn answer(&self, name: &str) -> String {
        let id = &self.id;
        let head = format!(
            "HTTP/1.1 200 OK\r\nivyweir-request-id: {id}\r\nivyweir-signature: signed\r\nx-answered-by: {name}\r\n"
        );
        if !self.path.starts_with("/stream/") {
            let body = format!("answer to {id}");
            return format!("{head}content-length: {}\r\n\r\n{body}", body.len());
        }
        let events = (1..=EVENTS).map(|event| format!("id: {event}\ndata: {event} of {id}\n\n"));
        let chunks: String = events.map(|event| chunk(&event)).collect();
        format!(
            "{head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"
        )
    }

    /// A rejection of the request, which has not run.
    fn rejection(&self) -> String {
        format!(
            "HTTP/1.1 503 Service Unavailable\r\nivyweir-request-id: {}\r\nivyweir-not-run: 1\r\n\
             retry-after: 0.05\r\ncontent-length: 0\r\n\r\n",
            self.id
        )
    }
}

impl SurplusAnswer {
    /// The surplus answer behind `earlier` in the place of the answer to `current`.
    fn text(&self, earlier: &str, current: &str) -> String {
        let mut text = format!("HTTP/1.1 {} Surplus\r\n", self.status);
        let ids = match self.id {
            SurplusId::Earlier => vec![earlier],
            SurplusId::Stranger => vec!["stranger"],
            SurplusId::Missing => Vec::new(),
            SurplusId::Empty => vec![""],
            SurplusId::Both => vec![earlier, current],
        };
        for id in ids {
            text += &format!("ivyweir-request-id: {id}\r\n");
        }
        text += match self.status {
            421 | 429 | 503 => "ivyweir-not-run: 1\r\nretry-after: 5\r\nivyweir-limit: 0.01\r\n",
            _ => "ivyweir-signature: signed\r\n",
        };
        let body = format!("answer to {earlier}");
        match self.framing {
            SurplusFraming::Length => {
                text += &format!("content-length: {}\r\n\r\n{body}", body.len());
            }
            SurplusFraming::Chunks => {
                let chunk = chunk(&body);
                text += &format!("transfer-encoding: chunked\r\n\r\n{chunk}0\r\n\r\n");
            }
            SurplusFraming::Connection => text += &format!("\r\n{body}"),
            SurplusFraming::NoBody => text += "\r\n",
        }
        text
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Serves a connection until it ends.
fn serve(shared: &Shared, mut stream: TcpStream) {
    shared.with_seen(|seen| seen.connections += 1);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    let mut earlier: Option<String> = None;
    // A rejection that is sent again.
    let mut repeated: Option<String> = None;
    while let Ok(Some(request)) = Request::read(&mut reader) {
        let text = if request.method == "OPTIONS" {
            Some("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_owned())
        } else if shared.take_rejection(&request.id) {
            let rejection = request.rejection();
            repeated = Some(rejection.clone());
            Some(rejection)
        } else if let Some(repeated) = repeated.take() {
            shared.with_seen(|seen| seen.surplus_answers += 1);
            Some(repeated + &shared.run(&request))
        } else {
            let number = shared.requests.fetch_add(1, Ordering::SeqCst);
            match (shared.plan)(number) {
                Some(surplus) if shared.is_from_first || earlier.is_some() => {
                    shared.with_seen(|seen| seen.surplus_answers += 1);
                    let earlier = earlier.as_deref().unwrap_or("none");
                    let text = surplus.text(earlier, &request.id);
                    answer_behind(shared, surplus.following, text, &request, &mut stream)
                }
                _ => Some(shared.run(&request)),
            }
        };
        let Some(text) = text else {
            return;
        };
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
        earlier = Some(request.id);
    }
}

/// Answers a request behind a surplus answer. Returns what is still to be written, or `None` if the connection ends.
fn answer_behind(
    shared: &Shared,
    following: Following,
    surplus: String,
    request: &Request,
    stream: &mut TcpStream,
) -> Option<String> {
    if following == Following::AnswerAtOnce {
        return Some(surplus + &shared.run(request));
    }
    stream.write_all(surplus.as_bytes()).ok()?;
    match following {
        Following::Answer | Following::AnswerAtOnce => Some(shared.run(request)),
        Following::Rejection => Some(request.rejection()),
        Following::End => {
            shared.run(request);
            None
        }
    }
}
