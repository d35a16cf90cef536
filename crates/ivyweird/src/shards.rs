//! State in shards, each under its own lock.

use std::sync::{Mutex, MutexGuard};

use ivyweir_policy::hash::hash64;

const COUNT: usize = 16;

/// A value per shard; a key always meets the same one.
#[derive(Debug)]
pub struct Shards<T> {
    shards: Vec<Mutex<T>>,
}

impl<T> Shards<T> {
    /// Shards that each start with a value of their own.
    pub fn new(make: impl Fn() -> T) -> Self {
        Self {
            shards: (0..COUNT).map(|_| Mutex::new(make())).collect(),
        }
    }

    /// The shard of a key.
    pub fn of(&self, key: &str) -> MutexGuard<'_, T> {
        let at = hash64(&[key.as_bytes()]) as usize % COUNT;
        lock(&self.shards[at])
    }

    /// All shards, one after the other.
    pub fn iter(&self) -> impl Iterator<Item = MutexGuard<'_, T>> {
        self.shards.iter().map(lock)
    }
}

/// Locks; a thread that panicked with the lock broke an invariant, which stops this one too.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panicked with the lock")
}
