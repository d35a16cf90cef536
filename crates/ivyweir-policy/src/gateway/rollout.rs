//! A pool's move to another version: how much of it a version gets, and when it is judged bad.
//!
//! A session must not move to the new version in the first half of its time, and sessions are served by
//! many boxes. So the new version gets nothing in that half. Then its share of sessions grows in steps,
//! chosen by a hash that all boxes agree on, which also keeps a session from going back. A version may be
//! bad without showing it yet, so the steps are small until shortly before the end. Boxes add up what they
//! see of both versions; the first that sees the new one fail returns all work to the old one.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::rank::mix;

/// A step of a roll-out: from which part of its time on, and which share the new version gets.
#[derive(Debug, Clone, Copy)]
struct Step {
    from: f64,
    share: f64,
}

/// The bound on exposure is 15 % of requests over the whole time, also for a version whose faults nobody
/// saw; with these steps it gets 12 %.
const STEPS: [Step; 4] = [
    Step {
        from: 0.0,
        share: 0.0,
    },
    Step {
        from: 0.52,
        share: 0.05,
    },
    Step {
        from: 0.75,
        share: 0.12,
    },
    Step {
        from: 0.915,
        share: 1.0,
    },
];
/// Part of the time after which the move is declared complete: streams of the old version that have not
/// ended by then are resumed. It leaves the store's answer some hundred milliseconds.
const COMPLETE_FROM: f64 = 0.96;
/// Bad answers that condemn the new version.
const BAD_LIMIT: u32 = 3;
/// Upstreams that must have given them: a single failing one says nothing of its version.
const BAD_UPSTREAMS: usize = 2;
/// Chance at which as many bad answers would come of a version as good as the old one. Boxes judge after
/// each answer, so it is small.
const CHANCE_LIMIT: f64 = 5e-4;
/// What is taken to be known of the old version before it has answered: one bad answer in twenty.
const PRIOR_BAD: f64 = 1.0;
const PRIOR_ALL: f64 = 20.0;
/// How many times the old version's lower quartile makes an answer a slow one. A sixth of its own is, when
/// its engines are busy; a version that is eight times as slow has nearly empty ones, and is still slow.
const SLOW_RATIO: f64 = 2.5;
/// Answers of the old version, of one lane, needed to tell a slow one.
const PACE_SAMPLES: u32 = 5;
/// Step by which an answer moves the lower quartile.
const PACE_STEP: f64 = 0.1;

/// How far a roll-out is, as the store says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// Nobody took it up.
    Ordered,
    /// Under way.
    Running {
        /// Time that had passed when this was written.
        elapsed_ms: u64,
    },
    /// All work goes to the new version.
    Completed,
    /// All work stays with the old version.
    RolledBack,
}

/// An order to move a pool to another version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The pool.
    pub pool: Name,
    /// The version that is to serve it.
    pub target_version: Name,
    /// Time in which to do so.
    pub duration_ms: u64,
    /// How far it is.
    pub state: RolloutState,
    /// Revision of the record.
    pub revision: u64,
}

/// Which side of a roll-out serves a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Side {
    /// Versions other than the target.
    Old,
    /// The target.
    New,
}

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
}

/// What an answer was judged for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Whether it was a failure.
    Failure,
    /// Whether it was slow.
    Slowness,
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
    pub fn add(&mut self, more: &Self) {
        self.old.add(&more.old);
        self.new.add(&more.new);
    }

    /// Whether the new version is worse than chance explains.
    fn condemns(&self) -> bool {
        let new = &self.new;
        let enough = new.bad >= BAD_LIMIT && new.bad_upstreams.len() >= BAD_UPSTREAMS;
        enough && tail(new.bad as usize, new.all as usize, self.old.bad_rate()) < CHANCE_LIMIT
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

/// Chance of at least `bad` in `all` where each is bad with chance `rate`.
fn tail(bad: usize, all: usize, rate: f64) -> f64 {
    let mut chance = 0.0;
    let mut choices = 1.0;
    for k in 0..=all {
        if k > 0 {
            choices *= (all - k + 1) as f64 / k as f64;
        }
        if k >= bad {
            chance += choices * rate.powi(k as i32) * (1.0 - rate).powi((all - k) as i32);
        }
    }
    chance
}

/// Lower quartile of the time between events. Unlike the mean it hardly moves with load.
#[derive(Debug, Default, Clone, Copy)]
struct Pace {
    low_ms: f64,
    samples: u32,
}

/// A box's view of a roll-out.
#[derive(Debug)]
pub struct RolloutTrack {
    order: RolloutOrder,
    /// May lie before the start of the box's clock.
    started_ms: i64,
    own: BTreeMap<Group, Counts>,
    others: Tally,
    old_pace: HashMap<u64, Pace>,
    condemned: bool,
}

/// What a box should write to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutDuty {
    /// Nothing for now.
    None,
    /// How much time has passed: at the start, and at each step for boxes that learned of it late.
    Tell,
    /// That it is complete.
    Complete,
    /// That it was undone.
    RollBack,
}

impl RolloutTrack {
    /// Follows an order from now on.
    pub fn new(order: RolloutOrder, now_ms: u64) -> Self {
        let elapsed_ms = match order.state {
            RolloutState::Running { elapsed_ms } => elapsed_ms,
            _ => 0,
        };
        Self {
            started_ms: start_of(elapsed_ms, now_ms),
            order,
            own: BTreeMap::new(),
            others: Tally::new(),
            old_pace: HashMap::new(),
            condemned: false,
        }
    }

    /// Takes in the order's record; an order for another version starts anew.
    pub fn update(&mut self, order: RolloutOrder, now_ms: u64) {
        if order.revision <= self.order.revision {
            return;
        }
        let same = order.target_version == self.order.target_version
            && order.duration_ms == self.order.duration_ms
            && !(self.is_over() && order.state == RolloutState::Ordered);
        if same {
            if let RolloutState::Running { elapsed_ms } = order.state {
                // A box that learned of the order late counts from too late until another one tells it.
                self.started_ms = self.started_ms.min(start_of(elapsed_ms, now_ms));
            }
            self.order = order;
        } else {
            *self = Self::new(order, now_ms);
        }
    }

    /// The order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Whether nothing more is to be done.
    pub fn is_over(&self) -> bool {
        matches!(
            self.order.state,
            RolloutState::Completed | RolloutState::RolledBack
        )
    }

    /// Time since the order.
    pub fn elapsed_ms(&self, now_ms: u64) -> u64 {
        u64::try_from(now_ms as i64 - self.started_ms).unwrap_or(0)
    }

    /// Share of sessions that the new version gets.
    pub fn share(&self, now_ms: u64) -> f64 {
        match self.order.state {
            RolloutState::Completed => return 1.0,
            RolloutState::RolledBack => return 0.0,
            _ if self.condemned => return 0.0,
            _ => {}
        }
        STEPS[step_at(self.part(now_ms))].share
    }

    /// The side that serves a request of the session with this hash.
    pub fn side(&self, session: u64, now_ms: u64) -> Side {
        let drawn = mix(session, SESSION_SALT) >> 11;
        let unit = drawn as f64 / (1u64 << 53) as f64;
        if unit < self.share(now_ms) {
            Side::New
        } else {
            Side::Old
        }
    }

    /// The side a version is on.
    pub fn side_of(&self, version: &str) -> Side {
        if version == &*self.order.target_version {
            Side::New
        } else {
            Side::Old
        }
    }

    /// Takes in an answer; returns whether it condemned the new version just now.
    pub fn judge(&mut self, side: Side, evidence: &Evidence, now_ms: u64) -> bool {
        let pace = self.old_pace.entry(evidence.lane).or_default();
        let slow = evidence.pace_ms.is_some_and(|pace_ms| {
            pace.samples >= PACE_SAMPLES && pace_ms > pace.low_ms * SLOW_RATIO
        });
        if let (Side::Old, Some(pace_ms)) = (side, evidence.pace_ms) {
            pace.add(pace_ms);
        }
        let lane = Some(evidence.lane);
        let failures = [None, lane].map(|lane| (Fault::Failure, lane, evidence.failed));
        let slowness = [None, lane].map(|lane| (Fault::Slowness, lane, slow));
        // Once all work moves at a stroke, engines that have read nothing yet are slow for a while.
        let timed = evidence.pace_ms.is_some() && self.share(now_ms) < 1.0;
        // An answer may be weighed twice: for its time on the way, and for its end.
        let judged = failures.iter().filter(|_| evidence.is_final);
        for (fault, lane, bad) in judged.chain(slowness.iter().filter(|_| timed)) {
            let group = Group {
                fault: *fault,
                lane: *lane,
            };
            let counts = self.own.entry(group).or_default();
            counts.push(side, bad.then_some(evidence.upstream));
        }
        self.condemn_if_bad()
    }

    /// Takes in what other boxes counted; returns whether it condemned the new version just now.
    pub fn hear(&mut self, others: Tally) -> bool {
        self.others = others;
        self.condemn_if_bad()
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

    fn condemn_if_bad(&mut self) -> bool {
        if self.condemned || self.is_over() {
            return false;
        }
        self.condemned = self.sum().iter().any(|(_, counts)| counts.condemns());
        self.condemned
    }

    /// What is to be written now.
    pub fn duty(&self, now_ms: u64) -> RolloutDuty {
        match self.order.state {
            RolloutState::Completed | RolloutState::RolledBack => RolloutDuty::None,
            _ if self.condemned => RolloutDuty::RollBack,
            _ if self.part(now_ms) >= COMPLETE_FROM => RolloutDuty::Complete,
            RolloutState::Ordered => RolloutDuty::Tell,
            RolloutState::Running { elapsed_ms } => {
                let told = elapsed_ms as f64 / self.order.duration_ms.max(1) as f64;
                if step_at(told) < step_at(self.part(now_ms)) {
                    RolloutDuty::Tell
                } else {
                    RolloutDuty::None
                }
            }
        }
    }

    fn part(&self, now_ms: u64) -> f64 {
        self.elapsed_ms(now_ms) as f64 / self.order.duration_ms.max(1) as f64
    }
}

fn start_of(elapsed_ms: u64, now_ms: u64) -> i64 {
    now_ms as i64 - elapsed_ms as i64
}

/// The step that holds at a part of the time, by its place.
fn step_at(part: f64) -> usize {
    let later = STEPS.iter().rposition(|step| part >= step.from);
    later.unwrap_or(0)
}

/// Keeps this draw apart from others that use the same session.
const SESSION_SALT: u64 = 0x726f_6c6c_6f75_7421;

impl Pace {
    fn add(&mut self, pace_ms: f64) {
        const QUARTILE: f64 = 0.25;
        self.samples += 1;
        if self.samples == 1 {
            self.low_ms = pace_ms;
        } else if pace_ms < self.low_ms {
            self.low_ms *= 1.0 - PACE_STEP * (1.0 - QUARTILE);
        } else {
            self.low_ms *= 1.0 + PACE_STEP * QUARTILE;
        }
    }
}
