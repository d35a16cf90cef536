//! Schedule of a planned stop: until when requests are accepted and answered.
//!
//! Between the order to stop and the end of the process, the load balancer goes on sending requests until it has noticed.
//! A request is accepted only if its answer can be expected within the grace, because a caller that is refused may go to
//! another box, whereas one whose answer is cut may not know whether its request ran.

use crate::gateway::site::RouteKind;

/// Time that the load balancer needs to notice: it asks each second, and two questions must have failed.
const BALANCER_NOTICE_MS: u64 = 2_400;
/// Fraction of a short grace for which requests are accepted.
const MAX_ACCEPTING_FRACTION: f64 = 0.3;
/// Time for the exit of the process, and before it for telling callers that their requests have no answer. Each is an
/// eighth of a short grace at most.
const EXIT_MS: u64 = 250;
const LAST_ANSWERS_MS: u64 = 250;
const SHORT_GRACE_PARTS: u64 = 8;
/// Multiple of a route's latency target within which a plain answer is expected.
const EXPECTED_AIMS: u64 = 2;

/// What is known of the time that a request takes.
#[derive(Debug, Clone, Copy)]
pub struct ExpectedTime {
    /// Kind of the request's route.
    pub kind: RouteKind,
    /// Target of the route for the time to the answer, or to the first event.
    pub latency_aim_ms: u64,
    /// Time that the request may take at most.
    pub budget_ms: u64,
}

impl ExpectedTime {
    /// Time within which the request is expected to need this box no longer.
    fn needed_ms(self) -> u64 {
        let expected_ms = match self.kind {
            RouteKind::Safe | RouteKind::Unsafe => self.latency_aim_ms * EXPECTED_AIMS,
            // Its caller can resume it at another box.
            RouteKind::Stream {
                resumable: true, ..
            } => self.latency_aim_ms,
            // How long it takes is not known, and it cannot be resumed.
            RouteKind::Stream {
                resumable: false, ..
            } => self.budget_ms,
        };
        expected_ms.min(self.budget_ms)
    }
}

/// Schedule of a stop, in milliseconds from the order to stop.
#[derive(Debug, Clone, Copy)]
pub struct StopSchedule {
    grace_ms: u64,
}

impl StopSchedule {
    /// Creates the schedule for a time between the order and the end of the process.
    pub fn new(grace_ms: u64) -> Self {
        Self { grace_ms }
    }

    /// Time until which connections and requests are accepted.
    pub fn accepts_until_ms(self) -> u64 {
        let share_ms = (self.grace_ms as f64 * MAX_ACCEPTING_FRACTION) as u64;
        BALANCER_NOTICE_MS.min(share_ms)
    }

    /// Time at which callers without an answer are told so.
    pub fn answers_until_ms(self) -> u64 {
        let last_ms = LAST_ANSWERS_MS.min(self.grace_ms / SHORT_GRACE_PARTS);
        self.ends_at_ms().saturating_sub(last_ms)
    }

    /// Time until which answers are written, after which the process exits.
    pub fn ends_at_ms(self) -> u64 {
        let exit_ms = EXIT_MS.min(self.grace_ms / SHORT_GRACE_PARTS);
        self.grace_ms.saturating_sub(exit_ms)
    }

    /// Whether a request that has been received `stopping_ms` after the order is accepted.
    pub fn accepts(self, stopping_ms: u64, expected: ExpectedTime) -> bool {
        stopping_ms <= self.accepts_until_ms()
            && stopping_ms.saturating_add(expected.needed_ms()) <= self.answers_until_ms()
    }
}
