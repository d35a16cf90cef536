//! Requests as an upstream reads them, and the text of its answers.

use std::io::{self, BufRead, Read};

use super::conduct::{Rejection, Run, Then};

/// Number of the last event of a stream.
pub const LAST_EVENT: u64 = 4;

/// End of the path of requests that end each upstream that runs them.
pub const HARMFUL_PATH: &str = "/harmful";

/// Begin of the path of requests that run for seconds.
pub const LONG_PATH: &str = "/long/";

/// The head of a request.
#[derive(Debug)]
pub struct Head {
    /// The method.
    pub method: String,
    path: String,
    /// Its id; empty if it has none.
    pub id: String,
    /// The upstream that it is meant for.
    pub expected_upstream: Option<String>,
    last_event: u64,
    length: u64,
}

impl Head {
    /// Reads the head of a request; `None` at the end of the connection.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut words = line.split(' ').map(str::to_owned);
        let mut head = Self {
            method: words.next().unwrap_or_default(),
            path: words.next().unwrap_or_default(),
            id: String::new(),
            expected_upstream: None,
            last_event: 0,
            length: 0,
        };
        loop {
            let mut header = String::new();
            if reader.read_line(&mut header)? == 0 {
                return Ok(None);
            }
            let Some((name, value)) = header.trim().split_once(':') else {
                return Ok(Some(head));
            };
            let value = value.trim();
            match name.to_ascii_lowercase().as_str() {
                "ivyweir-request-id" => value.clone_into(&mut head.id),
                "ivyweir-upstream-id" => head.expected_upstream = Some(value.to_owned()),
                "last-event-id" => head.last_event = value.parse().unwrap_or(0),
                "content-length" => head.length = value.parse().unwrap_or(0),
                _ => {}
            }
        }
    }

    /// Reads the body; returns whether it came whole.
    pub fn read_body(&self, reader: &mut impl BufRead) -> bool {
        let read = io::copy(&mut reader.take(self.length), &mut io::sink());
        read.is_ok_and(|read| read == self.length)
    }

    /// Whether the request ends the upstream that runs it.
    pub fn is_harmful(&self) -> bool {
        self.path.ends_with(HARMFUL_PATH)
    }

    /// Whether the request runs for seconds.
    pub fn is_long(&self) -> bool {
        self.path.starts_with(LONG_PATH)
    }

    /// Whether the answer is a stream.
    pub fn is_stream(&self) -> bool {
        self.path.starts_with("/stream") || self.path.starts_with("/once")
    }

    /// The parts of the answer to the request, which has run; there are several of a stream.
    pub fn answer(&self, run: &Run, upstream: &str) -> Vec<String> {
        let Run {
            status, statement, ..
        } = run;
        let id = &self.id;
        let head = format!(
            "HTTP/1.1 {status} Answer\r\nivyweir-request-id: {id}\r\nivyweir-signature: signed\r\n\
             x-answered-by: {upstream}\r\n{statement}"
        );
        if *status != 200 || !self.is_stream() {
            let body = answer_text(id);
            return vec![format!(
                "{head}content-length: {}\r\n\r\n{body}",
                body.len()
            )];
        }
        let head =
            format!("{head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
        let events = self.last_event + 1..=LAST_EVENT;
        let mut parts = vec![head];
        parts.extend(events.map(|event| chunk(&event_text(id, event))));
        parts.push("0\r\n\r\n".to_owned());
        parts
    }

    /// The text of a rejection of the request.
    pub fn rejection(&self, rejection: &Rejection) -> String {
        let body = if rejection.has_body { "not run" } else { "" };
        let mut text = format!("HTTP/1.1 {} Rejected\r\n", rejection.status);
        text += &format!("ivyweir-request-id: {}\r\n", self.id);
        if rejection.says_not_run {
            text += "ivyweir-not-run: 1\r\n";
        }
        text += rejection.statement;
        if rejection.then == Then::CloseSaid {
            text += "connection: close\r\n";
        }
        text + &format!("content-length: {}\r\n\r\n{body}", body.len())
    }
}

/// A rejection with this header line in the place of the one that names its request.
pub fn foreign_rejection(id: &str) -> String {
    format!("HTTP/1.1 503 Rejected\r\n{id}ivyweir-not-run: 1\r\ncontent-length: 0\r\n\r\n")
}

/// The body of the answer to a request.
pub fn answer_text(id: &str) -> String {
    format!("answer to {id}")
}

/// An event of the stream that answers a request.
pub fn event_text(id: &str, event: u64) -> String {
    format!("id: {event}\ndata: {event} of {id}\n\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
