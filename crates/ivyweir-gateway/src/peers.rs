//! The other boxes: their addresses, the selection of the source of the store's records, and the
//! reports that the boxes exchange.
//!
//! One box of each hall, its relay, receives the store's records for the other boxes of the hall.
//! The relays receive them from one of their number, the root, which watches the store. Every box
//! reports its work in progress and its response counts of roll-outs to its relay and receives
//! those of the fleet; relays exchange the sums of their halls.
//!
//! A box is unresponsive if it does not respond correctly, and sourceless if it responds but has no
//! source of the records. In both cases it is not used until a back-off has passed.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use ivyweir_policy::Name;
use ivyweir_policy::gateway::canary::Tally;
use ivyweir_policy::gateway::membership::{
    JoinedBoxes, MembershipCursor, MembershipUpdate, SeedLists,
};
use ivyweir_policy::gateway::peer_report::{PeerReport, PeerReports};
use ivyweir_policy::gateway::quota::QuotaOwners;
use ivyweir_policy::gateway::relay::{
    BoxRecord, PeerBackoff, PeerBackoffConfig, Source, SourceSelector, StickyRoot, relay_of,
};
use ivyweir_policy::hash::hash64;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::mutex::lock;

/// Back-off for a box that does not respond.
const UNRESPONSIVE_BACKOFF: PeerBackoffConfig = PeerBackoffConfig {
    initial_ms: 1_500,
    max_ms: 12_000,
};
/// Back-off for a box that responds but has no source of the records; applies to this box too.
const SOURCELESS_BACKOFF: PeerBackoffConfig = PeerBackoffConfig {
    initial_ms: 600,
    max_ms: 3_000,
};

/// The totals of all boxes' reports, and when they were computed.
#[derive(Debug)]
struct FleetTotals {
    report: PeerReport,
    at_ms: u64,
}

/// A box's knowledge of the others.
#[derive(Debug)]
pub struct Peers {
    me: BoxRecord,
    seeds: Mutex<Vec<SocketAddr>>,
    joined: Mutex<JoinedBoxes>,
    seed_lists: Mutex<SeedLists>,
    /// Other boxes, from the seeds' lists and the joins received here.
    others: Mutex<HashMap<Name, BoxRecord>>,
    is_membership_ready: AtomicBool,
    /// Whether all boxes may be starting together: the last seed that responded had started
    /// recently, or none responded.
    is_fleet_starting: AtomicBool,
    /// Number of boxes of all halls, as reported by the last seed that responded.
    fleet_size: AtomicUsize,
    /// Number of times that a box was found unresponsive or sourceless.
    backoffs: watch::Sender<u64>,
    unresponsive: Mutex<PeerBackoff>,
    sourceless: Mutex<PeerBackoff>,
    /// The root from which this box receives records if it is a relay; itself if it is the root.
    root: Mutex<StickyRoot>,
    reports: Mutex<PeerReports>,
    /// The totals of all boxes' reports that were last computed.
    fleet_totals: Mutex<Option<FleetTotals>>,
    /// The boxes that share the quota of cold upstreams.
    quota_owners: Mutex<Arc<QuotaOwners>>,
    /// Time at which this box last joined at another one.
    joined_at_ms: AtomicU64,
}

impl Peers {
    /// Creates the state of this box in this `run` of its process; `seeds` are the addresses at
    /// which it joins the others.
    pub fn new(me: BoxRecord, run: u64, seeds: Vec<SocketAddr>) -> Self {
        let quota_owners = Mutex::new(Arc::new(quota_owners_among(&me, &HashMap::new())));
        let peers = Self {
            seeds: Mutex::default(),
            joined: Mutex::new(JoinedBoxes::new(run)),
            seed_lists: Mutex::new(SeedLists::new(me.hall.clone())),
            others: Mutex::default(),
            is_membership_ready: AtomicBool::new(false),
            is_fleet_starting: AtomicBool::new(true),
            fleet_size: AtomicUsize::new(0),
            backoffs: watch::Sender::default(),
            unresponsive: Mutex::new(PeerBackoff::new(UNRESPONSIVE_BACKOFF)),
            sourceless: Mutex::new(PeerBackoff::new(SOURCELESS_BACKOFF)),
            root: Mutex::default(),
            reports: Mutex::default(),
            fleet_totals: Mutex::default(),
            quota_owners,
            joined_at_ms: AtomicU64::new(0),
            me,
        };
        peers.set_seeds(seeds);
        peers
    }

    /// Record of this box.
    pub fn me(&self) -> &BoxRecord {
        &self.me
    }

    /// Sets the addresses at which this box joins; returns whether they changed.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) -> bool {
        let others = seeds.into_iter().filter(|seed| *seed != self.me.peer_addr);
        let others: Vec<SocketAddr> = others.collect();
        let mut known = lock(&self.seeds);
        let is_change = *known != others;
        *known = others;
        is_change
    }

    /// Addresses at which this box joins.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        lock(&self.seeds).clone()
    }

    /// Whether there is no seed but this box.
    pub fn is_only_seed(&self) -> bool {
        lock(&self.seeds).is_empty()
    }

    /// The address of a randomly chosen other box.
    pub fn random_peer(&self) -> Option<SocketAddr> {
        let others = lock(&self.others);
        let count = others.len();
        let at = (count > 0).then(|| rand::random_range(0..count))?;
        others.values().nth(at).map(|record| record.peer_addr)
    }

    /// Applies the changes of a seed's list of other boxes, `None` if it is unchanged. The caller
    /// calls [`rebuild_others`](Self::rebuild_others) at the end of the round.
    pub fn apply_seed_list(&self, seed: SocketAddr, update: Option<MembershipUpdate>, now_ms: u64) {
        lock(&self.seed_lists).apply(seed, update, now_ms);
    }

    /// The state of a seed's list that this box has.
    pub fn seed_list_cursor(&self, seed: SocketAddr) -> Option<MembershipCursor> {
        lock(&self.seed_lists).cursor(seed)
    }

    /// Adds a box that joins here.
    pub fn add_joined(&self, record: BoxRecord, now_ms: u64) {
        if lock(&self.joined).join(record, now_ms) {
            self.rebuild_others(now_ms);
        }
    }

    /// Calls a function with the boxes that joined here, after adding this one.
    pub fn with_joined<T>(&self, now_ms: u64, f: impl FnOnce(&mut JoinedBoxes) -> T) -> T {
        let mut joined = lock(&self.joined);
        joined.join(self.me.clone(), now_ms);
        f(&mut joined)
    }

    /// Sets the number of boxes that joined at a seed.
    pub fn set_fleet_size(&self, boxes: usize) {
        self.fleet_size.store(boxes, Ordering::Relaxed);
    }

    /// Number of known boxes of all halls, including this one.
    pub fn fleet_size(&self) -> usize {
        let reported = self.fleet_size.load(Ordering::Relaxed);
        reported.max(self.peer_count() + 1)
    }

    /// Recomputes the set of other boxes, as some may have joined or stopped joining.
    pub fn rebuild_others(&self, now_ms: u64) {
        let mut others = lock(&self.seed_lists).boxes();
        let joined = lock(&self.joined).list_for(&self.me.hall, now_ms);
        others.extend(joined.into_iter().map(|r| (r.name.clone(), r)));
        others.remove(&self.me.name);
        let quota_owners = quota_owners_among(&self.me, &others);
        let mut known = lock(&self.others);
        if *known != others {
            *lock(&self.quota_owners) = Arc::new(quota_owners);
            *known = others;
        }
    }

    /// The boxes that share the quota of cold upstreams, computed from the known boxes.
    pub fn quota_owners(&self) -> Arc<QuotaOwners> {
        lock(&self.quota_owners).clone()
    }

    /// Records that this box joined at another one.
    pub fn record_joined(&self, now_ms: u64) {
        self.joined_at_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Time since this box last joined at another one; `None` if there is no other seed.
    pub fn since_joined_ms(&self, now_ms: u64) -> Option<u64> {
        let joined_at_ms = self.joined_at_ms.load(Ordering::Relaxed);
        (!self.is_only_seed()).then(|| now_ms.saturating_sub(joined_at_ms))
    }

    /// Marks the list of boxes as complete enough to choose a relay.
    pub fn set_membership_ready(&self) {
        self.is_membership_ready.store(true, Ordering::Relaxed);
    }

    /// Whether the list of boxes is complete enough to choose a relay.
    pub fn is_membership_ready(&self) -> bool {
        self.is_membership_ready.load(Ordering::Relaxed)
    }

    /// Sets whether all boxes may be starting together.
    pub fn set_fleet_starting(&self, is_fleet_starting: bool) {
        self.is_fleet_starting
            .store(is_fleet_starting, Ordering::Relaxed);
    }

    /// Whether all boxes may be starting together; true until this box's first join.
    pub fn is_fleet_starting(&self) -> bool {
        self.is_fleet_starting.load(Ordering::Relaxed)
    }

    /// Selects the source from which this box receives the store's records next.
    pub fn source(&self, now_ms: u64) -> Source {
        let others = lock(&self.others);
        let mut root = lock(&self.root);
        let selector = SourceSelector {
            me: &self.me,
            others: &others,
            is_unresponsive: |name: &str| lock(&self.unresponsive).is_backing_off(name, now_ms),
            has_no_source: |name: &str| lock(&self.sourceless).is_backing_off(name, now_ms),
            root: root.retained(now_ms),
        };
        let source = selector.source();
        root.update(&source, &self.me, now_ms);
        source
    }

    /// Handles the claim of another box to be a root; returns whether this box, which was a root
    /// too, yields to it.
    pub fn yield_root(&self, name: &Name) -> bool {
        let others = lock(&self.others);
        let Some(other) = others.get(name) else {
            return false;
        };
        let yields = lock(&self.root).yield_to(&self.me, other);
        if yields {
            self.record_source(name);
        }
        yields
    }

    /// Whether a box is in back-off for being unresponsive or sourceless.
    fn is_backing_off(&self, name: &str, now_ms: u64) -> bool {
        lock(&self.unresponsive).is_backing_off(name, now_ms)
            || lock(&self.sourceless).is_backing_off(name, now_ms)
    }

    /// Records that a box has no source of the store's records; for this box, that the store does
    /// not respond to it.
    pub fn record_sourceless(&self, name: &Name, now_ms: u64) {
        lock(&self.sourceless).record_failure(name, now_ms);
        self.backoffs.send_modify(|count| *count += 1);
    }

    /// Records that a box has a source of the store's records; for this box, that the store
    /// responds.
    pub fn record_source(&self, name: &str) {
        lock(&self.sourceless).record_success(name);
    }

    /// Records that a box did not respond correctly.
    pub fn record_unresponsive(&self, name: &Name, now_ms: u64) {
        lock(&self.unresponsive).record_failure(name, now_ms);
        self.backoffs.send_modify(|count| *count += 1);
    }

    /// Waits until a box is in back-off, whichever follower or task found it unresponsive or
    /// sourceless.
    pub async fn wait_until_backing_off(&self, name: &Name, clock: &Clock) {
        let mut backoffs = self.backoffs.subscribe();
        while !self.is_backing_off(name, clock.now_ms()) {
            // The sender lives as long as the box's state.
            let _changed = backoffs.changed().await;
        }
    }

    /// Records that a box responded.
    pub fn record_response(&self, name: &Name) {
        lock(&self.unresponsive).record_success(name);
    }

    /// The relay of a hall, unless it is this box itself.
    pub fn relay(&self, hall: &str, now_ms: u64) -> Option<BoxRecord> {
        let me = (*self.me.hall == *hall).then_some(&self.me);
        let relay = self.elect_relay(me, hall, now_ms)?;
        (relay.name != self.me.name).then_some(relay)
    }

    /// The relay of a hall for the other boxes once this one stops.
    pub fn relay_after_me(&self, hall: &str, now_ms: u64) -> Option<BoxRecord> {
        self.elect_relay(None, hall, now_ms)
    }

    /// The relay of a hall among the usable other boxes and, if given, this one.
    fn elect_relay(&self, me: Option<&BoxRecord>, hall: &str, now_ms: u64) -> Option<BoxRecord> {
        let others = lock(&self.others);
        let unresponsive = lock(&self.unresponsive);
        let in_hall = others.values().filter(|record| &*record.hall == hall);
        let usable = in_hall.filter(|record| !unresponsive.is_backing_off(&record.name, now_ms));
        relay_of(usable.chain(me)).cloned()
    }

    /// The root from which this box receives records as its hall's relay, unless it is the root
    /// itself.
    pub fn root(&self) -> Option<BoxRecord> {
        // Holding both locks at once would acquire them in the opposite order of `source`, which
        // could deadlock.
        let name = lock(&self.root).name()?.clone();
        lock(&self.others).get(&name).cloned()
    }

    /// Halls that have boxes.
    pub fn halls(&self) -> Vec<Name> {
        let others = lock(&self.others);
        let mut halls: Vec<Name> = others.values().map(|record| record.hall.clone()).collect();
        halls.push(self.me.hall.clone());
        halls.sort();
        halls.dedup();
        halls
    }

    /// Whether every other hall has reported recently.
    pub fn has_reports_from_all_halls(&self, now_ms: u64) -> bool {
        let senders = lock(&self.reports).recent_senders(now_ms);
        let others = lock(&self.others);
        let reported_halls = senders.iter().filter_map(|name| others.get(name));
        let reported_halls: HashSet<&Name> = reported_halls.map(|record| &record.hall).collect();
        let mut halls = others.values().map(|record| &record.hall);
        halls.all(|hall| *hall == self.me.hall || reported_halls.contains(hall))
    }

    /// Names of the known other boxes that are not in back-off for being unresponsive.
    pub fn responsive_boxes(&self, now_ms: u64) -> Vec<Name> {
        let others = lock(&self.others);
        let unresponsive = lock(&self.unresponsive);
        let names = others.keys();
        let responsive = names.filter(|name| !unresponsive.is_backing_off(name, now_ms));
        responsive.cloned().collect()
    }

    /// Number of other known boxes.
    pub fn peer_count(&self) -> usize {
        lock(&self.others).len()
    }

    /// Stores the report of a box, or of a relay for several boxes.
    pub fn add_report(&self, from: &Name, report: PeerReport, now_ms: u64) {
        lock(&self.reports).insert(from, report, now_ms);
    }

    /// The sum of the latest reports of all boxes other than those matched by `except`.
    pub fn sum_reports_except(&self, except: impl Fn(&str) -> bool, now_ms: u64) -> PeerReport {
        lock(&self.reports).sum_except(except, now_ms)
    }

    /// The totals of all boxes, as far as they are reported; `own` is this box's report. Totals
    /// younger than `max_age_ms` are returned again without being recomputed.
    pub fn fleet_totals(&self, max_age_ms: u64, now_ms: u64, own: &PeerReport) -> PeerReport {
        let mut known = lock(&self.fleet_totals);
        if let Some(totals) = known
            .as_ref()
            .filter(|totals| now_ms < totals.at_ms + max_age_ms)
        {
            return totals.report.clone();
        }
        let mut report = lock(&self.reports).totals(now_ms);
        report.add_totals(own);
        report.shares = report.shares.bounded();
        *known = Some(FleetTotals {
            report: report.clone(),
            at_ms: now_ms,
        });
        report
    }

    /// The roll-out counts that boxes other than `except` reported recently.
    pub fn tallies_except(&self, except: &str, now_ms: u64) -> HashMap<Name, Tally> {
        lock(&self.reports).tallies_except(except, now_ms)
    }

    /// Number of known boxes of this hall, including this one.
    pub fn hall_size(&self) -> usize {
        self.quota_owners().hall_size()
    }

    /// The address at which a box listens for other boxes.
    pub fn addr_of(&self, name: &Name) -> Option<SocketAddr> {
        lock(&self.others).get(name).map(|record| record.peer_addr)
    }

    /// Whether a box is known to be in a hall.
    pub fn is_in_hall(&self, name: &str, hall: &str) -> bool {
        lock(&self.others)
            .get(name)
            .is_some_and(|record| &*record.hall == hall)
    }
}

/// The boxes that share the quota of cold upstreams with `me`.
fn quota_owners_among(me: &BoxRecord, others: &HashMap<Name, BoxRecord>) -> QuotaOwners {
    let hash = |name: &Name| hash64(&[name.as_bytes()]);
    let of_hall = others.values().filter(|record| record.hall == me.hall);
    QuotaOwners::new(
        others.values().map(|record| hash(&record.hall)).collect(),
        hash(&me.hall),
        of_hall.map(|record| hash(&record.name)).collect(),
        hash(&me.name),
    )
}
