//! Explores the at-most-once protocol exhaustively in a small world.
//!
//! Boxes, a store and a caller that repeats its key at any box. Boxes crash, pause, stop as planned;
//! answers of the store are lost; messages come late. In no reachable state has a key run twice.

use std::collections::{HashSet, VecDeque};

use ivyweir_policy::Name;
use ivyweir_policy::claim::{Authority, BeginOutcome, Claim, ClaimOutcome, Incarnation, Journal};

const BOXES: usize = 3;
const MAX_REQUESTS: u8 = 3;

fn incarnation(at: usize) -> Incarnation {
    Incarnation {
        box_name: format!("box-{at}").into(),
        number: 1,
    }
}

fn key() -> Name {
    "workspace\nkey".into()
}

/// Where a request that was admitted at a box stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    /// The authority let it run; nothing has left.
    Begun,
    /// The claim is granted as far as the box knows.
    Claimed,
    /// Left for the upstream.
    Sent,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Request {
    at: usize,
    nonce: u8,
    stage: Stage,
}

/// What a box remembers of the key: enough to rebuild its authority.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct BoxState {
    crashed: bool,
    used: bool,
    released: bool,
    finished: bool,
    /// The successor chosen at a stop; `Some(None)` for none.
    frozen: Option<Option<usize>>,
    adopted: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    boxes: Vec<BoxState>,
    requests: Vec<Request>,
    made: u8,
    journal: Journal,
    store_out: bool,
    runs: u8,
}

/// Which of the protocol's parts are left out, to show that the model can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// The claim is not written for requests without a session.
    SkipClaim,
    /// The successor is not told of the keys used.
    ForgetUsed,
    /// A stopping box names another successor when the first does not answer.
    SecondSuccessor,
    /// A stopping box goes on running keys.
    NoFreeze,
}

#[derive(Debug, Clone, Copy)]
struct Setup {
    broken: Broken,
    /// Whether the key belongs to a session that box 0 opened.
    in_session: bool,
}

impl State {
    fn start() -> Self {
        Self {
            boxes: vec![BoxState::default(); BOXES],
            requests: Vec::new(),
            made: 0,
            journal: Journal::default(),
            store_out: false,
            runs: 0,
        }
    }

    /// The product's own authority, in the state that this box is in.
    fn authority(&self, at: usize, setup: Setup) -> Authority<u8> {
        let held = &self.boxes[at];
        let mut authority = Authority::new(incarnation(at));
        if held.adopted {
            authority.adopt(incarnation(0), Vec::new());
        }
        let opener = if held.adopted {
            incarnation(0)
        } else {
            incarnation(at)
        };
        let ran = held.used && !held.released;
        if ran && authority.begin(&opener, &key()) == BeginOutcome::Run && held.finished {
            authority.finish(&key(), 1);
        }
        if let Some(successor) = held.frozen
            && setup.broken != Broken::NoFreeze
        {
            authority.freeze(successor.map(incarnation));
        }
        authority
    }

    fn successors(&self, setup: Setup) -> Vec<Self> {
        let mut next = Vec::new();
        self.ask(setup, &mut next);
        for at in 0..self.requests.len() {
            self.advance(at, setup, &mut next);
        }
        self.fail(&mut next);
        self.stop(setup, &mut next);
        next
    }

    /// The caller sends its key, to any box.
    fn ask(&self, setup: Setup, next: &mut Vec<Self>) {
        if self.made == MAX_REQUESTS {
            return;
        }
        for at in (0..BOXES).filter(|&at| !self.boxes[at].crashed) {
            let opener = if setup.in_session {
                incarnation(0)
            } else {
                incarnation(at)
            };
            let mut authority = self.authority(at, setup);
            if authority.begin(&opener, &key()) != BeginOutcome::Run {
                continue;
            }
            let mut then = self.clone();
            then.made += 1;
            then.boxes[at].used = true;
            then.boxes[at].released = false;
            then.requests.push(Request {
                at,
                nonce: if setup.in_session { 0 } else { self.made + 1 },
                stage: Stage::Begun,
            });
            next.push(then);
        }
    }

    fn advance(&self, which: usize, setup: Setup, next: &mut Vec<Self>) {
        let request = &self.requests[which];
        if self.boxes[request.at].crashed {
            return;
        }
        let mut then = self.clone();
        match request.stage {
            Stage::Begun if setup.in_session || setup.broken == Broken::SkipClaim => {
                // The session's authority is enough; the journal only adds to it.
                then.requests[which].stage = Stage::Claimed;
                next.push(then);
            }
            Stage::Begun => self.claim(which, next),
            Stage::Claimed => {
                then.requests[which].stage = Stage::Sent;
                then.runs += 1;
                next.push(then);
            }
            Stage::Sent => {
                then.boxes[request.at].finished = true;
                then.requests.remove(which);
                next.push(then);
            }
        }
    }

    fn claim(&self, which: usize, next: &mut Vec<Self>) {
        let request = &self.requests[which];
        let refused = || {
            let mut then = self.clone();
            then.boxes[request.at].released = true;
            then.requests.remove(which);
            then
        };
        if self.store_out {
            next.push(refused());
            return;
        }
        let claim = Claim {
            nonce: request.nonce.to_string().into(),
            holder: incarnation(request.at),
            at_ms: 0,
        };
        let mut written = self.clone();
        let verdict = written.journal.claim(key(), claim);
        match verdict {
            ClaimOutcome::Granted => {
                // The answer comes, or it is lost: then the box reads again, or gives up.
                let mut granted = written.clone();
                granted.requests[which].stage = Stage::Claimed;
                next.push(granted);
                next.push(written.clone());
                let mut given_up = written;
                given_up.boxes[request.at].released = true;
                given_up.requests.remove(which);
                next.push(given_up);
            }
            ClaimOutcome::Taken(_) => next.push(refused()),
        }
    }

    /// Boxes crash at any moment, the store goes out and comes back. A pause is a box that takes no
    /// step while others do, which the exploration has anyway.
    fn fail(&self, next: &mut Vec<Self>) {
        for at in (0..BOXES).filter(|&at| !self.boxes[at].crashed) {
            let mut then = self.clone();
            then.boxes[at].crashed = true;
            next.push(then);
        }
        let mut then = self.clone();
        then.store_out = !self.store_out;
        next.push(then);
    }

    /// Box 0 stops as planned: it freezes, and hands over to its one successor, perhaps twice.
    fn stop(&self, setup: Setup, next: &mut Vec<Self>) {
        let leaving = &self.boxes[0];
        if leaving.crashed {
            return;
        }
        for successor in 1..BOXES {
            let first_or_same = match leaving.frozen {
                None => true,
                Some(chosen) => {
                    chosen == Some(successor) || setup.broken == Broken::SecondSuccessor
                }
            };
            if !first_or_same || self.boxes[successor].crashed {
                continue;
            }
            let mut authority = self.authority(0, setup);
            let (chosen, used) = authority.freeze(Some(incarnation(successor)));
            let mut frozen = self.clone();
            frozen.boxes[0].frozen = Some(Some(successor));
            // The message is lost, or arrives.
            next.push(frozen.clone());
            let agreed = chosen == Some(incarnation(successor)) || setup.broken != Broken::Nothing;
            if agreed && !self.boxes[successor].adopted {
                let tells = !used.is_empty() && setup.broken != Broken::ForgetUsed;
                frozen.boxes[successor].adopted = true;
                frozen.boxes[successor].used |= tells;
                frozen.boxes[successor].released &= !tells;
                next.push(frozen);
            }
        }
    }
}

/// Explores all reachable states. Returns how many there are, or one in which a key ran twice.
fn explore(setup: Setup) -> Result<usize, Box<State>> {
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([State::start()]);
    while let Some(state) = queue.pop_front() {
        if state.runs > 1 {
            return Err(Box::new(state));
        }
        if seen.insert(state.clone()) {
            queue.extend(state.successors(setup));
        }
    }
    Ok(seen.len())
}

macro_rules! explores {
    ($($name:ident: $broken:ident, $in_session:literal => $holds:literal;)*) => {
        $(#[test] fn $name() {
            let found = explore(Setup { broken: Broken::$broken, in_session: $in_session });
            match found {
                Ok(states) => {
                    println!("{states} states");
                    assert!($holds && states > 400, "{states} states");
                }
                Err(state) => assert!(!$holds, "ran twice: {state:?}"),
            }
        })*
    };
}

explores! {
    a_session_key_runs_at_most_once: Nothing, true => true;
    a_claimed_key_runs_at_most_once: Nothing, false => true;
    without_the_claim_a_key_runs_twice: SkipClaim, false => false;
    without_the_used_keys_a_successor_runs_one_again: ForgetUsed, true => false;
    with_two_successors_a_key_runs_twice: SecondSuccessor, true => false;
    without_freezing_a_key_runs_twice: NoFreeze, true => false;
}
