//! What boxes tell each other: their work under way, their counts of a roll-out's answers, and how often they
//! sent requests again.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::gateway::canary::{Tally, add_tally};
use crate::gateway::duty::usage::UsageNews;
use crate::gateway::quarantine::LedgerUpdate;
use crate::gateway::rate_limit::LimitUpdate;
use crate::gateway::repeat::RepeatCounts;

/// Age at which what was told says nothing any more.
const TOLD_MAX_AGE_MS: u64 = 1_200;

/// Work under way, by upstream.
pub type Work = HashMap<Name, f64>;

/// Requests and repeats, by pool.
pub type Repeats = HashMap<Name, RepeatCounts>;

/// Requests under way, by pool.
pub type Running = HashMap<Name, u32>;

/// Adds counts of repeats to others.
pub fn add_repeats(to: &mut Repeats, more: &Repeats) {
    for (pool, counts) in more {
        to.entry(pool.clone()).or_default().add(*counts);
    }
}

/// What a box, or several together, have to tell.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Word {
    /// Work under way, in milliseconds of an upstream's time.
    pub work: Work,
    /// Counts of answers, by the pool whose roll-out is under way.
    pub tallies: HashMap<Name, Tally>,
    /// Requests and repeats of the last seconds, by pool.
    #[serde(default)]
    pub repeats: Repeats,
    /// Requests under way, by pool, where upstreams are ordered by them.
    #[serde(default, skip_serializing_if = "HashMap::is_empty")]
    pub running: Running,
}

impl Word {
    /// Adds another's.
    pub fn add(&mut self, more: &Self) {
        add_work(&mut self.work, &more.work);
        add_tallies(&mut self.tallies, &more.tallies);
        add_repeats(&mut self.repeats, &more.repeats);
        for (pool, running) in &more.running {
            *self.running.entry(pool.clone()).or_default() += running;
        }
    }
}

/// Adds work to other work.
pub fn add_work(to: &mut Work, more: &Work) {
    for (upstream, work_ms) in more {
        *to.entry(upstream.clone()).or_default() += work_ms;
    }
}

/// Adds counts of several pools to others.
pub fn add_tallies(to: &mut HashMap<Name, Tally>, more: &HashMap<Name, Tally>) {
    for (pool, tally) in more {
        add_tally(to.entry(pool.clone()).or_default(), tally);
    }
}

/// Takes work that a box told itself off the work of all.
pub fn without(mut all: Work, own: &Work) -> Work {
    for (upstream, own_ms) in own {
        if let Some(work_ms) = all.get_mut(upstream) {
            *work_ms = (*work_ms - own_ms).max(0.0);
        }
    }
    all
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

impl Told {
    fn is_fresh(&self, now_ms: u64) -> bool {
        self.at_ms + TOLD_MAX_AGE_MS > now_ms
    }
}

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
        self.told.retain(|_, told| told.is_fresh(now_ms));
    }

    /// Who told anything lately.
    pub fn tellers(&self, now_ms: u64) -> Vec<Name> {
        let told = self.told.iter().filter(|(_, told)| told.is_fresh(now_ms));
        told.map(|(from, _)| from.clone()).collect()
    }

    /// The work and the repeats that others told lately.
    pub fn work_and_repeats(&self, now_ms: u64) -> (Work, Repeats) {
        let (mut work, mut repeats) = (Work::new(), Repeats::new());
        for told in self.told.values().filter(|told| told.is_fresh(now_ms)) {
            add_work(&mut work, &told.word.work);
            add_repeats(&mut repeats, &told.word.repeats);
        }
        (work, repeats)
    }

    /// The counts that others than `except` told lately.
    pub fn tallies_except(&self, except: &str, now_ms: u64) -> HashMap<Name, Tally> {
        let mut sum = HashMap::new();
        let told = self.told.iter().filter(|(from, _)| &***from != except);
        for told in told.map(|(_, told)| told) {
            if told.is_fresh(now_ms) {
                add_tallies(&mut sum, &told.word.tallies);
            }
        }
        sum
    }

    /// The sum of what others than `except` told lately.
    pub fn sum_except(&self, except: impl Fn(&str) -> bool, now_ms: u64) -> Word {
        let mut sum = Word::default();
        let told = self.told.iter().filter(|(from, _)| !except(from));
        for told in told.map(|(_, told)| told) {
            if told.is_fresh(now_ms) {
                sum.add(&told.word);
            }
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
    /// Whether it hears the store's records from the store itself.
    pub is_root: bool,
    /// Whether it hears the store's records now, from whomever.
    pub hears: bool,
    /// What it has to tell.
    pub word: Word,
    /// Upstreams, by incarnation, that were heard to leave lately, other than by the registry.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub departures: Vec<Name>,
    /// What upstreams said lately of how many requests they take from all boxes together.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitUpdate>,
    /// What is new of requests under which upstreams ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quarantine: Option<LedgerUpdate>,
    /// What is new of requests that began, where usage is reported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageNews>,
}
