//! Constructors for the HTTP responses of a box.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, SizeHint};
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

/// A body in pieces, each of which is freed once it is written.
pub struct PieceBody {
    pieces: VecDeque<Bytes>,
    left_bytes: u64,
}

impl PieceBody {
    /// Creates the body.
    pub fn new(pieces: VecDeque<Bytes>) -> Self {
        let left_bytes = pieces.iter().map(|piece| piece.len() as u64).sum();
        Self { pieces, left_bytes }
    }
}

impl Body for PieceBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let piece = self.pieces.pop_front();
        self.left_bytes -= piece.as_ref().map_or(0, Bytes::len) as u64;
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left_bytes)
    }
}

/// A body that holds a value until all of it was taken by the HTTP server.
struct HoldingBody<T> {
    body: ResponseBody,
    _held: T,
}

impl<T: Unpin> Body for HoldingBody<T> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Returns a body that holds `held` until all of it was taken, or its caller has left.
pub fn hold_until_read<T: Unpin + Send + 'static>(body: ResponseBody, held: T) -> ResponseBody {
    HoldingBody { body, _held: held }.boxed_unsync()
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
