//! Urgency of requests: the order in which engines serve them, and the bands by which boxes count pending work.

use serde::{Deserialize, Serialize};

use crate::gateway::work::Estimate;

/// Lowest urgency at an engine.
const LAST: u8 = 9;
/// Number of bands.
pub const BANDS: usize = 3;
/// Urgency levels of a band. The last band also has level 9.
const LEVELS_PER_BAND: u8 = 3;

/// Position of a request in the queue of an engine; 0 is served first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Urgency(u8);

impl Urgency {
    /// Creates an urgency; levels beyond the last one are lowered to it.
    pub fn new(level: u8) -> Self {
        Self(level.min(LAST))
    }

    /// The level, from 0 to 9.
    pub fn level(self) -> u8 {
        self.0
    }

    /// The band that contains this urgency.
    pub fn band(self) -> Band {
        Band((self.0 / LEVELS_PER_BAND).min(BANDS as u8 - 1))
    }
}

/// A group of urgency levels by which pending work is counted; the first one is the most urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Band(u8);

impl Band {
    /// The band before which no other one is served.
    pub const FIRST: Self = Self(0);
    /// The band that is served last.
    pub const LAST: Self = Self(BANDS as u8 - 1);

    /// The band of a priority; 0 is the highest. Priorities beyond the last band belong to it.
    pub fn of_priority(priority: u8) -> Self {
        Self(priority.min(BANDS as u8 - 1))
    }

    /// Index of the band, from 0.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// All bands, most urgent first.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..BANDS as u8).map(Self)
    }
}

/// Properties of a request that determine its urgency.
#[derive(Debug, Clone, Copy)]
pub struct UrgencyInput {
    /// Priority of the workspace or the route; 0 is the highest.
    pub priority: u8,
    /// Estimated work.
    pub estimate: Estimate,
    /// Time until the answer is late, in milliseconds; 0 if it is late.
    pub to_target_ms: u64,
    /// Requests of its band and the more urgent ones per slot of the pool.
    pub occupancy: f64,
}

/// A rule by which requests are ordered.
pub trait UrgencyOrder: Send + Sync {
    /// Urgency of a request.
    fn urgency(&self, input: &UrgencyInput) -> Urgency;
}

/// Requests with short prompts are served first: the level rises by one each time the prefill time doubles. Long
/// prompts therefore delay few other requests, and short ones are delayed by few.
#[derive(Debug, Clone, Copy, Default)]
pub struct ShortestFirst;

impl UrgencyOrder for ShortestFirst {
    fn urgency(&self, input: &UrgencyInput) -> Urgency {
        let doublings = input.estimate.prefill_ms.max(1.0).log2();
        Urgency::new(doublings as u8)
    }
}

/// Prefill time below which a request is short: twenty of them, one after the other, fit into 1 s, the shortest target
/// of a stream.
const SHORT_PREFILL_MS: f64 = 50.0;
/// Occupancy from which a pool is short of capacity for a band. From there on, short requests that always go first
/// would take the slots of the long ones for as long as the surge lasts.
const SHORT_OF_CAPACITY: f64 = 0.9;
/// Time left until the target, in prefill times of the request, below which it goes first: it would be late behind one
/// more prompt of its own size.
const TIGHT_PREFILLS: f64 = 2.0;

/// Requests are served by priority, and within a priority by the time left until the target relative to the work.
///
/// A band has two levels:
///
/// 1. short requests that are late unless they are served now, and all short ones while the band has free slots;
/// 2. all others.
///
/// An engine receives the urgency once and preempts by it, so a request cannot rise while it waits there. Ageing
/// therefore applies to the requests that are sent again or asked of a larger model, whose time left has shrunk. A late
/// request is equal to a new one and not behind it; otherwise those that missed their target would be displaced until
/// their deadline. Workspaces above their fair share are not put behind others here: what they send displaces nobody of
/// their band, and each level more lets running answers be displaced. When the band is short of capacity, requests are not ordered by size: engines then serve a level in
/// the order of arrival, and the largest requests as often as the others.
///
/// Alternatives: shortest first within the band starves the largest requests in a surge; earliest deadline and least
/// slack need more levels than an engine has, and each finer level lets long prompts preempt each other, whose work is
/// then lost.
#[derive(Debug, Clone, Copy, Default)]
pub struct PriorityBands;

impl UrgencyOrder for PriorityBands {
    fn urgency(&self, input: &UrgencyInput) -> Urgency {
        let band = Band::of_priority(input.priority);
        let first = is_tight(input) || is_short_with_room(input);
        let level = u8::from(!first);
        Urgency::new(band.0 * LEVELS_PER_BAND + level)
    }
}

/// Whether a short request meets its target only if it is served now. A long one is never raised: it would displace a
/// prompt of its own size, whose work is then lost.
fn is_tight(input: &UrgencyInput) -> bool {
    let to_target_ms = input.to_target_ms as f64;
    let prefill_ms = input.estimate.prefill_ms;
    let is_short = prefill_ms < SHORT_PREFILL_MS;
    is_short && prefill_ms <= to_target_ms && to_target_ms < TIGHT_PREFILLS * prefill_ms
}

/// Whether a request is short and its band has free slots.
fn is_short_with_room(input: &UrgencyInput) -> bool {
    input.estimate.prefill_ms < SHORT_PREFILL_MS && input.occupancy < SHORT_OF_CAPACITY
}
