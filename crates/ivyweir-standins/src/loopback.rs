//! Addresses of loopback.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU64, Ordering};

/// Addresses of one process behind its first; a process number has 22 bits at the most.
const PARTS: u64 = 250;

/// An address that few others have: what listens there is not found by callers of a process that ended and whose port was
/// given away again.
pub(crate) fn unique_ip() -> Ipv4Addr {
    static GIVEN: AtomicU64 = AtomicU64::new(0);
    let number = GIVEN.fetch_add(1, Ordering::Relaxed);
    let process = u64::from(std::process::id());
    let part = |of: u64| (of % PARTS) as u8;
    Ipv4Addr::new(
        127,
        1 + part(process / PARTS),
        part(process),
        1 + part(number),
    )
}
