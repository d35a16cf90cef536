//! Faults and changes, one after another.

use std::ops::Range;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_policy::gateway::rollout::RolloutState;
use ivyweir_standins::Fault;
use ivyweir_standins::edge::{PathFault, StoreFault};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::site::{KEYS, POOL};
use super::{HALLS, Soak, UPSTREAMS, Upstream};

/// Share of the steps behind which all faults of boxes and paths end.
const HEALED_SHARE: f64 = 0.35;

/// Number of upstreams that are replaced then, since boxes take some for gone.
const REPLACED_UPSTREAMS: usize = 3;

/// Number of times that upstreams are registered again while harmful requests are sent.
const HARM_ROUNDS: u32 = 30;

/// A fault or a change; some last, until another step or the end undoes them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    ReplaceUpstream,
    RestartUpstream,
    EndUpstreams,
    LeaveUpstream,
    PauseUpstreams,
    PauseAccepting,
    RejectAll,
    Harm,
    RollOut,
    KillBox,
    StopBox,
    PauseBox,
    Hup,
    StartWithoutStore,
    CutStorePath,
    SilenceStore,
    RevokeKey,
    RestoreKey,
    DrainHall,
    Surge,
    CutOneBox,
    CutSomeBoxes,
    CutAllButOne,
    HandOverBesideRejections,
    HandOverAndStop,
    HandOverAndKill,
    HandOverAndPause,
    HealPaths,
    Heal,
}

const STEPS: [Step; 29] = [
    Step::ReplaceUpstream,
    Step::RestartUpstream,
    Step::EndUpstreams,
    Step::LeaveUpstream,
    Step::PauseUpstreams,
    Step::PauseAccepting,
    Step::RejectAll,
    Step::Harm,
    Step::RollOut,
    Step::KillBox,
    Step::StopBox,
    Step::PauseBox,
    Step::Hup,
    Step::StartWithoutStore,
    Step::CutStorePath,
    Step::SilenceStore,
    Step::RevokeKey,
    Step::RestoreKey,
    Step::DrainHall,
    Step::Surge,
    Step::CutOneBox,
    Step::CutSomeBoxes,
    Step::CutAllButOne,
    Step::HandOverBesideRejections,
    Step::HandOverAndStop,
    Step::HandOverAndKill,
    Step::HandOverAndPause,
    Step::HealPaths,
    Step::Heal,
];

impl Soak {
    /// Makes one step. Each kind comes once before any comes again.
    pub fn step(&mut self) {
        if self.steps.is_empty() {
            self.steps = STEPS.to_vec();
            self.steps.shuffle(&mut self.random);
        }
        let step = self.steps.pop().expect("there are steps");
        self.make(step);
        self.register_again();
        self.tend_roll_out();
        if self.random.random_bool(HEALED_SHARE) {
            self.heal();
            for _ in 0..REPLACED_UPSTREAMS {
                self.make(Step::ReplaceUpstream);
            }
            self.sleep(300..1_000);
        }
        let pause = self.millis(20..400);
        thread::sleep(pause);
    }

    fn make(&mut self, step: Step) {
        let number = self.random_box();
        match step {
            Step::ReplaceUpstream => {
                let oldest = self.registered[0];
                self.add_another(oldest);
                self.remove_upstream(oldest);
            }
            Step::RestartUpstream => self.restart_upstream(),
            Step::EndUpstreams => {
                for _ in 0..self.random.random_range(1..=3) {
                    let down = self.millis(50..900);
                    self.random_upstream().upstream.end_for(down);
                }
            }
            Step::LeaveUpstream => self.leave_upstream(),
            Step::PauseUpstreams => {
                for _ in 0..self.random.random_range(1..=4) {
                    let pause = self.millis(500..3_000);
                    self.random_upstream().upstream.pause(pause);
                }
            }
            Step::PauseAccepting => {
                for _ in 0..self.random.random_range(1..=4) {
                    let pause = self.millis(300..1_500);
                    self.random_upstream().upstream.pause_accepting(pause);
                }
            }
            Step::RejectAll => self.reject_all(),
            Step::Harm => {
                self.shared.is_harmful.store(true, Ordering::Relaxed);
                for _ in 0..HARM_ROUNDS {
                    self.sleep(50..150);
                    self.register_again();
                }
                self.shared.is_harmful.store(false, Ordering::Relaxed);
            }
            Step::RollOut => self.roll_out(),
            Step::KillBox => self.kill(number),
            Step::StopBox => self.stop(number),
            Step::PauseBox => self.pause(number),
            Step::Hup => self.boxes.town.boxes[number].signal("HUP"),
            Step::StartWithoutStore => {
                self.boxes.store_paths[number].set(Fault::Cut);
                self.kill(number);
                self.sleep(300..1_200);
                self.boxes.store_paths[number].set(Fault::None);
            }
            Step::CutStorePath => self.boxes.store_paths[number].set(Fault::Cut),
            Step::SilenceStore => {
                self.boxes.town.store.set_fault(StoreFault::Silent);
                self.sleep(100..1_500);
                self.boxes.town.store.set_fault(StoreFault::None);
            }
            Step::RevokeKey => self.change_config(&KEYS[..1]),
            Step::RestoreKey => self.change_config(&KEYS),
            Step::DrainHall => {
                for hall in HALLS.choose_multiple(&mut self.random, 2) {
                    self.boxes.town.store.drain_hall(hall);
                }
                self.sleep(200..900);
                for hall in HALLS {
                    self.boxes.town.store.undrain_hall(hall);
                }
            }
            Step::Surge => {
                self.shared.is_surge.store(true, Ordering::Relaxed);
                self.sleep(300..900);
                self.shared.is_surge.store(false, Ordering::Relaxed);
            }
            Step::CutOneBox => self.cut_box(number),
            Step::CutSomeBoxes => {
                for _ in 0..self.random.random_range(1..=self.boxes.town.boxes.len()) {
                    let number = self.random_box();
                    self.cut_box(number);
                }
            }
            Step::CutAllButOne => {
                for other in 0..self.boxes.town.boxes.len() {
                    if other != number {
                        self.cut_box(other);
                    }
                }
            }
            Step::HandOverBesideRejections => {
                self.heal();
                for number in [number, (number + 1) % self.boxes.town.boxes.len()] {
                    self.cut_off(number, PathFault::Reset);
                    self.sleep(300..500);
                    self.reject_all();
                    self.sleep(500..900);
                }
            }
            Step::HandOverAndStop => self.hand_over_and(number, Self::stop),
            Step::HandOverAndKill => self.hand_over_and(number, Self::kill),
            Step::HandOverAndPause => self.hand_over_and(number, Self::pause),
            Step::HealPaths => {
                if let Some(paths) = &self.paths {
                    paths.heal();
                }
            }
            Step::Heal => self.heal(),
        }
    }

    /// Cuts a box off, so that it hands requests over, and then does something to another one.
    fn hand_over_and(&mut self, number: usize, then: fn(&mut Self, usize)) {
        self.cut_off(number, PathFault::Reset);
        self.sleep(100..600);
        let other = (number + 1) % self.boxes.town.boxes.len();
        then(self, other);
    }

    fn cut_off(&self, number: usize, fault: PathFault) {
        if let Some(paths) = &self.paths {
            paths.set_fault(self.boxes.town.boxes[number].pid(), fault);
        }
    }

    /// Cuts a box off from all or some upstreams.
    fn cut_box(&mut self, number: usize) {
        let faults = [PathFault::Hang, PathFault::Reset, PathFault::RefuseNew];
        let fault = *faults.choose(&mut self.random).expect("faults");
        if self.random.random_bool(0.6) {
            self.cut_off(number, fault);
            return;
        }
        let targets =
            (0..self.registered.len() / 2).map(|_| self.random_upstream().upstream.addr());
        let targets = targets.collect();
        if let Some(paths) = &self.paths {
            paths.set_fault_to(self.boxes.town.boxes[number].pid(), fault, targets);
        }
    }

    fn reject_all(&mut self) {
        let time = self.millis(200..800);
        for number in &self.registered {
            self.upstreams[*number].upstream.reject_all(time);
        }
    }

    /// Ends an upstream, and starts another one at its address.
    fn restart_upstream(&mut self) {
        let pause = self.millis(0..300);
        let Upstream { upstream, addr, .. } = self.random_upstream();
        let (earlier, addr) = (upstream.name(), *addr);
        upstream.restart_as(&format!("{earlier}-again"));
        let record = upstream.record_at(addr);
        thread::sleep(pause);
        self.boxes.town.store.put_upstream(&record);
        self.boxes.town.store.remove_upstream(&earlier);
        self.register_again();
    }

    /// An upstream says that it leaves, and is replaced.
    fn leave_upstream(&mut self) {
        let leaving = self.registered[0];
        let Upstream { upstream, addr, .. } = &self.upstreams[leaving];
        let mut record = upstream.record_at(*addr);
        record.is_leaving = true;
        self.boxes.town.store.put_upstream(&record);
        self.add_another(leaving);
        self.sleep(100..500);
        self.remove_upstream(leaving);
    }

    /// Adds an upstream of the same pool and version as another one.
    fn add_another(&mut self, number: usize) {
        let Upstream {
            is_engine, version, ..
        } = self.upstreams[number];
        self.add_upstream(is_engine, version);
    }

    fn roll_out(&mut self) {
        if self.is_rolling {
            return;
        }
        self.is_rolling = true;
        for _ in 0..UPSTREAMS / 2 {
            self.add_upstream(false, self.version + 1);
        }
        let target = format!("v{}", self.version + 1);
        self.boxes.town.store.order_rollout(POOL, &target, 2_000);
    }

    /// Removes the upstreams of the version that a roll-out leaves without requests.
    fn tend_roll_out(&mut self) {
        let state = self.boxes.town.store.rollout_state(POOL);
        let Some(state) = state.filter(|state| self.is_rolling && state.is_over()) else {
            return;
        };
        let mut ended = self.version + 1;
        if state == RolloutState::Completed {
            ended = self.version;
            self.version += 1;
        }
        let is_ended = |number: &usize| {
            let upstream = &self.upstreams[*number];
            !upstream.is_engine && upstream.version == ended
        };
        let ended: Vec<usize> = self.registered.iter().copied().filter(is_ended).collect();
        for number in ended {
            self.remove_upstream(number);
        }
        self.boxes.town.store.withdraw_rollout(POOL);
        self.is_rolling = false;
    }

    fn kill(&mut self, number: usize) {
        self.kills.push((number, Instant::now()));
        self.boxes.kill(number);
        self.tell_paths_of_boxes();
    }

    fn stop(&mut self, number: usize) {
        self.boxes.stop(number);
        self.tell_paths_of_boxes();
    }

    fn pause(&mut self, number: usize) {
        let pause = self.millis(50..1_200);
        self.boxes.pause(number, pause);
    }

    fn random_box(&mut self) -> usize {
        self.random.random_range(0..self.boxes.town.boxes.len())
    }

    fn random_upstream(&mut self) -> &Upstream {
        let number = *self.registered.choose(&mut self.random).expect("upstreams");
        &self.upstreams[number]
    }

    fn sleep(&mut self, range: Range<u64>) {
        let time = self.millis(range);
        thread::sleep(time);
    }

    fn millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }
}
