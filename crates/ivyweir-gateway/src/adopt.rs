//! Takes in records that the store, or the hall's relay, told of.

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::rollout::{RolloutOrder, RolloutState, RolloutTrack};
use ivyweir_policy::gateway::site::{Site, SiteIndex};
use serde_json::json;

use crate::dialect::{Entry, Item, Topic};
use crate::state::Gateway;

/// Takes in all records of a topic.
pub fn adopt_all(gateway: &Gateway, topic: Topic, entries: Vec<Entry>) {
    if topic != Topic::Upstreams {
        for entry in entries {
            adopt(gateway, topic, entry);
        }
        return;
    }
    let records: Vec<UpstreamRecord> = entries
        .into_iter()
        .filter_map(|entry| match readable(gateway, topic, entry) {
            Some(Item::Upstream(record)) => Some(record),
            _ => None,
        })
        .collect();
    gateway.change_upstream(|fleet, now_ms| fleet.replace(records, now_ms));
}

/// Takes in a record that was written.
pub fn adopt(gateway: &Gateway, topic: Topic, entry: Entry) {
    match readable(gateway, topic, entry) {
        Some(Item::Site(site)) => adopt_site(gateway, *site),
        Some(Item::Upstream(record)) => gateway.change_upstream(|fleet, _| {
            let id = record.id.clone();
            vec![(id, fleet.put(record))]
        }),
        Some(Item::Rollout(order)) => adopt_rollout(gateway, order),
        Some(Item::Box(_)) | None => {}
    }
}

/// Takes in that the record of this name is gone.
pub fn remove(gateway: &Gateway, topic: Topic, name: &Name) {
    match topic {
        Topic::Upstreams => gateway.change_upstream(|fleet, now_ms| {
            let change = fleet.lapse(name, now_ms);
            vec![(name.clone(), change)]
        }),
        Topic::Rollouts => {
            gateway.with_rollouts(|rollouts, _| rollouts.remove(name));
            let detail = json!({"pool": name});
            gateway.log.line("rollout_withdrawn", detail);
        }
        // A configuration is replaced, never taken away; boxes are listed elsewhere.
        Topic::Site | Topic::Boxes => gateway.log.line("site_removed", json!({"name": name})),
    }
}

/// Takes in a roll-out's record.
pub fn adopt_rollout(gateway: &Gateway, order: RolloutOrder) {
    let detail = json!({
        "pool": order.pool, "target_version": order.target_version,
        "state": order.state, "revision": order.revision,
    });
    gateway.log.line("rollout_seen", detail);
    if order.state == RolloutState::Completed {
        gateway.settle(&order.pool, &order.target_version);
    }
    gateway.with_rollouts(|rollouts, now_ms| match rollouts.get_mut(&order.pool) {
        Some(track) => track.update(order, now_ms),
        None => {
            rollouts.insert(order.pool.clone(), RolloutTrack::new(order, now_ms));
        }
    });
}

fn adopt_site(gateway: &Gateway, site: Site) {
    let (version, routes) = (site.version, site.routes.len());
    let adopted = gateway.adopt_site(SiteIndex::from(site));
    let detail = json!({"version": version, "routes": routes, "adopted": adopted});
    gateway.log.line("site_seen", detail);
}

fn readable(gateway: &Gateway, topic: Topic, entry: Entry) -> Option<Item> {
    match entry {
        Ok(item) => Some(item),
        Err(e) => {
            let detail = json!({"topic": topic.name(), "error": e.to_string()});
            gateway.log.line("record_unreadable", detail);
            None
        }
    }
}
