//! A request as it came in, bounded in size and time.

use std::io;
use std::time::{Duration, Instant};

use ivyweir_policy::{Code, Refusal};

use crate::reply::EventWriter;
use crate::{Header, Reply};

/// Largest body that is read.
pub const MAX_BODY_BYTES: usize = 4 << 20;
const MAX_HEADERS: usize = 64;
const MAX_HEADER_BYTES: usize = 8 << 10;
const MAX_PATH_BYTES: usize = 4 << 10;
/// Time in which a body must have come.
const BODY_TIME: Duration = Duration::from_secs(10);
const READ_BYTES: usize = 16 << 10;

/// A request whose head has been read.
pub struct Incoming {
    inner: tiny_http::Request,
}

impl Incoming {
    pub(crate) fn new(inner: tiny_http::Request) -> Self {
        Self { inner }
    }

    /// The method, in upper case.
    pub fn method(&self) -> &str {
        self.inner.method().as_str()
    }

    /// Path and query.
    pub fn path_and_query(&self) -> &str {
        self.inner.url()
    }

    /// The path alone.
    pub fn path(&self) -> &str {
        self.path_and_query().split('?').next().unwrap_or_default()
    }

    /// A header's value; names are compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.inner
            .headers()
            .iter()
            .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name))
            .map(|h| h.value.as_str())
    }

    /// All headers.
    pub fn headers(&self) -> Vec<Header> {
        self.inner
            .headers()
            .iter()
            .map(|h| Header::new(h.field.as_str().as_str(), h.value.as_str()))
            .collect()
    }

    /// Checks the head against its limits.
    ///
    /// # Errors
    ///
    /// A refusal that says which limit.
    pub fn check_head(&self) -> Result<(), Refusal> {
        let headers = self.inner.headers();
        let too_long = headers
            .iter()
            .any(|h| h.value.as_str().len() > MAX_HEADER_BYTES);
        if headers.len() > MAX_HEADERS || too_long {
            return Err(too_large("headers: expected 64 of 8 KiB each at most"));
        }
        if self.path_and_query().len() > MAX_PATH_BYTES {
            return Err(too_large("path: expected 4 KiB at most"));
        }
        Ok(())
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// A refusal when it is too large, too slow or cut short.
    pub fn read_body(&mut self) -> Result<Vec<u8>, Refusal> {
        let announced = self.inner.body_length();
        if announced.is_some_and(|n| n > MAX_BODY_BYTES) {
            return Err(too_large("body: expected 4 MiB at most"));
        }
        let deadline = Instant::now() + BODY_TIME;
        let mut body = Vec::with_capacity(announced.unwrap_or(0));
        let mut piece = [0; READ_BYTES];
        loop {
            let read = self
                .inner
                .as_reader()
                .read(&mut piece)
                .map_err(|e| slow(&e))?;
            if read == 0 {
                break;
            }
            body.extend_from_slice(&piece[..read]);
            if body.len() > MAX_BODY_BYTES {
                return Err(too_large("body: expected 4 MiB at most"));
            }
            if Instant::now() > deadline {
                return Err(Refusal::not_run(
                    Code::TooSlow,
                    "body: expected within 10 s",
                ));
            }
        }
        if announced.is_some_and(|n| n != body.len()) {
            return Err(Refusal::not_run(
                Code::Malformed,
                "body: shorter than announced",
            ));
        }
        Ok(body)
    }

    /// Answers with a whole reply.
    ///
    /// # Errors
    ///
    /// When the caller is gone.
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

    /// Starts a stream of events.
    ///
    /// # Errors
    ///
    /// When the caller is gone.
    pub fn into_events(self, headers: &[Header]) -> io::Result<EventWriter> {
        EventWriter::start(self.inner.into_writer(), headers)
    }
}

#[cold]
fn too_large(message: &str) -> Refusal {
    Refusal::not_run(Code::TooLarge, message)
}

#[cold]
fn slow(error: &io::Error) -> Refusal {
    use io::ErrorKind::{TimedOut, WouldBlock};
    match error.kind() {
        TimedOut | WouldBlock => {
            Refusal::not_run(Code::TooSlow, "body: the caller stopped sending")
        }
        _ => Refusal::not_run(Code::Malformed, format!("body: {error}")),
    }
}
