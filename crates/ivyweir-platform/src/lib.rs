//! Client of the platform: the Object API and the box list.
//!
//! The Object API stores named values with revisions. Every write carries a precondition; the
//! store rejects the write if it does not hold. The response can be lost after a write has taken
//! effect, which is reported as [`ErrorKind::OutcomeUnknown`].
//!
//! ```no_run
//! use std::time::Duration;
//! use ivyweir_platform::{Precondition, HttpPlatform, ObjectStore, PutOutcome};
//!
//! let store = HttpPlatform::new("http://127.0.0.1:7000", Duration::from_secs(2));
//! match store.put("config", b"{}", Precondition::Absent)? {
//!     PutOutcome::Written { revision } => println!("written as {revision}"),
//!     PutOutcome::Conflict => println!("the object already exists"),
//! }
//! # Ok::<(), ivyweir_platform::Error>(())
//! ```

mod error;
mod http;
mod store;

pub use error::{Error, ErrorKind, Result};
pub use http::HttpPlatform;
pub use store::{
    BoxListSource, Listing, Object, ObjectStore, Precondition, PutOutcome, WatchOutcome,
};
