//! Takes in records that the store, or another box, told of, and keeps them for boxes that follow
//! here.

use std::collections::HashSet;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::revision::Revision;
use ivyweir_policy::gateway::rollout::{RolloutOrder, RolloutState, RolloutTracker};
use ivyweir_policy::gateway::site::{SiteConfig, SiteIndex};
use ivyweir_policy::gateway::statement::Source;
use serde_json::json;

use crate::dialect::{Change, RecordResult, StoreRecord, Topic};
use crate::history::PassedChange;
use crate::state::Gateway;

/// Whether a listing contains all records of its topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingKind {
    /// A record missing from the listing has been removed.
    Complete,
    /// The store was restored recently: the listing may lack current records and contain removed ones.
    Incomplete,
}

/// Adopts the records that a topic listing contains as of a revision.
pub fn adopt_all(
    gateway: &Gateway,
    topic: Topic,
    revision: Revision,
    kind: ListingKind,
    entries: Vec<RecordResult>,
) {
    adopt_entries(gateway, topic, revision, kind, entries);
    gateway.histories.restart(topic, revision);
}

fn adopt_entries(
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
        gateway.change_upstream(Source::Record, |fleet, now_ms| match kind {
            ListingKind::Complete => fleet.replace_all(records, now_ms),
            ListingKind::Incomplete => fleet.merge(records, now_ms),
        });
        return;
    }
    // A record that cannot be read may be one of those that are missing.
    if items.len() == listed && kind == ListingKind::Complete {
        remove_all_but(gateway, topic, &items);
    }
    for item in items {
        adopt_item(gateway, revision, item);
    }
}

/// Forgets roll-outs and drained halls that a whole listing lacks: they were withdrawn unheard.
fn remove_all_but(gateway: &Gateway, topic: Topic, listed: &[StoreRecord]) {
    let known: Vec<Name> = match topic {
        Topic::Rollouts => gateway.with_rollouts(|rollouts, _| rollouts.keys().cloned().collect()),
        Topic::DrainedHalls => gateway.drained_halls(),
        Topic::Site | Topic::Upstreams => return,
    };
    let listed: HashSet<&Name> = listed.iter().filter_map(StoreRecord::name).collect();
    for name in known.iter().filter(|name| !listed.contains(name)) {
        remove(gateway, topic, name);
    }
}

/// The records that can be read; the others are those of a whole listing.
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

/// The changes that can be read. An upstream's record that cannot be read any more names nobody, as one that is
/// gone; of every other topic what was known before holds.
pub fn readable_changes(
    gateway: &Gateway,
    topic: Topic,
    changes: Vec<Change>,
) -> Vec<PassedChange> {
    let read = |change| match change {
        Change::Put(Ok(item)) => {
            gateway.note_readable(topic, item.name());
            Some(PassedChange::Put(item))
        }
        Change::Put(Err(e)) => {
            let name = e.name.clone().filter(|_| topic == Topic::Upstreams);
            gateway.note_unreadable(topic, e);
            name.map(PassedChange::Gone)
        }
        Change::Removed(name) => {
            gateway.note_readable(topic, Some(&name));
            Some(PassedChange::Gone(name))
        }
    };
    changes.into_iter().filter_map(read).collect()
}

/// Takes in changes of a topic, up to a revision.
pub fn adopt_changes(
    gateway: &Gateway,
    topic: Topic,
    revision: Revision,
    changes: Vec<PassedChange>,
) {
    for change in changes.iter().cloned() {
        match change {
            PassedChange::Put(item) => adopt_item(gateway, revision, item),
            PassedChange::Gone(name) => remove(gateway, topic, &name),
        }
    }
    let records = gateway.bulk(topic);
    gateway.histories.push(topic, revision, changes, records);
}

fn adopt_item(gateway: &Gateway, revision: Revision, item: StoreRecord) {
    match item {
        StoreRecord::Site(site) => adopt_site(gateway, revision, *site),
        StoreRecord::Upstream(record) => {
            gateway.change_upstream(Source::Record, |fleet, now_ms| {
                let id = record.id.clone();
                vec![(id, fleet.put(record, now_ms))]
            })
        }
        StoreRecord::Rollout(order) => adopt_rollout(gateway, order),
        StoreRecord::DrainedHall(hall) => gateway.drain_hall(hall),
    }
}

/// Takes in that the record of this name is gone.
fn remove(gateway: &Gateway, topic: Topic, name: &Name) {
    match topic {
        Topic::Upstreams => gateway.change_upstream(Source::Record, |fleet, now_ms| {
            let change = fleet.mark_lapsed(name, now_ms);
            vec![(name.clone(), change)]
        }),
        Topic::Rollouts => {
            gateway.with_rollouts(|rollouts, _| rollouts.remove(name));
            let detail = json!({"pool": name});
            gateway.log.line("rollout_withdrawn", detail);
        }
        Topic::DrainedHalls => gateway.undrain_hall(name),
        // A configuration is replaced, never taken away.
        Topic::Site => gateway.log.line("site_removed", json!({"name": name})),
    }
}

/// Takes in a roll-out's record.
pub fn adopt_rollout(gateway: &Gateway, order: RolloutOrder) {
    let detail = json!({
        "pool": order.pool, "target_version": order.target_version,
        "state": order.state, "revision": order.store_revision().to_string(),
    });
    gateway.log.line("rollout_seen", detail);
    if order.state == RolloutState::Completed {
        gateway.settle(&order.pool, &order.target_version);
    }
    gateway.with_rollouts(|rollouts, now_ms| match rollouts.get_mut(&order.pool) {
        Some(track) => track.update(order, now_ms),
        None => {
            rollouts.insert(order.pool.clone(), RolloutTracker::new(order, now_ms));
        }
    });
}

fn adopt_site(gateway: &Gateway, revision: Revision, mut site: SiteConfig) {
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
