//! Which upstreams this box reaches, as opposed to which of them are up.
//!
//! A box may lose its network paths to upstreams while callers, the store and other boxes still reach it. A failed
//! connection alone does not tell this from an upstream that terminated, so suspected upstreams are checked: this box
//! probes them, and so do other boxes. An upstream that another box reaches and this one does not has no path from here.
//! If no upstream of a check is reached from here, this box is cut off from all of them.
//!
//! Requests to upstreams without a path are handed over to other boxes. The upstreams are probed until they answer.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Time without data from any upstream, while requests are in progress, after which the paths are checked.
const SILENCE_MS: u64 = 200;
/// Time without data from an upstream, while requests are in progress there, after which its path is checked.
const UPSTREAM_SILENCE_MS: u64 = 600;
/// Pause between checks that silence causes, as upstreams may be silent because they are busy.
const SILENCE_CHECK_PAUSE_MS: u64 = 1_000;
/// Time without data from any upstream after which all paths are in doubt while a check is in progress.
const DOUBT_SILENCE_MS: u64 = 300;
/// Pause between checks of more upstreams than the suspected ones and a few others.
const WIDE_CHECK_PAUSE_MS: u64 = 1_500;
/// Number of suspected upstreams from which all paths are in doubt while a check is in progress.
const DOUBT_SUSPECTS: usize = 2;
/// Number of upstreams without a path from which this box may be cut off from all; fewer if fewer were checked.
const MIN_CUT_FAULTS: usize = 2;
/// Upper bound of the time for which probes go on after the results of other boxes arrived.
const MAX_PROBE_EXTENSION_MS: u64 = 150;
/// Pause before the first probe of an upstream without a path; doubles with each further one.
const MIN_PROBE_PAUSE_MS: u64 = 200;
/// Upper bound of that pause.
const MAX_PROBE_PAUSE_MS: u64 = 800;

/// Result of a probe of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProbeResult {
    /// It responded.
    Reached,
    /// The connection was refused: nothing listens at the address, or the path refuses connections.
    Refused,
    /// The connection was closed before a response.
    Broken,
    /// There was no response in time.
    Silent,
}

/// What another box found out about upstreams.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PeerProbes {
    /// Whether that box has a path to any upstream. If not, only `Reached` among its results is meaningful.
    pub has_path: bool,
    /// Results by upstream.
    pub results: HashMap<Name, ProbeResult>,
    /// Time until the results arrived, measured by the box that asked.
    #[serde(skip)]
    pub took_ms: u64,
}

/// Time for which probes of these upstreams without a response go on after the results of other boxes arrived.
///
/// A busy machine is late with everything, and an upstream may send its response after a pause. So a path counts as silent
/// only if there is no response for as long again as another box took to reach the upstream.
pub fn probe_extension_ms(silent: &[Name], others: &[PeerProbes]) -> u64 {
    let reached_after_ms = |upstream: &Name| {
        let reached = others
            .iter()
            .filter(|probes| probes.results.get(upstream) == Some(&ProbeResult::Reached));
        reached.map(|probes| probes.took_ms).min()
    };
    let longest_ms = silent.iter().filter_map(reached_after_ms).max();
    longest_ms.map_or(0, |took_ms| took_ms.min(MAX_PROBE_EXTENSION_MS))
}

/// Results of the probes of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckedPath {
    /// Result of this box.
    pub own: ProbeResult,
    /// Best result of the other boxes; `None` if none with a path responded.
    pub others: Option<ProbeResult>,
}

impl CheckedPath {
    /// Combines the result of this box with those of other boxes.
    pub fn new(upstream: &Name, own: ProbeResult, others: &[PeerProbes]) -> Self {
        let results = others.iter().filter_map(|probes| {
            let result = *probes.results.get(upstream)?;
            (probes.has_path || result == ProbeResult::Reached).then_some(result)
        });
        let others = results.min_by_key(|result| *result != ProbeResult::Reached);
        Self { own, others }
    }

    /// Whether there is no path from this box to the upstream, which is up.
    pub fn is_fault(&self) -> bool {
        self.own != ProbeResult::Reached && self.others == Some(ProbeResult::Reached)
    }

    /// Whether nothing listens at the upstream's address: it refuses this box and the others. Without a result of
    /// another box, that of this one decides if `has_path`, that is, if it reaches other upstreams.
    pub fn is_terminated(&self, has_path: bool) -> bool {
        self.own == ProbeResult::Refused
            && match self.others {
                Some(result) => result == ProbeResult::Refused,
                None => has_path,
            }
    }
}

/// Change of this box's paths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    /// None, or not of this box as a whole.
    None,
    /// This box is cut off from all upstreams.
    CutOff,
    /// This box reaches upstreams again.
    Restored,
}

/// Path to one upstream.
#[derive(Debug, Default)]
struct Path {
    /// Requests in progress.
    requests: u32,
    /// Time since which a request waits for data from the upstream.
    waiting_since_ms: u64,
    last_contact_ms: Option<u64>,
    is_suspect: bool,
    fault: Option<PathFault>,
}

impl Path {
    fn is_idle(&self) -> bool {
        self.requests == 0 && !self.is_suspect && self.fault.is_none()
    }
}

/// A path that fails.
#[derive(Debug)]
struct PathFault {
    /// Whether connections transfer no data, rather than being refused or reset.
    hangs: bool,
    next_probe_ms: u64,
    probe_pause_ms: u64,
}

impl PathFault {
    fn new(hangs: bool, now_ms: u64) -> Self {
        Self {
            hangs,
            next_probe_ms: now_ms + MIN_PROBE_PAUSE_MS,
            probe_pause_ms: MIN_PROBE_PAUSE_MS,
        }
    }
}

/// A check in progress.
#[derive(Debug)]
struct Check {
    began_ms: u64,
}

/// Loss of the paths to all upstreams.
#[derive(Debug)]
struct Cut {
    /// Whether open connections transfer no data.
    hangs: bool,
    /// Start of the check that found it.
    since_ms: u64,
}

/// The paths from this box to the upstreams.
#[derive(Debug, Default)]
pub struct Reachability {
    paths: HashMap<Name, Path>,
    last_contact_ms: Option<u64>,
    check: Option<Check>,
    next_silence_check_ms: u64,
    next_wide_check_ms: u64,
    cut: Option<Cut>,
    /// Whether the last check reached nothing and no other box could tell why.
    is_unresolved: bool,
    /// Whether one upstream was reached after the loss of all paths, and not many were checked since.
    is_restoring: bool,
    suspects: usize,
    faults: usize,
}

impl Reachability {
    /// Records that a request is sent to an upstream.
    pub fn begin_request(&mut self, upstream: &Name, now_ms: u64) {
        let path = self.paths.entry(upstream.clone()).or_default();
        if path.requests == 0 {
            path.waiting_since_ms = now_ms;
        }
        path.requests += 1;
    }

    /// Records the end of a request.
    pub fn end_request(&mut self, upstream: &Name) {
        if let Some(path) = self.paths.get_mut(upstream) {
            path.requests = path.requests.saturating_sub(1);
        }
    }

    /// Records that data arrived from an upstream on an open connection.
    pub fn record_contact(&mut self, upstream: &Name, now_ms: u64) -> PathChange {
        self.last_contact_ms = Some(now_ms);
        self.is_unresolved = false;
        let Some(path) = self.paths.get_mut(upstream) else {
            return PathChange::None;
        };
        path.last_contact_ms = Some(now_ms);
        path.waiting_since_ms = now_ms;
        if path.fault.as_ref().is_some_and(|fault| fault.hangs) {
            path.fault = None;
            self.faults -= 1;
        }
        // Data that was under way when the paths were lost may arrive during the check that found the loss.
        if self.cut.as_ref().is_some_and(|cut| cut.hangs) {
            return self.end_cut();
        }
        PathChange::None
    }

    /// Records that a connection to an upstream failed. Returns whether a check is to be started.
    pub fn suspect(&mut self, upstream: &Name) -> bool {
        if self.cut.is_some() {
            return false;
        }
        let path = self.paths.entry(upstream.clone()).or_default();
        if path.fault.is_none() && !std::mem::replace(&mut path.is_suspect, true) {
            self.suspects += 1;
        }
        self.check.is_none() && self.suspects > 0
    }

    /// Suspects upstreams from which requests wait for data for long. Returns whether a check is to be started.
    pub fn suspect_silent(&mut self, now_ms: u64) -> bool {
        if self.check.is_some() || self.cut.is_some() || now_ms < self.next_silence_check_ms {
            return false;
        }
        let is_all_silent = self
            .last_contact_ms
            .is_none_or(|at_ms| at_ms + SILENCE_MS <= now_ms);
        let limit_ms = if is_all_silent {
            SILENCE_MS
        } else {
            UPSTREAM_SILENCE_MS
        };
        let mut has_silent = false;
        for path in self.paths.values_mut() {
            let is_silent = path.requests > 0 && path.waiting_since_ms + limit_ms <= now_ms;
            if is_silent && path.fault.is_none() {
                has_silent = true;
                if !std::mem::replace(&mut path.is_suspect, true) {
                    self.suspects += 1;
                }
            }
        }
        if has_silent {
            self.next_silence_check_ms = now_ms + SILENCE_CHECK_PAUSE_MS;
        }
        has_silent
    }

    /// Starts a check; returns the suspected upstreams, or `None` if there are none or a check is in progress.
    pub fn begin_check(&mut self, now_ms: u64) -> Option<Vec<Name>> {
        if self.check.is_some() || self.suspects == 0 || self.cut.is_some() {
            return None;
        }
        self.check = Some(Check { began_ms: now_ms });
        let suspects = self.paths.iter().filter(|(_, path)| path.is_suspect);
        Some(suspects.map(|(name, _)| name.clone()).collect())
    }

    /// Ends the suspicion of upstreams that are not known any more.
    pub fn clear_suspicion(&mut self, upstreams: &[&Name]) {
        for name in upstreams {
            if let Some(path) = self.paths.get_mut(*name)
                && std::mem::take(&mut path.is_suspect)
            {
                self.suspects -= 1;
            }
        }
    }

    /// Applies the results of a check. Suspected upstreams that were not checked stay suspected, and all do if the check
    /// reached nothing and no other box could tell why. `is_wide` if as many upstreams were checked as is worth while.
    pub fn apply_check(
        &mut self,
        results: &[(Name, CheckedPath)],
        is_wide: bool,
        now_ms: u64,
    ) -> PathChange {
        let began_ms = self.check.as_ref().map_or(now_ms, |check| check.began_ms);
        let has_contact = self.last_contact_ms.is_some_and(|at_ms| at_ms >= began_ms);
        // Data that was under way may have arrived during the check; what arrives later ends the doubt.
        self.is_unresolved = self.is_inconclusive(results);
        if self.is_unresolved {
            return PathChange::None;
        }
        for (name, checked) in results {
            let path = self.paths.entry(name.clone()).or_default();
            if std::mem::take(&mut path.is_suspect) {
                self.suspects -= 1;
            }
            let hangs = checked.own == ProbeResult::Silent;
            // Data on an open connection would have ended the fault.
            let is_live = hangs && path.last_contact_ms.is_some_and(|at_ms| at_ms >= began_ms);
            if checked.is_fault() && path.fault.is_none() && !is_live {
                path.fault = Some(PathFault::new(hangs, now_ms));
                self.faults += 1;
            }
            if checked.own == ProbeResult::Reached {
                path.last_contact_ms = Some(now_ms);
                path.waiting_since_ms = now_ms;
                self.last_contact_ms = Some(now_ms);
            }
        }
        let faults = results.iter().filter(|(_, checked)| checked.is_fault());
        let faults = faults.count();
        let none_reached = results
            .iter()
            .all(|(_, checked)| checked.own != ProbeResult::Reached);
        // A few upstreams may have no path by chance while others send data.
        let is_conclusive = is_wide || !has_contact;
        let min_faults = MIN_CUT_FAULTS.min(results.len()).max(1);
        if none_reached && is_conclusive && faults >= min_faults {
            let mut failed = results.iter().map(|(_, checked)| checked.own);
            let hangs = failed.all(|own| own == ProbeResult::Silent);
            self.cut = Some(Cut {
                hangs,
                since_ms: began_ms,
            });
            return PathChange::CutOff;
        }
        PathChange::None
    }

    /// Whether neither suspected upstreams nor others were reached, and no other box with a path to any responded. A request
    /// that ends upstreams leaves those that were not suspected.
    fn is_inconclusive(&self, results: &[(Name, CheckedPath)]) -> bool {
        let is_suspect = |name: &Name| self.paths.get(name).is_some_and(|path| path.is_suspect);
        let has_failed =
            |checked: &CheckedPath| checked.own != ProbeResult::Reached && checked.others.is_none();
        results.iter().any(|(name, _)| !is_suspect(name))
            && results.iter().all(|(_, checked)| has_failed(checked))
    }

    /// Returns whether other upstreams are worth a check too: some paths fail, and that was not checked
    /// recently.
    pub fn wants_wide_check(&mut self, results: &[(Name, CheckedPath)], now_ms: u64) -> bool {
        let has_fault = results.iter().any(|(_, checked)| checked.is_fault());
        if self.cut.is_some() || !has_fault || now_ms < self.next_wide_check_ms {
            return false;
        }
        self.next_wide_check_ms = now_ms + WIDE_CHECK_PAUSE_MS;
        true
    }

    /// Returns whether yet more upstreams are worth a check after many: so many of these have no path that requests would
    /// find out about the others at their own expense.
    pub fn wants_further_check(&self, results: &[(Name, CheckedPath)]) -> bool {
        let faults = results.iter().filter(|(_, checked)| checked.is_fault());
        self.cut.is_none() && 2 * faults.count() >= results.len()
    }

    /// Ends a check of many upstreams after the loss of all paths.
    pub fn end_wide_check(&mut self) {
        self.is_restoring = false;
    }

    /// Ends a check.
    pub fn end_check(&mut self) {
        self.check = None;
    }

    /// Upstreams to probe now, at most `limit`: those without a path that are due.
    pub fn due_probes(&mut self, limit: usize, now_ms: u64) -> Vec<Name> {
        let mut due = Vec::new();
        for (name, path) in &mut self.paths {
            let Some(fault) = &mut path.fault else {
                continue;
            };
            if due.len() < limit && fault.next_probe_ms <= now_ms {
                fault.probe_pause_ms = (fault.probe_pause_ms * 2).min(MAX_PROBE_PAUSE_MS);
                fault.next_probe_ms = now_ms + fault.probe_pause_ms;
                due.push(name.clone());
            }
        }
        due
    }

    /// Records that an upstream responded to a probe on a new connection.
    pub fn record_reached(&mut self, upstream: &Name, now_ms: u64) -> PathChange {
        self.last_contact_ms = Some(now_ms);
        self.is_unresolved = false;
        if let Some(path) = self.paths.get_mut(upstream) {
            path.last_contact_ms = Some(now_ms);
            if path.fault.take().is_some() {
                self.faults -= 1;
            }
        }
        if self.cut.is_some() {
            return self.end_cut();
        }
        PathChange::None
    }

    /// Ends the loss of all paths. Upstreams whose paths failed are probed again at once; while any still fail, all paths are
    /// in doubt until many were checked.
    fn end_cut(&mut self) -> PathChange {
        self.cut = None;
        self.is_restoring = true;
        let faults = self.paths.values_mut().filter_map(|p| p.fault.as_mut());
        faults.for_each(|fault| fault.next_probe_ms = 0);
        PathChange::Restored
    }

    /// Whether a check of suspected upstreams or after the loss of all paths is in progress.
    pub fn is_checking(&self) -> bool {
        self.check.is_some() || self.is_restoring()
    }

    /// Whether a path fails, or is in doubt. If not, all upstreams are reachable as far as is known.
    pub fn has_trouble(&self) -> bool {
        self.cut.is_some() || self.faults > 0 || self.suspects > 0
    }

    /// Whether data arrived from any upstream within the last `max_age_ms`.
    pub fn has_contact_within(&self, max_age_ms: u64, now_ms: u64) -> bool {
        self.last_contact_ms
            .is_some_and(|at_ms| now_ms <= at_ms + max_age_ms)
    }

    /// Whether this box is cut off from all upstreams.
    pub fn is_cut_off(&self) -> bool {
        self.cut.is_some()
    }

    /// Whether the last check could not tell why it reached nothing.
    pub fn is_unresolved(&self) -> bool {
        self.is_unresolved
    }

    /// Whether this box is cut off from all upstreams, or may be as far as is known until a check ends.
    pub fn may_be_cut_off(&self, now_ms: u64) -> bool {
        if self.cut.is_some() || self.is_unresolved || self.is_restoring() {
            return true;
        }
        let is_silent = self
            .last_contact_ms
            .is_none_or(|at_ms| at_ms + DOUBT_SILENCE_MS <= now_ms);
        self.check.is_some() && (self.suspects >= DOUBT_SUSPECTS || is_silent)
    }

    /// Whether paths that were lost with all others still fail, and it is not known yet which others do.
    fn is_restoring(&self) -> bool {
        self.is_restoring && self.faults > 0
    }

    /// Upstreams that requests are not sent to from here, because there is no path to them or it is in doubt.
    pub fn avoided(&self) -> Vec<Name> {
        let avoided = self.paths.iter();
        let avoided = avoided.filter(|(_, path)| path.fault.is_some() || path.is_suspect);
        avoided.map(|(name, _)| name.clone()).collect()
    }

    /// Whether a request that waits at an upstream on an open connection waits in vain: the path transfers no data.
    pub fn is_hanging(&self, upstream: &Name) -> bool {
        let Some(path) = self.paths.get(upstream) else {
            return false;
        };
        if path.fault.as_ref().is_some_and(|fault| fault.hangs) {
            return true;
        }
        let is_older = |since_ms| path.last_contact_ms.is_none_or(|at_ms| at_ms < since_ms);
        self.cut
            .as_ref()
            .is_some_and(|cut| cut.hangs && is_older(cut.since_ms))
    }

    /// Removes the state of upstreams that is not needed any more.
    pub fn sweep(&mut self, is_known: impl Fn(&str) -> bool) {
        let (mut faults, mut suspects) = (0, 0);
        self.paths.retain(|name, path| {
            if path.is_idle() || (path.requests == 0 && !is_known(name)) {
                return false;
            }
            faults += usize::from(path.fault.is_some());
            suspects += usize::from(path.is_suspect);
            true
        });
        (self.faults, self.suspects) = (faults, suspects);
    }
}
