//! Requests under which upstreams end, and how boxes agree to send them no more.
//!
//! A request may end each upstream that begins to run it, and callers send it again, at any box. Boxes know
//! such a request by its [`Fingerprint`], since each try has another id. They remember which requests were at an
//! upstream when it ended ([`Runs`]), add up what each of them saw ([`Ledger`], [`Exchange`]), and refuse a
//! request that was there three times and never came to its end.
//!
//! An upstream that ends takes innocent requests with it, and these go on elsewhere together with the
//! harmful one. Three things tell them apart: a whole answer clears a request; an end is laid to the request
//! with the most ends; and a request under which an upstream ended is placed by its own hash, so that those
//! that were together are so no more.

mod exchange;
mod fingerprint;
mod ledger;
mod runs;

pub use exchange::{Exchange, LedgerNews};
pub use fingerprint::{Content, Fingerprint};
pub use ledger::{Ledger, QuarantineRecord, SuspectNews, UpstreamEnd, Verdicts, Witness};
pub use runs::{Left, RunEnd, RunKey, Runs};
