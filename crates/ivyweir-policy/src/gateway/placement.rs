//! Selection of the upstream of a pool that takes a request.
//!
//! Upstreams are compared by their outstanding work. A request with a shared prompt prefix prefers
//! the upstream that read the prefix before, found by rendezvous hashing, so that all boxes agree
//! on it without a message. The preference is worth the cost of reading the prefix again, so a busy
//! upstream is passed over. Apart from the preferred upstreams only a random sample is compared, so
//! that boxes do not all send to the same idle one.

use crate::gateway::backlog::{BandLoad, Pending};
use crate::gateway::fleet::UpstreamRecord;
use crate::gateway::forecast::{Forecast, LoadSource, Slot};
use crate::gateway::urgency::Band;
use crate::gateway::work::Estimate;
use crate::hash::mix;

/// Pause after the first failed connection; doubles with each further one.
const CONNECT_PAUSE_MIN_MS: u64 = 400;
/// Upper bound of that pause.
const CONNECT_PAUSE_MAX_MS: u64 = 4_000;
/// Weight of the newest outcome in the failure rate, an exponential moving average.
const FAILURE_WEIGHT: f64 = 0.25;
/// Half-life of the failure rate without new outcomes.
const FAILURE_HALF_LIFE_MS: f64 = 3_000.0;
/// Failure rate above which other upstreams are preferred.
const MAX_FAILURE_RATE: f64 = 0.3;
/// Age at which a reported load, or the work reported by other boxes, is no longer used.
const REPORT_MAX_AGE_MS: u64 = 1_500;
/// Assumed work of a request of which only the count is known.
const UNKNOWN_WORK_MS: f64 = 40.0;
/// Upstreams sampled at random.
const SAMPLE_SIZE: usize = 4;
/// Cost of reading a shared prefix again, relative to the time it takes: other requests wait for it
/// too.
const PREFIX_REUSE_WEIGHT: f64 = 4.0;
/// The same at the second choice for the prefix.
const SECOND_CHOICE_REUSE_WEIGHT: f64 = 0.3;
/// Fraction of its slots by which a plain service in another hall must be emptier to be chosen.
const REMOTE_HALL_PENALTY: f64 = 0.25;

/// Load and health of an upstream as known to this box.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLoad {
    in_flight: u32,
    own: BandLoad,
    others: BandLoad,
    others_at_ms: Option<u64>,
    reported_by_others: f64,
    reported_at_ms: Option<u64>,
    /// Requests of other boxes that are assumed as far as neither reports nor a load figure are recent.
    assumed_others: f64,
    connect_failures: u32,
    paused_until_ms: u64,
    failure_rate: f64,
    failure_at_ms: u64,
}

impl UpstreamLoad {
    /// Records that a request of this band with this amount of work is sent to the upstream.
    pub fn begin(&mut self, band: Band, work_ms: f64) {
        self.in_flight += 1;
        self.own.add(band, Pending::request(work_ms));
    }

    /// Records that a part of the work of a request is done.
    pub fn progress(&mut self, band: Band, done_ms: f64) {
        self.own.subtract(band, Pending::work(done_ms));
    }

    /// Records the end of a request of which this amount of work is still accounted for.
    pub fn end(&mut self, band: Band, work_ms: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.own.subtract(band, Pending::request(work_ms));
        if self.in_flight == 0 {
            self.own = BandLoad::default();
        }
    }

    /// Sets the load of other boxes at the upstream.
    pub fn set_others_work(&mut self, load: BandLoad, now_ms: u64) {
        self.others = load;
        self.others_at_ms = Some(now_ms);
    }

    /// Outstanding requests of this box.
    pub fn own_load(&self) -> &BandLoad {
        &self.own
    }

    /// Records the load that the upstream reported with an answer.
    pub fn record_report(&mut self, running: u32, waiting: u32, now_ms: u64) {
        let others = running
            .saturating_add(waiting)
            .saturating_sub(self.in_flight);
        self.reported_by_others = f64::from(others);
        self.reported_at_ms = Some(now_ms);
    }

    /// Records that a connection could not be made, or broke without an answer.
    pub fn record_connection_failure(&mut self, now_ms: u64) {
        let doublings = self.connect_failures.min(8);
        self.connect_failures += 1;
        let pause_ms = (CONNECT_PAUSE_MIN_MS << doublings).min(CONNECT_PAUSE_MAX_MS);
        self.paused_until_ms = now_ms + pause_ms;
    }

    /// Records whether an answer failed.
    pub fn record_outcome(&mut self, failed: bool, now_ms: u64) {
        let rate = self.failure_rate(now_ms);
        let newest = if failed { 1.0 } else { 0.0 };
        self.failure_rate = rate + FAILURE_WEIGHT * (newest - rate);
        self.failure_at_ms = now_ms;
        if !failed {
            self.connect_failures = 0;
        }
    }

    /// Number of requests of this box at the upstream.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Estimated outstanding work of all bands.
    pub fn load_ms(&self, now_ms: u64) -> f64 {
        self.work_before_ms(Band::LAST, now_ms)
    }

    /// Estimated outstanding work that is served before a new request of `band`: from the reports of
    /// other boxes where they are recent, otherwise from the load that the upstream reported, of
    /// which no band is known.
    pub fn work_before_ms(&self, band: Band, now_ms: u64) -> f64 {
        let own_ms = self.own.before(band).work_ms;
        if self.has_recent_reports(now_ms) {
            return own_ms + self.others.before(band).work_ms;
        }
        own_ms + self.unreported_others(now_ms) * UNKNOWN_WORK_MS
    }

    fn has_recent_reports(&self, now_ms: u64) -> bool {
        self.others_at_ms
            .is_some_and(|at_ms| at_ms + REPORT_MAX_AGE_MS > now_ms)
    }

    /// Weight of the load that the upstream reported: 1 when it is new, decreasing to 0 with its age.
    fn report_trust(&self, now_ms: u64) -> f64 {
        let Some(reported_at_ms) = self.reported_at_ms else {
            return 0.0;
        };
        let age_ms = now_ms.saturating_sub(reported_at_ms);
        1.0 - age_ms.min(REPORT_MAX_AGE_MS) as f64 / REPORT_MAX_AGE_MS as f64
    }

    /// Estimated number of requests at the upstream of `band` and the more urgent ones.
    pub fn requests_before(&self, band: Band, now_ms: u64) -> f64 {
        let own = self.own.before(band).requests;
        if self.has_recent_reports(now_ms) {
            return own + self.others.before(band).requests;
        }
        own + self.unreported_others(now_ms)
    }

    /// Estimated requests of other boxes without their reports: from the upstream's load figure, and as that ages, from
    /// the assumed number.
    fn unreported_others(&self, now_ms: u64) -> f64 {
        let trust = self.report_trust(now_ms);
        self.reported_by_others * trust + self.assumed_others * (1.0 - trust)
    }

    /// Where the load is known from.
    pub fn load_source(&self, now_ms: u64) -> LoadSource {
        if self.has_recent_reports(now_ms) {
            LoadSource::Reports
        } else if self.report_trust(now_ms) > 0.0 {
            LoadSource::LoadFigure
        } else {
            LoadSource::Unknown
        }
    }

    /// Estimated number of requests at the upstream.
    pub fn requests(&self, now_ms: u64) -> f64 {
        f64::from(self.in_flight) + self.reported_by_others * self.report_trust(now_ms)
    }

    /// Number of requests of other boxes at the upstream, of `band` and the more urgent ones; none without recent
    /// reports.
    pub fn others_before(&self, band: Band, now_ms: u64) -> Option<f64> {
        self.has_recent_reports(now_ms)
            .then(|| self.others.before(band).requests)
    }

    /// Requests of other boxes that the upstream reported last, of all bands, and the age of that report; none if it
    /// never reported.
    pub fn last_report(&self, now_ms: u64) -> Option<(f64, u64)> {
        let reported_at_ms = self.reported_at_ms?;
        Some((
            self.reported_by_others,
            now_ms.saturating_sub(reported_at_ms),
        ))
    }

    /// Whether the upstream is in the pause after a failed connection.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms
    }

    fn failure_rate(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.failure_at_ms) as f64;
        self.failure_rate * (-age_ms / FAILURE_HALF_LIFE_MS).exp2()
    }

    fn is_failing(&self, now_ms: u64) -> bool {
        self.failure_rate(now_ms) > MAX_FAILURE_RATE
    }
}

/// An upstream that may be chosen.
#[derive(Debug)]
pub struct Candidate<'a> {
    /// Record of the registry.
    pub record: &'a UpstreamRecord,
    /// Hash of its id, the same on all boxes.
    pub id_hash: u64,
    /// Load and health as known to this box.
    pub load: UpstreamLoad,
}

impl Candidate<'_> {
    /// Forecast for a request here; none if the request is placed without load control.
    pub fn forecast(&self, request: &PlacementRequest, now_ms: u64) -> Option<Forecast> {
        if !request.forecast {
            return None;
        }
        let (load, slots) = (&self.load, self.record.slots);
        let source = load.load_source(now_ms);
        let all = load.requests_before(Band::LAST, now_ms);
        let Some(estimate) = request.engine else {
            return Some(Forecast::plain(slots, all, source));
        };
        Some(Forecast::engine(
            load.work_before_ms(request.band, now_ms),
            load.load_ms(now_ms),
            &estimate,
            Slot::find(slots, load.requests_before(request.band, now_ms), all),
            source,
        ))
    }
}

/// Properties of a request that determine its placement.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Hash of the shared prompt prefix and the model, if there is one.
    pub prefix: Option<u64>,
    /// Estimated work, if the request goes to an engine.
    pub engine: Option<Estimate>,
    /// Hall of this box.
    pub hall: &'a str,
    /// Time that an engine in another hall must save to be chosen.
    pub far_engine_ms: f64,
    /// Band of the request; upstreams are compared by the work that is served before it. `Band::LAST`
    /// compares them by all work.
    pub band: Band,
    /// Whether load control is in force: engines are then compared by the forecast for the request instead of by work
    /// alone, and plain upstreams by load figures that are replaced by the mean of the pool as they age.
    pub forecast: bool,
    /// Whether upstreams that failed recently are passed over.
    pub avoid_failing: bool,
    /// Random seed of the request.
    pub seed: u64,
    /// Hash of the request, if upstreams terminated while it was running there; it is then placed
    /// by this hash and not by load. By load, requests interrupted by the same termination would
    /// all go to the idlest upstream next, and if one of them terminates that too, nothing tells
    /// which one it was.
    pub isolation_hash: Option<u64>,
}

/// Chooses among all upstreams that may serve; returns an index into `candidates`.
pub fn choose(candidates: &[Candidate], request: &PlacementRequest, now_ms: u64) -> Option<usize> {
    choose_from_sample(candidates, None, request, now_ms)
}

/// Like [`choose`], with a sample of a large pool. The first `homes` candidates are those among
/// which shared prefixes, and requests that were running at terminated upstreams, are placed; the
/// others were sampled at random.
pub fn choose_from_sample(
    candidates: &[Candidate],
    homes: Option<usize>,
    request: &PlacementRequest,
    now_ms: u64,
) -> Option<usize> {
    let all: Vec<usize> = (0..candidates.len()).collect();
    let healthy = if request.avoid_failing {
        let connectable = filter_unless_empty(&all, |i| !candidates[i].load.is_paused(now_ms));
        filter_unless_empty(&connectable, |i| !candidates[i].load.is_failing(now_ms))
    } else {
        all
    };
    let (home, sampled) = match homes {
        None => (&healthy[..], &healthy[..]),
        Some(homes) => healthy.split_at(healthy.partition_point(|&i| i < homes)),
    };
    if let Some(hash) = request.isolation_hash {
        let first = highest(home, 1, |i| mix(hash, candidates[i].id_hash));
        return first.first().or(sampled.first()).copied();
    }
    match request.engine {
        Some(estimate) => least_work(candidates, home, sampled, &estimate, request, now_ms),
        None => least_requests(candidates, &healthy, request, now_ms),
    }
}

/// Assumes the mean load figure of the candidates where the load is unknown: an upstream that no box has reported on is
/// neither idle nor full.
pub fn assume_mean_load(candidates: &mut [Candidate], now_ms: u64) {
    let (mut requests, mut weight) = (0.0, 0.0);
    for load in candidates.iter().map(|candidate| &candidate.load) {
        let trust = load.report_trust(now_ms);
        requests += load.reported_by_others * trust;
        weight += trust;
    }
    if weight > 0.0 {
        let mean = requests / weight;
        candidates
            .iter_mut()
            .for_each(|candidate| candidate.load.assumed_others = mean);
    }
}

/// Mean estimated work of the candidates.
pub fn mean_work_ms(candidates: &[Candidate], now_ms: u64) -> f64 {
    let work: f64 = candidates.iter().map(|c| c.load.load_ms(now_ms)).sum();
    work / candidates.len().max(1) as f64
}

/// Entries that pass the filter, or all of them where none does.
fn filter_unless_empty(from: &[usize], keep: impl Fn(usize) -> bool) -> Vec<usize> {
    let kept: Vec<usize> = from.iter().copied().filter(|&i| keep(i)).collect();
    if kept.is_empty() { from.to_vec() } else { kept }
}

fn least_work(
    candidates: &[Candidate],
    home: &[usize],
    among: &[usize],
    estimate: &Estimate,
    request: &PlacementRequest,
    now_ms: u64,
) -> Option<usize> {
    let by_prefix = request.prefix.map_or_else(Vec::new, |prefix| {
        highest(home, 2, |i| mix(prefix, candidates[i].id_hash))
    });
    let sampled = highest(among, SAMPLE_SIZE, |i| {
        mix(request.seed, candidates[i].id_hash)
    });
    let cost = |i: usize| {
        let is_remote = &*candidates[i].record.hall != request.hall;
        let saved_ms = match by_prefix.iter().position(|&preferred| preferred == i) {
            Some(0) => PREFIX_REUSE_WEIGHT * estimate.saved_ms,
            Some(_) => SECOND_CHOICE_REUSE_WEIGHT * estimate.saved_ms,
            None => 0.0,
        };
        let far_ms = if is_remote {
            request.far_engine_ms
        } else {
            0.0
        };
        let work_ms = candidates[i].forecast(request, now_ms).map_or_else(
            || candidates[i].load.work_before_ms(request.band, now_ms),
            |forecast| forecast.cost_ms(),
        );
        work_ms + far_ms - saved_ms
    };
    let compared = by_prefix.iter().chain(&sampled).copied();
    compared.min_by(|&a, &b| cost(a).total_cmp(&cost(b)))
}

fn least_requests(
    candidates: &[Candidate],
    among: &[usize],
    request: &PlacementRequest,
    now_ms: u64,
) -> Option<usize> {
    let mean_others = if request.forecast {
        others_per_slot(candidates, among, now_ms)
    } else {
        0.0
    };
    let cost = |i: usize| {
        let Candidate { record, load, .. } = &candidates[i];
        let slots = f64::from(record.slots.max(1));
        let is_remote = &*record.hall != request.hall;
        // All boxes receive the same reports, up to 1.8 s late, and would all send to the upstream with the fewest
        // reported requests. The load figures of single boxes differ, so they order the upstreams, and the mean of the
        // pool is assumed as a figure ages.
        let others = mean_others * (1.0 - load.report_trust(now_ms));
        let penalty = if is_remote { REMOTE_HALL_PENALTY } else { 0.0 };
        load.requests(now_ms) / slots + others + penalty
    };
    let tie = |i: usize| mix(request.seed, candidates[i].id_hash);
    among.iter().copied().min_by(|&a, &b| {
        let by_cost = cost(a).total_cmp(&cost(b));
        by_cost.then_with(|| tie(a).cmp(&tie(b)))
    })
}

/// Mean number of requests of other boxes per slot: from their reports, or from the load figures where no reports are
/// recent. A load figure counts the less the older it is, so that an upstream with an old one is neither idle nor full.
fn others_per_slot(candidates: &[Candidate], among: &[usize], now_ms: u64) -> f64 {
    let loads = || among.iter().map(|&i| &candidates[i]);
    let has_reports = loads().any(|candidate| candidate.load.has_recent_reports(now_ms));
    let (mut requests, mut slots) = (0.0, 0.0);
    for Candidate { record, load, .. } in loads() {
        let (others, weight) = if !has_reports {
            (load.reported_by_others, load.report_trust(now_ms))
        } else if load.has_recent_reports(now_ms) {
            (load.others.total().requests, 1.0)
        } else {
            (0.0, 1.0)
        };
        requests += others * weight;
        slots += f64::from(record.slots.max(1)) * weight;
    }
    if slots > 0.0 { requests / slots } else { 0.0 }
}

/// Returns the `count` entries of `among` with the highest scores, highest first.
fn highest(among: &[usize], count: usize, score: impl Fn(usize) -> u64) -> Vec<usize> {
    let mut best: Vec<(u64, usize)> = Vec::with_capacity(count + 1);
    for &i in among {
        let scored = (score(i), i);
        let at = best.partition_point(|better| *better > scored);
        if at < count {
            best.insert(at, scored);
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, i)| i).collect()
}
