//! Processes that stand-ins start.

use std::process::Child;
use std::thread;
use std::time::{Duration, Instant};

/// How often the end of a process is looked for.
const POLL: Duration = Duration::from_millis(10);

/// Waits until a process has ended and returns its exit code; none if that takes over `limit`.
pub(crate) fn wait_exit(child: &mut Child, limit: Duration) -> Option<i32> {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if let Ok(Some(status)) = child.try_wait() {
            return status.code();
        }
        thread::sleep(POLL);
    }
    None
}

/// Kills a process at once.
pub(crate) fn kill(child: &mut Child) {
    let _already_gone = child.kill();
    let _reaped = child.wait();
}
