//! A pool's move to another version: how much of it a version gets, and what is written when.
//!
//! A session must not move to the new version in the first half of its time, and sessions are
//! served by many boxes. So the new version gets nothing in that half. Then its share of sessions
//! grows in steps, chosen by a hash that all boxes agree on, which also keeps a session from going
//! back. A version may be bad without showing it yet, so the steps are small until shortly before
//! the end. The first box that finds the new version bad returns all work to the old one; how it
//! is found is in [`crate::gateway::verdict`].

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::gateway::revision::Revision;
use crate::gateway::verdict::{Evidence, Findings, Tally};
use crate::hash::mix;

/// A step of a roll-out: from which part of its time on, and which share the new version gets.
#[derive(Debug, Clone, Copy)]
struct Step {
    from: f64,
    share: f64,
}

/// The bound on exposure is 15 % of requests over the whole time, also for a version whose faults
/// nobody saw; with these steps it gets 12 %. Of that, the steps before the last spend as much as the
/// bound allows: 25 requests a second show some twenty streams of the new version, of which half a
/// dozen that are slow tell it.
const STEPS: [Step; 4] = [
    Step {
        from: 0.0,
        share: 0.0,
    },
    Step {
        from: 0.52,
        share: 0.07,
    },
    Step {
        from: 0.72,
        share: 0.125,
    },
    Step {
        from: 0.92,
        share: 1.0,
    },
];
/// Part of the time after which the move is declared complete: streams of the old version that have
/// not ended by then are resumed. It leaves the store's answer some hundred milliseconds.
const COMPLETE_FROM: f64 = 0.96;
/// Keeps this draw apart from others that use the same session.
const SESSION_SALT: u64 = 0x726f_6c6c_6f75_7421;

/// How far a roll-out is, as the store says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// Nobody took it up.
    Ordered,
    /// Under way.
    Running {
        /// Time that had passed when this was written.
        elapsed_ms: u64,
    },
    /// All work goes to the new version.
    Completed,
    /// All work stays with the old version.
    RolledBack,
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

/// An order to move a pool to another version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The pool.
    pub pool: Name,
    /// The version that is to serve it.
    pub target_version: Name,
    /// Time in which to do so.
    pub duration_ms: u64,
    /// How far it is.
    pub state: RolloutState,
    /// Revision of the record.
    pub revision: u64,
    /// Era of the store that the revision belongs to.
    #[serde(default)]
    pub era: u64,
}

impl RolloutOrder {
    /// Revision of the record, including its era.
    pub fn store_revision(&self) -> Revision {
        Revision::new(self.era, self.revision)
    }
}

/// Which side of a roll-out serves a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Side {
    /// Versions other than the target.
    Old,
    /// The target.
    New,
}

/// A box's view of a roll-out.
#[derive(Debug)]
pub struct RolloutTrack {
    order: RolloutOrder,
    /// When this box detected that a restored store lacks the current state.
    state_lost_at_ms: Option<u64>,
    /// May lie before the start of the box's clock.
    started_ms: i64,
    findings: Findings,
    /// When the new version was found bad.
    condemned_at_ms: Option<u64>,
}

/// What a box should write to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutDuty {
    /// Nothing for now.
    None,
    /// How much time has passed: at the start, and at each step for boxes that learned of it late.
    Tell,
    /// That it is complete.
    Complete,
    /// That it was undone.
    RollBack,
}

impl RolloutTrack {
    /// Follows an order from now on.
    pub fn new(order: RolloutOrder, now_ms: u64) -> Self {
        let elapsed_ms = match order.state {
            RolloutState::Running { elapsed_ms } => elapsed_ms,
            _ => 0,
        };
        Self {
            started_ms: start_of(elapsed_ms, now_ms),
            order,
            state_lost_at_ms: None,
            findings: Findings::default(),
            condemned_at_ms: None,
        }
    }

    /// Takes in the order's record; an order for another version starts anew.
    pub fn update(&mut self, order: RolloutOrder, now_ms: u64) {
        if order.store_revision() <= self.order.store_revision() {
            return;
        }
        let is_same_order = order.target_version == self.order.target_version
            && order.duration_ms == self.order.duration_ms;
        let is_after_restore = order.era > self.order.era || self.state_lost_at_ms.is_some();
        // Adopting the older state would repeat a move whose old upstreams may have been stopped, or
        // whose new version was found bad.
        if is_same_order && is_after_restore && order.state.progress() < self.order.state.progress()
        {
            self.order.revision = order.revision;
            self.order.era = order.era;
            self.state_lost_at_ms = Some(now_ms);
            return;
        }
        let same = is_same_order && !(self.is_over() && order.state == RolloutState::Ordered);
        self.state_lost_at_ms = None;
        if same {
            if let RolloutState::Running { elapsed_ms } = order.state {
                // A box that learned of the order late counts from too late until another one
                // tells it.
                self.started_ms = self.started_ms.min(start_of(elapsed_ms, now_ms));
            }
            self.order = order;
        } else {
            *self = Self::new(order, now_ms);
        }
    }

    /// The order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Whether nothing more is to be done.
    pub fn is_over(&self) -> bool {
        self.order.state.is_over()
    }

    /// Time since the order.
    pub fn elapsed_ms(&self, now_ms: u64) -> u64 {
        u64::try_from(now_ms as i64 - self.started_ms).unwrap_or(0)
    }

    /// Share of sessions that the new version gets.
    pub fn share(&self, now_ms: u64) -> f64 {
        match self.order.state {
            RolloutState::Completed => return 1.0,
            RolloutState::RolledBack => return 0.0,
            _ if self.condemned_at_ms.is_some() => return 0.0,
            _ => {}
        }
        STEPS[step_at(self.part(now_ms))].share
    }

    /// The side that serves a request of the session with this hash.
    pub fn side(&self, session: u64, now_ms: u64) -> Side {
        let drawn = mix(session, SESSION_SALT) >> 11;
        let unit = drawn as f64 / (1u64 << 53) as f64;
        if unit < self.share(now_ms) {
            Side::New
        } else {
            Side::Old
        }
    }

    /// The side a version is on.
    pub fn side_of(&self, version: &str) -> Side {
        if version == &*self.order.target_version {
            Side::New
        } else {
            Side::Old
        }
    }

    /// Takes in an answer; returns whether it condemned the new version just now.
    pub fn judge(&mut self, side: Side, evidence: &Evidence, now_ms: u64) -> bool {
        let began_ms = now_ms.saturating_sub(evidence.age_ms);
        let is_alone = self.share(began_ms) >= 1.0;
        self.findings.weigh(side, evidence, is_alone);
        self.condemn_if_bad(now_ms)
    }

    /// Takes in what other boxes counted; returns whether it condemned the new version just now.
    pub fn hear(&mut self, others: Tally, now_ms: u64) -> bool {
        self.findings.hear(others);
        self.condemn_if_bad(now_ms)
    }

    /// What this box counted.
    pub fn tally(&self) -> Tally {
        self.findings.tally()
    }

    /// What all boxes counted.
    pub fn sum(&self) -> Tally {
        self.findings.sum()
    }

    fn condemn_if_bad(&mut self, now_ms: u64) -> bool {
        if self.condemned_at_ms.is_some() || self.is_over() {
            return false;
        }
        let is_bad = self.findings.condemns();
        self.condemned_at_ms = is_bad.then_some(now_ms);
        is_bad
    }

    /// What is to be written at this time, which may lie in the past: who leaves it to others for a
    /// while asks for what was due then.
    pub fn duty(&self, now_ms: u64) -> RolloutDuty {
        let is_rewrite_due = self.state_lost_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
        match self.order.state {
            RolloutState::Completed if is_rewrite_due => RolloutDuty::Complete,
            RolloutState::RolledBack if is_rewrite_due => RolloutDuty::RollBack,
            RolloutState::Completed | RolloutState::RolledBack => RolloutDuty::None,
            _ if self.condemned_at_ms.is_some_and(|at_ms| at_ms <= now_ms) => RolloutDuty::RollBack,
            _ if self.condemned_at_ms.is_some() => RolloutDuty::None,
            _ if self.part(now_ms) >= COMPLETE_FROM && self.findings.condemns_at_end() => {
                RolloutDuty::RollBack
            }
            _ if self.part(now_ms) >= COMPLETE_FROM => RolloutDuty::Complete,
            RolloutState::Ordered => RolloutDuty::Tell,
            RolloutState::Running { .. } if is_rewrite_due => RolloutDuty::Tell,
            RolloutState::Running { elapsed_ms } => {
                let told = elapsed_ms as f64 / self.order.duration_ms.max(1) as f64;
                if step_at(told) < step_at(self.part(now_ms)) {
                    RolloutDuty::Tell
                } else {
                    RolloutDuty::None
                }
            }
        }
    }

    /// The part of the order's time that has passed.
    fn part(&self, now_ms: u64) -> f64 {
        self.elapsed_ms(now_ms) as f64 / self.order.duration_ms.max(1) as f64
    }
}

/// When an order of this age began.
fn start_of(elapsed_ms: u64, now_ms: u64) -> i64 {
    now_ms as i64 - elapsed_ms as i64
}

/// The step that holds at a part of the time, by its place.
fn step_at(part: f64) -> usize {
    let later = STEPS.iter().rposition(|step| part >= step.from);
    later.unwrap_or(0)
}
