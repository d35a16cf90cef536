//! Quarantine of requests that repeatedly terminate the upstreams running them.
//!
//! A request may crash every upstream that starts to run it, and callers retry it through any box.
//! Each try has a different id, so boxes identify such a request by the [`Fingerprint`] of its
//! content. They track which requests were at an upstream when it terminated ([`RunRegistry`]),
//! merge their observations ([`Ledger`], [`LedgerSync`]), and refuse a request that was present at
//! three terminations and never completed.
//!
//! A terminating upstream interrupts innocent requests too, and these are retried elsewhere
//! together with the harmful one. Three rules separate them: a complete answer clears a request; a
//! termination is attributed to the request with the most terminations; and a request that was
//! present at a termination is placed by its own hash, so that requests that were together are
//! spread over different upstreams.
//!
//! A broken connection may precede the termination of its upstream, and it takes a moment to find
//! out. Until then it counts as a possible termination: a request with three of them is sent only
//! to the upstreams where they occurred ([`Containment`]).

mod fingerprint;
mod ledger;
mod runs;
mod suspect;
mod sync;

pub use fingerprint::{Fingerprint, MAX_TRACKED_PARTS, RequestContent, RequestIdentity};
pub use ledger::{Containment, EndObservation, Ledger, QuarantineChanges, QuarantineRecord};
pub use runs::{InterruptedRun, RunEnd, RunKey, RunRegistry};
pub use suspect::{SuspectUpdate, UpstreamEnd};
pub use sync::{LedgerSync, LedgerUpdate};
