//! The native dialect, used unless another is configured: header names and store messages.

use bytes::Bytes;
use hyper::header::{self, HeaderName};
use hyper::{HeaderMap, Method, Request};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::duty::scaling::UpstreamOrder;
use ivyweir_policy::gateway::duty::usage::UsageReport;
use ivyweir_policy::gateway::duty::{DutyRecord, StoredDuties};
use ivyweir_policy::gateway::quarantine::{Fingerprint, QuarantineRecord};
use ivyweir_policy::gateway::rollout::RolloutOrder;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::dialect::{
    Change, Changes, DecodeError, DutyCodec, DutyHolder, InvalidRecord, Page, QuarantineEntry,
    RecordFault, RecordResult, StoreCodec, StoreRecord, Topic,
};
use crate::headers::{HeaderDialect, HeaderNames};
use crate::request_target::{RequestTarget, TargetTooLong, cursor_behind};

/// Returns the native header names of requests and responses.
pub fn dialect() -> HeaderDialect {
    HeaderDialect::new(HeaderNames {
        ready_path: "/readyz",
        engine_ping: Some("*"),
        service_ping: Some("*"),
        load_contract: Some("pressure"),
        request_id: HeaderName::from_static("ivyweir-request-id"),
        budget_ms: HeaderName::from_static("ivyweir-budget-ms"),
        upstream_id: HeaderName::from_static("ivyweir-upstream-id"),
        workspace: HeaderName::from_static("ivyweir-workspace"),
        model: HeaderName::from_static("ivyweir-model"),
        token_counts: HeaderName::from_static("ivyweir-token-counts"),
        output_estimate: HeaderName::from_static("ivyweir-out-guess"),
        prompt_parts: HeaderName::from_static("ivyweir-prompt-parts"),
        session: HeaderName::from_static("ivyweir-session"),
        urgency: HeaderName::from_static("ivyweir-urgency"),
        signature: HeaderName::from_static("ivyweir-signature"),
        load: HeaderName::from_static("ivyweir-load"),
        leaving: HeaderName::from_static("ivyweir-leaving"),
        limit: HeaderName::from_static("ivyweir-limit"),
        brittle: HeaderName::from_static("ivyweir-brittle"),
        confidence: HeaderName::from_static("ivyweir-confidence"),
        not_run: HeaderName::from_static("ivyweir-not-run"),
        system_only: Vec::new(),
        prefixes: &["ivyweir-"],
    })
}

/// Response header of the store with the number of times it has been restored from a backup.
pub const STORE_ERA: &str = "ivyweir-store-era";

/// Host header of calls to the store.
const HOST: &str = "store";

/// Store path of quarantined requests.
const QUARANTINES_PATH: &str = "/v1/quarantines";

/// The native store protocol: records as JSON under `/v1/records/TOPIC`.
#[derive(Debug, Clone, Default)]
pub struct NativeCodec;

/// Store path of the duty record.
const DUTIES_PATH: &str = "/v1/duties";

/// The duty record as the store returns it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredDutyRecord {
    /// The duty record.
    pub record: DutyRecord,
    /// Revision of the record.
    pub revision: u64,
}

/// The native encoding of duty calls.
#[derive(Debug, Clone, Default)]
pub struct NativeDutyCodec;

impl DutyCodec for NativeDutyCodec {
    fn report_usage(&self, holder: DutyHolder, report: &UsageReport) -> Request<Bytes> {
        duty_call("/v1/usage", holder, encode_json(report))
    }

    fn order_upstreams(&self, holder: DutyHolder, order: &UpstreamOrder) -> Request<Bytes> {
        duty_call("/v1/upstreams", holder, encode_json(order))
    }
}

fn duty_call(path: &str, holder: DutyHolder, body: Bytes) -> Request<Bytes> {
    Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::HOST, "platform")
        .header("ivyweir-duty-holder", holder.name)
        .header("ivyweir-fence", holder.fence)
        .body(body)
        .expect("invariant: box names are valid header values")
}

/// A page of records.
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordPage {
    /// Records as untyped JSON, so that each is decoded separately.
    pub records: Vec<Value>,
    /// Key after which the next page starts; `None` on the last page.
    pub next_after: Option<String>,
    /// Revision of the store at the time of its response.
    pub revision: u64,
}

/// Response to a watch.
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordChanges {
    /// Changes in order of their revisions.
    pub changes: Vec<Value>,
    /// Revision from which the next watch starts.
    pub revision: u64,
}

/// A change of a record.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordChange {
    /// The record was written.
    Put(StoreRecord),
    /// The record with this name was removed.
    Gone(Name),
}

impl StoreCodec for NativeCodec {
    fn store_era(&self, headers: &HeaderMap) -> Option<u64> {
        headers.get(STORE_ERA)?.to_str().ok()?.parse().ok()
    }

    fn list(&self, topic: Topic, after: Option<&str>) -> Result<Request<Bytes>, TargetTooLong> {
        let mut target = records(topic);
        if let Some(after) = after {
            target = target.query("after", after);
        }
        target.request(Method::GET, HOST, Bytes::new())
    }

    fn watch(&self, topic: Topic, since: u64, wait_ms: u64) -> Request<Bytes> {
        let target = records(topic)
            .segment("changes")
            .query("since", since)
            .query("wait_ms", wait_ms);
        request(Method::GET, target, Bytes::new())
    }

    fn write_rollout(&self, order: &RolloutOrder) -> Result<Request<Bytes>, TargetTooLong> {
        let target = records(Topic::Rollouts).segment(&order.pool);
        target.request(Method::PUT, HOST, encode_json(order))
    }

    fn list_quarantines(&self) -> Request<Bytes> {
        let target = RequestTarget::new(QUARANTINES_PATH);
        request(Method::GET, target, Bytes::new())
    }

    fn create_quarantine(&self, record: &QuarantineRecord) -> Request<Bytes> {
        let target = quarantine(record.fingerprint);
        request(Method::POST, target, encode_json(record))
    }

    fn delete_quarantine(&self, fingerprint: Fingerprint) -> Request<Bytes> {
        request(Method::DELETE, quarantine(fingerprint), Bytes::new())
    }

    fn read_duties(&self) -> Request<Bytes> {
        let target = RequestTarget::new(DUTIES_PATH);
        request(Method::GET, target, Bytes::new())
    }

    fn write_duties(&self, record: &DutyRecord, revision: Option<u64>) -> Request<Bytes> {
        let target = RequestTarget::new(DUTIES_PATH);
        match revision {
            None => request(Method::POST, target, encode_json(record)),
            Some(revision) => {
                let target = target.query("revision", revision);
                request(Method::PUT, target, encode_json(record))
            }
        }
    }

    fn decode_duties(&self, body: &[u8]) -> Result<StoredDuties, DecodeError> {
        let stored: StoredDutyRecord = decode("duties", body)?;
        Ok(StoredDuties {
            record: stored.record,
            revision: stored.revision,
        })
    }

    fn decode_quarantines(&self, body: &[u8]) -> Result<Vec<QuarantineEntry>, DecodeError> {
        let records: Vec<QuarantineRecord> = decode("quarantined requests", body)?;
        Ok(records.into_iter().map(Ok).collect())
    }

    fn decode_page(&self, _topic: Topic, body: &[u8]) -> Result<Page, DecodeError> {
        let page: RecordPage = decode("page of records", body)?;
        Ok(Page {
            is_truncated: page.next_after.is_some(),
            entries: page.records.into_iter().map(decode_record).collect(),
            next_after: page.next_after.as_deref().map(cursor_behind),
            revision: page.revision,
        })
    }

    fn decode_changes(&self, _topic: Topic, body: &[u8]) -> Result<Changes, DecodeError> {
        let changes: RecordChanges = decode("changes of records", body)?;
        let revision = changes.revision;
        let changes = changes.changes.into_iter().map(decode_change);
        Ok(Changes {
            changes: changes.collect(),
            revision,
        })
    }

    fn decode_rollout(&self, body: &[u8]) -> Result<RolloutOrder, DecodeError> {
        decode("roll-out", body)
    }
}

/// Decodes a record. An invalid record keeps its name if the JSON has one.
fn decode_record(record: Value) -> RecordResult {
    let name = record["name"].as_str().map(Name::from);
    serde_json::from_value(record).map_err(|e| InvalidRecord::new(name, RecordFault::Malformed, e))
}

fn decode_change(change: Value) -> Change {
    match change {
        Value::Object(mut fields) if fields.contains_key("put") => {
            Change::Put(decode_record(fields.remove("put").unwrap_or_default()))
        }
        other => match serde_json::from_value(other) {
            Ok(RecordChange::Put(item)) => Change::Put(Ok(item)),
            Ok(RecordChange::Gone(name)) => Change::Removed(name),
            Err(e) => Change::Put(Err(InvalidRecord::new(None, RecordFault::Malformed, e))),
        },
    }
}

fn records(topic: Topic) -> RequestTarget {
    RequestTarget::new("/v1/records").segment(topic.name())
}

fn quarantine(fingerprint: Fingerprint) -> RequestTarget {
    RequestTarget::new(QUARANTINES_PATH).segment(&fingerprint.to_string())
}

/// Builds a call whose target has no names of other writers.
fn request(method: Method, target: RequestTarget, body: Bytes) -> Request<Bytes> {
    target
        .request(method, HOST, body)
        .expect("invariant: names of ivyweir's own are short")
}

fn encode_json(value: &impl Serialize) -> Bytes {
    Bytes::from(serde_json::to_vec(value).expect("invariant: records serialize to JSON"))
}

fn decode<T: serde::de::DeserializeOwned>(message: &str, body: &[u8]) -> Result<T, DecodeError> {
    serde_json::from_slice(body).map_err(|e| DecodeError::new(format!("{message}: {e}")))
}
