//! Exhaustive model check of the at-most-once protocol in a small configuration.
//!
//! The model has three boxes, one store and a caller that may repeat its key at any box. Boxes
//! crash, pause and shut down as planned, store responses are lost, and messages are delayed.
//! No reachable state may have run a key twice.

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

/// Progress of a request that a box has admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    /// The authority admitted the request; nothing has been sent.
    Begun,
    /// The box considers the claim granted.
    Claimed,
    /// Sent to the upstream.
    Sent,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Request {
    at: usize,
    nonce: u8,
    stage: Stage,
}

/// What a box records about the key: enough to rebuild its authority.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct BoxState {
    crashed: bool,
    used: bool,
    released: bool,
    finished: bool,
    /// The successor chosen at a planned shutdown; `Some(None)` if there is none.
    frozen: Option<Option<usize>>,
    adopted: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    boxes: Vec<BoxState>,
    requests: Vec<Request>,
    issued: u8,
    journal: Journal,
    store_unavailable: bool,
    runs: u8,
}

/// The protocol step that is left out, to show that the model detects the violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// No claim is written for requests without a session.
    SkipClaim,
    /// The successor does not receive the used keys.
    ForgetUsed,
    /// A box that is shutting down picks another successor if the first does not answer.
    SecondSuccessor,
    /// A box that is shutting down continues to run keys.
    NoFreeze,
}

#[derive(Debug, Clone, Copy)]
struct Setup {
    fault: Fault,
    /// Whether the key belongs to a session that box 0 opened.
    in_session: bool,
}

impl State {
    fn start() -> Self {
        Self {
            boxes: vec![BoxState::default(); BOXES],
            requests: Vec::new(),
            issued: 0,
            journal: Journal::default(),
            store_unavailable: false,
            runs: 0,
        }
    }

    /// Builds the production `Authority` in the state of this box.
    fn authority(&self, at: usize, setup: Setup) -> Authority<u8> {
        let box_state = &self.boxes[at];
        let mut authority = Authority::new(incarnation(at));
        if box_state.adopted {
            authority.adopt(incarnation(0), Vec::new());
        }
        let opener = if box_state.adopted {
            incarnation(0)
        } else {
            incarnation(at)
        };
        let ran = box_state.used && !box_state.released;
        if ran && authority.begin(&opener, &key()) == BeginOutcome::Run && box_state.finished {
            authority.finish(&key(), 1);
        }
        if let Some(successor) = box_state.frozen
            && setup.fault != Fault::NoFreeze
        {
            authority.freeze(successor.map(incarnation));
        }
        authority
    }

    fn successors(&self, setup: Setup) -> Vec<Self> {
        let mut next = Vec::new();
        self.issue_request(setup, &mut next);
        for index in 0..self.requests.len() {
            self.advance(index, setup, &mut next);
        }
        self.inject_faults(&mut next);
        self.shut_down(setup, &mut next);
        next
    }

    /// The caller sends its key to any box.
    fn issue_request(&self, setup: Setup, next: &mut Vec<Self>) {
        if self.issued == MAX_REQUESTS {
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
            let mut next_state = self.clone();
            next_state.issued += 1;
            next_state.boxes[at].used = true;
            next_state.boxes[at].released = false;
            next_state.requests.push(Request {
                at,
                nonce: if setup.in_session { 0 } else { self.issued + 1 },
                stage: Stage::Begun,
            });
            next.push(next_state);
        }
    }

    fn advance(&self, index: usize, setup: Setup, next: &mut Vec<Self>) {
        let request = &self.requests[index];
        if self.boxes[request.at].crashed {
            return;
        }
        let mut next_state = self.clone();
        match request.stage {
            Stage::Begun if setup.in_session || setup.fault == Fault::SkipClaim => {
                // The session's authority suffices; the journal is only an additional check.
                next_state.requests[index].stage = Stage::Claimed;
                next.push(next_state);
            }
            Stage::Begun => self.claim(index, next),
            Stage::Claimed => {
                next_state.requests[index].stage = Stage::Sent;
                next_state.runs += 1;
                next.push(next_state);
            }
            Stage::Sent => {
                next_state.boxes[request.at].finished = true;
                next_state.requests.remove(index);
                next.push(next_state);
            }
        }
    }

    fn claim(&self, index: usize, next: &mut Vec<Self>) {
        let request = &self.requests[index];
        let refused = || {
            let mut next_state = self.clone();
            next_state.boxes[request.at].released = true;
            next_state.requests.remove(index);
            next_state
        };
        if self.store_unavailable {
            next.push(refused());
            return;
        }
        let claim = Claim {
            nonce: request.nonce.to_string().into(),
            holder: incarnation(request.at),
            at_ms: 0,
        };
        let mut written = self.clone();
        let outcome = written.journal.claim(key(), claim);
        match outcome {
            ClaimOutcome::Granted => {
                // The response arrives, or it is lost and the box either reads again or gives up.
                let mut granted = written.clone();
                granted.requests[index].stage = Stage::Claimed;
                next.push(granted);
                next.push(written.clone());
                let mut given_up = written;
                given_up.boxes[request.at].released = true;
                given_up.requests.remove(index);
                next.push(given_up);
            }
            ClaimOutcome::Taken(_) => next.push(refused()),
        }
    }

    /// Boxes crash at any time, and the store becomes unavailable and recovers. A pause needs no
    /// transition of its own: the exploration already covers a box that takes no step while others do.
    fn inject_faults(&self, next: &mut Vec<Self>) {
        for at in (0..BOXES).filter(|&at| !self.boxes[at].crashed) {
            let mut next_state = self.clone();
            next_state.boxes[at].crashed = true;
            next.push(next_state);
        }
        let mut next_state = self.clone();
        next_state.store_unavailable = !self.store_unavailable;
        next.push(next_state);
    }

    /// Planned shutdown of box 0: it freezes and hands over to its only successor, possibly twice.
    fn shut_down(&self, setup: Setup, next: &mut Vec<Self>) {
        let leaving = &self.boxes[0];
        if leaving.crashed {
            return;
        }
        for successor in 1..BOXES {
            let first_or_same = match leaving.frozen {
                None => true,
                Some(chosen) => chosen == Some(successor) || setup.fault == Fault::SecondSuccessor,
            };
            if !first_or_same || self.boxes[successor].crashed {
                continue;
            }
            let mut authority = self.authority(0, setup);
            let (chosen, used) = authority.freeze(Some(incarnation(successor)));
            let mut frozen = self.clone();
            frozen.boxes[0].frozen = Some(Some(successor));
            // The hand-over message is either lost or delivered.
            next.push(frozen.clone());
            let agreed = chosen == Some(incarnation(successor)) || setup.fault != Fault::None;
            if agreed && !self.boxes[successor].adopted {
                let transfers_keys = !used.is_empty() && setup.fault != Fault::ForgetUsed;
                frozen.boxes[successor].adopted = true;
                frozen.boxes[successor].used |= transfers_keys;
                frozen.boxes[successor].released &= !transfers_keys;
                next.push(frozen);
            }
        }
    }
}

/// Explores all reachable states. Returns their number, or a state in which a key ran twice.
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
    ($($name:ident: $fault:ident, $in_session:literal => $holds:literal;)*) => {
        $(#[test] fn $name() {
            let found = explore(Setup { fault: Fault::$fault, in_session: $in_session });
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
    a_session_key_runs_at_most_once: None, true => true;
    a_claimed_key_runs_at_most_once: None, false => true;
    without_the_claim_a_key_runs_twice: SkipClaim, false => false;
    without_the_used_keys_a_successor_runs_one_again: ForgetUsed, true => false;
    with_two_successors_a_key_runs_twice: SecondSuccessor, true => false;
    without_freezing_a_key_runs_twice: NoFreeze, true => false;
}
