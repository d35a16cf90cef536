//! Which upstream of a pool takes a request.
//!
//! Upstreams are compared by the work that is under way there. A request with a shared prompt part
//! is drawn to the upstream that read the part before, found by rendezvous hashing: all boxes agree
//! on it without a message. The draw is worth what reading again would cost, so a busy upstream is
//! passed over. Besides, only a few upstreams drawn at random are weighed, so that boxes do not all
//! send to the same idle one.

use crate::gateway::fleet::UpstreamRecord;
use crate::gateway::work::Estimate;
use crate::hash::mix;

/// First pause after a failed connection; doubles with each further one.
const SHUN_FIRST_MS: u64 = 400;
/// Longest such pause.
const SHUN_MAX_MS: u64 = 4_000;
/// Weight of the newest outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Time in which the memory of failures halves.
const FAILURE_HALF_LIFE_MS: f64 = 3_000.0;
/// Failure rate from which others are preferred.
const FAILURE_LIMIT: f64 = 0.3;
/// Age at which a reported load, or other boxes' work, says nothing any more.
const REPORT_MAX_AGE_MS: u64 = 1_500;
/// Work of a request that is known only by number.
const UNKNOWN_WORK_MS: f64 = 40.0;
/// Upstreams drawn at random.
const DRAWN: usize = 4;
/// What reading a shared part again costs, relative to the time it takes: others wait for it too.
const SAVED_WEIGHT: f64 = 4.0;
/// The same at the upstream that is second for the part.
const SAVED_SECOND: f64 = 0.3;
/// Share of its slots by which a plain service in another hall must be emptier.
const FAR_PLAIN: f64 = 0.25;

/// What this box knows of an upstream's load and health.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLoad {
    in_flight: u32,
    work_ms: f64,
    others_ms: f64,
    others_at_ms: Option<u64>,
    reported_by_others: f64,
    reported_at_ms: u64,
    connect_failures: u32,
    shunned_until_ms: u64,
    failure_rate: f64,
    failure_at_ms: u64,
}

impl UpstreamLoad {
    /// A request that takes this time goes there.
    pub fn begin(&mut self, work_ms: f64) {
        self.in_flight += 1;
        self.work_ms += work_ms;
    }

    /// Part of a request's work is done.
    pub fn progress(&mut self, done_ms: f64) {
        self.work_ms = (self.work_ms - done_ms).max(0.0);
    }

    /// A request is over there, with this work left in the books.
    pub fn end(&mut self, work_ms: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.progress(work_ms);
        if self.in_flight == 0 {
            self.work_ms = 0.0;
        }
    }

    /// Takes in other boxes' work there.
    pub fn others(&mut self, work_ms: f64, now_ms: u64) {
        self.others_ms = work_ms;
        self.others_at_ms = Some(now_ms);
    }

    /// Work of this box's own requests there.
    pub fn own_work_ms(&self) -> f64 {
        self.work_ms
    }

    /// Takes in the load told with an answer.
    pub fn report(&mut self, running: u32, waiting: u32, now_ms: u64) {
        let others = (running + waiting).saturating_sub(self.in_flight);
        self.reported_by_others = f64::from(others);
        self.reported_at_ms = now_ms;
    }

    /// A connection could not be made, or broke without an answer.
    pub fn connection_failed(&mut self, now_ms: u64) {
        let doublings = self.connect_failures.min(8);
        self.connect_failures += 1;
        let pause_ms = (SHUN_FIRST_MS << doublings).min(SHUN_MAX_MS);
        self.shunned_until_ms = now_ms + pause_ms;
    }

    /// Takes in how an answer ended.
    pub fn outcome(&mut self, failed: bool, now_ms: u64) {
        let rate = self.failure_rate(now_ms);
        let newest = if failed { 1.0 } else { 0.0 };
        self.failure_rate = rate + FAILURE_WEIGHT * (newest - rate);
        self.failure_at_ms = now_ms;
        if !failed {
            self.connect_failures = 0;
        }
    }

    /// Own requests there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Work there by the best guess: other boxes' word on it, or else what the upstream reported.
    pub fn load_ms(&self, now_ms: u64) -> f64 {
        let told_lately = self
            .others_at_ms
            .is_some_and(|at_ms| at_ms + REPORT_MAX_AGE_MS > now_ms);
        if told_lately {
            return self.work_ms + self.others_ms;
        }
        let age_ms = now_ms.saturating_sub(self.reported_at_ms);
        let trust = 1.0 - age_ms.min(REPORT_MAX_AGE_MS) as f64 / REPORT_MAX_AGE_MS as f64;
        self.work_ms + self.reported_by_others * trust * UNKNOWN_WORK_MS
    }

    /// Requests there by the best guess.
    pub fn requests(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.reported_at_ms);
        let trust = 1.0 - age_ms.min(REPORT_MAX_AGE_MS) as f64 / REPORT_MAX_AGE_MS as f64;
        f64::from(self.in_flight) + self.reported_by_others * trust
    }

    /// Whether it is left alone for now.
    pub fn is_shunned(&self, now_ms: u64) -> bool {
        now_ms < self.shunned_until_ms
    }

    fn failure_rate(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.failure_at_ms) as f64;
        self.failure_rate * (-age_ms / FAILURE_HALF_LIFE_MS).exp2()
    }

    fn is_failing(&self, now_ms: u64) -> bool {
        self.failure_rate(now_ms) > FAILURE_LIMIT
    }
}

/// An upstream that may be chosen.
#[derive(Debug)]
pub struct Candidate<'a> {
    /// What the registry says.
    pub record: &'a UpstreamRecord,
    /// Hash of its id, the same on all boxes.
    pub id_hash: u64,
    /// What this box knows.
    pub load: UpstreamLoad,
}

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// Hash of the shared prompt part and the model, if there is one.
    pub prefix: Option<u64>,
    /// What the request takes, if it goes to an engine.
    pub engine: Option<Estimate>,
    /// This box's hall.
    pub hall: &'a str,
    /// Time that an engine in another hall must save.
    pub far_engine_ms: f64,
    /// Whether upstreams that failed lately are passed over.
    pub avoid_failing: bool,
    /// Differs between requests.
    pub seed: u64,
    /// The request's own hash, where upstreams ended under it: it is placed by that and not by load. Requests that an
    /// ended upstream had together would all go to the idlest one next, and if one of them ends that too, nothing tells
    /// which it was.
    pub apart: Option<u64>,
}

/// Chooses an upstream by its place in `candidates`, which are all that may serve.
pub fn choose(candidates: &[Candidate], ask: &Ask, now_ms: u64) -> Option<usize> {
    choose_drawn(candidates, None, ask, now_ms)
}

/// The same among some of many: the first `homes` are those among which shared parts and requests under which
/// upstreams ended are placed, the others were drawn at random.
pub fn choose_drawn(
    candidates: &[Candidate],
    homes: Option<usize>,
    ask: &Ask,
    now_ms: u64,
) -> Option<usize> {
    let all: Vec<usize> = (0..candidates.len()).collect();
    let sound = if ask.avoid_failing {
        let open = keep_some(&all, |i| !candidates[i].load.is_shunned(now_ms));
        keep_some(&open, |i| !candidates[i].load.is_failing(now_ms))
    } else {
        all
    };
    let (home, drawn) = match homes {
        None => (&sound[..], &sound[..]),
        Some(homes) => sound.split_at(sound.partition_point(|&i| i < homes)),
    };
    if let Some(own) = ask.apart {
        let first = highest(home, 1, |i| mix(own, candidates[i].id_hash));
        return first.first().or(drawn.first()).copied();
    }
    match ask.engine {
        Some(estimate) => least_work(candidates, home, drawn, &estimate, ask, now_ms),
        None => least_requests(candidates, &sound, ask, now_ms),
    }
}

/// Mean work of a pool's upstreams.
pub fn mean_work_ms(candidates: &[Candidate], now_ms: u64) -> f64 {
    let work: f64 = candidates.iter().map(|c| c.load.load_ms(now_ms)).sum();
    work / candidates.len().max(1) as f64
}

fn keep_some(from: &[usize], keep: impl Fn(usize) -> bool) -> Vec<usize> {
    let kept: Vec<usize> = from.iter().copied().filter(|&i| keep(i)).collect();
    if kept.is_empty() { from.to_vec() } else { kept }
}

fn least_work(
    candidates: &[Candidate],
    home: &[usize],
    among: &[usize],
    estimate: &Estimate,
    ask: &Ask,
    now_ms: u64,
) -> Option<usize> {
    let by_prefix = ask.prefix.map_or_else(Vec::new, |prefix| {
        highest(home, 2, |i| mix(prefix, candidates[i].id_hash))
    });
    let drawn = highest(among, DRAWN, |i| mix(ask.seed, candidates[i].id_hash));
    let cost = |i: usize| {
        let far = &*candidates[i].record.hall != ask.hall;
        let saved = match by_prefix.iter().position(|&preferred| preferred == i) {
            Some(0) => SAVED_WEIGHT * estimate.saved_ms,
            Some(_) => SAVED_SECOND * estimate.saved_ms,
            None => 0.0,
        };
        let far_ms = if far { ask.far_engine_ms } else { 0.0 };
        candidates[i].load.load_ms(now_ms) + far_ms - saved
    };
    let weighed = by_prefix.iter().chain(&drawn).copied();
    weighed.min_by(|&a, &b| cost(a).total_cmp(&cost(b)))
}

fn least_requests(
    candidates: &[Candidate],
    among: &[usize],
    ask: &Ask,
    now_ms: u64,
) -> Option<usize> {
    let cost = |i: usize| {
        let candidate = &candidates[i];
        let slots = f64::from(candidate.record.slots.max(1));
        let far = &*candidate.record.hall != ask.hall;
        candidate.load.requests(now_ms) / slots + if far { FAR_PLAIN } else { 0.0 }
    };
    let tie = |i: usize| mix(ask.seed, candidates[i].id_hash);
    among.iter().copied().min_by(|&a, &b| {
        let by_cost = cost(a).total_cmp(&cost(b));
        by_cost.then_with(|| tie(a).cmp(&tie(b)))
    })
}

/// The `count` of `among` with the highest scores, highest first.
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
