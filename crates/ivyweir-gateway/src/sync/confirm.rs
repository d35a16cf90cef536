//! Renewal of the proof after a loss, which requires a response about upstreams as well.

use serde_json::json;
use tokio::time::timeout;

use super::Follower;
use crate::client::RESPONSE_TIMEOUT;
use crate::dialect::Topic;

/// Number of waits for upstreams after a loss before the store's proof is renewed without them.
const MAX_FAILED_WAITS: u32 = 4;

/// The source of a response that is to be confirmed.
#[derive(Debug, Clone, Copy)]
pub(super) enum ResponseSource {
    /// The store.
    Store,
    /// Another box.
    Peer {
        /// Whether that box has a source of the store's records itself, judged by the age of its
        /// proof.
        has_source: bool,
    },
}

impl ResponseSource {
    /// Whether the response reflects the current state of the store.
    fn is_current(self) -> bool {
        matches!(self, Self::Store | Self::Peer { has_source: true })
    }
}

impl Follower {
    /// Called after a response was applied; returns whether it may renew the proof.
    ///
    /// After a start or a loss, it may only do so once the upstreams were received too, from the
    /// store or a box that receives its records: upstreams that left in the meantime must get no
    /// work from a box that is current otherwise.
    pub(super) async fn confirm(&mut self, source: ResponseSource) -> bool {
        if self.topic != Topic::Site {
            if self.topic == Topic::Upstreams && source.is_current() {
                self.upstreams_requests_served = self.upstreams_requests_seen;
                self.gateway.store_events.notify_upstreams_received();
            }
            return false;
        }
        // A box that has just started may have its upstreams only from a box that lost the store,
        // whose proof may still be young enough for keyed requests. With 4 busy processes beside
        // it, one of 3 runs of the test suite sent work to an upstream that had left.
        if !self.is_unconfirmed {
            if self.gateway.store_events.has_received_upstreams() {
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
        // A store that keeps responding about one topic but not the other is not waited for any
        // longer. If the response came from a box, there are other boxes and the store to turn to.
        let gives_up =
            matches!(source, ResponseSource::Store) && self.failed_waits >= MAX_FAILED_WAITS;
        self.is_unconfirmed = !received && !gives_up;
        !self.is_unconfirmed
    }

    /// Requests upstreams and waits for them for a limited time, and wakes the tasks that wait for
    /// the store to return. Returns whether the upstreams were received.
    async fn wait_for_upstreams(&self, source: ResponseSource) -> bool {
        let mut received = self.gateway.store_events.subscribe_upstreams();
        // A follower of another box receives only changes of upstreams, and there may be none for a
        // long time: boxes that probed an unavailable store served no keyed request for 1.5 to 4 s
        // after its return.
        self.gateway.store_events.request_upstreams();
        if let ResponseSource::Store = source {
            self.gateway.histories.set_store_responsive(true);
            // A probe requests the poll itself.
            if !self.is_probing {
                self.gateway.store_events.request_poll();
            }
        }
        self.gateway.histories.notify();
        matches!(
            timeout(RESPONSE_TIMEOUT, received.changed()).await,
            Ok(Ok(()))
        )
    }
}
