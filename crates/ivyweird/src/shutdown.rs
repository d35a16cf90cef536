//! Planned shutdown, without interrupting requests in progress or losing billing records and
//! sessions.

use std::time::Duration;

use ivyweir_peer::pb;
use ivyweir_policy::claim::Incarnation;
use ivyweir_policy::hash;

use crate::node::Node;
use crate::segments;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of attempts to hand the sessions over to the successor.
const MAX_HAND_OVER_ATTEMPTS: usize = 5;
/// Time between two attempts to write or replicate the remaining billing records.
const SECURE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Stops admitting requests and hands the sessions over to another box.
pub fn drain(node: &Node) {
    node.drain();
    node.with_members(|table, _, _| table.set_leaving());
    hand_over(node);
}

/// Hands the sessions over to one successor. The first successor chosen is never replaced, even if it
/// does not answer: another one might repeat a request that the first one has already run.
fn hand_over(node: &Node) {
    let (successor, used_keys) = node.idempotency.freeze(choose_successor(node));
    let Some(successor) = successor else {
        return;
    };
    let Some(member) = node.member(&successor.box_name) else {
        return;
    };
    let request = pb::HandOverRequest {
        r#box: node.incarnation.box_name.to_string(),
        incarnation: node.incarnation.number,
        keys: used_keys.iter().map(|k| k.to_string()).collect(),
    };
    for _ in 0..MAX_HAND_OVER_ATTEMPTS {
        if node
            .peers
            .hand_over(&member.peer_addr, request.clone())
            .unwrap_or(false)
        {
            let successor_id = (successor.box_name.clone(), successor.number);
            node.with_members(|table, _, _| table.set_successor(successor_id));
            log::info!("handed the sessions over to {}", successor.box_name);
            return;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    log::warn!(
        "{} did not accept the sessions in {MAX_HAND_OVER_ATTEMPTS} attempts",
        successor.box_name
    );
}

fn choose_successor(node: &Node) -> Option<Incarnation> {
    let serving = node.serving_members();
    let others: Vec<&str> = serving
        .iter()
        .filter(|m| m.name != node.incarnation.box_name)
        .map(|m| m.name.as_ref())
        .collect();
    let key = format!("successor/{}", node.incarnation.box_name);
    let chosen = hash::rendezvous_top(&key, others, 1).first().copied()?;
    let member = serving.iter().find(|m| m.name.as_ref() == chosen)?;
    Some(Incarnation {
        box_name: member.name.clone(),
        number: member.incarnation,
    })
}

/// Waits until no request is in progress and all billing records are in the store or on another box.
pub fn finish(node: &Node) {
    while node.in_progress() > 0 {
        std::thread::sleep(POLL_INTERVAL);
    }
    while !segments::secure_records(node) {
        std::thread::sleep(SECURE_RETRY_INTERVAL);
    }
}
