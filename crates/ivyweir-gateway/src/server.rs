//! Listens for callers, other boxes, the balancer and readers of metrics.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::sleep;

use crate::answer::{AnswerBody, bare, plain};
use crate::state::Gateway;
use crate::{follow, join, pipeline, words};

/// Idle time of a caller's connection before a configuration tells it.
const IDLE_DEFAULT_MS: u64 = 15_000;
/// Bytes of a connection's read buffer; heads are at most this long.
const MAX_BUF_BYTES: usize = 32 << 10;
/// Descriptors kept for files, connections to upstreams and the store.
const RESERVED_FDS: u64 = 1_200;
const MIN_CONNECTIONS: u64 = 256;
/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Accepts callers until told to stop, then lets their requests end.
pub async fn serve_callers(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let room = gateway
        .settings
        .machine
        .max_fds
        .saturating_sub(RESERVED_FDS);
    let connections = Arc::new(Semaphore::new(room.max(MIN_CONNECTIONS) as usize));
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            _ = stop.changed() => break,
        };
        // Where there is no room, or the caller has left already, the connection is closed.
        let Ok(permit) = connections.clone().try_acquire_owned() else {
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let limits = gateway.site().and_then(|site| site.site().limits);
        let idle_ms = limits.map_or(IDLE_DEFAULT_MS, |l| l.idle_timeout_ms);
        let gateway = gateway.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let gateway = gateway.clone();
            async move { Ok::<_, Infallible>(pipeline::handle(gateway, request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(idle_ms))
            .max_buf_size(MAX_BUF_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            // A caller that leaves ends its own request; there is nobody to tell.
            let _caller_left = watched.await;
            drop(permit);
        });
    }
    graceful.shutdown().await;
}

/// The next connection; one that could not be accepted is passed over.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Answers other boxes.
pub async fn serve_peers(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let gateway = gateway.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let gateway = gateway.clone();
            async move { Ok::<_, Infallible>(answer_box(gateway, request).await) }
        });
        let _best_effort = stream.set_nodelay(true);
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            let _box_left = connection.await;
        });
    }
}

async fn answer_box(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    if gateway.stopping_for_ms().is_some() {
        return bare(StatusCode::SERVICE_UNAVAILABLE);
    }
    let path = request.uri().path().to_owned();
    match path.as_str() {
        words::WORD_PATH => words::answer(&gateway, request).await,
        join::JOIN_PATH => join::answer(&gateway, request).await,
        follow::FOLLOW_PATH => follow::answer(&gateway, request.uri().query()).await,
        _ => bare(StatusCode::NOT_FOUND),
    }
}

/// Answers the balancer, and readers of metrics, one short answer a request.
pub async fn serve_text(
    listener: TcpListener,
    answer: impl Fn(&str) -> (StatusCode, String) + Clone + Send + 'static,
) {
    loop {
        let stream = accept(&listener).await;
        let answer = answer.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let (status, text) = answer(request.uri().path());
            async move { Ok::<_, Infallible>(plain(status, text)) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            let _reader_left = connection.await;
        });
    }
}

/// Binds an address so that a process that is started again gets it at once.
///
/// # Errors
///
/// When the address is taken or not this host's.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}
