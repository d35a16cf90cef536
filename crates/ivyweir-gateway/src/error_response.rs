//! Answers of the gateway's own: refusals and failures.

use bytes::Bytes;
use hyper::{Response, StatusCode, header};

use crate::answer::{AnswerBody, whole};

/// Why the gateway itself answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorReason {
    /// The request's head or body breaks a limit or cannot be read.
    BadRequest,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive in time.
    BodyLate,
    /// No route serves the host and path.
    NoRoute,
    /// The key is unknown.
    NoAccess,
    /// The box does not know its configuration yet, or not whether it is the newest.
    NotCurrent,
    /// The same, while other boxes are starting too.
    Starting,
    /// The box is stopping.
    Stopping,
    /// No upstream could take the request; it did not run.
    NoUpstream,
    /// All upstreams that could take the request are in halls that operators drain.
    HallsDrained,
    /// All upstreams that could take the request are cold, and get no more from this box for now.
    AllCold,
    /// All upstreams that could take the request want nothing from this box for now.
    AllBackingOff {
        /// Time after which the caller should come back.
        retry_after_ms: u64,
    },
    /// Upstreams ended under earlier tries of the request; it is sent no more.
    Quarantined,
    /// Time ran out before any upstream took the request.
    LateNotRun,
    /// Time ran out while an upstream may have been working.
    Late,
    /// The request was sent and its answer lost or spoilt.
    AnswerLost,
}

/// Time after which a refused caller should come back.
const RETRY_AFTER_MS: u64 = 250;
/// The same where the box itself leaves or lags: another box may take the request at once.
const RETRY_AFTER_OTHER_BOX_MS: u64 = 50;
/// The same where all boxes started a moment ago: they know their configuration within half a second
/// of the first answer, and callers honour a third of a second and a half at most.
const RETRY_AFTER_STARTUP_MS: u64 = 480;

/// The same where all halls are drained: operators take that back after seconds at the soonest.
const RETRY_AFTER_DRAINED_MS: u64 = 1_000;
/// The same where all upstreams are cold. What one bears is counted by the second; a caller comes back on
/// another connection, so perhaps at a box that has not used its part.
const RETRY_AFTER_COLD_MS: u64 = 600;
/// The same for a request that is sent no more: it helps nobody to come back before an operator has looked.
const RETRY_AFTER_QUARANTINED_MS: u64 = 60_000;

impl ErrorReason {
    /// The status: 503, 429 and 408 are said only where the request did not run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyLate => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoAccess => StatusCode::UNAUTHORIZED,
            Self::NotCurrent
            | Self::Starting
            | Self::Stopping
            | Self::NoUpstream
            | Self::HallsDrained
            | Self::AllCold
            | Self::AllBackingOff { .. }
            | Self::Quarantined
            | Self::LateNotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
        }
    }

    /// Its name in logs, metrics and bodies.
    pub fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::TooLarge => "too_large",
            Self::BodyLate => "body_late",
            Self::NoRoute => "no_route",
            Self::NoAccess => "no_access",
            Self::NotCurrent => "not_current",
            Self::Starting => "starting",
            Self::Stopping => "stopping",
            Self::NoUpstream => "no_upstream",
            Self::HallsDrained => "halls_drained",
            Self::AllCold => "all_cold",
            Self::AllBackingOff { .. } => "backing_off",
            Self::Quarantined => "quarantined",
            Self::LateNotRun => "late_not_run",
            Self::Late => "late",
            Self::AnswerLost => "answer_lost",
        }
    }

    fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::NotCurrent | Self::Stopping => Some(RETRY_AFTER_OTHER_BOX_MS),
            Self::Starting => Some(RETRY_AFTER_STARTUP_MS),
            Self::NoUpstream | Self::LateNotRun => Some(RETRY_AFTER_MS),
            Self::HallsDrained => Some(RETRY_AFTER_DRAINED_MS),
            Self::AllCold => Some(RETRY_AFTER_COLD_MS),
            Self::AllBackingOff { retry_after_ms } => Some(retry_after_ms),
            Self::Quarantined => Some(RETRY_AFTER_QUARANTINED_MS),
            _ => None,
        }
    }

    /// The answer; `close` asks the caller for a new connection.
    pub fn into_response(self, close: bool) -> Response<AnswerBody> {
        let body = Bytes::from(format!("{{\"code\":\"{}\"}}\n", self.name()));
        let mut answer = Response::builder()
            .status(self.status())
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(ms) = self.retry_after_ms() {
            answer = answer.header(header::RETRY_AFTER, format!("{:.3}", ms as f64 / 1_000.0));
        }
        if close || self == Self::Stopping {
            answer = answer.header(header::CONNECTION, "close");
        }
        answer
            .body(whole(body))
            .expect("invariant: all parts are valid")
    }
}
