//! What an upstream says of itself, wherever it says it.
//!
//! ```
//! use ivyweir_policy::gateway::statement::{Source, Statement};
//!
//! let statement = Statement { is_leaving: true, ..Statement::new(Source::Answer) };
//! assert_eq!(statement.source.name(), "answer");
//! ```

/// Where something was heard of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Its record, in the store's or another box's list.
    Record,
    /// The head of an answer of its own, whatever the status.
    Answer,
    /// An answer of another incarnation at its address.
    OtherIncarnation,
    /// Another box, which heard it from the upstream or from a third one.
    Peer,
}

impl Source {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::Answer => "answer",
            Self::OtherIncarnation => "other_incarnation",
            Self::Peer => "peer",
        }
    }
}

/// Load told with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// How long an upstream that refused a request wants nothing more from this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAfter {
    /// For this time from the answer on.
    ForMs(u64),
    /// It says a time that cannot be read.
    Unreadable,
}

/// How many requests an upstream takes from all boxes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NamedLimit {
    /// So many within a thousand seconds: upstreams name fractions of a request a second.
    Per1000S(u32),
    /// It names a limit that cannot be read.
    Unreadable,
    /// It named one before, and does so no more.
    Ended,
}

impl NamedLimit {
    /// Requests a second, where they can be read.
    pub fn per_s(self) -> Option<f64> {
        match self {
            Self::Per1000S(per_1000_s) => Some(f64::from(per_1000_s) / 1_000.0),
            Self::Unreadable | Self::Ended => None,
        }
    }
}

/// What an upstream says of itself at one place; all of it is of the incarnation that said it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statement {
    /// Where it was heard.
    pub source: Source,
    /// Whether it says that it leaves.
    pub is_leaving: bool,
    /// Its load.
    pub load: Option<ReportedLoad>,
    /// Whether it wants nothing more for a while.
    pub retry_after: Option<RetryAfter>,
    /// Whether it limits what it takes.
    pub limit: Option<NamedLimit>,
    /// Time since the upstream said it, by the word of the box that told it.
    pub age_ms: u64,
    /// Time from the request to the answer that says it; none where the answer may not be the request's own, or says
    /// that it did not run. Only such an answer tells by its silence.
    pub answered_after_ms: Option<u64>,
}

impl Statement {
    /// A statement that says nothing yet.
    pub fn new(source: Source) -> Self {
        Self {
            source,
            is_leaving: false,
            load: None,
            retry_after: None,
            limit: None,
            age_ms: 0,
            answered_after_ms: None,
        }
    }
}
