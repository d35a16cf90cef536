//! Streamed responses of an engine: server-sent events, each of which is validated.

use std::io::{BufRead, BufReader, Read};

use serde_json::{Map, Value};

use crate::response::{check_identity, parse_usage};
use crate::{CallError, CompletionRequest, Fault, Usage};

/// Maximum length of a line in a stream.
const MAX_LINE_BYTES: u64 = 1 << 20;
/// Maximum length of the text of a stream, which is kept to resume it.
const MAX_TEXT_BYTES: usize = 8 << 20;
/// Maximum length of all events without a choice or with a finish reason, which are kept until a request is billed.
const MAX_CLOSING_BYTES: usize = 1 << 20;

/// One event of a streamed response.
#[derive(Debug, Clone, PartialEq)]
pub struct Chunk {
    /// The JSON data of the event, which is passed on to the caller.
    pub body: Map<String, Value>,
    /// Text that the event adds to the message.
    pub text: String,
    /// Whether the event contains the finish reason.
    pub is_final: bool,
    /// Token usage of the call, which engines report in the last chunk.
    pub usage: Option<Usage>,
}

/// Iterator over the events of a streamed response.
///
/// A stream is complete if it has a finish reason and ends with `[DONE]`; engines send the token
/// usage in between. An incomplete stream yields an error as its last item.
pub struct ChunkStream {
    reader: BufReader<Box<dyn Read + Send>>,
    request: CompletionRequest,
    has_finish_reason: bool,
    text_bytes: usize,
    closing_bytes: usize,
    is_exhausted: bool,
}

impl ChunkStream {
    /// Creates a stream that reads the body of the response to `request`.
    pub fn new(body_reader: Box<dyn Read + Send>, request: CompletionRequest) -> Self {
        Self {
            reader: BufReader::new(body_reader),
            request,
            has_finish_reason: false,
            text_bytes: 0,
            closing_bytes: 0,
            is_exhausted: false,
        }
    }

    fn next_data(&mut self) -> Result<String, CallError> {
        loop {
            let mut line = String::new();
            let read = (&mut self.reader)
                .take(MAX_LINE_BYTES)
                .read_line(&mut line)
                .map_err(|e| io_error(&e))?;
            if read == 0 {
                return Err(CallError::new(
                    Fault::Truncated,
                    "stream ended before [DONE]",
                ));
            }
            if !line.ends_with('\n') {
                return Err(CallError::new(
                    Fault::Truncated,
                    "stream line is incomplete or longer than 1 MiB",
                ));
            }
            if let Some(data) = line.strip_prefix("data:") {
                return Ok(data.trim().to_owned());
            }
        }
    }

    fn parse_chunk(&mut self, data: &str) -> Result<Chunk, CallError> {
        let body: Map<String, Value> = serde_json::from_str(data)
            .map_err(|e| CallError::new(Fault::Truncated, format!("stream event: {e}")))?;
        if body.contains_key("error") {
            return Err(CallError::new(Fault::Failed, "engine reported an error"));
        }
        check_identity(&self.request, &body)?;
        let choice = body.get("choices").and_then(|c| c.get(0));
        let text = choice
            .and_then(|c| c.pointer("/delta/content"))
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned();
        let is_final = choice
            .and_then(|c| c.get("finish_reason"))
            .is_some_and(|r| !r.is_null());
        self.has_finish_reason |= is_final;
        self.text_bytes += text.len();
        if is_final || choice.is_none() {
            self.closing_bytes += data.len();
        }
        if self.text_bytes > MAX_TEXT_BYTES || self.closing_bytes > MAX_CLOSING_BYTES {
            return Err(CallError::new(
                Fault::Truncated,
                "stream is longer than 8 MiB of text or 1 MiB of closing events",
            ));
        }
        Ok(Chunk {
            usage: parse_usage(&body),
            body,
            text,
            is_final,
        })
    }
}

impl Iterator for ChunkStream {
    type Item = Result<Chunk, CallError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.is_exhausted {
            return None;
        }
        let data = match self.next_data() {
            Ok(data) => data,
            Err(e) => {
                self.is_exhausted = true;
                return Some(Err(e));
            }
        };
        if data == "[DONE]" {
            self.is_exhausted = true;
            let is_incomplete = !self.has_finish_reason;
            return is_incomplete.then(|| {
                Err(CallError::new(
                    Fault::Truncated,
                    "stream has no finish reason",
                ))
            });
        }
        let chunk = self.parse_chunk(&data);
        self.is_exhausted = chunk.is_err();
        Some(chunk)
    }
}

#[cold]
pub(crate) fn io_error(error: &std::io::Error) -> CallError {
    use std::io::ErrorKind::{TimedOut, WouldBlock};
    let fault = match error.kind() {
        TimedOut | WouldBlock => Fault::TimedOut,
        _ => Fault::Truncated,
    };
    CallError::new(fault, error.to_string())
}
