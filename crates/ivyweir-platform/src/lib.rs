//! Client of the platform: the Object API and the box list.
//!
//! The Object API keeps named values with revisions. A write names what it expects to find; the
//! store refuses it otherwise. An answer can be lost after a write took effect, which
//! [`ErrorKind::Unknown`] says.
//!
//! ```no_run
//! use std::time::Duration;
//! use ivyweir_platform::{Expect, HttpPlatform, ObjectStore, PutOutcome};
//!
//! let store = HttpPlatform::new("http://127.0.0.1:7000", Duration::from_secs(2));
//! match store.put("config", b"{}", Expect::Absent)? {
//!     PutOutcome::Written { revision } => println!("written as {revision}"),
//!     PutOutcome::Conflict => println!("somebody was first"),
//! }
//! # Ok::<(), ivyweir_platform::Error>(())
//! ```

mod error;
mod http;
mod store;

pub use error::{Error, ErrorKind, Result};
pub use http::HttpPlatform;
pub use store::{BoxSource, Expect, Listing, Object, ObjectStore, PutOutcome, Watched};
