//! What this box knows about one upstream.

use std::sync::Arc;

use crate::balance::Want;
use crate::hash::hash64;
use crate::{BoxState, Name};

/// Time out after one failure; long enough to send the next calls elsewhere.
const FIRST_EJECT_MS: u64 = 250;
/// Time out after a second failure in a row; doubles with each further one.
const EJECT_MS: u64 = 1_000;
const EJECT_MAX_MS: u64 = 30_000;
/// Own calls beyond the reported free slots that one box may risk, in thousandths of its share.
const HEADROOM_PERMILLE: u64 = 1_250;
/// Weight of the newest time in the moving average, in thousandths.
const EWMA_PERMILLE: u64 = 200;
/// Cost of leaving the hall, in queued calls per slot, in thousandths.
const HALL_PENALTY_MILLI: u64 = 150;
/// Time over which a new upstream's limit grows to its full size.
const WARM_UP_MS: u64 = 3_000;

/// Versions that an upstream has loaded; shared, as few sets cover all upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionSet {
    names: Arc<[Name]>,
    id: u32,
}

impl VersionSet {
    /// The versions, as `model@version`.
    pub fn names(&self) -> &[Name] {
        &self.names
    }

    /// The set's id: a hash of its names.
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

/// What an upstream reported last.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Calls running.
    pub running: u32,
    /// Calls waiting.
    pub waiting: u32,
    /// Calls that may run at once.
    pub slots: u32,
    /// Versions it has loaded, as `model@version`.
    pub versions: VersionSet,
    /// When it was made, by this box's clock, in milliseconds.
    pub at_ms: u64,
}

/// What this box knows about one upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Its name.
    pub name: Name,
    /// Where it listens.
    pub addr: Name,
    /// Its hall.
    pub hall: Name,
    /// Its pool.
    pub pool: Name,
    /// Whether it takes new work.
    pub state: BoxState,
    /// Its newest report.
    pub report: Report,
    id: u64,
    in_flight: u32,
    sent_since_report: u32,
    done_since_report: u32,
    failures_in_row: u32,
    ejected_until_ms: u64,
    first_seen_ms: u64,
    first_token_ewma_ms: u64,
    changed_ms: u64,
    /// Tells this upstream from another one that had its name before.
    pub(crate) instance: u64,
}

impl Upstream {
    /// An upstream without a report.
    pub fn new(name: Name, addr: Name, hall: Name, pool: Name, now_ms: u64) -> Self {
        Self {
            id: hash64(&[name.as_bytes()]),
            name,
            addr,
            hall,
            pool,
            state: BoxState::Live,
            report: Report::default(),
            in_flight: 0,
            sent_since_report: 0,
            done_since_report: 0,
            failures_in_row: 0,
            ejected_until_ms: 0,
            first_seen_ms: now_ms,
            first_token_ewma_ms: 0,
            changed_ms: 0,
            instance: 0,
        }
    }

    /// Counts a call as sent.
    pub(crate) fn send(&mut self) {
        self.in_flight += 1;
        self.sent_since_report += 1;
    }

    /// Counts a call as over.
    pub(crate) fn finish(&mut self, ok: bool, first_token_ms: Option<u64>, now_ms: u64) {
        assert!(
            self.in_flight > 0,
            "invariant: a call that ends was counted"
        );
        self.in_flight -= 1;
        self.done_since_report += 1;
        if ok {
            self.failures_in_row = 0;
            if let Some(ms) = first_token_ms {
                let old = self.first_token_ewma_ms;
                self.first_token_ewma_ms = match old {
                    0 => ms,
                    _ => (old * (1_000 - EWMA_PERMILLE) + ms * EWMA_PERMILLE) / 1_000,
                };
            }
            return;
        }
        // The first failure may be chance, so it costs little; each further one doubles the time.
        let time_out_ms = match self.failures_in_row {
            0 => FIRST_EJECT_MS,
            n => (EJECT_MS << (n - 1).min(5)).min(EJECT_MAX_MS),
        };
        self.failures_in_row += 1;
        self.ejected_until_ms = now_ms + time_out_ms;
    }

    /// Takes in a report if it is newer than the one held.
    pub(crate) fn take_report(&mut self, report: Report) -> bool {
        if report.at_ms <= self.report.at_ms {
            return false;
        }
        let same = Report {
            at_ms: report.at_ms,
            ..self.report.clone()
        };
        if same != report {
            self.changed_ms = report.at_ms;
        }
        self.report = report;
        self.sent_since_report = 0;
        self.done_since_report = 0;
        true
    }

    /// Moving average of the time to the first token; 0 before the first.
    pub(crate) fn first_token_ms(&self) -> u64 {
        self.first_token_ewma_ms
    }

    /// The id that peers know it by: a hash of its name.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// When its report last said something else than the one before.
    pub fn changed_ms(&self) -> u64 {
        self.changed_ms
    }

    /// Calls of this box under way.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether it is out for its failures.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// The report, corrected by what this box sent and got back since.
    pub(crate) fn corrected(&self) -> u64 {
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
    /// Its own share is always its to use; beyond it, only what the corrected report shows free.
    pub(crate) fn has_room(&self, live_boxes: u32, now_ms: u64) -> bool {
        let slots = self.slots(now_ms);
        let share = (slots * HEADROOM_PERMILLE).div_ceil(1_000 * u64::from(live_boxes.max(1)));
        u64::from(self.in_flight) < share.max(1) && self.corrected() < 2 * slots
            || self.corrected() + u64::from(self.sent_since_report) < slots
    }

    pub(crate) fn offers(&self, want: &Want<'_>) -> bool {
        let pool_fits = want.pool.is_none_or(|p| p == self.pool.as_ref());
        let version_fits = want.version.is_none_or(|v| {
            self.report
                .versions
                .names()
                .iter()
                .any(|have| have.as_ref() == v)
        });
        pool_fits && version_fits && self.state == BoxState::Live
    }

    /// Expected wait in thousandths of a full batch; lower is better.
    pub(crate) fn score(&self, hall: &str, now_ms: u64, slow_ms: u64) -> u64 {
        let load = self.corrected() * 1_000 / self.slots(now_ms);
        let far = if self.hall.as_ref() == hall {
            0
        } else {
            HALL_PENALTY_MILLI
        };
        let is_slow = slow_ms > 0 && self.first_token_ewma_ms > slow_ms;
        load + far + if is_slow { 1_000 } else { 0 }
    }
}
