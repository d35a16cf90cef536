//! Duties that one box performs for the whole fleet under a lease: advancing roll-outs, ordering
//! engines to withdraw versions, rotating the session key and merging billing segments.

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

const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two merges of billing segments.
const MERGE_INTERVAL_MS: u64 = 30_000;
/// Number of boxes that try to acquire the lease; the others do not read it.
const STANDBY_COUNT: usize = 3;

/// Performs the duties while this box holds the lease, until the box stops.
pub fn run(node: &Node) {
    let mut lease = Lease::new("duties", node.incarnation.clone());
    let mut sent_orders: HashSet<(Name, Name)> = HashSet::new();
    let mut merged_ms = 0;
    let mut held = false;
    while !node.is_stopped() {
        node.pause(POLL_INTERVAL);
        if node.is_draining() || !(held || is_standby(node)) {
            continue;
        }
        lease.renew_or_acquire(node.store.as_ref(), || node.clock.now_ms());
        let now_ms = node.clock.now_ms();
        if lease.is_held(now_ms) != held {
            held = !held;
            log::info!(
                "{} the lease for the duties",
                if held { "acquired" } else { "lost" }
            );
            sent_orders.clear();
        }
        if !held {
            continue;
        }
        advance_rollouts(node, &lease);
        send_withdrawals(node, &lease, &mut sent_orders);
        rotate_session_key(node, &lease);
        if now_ms > merged_ms + MERGE_INTERVAL_MS {
            merged_ms = now_ms;
            // Segments that could not be merged are merged in a later run.
            let _retried_later = bill::merge(node);
        }
    }
}

fn is_standby(node: &Node) -> bool {
    let serving = node.serving_members();
    let names: Vec<&str> = serving.iter().map(|m| m.name.as_ref()).collect();
    let standbys = ivyweir_policy::hash::rendezvous_top("duties", names, STANDBY_COUNT);
    standbys.contains(&node.incarnation.box_name.as_ref())
}

/// Applies the steps of roll-outs that are due, and halts those that fail their guard. If another
/// box has applied the same step in the meantime, the plan no longer fits the configuration and has
/// no effect.
fn advance_rollouts(node: &Node, lease: &Lease) {
    let current = node.current();
    for (id, rollout) in &current.config.rollouts {
        let version = VersionRef::new(rollout.model.clone(), rollout.to.clone());
        let counts = node
            .version_stats
            .across_classes(&version, Some(&rollout.workspace));
        let observation = Observation {
            rated: counts.rated,
            mean_quality: counts.mean(),
            done: counts.done,
            failed: counts.failed,
        };
        let Some(intent) = rollout::next_intent(id, rollout, observation, Clock::epoch_ms()) else {
            continue;
        };
        if lease.is_held(node.clock.now_ms()) {
            confirm::apply_system_change(node, &current, intent);
        }
    }
}

/// Sends the withdrawn versions to engines that check fences. The orders are idempotent.
fn send_withdrawals(node: &Node, lease: &Lease, sent_orders: &mut HashSet<(Name, Name)>) {
    let current = node.current();
    let config = &current.config;
    let withdrawn = config.models.iter().flat_map(|(model, entry)| {
        let versions = entry.versions.iter();
        let withdrawn = versions.filter(|(_, v)| v.state == VersionState::Withdrawn);
        withdrawn.map(|(name, _)| VersionRef::new(model.clone(), name.clone()))
    });
    let withdrawn: Vec<VersionRef> = withdrawn.collect();
    if withdrawn.is_empty() {
        return;
    }
    for upstream in node.dispatcher.upstreams() {
        if !config
            .pools
            .get(&upstream.pool)
            .is_some_and(|p| p.checks_fence)
        {
            continue;
        }
        for version in &withdrawn {
            let key = (upstream.name.clone(), Name::from(version.to_string()));
            if sent_orders.contains(&key) || !lease.is_held(node.clock.now_ms()) {
                continue;
            }
            let order = Order {
                fence: config.generation,
                order: OrderKind::Withdraw,
                version: version.to_string(),
            };
            if node.engine.send_order(&upstream.addr, &order).is_ok() {
                sent_orders.insert(key);
            }
        }
    }
}

/// Adds a session key when one is due, and keeps old keys for as long as tokens signed with them
/// can be valid.
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
        // A key signs tokens only while it is the newest one, at most one rotation after its creation.
        drop_before_ms: now_ms.saturating_sub(2 * limits.session_key_ms + limits.session_ms),
    };
    confirm::apply_system_change(node, &current, intent);
}
