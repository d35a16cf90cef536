//! Load balancing over upstreams: prefix affinity with bounded load, based on reported load that is
//! corrected for calls made since the report.

use std::collections::HashMap;

use crate::hash::mix;
use crate::{BoxState, Name};

pub use crate::upstream::{LoadReport, Upstream, VersionSet};

/// Maximum load relative to the fair share at which affinity is followed, in thousandths.
const LOAD_BOUND_PERMILLE: u64 = 1_250;
/// Multiple of the median first-token latency above which an upstream counts as slow.
const SLOW_FACTOR: u64 = 3;

/// Load-balancing policy. All but [`Policy::Affinity`] are baselines for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// Prefix affinity with bounded load, then two random choices.
    #[default]
    Affinity,
    /// The less loaded of two random upstreams, by corrected load.
    TwoChoices,
    /// Round robin.
    RoundRobin,
    /// Uniformly random.
    Random,
    /// Fewest calls in flight from this box.
    LeastInFlight,
}

/// Requirements of a call on its upstream, and the context of the choice.
#[derive(Debug, Clone, Copy)]
pub struct CallRequirements<'a> {
    /// Required pool, or `None` for any.
    pub pool: Option<&'a str>,
    /// Required loaded version, as `model@version`.
    pub version: Option<&'a str>,
    /// Hash that calls with a common prompt prefix share.
    pub prefix: Option<u64>,
    /// Hall of this box.
    pub hall: &'a str,
    /// Number of live boxes that share the upstreams.
    pub live_boxes: u32,
    /// Upstreams already tried, which are excluded.
    pub tried: &'a [Name],
    /// Random bits for the choice.
    pub random: u64,
    /// Current time, in milliseconds.
    pub now_ms: u64,
}

/// Why no upstream could be picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickError {
    /// No upstream satisfies the requirements.
    NoMatch,
    /// All matching upstreams are at capacity.
    NoCapacity,
}

/// Total load of a set of upstreams.
#[derive(Debug, Clone, Copy, Default)]
struct LoadTotals {
    slots: u64,
    corrected_load: u64,
    in_flight: u64,
}

/// Upstreams known to this box, and the choice among them.
#[derive(Debug, Default)]
pub struct Balancer {
    upstreams: Vec<Upstream>,
    by_name: HashMap<Name, usize>,
    by_id: HashMap<u64, usize>,
    policy: Policy,
    round_robin_counter: usize,
    last_instance: u64,
}

impl Balancer {
    /// Creates a balancer with the given policy and no upstreams.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Adds an upstream, or updates the state, hall and pool of a known one.
    ///
    /// A changed address means a different upstream under the same name: its counters start anew,
    /// and calls to the previous instance are not counted when they finish.
    pub fn upsert(&mut self, mut updated: Upstream) {
        self.last_instance += 1;
        updated.instance = self.last_instance;
        match self.by_name.get(&updated.name) {
            Some(&index) => {
                let known = &mut self.upstreams[index];
                if known.addr != updated.addr {
                    *known = updated;
                    return;
                }
                known.state = updated.state;
                known.hall = updated.hall;
                known.pool = updated.pool;
            }
            None => {
                let index = self.upstreams.len();
                self.by_name.insert(updated.name.clone(), index);
                self.by_id.insert(updated.id(), index);
                self.upstreams.push(updated);
            }
        }
    }

    /// Marks all unlisted upstreams as leaving, and removes those without calls in flight.
    pub fn retire_unlisted(&mut self, is_listed: impl Fn(&str) -> bool) {
        for upstream in &mut self.upstreams {
            if !is_listed(&upstream.name) {
                upstream.state = BoxState::Leaving;
            }
        }
        self.upstreams
            .retain(|u| u.state == BoxState::Live || u.in_flight() > 0 || is_listed(&u.name));
        let indexed = || self.upstreams.iter().enumerate();
        self.by_name = indexed()
            .map(|(index, u)| (u.name.clone(), index))
            .collect();
        self.by_id = indexed().map(|(index, u)| (u.id(), index)).collect();
    }

    /// Iterates over all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter()
    }

    /// Returns the upstream of this name.
    pub fn get(&self, name: &str) -> Option<&Upstream> {
        self.by_name.get(name).map(|&index| &self.upstreams[index])
    }

    /// Applies a load report to the upstream of this id.
    ///
    /// Returns `false` if the upstream is unknown or its current report is at least as new.
    pub fn apply_report(&mut self, id: u64, report: LoadReport) -> bool {
        let Some(&index) = self.by_id.get(&id) else {
            return false;
        };
        self.upstreams[index].apply_report(report)
    }

    /// Picks an upstream and counts the call as in flight.
    ///
    /// # Errors
    ///
    /// Returns [`PickError`] if no upstream can take the call.
    pub fn pick(&mut self, call: &CallRequirements<'_>) -> Result<Upstream, PickError> {
        let matching: Vec<usize> = (0..self.upstreams.len())
            .filter(|&index| self.upstreams[index].satisfies(call))
            .filter(|&index| !call.tried.contains(&self.upstreams[index].name))
            .collect();
        if matching.is_empty() {
            return Err(PickError::NoMatch);
        }
        let not_ejected = self.without_ejected(&matching, call.now_ms);
        let available: Vec<usize> = not_ejected
            .into_iter()
            .filter(|&index| self.upstreams[index].has_capacity(call.live_boxes, call.now_ms))
            .collect();
        if available.is_empty() {
            return Err(PickError::NoCapacity);
        }
        let index = self.select(&available, call);
        let upstream = &mut self.upstreams[index];
        upstream.start_call();
        Ok(upstream.clone())
    }

    /// Filters out ejected upstreams, unless all of them are ejected.
    fn without_ejected(&self, matching: &[usize], now_ms: u64) -> Vec<usize> {
        let not_ejected: Vec<usize> = matching
            .iter()
            .copied()
            .filter(|&index| !self.upstreams[index].is_ejected(now_ms))
            .collect();
        if not_ejected.is_empty() {
            matching.to_vec()
        } else {
            not_ejected
        }
    }

    fn select(&mut self, available: &[usize], call: &CallRequirements<'_>) -> usize {
        let random =
            |salt: u64| available[(mix(call.random, salt) % available.len() as u64) as usize];
        match self.policy {
            Policy::RoundRobin => {
                self.round_robin_counter = self.round_robin_counter.wrapping_add(1);
                available[self.round_robin_counter % available.len()]
            }
            Policy::Random => random(1),
            Policy::LeastInFlight => *available
                .iter()
                .min_by_key(|&&index| {
                    (
                        self.upstreams[index].in_flight(),
                        mix(call.random, index as u64),
                    )
                })
                .expect("`available` is not empty"),
            Policy::TwoChoices => self.less_loaded(random(1), random(2), call, available),
            Policy::Affinity => self
                .select_by_affinity(available, call)
                .unwrap_or_else(|| self.less_loaded(random(1), random(2), call, available)),
        }
    }

    fn less_loaded(
        &self,
        a: usize,
        b: usize,
        call: &CallRequirements<'_>,
        available: &[usize],
    ) -> usize {
        let slow_threshold_ms = self.slow_threshold_ms(available);
        let score =
            |index: usize| self.upstreams[index].score(call.hall, call.now_ms, slow_threshold_ms);
        if score(a) <= score(b) { a } else { b }
    }

    /// First-token latency above which an upstream counts as slow, or 0 if there are no samples.
    fn slow_threshold_ms(&self, indices: &[usize]) -> u64 {
        let mut times: Vec<u64> = indices
            .iter()
            .map(|&index| self.upstreams[index].first_token_ms())
            .filter(|&t| t > 0)
            .collect();
        let middle = times.len() / 2;
        if times.is_empty() {
            return 0;
        }
        *times.select_nth_unstable(middle).1 * SLOW_FACTOR
    }

    /// Returns the first upstream in rendezvous order for the prefix that is within the load bound.
    ///
    /// Reports lag, and all boxes choose the same way, so the calls of this box are the most recent
    /// sample of the load from all boxes. They must be within the bound too.
    fn select_by_affinity(
        &self,
        available: &[usize],
        call: &CallRequirements<'_>,
    ) -> Option<usize> {
        let prefix = call.prefix?;
        let mut totals = LoadTotals::default();
        for &index in available {
            let u = &self.upstreams[index];
            totals.slots += u.slots(call.now_ms);
            totals.corrected_load += u.corrected_load();
            totals.in_flight += u64::from(u.in_flight());
        }
        let slow_threshold_ms = self.slow_threshold_ms(available);
        let is_within_bound = |index: &&usize| {
            let u = &self.upstreams[**index];
            let bound = |total: u64| {
                let share = (total + 1) * u.slots(call.now_ms) * LOAD_BOUND_PERMILLE;
                share.div_ceil(totals.slots.max(1) * 1_000)
            };
            let is_slow = slow_threshold_ms > 0 && u.first_token_ms() > slow_threshold_ms;
            let in_flight = u64::from(u.in_flight());
            u.corrected_load() <= bound(totals.corrected_load)
                && in_flight < bound(totals.in_flight)
                && !is_slow
        };
        available
            .iter()
            .filter(is_within_bound)
            .max_by_key(|&&index| mix(prefix, self.upstreams[index].id()))
            .copied()
    }

    /// Records the end of a call; `picked` is the upstream returned by [`pick`](Self::pick).
    pub fn finish(
        &mut self,
        picked: &Upstream,
        succeeded: bool,
        first_token_ms: Option<u64>,
        now_ms: u64,
    ) {
        let Some(upstream) = self.get_mut(&picked.name) else {
            return;
        };
        if upstream.instance != picked.instance {
            return;
        }
        upstream.finish_call(succeeded, first_token_ms, now_ms);
    }

    fn get_mut(&mut self, name: &str) -> Option<&mut Upstream> {
        let index = *self.by_name.get(name)?;
        Some(&mut self.upstreams[index])
    }
}
