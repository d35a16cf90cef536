//! Billing: records, the segments that carry them, and the bill that readers make of them.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Name;

/// The charge for one request, its whole cascade included.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Who pays.
    pub workspace: Name,
    /// The request's key, unique within the workspace.
    pub key: Name,
    /// What was called, in order.
    pub calls: Vec<Call>,
    /// When the answer was whole, in milliseconds since the epoch.
    pub at_ms: u64,
}

/// One call to an upstream within a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// The version, as `model@version`, or the pool of a plain service.
    pub version: Name,
    /// Tokens read and generated.
    pub tokens: u64,
    /// The price, in millionths.
    pub cost_micro: u64,
}

impl Record {
    /// The price of the request, in millionths.
    pub fn cost_micro(&self) -> u64 {
        self.calls.iter().map(|c| c.cost_micro).sum()
    }
}

/// Records that one box wrote to the store in one object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Segment {
    /// The records.
    pub records: Vec<Record>,
}

/// The object name of a segment: `writer` wrote it for the records of `box_name`'s incarnation.
pub fn segment_name(box_name: &str, incarnation: u64, writer: &str, seq: u64) -> String {
    format!("bill/{box_name}-{incarnation}/{writer}-{seq:010}")
}

/// What each workspace owes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Totals by workspace.
    pub workspaces: BTreeMap<Name, Total>,
    /// Records that stood in several segments and were counted once.
    pub repeated_records: u64,
}

/// The total of one workspace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Requests.
    pub requests: u64,
    /// Tokens.
    pub tokens: u64,
    /// Price, in millionths.
    pub cost_micro: u64,
}

impl Bill {
    /// Joins segments by workspace and key; each request counts once, as its earliest record says.
    pub fn join(segments: impl IntoIterator<Item = Segment>) -> Self {
        let mut first: HashMap<(Name, Name), Record> = HashMap::new();
        let mut bill = Self::default();
        for record in segments.into_iter().flat_map(|s| s.records) {
            let id = (record.workspace.clone(), record.key.clone());
            match first.get_mut(&id) {
                None => {
                    first.insert(id, record);
                }
                Some(held) => {
                    bill.repeated_records += 1;
                    if (record.at_ms, record.cost_micro()) < (held.at_ms, held.cost_micro()) {
                        *held = record;
                    }
                }
            }
        }
        for record in first.into_values() {
            let total = bill.workspaces.entry(record.workspace.clone()).or_default();
            total.requests += 1;
            total.tokens += record.calls.iter().map(|c| c.tokens).sum::<u64>();
            total.cost_micro += record.cost_micro();
        }
        bill
    }
}

/// Records that are not in the store yet, each with its sequence number.
#[derive(Debug)]
pub struct Buffer {
    pending: VecDeque<(u64, Record)>,
    next_seq: u64,
    bytes: usize,
    max_bytes: usize,
}

impl Buffer {
    /// An empty buffer that takes up to `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            pending: VecDeque::new(),
            next_seq: 1,
            bytes: 0,
            max_bytes,
        }
    }

    /// Whether there is room for one more request.
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

    /// Pending records behind `after_seq`, up to `max_records`, oldest first.
    pub fn batch_after(&self, after_seq: u64, max_records: usize) -> Vec<(u64, Record)> {
        // Sequence numbers have no gaps, so the place is known.
        let first_seq = self.pending.front().map_or(0, |(seq, _)| *seq);
        let skip = (after_seq + 1).saturating_sub(first_seq) as usize;
        let behind = self.pending.iter().skip(skip);
        behind.take(max_records).cloned().collect()
    }

    /// Drops what is in the store: all records up to and with `through_seq`.
    pub fn drop_through(&mut self, through_seq: u64) {
        while self
            .pending
            .front()
            .is_some_and(|(seq, _)| *seq <= through_seq)
        {
            let (_, record) = self.pending.pop_front().expect("there is a front");
            self.bytes -= record_bytes(&record);
        }
    }

    /// Sequence number of the newest record; 0 before the first.
    pub fn last_seq(&self) -> u64 {
        self.next_seq - 1
    }

    /// Pending records.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether nothing is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Bytes that the pending records take, about.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// A record's size, near enough for a bound.
fn record_bytes(record: &Record) -> usize {
    const FIXED_BYTES: usize = 96;
    let calls: usize = record.calls.iter().map(|c| c.version.len() + 24).sum();
    FIXED_BYTES + record.workspace.len() + record.key.len() + calls
}
