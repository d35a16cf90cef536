//! What a dialect translates: headers of requests and answers, and the store's messages.
//!
//! The gateway decides with the types below. A dialect reads them from, and writes them to, the
//! names that callers, upstreams and the store use. It holds no state and decides nothing.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use hyper::header::HeaderName;
use hyper::{HeaderMap, Request};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::duty::scaling::UpstreamOrder;
use ivyweir_policy::gateway::duty::usage::UsageReport;
use ivyweir_policy::gateway::duty::{DutyRecord, StoredDuties};
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::quarantine::{Fingerprint, QuarantineRecord};
use ivyweir_policy::gateway::rollout::RolloutOrder;
use ivyweir_policy::gateway::site::SiteConfig;
use ivyweir_policy::gateway::statement::{Source, Statement};
use serde::{Deserialize, Serialize};

/// A part of a prompt that may stand in other prompts too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of its id.
    pub id_hash: u64,
    /// Its length.
    pub tokens: u32,
}

/// What a caller says of its request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of this try.
    pub request_id: Option<Name>,
    /// Time for which the caller waits.
    pub budget_ms: Option<u64>,
    /// The caller's key.
    pub key: Option<Name>,
    /// Whether the caller leaves the model to the system.
    pub auto_model: bool,
    /// Tokens that the caller expects to come out, by its guess or else by its limit.
    pub expected_output_tokens: Option<u32>,
    /// Parts of the prompt in order; the last belongs to this request or its session.
    pub prompt_parts: Vec<PromptPart>,
    /// The event behind which the caller wants a stream to go on.
    pub last_event_id: Option<u64>,
    /// Hash of the session, if there is one.
    pub session: Option<u64>,
}

/// What the system says of a request that it sends on.
#[derive(Debug, Clone, Copy)]
pub struct ForwardMetadata<'a> {
    /// The upstream that is to run it; any other refuses.
    pub upstream_name: &'a str,
    /// What is left of the caller's time.
    pub budget_ms: u64,
    /// Whose request it is.
    pub workspace: Option<&'a str>,
    /// The model, where the caller left it open.
    pub model: Option<&'a str>,
    /// The event behind which the stream goes on, where that differs from what the caller said.
    pub resume_after: Option<u64>,
    /// Rank at the engine, 0 first.
    pub urgency: Option<u8>,
}

/// What an upstream says of its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Id of the request that it answers.
    pub request_id: Option<Name>,
    /// Whether it carries the upstream's signature.
    pub is_signed: bool,
    /// Whether the upstream says that the request did not run and will not.
    pub not_run: bool,
    /// Whether another incarnation has the address.
    pub is_other_incarnation: bool,
    /// What the upstream says of itself.
    pub statement: Statement,
    /// The model's opinion of its answer, 0 to 100.
    pub confidence: Option<u8>,
}

impl Default for ResponseMetadata {
    /// An answer that says nothing.
    fn default() -> Self {
        Self {
            request_id: None,
            is_signed: false,
            not_run: false,
            is_other_incarnation: false,
            statement: Statement::new(Source::Answer),
            confidence: None,
        }
    }
}

impl ResponseMetadata {
    /// Requests that the upstream ran when it answered; 0 where it does not tell.
    pub fn running(&self) -> u32 {
        self.statement.load.map_or(0, |load| load.running)
    }

    /// Requests that waited at the upstream when it answered, for each that it ran; 0 where it does not
    /// tell.
    pub fn waiting_per_running(&self) -> f64 {
        self.statement.load.map_or(0.0, |load| {
            f64::from(load.waiting) / f64::from(load.running.max(1))
        })
    }
}

/// Which records of the store are meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The configuration.
    Site,
    /// Upstreams.
    Upstreams,
    /// Roll-outs.
    Rollouts,
    /// Halls whose upstreams are to get nothing more.
    DrainedHalls,
}

impl Topic {
    /// What boxes follow where operators may drain halls.
    pub const ALL: [Self; 4] = [
        Self::Site,
        Self::Upstreams,
        Self::Rollouts,
        Self::DrainedHalls,
    ];
    /// What they follow elsewhere: each topic more costs calls to the store.
    pub const WITHOUT_DRAINS: [Self; 3] = [Self::Site, Self::Upstreams, Self::Rollouts];

    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Site => "site",
            Self::Upstreams => "upstreams",
            Self::Rollouts => "rollouts",
            Self::DrainedHalls => "drained_halls",
        }
    }

    /// The topic of this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|topic| topic.name() == name)
    }
}

/// A record of the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreRecord {
    /// A configuration.
    Site(Box<SiteConfig>),
    /// An upstream.
    Upstream(UpstreamRecord),
    /// A roll-out.
    Rollout(RolloutOrder),
    /// A hall whose upstreams are to get nothing more while the record stands.
    DrainedHall(Name),
}

impl StoreRecord {
    /// The name of its record, where there may be several of its kind.
    pub fn name(&self) -> Option<&Name> {
        match self {
            Self::Site(_) => None,
            Self::Upstream(record) => Some(record.name()),
            Self::Rollout(order) => Some(&order.pool),
            Self::DrainedHall(hall) => Some(hall),
        }
    }

    /// Sets the store era of a roll-out's revision; returns other records unchanged.
    #[must_use]
    pub fn with_era(mut self, era: u64) -> Self {
        if let Self::Rollout(order) = &mut self {
            order.era = era;
        }
        self
    }

    /// The record of an upstream, if it is one.
    pub fn upstream(self) -> Option<UpstreamRecord> {
        match self {
            Self::Upstream(record) => Some(record),
            _ => None,
        }
    }
}

/// What is wrong with a record: it may come from another writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordFault {
    /// It has no name.
    MissingName,
    /// A field is missing or of another type, or it is no object.
    Malformed,
    /// Its address is none.
    InvalidAddress,
    /// Its state is none that is known.
    UnknownState,
    /// The time of its start is no whole number of milliseconds.
    InvalidStartTime,
}

impl RecordFault {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::MissingName => "unnamed",
            Self::Malformed => "form",
            Self::InvalidAddress => "address",
            Self::UnknownState => "state",
            Self::InvalidStartTime => "start",
        }
    }
}

/// Bytes of a text that says what is wrong with a record: the record itself may have hundreds of kilobytes.
const MAX_DETAIL_BYTES: usize = 160;

/// A record that cannot be read. What it was before it was written over counts no more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidRecord {
    /// Its name, where it has one.
    pub name: Option<Name>,
    /// What is wrong with it.
    pub fault: RecordFault,
    /// More of that.
    pub detail: String,
}

impl InvalidRecord {
    /// A record of this name, and what is wrong with it; a long detail is cut.
    pub fn new(name: Option<Name>, fault: RecordFault, detail: impl fmt::Display) -> Self {
        let mut detail = detail.to_string();
        if let Some((end, _)) = detail
            .char_indices()
            .find(|(at, _)| *at >= MAX_DETAIL_BYTES)
        {
            detail.truncate(end);
        }
        Self {
            name,
            fault,
            detail,
        }
    }
}

/// A record, or why it cannot be read.
pub type RecordResult = std::result::Result<StoreRecord, InvalidRecord>;

/// A quarantined request that is kept, or why it cannot be read.
pub type QuarantineEntry = std::result::Result<QuarantineRecord, DecodeError>;

/// A page of a listing.
#[derive(Debug)]
pub struct Page {
    /// The records.
    pub entries: Vec<RecordResult>,
    /// Where the next page starts, if there is one.
    pub next_after: Option<String>,
    /// The store's revision when it answered.
    pub revision: u64,
}

/// A change that a watch saw.
#[derive(Debug)]
pub enum Change {
    /// A record was written.
    Put(RecordResult),
    /// The record of this name is gone.
    Removed(Name),
}

impl Change {
    /// Sets the store era of a written record; returns removals unchanged.
    #[must_use]
    pub fn with_era(self, era: u64) -> Self {
        match self {
            Self::Put(entry) => Self::Put(entry.map(|item| item.with_era(era))),
            Self::Removed(name) => Self::Removed(name),
        }
    }
}

/// What a watch saw.
#[derive(Debug)]
pub struct Changes {
    /// In order.
    pub changes: Vec<Change>,
    /// Where the next watch starts.
    pub revision: u64,
}

/// A message that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError {
    detail: String,
}

impl DecodeError {
    /// `detail` says which message, and what was expected.
    pub fn new(detail: impl Into<String>) -> Self {
        Self {
            detail: detail.into(),
        }
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for DecodeError {}

/// Names on requests and answers.
pub trait Dialect: Send + Sync {
    /// The path at which the balancer asks whether a box takes new connections.
    fn ready_path(&self) -> &str;

    /// Reads what a caller says.
    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Removes what only the system may say, and the caller's key.
    fn strip_reserved_headers(&self, headers: &mut HeaderMap);

    /// Adds what the system says.
    fn add_forward_headers(&self, headers: &mut HeaderMap, forward: &ForwardMetadata);

    /// Reads what an upstream says.
    fn response_metadata(&self, status: u16, headers: &HeaderMap) -> ResponseMetadata;

    /// Names on an answer that are the dialect's by their form, and that [`answer`](Self::response_metadata) does not read.
    fn unread_headers<'h>(&self, headers: &'h HeaderMap) -> Vec<&'h HeaderName>;
}

/// The store's messages.
pub trait StoreCodec: Send + Sync {
    /// Reads the number of times the store has been restored from a backup from the headers of an
    /// answer; `None` if they contain no valid number.
    fn store_era(&self, headers: &HeaderMap) -> Option<u64>;

    /// Asks for a page of records.
    fn list(&self, topic: Topic, after: Option<&str>) -> Request<Bytes>;

    /// Asks for changes behind a revision, waiting for some.
    fn watch(&self, topic: Topic, since: u64, wait_ms: u64) -> Request<Bytes>;

    /// Writes how far a roll-out is, if its record has not changed.
    fn write_rollout(&self, order: &RolloutOrder) -> Request<Bytes>;

    /// Asks for the quarantined requests that are kept.
    fn list_quarantines(&self) -> Request<Bytes>;

    /// Keeps a quarantined request, unless it is kept already.
    fn create_quarantine(&self, record: &QuarantineRecord) -> Request<Bytes>;

    /// Keeps it no longer.
    fn delete_quarantine(&self, fingerprint: Fingerprint) -> Request<Bytes>;

    /// Asks who holds the duties.
    fn read_duties(&self) -> Request<Bytes>;

    /// Writes who holds the duties, if the record has this revision; if there is none yet, without one.
    fn write_duties(&self, record: &DutyRecord, revision: Option<u64>) -> Request<Bytes>;

    /// Reads who holds the duties, as it stands after a write, or in place of one.
    ///
    /// # Errors
    ///
    /// When the body is no such record.
    fn decode_duties(&self, body: &[u8]) -> Result<StoredDuties, DecodeError>;

    /// Reads the quarantined requests that are kept; one that cannot be read is an error of its own.
    ///
    /// # Errors
    ///
    /// When the body is no list of them.
    fn decode_quarantines(&self, body: &[u8]) -> Result<Vec<QuarantineEntry>, DecodeError>;

    /// Reads a page.
    ///
    /// # Errors
    ///
    /// When the body is no page.
    fn decode_page(&self, topic: Topic, body: &[u8]) -> Result<Page, DecodeError>;

    /// Reads what a watch saw.
    ///
    /// # Errors
    ///
    /// When the body is no answer to a watch.
    fn decode_changes(&self, topic: Topic, body: &[u8]) -> Result<Changes, DecodeError>;

    /// Reads a roll-out's record as it stands after a write, or in place of one.
    ///
    /// # Errors
    ///
    /// When the body is no such record.
    fn decode_rollout(&self, body: &[u8]) -> Result<RolloutOrder, DecodeError>;
}

/// Who makes a duty's call.
#[derive(Debug, Clone, Copy)]
pub struct DutyHolder<'a> {
    /// The box that holds the duties.
    pub name: &'a str,
    /// The fence under which it holds them.
    pub fence: u64,
}

/// Messages of duties to the platform.
pub trait DutyCodec: Send + Sync {
    /// Reports the usage of a window.
    fn report_usage(&self, holder: DutyHolder, report: &UsageReport) -> Request<Bytes>;

    /// Orders upstreams.
    fn order_upstreams(&self, holder: DutyHolder, order: &UpstreamOrder) -> Request<Bytes>;
}

/// Translates for all whom a box talks to but other boxes.
#[derive(Clone)]
pub struct Adapter {
    /// Names on requests and answers.
    pub dialect: Arc<dyn Dialect>,
    /// The store's messages.
    pub store: Arc<dyn StoreCodec>,
    /// Messages of duties.
    pub duties: Arc<dyn DutyCodec>,
}
