//! Messages of the operator API.

use ivyweir_policy::{Name, Plan};
use serde::{Deserialize, Serialize};

/// The response to a confirmation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case", deny_unknown_fields)]
pub enum ConfirmReply {
    /// The plan has been applied.
    Applied {
        /// The configuration generation created by the plan.
        generation: u64,
        /// Whether other changes were made between the plan's base generation and this one.
        rebased: bool,
    },
    /// The plan had already been applied; this call changed nothing.
    AlreadyApplied {
        /// The current configuration generation.
        generation: u64,
    },
    /// Configuration parts that the plan depends on have changed; this call changed nothing.
    #[serde(rename = "moved")]
    PlanOutdated {
        /// A plan for the same intent on the current configuration.
        #[serde(rename = "fresh")]
        new_plan: Box<Plan>,
    },
    /// The store did not report whether the change was written; confirm again to find out.
    Unknown {
        /// The cause.
        detail: String,
    },
}

/// The state of a plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanCheck {
    /// Whether the plan was created by a box of this fleet and has not been altered.
    pub genuine: bool,
    /// Whether the plan has been applied.
    pub applied: bool,
    /// Whether the plan can be applied to the current configuration.
    #[serde(rename = "fits")]
    pub applicable: bool,
}

/// The body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ErrorBody {
    /// The error message, in lower case.
    #[serde(rename = "problem")]
    pub message: String,
}

/// The state of the system as seen by one box.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// The reporting box.
    #[serde(rename = "seen_from")]
    pub reporting_box: Name,
    /// Generation of the configuration in force on the reporting box.
    pub generation: u64,
    /// Freshness of the reporting box's configuration, which decides whether it admits requests:
    /// `fresh`, `store_out` (the store is unavailable) or `blind` (the box is partitioned).
    #[serde(rename = "sight")]
    pub freshness: String,
    /// Age of the newest proof that the configuration is the latest.
    pub proof_age_ms: Option<u64>,
    /// All boxes known to the reporting box.
    pub boxes: Vec<BoxStatus>,
    /// All upstreams known to the reporting box.
    pub upstreams: Vec<UpstreamStatus>,
    /// All roll-outs.
    pub rollouts: Vec<RolloutStatus>,
    /// Answer counts by version.
    pub exposure: Vec<ExposureStatus>,
}

/// The state of one box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoxStatus {
    /// The box's name.
    pub name: Name,
    /// The box's data hall.
    pub hall: Name,
    /// `alive`, `suspect`, `dead` or `leaving`.
    pub health: String,
    /// The box's incarnation.
    pub incarnation: u64,
    /// Generation of the configuration in force on the box, as last reported.
    pub generation: u64,
}

/// The state of one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamStatus {
    /// The upstream's name.
    pub name: Name,
    /// The upstream's pool.
    pub pool: Name,
    /// The upstream's data hall.
    pub hall: Name,
    /// `live`, `leaving` or `ejected`.
    pub state: String,
    /// Running calls, as last reported.
    pub running: u32,
    /// Waiting calls, as last reported.
    pub waiting: u32,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Calls in flight from the reporting box.
    pub in_flight: u32,
}

/// The state of one roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutStatus {
    /// The roll-out's id.
    pub id: Name,
    /// The version being rolled out, as `model@version`.
    pub to: String,
    /// Current share, in thousandths.
    pub share_permille: u32,
    /// Target share, in thousandths.
    pub target_permille: u32,
    /// `running`, `done` or `halted`.
    pub state: String,
}

/// Answer counts of one version over the fleet and the last minutes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExposureStatus {
    /// The version, as `model@version`.
    pub version: Name,
    /// Number of answers.
    pub done: u64,
    /// Number of failed answers.
    pub failed: u64,
    /// Number of rated answers.
    pub rated: u64,
    /// Mean rating, 0 to 1.
    pub mean_quality: f64,
    /// Whether the fleet has judged the version to be bad.
    pub bad: bool,
}
