//! Event streams and plain answers whose line ends, framing, pieces and end are scripted by a test.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::{Response, Version};
use socket2::Socket;
use tokio::time::sleep;

/// Body of a response.
pub(super) type ScriptedBody = UnsyncBoxBody<Bytes, io::Error>;

/// Pause between pieces, so that each is received by a read of its own.
const PIECE_PAUSE: Duration = Duration::from_millis(3);

/// Bytes at the end of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineEnd {
    /// `\n`
    Lf,
    /// `\r\n`
    Crlf,
    /// `\r`
    Cr,
    /// Each of them in turn.
    Mixed,
}

impl LineEnd {
    fn bytes(self, line: u64) -> &'static str {
        match self {
            Self::Lf => "\n",
            Self::Crlf => "\r\n",
            Self::Cr => "\r",
            Self::Mixed => ["\n", "\r\n", "\r"][(line % 3) as usize],
        }
    }
}

/// How a body shows where it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// By a length in the head.
    Length,
    /// By a last chunk.
    Chunks,
    /// By the end of the connection.
    Connection,
}

/// How a body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// As its framing says.
    Framed,
    /// The connection is reset.
    Reset,
    /// The process exits, closing all connections.
    Exit,
    /// The connection stays open, and nothing more is sent.
    Silence,
}

/// A stream of numbered events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventScript {
    /// Number of the last event of the whole stream.
    pub events: u64,
    /// Number of the event after which the body ends; `None` for the last.
    pub last_sent: Option<u64>,
    /// Whether the body ends inside the event after the last one that is sent.
    pub is_torn: bool,
    /// Whether events have ids.
    pub has_ids: bool,
    /// Ends of all lines.
    pub line_end: LineEnd,
    /// How the body shows its end.
    pub framing: BodyFraming,
    /// How the body ends.
    pub end: BodyEnd,
    /// Length of the pieces in which the body is sent; 0 for one piece per event.
    pub piece_bytes: usize,
    /// Time before each event in milliseconds.
    pub gap_ms: u64,
}

impl EventScript {
    /// A whole stream in chunks.
    pub fn whole(events: u64) -> Self {
        Self {
            events,
            last_sent: None,
            is_torn: false,
            has_ids: true,
            line_end: LineEnd::Lf,
            framing: BodyFraming::Chunks,
            end: BodyEnd::Framed,
            piece_bytes: 0,
            gap_ms: 1,
        }
    }

    /// Returns the text of the events up to this one.
    pub fn text_up_to(&self, last: u64) -> String {
        self.pieces(0, last).concat()
    }

    fn event(&self, id: u64) -> String {
        let line = |n: u64| self.line_end.bytes(3 * id + n);
        let id_line = self.id_line(id);
        format!("{id_line}data: token {id}{}{}", line(1), line(2))
    }

    fn torn_event(&self, id: u64) -> String {
        format!("{}data: to", self.id_line(id))
    }

    fn id_line(&self, id: u64) -> String {
        if self.has_ids {
            format!("id: {id}{}", self.line_end.bytes(3 * id))
        } else {
            String::new()
        }
    }

    fn pieces(&self, after: u64, last: u64) -> Vec<String> {
        (after + 1..=last).map(|id| self.event(id)).collect()
    }

    /// Returns what is sent of the events behind `after`.
    fn sent(&self, after: u64) -> Vec<Bytes> {
        let last = self.last_sent.unwrap_or(self.events).max(after);
        let mut pieces = self.pieces(after, last);
        if self.is_torn && last < self.events {
            pieces.push(self.torn_event(last + 1));
        }
        if self.piece_bytes == 0 {
            return pieces.into_iter().map(Bytes::from).collect();
        }
        let all = pieces.concat().into_bytes();
        let parts = all.chunks(self.piece_bytes);
        parts.map(Bytes::copy_from_slice).collect()
    }

    /// Makes the events behind `after` the body of a response. `guard` lives as long as the body.
    pub(super) fn write_to<G: Send + 'static>(
        &self,
        response: &mut Response<ScriptedBody>,
        after: u64,
        control: ConnectionControl,
        guard: G,
    ) {
        let pause = match self.piece_bytes {
            0 => Duration::from_millis(self.gap_ms),
            _ => PIECE_PAUSE,
        };
        let (pieces, ending) = (self.sent(after), (self.framing, self.end));
        write_body(response, pieces, pause, ending, control, guard);
    }
}

/// A plain answer whose framing and end are scripted by a test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlainScript {
    /// Whether the last byte is not sent.
    pub is_cut: bool,
    /// How the body shows its end.
    pub framing: BodyFraming,
    /// How the body ends.
    pub end: BodyEnd,
}

impl PlainScript {
    /// Makes `text` the body of a response, as far as it is sent.
    pub(super) fn write_to<G: Send + 'static>(
        self,
        response: &mut Response<ScriptedBody>,
        mut text: String,
        control: ConnectionControl,
        guard: G,
    ) {
        if self.is_cut {
            text.pop();
        }
        let (pieces, ending) = (vec![Bytes::from(text)], (self.framing, self.end));
        write_body(response, pieces, PIECE_PAUSE, ending, control, guard);
    }
}

/// Makes `pieces` the body of a response, with a pause before each and before its end.
fn write_body<G: Send + 'static>(
    response: &mut Response<ScriptedBody>,
    pieces: Vec<Bytes>,
    pause: Duration,
    (framing, end): (BodyFraming, BodyEnd),
    control: ConnectionControl,
    guard: G,
) {
    match framing {
        BodyFraming::Length => {
            let sent: usize = pieces.iter().map(Bytes::len).sum();
            // What does not end as framed ends before the length in its head.
            let missing = usize::from(end != BodyEnd::Framed);
            let length = HeaderValue::from(sent + missing);
            response.headers_mut().insert(CONTENT_LENGTH, length);
        }
        BodyFraming::Chunks => {}
        // The HTTP library sends chunks in any later version.
        BodyFraming::Connection => *response.version_mut() = Version::HTTP_10,
    }
    let state = (pieces.into_iter(), control, guard);
    let frames = stream::unfold(state, move |(mut pieces, control, guard)| async move {
        sleep(pause).await;
        if let Some(piece) = pieces.next() {
            return Some((Ok(Frame::data(piece)), (pieces, control, guard)));
        }
        match end {
            BodyEnd::Framed => return None,
            BodyEnd::Reset => control.reset(),
            BodyEnd::Exit => (control.exit)(),
            BodyEnd::Silence => {}
        }
        if end != BodyEnd::Reset {
            std::future::pending::<()>().await;
        }
        let error = io::Error::other("scripted reset of the connection");
        Some((Err(error), (pieces, control, guard)))
    });
    *response.body_mut() = StreamBody::new(Box::pin(frames)).boxed_unsync();
}

/// Ends the connection of a response, or the whole process.
pub(super) struct ConnectionControl {
    /// The socket of the connection.
    pub(super) socket: Arc<Socket>,
    /// Exits the simulated process.
    pub(super) exit: Box<dyn Fn() + Send>,
}

impl ConnectionControl {
    /// Makes the end of the connection a reset.
    fn reset(&self) {
        // Fails only if the other side has closed the connection.
        let _ignored = self.socket.set_linger(Some(Duration::ZERO));
    }
}
