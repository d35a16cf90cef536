//! What random soaks share: boxes behind proxies to the store, which are stopped, paused and killed.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_standins::FaultProxy;
use ivyweir_standins::edge::{BoxSpec, GatewayProcess, TestCluster, any_port, eventually};

use super::BINARY;

/// Longest time in which a planned stop ends: more than the grace.
const STOP_LIMIT: Duration = Duration::from_secs(20);

/// Where callers reach the boxes; none where a box is not there.
pub type Addrs = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// A span in which a box was disturbed.
#[derive(Debug, Clone, Copy)]
pub struct Disturbed {
    /// The box.
    pub number: usize,
    /// When that began.
    pub from: Instant,
    /// When it was well again.
    pub until: Instant,
}

/// Boxes of a soak, each behind a proxy of its own to the store.
pub struct Boxes {
    /// Their store and, without work, its upstreams.
    pub town: TestCluster,
    /// Their ways to the store.
    pub store_paths: Vec<FaultProxy>,
    /// Where callers reach them.
    pub addrs: Addrs,
    /// When they were restarted or paused.
    pub disturbed: Vec<Disturbed>,
    /// Where their logs are.
    pub folder: PathBuf,
    /// The daemon under test: `IVYWEIR_SOAK_BINARY`, or else that of this build.
    pub binary: PathBuf,
    halls: &'static [&'static str],
}

impl Boxes {
    /// A store and the ways to it for a box in each of these halls, none started yet.
    pub fn new(name: &str, seed: u64, halls: &'static [&'static str]) -> Self {
        let binary = std::env::var_os("IVYWEIR_SOAK_BINARY").map_or(BINARY.into(), PathBuf::from);
        let town = TestCluster::start(&binary);
        for upstream in town.engines.iter().chain(&town.services) {
            town.store.put_upstream(&upstream.leaving_record());
        }
        // Soaks of one process may be given the same seed.
        static SOAK_COUNT: AtomicU64 = AtomicU64::new(0);
        let number = SOAK_COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("ivyweir-{name}-{}-{number}-{seed}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
        let store_addr = town.store.addr().to_string();
        let path = |_| FaultProxy::start(&store_addr).expect("a port");
        Self {
            store_paths: halls.iter().map(path).collect(),
            addrs: Arc::new(Mutex::new(vec![None; halls.len()])),
            disturbed: Vec::new(),
            town,
            folder,
            binary,
            halls,
        }
    }

    /// Starts all boxes and waits until they are ready.
    pub fn start_all(&mut self) {
        for number in 0..self.halls.len() {
            self.start_box(number);
        }
        self.until_all_ready();
    }

    /// Waits until all boxes are ready.
    pub fn until_all_ready(&self) {
        for number in 0..self.halls.len() {
            eventually("every box is ready", || self.town.is_ready(number));
        }
    }

    /// Pauses a box's process.
    pub fn pause(&mut self, number: usize, pause: Duration) {
        let from = Instant::now();
        self.town.boxes[number].signal("STOP");
        thread::sleep(pause);
        self.town.boxes[number].signal("CONT");
        self.note(number, from);
    }

    /// A planned stop, and another start: callers keep coming until the process is gone.
    pub fn stop(&mut self, number: usize) {
        let from = Instant::now();
        self.town.boxes[number].signal("TERM");
        let ended = self.town.boxes[number].wait_exit(STOP_LIMIT);
        assert_eq!(ended, Some(0), "a stop ends within its grace");
        self.start_box(number);
        self.note(number, from);
    }

    /// Starts another box in the place of one that has ended.
    pub fn restart(&mut self, number: usize) {
        let from = Instant::now();
        self.start_box(number);
        self.note(number, from);
    }

    /// Kills a box, and starts another one in its place.
    pub fn kill(&mut self, number: usize) {
        let from = Instant::now();
        self.addrs.lock().expect("no panic")[number] = None;
        self.town.boxes[number].kill();
        self.start_box(number);
        self.note(number, from);
    }

    /// Whether a box was restarted or paused in this span.
    pub fn is_disturbed(&self, number: usize, from: Instant, until: Instant) -> bool {
        let overlaps = |d: &Disturbed| d.number == number && d.from <= until && from <= d.until;
        self.disturbed.iter().any(overlaps)
    }

    fn note(&mut self, number: usize, from: Instant) {
        self.disturbed.push(Disturbed {
            number,
            from,
            until: Instant::now(),
        });
    }

    fn start_box(&mut self, number: usize) {
        let name = format!("box-{number}");
        let store_addr = self.store_paths[number].addr();
        let seed_addrs = self.town.seed_addrs();
        let spec = BoxSpec {
            name: &name,
            hall: self.halls[number],
            store_addr: &store_addr,
            peer_addr: any_port(),
            seed_addrs: &seed_addrs,
            policy: &self.town.policy,
            duties: &self.town.duties,
            contracts: &self.town.contracts,
            memory_mb: self.town.memory_mb,
            stop_grace_s: self.town.stop_grace_s,
        };
        let started = GatewayProcess::start(&self.binary, &self.folder, &spec);
        self.addrs.lock().expect("no panic")[number] = Some(started.caller_addr);
        if number < self.town.boxes.len() {
            self.town.boxes[number] = started;
        } else {
            self.town.boxes.push(started);
        }
    }
}

/// The seed and the number of steps, by `IVYWEIR_SOAK_SEED` and `IVYWEIR_SOAK_STEPS` or else these.
pub fn seed_and_steps(seed: u64, steps: u32) -> (u64, u32) {
    let number = |variable: &str| -> Option<u64> { std::env::var(variable).ok()?.parse().ok() };
    let own_steps = number("IVYWEIR_SOAK_STEPS").and_then(|steps| u32::try_from(steps).ok());
    (
        number("IVYWEIR_SOAK_SEED").unwrap_or(seed),
        own_steps.unwrap_or(steps),
    )
}
