use std::io;
use std::sync::mpsc;

use super::*;

/// Output that nobody reads until the sender is dropped.
struct Unread(mpsc::Receiver<()>);

impl Write for Unread {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The sender never sends; it is dropped at the end.
        let _dropped = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// Guards against long lines that fill the memory of a box while nobody reads its log.
#[test]
fn lines_that_nobody_reads_are_bounded_by_their_size() {
    const LINES: u64 = 1_500;
    let (unblock, blocked) = mpsc::channel();
    let log = Log::start_on(Clock::start(), Unread(blocked)).expect("a thread can be started");
    let path = "x".repeat(30_000);
    for _ in 0..LINES {
        log.line("refused", json!({"path": path}));
    }
    let queued = log.queued_bytes.load(Ordering::Relaxed);
    assert!(queued <= MAX_QUEUED_BYTES, "{queued} bytes");
    assert!(queued > MAX_QUEUED_BYTES / 2, "{queued} bytes");
    assert!(
        log.dropped() > LINES / 2,
        "{} lines are dropped",
        log.dropped()
    );
    drop(unblock);
    log.finish();
    assert_eq!(log.queued_bytes.load(Ordering::Relaxed), 0);
}
