//! The error type of this crate.

use std::fmt;

/// A failed call to the platform.
#[derive(Debug)]
pub struct Error {
    kind: ErrorKind,
    detail: String,
}

/// What is known about the effect of a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorKind {
    /// The call did not reach the platform or was rejected by it; nothing has changed.
    Refused,
    /// The call may have taken effect.
    OutcomeUnknown,
    /// The response does not conform to the API.
    InvalidResponse,
}

/// The result of a platform call.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Creates an error; `detail` says which call failed and how.
    #[cold]
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }

    /// What is known about the effect of the call.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            ErrorKind::Refused => "refused",
            ErrorKind::OutcomeUnknown => "effect unknown",
            ErrorKind::InvalidResponse => "invalid answer",
        };
        write!(f, "{}: {kind}", self.detail)
    }
}

impl std::error::Error for Error {}
