//! Paths from this box to the upstreams, and the boxes that serve requests where there are none.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::helpers::Helpers;
use ivyweir_policy::gateway::reachability::{CheckedPath, PathChange};
use rand::seq::IteratorRandom;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::timeout;

use super::Gateway;
use crate::mutex::lock;
use crate::path_check;

/// Number of suspected upstreams that are probed in one check.
const MAX_SUSPECTS_CHECKED: usize = 6;

/// Longest time for which a request that no other box accepts waits for a check of the paths.
const PATH_CHECK_WAIT: Duration = Duration::from_millis(500);
/// Number of boxes that a box names as able to serve.
const MAX_HINTS: usize = 6;
/// Number of boxes known from hints only that are remembered.
const MAX_HINTED_BOXES: usize = 64;

/// Watches for the loss of the path to an upstream while a request waits there.
pub struct PathWatch {
    upstream: Name,
    changes: watch::Receiver<u64>,
}

impl PathWatch {
    /// Waits until it is known that the path transfers no data.
    pub async fn hangs(&mut self, gateway: &Gateway) {
        loop {
            // The sender is never dropped before the `Gateway`.
            let _changed = self.changes.changed().await;
            if lock(&gateway.paths).is_hanging(&self.upstream) {
                return;
            }
        }
    }
}

impl Gateway {
    /// Records that a request is sent to an upstream.
    pub fn begin_path_use(&self, upstream: &Name) {
        let now_ms = self.clock.now_ms();
        lock(&self.paths).begin_request(upstream, now_ms);
    }

    /// Records the end of a request at an upstream.
    pub fn end_path_use(&self, upstream: &Name) {
        lock(&self.paths).end_request(upstream);
    }

    /// Records that data arrived from an upstream on an open connection.
    pub fn record_contact(self: &Arc<Self>, upstream: &Name) {
        let now_ms = self.clock.now_ms();
        let change = lock(&self.paths).record_contact(upstream, now_ms);
        self.report_path_change(change);
    }

    /// Records that an upstream responded to a probe on a new connection.
    pub fn record_reached(self: &Arc<Self>, upstream: &Name) {
        let now_ms = self.clock.now_ms();
        let change = lock(&self.paths).record_reached(upstream, now_ms);
        self.report_path_change(change);
    }

    /// Records that a connection to an upstream failed, and starts a check of the paths unless one is in progress.
    /// Without other boxes nothing could be checked or done.
    pub fn suspect_path(self: &Arc<Self>, upstream: &Name) {
        if self.peers.peer_count() > 0 && lock(&self.paths).suspect(upstream) {
            path_check::start(self);
        }
    }

    /// Suspects upstreams that are silent, and starts a check of the paths if there are any.
    pub fn suspect_silent_paths(self: &Arc<Self>) {
        let now_ms = self.clock.now_ms();
        if self.peers.peer_count() > 0 && lock(&self.paths).suspect_silent(now_ms) {
            path_check::start(self);
        }
    }

    /// Starts a check; returns the upstreams to probe: the suspected ones, and `others` at random of those that are not known
    /// to have no path.
    pub fn begin_path_check(&self, others: usize) -> Option<Vec<Arc<UpstreamRecord>>> {
        let now_ms = self.clock.now_ms();
        let suspects = lock(&self.paths).begin_check(now_ms)?;
        let mut records = self.upstream_records(|id| suspects.iter().any(|name| **name == *id));
        let is_known = |name: &&Name| records.iter().any(|record| record.id == **name);
        let unknown: Vec<&Name> = suspects.iter().filter(|name| !is_known(name)).collect();
        lock(&self.paths).clear_suspicion(&unknown);
        records.truncate(MAX_SUSPECTS_CHECKED);
        records.extend(self.random_upstreams(others, &self.avoided_upstreams()));
        Some(records)
    }

    /// Records of known upstreams other than `except`, at most `limit`.
    pub fn random_upstreams(&self, limit: usize, except: &[Name]) -> Vec<Arc<UpstreamRecord>> {
        let mut upstreams = lock(&self.upstreams);
        let members = upstreams.fleet().members();
        let members = members.filter(|member| !except.contains(&member.record.id));
        let records = members.map(|member| member.record.clone());
        records.choose_multiple(&mut rand::rng(), limit)
    }

    /// Records of the known upstreams with these ids.
    pub fn upstream_records(&self, is_wanted: impl Fn(&str) -> bool) -> Vec<Arc<UpstreamRecord>> {
        let mut upstreams = lock(&self.upstreams);
        let members = upstreams.fleet().members();
        let members = members.filter(|member| is_wanted(&member.record.id));
        members.map(|member| member.record.clone()).collect()
    }

    /// Applies the results of a check of the paths; `is_wide` if many upstreams were checked. Returns whether other
    /// upstreams are worth a check too.
    pub fn apply_path_check(
        self: &Arc<Self>,
        results: &[(Name, CheckedPath)],
        is_wide: bool,
    ) -> bool {
        let now_ms = self.clock.now_ms();
        let (change, wants_wide_check) = {
            let mut paths = lock(&self.paths);
            let change = paths.apply_check(results, is_wide, now_ms);
            (change, paths.wants_wide_check(results, now_ms))
        };
        self.report_path_change(change);
        // Requests that wait on a path that fails learn of it from any check.
        if results.iter().any(|(_, checked)| checked.is_fault()) {
            self.path_changes.send_modify(|count| *count += 1);
        }
        wants_wide_check
    }

    /// Whether yet more upstreams are worth a check after many.
    pub fn wants_further_path_check(&self, results: &[(Name, CheckedPath)]) -> bool {
        lock(&self.paths).wants_further_check(results)
    }

    /// Ends a check of many upstreams after the loss of all paths.
    pub fn end_wide_path_check(&self) {
        lock(&self.paths).end_wide_check();
        self.path_changes.send_modify(|count| *count += 1);
    }

    /// Ends a check of the paths.
    pub fn end_path_check(&self) {
        lock(&self.paths).end_check();
        self.path_changes.send_modify(|count| *count += 1);
    }

    fn report_path_change(self: &Arc<Self>, change: PathChange) {
        match change {
            PathChange::None => return,
            PathChange::CutOff => self.log.line("paths_lost", json!({})),
            PathChange::Restored => {
                self.log.line("paths_restored", json!({}));
                // Some of the paths may still fail.
                path_check::start_wide(self);
            }
        }
        self.path_changes.send_modify(|count| *count += 1);
    }

    /// Upstreams to probe now because there is no path to them. If all paths are lost, these include at least one other, as
    /// any of them may be reached first.
    pub fn due_path_probes(&self, limit: usize) -> Vec<Arc<UpstreamRecord>> {
        let now_ms = self.clock.now_ms();
        let (due, is_cut_off) = {
            let mut paths = lock(&self.paths);
            (paths.due_probes(limit, now_ms), paths.is_cut_off())
        };
        let mut records = if due.is_empty() {
            Vec::new()
        } else {
            self.upstream_records(|id| due.iter().any(|name| **name == *id))
        };
        if is_cut_off {
            let missing = limit.saturating_sub(records.len()).max(1);
            records.extend(self.random_upstreams(missing, &self.avoided_upstreams()));
        }
        records
    }

    /// Whether a path to an upstream fails or is in doubt.
    pub fn has_path_trouble(&self) -> bool {
        lock(&self.paths).has_trouble()
    }

    /// Whether this box is cut off from all upstreams.
    pub fn is_cut_off(&self) -> bool {
        lock(&self.paths).is_cut_off()
    }

    /// Whether this box is cut off from all upstreams, or may be as far as is known until a check ends.
    pub fn may_be_cut_off(&self) -> bool {
        let now_ms = self.clock.now_ms();
        lock(&self.paths).may_be_cut_off(now_ms)
    }

    /// Whether the last check of the paths could not tell why it reached nothing.
    pub fn is_path_check_unresolved(&self) -> bool {
        lock(&self.paths).is_unresolved()
    }

    /// Whether data arrived from any upstream within the last `max_age_ms`.
    pub fn has_contact_within(&self, max_age_ms: u64) -> bool {
        let now_ms = self.clock.now_ms();
        lock(&self.paths).has_contact_within(max_age_ms, now_ms)
    }

    /// Upstreams that requests are not sent to from here.
    pub fn avoided_upstreams(&self) -> Vec<Name> {
        lock(&self.paths).avoided()
    }

    /// Returns a watch for the loss of the path to an upstream.
    pub fn watch_path(&self, upstream: &Name) -> PathWatch {
        PathWatch {
            upstream: upstream.clone(),
            changes: self.path_changes.subscribe(),
        }
    }

    /// Waits until a check of the paths in progress ends, but not beyond the receiver's own time limit.
    pub async fn path_check_ended(&self) {
        let mut changes = self.path_changes.subscribe();
        while lock(&self.paths).is_checking() {
            // The sender is never dropped before the `Gateway`.
            let _changed = changes.changed().await;
        }
    }

    /// Waits for a check of the paths in progress, for a limited time.
    pub async fn wait_for_path_check(&self) {
        let _in_time = timeout(PATH_CHECK_WAIT, self.path_check_ended()).await;
    }

    /// Chooses the box that serves a request in place of this one.
    pub fn choose_helper(&self, pool: &Name, tried: &[Name], seed: u64) -> Option<Name> {
        let now_ms = self.clock.now_ms();
        let mut candidates = self.peers.responsive_boxes(now_ms);
        let hinted = lock(&self.hinted_boxes);
        let unlisted = hinted.keys().filter(|name| !candidates.contains(name));
        let unlisted: Vec<Name> = unlisted.cloned().collect();
        drop(hinted);
        candidates.extend(unlisted);
        self.with_helpers(pool, |helpers| {
            helpers.choose(&candidates, tried, seed, now_ms).cloned()
        })
    }

    /// The address at which a box listens for other boxes, which may be known from a hint only.
    pub fn helper_addr(&self, name: &Name) -> Option<SocketAddr> {
        let listed = self.peers.addr_of(name);
        listed.or_else(|| lock(&self.hinted_boxes).get(name).copied())
    }

    /// Boxes that are known to be able to serve requests for a pool, with their addresses.
    pub fn helper_hints(&self, pool: &Name) -> Vec<(Name, SocketAddr)> {
        let now_ms = self.clock.now_ms();
        let good = self.with_helpers(pool, |helpers| helpers.known_good(MAX_HINTS, now_ms));
        let hints = good.into_iter();
        let hints = hints.filter_map(|name| Some((name.clone(), self.helper_addr(&name)?)));
        hints.collect()
    }

    /// Records that another box names these as able to serve requests for a pool.
    pub fn record_helper_hints(&self, pool: &Name, hints: Vec<(Name, SocketAddr)>) {
        let now_ms = self.clock.now_ms();
        for (name, addr) in hints {
            if name == self.settings.box_name {
                continue;
            }
            let mut hinted = lock(&self.hinted_boxes);
            if hinted.len() < MAX_HINTED_BOXES {
                hinted.insert(name.clone(), addr);
            }
            drop(hinted);
            self.with_helpers(pool, |helpers| helpers.record_hint(&name, now_ms));
        }
    }

    /// Calls `work` with what is known of the other boxes as helpers for requests for a pool.
    pub fn with_helpers<T>(&self, pool: &Name, work: impl FnOnce(&mut Helpers) -> T) -> T {
        work(lock(&self.helpers).entry(pool.clone()).or_default())
    }

    /// Removes expired state of paths and helpers.
    pub(super) fn sweep_paths(&self, is_known: impl Fn(&str) -> bool) {
        let now_ms = self.clock.now_ms();
        lock(&self.paths).sweep(is_known);
        lock(&self.helpers).retain(|_, helpers| !helpers.sweep(now_ms));
        if !self.has_path_trouble() {
            lock(&self.hinted_boxes).clear();
        }
        self.helper_channels.sweep(|_| true, now_ms);
    }
}
