//! In-memory record store with long-poll watches and injectable faults.

mod server;
mod state;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use ivyweir_gateway::dialect::{StoreRecord, Topic};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::rollout::{RolloutOrder, RolloutState};
use ivyweir_policy::gateway::site::SiteConfig;
use serde_json::Value;
use tokio::sync::watch;

use super::test_cluster::serve_on_thread;
use server::answer;
use state::{State, Write};

/// Fault injected into the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Never responds to calls.
    Silent,
    /// Answers every call with 503.
    Refuse,
}

/// A running store.
#[derive(Clone)]
pub struct RecordStore {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    change_signal: watch::Sender<u64>,
}

impl RecordStore {
    /// Starts an empty store on a free loopback port.
    pub fn start() -> Self {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            change_signal: watch::Sender::new(0),
        });
        let server_shared = shared.clone();
        let addr = serve_on_thread(move |request| {
            let shared = server_shared.clone();
            async move { answer(&shared, request).await }
        });
        Self { addr, shared }
    }

    /// Returns the listening address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the injected fault.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state().fault = fault;
        self.shared.change_signal.send_modify(|count| *count += 1);
    }

    /// Discards the change history, so that watches must list all records again.
    pub fn forget_history(&self) {
        let mut state = self.state();
        state.contents.revision += 1;
        state.history_from = state.contents.revision;
        state.change_log.clear();
        drop(state);
        self.shared.change_signal.send_modify(|count| *count += 1);
    }

    /// Hides all changes from now on from watches, until they are hidden no longer. Lists show them.
    pub fn hide_changes_from_watches(&self, is_hidden: bool) {
        let mut state = self.state();
        let revision = state.contents.revision;
        state.watches_hear_up_to = is_hidden.then_some(revision);
        drop(state);
        self.shared.change_signal.send_modify(|count| *count += 1);
    }

    /// Answers all waiting watches before their time, without changes if they have heard of none.
    pub fn end_watches(&self) {
        self.state().watch_ends += 1;
        self.shared.change_signal.send_modify(|count| *count += 1);
    }

    /// Closes the connections of all waiting watches without an answer.
    pub fn cut_watches(&self) {
        self.state().watch_cuts += 1;
        self.shared.change_signal.send_modify(|count| *count += 1);
    }

    /// Replaces the backup with the current contents; the initial backup is empty.
    pub fn back_up(&self) {
        let mut state = self.state();
        state.backup = state.contents.clone();
        state.writes_since_backup.clear();
    }

    /// Restores the backup: later writes are lost, and their revision numbers are reused.
    pub fn restore(&self) {
        self.state().restore();
        self.shared.change_signal.send_modify(|count| *count += 1);
    }

    /// Repeats the writes by operators and upstreams that the last restore lost; writes by boxes stay lost.
    pub fn replay_lost_writes(&self) {
        let mut lost = std::mem::take(&mut self.state().lost_writes);
        // Only the last write for each upstream is repeated: upstreams publish their current state, not earlier ones.
        let mut seen_upstreams = HashSet::new();
        lost.reverse();
        lost.retain(|write| match write.upstream_name() {
            Some(name) => seen_upstreams.insert(name.clone()),
            None => true,
        });
        lost.into_iter().rev().for_each(|write| self.write(write));
    }

    /// Sets the number of records on a page of a listing.
    pub fn set_page_records(&self, records: usize) {
        self.state().page_records = Some(records);
    }

    /// Answers each request for a page of the configuration with its first page.
    pub fn repeat_site_pages(&self, is_repeated: bool) {
        self.state().repeats_site_pages = is_repeated;
    }

    /// Writes the site configuration.
    pub fn put_site(&self, site: &SiteConfig) {
        self.put(
            Topic::Site,
            "main".into(),
            StoreRecord::Site(Box::new(site.clone())),
        );
    }

    /// Writes an upstream record.
    pub fn put_upstream(&self, record: &UpstreamRecord) {
        self.put(
            Topic::Upstreams,
            record.name().clone(),
            StoreRecord::Upstream(record.clone()),
        );
    }

    /// Removes an upstream record.
    pub fn remove_upstream(&self, name: &Name) {
        self.remove(Topic::Upstreams, name);
    }

    /// Overwrites a record with content that the gateway cannot decode, as another writer may do.
    pub fn put_unreadable(&self, topic: Topic, name: &str, record: Value) {
        self.write(Write::PutUnreadable(topic, name.into(), record));
    }

    /// Drains a hall: its upstreams are to get no further requests.
    pub fn drain_hall(&self, hall: &str) {
        self.put(
            Topic::DrainedHalls,
            hall.into(),
            StoreRecord::DrainedHall(hall.into()),
        );
    }

    /// Ends the drain of a hall.
    pub fn undrain_hall(&self, hall: &str) {
        self.remove(Topic::DrainedHalls, &Name::from(hall));
    }

    /// Orders a roll-out.
    pub fn order_rollout(&self, pool: &str, target_version: &str, duration_ms: u64) {
        self.put_rollout(pool, target_version, duration_ms, RolloutState::Ordered);
    }

    /// Writes a roll-out that is completed.
    pub fn complete_rollout(&self, pool: &str, target_version: &str) {
        self.put_rollout(pool, target_version, 0, RolloutState::Completed);
    }

    fn put_rollout(&self, pool: &str, version: &str, duration_ms: u64, state: RolloutState) {
        let order = RolloutOrder {
            pool: pool.into(),
            target_version: version.into(),
            duration_ms,
            state,
            revision: 0,
            era: 0,
        };
        self.put(Topic::Rollouts, pool.into(), StoreRecord::Rollout(order));
    }

    /// Withdraws the roll-out of a pool.
    pub fn withdraw_rollout(&self, pool: &str) {
        self.remove(Topic::Rollouts, &Name::from(pool));
    }

    /// Returns the names of the stored quarantine records.
    pub fn quarantines(&self) -> Vec<String> {
        self.state().contents.quarantines.keys().cloned().collect()
    }

    /// Lifts all quarantines, as an operator does.
    pub fn lift_quarantines(&self) {
        self.write(Write::LiftQuarantines);
    }

    /// Holds removals of quarantine records by boxes from now on, or not: they are not answered, and not applied yet.
    pub fn hold_removals(&self, holds: bool) {
        self.state().holds_removals = holds;
    }

    /// Number of removals that are held.
    pub fn held_removals(&self) -> usize {
        self.state().held_removals.len()
    }

    /// Applies the removals that are held.
    pub fn apply_held_removals(&self) {
        let mut state = self.state();
        for name in std::mem::take(&mut state.held_removals) {
            state.contents.quarantines.remove(&name);
        }
    }

    /// Returns the state of the roll-out of a pool.
    pub fn rollout_state(&self, pool: &str) -> Option<RolloutState> {
        let state = self.state();
        match state
            .contents
            .records
            .get(&(Topic::Rollouts.name(), pool.into()))
        {
            Some(StoreRecord::Rollout(order)) => Some(order.state),
            _ => None,
        }
    }

    /// Returns the number of calls received.
    pub fn call_count(&self) -> u64 {
        self.state().calls
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state()
    }

    fn put(&self, topic: Topic, name: Name, item: StoreRecord) {
        self.write(Write::Put(topic, name, item));
    }

    fn remove(&self, topic: Topic, name: &Name) {
        self.write(Write::Remove(topic, name.clone()));
    }

    fn write(&self, write: Write) {
        self.state().write(write);
        self.shared.change_signal.send_modify(|count| *count += 1);
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("mutex is not poisoned")
    }
}
