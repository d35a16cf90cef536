//! Applies records received from the store or from another box, and records the changes for the
//! boxes that follow this one.

use std::collections::HashSet;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::revision::Revision;
use ivyweir_policy::gateway::rollout::{RolloutOrder, RolloutState, RolloutTracker};
use ivyweir_policy::gateway::site::{SiteConfig, SiteIndex};
use ivyweir_policy::gateway::statement::Source;
use serde_json::json;

use crate::dialect::{Change, RecordResult, StoreRecord, Topic};
use crate::history::RecordChange;
use crate::state::Gateway;

/// Whether a listing contains all records of its topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingKind {
    /// A record missing from the listing has been removed.
    Complete,
    /// The store was restored recently: the listing may lack current records and contain removed ones.
    Incomplete,
}

/// Applies a topic listing as of a revision.
pub fn apply_listing(
    gateway: &Gateway,
    topic: Topic,
    revision: Revision,
    kind: ListingKind,
    entries: Vec<RecordResult>,
) {
    apply_entries(gateway, topic, revision, kind, entries);
    gateway.histories.reset(topic, revision);
}

fn apply_entries(
    gateway: &Gateway,
    topic: Topic,
    revision: Revision,
    kind: ListingKind,
    entries: Vec<RecordResult>,
) {
    let listed = entries.len();
    let items = readable_entries(gateway, topic, entries);
    if topic == Topic::Upstreams {
        let records: Vec<UpstreamRecord> = items
            .into_iter()
            .filter_map(StoreRecord::upstream)
            .collect();
        gateway.update_fleet(Source::Record, |fleet, now_ms| match kind {
            ListingKind::Complete => fleet.replace_all(records, now_ms),
            ListingKind::Incomplete => fleet.merge(records, now_ms),
        });
        return;
    }
    // An unreadable record may be one of those that seem to be missing.
    if items.len() == listed && kind == ListingKind::Complete {
        remove_unlisted(gateway, topic, &items);
    }
    for item in items {
        apply_item(gateway, revision, item);
    }
}

/// Removes roll-outs and drained halls that a complete listing lacks. They were withdrawn while
/// this box received no changes.
fn remove_unlisted(gateway: &Gateway, topic: Topic, listed: &[StoreRecord]) {
    let known: Vec<Name> = match topic {
        Topic::Rollouts => gateway.with_rollouts(|rollouts, _| rollouts.keys().cloned().collect()),
        Topic::DrainedHalls => gateway.drained_halls(),
        Topic::Site | Topic::Upstreams => return,
    };
    let listed: HashSet<&Name> = listed.iter().filter_map(StoreRecord::name).collect();
    for name in known.iter().filter(|name| !listed.contains(name)) {
        apply_deletion(gateway, topic, name);
    }
}

/// Returns the readable records, and replaces the topic's list of unreadable ones. `entries` must
/// be a listing of the topic.
fn readable_entries(
    gateway: &Gateway,
    topic: Topic,
    entries: Vec<RecordResult>,
) -> Vec<StoreRecord> {
    let mut items = Vec::new();
    let mut unreadable = Vec::new();
    for entry in entries {
        match entry {
            Ok(item) => items.push(item),
            Err(e) => unreadable.push(e),
        }
    }
    gateway.set_unreadable(topic, unreadable);
    items
}

/// Returns the readable changes. An unreadable upstream record counts as deleted; in every other
/// topic the last readable record stays in force.
pub fn readable_changes(
    gateway: &Gateway,
    topic: Topic,
    changes: Vec<Change>,
) -> Vec<RecordChange> {
    let read = |change| match change {
        Change::Put(Ok(item)) => {
            gateway.note_readable(topic, item.name());
            Some(RecordChange::Put(item))
        }
        Change::Put(Err(e)) => {
            let name = e.name.clone().filter(|_| topic == Topic::Upstreams);
            gateway.note_unreadable(topic, e);
            name.map(RecordChange::Deleted)
        }
        Change::Removed(name) => {
            gateway.note_readable(topic, Some(&name));
            Some(RecordChange::Deleted(name))
        }
    };
    changes.into_iter().filter_map(read).collect()
}

/// Applies changes of a topic, up to a revision.
pub fn apply_changes(
    gateway: &Gateway,
    topic: Topic,
    revision: Revision,
    changes: Vec<RecordChange>,
) {
    for change in changes.iter().cloned() {
        match change {
            RecordChange::Put(item) => apply_item(gateway, revision, item),
            RecordChange::Deleted(name) => apply_deletion(gateway, topic, &name),
        }
    }
    let records = gateway.approximate_len(topic);
    gateway.histories.append(topic, revision, changes, records);
}

fn apply_item(gateway: &Gateway, revision: Revision, item: StoreRecord) {
    match item {
        StoreRecord::Site(site) => apply_site(gateway, revision, *site),
        StoreRecord::Upstream(record) => gateway.update_fleet(Source::Record, |fleet, now_ms| {
            let id = record.id.clone();
            vec![(id, fleet.put(record, now_ms))]
        }),
        StoreRecord::Rollout(order) => apply_rollout(gateway, order),
        StoreRecord::DrainedHall(hall) => gateway.drain_hall(hall),
    }
}

/// Applies the deletion of a record.
fn apply_deletion(gateway: &Gateway, topic: Topic, name: &Name) {
    match topic {
        Topic::Upstreams => gateway.update_fleet(Source::Record, |fleet, now_ms| {
            let change = fleet.mark_lapsed(name, now_ms);
            vec![(name.clone(), change)]
        }),
        Topic::Rollouts => {
            gateway.with_rollouts(|rollouts, _| rollouts.remove(name));
            let detail = json!({"pool": name});
            gateway.log.line("rollout_withdrawn", detail);
        }
        Topic::DrainedHalls => gateway.undrain_hall(name),
        // The configuration is only ever replaced, so its deletion is logged and otherwise ignored.
        Topic::Site => gateway.log.line("site_removed", json!({"name": name})),
    }
}

/// Applies a roll-out record.
pub fn apply_rollout(gateway: &Gateway, mut order: RolloutOrder) {
    order.bound();
    let detail = json!({
        "pool": order.pool, "target_version": order.target_version,
        "state": order.state, "revision": order.store_revision().to_string(),
    });
    gateway.log.line("rollout_seen", detail);
    if order.state == RolloutState::Completed {
        gateway.set_default_version(&order.pool, &order.target_version);
    }
    gateway.with_rollouts(|rollouts, now_ms| match rollouts.get_mut(&order.pool) {
        Some(tracker) => tracker.update(order, now_ms),
        None => {
            rollouts.insert(order.pool.clone(), RolloutTracker::new(order, now_ms));
        }
    });
}

fn apply_site(gateway: &Gateway, revision: Revision, mut site: SiteConfig) {
    let (version, routes) = (site.version, site.routes.len());
    for pool in &mut site.pools {
        if let Some(start) = pool.cold_start.take_if(|start| !start.is_valid()) {
            let detail = json!({"pool": pool.name, "requests_per_s": start.requests_per_s});
            gateway.log.line("cold_rate_ignored", detail);
        }
    }
    let adopted = gateway.adopt_site(SiteIndex::from(site));
    let detail = json!({
        "version": version, "routes": routes, "adopted": adopted,
        "revision": revision.to_string(),
    });
    gateway.log.line("site_seen", detail);
}
