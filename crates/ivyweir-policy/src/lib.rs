//! The decisions of ivyweir, free of I/O.
//!
//! Every function here is given what it needs, the time included, and returns a value. The daemon
//! calls them unchanged; tests explore them exhaustively.
//!
//! ```
//! use ivyweir_policy::{Config, Intent, Plan};
//!
//! let config = Config::default();
//! let intent = Intent::CreateEvent { name: "drop".into(), start_ms: 1_000, workspaces: vec![] };
//! let plan = Plan::draw(&config, intent, b"fleet key").unwrap();
//! let next = plan.apply(&config, "alice", 5).unwrap();
//! assert_eq!(next.generation, 1);
//! assert_eq!(next.audit.len(), 1);
//! ```

pub mod admission;
mod apply;
pub mod balance;
pub mod claim;
mod error;
pub mod gateway;
pub mod hash;
mod intent;
pub mod ledger;
pub mod member;
pub mod model_selection;
mod plan;
pub mod quality;
pub mod refusal;
pub mod retry;
pub mod rollout;
pub mod sight;
pub mod token;
mod upstream;
mod value;
pub mod version_health;

pub use error::{Error, ErrorKind, Result};
pub use intent::{Intent, describe};
pub use plan::{APPLIED_PLANS_KEPT, AUDIT_KEPT, Change, Plan, split_audit};
pub use refusal::{Code, Execution, Refusal};
pub use value::{
    AuditEntry, BoxEntry, BoxKind, BoxList, BoxState, Config, Event, Guard, Model, Name, Operator,
    Pool, PoolKind, Role, Rollout, RolloutState, SessionKey, Version, VersionRef, VersionState,
    Workspace,
};
