//! Orders of upstreams, played against a platform that starts and ends them, and takes spot ones away.

use std::collections::{HashMap, VecDeque};

use ivyweir_policy::Name;
use ivyweir_policy::gateway::duty::scaling::{
    HallCapacity, PoolView, Scaling, ScalingPlanner, UpstreamOrder,
};

const HALLS: [&str; 4] = ["a", "b", "c", "d"];
const BOOT_MS: u64 = 4_000;
const SLOTS: u32 = 16;
const STEP_MS: u64 = 250;
/// Upstreams of each hall at the start.
const FIRST: u32 = 35;

fn scaling(spot_price: Option<f64>) -> Scaling {
    Scaling {
        min: 1,
        max: 70,
        boot_ms: BOOT_MS,
        spot_price,
        halls: HALLS.iter().map(|hall| Name::from(*hall)).collect(),
    }
}

/// A platform with upstreams, and the orders that wait for their time.
struct Platform {
    supply: HashMap<Name, HallCapacity>,
    starting: VecDeque<(u64, UpstreamOrder)>,
    orders: Vec<UpstreamOrder>,
    given: usize,
    /// Halls that have no spot upstream to give until then.
    dry: HashMap<Name, u64>,
    scaling: Scaling,
    drained: Vec<Name>,
    is_rolling_out: bool,
    planner: ScalingPlanner,
}

impl Platform {
    fn new(spot_price: Option<f64>) -> Self {
        let all = HallCapacity {
            on_demand: FIRST,
            spot: 0,
        };
        Self {
            supply: HALLS.iter().map(|hall| (Name::from(*hall), all)).collect(),
            starting: VecDeque::new(),
            orders: Vec::new(),
            given: 0,
            dry: HashMap::new(),
            scaling: scaling(spot_price),
            drained: Vec::new(),
            is_rolling_out: false,
            planner: ScalingPlanner::default(),
        }
    }

    fn serving(&self) -> u32 {
        self.supply.values().map(|s| s.on_demand + s.spot).sum()
    }

    fn lasting(&self) -> u32 {
        self.supply.values().map(|s| s.on_demand).sum()
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
            let of_hall = self.supply.entry(order.hall.clone()).or_default();
            let count = if order.is_spot {
                &mut of_hall.spot
            } else {
                &mut of_hall.on_demand
            };
            *count = order.count.max(*count);
        }
        let pool = Name::from("engines");
        let view = PoolView {
            pool: &pool,
            scaling: &self.scaling,
            drained_halls: &self.drained,
            is_rolling_out: self.is_rolling_out,
            capacity: self.supply.clone(),
            slots: SLOTS,
            running,
            orders: &self.orders,
        };
        for order in self.planner.plan(&view, now_ms) {
            self.take(order, now_ms);
        }
    }

    fn take(&mut self, order: UpstreamOrder, now_ms: u64) {
        self.given += 1;
        let is_dry = self
            .dry
            .get(&order.hall)
            .is_some_and(|until_ms| now_ms < *until_ms);
        if order.is_spot && is_dry {
            self.planner.record_refusal(&order, now_ms);
            return;
        }
        self.orders.retain(|known| !known.has_same_scope(&order));
        self.starting
            .retain(|(_, known)| !known.has_same_scope(&order));
        self.orders.push(order.clone());
        let of_hall = self.supply.entry(order.hall.clone()).or_default();
        let count = if order.is_spot {
            &mut of_hall.spot
        } else {
            &mut of_hall.on_demand
        };
        *count = order.count.min(*count);
        self.starting.push_back((now_ms + BOOT_MS, order));
    }

    /// The platform takes all spot upstreams of a hall.
    fn reclaim(&mut self, hall: &str, until_ms: u64) {
        self.supply.entry(hall.into()).or_default().spot = 0;
        self.starting
            .retain(|(_, order)| &*order.hall != hall || !order.is_spot);
        self.dry.insert(hall.into(), until_ms);
    }

    fn play(&mut self, span_ms: std::ops::Range<u64>, running: impl Fn(u64) -> Option<f64>) -> u32 {
        let mut least = u32::MAX;
        for now_ms in span_ms.step_by(STEP_MS as usize) {
            self.step(running(now_ms), now_ms);
            least = least.min(self.serving());
        }
        least
    }
}

/// Upstreams that a demand needs at full use of their slots.
fn at_least(running: f64) -> u32 {
    (running / f64::from(SLOTS)).ceil() as u32
}

/// What callers saw: most requests of the first seconds refused. Order of events: the holder started before the
/// upstreams had registered, saw one of them and ordered one for each hall; the platform ended all others.
#[test]
fn before_any_work_is_seen_nothing_is_ordered() {
    let mut platform = Platform::new(Some(0.2));
    let all = std::mem::take(&mut platform.supply);
    platform.play(0..1_000, |_| Some(0.0));
    platform.supply = all;
    let least = platform.play(1_000..30_000, |_| Some(0.0));
    assert_eq!((least, platform.given), (FIRST * 4, 0));
}

#[test]
fn a_holder_that_hears_nothing_orders_nothing_down() {
    let mut platform = Platform::new(None);
    let least = platform.play(0..60_000, |_| None);
    assert_eq!((least, platform.lasting()), (FIRST * 4, FIRST * 4));
}

/// A holder that is cut off from other halls for a while hears a part of the work when it is back.
#[test]
fn a_holder_that_was_cut_off_waits_before_it_orders_again() {
    let mut platform = Platform::new(Some(0.2));
    platform.play(0..40_000, |_| Some(200.0));
    let (before, given) = (platform.serving(), platform.given);
    platform.play(40_000..65_000, |_| None);
    let least = platform.play(65_000..68_500, |_| Some(20.0));
    assert_eq!((least, platform.given), (before, given));
}

#[test]
fn spot_upstreams_replace_others_once_they_serve() {
    let mut platform = Platform::new(Some(0.2));
    let least = platform.play(0..60_000, |_| Some(200.0));
    assert!(
        platform.lasting() <= 16,
        "{} are not spot",
        platform.lasting()
    );
    assert!(least >= at_least(200.0) * 2, "{least} upstreams");
    assert!(
        platform.serving() < FIRST * 4,
        "{} serve",
        platform.serving()
    );
}

#[test]
fn without_spot_upstreams_the_pool_shrinks_to_its_work() {
    let mut platform = Platform::new(None);
    platform.play(0..60_000, |_| Some(100.0));
    let served = platform.serving();
    assert!(
        (at_least(100.0) * 2..FIRST * 4 / 2).contains(&served),
        "{served}"
    );
}

#[test]
fn the_loss_of_a_halls_spot_upstreams_leaves_enough() {
    let mut platform = Platform::new(Some(0.2));
    platform.play(0..40_000, |_| Some(200.0));
    platform.reclaim("b", 50_000);
    let left = platform.serving();
    assert!(left >= at_least(200.0) * 2, "{left} upstreams");
    let least = platform.play(40_000..50_000, |_| Some(200.0));
    assert!(least >= at_least(200.0) * 2, "{least} upstreams");
    platform.play(50_000..70_000, |_| Some(200.0));
    assert!(
        platform.supply["b"].spot > 0,
        "the hall was not asked again"
    );
}

#[test]
fn work_that_grows_gets_more() {
    let mut platform = Platform::new(Some(0.2));
    platform.play(0..40_000, |_| Some(100.0));
    let before = platform.serving();
    platform.play(40_000..50_000, |_| Some(400.0));
    assert!(
        platform.serving() >= before * 2,
        "{} after {before}",
        platform.serving()
    );
}

#[test]
fn a_wave_of_work_makes_few_orders() {
    let mut platform = Platform::new(Some(0.2));
    platform.play(0..40_000, |_| Some(200.0));
    let before = platform.given;
    let wave = |now_ms: u64| {
        let turn = now_ms as f64 / 11_000.0 * std::f64::consts::TAU;
        Some(160.0 + 40.0 * turn.sin())
    };
    platform.play(40_000..160_000, wave);
    let orders = platform.given - before;
    assert!(orders <= 8, "{orders} orders in two minutes");
}

#[test]
fn a_drained_hall_gets_no_orders_and_does_not_count() {
    let mut platform = Platform::new(Some(0.2));
    platform.play(0..40_000, |_| Some(200.0));
    platform.drained = vec!["c".into()];
    let before = platform.supply["c"];
    platform.play(40_000..60_000, |_| Some(200.0));
    assert_eq!(platform.supply["c"], before);
    let elsewhere = platform.serving() - before.on_demand - before.spot;
    assert!(elsewhere >= at_least(200.0) * 2, "{elsewhere} upstreams");
}

/// What callers saw: one in ten late for 12 s after a roll-out. Order of events: 70 upstreams of a hall stood side by side, 35 of
/// each version, and 42 were ordered; the platform ended the newest 28, and with the roll-out the old 35, so 7 were left.
#[test]
fn while_two_versions_stand_side_by_side_nothing_is_ordered() {
    let mut platform = Platform::new(Some(0.2));
    for of_hall in platform.supply.values_mut() {
        of_hall.on_demand = FIRST * 2;
    }
    platform.is_rolling_out = true;
    platform.play(0..24_000, |_| Some(200.0));
    platform.is_rolling_out = false;
    platform.play(24_000..25_500, |_| Some(200.0));
    assert_eq!((platform.given, platform.serving()), (0, FIRST * 8));
    for of_hall in platform.supply.values_mut() {
        of_hall.on_demand = FIRST;
    }
    platform.play(25_500..60_000, |_| Some(200.0));
    assert!(
        platform.lasting() < FIRST,
        "{} are not spot",
        platform.lasting()
    );
}
