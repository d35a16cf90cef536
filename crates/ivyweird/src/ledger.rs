//! Billing on this box: records, their copies on another box, and the segments in the store.

use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded, unbounded};
use ivyweir_peer::pb;
use ivyweir_platform::{Expect, PutOutcome};
use ivyweir_policy::claim::Incarnation;
use ivyweir_policy::ledger::{Buffer, Record, Segment, segment_name};
use ivyweir_policy::member::{Health, Record as Member};
use ivyweir_policy::{Code, Refusal, rank};

use crate::node::Node;
use crate::shards::lock;

/// Records per segment; keeps a segment well under the store's limit for a value.
const SEGMENT_RECORDS: usize = 2_000;
/// Records per message to a replica.
const HOLD_RECORDS: usize = 512;
/// Longest time that the end of an answer waits for its record to be safe.
const SAFE_WAIT: Duration = Duration::from_secs(8);
/// Time between two tries to make a record safe.
const RETRY: Duration = Duration::from_millis(100);
/// Bytes of other boxes' records that are held at most.
const MAX_HELD_RECORDS: usize = 200_000;

/// Records of this box and of others.
pub struct Ledger {
    buffer: Mutex<Buffer>,
    waiting: Sender<Waiting>,
    queue: Receiver<Waiting>,
    held: Mutex<HashMap<Incarnation, BTreeMap<u64, Record>>>,
    /// Whether the newest record could be made safe.
    healthy: AtomicBool,
    flushing: Mutex<Option<Flush>>,
}

struct Waiting {
    seq: u64,
    done: Sender<()>,
}

/// A segment whose write is not known to have taken effect; it is repeated unchanged.
#[derive(Clone)]
struct Flush {
    name: String,
    body: Vec<u8>,
    through_seq: u64,
}

impl Ledger {
    /// An empty ledger that takes up to `max_bytes` of its own records.
    pub fn new(max_bytes: usize) -> Self {
        let (waiting, queue) = unbounded();
        Self {
            buffer: Mutex::new(Buffer::new(max_bytes)),
            waiting,
            queue,
            held: Mutex::new(HashMap::new()),
            healthy: AtomicBool::new(true),
            flushing: Mutex::new(None),
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
        Err(refusal.retry_after(ROOM_HINT_MS))
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

/// The replica in use, and up to which record it has them all.
#[derive(Default)]
pub struct Replica {
    at: Option<Member>,
    through_seq: u64,
}

/// Makes records safe as they come; ends when the box stops and nothing waits.
pub fn replicate(node: &Node) {
    let mut replica = Replica::default();
    let mut waiting: Vec<Waiting> = Vec::new();
    loop {
        match node.ledger.queue.recv_timeout(RETRY) {
            Ok(first) => waiting.push(first),
            Err(RecvTimeoutError::Timeout) if node.is_stopped() && waiting.is_empty() => return,
            Err(_) => {}
        }
        waiting.extend(node.ledger.queue.try_iter());
        renew(node, &mut replica);
        if waiting.is_empty() {
            continue;
        }
        let safe_through = make_safe(node, &mut replica);
        node.ledger
            .healthy
            .store(safe_through.is_some(), Ordering::Relaxed);
        let (safe, rest) = waiting
            .into_iter()
            .partition(|w| safe_through.is_some_and(|through| w.seq <= through));
        let safe: Vec<Waiting> = safe;
        for done in safe {
            // The caller may have given up.
            let _gave_up = done.done.try_send(());
        }
        waiting = rest;
    }
}

/// Finds another replica when the one in use is gone; it then gets all that is pending.
fn renew(node: &Node, replica: &mut Replica) {
    let is_alive = |m: &Member| {
        node.with_members(|table, timing, now_ms| {
            let same = table
                .get(&m.name)
                .is_some_and(|r| r.incarnation == m.incarnation);
            let stays = table.get(&m.name).is_some_and(|r| !r.leaving);
            same && stays && table.health(&m.name, timing, now_ms) == Health::Alive
        })
    };
    if replica.at.as_ref().is_some_and(is_alive) {
        return;
    }
    replica.at = choose_replica(node, None);
    replica.through_seq = 0;
    if replica.at.is_some() && node.ledger.pending() > 0 {
        let _later = send_pending(node, replica);
    }
}

/// A serving box, of another hall if there is one, the same for this box as long as it lives.
fn choose_replica(node: &Node, except: Option<&str>) -> Option<Member> {
    let serving = node.serving();
    let others: Vec<&Member> = serving
        .iter()
        .filter(|m| m.name != node.me.box_name && Some(m.name.as_ref()) != except)
        .collect();
    let outside: Vec<&Member> = others
        .iter()
        .copied()
        .filter(|m| m.hall != node.settings.hall)
        .collect();
    let among = if outside.is_empty() { others } else { outside };
    let names = among.iter().map(|m| m.name.as_ref());
    let key = format!("replica/{}", node.me.box_name);
    let first = rank::top(&key, names.collect::<Vec<&str>>(), 1)
        .first()
        .copied()?;
    among
        .into_iter()
        .find(|m| m.name.as_ref() == first)
        .cloned()
}

/// Makes all pending records safe. Returns up to which one they are.
fn make_safe(node: &Node, replica: &mut Replica) -> Option<u64> {
    if let Some(through) = send_pending(node, replica) {
        return Some(through);
    }
    let failed = replica.at.take();
    replica.at = choose_replica(node, failed.as_ref().map(|m| m.name.as_ref()));
    replica.through_seq = 0;
    send_pending(node, replica).or_else(|| flush(node))
}

/// Sends the replica what it lacks.
fn send_pending(node: &Node, replica: &mut Replica) -> Option<u64> {
    let at = replica.at.clone()?;
    loop {
        let lacking = lock(&node.ledger.buffer).batch_after(replica.through_seq, HOLD_RECORDS);
        let Some((last, _)) = lacking.last() else {
            return Some(
                replica
                    .through_seq
                    .max(lock(&node.ledger.buffer).last_seq()),
            );
        };
        let last = *last;
        let request = hold_request(&node.me, &lacking);
        if !node.peers.hold(&at.peer_addr, request).unwrap_or(false) {
            return None;
        }
        replica.through_seq = last;
    }
}

fn hold_request(owner: &Incarnation, records: &[(u64, Record)]) -> pb::HoldRequest {
    let bytes = |r: &Record| serde_json::to_vec(r).expect("a record is always valid JSON");
    pb::HoldRequest {
        r#box: owner.box_name.to_string(),
        incarnation: owner.number,
        seqs: records.iter().map(|(seq, _)| *seq).collect(),
        records: records.iter().map(|(_, r)| bytes(r)).collect(),
    }
}

/// Writes pending records to the store and lets the replica go of them.
///
/// Returns up to which record they are in the store; none if the store does not say.
pub fn flush(node: &Node) -> Option<u64> {
    let mut flushing = lock(&node.ledger.flushing);
    loop {
        if flushing.is_none() {
            *flushing = next_flush(node);
        }
        let Some(next) = flushing.clone() else {
            return Some(lock(&node.ledger.buffer).last_seq());
        };
        if !write_segment(node, &next.name, &next.body) {
            return None;
        }
        *flushing = None;
        lock(&node.ledger.buffer).drop_through(next.through_seq);
        release_at_replicas(node, next.through_seq);
    }
}

fn next_flush(node: &Node) -> Option<Flush> {
    let batch = lock(&node.ledger.buffer).batch_after(0, SEGMENT_RECORDS);
    let through_seq = batch.last()?.0;
    let name = segment_name(
        &node.me.box_name,
        node.me.number,
        &node.me.box_name,
        through_seq,
    );
    Some(Flush {
        name,
        body: segment_body(batch.iter().map(|(_, r)| r.clone())),
        through_seq,
    })
}

fn segment_body(records: impl Iterator<Item = Record>) -> Vec<u8> {
    let segment = Segment {
        records: records.collect(),
    };
    serde_json::to_vec(&segment).expect("a segment is always valid JSON")
}

/// Writes a segment unless it is there: only this box writes this name, always with this body.
fn write_segment(node: &Node, name: &str, body: &[u8]) -> bool {
    node.metrics.store_call("bill_write");
    match node.store.put(name, body, Expect::Absent) {
        Ok(PutOutcome::Written { .. }) => {
            node.metrics.billing_segments.add(1, &[]);
            true
        }
        Ok(PutOutcome::Conflict) => true,
        Err(_) => false,
    }
}

fn release_at_replicas(node: &Node, through_seq: u64) {
    let request = pb::ReleaseRequest {
        r#box: node.me.box_name.to_string(),
        incarnation: node.me.number,
        through_seq,
    };
    if let Some(at) = choose_replica(node, None) {
        // A replica that misses this writes the records again; readers count them once.
        let _missed = node.peers.release(&at.peer_addr, request);
    }
}

/// Writes the records of boxes that are gone.
pub fn settle_for_others(node: &Node) {
    let owners: Vec<Incarnation> = lock(&node.ledger.held).keys().cloned().collect();
    for owner in owners.into_iter().filter(|o| is_gone(node, o)) {
        settle(node, &owner);
    }
}

fn is_gone(node: &Node, owner: &Incarnation) -> bool {
    node.with_members(|table, timing, now_ms| {
        let replaced = table
            .get(&owner.box_name)
            .is_none_or(|r| r.incarnation != owner.number);
        replaced || table.health(&owner.box_name, timing, now_ms) == Health::Dead
    })
}

/// Writes one box's records under this box's name. Returns whether they are in the store.
fn settle(node: &Node, owner: &Incarnation) -> bool {
    loop {
        let records: Vec<(u64, Record)> = {
            let held = lock(&node.ledger.held);
            let rows = held.get(owner).into_iter().flatten();
            rows.take(SEGMENT_RECORDS)
                .map(|(seq, r)| (*seq, r.clone()))
                .collect()
        };
        let Some((through_seq, _)) = records.last().cloned() else {
            return true;
        };
        // More may be held under the same last number later, so the count is part of the name.
        let writer = format!("{}-{}", node.me.box_name, records.len());
        let name = segment_name(&owner.box_name, owner.number, &writer, through_seq);
        let body = segment_body(records.into_iter().map(|(_, r)| r));
        if !write_segment(node, &name, &body) {
            return false;
        }
        log::info!(
            "wrote billing records of {} up to {through_seq}",
            owner.box_name
        );
        node.ledger.release(&pb::ReleaseRequest {
            r#box: owner.box_name.to_string(),
            incarnation: owner.number,
            through_seq,
        });
    }
}

/// On a planned stop: gets all records, own and held, into the store or onto another box.
///
/// Returns whether it did.
pub fn close(node: &Node) -> bool {
    let owners: Vec<Incarnation> = lock(&node.ledger.held).keys().cloned().collect();
    let own = flush(node).is_some() || pass_on_own(node);
    let others = owners
        .iter()
        .all(|owner| settle(node, owner) || pass_on(node, owner));
    own && others
}

fn pass_on_own(node: &Node) -> bool {
    let mut replica = Replica {
        at: choose_replica(node, None),
        through_seq: 0,
    };
    send_pending(node, &mut replica).is_some()
}

fn pass_on(node: &Node, owner: &Incarnation) -> bool {
    let Some(at) = choose_replica(node, Some(&owner.box_name)) else {
        return false;
    };
    let records: Vec<(u64, Record)> = {
        let held = lock(&node.ledger.held);
        let rows = held.get(owner).into_iter().flatten();
        rows.map(|(seq, r)| (*seq, r.clone())).collect()
    };
    let request = hold_request(owner, &records);
    node.peers.hold(&at.peer_addr, request).unwrap_or(false)
}

/// Time between two flushes: it grows with the fleet, so that the store's write rate does not.
pub fn flush_interval(node: &Node) -> Duration {
    let per_box_ms = node.settings.limits.flush_ms_per_box;
    Duration::from_millis((per_box_ms * u64::from(node.live_boxes())).max(MIN_FLUSH_MS))
}

const MIN_FLUSH_MS: u64 = 200;
