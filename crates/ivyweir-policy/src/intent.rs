//! Intents: what an operator, or the system itself, asks for.

use serde::{Deserialize, Serialize};

use crate::{Guard, Name, Operator, Pool, SessionKey, VersionRef, Workspace};

/// What an operator, or the system itself, asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Intent {
    /// Adds an event.
    CreateEvent {
        /// The event's name.
        name: Name,
        /// Start, in milliseconds since the epoch.
        start_ms: u64,
        /// Workspaces that take part.
        workspaces: Vec<Name>,
    },
    /// Adds a version, and its model if that is new.
    AddVersion {
        /// Which version.
        at: VersionRef,
        /// Price of one thousand tokens, in millionths.
        cost_micro_per_ktoken: u64,
        /// Quality expected before any rating is in.
        prior_quality: f64,
    },
    /// Makes a version the one that serves where no roll-out says otherwise.
    SetCurrent {
        /// Which version.
        at: VersionRef,
    },
    /// Adds or replaces a workspace.
    PutWorkspace {
        /// Its name.
        name: Name,
        /// The whole workspace.
        workspace: Workspace,
    },
    /// Adds or replaces a pool of upstreams.
    PutPool {
        /// Its name.
        name: Name,
        /// The whole pool.
        pool: Pool,
    },
    /// Adds or replaces an operator.
    PutOperator {
        /// Their name.
        name: Name,
        /// The whole operator.
        operator: Operator,
    },
    /// Rolls a version out to a share of a workspace's new sessions.
    Roll {
        /// The workspace.
        workspace: Name,
        /// The version to roll out.
        to: VersionRef,
        /// Share to reach, in thousandths.
        target_permille: u32,
        /// When the roll-out starts, in milliseconds since the epoch.
        start_ms: u64,
        /// When the share must be reached, in milliseconds since the epoch.
        until_ms: u64,
        /// Number of equal steps.
        steps: u32,
        /// What halts it.
        guard: Guard,
    },
    /// Stops a roll-out; new work goes to the old version.
    Halt {
        /// The roll-out's id.
        rollout: Name,
        /// Why, for the audit.
        reason: String,
    },
    /// Takes a version out of use at once.
    Withdraw {
        /// Which version.
        at: VersionRef,
    },
    /// Takes the next step of a roll-out.
    Step {
        /// The roll-out's id.
        rollout: Name,
        /// The share from now on, in thousandths.
        share_permille: u32,
        /// When, in milliseconds since the epoch.
        at_ms: u64,
    },
    /// Adds a key that signs session tokens from now on.
    RotateSessionKey {
        /// The key.
        key: SessionKey,
        /// Keys made before this are dropped, in milliseconds since the epoch.
        drop_before_ms: u64,
    },
}

/// An intent in a line, without secrets.
pub fn describe(intent: &Intent) -> String {
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
