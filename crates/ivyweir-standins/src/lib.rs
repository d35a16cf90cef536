//! Small stand-ins of the systems around ivyweir, for tests, the demo and the load tool.
//!
//! They speak the published forms that the real ones would and keep records of what reached them,
//! so that a test can hold the records against what callers were told. None of them keeps a promise
//! on ivyweir's behalf.
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
