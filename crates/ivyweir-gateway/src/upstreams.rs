//! The upstreams as a box sees them: which there are, how busy they are, and which may serve.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::{Fleet, Standing, UpstreamRecord};
use ivyweir_policy::gateway::place::{self, Ask, Candidate, UpstreamLoad};
use ivyweir_policy::gateway::rollout::{RolloutState, Side};
use ivyweir_policy::gateway::word::Work;
use ivyweir_policy::rank::hash64;

/// The upstreams and what this box knows of their load.
#[derive(Debug, Default)]
pub struct Upstreams {
    fleet: Fleet,
    loads: HashMap<Name, Known>,
    /// The version of each pool that serves what no roll-out moves.
    settled: HashMap<Name, Name>,
}

#[derive(Debug)]
struct Known {
    load: UpstreamLoad,
    id_hash: u64,
}

/// An upstream that was chosen, and why.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The upstream.
    pub upstream: Arc<UpstreamRecord>,
    /// Mean work of the pool's upstreams.
    pub mean_work_ms: f64,
    /// Number of upstreams that were weighed.
    pub candidates: usize,
    /// Work under way at the one that was chosen.
    pub load_ms: f64,
    /// What the request itself takes until its first token.
    pub read_ms: f64,
    /// What of that is saved where its shared part is kept.
    pub saved_ms: f64,
}

/// Which upstreams of a pool may serve a request.
#[derive(Debug, Clone, Copy)]
pub struct Scope<'a> {
    /// The pool.
    pub pool: &'a Name,
    /// The side of a roll-out that serves it; none where none is under way.
    pub side: Option<Side>,
    /// Upstreams that were tried.
    pub tried: &'a [Name],
}

/// A roll-out's version and how far it is.
#[derive(Debug)]
pub struct Target {
    /// The version that is to serve the pool.
    pub version: Name,
    /// How far the roll-out is.
    pub state: RolloutState,
}

impl Upstreams {
    /// The upstreams themselves.
    pub fn fleet(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    /// What is known of an upstream's load.
    pub fn load(&mut self, id: &Name) -> &mut UpstreamLoad {
        &mut self.known(id).load
    }

    /// Takes in a pool's version that serves what no roll-out moves.
    pub fn settle(&mut self, pool: &Name, version: &Name) {
        self.settled.insert(pool.clone(), version.clone());
    }

    /// Records of upstreams that take work.
    pub fn ready(&self) -> Vec<UpstreamRecord> {
        let members = self.fleet.members();
        let ready = members.filter(|m| m.standing == Standing::Ready);
        ready.map(|m| (*m.record).clone()).collect()
    }

    /// Work of this box's own requests, where there is some.
    pub fn own_work(&self) -> Work {
        let loads = self.loads.iter();
        let own = loads.map(|(id, known)| (id.clone(), known.load.own_work_ms()));
        own.filter(|(_, work_ms)| *work_ms > 0.0).collect()
    }

    /// Takes in other boxes' work.
    pub fn take_others_work(&mut self, work: &Work, now_ms: u64) {
        for id in self.ids() {
            let work_ms = work.get(&id).copied().unwrap_or(0.0);
            self.load(&id).others(work_ms, now_ms);
        }
    }

    /// Forgets upstreams that lapsed `grace_ms` ago; returns their ids, and those that are left.
    pub fn sweep(&mut self, grace_ms: u64, now_ms: u64) -> (Vec<Name>, HashSet<Name>) {
        let forgotten = self.fleet.forget_lapsed(grace_ms, now_ms);
        let left: HashSet<Name> = self.ids().into_iter().collect();
        self.loads
            .retain(|id, known| left.contains(id) || known.load.in_flight() > 0);
        (forgotten, left)
    }

    /// Chooses an upstream; none where the pool has none left.
    pub fn choose(
        &mut self,
        scope: &Scope,
        ask: &Ask,
        target: Option<&Target>,
        now_ms: u64,
    ) -> Option<Choice> {
        let usable = self.usable(scope, target).into_iter();
        let records: Vec<Arc<UpstreamRecord>> = usable
            .filter(|record| !scope.tried.contains(&record.id))
            .collect();
        let candidates: Vec<Candidate> = records.iter().map(|r| self.candidate(r)).collect();
        let chosen = place::choose(&candidates, ask, now_ms)?;
        Some(Choice {
            upstream: records[chosen].clone(),
            mean_work_ms: place::mean_work_ms(&candidates, now_ms),
            candidates: candidates.len(),
            load_ms: candidates[chosen].load.load_ms(now_ms),
            read_ms: ask.engine.map_or(0.0, |estimate| estimate.read_ms),
            saved_ms: ask.engine.map_or(0.0, |estimate| estimate.saved_ms),
        })
    }

    fn ids(&self) -> Vec<Name> {
        let members = self.fleet.members();
        members.map(|m| m.record.id.clone()).collect()
    }

    /// Upstreams of the versions that may serve, whether they were tried or not.
    fn usable(&mut self, scope: &Scope, target: Option<&Target>) -> Vec<Arc<UpstreamRecord>> {
        let settled = self.settled_version(scope.pool, target);
        let of_version = |version: &Name| self.fleet.usable(scope.pool, |v| v == &**version);
        let is_target = |v: &str| target.is_some_and(|t| v == &*t.version);
        if scope.side == Some(Side::New)
            && let Some(target) = target
        {
            let new = of_version(&target.version);
            if !new.is_empty() {
                return new;
            }
        }
        if let Some(settled) = settled {
            let old = of_version(&settled);
            if !old.is_empty() {
                return old;
            }
        }
        let completed = target.is_some_and(|t| t.state == RolloutState::Completed);
        self.fleet
            .usable(scope.pool, |v| completed || !is_target(v))
    }

    /// The version that serves what no roll-out moves: the first seen, until a roll-out completes.
    fn settled_version(&mut self, pool: &Name, target: Option<&Target>) -> Option<Name> {
        if let Some(target) = target
            && target.state == RolloutState::Completed
        {
            return Some(target.version.clone());
        }
        if let Some(settled) = self.settled.get(pool)
            && target.is_none_or(|t| t.version != *settled)
        {
            return Some(settled.clone());
        }
        let mut counts: HashMap<Name, usize> = HashMap::new();
        for member in self.fleet.members().filter(|m| m.record.pool == *pool) {
            let version = &member.record.version;
            if target.is_none_or(|t| t.version != *version) {
                *counts.entry(version.clone()).or_default() += 1;
            }
        }
        // Equal counts must not make boxes settle on different versions.
        let by_count = |a: &(Name, usize), b: &(Name, usize)| a.1.cmp(&b.1).then(b.0.cmp(&a.0));
        let (version, _) = counts.into_iter().max_by(by_count)?;
        self.settled.insert(pool.clone(), version.clone());
        Some(version)
    }

    fn known(&mut self, id: &Name) -> &mut Known {
        self.loads.entry(id.clone()).or_insert_with(|| Known {
            load: UpstreamLoad::default(),
            id_hash: hash64(&[id.as_bytes()]),
        })
    }

    fn candidate<'a>(&mut self, record: &'a UpstreamRecord) -> Candidate<'a> {
        let known = self.known(&record.id);
        Candidate {
            record,
            id_hash: known.id_hash,
            load: known.load.clone(),
        }
    }
}
