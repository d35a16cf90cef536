use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::FutureExt;
use prometheus::Opts;

use super::*;
use crate::clock::TimeSource;

/// Time source that advances only on demand.
#[derive(Default)]
struct ManualTimeSource(AtomicU64);

impl TimeSource for ManualTimeSource {
    fn elapsed(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed))
    }
}

const READER: ReaderLimits = ReaderLimits {
    slow_after_ms: 100,
    idle_timeout_ms: 60_000,
};

// Guards against looking through all readers for each wait of each answer while the total is used up.
#[test]
fn a_wait_for_room_ends_no_reader_but_the_sweep_does() {
    let time = Arc::new(ManualTimeSource::default());
    let clock = Clock::with_source(time.clone());
    let log = Log::start_on(clock.clone(), io::sink()).expect("a thread can be started");
    let ended = IntCounterVec::new(Opts::new("ended", "Ended readers"), &["reason"]);
    let ended = ended.expect("the metric is valid");
    let buffers = Arc::new(RelayBuffers::new(1, true, clock, log, ended.clone()));
    let ended = || ended.with_label_values(&["total_used_up"]).get();
    let slow = buffers.open(READER, None, None);
    let answer = Bytes::from(vec![b'x'; 300_000]);
    slow.receive(answer.len());
    let unread = slow.deliver(answer);
    time.0.store(500, Ordering::Relaxed);
    let other = buffers.open(READER, None, None);
    let deadline = Instant::now() + Duration::from_secs(60);
    let mut plain = Box::pin(other.wait_for_room());
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_time().build();
    let runtime = runtime.expect("a runtime can be built");
    let _entered = runtime.enter();
    let mut stream = Box::pin(other.wait_for_stream_room(deadline));
    assert!((&mut plain).now_or_never().is_none());
    assert!((&mut stream).now_or_never().is_none());
    assert_eq!(ended(), 0);
    buffers.sweep();
    assert_eq!(ended(), 1);
    drop(unread);
    assert!((&mut plain).now_or_never().is_some());
    assert_eq!((&mut stream).now_or_never(), Some(Ok(())));
}
