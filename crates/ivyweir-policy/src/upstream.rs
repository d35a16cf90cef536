//! State of one upstream as seen by this box: load, failures and latency.

use std::sync::Arc;

use crate::balance::CallRequirements;
use crate::hash::hash64;
use crate::{BoxState, Name};

/// Ejection time after a first failure; long enough to route the next calls elsewhere.
const FIRST_EJECTION_MS: u64 = 250;
/// Ejection time after the second consecutive failure; doubles with each further one.
const REPEATED_EJECTION_MS: u64 = 1_000;
const MAX_EJECTION_MS: u64 = 30_000;
/// Calls that one box may have in flight beyond the reported free slots, in thousandths of its equal
/// share of the slots.
const HEADROOM_PERMILLE: u64 = 1_250;
/// Weight of the newest sample in the moving average, in thousandths.
const EWMA_PERMILLE: u64 = 200;
/// Score penalty for an upstream in another hall, in thousandths of a call per slot.
const CROSS_HALL_PENALTY_MILLI: u64 = 150;
/// Slow-start period over which the usable slots of a new upstream grow to the reported number.
const WARM_UP_MS: u64 = 3_000;

/// Versions that an upstream has loaded. Cheap to clone, as most upstreams have the same few sets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionSet {
    names: Arc<[Name]>,
    id: u32,
}

impl VersionSet {
    /// Returns the versions, as `model@version`.
    pub fn names(&self) -> &[Name] {
        &self.names
    }

    /// Returns a hash of the names that identifies the set.
    pub fn id(&self) -> u32 {
        self.id
    }
}

impl FromIterator<Name> for VersionSet {
    fn from_iter<I: IntoIterator<Item = Name>>(names: I) -> Self {
        let mut names: Vec<Name> = names.into_iter().collect();
        names.sort();
        let parts: Vec<&[u8]> = names.iter().map(|n| n.as_bytes()).collect();
        Self {
            id: hash64(&parts) as u32,
            names: names.into(),
        }
    }
}

impl Default for VersionSet {
    fn default() -> Self {
        Self::from_iter([])
    }
}

/// Load report of an upstream.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadReport {
    /// Number of running calls.
    pub running: u32,
    /// Number of waiting calls.
    pub waiting: u32,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Loaded versions, as `model@version`.
    pub versions: VersionSet,
    /// Time of the report by this box's clock, in milliseconds.
    pub at_ms: u64,
}

/// An upstream and its load, failures and latency as seen by this box.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Unique name.
    pub name: Name,
    /// Address that it listens on.
    pub addr: Name,
    /// Hall that it is in.
    pub hall: Name,
    /// Pool that it belongs to.
    pub pool: Name,
    /// Whether it accepts new calls.
    pub state: BoxState,
    /// Latest load report.
    pub report: LoadReport,
    id: u64,
    in_flight: u32,
    sent_since_report: u32,
    done_since_report: u32,
    consecutive_failures: u32,
    ejected_until_ms: u64,
    first_seen_ms: u64,
    first_token_ewma_ms: u64,
    report_changed_ms: u64,
    /// Distinguishes this upstream from earlier ones of the same name.
    pub(crate) instance: u64,
}

impl Upstream {
    /// Creates an upstream that has not reported yet.
    pub fn new(name: Name, addr: Name, hall: Name, pool: Name, now_ms: u64) -> Self {
        Self {
            id: hash64(&[name.as_bytes()]),
            name,
            addr,
            hall,
            pool,
            state: BoxState::Live,
            report: LoadReport::default(),
            in_flight: 0,
            sent_since_report: 0,
            done_since_report: 0,
            consecutive_failures: 0,
            ejected_until_ms: 0,
            first_seen_ms: now_ms,
            first_token_ewma_ms: 0,
            report_changed_ms: 0,
            instance: 0,
        }
    }

    /// Counts a call as in flight.
    pub(crate) fn start_call(&mut self) {
        self.in_flight += 1;
        self.sent_since_report += 1;
    }

    /// Records the end of a call. Failures eject the upstream for a while.
    pub(crate) fn finish_call(
        &mut self,
        succeeded: bool,
        first_token_ms: Option<u64>,
        now_ms: u64,
    ) {
        assert!(
            self.in_flight > 0,
            "invariant: a call that finishes was counted as in flight"
        );
        self.in_flight -= 1;
        self.done_since_report += 1;
        if succeeded {
            self.consecutive_failures = 0;
            if let Some(ms) = first_token_ms {
                let average_ms = self.first_token_ewma_ms;
                self.first_token_ewma_ms = match average_ms {
                    0 => ms,
                    _ => (average_ms * (1_000 - EWMA_PERMILLE) + ms * EWMA_PERMILLE) / 1_000,
                };
            }
            return;
        }
        // A single failure may be accidental, so the first ejection is short. Further consecutive
        // failures double the time.
        let ejection_ms = match self.consecutive_failures {
            0 => FIRST_EJECTION_MS,
            n => (REPEATED_EJECTION_MS << (n - 1).min(5)).min(MAX_EJECTION_MS),
        };
        self.consecutive_failures += 1;
        self.ejected_until_ms = now_ms + ejection_ms;
    }

    /// Applies a report if it is newer than the current one. Returns whether it was.
    pub(crate) fn apply_report(&mut self, report: LoadReport) -> bool {
        if report.at_ms <= self.report.at_ms {
            return false;
        }
        let unchanged = LoadReport {
            at_ms: report.at_ms,
            ..self.report.clone()
        };
        if unchanged != report {
            self.report_changed_ms = report.at_ms;
        }
        self.report = report;
        self.sent_since_report = 0;
        self.done_since_report = 0;
        true
    }

    /// Returns the moving average of the time to the first token, or 0 without samples.
    pub(crate) fn first_token_ms(&self) -> u64 {
        self.first_token_ewma_ms
    }

    /// Returns the id used between peers, a hash of the name.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Returns the time of the last report that differed from the one before it.
    pub fn report_changed_ms(&self) -> u64 {
        self.report_changed_ms
    }

    /// Returns the number of calls in flight from this box.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether it is excluded because of recent failures.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// Returns the reported load, corrected for calls that this box started and finished since.
    pub(crate) fn corrected_load(&self) -> u64 {
        let reported = u64::from(self.report.running + self.report.waiting);
        let sent = reported + u64::from(self.sent_since_report);
        sent.saturating_sub(u64::from(self.done_since_report))
            .max(u64::from(self.in_flight))
    }

    pub(crate) fn slots(&self, now_ms: u64) -> u64 {
        let slots = u64::from(self.report.slots.max(1));
        let age_ms = now_ms.saturating_sub(self.first_seen_ms);
        if age_ms >= WARM_UP_MS {
            return slots;
        }
        (slots * (age_ms + WARM_UP_MS / 4) / WARM_UP_MS).clamp(1, slots)
    }

    /// Whether this box may send one more call.
    ///
    /// Within its share of the slots, a box may send while the corrected load is below twice the
    /// slots. Beyond its share, it may send only if the corrected load shows free slots.
    pub(crate) fn has_capacity(&self, live_boxes: u32, now_ms: u64) -> bool {
        let slots = self.slots(now_ms);
        let share = (slots * HEADROOM_PERMILLE).div_ceil(1_000 * u64::from(live_boxes.max(1)));
        u64::from(self.in_flight) < share.max(1) && self.corrected_load() < 2 * slots
            || self.corrected_load() + u64::from(self.sent_since_report) < slots
    }

    pub(crate) fn satisfies(&self, call: &CallRequirements<'_>) -> bool {
        let pool_matches = call.pool.is_none_or(|p| p == self.pool.as_ref());
        let version_matches = call.version.is_none_or(|v| {
            self.report
                .versions
                .names()
                .iter()
                .any(|loaded| loaded.as_ref() == v)
        });
        pool_matches && version_matches && self.state == BoxState::Live
    }

    /// Returns a load score in thousandths of a full batch; lower is better.
    ///
    /// `slow_threshold_ms` is the first-token latency above which the upstream is penalized, or 0 to
    /// apply no such penalty.
    pub(crate) fn score(&self, hall: &str, now_ms: u64, slow_threshold_ms: u64) -> u64 {
        let load = self.corrected_load() * 1_000 / self.slots(now_ms);
        let hall_penalty = if self.hall.as_ref() == hall {
            0
        } else {
            CROSS_HALL_PENALTY_MILLI
        };
        let is_slow = slow_threshold_ms > 0 && self.first_token_ewma_ms > slow_threshold_ms;
        load + hall_penalty + if is_slow { 1_000 } else { 0 }
    }
}
