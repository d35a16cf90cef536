//! Requests for a pool whose upstreams all back off: which of them wait, and when callers of the others should retry.

use std::collections::BTreeSet;

/// Callers honour a retry time up to their remaining time divided by this. A caller that is told a longer time retries
/// before it and has then used up its retry.
const HONOURED_DIVISOR: u64 = 3;
/// Ranks whose retries follow one after the other.
const RANKS: u64 = 3;
/// The retries of all ranks are spread over the back-off time divided by this.
const RETRY_SPAN_DIVISOR: u64 = 2;
/// Lower bound of that span: within it, about 20 requests per second of one box arrive at different times.
const MIN_RETRY_SPAN_MS: u64 = 150;

/// Time after which a caller should retry on a pool that backs off for `for_ms`: not before that time, the first rank
/// first, and spread over a span within a rank. `seed` differs between requests.
pub fn spread_retry_after_ms(for_ms: u64, rank: u8, seed: u64) -> u64 {
    let span_ms = (for_ms / RETRY_SPAN_DIVISOR).max(MIN_RETRY_SPAN_MS) / RANKS;
    let rank = u64::from(rank).min(RANKS - 1);
    for_ms + rank * span_ms + seed % span_ms
}

/// A request that no upstream accepts now.
#[derive(Debug, Clone, Copy)]
pub struct BlockedRequest {
    /// Time until the first upstream accepts a request.
    pub for_ms: u64,
    /// Time until the request's answer is late.
    pub to_target_ms: u64,
    /// Time until the request's deadline.
    pub to_deadline_ms: u64,
    /// Estimated time from sending the request to the start of its answer.
    pub prefill_ms: u64,
    /// Requests queued before it.
    pub ahead: u32,
}

impl BlockedRequest {
    /// Whether the request should wait; otherwise it is refused at once. `capacity_within` returns how many of this
    /// box's requests the upstreams accept within a time.
    ///
    /// The request waits if its answer can still be in time. If it cannot, a caller that would honour the retry time
    /// is better served by a refusal, since other boxes may have other back-off times. If the caller would retry too
    /// early, the request waits as long as it can be served before its deadline.
    pub fn should_wait(&self, capacity_within: impl Fn(u64) -> u32) -> bool {
        let fits = |limit_ms: u64| {
            let within_ms = limit_ms.saturating_sub(self.prefill_ms);
            self.for_ms <= within_ms && self.ahead < capacity_within(within_ms)
        };
        let honours_retry = self.for_ms <= self.to_deadline_ms / HONOURED_DIVISOR;
        fits(self.to_target_ms) || (!honours_retry && fits(self.to_deadline_ms))
    }
}

/// A request's position in a queue: by rank, and within a rank by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    rank: u8,
    arrived_ms: u64,
    number: u64,
}

/// Waiting requests of a pool.
#[derive(Debug, Default)]
pub struct Queue {
    tickets: BTreeSet<Ticket>,
    issued: u64,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, rank: u8, arrived_ms: u64) -> Ticket {
        self.issued += 1;
        let ticket = Ticket {
            rank,
            arrived_ms,
            number: self.issued,
        };
        self.tickets.insert(ticket);
        ticket
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: Ticket) {
        self.tickets.remove(&ticket);
    }

    /// Number of requests queued before this one.
    pub fn ahead_of(&self, ticket: Ticket) -> u32 {
        let ahead = self.tickets.range(..ticket).count();
        u32::try_from(ahead).unwrap_or(u32::MAX)
    }

    /// Number of requests that would be queued before a new one.
    pub fn ahead_of_new(&self, rank: u8, arrived_ms: u64) -> u32 {
        self.ahead_of(Ticket {
            rank,
            arrived_ms,
            number: u64::MAX,
        })
    }

    /// Number of waiting requests.
    pub fn len(&self) -> u32 {
        u32::try_from(self.tickets.len()).unwrap_or(u32::MAX)
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }
}
