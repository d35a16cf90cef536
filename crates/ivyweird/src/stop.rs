//! Stopping as planned: nothing in progress is cut off, nothing that must last is lost.

use std::time::Duration;

use ivyweir_peer::pb;
use ivyweir_policy::claim::Incarnation;
use ivyweir_policy::hash;

use crate::node::Node;
use crate::segments;

const POLL: Duration = Duration::from_millis(20);
/// Tries to hand over to the one successor.
const HAND_OVER_TRIES: usize = 5;
/// Time between two tries to get the billing records to safety.
const CLOSE_RETRY: Duration = Duration::from_millis(500);

/// Takes no new work and hands the sessions over.
pub fn drain(node: &Node) {
    node.drain();
    node.with_members(|table, _, _| table.set_leaving());
    hand_over(node);
}

/// Hands the sessions to one successor. The first one named stays the only one, also if it does not
/// answer: a second one might run a key that the first one ran.
fn hand_over(node: &Node) {
    let (successor, used) = node.once.freeze(choose_successor(node));
    let Some(successor) = successor else {
        return;
    };
    let Some(record) = node.member(&successor.box_name) else {
        return;
    };
    let request = pb::HandOverRequest {
        r#box: node.me.box_name.to_string(),
        incarnation: node.me.number,
        keys: used.iter().map(|k| k.to_string()).collect(),
    };
    for _ in 0..HAND_OVER_TRIES {
        if node
            .peers
            .hand_over(&record.peer_addr, request.clone())
            .unwrap_or(false)
        {
            let told = (successor.box_name.clone(), successor.number);
            node.with_members(|table, _, _| table.set_successor(told));
            log::info!("handed the sessions to {}", successor.box_name);
            return;
        }
        std::thread::sleep(POLL);
    }
    log::warn!("{} did not take the sessions", successor.box_name);
}

fn choose_successor(node: &Node) -> Option<Incarnation> {
    let serving = node.serving();
    let others: Vec<&str> = serving
        .iter()
        .filter(|m| m.name != node.me.box_name)
        .map(|m| m.name.as_ref())
        .collect();
    let key = format!("successor/{}", node.me.box_name);
    let first = hash::rendezvous_top(&key, others, 1).first().copied()?;
    let record = serving.iter().find(|m| m.name.as_ref() == first)?;
    Some(Incarnation {
        box_name: record.name.clone(),
        number: record.incarnation,
    })
}

/// Waits until nothing is in progress and all records are safe.
pub fn finish(node: &Node) {
    while node.in_progress() > 0 {
        std::thread::sleep(POLL);
    }
    while !segments::close(node) {
        std::thread::sleep(CLOSE_RETRY);
    }
}
