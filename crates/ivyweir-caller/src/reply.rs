//! Responses: complete replies, streams of server-sent events, and error bodies.

use std::io::{self, Write};

use chunked_transfer::Encoder;
use ivyweir_policy::{Execution, Refusal};
use serde_json::json;

/// An HTTP header field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Field name.
    pub name: String,
    /// Field value.
    pub value: String,
}

/// A complete HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Header fields, without those for length and connection, which the server adds.
    pub headers: Vec<Header>,
    /// Response body.
    pub body: Vec<u8>,
}

impl Header {
    /// Creates a header field.
    pub fn new(name: impl Into<String>, value: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            value: value.into(),
        }
    }
}

impl Reply {
    /// Creates a reply with a JSON body.
    pub fn json(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: vec![Header::new("Content-Type", "application/json")],
            body,
        }
    }

    /// Creates a reply with a plain text body, with the content type of Prometheus metrics.
    pub fn text(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            headers: vec![Header::new("Content-Type", "text/plain; version=0.0.4")],
            body: body.into().into_bytes(),
        }
    }

    /// Appends a header field.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: impl Into<String>) -> Self {
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
                .with_header("Retry-After", ms.div_ceil(1_000).to_string())
                .with_header("Retry-After-Ms", ms.to_string()),
        }
    }
}

/// Serializes a refusal in the error format of the chat completions API.
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

/// Writes a stream of server-sent events, and flushes after each event.
pub struct EventWriter {
    encoder: Encoder<Box<dyn Write + Send>>,
}

impl EventWriter {
    /// Writes the status line and the headers of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has closed the connection.
    pub fn start(mut writer: Box<dyn Write + Send>, headers: &[Header]) -> io::Result<Self> {
        let mut head = String::from(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n",
        );
        for header in headers {
            head.push_str(&format!("{}: {}\r\n", header.name, header.value));
        }
        head.push_str("Transfer-Encoding: chunked\r\n\r\n");
        writer.write_all(head.as_bytes())?;
        writer.flush()?;
        Ok(Self {
            encoder: Encoder::with_flush_after_write(writer),
        })
    }

    /// Writes and flushes one event.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has closed the connection.
    pub fn write_event(&mut self, data: &str) -> io::Result<()> {
        self.encoder
            .write_all(format!("data: {data}\n\n").as_bytes())?;
        // The encoder writes each chunk through, but the underlying writer has its own buffer.
        self.encoder.get_mut().flush()
    }

    /// Ends the stream with an error event and without `[DONE]`, so that clients do not take it for
    /// complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has closed the connection.
    pub fn finish_with_error(mut self, refusal: &Refusal) -> io::Result<()> {
        self.write_event(&error_body(refusal))
    }

    /// Ends a complete stream with `[DONE]`.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has closed the connection.
    pub fn finish(mut self) -> io::Result<()> {
        self.write_event("[DONE]")
    }
}
