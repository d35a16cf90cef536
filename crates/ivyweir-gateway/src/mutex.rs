//! Locks that stay usable after a panic.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also if an earlier holder panicked: its task is restarted, or its request fails, but all other tasks and
/// requests need the state behind the lock too.
pub fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
