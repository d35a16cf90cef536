//! Errors of calls to engines.

use std::fmt;

/// Error of a call without a complete response.
#[derive(Debug)]
pub struct CallError {
    /// Category of the error.
    pub fault: Fault,
    /// Whether the engine may have executed the call.
    pub may_have_run: bool,
    detail: String,
}

/// Category of a [`CallError`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The connection was refused, so nothing was sent.
    Unreachable,
    /// The engine is overloaded or unavailable: status 429 or 503.
    Busy,
    /// The engine refuses the request permanently, such as for a malformed request or a withdrawn
    /// version: any other 4xx status.
    Rejected,
    /// The engine failed: any other error status, or an error in a stream.
    Failed,
    /// The connection was lost, or the response is incomplete or malformed.
    Truncated,
    /// The response belongs to another request or another version.
    Mismatched,
    /// The call or a read from the connection timed out.
    TimedOut,
}

impl CallError {
    /// Creates an error of a call that may have been executed, unless the engine was not reached. No status says that a
    /// call was not executed.
    #[cold]
    pub fn new(fault: Fault, detail: impl Into<String>) -> Self {
        Self {
            fault,
            may_have_run: fault != Fault::Unreachable,
            detail: detail.into(),
        }
    }

    /// Creates an error of a call that was not sent.
    #[cold]
    pub fn not_sent(fault: Fault, detail: impl Into<String>) -> Self {
        Self {
            fault,
            may_have_run: false,
            detail: detail.into(),
        }
    }

    /// Returns whether a retry at another engine may succeed.
    pub fn is_retryable(&self) -> bool {
        !matches!(self.fault, Fault::Rejected | Fault::TimedOut)
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.fault, self.detail)
    }
}

impl std::error::Error for CallError {}
