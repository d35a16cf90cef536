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

mod fingerprint;
mod ledger;
mod runs;
mod sync;

pub use fingerprint::{Fingerprint, RequestContent};
pub use ledger::{
    EndObservation, Ledger, QuarantineChanges, QuarantineRecord, SuspectUpdate, UpstreamEnd,
};
pub use runs::{InterruptedRun, RunEnd, RunKey, RunRegistry};
pub use sync::{LedgerSync, LedgerUpdate};
