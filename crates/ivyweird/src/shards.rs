//! Sharded state, with one lock per shard.

use std::sync::{Mutex, MutexGuard};

use ivyweir_policy::hash::hash64;

const SHARD_COUNT: usize = 16;

/// One value per shard. A key always maps to the same shard.
#[derive(Debug)]
pub struct Shards<T> {
    shards: Vec<Mutex<T>>,
}

impl<T> Shards<T> {
    /// Creates the shards, each with a value returned by `init`.
    pub fn new(init: impl Fn() -> T) -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(|_| Mutex::new(init())).collect(),
        }
    }

    /// Locks the shard of a key.
    pub fn lock_for(&self, key: &str) -> MutexGuard<'_, T> {
        let index = hash64(&[key.as_bytes()]) as usize % SHARD_COUNT;
        lock(&self.shards[index])
    }

    /// Iterates over all shards, locking one at a time.
    pub fn iter(&self) -> impl Iterator<Item = MutexGuard<'_, T>> {
        self.shards.iter().map(lock)
    }
}

/// Locks a mutex.
///
/// # Panics
///
/// If a thread panicked while it held the lock. An invariant is then broken, so this thread must not
/// continue.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("no thread panics while it holds the lock")
}
