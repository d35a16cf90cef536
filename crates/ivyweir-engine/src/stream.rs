//! Streams of an engine: server-sent events, checked one by one.

use std::io::{BufRead, BufReader, Read};

use serde_json::{Map, Value};

use crate::answer::{check_identity, read_usage};
use crate::{CallError, Completion, Fault, Usage};

/// Longest line that a stream may have.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// One event of a stream.
#[derive(Debug, Clone, PartialEq)]
pub struct Chunk {
    /// The event's JSON, for the caller.
    pub body: Map<String, Value>,
    /// The text it adds.
    pub text: String,
    /// Whether it carries the finish reason.
    pub is_final: bool,
    /// What the call used; engines say it in the last chunk.
    pub usage: Option<Usage>,
}

/// A running stream. It ends after a finish reason, the usage and the end mark, or in an error.
pub struct ChunkStream {
    lines: BufReader<Box<dyn Read + Send>>,
    request: Completion,
    finished: bool,
    ended: bool,
}

impl ChunkStream {
    /// A stream that reads the events of `source`, the answer to `request`.
    pub fn new(source: Box<dyn Read + Send>, request: Completion) -> Self {
        Self {
            lines: BufReader::new(source),
            request,
            finished: false,
            ended: false,
        }
    }

    fn next_data(&mut self) -> Result<String, CallError> {
        loop {
            let mut line = String::new();
            let read = (&mut self.lines)
                .take(MAX_LINE_BYTES)
                .read_line(&mut line)
                .map_err(|e| broken(&e))?;
            if read == 0 {
                return Err(CallError::new(Fault::Truncated, "stream ended early"));
            }
            if !line.ends_with('\n') {
                return Err(CallError::new(
                    Fault::Truncated,
                    "stream ended within a line",
                ));
            }
            if let Some(data) = line.strip_prefix("data:") {
                return Ok(data.trim().to_owned());
            }
        }
    }

    fn read_chunk(&mut self, data: &str) -> Result<Chunk, CallError> {
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
        self.finished |= is_final;
        Ok(Chunk {
            usage: read_usage(&body),
            body,
            text,
            is_final,
        })
    }
}

impl Iterator for ChunkStream {
    type Item = Result<Chunk, CallError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.ended {
            return None;
        }
        let data = match self.next_data() {
            Ok(data) => data,
            Err(e) => {
                self.ended = true;
                return Some(Err(e));
            }
        };
        if data == "[DONE]" {
            self.ended = true;
            let early = !self.finished;
            return early.then(|| Err(CallError::new(Fault::Truncated, "no finish reason")));
        }
        let chunk = self.read_chunk(&data);
        self.ended = chunk.is_err();
        Some(chunk)
    }
}

#[cold]
pub(crate) fn broken(error: &std::io::Error) -> CallError {
    use std::io::ErrorKind::{TimedOut, WouldBlock};
    let fault = match error.kind() {
        TimedOut | WouldBlock => Fault::TimedOut,
        _ => Fault::Truncated,
    };
    CallError::new(fault, error.to_string())
}
