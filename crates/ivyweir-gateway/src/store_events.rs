//! Events that the followers of the store's topics exchange within this process.

use tokio::sync::watch;

/// Event counters; each follower waits for a counter to increase.
#[derive(Debug, Default)]
pub struct StoreEvents {
    store_losses: watch::Sender<u64>,
    upstreams_received: watch::Sender<u64>,
    poll_requests: watch::Sender<u64>,
    upstreams_requests: watch::Sender<u64>,
}

impl StoreEvents {
    /// Signals that the store did not respond to a request about the configuration.
    pub fn notify_store_lost(&self) {
        self.store_losses.send_modify(|count| *count += 1);
    }

    /// Waits for the next such failure.
    pub async fn wait_for_store_loss(&self) {
        wait_for_increment(&self.store_losses).await;
    }

    /// Signals that a response about upstreams was applied, from the store or from a box that
    /// receives its records.
    pub fn notify_upstreams_received(&self) {
        self.upstreams_received.send_modify(|count| *count += 1);
    }

    /// Whether such a response was applied since this box started.
    pub fn has_received_upstreams(&self) -> bool {
        *self.upstreams_received.borrow() > 0
    }

    /// Subscribes to the responses about upstreams that are applied.
    pub fn subscribe_upstreams(&self) -> watch::Receiver<u64> {
        self.upstreams_received.subscribe()
    }

    /// Requests that the followers of the other topics poll the store once.
    pub fn request_poll(&self) {
        self.poll_requests.send_modify(|count| *count += 1);
    }

    /// Number of requests so far.
    pub fn poll_requests(&self) -> u64 {
        *self.poll_requests.borrow()
    }

    /// Requests an immediate response about upstreams, whether or not anything changed.
    pub fn request_upstreams(&self) {
        self.upstreams_requests.send_modify(|count| *count += 1);
    }

    /// Number of requests so far.
    pub fn upstreams_requests(&self) -> u64 {
        *self.upstreams_requests.borrow()
    }

    /// Waits until the number of requests exceeds `count`.
    pub async fn wait_for_upstreams_request(&self, count: u64) {
        let mut requests = self.upstreams_requests.subscribe();
        // The sender is borrowed for the wait, so it cannot be gone.
        let _requested = requests.wait_for(|requested| *requested > count).await;
    }

    /// Waits for the next poll request.
    pub async fn wait_for_poll_request(&self) {
        wait_for_increment(&self.poll_requests).await;
    }
}

/// Waits until a counter increases.
async fn wait_for_increment(count: &watch::Sender<u64>) {
    let mut counts = count.subscribe();
    // The sender is borrowed for the wait, so it cannot be gone.
    let _changed = counts.changed().await;
}
