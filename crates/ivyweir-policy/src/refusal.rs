//! Refusals: an error code and whether the request may have been executed.

use serde::{Deserialize, Serialize};

/// Whether a refused request may have been executed by an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// It has not been executed and will not be.
    NotRun,
    /// It may have been executed.
    Unknown,
}

macro_rules! codes {
    ($($variant:ident => $text:literal, $status:literal, $doc:literal;)*) => {
        /// Why a request was refused.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Code { $(#[doc = $doc] $variant,)* }

        impl Code {
            /// All codes, for metrics and documentation.
            pub const ALL: &'static [Code] = &[$(Code::$variant,)*];

            /// The code as written in error bodies.
            pub fn as_str(self) -> &'static str {
                match self { $(Code::$variant => $text,)* }
            }

            /// The HTTP status returned with the code.
            pub fn http_status(self) -> u16 {
                match self { $(Code::$variant => $status,)* }
            }
        }
    };
}

codes! {
    Malformed => "malformed", 400, "The request could not be parsed.";
    TooLarge => "too_large", 413, "A part of the request exceeds its size limit.";
    TooSlow => "too_slow", 408, "The caller sent its request too slowly.";
    Unauthenticated => "unauthenticated", 401, "The request carries no valid workspace key.";
    Forbidden => "forbidden", 403, "The workspace is not allowed to use the requested resource.";
    ModelNotFound => "model_not_found", 404, "No such model, version or alias.";
    NotFound => "not_found", 404, "No such path.";
    VersionWithdrawn => "version_withdrawn", 409, "The session's version was withdrawn.";
    VersionSuspended => "version_suspended", 503, "The version is considered unhealthy and no other is allowed.";
    SessionInvalid => "session_invalid", 401, "The session token is not valid here.";
    SessionExpired => "session_expired", 401, "The session token has expired.";
    SessionLost => "session_lost", 409, "The box that opened the session is gone; open a new one.";
    KeyRequired => "key_required", 400, "A non-repeatable request requires an idempotency key.";
    Duplicate => "duplicate", 409, "The idempotency key was used before and its response is not stored.";
    Overloaded => "overloaded", 429, "No capacity within the limits of this workspace.";
    DeadlineUnmet => "deadline_unmet", 429, "The deadline cannot be met.";
    NoUpstream => "no_upstream", 503, "No upstream serves an allowed version.";
    Draining => "draining", 503, "This box is shutting down.";
    StaleConfig => "stale_config", 503, "This box cannot verify that its configuration is current.";
    ClaimUnavailable => "claim_unavailable", 503, "The claim could not be written.";
    BillingUnavailable => "billing_unavailable", 503, "No space left to store the billing record.";
    UpstreamFailed => "upstream_failed", 502, "The upstream failed.";
    UpstreamTruncated => "upstream_truncated", 502, "The upstream's response was truncated.";
    DeadlinePassed => "deadline_passed", 504, "The deadline passed during execution.";
    OutcomeUnknown => "outcome_unknown", 504, "The request may have been executed; its response is lost.";
}

/// A refusal as returned to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub code: Code,
    /// Whether the request may have been executed.
    pub run: Execution,
    /// Human-readable explanation.
    pub message: String,
    /// Delay before a retry, if a retry can succeed.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Refuses a request that has not been executed.
    #[cold]
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            run: Execution::NotRun,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Refuses a request that may have been executed.
    #[cold]
    pub fn unknown(code: Code, message: impl Into<String>) -> Self {
        Self {
            run: Execution::Unknown,
            ..Self::not_run(code, message)
        }
    }

    /// Sets the delay before a retry.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}
