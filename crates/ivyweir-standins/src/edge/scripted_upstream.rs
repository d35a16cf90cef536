//! Upstream that handles each request as scripted by a test and records the requests it receives.

mod streams;

use std::collections::HashSet;
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
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::http::Extensions;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use socket2::Socket;
use tokio::sync::Notify;
use tokio::time::sleep;

use self::streams::{event_stream, large_events, then_exit};
use super::event_script::{ConnectionControl, EventScript, PlainScript};
use super::test_cluster::serve_until;
use crate::loopback::unique_ip;

type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Delay between the response head and the body error that truncates the response. Without it, the HTTP library drops
/// the head as well.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);

/// Number of requests that an upstream runs at once, according to its record.
const SLOTS: u32 = 8;

/// How an upstream handles a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamAction {
    /// Responds with this status and a signature.
    Answer(u16),
    /// Responds with status 200 but without a signature.
    Unsigned,
    /// Responds with the id of another request.
    WrongId,
    /// Refuses the request as not run.
    NotRun,
    /// Responds with status 200 after this time, and refuses requests as not run while it runs as many as it has slots.
    Slots {
        /// Time of a request in milliseconds.
        work_ms: u64,
    },
    /// Responds that the address now belongs to another incarnation.
    OtherIncarnation,
    /// Closes the connection without a response.
    Close,
    /// Truncates the response body.
    TruncateBody,
    /// Never responds.
    Hang,
    /// Exits, closing all connections, after this number of stream events. With zero events, it exits before sending
    /// the response head.
    Exit {
        /// Number of events sent before it exits.
        after_events: u64,
    },
    /// Never responds and exits after this time, also if the caller disconnects before.
    ExitLater {
        /// Time until it exits in milliseconds.
        after_ms: u64,
    },
    /// Responds with a stream of events.
    Stream {
        /// Number of the last event of the stream.
        events: u64,
        /// Delay before each event in milliseconds.
        gap_ms: u64,
        /// Number of the event after which the stream is truncated, in the middle of the next one.
        truncate_after: Option<u64>,
        /// Confidence of the model in its response.
        confidence: Option<u8>,
    },
    /// Responds with events behind the one that the request names.
    Events(EventScript),
    /// Responds with status 200 and a plain body.
    Plain(PlainScript),
    /// Responds with a stream of large events without a delay.
    LargeEvents {
        /// Number of the last event of the stream.
        events: u64,
        /// Length of the text of each event.
        event_bytes: usize,
        /// Time between events; 0 to send them as fast as they are read.
        gap_ms: u64,
    },
}

/// A request received by an upstream.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Method and URI, separated by a space.
    pub request_line: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Arrival time.
    pub received_at: Instant,
    /// Whether the request was run; only refused requests are not.
    pub was_run: bool,
    /// The `retry-after` value of a refusal, in seconds.
    pub retry_after: Option<String>,
    /// The limit advertised in the response, in requests per second.
    pub advertised_limit: Option<String>,
}

impl ReceivedRequest {
    /// Returns the value of a header, or `None` if it is absent or not text.
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

/// Response header that carries the id of the upstream.
pub const ANSWERED_BY: &str = "x-answered-by";

struct Shared {
    name: Name,
    default_action: Mutex<UpstreamAction>,
    /// Actions for requests with specific bodies; these take precedence over all others.
    actions_by_body: Mutex<Vec<(Bytes, UpstreamAction)>>,
    /// Actions for requests whose prompts have specific parts, used where no action by body applies.
    actions_by_prompt_part: Mutex<Vec<(Name, UpstreamAction)>>,
    /// Notified when the simulated process exits.
    exit_signal: Arc<Notify>,
    has_exited: AtomicBool,
    /// Time for which the listener outlives the connections when the process exits.
    listener_linger_ms: Arc<AtomicU64>,
    /// Whether responses announce that the upstream is leaving.
    advertises_leaving: AtomicBool,
    /// The `retry-after` value of refusals.
    retry_after: Mutex<Option<String>>,
    /// The limit advertised in responses.
    limit: Mutex<Option<String>>,
    /// Additional response headers.
    extra_headers: Mutex<Vec<(HeaderName, HeaderValue)>>,
    /// Actions for the next requests, in reverse order, used before `default_action`.
    next_actions: Mutex<Vec<UpstreamAction>>,
    received_requests: Mutex<Vec<ReceivedRequest>>,
    /// Ids of requests whose streams were sent to their ends.
    finished_streams: Mutex<HashSet<String>>,
    active_requests: AtomicU64,
}

impl ScriptedUpstream {
    /// Starts an upstream on a free loopback port.
    pub fn start(id: &str, pool: &str, version: &str) -> Self {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into(), id, pool, version)
    }

    /// Starts an upstream on a free port of a loopback address that no other test uses, so that nothing listens there
    /// after it exits.
    pub fn start_on_own_ip(id: &str, pool: &str, version: &str) -> Self {
        Self::start_at((unique_ip(), 0).into(), id, pool, version)
    }

    /// Starts an upstream as [`start_on_own_ip`](Self::start_on_own_ip) does, with an id that includes the start time
    /// of its process. It may be registered under the name of an earlier incarnation.
    pub fn start_incarnation(name: &str, started_at_ms: u64, pool: &str, version: &str) -> Self {
        let id = UpstreamRecord::incarnation_id(name, started_at_ms);
        let mut upstream = Self::start_on_own_ip(&id, pool, version);
        upstream.record.registered_as = Some(name.into());
        upstream
    }

    /// Starts an upstream at this address.
    pub fn start_at(addr: SocketAddr, id: &str, pool: &str, version: &str) -> Self {
        let shared = Arc::new(Shared {
            name: id.into(),
            default_action: Mutex::new(UpstreamAction::Answer(200)),
            actions_by_body: Mutex::default(),
            actions_by_prompt_part: Mutex::default(),
            exit_signal: Arc::default(),
            has_exited: AtomicBool::new(false),
            listener_linger_ms: Arc::default(),
            advertises_leaving: AtomicBool::new(false),
            retry_after: Mutex::default(),
            limit: Mutex::default(),
            extra_headers: Mutex::default(),
            next_actions: Mutex::default(),
            received_requests: Mutex::default(),
            finished_streams: Mutex::default(),
            active_requests: AtomicU64::new(0),
        });
        let serving = shared.clone();
        let listener = TcpListener::bind(addr).expect("address can be bound");
        let (exit_signal, linger_ms) = (
            shared.exit_signal.clone(),
            shared.listener_linger_ms.clone(),
        );
        let addr = serve_until(listener, exit_signal, linger_ms, move |request| {
            let shared = serving.clone();
            async move { answer(shared, request).await }
        });
        Self {
            record: record(id, pool, version, addr),
            shared,
        }
    }

    /// Returns its registry record.
    pub fn record(&self) -> UpstreamRecord {
        self.record.clone()
    }

    /// Returns its registry record, marked as leaving.
    pub fn leaving_record(&self) -> UpstreamRecord {
        UpstreamRecord {
            is_leaving: true,
            ..self.record()
        }
    }

    /// Returns its id.
    pub fn id(&self) -> Name {
        self.record.id.clone()
    }

    /// Sets the default action.
    pub fn set_action(&self, action: UpstreamAction) {
        *lock(&self.shared.default_action) = action;
    }

    /// Makes the listener outlive the connections by this time when the simulated process exits.
    pub fn set_listener_linger_ms(&self, linger_ms: u64) {
        self.shared
            .listener_linger_ms
            .store(linger_ms, Ordering::SeqCst);
    }

    /// Announces in all further responses that the upstream is leaving; its registry record is unchanged.
    pub fn advertise_leaving(&self) {
        self.shared.advertises_leaving.store(true, Ordering::SeqCst);
    }

    /// Sets the `retry-after` value, in seconds, of refusals as not run.
    pub fn set_retry_after(&self, seconds: &str) {
        *lock(&self.shared.retry_after) = Some(seconds.to_owned());
    }

    /// Sets the limit advertised in responses, in requests per second over all boxes; `None` stops advertising it.
    pub fn advertise_limit(&self, per_s: Option<&str>) {
        *lock(&self.shared.limit) = per_s.map(str::to_owned);
    }

    /// Adds a header to all further responses.
    pub fn add_header(&self, name: &str, value: &str) {
        let name = name.parse().expect("valid header name");
        let value = value.parse().expect("valid header value");
        lock(&self.shared.extra_headers).push((name, value));
    }

    /// Sets the action for requests with this body, replacing all earlier actions set by body.
    pub fn set_action_for_body(&self, body: &'static [u8], action: UpstreamAction) {
        self.set_action_for_bodies(&[body], action);
    }

    /// Sets the action for requests with these bodies, replacing all earlier actions set by body.
    pub fn set_action_for_bodies(&self, bodies: &[&'static [u8]], action: UpstreamAction) {
        let actions_by_body = bodies
            .iter()
            .map(|body| (Bytes::from_static(body), action.clone()));
        *lock(&self.shared.actions_by_body) = actions_by_body.collect();
    }

    /// Sets the action for requests whose prompt has this part, anywhere but in the last place.
    pub fn set_action_for_prompt_part(&self, part: &str, action: UpstreamAction) {
        lock(&self.shared.actions_by_prompt_part).push((part.into(), action));
    }

    /// Starts the next incarnation at the address of this one, which has exited. It does what this one does by default,
    /// by body and by prompt part.
    pub fn restart(&self, started_at_ms: u64) -> Self {
        let name = self.record.name().clone();
        let UpstreamRecord {
            addr,
            pool,
            version,
            ..
        } = &self.record;
        let id = UpstreamRecord::incarnation_id(&name, started_at_ms);
        let mut next = Self::start_at(*addr, &id, pool, version);
        next.record.registered_as = Some(name);
        let (from, to) = (&self.shared, &next.shared);
        lock(&to.default_action).clone_from(&lock(&from.default_action));
        lock(&to.actions_by_body).clone_from(&lock(&from.actions_by_body));
        lock(&to.actions_by_prompt_part).clone_from(&lock(&from.actions_by_prompt_part));
        next
    }

    /// Simulates the exit of the process: closes the listener and all connections.
    pub fn exit(&self) {
        self.shared.exit();
    }

    /// Returns whether the simulated process has exited.
    pub fn has_exited(&self) -> bool {
        self.shared.has_exited.load(Ordering::SeqCst)
    }

    /// Sets the actions for the next requests, in order.
    pub fn set_next_actions(&self, mut actions: Vec<UpstreamAction>) {
        actions.reverse();
        *lock(&self.shared.next_actions) = actions;
    }

    /// Returns the requests received so far.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        lock(&self.shared.received_requests).clone()
    }

    /// Whether the stream of this request was sent to its end.
    pub fn has_finished_stream(&self, request_id: &str) -> bool {
        lock(&self.shared.finished_streams).contains(request_id)
    }

    /// Returns the number of requests in progress.
    pub fn active_requests(&self) -> u64 {
        self.shared.active_requests.load(Ordering::SeqCst)
    }
}

fn record(id: &str, pool: &str, version: &str, addr: SocketAddr) -> UpstreamRecord {
    UpstreamRecord {
        id: id.into(),
        pool: pool.into(),
        addr,
        hall: "hall-a".into(),
        version: version.into(),
        slots: SLOTS,
        is_leaving: false,
        cold_remaining_ms: 0,
        is_spot: false,
        registered_as: None,
    }
}

impl Shared {
    fn exit(&self) {
        self.has_exited.store(true, Ordering::SeqCst);
        self.exit_signal.notify_one();
    }

    /// Returns the action for a request with this body and these prompt parts.
    fn action_for(&self, body: &Bytes, parts: &HashSet<&str>) -> UpstreamAction {
        let actions_by_body = lock(&self.actions_by_body);
        if let Some((_, action)) = actions_by_body.iter().find(|(known, _)| known == body) {
            return action.clone();
        }
        drop(actions_by_body);
        let by_part = lock(&self.actions_by_prompt_part);
        if let Some((_, action)) = by_part.iter().find(|(part, _)| parts.contains(&**part)) {
            return action.clone();
        }
        drop(by_part);
        let next = lock(&self.next_actions).pop();
        next.unwrap_or_else(|| lock(&self.default_action).clone())
    }
}

/// Counts a request as active until dropped.
struct ActiveGuard(Arc<Shared>);

impl ActiveGuard {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.active_requests.fetch_add(1, Ordering::SeqCst);
        Self(shared.clone())
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    // A box that looks whether the upstream responds.
    if request.method() == Method::OPTIONS {
        return Ok(Response::new(full_body(String::new())));
    }
    let active = ActiveGuard::new(&shared);
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let action = shared.action_for(&body, &shared_parts(&head.headers));
    let action = match action {
        UpstreamAction::Slots { .. }
            if shared.active_requests.load(Ordering::SeqCst) > u64::from(SLOTS) =>
        {
            UpstreamAction::NotRun
        }
        action => action,
    };
    let retry_after = (action == UpstreamAction::NotRun).then(|| lock(&shared.retry_after).clone());
    let limit = lock(&shared.limit).clone();
    lock(&shared.received_requests).push(ReceivedRequest {
        request_line: format!("{} {}", head.method, head.uri),
        headers: head.headers.clone(),
        body: body.clone(),
        received_at: Instant::now(),
        was_run: !matches!(
            action,
            UpstreamAction::NotRun | UpstreamAction::OtherIncarnation
        ),
        retry_after: retry_after.flatten(),
        advertised_limit: limit.clone(),
    });
    let echo = format!("echo of {} bytes", body.len());
    let mut answer = Response::new(full_body(echo.clone()));
    let headers = answer.headers_mut();
    if let Some(id) = head.headers.get("ivyweir-request-id") {
        headers.insert("ivyweir-request-id", id.clone());
    }
    headers.insert(
        "ivyweir-signature",
        "signed".parse().expect("valid header value"),
    );
    headers.insert("ivyweir-load", "1,0,8".parse().expect("valid header value"));
    // The gateway forwards this header unchanged, so that a test can tell which upstream responded.
    let name = shared.name.parse().expect("valid header value");
    headers.insert(ANSWERED_BY, name);
    if shared.advertises_leaving.load(Ordering::SeqCst) {
        headers.insert("ivyweir-leaving", "1".parse().expect("valid header value"));
    }
    for (name, value) in lock(&shared.extra_headers).iter() {
        headers.insert(name, value.clone());
    }
    if let Some(per_s) = limit {
        headers.insert("ivyweir-limit", per_s.parse().expect("valid header value"));
    }
    match action {
        UpstreamAction::Answer(status) => {
            *answer.status_mut() = StatusCode::from_u16(status).expect("valid status code")
        }
        UpstreamAction::Slots { work_ms } => sleep(Duration::from_millis(work_ms)).await,
        UpstreamAction::Unsigned => drop(headers.remove("ivyweir-signature")),
        UpstreamAction::WrongId => {
            let other = "another-request".parse().expect("valid header value");
            headers.insert("ivyweir-request-id", other);
        }
        UpstreamAction::NotRun => {
            headers.insert("ivyweir-not-run", "1".parse().expect("valid header value"));
            if let Some(seconds) = &*lock(&shared.retry_after) {
                headers.insert("retry-after", seconds.parse().expect("valid header value"));
            }
            headers.remove("ivyweir-signature");
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        UpstreamAction::OtherIncarnation => *answer.status_mut() = StatusCode::MISDIRECTED_REQUEST,
        UpstreamAction::Close => return Err(io::Error::other("scripted close without a response")),
        UpstreamAction::TruncateBody => {
            let begin = stream::iter([Ok(Frame::data(Bytes::from(echo)))]);
            let end = stream::once(async {
                sleep(TRUNCATION_DELAY).await;
                Err(io::Error::other("scripted truncation of the body"))
            });
            let frames = stream::StreamExt::chain(begin, end);
            *answer.body_mut() = StreamBody::new(frames).boxed_unsync();
        }
        UpstreamAction::Hang => std::future::pending().await,
        UpstreamAction::Exit { after_events: 0 } => {
            shared.exit();
            std::future::pending().await
        }
        UpstreamAction::ExitLater { after_ms } => {
            tokio::spawn(async move {
                sleep(Duration::from_millis(after_ms)).await;
                shared.exit();
            });
            std::future::pending().await
        }
        UpstreamAction::Exit { after_events } => {
            let exiting = shared.clone();
            let events = event_stream(active, 0, after_events, 1, None, || ());
            *answer.body_mut() = then_exit(events, exiting);
            return Ok(answer);
        }
        UpstreamAction::Stream {
            events,
            gap_ms,
            truncate_after,
            confidence,
        } => {
            if let Some(confidence) = confidence {
                headers.insert("ivyweir-confidence", u16::from(confidence).into());
            }
            let last = last_event_id(&head.headers);
            let id = head.headers.get("ivyweir-request-id");
            let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
            let (id, finishing) = (id.to_owned(), shared.clone());
            let finish = move || {
                lock(&finishing.finished_streams).insert(id.clone());
            };
            *answer.body_mut() = event_stream(active, last, events, gap_ms, truncate_after, finish);
            return Ok(answer);
        }
        UpstreamAction::Events(script) => {
            let control = connection_control(&shared, &head.extensions);
            let last = last_event_id(&head.headers);
            let event_stream = HeaderValue::from_static("text/event-stream");
            headers.insert(CONTENT_TYPE, event_stream);
            script.write_to(&mut answer, last, control, active);
            return Ok(answer);
        }
        UpstreamAction::Plain(script) => {
            let control = connection_control(&shared, &head.extensions);
            script.write_to(&mut answer, echo, control, active);
            return Ok(answer);
        }
        UpstreamAction::LargeEvents {
            events,
            event_bytes,
            gap_ms,
        } => {
            *answer.body_mut() = large_events(active, events, event_bytes, gap_ms);
            return Ok(answer);
        }
    }
    Ok(answer)
}

/// Ids of the prompt's parts but the last one.
fn shared_parts(headers: &HeaderMap) -> HashSet<&str> {
    let parts = headers.get("ivyweir-prompt-parts");
    let parts = parts.and_then(|parts| parts.to_str().ok());
    let shared = parts.and_then(|parts| parts.rsplit_once(','));
    let shared = shared.map_or("", |(shared, _)| shared);
    let ids = shared.split(',').filter_map(|part| part.split_once(':'));
    ids.map(|(id, _)| id).collect()
}

/// Number of the event behind which a stream is to resume; 0 if it is to begin.
fn last_event_id(headers: &HeaderMap) -> u64 {
    let last = headers.get("last-event-id");
    let last = last.and_then(|id| id.to_str().ok()?.parse().ok());
    last.unwrap_or(0)
}

fn connection_control(shared: &Arc<Shared>, extensions: &Extensions) -> ConnectionControl {
    let socket = extensions.get::<Arc<Socket>>();
    let exiting = shared.clone();
    ConnectionControl {
        socket: socket.expect("the server adds the socket").clone(),
        exit: Box::new(move || exiting.exit()),
    }
}

fn full_body(text: String) -> Body {
    Full::new(Bytes::from(text))
        .map_err(|never| match never {})
        .boxed_unsync()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().expect("mutex is not poisoned")
}
