//! The error of this package.

use std::fmt;

/// A decision that could not be taken, with the place that prevented it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    detail: String,
}

/// What went wrong, for callers that act on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorKind {
    /// A named thing is not in the configuration.
    NotFound,
    /// A named thing is there already.
    Exists,
    /// A value is outside what is allowed.
    Invalid,
    /// A signature or digest does not match.
    Forged,
    /// What the plan rests on has changed since it was drawn.
    Moved,
    /// The token's time is over.
    Expired,
}

/// The result of a decision.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Makes an error of a kind; `detail` says where, in lower case.
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
            ErrorKind::NotFound => "not found",
            ErrorKind::Exists => "exists already",
            ErrorKind::Invalid => "invalid",
            ErrorKind::Forged => "forged",
            ErrorKind::Moved => "changed since the plan was drawn",
            ErrorKind::Expired => "expired",
        };
        write!(f, "{}: {kind}", self.detail)
    }
}

impl std::error::Error for Error {}
