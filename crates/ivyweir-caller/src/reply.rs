//! Answers: whole ones, streams of events, and error bodies.

use std::io::{self, Write};

use chunked_transfer::Encoder;
use ivyweir_policy::{Execution, Refusal};
use serde_json::json;

/// One header line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// The name.
    pub name: String,
    /// The value.
    pub value: String,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers besides length and connection.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
}

impl Header {
    /// A header line.
    pub fn new(name: impl Into<String>, value: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            value: value.into(),
        }
    }
}

impl Reply {
    /// A JSON answer.
    pub fn json(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: vec![Header::new("Content-Type", "application/json")],
            body,
        }
    }

    /// A plain text answer.
    pub fn text(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            headers: vec![Header::new("Content-Type", "text/plain; version=0.0.4")],
            body: body.into().into_bytes(),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push(Header::new(name, value));
        self
    }
}

impl From<&Refusal> for Reply {
    fn from(refusal: &Refusal) -> Self {
        let reply = Self::json(refusal.code.http_status(), error_body(refusal).into_bytes());
        match refusal.retry_after_ms {
            None => reply,
            Some(ms) => reply
                .with("Retry-After", ms.div_ceil(1_000).to_string())
                .with("Retry-After-Ms", ms.to_string()),
        }
    }
}

/// The JSON body of a refusal, in the form of the chat completions API.
pub fn error_body(refusal: &Refusal) -> String {
    let kind = match refusal.code.http_status() {
        401 => "authentication_error",
        403 => "permission_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "api_error",
    };
    let run = match refusal.run {
        Execution::NotRun => "not_run",
        Execution::Unknown => "unknown",
    };
    json!({
        "error": {
            "message": refusal.message,
            "type": kind,
            "param": null,
            "code": refusal.code.as_str(),
            "run": run,
        }
    })
    .to_string()
}

/// Writes a stream of server-sent events; each leaves at once.
pub struct EventWriter {
    out: Encoder<Box<dyn Write + Send>>,
}

impl EventWriter {
    /// Writes the head of the answer.
    ///
    /// # Errors
    ///
    /// When the caller is gone.
    pub fn start(mut out: Box<dyn Write + Send>, headers: &[Header]) -> io::Result<Self> {
        let mut head = String::from(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n",
        );
        for header in headers {
            head.push_str(&format!("{}: {}\r\n", header.name, header.value));
        }
        head.push_str("Transfer-Encoding: chunked\r\n\r\n");
        out.write_all(head.as_bytes())?;
        out.flush()?;
        Ok(Self {
            out: Encoder::with_flush_after_write(out),
        })
    }

    /// Writes one event.
    ///
    /// # Errors
    ///
    /// When the caller is gone.
    pub fn event(&mut self, data: &str) -> io::Result<()> {
        self.out.write_all(format!("data: {data}\n\n").as_bytes())?;
        // The encoder passes its chunks on, but what lies below has a buffer of its own.
        self.out.get_mut().flush()
    }

    /// Ends the stream with an error, so that nobody takes it for whole.
    ///
    /// # Errors
    ///
    /// When the caller is gone.
    pub fn fail(mut self, refusal: &Refusal) -> io::Result<()> {
        self.event(&error_body(refusal))
    }

    /// Ends a whole stream.
    ///
    /// # Errors
    ///
    /// When the caller is gone.
    pub fn finish(mut self) -> io::Result<()> {
        self.event("[DONE]")
    }
}
