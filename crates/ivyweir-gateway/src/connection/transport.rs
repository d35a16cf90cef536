//! Byte stream of a connection, which can be taken over from one HTTP client by the next.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, Waker, ready};

use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A socket, and bytes that were received from it but not read.
#[derive(Debug)]
pub struct Transport {
    stream: TcpStream,
    received: Bytes,
    /// Whether writes are discarded.
    is_read_only: bool,
    /// Whether reads wait for the first write.
    is_held: bool,
    /// Reader that waits for the first write.
    held_reader: Option<Waker>,
    /// Whether the socket has not taken all that was last written.
    is_write_pending: bool,
}

impl Transport {
    /// A transport of a new socket.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            received: Bytes::new(),
            is_read_only: false,
            is_held: false,
            held_reader: None,
            is_write_pending: false,
        }
    }

    /// The same transport with `received` to be read first, and writes discarded. Nothing is read before the first write,
    /// since an HTTP client takes bytes that arrive before its request for an error.
    #[must_use]
    pub fn into_read_only(self, received: Bytes) -> Self {
        Self {
            received,
            is_read_only: true,
            is_held: true,
            ..self
        }
    }

    /// Whether the socket has not taken all that was last written.
    pub fn is_write_pending(&self) -> bool {
        self.is_write_pending
    }

    fn discard(&mut self, offered: usize) -> Poll<io::Result<usize>> {
        self.is_held = false;
        if let Some(reader) = self.held_reader.take() {
            reader.wake();
        }
        Poll::Ready(Ok(offered))
    }

    fn record_write(&mut self, result: &Poll<io::Result<usize>>, offered: usize) {
        self.is_write_pending = !matches!(result, Poll::Ready(Ok(taken)) if *taken == offered);
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_held {
            self.held_reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        if self.received.is_empty() {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        let count = self.received.len().min(buffer.remaining());
        buffer.put_slice(&self.received[..count]);
        self.received.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_read_only {
            return self.discard(bytes.len());
        }
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&result, bytes.len());
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let offered = slices.iter().map(|slice| slice.len()).sum();
        if self.is_read_only {
            return self.discard(offered);
        }
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(&result, offered);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.is_read_only {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
        }
        Poll::Ready(Ok(()))
    }
}
