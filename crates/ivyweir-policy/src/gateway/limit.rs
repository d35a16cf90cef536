//! How many requests a box sends to an upstream that names a limit.
//!
//! An upstream in need says in its answers how many requests a second it takes from all boxes together, for as long as it
//! says so. The limit is cut into parts, which [owners](super::owners) share: a box sends what its own parts let through,
//! and a box without a part sends nothing. Each part is a bucket of one request that fills at its share of the limit, so
//! that parts below one request a second are parts of time, and a fleet never sends more at once than there are parts.
//! No part is shared between boxes, so no message is needed before a send; boxes tell each other only what was named.
//!
//! Boxes with a part may have no work for the upstream, and then nobody hears whether the limit still stands. Once nothing
//! was heard of it for a while, each box in its turn may send one request, whether it has a part or not.

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::gateway::owners::Sharing;
use crate::gateway::statement::{DeclaredLimit, Source, Statement};

/// The lowest limit that is kept to. An upstream that got nothing could not say that it takes more again.
const LEAST_PER_1000_S: u32 = 250;
/// Parts beyond one for each whole request a second: with more of them more boxes share a limit, with fewer a fleet sends
/// less at once.
const MORE_PARTS: u32 = 1;
/// Time without a name after which an answer that names no limit ends it. An upstream may name it in some answers only,
/// and a box that believed the first one without would send all it has.
const ENDS_AFTER_MS: u64 = 4_000;
/// Time without a word of the limit after which boxes send a request in turn to hear of it: longer than a part takes to
/// let one through.
const SILENT_MS: u64 = 8_000;
/// Length of a turn: where no answer comes at all, turns add no more than the limit's slack bears.
const TURN_MS: u64 = 2_000;
/// Time for which boxes tell each other what was named, counted from when it was heard.
const TOLD_FOR_MS: u64 = 10_000;
/// Age that is added to what is told, so that a word that comes back by other boxes is never taken for a newer one.
const HOP_MS: u64 = 200;
/// Guards against a request that waits for a part of a bucket that rounding has lost.
const ROUNDING: f64 = 1e-9;

/// What a box tells others of an upstream's limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldLimit {
    /// The incarnation.
    pub upstream: Name,
    /// The limit, in requests within a thousand seconds; none where it has ended.
    pub per_1000_s: Option<u32>,
    /// Time since the upstream said so.
    pub age_ms: u64,
}

impl ToldLimit {
    /// What another box's word says of the upstream.
    pub fn statement(&self) -> Statement {
        let limit = self.per_1000_s.map(DeclaredLimit::Per1000S);
        Statement {
            limit: Some(limit.unwrap_or(DeclaredLimit::Ended)),
            age_ms: self.age_ms,
            ..Statement::new(Source::Peer)
        }
    }
}

/// What has become of an upstream's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// It names this one, in requests within a thousand seconds, and named none before.
    Began(u32),
    /// It names this one in place of another.
    Moved(u32),
    /// It names none any more.
    Ended,
}

/// An upstream's limit, and what of it this box has left.
#[derive(Debug, Default)]
pub struct Limit {
    /// The latest word, and when it was said.
    word: Option<Word>,
    bucket: Bucket,
    turns: Turns,
}

#[derive(Debug, Clone, Copy)]
struct Word {
    /// None where the limit has ended.
    per_1000_s: Option<u32>,
    said_at_ms: u64,
}

impl Limit {
    /// Takes in that the upstream named a limit at that time, unless something newer is known. `first` is the part of a
    /// request that the box may send at once where none was in force, and its place in the order of turns, both from 0 up to 1;
    /// it differs between boxes, so that they do not all send at the same moment.
    pub fn named(&mut self, per_1000_s: u32, first: f64, said_at_ms: u64) -> Option<LimitChange> {
        let before = self.take(Some(per_1000_s), said_at_ms)?;
        self.turns = Turns::after(first, said_at_ms);
        if before.is_none() {
            self.bucket = Bucket::holding(first, said_at_ms);
            return Some(LimitChange::Began(per_1000_s));
        }
        (before != Some(per_1000_s)).then_some(LimitChange::Moved(per_1000_s))
    }

    /// Takes in that the limit ended at that time, by another box's word.
    pub fn ended(&mut self, said_at_ms: u64) -> Option<LimitChange> {
        let before = self.take(None, said_at_ms)?;
        before.map(|_| LimitChange::Ended)
    }

    /// Takes in that an answer names no limit, to a request that was sent at `asked_at_ms`.
    pub fn unnamed(&mut self, asked_at_ms: u64, now_ms: u64) -> Option<LimitChange> {
        let word = self.word?;
        word.per_1000_s?;
        if asked_at_ms < word.said_at_ms.saturating_add(ENDS_AFTER_MS) {
            return None;
        }
        self.ended(now_ms)
    }

    /// Takes a word in, if it is the latest; gives the limit that was in force before.
    fn take(&mut self, per_1000_s: Option<u32>, said_at_ms: u64) -> Option<Option<u32>> {
        if self.word.is_some_and(|word| word.said_at_ms >= said_at_ms) {
            return None;
        }
        let word = Word {
            per_1000_s,
            said_at_ms,
        };
        let before = self.word.replace(word);
        Some(before.and_then(|word| word.per_1000_s))
    }

    /// Requests within a thousand seconds that all boxes together may send; none where there is no limit.
    fn in_force(&self) -> Option<u32> {
        let per_1000_s = self.word?.per_1000_s?;
        Some(per_1000_s.max(LEAST_PER_1000_S))
    }

    /// Time until this box may send one more request; 0 where it may send one now. `upstream` is the hash of its id.
    pub fn left_ms(&mut self, sharing: &Sharing, upstream: u64, now_ms: u64) -> u64 {
        let Some(per_1000_s) = self.in_force() else {
            return 0;
        };
        let parts = parts_of(per_1000_s);
        let own = sharing.own_part(upstream, parts);
        let per_ms = f64::from(per_1000_s) / 1e6;
        self.bucket.fill(own, per_ms / f64::from(parts), now_ms);
        let by_turn_ms = self.turns.left_ms(sharing, now_ms);
        match self.bucket.left_ms() {
            Some(left_ms) => left_ms.min(by_turn_ms),
            // Boxes that have a part send at this pace: a caller may come back to one of them sooner.
            None => by_turn_ms.min((1.0 / per_ms).ceil() as u64),
        }
    }

    /// Requests that this box may send until then, beyond those that it has sent; none where there is no limit.
    pub fn room_by(&self, at_ms: u64) -> Option<u32> {
        let by_turn = u32::from(at_ms >= self.turns.next_at_ms);
        self.in_force()
            .map(|_| self.bucket.room_by(at_ms).max(by_turn))
    }

    /// Counts a request that is sent now.
    pub fn note_send(&mut self, now_ms: u64) {
        if self.in_force().is_some() && !self.bucket.take() {
            self.turns.take(now_ms);
        }
    }

    /// What is to be told of it to other boxes now, where it is new enough.
    pub fn told(&self, upstream: &Name, now_ms: u64) -> Option<ToldLimit> {
        let word = self.word?;
        let age_ms = now_ms.saturating_sub(word.said_at_ms);
        (age_ms < TOLD_FOR_MS).then(|| ToldLimit {
            upstream: upstream.clone(),
            per_1000_s: word.per_1000_s,
            age_ms: age_ms + HOP_MS,
        })
    }
}

/// Parts into which a limit is cut.
fn parts_of(per_1000_s: u32) -> u32 {
    per_1000_s.div_ceil(1_000) + MORE_PARTS
}

/// Requests that a box may send, which come back with time.
#[derive(Debug, Default)]
struct Bucket {
    holds: f64,
    /// Requests that come back each millisecond.
    per_ms: f64,
    filled_at_ms: u64,
}

impl Bucket {
    /// One with this part of a request in it.
    fn holding(holds: f64, now_ms: u64) -> Self {
        Self {
            holds,
            per_ms: 0.0,
            filled_at_ms: now_ms,
        }
    }

    /// Fills it for the time that has passed; it has `parts` from now on, each of which fills at this rate. Where the rate
    /// has changed meanwhile the lower one counts: another box may have had the part before.
    fn fill(&mut self, parts: u32, per_ms: f64, now_ms: u64) {
        let per_ms = per_ms * f64::from(parts);
        let passed_ms = now_ms.saturating_sub(self.filled_at_ms) as f64;
        let filled = self.holds + passed_ms * per_ms.min(self.per_ms);
        self.holds = filled.min(f64::from(parts));
        self.per_ms = per_ms;
        self.filled_at_ms = now_ms.max(self.filled_at_ms);
    }

    /// Time until it holds a request; none where it does not fill.
    fn left_ms(&self) -> Option<u64> {
        let missing = 1.0 - self.holds - ROUNDING;
        if missing <= 0.0 {
            return Some(0);
        }
        (self.per_ms > 0.0).then(|| (missing / self.per_ms).ceil() as u64)
    }

    /// Whole requests that come together until then.
    fn room_by(&self, at_ms: u64) -> u32 {
        let passed_ms = at_ms.saturating_sub(self.filled_at_ms) as f64;
        (self.holds + passed_ms * self.per_ms + ROUNDING) as u32
    }

    /// Takes a request out; whether it held one.
    fn take(&mut self) -> bool {
        let holds_one = self.left_ms() == Some(0);
        if holds_one {
            self.holds -= 1.0;
        }
        holds_one
    }
}

/// When a box may send a request to hear whether a limit stands that nobody has heard of for a while.
///
/// Turns go round among all boxes from the last word on, so that a fleet that was idle does not send from all boxes at
/// once when it has work again.
#[derive(Debug, Default)]
struct Turns {
    /// The box's place in the order, from 0 up to 1.
    place: f64,
    begin_at_ms: u64,
    /// Until when the box has used its turn.
    used_until_ms: u64,
    /// When its next turn begins, as last computed.
    next_at_ms: u64,
}

impl Turns {
    /// Turns that begin when nothing was heard for a while since then.
    fn after(place: f64, said_at_ms: u64) -> Self {
        let begin_at_ms = said_at_ms.saturating_add(SILENT_MS);
        Self {
            place,
            begin_at_ms,
            used_until_ms: 0,
            next_at_ms: begin_at_ms,
        }
    }

    /// Time until this box's turn; 0 while it has one. A box that others may not know has none.
    fn left_ms(&mut self, sharing: &Sharing, now_ms: u64) -> u64 {
        let from_ms = now_ms.max(self.used_until_ms).max(self.begin_at_ms);
        let boxes = u64::from(sharing.boxes());
        let place = (self.place * boxes as f64) as u64;
        let into_ms = from_ms - self.begin_at_ms;
        let turns_left = (place + boxes - into_ms / TURN_MS % boxes) % boxes;
        self.next_at_ms = match turns_left {
            0 => from_ms,
            turns => from_ms + turns * TURN_MS - into_ms % TURN_MS,
        };
        if !sharing.may_own() {
            self.next_at_ms = now_ms + SILENT_MS;
        }
        self.next_at_ms - now_ms
    }

    /// Takes in that the box uses its turn.
    fn take(&mut self, now_ms: u64) {
        let into_ms = now_ms.saturating_sub(self.begin_at_ms);
        self.used_until_ms = now_ms + TURN_MS - into_ms % TURN_MS;
    }
}
