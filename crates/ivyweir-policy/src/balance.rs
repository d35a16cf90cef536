//! Which upstream gets a call: prefix affinity with bounded load, corrected lagging reports.

use std::collections::HashMap;
use std::sync::Arc;

use crate::rank::{hash64, mix};
use crate::{BoxState, Name};

/// Load over its fair share at which affinity gives way, in thousandths.
const BOUND_PERMILLE: u64 = 1_250;
/// Failures in a row after which an upstream is ejected.
const EJECT_AFTER: u32 = 3;
/// First time out; doubles with each ejection in a row.
const EJECT_MS: u64 = 1_000;
const EJECT_MAX_MS: u64 = 30_000;
/// Own calls beyond the reported free slots that one box may risk, in thousandths of its share.
const HEADROOM_PERMILLE: u64 = 1_250;
/// Weight of the newest time in the moving average, in thousandths.
const EWMA_PERMILLE: u64 = 200;
/// How much slower than the median an upstream may be before it counts as slow.
const SLOW_FACTOR: u64 = 3;
/// Cost of leaving the hall, in queued calls per slot, in thousandths.
const HALL_PENALTY_MILLI: u64 = 150;
/// Time over which a new upstream's limit grows to its full size.
const WARM_UP_MS: u64 = 3_000;

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

/// Versions that an upstream has loaded; shared, as few sets cover all upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionSet {
    names: Arc<[Name]>,
    id: u32,
}

impl VersionSet {
    /// The versions, as `model@version`.
    pub fn names(&self) -> &[Name] {
        &self.names
    }

    /// The set's id: a hash of its names.
    pub fn id(&self) -> u32 {
        self.id
    }
}

impl FromIterator<Name> for VersionSet {
    fn from_iter<I: IntoIterator<Item = Name>>(names: I) -> Self {
        let mut names: Vec<Name> = names.into_iter().collect();
        names.sort();
        let parts: Vec<&[u8]> = names.iter().map(|n| n.as_bytes()).collect();
        Self {
            id: hash64(&parts) as u32,
            names: names.into(),
        }
    }
}

impl Default for VersionSet {
    fn default() -> Self {
        Self::from_iter([])
    }
}

/// What an upstream reported last.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Calls running.
    pub running: u32,
    /// Calls waiting.
    pub waiting: u32,
    /// Calls that may run at once.
    pub slots: u32,
    /// Versions it has loaded, as `model@version`.
    pub versions: VersionSet,
    /// When it was made, by this box's clock, in milliseconds.
    pub at_ms: u64,
}

/// What this box knows about one upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Its name.
    pub name: Name,
    /// Where it listens.
    pub addr: Name,
    /// Its hall.
    pub hall: Name,
    /// Its pool.
    pub pool: Name,
    /// Whether it takes new work.
    pub state: BoxState,
    /// Its newest report.
    pub report: Report,
    id: u64,
    in_flight: u32,
    sent_since_report: u32,
    done_since_report: u32,
    failures_in_row: u32,
    ejections_in_row: u32,
    ejected_until_ms: u64,
    first_seen_ms: u64,
    first_token_ewma_ms: u64,
    changed_ms: u64,
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
}

impl Upstream {
    /// An upstream without a report.
    pub fn new(name: Name, addr: Name, hall: Name, pool: Name, now_ms: u64) -> Self {
        Self {
            id: hash64(&[name.as_bytes()]),
            name,
            addr,
            hall,
            pool,
            state: BoxState::Live,
            report: Report::default(),
            in_flight: 0,
            sent_since_report: 0,
            done_since_report: 0,
            failures_in_row: 0,
            ejections_in_row: 0,
            ejected_until_ms: 0,
            first_seen_ms: now_ms,
            first_token_ewma_ms: 0,
            changed_ms: 0,
        }
    }

    /// The id that peers know it by: a hash of its name.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// When its report last said something else than the one before.
    pub fn changed_ms(&self) -> u64 {
        self.changed_ms
    }

    /// Calls of this box under way.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether it is out for its failures.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// The report, corrected by what this box sent and got back since.
    fn corrected(&self) -> u64 {
        let reported = u64::from(self.report.running + self.report.waiting);
        let sent = reported + u64::from(self.sent_since_report);
        sent.saturating_sub(u64::from(self.done_since_report))
            .max(u64::from(self.in_flight))
    }

    fn slots(&self, now_ms: u64) -> u64 {
        let slots = u64::from(self.report.slots.max(1));
        let age_ms = now_ms.saturating_sub(self.first_seen_ms);
        if age_ms >= WARM_UP_MS {
            return slots;
        }
        (slots * (age_ms + WARM_UP_MS / 4) / WARM_UP_MS).clamp(1, slots)
    }

    /// Whether this box may send one more call.
    ///
    /// Its own share is always its to use; beyond it, only what the corrected report shows free.
    fn has_room(&self, live_boxes: u32, now_ms: u64) -> bool {
        let slots = self.slots(now_ms);
        let share = (slots * HEADROOM_PERMILLE).div_ceil(1_000 * u64::from(live_boxes.max(1)));
        u64::from(self.in_flight) < share.max(1) && self.corrected() < 2 * slots
            || self.corrected() + u64::from(self.sent_since_report) < slots
    }

    fn offers(&self, want: &Want<'_>) -> bool {
        let pool_fits = want.pool.is_none_or(|p| p == self.pool.as_ref());
        let version_fits = want.version.is_none_or(|v| {
            self.report
                .versions
                .names()
                .iter()
                .any(|have| have.as_ref() == v)
        });
        pool_fits && version_fits && self.state == BoxState::Live
    }

    /// Expected wait in thousandths of a full batch; lower is better.
    fn score(&self, hall: &str, now_ms: u64, slow_ms: u64) -> u64 {
        let load = self.corrected() * 1_000 / self.slots(now_ms);
        let far = if self.hall.as_ref() == hall {
            0
        } else {
            HALL_PENALTY_MILLI
        };
        let is_slow = slow_ms > 0 && self.first_token_ewma_ms > slow_ms;
        load + far + if is_slow { 1_000 } else { 0 }
    }
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
    pub fn upsert(&mut self, fresh: Upstream) {
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
                self.by_id.insert(fresh.id, at);
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
            .retain(|u| u.state == BoxState::Live || u.in_flight > 0 || is_listed(&u.name));
        let numbered = || self.upstreams.iter().enumerate();
        self.by_name = numbered().map(|(at, u)| (u.name.clone(), at)).collect();
        self.by_id = numbered().map(|(at, u)| (u.id, at)).collect();
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
        let upstream = &mut self.upstreams[at];
        if report.at_ms <= upstream.report.at_ms {
            return false;
        }
        let same = Report {
            at_ms: report.at_ms,
            ..upstream.report.clone()
        };
        if same != report {
            upstream.changed_ms = report.at_ms;
        }
        upstream.report = report;
        upstream.sent_since_report = 0;
        upstream.done_since_report = 0;
        true
    }

    /// Whether any upstream offers `version`, full or not.
    pub fn offers(&self, want: &Want<'_>) -> bool {
        self.upstreams.iter().any(|u| u.offers(want))
    }

    /// Slots of the upstreams that offer what is wanted, and the calls that they hold.
    pub fn capacity(&self, want: &Want<'_>) -> (u64, u64) {
        self.upstreams
            .iter()
            .filter(|u| u.offers(want) && !u.is_ejected(want.now_ms))
            .fold((0, 0), |(slots, held), u| {
                (slots + u.slots(want.now_ms), held + u.corrected())
            })
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
        upstream.in_flight += 1;
        upstream.sent_since_report += 1;
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
                .min_by_key(|&&at| (self.upstreams[at].in_flight, mix(want.random, at as u64)))
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
            .map(|&at| self.upstreams[at].first_token_ewma_ms)
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
            sum.own += u64::from(u.in_flight);
        }
        let slow_ms = self.slow_ms(with_room);
        let within = |at: &&usize| {
            let u = &self.upstreams[**at];
            let bound = |total: u64| {
                let share = (total + 1) * u.slots(want.now_ms) * BOUND_PERMILLE;
                share.div_ceil(sum.slots.max(1) * 1_000)
            };
            let is_slow = slow_ms > 0 && u.first_token_ewma_ms > slow_ms;
            let own = u64::from(u.in_flight);
            u.corrected() <= bound(sum.held) && own < bound(sum.own) && !is_slow
        };
        with_room
            .iter()
            .filter(within)
            .max_by_key(|&&at| mix(prefix, self.upstreams[at].id))
            .copied()
    }

    /// Counts a call as over.
    pub fn finish(&mut self, name: &str, ok: bool, first_token_ms: Option<u64>, now_ms: u64) {
        let Some(upstream) = self.get_mut(name) else {
            return;
        };
        debug_assert!(upstream.in_flight > 0, "a call ended that was not counted");
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        upstream.done_since_report += 1;
        if ok {
            upstream.failures_in_row = 0;
            upstream.ejections_in_row = 0;
            if let Some(ms) = first_token_ms {
                let old = upstream.first_token_ewma_ms;
                upstream.first_token_ewma_ms = match old {
                    0 => ms,
                    _ => (old * (1_000 - EWMA_PERMILLE) + ms * EWMA_PERMILLE) / 1_000,
                };
            }
            return;
        }
        upstream.failures_in_row += 1;
        if upstream.failures_in_row >= EJECT_AFTER {
            let time_out_ms = (EJECT_MS << upstream.ejections_in_row.min(5)).min(EJECT_MAX_MS);
            upstream.ejected_until_ms = now_ms + time_out_ms;
            upstream.ejections_in_row += 1;
            // One probe call decides after the time out.
            upstream.failures_in_row = EJECT_AFTER - 1;
        }
    }

    fn get_mut(&mut self, name: &str) -> Option<&mut Upstream> {
        let at = *self.by_name.get(name)?;
        Some(&mut self.upstreams[at])
    }
}
