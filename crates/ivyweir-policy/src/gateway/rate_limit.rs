//! Rate limits that upstreams announce, enforced across all boxes.
//!
//! An overloaded upstream announces in its answers how many requests a second it takes from all
//! boxes together, for as long as the limit applies. The limit is split into parts, which
//! [`quota`](super::quota) assigns to boxes: a box sends what its own parts allow, and a box
//! without a part sends nothing. Each part is a token bucket of one request that refills at its
//! share of the limit. Parts thus work for limits below one request a second as well, and a fleet
//! never sends more at once than there are parts. No part is shared between boxes, so no message is
//! needed before a send; boxes only forward the announced limits to each other.
//!
//! The boxes that own parts may have no work for the upstream, and then no box learns whether the
//! limit still applies. Once no announcement was received for a while, the boxes take turns, and
//! each may send one probe request in its turn, whether it owns a part or not.

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::gateway::quota::QuotaShare;
use crate::gateway::statement::{DeclaredLimit, Source, Statement};

/// Lowest limit that is enforced. An upstream that receives no requests could not announce a higher
/// limit.
const MIN_PER_1000_S: u32 = 250;
/// Parts in addition to one for each whole request a second. With more parts more boxes share a
/// limit, with fewer a fleet sends less at once.
const EXTRA_PARTS: u32 = 1;
/// Time since the last announcement after which an answer without a limit ends it. An upstream may
/// announce the limit in some answers only, and a box that lifted it on the first answer without
/// one would send everything it has.
const END_CONFIRMATION_MS: u64 = 4_000;
/// Time since the last announcement after which boxes send probe requests in turn: longer than a
/// part takes to refill.
const PROBE_AFTER_MS: u64 = 8_000;
/// Length of a probe turn. Where no answer arrives at all, probes add no more requests than the
/// tolerance of the limit allows.
const PROBE_TURN_MS: u64 = 2_000;
/// Age of an announcement up to which boxes forward it to each other.
const FORWARD_MAX_AGE_MS: u64 = 10_000;
/// Age added when an announcement is forwarded, so that one that returns through other boxes is
/// never taken for a newer one.
const FORWARD_AGE_MS: u64 = 200;
/// Tolerance for rounding; without it a request may wait for a fraction of a token that rounding
/// lost.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Announced limit of an upstream as sent to other boxes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// Incarnation of the upstream.
    pub upstream: Name,
    /// Requests per thousand seconds; `None` where the limit has ended.
    pub per_1000_s: Option<u32>,
    /// Time since the upstream announced it.
    pub age_ms: u64,
}

impl LimitUpdate {
    /// Converts the forwarded limit to a statement about the upstream.
    pub fn statement(&self) -> Statement {
        let limit = self.per_1000_s.map(DeclaredLimit::Per1000S);
        Statement {
            limit: Some(limit.unwrap_or(DeclaredLimit::Ended)),
            age_ms: self.age_ms,
            ..Statement::new(Source::Peer)
        }
    }
}

/// Change of the limit of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// A limit applies, in requests per thousand seconds, where none did before.
    Started(u32),
    /// The limit changed to this one.
    Changed(u32),
    /// No limit applies any more.
    Ended,
}

/// Limit of an upstream and the share of this box in it.
#[derive(Debug, Default)]
pub struct Limit {
    /// Latest announcement.
    announcement: Option<Announcement>,
    bucket: TokenBucket,
    turns: ProbeTurns,
}

#[derive(Debug, Clone, Copy)]
struct Announcement {
    /// Requests per thousand seconds; `None` where the limit has ended.
    per_1000_s: Option<u32>,
    announced_at_ms: u64,
}

impl Limit {
    /// Applies an announced limit unless a newer announcement is known. `first` sets the initial
    /// fill of the bucket where no limit applied before, and the position of the box in the order
    /// of probe turns, both from 0 up to 1. It differs between boxes, so that they do not all send
    /// at the same moment.
    pub fn announce(
        &mut self,
        per_1000_s: u32,
        first: f64,
        announced_at_ms: u64,
    ) -> Option<LimitChange> {
        let before = self.store(Some(per_1000_s), announced_at_ms)?;
        self.turns = ProbeTurns::starting_after(first, announced_at_ms);
        if before.is_none() {
            self.bucket = TokenBucket::with_tokens(first, announced_at_ms);
            return Some(LimitChange::Started(per_1000_s));
        }
        (before != Some(per_1000_s)).then_some(LimitChange::Changed(per_1000_s))
    }

    /// Applies the end of the limit as reported by another box.
    pub fn end(&mut self, announced_at_ms: u64) -> Option<LimitChange> {
        let before = self.store(None, announced_at_ms)?;
        before.map(|_| LimitChange::Ended)
    }

    /// Processes an answer that announces no limit, to a request that was sent at `asked_at_ms`.
    pub fn observe_unlimited_answer(
        &mut self,
        asked_at_ms: u64,
        now_ms: u64,
    ) -> Option<LimitChange> {
        let announcement = self.announcement?;
        announcement.per_1000_s?;
        if asked_at_ms
            < announcement
                .announced_at_ms
                .saturating_add(END_CONFIRMATION_MS)
        {
            return None;
        }
        self.end(now_ms)
    }

    /// Stores an announcement if it is the latest; returns the limit that applied before.
    fn store(&mut self, per_1000_s: Option<u32>, announced_at_ms: u64) -> Option<Option<u32>> {
        if self
            .announcement
            .is_some_and(|announcement| announcement.announced_at_ms >= announced_at_ms)
        {
            return None;
        }
        let announcement = Announcement {
            per_1000_s,
            announced_at_ms,
        };
        let before = self.announcement.replace(announcement);
        Some(before.and_then(|announcement| announcement.per_1000_s))
    }

    /// Requests per thousand seconds that all boxes together may send; `None` where no limit
    /// applies.
    fn effective_limit(&self) -> Option<u32> {
        let per_1000_s = self.announcement?.per_1000_s?;
        Some(per_1000_s.max(MIN_PER_1000_S))
    }

    /// Time until this box may send one more request; 0 where it may send one now. `upstream` is
    /// the hash of its id.
    pub fn wait_ms(&mut self, quota: &QuotaShare, upstream: u64, now_ms: u64) -> u64 {
        let Some(per_1000_s) = self.effective_limit() else {
            return 0;
        };
        let parts = part_count(per_1000_s);
        let own_parts = quota.own_parts(upstream, parts);
        let per_ms = f64::from(per_1000_s) / 1e6;
        self.bucket
            .refill(own_parts, per_ms / f64::from(parts), now_ms);
        let by_turn_ms = self.turns.wait_ms(quota, now_ms);
        match self.bucket.wait_ms() {
            Some(wait_ms) => wait_ms.min(by_turn_ms),
            // Boxes that own a part send at this rate: a caller may succeed at one of them sooner.
            None => by_turn_ms.min((1.0 / per_ms).ceil() as u64),
        }
    }

    /// Requests that this box may send until `at_ms` beyond those already sent; `None` where no
    /// limit applies.
    pub fn available_by(&self, at_ms: u64) -> Option<u32> {
        let by_turn = u32::from(at_ms >= self.turns.next_at_ms);
        self.effective_limit()
            .map(|_| self.bucket.available_by(at_ms).max(by_turn))
    }

    /// Accounts for a request that is sent now.
    pub fn record_send(&mut self, now_ms: u64) {
        if self.effective_limit().is_some() && !self.bucket.try_take() {
            self.turns.record_probe(now_ms);
        }
    }

    /// Announcement to forward to other boxes now, if it is recent enough.
    pub fn update_for_peers(&self, upstream: &Name, now_ms: u64) -> Option<LimitUpdate> {
        let announcement = self.announcement?;
        let age_ms = now_ms.saturating_sub(announcement.announced_at_ms);
        (age_ms < FORWARD_MAX_AGE_MS).then(|| LimitUpdate {
            upstream: upstream.clone(),
            per_1000_s: announcement.per_1000_s,
            age_ms: age_ms + FORWARD_AGE_MS,
        })
    }
}

/// Number of parts into which a limit is split.
fn part_count(per_1000_s: u32) -> u32 {
    per_1000_s.div_ceil(1_000) + EXTRA_PARTS
}

/// Token bucket of one box; one token admits one request.
#[derive(Debug, Default)]
struct TokenBucket {
    tokens: f64,
    /// Refill rate, in tokens per millisecond.
    per_ms: f64,
    refilled_at_ms: u64,
}

impl TokenBucket {
    /// A bucket that holds this many tokens.
    fn with_tokens(tokens: f64, now_ms: u64) -> Self {
        Self {
            tokens,
            per_ms: 0.0,
            refilled_at_ms: now_ms,
        }
    }

    /// Refills for the time that has passed. From now on the bucket holds up to `parts` tokens, and
    /// each part refills at `per_ms`. Where the rate changed since the last refill the lower one
    /// applies, since another box may have owned the part before.
    fn refill(&mut self, parts: u32, per_ms: f64, now_ms: u64) {
        let per_ms = per_ms * f64::from(parts);
        let passed_ms = now_ms.saturating_sub(self.refilled_at_ms) as f64;
        let filled = self.tokens + passed_ms * per_ms.min(self.per_ms);
        self.tokens = filled.min(f64::from(parts));
        self.per_ms = per_ms;
        self.refilled_at_ms = now_ms.max(self.refilled_at_ms);
    }

    /// Time until the bucket holds a token; `None` where it does not refill.
    fn wait_ms(&self) -> Option<u64> {
        let missing = 1.0 - self.tokens - ROUNDING_TOLERANCE;
        if missing <= 0.0 {
            return Some(0);
        }
        (self.per_ms > 0.0).then(|| (missing / self.per_ms).ceil() as u64)
    }

    /// Whole tokens available at `at_ms` if none is taken before.
    fn available_by(&self, at_ms: u64) -> u32 {
        let passed_ms = at_ms.saturating_sub(self.refilled_at_ms) as f64;
        (self.tokens + passed_ms * self.per_ms + ROUNDING_TOLERANCE) as u32
    }

    /// Takes a token; returns whether there was one.
    fn try_take(&mut self) -> bool {
        let has_token = self.wait_ms() == Some(0);
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

/// Schedule by which a box may send a probe request, to learn whether a limit still applies that no
/// box has received for a while.
///
/// Turns rotate among all boxes from the last announcement on, so that a fleet that was idle does
/// not send from all boxes at once when it has work again.
#[derive(Debug, Default)]
struct ProbeTurns {
    /// Position of the box in the order, from 0 up to 1.
    position: f64,
    start_at_ms: u64,
    /// End of the last turn that the box used.
    used_until_ms: u64,
    /// Start of the next turn, as last computed.
    next_at_ms: u64,
}

impl ProbeTurns {
    /// Turns that start once the announcement of this time is old enough.
    fn starting_after(position: f64, announced_at_ms: u64) -> Self {
        let start_at_ms = announced_at_ms.saturating_add(PROBE_AFTER_MS);
        Self {
            position,
            start_at_ms,
            used_until_ms: 0,
            next_at_ms: start_at_ms,
        }
    }

    /// Time until the turn of this box; 0 during a turn. A box that may be unknown to the others
    /// has no turns.
    fn wait_ms(&mut self, quota: &QuotaShare, now_ms: u64) -> u64 {
        let earliest_ms = now_ms.max(self.used_until_ms).max(self.start_at_ms);
        let boxes = u64::from(quota.boxes());
        let position = (self.position * boxes as f64) as u64;
        let elapsed_ms = earliest_ms - self.start_at_ms;
        let turns_left = (position + boxes - elapsed_ms / PROBE_TURN_MS % boxes) % boxes;
        self.next_at_ms = match turns_left {
            0 => earliest_ms,
            turns => earliest_ms + turns * PROBE_TURN_MS - elapsed_ms % PROBE_TURN_MS,
        };
        if !quota.may_own() {
            self.next_at_ms = now_ms + PROBE_AFTER_MS;
        }
        self.next_at_ms - now_ms
    }

    /// Records that the box used its current turn.
    fn record_probe(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.start_at_ms);
        self.used_until_ms = now_ms + PROBE_TURN_MS - elapsed_ms % PROBE_TURN_MS;
    }
}
