//! Heavy load in a soak: its setting, the steps that cause it, and the checks of refusals and held bytes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_policy::Name;
use ivyweir_policy::gateway::site::{SiteConfig, Workspace};
use ivyweir_standins::Fault;
use ivyweir_standins::edge::{HOST, Reply, ScriptedUpstream, UpstreamAction, get, site_config};
use rand::Rng;
use serde_json::json;

use super::callers::{Asked, Shared, next_id, send};
use super::{BOXES, EVENTS, Soak};

/// Key of a second workspace, which usually sends little.
const SECOND_KEY: &str = "key-of-the-atelier";
const USUAL_PAUSE: Duration = Duration::from_millis(100);
const SURGE_CALLERS: usize = 60;
const SURGE_REQUESTS: usize = 5;
const SURGE_BODY_BYTES: [usize; 2] = [100, 60_000];
const SLOW_READERS: usize = 6;
/// The body to which engines answer with more than the sockets on the way take up.
const SLOW_READER_BODY: &[u8] = b"large answer";
const LARGE_ANSWER: UpstreamAction = UpstreamAction::LargeEvents {
    events: 2_000,
    event_bytes: 4_096,
    gap_ms: 0,
};
/// Time for the held bytes of requests that have ended to be released.
const RELEASE_LIMIT: Duration = Duration::from_secs(10);

impl Soak {
    /// Applies the settings for load control, of which the seed chooses none, one or both.
    pub fn set_up_load(&mut self, seed: u64) {
        if seed % 2 == 1 {
            self.boxes.town.policy = json!({"load_control": "on"});
        }
        if seed % 4 >= 2 {
            self.boxes.town.contracts = vec!["pressure"];
            // So little that a surge of large bodies beside slow readers uses it up.
            self.boxes.town.memory_mb = 1;
        }
        self.version += 1;
        let keys = self.shared.keys.lock().expect("no panic").clone();
        let names: Vec<&str> = keys.iter().map(String::as_str).collect();
        let site = self.site(&names);
        self.boxes.town.store.put_site(&site);
    }

    /// The configuration of the current version, with the second workspace where there is heavy load.
    pub fn site(&self, keys: &[&str]) -> SiteConfig {
        let mut site = site_config(self.version, keys);
        if self.has_load() {
            site.workspaces.push(Arc::new(Workspace {
                name: "atelier".into(),
                keys: vec![SECOND_KEY.into()],
                priority: None,
            }));
        }
        site
    }

    /// Many callers ask one route at once.
    pub fn surge_of_route(&mut self) {
        let kind = ["safe", "unsafe", "stream"][self.random.random_range(0..3)];
        let key = self.shared.keys.lock().expect("no panic").last().cloned();
        self.surge(&[kind], &key.expect("there is a key"));
    }

    /// The second workspace sends many times its usual, on all routes.
    pub fn surge_of_workspace(&mut self) {
        self.surge(&["safe", "unsafe", "stream"], SECOND_KEY);
    }

    /// Starts a caller of the second workspace at its usual rate.
    pub fn start_usual_caller(&mut self) {
        let shared = self.shared.clone();
        self.surging.push(thread::spawn(move || {
            for request in 0.. {
                if shared.stop.load(Ordering::Relaxed) {
                    return;
                }
                send(&shared, request % BOXES, "safe", SECOND_KEY, 100);
                thread::sleep(USUAL_PAUSE);
            }
        }));
    }

    fn surge(&mut self, kinds: &[&'static str], key: &str) {
        let body_bytes = SURGE_BODY_BYTES[self.random.random_range(0..2)];
        for caller in 0..SURGE_CALLERS {
            let (shared, key) = (self.shared.clone(), key.to_owned());
            let kind = kinds[caller % kinds.len()];
            self.surging.push(thread::spawn(move || {
                for request in 0..SURGE_REQUESTS {
                    if shared.stop.load(Ordering::Relaxed) {
                        return;
                    }
                    send(&shared, (caller + request) % BOXES, kind, &key, body_bytes);
                }
            }));
        }
    }

    /// One upstream becomes much slower than the others.
    pub fn slow_upstream(&mut self) {
        let at = self.random.random_range(0..self.upstreams.len());
        let delay_ms = self.random.random_range(100..600);
        if is_engine(&self.upstreams[at].upstream) {
            self.upstreams[at]
                .upstream
                .set_action(UpstreamAction::Stream {
                    events: EVENTS,
                    gap_ms: delay_ms / 4,
                    truncate_after: None,
                    confidence: None,
                });
        } else {
            self.upstreams[at].set_fault(Fault::DelayMs(delay_ms));
        }
    }

    /// All upstreams of the plain pool but the newest cannot be reached, or go silent.
    pub fn lose_most_services(&mut self) {
        let fault = [Fault::Cut, Fault::HalfOpen][self.random.random_range(0..2)];
        let services = self.upstreams.iter_mut().rev();
        let services = services.filter(|proxied| !is_engine(&proxied.upstream));
        for proxied in services.skip(1) {
            proxied.set_fault(fault);
        }
    }

    /// Some callers read large answers slowly, and leave before the end.
    pub fn read_slowly(&mut self) {
        for proxied in &self.upstreams {
            if is_engine(&proxied.upstream) {
                let upstream = &proxied.upstream;
                upstream.set_action_for_body(SLOW_READER_BODY, LARGE_ANSWER);
            }
        }
        for reader in 0..SLOW_READERS {
            let shared = self.shared.clone();
            let key = shared.keys.lock().expect("no panic").last().cloned();
            let key = key.expect("there is a key");
            let pause = Duration::from_millis(self.random.random_range(10..200));
            self.surging.push(thread::spawn(move || {
                ask_slowly(&shared, reader % BOXES, key, pause);
            }));
        }
    }

    /// Reads what the boxes hold, so that a run in which they held nothing can be told from others.
    pub fn note_held_bytes(&mut self) {
        let boxes = self.boxes.town.boxes.iter();
        let held = boxes.filter_map(|running| held_bytes(running.metrics_addr));
        self.max_held_bytes = held.fold(self.max_held_bytes, u64::max);
    }

    /// How often load control acted, so that a run in which it did not can be told from others.
    pub fn load_figures(&self) -> String {
        let asked = self.shared.asked.lock().expect("no panic");
        let refused = |reason: &str| {
            let with_reason = |asked: &&Asked| {
                let reply = asked.reply.as_ref();
                reply.is_some_and(|reply| reply.status != 200 && reply.text().contains(reason))
            };
            asked.iter().filter(with_reason).count()
        };
        let boxes = self.boxes.town.boxes.iter();
        let ended: usize = boxes
            .map(|running| running.event_lines("slow_reader_ended").len())
            .sum();
        format!(
            "{} no_capacity, {} buffers_full, {ended} slow readers ended, at most {} bytes held; \
             policy {}, contracts {:?}",
            refused("no_capacity"),
            refused("buffers_full"),
            self.max_held_bytes,
            self.boxes.town.policy,
            self.boxes.town.contracts,
        )
    }

    /// Boxes that still hold bytes although all requests have ended.
    pub fn boxes_with_held_bytes(&self) -> Vec<String> {
        let deadline = Instant::now() + RELEASE_LIMIT;
        let fault = |number: usize| {
            let addr = self.boxes.town.boxes[number].metrics_addr;
            while held_bytes(addr) != Some(0) && Instant::now() < deadline {
                thread::sleep(Duration::from_millis(20));
            }
            let held = held_bytes(addr);
            (held != Some(0))
                .then(|| format!("box {number} holds {held:?} bytes at the end, not none"))
        };
        (0..BOXES).filter_map(fault).collect()
    }
}

/// A request that was refused for lack of capacity or memory although it ran.
pub fn refusal_fault(asked: &Asked, runs: usize) -> Option<String> {
    let reply = asked.reply.as_ref()?;
    let text = reply.text();
    let reasons = ["no_capacity", "buffers_full"];
    let reason = reasons.into_iter().find(|reason| text.contains(reason))?;
    let broken = reply.status != 200 && runs > 0;
    broken.then(|| {
        format!(
            "{} was refused with {reason} and ran {runs} times",
            asked.id
        )
    })
}

fn is_engine(upstream: &ScriptedUpstream) -> bool {
    let pool: Name = upstream.record().pool;
    &*pool == "engines"
}

/// The bytes that a box says it holds; `None` without bounded buffers or without an answer.
fn held_bytes(addr: SocketAddr) -> Option<u64> {
    let reply = get(addr, "/metrics", &[]).ok()?;
    let text = reply.text();
    let prefix = "ivyweir_belief{what=\"relay_bytes_held\"} ";
    let value = text.lines().find_map(|line| line.strip_prefix(prefix))?;
    value.parse().ok()
}

/// Sends a request for a large answer, reads a part of it slowly, and leaves.
fn ask_slowly(shared: &Shared, number: usize, key: String, pause: Duration) {
    let Some(addr) = shared.addrs.lock().expect("no panic")[number] else {
        return;
    };
    let id = next_id(number);
    let sent = Instant::now();
    let reply = read_slowly(shared, addr, &id, &key, pause).unwrap_or_default();
    shared.asked.lock().expect("no panic").push(Asked {
        id,
        kind: "stream",
        key,
        sent,
        answered: Instant::now(),
        body_bytes: SLOW_READER_BODY.len(),
        reply,
    });
}

/// Returns the answer if it is a refusal; answers of upstreams are left unread at some point.
fn read_slowly(
    shared: &Shared,
    addr: SocketAddr,
    id: &str,
    key: &str,
    pause: Duration,
) -> std::io::Result<Option<Reply>> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    let length = SLOW_READER_BODY.len();
    let head = format!(
        "POST /stream/x HTTP/1.1\r\nhost: {HOST}\r\nivyweir-request-id: {id}\r\n\
         authorization: Bearer {key}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(SLOW_READER_BODY)?;
    let mut part = [0; 4_096];
    let len = stream.read(&mut part)?;
    let mut answer = part[..len].to_vec();
    if answer.starts_with(b"HTTP/1.1 503") {
        stream.read_to_end(&mut answer)?;
        return Ok(Some(Reply {
            status: 503,
            reason: None,
            headers: Default::default(),
            body: answer.into(),
            is_complete: true,
        }));
    }
    for _ in 0..20 {
        if shared.stop.load(Ordering::Relaxed) || stream.read(&mut part)? == 0 {
            break;
        }
        thread::sleep(pause);
    }
    Ok(None)
}
