//! Loopback addresses for test servers.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of values used per address byte. Two bytes encode the process id modulo 62 500; a process id
/// has up to 22 bits, so two processes can share them. A process has this many addresses and then
/// starts again with the first.
const BYTE_VALUES: u64 = 250;

/// Returns a loopback address that other processes are unlikely to use.
///
/// A server on a shared address can be assigned the port of a process that has exited, and then
/// receives requests from clients that still call that process.
pub(crate) fn unique_ip() -> Ipv4Addr {
    static NEXT_ADDRESS: AtomicU64 = AtomicU64::new(0);
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let process = u64::from(std::process::id());
    let byte = |value: u64| (value % BYTE_VALUES) as u8;
    Ipv4Addr::new(
        127,
        1 + byte(process / BYTE_VALUES),
        byte(process),
        1 + byte(number),
    )
}
