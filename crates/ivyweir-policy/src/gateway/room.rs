//! Capacity of a plain pool: when a box sends a request, lets it wait, or refuses it.
//!
//! A request in the queue of an upstream may be refused there, and its only send is then lost. Requests therefore wait
//! in their boxes while the pool is short of capacity. Boxes know of each other's sends only after up to two seconds, so
//! no box may take a place merely because it looks free. All boxes together send at the rate at which the pool completes
//! requests, corrected by its free places over the reaction time; each box takes the share of that rate that
//! corresponds to its share of the requests.

mod flow;
mod line;
mod missing;
mod outlook;
mod queue_limit;

use std::collections::{HashMap, VecDeque};

use crate::Name;
use crate::gateway::statement::ReportedLoad;
use crate::gateway::wait::spread_retry_after_ms;

pub use flow::{PoolFlow, PoolFlows, add_flows};
pub use line::{LineEntry, LineTicket};
pub use outlook::{Outlook, PoolState, Sharing};

use flow::FlowWindow;
use line::Line;
use missing::MissingBoxes;
use outlook::{Capacity, FleetView};
use queue_limit::QueueLimit;

/// Sends that a box may save up. Boxes receive few requests at irregular times; with fewer saved sends, a box whose
/// requests come in pairs would leave a part of its rate unused.
const MAX_CREDIT: f64 = 6.0;
/// The same while the pool is not short. Sends saved up then would all be made at the start of a surge, by every box.
const MAX_AMPLE_CREDIT: f64 = 2.0;
/// Sends that must be saved up for a waiting request when the pool is no longer short. All boxes learn that at about the
/// same time, and would fill the pool if each sent all its waiting requests at once.
const RELEASE_CREDIT: f64 = 0.25;
/// Age at which the figures of the fleet are ignored, as for other reports.
const FLEET_MAX_AGE_MS: u64 = 1_500;
/// Age of the reports of other boxes: the middle of the 0.5 to 1.8 s that they take.
const REPORT_AGE_MS: u64 = 1_150;
/// Part of their remaining time up to which callers honour a retry time.
const HONOURED_DIVISOR: u64 = 3;

/// A request to a plain pool.
#[derive(Debug, Clone, Copy)]
pub struct RoomRequest {
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// How far its workspace is above its fair share; 0 within it.
    pub over_share: f64,
    /// Time of its arrival.
    pub arrived_ms: u64,
    /// Time from which its answer is late.
    pub target_ms: u64,
    /// Time by which its answer must be complete.
    pub deadline_ms: u64,
    /// Seed that differs between requests.
    pub seed: u64,
}

/// What to do with a request now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// Send it.
    Send,
    /// Let it wait and ask again after this time, or when it is first in the line.
    Wait {
        /// Time after which it is expected to be sent.
        for_ms: u64,
    },
    /// Refuse it: it cannot be served within its budget.
    Refuse {
        /// Time after which the caller should retry.
        retry_after_ms: u64,
    },
}

/// State of one plain pool in one box.
#[derive(Debug, Default)]
pub struct Room {
    window: FlowWindow,
    fleet: Option<(PoolFlow, u64)>,
    limits: HashMap<Name, QueueLimit>,
    capacity: Capacity,
    missing: MissingBoxes,
    line: Line,
    credit: Credit,
    /// Requests that the box reported, by time; see [`Sharing::own_requests`].
    reported: VecDeque<(u64, u32)>,
    /// Answers since the start or the last refusal.
    answers_in_a_row: u32,
}

/// Requests that the box may send while the pool is short. A box starts with its share of one round of places: if a third
/// of 300 boxes started with a whole place each, they would fill a pool of 12 slots several times.
#[derive(Debug, Default)]
struct Credit {
    sends: f64,
    at_ms: Option<u64>,
}

impl Credit {
    fn refill(&mut self, outlook: &Outlook, now_ms: u64) {
        self.sends = match self.at_ms {
            None => outlook.first_credit,
            Some(at_ms) => {
                let passed_ms = now_ms.saturating_sub(at_ms) as f64;
                let limit = if outlook.is_short {
                    MAX_CREDIT
                } else {
                    MAX_AMPLE_CREDIT
                };
                (self.sends + passed_ms * outlook.own_per_ms).min(limit)
            }
        };
        self.at_ms = Some(now_ms);
    }

    fn spend(&mut self) {
        self.sends = (self.sends - 1.0).max(0.0);
    }
}

impl Room {
    /// Counts a request from a caller.
    pub fn record_arrival(&mut self, now_ms: u64) {
        self.window.record_arrival(now_ms);
    }

    /// Records an answer that came `took_ms` after its request was sent.
    pub fn record_answer(&mut self, took_ms: u64, now_ms: u64) {
        self.window.record_answer(took_ms, now_ms);
        self.answers_in_a_row = self.answers_in_a_row.saturating_add(1);
    }

    /// Records that an upstream with this number of slots refused a request as not run.
    pub fn record_refusal(&mut self, upstream: &Name, load: Option<ReportedLoad>, slots: u32) {
        let limit = self.limits.entry(upstream.clone()).or_default();
        limit.record_refusal(load, slots);
        self.answers_in_a_row = 0;
        // What the box saved up came from places that others have taken.
        self.credit.sends = 0.0;
    }

    /// Records the load figure of an answer.
    pub fn record_load(&mut self, upstream: &Name, load: ReportedLoad, now_ms: u64) {
        let limit = self.limits.entry(upstream.clone()).or_default();
        limit.record_load(load, now_ms);
    }

    /// Removes what was learned of upstreams for which `is_known` is false.
    pub fn retain_upstreams(&mut self, is_known: impl Fn(&str) -> bool) {
        self.limits.retain(|id, _| is_known(id));
    }

    /// Figures of this box for the reports; see [`Sharing`].
    pub fn report(&mut self, sharing: &Sharing, now_ms: u64) -> PoolFlow {
        self.reported.push_back((now_ms, sharing.own_requests));
        while self.reported.len() > 1 && self.reported[1].0 + REPORT_AGE_MS <= now_ms {
            self.reported.pop_front();
        }
        self.own_flow(sharing, now_ms)
    }

    fn own_flow(&self, sharing: &Sharing, now_ms: u64) -> PoolFlow {
        PoolFlow {
            settled: u32::from(!sharing.is_starting),
            waiting: u32::try_from(self.line.len()).unwrap_or(u32::MAX),
            requests: sharing.own_requests,
            ..self.window.flow(now_ms)
        }
    }

    /// Sets the figures of all boxes, this one included.
    pub fn set_fleet_flow(&mut self, flow: PoolFlow, now_ms: u64) {
        self.fleet = Some((flow, now_ms));
    }

    /// State of the pool from its usable upstreams: id, slots, and the requests there according to reports; `boxes` are
    /// known.
    pub fn pool_state<'a>(
        &mut self,
        upstreams: impl IntoIterator<Item = (&'a Name, u32, f64)>,
        boxes: u32,
        now_ms: u64,
    ) -> PoolState {
        let unknown = QueueLimit::default();
        let mut state = PoolState::default();
        let (mut figures, mut compared, mut reported_only) = (0.0, 0.0, 0.0);
        for (id, slots, reported) in upstreams {
            let limit = self.limits.get(id).unwrap_or(&unknown);
            state.slots += f64::from(slots);
            state.queue += limit.usable(slots);
            match limit.recent_figure(now_ms) {
                Some(figure) => {
                    figures += figure;
                    compared += reported;
                }
                None => reported_only += reported,
            }
        }
        // Without reports, `reported` comes from load figures, which count the requests of all boxes.
        let scale = self.recent_fleet_flow(now_ms).map_or(1.0, |flow| {
            self.missing
                .observe(&flow, boxes, figures, compared, now_ms);
            self.missing.sending_boxes(&flow, boxes) / f64::from(flow.boxes)
        });
        state.present = figures + reported_only * scale;
        state
    }

    /// Computes what the box may send. The result holds until the reports change, so it may be used for several
    /// requests within some tens of milliseconds.
    pub fn outlook(&mut self, state: &PoolState, sharing: &Sharing, now_ms: u64) -> Outlook {
        let known = self.recent_fleet_flow(now_ms);
        let (flow, boxes) = match known {
            Some(flow) => (flow, self.missing.sending_boxes(&flow, sharing.boxes)),
            None => (
                self.own_flow(sharing, now_ms),
                f64::from(sharing.boxes.max(1)),
            ),
        };
        let sharing = Sharing {
            own_requests: known.map_or(sharing.own_requests, |_| self.included_requests(sharing)),
            ..*sharing
        };
        let fleet = FleetView { flow, boxes };
        self.capacity.observe(&fleet, state, now_ms);
        self.capacity
            .outlook(&fleet, state, &sharing, self.answers_in_a_row)
    }

    /// Adds a request to the line.
    pub fn join(&mut self, request: &RoomRequest, outlook: &Outlook, now_ms: u64) -> LineTicket {
        self.line.push(entry(request, outlook), now_ms)
    }

    /// Removes a request from the line; returns the one that is first now.
    pub fn leave(&mut self, ticket: LineTicket) -> Option<LineTicket> {
        self.line.remove(ticket);
        self.line.first()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.line.len()
    }

    /// Sends that the box has saved up.
    pub fn credit(&self) -> f64 {
        self.credit.sends
    }

    /// Decides on a request; `ticket` is its place in the line if it waits already. If the answer is
    /// [`Admission::Send`], the send is counted.
    pub fn admit(
        &mut self,
        request: &RoomRequest,
        ticket: Option<LineTicket>,
        outlook: &Outlook,
        now_ms: u64,
    ) -> Admission {
        self.credit.refill(outlook, now_ms);
        self.line.advance(now_ms);
        let entry = entry(request, outlook);
        if let Some(ticket) = ticket {
            // A workspace may come above its share while its requests wait. They would otherwise keep their places and
            // hold up those behind them, which need fewer saved sends.
            self.line.set_over_share(ticket, entry.is_over_share);
        }
        let ahead = match ticket {
            Some(ticket) => self.line.ahead_of(ticket),
            None => self.line.ahead_of_new(&entry, now_ms),
        };
        let is_in_time = now_ms < entry.late_from_ms;
        let needed = match (outlook.is_short, ticket) {
            (false, None) => 0.0,
            (false, Some(_)) => RELEASE_CREDIT,
            (true, _) if is_in_time && !entry.is_over_share => 1.0,
            // Late requests, and those of a workspace above its share, take only sends that could not be saved up any
            // more.
            (true, _) => MAX_CREDIT,
        };
        let is_next = ahead == 0 || needed == 0.0;
        if is_next && self.credit.sends >= needed {
            self.credit.spend();
            return Admission::Send;
        }
        let turn_ms = (ahead as f64 + 1.0 - self.credit.sends).max(0.0) / outlook.own_per_ms;
        // With the sends that must be saved up: a late request would otherwise be examined every millisecond while the box
        // has some, but not all of them.
        let saved_up_ms = (ahead as f64 + needed - self.credit.sends).max(0.0) / outlook.own_per_ms;
        let for_ms = saved_up_ms as u64 + 1;
        let now = now_ms as f64;
        if is_in_time && now + turn_ms < entry.late_from_ms as f64 {
            return Admission::Wait { for_ms };
        }
        // The leftover time follows from the requests of the last seconds, and may be infinite for some time after the
        // pool is no longer short. Requests that wait are sent then, also late ones.
        let leftover_after_ms = if outlook.is_short {
            outlook.leftover_after_ms
        } else {
            saved_up_ms
        };
        if now + leftover_after_ms + outlook.work_ms <= request.deadline_ms as f64 {
            return Admission::Wait { for_ms };
        }
        let left_ms = request.deadline_ms.saturating_sub(now_ms);
        let retry_after_ms = spread_retry_after_ms(turn_ms as u64, request.priority, request.seed);
        Admission::Refuse {
            retry_after_ms: retry_after_ms.min(left_ms / HONOURED_DIVISOR),
        }
    }

    /// Requests of this box that the figures of the fleet include. With the present number, the shares of all boxes would
    /// add up to more than one while the number of requests rises.
    fn included_requests(&self, sharing: &Sharing) -> u32 {
        let reported = self.reported.front().map(|(_, requests)| *requests);
        reported.unwrap_or(sharing.own_requests)
    }

    fn recent_fleet_flow(&self, now_ms: u64) -> Option<PoolFlow> {
        let (flow, at_ms) = self.fleet?;
        (now_ms < at_ms + FLEET_MAX_AGE_MS && flow.boxes > 0).then_some(flow)
    }
}

fn entry(request: &RoomRequest, outlook: &Outlook) -> LineEntry {
    LineEntry {
        is_over_share: request.over_share > 0.0,
        priority: request.priority,
        arrived_ms: request.arrived_ms,
        late_from_ms: request.target_ms.saturating_sub(outlook.work_ms as u64),
    }
}
