//! Fakes of the systems that ivyweir depends on, for tests, the demo and the load tool.
//!
//! The fakes implement the same published interfaces as the real systems and record every call they
//! receive, so that a test can compare these records with the responses that callers received. None
//! of them implements a guarantee that ivyweir itself has to provide.
//!
//! ```
//! use ivyweir_standins::{Platform, PlatformOptions};
//!
//! let platform = Platform::start(PlatformOptions::default()).unwrap();
//! assert!(platform.base_url().starts_with("http://127.0.0.1:"));
//! ```

mod box_process;
mod caller;
mod child;
pub mod cluster;
pub mod edge;
mod engine;
mod fault_proxy;
mod loopback;
mod platform;
mod rating;
mod scheduler;
mod service;
pub mod text;

pub use box_process::{BoxProcess, BoxSpec, Settings, build_binaries};
pub use caller::{Caller, Outcome};
pub use cluster::{Cluster, ClusterSpec};
pub use engine::{Behaviour, Engine, EngineOptions, EngineRun, wait_until};
pub use fault_proxy::{Fault, FaultProxy};
pub use platform::{CallCount, Platform, PlatformFaults, PlatformOptions};
pub use rating::Rating;
pub use scheduler::Speed;
pub use service::{Service, ServiceRun};
