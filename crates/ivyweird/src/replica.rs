//! The copy of billing records on another box.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam::channel::RecvTimeoutError;
use ivyweir_peer::pb;
use ivyweir_policy::billing::Record;
use ivyweir_policy::claim::Incarnation;
use ivyweir_policy::hash;
use ivyweir_policy::membership::{Health, Member};

use crate::ledger::Waiting;
use crate::node::Node;
use crate::segments;
use crate::shards::lock;

/// Records per message to a replica.
const HOLD_RECORDS: usize = 512;
/// Time between two tries to make a record safe.
const RETRY: Duration = Duration::from_millis(100);

/// The replica in use, and up to which record it has them all.
#[derive(Default)]
pub struct Replica {
    pub(crate) at: Option<Member>,
    pub(crate) through_seq: u64,
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
pub(crate) fn choose_replica(node: &Node, except: Option<&str>) -> Option<Member> {
    let serving = node.serving_members();
    let others: Vec<&Member> = serving
        .iter()
        .filter(|m| m.name != node.incarnation.box_name && Some(m.name.as_ref()) != except)
        .collect();
    let outside: Vec<&Member> = others
        .iter()
        .copied()
        .filter(|m| m.hall != node.settings.hall)
        .collect();
    let among = if outside.is_empty() { others } else { outside };
    let names = among.iter().map(|m| m.name.as_ref());
    let key = format!("replica/{}", node.incarnation.box_name);
    let first = hash::rendezvous_top(&key, names.collect::<Vec<&str>>(), 1)
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
    send_pending(node, replica).or_else(|| segments::flush(node))
}

/// Sends the replica what it lacks.
pub(crate) fn send_pending(node: &Node, replica: &mut Replica) -> Option<u64> {
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
        let request = hold_request(&node.incarnation, &lacking);
        lock(&node.ledger.holders).insert(at.peer_addr.clone());
        if !node.peers.hold(&at.peer_addr, request).unwrap_or(false) {
            return None;
        }
        replica.through_seq = last;
    }
}

/// The message that asks to hold records of `owner`.
pub(crate) fn hold_request(owner: &Incarnation, records: &[(u64, Record)]) -> pb::HoldRequest {
    let bytes = |r: &Record| serde_json::to_vec(r).expect("a record is always valid JSON");
    pb::HoldRequest {
        r#box: owner.box_name.to_string(),
        incarnation: owner.number,
        seqs: records.iter().map(|(seq, _)| *seq).collect(),
        records: records.iter().map(|(_, r)| bytes(r)).collect(),
    }
}
