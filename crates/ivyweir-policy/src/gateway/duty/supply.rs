//! How many upstreams each pool is given in each hall, where the platform starts and ends them on order.
//!
//! Demand is the number of requests under way over all boxes, its peak of the last seconds. Enough upstreams
//! for it are kept in any case; spot upstreams, which the platform may take away from a whole hall at once,
//! are spread so that the loss of one hall's leaves enough. Upstreams that are not spot go only when the
//! spot ones that replace them serve, and nothing is ordered before demand has been seen for a while.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Name;

/// Part of its slots that an upstream is meant to have in use at the peak. Each further request slows the others
/// there, and a long prompt holds all of them up.
const OCCUPANCY: f64 = 0.4;
/// Upstreams for demand that grows before more of them have started.
const HEADROOM: f64 = 1.3;
/// Part of the upstreams needed that are not spot, however many spot ones there are.
const LASTING_SHARE: f64 = 0.1;
/// Time over which the peak of demand is taken.
const PEAK_MS: u64 = 20_000;
/// Time for which demand must have been seen before anything is ordered.
const SEEN_MS: u64 = 4_000;
/// Least time between an order and the next one that is lower.
const SHRINK_PAUSE_MS: u64 = 3_000;
/// Part by which a lower order must be lower.
const SHRINK_STEP: f64 = 0.15;
/// Time after which upstreams that were ordered and did not come are ordered again, beyond that in which
/// they start; also the time for which a hall that had none to give is not asked.
const RETRY_MS: u64 = 5_000;

/// Time after a roll-out in which upstreams of the version that went are still counted.
const ROLLOUT_SETTLING_MS: u64 = 2_000;

/// What a platform says of a pool whose upstreams it starts and ends on order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Scaling {
    /// Fewest upstreams in a hall.
    pub min: u32,
    /// Most upstreams in a hall.
    pub max: u32,
    /// Time from an order until its upstreams serve.
    pub boot_ms: u64,
    /// Price of a spot upstream relative to others; none where there are no spot ones.
    pub spot_price: Option<f64>,
    /// Halls in which upstreams may run, cheapest first.
    pub halls: Vec<Name>,
}

/// An order of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamOrder {
    /// Their pool.
    pub pool: Name,
    /// Their hall.
    pub hall: Name,
    /// Whether they may be taken away at short notice.
    pub is_spot: bool,
    /// How many there are to be.
    pub count: u32,
}

impl UpstreamOrder {
    /// Whether it is about the same upstreams.
    pub fn is_about(&self, other: &Self) -> bool {
        self.pool == other.pool && self.hall == other.hall && self.is_spot == other.is_spot
    }
}

/// Upstreams of a pool in a hall that serve and are not cold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HallSupply {
    /// Those that are not spot.
    pub lasting: u32,
    /// Spot ones.
    pub spot: u32,
}

/// A pool as the holder sees it.
#[derive(Debug, Clone)]
pub struct PoolView<'a> {
    /// The pool.
    pub pool: &'a Name,
    /// What the platform says of it.
    pub scaling: &'a Scaling,
    /// Halls whose upstreams are to get nothing.
    pub drained_halls: &'a [Name],
    /// Whether it moves to another version.
    pub is_rolling_out: bool,
    /// Its upstreams by hall.
    pub supply: HashMap<Name, HallSupply>,
    /// Requests that one upstream works on at once.
    pub slots: u32,
    /// Requests under way over all boxes; none where they are not known.
    pub running: Option<f64>,
    /// The orders in force.
    pub orders: &'a [UpstreamOrder],
}

/// Kind of upstream in a hall.
type Lot = (Name, bool);

/// Plans the upstreams of one pool.
#[derive(Debug, Default)]
pub struct SupplyPlanner {
    seen_since_ms: Option<u64>,
    /// Requests under way, by time.
    demand: VecDeque<(u64, f64)>,
    ordered_at_ms: HashMap<Lot, u64>,
    refused_at_ms: HashMap<Lot, u64>,
    /// When a roll-out was last seen under way.
    rollout_at_ms: Option<u64>,
}

impl SupplyPlanner {
    /// The orders to give now.
    pub fn plan(&mut self, view: &PoolView, now_ms: u64) -> Vec<UpstreamOrder> {
        self.see(view, now_ms);
        let Some(target) = self.target(view, now_ms) else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        let halls = view.scaling.halls.iter();
        for hall in halls.filter(|hall| !view.drained_halls.contains(hall)) {
            for (is_spot, count) in [(true, target.spot), (false, target.lasting)] {
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

    /// Takes in that the platform has none to give for an order.
    pub fn refused(&mut self, order: &UpstreamOrder, now_ms: u64) {
        let lot = (order.hall.clone(), order.is_spot);
        self.refused_at_ms.insert(lot, now_ms);
    }

    fn see(&mut self, view: &PoolView, now_ms: u64) {
        if view.is_rolling_out {
            self.rollout_at_ms = Some(now_ms);
        }
        let Some(running) = view.running else {
            // What is heard of a part of the fleet would look like less work.
            self.seen_since_ms = None;
            return;
        };
        if running > 0.0 {
            self.seen_since_ms.get_or_insert(now_ms);
        }
        self.demand.push_back((now_ms, running));
        self.demand.retain(|(at_ms, _)| now_ms < at_ms + PEAK_MS);
    }

    /// Whether demand has been seen for long enough to go by it.
    fn knows_demand(&self, now_ms: u64) -> bool {
        self.seen_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + SEEN_MS)
    }

    /// Upstreams needed at once, however they are spread.
    pub fn needed(&self, view: &PoolView) -> u32 {
        let peak = self.demand.iter().map(|(_, running)| *running);
        let peak = peak.fold(0.0, f64::max);
        let slots = f64::from(view.slots.max(1));
        (peak * HEADROOM / (slots * OCCUPANCY)).ceil() as u32
    }

    /// What each hall is to have; none where there is nothing to plan by.
    fn target(&self, view: &PoolView, now_ms: u64) -> Option<HallSupply> {
        let Scaling {
            min,
            max,
            spot_price,
            halls,
            ..
        } = view.scaling;
        let count = u32::try_from(halls.len()).ok().filter(|count| *count > 0)?;
        // A box that starts knows neither all upstreams nor what is asked of them.
        let needed = self.needed(view);
        if needed == 0 || !self.knows_demand(now_ms) || self.is_unsettled(now_ms) {
            return None;
        }
        let share = |of: u32, among: u32| of.div_ceil(among.max(1));
        if spot_price.is_none() {
            let lasting = share(needed, count - 1).clamp(*min, *max);
            return Some(HallSupply { lasting, spot: 0 });
        }
        let least = share((f64::from(needed) * LASTING_SHARE) as u32, count).clamp(*min, *max);
        let open = halls.iter().filter(|hall| {
            let is_drained = view.drained_halls.contains(hall);
            !is_drained && !self.is_refused(hall, now_ms)
        });
        let open = u32::try_from(open.count()).unwrap_or(count);
        let by_spot = needed.saturating_sub(least * count);
        let spared = u32::from(open == count);
        // Spot upstreams come before the others go, and both count for the most.
        let lasting_now = view.supply.values().map(|supply| supply.lasting).max();
        let room = max.saturating_sub(lasting_now.unwrap_or(0).max(least));
        let spot = share(by_spot, open.saturating_sub(spared)).min(room);
        let served = halls
            .iter()
            .filter(|hall| !view.drained_halls.contains(hall));
        let serving = served.filter_map(|hall| view.supply.get(hall));
        let serving: Vec<u32> = serving.map(|supply| supply.spot).collect();
        let most = serving.iter().copied().max().unwrap_or(0);
        let safe = serving.iter().sum::<u32>() - most * spared;
        let lasting = share(needed.saturating_sub(safe), count).max(least);
        Some(HallSupply {
            lasting: lasting.min(max.saturating_sub(spot)).max(*min),
            spot,
        })
    }

    /// Whether a roll-out is under way or has just ended. Both versions stand then, each of which may have to
    /// bear all work, and an order for fewer would end the new one's.
    fn is_unsettled(&self, now_ms: u64) -> bool {
        self.rollout_at_ms
            .is_some_and(|at_ms| now_ms < at_ms + ROLLOUT_SETTLING_MS)
    }

    fn is_refused(&self, hall: &Name, now_ms: u64) -> bool {
        let refused_at_ms = self.refused_at_ms.get(&(hall.clone(), true));
        refused_at_ms.is_some_and(|at_ms| now_ms < at_ms + RETRY_MS)
    }

    /// Whether an order is to be given, by the one in force.
    fn is_due(&self, order: &UpstreamOrder, view: &PoolView, now_ms: u64) -> bool {
        if order.is_spot && self.is_refused(&order.hall, now_ms) {
            return false;
        }
        let supply = view.supply.get(&order.hall).copied().unwrap_or_default();
        let serving = if order.is_spot {
            supply.spot
        } else {
            supply.lasting
        };
        let in_force = view.orders.iter().find(|known| known.is_about(order));
        let ordered = in_force.map_or(serving, |known| known.count);
        let lot = (order.hall.clone(), order.is_spot);
        let since_ms = self
            .ordered_at_ms
            .get(&lot)
            .map_or(u64::MAX, |at_ms| now_ms.saturating_sub(*at_ms));
        if order.count > ordered {
            return true;
        }
        let step = (f64::from(ordered) * SHRINK_STEP).ceil() as u32;
        if order.count + step.max(1) <= ordered {
            return since_ms >= SHRINK_PAUSE_MS;
        }
        let is_missing = in_force.is_some() && serving < order.count;
        is_missing && since_ms >= view.scaling.boot_ms + RETRY_MS
    }
}
