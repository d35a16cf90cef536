//! News of the store that the followers of topics have for each other.

use tokio::sync::watch;

/// Counts of what happened; followers wait for the next time.
#[derive(Debug, Default)]
pub struct StoreEvents {
    store_losses: watch::Sender<u64>,
    upstreams_received: watch::Sender<u64>,
    poll_requests: watch::Sender<u64>,
    upstreams_requests: watch::Sender<u64>,
}

impl StoreEvents {
    /// Takes in that the store did not answer a question about the configuration.
    pub fn notify_store_lost(&self) {
        self.store_losses.send_modify(|count| *count += 1);
    }

    /// Waits until the store does not answer such a question.
    pub async fn wait_for_store_loss(&self) {
        wait_for_increment(&self.store_losses).await;
    }

    /// Takes in that an answer about upstreams was adopted, from the store or a box that hears it.
    pub fn notify_upstreams_received(&self) {
        self.upstreams_received.send_modify(|count| *count += 1);
    }

    /// Whether one was adopted since this box started.
    pub fn has_received_upstreams(&self) -> bool {
        *self.upstreams_received.borrow() > 0
    }

    /// Tells from now on of each answer about upstreams that was adopted.
    pub fn subscribe_upstreams(&self) -> watch::Receiver<u64> {
        self.upstreams_received.subscribe()
    }

    /// Asks the other topics' followers to hear the store once.
    pub fn request_poll(&self) {
        self.poll_requests.send_modify(|count| *count += 1);
    }

    /// How often that was asked.
    pub fn poll_requests(&self) -> u64 {
        *self.poll_requests.borrow()
    }

    /// Asks for an answer about upstreams at once, whether anything changed or not.
    pub fn request_upstreams(&self) {
        self.upstreams_requests.send_modify(|count| *count += 1);
    }

    /// How often that was asked.
    pub fn upstreams_requests(&self) -> u64 {
        *self.upstreams_requests.borrow()
    }

    /// Waits until it was asked more often than `count` times.
    pub async fn wait_for_upstreams_request(&self, count: u64) {
        let mut requests = self.upstreams_requests.subscribe();
        // The sender is borrowed for the wait, so it cannot be gone.
        let _requested = requests.wait_for(|requested| *requested > count).await;
    }

    /// Waits until it is asked.
    pub async fn wait_for_poll_request(&self) {
        wait_for_increment(&self.poll_requests).await;
    }
}

/// Waits until a count goes up.
async fn wait_for_increment(count: &watch::Sender<u64>) {
    let mut counts = count.subscribe();
    // The sender is borrowed for the wait, so it cannot be gone.
    let _changed = counts.changed().await;
}
