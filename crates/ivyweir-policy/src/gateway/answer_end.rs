//! What the end of an answer's source means.
//!
//! A body that could not be read to its end, because it was reset or ended before its length or last chunk, is broken in
//! any case. [`SourceEnd`] decides about a body that was.

/// How a body shows where it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Framing {
    /// By the length in its head.
    Length,
    /// By its last chunk.
    Chunks,
    /// By the end of its connection.
    Connection,
}

impl Framing {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// What is known of an upstream when the body of its answer has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UpstreamState {
    /// It was not checked.
    Unchecked,
    /// A check did not find that it has terminated.
    Running,
    /// It has terminated.
    Terminated,
}

/// The end of the body of an answer, as its reader found it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SourceEnd {
    /// How the body shows its end.
    pub framing: Framing,
    /// Whether the body is a stream of events and ends inside one.
    pub is_event_open: bool,
    /// What is known of the upstream.
    pub upstream: UpstreamState,
}

/// What the end of a body means.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AnswerEnd {
    /// The answer is complete.
    Complete,
    /// The answer was broken off.
    Broken(BreakCause),
    /// Only the state of the upstream tells, which was not checked.
    Unknown,
}

/// Why an answer whose body was read to its end is incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum BreakCause {
    /// The body ended inside an event.
    EventOpen,
    /// The body ended with its connection, and the upstream terminated.
    UpstreamTerminated,
}

impl BreakCause {
    /// Description in logs.
    pub fn text(self) -> &'static str {
        match self {
            Self::EventOpen => "body ended inside an event",
            Self::UpstreamTerminated => "body ended with its connection and its upstream",
        }
    }
}

impl SourceEnd {
    /// Decides what the end means. An answer that ends with its connection looks the same whether the upstream closed the
    /// connection behind it or terminated in the middle of it.
    pub fn meaning(self) -> AnswerEnd {
        if self.is_event_open {
            return AnswerEnd::Broken(BreakCause::EventOpen);
        }
        match (self.framing, self.upstream) {
            (Framing::Length | Framing::Chunks, _) => AnswerEnd::Complete,
            (Framing::Connection, UpstreamState::Running) => AnswerEnd::Complete,
            (Framing::Connection, UpstreamState::Unchecked) => AnswerEnd::Unknown,
            (Framing::Connection, UpstreamState::Terminated) => {
                AnswerEnd::Broken(BreakCause::UpstreamTerminated)
            }
        }
    }
}
