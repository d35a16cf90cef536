//! Sends of one request to upstreams, counted over all boxes that it passes through.

use crate::Name;

/// How often a request was sent, how often it may be, and which upstreams rejected it.
///
/// A box that hands a request over grants the other box a number of sends. If it does not hear how many were used, as the
/// connection between them broke, it counts all of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SendCount {
    sent: u32,
    limit: u32,
    rejected: Vec<Name>,
}

impl SendCount {
    /// Creates the count of a request that was sent `sent` times before and may be sent `limit` times in all, but once at
    /// least.
    pub fn new(sent: u32, limit: u32, rejected: Vec<Name>) -> Self {
        Self {
            sent,
            limit: limit.max(1),
            rejected,
        }
    }

    /// Number of sends that reached an upstream.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Whether the request may not be sent again.
    pub fn is_used_up(&self) -> bool {
        self.sent >= self.limit
    }

    /// Whether the request may be sent again after the next send.
    pub fn has_more_than_one_left(&self) -> bool {
        self.sent + 1 < self.limit
    }

    /// Upstreams that rejected the request and are not asked again.
    pub fn rejected(&self) -> &[Name] {
        &self.rejected
    }

    /// Records that the request was sent.
    pub fn record_send(&mut self) {
        self.sent += 1;
    }

    /// Records that the request was sent to an upstream that rejected it.
    pub fn record_rejection(&mut self, upstream: &Name) {
        self.sent += 1;
        self.rejected.push(upstream.clone());
    }

    /// Records that the request has waited until upstreams that rejected it would accept requests again.
    pub fn forget_rejections(&mut self) {
        self.rejected.clear();
    }

    /// Number of sends in all that another box may bring the request to. One is kept back for the case that the other box
    /// is lost, if the request may then be repeated.
    pub fn grant(&self, is_repeatable: bool) -> u32 {
        if is_repeatable && self.has_more_than_one_left() {
            self.limit - 1
        } else {
            self.limit
        }
    }

    /// Records that another box may have used all that it was granted.
    pub fn use_grant(&mut self, granted: u32) {
        self.sent = self.sent.max(granted);
    }

    /// Records what another box reports that was granted sends and has ended the request without a run: the sends in all,
    /// and the upstreams that rejected it.
    pub fn merge(&mut self, sent: u32, rejected: impl IntoIterator<Item = Name>) {
        self.sent = self.sent.max(sent);
        for upstream in rejected {
            if !self.rejected.contains(&upstream) {
                self.rejected.push(upstream);
            }
        }
    }
}
