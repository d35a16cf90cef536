//! Upstreams that were heard to leave before the registry said so, for other boxes to know.
//!
//! An upstream whose record cannot be written tells it only to the boxes that ask it. Each box tells the others for a while what it
//! heard, from an upstream or from a box, so that relays pass it on; whoever hears it once more does nothing.

use std::collections::VecDeque;

use crate::Name;

/// Time for which a departure is told: some 16 rounds at the slowest rate at which boxes talk, over three boxes in a row.
const TOLD_FOR_MS: u64 = 10_000;
/// Departures that are told at once, some 25 bytes each: 6 KB a message when more than so many leave within 10 s. The oldest
/// give way; the registry tells of them too.
const TOLD_AT_ONCE: usize = 256;

/// Departures that a box heard lately, each by incarnation.
#[derive(Debug, Default)]
pub struct Departures {
    /// Oldest first, with when it was heard.
    heard: VecDeque<(Name, u64)>,
}

impl Departures {
    /// Takes in that this incarnation leaves; it is new to this box.
    pub fn note(&mut self, id: &Name, now_ms: u64) {
        self.forget(now_ms);
        if self.heard.len() >= TOLD_AT_ONCE {
            self.heard.pop_front();
        }
        self.heard.push_back((id.clone(), now_ms));
    }

    /// What is to be told now.
    pub fn told(&mut self, now_ms: u64) -> Vec<Name> {
        self.forget(now_ms);
        self.heard.iter().map(|(id, _)| id.clone()).collect()
    }

    fn forget(&mut self, now_ms: u64) {
        let is_old = |at_ms: u64| at_ms.saturating_add(TOLD_FOR_MS) <= now_ms;
        while self.heard.front().is_some_and(|(_, at)| is_old(*at)) {
            self.heard.pop_front();
        }
    }
}
