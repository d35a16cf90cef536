//! Constructors for the HTTP responses of a box.

use std::io;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::{Response, StatusCode};
use serde::Serialize;

use crate::message;

/// Body type of all responses.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// Returns a body that is fully in memory.
pub fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a plain-text response.
pub fn plain_text(status: StatusCode, text: String) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

/// Returns a response with an empty body.
pub fn status_only(status: StatusCode) -> Response<ResponseBody> {
    plain_text(status, String::new())
}

/// Returns a response to another box, with `value` as the encoded body.
pub fn peer_message(value: &impl Serialize) -> Response<ResponseBody> {
    Response::new(full_body(message::encode(value)))
}
