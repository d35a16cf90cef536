//! Calls to the store, or to another box, on one kept connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Request, StatusCode};
use snafu::Snafu;
use tokio::time::timeout;

use crate::channel::{Channel, SendError};
use crate::dialect::DecodeError;

/// Time for the store to answer, beyond what it was asked to wait. A slow store takes some hundred
/// milliseconds.
pub const ANSWER_LIMIT: Duration = Duration::from_millis(1_500);
/// Bytes of the largest answer: a page is about a megabyte at most.
pub const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A call that brought nothing to use.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// It could not be reached.
    #[snafu(display("no connection: {source}"))]
    Unreachable {
        /// Why.
        source: std::io::Error,
    },
    /// No whole answer came; a write may have been done.
    #[snafu(display("the answer was lost: {detail}"))]
    Lost {
        /// What happened.
        detail: String,
    },
    /// The answer was not waited for any longer.
    #[snafu(display("the answer was given up: {detail}"))]
    GivenUp {
        /// Why.
        detail: String,
    },
    /// It answered that it did nothing.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// The status.
        status: u16,
    },
    /// The store was restored from a backup: the answer is from an era before the known one, or
    /// the pages of a listing are from different eras.
    #[snafu(display("the answer is from another era of the store"))]
    EraMismatch,
    /// The answer cannot be read.
    #[snafu(display("the answer cannot be read: {detail}"))]
    Unreadable {
        /// What was expected.
        detail: String,
    },
}

impl CallError {
    /// It answered with a status that says it did nothing.
    pub fn refused(status: StatusCode) -> Self {
        Self::Refused {
            status: status.as_u16(),
        }
    }

    /// Its answer does not have the form expected.
    pub fn unreadable(error: DecodeError) -> Self {
        Self::Unreadable {
            detail: error.to_string(),
        }
    }
}

/// An answer with its whole body.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// One caller; its calls go one after the other.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    channel: Option<Channel>,
}

impl Client {
    /// A client of the store or box at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            channel: None,
        }
    }

    /// Whom it calls.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Makes sure that there is a connection; a new one must come up within `limit`.
    ///
    /// # Errors
    ///
    /// When the other end cannot be reached in time.
    pub async fn connect(&mut self, limit: Duration) -> Result<(), CallError> {
        if self.channel.as_ref().is_some_and(Channel::is_ready) {
            return Ok(());
        }
        let channel = Channel::open_within(self.addr, limit).await;
        self.channel = Some(channel.map_err(|source| CallError::Unreachable { source })?);
        Ok(())
    }

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// When there is no whole answer within `limit`. The connection is then given up: after a lost
    /// answer it may say nothing further.
    pub async fn call(
        &mut self,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        let mut channel = match self.channel.take().filter(Channel::is_ready) {
            Some(channel) => channel,
            None => Channel::open(self.addr)
                .await
                .map_err(|source| CallError::Unreachable { source })?,
        };
        let lost = |detail: String| CallError::Lost { detail };
        let whole = async {
            let answer = channel.send(request.map(Full::new)).await;
            let answer = answer.map_err(|e| match e {
                SendError::NotSent => lost("the connection closed before".into()),
                SendError::Lost(e) => lost(e.to_string()),
            })?;
            let (head, body) = answer.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES).collect();
            let body = body.await.map_err(|e| lost(e.to_string()))?.to_bytes();
            Ok(Answer {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        let answer = timeout(limit, whole)
            .await
            .map_err(|_| CallError::GivenUp {
                detail: format!("nothing came within {} ms", limit.as_millis()),
            })??;
        self.channel = Some(channel);
        Ok(answer)
    }
}
