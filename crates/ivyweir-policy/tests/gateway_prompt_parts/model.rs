//! A model of boxes that exchange their ledgers, and of upstreams that terminate under requests with a part.

use std::collections::{HashMap, HashSet};

use ivyweir_policy::Name;
use ivyweir_policy::gateway::quarantine::{
    EndObservation, Fingerprint, Ledger, LedgerSync, RequestIdentity, RunKey, UpstreamEnd,
};
use ivyweir_policy::hash::{hash64, mix};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub const POOL: &str = "engines";
pub const STEP_MS: i64 = 10;
/// Time from the head of a harmful request's answer to the end of its upstream.
pub const HARM_DELAY_MS: i64 = 100;
/// Time after which a run speaks for its parts.
pub const LASTED_MS: i64 = 1_000;
pub const RESTART_MS: i64 = 1_500;
/// Interval between exchanges with the relay.
pub const EXCHANGE_MS: i64 = 100;
pub const MAX_SENDS: u32 = 3;
/// Time in which all boxes hear of a termination: an exchange that is just missed, one to the relay and one from it.
pub const HEARD_MS: i64 = 3 * EXCHANGE_MS;
/// Terminations under a part after which requests with it are sent a few times more at most, once all boxes have heard.
pub const ENDS: usize = 5;

pub fn part(name: &str) -> u64 {
    hash64(&[name.as_bytes()])
}

pub fn part_fingerprint(name: &str) -> Fingerprint {
    Fingerprint::of_prompt_part(POOL, part(name))
}

pub fn identity(number: u64, parts: &[String]) -> RequestIdentity {
    let request: Fingerprint = format!("{number:016x}").parse().expect("hexadecimal");
    RequestIdentity::new(request, POOL, parts.iter().map(|name| part(name)))
}

/// What comes in a run of the model.
#[derive(Debug, Clone)]
pub struct Load {
    pub boxes: usize,
    pub upstreams: usize,
    pub sound_per_s: f64,
    pub harmful_per_s: f64,
    /// Number of harmful parts that come.
    pub harmful_parts: usize,
    /// Where the harmful part is among the shared ones.
    pub place: usize,
    /// Number of shared parts of each prompt.
    pub shared_parts: usize,
    /// Share of the runs with a harmful part that terminate their upstream.
    pub harm_share: f64,
    /// Terminations with another cause.
    pub other_ends_per_s: f64,
    /// Share of the upstreams that terminate together each 3 s.
    pub power_cut_share: f64,
    /// Time before the first harmful request.
    pub quiet_ms: i64,
}

pub const LOAD: Load = Load {
    boxes: 4,
    upstreams: 24,
    sound_per_s: 60.0,
    harmful_per_s: 8.0,
    harmful_parts: 1,
    place: 1,
    shared_parts: 3,
    harm_share: 1.0,
    other_ends_per_s: 0.0,
    power_cut_share: 0.0,
    quiet_ms: 3_000,
};

#[derive(Debug, Clone)]
pub struct Request {
    number: u64,
    identity: RequestIdentity,
    harmful_part: Option<usize>,
    box_number: usize,
    sends: u32,
    tried: Vec<usize>,
}

pub fn run_key(request: &Request) -> RunKey {
    RunKey {
        identity: request.identity.clone(),
        try_hash: request.number as u32,
    }
}

#[derive(Debug)]
pub struct Run {
    request: Request,
    began_at_ms: i64,
    ends_at_ms: i64,
    is_fatal: bool,
    has_lasted: bool,
}

#[derive(Debug, Default)]
pub struct Upstream {
    incarnation: u64,
    back_at_ms: Option<i64>,
    runs: Vec<Run>,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub sound_refused: usize,
    pub sound_asked: usize,
    /// Terminations under each harmful part, and sends with it.
    pub ends: HashMap<usize, Vec<i64>>,
    pub sends: HashMap<usize, Vec<i64>>,
    pub harmful_refused: usize,
}

impl Outcome {
    pub fn late_sends(&self) -> usize {
        let late = self.ends.iter().filter_map(|(part, ends)| {
            let last = ends.get(ENDS - 1)?;
            let sends = self.sends[part].iter().filter(|at| **at > last + HEARD_MS);
            Some(sends.count())
        });
        late.sum()
    }
}

pub struct Model {
    pub load: Load,
    pub random: StdRng,
    pub now_ms: i64,
    pub ledgers: Vec<(Ledger, LedgerSync)>,
    pub upstreams: Vec<Upstream>,
    pub next_number: u64,
    pub outcome: Outcome,
}

impl Model {
    pub fn new(load: &Load, seed: u64) -> Self {
        let new_box = |n: usize| (Ledger::default(), LedgerSync::new(n as u64 + 1));
        Self {
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
            ledgers: (0..load.boxes).map(new_box).collect(),
            upstreams: (0..load.upstreams).map(|_| Upstream::default()).collect(),
            next_number: 1,
            outcome: Outcome::default(),
            load: load.clone(),
        }
    }

    pub fn run(&mut self, for_ms: i64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.restart_upstreams();
        let sound = self.arrivals(self.load.sound_per_s);
        for _ in 0..sound {
            self.outcome.sound_asked += 1;
            let request = self.new_request(None);
            self.send(request);
        }
        if self.now_ms > self.load.quiet_ms {
            for _ in 0..self.arrivals(self.load.harmful_per_s) {
                let which = self.random.random_range(0..self.load.harmful_parts);
                let request = self.new_request(Some(which));
                self.send(request);
            }
        }
        self.end_runs();
        self.end_for_other_causes();
        if self.now_ms % EXCHANGE_MS == 0 {
            self.exchange();
        }
    }

    fn arrivals(&mut self, per_s: f64) -> u32 {
        let expected = per_s * STEP_MS as f64 / 1_000.0;
        let more = self.random.random_bool(expected.fract());
        expected as u32 + u32::from(more)
    }

    /// A prompt whose first part all share; the others are drawn from some that are ever rarer.
    fn new_request(&mut self, harmful_part: Option<usize>) -> Request {
        let number = self.next_number;
        self.next_number += 1;
        let mut parts: Vec<String> = (0..self.load.shared_parts)
            .map(|place| {
                let kinds = 1 << (3 * place).min(12);
                format!("{place}-{}", self.random.random_range(0..kinds))
            })
            .collect();
        if let Some(which) = harmful_part {
            parts[self.load.place] = format!("harmful-{which}");
        }
        Request {
            number,
            identity: identity(number, &parts),
            harmful_part,
            box_number: self.random.random_range(0..self.load.boxes),
            sends: 0,
            tried: Vec::new(),
        }
    }

    /// Sends a request to an upstream, or refuses it.
    fn send(&mut self, mut request: Request) {
        let ledger = &self.ledgers[request.box_number].0;
        if ledger.refusal(&request.identity, self.now_ms).is_some() {
            match request.harmful_part {
                Some(_) => self.outcome.harmful_refused += 1,
                None => self.outcome.sound_refused += 1,
            }
            return;
        }
        let Some(at) = self.place(&request) else {
            return;
        };
        let ledger = &mut self.ledgers[request.box_number].0;
        ledger.run_started(self.now_ms);
        request.sends += 1;
        request.tried.push(at);
        let is_fatal =
            request.harmful_part.is_some() && self.random.random_bool(self.load.harm_share);
        if let Some(part) = request.harmful_part {
            self.outcome
                .sends
                .entry(part)
                .or_default()
                .push(self.now_ms);
        }
        let lasts_ms = if is_fatal {
            HARM_DELAY_MS
        } else {
            self.random.random_range(300..2_000)
        };
        self.upstreams[at].runs.push(Run {
            request,
            began_at_ms: self.now_ms,
            ends_at_ms: self.now_ms + lasts_ms,
            is_fatal,
            has_lasted: false,
        });
    }

    fn place(&mut self, request: &Request) -> Option<usize> {
        let ledger = &self.ledgers[request.box_number].0;
        let running = |at: &usize| self.upstreams[*at].back_at_ms.is_none();
        let running: Vec<usize> = (0..self.upstreams.len()).filter(running).collect();
        let untried = running
            .iter()
            .copied()
            .filter(|at| !request.tried.contains(at));
        let untried: Vec<usize> = untried.collect();
        let among = if untried.is_empty() { running } else { untried };
        let part = ledger.contained_part(&request.identity, self.now_ms);
        let own = ledger.is_suspect(request.identity.request);
        let own = own.then_some(request.identity.request);
        match part.or(own) {
            Some(hash) => {
                let score = |at: &usize| mix(hash.bits(), self.upstream_hash(*at));
                among.into_iter().max_by_key(score)
            }
            None => {
                let sample: Vec<usize> = (0..4.min(among.len()))
                    .map(|_| among[self.random.random_range(0..among.len())])
                    .collect();
                sample
                    .into_iter()
                    .min_by_key(|at| self.upstreams[*at].runs.len())
            }
        }
    }

    fn upstream_hash(&self, at: usize) -> u64 {
        mix(at as u64 + 1, self.upstreams[at].incarnation)
    }

    fn end_runs(&mut self) {
        for at in 0..self.upstreams.len() {
            let is_fatal = |run: &Run| run.is_fatal && run.ends_at_ms <= self.now_ms;
            if self.upstreams[at].runs.iter().any(is_fatal) {
                self.end_upstream(at);
                continue;
            }
            let runs = std::mem::take(&mut self.upstreams[at].runs);
            let (ended, running) = runs
                .into_iter()
                .partition(|run| run.ends_at_ms <= self.now_ms);
            self.upstreams[at].runs = running;
            let ended: Vec<Run> = ended;
            for run in &mut self.upstreams[at].runs {
                if !run.has_lasted && run.began_at_ms + LASTED_MS <= self.now_ms {
                    run.has_lasted = true;
                    let ledger = &mut self.ledgers[run.request.box_number].0;
                    ledger.run_lasted(&run_key(&run.request), self.now_ms);
                }
            }
            for Run { request, .. } in ended {
                let ledger = &mut self.ledgers[request.box_number].0;
                ledger.run_completed(&run_key(&request), self.now_ms);
            }
        }
    }

    fn end_upstream(&mut self, at: usize) {
        let upstream_hash = self.upstream_hash(at);
        let upstream = &mut self.upstreams[at];
        upstream.back_at_ms = Some(self.now_ms + RESTART_MS);
        let runs = std::mem::take(&mut upstream.runs);
        for which in 0..self.load.harmful_parts {
            let is_there = |run: &Run| run.request.harmful_part == Some(which);
            if runs.iter().any(is_there) {
                self.outcome
                    .ends
                    .entry(which)
                    .or_default()
                    .push(self.now_ms);
            }
        }
        for number in 0..self.load.boxes {
            let own = runs.iter().filter(|run| run.request.box_number == number);
            let observations: Vec<EndObservation> = own
                .map(|run| EndObservation {
                    identity: run.request.identity.clone(),
                    end: UpstreamEnd {
                        upstream: upstream_hash,
                        try_hash: run.request.number as u32,
                        began_at_ms: run.began_at_ms,
                        at_ms: self.now_ms,
                    },
                    completed_at_ms: None,
                })
                .collect();
            self.set_running_parts(number);
            self.ledgers[number].0.upstream_ended(&observations);
        }
        for run in runs {
            if run.request.sends < MAX_SENDS {
                self.send(run.request);
            }
        }
    }

    fn set_running_parts(&mut self, number: usize) {
        let mut running = HashMap::new();
        for upstream in &self.upstreams {
            let own = upstream.runs.iter();
            let own = own.filter(|run| run.request.box_number == number);
            let parts = own.flat_map(|run| run.request.identity.parts.iter());
            for part in parts.collect::<HashSet<_>>() {
                *running.entry(*part).or_default() += 1;
            }
        }
        self.ledgers[number].0.set_running_parts(running);
    }

    fn end_for_other_causes(&mut self) {
        for _ in 0..self.arrivals(self.load.other_ends_per_s) {
            let at = self.random.random_range(0..self.upstreams.len());
            if self.upstreams[at].back_at_ms.is_none() {
                self.end_upstream(at);
            }
        }
        if self.load.power_cut_share > 0.0 && self.now_ms % 3_000 == 0 {
            let lost = (self.upstreams.len() as f64 * self.load.power_cut_share) as usize;
            let first = self.random.random_range(0..self.upstreams.len());
            for n in 0..lost {
                let at = (first + n) % self.upstreams.len();
                if self.upstreams[at].back_at_ms.is_none() {
                    self.end_upstream(at);
                }
            }
        }
    }

    fn restart_upstreams(&mut self) {
        for upstream in &mut self.upstreams {
            if upstream
                .back_at_ms
                .is_some_and(|at_ms| at_ms <= self.now_ms)
            {
                upstream.back_at_ms = None;
                upstream.incarnation += 1;
            }
        }
    }

    /// Every box exchanges its ledger with the first one.
    fn exchange(&mut self) {
        let names: Vec<Name> = (0..self.load.boxes)
            .map(|n| format!("box-{n}").into())
            .collect();
        for number in 1..self.load.boxes {
            for (from, to) in [(number, 0), (0, number)] {
                let (ledger, sync) = &mut self.ledgers[from];
                let Some(update) = sync.update_for(&names[to], ledger, self.now_ms) else {
                    continue;
                };
                self.set_running_parts(to);
                let (ledger, sync) = &mut self.ledgers[to];
                sync.receive(&names[from], update, ledger, self.now_ms);
            }
        }
    }
}
