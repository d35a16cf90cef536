//! Request targets of calls to the store. Names are data from other writers, so each is encoded here.

use std::fmt::{Display, Write};

use bytes::Bytes;
use hyper::{Method, Request, header};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use snafu::Snafu;

/// Bytes that are encoded in names: all but the unreserved ones, and those that separate nothing in a path or a query.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b':')
    .remove(b'@')
    .remove(b',');

/// Longest request target. Servers refuse longer ones, and the HTTP library cannot represent those of 64 KiB.
const MAX_TARGET_BYTES: usize = 16 << 10;

/// Longest part of a name that is sent to continue a listing behind it; a character takes 12 bytes at most when encoded.
const MAX_CURSOR_CHARS: usize = 1 << 10;

/// Returns what a listing continues behind after a record of this name. Of a name that is too long to be sent, it is a
/// beginning and the last character that there is: only names with the same long beginning are passed over.
pub fn cursor_behind(name: &str) -> String {
    let mut rest = name.chars();
    let mut cursor: String = rest.by_ref().take(MAX_CURSOR_CHARS).collect();
    if rest.next().is_some() {
        cursor.push(char::MAX);
    }
    cursor
}

/// A request target that is longer than servers accept, because of a long name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("request target of {len_bytes} bytes is too long"))]
pub struct TargetTooLong {
    /// Length of the target.
    pub len_bytes: usize,
}

/// The path and query of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestTarget {
    text: String,
    has_query: bool,
}

impl RequestTarget {
    /// Creates a target from a path without names.
    pub fn new(path: &str) -> Self {
        Self {
            text: path.to_owned(),
            has_query: false,
        }
    }

    /// Adds a path segment.
    #[must_use]
    pub fn segment(mut self, name: &str) -> Self {
        self.text.push('/');
        self.text.extend(utf8_percent_encode(name, ENCODED));
        self
    }

    /// Adds a parameter to the query.
    #[must_use]
    pub fn query(mut self, key: &str, value: impl Display) -> Self {
        let separator = if self.has_query { '&' } else { '?' };
        self.has_query = true;
        let value = value.to_string();
        let value = utf8_percent_encode(&value, ENCODED);
        // Writing to a string does not fail.
        let _written = write!(self.text, "{separator}{key}={value}");
        self
    }

    /// Builds a call with a JSON body, which may be empty.
    ///
    /// # Errors
    ///
    /// When the target is too long.
    pub fn request(
        self,
        method: Method,
        host: &str,
        body: Bytes,
    ) -> Result<Request<Bytes>, TargetTooLong> {
        let too_long = TargetTooLong {
            len_bytes: self.text.len(),
        };
        if self.text.len() > MAX_TARGET_BYTES {
            return Err(too_long);
        }
        let request = Request::builder()
            .method(method)
            .uri(self.text)
            .header(header::HOST, host);
        let request = if body.is_empty() {
            request
        } else {
            request.header(header::CONTENT_TYPE, "application/json")
        };
        request.body(body).map_err(|_| too_long)
    }
}
