//! What an upstream does with a request.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

/// What upstreams say of themselves when they reject a request.
const STATEMENTS: [&str; 16] = [
    "",
    "",
    "",
    "",
    "",
    "",
    "",
    "ivyweir-load: 0,0,6\r\n",
    "ivyweir-load: 2,0,6\r\n",
    "ivyweir-load: 6,3,6\r\n",
    "retry-after: 0.05\r\n",
    "retry-after: 0.05\r\n",
    "retry-after: 0.5\r\n",
    "retry-after: 0.5\r\n",
    "retry-after: 0.5\r\n",
    "ivyweir-limit: 40\r\n",
];

/// Header lines of answers that do not name the request.
const FOREIGN_IDS: [&str; 3] = [
    "",
    "ivyweir-request-id: \r\n",
    "ivyweir-request-id: stranger\r\n",
];

/// What an upstream does with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Conduct {
    /// Runs it.
    Run(Run),
    /// Rejects it as not run.
    Reject(Rejection),
    /// Closes the connection without having read the request.
    CloseUnread,
    /// Closes the connection after having read the request, which does not run.
    CloseRead,
}

/// How a request is run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Whether it begins to run before its body is read.
    pub begins_at_head: bool,
    /// Time until the answer.
    pub work: Duration,
    /// Time between the events of a stream.
    pub gap: Duration,
    /// Status of the answer; no answer says that the request has not run.
    pub status: u16,
    /// What becomes of the answer.
    pub end: RunEnd,
    /// Whether an informational response precedes the answer.
    pub is_announced: bool,
    /// Time after the answer in which the connection is closed unless a request comes on it.
    pub idle: Option<Duration>,
    /// Header lines with what the upstream says of itself.
    pub statement: &'static str,
    /// Header line of a rejection, sent before the answer, that does not name the request.
    pub foreign_rejection: Option<&'static str>,
}

/// What becomes of the answer of a request that ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// It is sent whole.
    Answer,
    /// It is sent whole, and later once more in the place of the answer to the next request.
    AnswerTwice,
    /// Its body breaks off.
    Truncate,
    /// The connection is closed instead.
    Close,
    /// The connection is reset instead.
    Reset,
    /// Nothing is sent on the connection any more.
    Silence,
}

/// How a request is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// The status.
    pub status: u16,
    /// Whether the header that says so is there; status 421 says so by itself.
    pub says_not_run: bool,
    /// Time until the rejection.
    pub after: Duration,
    /// Whether it has a body.
    pub has_body: bool,
    /// Pause in the middle of the rejection.
    pub split: Option<Duration>,
    /// Whether it comes before the body of the request is read.
    pub is_early: bool,
    /// Header lines with what the upstream says of itself.
    pub statement: &'static str,
    /// Whether an informational response precedes it.
    pub is_announced: bool,
    /// What follows it.
    pub then: Then,
}

/// What follows a rejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Then {
    /// The connection is kept.
    Keep,
    /// The connection is kept, and the rejection is sent again in the place of the next answer.
    RejectAgain,
    /// The connection is closed, as the rejection says.
    CloseSaid,
    /// The connection is closed without a word.
    Close,
    /// The connection is reset.
    Reset,
    /// The connection is closed in the middle of the rejection.
    BreakOff,
}

impl Run {
    /// Runs a request well.
    pub fn well(random: &mut StdRng) -> Self {
        Self {
            begins_at_head: random.random_bool(0.2),
            work: millis(random, 1..30),
            gap: millis(random, 0..20),
            status: 200,
            end: RunEnd::Answer,
            is_announced: random.random_bool(0.05),
            idle: random.random_bool(0.1).then(|| millis(random, 0..60)),
            statement: pick(random, &["", "", "ivyweir-load: 2,0,6\r\n"]),
            foreign_rejection: None,
        }
    }
}

impl Conduct {
    /// Chooses a conduct; `fault_share` of all are other than to run a request and to answer.
    pub fn choose(random: &mut StdRng, fault_share: f64) -> Self {
        if !random.random_bool(fault_share) {
            return Self::Run(Run::well(random));
        }
        match random.random_range(0..20) {
            0..=8 => Self::Reject(Rejection::choose(random)),
            9 | 10 => Self::CloseUnread,
            11 => Self::CloseRead,
            _ => Self::Run(Self::choose_run(random)),
        }
    }

    fn choose_run(random: &mut StdRng) -> Run {
        let mut run = Run::well(random);
        match random.random_range(0..10) {
            0 => run.end = RunEnd::AnswerTwice,
            9 => run.foreign_rejection = Some(pick(random, &FOREIGN_IDS)),
            1 => run.end = RunEnd::Truncate,
            2 => run.end = RunEnd::Close,
            3 => run.end = RunEnd::Reset,
            4 => run.end = RunEnd::Silence,
            5 => run.work = millis(random, 100..700),
            6 => run.work = millis(random, 700..3_000),
            _ => run.status = pick(random, &[408, 429, 500, 503, 503, 504]),
        }
        if random.random_bool(0.2) {
            run.work = millis(random, 30..400);
        }
        run
    }
}

impl Run {
    /// Runs a request for seconds, and answers.
    pub fn long(random: &mut StdRng) -> Self {
        Self {
            work: millis(random, 3_000..11_000),
            ..Self::well(random)
        }
    }
}

impl Rejection {
    /// Says that the address belongs to another upstream by now.
    pub const OTHER_INCARNATION: Self = Self {
        status: 421,
        says_not_run: true,
        after: Duration::ZERO,
        has_body: false,
        split: None,
        is_early: false,
        statement: "",
        is_announced: false,
        then: Then::Keep,
    };

    /// Chooses a rejection.
    pub fn choose(random: &mut StdRng) -> Self {
        let status = match random.random_range(0..30) {
            // A box sends nothing more to an upstream that answers so.
            0 => 421,
            1..=8 => 429,
            _ => 503,
        };
        let afters = [0..1, 0..5, 0..50, 50..600, 600..2_500];
        let after = pick(random, &[0, 0, 0, 1, 1, 2, 3, 4]);
        let then = [
            Then::Keep,
            Then::Keep,
            Then::Keep,
            Then::RejectAgain,
            Then::CloseSaid,
            Then::Close,
            Then::Reset,
            Then::BreakOff,
        ];
        Self {
            status,
            says_not_run: status != 421 || random.random_bool(0.5),
            after: millis(random, afters[after].clone()),
            has_body: random.random_bool(0.4),
            split: random.random_bool(0.2).then(|| millis(random, 1..300)),
            is_early: random.random_bool(0.3),
            statement: if random.random_bool(0.005) {
                "ivyweir-leaving: 1\r\n"
            } else {
                pick(random, &STATEMENTS)
            },
            is_announced: random.random_bool(0.1),
            then: pick(random, &then),
        }
    }
}

fn millis(random: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

fn pick<T: Copy>(random: &mut StdRng, from: &[T]) -> T {
    *from.choose(random).expect("there is something to choose")
}
