//! Accounting of the bytes that a box holds on behalf of slow callers and upstreams, and which readers are ended when
//! there are too many.
//!
//! Bytes count from their receipt until they are written to the caller's socket. Bytes that the caller cannot read yet
//! (a request body, an event or an answer that is not complete) count too, but do not make its reader slow.

mod limits;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub use limits::{BufferLimits, ReaderLimits};

/// Longest time between two calls of `record_running` while the box runs: four intervals of its sweep. After a longer one,
/// callers may have been unable to read because the box wrote nothing.
const MAX_RUNNING_GAP_MS: u64 = 1_000;

/// Time for which a request body may arrive even if other requests need its memory. Callers take an attempt whose body was
/// not read for so long to have failed.
const SLOW_BODY_AFTER_MS: u64 = 1_000;

/// Identifies a reader in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReaderId(u64);

/// Why a reader is ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// The total is used up, and the reader's oldest unread byte is the oldest.
    TotalUsedUp,
    /// The caller has read nothing for the time after which it is taken to have abandoned the answer.
    NothingRead,
    /// Requests cannot start for lack of memory, and the request body has been arriving for the longest time.
    SlowBody,
}

impl EndReason {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::TotalUsedUp => "total_used_up",
            Self::NothingRead => "nothing_read",
            Self::SlowBody => "slow_body",
        }
    }
}

/// A reader that must be ended, with the figures that decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedReader {
    /// The reader.
    pub id: ReaderId,
    /// Why it is ended.
    pub reason: EndReason,
    /// Bytes held for it.
    pub held_bytes: u64,
    /// Age of its oldest unread byte, without the time before the box last began to run.
    pub oldest_unread_ms: u64,
    /// Time since bytes were last written to its socket, or since its oldest unread byte arrived if that is later.
    pub idle_ms: u64,
    /// Bytes held in total, without those of readers that are being ended.
    pub total_bytes: u64,
}

/// Whether more bytes of a request may be received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// They may.
    Free,
    /// The request holds as much as one request may.
    RequestFull,
    /// All requests together hold as much as the box may.
    TotalFull,
}

#[derive(Debug)]
struct Reader {
    limits: ReaderLimits,
    /// Bytes that the caller cannot read yet.
    incoming: u64,
    /// Bytes that the caller can read, by time of arrival, oldest first.
    unread: VecDeque<(u64, u64)>,
    unread_bytes: u64,
    last_write_ms: u64,
    /// When a request body that has not arrived whole began to arrive.
    arriving_since_ms: Option<u64>,
    is_closed: bool,
    is_ended: bool,
}

impl Reader {
    fn held(&self) -> u64 {
        self.incoming + self.unread_bytes
    }

    fn oldest_unread_at(&self) -> Option<u64> {
        self.unread.front().map(|(at_ms, _)| *at_ms)
    }

    fn release(&mut self, bytes: u64) {
        let mut left = bytes.min(self.unread_bytes);
        self.unread_bytes -= left;
        while let Some((_, oldest)) = self.unread.front_mut() {
            if *oldest > left {
                *oldest -= left;
                return;
            }
            left -= *oldest;
            self.unread.pop_front();
        }
    }
}

/// Bytes held by request and in total.
#[derive(Debug)]
pub struct BufferLedger {
    limits: BufferLimits,
    readers: BTreeMap<ReaderId, Reader>,
    /// Answers with bytes that their callers cannot read yet.
    incomplete: BTreeSet<ReaderId>,
    next_id: u64,
    total: u64,
    /// Part of the total that callers can read.
    unread_total: u64,
    /// Part of the total held for readers that are being ended, whose bytes are about to be freed.
    ending: u64,
    peak: u64,
    /// Time from which on the box has run without an interruption.
    running_since_ms: u64,
    last_running_ms: u64,
}

impl BufferLedger {
    /// Creates a ledger that holds nothing.
    pub fn new(limits: BufferLimits) -> Self {
        Self {
            limits,
            readers: BTreeMap::new(),
            incomplete: BTreeSet::new(),
            next_id: 0,
            total: 0,
            unread_total: 0,
            ending: 0,
            peak: 0,
            running_since_ms: 0,
            last_running_ms: 0,
        }
    }

    /// Limits of the box.
    pub fn limits(&self) -> BufferLimits {
        self.limits
    }

    /// Bytes held in total.
    pub fn total_bytes(&self) -> u64 {
        self.total
    }

    /// Largest total so far.
    pub fn peak_bytes(&self) -> u64 {
        self.peak
    }

    /// Adds a reader for which nothing is held yet.
    pub fn open(&mut self, limits: ReaderLimits) -> ReaderId {
        let id = ReaderId(self.next_id);
        self.next_id += 1;
        let reader = Reader {
            limits,
            incoming: 0,
            unread: VecDeque::new(),
            unread_bytes: 0,
            last_write_ms: 0,
            arriving_since_ms: None,
            is_closed: false,
            is_ended: false,
        };
        self.readers.insert(id, reader);
        id
    }

    /// Adds a request body that begins to arrive.
    pub fn open_body(&mut self, now_ms: u64) -> ReaderId {
        let id = self.open(ReaderLimits::REQUEST_BODY);
        if let Some(reader) = self.readers.get_mut(&id) {
            reader.arriving_since_ms = Some(now_ms);
        }
        id
    }

    /// Records that a request body has arrived whole.
    pub fn complete_body(&mut self, id: ReaderId) {
        if let Some(reader) = self.readers.get_mut(&id) {
            reader.arriving_since_ms = None;
        }
    }

    /// Counts received bytes that the caller cannot read yet.
    pub fn receive(&mut self, id: ReaderId, bytes: u64) {
        let Some(reader) = self.readers.get_mut(&id) else {
            return;
        };
        reader.incoming += bytes;
        if !reader.limits.is_body() {
            self.incomplete.insert(id);
        }
        self.total += bytes;
        self.peak = self.peak.max(self.total);
        if reader.is_ended {
            self.ending += bytes;
        }
    }

    /// Makes received bytes readable for the caller.
    pub fn deliver(&mut self, id: ReaderId, bytes: u64, now_ms: u64) {
        if let Some(reader) = self.readers.get_mut(&id) {
            let bytes = bytes.min(reader.incoming);
            reader.incoming -= bytes;
            reader.unread_bytes += bytes;
            reader.unread.push_back((now_ms, bytes));
            self.unread_total += bytes;
            if reader.incoming == 0 {
                self.incomplete.remove(&id);
            }
        }
    }

    /// Frees received bytes that the caller will never read.
    pub fn discard(&mut self, id: ReaderId, bytes: u64) {
        if let Some(reader) = self.readers.get_mut(&id) {
            let bytes = bytes.min(reader.incoming);
            reader.incoming -= bytes;
            if reader.incoming == 0 {
                self.incomplete.remove(&id);
            }
            self.free(id, bytes);
        }
    }

    /// Frees readable bytes, oldest first, because they were written to the caller's socket or dropped.
    pub fn release(&mut self, id: ReaderId, bytes: u64) {
        if let Some(reader) = self.readers.get_mut(&id) {
            let bytes = bytes.min(reader.unread_bytes);
            reader.release(bytes);
            self.unread_total -= bytes;
            self.free(id, bytes);
        }
    }

    /// Records the time of the last write to the caller's socket.
    pub fn record_write(&mut self, id: ReaderId, at_ms: u64) {
        if let Some(reader) = self.readers.get_mut(&id) {
            reader.last_write_ms = reader.last_write_ms.max(at_ms);
        }
    }

    /// Records that the box runs, before readers are ended. Time in which it did not makes no reader slow.
    pub fn record_running(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.last_running_ms) > MAX_RUNNING_GAP_MS {
            self.running_since_ms = now_ms;
        }
        self.last_running_ms = now_ms;
    }

    /// Records that no more bytes are received for a reader. It is forgotten once its last byte was released.
    pub fn close(&mut self, id: ReaderId) {
        if let Some(reader) = self.readers.get_mut(&id) {
            let incoming = std::mem::take(&mut reader.incoming);
            reader.is_closed = true;
            self.incomplete.remove(&id);
            self.free(id, incoming);
        }
    }

    /// Whether the ledger has a reader, because it is open or bytes are held for it.
    pub fn contains(&self, id: ReaderId) -> bool {
        self.readers.contains_key(&id)
    }

    /// Whether the total is used up, so that bodies or answers may wait for room.
    pub fn is_short(&self) -> bool {
        self.total >= self.limits.body_bytes()
    }

    /// Returns the oldest answer with bytes that its caller cannot read yet.
    pub fn oldest_incomplete(&self) -> Option<ReaderId> {
        self.incomplete.first().copied()
    }

    /// Whether there is room in total for another byte of a request. Bodies leave a reserve to answers. Incomplete
    /// answers that use up the total would wait for each other, so the oldest of them may exceed it: by its own bytes,
    /// and by more only if there are no readable bytes whose release it could wait for.
    pub fn has_room(&self, id: ReaderId) -> bool {
        let Some(reader) = self.readers.get(&id) else {
            return self.total < self.limits.total_bytes;
        };
        if reader.limits.is_body() {
            return self.total < self.limits.body_bytes();
        }
        if self.total < self.limits.total_bytes {
            return true;
        }
        let others = self.total - reader.held();
        let may_exceed = others < self.limits.total_bytes || self.unread_total == 0;
        may_exceed && self.oldest_incomplete() == Some(id)
    }

    /// Whether there is room for a new request once the bytes of readers that are being ended are freed.
    pub fn may_start(&self) -> bool {
        self.total - self.ending < self.limits.body_bytes()
    }

    /// Whether the total is used up even once the bytes of readers that are being ended are freed.
    pub fn is_used_up(&self) -> bool {
        self.total - self.ending >= self.limits.total_bytes
    }

    /// Returns whether more bytes of a request may be received.
    pub fn room(&self, id: ReaderId) -> Room {
        let held = self.readers.get(&id).map_or(0, Reader::held);
        if held >= self.limits.request_bytes {
            Room::RequestFull
        } else if self.has_room(id) {
            Room::Free
        } else {
            Room::TotalFull
        }
    }

    /// Whether the bytes that a request's caller cannot read yet fill its limit, so that nothing would free them.
    pub fn is_clogged(&self, id: ReaderId) -> bool {
        let reader = self.readers.get(&id);
        reader.is_some_and(|r| r.unread_bytes == 0 && r.incoming >= self.limits.request_bytes)
    }

    /// Returns the readers to end until the total is no longer used up: slow ones only, those with the oldest unread
    /// byte first. Readers that keep up are never ended, so that may not suffice.
    pub fn relieve(&mut self, now_ms: u64) -> Vec<EndedReader> {
        self.end_slow_while(Self::is_used_up, now_ms)
    }

    /// Returns the readers to end until a new request may start: slow ones as `relieve` does, and then request bodies that
    /// have been arriving for too long, the oldest first. Their requests have not run.
    pub fn make_room_to_start(&mut self, now_ms: u64) -> Vec<EndedReader> {
        let mut ended = self.end_slow_while(|ledger| !ledger.may_start(), now_ms);
        while !self.may_start() {
            let Some(slowest) = self.slowest_body(now_ms) else {
                break;
            };
            ended.push(self.end(slowest, EndReason::SlowBody, now_ms));
        }
        ended
    }

    /// The request body that holds memory and has been arriving for the longest time, if that is too long.
    fn slowest_body(&self, now_ms: u64) -> Option<ReaderId> {
        let bodies = self
            .readers
            .iter()
            .filter(|(_, r)| !r.is_ended && r.incoming > 0);
        let slow = bodies.filter_map(|(id, r)| {
            let since_ms = r.arriving_since_ms?;
            let running_ms = now_ms.saturating_sub(since_ms.max(self.running_since_ms));
            (running_ms > SLOW_BODY_AFTER_MS).then_some((since_ms, *id))
        });
        slow.min().map(|(_, id)| id)
    }

    fn end_slow_while(&mut self, is_needed: fn(&Self) -> bool, now_ms: u64) -> Vec<EndedReader> {
        let mut ended = Vec::new();
        while is_needed(self) {
            let slow = self.readers.iter().filter(|(_, r)| !r.is_ended);
            let slow = slow.filter_map(|(id, r)| {
                let at_ms = r.oldest_unread_at()?;
                let unread_ms = now_ms.saturating_sub(at_ms.max(self.running_since_ms));
                let idle_ms = self.idle_ms(r, now_ms)?;
                // A caller that reads a large answer is slow only once it has had the time to read it.
                let is_slow = idle_ms > r.limits.slow_after_ms
                    || unread_ms > r.limits.slow_after_ms.max(r.limits.idle_timeout_ms);
                is_slow.then_some((at_ms, *id))
            });
            let Some((_, slowest)) = slow.min() else {
                break;
            };
            ended.push(self.end(slowest, EndReason::TotalUsedUp, now_ms));
        }
        ended
    }

    /// Returns the readers to end because their callers have read nothing for too long.
    pub fn end_idle(&mut self, now_ms: u64) -> Vec<EndedReader> {
        let idle = self.readers.iter().filter(|(_, r)| {
            let idle_ms = self.idle_ms(r, now_ms);
            !r.is_ended && idle_ms.is_some_and(|ms| ms > r.limits.idle_timeout_ms)
        });
        let idle: Vec<ReaderId> = idle.map(|(id, _)| *id).collect();
        let end = |id| self.end(id, EndReason::NothingRead, now_ms);
        idle.into_iter().map(end).collect()
    }

    fn end(&mut self, id: ReaderId, reason: EndReason, now_ms: u64) -> EndedReader {
        let total_bytes = self.total - self.ending;
        let reader = self.readers.get_mut(&id);
        let reader = reader.expect("invariant: only known readers are ended");
        reader.is_ended = true;
        self.ending += reader.held();
        let reader = &self.readers[&id];
        let oldest_at_ms = reader.oldest_unread_at().unwrap_or(now_ms);
        EndedReader {
            id,
            reason,
            held_bytes: reader.held(),
            oldest_unread_ms: now_ms.saturating_sub(oldest_at_ms.max(self.running_since_ms)),
            idle_ms: self.idle_ms(reader, now_ms).unwrap_or(0),
            total_bytes,
        }
    }

    /// Time since a reader with unread bytes made progress; `None` if it has read everything.
    fn idle_ms(&self, reader: &Reader, now_ms: u64) -> Option<u64> {
        let since_ms = reader.oldest_unread_at()?.max(reader.last_write_ms);
        Some(now_ms.saturating_sub(since_ms.max(self.running_since_ms)))
    }

    /// Subtracts bytes that the reader no longer counts, and forgets a closed reader that holds nothing.
    fn free(&mut self, id: ReaderId, bytes: u64) {
        self.total -= bytes;
        let Some(reader) = self.readers.get(&id) else {
            return;
        };
        if reader.is_ended {
            self.ending -= bytes;
        }
        if reader.is_closed && reader.held() == 0 {
            self.readers.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
