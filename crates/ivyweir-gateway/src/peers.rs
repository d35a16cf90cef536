//! Boxes among themselves: who they are, from whom this one hears the store, and what they told.
//!
//! One box of each hall, its relay, hears the store's records for the others of the hall, and the
//! relays hear them from one of them, the root, which watches the store. Every box tells its relay
//! its work under way and its counts of a roll-out's answers, and hears the fleet's; relays tell
//! each other the sums of their halls.
//!
//! A box is silent if it does not answer as it should, and sourceless if it answers but hears the
//! records from nobody; either is left alone, or shunned, for a while.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use ivyweir_policy::Name;
use ivyweir_policy::gateway::canary::Tally;
use ivyweir_policy::gateway::membership::{
    JoinedBoxes, MembershipCursor, MembershipUpdate, SeedLists,
};
use ivyweir_policy::gateway::peer_report::{
    PeerReport, PeerReports, PoolRetryCounts, Work, add_retry_counts, add_work,
};
use ivyweir_policy::gateway::quota::QuotaOwners;
use ivyweir_policy::gateway::relay::{
    BoxRecord, PeerBackoff, PeerBackoffConfig, Source, SourceSelector, StickyRoot, relay_of,
};
use ivyweir_policy::hash::hash64;
use tokio::sync::watch;

use crate::clock::Clock;

/// Pauses for a box that does not answer.
const UNRESPONSIVE_BACKOFF: PeerBackoffConfig = PeerBackoffConfig {
    initial_ms: 1_500,
    max_ms: 12_000,
};
/// Pauses for a box that answers but has no source of the records, this one included.
const SOURCELESS_BACKOFF: PeerBackoffConfig = PeerBackoffConfig {
    initial_ms: 600,
    max_ms: 3_000,
};

/// A sum of all boxes' work and repeats, and when it was made.
#[derive(Debug)]
struct FleetTotals {
    work: Work,
    repeats: PoolRetryCounts,
    at_ms: u64,
}

/// What a box knows of others.
#[derive(Debug)]
pub struct Peers {
    me: BoxRecord,
    seeds: Mutex<Vec<SocketAddr>>,
    joined: Mutex<JoinedBoxes>,
    seed_lists: Mutex<SeedLists>,
    /// Other boxes, by the seeds' lists and who joined here.
    others: Mutex<HashMap<Name, BoxRecord>>,
    is_settled: AtomicBool,
    /// Whether the boxes at which this one joined were young: all may have started together.
    is_fleet_starting: AtomicBool,
    /// Boxes of all halls, by the last seed that answered.
    fleet_size: AtomicUsize,
    /// Counts how often boxes were found silent or sourceless.
    backoffs: watch::Sender<u64>,
    unresponsive: Mutex<PeerBackoff>,
    sourceless: Mutex<PeerBackoff>,
    /// The root that this box hears from, if it is a relay; itself if it is the root.
    root: Mutex<StickyRoot>,
    reports: Mutex<PeerReports>,
    /// The sum of all boxes' words that was told last.
    fleet_totals: Mutex<Option<FleetTotals>>,
    /// The boxes that share what cold upstreams bear.
    quota_owners: Mutex<Arc<QuotaOwners>>,
    /// When this box last joined at another one.
    joined_at_ms: AtomicU64,
}

impl Peers {
    /// This box in this `run` of its process, and the addresses at which it joins the others.
    pub fn new(me: BoxRecord, run: u64, seeds: Vec<SocketAddr>) -> Self {
        let quota_owners = Mutex::new(Arc::new(quota_owners_among(&me, &HashMap::new())));
        let peers = Self {
            seeds: Mutex::default(),
            joined: Mutex::new(JoinedBoxes::new(run)),
            seed_lists: Mutex::new(SeedLists::new(me.hall.clone())),
            others: Mutex::default(),
            is_settled: AtomicBool::new(false),
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

    /// This box.
    pub fn me(&self) -> &BoxRecord {
        &self.me
    }

    /// Takes in the addresses at which boxes join; returns whether they are others than before.
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

    /// The address of some other box.
    pub fn random_peer(&self) -> Option<SocketAddr> {
        let others = lock(&self.others);
        let count = others.len();
        let at = (count > 0).then(|| rand::random_range(0..count))?;
        others.values().nth(at).map(|record| record.peer_addr)
    }

    /// Takes in what is new on a seed's list of other boxes: none where that has not changed. [`merge`](Self::merge)
    /// follows at the end of the round.
    pub fn apply_seed_list(&self, seed: SocketAddr, update: Option<MembershipUpdate>, now_ms: u64) {
        lock(&self.seed_lists).apply(seed, update, now_ms);
    }

    /// What this box has of a seed's list.
    pub fn seed_list_cursor(&self, seed: SocketAddr) -> Option<MembershipCursor> {
        lock(&self.seed_lists).cursor(seed)
    }

    /// Takes in that a box joins here.
    pub fn add_joined(&self, record: BoxRecord, now_ms: u64) {
        if lock(&self.joined).join(record, now_ms) {
            self.merge(now_ms);
        }
    }

    /// Looks at the boxes that joined here, this one among them.
    pub fn with_joined<T>(&self, now_ms: u64, look: impl FnOnce(&mut JoinedBoxes) -> T) -> T {
        let mut joined = lock(&self.joined);
        joined.join(self.me.clone(), now_ms);
        look(&mut joined)
    }

    /// Takes in how many boxes joined at a seed.
    pub fn set_fleet_size(&self, boxes: usize) {
        self.fleet_size.store(boxes, Ordering::Relaxed);
    }

    /// Boxes of all halls, this one included, as far as is known.
    pub fn fleet_size(&self) -> usize {
        let reported = self.fleet_size.load(Ordering::Relaxed);
        reported.max(self.peer_count() + 1)
    }

    /// Computes the other boxes anew: some may have joined, or not joined any more.
    pub fn merge(&self, now_ms: u64) {
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

    /// The boxes that share what cold upstreams bear, by the boxes known.
    pub fn quota_owners(&self) -> Arc<QuotaOwners> {
        lock(&self.quota_owners).clone()
    }

    /// Takes in that this box joined at another one.
    pub fn record_joined(&self, now_ms: u64) {
        self.joined_at_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Time since this box last joined at another one; none where it has none to join.
    pub fn since_joined_ms(&self, now_ms: u64) -> Option<u64> {
        let joined_at_ms = self.joined_at_ms.load(Ordering::Relaxed);
        (!self.is_only_seed()).then(|| now_ms.saturating_sub(joined_at_ms))
    }

    /// Takes in that the list of boxes is good enough to choose a relay by.
    pub fn settle(&self) {
        self.is_settled.store(true, Ordering::Relaxed);
    }

    /// Whether it is.
    pub fn is_settled(&self) -> bool {
        self.is_settled.load(Ordering::Relaxed)
    }

    /// Takes in whether the boxes at which this one joins started lately.
    pub fn set_fleet_starting(&self, is_fleet_starting: bool) {
        self.is_fleet_starting
            .store(is_fleet_starting, Ordering::Relaxed);
    }

    /// Whether they did, as far as is known.
    pub fn is_fleet_starting(&self) -> bool {
        self.is_fleet_starting.load(Ordering::Relaxed)
    }

    /// From whom this box is to hear the store's records next.
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

    /// Takes in that a box is a root; returns whether this one, which was the root too, gives way to it.
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

    /// Whether a box is left alone for now, as it was silent or sourceless.
    fn is_backing_off(&self, name: &str, now_ms: u64) -> bool {
        lock(&self.unresponsive).is_backing_off(name, now_ms)
            || lock(&self.sourceless).is_backing_off(name, now_ms)
    }

    /// Takes in that a box has no source of the store's records; of this one, that the store does not
    /// answer it.
    pub fn record_sourceless(&self, name: &Name, now_ms: u64) {
        lock(&self.sourceless).record_failure(name, now_ms);
        self.backoffs.send_modify(|count| *count += 1);
    }

    /// Takes in that a box has a source of the store's records; of this one, that the store answers.
    pub fn record_source(&self, name: &str) {
        lock(&self.sourceless).record_success(name);
    }

    /// Takes in that a box did not answer as it should.
    pub fn record_unresponsive(&self, name: &Name, now_ms: u64) {
        lock(&self.unresponsive).record_failure(name, now_ms);
        self.backoffs.send_modify(|count| *count += 1);
    }

    /// Waits until a box is left alone, whichever follower or task found it silent or sourceless.
    pub async fn wait_until_backing_off(&self, name: &Name, clock: &Clock) {
        let mut backoffs = self.backoffs.subscribe();
        while !self.is_backing_off(name, clock.now_ms()) {
            // The sender lives as long as the box's state.
            let _changed = backoffs.changed().await;
        }
    }

    /// Takes in that a box answered.
    pub fn record_response(&self, name: &Name) {
        lock(&self.unresponsive).record_success(name);
    }

    /// The relay of a hall, unless it is this box itself.
    pub fn relay(&self, hall: &str, now_ms: u64) -> Option<BoxRecord> {
        let others = lock(&self.others);
        let unresponsive = lock(&self.unresponsive);
        let in_hall = others.values().filter(|record| &*record.hall == hall);
        let usable = in_hall.filter(|record| !unresponsive.is_backing_off(&record.name, now_ms));
        let me = (*self.me.hall == *hall).then_some(&self.me);
        let relay = relay_of(usable.chain(me))?;
        (relay.name != self.me.name).then(|| relay.clone())
    }

    /// The root that this box hears from as its hall's relay, unless it is the root itself.
    pub fn root(&self) -> Option<BoxRecord> {
        // Both locks at once would be taken in the opposite order of `source`.
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

    /// Whether a word of each other hall was heard lately.
    pub fn has_reports_from_all_halls(&self, now_ms: u64) -> bool {
        let senders = lock(&self.reports).recent_senders(now_ms);
        let others = lock(&self.others);
        let reported_halls = senders.iter().filter_map(|name| others.get(name));
        let reported_halls: HashSet<&Name> = reported_halls.map(|record| &record.hall).collect();
        let mut halls = others.values().map(|record| &record.hall);
        halls.all(|hall| *hall == self.me.hall || reported_halls.contains(hall))
    }

    /// Number of other boxes that this one knows.
    pub fn peer_count(&self) -> usize {
        lock(&self.others).len()
    }

    /// Takes in the word of a box, or of a relay for several boxes.
    pub fn add_report(&self, from: &Name, report: PeerReport, now_ms: u64) {
        lock(&self.reports).insert(from, report, now_ms);
    }

    /// The sum of the latest words of boxes other than `except`.
    pub fn sum_reports_except(&self, except: impl Fn(&str) -> bool, now_ms: u64) -> PeerReport {
        lock(&self.reports).sum_except(except, now_ms)
    }

    /// The work and the repeats of all boxes, as far as they were told; `own` is this box's word. A sum
    /// that is younger than `max_age_ms` is told again.
    pub fn fleet_totals(
        &self,
        max_age_ms: u64,
        now_ms: u64,
        own: &PeerReport,
    ) -> (Work, PoolRetryCounts) {
        let mut known = lock(&self.fleet_totals);
        if let Some(sum) = known.as_ref().filter(|sum| now_ms < sum.at_ms + max_age_ms) {
            return (sum.work.clone(), sum.repeats.clone());
        }
        let (mut work, mut repeats) = lock(&self.reports).work_and_retries(now_ms);
        add_work(&mut work, &own.work);
        add_retry_counts(&mut repeats, &own.repeats);
        *known = Some(FleetTotals {
            work: work.clone(),
            repeats: repeats.clone(),
            at_ms: now_ms,
        });
        (work, repeats)
    }

    /// The counts that boxes other than `except` told lately.
    pub fn tallies_except(&self, except: &str, now_ms: u64) -> HashMap<Name, Tally> {
        lock(&self.reports).tallies_except(except, now_ms)
    }

    /// Boxes of this hall, this one included, as far as is known.
    pub fn hall_size(&self) -> usize {
        self.quota_owners().hall_size()
    }

    /// Where a box listens for others.
    pub fn addr_of(&self, name: &Name) -> Option<SocketAddr> {
        lock(&self.others).get(name).map(|record| record.peer_addr)
    }

    /// Whether a box is of this hall, as far as is known.
    pub fn is_in_hall(&self, name: &str, hall: &str) -> bool {
        lock(&self.others)
            .get(name)
            .is_some_and(|record| &*record.hall == hall)
    }
}

/// The boxes among which `me` shares what cold upstreams bear.
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("invariant: no holder panics")
}
