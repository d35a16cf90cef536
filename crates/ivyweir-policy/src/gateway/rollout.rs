//! A pool's move to another version: how much of it a version gets, and when it is judged bad.
//!
//! A session must not move to the new version in the first half of its time, and sessions are served by
//! many boxes. So the new version gets nothing in that half. Then its share of sessions grows in steps,
//! chosen by a hash that all boxes agree on, which also keeps a session from going back. Any box that sees
//! the new version fail returns all work to the old one.

use std::collections::{HashMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::rank::mix;

/// A step of a roll-out: from which part of its time on, and which share the new version gets.
#[derive(Debug, Clone, Copy)]
struct Step {
    from: f64,
    share: f64,
}

/// The bound on exposure is 15 % of requests over the whole time; with these steps a bad version that no
/// box notices before the last one has had about a tenth.
const STEPS: [Step; 5] = [
    Step {
        from: 0.0,
        share: 0.0,
    },
    Step {
        from: 0.52,
        share: 0.1,
    },
    Step {
        from: 0.63,
        share: 0.3,
    },
    Step {
        from: 0.72,
        share: 0.65,
    },
    Step {
        from: 0.8,
        share: 1.0,
    },
];
/// Part of the time after which the move is declared complete; answers of the old version that began
/// before the last step have ended by then, or are resumed.
const COMPLETE_FROM: f64 = 0.93;
/// Newest answers of the new version that are judged.
const JUDGED_NEW: usize = 12;
/// Newest answers of the old version that it is judged against.
const JUDGED_OLD: usize = 64;
/// Bad answers among these that condemn the new version.
const BAD_LIMIT: usize = 3;
/// Upstreams that must have given them: a single failing one says nothing of its version.
const BAD_UPSTREAMS: usize = 2;
/// Chance at which as many bad answers would come of a version as good as the old one. Boxes judge after
/// each answer, so it is small.
const CHANCE_LIMIT: f64 = 5e-4;
/// What is taken to be known of the old version before it has answered: one bad answer in twenty.
const PRIOR_BAD: f64 = 1.0;
const PRIOR_ALL: f64 = 20.0;
/// How many times the old version's time makes an answer a bad one.
const SLOW_RATIO: f64 = 3.5;
/// Answers of the old version, of one lane, needed to tell a slow one.
const PACE_SAMPLES: u32 = 5;
/// Weight of the newest pace.
const PACE_WEIGHT: f64 = 0.1;

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
    /// Answers that are alike: hash of route and model.
    pub lane: u64,
    /// Mean pause between events, or the time to a plain answer; none where it says nothing.
    pub pace_ms: Option<f64>,
}

/// Newest answers of one version.
#[derive(Debug, Default)]
struct Judged {
    /// For each answer, the upstream if it was a bad one.
    newest: VecDeque<Option<Name>>,
}

impl Judged {
    fn push(&mut self, bad: Option<Name>, kept: usize) {
        self.newest.push_back(bad);
        if self.newest.len() > kept {
            self.newest.pop_front();
        }
    }

    fn bad(&self) -> usize {
        self.newest.iter().flatten().count()
    }

    fn bad_upstreams(&self) -> usize {
        self.newest.iter().flatten().collect::<HashSet<_>>().len()
    }

    /// The rate of bad answers, held towards what is taken to be known before.
    fn bad_rate(&self) -> f64 {
        (self.bad() as f64 + PRIOR_BAD) / (self.newest.len() as f64 + PRIOR_ALL)
    }
}

/// Answers of both versions that are alike.
#[derive(Debug, Default)]
struct Pair {
    old: Judged,
    new: Judged,
}

impl Pair {
    fn push(&mut self, side: Side, bad: Option<Name>) {
        match side {
            Side::Old => self.old.push(bad, JUDGED_OLD),
            Side::New => self.new.push(bad, JUDGED_NEW),
        }
    }

    /// Whether the new version is worse than chance explains.
    fn condemns(&self) -> bool {
        let bad = self.new.bad();
        let enough = bad >= BAD_LIMIT && self.new.bad_upstreams() >= BAD_UPSTREAMS;
        enough && tail(bad, self.new.newest.len(), self.old.bad_rate()) < CHANCE_LIMIT
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

/// A pause between events, averaged.
#[derive(Debug, Default, Clone, Copy)]
struct Pace {
    mean_ms: f64,
    samples: u32,
}

/// A box's view of a roll-out.
#[derive(Debug)]
pub struct RolloutTrack {
    order: RolloutOrder,
    /// May lie before the start of the box's clock.
    started_ms: i64,
    all: Pair,
    lanes: HashMap<u64, Pair>,
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
            all: Pair::default(),
            lanes: HashMap::new(),
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
    pub fn judge(&mut self, side: Side, evidence: &Evidence) -> bool {
        let pace = self.old_pace.entry(evidence.lane).or_default();
        let slow = evidence.pace_ms.is_some_and(|pace_ms| {
            pace.samples >= PACE_SAMPLES && pace_ms > pace.mean_ms * SLOW_RATIO
        });
        if let (Side::Old, Some(pace_ms)) = (side, evidence.pace_ms) {
            pace.add(pace_ms);
        }
        let bad = (evidence.failed || slow).then(|| evidence.upstream.clone());
        let lane = self.lanes.entry(evidence.lane).or_default();
        lane.push(side, bad.clone());
        self.all.push(side, bad);
        let condemned = lane.condemns() || self.all.condemns();
        let was = self.condemned;
        self.condemned |= condemned && !self.is_over();
        self.condemned && !was
    }

    /// Bad and all answers among those judged last, of the new version and of the old one.
    pub fn tally(&self) -> [(usize, usize); 2] {
        [&self.all.new, &self.all.old].map(|judged| (judged.bad(), judged.newest.len()))
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
        self.samples += 1;
        let weight = PACE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean_ms += weight * (pace_ms - self.mean_ms);
    }
}
