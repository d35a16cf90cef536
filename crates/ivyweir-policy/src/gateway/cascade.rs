//! Escalation of a request from a small model to the largest one.
//!
//! The smallest model answers first and reports its confidence. If the confidence is low, the largest model is asked
//! instead, unless its answer would be late: it processes prompts six to ten times as slowly, and its prompts delay all
//! other requests.
//!
//! Asking the largest model first would be better only where the smallest is almost always discarded. With a share `q`
//! of low confidence, and a small answer that takes the part `s` of the slot time of a large one, the cascade costs
//! `s + q` and the largest alone costs 1, so it pays from `q = 1 - s` on. A discarded answer is read up to its head and
//! the smallest model takes a tenth of the time per step, so `s` is below 0.1 and `q` would have to exceed 0.9. The
//! metrics of escalations show `q` by route. Even there, the answer of the smallest model is what a request falls back
//! to when the pool is full or the largest model fails. The order of models is therefore fixed.

use crate::gateway::occupancy::PoolOccupancy;
use crate::gateway::urgency::Band;

/// Default confidence below which the largest model is asked while there is capacity: the middle of the scale, below
/// which a model considers its answer bad rather than good. Two of three answers with a confidence of 40 to 50 were
/// bad, and one of seven at 50 to 60, where asking again costs more.
pub const CONFIDENCE_FLOOR: u8 = 50;
/// The highest confidence.
pub const MAX_CONFIDENCE: u8 = 100;

/// Expected wait for the larger model, relative to the time left until the answer is late. The floor decreases from the
/// first ratio on and reaches zero at the second. Compared with a floor that depends on the pool's backlog alone, a
/// seventh to a quarter fewer answers were late on three deployments.
const WAIT_RATIO_START: f64 = 0.5;
const WAIT_RATIO_END: f64 = 1.5;
/// The first ratio for the most urgent band under load control: it keeps the larger model while its first token arrives
/// within its target. Nothing else is served before it, so its wait does not grow unseen.
const FIRST_BAND_WAIT_RATIO_START: f64 = 1.0;

/// Requests per slot from which others are displaced; below it, nothing is given up.
const CROWDING_START: f64 = 1.0;
/// Decrease of the logarithm of the share per unit of crowding, at once. Figures are up to 1.8 s old and a large answer
/// holds its slot for 4 to 6 s, so a quick reaction overshoots: in the model test, 1.0 makes all boxes swing together.
const IMMEDIATE_GAIN: f64 = 0.6;
/// The same per second while the crowding lasts. It brings a pool back to one request per slot, which the immediate part
/// alone does not; in the model test, 0.6 makes all boxes swing together.
const SUSTAINED_GAIN_PER_S: f64 = 0.2;
/// Crowding to which the sustained part brings a pool. Its engines are never equally full, so some requests wait
/// although there are as many slots as requests; a tenth more is not yet taken for missing capacity.
const SUSTAINED_CROWDING: f64 = 1.1;
/// Least distance from that crowding which counts while nobody is displaced. The share then doubles in 7 s, about the
/// time for which a slot is held, also on a pool that is nearly full in normal hours.
const RECOVERY_ERROR: f64 = 0.5;
/// Bound on the distance that counts, in both directions, and on the time between two decisions that counts: a slot is
/// held for about as long.
const MAX_CROWDING_ERROR: f64 = 1.0;
const MAX_UPDATE_S: f64 = 5.0;
/// Least sustained share, as a logarithm: 1 in 20. From there, a pool in which nobody is displaced is back at
/// all escalations in 30 s.
const MIN_LN_SHARE: f64 = -3.0;
/// Weight of the less urgent requests, which an escalation of a middle band displaces.
const LESS_URGENT_WEIGHT: f64 = 0.5;
/// Slots that more urgent bands are about to need, relative to those they have. Their small answers in progress turn
/// into large ones, which hold a slot longer. At most the requests without a slot are added, so that nothing is reserved
/// while nobody is displaced.
const MORE_URGENT_RESERVE: f64 = 0.1;

/// Inputs of the escalation decision.
#[derive(Debug, Clone, Copy)]
pub struct EscalationInput {
    /// The model's confidence in its own answer, 0 to 100; none if it reported none.
    pub confidence: Option<u8>,
    /// Confidence below which the largest model is asked while there is capacity.
    pub floor: u8,
    /// Index of the model that answered, from the smallest.
    pub model: usize,
    /// Number of models.
    pub models: usize,
    /// Expected time until the largest model's first token: the work before it plus the prompt's processing.
    pub wait_ms: f64,
    /// Time until the answer is late.
    pub remaining_ms: f64,
    /// Band of the request to the largest model.
    pub band: Band,
    /// Whether all slots of the upstream chosen for the largest model are taken by requests at least as urgent.
    pub waits_for_slot: bool,
    /// Requests per slot of the pool, by band.
    pub occupancy: PoolOccupancy,
    /// Share of escalations that the crowding of the last seconds allows; see [`SustainedShare`].
    pub sustained_share: f64,
    /// Number in `[0, 1)` that differs between requests.
    pub draw: f64,
}

impl EscalationInput {
    /// The largest model, if it is another one and the confidence is below the floor.
    fn wanted(&self) -> Option<usize> {
        let largest = self.models.checked_sub(1)?;
        let confidence = self.confidence?;
        (self.model < largest && confidence < self.floor).then_some(largest)
    }

    /// Part of the floor that the expected wait leaves: 1 up to the ratio `start`, 0 if the answer is late.
    fn wait_factor(&self, start: f64) -> f64 {
        if self.remaining_ms <= 0.0 {
            return 0.0;
        }
        let wait_ratio = self.wait_ms / self.remaining_ms;
        ((WAIT_RATIO_END - wait_ratio) / (WAIT_RATIO_END - start)).clamp(0.0, 1.0)
    }

    /// Requests per slot that compete with this one, more than 1 if others are displaced. Those of less urgent bands do not count for the most urgent band,
    /// which keeps the larger model at their expense.
    pub fn crowding(&self) -> f64 {
        let own = self.occupancy.up_to(self.band);
        let less_urgent = if self.band == Band::FIRST {
            0.0
        } else {
            LESS_URGENT_WEIGHT * (self.occupancy.total() - own)
        };
        let reserve = MORE_URGENT_RESERVE * self.occupancy.more_urgent(self.band);
        let displaced = (self.occupancy.total() - CROWDING_START).max(0.0);
        own + less_urgent + reserve.min(displaced)
    }

    /// Part of the escalations for which the pool has capacity.
    fn capacity_factor(&self) -> f64 {
        let excess = self.crowding() - CROWDING_START;
        if excess.is_nan() {
            return 0.0;
        }
        self.sustained_share * (-IMMEDIATE_GAIN * excess.max(0.0)).exp()
    }

    /// Probability of asking the largest model when the part `factor` of the escalations is possible. It falls faster
    /// for a confidence close to the floor than for a low one.
    fn probability(&self, factor: f64) -> f64 {
        let floor = f64::from(self.floor.max(1));
        let uncertainty = 1.0 - f64::from(self.confidence.unwrap_or(MAX_CONFIDENCE)) / floor;
        factor.powf(1.5 - uncertainty.clamp(0.0, 1.0))
    }
}

/// Share of escalations that a band of a pool may have, adapted to its crowding. A box has one for each pool and band.
///
/// The crowding that a box sees contains the escalations of all boxes of some seconds ago. A decision by this figure
/// alone either swings between none and all, or leaves the pool crowded in a surge.
#[derive(Debug, Clone, Copy, Default)]
pub struct SustainedShare {
    ln_share: f64,
    updated_ms: Option<u64>,
}

impl SustainedShare {
    /// Adapts the share to the crowding and returns it. A crowding that is not a number leaves it unchanged.
    pub fn update(&mut self, crowding: f64, now_ms: u64) -> f64 {
        let last_ms = self.updated_ms.replace(now_ms).unwrap_or(now_ms);
        let elapsed_s = (now_ms.saturating_sub(last_ms) as f64 / 1_000.0).min(MAX_UPDATE_S);
        let mut error = crowding - SUSTAINED_CROWDING;
        if error.is_finite() {
            if crowding < CROWDING_START {
                error = error.min(-RECOVERY_ERROR);
            }
            let error = error.clamp(-MAX_CROWDING_ERROR, MAX_CROWDING_ERROR);
            let ln_share = self.ln_share - SUSTAINED_GAIN_PER_S * elapsed_s * error;
            self.ln_share = ln_share.clamp(MIN_LN_SHARE, 0.0);
        }
        self.ln_share.exp()
    }
}

/// Why the largest model is not asked although the confidence is low.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withheld {
    /// The answer is late already, or would be late.
    Wait,
    /// Other requests would be displaced.
    Displacement,
    /// No attempt is left to the request, or no retry in the pool's budget.
    RetryBudget,
    /// No upstream accepts a request.
    NoUpstream,
}

impl Withheld {
    /// Name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Wait => "wait",
            Self::Displacement => "displacement",
            Self::RetryBudget => "retry_budget",
            Self::NoUpstream => "no_upstream",
        }
    }
}

/// Outcome of the decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Escalation {
    /// The answer is good enough, or there is no larger model.
    NotNeeded,
    /// The model with this index is asked.
    Ask(usize),
    /// The answer is relayed although its confidence is low.
    Withhold(Withheld),
}

/// A rule by which the largest model is asked.
pub trait EscalationRule: Send + Sync {
    /// Decides about an answer.
    fn decide(&self, input: &EscalationInput) -> Escalation;
}

/// The floor decreases with the expected wait. The rule without load control.
#[derive(Debug, Clone, Copy, Default)]
pub struct WaitRule;

impl EscalationRule for WaitRule {
    fn decide(&self, input: &EscalationInput) -> Escalation {
        let (Some(largest), Some(confidence)) = (input.wanted(), input.confidence) else {
            return Escalation::NotNeeded;
        };
        let factor = input.wait_factor(WAIT_RATIO_START);
        if confidence < (f64::from(input.floor) * factor) as u8 {
            Escalation::Ask(largest)
        } else {
            Escalation::Withhold(Withheld::Wait)
        }
    }
}

/// Escalations are withheld by the requests they would displace. The rule under load control.
///
/// Only the most urgent band asks an engine where it would wait for a slot: other bands would wait until an answer of
/// seconds ends, and the answer that they have is discarded for it. A band may displace less urgent requests.
///
/// The least urgent band counts all requests of the pool and falls back first. Part of the requests with the same confidence is escalated, rather than all or none: confidences are
/// often concentrated on a few values, and a floor that passes such a value switches the whole route.
#[derive(Debug, Clone, Copy, Default)]
pub struct DisplacementRule;

impl EscalationRule for DisplacementRule {
    fn decide(&self, input: &EscalationInput) -> Escalation {
        let Some(largest) = input.wanted() else {
            return Escalation::NotNeeded;
        };
        if input.waits_for_slot && input.band != Band::FIRST {
            return Escalation::Withhold(Withheld::Displacement);
        }
        let wait = input.wait_factor(if input.band == Band::FIRST {
            FIRST_BAND_WAIT_RATIO_START
        } else {
            WAIT_RATIO_START
        });
        let capacity = input.capacity_factor();
        if input.draw < input.probability(wait * capacity) {
            Escalation::Ask(largest)
        } else if wait <= capacity {
            Escalation::Withhold(Withheld::Wait)
        } else {
            Escalation::Withhold(Withheld::Displacement)
        }
    }
}

/// Returns the model to ask again without load control if the answer should be discarded.
pub fn escalate(input: &EscalationInput) -> Option<usize> {
    match WaitRule.decide(input) {
        Escalation::Ask(largest) => Some(largest),
        Escalation::NotNeeded | Escalation::Withhold(_) => None,
    }
}
