//! HTTP servers for callers, other boxes, readiness checks and metrics.

use std::convert::Infallible;
use std::future::{self, Future};
use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::FutureExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::{Instant, sleep, timeout_at};

use crate::caller_io::{CallerConnection, CallerIo};
use crate::error_response::ErrorReason;
use crate::mutex::lock;
use crate::response::{ResponseBody, plain_text, status_only};
use crate::state::Gateway;
use crate::supervisor::panic_message;
use crate::{follow, handover, join, path_check, pipeline, reports};

/// Idle timeout of callers' connections if the configuration is not known or sets none.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;
/// Size of a connection's read buffer, which is also the maximum length of a request head.
const MAX_READ_BUFFER_BYTES: usize = 32 << 10;
/// File descriptors reserved for files and connections to upstreams and the store.
const RESERVED_FDS: u64 = 1_200;
const MIN_CONNECTIONS: u64 = 256;
/// Maximum number of connections for readiness checks, and for metrics, and how long each may be idle. They must not use
/// up the descriptors for callers.
const MAX_TEXT_CONNECTIONS: usize = 256;
const TEXT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before the next attempt after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of connections waiting to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Stops a server, and tells when it has ended.
#[derive(Debug, Clone, Default)]
pub struct ServerStop {
    is_requested: Arc<watch::Sender<bool>>,
    has_ended: Arc<watch::Sender<bool>>,
}

impl ServerStop {
    /// Lets the server accept no more connections, and waits until all of its connections have ended, at most until
    /// `deadline`. They end once their answers are written.
    pub async fn stop_and_wait(&self, deadline: Instant) {
        self.is_requested.send_replace(true);
        let mut has_ended = self.has_ended.subscribe();
        // What is not written by the deadline is cut.
        let _ended = timeout_at(deadline, has_ended.wait_for(|has_ended| *has_ended)).await;
    }

    /// Waits until the server is to stop.
    async fn requested(&self) {
        let mut is_requested = self.is_requested.subscribe();
        // The sender is borrowed for the wait, so it cannot be gone.
        let _requested = is_requested.wait_for(|is_requested| *is_requested).await;
    }

    /// Ends the connections behind the answers that are being made or written, and records that they have ended.
    async fn end(&self, connections: GracefulShutdown) {
        connections.shutdown().await;
        self.has_ended.send_replace(true);
    }
}

/// A listener that is closed when its server stops.
pub type ClosableListener = Mutex<Option<Arc<TcpListener>>>;

/// Serves callers until `stop` is requested, and then refuses connections and ends those that are open behind their
/// answers.
pub async fn serve_callers(
    gateway: Arc<Gateway>,
    listener: Arc<ClosableListener>,
    stop: ServerStop,
) {
    let graceful = GracefulShutdown::new();
    accept_callers(gateway, &listener, &stop, &graceful).await;
    // Connections are refused from now on, as nobody would serve them.
    lock(&listener).take();
    stop.end(graceful).await;
    future::pending().await
}

/// Accepts callers until `stop` is requested.
async fn accept_callers(
    gateway: Arc<Gateway>,
    listener: &ClosableListener,
    stop: &ServerStop,
    graceful: &GracefulShutdown,
) {
    let Some(listener) = lock(listener).clone() else {
        return;
    };
    let max_connections = gateway
        .settings
        .machine
        .max_fds
        .saturating_sub(RESERVED_FDS);
    let connections = Arc::new(Semaphore::new(max_connections.max(MIN_CONNECTIONS) as usize));
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            () = stop.requested() => return,
        };
        // Above the connection limit, or if the caller has disconnected already, the connection is
        // closed.
        let Ok(permit) = connections.clone().try_acquire_owned() else {
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let limits = gateway.site().and_then(|site| site.site().limits);
        let idle_ms = limits.map_or(DEFAULT_IDLE_TIMEOUT_MS, |l| l.idle_timeout_ms);
        let connection = CallerServer {
            gateway: gateway.clone(),
            idle_timeout: Duration::from_millis(idle_ms),
            permit,
        };
        let caller = Arc::new(CallerConnection::default());
        let io = CallerIo::new(stream, caller.clone(), gateway.clock.clone());
        if io.limit_send_buffer().is_ok() {
            connection.spawn(io, caller, graceful);
        }
    }
}

/// What is needed to serve a connection of a caller.
struct CallerServer {
    gateway: Arc<Gateway>,
    idle_timeout: Duration,
    permit: OwnedSemaphorePermit,
}

impl CallerServer {
    /// Spawns the task that serves the connection until the caller disconnects or `caller` is ended.
    fn spawn(self, io: CallerIo, caller: Arc<CallerConnection>, graceful: &GracefulShutdown) {
        let Self {
            gateway,
            idle_timeout,
            permit,
        } = self;
        let of_requests = caller.clone();
        let service = service_fn(move |mut request: Request<Incoming>| {
            let gateway = gateway.clone();
            request.extensions_mut().insert(of_requests.clone());
            async move {
                let answer = pipeline::handle(gateway.clone(), request);
                Ok::<_, Infallible>(answer_or_fail(&gateway, "caller", answer).await)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle_timeout)
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .serve_connection(TokioIo::new(io), service);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            tokio::select! {
                // An error means that the caller has disconnected, so there is nobody to report it to.
                _ignored = watched => {}
                () = caller.ended() => {}
            }
            drop(permit);
        });
    }
}

/// Returns the next connection, retrying after errors.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Serves other boxes until `stop` is requested, and then ends their connections behind their answers.
pub async fn serve_peers(gateway: Arc<Gateway>, listener: Arc<TcpListener>, stop: ServerStop) {
    let graceful = GracefulShutdown::new();
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            () = stop.requested() => break,
        };
        let gateway = gateway.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let gateway = gateway.clone();
            async move {
                let answer = handle_peer_request(gateway.clone(), request);
                Ok::<_, Infallible>(answer_or_fail(&gateway, "peer", answer).await)
            }
        });
        let _ignored = stream.set_nodelay(true);
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            let _ignored = connection.await;
        });
    }
    stop.end(graceful).await;
    future::pending().await
}

/// Answers a request, also if its handling panics. It may have run then.
async fn answer_or_fail(
    gateway: &Gateway,
    party: &'static str,
    answer: impl Future<Output = Response<ResponseBody>>,
) -> Response<ResponseBody> {
    let answered = AssertUnwindSafe(answer).catch_unwind().await;
    answered.unwrap_or_else(|panic| {
        let panics = &gateway.metrics.request_panics;
        panics.with_label_values(&[party]).inc();
        let detail = json!({"party": party, "cause": panic_message(&*panic)});
        gateway.log.line("request_panicked", detail);
        ErrorReason::Internal.into_response(false)
    })
}

async fn handle_peer_request(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    if gateway.stopping_for_ms().is_some() {
        return status_only(StatusCode::SERVICE_UNAVAILABLE);
    }
    let path = request.uri().path().to_owned();
    match path.as_str() {
        handover::HANDOVER_PATH => handover::handle(gateway, request).await,
        path_check::PROBE_PATH => path_check::handle(&gateway, request).await,
        reports::REPORT_PATH => reports::handle(&gateway, request).await,
        join::JOIN_PATH => join::handle(&gateway, request).await,
        follow::FOLLOW_PATH => follow::handle(&gateway, request.uri().query()).await,
        _ => status_only(StatusCode::NOT_FOUND),
    }
}

/// Serves readiness checks or metrics: `handler` returns status and text for a path.
pub async fn serve_text(
    listener: Arc<TcpListener>,
    handler: impl Fn(&str) -> (StatusCode, String) + Clone + Send + 'static,
) {
    let connections = Arc::new(Semaphore::new(MAX_TEXT_CONNECTIONS));
    loop {
        let stream = accept(&listener).await;
        let Ok(permit) = connections.clone().try_acquire_owned() else {
            continue;
        };
        let handler = handler.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let (status, text) = handler(request.uri().path());
            async move { Ok::<_, Infallible>(plain_text(status, text)) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(TEXT_IDLE_TIMEOUT)
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            let _ignored = connection.await;
            drop(permit);
        });
    }
}

/// Binds an address with `SO_REUSEADDR`, so that a restarted process can bind it immediately.
///
/// # Errors
///
/// When the address is in use, is not an address of this host, or is not IPv4.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(LISTEN_BACKLOG)
}
