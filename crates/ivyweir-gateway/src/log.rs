//! The decision log: JSON lines on standard output, bounded and never waited for.
//!
//! Lines go through a bounded queue to one writer thread. What does not fit is dropped, counted,
//! and told in the log itself. The lines of a request are gathered and written when it ends: always
//! for a request that failed, and for others up to a number a second. So a request has either all
//! its lines or none.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use serde_json::{Map, Value};

use crate::clock::{Clock, epoch_ms};

/// Lines that wait for the writer.
const QUEUE_LINES: usize = 2_048;
/// Time for which the writer lets lines gather, so that it wakes seldom.
const GATHER: Duration = Duration::from_millis(100);
/// Requests without failure whose lines are kept, a second.
const ROUTINE_PER_S: u32 = 20;
/// Requests with a failure whose lines are kept, a second.
const FAILED_PER_S: u32 = 100;
const WRITER_STACK_BYTES: usize = 64 << 10;

/// Writes decisions.
#[derive(Debug, Clone)]
pub struct Log {
    queue: Sender<String>,
    clock: Clock,
    dropped: Arc<AtomicU64>,
    kept: Arc<Mutex<Kept>>,
}

#[derive(Debug, Default)]
struct Kept {
    second: u64,
    routine: u32,
    failed: u32,
}

impl Log {
    /// Starts the writer on standard output.
    ///
    /// # Errors
    ///
    /// When no thread can be made.
    pub fn start(clock: Clock) -> std::io::Result<Self> {
        Self::start_on(clock, std::io::stdout())
    }

    /// Starts the writer on `out`.
    ///
    /// # Errors
    ///
    /// When no thread can be made.
    pub fn start_on(clock: Clock, out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (queue, lines) = bounded(QUEUE_LINES);
        let log = Self {
            queue,
            clock,
            dropped: Arc::default(),
            kept: Arc::default(),
        };
        let dropped = log.dropped.clone();
        thread::Builder::new()
            .name("log".into())
            .stack_size(WRITER_STACK_BYTES)
            .spawn(move || write_lines(&lines, &dropped, out))?;
        Ok(log)
    }

    /// Writes a line about what the process believes.
    pub fn line(&self, event: &str, detail: Value) {
        self.write(self.clock.now_ms(), event, None, detail);
    }

    /// Lines that were dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits a moment for the writer, at the end of the process.
    pub fn finish(&self) {
        const TRIES: u32 = 5;
        for _ in 0..TRIES {
            if self.queue.is_empty() {
                break;
            }
            thread::sleep(GATHER);
        }
        thread::sleep(GATHER);
    }

    fn write(&self, at_ms: u64, event: &str, request_id: Option<&str>, detail: Value) {
        let mut line = Map::new();
        // Lines of a request are written when it ends; each tells when its step was.
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
        if self
            .queue
            .try_send(Value::Object(line).to_string())
            .is_err()
        {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn keeps(&self, failed: bool) -> bool {
        let second = self.clock.now_ms() / 1_000;
        let mut kept = self.kept.lock().expect("invariant: no holder panics");
        if kept.second != second {
            *kept = Kept {
                second,
                ..Kept::default()
            };
        }
        let (count, limit) = if failed {
            (&mut kept.failed, FAILED_PER_S)
        } else {
            (&mut kept.routine, ROUTINE_PER_S)
        };
        *count += 1;
        *count <= limit
    }
}

fn write_lines(lines: &Receiver<String>, dropped: &AtomicU64, mut out: impl Write) {
    let mut told = 0;
    while let Ok(first) = lines.recv() {
        thread::sleep(GATHER);
        let mut text = first;
        text.push('\n');
        for line in lines.try_iter() {
            text.push_str(&line);
            text.push('\n');
        }
        let now = dropped.load(Ordering::Relaxed);
        if now > told {
            let lost = now - told;
            text.push_str(&format!(
                "{{\"event\":\"log_lines_dropped\",\"lines\":{lost}}}\n"
            ));
            told = now;
        }
        // A reader that is gone ends the log, not the process.
        let _reader_gone = out.write_all(text.as_bytes());
        let _reader_gone = out.flush();
    }
}

/// The lines of one request, until it ends.
#[derive(Debug)]
pub struct Trace {
    log: Log,
    request_id: Arc<str>,
    steps: Vec<(u64, &'static str, Value)>,
    failed: bool,
}

impl Trace {
    /// Starts the lines of a request.
    pub fn new(log: Log, request_id: Arc<str>) -> Self {
        Self {
            log,
            request_id,
            steps: Vec::new(),
            failed: false,
        }
    }

    /// Adds a line.
    pub fn step(&mut self, event: &'static str, detail: Value) {
        self.steps.push((self.log.clock.now_ms(), event, detail));
    }

    /// Adds a line about a failure; the request's lines are kept.
    pub fn fail(&mut self, event: &'static str, detail: Value) {
        self.failed = true;
        self.step(event, detail);
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        if !self.log.keeps(self.failed) {
            return;
        }
        for (at_ms, event, detail) in self.steps.drain(..) {
            self.log.write(at_ms, event, Some(&self.request_id), detail);
        }
    }
}
