//! Which upstream of a pool takes a request.
//!
//! A request goes where its shared prompt part was read before, by rendezvous hashing with a bound on
//! load: all boxes agree on the order of upstreams without a message, and one that is fuller than its
//! neighbours is passed over. Requests without a shared part go to the least loaded, own hall first.

use crate::gateway::fleet::UpstreamRecord;
use crate::rank::mix;

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
/// Age at which a reported load says nothing any more.
const REPORT_MAX_AGE_MS: u64 = 2_000;
/// How much fuller than the mean a preferred upstream may be.
const LOAD_BOUND: f64 = 1.3;
/// Requests that do not yet count as load worth avoiding.
const LOAD_FREE: f64 = 4.0;
/// Shared tokens from which a read prefix is worth leaving the hall for.
const FAR_PREFIX_TOKENS: u32 = 600;
/// Load, as share of slots, that another hall must save.
const HALL_BIAS: f64 = 0.25;

/// What this box knows of an upstream's load and health.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLoad {
    in_flight: u32,
    reported_by_others: f64,
    reported_waiting: u32,
    reported_at_ms: u64,
    connect_failures: u32,
    shunned_until_ms: u64,
    failure_rate: f64,
    failure_at_ms: u64,
}

impl UpstreamLoad {
    /// A request goes there.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// A request is over there.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes in the load told with an answer.
    pub fn report(&mut self, running: u32, waiting: u32, now_ms: u64) {
        let others = (running + waiting).saturating_sub(self.in_flight);
        self.reported_by_others = f64::from(others);
        self.reported_waiting = waiting;
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

    /// Requests there by the best guess.
    pub fn load(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.reported_at_ms);
        let trust = 1.0 - age_ms.min(REPORT_MAX_AGE_MS) as f64 / REPORT_MAX_AGE_MS as f64;
        f64::from(self.in_flight) + self.reported_by_others * trust
    }

    /// Requests that were waiting there, while the report is young.
    pub fn waiting(&self, now_ms: u64) -> u32 {
        if now_ms.saturating_sub(self.reported_at_ms) < REPORT_MAX_AGE_MS {
            self.reported_waiting
        } else {
            0
        }
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
    /// Tokens of the prompt that are shared.
    pub prefix_tokens: u32,
    /// This box's hall.
    pub hall: &'a str,
    /// Breaks ties; differs between requests.
    pub seed: u64,
}

/// Chooses an upstream by its place in `candidates`.
pub fn choose(candidates: &[Candidate], ask: &Ask, now_ms: u64) -> Option<usize> {
    let all: Vec<usize> = (0..candidates.len()).collect();
    let open = keep_some(&all, |i| !candidates[i].load.is_shunned(now_ms));
    let sound = keep_some(&open, |i| !candidates[i].load.is_failing(now_ms));
    match ask.prefix {
        Some(prefix) => by_prefix(candidates, &sound, prefix, ask, now_ms),
        None => least_loaded(candidates, &sound, ask, now_ms),
    }
}

/// Share of a pool's slots that are taken.
pub fn pressure(candidates: &[Candidate], now_ms: u64) -> f64 {
    let slots: f64 = candidates.iter().map(|c| f64::from(c.record.slots)).sum();
    let load: f64 = candidates.iter().map(|c| c.load.load(now_ms)).sum();
    if slots == 0.0 { 0.0 } else { load / slots }
}

fn keep_some(from: &[usize], keep: impl Fn(usize) -> bool) -> Vec<usize> {
    let kept: Vec<usize> = from.iter().copied().filter(|&i| keep(i)).collect();
    if kept.is_empty() { from.to_vec() } else { kept }
}

fn by_prefix(
    candidates: &[Candidate],
    among: &[usize],
    prefix: u64,
    ask: &Ask,
    now_ms: u64,
) -> Option<usize> {
    let near = if ask.prefix_tokens < FAR_PREFIX_TOKENS {
        keep_some(among, |i| &*candidates[i].record.hall == ask.hall)
    } else {
        among.to_vec()
    };
    let load = |i: usize| candidates[i].load.load(now_ms);
    let mean = near.iter().map(|&i| load(i)).sum::<f64>() / near.len().max(1) as f64;
    let bound = (mean * LOAD_BOUND).max(LOAD_FREE);
    let fits = |i: &&usize| load(**i) < bound && candidates[**i].load.waiting(now_ms) == 0;
    let rank = |i: &&usize| mix(prefix, candidates[**i].id_hash);
    let preferred = near.iter().filter(fits).max_by_key(rank).copied();
    preferred.or_else(|| least_loaded(candidates, among, ask, now_ms))
}

fn least_loaded(
    candidates: &[Candidate],
    among: &[usize],
    ask: &Ask,
    now_ms: u64,
) -> Option<usize> {
    let cost = |i: usize| {
        let candidate = &candidates[i];
        let slots = f64::from(candidate.record.slots.max(1));
        let far = &*candidate.record.hall != ask.hall;
        let bias = if far { HALL_BIAS } else { 0.0 };
        candidate.load.load(now_ms) / slots + bias
    };
    let tie = |i: usize| mix(ask.seed, candidates[i].id_hash);
    among.iter().copied().min_by(|&a, &b| {
        let by_cost = cost(a).total_cmp(&cost(b));
        by_cost.then_with(|| tie(a).cmp(&tie(b)))
    })
}
