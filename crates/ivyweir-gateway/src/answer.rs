//! Forms of answers that a box gives.

use std::io;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::{Response, StatusCode};
use serde::Serialize;

use crate::message;

/// The body of every answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;

/// A body that is known as a whole.
pub fn whole(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer of plain text.
pub fn plain(status: StatusCode, text: String) -> Response<AnswerBody> {
    let mut answer = Response::new(whole(Bytes::from(text)));
    *answer.status_mut() = status;
    answer
}

/// An answer that is only a status.
pub fn bare(status: StatusCode) -> Response<AnswerBody> {
    plain(status, String::new())
}

/// An answer that boxes give each other.
pub fn message(value: &impl Serialize) -> Response<AnswerBody> {
    Response::new(whole(message::encode(value)))
}
