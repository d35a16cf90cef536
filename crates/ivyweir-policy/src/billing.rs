//! Billing: records, the segments in which they are stored, and the bill computed from them.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Name;

/// The charge for one request, including all calls of its cascade.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The workspace that is charged.
    pub workspace: Name,
    /// Key of the request, unique within the workspace.
    pub key: Name,
    /// The upstream calls, in order.
    pub calls: Vec<Call>,
    /// Time at which the answer was complete, in milliseconds since the epoch.
    pub at_ms: u64,
}

/// One call to an upstream within a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// The version, as `model@version`, or the pool of a non-model service.
    pub version: Name,
    /// Number of prompt and completion tokens.
    pub tokens: u64,
    /// Price, in millionths of the billing unit.
    pub cost_micro: u64,
}

impl Record {
    /// Total price of the request, in millionths of the billing unit.
    pub fn cost_micro(&self) -> u64 {
        self.calls.iter().map(|c| c.cost_micro).sum()
    }
}

/// A batch of records that a box wrote to the store as one object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Segment {
    /// The records of the batch.
    pub records: Vec<Record>,
}

/// Object name of the segment that `writer` wrote for records of the given box incarnation.
pub fn segment_name(box_name: &str, incarnation: u64, writer: &str, seq: u64) -> String {
    format!("bill/{box_name}-{incarnation}/{writer}-{seq:010}")
}

/// Charges of all workspaces.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Totals by workspace.
    pub workspaces: BTreeMap<Name, Total>,
    /// Number of duplicate records, which were not counted again.
    pub repeated_records: u64,
}

/// The total of one workspace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Number of requests.
    pub requests: u64,
    /// Number of tokens.
    pub tokens: u64,
    /// Price, in millionths of the billing unit.
    pub cost_micro: u64,
}

impl Bill {
    /// Computes the bill from segments. Records are deduplicated by workspace and key, and each
    /// request is charged according to its earliest record.
    pub fn from_segments(segments: impl IntoIterator<Item = Segment>) -> Self {
        let mut earliest: HashMap<(Name, Name), Record> = HashMap::new();
        let mut bill = Self::default();
        for record in segments.into_iter().flat_map(|s| s.records) {
            let id = (record.workspace.clone(), record.key.clone());
            match earliest.get_mut(&id) {
                None => {
                    earliest.insert(id, record);
                }
                Some(existing) => {
                    bill.repeated_records += 1;
                    if (record.at_ms, record.cost_micro()) < (existing.at_ms, existing.cost_micro())
                    {
                        *existing = record;
                    }
                }
            }
        }
        for record in earliest.into_values() {
            let total = bill.workspaces.entry(record.workspace.clone()).or_default();
            total.requests += 1;
            total.tokens += record.calls.iter().map(|c| c.tokens).sum::<u64>();
            total.cost_micro += record.cost_micro();
        }
        bill
    }
}

/// Records that have not been written to the store yet, each with its sequence number.
#[derive(Debug)]
pub struct RecordBuffer {
    pending: VecDeque<(u64, Record)>,
    next_seq: u64,
    bytes: usize,
    max_bytes: usize,
}

impl RecordBuffer {
    /// Creates an empty buffer with a limit of `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            pending: VecDeque::new(),
            next_seq: 1,
            bytes: 0,
            max_bytes,
        }
    }

    /// Whether the buffer is below its size limit and another request may be admitted.
    pub fn has_room(&self) -> bool {
        self.bytes < self.max_bytes
    }

    /// Adds a record and returns its sequence number.
    pub fn push(&mut self, record: Record) -> u64 {
        let seq = self.next_seq;
        self.next_seq += 1;
        self.bytes += record_bytes(&record);
        self.pending.push_back((seq, record));
        seq
    }

    /// Returns up to `max_records` pending records after `after_seq`, oldest first.
    pub fn batch_after(&self, after_seq: u64, max_records: usize) -> Vec<(u64, Record)> {
        // Sequence numbers are contiguous, so the index follows from the first one.
        let first_seq = self.pending.front().map_or(0, |(seq, _)| *seq);
        let skip = (after_seq + 1).saturating_sub(first_seq) as usize;
        let newer = self.pending.iter().skip(skip);
        newer.take(max_records).cloned().collect()
    }

    /// Drops the records up to and including `through_seq`, which are in the store.
    pub fn drop_through(&mut self, through_seq: u64) {
        while self
            .pending
            .front()
            .is_some_and(|(seq, _)| *seq <= through_seq)
        {
            let (_, record) = self.pending.pop_front().expect("the buffer is not empty");
            self.bytes -= record_bytes(&record);
        }
    }

    /// Sequence number of the newest record, or 0 if none has been added.
    pub fn last_seq(&self) -> u64 {
        self.next_seq - 1
    }

    /// Number of pending records.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no records are pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Approximate size of the pending records in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// Approximate size of a record, accurate enough to enforce the buffer limit.
fn record_bytes(record: &Record) -> usize {
    const FIXED_BYTES: usize = 96;
    let calls: usize = record.calls.iter().map(|c| c.version.len() + 24).sum();
    FIXED_BYTES + record.workspace.len() + record.key.len() + calls
}
