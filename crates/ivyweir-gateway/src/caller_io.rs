//! Sockets of callers.
//!
//! A caller's progress is seen as writes to its socket. One that reads less than its kernel needs to accept more data
//! cannot be told from one that reads nothing.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::clock::Clock;

/// Send buffer of a caller's socket in the kernel, which holds bytes that no longer count as held by the box. Without a
/// limit, the kernel extends it to megabytes for a caller that does not read. The kernel doubles the value, so 620
/// connections hold 20 MB there at most.
const SEND_BUFFER_BYTES: usize = 16 << 10;

/// State of a caller's connection that is shared with the buffers of its answers.
#[derive(Debug, Default)]
pub struct CallerConnection {
    last_write_ms: AtomicU64,
    is_ended: AtomicBool,
    ended: Notify,
    /// Whether the caller would take the end of the connection for the end of its answer, which is not complete.
    is_unframed: AtomicBool,
}

impl CallerConnection {
    /// Ends the connection. Its reader may block the HTTP server, so this does not go through the answer's body.
    pub fn end(&self) {
        self.is_ended.store(true, Ordering::Relaxed);
        self.ended.notify_one();
    }

    /// Records that the answer is framed by the connection alone. Until it is complete, the end of the connection is a
    /// reset, also if this process is killed.
    pub fn begin_unframed(&self) {
        self.is_unframed.store(true, Ordering::Relaxed);
    }

    /// Records that such an answer is complete.
    pub fn complete_unframed(&self) {
        self.is_unframed.store(false, Ordering::Relaxed);
    }

    /// Time at which bytes were last written to the socket; 0 if none were.
    pub fn last_write_ms(&self) -> u64 {
        self.last_write_ms.load(Ordering::Relaxed)
    }

    /// Resolves when the connection is ended.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }
}

/// A caller's socket that records when bytes are written to it, and resets an answer that breaks off where nothing else
/// would show that.
pub struct CallerIo {
    stream: TcpStream,
    connection: Arc<CallerConnection>,
    clock: Clock,
    /// Whether the kernel resets the connection when the socket is closed.
    resets: bool,
}

impl CallerIo {
    /// Wraps a socket.
    pub fn new(stream: TcpStream, connection: Arc<CallerConnection>, clock: Clock) -> Self {
        Self {
            stream,
            connection,
            clock,
            resets: false,
        }
    }

    /// Limits the socket's send buffer.
    ///
    /// # Errors
    ///
    /// Fails if the socket's option cannot be set, as the caller has disconnected already.
    pub fn limit_send_buffer(&self) -> io::Result<()> {
        SockRef::from(&self.stream).set_send_buffer_size(SEND_BUFFER_BYTES)
    }

    /// Lets the kernel reset the connection when the socket is closed, or not.
    fn set_reset(&mut self, resets: bool) {
        if std::mem::replace(&mut self.resets, resets) != resets {
            let linger = resets.then_some(Duration::ZERO);
            // Fails only if the caller has disconnected already.
            let _ignored = SockRef::from(&self.stream).set_linger(linger);
        }
    }

    /// Prepares the socket for bytes of an answer that the connection alone frames.
    fn prepare_write(&mut self) {
        if self.connection.is_unframed.load(Ordering::Relaxed) {
            self.set_reset(true);
        }
    }

    fn record(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(1..)) = written {
            let now_ms = self.clock.now_ms();
            let last_write_ms = &self.connection.last_write_ms;
            last_write_ms.store(now_ms, Ordering::Relaxed);
        }
    }
}

impl Drop for CallerIo {
    fn drop(&mut self) {
        if self.connection.is_ended.load(Ordering::Relaxed) {
            // Resets the connection: the kernel frees its send buffer at once, and an answer whose end is marked only
            // by the end of the connection does not look complete. Without the option, the buffer lingers.
            self.set_reset(true);
        }
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write();
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write();
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record(&written);
        written
    }

    /// Without vectored writes, the HTTP server would copy the bytes and drop them before they are written.
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP server shuts a connection down only behind a complete answer.
        let is_unframed = self.connection.is_unframed.load(Ordering::Relaxed);
        self.set_reset(is_unframed);
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
