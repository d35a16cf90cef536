//! In-memory billing records: those of this box until they are in the store, and copies held for
//! other boxes.
//!
//! `replica` copies this box's records to another box; `segments` writes records to the store.

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

/// Maximum time that the end of an answer waits for its record to become durable, that is,
/// replicated or stored.
const DURABILITY_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum number of records held for other boxes.
const MAX_HELD_RECORDS: usize = 200_000;

/// Billing records of this box and of others.
pub struct Ledger {
    pub(crate) buffer: Mutex<RecordBuffer>,
    waiter_sender: Sender<DurabilityWaiter>,
    pub(crate) waiters: Receiver<DurabilityWaiter>,
    /// Records held for other boxes, by owner and sequence number.
    pub(crate) held: Mutex<HashMap<Incarnation, BTreeMap<u64, Record>>>,
    /// Whether the last attempt to make the pending records durable succeeded.
    pub(crate) healthy: AtomicBool,
    /// The segment whose write is not confirmed yet.
    pub(crate) pending_flush: Mutex<Option<PendingSegment>>,
    /// Peer addresses of the boxes that may hold records of this one.
    pub(crate) holders: Mutex<BTreeSet<Name>>,
}

/// An answer that waits for its record to become durable.
pub(crate) struct DurabilityWaiter {
    pub(crate) seq: u64,
    pub(crate) notify: Sender<()>,
}

impl Ledger {
    /// Creates an empty ledger that accepts up to `max_bytes` of this box's own records.
    pub fn new(max_bytes: usize) -> Self {
        let (waiter_sender, waiters) = unbounded();
        Self {
            buffer: Mutex::new(RecordBuffer::new(max_bytes)),
            waiter_sender,
            waiters,
            held: Mutex::new(HashMap::new()),
            healthy: AtomicBool::new(true),
            pending_flush: Mutex::new(None),
            holders: Mutex::new(BTreeSet::new()),
        }
    }

    /// Checks that one more request can be billed.
    ///
    /// # Errors
    ///
    /// Refuses when the last attempt to make records durable failed, or when the buffer is full.
    pub fn check_available(&self) -> Result<(), Refusal> {
        if lock(&self.buffer).has_room() && self.healthy.load(Ordering::Relaxed) {
            return Ok(());
        }
        let refusal = Refusal::not_run(
            Code::BillingUnavailable,
            "billing records cannot be buffered or made durable at present",
        );
        Err(refusal.with_retry_after(RETRY_AFTER_MS))
    }

    /// Adds a record and waits until it is in the store or on another box.
    ///
    /// Returns `false` on a timeout; the record stays in the buffer and is written later.
    pub fn record(&self, record: Record) -> bool {
        let seq = lock(&self.buffer).push(record);
        let (notify, notified) = bounded(1);
        let sent = self.waiter_sender.send(DurabilityWaiter { seq, notify });
        sent.expect("the queue lives as long as the ledger");
        notified.recv_timeout(DURABILITY_TIMEOUT).is_ok()
    }

    /// Returns the number of this box's records that are not known to be in the store.
    pub fn pending(&self) -> usize {
        lock(&self.buffer).len()
    }

    /// Holds copies of another box's records. Returns `false` if there are too many or if one is
    /// not valid.
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

    /// Drops held records that are in the store.
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

const RETRY_AFTER_MS: u64 = 2_000;
