//! An upstream that does with each request what a test says, and remembers what reached it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::town::serve_until;
use crate::loopback::unique_ip;

type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Time for the head of an answer to leave before its body breaks off; without it the library drops the head too.
const BREAK_OFF_AFTER: Duration = Duration::from_millis(20);

/// What an upstream does with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Act {
    /// Answers with this status, signed.
    Answer(u16),
    /// Answers a success without a signature.
    Unsigned,
    /// Answers under another request's id.
    WrongId,
    /// Says that it did not run the request.
    NotRun,
    /// Says that another incarnation has the address.
    OtherIncarnation,
    /// Closes the connection without an answer.
    Close,
    /// Breaks its body off.
    BreakOff,
    /// Never answers.
    Hang,
    /// Ends its process, with all its connections, after so many events of a stream; with none of them before
    /// the head of its answer.
    End {
        /// Events before it ends.
        after_events: u64,
    },
    /// Answers with so many events.
    Stream {
        /// Number of events.
        events: u64,
        /// Pause between them.
        gap_ms: u64,
        /// Events after which it breaks off, in the middle of the next one.
        break_after: Option<u64>,
        /// The model's opinion of its answer.
        confidence: Option<u8>,
    },
}

/// A request as it reached an upstream.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Method and path.
    pub line: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When it came.
    pub at: Instant,
    /// Whether it was run; only a refusal says that it was not.
    pub ran: bool,
    /// For how many seconds its refusal said that nothing more is wanted.
    pub retry_after: Option<String>,
    /// The limit that its answer names, in requests a second.
    pub names_limit: Option<String>,
}

impl Seen {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A running upstream.
#[derive(Clone)]
pub struct ScriptedUpstream {
    record: UpstreamRecord,
    shared: Arc<Shared>,
}

/// Header in which each answer names its upstream.
pub const ANSWERED_BY: &str = "x-answered-by";

struct Shared {
    name: Name,
    act: Mutex<Act>,
    /// What it does with requests of these bodies.
    by_body: Mutex<Vec<(Bytes, Act)>>,
    /// Ends its process.
    end: Arc<Notify>,
    is_ended: AtomicBool,
    /// Whether its answers say that it leaves.
    says_leaving: AtomicBool,
    /// What its refusals say of when to come back.
    retry_after: Mutex<Option<String>>,
    /// The limit that its answers name.
    limit: Mutex<Option<String>>,
    /// Further headers of its answers.
    more_headers: Mutex<Vec<(HeaderName, HeaderValue)>>,
    /// For the requests to come, before `act` holds again.
    next: Mutex<Vec<Act>>,
    seen: Mutex<Vec<Seen>>,
    active: AtomicU64,
}

impl ScriptedUpstream {
    /// Starts an upstream on a free port.
    pub fn start(id: &str, pool: &str, version: &str) -> Self {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into(), id, pool, version)
    }

    /// Starts an upstream on a free port of an address of loopback that no other test has, so that nobody
    /// listens there once it has ended.
    pub fn start_alone(id: &str, pool: &str, version: &str) -> Self {
        Self::start_at((unique_ip(), 0).into(), id, pool, version)
    }

    /// Starts an upstream, as [`start_alone`](Self::start_alone), that tells when its process started: it may have
    /// the name of an earlier one.
    pub fn start_again(name: &str, started_at_ms: u64, pool: &str, version: &str) -> Self {
        let id = UpstreamRecord::incarnation_id(name, started_at_ms);
        let mut upstream = Self::start_alone(&id, pool, version);
        upstream.record.registered_as = Some(name.into());
        upstream
    }

    /// Starts an upstream at this address.
    pub fn start_at(addr: SocketAddr, id: &str, pool: &str, version: &str) -> Self {
        let shared = Arc::new(Shared {
            name: id.into(),
            act: Mutex::new(Act::Answer(200)),
            by_body: Mutex::default(),
            end: Arc::default(),
            is_ended: AtomicBool::new(false),
            says_leaving: AtomicBool::new(false),
            retry_after: Mutex::default(),
            limit: Mutex::default(),
            more_headers: Mutex::default(),
            next: Mutex::default(),
            seen: Mutex::default(),
            active: AtomicU64::new(0),
        });
        let serving = shared.clone();
        let listener = TcpListener::bind(addr).expect("a port can be bound");
        let addr = serve_until(listener, shared.end.clone(), move |request| {
            let shared = serving.clone();
            async move { answer(shared, request).await }
        });
        Self {
            record: record(id, pool, version, addr),
            shared,
        }
    }

    /// Its record in the registry.
    pub fn record(&self) -> UpstreamRecord {
        self.record.clone()
    }

    /// Its record once it leaves.
    pub fn leaving(&self) -> UpstreamRecord {
        UpstreamRecord {
            is_leaving: true,
            ..self.record()
        }
    }

    /// Its id.
    pub fn id(&self) -> Name {
        self.record.id.clone()
    }

    /// Sets what it does from now on.
    pub fn set(&self, act: Act) {
        *lock(&self.shared.act) = act;
    }

    /// Says in each answer from now on that it leaves; its record says nothing of that.
    pub fn say_leaving(&self) {
        self.shared.says_leaving.store(true, Ordering::SeqCst);
    }

    /// Says from now on with what it refuses as not run for how many seconds it wants nothing more.
    pub fn say_retry_after(&self, seconds: &str) {
        *lock(&self.shared.retry_after) = Some(seconds.to_owned());
    }

    /// Names in each answer from now on how many requests a second it takes from all boxes together; none ends that.
    pub fn name_limit(&self, per_s: Option<&str>) {
        *lock(&self.shared.limit) = per_s.map(str::to_owned);
    }

    /// Adds a header to each answer from now on.
    pub fn say(&self, name: &str, value: &str) {
        let name = name.parse().expect("a valid name");
        let value = value.parse().expect("a valid value");
        lock(&self.shared.more_headers).push((name, value));
    }

    /// Sets what it does with requests of this body, whatever it does with others.
    pub fn set_for(&self, body: &'static [u8], act: Act) {
        self.set_for_all(&[body], act);
    }

    /// Sets what it does with requests of these bodies.
    pub fn set_for_all(&self, bodies: &[&'static [u8]], act: Act) {
        let by_body = bodies
            .iter()
            .map(|body| (Bytes::from_static(body), act.clone()));
        *lock(&self.shared.by_body) = by_body.collect();
    }

    /// Ends its process, with all its connections.
    pub fn end(&self) {
        self.shared.end();
    }

    /// Whether its process has ended.
    pub fn is_ended(&self) -> bool {
        self.shared.is_ended.load(Ordering::SeqCst)
    }

    /// Sets what it does with the next requests, first to last.
    pub fn set_next(&self, mut acts: Vec<Act>) {
        acts.reverse();
        *lock(&self.shared.next) = acts;
    }

    /// What reached it.
    pub fn seen(&self) -> Vec<Seen> {
        lock(&self.shared.seen).clone()
    }

    /// Requests that it works on.
    pub fn active(&self) -> u64 {
        self.shared.active.load(Ordering::SeqCst)
    }
}

fn record(id: &str, pool: &str, version: &str, addr: SocketAddr) -> UpstreamRecord {
    UpstreamRecord {
        id: id.into(),
        pool: pool.into(),
        addr,
        hall: "hall-a".into(),
        version: version.into(),
        slots: 8,
        is_leaving: false,
        cold_remaining_ms: 0,
        is_spot: false,
        registered_as: None,
    }
}

impl Shared {
    fn end(&self) {
        self.is_ended.store(true, Ordering::SeqCst);
        self.end.notify_one();
    }

    /// What is done with a request of this body.
    fn act_for(&self, body: &Bytes) -> Act {
        let by_body = lock(&self.by_body);
        if let Some((_, act)) = by_body.iter().find(|(known, _)| known == body) {
            return act.clone();
        }
        drop(by_body);
        let next = lock(&self.next).pop();
        next.unwrap_or_else(|| lock(&self.act).clone())
    }
}

/// Counts a request while it is worked on.
struct Active(Arc<Shared>);

impl Active {
    fn begin(shared: &Arc<Shared>) -> Self {
        shared.active.fetch_add(1, Ordering::SeqCst);
        Self(shared.clone())
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let active = Active::begin(&shared);
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let act = shared.act_for(&body);
    let retry_after = (act == Act::NotRun).then(|| lock(&shared.retry_after).clone());
    let limit = lock(&shared.limit).clone();
    lock(&shared.seen).push(Seen {
        line: format!("{} {}", head.method, head.uri),
        headers: head.headers.clone(),
        body: body.clone(),
        at: Instant::now(),
        ran: !matches!(act, Act::NotRun | Act::OtherIncarnation),
        retry_after: retry_after.flatten(),
        names_limit: limit.clone(),
    });
    let echo = format!("echo of {} bytes", body.len());
    let mut answer = Response::new(whole(echo.clone()));
    let headers = answer.headers_mut();
    if let Some(id) = head.headers.get("ivyweir-request-id") {
        headers.insert("ivyweir-request-id", id.clone());
    }
    headers.insert(
        "ivyweir-signature",
        "signed".parse().expect("a valid value"),
    );
    headers.insert("ivyweir-load", "1,0,8".parse().expect("a valid value"));
    // Passed on as any other header: tells a test whose answer a caller got.
    let name = shared.name.parse().expect("a valid value");
    headers.insert(ANSWERED_BY, name);
    if shared.says_leaving.load(Ordering::SeqCst) {
        headers.insert("ivyweir-leaving", "1".parse().expect("a valid value"));
    }
    for (name, value) in lock(&shared.more_headers).iter() {
        headers.insert(name, value.clone());
    }
    if let Some(per_s) = limit {
        headers.insert("ivyweir-limit", per_s.parse().expect("a valid value"));
    }
    match act {
        Act::Answer(status) => *answer.status_mut() = StatusCode::from_u16(status).expect("valid"),
        Act::Unsigned => drop(headers.remove("ivyweir-signature")),
        Act::WrongId => {
            let other = "another-request".parse().expect("a valid value");
            headers.insert("ivyweir-request-id", other);
        }
        Act::NotRun => {
            headers.insert("ivyweir-not-run", "1".parse().expect("a valid value"));
            if let Some(seconds) = &*lock(&shared.retry_after) {
                headers.insert("retry-after", seconds.parse().expect("a valid value"));
            }
            headers.remove("ivyweir-signature");
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        Act::OtherIncarnation => *answer.status_mut() = StatusCode::MISDIRECTED_REQUEST,
        Act::Close => return Err(io::Error::other("closes without an answer")),
        Act::BreakOff => {
            let begin = stream::iter([Ok(Frame::data(Bytes::from(echo)))]);
            let end = stream::once(async {
                sleep(BREAK_OFF_AFTER).await;
                Err(io::Error::other("breaks off"))
            });
            let frames = stream::StreamExt::chain(begin, end);
            *answer.body_mut() = StreamBody::new(frames).boxed_unsync();
        }
        Act::Hang => std::future::pending().await,
        Act::End { after_events: 0 } => {
            shared.end();
            std::future::pending().await
        }
        Act::End { after_events } => {
            let ending = shared.clone();
            let events = event_stream(active, 0, after_events, 1, None);
            *answer.body_mut() = then_end(events, ending);
            return Ok(answer);
        }
        Act::Stream {
            events,
            gap_ms,
            break_after,
            confidence,
        } => {
            if let Some(confidence) = confidence {
                headers.insert("ivyweir-confidence", u16::from(confidence).into());
            }
            let last = head.headers.get("last-event-id");
            let last: u64 = last
                .and_then(|id| id.to_str().ok()?.parse().ok())
                .unwrap_or(0);
            *answer.body_mut() = event_stream(active, last, events, gap_ms, break_after);
            return Ok(answer);
        }
    }
    Ok(answer)
}

/// Events behind `last` up to `events`; an event's text says its number and who made it.
fn event_stream(
    active: Active,
    last: u64,
    events: u64,
    gap_ms: u64,
    break_after: Option<u64>,
) -> Body {
    let frames = stream::unfold((last, active), move |(last, active)| async move {
        let id = last + 1;
        if id > events {
            return None;
        }
        sleep(Duration::from_millis(gap_ms)).await;
        match break_after {
            Some(limit) if last == limit => {
                let torn = Frame::data(Bytes::from(format!("id: {id}\ndata: to")));
                Some((Ok(torn), (events, active)))
            }
            _ => {
                let event = format!("id: {id}\ndata: token {id}\n\n");
                Some((Ok(Frame::data(Bytes::from(event))), (id, active)))
            }
        }
    });
    let frames = stream::StreamExt::chain(frames, break_off(break_after));
    StreamBody::new(Box::pin(frames)).boxed_unsync()
}

/// Passes events on and then ends the process.
fn then_end(events: Body, shared: Arc<Shared>) -> Body {
    let ending = stream::once(async move {
        shared.end();
        std::future::pending().await
    });
    let events = http_body_util::BodyStream::new(events);
    StreamBody::new(stream::StreamExt::chain(events, ending)).boxed_unsync()
}

fn break_off(break_after: Option<u64>) -> impl stream::Stream<Item = io::Result<Frame<Bytes>>> {
    let error = break_after.map(|_| Err(io::Error::other("breaks off")));
    stream::iter(error)
}

fn whole(text: String) -> Body {
    Full::new(Bytes::from(text))
        .map_err(|never| match never {})
        .boxed_unsync()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}
