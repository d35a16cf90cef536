//! Decision log: JSON lines on standard output, bounded and non-blocking.
//!
//! Lines go through a bounded queue to one writer thread. Lines that do not fit are dropped and
//! counted, and the log reports their number. The lines of a request are buffered and written when
//! it ends, up to a number of requests per second that is larger for failed requests. So a request
//! is logged either completely or not at all, unless the queue is full. A line says how many failed
//! requests were left out.

use std::io::Write;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use ivyweir_policy::gateway::quarantine::Fingerprint;
use serde_json::{Map, Value, json};

use crate::clock::{Clock, epoch_ms};
use crate::mutex::lock;

/// Maximum number of lines queued for the writer.
const QUEUE_CAPACITY: usize = 2_048;
/// Maximum size of all lines that are queued or being written. A line may quote what a caller sent.
const MAX_QUEUED_BYTES: usize = 2 << 20;
/// Delay before the writer writes a batch, which limits how often it wakes up.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Time for which the exit of the process waits for the writer.
const FLUSH_LIMIT: Duration = Duration::from_millis(100);
/// Maximum number of requests without failure logged per second.
const SUCCEEDED_PER_S: u32 = 20;
/// Maximum number of failed requests logged per second.
const FAILED_PER_S: u32 = 100;
const WRITER_STACK_BYTES: usize = 64 << 10;

/// Handle to the decision log.
#[derive(Debug, Clone)]
pub struct Log {
    queue: Sender<String>,
    /// Asks the writer to write all lines at once and to confirm it.
    flush: Sender<Sender<()>>,
    queued_bytes: Arc<AtomicUsize>,
    clock: Clock,
    dropped: Arc<AtomicU64>,
    sampled: Arc<Mutex<SampleCounts>>,
}

/// Requests that ended in the current second.
#[derive(Debug, Default)]
struct SampleCounts {
    second: u64,
    succeeded: u32,
    failed: u32,
}

impl Log {
    /// Starts the writer thread on standard output.
    ///
    /// # Errors
    ///
    /// When no thread can be made.
    pub fn start(clock: Clock) -> std::io::Result<Self> {
        Self::start_on(clock, std::io::stdout())
    }

    /// Starts the writer thread on `out`.
    ///
    /// # Errors
    ///
    /// When no thread can be made.
    pub fn start_on(clock: Clock, out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (queue, lines) = bounded(QUEUE_CAPACITY);
        let (flush, flushes) = bounded(1);
        let log = Self {
            queue,
            flush,
            queued_bytes: Arc::default(),
            clock,
            dropped: Arc::default(),
            sampled: Arc::default(),
        };
        let dropped = log.dropped.clone();
        let queued_bytes = log.queued_bytes.clone();
        thread::Builder::new()
            .name("log".into())
            .stack_size(WRITER_STACK_BYTES)
            .spawn(move || write_lines(&lines, &flushes, &dropped, &queued_bytes, out))?;
        Ok(log)
    }

    /// Writes a line that belongs to no request.
    pub fn line(&self, event: &str, detail: Value) {
        self.write(self.clock.now_ms(), event, None, detail);
    }

    /// Number of lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits a limited time until the writer has written all lines, at the exit of the process.
    pub fn finish(&self) {
        let ended = std::mem::take(&mut *self.counts());
        self.report_left_out(&ended);
        let (confirm, confirmed) = bounded(1);
        if self.flush.send_timeout(confirm, FLUSH_LIMIT).is_ok() {
            // A reader that has stopped reading is not waited for.
            let _confirmed = confirmed.recv_timeout(FLUSH_LIMIT);
        }
    }

    fn write(&self, at_ms: u64, event: &str, request_id: Option<&str>, detail: Value) {
        let mut line = Map::new();
        // The lines of a request are written when it ends, but keep the time of their step.
        let ago_ms = self.clock.now_ms().saturating_sub(at_ms);
        line.insert("epoch_ms".into(), epoch_ms().saturating_sub(ago_ms).into());
        line.insert("at_ms".into(), at_ms.into());
        line.insert("event".into(), event.into());
        if let Some(id) = request_id {
            line.insert("request_id".into(), id.into());
        }
        if let Value::Object(detail) = detail {
            line.extend(detail);
        }
        if !self.enqueue(Value::Object(line).to_string()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Queues a line for the writer, if there is room for it.
    fn enqueue(&self, line: String) -> bool {
        let bytes = line.len();
        let queued = self.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        let is_queued = queued + bytes <= MAX_QUEUED_BYTES && self.queue.try_send(line).is_ok();
        if !is_queued {
            self.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
        }
        is_queued
    }

    fn is_sampled(&self, failed: bool) -> bool {
        let second = self.clock.now_ms() / 1_000;
        let mut ended = None;
        let mut counts = self.counts();
        if counts.second != second {
            let next = SampleCounts {
                second,
                ..SampleCounts::default()
            };
            ended = Some(std::mem::replace(&mut *counts, next));
        }
        let (count, limit) = if failed {
            (&mut counts.failed, FAILED_PER_S)
        } else {
            (&mut counts.succeeded, SUCCEEDED_PER_S)
        };
        *count += 1;
        let is_within_limit = *count <= limit;
        drop(counts);
        if let Some(ended) = ended {
            self.report_left_out(&ended);
        }
        is_within_limit
    }

    fn counts(&self) -> MutexGuard<'_, SampleCounts> {
        lock(&self.sampled)
    }

    fn report_left_out(&self, ended: &SampleCounts) {
        let failed = ended.failed.saturating_sub(FAILED_PER_S);
        if failed > 0 {
            let detail = json!({"failed": failed, "second": ended.second});
            self.line("requests_left_out", detail);
        }
    }
}

fn write_lines(
    lines: &Receiver<String>,
    flushes: &Receiver<Sender<()>>,
    dropped: &AtomicU64,
    queued_bytes: &AtomicUsize,
    mut out: impl Write,
) {
    let mut reported = 0;
    loop {
        let (first, flush) = crossbeam::select! {
            recv(lines) -> line => match line {
                Ok(line) => (Some(line), flushes.recv_timeout(BATCH_DELAY).ok()),
                Err(_) => return,
            },
            recv(flushes) -> flush => match flush {
                Ok(flush) => (None, Some(flush)),
                Err(_) => return,
            },
        };
        let mut text = String::new();
        let mut taken_bytes = 0;
        for line in first.into_iter().chain(lines.try_iter()) {
            taken_bytes += line.len();
            text.push_str(&line);
            text.push('\n');
        }
        let total = dropped.load(Ordering::Relaxed);
        if total > reported {
            let lost = total - reported;
            text.push_str(&format!(
                "{{\"event\":\"log_lines_dropped\",\"lines\":{lost}}}\n"
            ));
            reported = total;
        }
        // If the reader has closed the pipe, only the log is lost; the process goes on.
        let _ignored = out.write_all(text.as_bytes());
        let _ignored = out.flush();
        queued_bytes.fetch_sub(taken_bytes, Ordering::Relaxed);
        if let Some(flush) = flush {
            // Fails only if nobody waits any more.
            let _ignored = flush.send(());
        }
    }
}

/// Fingerprints as texts for a log line.
pub fn fingerprint_texts<'a>(
    fingerprints: impl IntoIterator<Item = &'a Fingerprint>,
) -> Vec<String> {
    fingerprints
        .into_iter()
        .map(Fingerprint::to_string)
        .collect()
}

/// Buffered lines of one request, written or discarded when it ends.
#[derive(Debug)]
pub struct Trace {
    log: Log,
    request_id: Arc<str>,
    steps: Vec<(u64, &'static str, Value)>,
    failed: bool,
}

impl Trace {
    /// Creates the buffer of a request.
    pub fn new(log: Log, request_id: Arc<str>) -> Self {
        Self {
            log,
            request_id,
            steps: Vec::new(),
            failed: false,
        }
    }

    /// Id of the request.
    pub fn request_id(&self) -> Arc<str> {
        self.request_id.clone()
    }

    pub fn step(&mut self, event: &'static str, detail: Value) {
        self.steps.push((self.log.clock.now_ms(), event, detail));
    }

    /// Adds a line about a failure and marks the request as failed.
    pub fn fail(&mut self, event: &'static str, detail: Value) {
        self.failed = true;
        self.step(event, detail);
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        if !self.log.is_sampled(self.failed) {
            return;
        }
        for (at_ms, event, detail) in self.steps.drain(..) {
            self.log.write(at_ms, event, Some(&self.request_id), detail);
        }
    }
}

#[cfg(test)]
mod tests;
