//! The error type of this crate.

use std::fmt;

/// An error with its kind and the object it concerns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    detail: String,
}

/// Category of an [`Error`], for callers that handle categories differently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorKind {
    /// The named object is not in the configuration.
    NotFound,
    /// An object of that name exists already.
    AlreadyExists,
    /// A value is out of range or cannot be parsed.
    Invalid,
    /// A signature or digest does not match.
    BadSignature,
    /// The configuration that the plan depends on has changed since the plan was created.
    Conflict,
    /// The token has expired.
    Expired,
}

/// Alias for a result with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Creates an error. `detail` names the object concerned, in lower case.
    #[cold]
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }

    /// Returns the category of the error.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            ErrorKind::NotFound => "not found",
            ErrorKind::AlreadyExists => "already exists",
            ErrorKind::Invalid => "invalid",
            ErrorKind::BadSignature => "forged",
            ErrorKind::Conflict => "changed since the plan was created",
            ErrorKind::Expired => "expired",
        };
        write!(f, "{}: {kind}", self.detail)
    }
}

impl std::error::Error for Error {}
