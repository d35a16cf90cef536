//! The error of this package.

use std::fmt;

/// A call to the platform that brought no answer.
#[derive(Debug)]
pub struct Error {
    kind: ErrorKind,
    detail: String,
}

/// What is known about the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorKind {
    /// It did not reach the platform, or was refused there: nothing has changed.
    Refused,
    /// It may have taken effect.
    Unknown,
    /// The answer is not what the API promises.
    Invalid,
}

/// The result of a call.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Makes an error; `detail` says what call failed and how.
    #[cold]
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }

    /// The kind of this error.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            ErrorKind::Refused => "refused",
            ErrorKind::Unknown => "effect unknown",
            ErrorKind::Invalid => "invalid answer",
        };
        write!(f, "{}: {kind}", self.detail)
    }
}

impl std::error::Error for Error {}
