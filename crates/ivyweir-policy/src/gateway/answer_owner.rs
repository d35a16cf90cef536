//! Whose answer a response is.
//!
//! HTTP/1 pairs responses with requests by their order on a connection alone. A faulty upstream may send an answer twice,
//! the second time in the place of the answer to a later request, so the order does not show whose answer a response is.
//! The request id that it carries does, unless an earlier request on the same connection had the same id, as the repeat
//! of a request has.

use std::collections::VecDeque;

use crate::hash::hash64;

/// Number of the latest requests of a connection that are remembered.
const MAX_REMEMBERED: usize = 32;

/// The request that a response names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NamedRequest<'a> {
    /// The one with this id.
    Id(&'a str),
    /// None.
    Missing,
    /// Several.
    Several,
}

/// Whose answer a response is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AnswerOwner {
    /// That of the request in progress.
    Current,
    /// Not that of the request in progress, which may follow.
    Surplus,
    /// Not known.
    Unknown,
}

impl AnswerOwner {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Surplus => "surplus",
            Self::Unknown => "unknown",
        }
    }
}

/// The latest requests that were sent on a connection, by their ids. The last one is in progress.
#[derive(Debug, Clone, Default)]
pub struct SentRequests {
    /// Hashes of the ids; `None` for a request without one.
    latest: VecDeque<Option<u64>>,
    /// Number of all requests.
    count: u64,
}

impl SentRequests {
    /// Records that a request is sent.
    pub fn record(&mut self, id: Option<&str>) {
        if self.latest.len() == MAX_REMEMBERED {
            self.latest.pop_front();
        }
        self.latest.push_back(id.map(hash_id));
        self.count += 1;
    }

    /// Number of requests that were sent.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns whether answers to a request with this id could be told from those to all requests sent before.
    pub fn can_tell_apart(&self, id: Option<&str>) -> bool {
        !self.latest.contains(&id.map(hash_id))
    }

    /// Decides whose answer a response is that arrives now. Only behind an earlier request can it be a surplus one.
    pub fn owner_of_answer(&self, named: NamedRequest) -> AnswerOwner {
        let named = match named {
            NamedRequest::Id(id) => Some(hash_id(id)),
            NamedRequest::Missing => None,
            NamedRequest::Several => return AnswerOwner::Unknown,
        };
        let mut latest = self.latest.iter().rev();
        let Some(current) = latest.next() else {
            return AnswerOwner::Unknown;
        };
        let has_earlier = self.latest.len() > 1;
        let is_earlier = latest.any(|id| *id == named);
        match (*current == named, is_earlier) {
            (true, false) => AnswerOwner::Current,
            (true, true) => AnswerOwner::Unknown,
            (false, _) if has_earlier => AnswerOwner::Surplus,
            (false, _) => AnswerOwner::Unknown,
        }
    }
}

fn hash_id(id: &str) -> u64 {
    hash64(&[id.as_bytes()])
}
