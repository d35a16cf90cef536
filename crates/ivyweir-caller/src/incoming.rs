//! Incoming HTTP requests, with limits on size and read time.

use std::io;
use std::time::{Duration, Instant};

use ivyweir_policy::{Code, Refusal};

use crate::reply::EventWriter;
use crate::{Header, Reply};

/// Largest accepted request body.
pub const MAX_BODY_BYTES: usize = 4 << 20;
const MAX_HEADERS: usize = 64;
const MAX_HEADER_BYTES: usize = 8 << 10;
const MAX_PATH_BYTES: usize = 4 << 10;
/// Time within which the whole body must be received.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);
const READ_BUFFER_BYTES: usize = 16 << 10;

/// A request whose head has been parsed and whose body may be unread.
pub struct Incoming {
    inner: tiny_http::Request,
}

impl Incoming {
    pub(crate) fn new(inner: tiny_http::Request) -> Self {
        Self { inner }
    }

    /// Returns the method in upper case.
    pub fn method(&self) -> &str {
        self.inner.method().as_str()
    }

    /// Returns the request target: the path and the query.
    pub fn path_and_query(&self) -> &str {
        self.inner.url()
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.path_and_query().split('?').next().unwrap_or_default()
    }

    /// Returns the value of the first header with this name, ignoring ASCII case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.inner
            .headers()
            .iter()
            .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name))
            .map(|h| h.value.as_str())
    }

    /// Returns all headers in the order received.
    pub fn headers(&self) -> Vec<Header> {
        self.inner
            .headers()
            .iter()
            .map(|h| Header::new(h.field.as_str().as_str(), h.value.as_str()))
            .collect()
    }

    /// Checks the number and length of the headers and the length of the path.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the exceeded limit.
    pub fn check_head(&self) -> Result<(), Refusal> {
        let headers = self.inner.headers();
        let too_long = headers
            .iter()
            .any(|h| h.value.as_str().len() > MAX_HEADER_BYTES);
        if headers.len() > MAX_HEADERS || too_long {
            return Err(too_large(
                "headers: expected at most 64 headers of at most 8 KiB each",
            ));
        }
        if self.path_and_query().len() > MAX_PATH_BYTES {
            return Err(too_large("path: expected at most 4 KiB"));
        }
        Ok(())
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the body is larger than [`MAX_BODY_BYTES`], arrives too slowly or is
    /// shorter than its `Content-Length`.
    pub fn read_body(&mut self) -> Result<Vec<u8>, Refusal> {
        let content_length = self.inner.body_length();
        if content_length.is_some_and(|n| n > MAX_BODY_BYTES) {
            return Err(too_large("body: expected at most 4 MiB"));
        }
        let deadline = Instant::now() + BODY_READ_TIMEOUT;
        let mut body = Vec::with_capacity(content_length.unwrap_or(0));
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            let read = self
                .inner
                .as_reader()
                .read(&mut buffer)
                .map_err(|e| body_read_error(&e))?;
            if read == 0 {
                break;
            }
            body.extend_from_slice(&buffer[..read]);
            if body.len() > MAX_BODY_BYTES {
                return Err(too_large("body: expected at most 4 MiB"));
            }
            if Instant::now() > deadline {
                return Err(Refusal::not_run(
                    Code::TooSlow,
                    "body: not received within 10 s",
                ));
            }
        }
        if content_length.is_some_and(|n| n != body.len()) {
            return Err(Refusal::not_run(
                Code::Malformed,
                "body: shorter than Content-Length",
            ));
        }
        Ok(body)
    }

    /// Sends a complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has closed the connection.
    pub fn reply(self, reply: Reply) -> io::Result<()> {
        let length = reply.body.len();
        let headers = reply
            .headers
            .iter()
            .filter_map(|h| {
                tiny_http::Header::from_bytes(h.name.as_bytes(), h.value.as_bytes()).ok()
            })
            .collect();
        let response = tiny_http::Response::new(
            tiny_http::StatusCode(reply.status),
            headers,
            io::Cursor::new(reply.body),
            Some(length),
            None,
        )
        .with_chunked_threshold(usize::MAX);
        self.inner.respond(response)
    }

    /// Starts a response that is a stream of server-sent events.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has closed the connection.
    pub fn into_events(self, headers: &[Header]) -> io::Result<EventWriter> {
        EventWriter::start(self.inner.into_writer(), headers)
    }
}

#[cold]
fn too_large(message: &str) -> Refusal {
    Refusal::not_run(Code::TooLarge, message)
}

#[cold]
fn body_read_error(error: &io::Error) -> Refusal {
    use io::ErrorKind::{TimedOut, WouldBlock};
    match error.kind() {
        TimedOut | WouldBlock => Refusal::not_run(
            Code::TooSlow,
            "body: timed out waiting for data from the caller",
        ),
        _ => Refusal::not_run(Code::Malformed, format!("body: {error}")),
    }
}
