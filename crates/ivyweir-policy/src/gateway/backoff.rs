//! Upstreams that want nothing from a box for a while, and how it returns to them.
//!
//! An upstream that is full refuses and says for how long it wants nothing from the box that asked. Boxes that all
//! came back at the end of that time, each with all that it has, would fill it at once. So a box comes back a little
//! later than told, by a part that is its own, and then with one request, and twice as many with each step of time:
//! a refusal is back within a step, and stops it.

/// Time in which a box may send twice as many. A refusal takes a way to another hall and back, 2 to 3 ms by the
/// deployments' sheets; the rest is for boxes that are busy.
const STEP_MS: u64 = 50;
/// Steps after which the box is bound no more: it may have sent 255 then, more than an upstream has places.
const STEPS: u64 = 8;
/// The part of the time that a box may come back later than told.
const LATER_PART: u64 = 4;
/// The longest such delay: over it the first requests of 300 boxes come at 1.2 ms from each other.
const LATER_MOST_MS: u64 = 350;

/// What an upstream wants of this box.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backoff {
    /// When the box may come back; 0 where it was never told to back off.
    until_ms: u64,
    /// Requests that it sent since.
    sent: u32,
}

impl Backoff {
    /// Takes in that the upstream wants nothing for a time. An earlier word that holds longer stays in force.
    /// `own` differs between boxes.
    pub fn hear(&mut self, for_ms: u64, own: u64, now_ms: u64) {
        if for_ms == 0 {
            return;
        }
        let later_ms = own % ((for_ms / LATER_PART).min(LATER_MOST_MS) + 1);
        let until_ms = now_ms.saturating_add(for_ms).saturating_add(later_ms);
        self.until_ms = self.until_ms.max(until_ms);
        self.sent = 0;
    }

    /// Time until one more request may be sent; 0 where one may be sent now.
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        let Some(since_ms) = now_ms.checked_sub(self.until_ms) else {
            return self.until_ms - now_ms;
        };
        let step = since_ms / STEP_MS;
        let is_free = self.until_ms == 0 || step >= STEPS;
        if is_free || self.sent < (2 << step) - 1 {
            return 0;
        }
        (step + 1) * STEP_MS - since_ms
    }

    /// Requests that the box may have sent by then, beyond those that it has.
    pub fn room_by(&self, at_ms: u64) -> u32 {
        let Some(since_ms) = at_ms.checked_sub(self.until_ms) else {
            return 0;
        };
        let step = (since_ms / STEP_MS).min(STEPS);
        ((2 << step) - 1_u32).saturating_sub(self.sent)
    }

    /// Whether the box may not send all it has.
    pub fn binds(&self, now_ms: u64) -> bool {
        self.until_ms != 0 && now_ms < self.until_ms.saturating_add(STEPS * STEP_MS)
    }

    /// Counts a request that is sent now.
    pub fn note_send(&mut self) {
        self.sent = self.sent.saturating_add(1);
    }
}
