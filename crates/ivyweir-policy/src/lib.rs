//! Decision logic of ivyweir, without I/O.
//!
//! All inputs, including the current time, are passed as arguments, and results are returned as
//! values. The daemon calls the same functions that the tests exercise exhaustively.
//!
//! ```
//! use ivyweir_policy::{Config, Intent, Plan};
//!
//! let config = Config::default();
//! let intent = Intent::CreateEvent { name: "drop".into(), start_ms: 1_000, workspaces: vec![] };
//! let plan = Plan::create(&config, intent, b"fleet key").unwrap();
//! let next = plan.apply(&config, "alice", 5).unwrap();
//! assert_eq!(next.generation, 1);
//! assert_eq!(next.audit.len(), 1);
//! ```

pub mod admission;
mod apply;
pub mod balance;
pub mod billing;
pub mod claim;
mod config;
mod error;
pub mod freshness;
pub mod gateway;
pub mod hash;
mod intent;
pub mod membership;
pub mod model_selection;
mod plan;
pub mod quality;
pub mod refusal;
pub mod retry;
pub mod rollout;
pub mod token;
mod upstream;
pub mod version_health;

pub use config::{
    AuditEntry, BoxEntry, BoxKind, BoxList, BoxState, Config, Event, Guard, Model, Name, Operator,
    Pool, PoolKind, Role, Rollout, RolloutState, SessionKey, Version, VersionRef, VersionState,
    Workspace,
};
pub use error::{Error, ErrorKind, Result};
pub use intent::{Intent, describe_intent};
pub use plan::{Change, MAX_APPLIED_PLANS, MAX_AUDIT_ENTRIES, Plan, take_excess_audit_entries};
pub use refusal::{Code, Execution, Refusal};
