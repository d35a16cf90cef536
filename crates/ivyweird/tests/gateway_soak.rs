//! A random soak of the gateway: real boxes, a store and upstreams behind proxies that fail,
//! signals.
//!
//! `IVYWEIR_SOAK_SEED` chooses the faults and `IVYWEIR_SOAK_STEPS` how many; callers' timing is not
//! replayed. What callers got is held against what upstreams ran. Seeds that ever failed stand in
//! [`KEPT_SEEDS`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bytes::Bytes;
use ivyweir_standins::edge::{
    Act, BoxSpec, GatewayProcess, KEY, Reply, ScriptedUpstream, StoreFault, Town, any_port, call,
    event_ids, eventually, get, site,
};
use ivyweir_standins::{Fault, Gateway};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");
/// Seeds that failed once, each with its cause.
/// 18: a silent store left the watch of upstreams hanging for 16 s after it was back.
/// 34, 35: the proof was renewed before the upstreams were heard of again.
/// 38: as 18, by a call that began after the configuration's last failure.
const KEPT_SEEDS: [u64; 4] = [18, 34, 35, 38];
const CI_SEED: u64 = 20_261_202;
const CI_STEPS: u32 = 24;
const CALLERS: u64 = 4;
const EVENTS: u64 = 12;
/// Pause of a caller that was not served, so that refusals do not crowd out the rest.
const FAILED_PAUSE: Duration = Duration::from_millis(20);
const BOXES: usize = 3;
/// Bound on withdrawn keys, and on the last work of an upstream that left, as in the boxes'
/// settings; the second is longer here, since a box that is cut off from the store notices only by
/// the age of its proof.
const REVOKE: Duration = Duration::from_millis(5_000);
const LEFT: Duration = Duration::from_millis(7_500);

/// What a caller asked and got.
struct Asked {
    id: String,
    kind: &'static str,
    key: String,
    sent: Instant,
    body_bytes: usize,
    reply: Option<Reply>,
}

/// What callers share with the soak.
struct Shared {
    addrs: Mutex<Vec<Option<SocketAddr>>>,
    asked: Mutex<Vec<Asked>>,
    keys: Mutex<Vec<String>>,
    stop: AtomicBool,
}

/// An upstream behind its proxy.
struct Proxied {
    upstream: ScriptedUpstream,
    proxy: Gateway,
    left_at: Option<Instant>,
}

struct Soak {
    town: Town,
    random: StdRng,
    store_paths: Vec<Gateway>,
    upstreams: Vec<Proxied>,
    folder: PathBuf,
    shared: Arc<Shared>,
    version: u64,
    withdrawn: HashMap<String, Instant>,
    made: u64,
}

impl Soak {
    fn start(seed: u64) -> Self {
        let town = Town::start(Path::new(BINARY));
        for upstream in town.engines.iter().chain(&town.services) {
            town.store.put_upstream(&upstream.leaving());
        }
        let folder =
            std::env::temp_dir().join(format!("ivyweir-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
        let store_addr = town.store.addr().to_string();
        let path = |_| Gateway::start(&store_addr).expect("a port");
        let mut soak = Self {
            store_paths: (0..BOXES).map(path).collect(),
            town,
            random: StdRng::seed_from_u64(seed),
            upstreams: Vec::new(),
            folder,
            shared: Arc::new(Shared {
                addrs: Mutex::new(vec![None; BOXES]),
                asked: Mutex::default(),
                keys: Mutex::new(vec![KEY.to_owned()]),
                stop: AtomicBool::new(false),
            }),
            version: 1,
            withdrawn: HashMap::new(),
            made: 0,
        };
        for pool in [
            "engines", "engines", "engines", "services", "services", "services",
        ] {
            soak.add_upstream(pool);
        }
        for number in 0..BOXES {
            soak.start_box(number);
        }
        soak.until_all_ready();
        soak
    }

    fn add_upstream(&mut self, pool: &str) {
        self.made += 1;
        let upstream = ScriptedUpstream::start(&format!("{pool}-soak-{}", self.made), pool, "v1");
        if pool == "engines" {
            upstream.set(well_stream());
        }
        let record = upstream.record();
        let proxy = Gateway::start(&record.addr.to_string()).expect("a port");
        let mut record = record;
        record.addr = proxy.addr().parse().expect("an address");
        self.town.store.put_upstream(&record);
        self.upstreams.push(Proxied {
            upstream,
            proxy,
            left_at: None,
        });
    }

    fn start_box(&mut self, number: usize) {
        let hall = ["hall-a", "hall-a", "hall-b"][number];
        let name = format!("box-{number}");
        let store_addr = self.store_paths[number].addr();
        let seed_addrs = self.town.seed_addrs();
        let spec = BoxSpec {
            name: &name,
            hall,
            store_addr: &store_addr,
            peer_addr: any_port(),
            seed_addrs: &seed_addrs,
            policy: &self.town.policy,
        };
        let started = GatewayProcess::start(Path::new(BINARY), &self.folder, &spec);
        self.shared.addrs.lock().expect("no panic")[number] = Some(started.caller_addr);
        if number < self.town.boxes.len() {
            self.town.boxes[number] = started;
        } else {
            self.town.boxes.push(started);
        }
    }

    fn until_all_ready(&self) {
        for number in 0..BOXES {
            eventually("every box is ready", || self.town.is_ready(number));
        }
    }

    /// One random fault or change; some last, until another step or the end undoes them.
    fn step(&mut self) {
        let number = self.random.random_range(0..BOXES);
        match self.random.random_range(0..14) {
            0 => self.store_paths[number].set(Fault::DelayMs(self.random.random_range(1..120))),
            1 => self.store_paths[number].set(Fault::HalfOpen),
            2 => self.store_paths[number].set(Fault::Cut),
            3 => self.heal_paths(),
            4 => self.town.store.set_fault(StoreFault::Refuse),
            5 => self.town.store.set_fault(StoreFault::Silent),
            6 => self.town.store.forget_history(),
            7 => self.pause_box(number),
            8 => self.stop_box(number),
            9 => self.kill_box(number),
            10 => self.fail_upstream(),
            11 => self.replace_upstream(),
            12 => self.change_keys(),
            _ => self.town.store.set_fault(StoreFault::None),
        }
        thread::sleep(Duration::from_millis(self.random.random_range(50..400)));
    }

    fn heal_paths(&self) {
        for path in &self.store_paths {
            path.set(Fault::None);
        }
        for proxied in &self.upstreams {
            proxied.proxy.set(Fault::None);
        }
    }

    fn pause_box(&mut self, number: usize) {
        self.town.boxes[number].signal("STOP");
        thread::sleep(Duration::from_millis(self.random.random_range(50..900)));
        self.town.boxes[number].signal("CONT");
    }

    /// A planned stop: callers keep coming until the process is gone.
    fn stop_box(&mut self, number: usize) {
        self.town.boxes[number].signal("TERM");
        let ended = self.town.boxes[number].wait_exit(Duration::from_secs(20));
        assert_eq!(ended, Some(0), "a stop ends within its grace");
        self.start_box(number);
    }

    fn kill_box(&mut self, number: usize) {
        self.shared.addrs.lock().expect("no panic")[number] = None;
        self.town.boxes[number].kill();
        self.start_box(number);
    }

    fn fail_upstream(&mut self) {
        let at = self.random.random_range(0..self.upstreams.len());
        let is_engine = &*self.upstreams[at].upstream.record().pool == "engines";
        let breaks = Act::Stream {
            events: EVENTS,
            gap_ms: 5,
            break_after: Some(self.random.random_range(0..EVENTS)),
            confidence: None,
        };
        let act = match self.random.random_range(0..7) {
            0 => Act::NotRun,
            1 => Act::Close,
            2 => Act::WrongId,
            3 if is_engine => breaks,
            4 if !is_engine => Act::BreakOff,
            5 => Act::Answer(500),
            _ if is_engine => well_stream(),
            _ => Act::Answer(200),
        };
        self.upstreams[at].upstream.set(act);
        let fault = match self.random.random_range(0..6) {
            0 => Fault::Cut,
            1 => Fault::LoseAnswers,
            2 => Fault::TruncateAfter(self.random.random_range(1..400)),
            3 => Fault::DelayMs(self.random.random_range(1..60)),
            _ => Fault::None,
        };
        self.upstreams[at].proxy.set(fault);
    }

    fn replace_upstream(&mut self) {
        let at = self.random.random_range(0..self.upstreams.len());
        if self.upstreams[at].left_at.is_some() {
            return;
        }
        let leaving = self.upstreams[at].upstream.leaving();
        let pool = leaving.pool.clone();
        self.add_upstream(&pool);
        self.town.store.put_upstream(&leaving);
        self.upstreams[at].left_at = Some(Instant::now());
    }

    /// A new configuration: one more key, or one less.
    fn change_keys(&mut self) {
        self.version += 1;
        let mut keys = self.shared.keys.lock().expect("no panic");
        if keys.len() > 2 {
            let withdrawn = keys.remove(0);
            self.withdrawn.insert(withdrawn, Instant::now());
        } else {
            keys.push(format!("key-{}", self.version));
        }
        let names: Vec<&str> = keys.iter().map(String::as_str).collect();
        self.town.store.put_site(&site(self.version, &names));
    }

    fn heal(&mut self) {
        self.town.store.set_fault(StoreFault::None);
        self.heal_paths();
        for proxied in &self.upstreams {
            let is_engine = &*proxied.upstream.record().pool == "engines";
            let well = if is_engine {
                well_stream()
            } else {
                Act::Answer(200)
            };
            proxied.upstream.set(well);
        }
        self.until_all_ready();
    }

    /// After everything is well again, every box serves.
    fn check_recovery(&self) {
        let key = self.shared.keys.lock().expect("no panic").last().cloned();
        let auth = format!("Bearer {}", key.expect("there is a key"));
        for number in 0..BOXES {
            let mut tries = 0;
            eventually("every box serves again", || {
                tries += 1;
                let id = format!("after-{number}-{tries}");
                let headers = [
                    ("ivyweir-request-id", id.as_str()),
                    ("authorization", &auth),
                ];
                let reply = get(self.town.addr(number), "/safe/x", &headers);
                reply.is_ok_and(|reply| reply.status == 200)
            });
        }
    }

    /// Holds what callers got against what upstreams ran.
    fn check(&self) -> Vec<String> {
        let mut ran: HashMap<String, Vec<Instant>> = HashMap::new();
        let mut broken = Vec::new();
        for proxied in &self.upstreams {
            for seen in proxied.upstream.seen().iter().filter(|seen| seen.ran) {
                let id = seen.header("ivyweir-request-id").unwrap_or("-").to_owned();
                if let Some(left_at) = proxied.left_at
                    && seen.at > left_at + LEFT
                {
                    let (line, name) = (&seen.line, proxied.upstream.id());
                    let after_ms = seen.at.duration_since(left_at).as_millis();
                    broken.push(format!(
                        "{id} ran at {name}, {after_ms} ms after it had left: {line}, {:?}",
                        seen.headers
                    ));
                }
                ran.entry(id).or_default().push(seen.at);
            }
        }
        for asked in self.shared.asked.lock().expect("no panic").iter() {
            let runs = ran.get(&asked.id).map_or(0, Vec::len);
            broken.extend(faults_of(asked, runs, &self.withdrawn));
        }
        broken
    }
}

fn well_stream() -> Act {
    Act::Stream {
        events: EVENTS,
        gap_ms: 5,
        break_after: None,
        confidence: None,
    }
}

/// What is wrong with one request, if anything.
fn faults_of(asked: &Asked, runs: usize, withdrawn: &HashMap<String, Instant>) -> Vec<String> {
    let Asked { id, kind, .. } = asked;
    let mut broken = Vec::new();
    if *kind == "unsafe" && runs > 1 {
        broken.push(format!("{id} ran {runs} times"));
    }
    let late = withdrawn
        .get(&asked.key)
        .is_some_and(|at| asked.sent > *at + REVOKE);
    if late && runs > 0 {
        broken.push(format!("{id} ran with a key withdrawn long before"));
    }
    let Some(reply) = &asked.reply else {
        return broken;
    };
    let promises_not_run = matches!(reply.status, 408 | 421 | 429 | 503);
    if *kind == "unsafe" && promises_not_run && runs > 0 {
        broken.push(format!("{id} got {} and ran", reply.status));
    }
    if reply.status != 200 {
        return broken;
    }
    let own_id = reply
        .headers
        .get("ivyweir-request-id")
        .and_then(|v| v.to_str().ok());
    if own_id != Some(id) {
        broken.push(format!("{id} got the answer of {own_id:?}"));
    }
    if *kind == "stream" {
        let ids = event_ids(&reply.text());
        let expected: Vec<u64> = (1..=EVENTS).collect();
        if !expected.starts_with(&ids) || (reply.is_whole && ids != expected) {
            broken.push(format!(
                "{id} got events {ids:?}, whole: {}",
                reply.is_whole
            ));
        }
    } else if reply.is_whole && reply.text() != format!("echo of {} bytes", asked.body_bytes) {
        broken.push(format!("{id} got {:?}", reply.text()));
    }
    broken
}

fn start_callers(shared: &Arc<Shared>, seed: u64) -> Vec<JoinHandle<()>> {
    static IDS: AtomicU64 = AtomicU64::new(0);
    let start = |caller: u64| {
        let shared = shared.clone();
        thread::spawn(move || {
            let mut random = StdRng::seed_from_u64(seed ^ (caller + 1));
            while !shared.stop.load(Ordering::Relaxed) {
                let id = format!("r{}", IDS.fetch_add(1, Ordering::Relaxed));
                ask(&shared, &mut random, id);
            }
        })
    };
    (0..CALLERS).map(start).collect()
}

fn ask(shared: &Shared, random: &mut StdRng, id: String) {
    let number = random.random_range(0..BOXES);
    let Some(addr) = shared.addrs.lock().expect("no panic")[number] else {
        thread::sleep(Duration::from_millis(5));
        return;
    };
    let kind = ["safe", "unsafe", "stream"][random.random_range(0..3)];
    let key = {
        let keys = shared.keys.lock().expect("no panic");
        // The first may be withdrawn at any moment; some callers go on with it.
        keys[random.random_range(0..keys.len())].clone()
    };
    let body_bytes = random.random_range(0..2_000);
    let auth = format!("Bearer {key}");
    let headers = [
        ("ivyweir-request-id", id.as_str()),
        ("authorization", auth.as_str()),
    ];
    let sent = Instant::now();
    let body = Bytes::from(vec![b'x'; body_bytes]);
    let reply = call(addr, "POST", &format!("/{kind}/x"), &headers, body).ok();
    if reply.as_ref().is_none_or(|reply| reply.status != 200) {
        thread::sleep(FAILED_PAUSE);
    }
    shared.asked.lock().expect("no panic").push(Asked {
        id,
        kind,
        key,
        sent,
        body_bytes,
        reply,
    });
}

fn soak(seed: u64, steps: u32) {
    let mut soak = Soak::start(seed);
    let callers = start_callers(&soak.shared, seed);
    for _ in 0..steps {
        soak.step();
    }
    soak.heal();
    soak.shared.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("no caller panics");
    }
    soak.check_recovery();
    let broken = soak.check();
    let asked = soak.shared.asked.lock().expect("no panic").len();
    let served = |asked: &&Asked| asked.reply.as_ref().is_some_and(|r| r.status == 200);
    let well = soak
        .shared
        .asked
        .lock()
        .expect("no panic")
        .iter()
        .filter(served)
        .count();
    println!(
        "seed {seed}, {steps} steps: {asked} requests, {well} served, {} wrong",
        broken.len()
    );
    assert!(
        broken.is_empty(),
        "seed {seed}: {broken:#?}\nlogs in {}",
        soak.folder.display()
    );
    assert!(well > 0, "seed {seed}: nothing was served");
    let _left_behind = std::fs::remove_dir_all(&soak.folder);
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

#[test]
fn promises_hold_in_a_random_soak() {
    let seed = number("IVYWEIR_SOAK_SEED").unwrap_or(CI_SEED);
    let steps = number("IVYWEIR_SOAK_STEPS").map_or(CI_STEPS, |steps| steps as u32);
    soak(seed, steps);
}

#[test]
fn seeds_that_failed_once_pass() {
    for seed in KEPT_SEEDS {
        soak(seed, CI_STEPS);
    }
}
