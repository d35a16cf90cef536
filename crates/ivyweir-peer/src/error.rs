//! The error type of this crate.

use std::fmt;

/// A failed call to a peer.
#[derive(Debug)]
pub struct Error {
    detail: String,
    certainly_not_received: bool,
}

/// The result of a peer call.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    #[cold]
    pub(crate) fn new(detail: impl fmt::Display) -> Self {
        Self {
            detail: detail.to_string(),
            certainly_not_received: false,
        }
    }

    #[cold]
    pub(crate) fn from_status(status: &tonic::Status) -> Self {
        Self {
            detail: format!("{}: {}", status.code(), status.message()),
            certainly_not_received: matches!(
                status.code(),
                tonic::Code::Unauthenticated | tonic::Code::Unimplemented
            ),
        }
    }

    /// Whether the peer is known not to have processed the call.
    pub fn certainly_not_received(&self) -> bool {
        self.certainly_not_received
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "peer call: {}", self.detail)
    }
}

impl std::error::Error for Error {}
