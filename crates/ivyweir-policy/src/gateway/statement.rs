//! What an upstream reports about itself, independent of the channel.
//!
//! ```
//! use ivyweir_policy::gateway::statement::{Source, Statement};
//!
//! let statement = Statement { is_leaving: true, ..Statement::new(Source::Answer) };
//! assert_eq!(statement.source.name(), "answer");
//! ```

/// Channel through which a statement was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The upstream's record, in the store's or another box's list.
    Record,
    /// The response head of an answer of the upstream itself, whatever the status.
    Answer,
    /// An answer of another incarnation at the upstream's address.
    OtherIncarnation,
    /// Another box, which received it from the upstream or from a third box.
    Peer,
}

impl Source {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::Answer => "answer",
            Self::OtherIncarnation => "other_incarnation",
            Self::Peer => "peer",
        }
    }
}

/// Load reported with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
}

/// How long an upstream that refused a request wants no further ones from this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAfter {
    /// For this time, from the answer on.
    ForMs(u64),
    /// The time could not be parsed.
    Unreadable,
}

/// How many requests an upstream accepts from all boxes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeclaredLimit {
    /// Requests per 1,000 seconds, since upstreams declare fractions of a request per second.
    Per1000S(u32),
    /// The limit could not be parsed.
    Unreadable,
    /// A limit declared before no longer applies.
    Ended,
}

impl DeclaredLimit {
    /// Requests per second, if the limit could be parsed.
    pub fn requests_per_s(self) -> Option<f64> {
        match self {
            Self::Per1000S(per_1000_s) => Some(f64::from(per_1000_s) / 1_000.0),
            Self::Unreadable | Self::Ended => None,
        }
    }
}

/// One report of an upstream about itself; all of it concerns the incarnation that made it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statement {
    /// Channel through which it was received.
    pub source: Source,
    /// Whether the upstream announces that it leaves.
    pub is_leaving: bool,
    /// Its load.
    pub load: Option<ReportedLoad>,
    /// Whether it wants no requests for a while.
    pub retry_after: Option<RetryAfter>,
    /// Whether it limits the requests that it accepts.
    pub limit: Option<DeclaredLimit>,
    /// Rejections per second above which each upstream of its pool fails, if they are brittle.
    pub brittle: Option<u32>,
    /// Time since the upstream made the report, according to the box that forwarded it.
    pub age_ms: u64,
    /// Time from the request to the answer with this report. None if the answer may not be the request's own, or says
    /// that the request did not run: only for such an answer does the absence of a limit mean that there is none.
    pub response_time_ms: Option<u64>,
}

impl Statement {
    /// Creates an empty statement.
    pub fn new(source: Source) -> Self {
        Self {
            source,
            is_leaving: false,
            load: None,
            retry_after: None,
            limit: None,
            brittle: None,
            age_ms: 0,
            response_time_ms: None,
        }
    }
}
