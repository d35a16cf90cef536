//! Assignment of sources to boxes that need a full copy of a topic's records.
//!
//! A box that sent a long list to all boxes of its hall at once would be busy for seconds and be considered lost in the
//! meantime. A box therefore sends only a few copies concurrently and redirects further requests to boxes that already
//! received one, so that the number of available sources multiplies with each round.

use std::collections::{HashMap, HashSet};

use crate::Name;

/// Maximum number of copies that one box sends concurrently. Further ones would share its network link.
const MAX_CONCURRENT_COPIES: usize = 3;
/// Time after which an unconfirmed copy no longer counts as in progress.
const COPY_TIMEOUT_MS: u64 = 1_500;

/// Source assigned to a box for its copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopySource {
    /// The box that received the request.
    Local,
    /// Another box, which already received its own copy.
    Peer(Name),
    /// None at present: all sources are at their concurrency limit.
    Unavailable,
}

/// Copies in progress and the boxes that completed theirs.
#[derive(Debug, Default)]
pub struct CopyTransfers {
    /// Copies in progress, by receiving box.
    in_progress: HashMap<Name, Transfer>,
    holders: HashSet<Name>,
}

#[derive(Debug)]
struct Transfer {
    /// `None` if this box is the source.
    source: Option<Name>,
    since_ms: u64,
}

impl CopyTransfers {
    /// Assigns a source to `requester`. If the requester was redirected to another box before, that box had no copy and
    /// is no longer used as a source.
    pub fn assign_source(&mut self, requester: &Name, now_ms: u64) -> CopySource {
        self.holders.remove(requester);
        if let Some(Transfer {
            source: Some(source),
            ..
        }) = self.in_progress.remove(requester)
        {
            self.holders.remove(&source);
        }
        self.in_progress
            .retain(|_, transfer| now_ms < transfer.since_ms + COPY_TIMEOUT_MS);
        let source = if self.transfers_from(None) < MAX_CONCURRENT_COPIES {
            None
        } else {
            let free = self
                .holders
                .iter()
                .filter(|h| self.transfers_from(Some(h)) < MAX_CONCURRENT_COPIES);
            match free.min_by_key(|holder| (self.transfers_from(Some(holder)), (*holder).clone())) {
                Some(holder) => Some(holder.clone()),
                None => return CopySource::Unavailable,
            }
        };
        let transfer = Transfer {
            source: source.clone(),
            since_ms: now_ms,
        };
        self.in_progress.insert(requester.clone(), transfer);
        source.map_or(CopySource::Local, CopySource::Peer)
    }

    /// Records that a box received its copy.
    pub fn record_received(&mut self, name: &Name) {
        if self.in_progress.remove(name).is_some() {
            self.holders.insert(name.clone());
        }
    }

    fn transfers_from(&self, source: Option<&Name>) -> usize {
        let transfers = self.in_progress.values();
        transfers
            .filter(|transfer| transfer.source.as_ref() == source)
            .count()
    }
}
