//! Writing of billing segments to the store, for this box and for departed boxes.

use std::time::Duration;

use ivyweir_peer::pb;
use ivyweir_platform::{Precondition, PutOutcome};
use ivyweir_policy::billing::{Record, Segment, segment_name};
use ivyweir_policy::claim::Incarnation;
use ivyweir_policy::membership::Health;

use crate::node::Node;
use crate::replica::{Replica, choose_replica, hold_request, send_pending};
use crate::shards::lock;

/// Largest number of records in a segment; keeps a segment well below the store's size limit for an
/// object.
const MAX_SEGMENT_RECORDS: usize = 2_000;

/// A segment whose write is not confirmed yet. Retries write it unchanged.
#[derive(Clone)]
pub(crate) struct PendingSegment {
    name: String,
    body: Vec<u8>,
    through_seq: u64,
}

/// Writes pending records to the store and releases their copies on replicas.
///
/// Returns the sequence number up to which the records are in the store, or `None` if the store did
/// not confirm a write.
pub fn flush(node: &Node) -> Option<u64> {
    let mut unconfirmed = lock(&node.ledger.pending_flush);
    loop {
        if unconfirmed.is_none() {
            *unconfirmed = next_segment(node);
        }
        let Some(segment) = unconfirmed.clone() else {
            return Some(lock(&node.ledger.buffer).last_seq());
        };
        if !write_segment(node, &segment.name, &segment.body) {
            return None;
        }
        *unconfirmed = None;
        lock(&node.ledger.buffer).drop_through(segment.through_seq);
        release_held_copies(node, segment.through_seq);
    }
}

fn next_segment(node: &Node) -> Option<PendingSegment> {
    let batch = lock(&node.ledger.buffer).batch_after(0, MAX_SEGMENT_RECORDS);
    let through_seq = batch.last()?.0;
    let name = segment_name(
        &node.incarnation.box_name,
        node.incarnation.number,
        &node.incarnation.box_name,
        through_seq,
    );
    Some(PendingSegment {
        name,
        body: segment_body(batch.iter().map(|(_, r)| r.clone())),
        through_seq,
    })
}

fn segment_body(records: impl Iterator<Item = Record>) -> Vec<u8> {
    let segment = Segment {
        records: records.collect(),
    };
    serde_json::to_vec(&segment).expect("a segment can always be serialized as JSON")
}

/// Writes a segment unless it exists: only this box writes objects of this name, always with the
/// same body. Returns whether the segment is known to be in the store.
fn write_segment(node: &Node, name: &str, body: &[u8]) -> bool {
    node.metrics.count_store_call("bill_write");
    match node.store.put(name, body, Precondition::Absent) {
        Ok(PutOutcome::Written { .. }) => {
            node.metrics.billing_segments.add(1, &[]);
            true
        }
        Ok(PutOutcome::Conflict) => true,
        Err(_) => false,
    }
}

/// Tells every box that holds copies of this box's records to release them.
fn release_held_copies(node: &Node, through_seq: u64) {
    let request = pb::ReleaseRequest {
        r#box: node.incarnation.box_name.to_string(),
        incarnation: node.incarnation.number,
        through_seq,
    };
    let holders = std::mem::take(&mut *lock(&node.ledger.holders));
    for addr in holders {
        // A box that misses this request keeps the records until this box departs and then writes
        // them again; readers count each record once.
        let _missed = node.peers.release(&addr, request.clone());
    }
}

/// Writes the records held for departed boxes.
pub fn flush_for_departed(node: &Node) {
    let owners: Vec<Incarnation> = lock(&node.ledger.held).keys().cloned().collect();
    for owner in owners.into_iter().filter(|o| has_departed(node, o)) {
        flush_held(node, &owner);
    }
}

fn has_departed(node: &Node, owner: &Incarnation) -> bool {
    node.with_members(|table, timing, now_ms| {
        let replaced = table
            .get(&owner.box_name)
            .is_none_or(|r| r.incarnation != owner.number);
        replaced || table.health(&owner.box_name, timing, now_ms) == Health::Dead
    })
}

/// Writes the records held for another box, with this box named as the writer. Returns whether all
/// of them are known to be in the store.
fn flush_held(node: &Node, owner: &Incarnation) -> bool {
    loop {
        let records: Vec<(u64, Record)> = {
            let held = lock(&node.ledger.held);
            let records = held.get(owner).into_iter().flatten();
            records
                .take(MAX_SEGMENT_RECORDS)
                .map(|(seq, r)| (*seq, r.clone()))
                .collect()
        };
        let Some((through_seq, _)) = records.last().cloned() else {
            return true;
        };
        // The set of held records may grow later without a change of its last sequence number, so the
        // name includes the number of records.
        let writer = format!("{}-{}", node.incarnation.box_name, records.len());
        let name = segment_name(&owner.box_name, owner.number, &writer, through_seq);
        let body = segment_body(records.into_iter().map(|(_, r)| r));
        if !write_segment(node, &name, &body) {
            return false;
        }
        log::info!(
            "wrote billing records of departed box {} up to sequence number {through_seq}",
            owner.box_name
        );
        node.ledger.release(&pb::ReleaseRequest {
            r#box: owner.box_name.to_string(),
            incarnation: owner.number,
            through_seq,
        });
    }
}

/// Before a planned stop, writes all records, own and held, to the store or copies them to another
/// box.
///
/// Returns whether this succeeded for all records.
pub fn secure_records(node: &Node) -> bool {
    let owners: Vec<Incarnation> = lock(&node.ledger.held).keys().cloned().collect();
    let own_secured = flush(node).is_some() || replicate_own(node);
    // An owner that is alive still has its records and chooses another replica when this box leaves.
    let is_secured = |owner| {
        flush_held(node, owner) || replicate_held(node, owner) || !has_departed(node, owner)
    };
    let held_secured = owners.iter().all(is_secured);
    own_secured && held_secured
}

fn replicate_own(node: &Node) -> bool {
    let mut replica = Replica {
        member: choose_replica(node, None),
        through_seq: 0,
    };
    send_pending(node, &mut replica).is_some()
}

fn replicate_held(node: &Node, owner: &Incarnation) -> bool {
    let Some(replica) = choose_replica(node, Some(&owner.box_name)) else {
        return false;
    };
    let records: Vec<(u64, Record)> = {
        let held = lock(&node.ledger.held);
        let records = held.get(owner).into_iter().flatten();
        records.map(|(seq, r)| (*seq, r.clone())).collect()
    };
    let request = hold_request(owner, &records);
    node.peers
        .hold(&replica.peer_addr, request)
        .unwrap_or(false)
}

/// Time between two flushes. It grows with the number of boxes, so that the write rate at the store
/// does not.
pub fn flush_interval(node: &Node) -> Duration {
    let per_box_ms = node.settings.limits.flush_ms_per_box;
    Duration::from_millis((per_box_ms * u64::from(node.live_boxes())).max(MIN_FLUSH_INTERVAL_MS))
}

const MIN_FLUSH_INTERVAL_MS: u64 = 200;
