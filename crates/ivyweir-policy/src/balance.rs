//! Which upstream gets a call: prefix affinity with bounded load, corrected lagging reports.

use std::collections::HashMap;

use crate::hash::mix;
use crate::{BoxState, Name};

pub use crate::upstream::{Report, Upstream, VersionSet};

/// Load over its fair share at which affinity gives way, in thousandths.
const BOUND_PERMILLE: u64 = 1_250;
/// How much slower than the median an upstream may be before it counts as slow.
const SLOW_FACTOR: u64 = 3;

/// How the upstream is chosen; everything but [`Policy::Affinity`] is a baseline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// Prefix affinity with bounded load, then two random choices.
    #[default]
    Affinity,
    /// Two random choices by corrected load.
    TwoChoices,
    /// In turn.
    RoundRobin,
    /// At random.
    Random,
    /// Fewest calls of this box.
    LeastInFlight,
}

/// What a call needs of its upstream.
#[derive(Debug, Clone, Copy)]
pub struct Want<'a> {
    /// The pool, or none for any engine.
    pub pool: Option<&'a str>,
    /// The version it must have loaded, as `model@version`.
    pub version: Option<&'a str>,
    /// Hash of what calls with a common prefix share.
    pub prefix: Option<u64>,
    /// The hall of this box.
    pub hall: &'a str,
    /// Boxes that share the upstreams.
    pub live_boxes: u32,
    /// Upstreams already tried.
    pub tried: &'a [Name],
    /// Random bits.
    pub random: u64,
    /// Now, in milliseconds.
    pub now_ms: u64,
}

/// Why no upstream was picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// None offers what the call needs.
    NoneOffers,
    /// All that do are at their limit.
    Full,
}

/// Load of several upstreams together.
#[derive(Debug, Clone, Copy, Default)]
struct Load {
    slots: u64,
    held: u64,
    own: u64,
}

/// The upstreams that this box knows.
#[derive(Debug, Default)]
pub struct Balancer {
    upstreams: Vec<Upstream>,
    by_name: HashMap<Name, usize>,
    by_id: HashMap<u64, usize>,
    policy: Policy,
    turn: usize,
    instances: u64,
}

impl Balancer {
    /// A balancer that chooses by `policy`.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Adds an upstream or takes over its address and state.
    ///
    /// At another address it is another upstream: calls to the old one end without a trace.
    pub fn upsert(&mut self, mut fresh: Upstream) {
        self.instances += 1;
        fresh.instance = self.instances;
        match self.by_name.get(&fresh.name) {
            Some(&at) => {
                let known = &mut self.upstreams[at];
                if known.addr != fresh.addr {
                    *known = fresh;
                    return;
                }
                known.state = fresh.state;
                known.hall = fresh.hall;
                known.pool = fresh.pool;
            }
            None => {
                let at = self.upstreams.len();
                self.by_name.insert(fresh.name.clone(), at);
                self.by_id.insert(fresh.id(), at);
                self.upstreams.push(fresh);
            }
        }
    }

    /// Marks every upstream that `is_listed` does not name as leaving.
    pub fn retire_unlisted(&mut self, is_listed: impl Fn(&str) -> bool) {
        for upstream in &mut self.upstreams {
            if !is_listed(&upstream.name) {
                upstream.state = BoxState::Leaving;
            }
        }
        self.upstreams
            .retain(|u| u.state == BoxState::Live || u.in_flight() > 0 || is_listed(&u.name));
        let numbered = || self.upstreams.iter().enumerate();
        self.by_name = numbered().map(|(at, u)| (u.name.clone(), at)).collect();
        self.by_id = numbered().map(|(at, u)| (u.id(), at)).collect();
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter()
    }

    /// The upstream of this name.
    pub fn get(&self, name: &str) -> Option<&Upstream> {
        self.by_name.get(name).map(|&at| &self.upstreams[at])
    }

    /// Takes in a report by the upstream's id if it is newer than the one held.
    pub fn report(&mut self, id: u64, report: Report) -> bool {
        let Some(&at) = self.by_id.get(&id) else {
            return false;
        };
        self.upstreams[at].take_report(report)
    }

    /// Picks an upstream and counts the call as sent.
    ///
    /// # Errors
    ///
    /// [`Shortage`] when none can take the call.
    pub fn pick(&mut self, want: &Want<'_>) -> Result<Upstream, Shortage> {
        let offering: Vec<usize> = (0..self.upstreams.len())
            .filter(|&at| self.upstreams[at].offers(want))
            .filter(|&at| !want.tried.contains(&self.upstreams[at].name))
            .collect();
        if offering.is_empty() {
            return Err(Shortage::NoneOffers);
        }
        let open = self.not_ejected(&offering, want.now_ms);
        let with_room: Vec<usize> = open
            .into_iter()
            .filter(|&at| self.upstreams[at].has_room(want.live_boxes, want.now_ms))
            .collect();
        if with_room.is_empty() {
            return Err(Shortage::Full);
        }
        let at = self.choose_among(&with_room, want);
        let upstream = &mut self.upstreams[at];
        upstream.send();
        Ok(upstream.clone())
    }

    /// Ejected ones take part again only when their time is over, or when there is no other.
    fn not_ejected(&self, offering: &[usize], now_ms: u64) -> Vec<usize> {
        let open: Vec<usize> = offering
            .iter()
            .copied()
            .filter(|&at| !self.upstreams[at].is_ejected(now_ms))
            .collect();
        if open.is_empty() {
            offering.to_vec()
        } else {
            open
        }
    }

    fn choose_among(&mut self, with_room: &[usize], want: &Want<'_>) -> usize {
        let random =
            |salt: u64| with_room[(mix(want.random, salt) % with_room.len() as u64) as usize];
        match self.policy {
            Policy::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                with_room[self.turn % with_room.len()]
            }
            Policy::Random => random(1),
            Policy::LeastInFlight => *with_room
                .iter()
                .min_by_key(|&&at| (self.upstreams[at].in_flight(), mix(want.random, at as u64)))
                .expect("there is one with room"),
            Policy::TwoChoices => self.better(random(1), random(2), want, with_room),
            Policy::Affinity => self
                .by_affinity(with_room, want)
                .unwrap_or_else(|| self.better(random(1), random(2), want, with_room)),
        }
    }

    fn better(&self, a: usize, b: usize, want: &Want<'_>, with_room: &[usize]) -> usize {
        let slow_ms = self.slow_ms(with_room);
        let score = |at: usize| self.upstreams[at].score(want.hall, want.now_ms, slow_ms);
        if score(a) <= score(b) { a } else { b }
    }

    /// First token time over which an upstream counts as slow: some times the median.
    fn slow_ms(&self, among: &[usize]) -> u64 {
        let mut times: Vec<u64> = among
            .iter()
            .map(|&at| self.upstreams[at].first_token_ms())
            .filter(|&t| t > 0)
            .collect();
        let middle = times.len() / 2;
        if times.is_empty() {
            return 0;
        }
        *times.select_nth_unstable(middle).1 * SLOW_FACTOR
    }

    /// The first in rendezvous order whose load is within the bound.
    ///
    /// Reports lag, and all boxes choose alike, so this box's own calls are the newest sample of
    /// everybody's: they must be within the bound too.
    fn by_affinity(&self, with_room: &[usize], want: &Want<'_>) -> Option<usize> {
        let prefix = want.prefix?;
        let mut sum = Load::default();
        for &at in with_room {
            let u = &self.upstreams[at];
            sum.slots += u.slots(want.now_ms);
            sum.held += u.corrected();
            sum.own += u64::from(u.in_flight());
        }
        let slow_ms = self.slow_ms(with_room);
        let within = |at: &&usize| {
            let u = &self.upstreams[**at];
            let bound = |total: u64| {
                let share = (total + 1) * u.slots(want.now_ms) * BOUND_PERMILLE;
                share.div_ceil(sum.slots.max(1) * 1_000)
            };
            let is_slow = slow_ms > 0 && u.first_token_ms() > slow_ms;
            let own = u64::from(u.in_flight());
            u.corrected() <= bound(sum.held) && own < bound(sum.own) && !is_slow
        };
        with_room
            .iter()
            .filter(within)
            .max_by_key(|&&at| mix(prefix, self.upstreams[at].id()))
            .copied()
    }

    /// Counts a call as over; `picked` is what [`pick`](Self::pick) gave for it.
    pub fn finish(
        &mut self,
        picked: &Upstream,
        ok: bool,
        first_token_ms: Option<u64>,
        now_ms: u64,
    ) {
        let Some(upstream) = self.get_mut(&picked.name) else {
            return;
        };
        if upstream.instance != picked.instance {
            return;
        }
        upstream.finish(ok, first_token_ms, now_ms);
    }

    fn get_mut(&mut self, name: &str) -> Option<&mut Upstream> {
        let at = *self.by_name.get(name)?;
        Some(&mut self.upstreams[at])
    }
}
