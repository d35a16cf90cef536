//! Replication of this box's billing records to another box.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam::channel::RecvTimeoutError;
use ivyweir_peer::pb;
use ivyweir_policy::billing::Record;
use ivyweir_policy::claim::Incarnation;
use ivyweir_policy::hash;
use ivyweir_policy::membership::{Health, Member};

use crate::ledger::DurabilityWaiter;
use crate::node::Node;
use crate::segments;
use crate::shards::lock;

/// Maximum number of records per message to the replica.
const MAX_BATCH_RECORDS: usize = 512;
/// Interval between attempts to make pending records durable.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The box that this box's records are replicated to.
#[derive(Default)]
pub struct Replica {
    pub(crate) member: Option<Member>,
    /// The replica holds all pending records up to this sequence number.
    pub(crate) through_seq: u64,
}

/// Replicates records as they arrive. Returns when the box stops and no answer waits for its
/// record.
pub fn replicate(node: &Node) {
    let mut replica = Replica::default();
    let mut waiting: Vec<DurabilityWaiter> = Vec::new();
    loop {
        match node.ledger.waiters.recv_timeout(RETRY_INTERVAL) {
            Ok(first) => waiting.push(first),
            Err(RecvTimeoutError::Timeout) if node.is_stopped() && waiting.is_empty() => return,
            Err(_) => {}
        }
        waiting.extend(node.ledger.waiters.try_iter());
        ensure_replica(node, &mut replica);
        if waiting.is_empty() {
            continue;
        }
        let durable_through = make_durable(node, &mut replica);
        node.ledger
            .healthy
            .store(durable_through.is_some(), Ordering::Relaxed);
        let (durable, rest) = waiting
            .into_iter()
            .partition(|w| durable_through.is_some_and(|through| w.seq <= through));
        let durable: Vec<DurabilityWaiter> = durable;
        for waiter in durable {
            // Fails if the waiting request has timed out.
            let _timed_out = waiter.notify.try_send(());
        }
        waiting = rest;
    }
}

/// Chooses another replica if the current one is no longer alive, and sends all pending records to
/// it.
fn ensure_replica(node: &Node, replica: &mut Replica) {
    let is_alive = |m: &Member| {
        node.with_members(|table, timing, now_ms| {
            let same_incarnation = table
                .get(&m.name)
                .is_some_and(|r| r.incarnation == m.incarnation);
            let is_staying = table.get(&m.name).is_some_and(|r| !r.leaving);
            same_incarnation && is_staying && table.health(&m.name, timing, now_ms) == Health::Alive
        })
    };
    if replica.member.as_ref().is_some_and(is_alive) {
        return;
    }
    replica.member = choose_replica(node, None);
    replica.through_seq = 0;
    if replica.member.is_some() && node.ledger.pending() > 0 {
        let _retried_later = send_pending(node, replica);
    }
}

/// Chooses a serving box other than this one and `except`, in another hall if there is one.
///
/// Rendezvous hashing by this box's name keeps the choice stable.
pub(crate) fn choose_replica(node: &Node, except: Option<&str>) -> Option<Member> {
    let serving = node.serving_members();
    let others: Vec<&Member> = serving
        .iter()
        .filter(|m| m.name != node.incarnation.box_name && Some(m.name.as_ref()) != except)
        .collect();
    let other_halls: Vec<&Member> = others
        .iter()
        .copied()
        .filter(|m| m.hall != node.settings.hall)
        .collect();
    let candidates = if other_halls.is_empty() {
        others
    } else {
        other_halls
    };
    let names = candidates.iter().map(|m| m.name.as_ref());
    let key = format!("replica/{}", node.incarnation.box_name);
    let chosen = hash::rendezvous_top(&key, names.collect::<Vec<&str>>(), 1)
        .first()
        .copied()?;
    candidates
        .into_iter()
        .find(|m| m.name.as_ref() == chosen)
        .cloned()
}

/// Makes all pending records durable: on the current replica, else on another one, else in the
/// store. Returns the last durable sequence number, or `None` if all three failed.
fn make_durable(node: &Node, replica: &mut Replica) -> Option<u64> {
    if let Some(through) = send_pending(node, replica) {
        return Some(through);
    }
    let failed = replica.member.take();
    replica.member = choose_replica(node, failed.as_ref().map(|m| m.name.as_ref()));
    replica.through_seq = 0;
    send_pending(node, replica).or_else(|| segments::flush(node))
}

/// Sends the replica all pending records that it does not hold. Returns the last sequence number
/// that it holds, or `None` if there is no replica or it did not accept a batch.
pub(crate) fn send_pending(node: &Node, replica: &mut Replica) -> Option<u64> {
    let member = replica.member.clone()?;
    loop {
        let batch = lock(&node.ledger.buffer).batch_after(replica.through_seq, MAX_BATCH_RECORDS);
        let Some((last, _)) = batch.last() else {
            return Some(
                replica
                    .through_seq
                    .max(lock(&node.ledger.buffer).last_seq()),
            );
        };
        let last = *last;
        let request = hold_request(&node.incarnation, &batch);
        lock(&node.ledger.holders).insert(member.peer_addr.clone());
        if !node.peers.hold(&member.peer_addr, request).unwrap_or(false) {
            return None;
        }
        replica.through_seq = last;
    }
}

/// Builds the request to hold records of `owner`.
pub(crate) fn hold_request(owner: &Incarnation, records: &[(u64, Record)]) -> pb::HoldRequest {
    let bytes = |r: &Record| serde_json::to_vec(r).expect("a record is always valid JSON");
    pb::HoldRequest {
        r#box: owner.box_name.to_string(),
        incarnation: owner.number,
        seqs: records.iter().map(|(seq, _)| *seq).collect(),
        records: records.iter().map(|(_, r)| bytes(r)).collect(),
    }
}
