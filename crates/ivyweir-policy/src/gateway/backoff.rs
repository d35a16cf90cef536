//! Back-off towards an upstream, and the ramp-up after it.
//!
//! An overloaded upstream refuses a request and tells the box for how long to send nothing. If all boxes resumed at
//! the end of that time, each with its whole backlog, they would overload the upstream again at once. Each box
//! therefore adds a jitter of its own and then ramps up: one request in the first step, and twice as many in each
//! further step. A refusal arrives within one step and stops the ramp.

/// Duration of a ramp-up step. A refusal takes one round trip to another hall, 2 to 3 ms in the deployments' data;
/// the rest allows for busy boxes.
const RAMP_STEP_MS: u64 = 50;
/// Steps after which the box is no longer restricted: by then it may have sent 255 requests, more than an upstream has
/// slots.
const RAMP_STEPS: u64 = 8;
/// The jitter is at most the back-off time divided by this.
const JITTER_DIVISOR: u64 = 4;
/// Upper bound of the jitter: spread over it, the first requests of 300 boxes arrive 1.2 ms apart.
const MAX_JITTER_MS: u64 = 350;

/// Back-off state of one box towards one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backoff {
    /// When the box may send again; 0 if it was never told to back off.
    until_ms: u64,
    /// Requests sent since the last refusal.
    sent: u32,
}

impl Backoff {
    /// Starts a back-off of `for_ms`. A back-off that ends later stays in force. `box_seed` differs between boxes and
    /// determines the jitter.
    pub fn start(&mut self, for_ms: u64, box_seed: u64, now_ms: u64) {
        if for_ms == 0 {
            return;
        }
        let jitter_ms = box_seed % ((for_ms / JITTER_DIVISOR).min(MAX_JITTER_MS) + 1);
        let until_ms = now_ms.saturating_add(for_ms).saturating_add(jitter_ms);
        self.until_ms = self.until_ms.max(until_ms);
        self.sent = 0;
    }

    /// Time until one more request may be sent; 0 if one may be sent now.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        let Some(since_ms) = now_ms.checked_sub(self.until_ms) else {
            return self.until_ms - now_ms;
        };
        let step = since_ms / RAMP_STEP_MS;
        let is_unrestricted = self.until_ms == 0 || step >= RAMP_STEPS;
        if is_unrestricted || self.sent < (2 << step) - 1 {
            return 0;
        }
        (step + 1) * RAMP_STEP_MS - since_ms
    }

    /// Further requests that the box may send up to `at_ms`.
    pub fn capacity_by(&self, at_ms: u64) -> u32 {
        let Some(since_ms) = at_ms.checked_sub(self.until_ms) else {
            return 0;
        };
        let step = (since_ms / RAMP_STEP_MS).min(RAMP_STEPS);
        ((2 << step) - 1_u32).saturating_sub(self.sent)
    }

    /// Whether a back-off or its ramp-up still restricts the box.
    pub fn is_active(&self, now_ms: u64) -> bool {
        self.until_ms != 0 && now_ms < self.until_ms.saturating_add(RAMP_STEPS * RAMP_STEP_MS)
    }

    /// Counts a request that is sent now.
    pub fn record_send(&mut self) {
        self.sent = self.sent.saturating_add(1);
    }
}
