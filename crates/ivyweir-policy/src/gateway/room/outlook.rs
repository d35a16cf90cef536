//! What a pool can take, and the share of one box.

use super::flow::{PoolFlow, per_ms};

/// Time over which free places are filled and excess is drained: as long as reports are late at most. A shorter time
/// would fill the same places several times before the boxes know.
const REACTION_MS: f64 = 1_800.0;
/// Time over which excess is drained. It is shorter, because requests are refused until then, and only as short as the
/// queue does not run empty before the boxes know.
const DRAIN_MS: f64 = 800.0;
/// Time for which the highest observed rate is kept, once or twice. A pool near its capacity shows its full rate only in
/// the moments in which no request is queued.
const PEAK_EPOCH_MS: u64 = 10_000;
/// Part of the usable queue by which it must be exceeded for the pool to count as crowded.
const CROWDED_PART: f64 = 0.5;
/// Time for which answers may come from upstreams that have left: the window of the flow and the delay of reports.
const SLOTS_MEMORY_MS: u64 = 4_000;
/// Assumed time of an answer before the first one.
const UNKNOWN_WORK_MS: f64 = 100.0;
/// Part of the rate of a box that has just started which each answer adds.
const START_GAIN: f64 = 0.25;

/// Places of a pool and the requests there.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PoolState {
    /// Slots of the usable upstreams.
    pub slots: f64,
    /// Usable places in their queues.
    pub queue: f64,
    /// Requests of all boxes there.
    pub present: f64,
}

impl PoolState {
    /// Free places; negative if more requests are there than should be.
    pub fn free(&self) -> f64 {
        self.slots + self.queue - self.present
    }

    /// Whether more requests are queued than a fluctuation explains. This shows a surge before the rates do.
    fn is_crowded(&self) -> bool {
        self.free() < -self.queue * CROWDED_PART
    }
}

/// Figures from which the share of a box follows.
#[derive(Debug, Clone, Copy)]
pub struct Sharing {
    /// Number of boxes of the fleet.
    pub boxes: u32,
    /// Requests of this box in the window of the retry budget.
    pub own_requests: u32,
    /// Length of that window.
    pub window_ms: u64,
    /// Whether this box has just started.
    pub is_starting: bool,
}

/// What a box may send to a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outlook {
    /// Whether the box has just started and knows nothing of the others.
    pub is_starting: bool,
    /// Whether the boxes have more requests than the pool can take.
    pub is_short: bool,
    /// Rate at which all boxes may send, in requests per millisecond.
    pub fleet_per_ms: f64,
    /// Rate of all requests that boxes have for the pool, in requests per millisecond.
    pub offered_per_ms: f64,
    /// Rate at which this box may send while the pool is short, in requests per millisecond.
    pub own_per_ms: f64,
    /// Sends that this box may make at once when it sends its first request: its share of the slots, at most one.
    pub first_credit: f64,
    /// Time from sending a request to its answer.
    pub work_ms: f64,
    /// Time after which the pool has capacity left over for late requests; infinite if more requests arrive than it
    /// can take.
    pub leftover_after_ms: f64,
    /// Free places.
    pub free: f64,
}

/// Rate at which a pool completes requests, learned from its answers.
#[derive(Debug, Default)]
pub struct Capacity {
    /// Completed requests per slot and millisecond, now and at its highest.
    per_slot: f64,
    /// The highest of this epoch and of the one before.
    peaks_per_slot: [f64; 2],
    epoch: u64,
    work_ms: Option<f64>,
    /// Highest number of slots within the memory, and the time of its observation.
    slots: (f64, u64),
}

/// Figures of the boxes that report, and the number of those that send.
#[derive(Debug, Clone, Copy)]
pub struct FleetView {
    /// Sum over the boxes that report.
    pub flow: PoolFlow,
    /// Number of boxes that send to the pool.
    pub boxes: f64,
}

impl FleetView {
    fn reporting(&self) -> f64 {
        f64::from(self.flow.boxes.max(1))
    }

    /// Factor from the boxes that report to all that send: the others are assumed to behave alike.
    fn scale(&self) -> f64 {
        (self.boxes / self.reporting()).max(1.0)
    }

    /// Share of a box in the rate of the fleet: its share of the requests, where each box counts as one request more, so
    /// that none is left without a share.
    fn own_share(&self, own_requests: u32) -> f64 {
        let own = f64::from(own_requests) + 1.0;
        let all = f64::from(self.flow.requests.max(own_requests)) + self.reporting();
        own / all / self.scale()
    }
}

impl Capacity {
    /// Learns the rate from the answers of all boxes. While slots are free, a slot completes a request in the time of
    /// an answer; while none is, the pool completes what it answers.
    pub fn observe(&mut self, fleet: &FleetView, state: &PoolState, now_ms: u64) {
        let flow = &fleet.flow;
        if state.slots >= self.slots.0 || now_ms > self.slots.1 + SLOTS_MEMORY_MS {
            self.slots = (state.slots, now_ms);
        }
        if let Some(mean_ms) = flow.mean_ms() {
            self.work_ms = Some(mean_ms.max(1.0));
        }
        // The count of some boxes says the less of all boxes, the fewer they are; the count of all is exact.
        let scale = fleet.scale();
        let answered = surely(flow.answered, 1.0 - 1.0 / scale);
        let slots = self.slots.0.max(1.0);
        let by_time = 1.0 / self.work_ms();
        self.per_slot = by_time.max(per_ms(answered) * scale / slots);
        // Without the boxes that do not report: if they have ended, the scaled rate is too high, and it would be kept.
        let certain = by_time.max(per_ms(f64::from(flow.answered)) / slots);
        let epoch = now_ms / PEAK_EPOCH_MS;
        if epoch != self.epoch {
            self.peaks_per_slot = [0.0, self.peaks_per_slot[0]];
            self.epoch = epoch;
        }
        self.peaks_per_slot[0] = self.peaks_per_slot[0].max(certain);
    }

    fn peak_per_slot(&self) -> f64 {
        let [this, before] = self.peaks_per_slot;
        this.max(before).max(self.per_slot)
    }

    fn work_ms(&self) -> f64 {
        self.work_ms.unwrap_or(UNKNOWN_WORK_MS)
    }

    /// Rate at which all boxes may send. The more of the queue is free, the more the highest observed rate is
    /// trusted; a pool without free places gets only what it completes now.
    fn fleet_per_ms(&self, state: &PoolState) -> f64 {
        let trust = (state.free() / state.queue.max(1.0)).clamp(0.0, 1.0);
        let per_slot = self.per_slot + (self.peak_per_slot() - self.per_slot) * trust;
        let least = self.per_slot / 2.0;
        let correction_ms = if state.free() < 0.0 {
            DRAIN_MS
        } else {
            REACTION_MS
        };
        (state.slots * per_slot + state.free() / correction_ms).max(state.slots * least)
    }

    /// What a box with this share may send; `answers` is the number of its answers since its start.
    pub fn outlook(
        &self,
        fleet: &FleetView,
        state: &PoolState,
        sharing: &Sharing,
        answers: u32,
    ) -> Outlook {
        let (flow, scale) = (&fleet.flow, fleet.scale());
        let waiting = f64::from(flow.waiting) * scale;
        let requests = flow.requests.max(sharing.own_requests);
        let window_ms = sharing.window_ms.max(1) as f64;
        // The part that is extrapolated comes from the longer window: it is the figures of few boxes.
        let recent_per_ms = per_ms(surely(flow.arrived, 1.0));
        let extrapolated_per_ms = surely(requests, 2.0) / window_ms * (scale - 1.0);
        // Few boxes know little of the demand, so the requests that are there count more.
        let is_visible = scale < 2.0 || state.free() < state.queue;
        let extrapolated_per_ms = if is_visible { extrapolated_per_ms } else { 0.0 };
        let arrived_per_ms = recent_per_ms + extrapolated_per_ms;
        let offered_per_ms = arrived_per_ms + waiting / REACTION_MS;
        let lasting_per_ms = f64::from(requests) / window_ms + extrapolated_per_ms;
        let lasting_per_ms = lasting_per_ms.max(arrived_per_ms);
        let fleet_per_ms = self.fleet_per_ms(state).max(f64::MIN_POSITIVE);
        let peak_per_ms = state.slots * self.peak_per_slot();
        let to_drain = waiting + 1.0 + (-state.free()).max(0.0);
        let leftover_after_ms = if lasting_per_ms < peak_per_ms {
            to_drain / (peak_per_ms - lasting_per_ms)
        } else {
            f64::INFINITY
        };
        // While most boxes have just started, their figures say little, and each box ramps up by itself.
        let is_unknown = sharing.is_starting && flow.settled * 2 < flow.boxes.max(1);
        let own_per_ms = if is_unknown {
            self.start_per_ms(state, sharing, answers)
        } else {
            fleet_per_ms * fleet.own_share(sharing.own_requests)
        };
        Outlook {
            is_starting: is_unknown,
            is_short: is_unknown || state.is_crowded() || offered_per_ms > fleet_per_ms,
            fleet_per_ms,
            offered_per_ms,
            own_per_ms: own_per_ms.max(f64::MIN_POSITIVE),
            first_credit: if is_unknown {
                1.0
            } else {
                slot_share(state, sharing)
            },
            work_ms: self.work_ms(),
            leftover_after_ms,
            free: state.free(),
        }
    }

    /// Rate of a box that has just started: its share of the slots, increased with each answer that came back.
    fn start_per_ms(&self, state: &PoolState, sharing: &Sharing, answers: u32) -> f64 {
        slot_share(state, sharing) / self.work_ms() * (1.0 + START_GAIN * f64::from(answers))
    }
}

/// Share of a box in the slots, at most one slot.
fn slot_share(state: &PoolState, sharing: &Sharing) -> f64 {
    (state.slots / f64::from(sharing.boxes.max(1))).min(1.0)
}

/// A count of random events less its standard deviation, where `random_part` of its variance matters. A box that knows
/// only itself would otherwise take two requests in a row for a surge of the whole fleet.
fn surely(count: u32, random_part: f64) -> f64 {
    let count = f64::from(count);
    (count - (count * random_part).sqrt()).max(0.0)
}
