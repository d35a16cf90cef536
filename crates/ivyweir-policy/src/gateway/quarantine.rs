//! Requests under which upstreams end.
//!
//! A request may end each upstream that begins to run it, and callers send it again. Boxes know such a
//! request by its [`Fingerprint`], since each try has another id, and remember which requests were at an
//! upstream when it ended ([`Runs`]).

mod fingerprint;
mod runs;

pub use fingerprint::{Content, Fingerprint};
pub use runs::{RunEnd, Runs};
