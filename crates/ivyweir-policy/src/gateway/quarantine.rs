//! Quarantine of requests, and of parts of prompts, that repeatedly terminate the upstreams running them.
//!
//! A request may crash every upstream that starts to run it, and callers retry it through any box. A part of a prompt
//! may do the same to every request that has it, no two of them alike. Each try has a different id, so boxes identify a
//! request by the [`Fingerprint`] of its content, and a part by that of its pool and id. They track which requests were
//! at an upstream when it terminated ([`RunRegistry`]), merge their observations ([`Ledger`], [`LedgerSync`]), and
//! refuse a request or a part that was present at three terminations.
//!
//! A terminating upstream interrupts innocent requests too, and these are retried elsewhere together with the harmful
//! one. Four rules separate them: a complete answer clears a request, and answers on a part are weighed against its
//! terminations; a termination is attributed to the suspects with the most evidence against them; parts that cannot be
//! told apart are refused only where they come together; and a request that was present at a termination is placed by
//! its own hash, or by that of a part on which too few answers were completed, so that requests that were together are
//! spread over different upstreams and those with one suspected part are not.
//!
//! A broken connection may precede the termination of its upstream, and it takes a moment to find
//! out. Until then it counts as a possible termination: a request with three of them is sent only
//! to the upstreams where they occurred ([`Containment`]).

mod attribution;
mod completions;
mod fingerprint;
mod interruptions;
mod ledger;
mod record;
mod runs;
mod suspect;
mod sync;
mod verdict;

pub use completions::CompletionUpdate;
pub use fingerprint::{Fingerprint, MAX_TRACKED_PARTS, RequestContent, RequestIdentity};
pub use ledger::{EndObservation, Ledger};
pub use record::QuarantineRecord;
pub use runs::{InterruptedRun, RunEnd, RunKey, RunRegistry};
pub use suspect::{SuspectKind, SuspectUpdate, UpstreamEnd};
pub use sync::{LedgerSync, LedgerUpdate, split_by_kind};
pub use verdict::{Containment, NewQuarantine, QuarantineChanges, Refusal};
