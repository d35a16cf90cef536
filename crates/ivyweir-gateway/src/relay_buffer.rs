//! Bytes held on behalf of slow callers and upstreams, and the connections of callers that are ended for them.

use std::collections::HashMap;
use std::fmt;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::Poll;

use bytes::Bytes;
use hyper::body::{Body, Frame};
use ivyweir_policy::gateway::relay_buffer::{
    BufferLedger, BufferLimits, EndedReader, ReaderId, ReaderLimits, Room,
};
use prometheus::IntCounterVec;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::caller_io::CallerConnection;
use crate::clock::Clock;
use crate::log::Log;
use crate::mutex::lock;

/// Bytes that count for each delivery besides its own: its entries in the queue, in the ledger and on the heap. Estimated
/// from the sizes of these types; events of 100 bytes are smaller than this.
const DELIVERY_OVERHEAD_BYTES: u64 = 256;

/// Result of reading a body.
pub enum BodyRead<B: Body> {
    /// A frame, or the error with which the body broke off.
    Frame(Result<Frame<B::Data>, B::Error>),
    /// The body is complete.
    End,
    /// There is no room for a frame, which stays where it is.
    NoRoom,
}

impl<B: Body> From<Option<Result<Frame<B::Data>, B::Error>>> for BodyRead<B> {
    fn from(frame: Option<Result<Frame<B::Data>, B::Error>>) -> Self {
        frame.map_or(Self::End, Self::Frame)
    }
}

/// Bytes held by a box.
#[derive(Debug, Clone, Copy)]
pub struct HeldFigures {
    /// Held now.
    pub held_bytes: u64,
    /// The largest number so far.
    pub peak_bytes: u64,
    /// From this number on, slow readers are ended.
    pub limit_bytes: u64,
}

/// Bytes held by this box, and their readers.
pub struct RelayBuffers {
    state: Mutex<State>,
    reads_ahead: bool,
    clock: Clock,
    log: Log,
    ended: IntCounterVec,
    /// Notified when bytes were freed while the total was used up.
    room: Notify,
}

struct State {
    ledger: BufferLedger,
    readers: HashMap<ReaderId, Arc<Reader>>,
}

impl State {
    /// Records the progress of all callers.
    fn record_writes(&mut self) {
        for (id, reader) in &self.readers {
            if let Some(caller) = &reader.caller {
                self.ledger.record_write(*id, caller.last_write_ms());
            }
        }
    }
}

/// A reader of held bytes.
struct Reader {
    request_id: Option<Arc<str>>,
    /// The caller's connection; `None` in a request body, which is read by an upstream.
    caller: Option<Arc<CallerConnection>>,
    /// Notified when bytes of this reader were written.
    released: Notify,
    ended: Notify,
}

impl RelayBuffers {
    /// Creates the accounting of a box with this much memory; `ended` counts ended readers by reason. A box that reads
    /// streams ahead of their callers ends those that read nothing.
    pub fn new(
        memory_mb: u64,
        reads_ahead: bool,
        clock: Clock,
        log: Log,
        ended: IntCounterVec,
    ) -> Self {
        let limits = if reads_ahead {
            BufferLimits::for_memory(memory_mb)
        } else {
            BufferLimits::without_read_ahead(memory_mb)
        };
        let ledger = BufferLedger::new(limits);
        Self {
            state: Mutex::new(State {
                ledger,
                readers: HashMap::new(),
            }),
            reads_ahead,
            clock,
            log,
            ended,
            room: Notify::new(),
        }
    }

    /// Opens a buffer for an answer to `caller`.
    pub fn open(
        self: &Arc<Self>,
        limits: ReaderLimits,
        caller: Option<Arc<CallerConnection>>,
        request_id: Option<Arc<str>>,
    ) -> RelayBuffer {
        self.open_as(caller, request_id, |ledger| ledger.open(limits))
    }

    /// Opens a buffer for a request body that begins to arrive.
    pub fn open_body(self: &Arc<Self>, request_id: Option<Arc<str>>) -> RelayBuffer {
        let now_ms = self.clock.now_ms();
        self.open_as(None, request_id, |ledger| ledger.open_body(now_ms))
    }

    fn open_as(
        self: &Arc<Self>,
        caller: Option<Arc<CallerConnection>>,
        request_id: Option<Arc<str>>,
        open: impl FnOnce(&mut BufferLedger) -> ReaderId,
    ) -> RelayBuffer {
        let reader = Arc::new(Reader {
            request_id,
            caller,
            released: Notify::new(),
            ended: Notify::new(),
        });
        let mut state = self.lock();
        let id = open(&mut state.ledger);
        state.readers.insert(id, reader.clone());
        RelayBuffer {
            buffers: self.clone(),
            id,
            reader,
        }
    }

    /// Ends slow readers if a new request may not start otherwise, and returns whether it may.
    pub fn make_room_to_start(&self) -> bool {
        let mut state = self.lock();
        if state.ledger.may_start() {
            return true;
        }
        let now_ms = self.clock.now_ms();
        state.record_writes();
        state.ledger.record_running(now_ms);
        let ended = state.ledger.make_room_to_start(now_ms);
        let may_start = state.ledger.may_start();
        drop(state);
        self.end_all(&ended);
        may_start
    }

    /// Ends readers that read nothing, and slow ones if the total is used up. Called periodically.
    pub fn sweep(&self) {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        state.record_writes();
        let State { ledger, readers } = &mut *state;
        readers.retain(|id, _| ledger.contains(*id));
        ledger.record_running(now_ms);
        let idle = if self.reads_ahead {
            ledger.end_idle(now_ms)
        } else {
            // Such a caller holds back its own stream, and little is held for it.
            Vec::new()
        };
        drop(state);
        self.end_all(&idle);
        self.relieve();
    }

    /// Returns the bytes held by the box.
    pub fn figures(&self) -> HeldFigures {
        self.with_ledger(|ledger| HeldFigures {
            held_bytes: ledger.total_bytes(),
            peak_bytes: ledger.peak_bytes(),
            limit_bytes: ledger.limits().total_bytes,
        })
    }

    /// Ends slow readers if the total is used up. Looks through all readers, so it is not called for each change.
    fn relieve(&self) {
        let mut state = self.lock();
        if !state.ledger.is_used_up() {
            return;
        }
        let now_ms = self.clock.now_ms();
        state.ledger.record_running(now_ms);
        let ended = state.ledger.relieve(now_ms);
        drop(state);
        self.end_all(&ended);
    }

    fn end_all(&self, ended: &[EndedReader]) {
        if !ended.is_empty() {
            // There will be room, which decides whether bodies that wait for it are refused.
            self.room.notify_waiters();
        }
        for figures in ended {
            let reader = self.lock().readers.get(&figures.id).cloned();
            let Some(reader) = reader else { continue };
            let reason = figures.reason.name();
            self.ended.with_label_values(&[reason]).inc();
            let detail = json!({
                "request_id": reader.request_id, "reason": reason,
                "held_bytes": figures.held_bytes, "oldest_unread_ms": figures.oldest_unread_ms,
                "idle_ms": figures.idle_ms, "total_bytes": figures.total_bytes,
            });
            self.log.line("slow_reader_ended", detail);
            reader.ended.notify_one();
            if let Some(caller) = &reader.caller {
                caller.end();
            }
        }
    }

    fn release(&self, id: ReaderId, bytes: u64) {
        let mut state = self.lock();
        let was_short = state.ledger.is_short();
        state.ledger.release(id, bytes);
        if let Some(reader) = state.readers.get(&id) {
            reader.released.notify_one();
        }
        if !state.ledger.contains(id) {
            state.readers.remove(&id);
        }
        drop(state);
        if was_short {
            self.room.notify_waiters();
        }
    }

    /// Changes the bytes that a caller cannot read yet, and notifies those that wait for room if the total is short:
    /// there may be room for more readers, or for another one.
    fn change_incoming(&self, change: impl FnOnce(&mut BufferLedger)) {
        let is_notified = self.with_ledger(|ledger| {
            let was_short = ledger.is_short();
            let (total, oldest) = (ledger.total_bytes(), ledger.oldest_incomplete());
            change(ledger);
            let has_changed = ledger.total_bytes() < total || ledger.oldest_incomplete() != oldest;
            was_short && has_changed
        });
        if is_notified {
            self.room.notify_waiters();
        }
    }

    fn with_ledger<T>(&self, change: impl FnOnce(&mut BufferLedger) -> T) -> T {
        change(&mut self.lock().ledger)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

/// Buffer of one answer or request body. Bytes that were not delivered are freed when it is dropped.
pub struct RelayBuffer {
    buffers: Arc<RelayBuffers>,
    id: ReaderId,
    reader: Arc<Reader>,
}

impl RelayBuffer {
    /// Counts received bytes.
    pub fn receive(&self, bytes: usize) {
        self.buffers
            .with_ledger(|ledger| ledger.receive(self.id, bytes as u64));
    }

    /// Reads the next frame of a body, if there is room in total for it. Room is checked when the frame has arrived, since a frame of each of many bodies may arrive long after there was room for one. The total is
    /// exceeded by one frame, and by the oldest incomplete answer, at most.
    pub async fn next_frame<B: Body + Unpin>(&self, body: &mut B) -> BodyRead<B> {
        poll_fn(|cx| {
            if self.has_room() {
                Pin::new(&mut *body).poll_frame(cx).map(BodyRead::from)
            } else {
                Poll::Ready(BodyRead::NoRoom)
            }
        })
        .await
    }

    /// Makes received bytes readable for the caller. They count until the returned bytes are dropped.
    pub fn deliver(&self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        let counted = bytes.len() as u64 + DELIVERY_OVERHEAD_BYTES;
        let now_ms = self.buffers.clock.now_ms();
        self.buffers.change_incoming(|ledger| {
            ledger.receive(self.id, DELIVERY_OVERHEAD_BYTES);
            ledger.deliver(self.id, counted, now_ms);
        });
        Bytes::from_owner(DeliveredBytes {
            bytes,
            counted,
            buffers: self.buffers.clone(),
            id: self.id,
        })
    }

    /// Counts the bytes of a whole request body until the returned bytes and all their clones are dropped.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        self.buffers
            .with_ledger(|ledger| ledger.complete_body(self.id));
        Bytes::from_owner(HeldBytes {
            bytes,
            _buffer: self,
        })
    }

    /// Frees received bytes that are not delivered.
    pub fn discard(&self, bytes: usize) {
        self.buffers
            .change_incoming(|ledger| ledger.discard(self.id, bytes as u64));
    }

    /// Waits until more of a stream may be read. While the stream's own caller must read first, the wait is bounded by the
    /// time after which a caller that reads nothing is ended, and not by the deadline.
    ///
    /// # Errors
    ///
    /// Fails if a single event fills the buffer, as nothing would free it, or if the total is used up at the deadline.
    pub async fn wait_for_stream_room(&self, deadline: Instant) -> Result<(), NoStreamRoom> {
        loop {
            let room = self.buffers.room.notified();
            match self.buffers.with_ledger(|ledger| ledger.room(self.id)) {
                Room::Free => return Ok(()),
                Room::RequestFull if self.is_clogged() => return Err(NoStreamRoom::OversizedEvent),
                Room::RequestFull => self.reader.released.notified().await,
                Room::TotalFull => {
                    let change = timeout_at(deadline, room).await;
                    change.map_err(|_| NoStreamRoom::DeadlineExceeded)?;
                }
            }
        }
    }

    /// Waits until there is room in total for more of a plain answer, whose own size is limited elsewhere.
    pub async fn wait_for_room(&self) {
        loop {
            let room = self.buffers.room.notified();
            if self.has_room() {
                return;
            }
            room.await;
        }
    }

    /// Waits until there is room in total for more of a request body; returns whether there will be any. There will not
    /// if what bodies may use up is held for readers that keep up.
    pub async fn wait_for_room_if_any(&self) -> bool {
        tokio::select! {
            biased;
            () = self.wait_for_room() => true,
            () = self.wait_until_refused() => false,
        }
    }

    async fn wait_until_refused(&self) {
        loop {
            let change = self.buffers.room.notified();
            if !self.buffers.make_room_to_start() {
                return;
            }
            change.await;
        }
    }

    /// Resolves when the reader is ended as too slow.
    pub async fn ended(&self) {
        self.reader.ended.notified().await;
    }

    fn has_room(&self) -> bool {
        self.buffers.with_ledger(|ledger| ledger.has_room(self.id))
    }

    fn is_clogged(&self) -> bool {
        self.buffers
            .with_ledger(|ledger| ledger.is_clogged(self.id))
    }
}

impl fmt::Debug for RelayBuffer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("RelayBuffer").field(&self.id).finish()
    }
}

impl Drop for RelayBuffer {
    fn drop(&mut self) {
        self.buffers.change_incoming(|ledger| ledger.close(self.id));
        let mut state = self.buffers.lock();
        if !state.ledger.contains(self.id) {
            state.readers.remove(&self.id);
        }
    }
}

/// Why no more of a stream can be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoStreamRoom {
    /// An event is larger than the buffer of a stream.
    OversizedEvent,
    /// The total was used up until the deadline.
    DeadlineExceeded,
}

/// Bytes on their way to the caller. The HTTP server drops them once they are written to the caller's socket.
struct DeliveredBytes {
    bytes: Bytes,
    counted: u64,
    buffers: Arc<RelayBuffers>,
    id: ReaderId,
}

impl AsRef<[u8]> for DeliveredBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for DeliveredBytes {
    fn drop(&mut self) {
        self.buffers.release(self.id, self.counted);
    }
}

/// A request body, which counts as long as the request or a connection to an upstream needs it.
struct HeldBytes {
    bytes: Bytes,
    _buffer: RelayBuffer,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
