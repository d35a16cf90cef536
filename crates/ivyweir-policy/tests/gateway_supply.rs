//! Scaling orders, simulated against a platform that starts and stops upstreams and reclaims spot upstreams.

use std::collections::{HashMap, VecDeque};

use ivyweir_policy::Name;
use ivyweir_policy::gateway::duty::scaling::{
    HallCapacity, PoolView, Scaling, ScalingPlanner, UpstreamOrder,
};

const HALLS: [&str; 4] = ["a", "b", "c", "d"];
const BOOT_MS: u64 = 4_000;
const SLOTS: u32 = 16;
const STEP_MS: u64 = 250;
/// Number of upstreams per hall at the start.
const INITIAL_PER_HALL: u32 = 35;

fn scaling(spot_price: Option<f64>) -> Scaling {
    Scaling {
        min: 1,
        max: 70,
        boot_ms: BOOT_MS,
        spot_price,
        halls: HALLS.iter().map(|hall| Name::from(*hall)).collect(),
    }
}

/// Simulated platform with its upstreams and the orders that take effect after the boot time.
struct Platform {
    capacity: HashMap<Name, HallCapacity>,
    starting: VecDeque<(u64, UpstreamOrder)>,
    orders: Vec<UpstreamOrder>,
    order_count: usize,
    /// Time until which a hall has no spot capacity.
    no_spot_until_ms: HashMap<Name, u64>,
    scaling: Scaling,
    drained: Vec<Name>,
    is_rolling_out: bool,
    planner: ScalingPlanner,
}

impl Platform {
    fn new(spot_price: Option<f64>) -> Self {
        let initial = HallCapacity {
            on_demand: INITIAL_PER_HALL,
            spot: 0,
        };
        Self {
            capacity: HALLS
                .iter()
                .map(|hall| (Name::from(*hall), initial))
                .collect(),
            starting: VecDeque::new(),
            orders: Vec::new(),
            order_count: 0,
            no_spot_until_ms: HashMap::new(),
            scaling: scaling(spot_price),
            drained: Vec::new(),
            is_rolling_out: false,
            planner: ScalingPlanner::default(),
        }
    }

    fn serving_count(&self) -> u32 {
        self.capacity.values().map(|s| s.on_demand + s.spot).sum()
    }

    fn on_demand_count(&self) -> u32 {
        self.capacity.values().map(|s| s.on_demand).sum()
    }

    fn step(&mut self, running: Option<f64>, now_ms: u64) {
        while self
            .starting
            .front()
            .is_some_and(|(at_ms, _)| *at_ms <= now_ms)
        {
            let Some((_, order)) = self.starting.pop_front() else {
                break;
            };
            let hall_capacity = self.capacity.entry(order.hall.clone()).or_default();
            let count = if order.is_spot {
                &mut hall_capacity.spot
            } else {
                &mut hall_capacity.on_demand
            };
            *count = order.count.max(*count);
        }
        let pool = Name::from("engines");
        let view = PoolView {
            pool: &pool,
            scaling: &self.scaling,
            drained_halls: &self.drained,
            is_rolling_out: self.is_rolling_out,
            capacity: self.capacity.clone(),
            slots: SLOTS,
            running,
            orders: &self.orders,
        };
        for order in self.planner.plan(&view, now_ms) {
            self.place_order(order, now_ms);
        }
    }

    fn place_order(&mut self, order: UpstreamOrder, now_ms: u64) {
        self.order_count += 1;
        let has_no_spot = self
            .no_spot_until_ms
            .get(&order.hall)
            .is_some_and(|until_ms| now_ms < *until_ms);
        if order.is_spot && has_no_spot {
            self.planner.record_refusal(&order, now_ms);
            return;
        }
        self.orders.retain(|known| !known.has_same_scope(&order));
        self.starting
            .retain(|(_, known)| !known.has_same_scope(&order));
        self.orders.push(order.clone());
        let hall_capacity = self.capacity.entry(order.hall.clone()).or_default();
        let count = if order.is_spot {
            &mut hall_capacity.spot
        } else {
            &mut hall_capacity.on_demand
        };
        *count = order.count.min(*count);
        self.starting.push_back((now_ms + BOOT_MS, order));
    }

    /// Reclaims all spot upstreams of a hall; it has no spot capacity until `until_ms`.
    fn reclaim_spot(&mut self, hall: &str, until_ms: u64) {
        self.capacity.entry(hall.into()).or_default().spot = 0;
        self.starting
            .retain(|(_, order)| &*order.hall != hall || !order.is_spot);
        self.no_spot_until_ms.insert(hall.into(), until_ms);
    }

    fn simulate(
        &mut self,
        period_ms: std::ops::Range<u64>,
        running: impl Fn(u64) -> Option<f64>,
    ) -> u32 {
        let mut min_serving = u32::MAX;
        for now_ms in period_ms.step_by(STEP_MS as usize) {
            self.step(running(now_ms), now_ms);
            min_serving = min_serving.min(self.serving_count());
        }
        min_serving
    }
}

/// Number of upstreams that serve `running` requests with all slots in use.
fn upstreams_needed(running: f64) -> u32 {
    (running / f64::from(SLOTS)).ceil() as u32
}

/// Guards against refused requests in the first seconds: a holder that started before the upstreams had registered
/// saw one of them and ordered one per hall, so the platform stopped all others.
#[test]
fn before_any_work_is_seen_nothing_is_ordered() {
    let mut platform = Platform::new(Some(0.2));
    let registered = std::mem::take(&mut platform.capacity);
    platform.simulate(0..1_000, |_| Some(0.0));
    platform.capacity = registered;
    let min_serving = platform.simulate(1_000..30_000, |_| Some(0.0));
    assert_eq!(
        (min_serving, platform.order_count),
        (INITIAL_PER_HALL * 4, 0)
    );
}

#[test]
fn a_holder_that_hears_nothing_orders_nothing_down() {
    let mut platform = Platform::new(None);
    let min_serving = platform.simulate(0..60_000, |_| None);
    assert_eq!(
        (min_serving, platform.on_demand_count()),
        (INITIAL_PER_HALL * 4, INITIAL_PER_HALL * 4)
    );
}

/// After a partition from other halls, the holder at first receives only part of the load reports.
#[test]
fn a_holder_that_was_cut_off_waits_before_it_orders_again() {
    let mut platform = Platform::new(Some(0.2));
    platform.simulate(0..40_000, |_| Some(200.0));
    let (before, order_count) = (platform.serving_count(), platform.order_count);
    platform.simulate(40_000..65_000, |_| None);
    let min_serving = platform.simulate(65_000..68_500, |_| Some(20.0));
    assert_eq!((min_serving, platform.order_count), (before, order_count));
}

#[test]
fn spot_upstreams_replace_others_once_they_serve() {
    let mut platform = Platform::new(Some(0.2));
    let min_serving = platform.simulate(0..60_000, |_| Some(200.0));
    assert!(
        platform.on_demand_count() <= 16,
        "{} on-demand upstreams",
        platform.on_demand_count()
    );
    assert!(
        min_serving >= upstreams_needed(200.0) * 2,
        "{min_serving} upstreams"
    );
    assert!(
        platform.serving_count() < INITIAL_PER_HALL * 4,
        "{} upstreams",
        platform.serving_count()
    );
}

#[test]
fn without_spot_upstreams_the_pool_shrinks_to_its_work() {
    let mut platform = Platform::new(None);
    platform.simulate(0..60_000, |_| Some(100.0));
    let serving = platform.serving_count();
    assert!(
        (upstreams_needed(100.0) * 2..INITIAL_PER_HALL * 4 / 2).contains(&serving),
        "{serving}"
    );
}

#[test]
fn the_loss_of_a_halls_spot_upstreams_leaves_enough() {
    let mut platform = Platform::new(Some(0.2));
    platform.simulate(0..40_000, |_| Some(200.0));
    platform.reclaim_spot("b", 50_000);
    let remaining = platform.serving_count();
    assert!(
        remaining >= upstreams_needed(200.0) * 2,
        "{remaining} upstreams"
    );
    let min_serving = platform.simulate(40_000..50_000, |_| Some(200.0));
    assert!(
        min_serving >= upstreams_needed(200.0) * 2,
        "{min_serving} upstreams"
    );
    platform.simulate(50_000..70_000, |_| Some(200.0));
    assert!(
        platform.capacity["b"].spot > 0,
        "no spot upstreams were ordered in the hall again"
    );
}

#[test]
fn work_that_grows_gets_more() {
    let mut platform = Platform::new(Some(0.2));
    platform.simulate(0..40_000, |_| Some(100.0));
    let before = platform.serving_count();
    platform.simulate(40_000..50_000, |_| Some(400.0));
    assert!(
        platform.serving_count() >= before * 2,
        "{} after {before}",
        platform.serving_count()
    );
}

#[test]
fn a_wave_of_work_makes_few_orders() {
    let mut platform = Platform::new(Some(0.2));
    platform.simulate(0..40_000, |_| Some(200.0));
    let before = platform.order_count;
    let running = |now_ms: u64| {
        let phase = now_ms as f64 / 11_000.0 * std::f64::consts::TAU;
        Some(160.0 + 40.0 * phase.sin())
    };
    platform.simulate(40_000..160_000, running);
    let orders = platform.order_count - before;
    assert!(orders <= 8, "{orders} orders in two minutes");
}

#[test]
fn a_drained_hall_gets_no_orders_and_does_not_count() {
    let mut platform = Platform::new(Some(0.2));
    platform.simulate(0..40_000, |_| Some(200.0));
    platform.drained = vec!["c".into()];
    let before = platform.capacity["c"];
    platform.simulate(40_000..60_000, |_| Some(200.0));
    assert_eq!(platform.capacity["c"], before);
    let in_other_halls = platform.serving_count() - before.on_demand - before.spot;
    assert!(
        in_other_halls >= upstreams_needed(200.0) * 2,
        "{in_other_halls} upstreams"
    );
}

/// Guards against a capacity loss that made one in ten responses late for 12 s after a roll-out. A hall had 70
/// upstreams, 35 of each version, and 42 were ordered: the platform stopped the newest 28, then the roll-out stopped
/// the old 35, which left 7.
#[test]
fn while_two_versions_stand_side_by_side_nothing_is_ordered() {
    let mut platform = Platform::new(Some(0.2));
    for hall_capacity in platform.capacity.values_mut() {
        hall_capacity.on_demand = INITIAL_PER_HALL * 2;
    }
    platform.is_rolling_out = true;
    platform.simulate(0..24_000, |_| Some(200.0));
    platform.is_rolling_out = false;
    platform.simulate(24_000..25_500, |_| Some(200.0));
    assert_eq!(
        (platform.order_count, platform.serving_count()),
        (0, INITIAL_PER_HALL * 8)
    );
    for hall_capacity in platform.capacity.values_mut() {
        hall_capacity.on_demand = INITIAL_PER_HALL;
    }
    platform.simulate(25_500..60_000, |_| Some(200.0));
    assert!(
        platform.on_demand_count() < INITIAL_PER_HALL,
        "{} on-demand upstreams",
        platform.on_demand_count()
    );
}
