//! Whether a caller may be told that its request has not run and never will.
//!
//! Each send may become a run until something shows that it does not. A send of which nothing is known counts as a run,
//! whatever the reason, so a path that says nothing of its sends cannot promise anything.

use crate::Name;

/// A request on a connection to an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Local port of the connection.
    pub local_port: u16,
    /// Number of requests that were sent on it, this one included.
    pub requests: u64,
}

/// What shows that a send has not become a run and never will.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NotRun {
    /// No byte of the request was written.
    NotWritten,
    /// The upstream rejected the request, in an answer that names it.
    Rejected {
        /// The upstream.
        upstream: Name,
        /// Status of the answer.
        status: u16,
        /// The connection on which it came.
        connection: ConnectionUse,
    },
    /// The box that the request was handed over to says that none of its own sends has run.
    Declined {
        /// Name of the box.
        name: Name,
    },
}

/// What a promise rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Basis {
    /// The request was not sent.
    NoSend,
    /// All its sends were rejected.
    Rejections,
    /// Other boxes say so of theirs; sends of this box, if any, were rejected.
    OtherBoxes,
}

impl Basis {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoSend => "no_send",
            Self::Rejections => "rejections",
            Self::OtherBoxes => "other_boxes",
        }
    }
}

/// The sends of one request by this box, and what became of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SendLedger {
    /// Number of sends that may have become runs.
    open: u32,
    /// What shows that others have not; those of which nothing was written are left out.
    settled: Vec<NotRun>,
}

impl SendLedger {
    /// Records that the request is about to be written to an upstream, or handed over to another box. Nothing may be
    /// written before.
    pub fn begin(&mut self) {
        self.open += 1;
    }

    /// Records that the last send has not become a run.
    pub fn settle(&mut self, shown_by: NotRun) {
        debug_assert!(self.open > 0, "a send begins before it is settled");
        self.open = self.open.saturating_sub(1);
        if shown_by != NotRun::NotWritten {
            self.settled.push(shown_by);
        }
    }

    /// Whether the request may have run, or may still run.
    pub fn may_have_run(&self) -> bool {
        self.open > 0
    }

    /// What a promise that the request has not run and never will can rest on; `None` if there can be no promise.
    pub fn basis(&self) -> Option<Basis> {
        if self.may_have_run() {
            return None;
        }
        let is_declined = |shown_by: &NotRun| matches!(shown_by, NotRun::Declined { .. });
        Some(match &*self.settled {
            [] => Basis::NoSend,
            settled if settled.iter().any(is_declined) => Basis::OtherBoxes,
            _ => Basis::Rejections,
        })
    }

    /// What shows that sends have not become runs, in order, apart from those of which nothing was written.
    pub fn settled(&self) -> &[NotRun] {
        &self.settled
    }
}
