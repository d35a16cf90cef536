//! Kept connections to upstreams and to the store.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response, header};
use hyper_util::rt::TokioIo;
use ivyweir_policy::Name;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time for a connection to come up; a lost opening packet is sent again after a second, so a new
/// try is sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which unacknowledged bytes end a connection.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Silence after which the other end is asked whether it lives, and the pause between such
/// questions.
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Time for which a connection is kept where the upstream names none.
const KEEP_DEFAULT_MS: u64 = 4_000;
/// Taken off the time that an upstream names, for bytes on the way.
const KEEP_MARGIN_MS: u64 = 700;
const KEEP_MIN_MS: u64 = 200;
/// Bytes of a connection's read buffer.
const MAX_BUF_BYTES: usize = 64 << 10;

/// Why a request brought no answer.
#[derive(Debug)]
pub enum SendError {
    /// No byte of it left.
    NotSent,
    /// It may have arrived.
    Lost(hyper::Error),
}

/// A connection on which one request at a time is sent.
#[derive(Debug)]
pub struct Channel {
    sender: SendRequest<Full<Bytes>>,
}

impl Channel {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// When the other end cannot be reached in time.
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        Self::open_within(addr, CONNECT_TIMEOUT).await
    }

    /// Opens a connection that comes up within `limit`.
    ///
    /// # Errors
    ///
    /// When the other end cannot be reached in time.
    pub async fn open_within(addr: SocketAddr, limit: Duration) -> io::Result<Self> {
        let late = || io::Error::new(io::ErrorKind::TimedOut, "no connection in time");
        let stream = timeout(limit, TcpStream::connect(addr))
            .await
            .map_err(|_| late())??;
        stream.set_nodelay(true)?;
        notice_silence(&stream)?;
        let (mut sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUF_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(async move {
            // The sender is told of every error that matters to a request.
            let _told_to_sender = connection.await;
        });
        // Until its task has run once, a connection looks as if it were in use.
        sender.ready().await.map_err(io::Error::other)?;
        Ok(Self { sender })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// When there is none; the error says whether the request may have arrived.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(answer) => Ok(answer),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::NotSent),
                None => Err(SendError::Lost(error.into_error())),
            },
        }
    }

    /// Whether the next request may be sent.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Makes the kernel end a connection whose other end is silent.
pub fn notice_silence(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_PAUSE);
    socket.set_tcp_keepalive(&keepalive)
}

#[derive(Debug)]
struct Idle {
    channel: Channel,
    until_ms: u64,
}

/// Idle connections by upstream incarnation.
#[derive(Debug, Default)]
pub struct Channels {
    idle: Mutex<HashMap<Name, Vec<Idle>>>,
}

impl Channels {
    /// Takes an idle connection, if one is fit for use.
    pub fn take(&self, upstream_id: &str, now_ms: u64) -> Option<Channel> {
        let mut idle = self.idle.lock().expect("invariant: no holder panics");
        let kept = idle.get_mut(upstream_id)?;
        kept.retain(|c| c.until_ms > now_ms && !c.channel.is_closed());
        let newest_ready = kept.iter().rposition(|c| c.channel.is_ready())?;
        Some(kept.swap_remove(newest_ready).channel)
    }

    /// Keeps a connection whose last answer was read to its end.
    pub fn keep(&self, upstream_id: &Name, channel: Channel, keep_ms: u64, now_ms: u64) {
        if channel.is_closed() {
            return;
        }

        let until_ms = now_ms + keep_ms;
        let mut idle = self.idle.lock().expect("invariant: no holder panics");
        let kept = idle.entry(upstream_id.clone()).or_default();
        kept.push(Idle { channel, until_ms });
    }

    /// Closes connections that are past their time or whose upstream is gone.
    pub fn sweep(&self, is_known: impl Fn(&str) -> bool, now_ms: u64) {
        let mut idle = self.idle.lock().expect("invariant: no holder panics");
        idle.retain(|id, kept| {
            kept.retain(|c| c.until_ms > now_ms && !c.channel.is_closed());
            !kept.is_empty() && is_known(id)
        });
    }
}

/// The time for which the sender of an answer keeps the connection; none where it closes it.
pub fn keep_time_ms(headers: &HeaderMap) -> Option<u64> {
    let closes = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"));
    if closes {
        return None;
    }
    let told = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let Some(told_s) = told.and_then(timeout_of) else {
        return Some(KEEP_DEFAULT_MS);
    };
    let told_ms = told_s * 1_000;
    let keep_ms = told_ms.saturating_sub(KEEP_MARGIN_MS);
    (keep_ms >= KEEP_MIN_MS).then_some(keep_ms)
}

fn timeout_of(keep_alive: &str) -> Option<u64> {
    let mut parameters = keep_alive.split(',').map(str::trim);
    parameters.find_map(|p| p.strip_prefix("timeout=")?.parse().ok())
}
