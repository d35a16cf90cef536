//! HTTP/1 connections to upstreams, the store and other boxes, and the pool of idle upstream connections.

mod transport;

use std::collections::HashMap;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Parts, SendRequest};
use hyper::ext::{ReasonPhrase, on_informational};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use ivyweir_policy::Name;
use ivyweir_policy::gateway::answer_end::Framing;
use ivyweir_policy::gateway::answer_owner::{AnswerOwner, NamedRequest, SentRequests};
use ivyweir_policy::gateway::answer_status::is_answer_status;
use ivyweir_policy::gateway::promise::ConnectionUse;
use ivyweir_policy::gateway::site::MAX_TIME_MS;
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::timeout;

use self::transport::Transport;

/// Time limit for opening a connection. A lost SYN is retransmitted only after 1 s, so a new attempt
/// succeeds sooner.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which the kernel closes a connection with unacknowledged data or keepalive probes (`TCP_USER_TIMEOUT`).
/// A peer may be silent for a second and more, and its last retransmission is due up to twice as late.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Idle time before the first TCP keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an idle connection is kept if the server sends no `Keep-Alive` timeout.
const DEFAULT_KEEP_ALIVE_MS: u64 = 4_000;
/// Subtracted from the server's `Keep-Alive` timeout, to allow for data in transit.
const KEEP_ALIVE_MARGIN_MS: u64 = 700;
/// Shortest remaining time for which an idle connection is worth keeping.
const MIN_KEEP_ALIVE_MS: u64 = 200;
/// Largest size of a connection's read buffer.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Largest body of a response that is skipped.
const MAX_SKIPPED_BYTES: usize = 1 << 20;

/// Error of sending a request.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent,
    /// The request may have reached the server, but no response arrived.
    ResponseLost(LostResponse),
}

/// Why no response arrived.
#[derive(Debug, Snafu)]
pub enum LostResponse {
    /// The connection broke, or what arrived is not HTTP.
    #[snafu(display("{source}"))]
    Broken {
        /// The cause.
        source: hyper::Error,
    },
    /// What arrived has a status that HTTP does not define, so it is not an answer.
    #[snafu(display("status {} is not one of an answer", response.status().as_u16()))]
    InvalidStatus {
        /// What arrived.
        response: Box<Response<Incoming>>,
    },
    /// The server goes on sending informational responses, which may never end.
    #[snafu(display("more than {MAX_INFORMATIONAL} informational responses"))]
    OnlyInformational,
}

/// Error of skipping a response.
#[derive(Debug)]
pub enum SkipError {
    /// No other response can follow.
    NothingFollows,
    /// No other response arrived.
    Lost(LostResponse),
}

/// Largest number of informational responses (1xx) to a request. Servers send one or a few.
const MAX_INFORMATIONAL: u32 = 32;

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    closed: ClosedSignal,
    local_port: u16,
    /// The requests that were sent on it.
    requests: SentRequests,
    /// Whether a response was skipped, after which no further request is sent.
    has_skipped: bool,
    /// Whether a request is in progress. If the HTTP client ends meanwhile, its socket is kept.
    is_in_use: Arc<AtomicBool>,
    /// The socket that is kept, and what was received from it but not read.
    remains: oneshot::Receiver<Parts<TokioIo<Transport>>>,
}

/// Signals that a connection was closed, by either side.
#[derive(Debug, Clone)]
pub struct ClosedSignal(watch::Receiver<()>);

impl ClosedSignal {
    /// Waits until the connection is closed.
    pub async fn closed(&mut self) {
        // No value is ever sent; the task of the connection drops the sender when it ends.
        while self.0.changed().await.is_ok() {}
    }
}

impl Connection {
    /// Opens a connection within the default time limit.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened in time.
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        Self::open_within(addr, CONNECT_TIMEOUT).await
    }

    /// Opens a connection within `limit`.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened in time.
    pub async fn open_within(addr: SocketAddr, limit: Duration) -> io::Result<Self> {
        let timed_out = || io::Error::new(io::ErrorKind::TimedOut, "connection attempt timed out");
        let stream = timeout(limit, TcpStream::connect(addr))
            .await
            .map_err(|_| timed_out())??;
        stream.set_nodelay(true)?;
        set_tcp_timeouts(&stream)?;
        let local_port = stream.local_addr()?.port();
        Self::over(Transport::new(stream), local_port).await
    }

    /// Starts an HTTP client on a transport.
    async fn over(transport: Transport, local_port: u16) -> io::Result<Self> {
        let (mut sender, mut client) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(transport))
            .await
            .map_err(io::Error::other)?;
        let (open, closed) = watch::channel(());
        let (keep_remains, remains) = oneshot::channel();
        let is_in_use = Arc::new(AtomicBool::new(false));
        let keeps_remains = is_in_use.clone();
        tokio::spawn(async move {
            // Errors that affect a request are reported through the sender.
            let _reported_by_sender = poll_fn(|cx| client.poll_without_shutdown(cx)).await;
            if keeps_remains.load(Ordering::Relaxed) {
                let _request_ended = keep_remains.send(client.into_parts());
            }
            drop(open);
        });
        // A connection reports itself as busy until its task has run once.
        sender.ready().await.map_err(io::Error::other)?;
        Ok(Self {
            sender,
            closed: ClosedSignal(closed),
            local_port,
            requests: SentRequests::default(),
            has_skipped: false,
            is_in_use,
            remains,
        })
    }

    /// Records that a request with this id is sent next.
    pub fn record_request(&mut self, id: Option<&str>) {
        self.requests.record(id);
    }

    /// The request that was recorded last, on this connection.
    pub fn last_use(&self) -> ConnectionUse {
        ConnectionUse {
            local_port: self.local_port,
            requests: self.requests.count(),
        }
    }

    /// Decides whose answer a response is that names this request.
    pub fn owner_of_answer(&self, named: NamedRequest) -> AnswerOwner {
        self.requests.owner_of_answer(named)
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if there is no response that can be an answer; the error says whether the request may have reached the server.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.is_in_use.store(true, Ordering::Relaxed);
        let exceeded = limit_informational(&mut request);
        let response = tokio::select! {
            biased;
            () = exceeded.notified() => {
                return Err(SendError::ResponseLost(LostResponse::OnlyInformational));
            }
            response = self.sender.try_send_request(request) => response,
        };
        let response = response.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::NotSent,
            None => SendError::ResponseLost(LostResponse::Broken {
                source: error.into_error(),
            }),
        })?;
        check_head(response).map_err(SendError::ResponseLost)
    }

    /// Skips a response to the request in progress, which has this method, and waits for the head of the next response.
    /// No further request can be sent.
    ///
    /// The HTTP client takes each response for the answer to its request and expects nothing behind it. So it is ended, and
    /// the next one, on the same socket, sends a request that is not written.
    ///
    /// # Errors
    ///
    /// Fails if the request was not written whole, or if no other response can follow or does.
    pub async fn skip_response(
        self,
        skipped: Response<Incoming>,
        method: Method,
    ) -> Result<(Self, Response<Incoming>), SkipError> {
        if framing(&skipped) == Framing::Connection
            || skipped.status() == StatusCode::SWITCHING_PROTOCOLS
        {
            return Err(SkipError::NothingFollows);
        }
        discard_body(skipped.into_body()).await?;
        let Self {
            mut sender,
            local_port,
            requests,
            remains,
            ..
        } = self;
        // Waits until the request is written. If the next response has arrived already, the client has ended.
        let _is_ended = sender.ready().await;
        drop(sender);
        let Parts { io, read_buf, .. } = remains.await.map_err(|_| SkipError::NothingFollows)?;
        let transport = io.into_inner();
        if transport.is_write_pending() {
            return Err(SkipError::NothingFollows);
        }
        let next = Self::over(transport.into_read_only(read_buf), local_port).await;
        let mut next = next.map_err(|_| SkipError::NothingFollows)?;
        next.requests = requests;
        next.has_skipped = true;
        let mut request = Request::new(Full::default());
        *request.method_mut() = method;
        let response = next.send(request).await.map_err(|e| match e {
            // The request was written before, on the same socket.
            SendError::NotSent => SkipError::NothingFollows,
            SendError::ResponseLost(e) => SkipError::Lost(e),
        })?;
        Ok((next, response))
    }

    /// Returns whether the next request can be sent.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns a signal that the connection was closed.
    pub fn closed_signal(&self) -> ClosedSignal {
        self.closed.clone()
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Checks that a response can be an answer, and removes its reason, which means nothing.
fn check_head(mut response: Response<Incoming>) -> Result<Response<Incoming>, LostResponse> {
    if !is_answer_status(response.status().as_u16()) {
        let response = Box::new(response);
        return Err(LostResponse::InvalidStatus { response });
    }
    response.extensions_mut().remove::<ReasonPhrase>();
    Ok(response)
}

/// Counts the informational responses to a request; the returned signal is sent once there are too many.
fn limit_informational(request: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let exceeded = Arc::new(Notify::new());
    let (count, signal) = (AtomicU32::new(0), exceeded.clone());
    on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL {
            signal.notify_one();
        }
    });
    exceeded
}

/// Sets `TCP_USER_TIMEOUT` and TCP keepalive, so that the kernel closes a connection whose peer does not
/// respond.
pub fn set_tcp_timeouts(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_ms: u64,
}

/// Pool of idle connections, keyed by upstream incarnation.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<Name, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes the newest idle connection that is ready for a request with this id, if there is one: answers to it can be
    /// told from those to earlier requests.
    pub fn take(
        &self,
        upstream_id: &str,
        request_id: Option<&str>,
        now_ms: u64,
    ) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let kept = idle.get_mut(upstream_id)?;
        kept.retain(|c| c.expires_ms > now_ms && !c.connection.is_closed());
        let is_usable = |connection: &Connection| {
            connection.is_ready() && connection.requests.can_tell_apart(request_id)
        };
        let newest_ready = kept.iter().rposition(|c| is_usable(&c.connection))?;
        Some(kept.swap_remove(newest_ready).connection)
    }

    /// Returns a signal that an idle connection to an upstream was closed, if there is one.
    pub fn closed_signal(&self, upstream_id: &str) -> Option<ClosedSignal> {
        let idle = lock(&self.idle);
        let open = idle.get(upstream_id)?.iter();
        let newest = open.rev().find(|c| !c.connection.is_closed())?;
        Some(newest.connection.closed_signal())
    }

    /// Returns a connection to the pool for `keep_alive_ms`. Its last response must have been read to the end.
    pub fn keep(
        &self,
        upstream_id: &Name,
        connection: Connection,
        keep_alive_ms: u64,
        now_ms: u64,
    ) {
        if connection.is_closed() || connection.has_skipped {
            return;
        }
        connection.is_in_use.store(false, Ordering::Relaxed);
        let expires_ms = now_ms + keep_alive_ms;
        let mut idle = lock(&self.idle);
        let kept = idle.entry(upstream_id.clone()).or_default();
        kept.push(IdleConnection {
            connection,
            expires_ms,
        });
    }

    /// Closes all idle connections to an upstream.
    pub fn forget(&self, upstream_id: &str) {
        lock(&self.idle).remove(upstream_id);
    }

    /// Closes connections that have expired or whose upstream is not known any more.
    pub fn sweep(&self, is_known: impl Fn(&str) -> bool, now_ms: u64) {
        let mut idle = lock(&self.idle);
        idle.retain(|id, kept| {
            kept.retain(|c| c.expires_ms > now_ms && !c.connection.is_closed());
            !kept.is_empty() && is_known(id)
        });
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// Fails if it breaks off or is too large.
pub async fn discard_body(mut body: Incoming) -> Result<(), SkipError> {
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| SkipError::NothingFollows)?;
        bytes += frame.data_ref().map_or(0, Bytes::len);
        if bytes > MAX_SKIPPED_BYTES {
            return Err(SkipError::NothingFollows);
        }
    }
    Ok(())
}

/// Returns how a response body shows its end. Of both headers, the transfer encoding counts; a response that has no body
/// by its status needs neither.
pub fn framing(response: &Response<Incoming>) -> Framing {
    let headers = response.headers();
    if headers.contains_key(header::TRANSFER_ENCODING) {
        Framing::Chunks
    } else if headers.contains_key(header::CONTENT_LENGTH) || response.body().is_end_stream() {
        Framing::Length
    } else {
        Framing::Connection
    }
}

/// Returns how long a connection may stay idle according to the response headers; `None` if the server
/// closes it or its timeout is too short to reuse the connection.
pub fn keep_alive_ms(headers: &HeaderMap) -> Option<u64> {
    let closes = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"));
    if closes {
        return None;
    }
    let timeout = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let Some(timeout_s) = timeout.and_then(parse_keep_alive_timeout) else {
        return Some(DEFAULT_KEEP_ALIVE_MS);
    };
    let timeout_ms = timeout_s.saturating_mul(1_000).min(MAX_TIME_MS);
    let keep_alive_ms = timeout_ms.saturating_sub(KEEP_ALIVE_MARGIN_MS);
    (keep_alive_ms >= MIN_KEEP_ALIVE_MS).then_some(keep_alive_ms)
}
use crate::mutex::lock;

fn parse_keep_alive_timeout(keep_alive: &str) -> Option<u64> {
    let mut parameters = keep_alive.split(',').map(str::trim);
    parameters.find_map(|p| p.strip_prefix("timeout=")?.parse().ok())
}
