//! Roll-out of a version to a pool: the share of work that the version gets, and when state is
//! written.
//!
//! A session must not move to the new version in the first half of the roll-out, and sessions are
//! served by many boxes. The new version therefore gets nothing in that half. After it, its share
//! of sessions grows in steps. A session is assigned by a hash on which all boxes agree, which also
//! keeps it from moving back. A version may be bad without showing it at first, so the steps are
//! small until shortly before the end. The first box that finds the new version bad returns all
//! work to the old one; see [`crate::gateway::canary`] for the criteria.
//!
//! A version is judged by what was seen of it. Time in which nothing could be seen does not count, all work moves only
//! once enough answers of the new version were seen for the traffic, and so does the completion, which is final.

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::gateway::canary::{AnswerSample, AnswersSeen, CanaryAnalysis, Tally};
use crate::gateway::revision::Revision;
use crate::gateway::site::MAX_TIME_MS;
use crate::hash::mix;

/// A step of a roll-out: the fraction of its duration at which the step starts, and the share of
/// sessions that the new version gets.
#[derive(Debug, Clone, Copy)]
struct Step {
    start: f64,
    share: f64,
}

/// The exposure bound allows the new version 15 % of requests over the whole duration, also where
/// its faults are never detected; these steps give it 12 %. The steps before the last use as much
/// of that as the bound allows. At 25 requests a second they yield some twenty streams of the new
/// version, of which half a dozen slow ones are enough to detect it.
const STEPS: [Step; 4] = [
    Step {
        start: 0.0,
        share: 0.0,
    },
    Step {
        start: 0.52,
        share: 0.07,
    },
    Step {
        start: 0.72,
        share: 0.125,
    },
    Step {
        start: 0.92,
        share: 1.0,
    },
];
/// Step in which all work goes to the new version.
const LAST_STEP: usize = STEPS.len() - 1;
/// Fraction of the duration after which the roll-out is declared complete. Streams of the old
/// version that have not ended by then are resumed. The rest leaves some hundred milliseconds for
/// the response of the store.
const COMPLETION_FRACTION: f64 = 0.96;
/// Answers of the new version that must be seen before all work moves to it.
const MIN_SEEN_TO_SHIFT: u32 = 10;
/// Answers of both versions below which all work moves without that: the last step then has so few requests that the
/// exposure bound, which allows 30 beyond its share, holds for a bad version too.
const LITTLE_TRAFFIC: u32 = 400;
/// Answers of the new version that must be seen before the roll-out is completed. Fewer cannot condemn it.
const MIN_SEEN_TO_COMPLETE: u32 = 3;
/// Answers of both versions for each of these, so that a pool with hardly any traffic completes as well.
const TRAFFIC_PER_SEEN: u32 = 20;
/// Answers of both versions from which the new version has to be cleared of slowness. With fewer, it would not be in any
/// reasonable time.
const MIN_SEEN_TO_CLEAR: u32 = 40;
/// Time without an answer of either version after which a box that cannot serve sees nothing.
const UNSEEN_AFTER_MS: u64 = 1_000;
/// Decorrelates this hash from others that use the same session.
const SESSION_SALT: u64 = 0x726f_6c6c_6f75_7421;

/// State of a roll-out in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// Not started by any box yet.
    Ordered,
    /// In progress.
    Running {
        /// Elapsed time when this was written.
        elapsed_ms: u64,
    },
    /// All work goes to the new version.
    Completed,
    /// All work is served by the old version.
    RolledBack,
}

impl RolloutOrder {
    /// Brings the times into the range of a configuration, so that arithmetic with them cannot overflow.
    pub fn bound(&mut self) {
        self.duration_ms = self.duration_ms.min(MAX_TIME_MS);
        if let RolloutState::Running { elapsed_ms } = &mut self.state {
            *elapsed_ms = (*elapsed_ms).min(MAX_TIME_MS);
        }
    }
}

impl RolloutState {
    /// Sort key for how far the roll-out has advanced.
    fn progress(self) -> (u8, u64) {
        match self {
            Self::Ordered => (0, 0),
            Self::Running { elapsed_ms } => (1, elapsed_ms),
            Self::Completed | Self::RolledBack => (2, 0),
        }
    }

    /// Whether the roll-out has ended.
    pub fn is_over(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// An order to roll a version out to a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Pool to change.
    pub pool: Name,
    /// Version that is to serve the pool.
    pub target_version: Name,
    /// Duration of the roll-out.
    pub duration_ms: u64,
    /// Current state.
    pub state: RolloutState,
    /// Revision of the record.
    pub revision: u64,
    /// Store era that the revision belongs to.
    #[serde(default)]
    pub era: u64,
}

impl RolloutOrder {
    /// Revision of the record, including its era.
    pub fn store_revision(&self) -> Revision {
        Revision::new(self.era, self.revision)
    }
}

/// The side of a roll-out that serves a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Side {
    /// Versions other than the target.
    Old,
    /// The target version.
    New,
}

/// State of a roll-out as tracked by one box.
#[derive(Debug)]
pub struct RolloutTracker {
    order: RolloutOrder,
    /// When this box detected that a restored store lacks the current state.
    state_lost_at_ms: Option<u64>,
    /// Start of the roll-out; may precede the zero of the clock of this box.
    started_ms: i64,
    analysis: CanaryAnalysis,
    seen: AnswersSeen,
    /// When an answer was last seen.
    last_seen_ms: u64,
    last_tick_ms: u64,
    /// Since when all work goes to the new version. It does not move back for lack of answers.
    shifted_at_ms: Option<u64>,
    /// When the new version was condemned.
    condemned_at_ms: Option<u64>,
}

/// Write to the store that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutDuty {
    /// No write.
    None,
    /// The elapsed time: at the start, and at each step for boxes that learned of the roll-out
    /// late.
    Tell,
    /// The completed state.
    Complete,
    /// The rolled-back state.
    RollBack,
}

impl RolloutTracker {
    /// Starts to track an order.
    pub fn new(order: RolloutOrder, now_ms: u64) -> Self {
        let elapsed_ms = match order.state {
            RolloutState::Running { elapsed_ms } => elapsed_ms,
            _ => 0,
        };
        Self {
            started_ms: start_ms(elapsed_ms, now_ms),
            order,
            state_lost_at_ms: None,
            analysis: CanaryAnalysis::default(),
            seen: AnswersSeen::default(),
            last_seen_ms: now_ms,
            last_tick_ms: now_ms,
            shifted_at_ms: None,
            condemned_at_ms: None,
        }
    }

    /// Advances the roll-out; called several times a second. `is_blind` tells whether this box cannot serve requests now.
    /// Unless answers are seen all the same, by this box or another, the time since the last call does not count.
    pub fn tick(&mut self, now_ms: u64, is_blind: bool) {
        let since_ms = now_ms.saturating_sub(self.last_tick_ms);
        self.last_tick_ms = now_ms;
        if self.is_over() {
            return;
        }
        if is_blind && now_ms >= self.last_seen_ms + UNSEEN_AFTER_MS {
            self.started_ms += since_ms as i64;
        }
        if self.shifted_at_ms.is_none() && self.share(now_ms) >= 1.0 {
            self.shifted_at_ms = Some(now_ms);
        }
    }

    /// Applies a newer record of the order; an order for another version restarts the roll-out.
    pub fn update(&mut self, order: RolloutOrder, now_ms: u64) {
        if order.store_revision() <= self.order.store_revision() {
            return;
        }
        let is_same_order = order.target_version == self.order.target_version
            && order.duration_ms == self.order.duration_ms;
        let is_after_restore = order.era > self.order.era || self.state_lost_at_ms.is_some();
        // Adopting the older state would repeat a roll-out whose old upstreams may have been
        // stopped, or whose new version was condemned.
        if is_same_order && is_after_restore && order.state.progress() < self.order.state.progress()
        {
            self.order.revision = order.revision;
            self.order.era = order.era;
            self.state_lost_at_ms = Some(now_ms);
            return;
        }
        let continues = is_same_order && !(self.is_over() && order.state == RolloutState::Ordered);
        self.state_lost_at_ms = None;
        if continues {
            if let RolloutState::Running { elapsed_ms } = order.state {
                // A box that learned of the order late assumes a start that is too late, until it
                // reads the elapsed time written by another box.
                self.started_ms = self.started_ms.min(start_ms(elapsed_ms, now_ms));
            }
            self.order = order;
        } else {
            *self = Self::new(order, now_ms);
        }
    }

    /// The tracked order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Whether the roll-out has ended.
    pub fn is_over(&self) -> bool {
        self.order.state.is_over()
    }

    /// Time since the start of the roll-out.
    pub fn elapsed_ms(&self, now_ms: u64) -> u64 {
        u64::try_from(now_ms as i64 - self.started_ms).unwrap_or(0)
    }

    /// Share of sessions that the new version gets now.
    pub fn share(&self, now_ms: u64) -> f64 {
        match self.order.state {
            RolloutState::Completed => return 1.0,
            RolloutState::RolledBack => return 0.0,
            _ if self.condemned_at_ms.is_some() => return 0.0,
            _ => {}
        }
        let mut step = step_at(self.elapsed_fraction(now_ms));
        if step == LAST_STEP && !self.may_shift() {
            step = LAST_STEP - 1;
        }
        STEPS[step].share
    }

    /// Whether enough answers of the new version were seen for all work to move to it.
    fn may_shift(&self) -> bool {
        let is_little = self.seen.all < LITTLE_TRAFFIC;
        self.shifted_at_ms.is_some() || is_little || self.seen.new >= MIN_SEEN_TO_SHIFT
    }

    /// Whether the roll-out may be completed: all work has moved for long enough, and enough answers of the new version
    /// were seen, none of them slow beyond chance. A completed version cannot be rolled back.
    fn may_complete(&self, now_ms: u64) -> bool {
        let fraction = COMPLETION_FRACTION - STEPS[LAST_STEP].start;
        let shifted_ms = (self.order.duration_ms as f64 * fraction) as u64;
        let is_shifted = match self.shifted_at_ms {
            Some(at_ms) => now_ms >= at_ms + shifted_ms,
            None => self.may_shift(),
        };
        let needed = (self.seen.all / TRAFFIC_PER_SEEN).min(MIN_SEEN_TO_COMPLETE);
        let is_cleared = self.seen.all < MIN_SEEN_TO_CLEAR || self.analysis.clears_plain_answers();
        is_shifted && self.seen.new >= needed && is_cleared
    }

    /// The side that serves a request of the session with this hash.
    pub fn side(&self, session: u64, now_ms: u64) -> Side {
        let hash = mix(session, SESSION_SALT) >> 11;
        let unit = hash as f64 / (1u64 << 53) as f64;
        if unit < self.share(now_ms) {
            Side::New
        } else {
            Side::Old
        }
    }

    /// The side that a version belongs to.
    pub fn side_of(&self, version: &str) -> Side {
        if version == &*self.order.target_version {
            Side::New
        } else {
            Side::Old
        }
    }

    /// Adds an answer; returns whether it condemned the new version just now.
    pub fn record_answer(&mut self, side: Side, sample: &AnswerSample, now_ms: u64) -> bool {
        let began_ms = now_ms.saturating_sub(sample.age_ms);
        let is_fully_shifted = self.share(began_ms) >= 1.0;
        self.analysis.record(side, sample, is_fully_shifted);
        self.last_seen_ms = now_ms;
        self.seen = self.analysis.seen();
        self.condemn_if_bad(now_ms)
    }

    /// Replaces the counts of the other boxes; returns whether they condemned the new version just
    /// now.
    pub fn set_remote_tally(&mut self, others: Tally, now_ms: u64) -> bool {
        self.analysis.set_remote_tally(others);
        let seen = self.analysis.seen();
        if seen != self.seen {
            self.last_seen_ms = now_ms;
        }
        self.seen = seen;
        self.condemn_if_bad(now_ms)
    }

    /// Counts of this box.
    pub fn local_tally(&self) -> Tally {
        self.analysis.local_tally()
    }

    /// Counts of all boxes.
    pub fn total_tally(&self) -> Tally {
        self.analysis.total_tally()
    }

    fn condemn_if_bad(&mut self, now_ms: u64) -> bool {
        if self.condemned_at_ms.is_some() || self.is_over() {
            return false;
        }
        let is_bad = self.analysis.condemns();
        self.condemned_at_ms = is_bad.then_some(now_ms);
        is_bad
    }

    /// Write that is due at this time, which may lie in the past: a box that first leaves the write
    /// to others asks for what was due earlier.
    pub fn duty(&self, now_ms: u64) -> RolloutDuty {
        let is_rewrite_due = self.state_lost_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
        match self.order.state {
            RolloutState::Completed if is_rewrite_due => RolloutDuty::Complete,
            RolloutState::RolledBack if is_rewrite_due => RolloutDuty::RollBack,
            RolloutState::Completed | RolloutState::RolledBack => RolloutDuty::None,
            _ if self.condemned_at_ms.is_some_and(|at_ms| at_ms <= now_ms) => RolloutDuty::RollBack,
            _ if self.condemned_at_ms.is_some() => RolloutDuty::None,
            _ if self.elapsed_fraction(now_ms) >= COMPLETION_FRACTION
                && self.analysis.condemns_at_end() =>
            {
                RolloutDuty::RollBack
            }
            _ if self.elapsed_fraction(now_ms) >= COMPLETION_FRACTION
                && self.may_complete(now_ms) =>
            {
                RolloutDuty::Complete
            }
            RolloutState::Ordered => RolloutDuty::Tell,
            RolloutState::Running { .. } if is_rewrite_due => RolloutDuty::Tell,
            RolloutState::Running { elapsed_ms } => {
                let recorded_fraction = elapsed_ms as f64 / self.order.duration_ms.max(1) as f64;
                if step_at(recorded_fraction) < step_at(self.elapsed_fraction(now_ms)) {
                    RolloutDuty::Tell
                } else {
                    RolloutDuty::None
                }
            }
        }
    }

    /// Elapsed fraction of the duration.
    fn elapsed_fraction(&self, now_ms: u64) -> f64 {
        self.elapsed_ms(now_ms) as f64 / self.order.duration_ms.max(1) as f64
    }
}

/// Start time of an order of this age.
fn start_ms(elapsed_ms: u64, now_ms: u64) -> i64 {
    now_ms as i64 - elapsed_ms as i64
}

/// Index of the step in effect at a fraction of the duration.
fn step_at(fraction: f64) -> usize {
    let current = STEPS.iter().rposition(|step| fraction >= step.start);
    current.unwrap_or(0)
}
