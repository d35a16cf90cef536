//! Judging a roll-out's new version: what its answers say beside those of the old one.
//!
//! Answers are counted by what they are judged for, failure or slowness, and by lane, since a
//! version may be bad at one kind of request only. Boxes add up what they see of both versions, and
//! the new one is condemned once it has more bad answers than chance explains.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::gateway::rollout::Side;
use crate::gateway::slowness::{OldVersionPace, TimedAnswer};

pub use crate::gateway::slowness::Span;

/// Bad answers that condemn the new version.
const BAD_LIMIT: u32 = 3;
/// Upstreams that must have given them: a single failing one says nothing of its version.
const BAD_UPSTREAMS: usize = 2;
/// Chance at which as many bad answers would come of a version as good as the old one. Boxes judge
/// after each answer, so it is small.
const CHANCE_LIMIT: f64 = 5e-4;
/// The same where the roll-out's time is up: it is looked at once, and a version that stays cannot be taken back.
/// With some ten groups a good version is rolled back at its end once in fifty times.
const CHANCE_LIMIT_AT_END: f64 = 2e-3;
/// What is taken to be known of the old version before it has answered: one bad answer in twenty.
const PRIOR_BAD: f64 = 1.0;
const PRIOR_ALL: f64 = 20.0;
/// What an answer says about the version that gave it.
#[derive(Debug, Clone, Copy)]
pub struct Evidence<'a> {
    /// The upstream that gave it.
    pub upstream: &'a Name,
    /// The upstream itself answered with a failure.
    pub failed: bool,
    /// Whether the answer has ended; before, only its pace is judged.
    pub is_final: bool,
    /// Answers that are alike: hash of route and model.
    pub lane: u64,
    /// Mean pause between events, or the time to a plain answer; none where it says nothing.
    pub pace_ms: Option<f64>,
    /// The part of the answer that the pace is of.
    pub span: Span,
    /// Time since the request was sent.
    pub age_ms: u64,
    /// Requests that its upstream ran when the answer began; 0 where it does not tell.
    pub running: u32,
    /// Requests that waited there then, for each that ran.
    pub queue: f64,
}

impl Evidence<'_> {
    /// The pace without what others in the queue take; a stream's is of its events, which come once it
    /// runs.
    fn own_pace_ms(&self) -> Option<f64> {
        match self.span {
            // A request that finds one in the queue for each that runs takes twice its own time. A good
            // version meets such a surge as soon as all work has moved to it.
            Span::Whole => Some(self.pace_ms? / (1.0 + self.queue.max(0.0))),
            Span::Start | Span::Long => self.pace_ms,
        }
    }
}

/// What an answer was judged for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Whether it was a failure.
    Failure,
    /// Whether its start was slow.
    Slowness,
    /// Whether it was slow over many events.
    LongSlowness,
}

/// Answers that are judged together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Group {
    /// What for.
    pub fault: Fault,
    /// Those of one lane; none for all.
    pub lane: Option<u64>,
}

/// Numbers of answers of one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Bad ones.
    pub bad: u32,
    /// All of them.
    pub all: u32,
    /// Some of the upstreams that gave bad ones.
    pub bad_upstreams: BTreeSet<Name>,
}

impl Count {
    fn push(&mut self, upstream: Option<&Name>) {
        self.all += 1;
        if let Some(upstream) = upstream {
            self.bad += 1;
            self.name_bad(upstream);
        }
    }

    fn add(&mut self, more: &Self) {
        self.bad += more.bad;
        self.all += more.all;
        more.bad_upstreams.iter().for_each(|u| self.name_bad(u));
    }

    fn name_bad(&mut self, upstream: &Name) {
        if self.bad_upstreams.len() < BAD_UPSTREAMS {
            self.bad_upstreams.insert(upstream.clone());
        }
    }

    /// The rate of bad answers, held towards what is taken to be known before.
    fn bad_rate(&self) -> f64 {
        (f64::from(self.bad) + PRIOR_BAD) / (f64::from(self.all) + PRIOR_ALL)
    }
}

/// Numbers of answers of both versions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Of the old one.
    pub old: Count,
    /// Of the new one.
    pub new: Count,
}

impl Counts {
    fn push(&mut self, side: Side, upstream: Option<&Name>) {
        match side {
            Side::Old => self.old.push(upstream),
            Side::New => self.new.push(upstream),
        }
    }

    /// Adds another box's.
    fn add(&mut self, more: &Self) {
        self.old.add(&more.old);
        self.new.add(&more.new);
    }

    /// Whether the new version is worse than chance explains, by this limit.
    fn condemns(&self, chance_limit: f64) -> bool {
        let new = &self.new;
        let enough = new.bad >= BAD_LIMIT && new.bad_upstreams.len() >= BAD_UPSTREAMS;
        enough && tail(new.bad as usize, new.all as usize, self.old.bad_rate()) < chance_limit
    }
}

/// What boxes tell each other of a roll-out: their counts, by group.
pub type Tally = Vec<(Group, Counts)>;

/// Adds a tally to another.
pub fn add_tally(to: &mut Tally, more: &Tally) {
    for (group, counts) in more {
        match to.iter_mut().find(|(known, _)| known == group) {
            Some((_, sum)) => sum.add(counts),
            None => to.push((*group, counts.clone())),
        }
    }
}

/// What a box knows of both versions' answers.
#[derive(Debug, Default)]
pub struct Findings {
    own: BTreeMap<Group, Counts>,
    others: Tally,
    old: OldVersionPace,
}

impl Findings {
    /// Takes in an answer; `is_alone` says whether all work had moved to the new version when
    /// its request was sent.
    pub fn weigh(&mut self, side: Side, evidence: &Evidence, is_alone: bool) {
        // Engines that have read nothing yet are slow for a while; plain services have nothing to
        // read.
        let is_timed = !is_alone || evidence.span == Span::Whole;
        let is_slow = evidence
            .own_pace_ms()
            .is_some_and(|pace_ms| self.old.is_slow(&timed(side, evidence, pace_ms)));
        // An answer may be weighed twice: for its time on the way, and for its end.
        if evidence.is_final {
            self.count(Fault::Failure, side, evidence, evidence.failed);
        }
        if is_timed && evidence.pace_ms.is_some() {
            let fault = match evidence.span {
                Span::Whole | Span::Start => Fault::Slowness,
                Span::Long => Fault::LongSlowness,
            };
            self.count(fault, side, evidence, is_slow);
        }
    }

    /// Counts an answer among all and among those of its lane.
    fn count(&mut self, fault: Fault, side: Side, evidence: &Evidence, is_bad: bool) {
        for lane in [None, Some(evidence.lane)] {
            let counts = self.own.entry(Group { fault, lane }).or_default();
            counts.push(side, is_bad.then_some(evidence.upstream));
        }
    }

    /// Takes in what other boxes counted, in place of what they did before.
    pub fn hear(&mut self, others: Tally) {
        self.others = others;
    }

    /// What this box counted.
    pub fn tally(&self) -> Tally {
        self.own.iter().map(|(g, c)| (*g, c.clone())).collect()
    }

    /// What all boxes counted.
    pub fn sum(&self) -> Tally {
        let mut sum = self.tally();
        add_tally(&mut sum, &self.others);
        sum
    }

    /// Whether the new version is worse than chance explains, in any group.
    pub fn condemns(&self) -> bool {
        self.condemns_by(CHANCE_LIMIT)
    }

    /// Whether it is, in any group, as far as it is known when the roll-out's time is up.
    pub fn condemns_at_end(&self) -> bool {
        self.condemns_by(CHANCE_LIMIT_AT_END)
    }

    fn condemns_by(&self, chance_limit: f64) -> bool {
        let sum = self.sum();
        sum.iter().any(|(_, counts)| counts.condemns(chance_limit))
    }
}

/// An answer as it is timed.
fn timed(side: Side, evidence: &Evidence, pace_ms: f64) -> TimedAnswer {
    TimedAnswer {
        pace_ms,
        span: evidence.span,
        lane: evidence.lane,
        running: evidence.running,
        is_old_version: side == Side::Old,
    }
}

/// Chance of at least `bad` in `all` where each is bad with chance `rate`; 1 where that is no surprise.
///
/// The terms are summed from the first one on, which is computed by logarithms: their factors leave the
/// range of numbers at about a thousand answers.
fn tail(bad: usize, all: usize, rate: f64) -> f64 {
    /// Part of the sum below which a further term adds nothing that matters.
    const NEGLIGIBLE: f64 = 1e-9;
    if bad as f64 <= all as f64 * rate {
        return 1.0;
    }
    let choices: f64 = (0..bad)
        .map(|k| ((all - k) as f64 / (k + 1) as f64).ln())
        .sum();
    let first = choices + bad as f64 * rate.ln() + (all - bad) as f64 * (1.0 - rate).ln();
    let mut term = first.exp();
    let mut chance = term;
    for k in bad + 1..=all {
        term *= (all - k + 1) as f64 / k as f64 * rate / (1.0 - rate);
        chance += term;
        if term < chance * NEGLIGIBLE {
            break;
        }
    }
    chance
}
