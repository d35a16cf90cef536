//! Calls between boxes, with one encoded message in the request body and one in the response body.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

use crate::client::{BufferedResponse, CallError, Client, MAX_RESPONSE_BYTES};
use crate::message;

/// Error of a call to another box.
#[derive(Debug, Snafu)]
pub enum BoxCallError {
    /// No complete response arrived.
    #[snafu(display("{source}"))]
    NoResponse {
        /// The cause.
        source: CallError,
    },
    /// The response status was not 200.
    #[snafu(display("status {}", status.as_u16()))]
    Status {
        /// The response status.
        status: StatusCode,
    },
    /// The response body could not be decoded.
    #[snafu(display("{source}"))]
    Decode {
        /// The decoding error.
        source: std::io::Error,
    },
}

/// Sends a message to a box and decodes its response.
///
/// # Errors
///
/// Fails if no complete response arrives within `limit`, if its status is not 200, or if its body
/// cannot be decoded.
pub async fn post<A: DeserializeOwned>(
    client: &mut Client,
    path: &str,
    message: &impl Serialize,
    limit: Duration,
) -> Result<A, BoxCallError> {
    let body = message::encode(message);
    let request = request(Method::POST, client.addr(), path, body);
    decode_response(client.call(request, limit).await)
}

/// Builds a GET request to the box at `addr`; all parameters are in the path.
pub fn get_request(addr: SocketAddr, path: &str) -> Request<Bytes> {
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

/// Decodes the response of a box.
///
/// # Errors
///
/// Fails if there is no response, if its status is not 200, or if its body cannot be decoded.
pub fn decode_response<A: DeserializeOwned>(
    response: Result<BufferedResponse, CallError>,
) -> Result<A, BoxCallError> {
    let response = response.context(NoResponseSnafu)?;
    if response.status != StatusCode::OK {
        return StatusSnafu {
            status: response.status,
        }
        .fail();
    }
    message::decode(&response.body, MAX_RESPONSE_BYTES).context(DecodeSnafu)
}

/// Reads and decodes the message in a request from another box. Returns `None` if the body is larger
/// than `max_bytes` or cannot be decoded.
pub async fn read_message<M: DeserializeOwned>(
    request: Request<Incoming>,
    max_bytes: usize,
) -> Option<M> {
    let body = Limited::new(request.into_body(), max_bytes).collect().await;
    message::decode(&body.ok()?.to_bytes(), max_bytes).ok()
}
