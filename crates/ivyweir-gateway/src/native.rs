//! The gateway's own interface: header names and store messages, where no other is asked for.

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

/// The gateway's own names on requests and answers.
pub fn dialect() -> HeaderDialect {
    HeaderDialect::new(HeaderNames {
        ready_path: "/readyz",
        request_id: HeaderName::from_static("ivyweir-request-id"),
        budget_ms: HeaderName::from_static("ivyweir-budget-ms"),
        upstream_id: HeaderName::from_static("ivyweir-upstream-id"),
        workspace: HeaderName::from_static("ivyweir-workspace"),
        model: HeaderName::from_static("ivyweir-model"),
        token_counts: HeaderName::from_static("ivyweir-token-counts"),
        out_guess: HeaderName::from_static("ivyweir-out-guess"),
        prompt_parts: HeaderName::from_static("ivyweir-prompt-parts"),
        session: HeaderName::from_static("ivyweir-session"),
        urgency: HeaderName::from_static("ivyweir-urgency"),
        signature: HeaderName::from_static("ivyweir-signature"),
        load: HeaderName::from_static("ivyweir-load"),
        leaving: HeaderName::from_static("ivyweir-leaving"),
        limit: HeaderName::from_static("ivyweir-limit"),
        confidence: HeaderName::from_static("ivyweir-confidence"),
        not_run: HeaderName::from_static("ivyweir-not-run"),
        system_only: Vec::new(),
        prefixes: &["ivyweir-"],
    })
}

/// Header on the store's answers: the number of times it has been restored from a backup.
pub const STORE_ERA: &str = "ivyweir-store-era";

/// Where quarantined requests are kept.
const QUARANTINES: &str = "/v1/quarantines";

/// The gateway's own messages to and from a store: records as JSON under `/v1/records/TOPIC`.
#[derive(Debug, Clone, Default)]
pub struct NativeCodec;

/// Where the record of duties is kept.
const DUTIES: &str = "/v1/duties";

/// The record of duties as the store answers it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredDutyRecord {
    /// The record.
    pub record: DutyRecord,
    /// Its revision.
    pub revision: u64,
}

/// The gateway's own messages of duties.
#[derive(Debug, Clone, Default)]
pub struct NativeDutyCodec;

impl DutyCodec for NativeDutyCodec {
    fn report_usage(&self, holder: DutyHolder, report: &UsageReport) -> Request<Bytes> {
        duty_call("/v1/usage", holder, json(report))
    }

    fn order_upstreams(&self, holder: DutyHolder, order: &UpstreamOrder) -> Request<Bytes> {
        duty_call("/v1/upstreams", holder, json(order))
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
        .expect("invariant: names of boxes are valid in headers")
}

/// A page of records.
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordPage {
    /// The records.
    pub records: Vec<Value>,
    /// Where the next page starts, if there is one.
    pub next_after: Option<String>,
    /// The store's revision.
    pub revision: u64,
}

/// Changes of records.
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordChanges {
    /// In order.
    pub changes: Vec<Value>,
    /// Where to go on.
    pub revision: u64,
}

/// A change of a record.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordChange {
    /// It was written.
    Put(StoreRecord),
    /// It is gone.
    Gone(Name),
}

impl StoreCodec for NativeCodec {
    fn store_era(&self, headers: &HeaderMap) -> Option<u64> {
        headers.get(STORE_ERA)?.to_str().ok()?.parse().ok()
    }

    fn list(&self, topic: Topic, after: Option<&str>) -> Request<Bytes> {
        let topic = topic.name();
        let query = after.map_or_else(String::new, |after| format!("?after={after}"));
        request(
            Method::GET,
            format!("/v1/records/{topic}{query}"),
            Bytes::new(),
        )
    }

    fn watch(&self, topic: Topic, since: u64, wait_ms: u64) -> Request<Bytes> {
        let topic = topic.name();
        let path = format!("/v1/records/{topic}/changes?since={since}&wait_ms={wait_ms}");
        request(Method::GET, path, Bytes::new())
    }

    fn write_rollout(&self, order: &RolloutOrder) -> Request<Bytes> {
        let path = format!("/v1/records/rollouts/{}", order.pool);
        request(Method::PUT, path, json(order))
    }

    fn list_quarantines(&self) -> Request<Bytes> {
        request(Method::GET, QUARANTINES.into(), Bytes::new())
    }

    fn create_quarantine(&self, record: &QuarantineRecord) -> Request<Bytes> {
        let path = format!("{QUARANTINES}/{}", record.fingerprint);
        request(Method::POST, path, json(record))
    }

    fn delete_quarantine(&self, fingerprint: Fingerprint) -> Request<Bytes> {
        let path = format!("{QUARANTINES}/{fingerprint}");
        request(Method::DELETE, path, Bytes::new())
    }

    fn read_duties(&self) -> Request<Bytes> {
        request(Method::GET, DUTIES.into(), Bytes::new())
    }

    fn write_duties(&self, record: &DutyRecord, revision: Option<u64>) -> Request<Bytes> {
        match revision {
            None => request(Method::POST, DUTIES.into(), json(record)),
            Some(revision) => {
                let path = format!("{DUTIES}?revision={revision}");
                request(Method::PUT, path, json(record))
            }
        }
    }

    fn decode_duties(&self, body: &[u8]) -> Result<StoredDuties, DecodeError> {
        let stored: StoredDutyRecord = read("duties", body)?;
        Ok(StoredDuties {
            record: stored.record,
            revision: stored.revision,
        })
    }

    fn decode_quarantines(&self, body: &[u8]) -> Result<Vec<QuarantineEntry>, DecodeError> {
        let records: Vec<QuarantineRecord> = read("quarantined requests", body)?;
        Ok(records.into_iter().map(Ok).collect())
    }

    fn decode_page(&self, _topic: Topic, body: &[u8]) -> Result<Page, DecodeError> {
        let page: RecordPage = read("a page of records", body)?;
        Ok(Page {
            entries: page.records.into_iter().map(entry).collect(),
            next_after: page.next_after,
            revision: page.revision,
        })
    }

    fn decode_changes(&self, _topic: Topic, body: &[u8]) -> Result<Changes, DecodeError> {
        let changes: RecordChanges = read("changes of records", body)?;
        let revision = changes.revision;
        let changes = changes.changes.into_iter().map(change);
        Ok(Changes {
            changes: changes.collect(),
            revision,
        })
    }

    fn decode_rollout(&self, body: &[u8]) -> Result<RolloutOrder, DecodeError> {
        read("a roll-out", body)
    }
}

/// A record; one that cannot be read may tell its name beside.
fn entry(record: Value) -> RecordResult {
    let name = record["name"].as_str().map(Name::from);
    serde_json::from_value(record).map_err(|e| InvalidRecord::new(name, RecordFault::Malformed, e))
}

fn change(change: Value) -> Change {
    match change {
        Value::Object(mut fields) if fields.contains_key("put") => {
            Change::Put(entry(fields.remove("put").unwrap_or_default()))
        }
        other => match serde_json::from_value(other) {
            Ok(RecordChange::Put(item)) => Change::Put(Ok(item)),
            Ok(RecordChange::Gone(name)) => Change::Removed(name),
            Err(e) => Change::Put(Err(InvalidRecord::new(None, RecordFault::Malformed, e))),
        },
    }
}

fn request(method: Method, path: String, body: Bytes) -> Request<Bytes> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, "store")
        .body(body)
        .expect("invariant: paths are made of valid parts")
}

fn json(value: &impl Serialize) -> Bytes {
    Bytes::from(serde_json::to_vec(value).expect("invariant: records are valid JSON"))
}

fn read<T: serde::de::DeserializeOwned>(what: &str, body: &[u8]) -> Result<T, DecodeError> {
    serde_json::from_slice(body).map_err(|e| DecodeError::new(format!("{what}: {e}")))
}
