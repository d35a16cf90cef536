//! Messages of the operator API.

use ivyweir_policy::{Name, Plan};
use serde::{Deserialize, Serialize};

/// What became of a confirm.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case", deny_unknown_fields)]
pub enum ConfirmReply {
    /// The plan is accepted.
    Applied {
        /// The generation it made.
        generation: u64,
        /// Whether other changes came between the plan and this.
        rebased: bool,
    },
    /// The plan was accepted before; nothing changed now.
    AlreadyApplied {
        /// The generation now.
        generation: u64,
    },
    /// What the plan rests on has changed; nothing changed now. Here is a fresh plan.
    Moved {
        /// The fresh plan.
        fresh: Box<Plan>,
    },
    /// The store did not say whether it took the change; confirm again to find out.
    Unknown {
        /// What happened.
        detail: String,
    },
}

/// What is known of a plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanCheck {
    /// Whether a box of this fleet drew it, unaltered.
    pub genuine: bool,
    /// Whether it was applied.
    pub applied: bool,
    /// Whether it still fits the configuration.
    pub fits: bool,
}

/// An error answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Problem {
    /// What is wrong, in lower case.
    pub problem: String,
}

/// The system as one box sees it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// The box that answers.
    pub seen_from: Name,
    /// Generation of the configuration in force there.
    pub generation: u64,
    /// Whether it may admit requests: `fresh`, `store_out` or `blind`.
    pub sight: String,
    /// Age of the newest proof that the configuration is the latest.
    pub proof_age_ms: Option<u64>,
    /// All boxes it knows.
    pub boxes: Vec<BoxStatus>,
    /// All upstreams it knows.
    pub upstreams: Vec<UpstreamStatus>,
    /// All roll-outs.
    pub rollouts: Vec<RolloutStatus>,
    /// Answers by version.
    pub exposure: Vec<ExposureStatus>,
}

/// One box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoxStatus {
    /// Its name.
    pub name: Name,
    /// Its data hall.
    pub hall: Name,
    /// `alive`, `suspect`, `dead` or `leaving`.
    pub health: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Generation in force there, as last heard.
    pub generation: u64,
}

/// One upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamStatus {
    /// Its name.
    pub name: Name,
    /// Its pool.
    pub pool: Name,
    /// Its data hall.
    pub hall: Name,
    /// `live`, `leaving` or `ejected`.
    pub state: String,
    /// Calls running, as reported last.
    pub running: u32,
    /// Calls waiting, as reported last.
    pub waiting: u32,
    /// Calls that may run at once.
    pub slots: u32,
    /// Calls of the answering box under way.
    pub in_flight: u32,
}

/// One roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutStatus {
    /// Its id.
    pub id: Name,
    /// The version rolled out, as `model@version`.
    pub to: String,
    /// Share now, in thousandths.
    pub share_permille: u32,
    /// Share to reach, in thousandths.
    pub target_permille: u32,
    /// `running`, `done` or `halted`.
    pub state: String,
}

/// How much a version answered, over the fleet and the last minutes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExposureStatus {
    /// The version, as `model@version`.
    pub version: Name,
    /// Answers.
    pub done: u64,
    /// Failed ones among them.
    pub failed: u64,
    /// Rated ones among them.
    pub rated: u64,
    /// Mean rating, 0 to 1.
    pub mean_quality: f64,
    /// Whether the fleet holds it to be bad.
    pub bad: bool,
}
