//! Calls that brought no whole answer.

use std::fmt;

/// A call that brought no whole answer.
#[derive(Debug)]
pub struct CallError {
    /// What went wrong.
    pub fault: Fault,
    /// Whether the engine may have run the call.
    pub may_have_run: bool,
    detail: String,
}

/// What went wrong with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No connection; nothing was sent.
    Unreachable,
    /// The engine has no room now.
    Busy,
    /// The engine refuses the call for good, as a bad request or a withdrawn version.
    Rejected,
    /// The engine failed.
    Failed,
    /// The connection broke or the answer ended early.
    Truncated,
    /// The answer is for another request or of another version.
    Mismatched,
    /// The time was over.
    TimedOut,
}

impl CallError {
    /// Makes an error for a call that may have run.
    #[cold]
    pub fn new(fault: Fault, detail: impl Into<String>) -> Self {
        let may_have_run = !matches!(fault, Fault::Unreachable | Fault::Busy | Fault::Rejected);
        Self {
            fault,
            may_have_run,
            detail: detail.into(),
        }
    }

    /// Whether another engine could do better.
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
