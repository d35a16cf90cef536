//! Renewing the proof after a loss: only once the upstreams were heard of too.

use serde_json::json;
use tokio::time::timeout;

use super::Follower;
use crate::client::RESPONSE_TIMEOUT;
use crate::dialect::Topic;

/// How often upstreams are waited for after a loss before the store's proof is renewed without them.
const MAX_VAIN_WAITS: u32 = 4;

/// Who gave the answer that is to be confirmed.
#[derive(Debug, Clone, Copy)]
pub(super) enum AnsweredBy {
    /// The store.
    Store,
    /// Another box.
    Box {
        /// Whether that box hears of the store's records itself, by the age of its proof.
        hears: bool,
    },
}

impl AnsweredBy {
    /// Whether the answer shows what the store holds now.
    fn is_current(self) -> bool {
        matches!(self, Self::Store | Self::Box { hears: true })
    }
}

impl Follower {
    /// Follows the adoption of an answer; returns whether it may renew the proof.
    ///
    /// After a start or a loss it may only once the upstreams were heard of too, from the store or a box that
    /// hears it: those that left meanwhile must get no work from a box that is current otherwise.
    pub(super) async fn confirmed(&mut self, answered_by: AnsweredBy) -> bool {
        if self.topic != Topic::Site {
            if self.topic == Topic::Upstreams && answered_by.is_current() {
                self.upstreams_given = self.upstreams_asked;
                self.gateway.store_news.upstreams_heard();
            }
            return false;
        }
        // A box that has just started may know upstreams only from one that lost the store, whose proof may still be
        // young enough for keyed requests: beside 4 busy processes one of 3 runs of the suite sent work to an
        // upstream that had left.
        if !self.is_unconfirmed {
            if self.gateway.store_news.are_upstreams_heard() {
                return true;
            }
            if !answered_by.is_current() {
                return false;
            }
        }
        let heard = self.until_upstreams_heard(answered_by).await;
        self.vain_waits = if heard { 0 } else { self.vain_waits + 1 };
        if !heard {
            let detail = json!({"vain_waits": self.vain_waits});
            self.gateway.log.line("upstreams_unheard", detail);
        }
        // A store that goes on answering about one thing and not the other is left to itself; of boxes there are others,
        // and the store.
        let gives_up =
            matches!(answered_by, AnsweredBy::Store) && self.vain_waits >= MAX_VAIN_WAITS;
        self.is_unconfirmed = !heard && !gives_up;
        !self.is_unconfirmed
    }

    /// Waits until the upstreams are heard of, for a while; wakes whoever waits for the store's
    /// return. Returns whether they were.
    async fn until_upstreams_heard(&self, answered_by: AnsweredBy) -> bool {
        let mut heard = self.gateway.store_news.upstreams();
        // Whoever follows another box hears of upstreams only what changes, which may be nothing for a long
        // time: boxes that tried a store that was out served no keyed request for 1.5 to 4 s after its
        // return.
        self.gateway.store_news.want_upstreams();
        if let AnsweredBy::Store = answered_by {
            self.gateway.histories.set_store_answers(true);
            // A try of the store on its own has asked for a poll already.
            if !self.is_probing {
                self.gateway.store_news.ask_poll();
            }
        }
        self.gateway.histories.tell();
        matches!(timeout(RESPONSE_TIMEOUT, heard.changed()).await, Ok(Ok(())))
    }
}
