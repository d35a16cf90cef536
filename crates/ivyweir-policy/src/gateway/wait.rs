//! Requests for a pool of which all upstreams want nothing for now: which wait, and when callers of the others return.

use std::collections::BTreeSet;

/// Callers honour a time to come back up to this part of the time that they have left; one that is told a longer time
/// comes back before it, and has then used its repeat.
const HONOURED_PART: u64 = 3;
/// Ranks that come back one after the other.
const RANKS: u64 = 3;
/// Part of the time to wait over which callers of all ranks come back.
const RETURN_PART: u64 = 2;
/// The shortest span for that: within it some 20 of a box's requests a second come at different moments.
const RETURN_LEAST_MS: u64 = 150;

/// When a caller of a pool that wants nothing for `for_ms` should come back: not before that, those of the first rank
/// first, and those of a rank spread over a span. `seed` differs between requests.
pub fn come_back_ms(for_ms: u64, rank: u8, seed: u64) -> u64 {
    let span_ms = (for_ms / RETURN_PART).max(RETURN_LEAST_MS) / RANKS;
    let rank = u64::from(rank).min(RANKS - 1);
    for_ms + rank * span_ms + seed % span_ms
}

/// A request that no upstream takes now.
#[derive(Debug, Clone, Copy)]
pub struct Held {
    /// Time until the first upstream takes a request.
    pub for_ms: u64,
    /// Time until its answer is late.
    pub to_aim_ms: u64,
    /// Time until its caller gives up.
    pub to_deadline_ms: u64,
    /// What it takes of an upstream until its answer begins.
    pub read_ms: u64,
    /// Requests that wait before it.
    pub ahead: u32,
}

impl Held {
    /// Whether the request is to wait; else it is refused at once. `places_within` tells how many requests of this box
    /// upstreams take within a time.
    ///
    /// It waits where its answer can still be in time. Where it cannot, a caller that would honour the time to come
    /// back is better off with that: other boxes may have been told otherwise. One that would come back too early
    /// waits, if it can be served at all.
    pub fn waits(&self, places_within: impl Fn(u64) -> u32) -> bool {
        let fits = |limit_ms: u64| {
            let within_ms = limit_ms.saturating_sub(self.read_ms);
            self.for_ms <= within_ms && self.ahead < places_within(within_ms)
        };
        let comes_back = self.for_ms <= self.to_deadline_ms / HONOURED_PART;
        fits(self.to_aim_ms) || (!comes_back && fits(self.to_deadline_ms))
    }
}

/// A request's place in a queue: by rank, and within a rank by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    rank: u8,
    arrived_ms: u64,
    number: u64,
}

/// Requests of a pool that wait.
#[derive(Debug, Default)]
pub struct Queue {
    tickets: BTreeSet<Ticket>,
    made: u64,
}

impl Queue {
    /// Adds a request.
    pub fn join(&mut self, rank: u8, arrived_ms: u64) -> Ticket {
        self.made += 1;
        let ticket = Ticket {
            rank,
            arrived_ms,
            number: self.made,
        };
        self.tickets.insert(ticket);
        ticket
    }

    /// Removes one.
    pub fn leave(&mut self, ticket: Ticket) {
        self.tickets.remove(&ticket);
    }

    /// Requests that wait before it.
    pub fn ahead_of(&self, ticket: Ticket) -> u32 {
        let ahead = self.tickets.range(..ticket).count();
        u32::try_from(ahead).unwrap_or(u32::MAX)
    }

    /// Requests that would wait before a new one.
    pub fn ahead_of_new(&self, rank: u8, arrived_ms: u64) -> u32 {
        self.ahead_of(Ticket {
            rank,
            arrived_ms,
            number: u64::MAX,
        })
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }
}
