//! What the end of an answer's source means.

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
