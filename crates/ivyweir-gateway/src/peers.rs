//! Boxes among themselves: who they are, who is their hall's relay, and what they told.
//!
//! One box of each hall, its relay, watches the store; the others of the hall ask the relay. So the
//! calls to the store grow with halls, not with boxes. Every box tells its relay its work under way
//! and its counts of a roll-out's answers, and hears the fleet's; relays tell each other the sums
//! of their halls. A box whose relay fails asks the store itself.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

use ivyweir_policy::Name;
use ivyweir_policy::gateway::hall::{Shunned, relay_of};
use ivyweir_policy::gateway::word::{OthersWords, Word};
use tokio::sync::watch;

use crate::clock::Clock;
use crate::dialect::BoxRecord;

/// What a box knows of others.
#[derive(Debug, Default)]
pub struct Peers {
    losses: watch::Sender<u64>,
    boxes: Mutex<HashMap<Name, BoxRecord>>,
    shunned: Mutex<Shunned>,
    others_words: Mutex<OthersWords>,
}

impl Peers {
    /// Takes in the boxes that the store lists.
    pub fn replace(&self, records: Vec<BoxRecord>) {
        let by_name = records.into_iter().map(|r| (r.name.clone(), r));
        *lock(&self.boxes) = by_name.collect();
    }

    /// Takes in that a box did not answer as it should.
    pub fn failed(&self, name: &Name, now_ms: u64) {
        lock(&self.shunned).failed(name, now_ms);
        self.losses.send_modify(|count| *count += 1);
    }

    /// Waits until a box is left alone because it did not answer somebody.
    pub async fn lost(&self, name: &Name, clock: Clock) {
        let mut losses = self.losses.subscribe();
        while !lock(&self.shunned).contains(name, clock.now_ms()) {
            // The sender lives as long as the box's state.
            let _changed = losses.changed().await;
        }
    }

    /// Takes in that a box answered.
    pub fn answered(&self, name: &Name) {
        lock(&self.shunned).answered(name);
    }

    /// The relay of a hall, unless it is the box `me` itself.
    pub fn relay(&self, hall: &str, me: &Name, now_ms: u64) -> Option<BoxRecord> {
        let boxes = lock(&self.boxes);
        let shunned = lock(&self.shunned);
        let usable = boxes
            .values()
            .filter(|b| &*b.hall == hall)
            .map(|b| &b.name)
            .filter(|name| *name == me || !shunned.contains(name, now_ms));
        let relay = relay_of(hall, usable)?;
        (relay != me).then(|| boxes[relay].clone())
    }

    /// Halls that have boxes.
    pub fn halls(&self) -> Vec<Name> {
        let boxes = lock(&self.boxes);
        let mut halls: Vec<Name> = boxes.values().map(|b| b.hall.clone()).collect();
        halls.sort();
        halls.dedup();
        halls
    }

    /// Takes in what a box, or a relay for several boxes, told.
    pub fn told(&self, from: &Name, word: Word, now_ms: u64) {
        lock(&self.others_words).put(from, word, now_ms);
    }

    /// What boxes other than `except` told lately.
    pub fn words_except(&self, except: impl Fn(&str) -> bool, now_ms: u64) -> Word {
        lock(&self.others_words).sum_except(except, now_ms)
    }

    /// Whether a box is of this hall, as far as is known.
    pub fn is_of_hall(&self, name: &str, hall: &str) -> bool {
        lock(&self.boxes)
            .get(name)
            .is_some_and(|b| &*b.hall == hall)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("invariant: no holder panics")
}
