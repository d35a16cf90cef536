//! Which box of a hall follows the store for the others, and what boxes tell each other.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::gateway::verdict::{Tally, add_tally};
use crate::rank::hash64;

/// First pause after a box did not answer; doubles with each further time.
const SHUN_FIRST_MS: u64 = 1_500;
/// Longest such pause.
const SHUN_MAX_MS: u64 = 12_000;

/// Boxes that did not answer.
#[derive(Debug, Default)]
pub struct Shunned {
    boxes: HashMap<Name, Shun>,
}

#[derive(Debug, Clone, Copy)]
struct Shun {
    failures: u32,
    until_ms: u64,
}

impl Shunned {
    /// Takes in that a box did not answer as it should.
    pub fn failed(&mut self, name: &Name, now_ms: u64) {
        let shun = self.boxes.entry(name.clone()).or_insert(Shun {
            failures: 0,
            until_ms: 0,
        });
        let pause_ms = (SHUN_FIRST_MS << shun.failures.min(8)).min(SHUN_MAX_MS);
        shun.failures += 1;
        shun.until_ms = now_ms + pause_ms;
    }

    /// Takes in that a box answered.
    pub fn answered(&mut self, name: &Name) {
        self.boxes.remove(name);
    }

    /// Whether a box is left alone for now.
    pub fn contains(&self, name: &str, now_ms: u64) -> bool {
        self.boxes
            .get(name)
            .is_some_and(|shun| now_ms < shun.until_ms)
    }
}

/// The box among `names` that follows the store for `hall`; all boxes of the hall agree.
pub fn relay_of<'a>(hall: &str, names: impl Iterator<Item = &'a Name>) -> Option<&'a Name> {
    names.max_by_key(|name| hash64(&[hall.as_bytes(), name.as_bytes()]))
}

/// Work under way, by upstream.
pub type Work = HashMap<Name, f64>;

/// What a box, or several together, have to tell.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Word {
    /// Work under way, in milliseconds of an upstream's time.
    pub work: Work,
    /// Counts of answers, by the pool whose roll-out is under way.
    pub tallies: HashMap<Name, Tally>,
}

impl Word {
    /// Adds another's.
    pub fn add(&mut self, more: &Self) {
        for (upstream, work) in &more.work {
            *self.work.entry(upstream.clone()).or_default() += work;
        }
        for (pool, tally) in &more.tallies {
            add_tally(self.tallies.entry(pool.clone()).or_default(), tally);
        }
    }
}

/// What a box was told by others, by who told it.
#[derive(Debug, Default)]
pub struct OthersWords {
    told: HashMap<Name, Told>,
}

#[derive(Debug)]
struct Told {
    word: Word,
    at_ms: u64,
}

/// Age at which what was told says nothing any more.
const TOLD_MAX_AGE_MS: u64 = 1_200;

impl OthersWords {
    /// Takes in what a box, or a relay for several boxes, told.
    pub fn put(&mut self, from: &Name, word: Word, now_ms: u64) {
        self.told.insert(
            from.clone(),
            Told {
                word,
                at_ms: now_ms,
            },
        );
        self.told
            .retain(|_, told| told.at_ms + TOLD_MAX_AGE_MS > now_ms);
    }

    /// The sum of what others than `except` told lately.
    pub fn sum_except(&self, except: impl Fn(&str) -> bool, now_ms: u64) -> Word {
        let mut sum = Word::default();
        let fresh = |told: &&Told| told.at_ms + TOLD_MAX_AGE_MS > now_ms;
        let told = self.told.iter().filter(|(from, _)| !except(from));
        for told in told.map(|(_, told)| told).filter(fresh) {
            sum.add(&told.word);
        }
        sum
    }
}

/// A message from a box to its relay, or between relays.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WordMessage {
    /// The sender.
    pub from: Name,
    /// Whether it speaks for its whole hall.
    pub for_hall: bool,
    /// What it has to tell.
    pub word: Word,
}
