//! Supervision of background tasks: a task that ends is restarted, logged, counted and shown at the readiness page.

use std::any::Any;
use std::collections::BTreeMap;
use std::future::Future;
use std::panic::{self, AssertUnwindSafe};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::FutureExt;
use prometheus::IntCounterVec;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::log::Log;
use crate::mutex::lock;

/// Delay before a task is restarted, which doubles with each end up to a maximum.
const MIN_RESTART_DELAY: Duration = Duration::from_millis(50);
const MAX_RESTART_DELAY: Duration = Duration::from_secs(5);
/// Time after which a task counts as running well, so that its next restart is not delayed for earlier ends.
const STABLE_AFTER: Duration = Duration::from_secs(60);

/// Whether a box can serve callers without a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskRole {
    /// Callers are better served by another box.
    Serving,
    /// Callers are served as before.
    Auxiliary,
}

/// Restarts background tasks.
#[derive(Debug, Clone)]
pub struct Supervisor {
    /// Tasks that have ended and are not restarted yet.
    ended: Arc<Mutex<BTreeMap<&'static str, TaskRole>>>,
    log: Log,
    ends: IntCounterVec,
}

impl Supervisor {
    /// Creates a supervisor; `ends` counts ends by task.
    pub fn new(log: Log, ends: IntCounterVec) -> Self {
        Self {
            ended: Arc::default(),
            log,
            ends,
        }
    }

    /// Runs the task that `start` creates for the lifetime of the process. It is not expected to end.
    pub fn spawn<F>(
        &self,
        task: &'static str,
        role: TaskRole,
        mut start: impl FnMut() -> F + Send + 'static,
    ) -> JoinHandle<()>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let supervisor = self.clone();
        tokio::spawn(async move {
            let mut delay = MIN_RESTART_DELAY;
            loop {
                let started_at = Instant::now();
                let end = AssertUnwindSafe(async { start().await })
                    .catch_unwind()
                    .await;
                if started_at.elapsed() >= STABLE_AFTER {
                    delay = MIN_RESTART_DELAY;
                }
                supervisor.record_end(task, role, end, delay);
                sleep(delay).await;
                delay = (delay * 2).min(MAX_RESTART_DELAY);
                lock(&supervisor.ended).remove(task);
            }
        })
    }

    /// Whether all tasks run without which callers are better served by another box.
    pub fn is_serving(&self) -> bool {
        let ended = lock(&self.ended);
        !ended.values().any(|role| *role == TaskRole::Serving)
    }

    /// Names of the tasks that have ended and are not restarted yet.
    pub fn ended_tasks(&self) -> Vec<&'static str> {
        lock(&self.ended).keys().copied().collect()
    }

    fn record_end(
        &self,
        task: &'static str,
        role: TaskRole,
        end: Result<(), Box<dyn Any + Send>>,
        delay: Duration,
    ) {
        lock(&self.ended).insert(task, role);
        self.ends.with_label_values(&[task]).inc();
        let cause = match &end {
            Ok(()) => "returned",
            Err(panic) => panic_message(&**panic),
        };
        let detail = json!({
            "task": task, "cause": cause, "restart_after_ms": delay.as_millis() as u64,
        });
        self.log.line("task_ended", detail);
    }
}

/// Logs each panic of the process with its place in the source, besides what is written to standard error.
pub fn log_panics(log: Log) {
    let write_to_stderr = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let place = info.location().map(ToString::to_string);
        let detail = json!({"message": panic_message(info.payload()), "place": place});
        log.line("panicked", detail);
        write_to_stderr(info);
    }));
}

/// Returns the message of a panic.
pub fn panic_message(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<&'static str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("panicked")
}

#[cfg(test)]
mod tests;
