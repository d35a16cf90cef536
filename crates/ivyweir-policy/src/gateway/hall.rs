//! Which box of a hall, its relay, follows the store for the others.

use std::collections::HashMap;

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
