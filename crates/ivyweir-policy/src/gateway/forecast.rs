//! Forecast of the time until an upstream begins to answer a request.

use crate::gateway::work::Estimate;

/// Cost of choosing an engine without a free slot: about the time to process a displaced prompt again, or to wait for a
/// slot.
const SLOT_COST_MS: f64 = 300.0;
/// Assumed time that a plain upstream works on a request. It only scales the forecast: plain upstreams are compared by
/// their requests.
const PLAIN_WORK_MS: f64 = 40.0;
/// Whether a request finds a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Slot {
    /// A slot is free.
    Free,
    /// All slots are taken, some of them by less urgent requests, of which it displaces one.
    Displaces,
    /// All slots are taken by requests at least as urgent.
    Waits,
}

impl Slot {
    /// The slot for a request, by the number of requests that are at least as urgent, and of all requests.
    pub fn find(slots: u32, before: f64, all: f64) -> Self {
        let slots = f64::from(slots);
        if all < slots {
            Self::Free
        } else if before < slots {
            Self::Displaces
        } else {
            Self::Waits
        }
    }

    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Free => "free",
            Self::Displaces => "displaces",
            Self::Waits => "waits",
        }
    }
}

/// Where the load of an upstream is known from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadSource {
    /// Recent reports of other boxes.
    Reports,
    /// The upstream's own last load figure, as there are no recent reports.
    LoadFigure,
    /// Neither is recent: only this box's requests are known, and those of other boxes are assumed to be the mean of
    /// the pool.
    Unknown,
}

impl LoadSource {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Reports => "reports",
            Self::LoadFigure => "load_figure",
            Self::Unknown => "unknown",
        }
    }
}

/// Forecast for a request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Work that is served before the request, in milliseconds.
    pub wait_ms: f64,
    /// Work of all bands, in milliseconds.
    pending_ms: f64,
    /// Time to process its prompt, or a plain request, in milliseconds.
    pub prefill_ms: f64,
    /// Whether it finds a slot.
    pub slot: Slot,
    /// Cost of a slot that is not free, in milliseconds.
    slot_cost_ms: f64,
    /// Where the work before it is known from.
    pub load_source: LoadSource,
}

impl Forecast {
    /// Forecast at an engine with `pending_ms` of work, of which `wait_ms` are served before the request.
    pub fn engine(
        wait_ms: f64,
        pending_ms: f64,
        estimate: &Estimate,
        slot: Slot,
        load_source: LoadSource,
    ) -> Self {
        Self {
            wait_ms,
            pending_ms,
            prefill_ms: estimate.prefill_ms,
            slot,
            slot_cost_ms: SLOT_COST_MS,
            load_source,
        }
    }

    /// Forecast at a plain upstream with this number of requests. It works on all slots at once and in the order of
    /// arrival, so a request waits only for those that have no slot yet, and displaces none.
    pub fn plain(slots: u32, requests: f64, load_source: LoadSource) -> Self {
        let parallel = f64::from(slots.max(1));
        let queued = (requests - parallel + 1.0).max(0.0);
        let wait_ms = PLAIN_WORK_MS * queued / parallel;
        Self {
            wait_ms,
            pending_ms: wait_ms,
            prefill_ms: PLAIN_WORK_MS,
            slot: Slot::find(slots, requests, requests),
            slot_cost_ms: 0.0,
            load_source,
        }
    }

    /// Predicted time to the first token, or to the head of a plain answer, in milliseconds.
    pub fn first_token_ms(&self) -> f64 {
        let slot_ms = match self.slot {
            Slot::Waits => self.slot_cost_ms,
            Slot::Free | Slot::Displaces => 0.0,
        };
        self.wait_ms + self.prefill_ms + slot_ms
    }

    /// Cost by which engines of a pool are compared, in milliseconds. It contains the work of all bands: engines process
    /// less urgent prompts in pieces beside the request, and each piece holds up its tokens. The time of the request
    /// itself is not part of it, as it is the same at all engines. Displacing a request costs the pool as much as waiting costs this one.
    pub fn cost_ms(&self) -> f64 {
        let slot_ms = match self.slot {
            Slot::Free => 0.0,
            Slot::Displaces | Slot::Waits => self.slot_cost_ms,
        };
        self.pending_ms + slot_ms
    }
}
