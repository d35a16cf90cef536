//! Canary analysis of a roll-out: comparison of the answers of the new version with those of the
//! old one.
//!
//! Answers are counted by criterion, failure or slowness, and by lane, since a version may be bad
//! at one kind of request only. Boxes add up their counts of both versions, and the new version is
//! condemned once it has significantly more bad answers.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::gateway::rollout::Side;
use crate::gateway::slowness::{OldVersionPace, TimedAnswer};

pub use crate::gateway::slowness::Span;

/// Least number of bad answers that condemns the new version.
const MIN_BAD_ANSWERS: u32 = 3;
/// Least number of upstreams that gave bad answers. A single failing upstream says nothing about
/// its version.
const MIN_BAD_UPSTREAMS: usize = 2;
/// Significance level: the probability that a version as good as the old one gives as many bad
/// answers. Boxes test after each answer, so it is small.
const SIGNIFICANCE_LEVEL: f64 = 5e-4;
/// Significance level at the end of the roll-out, where one test is made and a version that stays
/// cannot be rolled back. With some ten groups a good version is rolled back at the end in one of
/// fifty roll-outs.
const FINAL_SIGNIFICANCE_LEVEL: f64 = 2e-3;
/// Share of slow answers that a new version is to be cleared of, of those that would not be slow in the old version.
const SLOW_SHARE: f64 = 0.15;
/// The same where too few answers were seen to rule out a small share in any reasonable time.
const SLOW_SHARE_OF_FEW: f64 = 0.4;
/// Answers of both versions from which a small share can be ruled out.
const MANY_SEEN: u32 = 200;
/// Probability that a version with that share is cleared.
const CLEARANCE_LEVEL: f64 = 0.005;
/// Timed answers of the old version from which the new one can be compared with it.
const MIN_TIMED_TO_CLEAR: u32 = 5;
/// Prior of the rate of bad answers of the old version: one in twenty.
const PRIOR_BAD: f64 = 1.0;
const PRIOR_ALL: f64 = 20.0;

/// An answer as a sample of the version that gave it.
#[derive(Debug, Clone, Copy)]
pub struct AnswerSample<'a> {
    /// Upstream that gave the answer.
    pub upstream: &'a Name,
    /// Whether the upstream itself reported a failure.
    pub failed: bool,
    /// Whether the answer has ended; until then only its pace is evaluated.
    pub is_final: bool,
    /// Group of comparable answers: hash of route and model.
    pub lane: u64,
    /// Mean time between events, or the time to a plain answer; `None` where it is not meaningful.
    pub pace_ms: Option<f64>,
    /// Part of the answer that the pace covers.
    pub span: Span,
    /// Time since the request was sent.
    pub age_ms: u64,
    /// Requests running at the upstream when the answer began; 0 where the upstream does not report
    /// it.
    pub running: u32,
    /// Requests waiting at the upstream at that time, per running request.
    pub queue: f64,
}

impl AnswerSample<'_> {
    /// The pace without the queueing delay. The pace of a stream is measured between events, which
    /// start once the request runs, and needs no correction.
    fn unqueued_pace_ms(&self) -> Option<f64> {
        match self.span {
            // With one waiting request per running one, a request takes twice its own time. A good
            // version meets such a surge as soon as all work has moved to it.
            Span::Whole => Some(self.pace_ms? / (1.0 + self.queue.max(0.0))),
            Span::Start | Span::Long => self.pace_ms,
        }
    }
}

/// Criterion by which an answer is evaluated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Criterion {
    /// Whether the answer was a failure.
    Failure,
    /// Whether its start was slow.
    Slowness,
    /// Whether it was slow over many events.
    LongSlowness,
}

/// Answers that are evaluated together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Group {
    /// Criterion of the evaluation.
    #[serde(rename = "fault")]
    pub criterion: Criterion,
    /// Lane of the answers; `None` for all lanes.
    pub lane: Option<u64>,
}

/// Answer counts of one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCount {
    /// Number of bad answers.
    pub bad: u32,
    /// Number of all answers.
    pub all: u32,
    /// Some of the upstreams that gave bad answers.
    pub bad_upstreams: BTreeSet<Name>,
}

impl AnswerCount {
    fn record(&mut self, upstream: Option<&Name>) {
        self.all += 1;
        if let Some(upstream) = upstream {
            self.bad += 1;
            self.add_bad_upstream(upstream);
        }
    }

    fn add(&mut self, more: &Self) {
        self.bad += more.bad;
        self.all += more.all;
        more.bad_upstreams
            .iter()
            .for_each(|u| self.add_bad_upstream(u));
    }

    fn add_bad_upstream(&mut self, upstream: &Name) {
        if self.bad_upstreams.len() < MIN_BAD_UPSTREAMS {
            self.bad_upstreams.insert(upstream.clone());
        }
    }

    /// Rate of bad answers, shrunk towards the prior.
    fn bad_rate(&self) -> f64 {
        (f64::from(self.bad) + PRIOR_BAD) / (f64::from(self.all) + PRIOR_ALL)
    }
}

/// Answer counts of both versions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Counts of the old version.
    pub old: AnswerCount,
    /// Counts of the new version.
    pub new: AnswerCount,
}

impl VersionCounts {
    fn record(&mut self, side: Side, upstream: Option<&Name>) {
        match side {
            Side::Old => self.old.record(upstream),
            Side::New => self.new.record(upstream),
        }
    }

    /// Adds the counts of another box.
    fn add(&mut self, more: &Self) {
        self.old.add(&more.old);
        self.new.add(&more.new);
    }

    /// Whether the new version is worse at this significance level.
    fn condemns(&self, significance_level: f64) -> bool {
        let new = &self.new;
        let is_sufficient =
            new.bad >= MIN_BAD_ANSWERS && new.bad_upstreams.len() >= MIN_BAD_UPSTREAMS;
        is_sufficient
            && binomial_tail(new.bad as usize, new.all as usize, self.old.bad_rate())
                < significance_level
    }

    /// Whether a slow version would hardly have given so few slow answers.
    fn rules_out_slowness(&self) -> bool {
        let is_few = self.old.all + self.new.all < MANY_SEEN;
        let slow_share = if is_few {
            SLOW_SHARE_OF_FEW
        } else {
            SLOW_SHARE
        };
        let good_rate = (1.0 - self.old.bad_rate()) * (1.0 - slow_share);
        let (good, all) = (self.new.all - self.new.bad, self.new.all);
        binomial_tail(good as usize, all as usize, good_rate) < CLEARANCE_LEVEL
    }
}

/// Counts of a roll-out by group, as exchanged between boxes.
pub type Tally = Vec<(Group, VersionCounts)>;

/// Adds the counts of `more` to those of `to`.
pub fn add_tally(to: &mut Tally, more: &Tally) {
    for (group, counts) in more {
        match to.iter_mut().find(|(known, _)| known == group) {
            Some((_, known_counts)) => known_counts.add(counts),
            None => to.push((*group, counts.clone())),
        }
    }
}

/// Number of answers that were seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswersSeen {
    /// Answers of the new version.
    pub new: u32,
    /// Answers of both versions.
    pub all: u32,
}

/// Comparison of the answers of both versions.
#[derive(Debug, Default)]
pub struct CanaryAnalysis {
    own: BTreeMap<Group, VersionCounts>,
    others: Tally,
    old: OldVersionPace,
    /// Whether plain answers are timed, which goes on once all work has moved.
    times_plain_answers: bool,
}

impl CanaryAnalysis {
    /// Adds an answer; `is_fully_shifted` tells whether all work had moved to the new version when
    /// its request was sent.
    pub fn record(&mut self, side: Side, sample: &AnswerSample, is_fully_shifted: bool) {
        // Engines with an empty prompt cache are slow for a while; plain services have no such
        // cache.
        let is_timed = !is_fully_shifted || sample.span == Span::Whole;
        let is_slow = sample
            .unqueued_pace_ms()
            .is_some_and(|pace_ms| self.old.is_slow(&timed(side, sample, pace_ms)));
        // An answer may be added twice: for its pace while it is in progress, and at its end.
        if sample.is_final {
            self.count(Criterion::Failure, side, sample, sample.failed);
        }
        if is_timed && sample.pace_ms.is_some() {
            self.times_plain_answers |= sample.span == Span::Whole;
            let criterion = match sample.span {
                Span::Whole | Span::Start => Criterion::Slowness,
                Span::Long => Criterion::LongSlowness,
            };
            self.count(criterion, side, sample, is_slow);
        }
    }

    /// Counts an answer for all lanes and for its own lane.
    fn count(&mut self, criterion: Criterion, side: Side, sample: &AnswerSample, is_bad: bool) {
        for lane in [None, Some(sample.lane)] {
            let counts = self.own.entry(Group { criterion, lane }).or_default();
            counts.record(side, is_bad.then_some(sample.upstream));
        }
    }

    /// Replaces the counts of the other boxes.
    pub fn set_remote_tally(&mut self, others: Tally) {
        self.others = others;
    }

    /// Counts of this box.
    pub fn local_tally(&self) -> Tally {
        self.own.iter().map(|(g, c)| (*g, c.clone())).collect()
    }

    /// Counts of all boxes.
    pub fn total_tally(&self) -> Tally {
        let mut total = self.local_tally();
        add_tally(&mut total, &self.others);
        total
    }

    /// Number of answers seen by all boxes. A stream counts once it was timed, before its end.
    pub fn seen(&self) -> AnswersSeen {
        let mut seen = AnswersSeen::default();
        for criterion in [
            Criterion::Failure,
            Criterion::Slowness,
            Criterion::LongSlowness,
        ] {
            let group = Group {
                criterion,
                lane: None,
            };
            let others = self.others.iter().filter(|(known, _)| *known == group);
            let others = others.map(|(_, counts)| counts);
            let (mut new, mut old) = (0, 0);
            for counts in self.own.get(&group).into_iter().chain(others) {
                new += counts.new.all;
                old += counts.old.all;
            }
            seen.new = seen.new.max(new);
            seen.all = seen.all.max(new + old);
        }
        seen
    }

    /// Whether the plain answers that were timed rule out that the new version is slow. Streams are not asked for: none is
    /// timed once all work has moved.
    pub fn clears_plain_answers(&self) -> bool {
        if !self.times_plain_answers {
            return true;
        }
        let group = Group {
            criterion: Criterion::Slowness,
            lane: None,
        };
        let total = self.total_tally();
        let counts = total.iter().find(|(known, _)| *known == group);
        counts.is_none_or(|(_, counts)| {
            counts.old.all < MIN_TIMED_TO_CLEAR || counts.rules_out_slowness()
        })
    }

    /// Whether the new version is significantly worse in any group.
    pub fn condemns(&self) -> bool {
        self.condemns_at(SIGNIFICANCE_LEVEL)
    }

    /// The same at the significance level that holds at the end of the roll-out.
    pub fn condemns_at_end(&self) -> bool {
        self.condemns_at(FINAL_SIGNIFICANCE_LEVEL)
    }

    fn condemns_at(&self, significance_level: f64) -> bool {
        let total = self.total_tally();
        total.iter().any(|(group, counts)| {
            let compared = match group.lane {
                Some(_) => None,
                None => shared_lanes(&total, group.criterion),
            };
            // Another box may have told its counts of all lanes alone.
            let compared = compared.filter(|compared| compared.new.all == counts.new.all);
            compared
                .as_ref()
                .unwrap_or(counts)
                .condemns(significance_level)
        })
    }
}

/// Counts over all lanes of which the new version has answers. In the others, the old version alone may be bad, which says
/// nothing about answers that both give.
fn shared_lanes(total: &Tally, criterion: Criterion) -> Option<VersionCounts> {
    let lanes = total.iter().filter(|(group, counts)| {
        group.criterion == criterion && group.lane.is_some() && counts.new.all > 0
    });
    lanes.fold(None, |sum, (_, counts)| {
        let mut sum: VersionCounts = sum.unwrap_or_default();
        sum.add(counts);
        Some(sum)
    })
}

/// Converts an answer for the comparison of paces.
fn timed(side: Side, sample: &AnswerSample, pace_ms: f64) -> TimedAnswer {
    TimedAnswer {
        pace_ms,
        span: sample.span,
        lane: sample.lane,
        running: sample.running,
        is_old_version: side == Side::Old,
    }
}

/// Binomial tail: probability of at least `bad` out of `all` where each is bad with probability
/// `rate`. Returns 1 where `bad` does not exceed the expected number.
///
/// The sum starts at its first term, which is computed by logarithms: the factors exceed the range
/// of `f64` at about a thousand answers.
fn binomial_tail(bad: usize, all: usize, rate: f64) -> f64 {
    /// Relative size below which further terms are negligible.
    const NEGLIGIBLE: f64 = 1e-9;
    if bad as f64 <= all as f64 * rate {
        return 1.0;
    }
    let ln_combinations: f64 = (0..bad)
        .map(|k| ((all - k) as f64 / (k + 1) as f64).ln())
        .sum();
    let ln_first_term =
        ln_combinations + bad as f64 * rate.ln() + (all - bad) as f64 * (1.0 - rate).ln();
    let mut term = ln_first_term.exp();
    let mut probability = term;
    for k in bad + 1..=all {
        term *= (all - k + 1) as f64 / k as f64 * rate / (1.0 - rate);
        probability += term;
        if term < probability * NEGLIGIBLE {
            break;
        }
    }
    probability
}
