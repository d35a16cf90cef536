//! Intents: configuration changes requested by an operator or by the system.

use serde::{Deserialize, Serialize};

use crate::{Guard, Name, Operator, Pool, SessionKey, VersionRef, Workspace};

/// A configuration change requested by an operator or by the system.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Intent {
    /// Adds an event.
    CreateEvent {
        /// Name of the event.
        name: Name,
        /// Start time, in milliseconds since the epoch.
        start_ms: u64,
        /// Participating workspaces.
        workspaces: Vec<Name>,
    },
    /// Adds a version, and its model if the model does not exist yet.
    AddVersion {
        /// The version to add.
        at: VersionRef,
        /// Price per thousand tokens, in millionths of the billing unit.
        cost_micro_per_ktoken: u64,
        /// Expected quality before any rating has been received, 0 to 1.
        prior_quality: f64,
    },
    /// Makes a version the default of its model, used where no roll-out assigns another one.
    SetCurrent {
        /// The new default version.
        at: VersionRef,
    },
    /// Adds or replaces a workspace.
    PutWorkspace {
        /// Name of the workspace.
        name: Name,
        /// The complete new value.
        workspace: Workspace,
    },
    /// Adds or replaces a pool of upstreams.
    PutPool {
        /// Name of the pool.
        name: Name,
        /// The complete new value.
        pool: Pool,
    },
    /// Adds or replaces an operator.
    PutOperator {
        /// Name of the operator.
        name: Name,
        /// The complete new value.
        operator: Operator,
    },
    /// Rolls a version out to a share of a workspace's new sessions.
    Roll {
        /// The workspace.
        workspace: Name,
        /// The version to roll out.
        to: VersionRef,
        /// Target share of new sessions, in thousandths.
        target_permille: u32,
        /// Start time, in milliseconds since the epoch.
        start_ms: u64,
        /// Deadline for reaching the target share, in milliseconds since the epoch.
        until_ms: u64,
        /// Number of equal steps.
        steps: u32,
        /// Conditions that halt the roll-out automatically.
        guard: Guard,
    },
    /// Stops a roll-out; new work goes to the old version.
    Halt {
        /// Id of the roll-out.
        rollout: Name,
        /// Reason, recorded in the audit log.
        reason: String,
    },
    /// Takes a version out of use immediately.
    Withdraw {
        /// The version to withdraw.
        at: VersionRef,
    },
    /// Advances a roll-out by one step.
    Step {
        /// Id of the roll-out.
        rollout: Name,
        /// The new share, in thousandths.
        share_permille: u32,
        /// Time of the step, in milliseconds since the epoch.
        at_ms: u64,
    },
    /// Adds a session token key, with which new tokens are signed from now on.
    RotateSessionKey {
        /// The new key.
        key: SessionKey,
        /// Keys created before this time are removed, in milliseconds since the epoch.
        drop_before_ms: u64,
    },
}

/// Returns a one-line summary of an intent for the audit log and the command line, without secrets.
pub fn describe_intent(intent: &Intent) -> String {
    match intent {
        Intent::CreateEvent { name, start_ms, .. } => format!("create event {name} at {start_ms}"),
        Intent::AddVersion { at, .. } => format!("add version {at}"),
        Intent::SetCurrent { at } => format!("make {at} current"),
        Intent::PutWorkspace { name, .. } => format!("put workspace {name}"),
        Intent::PutPool { name, .. } => format!("put pool {name}"),
        Intent::PutOperator { name, .. } => format!("put operator {name}"),
        Intent::Roll {
            workspace,
            to,
            target_permille,
            until_ms,
            ..
        } => format!("roll {to} to {target_permille}/1000 of {workspace} before {until_ms}"),
        Intent::Halt { rollout, reason } => format!("halt {rollout}: {reason}"),
        Intent::Withdraw { at } => format!("withdraw {at}"),
        Intent::Step {
            rollout,
            share_permille,
            ..
        } => format!("step {rollout} to {share_permille}/1000"),
        Intent::RotateSessionKey { key, .. } => format!("rotate session key to {}", key.id),
    }
}
