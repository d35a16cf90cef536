//! Renewing the proof after a loss: only once the upstreams were received of too.

use serde_json::json;
use tokio::time::timeout;

use super::Follower;
use crate::client::ANSWER_LIMIT;
use crate::dialect::Topic;

/// How often upstreams are waited for after a loss before the store's proof is renewed without them.
const MAX_FAILED_WAITS: u32 = 4;

/// Who gave the answer that is to be confirmed.
#[derive(Debug, Clone, Copy)]
pub(super) enum ResponseSource {
    /// The store.
    Store,
    /// Another box.
    Peer {
        /// Whether that box hears of the store's records itself, by the age of its proof.
        has_source: bool,
    },
}

impl ResponseSource {
    /// Whether the answer shows what the store holds now.
    fn is_current(self) -> bool {
        matches!(self, Self::Store | Self::Peer { has_source: true })
    }
}

impl Follower {
    /// Follows the adoption of an answer; returns whether it may renew the proof.
    ///
    /// After a start or a loss it may only once the upstreams were received of too, from the store or a box that
    /// hears it: those that left meanwhile must get no work from a box that is current otherwise.
    pub(super) async fn confirm(&mut self, source: ResponseSource) -> bool {
        if self.topic != Topic::Site {
            if self.topic == Topic::Upstreams && source.is_current() {
                self.upstreams_requests_served = self.upstreams_requests_seen;
                self.gateway.store_news.notify_upstreams_received();
            }
            return false;
        }
        // A box that has just started may know upstreams only from one that lost the store, whose proof may still be
        // young enough for keyed requests: beside 4 busy processes one of 3 runs of the suite sent work to an
        // upstream that had left.
        if !self.is_unconfirmed {
            if self.gateway.store_news.has_received_upstreams() {
                return true;
            }
            if !source.is_current() {
                return false;
            }
        }
        let received = self.wait_for_upstreams(source).await;
        self.failed_waits = if received { 0 } else { self.failed_waits + 1 };
        if !received {
            let detail = json!({"vain_waits": self.failed_waits});
            self.gateway.log.line("upstreams_unheard", detail);
        }
        // A store that goes on answering about one thing and not the other is left to itself; of boxes there are others,
        // and the store.
        let gives_up =
            matches!(source, ResponseSource::Store) && self.failed_waits >= MAX_FAILED_WAITS;
        self.is_unconfirmed = !received && !gives_up;
        !self.is_unconfirmed
    }

    /// Waits until the upstreams are received of, for a while; wakes whoever waits for the store's
    /// return. Returns whether they were.
    async fn wait_for_upstreams(&self, source: ResponseSource) -> bool {
        let mut received = self.gateway.store_news.subscribe_upstreams();
        // Whoever follows another box hears of upstreams only what changes, which may be nothing for a long
        // time: boxes that tried a store that was out served no keyed request for 1.5 to 4 s after its
        // return.
        self.gateway.store_news.request_upstreams();
        if let ResponseSource::Store = source {
            self.gateway.histories.set_store_responsive(true);
            // A try of the store on its own has asked for a poll already.
            if !self.is_probing {
                self.gateway.store_news.request_poll();
            }
        }
        self.gateway.histories.notify();
        matches!(timeout(ANSWER_LIMIT, received.changed()).await, Ok(Ok(())))
    }
}
