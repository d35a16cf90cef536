//! The operator API: its messages, and the client used by the command line.
//!
//! ```no_run
//! use ivyweir_operator::Client;
//! use ivyweir_policy::Intent;
//!
//! let client = Client::new("http://127.0.0.1:7100", "operator key");
//! let plan = client.plan(&Intent::Withdraw { at: "notes@v2".parse()? })?;
//! println!("{} changes", plan.changes.len());
//! client.confirm(&plan)?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod client;
mod message;

pub use client::{Client, Error, Result};
pub use message::{
    BoxStatus, ConfirmReply, ErrorBody, ExposureStatus, PlanCheck, RolloutStatus, Status,
    UpstreamStatus,
};
