//! Helpers for child processes.

use std::process::Child;
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which the exit status of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits for a process to exit and returns its exit code.
///
/// Returns `None` if the process was ended by a signal or is still running after `timeout`.
pub(crate) fn wait_exit(child: &mut Child, timeout: Duration) -> Option<i32> {
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if let Ok(Some(status)) = child.try_wait() {
            return status.code();
        }
        thread::sleep(POLL_INTERVAL);
    }
    None
}

/// Kills a process with `SIGKILL` and reaps it.
pub(crate) fn kill(child: &mut Child) {
    let _already_exited = child.kill();
    let _exit_status = child.wait();
}
