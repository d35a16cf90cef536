//! Calls between boxes: a message in the request's body, and one in the answer's.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

use crate::client::{Answer, CallError, Client, MAX_ANSWER_BYTES};
use crate::message;

/// A call to another box that brought nothing to use.
#[derive(Debug, Snafu)]
pub enum BoxCallError {
    /// No whole answer came.
    #[snafu(display("{source}"))]
    Unanswered {
        /// Why.
        source: CallError,
    },
    /// It answered with another status than success.
    #[snafu(display("status {}", status.as_u16()))]
    Status {
        /// The status.
        status: StatusCode,
    },
    /// The answer has another form.
    #[snafu(display("{source}"))]
    Unreadable {
        /// What was expected.
        source: std::io::Error,
    },
}

/// Sends a message to a box, and reads what it answers.
///
/// # Errors
///
/// When there is no whole answer within `limit`, or no success, or it cannot be read.
pub async fn post<A: DeserializeOwned>(
    client: &mut Client,
    path: &str,
    message: &impl Serialize,
    limit: Duration,
) -> Result<A, BoxCallError> {
    let body = message::encode(message);
    let request = request(Method::POST, client.addr(), path, body);
    read_answer(client.call(request, limit).await)
}

/// A question to the box at `addr`, all in its path.
pub fn question(addr: SocketAddr, path: &str) -> Request<Bytes> {
    request(Method::GET, addr, path, Bytes::new())
}

fn request(method: Method, addr: SocketAddr, path: &str, body: Bytes) -> Request<Bytes> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, addr.to_string())
        .body(body)
        .expect("invariant: all parts are valid")
}

/// Reads a box's answer.
///
/// # Errors
///
/// When there is none, or no success, or it cannot be read.
pub fn read_answer<A: DeserializeOwned>(
    answer: Result<Answer, CallError>,
) -> Result<A, BoxCallError> {
    let answer = answer.context(UnansweredSnafu)?;
    if answer.status != StatusCode::OK {
        return StatusSnafu {
            status: answer.status,
        }
        .fail();
    }
    message::decode(&answer.body, MAX_ANSWER_BYTES).context(UnreadableSnafu)
}

/// Reads another box's message of at most `max_bytes`; none if it is larger or has another form.
pub async fn read_message<M: DeserializeOwned>(
    request: Request<Incoming>,
    max_bytes: usize,
) -> Option<M> {
    let body = Limited::new(request.into_body(), max_bytes).collect().await;
    message::decode(&body.ok()?.to_bytes(), max_bytes).ok()
}
