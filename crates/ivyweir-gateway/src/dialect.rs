//! Traits and types that separate the gateway from header names and store message formats.
//!
//! The gateway makes its decisions on the types below. A [`Dialect`] maps them to and from the
//! headers that callers and upstreams use, and a [`StoreCodec`] does so for the store's messages.
//! Implementations are stateless and make no decisions.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderName;
use hyper::{HeaderMap, Request};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::answer_owner::NamedRequest;
use ivyweir_policy::gateway::duty::scaling::UpstreamOrder;
use ivyweir_policy::gateway::duty::usage::UsageReport;
use ivyweir_policy::gateway::duty::{DutyRecord, StoredDuties};
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::quarantine::{Fingerprint, QuarantineRecord};
use ivyweir_policy::gateway::rollout::RolloutOrder;
use ivyweir_policy::gateway::site::SiteConfig;
use ivyweir_policy::gateway::statement::{Source, Statement};
use serde::{Deserialize, Serialize};

use crate::request_target::TargetTooLong;

/// A part of a prompt that other prompts may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's id.
    pub id_hash: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// Request metadata that a caller sends in headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of this try of the request.
    pub request_id: Option<Name>,
    /// Time until the caller gives up.
    pub budget_ms: Option<u64>,
    /// API key of the caller.
    pub key: Option<Name>,
    /// Whether the gateway selects the model.
    pub auto_model: bool,
    /// Expected number of output tokens: the caller's estimate, or its limit if it gave none.
    pub expected_output_tokens: Option<u32>,
    /// Parts of the prompt in order. The last one belongs to this request or its session.
    pub prompt_parts: Vec<PromptPart>,
    /// Last event that the caller received; a stream resumes after it.
    pub last_event_id: Option<u64>,
    /// Hash of the session id, if the request belongs to a session.
    pub session: Option<u64>,
}

impl RequestMetadata {
    /// The parts of the prompt that others may share: all but the last one.
    pub fn shared_parts(&self) -> &[PromptPart] {
        match self.prompt_parts.split_last() {
            Some((_, shared)) => shared,
            None => &[],
        }
    }
}

/// Metadata that the gateway adds to a request that it forwards.
#[derive(Debug, Clone, Copy)]
pub struct ForwardMetadata<'a> {
    /// Upstream that must run the request; any other upstream rejects it.
    pub upstream_name: &'a str,
    /// Remaining part of the caller's time budget.
    pub budget_ms: u64,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Model selected by the gateway, if the caller named none.
    pub model: Option<&'a str>,
    /// Event after which the stream resumes, if it differs from the one that the caller sent.
    pub resume_after: Option<u64>,
    /// Priority in the engine's queue; 0 is served first.
    pub urgency: Option<u8>,
}

/// Response metadata that an upstream sends in headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Id of the request that the response belongs to.
    pub request_id: Option<Name>,
    /// Whether the response has the ids of several requests.
    pub has_several_ids: bool,
    /// Whether the response has the upstream's signature header.
    pub is_signed: bool,
    /// Whether the upstream states that the request has not run and will not run.
    pub not_run: bool,
    /// Whether another incarnation now serves the address.
    pub is_other_incarnation: bool,
    /// The upstream's statement about itself: load, limits and whether it is leaving.
    pub statement: Statement,
    /// The model's confidence in its response, 0 to 100.
    pub confidence: Option<u8>,
}

impl Default for ResponseMetadata {
    /// Metadata of a response without any of the dialect's headers.
    fn default() -> Self {
        Self {
            request_id: None,
            has_several_ids: false,
            is_signed: false,
            not_run: false,
            is_other_incarnation: false,
            statement: Statement::new(Source::Answer),
            confidence: None,
        }
    }
}

impl ResponseMetadata {
    /// The request that the response names.
    pub fn named_request(&self) -> NamedRequest<'_> {
        match &self.request_id {
            _ if self.has_several_ids => NamedRequest::Several,
            Some(id) => NamedRequest::Id(id),
            None => NamedRequest::Missing,
        }
    }

    /// Number of requests running at the upstream when it responded; 0 if not reported.
    pub fn running(&self) -> u32 {
        self.statement.load.map_or(0, |load| load.running)
    }

    /// Number of requests waiting at the upstream per running request when it responded; 0 if not
    /// reported.
    pub fn waiting_per_running(&self) -> f64 {
        self.statement.load.map_or(0.0, |load| {
            f64::from(load.waiting) / f64::from(load.running.max(1))
        })
    }
}

/// A collection of records in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The configuration.
    Site,
    /// Registered upstreams.
    Upstreams,
    /// Roll-outs.
    Rollouts,
    /// Halls whose upstreams must not receive new requests.
    DrainedHalls,
}

impl Topic {
    /// Topics that a box follows where operators may drain halls.
    pub const ALL: [Self; 4] = [
        Self::Site,
        Self::Upstreams,
        Self::Rollouts,
        Self::DrainedHalls,
    ];
    /// Topics that a box follows elsewhere; each further topic costs calls to the store.
    pub const WITHOUT_DRAINS: [Self; 3] = [Self::Site, Self::Upstreams, Self::Rollouts];

    /// Name of the topic in logs, metrics and store paths.
    pub fn name(self) -> &'static str {
        match self {
            Self::Site => "site",
            Self::Upstreams => "upstreams",
            Self::Rollouts => "rollouts",
            Self::DrainedHalls => "drained_halls",
        }
    }

    /// Returns the topic with this name.
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
    /// A hall whose upstreams must not receive new requests while this record exists.
    DrainedHall(Name),
}

impl StoreRecord {
    /// Name of the record; `None` for the configuration, of which there is only one.
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

    /// Returns the upstream record, if this is one.
    pub fn upstream(self) -> Option<UpstreamRecord> {
        match self {
            Self::Upstream(record) => Some(record),
            _ => None,
        }
    }
}

/// Why a record is invalid. Records may come from writers other than this gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordFault {
    /// The name is missing.
    MissingName,
    /// The record is not an object, or a field is missing or has the wrong type.
    Malformed,
    /// The address cannot be parsed.
    InvalidAddress,
    /// The state is not a known value.
    UnknownState,
    /// The start time is not a whole number of milliseconds.
    InvalidStartTime,
}

impl RecordFault {
    /// Name of the fault in logs and metrics.
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

/// Maximum length of an error detail, since it may quote a record of hundreds of kilobytes.
const MAX_DETAIL_BYTES: usize = 160;

/// A record that cannot be decoded. It replaces the previous version of the record, which is no
/// longer in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidRecord {
    /// Name of the record, if it has one.
    pub name: Option<Name>,
    /// Kind of fault.
    pub fault: RecordFault,
    /// Description of the fault.
    pub detail: String,
}

impl InvalidRecord {
    /// Creates an invalid record, truncating a long detail.
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

/// A decoded record, or the reason why it is invalid.
pub type RecordResult = std::result::Result<StoreRecord, InvalidRecord>;

/// A stored quarantined request, or the reason why it cannot be decoded.
pub type QuarantineEntry = std::result::Result<QuarantineRecord, DecodeError>;

/// A page of a listing.
#[derive(Debug)]
pub struct Page {
    /// The records.
    pub entries: Vec<RecordResult>,
    /// Whether further pages follow.
    pub is_truncated: bool,
    /// Key after which the next page starts; `None` on the last page, and if no record of the page has a name.
    pub next_after: Option<String>,
    /// Revision of the store at the time of its response.
    pub revision: u64,
}

/// A change reported by a watch.
#[derive(Debug)]
pub enum Change {
    /// A record was written.
    Put(RecordResult),
    /// The record with this name was removed.
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

/// The changes reported by a watch.
#[derive(Debug)]
pub struct Changes {
    /// Changes in order of their revisions.
    pub changes: Vec<Change>,
    /// Revision from which the next watch starts.
    pub revision: u64,
}

/// A message that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError {
    detail: String,
}

impl DecodeError {
    /// Creates an error whose `detail` names the message and what was expected.
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

/// Features that a contract of the platform calls for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Features {
    /// Decisions under load are made by urgency, room and shares.
    pub load_control: bool,
    /// Streams are read ahead of their callers, and callers that read nothing are ended.
    pub reads_ahead: bool,
}

/// Mapping of request and response metadata to headers.
pub trait Dialect: Send + Sync {
    /// Path at which the load balancer checks whether a box accepts new connections.
    fn ready_path(&self) -> &str;

    /// Features that these contracts of the platform call for.
    fn features(&self, contracts: &[Name]) -> Features;

    /// Reads the metadata of a caller's request.
    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Removes the headers that only the gateway may set, and the caller's key.
    fn strip_reserved_headers(&self, headers: &mut HeaderMap);

    /// Adds the gateway's metadata to a forwarded request.
    fn add_forward_headers(&self, headers: &mut HeaderMap, forward: &ForwardMetadata);

    /// Reads the metadata of an upstream's response.
    fn response_metadata(&self, status: u16, headers: &HeaderMap) -> ResponseMetadata;

    /// Builds a request without effect, by which an upstream at `addr` is found to respond; `None` if there is none for
    /// upstreams of this kind.
    fn ping(&self, is_engine: bool, addr: SocketAddr) -> Option<Request<Full<Bytes>>>;

    /// Returns the response headers that have one of the dialect's prefixes but are not read by
    /// [`response_metadata`](Self::response_metadata).
    fn unread_headers<'h>(&self, headers: &'h HeaderMap) -> Vec<&'h HeaderName>;
}

/// Encoding and decoding of the store's messages.
pub trait StoreCodec: Send + Sync {
    /// Reads the number of times the store has been restored from a backup from the headers of a
    /// response; `None` if they contain no valid number.
    fn store_era(&self, headers: &HeaderMap) -> Option<u64>;

    /// Builds the request for a page of records.
    ///
    /// # Errors
    ///
    /// When `after` is too long.
    fn list(&self, topic: Topic, after: Option<&str>) -> Result<Request<Bytes>, TargetTooLong>;

    /// Builds the long-poll request for changes after a revision.
    fn watch(&self, topic: Topic, since: u64, wait_ms: u64) -> Request<Bytes>;

    /// Builds the conditional write of a roll-out's progress, which fails if the record has
    /// changed.
    ///
    /// # Errors
    ///
    /// When the name of the pool is too long.
    fn write_rollout(&self, order: &RolloutOrder) -> Result<Request<Bytes>, TargetTooLong>;

    /// Builds the request for the list of stored quarantined requests.
    fn list_quarantines(&self) -> Request<Bytes>;

    /// Builds the request that stores a quarantined request unless it is stored already.
    fn create_quarantine(&self, record: &QuarantineRecord) -> Request<Bytes>;

    /// Builds the request that deletes a stored quarantined request.
    fn delete_quarantine(&self, fingerprint: Fingerprint) -> Request<Bytes>;

    /// Builds the request for the record of the duty holder.
    fn read_duties(&self) -> Request<Bytes>;

    /// Builds the conditional write of the duty holder's record. It succeeds only if the record has
    /// this revision or, with `None`, if there is no record yet.
    fn write_duties(&self, record: &DutyRecord, revision: Option<u64>) -> Request<Bytes>;

    /// Decodes the record of the duty holder, which is also the response to a write, whether the
    /// write succeeded or not.
    ///
    /// # Errors
    ///
    /// When the body is not such a record.
    fn decode_duties(&self, body: &[u8]) -> Result<StoredDuties, DecodeError>;

    /// Decodes the list of stored quarantined requests. Each entry that cannot be decoded is a
    /// separate error in the list.
    ///
    /// # Errors
    ///
    /// When the body is not a list.
    fn decode_quarantines(&self, body: &[u8]) -> Result<Vec<QuarantineEntry>, DecodeError>;

    /// Decodes a page of records.
    ///
    /// # Errors
    ///
    /// When the body is not a page of records.
    fn decode_page(&self, topic: Topic, body: &[u8]) -> Result<Page, DecodeError>;

    /// Decodes the response to a watch.
    ///
    /// # Errors
    ///
    /// When the body is not a response to a watch.
    fn decode_changes(&self, topic: Topic, body: &[u8]) -> Result<Changes, DecodeError>;

    /// Decodes a roll-out's record, which is also the response to a write, whether the write
    /// succeeded or not.
    ///
    /// # Errors
    ///
    /// When the body is not such a record.
    fn decode_rollout(&self, body: &[u8]) -> Result<RolloutOrder, DecodeError>;
}

/// The box on whose behalf a duty call is made.
#[derive(Debug, Clone, Copy)]
pub struct DutyHolder<'a> {
    /// Name of the box that holds the duties.
    pub name: &'a str,
    /// Fencing token under which the box holds the duties.
    pub fence: u64,
}

/// Encoding of duty calls to the platform.
pub trait DutyCodec: Send + Sync {
    /// Builds the call that reports the usage of a window.
    fn report_usage(&self, holder: DutyHolder, report: &UsageReport) -> Request<Bytes>;

    /// Builds the call that orders upstreams.
    fn order_upstreams(&self, holder: DutyHolder, order: &UpstreamOrder) -> Request<Bytes>;
}

/// Translation for all parties that a box talks to, except other boxes.
#[derive(Clone)]
pub struct Adapter {
    /// Mapping of metadata to headers.
    pub dialect: Arc<dyn Dialect>,
    /// Encoding of the store's messages.
    pub store: Arc<dyn StoreCodec>,
    /// Encoding of duty calls.
    pub duties: Arc<dyn DutyCodec>,
}
