//! Which box of a hall follows the store for the others, and what boxes tell each other of their load.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::Name;
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

/// What a box knows of others' work, by who told it.
#[derive(Debug, Default)]
pub struct OthersWork {
    told: HashMap<Name, Told>,
}

#[derive(Debug)]
struct Told {
    work: Work,
    at_ms: u64,
}

/// Age at which what was told says nothing any more.
const TOLD_MAX_AGE_MS: u64 = 1_200;

impl OthersWork {
    /// Takes in what a box, or a relay for several boxes, told.
    pub fn put(&mut self, from: &Name, work: Work, now_ms: u64) {
        self.told.insert(
            from.clone(),
            Told {
                work,
                at_ms: now_ms,
            },
        );
        self.told
            .retain(|_, told| told.at_ms + TOLD_MAX_AGE_MS > now_ms);
    }

    /// The sum of what others than `except` told lately.
    pub fn sum_except(&self, except: impl Fn(&str) -> bool, now_ms: u64) -> Work {
        let mut sum = Work::new();
        let fresh = |told: &&Told| told.at_ms + TOLD_MAX_AGE_MS > now_ms;
        let told = self.told.iter().filter(|(from, _)| !except(from));
        for told in told.map(|(_, told)| told).filter(fresh) {
            for (upstream, work) in &told.work {
                *sum.entry(upstream.clone()).or_default() += work;
            }
        }
        sum
    }
}

/// A box's word on work, to its relay or between relays.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkMessage {
    /// The sender.
    pub from: Name,
    /// Whether it speaks for its whole hall.
    pub for_hall: bool,
    /// Work under way, in thousandths of a second of an upstream's time.
    pub work: HashMap<Name, f64>,
}

/// Adds work to other work.
pub fn add(to: &mut Work, more: &Work) {
    for (upstream, work) in more {
        *to.entry(upstream.clone()).or_default() += work;
    }
}
