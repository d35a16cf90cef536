//! News of the store that the followers of topics have for each other.

use tokio::sync::watch;

/// Counts of what happened; followers wait for the next time.
#[derive(Debug, Default)]
pub struct StoreNews {
    losses: watch::Sender<u64>,
    upstreams_heard: watch::Sender<u64>,
    polls: watch::Sender<u64>,
    upstreams_wanted: watch::Sender<u64>,
}

impl StoreNews {
    /// Takes in that the store did not answer a question about the configuration.
    pub fn store_lost(&self) {
        self.losses.send_modify(|count| *count += 1);
    }

    /// Waits until the store does not answer such a question.
    pub async fn until_store_lost(&self) {
        until_next(&self.losses).await;
    }

    /// Takes in that an answer about upstreams was adopted, from the store or a box that hears it.
    pub fn upstreams_heard(&self) {
        self.upstreams_heard.send_modify(|count| *count += 1);
    }

    /// Whether one was adopted since this box started.
    pub fn are_upstreams_heard(&self) -> bool {
        *self.upstreams_heard.borrow() > 0
    }

    /// Tells from now on of each answer about upstreams that was adopted.
    pub fn upstreams(&self) -> watch::Receiver<u64> {
        self.upstreams_heard.subscribe()
    }

    /// Asks the other topics' followers to hear the store once.
    pub fn ask_poll(&self) {
        self.polls.send_modify(|count| *count += 1);
    }

    /// How often that was asked.
    pub fn polls(&self) -> u64 {
        *self.polls.borrow()
    }

    /// Asks for an answer about upstreams at once, whether anything changed or not.
    pub fn want_upstreams(&self) {
        self.upstreams_wanted.send_modify(|count| *count += 1);
    }

    /// How often that was asked.
    pub fn upstreams_wanted(&self) -> u64 {
        *self.upstreams_wanted.borrow()
    }

    /// Waits until it was asked more often than `count` times.
    pub async fn until_upstreams_wanted(&self, count: u64) {
        let mut wanted = self.upstreams_wanted.subscribe();
        // The sender is borrowed for the wait, so it cannot be gone.
        let _wanted = wanted.wait_for(|asked| *asked > count).await;
    }

    /// Waits until it is asked.
    pub async fn until_poll_asked(&self) {
        until_next(&self.polls).await;
    }
}

/// Waits until a count goes up.
async fn until_next(count: &watch::Sender<u64>) {
    let mut counts = count.subscribe();
    // The sender is borrowed for the wait, so it cannot be gone.
    let _changed = counts.changed().await;
}
