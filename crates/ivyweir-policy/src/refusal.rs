//! Refusals: a typed code and whether the request may have run.

use serde::{Deserialize, Serialize};

/// Whether a refused request may have run on an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// It certainly has not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
}

macro_rules! codes {
    ($($variant:ident => $text:literal, $status:literal, $doc:literal;)*) => {
        /// Why a request was refused.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Code { $(#[doc = $doc] $variant,)* }

        impl Code {
            /// Every code, for metrics and documents.
            pub const ALL: &'static [Code] = &[$(Code::$variant,)*];

            /// The code as it stands in error bodies.
            pub fn as_str(self) -> &'static str {
                match self { $(Code::$variant => $text,)* }
            }

            /// The HTTP status that goes with the code.
            pub fn http_status(self) -> u16 {
                match self { $(Code::$variant => $status,)* }
            }
        }
    };
}

codes! {
    Malformed => "malformed", 400, "The request could not be read.";
    TooLarge => "too_large", 413, "A part of the request is over its limit.";
    TooSlow => "too_slow", 408, "The caller sent its request too slowly.";
    Unauthenticated => "unauthenticated", 401, "No valid workspace key was given.";
    Forbidden => "forbidden", 403, "The workspace may not use what it asked for.";
    ModelNotFound => "model_not_found", 404, "No such model, version or alias.";
    NotFound => "not_found", 404, "No such path.";
    VersionWithdrawn => "version_withdrawn", 409, "The session's version was withdrawn.";
    VersionSuspended => "version_suspended", 503, "The version is held to be bad and there is no other.";
    SessionInvalid => "session_invalid", 401, "The session token is not valid here.";
    SessionExpired => "session_expired", 401, "The session token's time is over.";
    SessionLost => "session_lost", 409, "The box that opened the session is gone; open a new one.";
    KeyRequired => "key_required", 400, "A not-repeatable request needs an idempotency key.";
    Duplicate => "duplicate", 409, "The key has been used and its answer is not kept.";
    Overloaded => "overloaded", 429, "No capacity within the limits of this workspace.";
    DeadlineUnmet => "deadline_unmet", 429, "The deadline cannot be met.";
    NoUpstream => "no_upstream", 503, "No upstream offers an allowed version.";
    Draining => "draining", 503, "This box is stopping.";
    StaleConfig => "stale_config", 503, "This box cannot show that its configuration is current.";
    ClaimUnavailable => "claim_unavailable", 503, "The claim could not be written.";
    BillingUnavailable => "billing_unavailable", 503, "No room to keep the billing record.";
    UpstreamFailed => "upstream_failed", 502, "The upstream failed.";
    UpstreamTruncated => "upstream_truncated", 502, "The upstream's answer was not whole.";
    DeadlinePassed => "deadline_passed", 504, "The deadline passed while the request ran.";
    OutcomeUnknown => "outcome_unknown", 504, "The request may have run; its answer is lost.";
}

/// A refusal as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// Whether it may have run.
    pub run: Run,
    /// A sentence for people.
    pub message: String,
    /// When to come back, if that helps.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of a request that has certainly not run.
    #[cold]
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            run: Run::NotRun,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// A refusal of a request that may have run.
    #[cold]
    pub fn unknown(code: Code, message: impl Into<String>) -> Self {
        Self {
            run: Run::Unknown,
            ..Self::not_run(code, message)
        }
    }

    /// Adds a hint when to come back.
    #[must_use]
    pub fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}
