//! Lists a topic at the store, and watches it.

use std::collections::HashSet;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use ivyweir_policy::gateway::freshness::ProofTime;
use ivyweir_policy::gateway::revision::Revision;
use serde_json::json;
use tokio::time::sleep;

use super::confirm::ResponseSource;
use super::{Follower, IDLE_WATCH_MS, PROBE_LIMIT};
use crate::apply::{ListingKind, apply_changes, apply_listing, readable_changes};
use crate::client::{CallError, RESPONSE_TIMEOUT};
use crate::dialect::{Changes, RecordResult, StoreRecord, Topic};
use crate::store_client::StoreResponse;

/// Pause between a watch that returned changes and the next one, so that consecutive changes cost
/// one call. The bounds on a configuration and on a leaving upstream are two seconds or more.
const CHANGE_BATCH_MS: u64 = 300;
/// Duration of a watch of upstreams. A call that an unresponsive store accepted never gets a response,
/// and until it times out a box does not learn which upstreams leave.
const UPSTREAMS_WATCH_MS: u64 = 4_000;
/// Duration of the first watches after a failure or after another box was the source.
const SHORT_WATCH_MS: u64 = 50;
/// Response timeouts of the store for the retries of a watch that was cut. Changes may have been hidden from the watch, so
/// the first retry is not waited for as long as a slow store takes.
const CUT_WATCH_LIMITS: [Duration; 2] = [Duration::from_millis(150), PROBE_LIMIT];

/// Largest number of records that are kept of a listing. The largest fleets have 10,000 upstreams.
const MAX_LISTED_RECORDS: usize = 50_000;

/// The records of a topic.
pub(super) struct Listing {
    pub entries: Vec<RecordResult>,
    /// Revision from which to watch for later changes.
    pub revision: Revision,
    /// Size of all pages.
    pub bytes: u64,
    /// Why there may be further records.
    gap: Option<ListingGap>,
}

impl Listing {
    /// Whether the listing shows which configuration the store has. One that ends before its last page may lack it.
    pub fn has_site(&self) -> bool {
        let is_site = |entry: &RecordResult| matches!(entry, Ok(StoreRecord::Site(_)));
        self.gap.is_none() || self.entries.iter().any(is_site)
    }
}

/// Why a listing ends before its last page.
#[derive(Debug, Clone, Copy)]
enum ListingGap {
    /// No record of a page has a name to continue behind.
    Unnamed,
    /// A page ends with the same record as an earlier one.
    Repeated,
    /// There are more records than are kept.
    TooManyRecords,
}

impl ListingGap {
    /// Name in logs.
    fn name(self) -> &'static str {
        match self {
            Self::Unnamed => "unnamed",
            Self::Repeated => "repeated",
            Self::TooManyRecords => "too_many_records",
        }
    }
}

impl Follower {
    /// Lists the topic; returns the revision to watch from.
    pub(super) async fn list(&mut self) -> Result<Revision, ()> {
        self.begin_request();
        let requested_at_ms = self.gateway.clock.now_ms();
        let was_settled = self.gateway.is_store_settled();
        let listing = match self.read_pages(RESPONSE_TIMEOUT).await {
            Ok(listing) => listing,
            Err(e) => {
                self.publish_store_status(false);
                self.record_failure(&e);
                return Err(());
            }
        };
        self.publish_store_status(true);
        self.record_success();
        let proves_newest = listing.has_site();
        let Listing {
            entries,
            mut revision,
            bytes,
            gap,
        } = listing;
        revision.is_settled = was_settled && self.gateway.is_store_settled();
        if let Some(gap) = gap {
            let detail = json!({
                "topic": self.topic.name(), "reason": gap.name(), "records": entries.len(),
            });
            self.gateway.log.line("listing_incomplete", detail);
        }
        let kind = if revision.is_settled && gap.is_none() {
            ListingKind::Complete
        } else {
            ListingKind::Incomplete
        };
        apply_listing(&self.gateway, self.topic, revision, kind, entries);
        if self.topic == Topic::Site {
            self.site_watch.close();
            self.site_read_at_ms = requested_at_ms;
            self.site_read_bytes = bytes;
        }
        if self.confirm(ResponseSource::Store).await && proves_newest {
            self.gateway
                .renew_proof(ProofTime::of_read(requested_at_ms));
        }
        self.gateway.mark_synced(self.topic);
        Ok(revision)
    }

    /// Reads all records of the topic, as far as they can be reached. Each page must arrive within `limit`.
    pub(super) async fn read_pages(&mut self, limit: Duration) -> Result<Listing, CallError> {
        let first = self.client.read_page(self.topic, None, limit).await?;
        let era = first.era;
        if Some(era) < self.gateway.store_era() {
            return Err(CallError::EraMismatch);
        }
        // The watch starts at the first page's revision, so it returns whatever changes while pages
        // are read.
        let mut listing = Listing {
            revision: Revision::new(era, first.page.revision),
            entries: Vec::new(),
            bytes: first.bytes,
            gap: None,
        };
        let mut cursors = HashSet::new();
        let mut page = first.page;
        loop {
            let entries = page.entries.into_iter();
            listing
                .entries
                .extend(entries.map(|entry| entry.map(|item| item.with_era(era))));
            if !page.is_truncated {
                return Ok(listing);
            }
            let cursor = match page.next_after {
                Some(cursor) if cursors.contains(&cursor) => {
                    listing.gap = Some(ListingGap::Repeated);
                    return Ok(listing);
                }
                Some(cursor) if listing.entries.len() < MAX_LISTED_RECORDS => cursor,
                Some(_) => {
                    listing.gap = Some(ListingGap::TooManyRecords);
                    return Ok(listing);
                }
                None => {
                    listing.gap = Some(ListingGap::Unnamed);
                    return Ok(listing);
                }
            };
            let next = self.client.read_page(self.topic, Some(&cursor), limit);
            let next = next.await?;
            if next.era != era {
                return Err(CallError::EraMismatch);
            }
            cursors.insert(cursor);
            listing.bytes += next.bytes;
            page = next.page;
        }
    }

    /// Publishes whether the store responds to the boxes that follow here and to the followers of
    /// the other topics.
    pub(super) fn publish_store_status(&self, is_responsive: bool) {
        if self.topic != Topic::Site {
            return;
        }
        self.gateway.histories.set_store_responsive(is_responsive);
        if !is_responsive {
            self.gateway.store_events.notify_store_lost();
        }
    }

    /// Watches once. Returns the revision to continue from, or `None` if the topic must be listed
    /// again. The configuration is not followed in this way, as a watch does not renew the proof.
    pub(super) async fn watch_store(&mut self, since: Revision) -> Result<Option<Revision>, ()> {
        let is_upstreams_requested = self.begin_request();
        let wait_ms = self.wait_ms(is_upstreams_requested);
        let request = self
            .gateway
            .store_codec
            .watch(self.topic, since.number, wait_ms);
        let limit = if self.is_probing || self.failures > 0 {
            PROBE_LIMIT
        } else {
            RESPONSE_TIMEOUT
        };
        let limit = Duration::from_millis(wait_ms) + limit;
        let mut response = self.call_store(request, limit).await;
        if self.failures == 0 && matches!(response, Err(CallError::ResponseLost { .. })) {
            response = self.retry_watch(since).await;
        }
        let changes = match response.and_then(|response| self.decode(since.era, &response)) {
            Ok(changes) => changes,
            // The records themselves come in pages.
            Err(CallError::TooLarge) => None,
            Err(e) => {
                self.record_failure(&e);
                return Err(());
            }
        };
        self.record_success();
        let Some(changes) = changes else {
            self.log_history_gone(since);
            return Ok(None);
        };
        let revision = Revision {
            number: changes.revision,
            ..since
        };
        let is_empty = changes.changes.is_empty();
        let changes = changes.changes.into_iter();
        let changes = changes.map(|change| change.with_era(since.era)).collect();
        let changes = readable_changes(&self.gateway, self.topic, changes);
        apply_changes(&self.gateway, self.topic, revision, changes);
        self.confirm(ResponseSource::Store).await;
        if !is_empty {
            sleep(Duration::from_millis(CHANGE_BATCH_MS)).await;
        }
        Ok(Some(revision))
    }

    /// Watches again after a watch was cut, as the store may end a watch at any time. It is lost only if it does not respond to
    /// several retries. Each is on another connection, as one on which a response was lost stays silent.
    async fn retry_watch(&mut self, since: Revision) -> Result<StoreResponse, CallError> {
        let mut limits = CUT_WATCH_LIMITS.into_iter();
        loop {
            let codec = &self.gateway.store_codec;
            let request = codec.watch(self.topic, since.number, SHORT_WATCH_MS);
            let limit = limits.next().unwrap_or(PROBE_LIMIT);
            let limit = Duration::from_millis(SHORT_WATCH_MS) + limit;
            let response = self.call_store(request, limit).await;
            let is_last = limits.len() == 0 || !self.gateway.histories.is_store_responsive();
            if response.is_ok() || is_last {
                return response;
            }
        }
    }

    /// Logs that changes since a revision cannot be watched any more.
    pub(super) fn log_history_gone(&self, since: Revision) {
        let detail = json!({
            "topic": self.topic.name(), "since": since.to_string(), "era": self.gateway.store_era(),
        });
        self.gateway.log.line("store_history_gone", detail);
    }

    /// Calls the store. A store that was unresponsive for a while never responds to the calls that it accepted then, so
    /// a long wait ends as soon as the reads of the configuration detect the loss.
    async fn call_store(
        &mut self,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<StoreResponse, CallError> {
        tokio::select! {
            response = self.client.call(request, limit) => response,
            () = self.gateway.store_events.wait_for_store_loss() => Err(CallError::Abandoned {
                detail: "the store did not answer a configuration request".into(),
            }),
        }
    }

    /// Decodes the response to a watch from a revision of `era`; `None` if the topic must be listed
    /// again, because the store no longer has the history or responds from another era.
    pub(super) fn decode(
        &self,
        era: u64,
        response: &StoreResponse,
    ) -> Result<Option<Changes>, CallError> {
        match response.status {
            StatusCode::GONE => Ok(None),
            // After a restore, the same revision number stands for another change.
            StatusCode::OK if response.era != era => Ok(None),
            StatusCode::OK => {
                let changes = self
                    .gateway
                    .store_codec
                    .decode_changes(self.topic, &response.body);
                changes.map(Some).map_err(CallError::unreadable)
            }
            status => Err(CallError::refused(status)),
        }
    }

    /// Duration of a watch: at most until the store settles, when the topic is listed again.
    fn wait_ms(&self, is_upstreams_requested: bool) -> u64 {
        let settles_in_ms = self.gateway.store_settles_in_ms();
        let wait_ms = self.settled_wait_ms(is_upstreams_requested);
        if settles_in_ms > 0 {
            wait_ms.min(settles_in_ms)
        } else {
            wait_ms
        }
    }

    /// Duration of a watch of a settled store; short if a response is needed at once.
    fn settled_wait_ms(&self, is_upstreams_requested: bool) -> u64 {
        match self.topic {
            _ if is_upstreams_requested => SHORT_WATCH_MS,
            // After a failure the response itself is new information, so it must not wait for
            // changes.
            _ if self.failures > 0 => SHORT_WATCH_MS,
            _ if self.is_probing || self.has_switched_to_store => SHORT_WATCH_MS,
            Topic::Upstreams => UPSTREAMS_WATCH_MS,
            Topic::Rollouts => IDLE_WATCH_MS,
            Topic::DrainedHalls => self.gateway.settings.bounds.hall_drain_watch_ms(),
            // Only the watch beside the reads waits for this topic.
            Topic::Site => IDLE_WATCH_MS,
        }
    }
}
