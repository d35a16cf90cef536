//! Duties that one box does for all, under a lease: roll-outs, orders, keys, merging of bills.

use std::collections::HashSet;
use std::time::Duration;

use ivyweir_engine::{Order, OrderKind};
use ivyweir_policy::rollout::{self, Observation};
use ivyweir_policy::{Intent, Name, VersionRef, VersionState};

use crate::clock::Clock;
use crate::confirm;
use crate::lease::Lease;
use crate::node::Node;
use crate::{bill, document_sync};

const POLL: Duration = Duration::from_millis(100);
/// Time between two merges of billing segments.
const MERGE_MS: u64 = 30_000;
/// Boxes that stand by for the duties; the others need not look at the lease.
const STANDBYS: usize = 3;

/// Does the duties whenever this box holds their lease, for as long as it runs.
pub fn run(node: &Node) {
    let mut lease = Lease::new("duties", node.me.clone());
    let mut ordered: HashSet<(Name, Name)> = HashSet::new();
    let mut merged_ms = 0;
    let mut held = false;
    while !node.is_stopped() {
        node.pause(POLL);
        if node.is_draining() || !(held || is_standby(node)) {
            continue;
        }
        lease.renew_or_acquire(node.store.as_ref(), || node.clock.now_ms());
        let now_ms = node.clock.now_ms();
        if lease.is_held(now_ms) != held {
            held = !held;
            log::info!(
                "{} the lease of the duties",
                if held { "took" } else { "lost" }
            );
            ordered.clear();
        }
        if !held {
            continue;
        }
        drive_rollouts(node, &lease);
        order_withdrawals(node, &lease, &mut ordered);
        rotate_session_key(node, &lease);
        if now_ms > merged_ms + MERGE_MS {
            merged_ms = now_ms;
            // What is not merged now is merged next time.
            let _later = bill::merge(node);
        }
    }
}

fn is_standby(node: &Node) -> bool {
    let serving = node.serving();
    let names: Vec<&str> = serving.iter().map(|m| m.name.as_ref()).collect();
    let top = ivyweir_policy::hash::rendezvous_top("duties", names, STANDBYS);
    top.contains(&node.me.box_name.as_ref())
}

/// Takes due steps and halts by guard. A step that another box took in between does not fit any
/// more and changes nothing.
fn drive_rollouts(node: &Node, lease: &Lease) {
    let current = node.current();
    for (id, rollout) in &current.config.rollouts {
        let at = VersionRef::new(rollout.model.clone(), rollout.to.clone());
        let count = node.learning.across_classes(&at, Some(&rollout.workspace));
        let seen = Observation {
            rated: count.rated,
            mean_quality: count.mean(),
            done: count.done,
            failed: count.failed,
        };
        let Some(intent) = rollout::next_intent(id, rollout, seen, Clock::epoch_ms()) else {
            continue;
        };
        if lease.is_held(node.clock.now_ms()) {
            confirm::apply_system_change(node, &current, intent);
        }
    }
}

/// Tells engines that check fences which versions are withdrawn; a repeat does no harm.
fn order_withdrawals(node: &Node, lease: &Lease, ordered: &mut HashSet<(Name, Name)>) {
    let current = node.current();
    let config = &current.config;
    let withdrawn = config.models.iter().flat_map(|(model, entry)| {
        let versions = entry.versions.iter();
        let gone = versions.filter(|(_, v)| v.state == VersionState::Withdrawn);
        gone.map(|(name, _)| VersionRef::new(model.clone(), name.clone()))
    });
    let withdrawn: Vec<VersionRef> = withdrawn.collect();
    if withdrawn.is_empty() {
        return;
    }
    for upstream in node.gate.upstreams() {
        if !config
            .pools
            .get(&upstream.pool)
            .is_some_and(|p| p.checks_fence)
        {
            continue;
        }
        for at in &withdrawn {
            let key = (upstream.name.clone(), Name::from(at.to_string()));
            if ordered.contains(&key) || !lease.is_held(node.clock.now_ms()) {
                continue;
            }
            let order = Order {
                fence: config.generation,
                order: OrderKind::Withdraw,
                version: at.to_string(),
            };
            if node.engine.order(&upstream.addr, &order).is_ok() {
                ordered.insert(key);
            }
        }
    }
}

/// Adds a session key in time; old ones stay for as long as a token can live.
fn rotate_session_key(node: &Node, lease: &Lease) {
    let current = node.current();
    let limits = &node.settings.limits;
    let now_ms = Clock::epoch_ms();
    let newest_ms = current
        .config
        .session_keys
        .last()
        .map_or(0, |k| k.created_ms);
    let due = now_ms > newest_ms + limits.session_key_ms;
    if !due || !lease.is_held(node.clock.now_ms()) {
        return;
    }
    let intent = Intent::RotateSessionKey {
        key: document_sync::new_session_key(),
        // A token is signed by a key that was the newest, for at most one rotation after its making.
        drop_before_ms: now_ms.saturating_sub(2 * limits.session_key_ms + limits.session_ms),
    };
    confirm::apply_system_change(node, &current, intent);
}
