//! Follows the configuration at the store: a watch brings changes at once, and reads in short intervals prove that there
//! are no others.
//!
//! The store may hide acknowledged changes from watches while it drops its history, and may end a watch at any time, so
//! the response to a watch proves nothing. A read is linearizable.

use std::future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use ivyweir_policy::gateway::freshness::ProofTime;
use ivyweir_policy::gateway::revision::Revision;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout};

use super::confirm::ResponseSource;
use super::watch::Listing;
use super::{Follower, IDLE_WATCH_MS, INITIAL_RETRY_MS, MAX_RETRY_MS, PROBE_LIMIT};
use crate::apply::{apply_changes, readable_changes};
use crate::client::{CallError, RESPONSE_TIMEOUT};
use crate::dialect::{Change, Changes, StoreRecord, Topic};
use crate::state::Gateway;
use crate::store_client::{StoreClient, StoreResponse};

/// Interval between reads by a box that nobody follows. Until the next proof, the current one must stay younger than
/// the bound on withdrawn keys.
const READ_INTERVAL_MS: u64 = 1_200;
const MIN_READ_INTERVAL_MS: u64 = 200;
/// Rate at which a large configuration is read: a quarter of a link of 10 Mbit/s.
const MAX_READ_BYTES_PER_MS: u64 = 312;
/// Longest interval between reads by a box that others follow, as a fraction of the time after which they call the store
/// themselves for lack of a newer proof.
const MAX_INTERVAL_FRACTION: f64 = 0.7;
/// Age of the proof at which the next one must have arrived; it leaves a slow store a few hundred milliseconds.
const PROOF_DUE_MS: u64 = 2_300;
/// Time after which a relay takes the store to be lost if it does not respond; a slow store takes 300 ms.
const OVERDUE_MS: u64 = 500;
/// Pause between a watch that returned changes and the next one, so that consecutive changes cost one call. The bound
/// on a configuration is two seconds or more.
const CHANGE_BATCH_MS: u64 = 300;

/// The client of a watch, and its response.
type WatchResult = (StoreClient, Result<StoreResponse, CallError>);

/// A watch of the configuration, which stays open while the configuration is read.
#[derive(Default)]
pub(super) struct SiteWatch {
    /// At most one call.
    open: JoinSet<WatchResult>,
    /// Connection of the last watch, if its response was received.
    idle: Option<StoreClient>,
    /// Number of consecutive watches without a response.
    failures: u32,
    /// Time before which no watch is opened.
    not_before_ms: u64,
}

impl SiteWatch {
    /// Abandons the open watch.
    pub fn close(&mut self) {
        self.open.abort_all();
        self.open.detach_all();
    }

    /// Opens a watch unless one is open.
    fn open(&mut self, gateway: &Arc<Gateway>, since: Revision) {
        if !self.open.is_empty() || gateway.clock.now_ms() < self.not_before_ms {
            return;
        }
        let codec = &gateway.store_codec;
        let request = codec.watch(Topic::Site, since.number, IDLE_WATCH_MS);
        let limit = Duration::from_millis(IDLE_WATCH_MS) + RESPONSE_TIMEOUT;
        let idle = self.idle.take();
        let mut client = idle.unwrap_or_else(|| StoreClient::new(gateway.clone()));
        self.open.spawn(async move {
            let response = client.call(request, limit).await;
            (client, response)
        });
    }

    /// Waits for the response of the open watch; forever if there is none.
    async fn response(&mut self) -> Result<StoreResponse, CallError> {
        match self.open.join_next().await {
            Some(Ok((client, response))) => {
                if response.is_ok() {
                    self.idle = Some(client);
                }
                response
            }
            Some(Err(e)) => Err(CallError::Abandoned {
                detail: e.to_string(),
            }),
            None => future::pending().await,
        }
    }

    /// Time at which a watch may be opened, if none is open.
    fn opens_at_ms(&self) -> Option<u64> {
        self.open.is_empty().then_some(self.not_before_ms)
    }

    fn record_success(&mut self, now_ms: u64) {
        self.failures = 0;
        self.not_before_ms = now_ms + CHANGE_BATCH_MS;
    }

    fn record_failure(&mut self, now_ms: u64) {
        let retry_ms = (INITIAL_RETRY_MS << self.failures.min(4)).min(MAX_RETRY_MS);
        self.failures += 1;
        self.not_before_ms = now_ms + retry_ms;
    }
}

impl Follower {
    /// Follows the configuration until there is a change or a read was made. Returns the revision to continue from, or
    /// `None` if it must be listed again.
    pub(super) async fn follow_site(&mut self, since: Revision) -> Result<Option<Revision>, ()> {
        // After a failure or a change of source, the response itself is new information.
        let needs_response = self.failures > 0 || self.is_probing || self.has_switched_to_store;
        let watched = if needs_response {
            None
        } else {
            self.watch_site_until_read(since).await
        };
        let followed = match watched {
            Some(response) => self.apply_watched_site(since, response),
            None => self.read_site(since).await,
        };
        self.publish_store_status(followed.is_ok());
        followed
    }

    /// Waits for the response of the watch; `None` once a read is due.
    async fn watch_site_until_read(
        &mut self,
        since: Revision,
    ) -> Option<Result<StoreResponse, CallError>> {
        let gateway = self.gateway.clone();
        let read_at_ms = self.read_due_at_ms();
        loop {
            self.site_watch.open(&gateway, since);
            let opens_at_ms = self.site_watch.opens_at_ms();
            let wake_at_ms = opens_at_ms.map_or(read_at_ms, |at_ms| at_ms.min(read_at_ms));
            tokio::select! {
                response = self.site_watch.response() => return Some(response),
                () = sleep_until(gateway.clock.instant(wake_at_ms)) => {}
            }
            if gateway.clock.now_ms() >= read_at_ms {
                return None;
            }
        }
    }

    /// Time of the next read. If the store has not settled after a restore, that is no later than it does, because
    /// the configuration is listed again then.
    fn read_due_at_ms(&self) -> u64 {
        let due_at_ms = self.site_read_at_ms + self.read_interval_ms();
        match self.gateway.store_settles_in_ms() {
            0 => due_at_ms,
            settles_in_ms => due_at_ms.min(self.gateway.clock.now_ms() + settles_in_ms),
        }
    }

    /// Interval between reads: the next proof must arrive before it is due.
    fn read_interval_ms(&self) -> u64 {
        let bounds = &self.gateway.settings.bounds;
        let now_ms = self.gateway.clock.now_ms();
        let age_ms = self.gateway.proof_age_ms().unwrap_or(PROOF_DUE_MS);
        let left_ms = PROOF_DUE_MS.saturating_sub(age_ms);
        let is_followed = self.gateway.histories.has_recent_followers(now_ms);
        let (usual_ms, most_ms) = if is_followed {
            let renewal_ms = bounds.proof_renewal_timeout_ms() as f64;
            let most_ms = renewal_ms * MAX_INTERVAL_FRACTION;
            (bounds.root_read_interval_ms(), most_ms as u64)
        } else {
            (READ_INTERVAL_MS, READ_INTERVAL_MS)
        };
        let by_size_ms = self.site_read_bytes / MAX_READ_BYTES_PER_MS;
        let interval_ms = left_ms.min(usual_ms).max(by_size_ms).min(most_ms);
        interval_ms.max(MIN_READ_INTERVAL_MS)
    }

    /// Applies the response to a watch, which is no proof of anything but the changes in it.
    fn apply_watched_site(
        &mut self,
        since: Revision,
        response: Result<StoreResponse, CallError>,
    ) -> Result<Option<Revision>, ()> {
        let now_ms = self.gateway.clock.now_ms();
        match response.and_then(|response| self.decode(since.era, &response)) {
            Ok(Some(changes)) => {
                self.count("ok");
                self.site_watch.record_success(now_ms);
                Ok(Some(self.apply_site_changes(since, changes)))
            }
            Ok(None) => {
                self.log_history_gone(since);
                Ok(None)
            }
            // The store may end a watch at any time. It is lost only if it does not respond to a read.
            Err(e) => {
                self.count("failed");
                if self.site_watch.failures == 0 {
                    self.site_read_at_ms = 0;
                    let detail = json!({"topic": Topic::Site.name(), "error": e.to_string()});
                    self.gateway.log.line("watch_lost", detail);
                }
                self.site_watch.record_failure(now_ms);
                Ok(Some(since))
            }
        }
    }

    /// Applies changes of the configuration; returns the revision that is reached.
    fn apply_site_changes(&mut self, since: Revision, changes: Changes) -> Revision {
        // A read may have returned a newer revision than the one that the watch was opened with.
        let revision = Revision {
            number: changes.revision.max(since.number),
            ..since
        };
        let mut unseen = Vec::new();
        for change in changes.changes {
            if !self.has_seen(&change) {
                self.site_version_seen = site_version(&change).or(self.site_version_seen);
                unseen.push(change.with_era(since.era));
            }
        }
        let changes = readable_changes(&self.gateway, Topic::Site, unseen);
        apply_changes(&self.gateway, Topic::Site, revision, changes);
        revision
    }

    /// Whether this is the active configuration or the one that was seen last.
    fn has_seen(&self, change: &Change) -> bool {
        let version = site_version(change);
        let active = self.gateway.site();
        let active_version = active.map(|active| active.site().version);
        version.is_some() && (version == active_version || version == self.site_version_seen)
    }

    /// Reads the configuration, applies it if it is a newer one, and renews the proof.
    async fn read_site(&mut self, since: Revision) -> Result<Option<Revision>, ()> {
        self.begin_request();
        let requested_at_ms = self.gateway.clock.now_ms();
        self.site_read_at_ms = requested_at_ms;
        let listing = match self.read_site_in_time().await {
            Ok(listing) => listing,
            Err(e) => {
                self.site_watch.close();
                self.record_failure(&e);
                return Err(());
            }
        };
        self.record_success();
        self.site_read_bytes = listing.bytes;
        // A store that knows less than it did before, or was restored, must be listed again.
        if listing.revision.era != since.era || listing.revision.number < since.number {
            self.site_watch.close();
            self.log_history_gone(since);
            return Ok(None);
        }
        let proves_newest = listing.has_site();
        let changes = Changes {
            revision: listing.revision.number,
            changes: listing.entries.into_iter().map(Change::Put).collect(),
        };
        if !changes.changes.iter().all(|change| self.has_seen(change)) {
            // The open watch has not brought the change.
            self.site_watch.close();
        }
        let revision = self.apply_site_changes(since, changes);
        if self.confirm(ResponseSource::Store).await && proves_newest {
            self.gateway
                .renew_proof(ProofTime::of_read(requested_at_ms));
        }
        Ok(Some(revision))
    }

    /// Reads the configuration. Once the response is overdue, this box keeps waiting but is no longer a source for
    /// others.
    async fn read_site_in_time(&mut self) -> Result<Listing, CallError> {
        let limit = if self.is_probing || self.failures > 0 {
            PROBE_LIMIT
        } else {
            RESPONSE_TIMEOUT
        };
        let gateway = self.gateway.clone();
        let mut read = pin!(self.read_pages(limit));
        let overdue = Duration::from_millis(OVERDUE_MS);
        if let Ok(listing) = timeout(overdue, read.as_mut()).await {
            return listing;
        }
        gateway.histories.set_store_responsive(false);
        read.await
    }
}

/// Version of the configuration in a change; `None` if it cannot be decoded.
fn site_version(change: &Change) -> Option<u64> {
    match change {
        Change::Put(Ok(StoreRecord::Site(site))) => Some(site.version),
        _ => None,
    }
}
