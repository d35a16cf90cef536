//! Autoscaling of pools whose upstreams the platform starts and stops on order.
//!
//! Demand is the recent peak of requests in progress over all boxes. Capacity for it is kept at all times. The platform
//! may reclaim all spot upstreams of a hall at once, so they are spread such that the loss of one hall leaves enough.
//! On-demand upstreams are removed only once the spot upstreams that replace them are serving. Nothing is ordered
//! before demand has been observed for some time.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Name;

/// Target share of an upstream's slots in use at peak demand. Each further request slows down the others on the same
/// upstream, and a long prompt delays all of them.
const TARGET_UTILIZATION: f64 = 0.4;
/// Factor on peak demand that covers growth until further upstreams have started.
const HEADROOM: f64 = 1.3;
/// Minimum share of on-demand upstreams, regardless of the number of spot upstreams.
const MIN_ON_DEMAND_SHARE: f64 = 0.1;
/// Length of the window over which peak demand is determined.
const PEAK_WINDOW_MS: u64 = 20_000;
/// Time for which demand must have been observed before anything is ordered.
const MIN_OBSERVATION_MS: u64 = 4_000;
/// Minimum time between an order and a subsequent lower one.
const SCALE_DOWN_INTERVAL_MS: u64 = 3_000;
/// Minimum relative reduction of a lower order.
const MIN_SCALE_DOWN_SHARE: f64 = 0.15;
/// Time beyond the boot time after which upstreams that did not start are ordered again. Also the time for which no
/// further spot upstreams are ordered in a hall that had none available.
const RETRY_INTERVAL_MS: u64 = 5_000;

/// Time after a roll-out for which upstreams of the replaced version are still counted.
const ROLLOUT_SETTLING_MS: u64 = 2_000;

/// Scaling limits of a pool, as published by the platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Scaling {
    /// Minimum number of upstreams per hall.
    pub min: u32,
    /// Maximum number of upstreams per hall.
    pub max: u32,
    /// Time from an order until its upstreams are serving.
    pub boot_ms: u64,
    /// Price of a spot upstream relative to an on-demand one; `None` if spot upstreams are not offered.
    pub spot_price: Option<f64>,
    /// Halls in which upstreams may run, cheapest first.
    pub halls: Vec<Name>,
}

/// Order that sets the number of upstreams of a pool in a hall.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamOrder {
    /// Pool of the upstreams.
    pub pool: Name,
    /// Hall of the upstreams.
    pub hall: Name,
    /// Whether the order is for spot upstreams, which may be reclaimed at short notice.
    pub is_spot: bool,
    /// Total number of upstreams to run.
    pub count: u32,
}

impl UpstreamOrder {
    /// Whether both orders are for the same pool, hall and spot type.
    pub fn has_same_scope(&self, other: &Self) -> bool {
        self.pool == other.pool && self.hall == other.hall && self.is_spot == other.is_spot
    }
}

/// Number of upstreams of a pool in a hall that are serving and not cold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HallCapacity {
    /// On-demand upstreams.
    pub on_demand: u32,
    /// Spot upstreams.
    pub spot: u32,
}

/// State of a pool from which its orders are planned.
#[derive(Debug, Clone)]
pub struct PoolView<'a> {
    /// The pool.
    pub pool: &'a Name,
    /// Scaling limits of the pool.
    pub scaling: &'a Scaling,
    /// Drained halls, whose upstreams receive no requests.
    pub drained_halls: &'a [Name],
    /// Whether a roll-out is in progress.
    pub is_rolling_out: bool,
    /// Serving upstreams, by hall.
    pub capacity: HashMap<Name, HallCapacity>,
    /// Number of requests that one upstream processes concurrently.
    pub slots: u32,
    /// Requests in progress over all boxes; `None` if unknown.
    pub running: Option<f64>,
    /// The orders in force.
    pub orders: &'a [UpstreamOrder],
}

/// Hall and spot type of an order.
type OrderScope = (Name, bool);

/// Plans the orders of one pool.
#[derive(Debug, Default)]
pub struct ScalingPlanner {
    observed_since_ms: Option<u64>,
    /// Observed requests in progress, with the time of each observation.
    demand: VecDeque<(u64, f64)>,
    ordered_at_ms: HashMap<OrderScope, u64>,
    refused_at_ms: HashMap<OrderScope, u64>,
    /// Time at which a roll-out was last observed in progress.
    rollout_at_ms: Option<u64>,
}

impl ScalingPlanner {
    /// Plans the orders to send now.
    pub fn plan(&mut self, view: &PoolView, now_ms: u64) -> Vec<UpstreamOrder> {
        self.observe(view, now_ms);
        let Some(target) = self.target(view, now_ms) else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        let halls = view.scaling.halls.iter();
        for hall in halls.filter(|hall| !view.drained_halls.contains(hall)) {
            for (is_spot, count) in [(true, target.spot), (false, target.on_demand)] {
                let order = UpstreamOrder {
                    pool: view.pool.clone(),
                    hall: hall.clone(),
                    is_spot,
                    count,
                };
                if self.is_due(&order, view, now_ms) {
                    self.ordered_at_ms.insert((hall.clone(), is_spot), now_ms);
                    orders.push(order);
                }
            }
        }
        orders
    }

    /// Records that the platform had no upstreams available for an order.
    pub fn record_refusal(&mut self, order: &UpstreamOrder, now_ms: u64) {
        let scope = (order.hall.clone(), order.is_spot);
        self.refused_at_ms.insert(scope, now_ms);
    }

    fn observe(&mut self, view: &PoolView, now_ms: u64) {
        if view.is_rolling_out {
            self.rollout_at_ms = Some(now_ms);
        }
        let Some(running) = view.running else {
            // Counts of only a part of the fleet would look like a drop in demand.
            self.observed_since_ms = None;
            return;
        };
        if running > 0.0 {
            self.observed_since_ms.get_or_insert(now_ms);
        }
        self.demand.push_back((now_ms, running));
        self.demand
            .retain(|(at_ms, _)| now_ms < at_ms + PEAK_WINDOW_MS);
    }

    /// Whether demand has been observed for long enough to plan by it.
    fn knows_demand(&self, now_ms: u64) -> bool {
        self.observed_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + MIN_OBSERVATION_MS)
    }

    /// Number of upstreams needed for peak demand, regardless of their distribution over halls.
    pub fn needed(&self, view: &PoolView) -> u32 {
        let peak = self.demand.iter().map(|(_, running)| *running);
        let peak = peak.fold(0.0, f64::max);
        let slots = f64::from(view.slots.max(1));
        (peak * HEADROOM / (slots * TARGET_UTILIZATION)).ceil() as u32
    }

    /// Target capacity of each hall; `None` if demand is unknown or a roll-out is unsettled.
    fn target(&self, view: &PoolView, now_ms: u64) -> Option<HallCapacity> {
        let Scaling {
            min,
            max,
            spot_price,
            halls,
            ..
        } = view.scaling;
        let count = u32::try_from(halls.len()).ok().filter(|count| *count > 0)?;
        // A box that has just started knows neither all upstreams nor the demand on them.
        let needed = self.needed(view);
        if needed == 0 || !self.knows_demand(now_ms) || self.is_unsettled(now_ms) {
            return None;
        }
        let share = |of: u32, among: u32| of.div_ceil(among.max(1));
        if spot_price.is_none() {
            let on_demand = share(needed, count - 1).clamp(*min, *max);
            return Some(HallCapacity { on_demand, spot: 0 });
        }
        let min_on_demand =
            share((f64::from(needed) * MIN_ON_DEMAND_SHARE) as u32, count).clamp(*min, *max);
        let available = halls.iter().filter(|hall| {
            let is_drained = view.drained_halls.contains(hall);
            !is_drained && !self.is_refused(hall, now_ms)
        });
        let available = u32::try_from(available.count()).unwrap_or(count);
        let spot_needed = needed.saturating_sub(min_on_demand * count);
        // The loss of one more hall is planned for only while all halls are available.
        let spare_halls = u32::from(available == count);
        // Spot upstreams start before the on-demand ones they replace stop, and both count towards the maximum.
        let on_demand_now = view
            .capacity
            .values()
            .map(|capacity| capacity.on_demand)
            .max();
        let room = max.saturating_sub(on_demand_now.unwrap_or(0).max(min_on_demand));
        let spot = share(spot_needed, available.saturating_sub(spare_halls)).min(room);
        let undrained = halls
            .iter()
            .filter(|hall| !view.drained_halls.contains(hall));
        let serving = undrained.filter_map(|hall| view.capacity.get(hall));
        let serving: Vec<u32> = serving.map(|capacity| capacity.spot).collect();
        let largest = serving.iter().copied().max().unwrap_or(0);
        let safe_spot = serving.iter().sum::<u32>() - largest * spare_halls;
        let on_demand = share(needed.saturating_sub(safe_spot), count).max(min_on_demand);
        Some(HallCapacity {
            on_demand: on_demand.min(max.saturating_sub(spot)).max(*min),
            spot,
        })
    }

    /// Whether a roll-out is in progress or has just ended. Both versions run then, either may have to serve all
    /// requests, and a lower order would stop upstreams of the new version.
    fn is_unsettled(&self, now_ms: u64) -> bool {
        self.rollout_at_ms
            .is_some_and(|at_ms| now_ms < at_ms + ROLLOUT_SETTLING_MS)
    }

    fn is_refused(&self, hall: &Name, now_ms: u64) -> bool {
        let refused_at_ms = self.refused_at_ms.get(&(hall.clone(), true));
        refused_at_ms.is_some_and(|at_ms| now_ms < at_ms + RETRY_INTERVAL_MS)
    }

    /// Whether an order is to be sent, compared with the one in force.
    fn is_due(&self, order: &UpstreamOrder, view: &PoolView, now_ms: u64) -> bool {
        if order.is_spot && self.is_refused(&order.hall, now_ms) {
            return false;
        }
        let capacity = view.capacity.get(&order.hall).copied().unwrap_or_default();
        let serving = if order.is_spot {
            capacity.spot
        } else {
            capacity.on_demand
        };
        let in_force = view.orders.iter().find(|known| known.has_same_scope(order));
        let ordered = in_force.map_or(serving, |known| known.count);
        let scope = (order.hall.clone(), order.is_spot);
        let since_ms = self
            .ordered_at_ms
            .get(&scope)
            .map_or(u64::MAX, |at_ms| now_ms.saturating_sub(*at_ms));
        if order.count > ordered {
            return true;
        }
        let step = (f64::from(ordered) * MIN_SCALE_DOWN_SHARE).ceil() as u32;
        if order.count + step.max(1) <= ordered {
            return since_ms >= SCALE_DOWN_INTERVAL_MS;
        }
        let is_missing = in_force.is_some() && serving < order.count;
        is_missing && since_ms >= view.scaling.boot_ms + RETRY_INTERVAL_MS
    }
}
