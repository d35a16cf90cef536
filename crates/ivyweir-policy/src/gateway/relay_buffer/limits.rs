//! How many bytes may be held, and how slowly callers may read.

use crate::gateway::site::{Route, RouteKind};

/// Largest number of bytes held for one stream. The longest streams have 38 events of 10 tokens, estimated at less than
/// 8 KB, so a whole answer fits even if its framing is several times its text.
const MAX_READ_AHEAD_BYTES: u64 = 64 << 10;
/// Largest event of a stream that is read only as fast as its caller reads. Its buffer holds one incomplete event; events
/// of tokens are far smaller.
const MAX_EVENT_BYTES: u64 = 1 << 20;
/// Part of the memory that may be held, as a divisor. The rest is for connections, their read buffers of up to 64 KB,
/// the state of the fleet, and the allocator. Small events are copied out of the read buffers and count with their
/// bookkeeping. On the smallest boxes (120 MB) a quarter holds 480 streams at their own limit.
const MEMORY_DIVISOR: u64 = 4;
const BYTES_PER_MB: u64 = 1 << 20;
/// Part of the total that request bodies may use up, in quarters. A body is held until its request is answered, so
/// answers need a reserve: without it, requests would wait for room that only their own answers free.
const BODY_QUARTERS: u64 = 3;

/// Shortest time without a readable byte after which a caller abandons an answer, and for streams the same as multiples
/// of their targets. A caller that reads nothing for as long as it would wait for data has abandoned the answer.
const ABANDONED_AFTER_MS: u64 = 2_000;
const ABANDONED_AFTER_TARGETS: u64 = 4;
const ABANDONED_AFTER_GAPS: u64 = 8;

/// Limits of the bytes held by a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BufferLimits {
    /// Bytes of one stream from which on no more of it is read.
    pub request_bytes: u64,
    /// Bytes of all requests from which on slow readers are ended.
    pub total_bytes: u64,
}

impl BufferLimits {
    /// Returns the limits for a box with this much memory that reads streams ahead of their callers.
    pub fn for_memory(memory_mb: u64) -> Self {
        Self {
            request_bytes: MAX_READ_AHEAD_BYTES,
            total_bytes: memory_mb.saturating_mul(BYTES_PER_MB) / MEMORY_DIVISOR,
        }
    }

    /// Returns the limits for a box with this much memory that reads streams as fast as their callers do.
    pub fn without_read_ahead(memory_mb: u64) -> Self {
        Self {
            request_bytes: MAX_EVENT_BYTES,
            ..Self::for_memory(memory_mb)
        }
    }

    /// Bytes of all requests from which on no more of a request body is read, and no new request starts.
    pub fn body_bytes(&self) -> u64 {
        self.total_bytes / 4 * BODY_QUARTERS
    }
}

/// How slowly a caller may read an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderLimits {
    /// Age of the oldest unread byte from which on the reader may be ended to free memory.
    pub slow_after_ms: u64,
    /// Time without any progress after which the reader is ended in any case.
    pub idle_timeout_ms: u64,
}

impl ReaderLimits {
    /// Limits of a request body, which an upstream reads and whose request is bounded by its deadline.
    pub const REQUEST_BODY: Self = Self {
        slow_after_ms: u64::MAX,
        idle_timeout_ms: u64::MAX,
    };

    /// Whether these are the limits of a request body.
    pub fn is_body(&self) -> bool {
        *self == Self::REQUEST_BODY
    }

    /// Returns the limits for callers of a route. A reader of a stream that lags by more than the permitted gap between
    /// events is slow by the caller's own terms. A reader of a plain answer is slow if it seems to have stopped: one that
    /// reads steadily shows no progress until its kernel takes more, which is when a good part of its buffer is free. A
    /// caller of a plain answer waits for it as long as the route holds the request.
    pub fn for_route(route: &Route) -> Self {
        match route.kind {
            RouteKind::Stream { gap_aim_ms, .. } => Self {
                slow_after_ms: gap_aim_ms,
                idle_timeout_ms: ABANDONED_AFTER_MS
                    .max(ABANDONED_AFTER_TARGETS * route.latency_aim_ms)
                    .max(ABANDONED_AFTER_GAPS * gap_aim_ms),
            },
            _ => Self {
                slow_after_ms: route.latency_aim_ms.max(ABANDONED_AFTER_MS),
                idle_timeout_ms: route.timeout_ms.max(ABANDONED_AFTER_MS),
            },
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    macro_rules! limits {
        ($($name:ident: $kind:expr, target $target_ms:expr, budget $budget_ms:expr => $slow:expr, $idle:expr;)*) => {$(
            #[test]
            fn $name() {
                let route = Route {
                    name: "r".into(),
                    host: "h".into(),
                    path_prefix: "/".into(),
                    kind: $kind,
                    timeout_ms: $budget_ms,
                    latency_aim_ms: $target_ms,
                    priority: 0,
                    models: Vec::new(),
                    pools: Vec::new(),
                    max_attempts: 1,
                    anonymous: false,
                };
                let limits = ReaderLimits::for_route(&route);
                assert_eq!((limits.slow_after_ms, limits.idle_timeout_ms), ($slow, $idle));
            }
        )*};
    }

    const STREAM: RouteKind = RouteKind::Stream {
        resumable: true,
        gap_aim_ms: 1_200,
    };

    // Guards against ending a caller that would still wait for data.
    limits! {
        a_long_target_decides: STREAM, target 4_000, budget 15_000 => 1_200, 16_000;
        the_gap_decides: STREAM, target 1_000, budget 12_000 => 1_200, 9_600;
        the_budget_of_a_plain_answer_decides: RouteKind::Unsafe, target 300, budget 4_000 => 2_000, 4_000;
        a_short_budget_is_not_below_two_seconds: RouteKind::Safe, target 120, budget 600 => 2_000, 2_000;
        a_target_above_two_seconds_decides: RouteKind::Unsafe, target 2_500, budget 25_000 => 2_500, 25_000;
    }
}
