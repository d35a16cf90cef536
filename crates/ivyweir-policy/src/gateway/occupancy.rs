//! Occupancy of a pool: requests per slot, by urgency.

use crate::gateway::placement::Candidate;
use crate::gateway::urgency::{BANDS, Band};

/// Age at which a load report of an upstream counts half. About a third of the time for which an answer of a large
/// model holds its slot, so that most of what a report counted is still there.
const REPORT_HALF_LIFE_MS: f64 = 2_000.0;
/// Ratio of the load that upstreams report to the one that boxes report from which reports of boxes are missing. With
/// one of two halls cut off, it is 2. The mean of about 20 load reports of different ages stays below 1.5.
const MISSING_REPORTS_RATIO: f64 = 1.5;
/// Age of the newest load report from which those of a pool say nothing about its shortage. It is the time over which the
/// work of workspaces is counted: a box without an answer for that long has no work to compare.
const REPORTS_MAX_AGE_MS: u64 = 5_000;

/// Requests per slot of a pool, by band. An entry counts its band and the more urgent ones.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PoolOccupancy([f64; BANDS]);

impl PoolOccupancy {
    /// Creates an occupancy from the requests per slot up to each band.
    pub fn new(up_to: [f64; BANDS]) -> Self {
        Self(up_to)
    }

    /// Occupancy of the candidates: the requests of this box, and those of others by [`others_per_slot`].
    pub fn of(candidates: &[Candidate], now_ms: u64) -> Self {
        let slots: f64 = candidates.iter().map(|c| f64::from(c.record.slots)).sum();
        let mut up_to = others_per_slot(candidates, slots.max(1.0), now_ms);
        for (occupancy, band) in up_to.iter_mut().zip(Band::all()) {
            let own = candidates.iter().map(|c| c.load.own_load().before(band));
            *occupancy += own.map(|pending| pending.requests).sum::<f64>() / slots.max(1.0);
        }
        Self(up_to)
    }

    /// Requests per slot of `band` and the more urgent ones.
    pub fn up_to(&self, band: Band) -> f64 {
        self.0[band.index()]
    }

    /// Requests per slot of the bands that are more urgent than `band`.
    pub fn more_urgent(&self, band: Band) -> f64 {
        let above = band.index().checked_sub(1);
        above.map_or(0.0, |index| self.0[index])
    }

    /// Requests per slot of all bands.
    pub fn total(&self) -> f64 {
        self.up_to(Band::LAST)
    }
}

/// Requests of all bands per slot of the candidates: those of this box, and of others the larger one of the numbers that
/// boxes and upstreams report. Boxes of halls that are cut off and of builds without bands report no requests, so that
/// the lower number may lack theirs. Bands need not be known, so the ratio for missing reports is not waited for.
pub fn least_occupancy(candidates: &[Candidate], now_ms: u64) -> f64 {
    let slots: f64 = candidates.iter().map(|c| f64::from(c.record.slots)).sum();
    let own = candidates
        .iter()
        .map(|c| c.load.own_load().total().requests);
    let others = candidates.iter();
    let others = others.filter_map(|c| c.load.others_before(Band::LAST, now_ms));
    let by_boxes = others.sum::<f64>() / slots.max(1.0);
    let ages = candidates.iter().filter_map(|c| c.load.last_report(now_ms));
    let newest_age_ms = ages.map(|(_, age_ms)| age_ms).min();
    let by_upstreams = if newest_age_ms.is_some_and(|age_ms| age_ms < REPORTS_MAX_AGE_MS) {
        reported_by_upstreams(candidates, now_ms)
    } else {
        0.0
    };
    own.sum::<f64>() / slots.max(1.0) + by_boxes.max(by_upstreams)
}

/// Requests of other boxes per slot, up to each band.
///
/// They come from the reports of the boxes. Where all of these are missing, the load that upstreams reported is used,
/// as the most urgent band, since its bands are unknown. Where some are missing because halls are cut off, the known
/// boxes are scaled up to that load: the unknown ones are assumed to send the same mix.
fn others_per_slot(candidates: &[Candidate], slots: f64, now_ms: u64) -> [f64; BANDS] {
    let by_upstreams = reported_by_upstreams(candidates, now_ms);
    let mut by_boxes = [0.0; BANDS];
    for (per_slot, band) in by_boxes.iter_mut().zip(Band::all()) {
        let others = candidates.iter();
        let others = others.filter_map(|c| c.load.others_before(band, now_ms));
        *per_slot = others.sum::<f64>() / slots;
    }
    let known = by_boxes[BANDS - 1];
    if known <= 0.0 {
        [by_upstreams; BANDS]
    } else if by_upstreams > MISSING_REPORTS_RATIO * known {
        by_boxes.map(|per_slot| per_slot * by_upstreams / known)
    } else {
        by_boxes
    }
}

/// Mean number of other boxes' requests per slot in the load reports of the candidates; recent reports weigh more. An
/// upstream that has not reported is assumed to be as busy as the mean of the others, not idle.
fn reported_by_upstreams(candidates: &[Candidate], now_ms: u64) -> f64 {
    let (mut requests, mut slots) = (0.0, 0.0);
    for candidate in candidates {
        if let Some((reported, age_ms)) = candidate.load.last_report(now_ms) {
            let weight = (-(age_ms as f64) / REPORT_HALF_LIFE_MS).exp2();
            requests += weight * reported;
            slots += weight * f64::from(candidate.record.slots);
        }
    }
    if slots > 0.0 { requests / slots } else { 0.0 }
}
