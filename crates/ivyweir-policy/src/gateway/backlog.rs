//! Pending work and requests of an upstream, by urgency.
//!
//! Engines serve urgent requests first. What a request finds before it is therefore what its own band and the more
//! urgent ones have pending, not all of it.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::gateway::peer_report::Work;
use crate::gateway::urgency::{BANDS, Band};

/// What one band has at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pending {
    /// Outstanding work in milliseconds of upstream time.
    pub work_ms: f64,
    /// Requests that were sent and have not ended.
    pub requests: f64,
}

impl Pending {
    /// One request with this work.
    pub fn request(work_ms: f64) -> Self {
        Self {
            work_ms,
            requests: 1.0,
        }
    }

    /// Work without a request: a part of the work of one that has not ended.
    pub fn work(work_ms: f64) -> Self {
        Self {
            work_ms,
            requests: 0.0,
        }
    }

    fn add(&mut self, more: Self) {
        self.work_ms += more.work_ms;
        self.requests += more.requests;
    }

    fn subtract(&mut self, less: Self) {
        self.work_ms = (self.work_ms - less.work_ms).max(0.0);
        self.requests = (self.requests - less.requests).max(0.0);
    }
}

/// What all bands have at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "[[u32; 2]; BANDS]", into = "[[u32; 2]; BANDS]")]
pub struct BandLoad([Pending; BANDS]);

impl BandLoad {
    /// Adds to a band.
    pub fn add(&mut self, band: Band, more: Pending) {
        self.0[band.index()].add(more);
    }

    /// Removes from a band, down to zero.
    pub fn subtract(&mut self, band: Band, less: Pending) {
        self.0[band.index()].subtract(less);
    }

    /// Adds all bands of `more`.
    pub fn add_all(&mut self, more: &Self) {
        Band::all().for_each(|band| self.add(band, more.0[band.index()]));
    }

    /// Removes all bands of `less`, down to zero.
    pub fn subtract_all(&mut self, less: &Self) {
        Band::all().for_each(|band| self.subtract(band, less.0[band.index()]));
    }

    /// Sum of `band` and the more urgent ones: what is served before a new request of `band`.
    pub fn before(&self, band: Band) -> Pending {
        let mut sum = Pending::default();
        self.0[..=band.index()]
            .iter()
            .for_each(|pending| sum.add(*pending));
        sum
    }

    /// Sum of all bands.
    pub fn total(&self) -> Pending {
        self.before(Band::LAST)
    }

    /// Whether no band has work or requests.
    pub fn is_zero(&self) -> bool {
        let total = self.total();
        total.work_ms <= 0.0 && total.requests <= 0.0
    }

    /// Raises the total work to `total_ms` by work of which no band is known. It counts as the most urgent, so that
    /// the work of a box which reports no bands is never overlooked.
    #[must_use]
    pub fn with_total_work(mut self, total_ms: f64) -> Self {
        let unknown_ms = total_ms - self.total().work_ms;
        if unknown_ms > 0.0 {
            self.add(Band::FIRST, Pending::work(unknown_ms));
        }
        self
    }
}

impl From<[[u32; 2]; BANDS]> for BandLoad {
    fn from(bands: [[u32; 2]; BANDS]) -> Self {
        Self(bands.map(|[work_ms, requests]| Pending {
            work_ms: f64::from(work_ms),
            requests: f64::from(requests),
        }))
    }
}

impl From<BandLoad> for [[u32; 2]; BANDS] {
    fn from(load: BandLoad) -> Self {
        load.0.map(|pending| {
            [
                pending.work_ms.round() as u32,
                pending.requests.round() as u32,
            ]
        })
    }
}

/// Load of the upstreams, by band.
pub type Backlog = HashMap<Name, BandLoad>;

/// Adds the backlog `more` to `to`.
pub fn add_backlog(to: &mut Backlog, more: &Backlog) {
    for (upstream, load) in more {
        to.entry(upstream.clone()).or_default().add_all(load);
    }
}

/// Subtracts what a box reported itself from the backlog of all boxes. Upstreams without anything else are removed: an
/// entry for them would look like a report of other boxes.
pub fn subtract_backlog(mut all: Backlog, own: &Backlog) -> Backlog {
    for (upstream, own_load) in own {
        if let Some(load) = all.get_mut(upstream) {
            load.subtract_all(own_load);
            if load.is_zero() {
                all.remove(upstream);
            }
        }
    }
    all
}

/// Backlog of other boxes from their reports: the total `work` of all of them, and `bands` of those that report bands.
pub fn reported_backlog(work: &Work, bands: &Backlog) -> Backlog {
    let mut backlog = bands.clone();
    for (upstream, total_ms) in work {
        let load = backlog.entry(upstream.clone()).or_default();
        *load = load.with_total_work(*total_ms);
    }
    backlog
}
