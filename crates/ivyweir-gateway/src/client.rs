//! HTTP client for the store or another box, over one persistent connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{HeaderMap, Request, StatusCode};
use snafu::Snafu;
use tokio::time::timeout;

use crate::connection::{Connection, SendError};
use crate::dialect::DecodeError;
use crate::request_target::TargetTooLong;

/// Time limit for a response from the store, on top of the wait that the request asks for. A slow
/// store takes a few hundred milliseconds.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest response body. A listing page has at most about 1 MB.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Error of a call to the store or another box.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection could be opened.
    #[snafu(display("cannot connect: {source}"))]
    Unreachable {
        /// The cause.
        source: std::io::Error,
    },
    /// No complete response arrived; a write may have been applied.
    #[snafu(display("no complete response: {detail}"))]
    ResponseLost {
        /// The cause.
        detail: String,
    },
    /// The response is larger than [`MAX_RESPONSE_BYTES`].
    #[snafu(display("response is too large"))]
    TooLarge,
    /// The call was abandoned before a complete response arrived.
    #[snafu(display("call abandoned: {detail}"))]
    Abandoned {
        /// The cause.
        detail: String,
    },
    /// The server responded that it did not apply the request.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// The response status.
        status: u16,
    },
    /// The store was restored from a backup: the response is from an era before the known one, or
    /// the pages of a listing are from different eras.
    #[snafu(display("response is from a different store era"))]
    EraMismatch,
    /// The request cannot be built, because a name in it is too long.
    #[snafu(display("cannot build request: {source}"))]
    NotSendable {
        /// The cause.
        source: TargetTooLong,
    },
    /// The response could not be decoded.
    #[snafu(display("cannot decode response: {detail}"))]
    Unreadable {
        /// The decoding error.
        detail: String,
    },
}

impl CallError {
    /// Creates the error for a response status that says the request was not applied.
    pub fn refused(status: StatusCode) -> Self {
        Self::Refused {
            status: status.as_u16(),
        }
    }

    /// Creates the error for a request that cannot be built.
    pub fn not_sendable(source: TargetTooLong) -> Self {
        Self::NotSendable { source }
    }

    /// Creates the error for a response that the codec could not decode.
    pub fn unreadable(error: DecodeError) -> Self {
        Self::Unreadable {
            detail: error.to_string(),
        }
    }
}

/// A response whose body has been read completely.
#[derive(Debug)]
pub struct BufferedResponse {
    /// The response status.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// A client that makes one call at a time.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    /// Creates a client for the store or box at `addr`, without connecting.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            connection: None,
        }
    }

    /// Returns the address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Opens a connection within `limit`, unless one is ready.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened in time.
    pub async fn connect(&mut self, limit: Duration) -> Result<(), CallError> {
        if self.connection.as_ref().is_some_and(Connection::is_ready) {
            return Ok(());
        }
        let connection = Connection::open_within(self.addr, limit).await;
        self.connection = Some(connection.map_err(|source| CallError::Unreachable { source })?);
        Ok(())
    }

    /// Sends a request and reads the complete response, connecting first if necessary.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives within `limit`. The connection is then dropped, as it may
    /// stay silent after a lost response.
    pub async fn call(
        &mut self,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<BufferedResponse, CallError> {
        let mut connection = match self.connection.take().filter(Connection::is_ready) {
            Some(connection) => connection,
            None => Connection::open(self.addr)
                .await
                .map_err(|source| CallError::Unreachable { source })?,
        };
        let no_response = |detail: String| CallError::ResponseLost { detail };
        let exchange = async {
            let response = connection.send(request.map(Full::new)).await;
            let response = response.map_err(|e| match e {
                SendError::NotSent => {
                    no_response("connection closed before the request was sent".into())
                }
                SendError::ResponseLost(e) => no_response(e.to_string()),
            })?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|e| match e.downcast::<LengthLimitError>() {
                Ok(_) => CallError::TooLarge,
                Err(e) => no_response(e.to_string()),
            })?;
            Ok(BufferedResponse {
                status: head.status,
                headers: head.headers,
                body: body.to_bytes(),
            })
        };
        let response = timeout(limit, exchange)
            .await
            .map_err(|_| CallError::Abandoned {
                detail: format!("no response within {} ms", limit.as_millis()),
            })??;
        self.connection = Some(connection);
        Ok(response)
    }
}
