//! Reads a stream ahead of its caller, into a bounded buffer.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc::{self, UnboundedSender};

use super::{Stream, UnframedAnswer, write_before_error};
use crate::relay_buffer::{NoStreamRoom, RelayBuffer};
use crate::response::ResponseBody;
use crate::state::ActiveRequest;

/// Size up to which events are copied when they are queued. Received bytes are a slice of the HTTP client's read buffer
/// of at least 8 KB, all of which stays allocated as long as the slice does, but does not count.
const MAX_COPIED_BYTES: usize = 8 << 10;

/// What the relay task passes on to the caller's connection.
enum Relayed {
    Frame(Result<Frame<Bytes>, io::Error>),
    /// The stream is complete.
    End,
}

/// Spawns a task that reads the stream as it arrives, and returns the body that the caller's connection drains. The
/// queue between them is bounded by `buffer`. The request is active until the body ends, so that a box that stops
/// delivers what it holds.
pub(super) fn relay_ahead(
    stream: Stream,
    buffer: Arc<RelayBuffer>,
    active: ActiveRequest,
    unframed: UnframedAnswer,
) -> ResponseBody {
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(run(stream, buffer, sender));
    let frames = unfold(
        (receiver, active, unframed, false),
        |(mut receiver, active, unframed, has_failed)| async move {
            if has_failed {
                return None;
            }
            let frame = match receiver.recv().await {
                Some(Relayed::End) => {
                    unframed.complete();
                    return None;
                }
                Some(Relayed::Frame(frame)) => frame,
                // The task ended without the end of the stream, which must not look complete.
                None => Err(io::Error::other("stream ended early")),
            };
            let has_failed = frame.is_err();
            if has_failed {
                write_before_error().await;
            }
            Some((frame, (receiver, active, unframed, has_failed)))
        },
    );
    StreamBody::new(Box::pin(frames)).boxed_unsync()
}

/// Relays the stream until it ends, its caller leaves, or its caller is ended as too slow. In the latter cases the
/// request at the upstream is cancelled at once.
async fn run(mut stream: Stream, buffer: Arc<RelayBuffer>, caller: UnboundedSender<Relayed>) {
    let relaying = async {
        while let Some(frame) = stream.next().await {
            if caller.send(Relayed::Frame(frame)).is_err() {
                return;
            }
        }
        // Fails only if the caller has left.
        let _ignored = caller.send(Relayed::End);
    };
    tokio::select! {
        biased;
        () = caller.closed() => {}
        () = buffer.ended() => {}
        () = relaying => {}
    }
}

impl Stream {
    /// Waits until the buffer has room. The wait is due to callers, so it does not count as a stall of the upstream, and
    /// it extends the deadline: the upstream may have sent all of the stream in time.
    ///
    /// # Errors
    ///
    /// Fails with the reason for which the stream is aborted.
    pub(super) async fn wait_for_room(&mut self) -> Result<(), &'static str> {
        let clock = &self.gateway.clock;
        let since_ms = clock.now_ms();
        let deadline = clock.instant(self.read_deadline_ms());
        match self.buffer.wait_for_stream_room(deadline).await {
            Ok(()) => {}
            Err(NoStreamRoom::OversizedEvent) => return Err("event exceeds the buffer"),
            Err(NoStreamRoom::DeadlineExceeded) => return Err("deadline exceeded"),
        }
        let paused_ms = clock.now_ms().saturating_sub(since_ms);
        if paused_ms > 0 {
            self.source.last_read_ms += paused_ms;
            self.paused_ms += paused_ms;
            if self.position.events() > 0 {
                self.last_event_ms += paused_ms;
            }
        }
        Ok(())
    }

    /// Time until which the upstream may send, which was not read while the buffer had no room.
    pub(super) fn read_deadline_ms(&self) -> u64 {
        self.job.deadline_ms + self.paused_ms
    }

    /// Makes received bytes readable for the caller.
    pub(super) fn deliver(&self, bytes: Bytes) -> Bytes {
        let is_queued = self.gateway.features.reads_ahead;
        if is_queued && bytes.len() <= MAX_COPIED_BYTES {
            return self.buffer.deliver(Bytes::copy_from_slice(&bytes));
        }
        self.buffer.deliver(bytes)
    }
}
