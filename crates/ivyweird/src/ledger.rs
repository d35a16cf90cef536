//! Billing on this box: its records until they are in the store, and those held for other boxes.
//!
//! `replica` makes them safe on another box, `segments` writes them to the store.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use ivyweir_peer::pb;
use ivyweir_policy::billing::{Record, RecordBuffer};
use ivyweir_policy::claim::Incarnation;
use ivyweir_policy::{Code, Name, Refusal};

use crate::segments::PendingSegment;
use crate::shards::lock;

/// Longest time that the end of an answer waits for its record to be safe.
const SAFE_WAIT: Duration = Duration::from_secs(8);
/// Records of other boxes that are held at most.
const MAX_HELD_RECORDS: usize = 200_000;

/// Records of this box and of others.
pub struct Ledger {
    pub(crate) buffer: Mutex<RecordBuffer>,
    waiting: Sender<Waiting>,
    pub(crate) queue: Receiver<Waiting>,
    pub(crate) held: Mutex<HashMap<Incarnation, BTreeMap<u64, Record>>>,
    /// Whether the newest record could be made safe.
    pub(crate) healthy: AtomicBool,
    pub(crate) flushing: Mutex<Option<PendingSegment>>,
    /// Addresses of the boxes that hold records of this one.
    pub(crate) holders: Mutex<BTreeSet<Name>>,
}

/// A record whose answer waits for it to be safe.
pub(crate) struct Waiting {
    pub(crate) seq: u64,
    pub(crate) done: Sender<()>,
}

impl Ledger {
    /// An empty ledger that takes up to `max_bytes` of its own records.
    pub fn new(max_bytes: usize) -> Self {
        let (waiting, queue) = unbounded();
        Self {
            buffer: Mutex::new(RecordBuffer::new(max_bytes)),
            waiting,
            queue,
            held: Mutex::new(HashMap::new()),
            healthy: AtomicBool::new(true),
            flushing: Mutex::new(None),
            holders: Mutex::new(BTreeSet::new()),
        }
    }

    /// Whether one more request can be billed.
    ///
    /// # Errors
    ///
    /// A refusal when records cannot be made safe now, or there is no room for more.
    pub fn check_room(&self) -> Result<(), Refusal> {
        if lock(&self.buffer).has_room() && self.healthy.load(Ordering::Relaxed) {
            return Ok(());
        }
        let refusal = Refusal::not_run(Code::BillingUnavailable, "no room for billing records");
        Err(refusal.with_retry_after(ROOM_HINT_MS))
    }

    /// Adds a record and waits until it is in the store or on another box.
    ///
    /// Returns false when that took too long; the record stays and is written later.
    pub fn record(&self, record: Record) -> bool {
        let seq = lock(&self.buffer).push(record);
        let (done, is_done) = bounded(1);
        let sent = self.waiting.send(Waiting { seq, done });
        sent.expect("the queue lives as long as the ledger");
        is_done.recv_timeout(SAFE_WAIT).is_ok()
    }

    /// Records of this box that are not in the store.
    pub fn pending(&self) -> usize {
        lock(&self.buffer).len()
    }

    /// Holds another box's records. Returns whether there is room.
    pub fn hold(&self, request: pb::HoldRequest) -> bool {
        let from = Incarnation {
            box_name: request.r#box.as_str().into(),
            number: request.incarnation,
        };
        let mut held = lock(&self.held);
        let count: usize = held.values().map(BTreeMap::len).sum();
        if count + request.records.len() > MAX_HELD_RECORDS {
            return false;
        }
        let records: Option<Vec<Record>> = request
            .records
            .iter()
            .map(|bytes| serde_json::from_slice(bytes).ok())
            .collect();
        let Some(records) = records else {
            return false;
        };
        let seqs = request.seqs.iter().copied();
        held.entry(from).or_default().extend(seqs.zip(records));
        true
    }

    /// Lets go of records that are in the store.
    pub fn release(&self, request: &pb::ReleaseRequest) {
        let from = Incarnation {
            box_name: request.r#box.as_str().into(),
            number: request.incarnation,
        };
        let mut held = lock(&self.held);
        if let Some(records) = held.get_mut(&from) {
            *records = records.split_off(&(request.through_seq + 1));
            if records.is_empty() {
                held.remove(&from);
            }
        }
    }
}

const ROOM_HINT_MS: u64 = 2_000;
