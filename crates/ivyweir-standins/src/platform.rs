//! A fake platform: versioned objects with watches, a box list, rate limits and fault injection.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_caller::{Handler, Incoming, Reply, Server};
use ivyweir_policy::{BoxEntry, BoxList, BoxState};
use serde_json::json;

const SERVER_THREADS: usize = 256;
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Rate limits of the platform.
#[derive(Debug, Clone, Copy)]
pub struct PlatformOptions {
    /// Writes per second; excess writes are rejected with status 429.
    pub writes_per_s: f64,
    /// Reads per second, including watches; excess reads are rejected with status 429.
    pub reads_per_s: f64,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            writes_per_s: 400.0,
            reads_per_s: 2_000.0,
        }
    }
}

/// Faults injected into the platform.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlatformFaults {
    /// Every request fails with status 503.
    pub down: bool,
    /// Additional latency of every request, in milliseconds.
    pub delay_ms: u64,
    /// One write in this many takes effect but responds with status 500; 0 disables the fault.
    pub lose_response_every: u64,
}

/// Number of requests that the platform received, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCount {
    /// Reads and listings within the rate limit.
    pub reads: u64,
    /// Watches within the rate limit.
    pub watches: u64,
    /// Writes and deletes within the rate limit.
    pub writes: u64,
    /// Requests rejected by the rate limit.
    pub limited: u64,
}

/// A running fake platform.
pub struct Platform {
    server: Server,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Clone)]
struct Stored {
    body: Vec<u8>,
    revision: u64,
}

struct State {
    objects: BTreeMap<String, Stored>,
    revision: u64,
    boxes: BoxList,
    faults: PlatformFaults,
    count: CallCount,
    reads: TokenBucket,
    writes: TokenBucket,
}

/// A token bucket whose capacity is the refill of one second.
struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(rate_per_s: f64) -> Self {
        Self {
            rate_per_s,
            tokens: rate_per_s,
            refilled_at: Instant::now(),
        }
    }

    fn try_take(&mut self) -> bool {
        let now = Instant::now();
        let refilled = now.duration_since(self.refilled_at).as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + refilled).min(self.rate_per_s);
        self.refilled_at = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

impl Platform {
    /// Starts a platform on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(options: PlatformOptions) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                objects: BTreeMap::new(),
                revision: 0,
                boxes: BoxList::default(),
                faults: PlatformFaults::default(),
                count: CallCount::default(),
                reads: TokenBucket::new(options.reads_per_s),
                writes: TokenBucket::new(options.writes_per_s),
            }),
            changed: Condvar::new(),
        });
        let handler = Arc::new(PlatformHandler {
            shared: shared.clone(),
        });
        let server = Server::start("127.0.0.1:0", SERVER_THREADS, handler)?;
        Ok(Self { server, shared })
    }

    /// Returns the base URL of the platform.
    pub fn base_url(&self) -> String {
        format!("http://{}", self.server.addr())
    }

    /// Returns the socket address that the platform listens on.
    pub fn addr(&self) -> String {
        self.server.addr().to_string()
    }

    /// Sets the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.lock().faults = faults;
        self.shared.changed.notify_all();
    }

    /// Returns the number of requests received so far.
    pub fn count(&self) -> CallCount {
        self.shared.lock().count
    }

    /// Adds a machine to the box list, replacing an entry of the same name.
    pub fn register_box(&self, entry: BoxEntry) {
        let mut state = self.shared.lock();
        state.boxes.boxes.retain(|b| b.name != entry.name);
        state.boxes.boxes.push(entry);
        state.boxes.generation += 1;
    }

    /// Marks a machine on the box list as leaving.
    pub fn mark_leaving(&self, name: &str) {
        let mut state = self.shared.lock();
        for entry in state
            .boxes
            .boxes
            .iter_mut()
            .filter(|b| b.name.as_ref() == name)
        {
            entry.state = BoxState::Leaving;
        }
        state.boxes.generation += 1;
    }

    /// Removes a machine from the box list.
    pub fn deregister_box(&self, name: &str) {
        let mut state = self.shared.lock();
        state.boxes.boxes.retain(|b| b.name.as_ref() != name);
        state.boxes.generation += 1;
    }

    /// Returns the value of an object without going through the API.
    pub fn object(&self, name: &str) -> Option<Vec<u8>> {
        self.shared.lock().objects.get(name).map(|o| o.body.clone())
    }

    /// Returns the values of all objects whose name starts with `prefix`, without going through the API.
    pub fn objects_with_prefix(&self, prefix: &str) -> Vec<Vec<u8>> {
        let state = self.shared.lock();
        let with_prefix = state.objects.range(prefix.to_owned()..);
        with_prefix
            .take_while(|(name, _)| name.starts_with(prefix))
            .map(|(_, o)| o.body.clone())
            .collect()
    }

    /// Overwrites an object without going through the API, as a restore from a backup does.
    pub fn restore(&self, name: &str, body: Vec<u8>) {
        let mut state = self.shared.lock();
        state.revision += 1;
        let revision = state.revision;
        state
            .objects
            .insert(name.to_owned(), Stored { body, revision });
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("mutex is not poisoned")
    }

    fn get(&self, name: &str) -> Reply {
        match self.lock().objects.get(name) {
            Some(object) => object_response(object),
            None => Reply::text(404, "object not found"),
        }
    }

    fn watch(&self, name: &str, after_revision: u64, wait: Duration) -> Reply {
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if state.faults.down {
                return Reply::text(503, "out");
            }
            match state.objects.get(name) {
                Some(o) if o.revision != after_revision => return object_response(o),
                found => {
                    let remaining = deadline.saturating_duration_since(Instant::now());
                    if remaining.is_zero() {
                        let status = if found.is_some() { 304 } else { 404 };
                        return Reply::text(status, "");
                    }
                    state = self
                        .changed
                        .wait_timeout(state, remaining)
                        .expect("mutex is not poisoned")
                        .0;
                }
            }
        }
    }

    fn write(&self, name: &str, precondition: &Precondition, body: Option<Vec<u8>>) -> Reply {
        let mut state = self.lock();
        let found = state.objects.get(name).map(|o| o.revision);
        let precondition_holds = match precondition {
            Precondition::Absent => found.is_none(),
            Precondition::Revision(revision) => found == Some(*revision),
        };
        if !precondition_holds {
            return Reply::text(412, "precondition failed");
        }
        state.revision += 1;
        let revision = state.revision;
        match body {
            Some(body) => drop(
                state
                    .objects
                    .insert(name.to_owned(), Stored { body, revision }),
            ),
            None => drop(state.objects.remove(name)),
        }
        self.changed.notify_all();
        let loss_interval = state.faults.lose_response_every;
        if loss_interval > 0 && revision.is_multiple_of(loss_interval) {
            return Reply::text(
                500,
                "injected fault: response lost after the write took effect",
            );
        }
        Reply::text(200, "").with_header("ETag", format!("\"{revision}\""))
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> Reply {
        let state = self.lock();
        let mut names: Vec<&String> = state
            .objects
            .range(prefix.to_owned()..)
            .map(|(name, _)| name)
            .take_while(|name| name.starts_with(prefix))
            .filter(|name| name.as_str() > after)
            .take(limit + 1)
            .collect();
        let has_more = names.len() > limit;
        names.truncate(limit);
        let next_after = if has_more { names.last() } else { None };
        let page = json!({ "names": names, "next_after": next_after });
        Reply::json(200, page.to_string().into_bytes())
    }
}

enum Precondition {
    Absent,
    Revision(u64),
}

impl Precondition {
    fn from_headers(incoming: &Incoming) -> Option<Self> {
        if incoming.header("If-None-Match") == Some("*") {
            return Some(Self::Absent);
        }
        let tag = incoming.header("If-Match")?.trim_matches('"');
        tag.parse().ok().map(Self::Revision)
    }
}

fn object_response(object: &Stored) -> Reply {
    Reply {
        status: 200,
        headers: vec![],
        body: object.body.clone(),
    }
    .with_header("ETag", format!("\"{}\"", object.revision))
}

struct PlatformHandler {
    shared: Arc<Shared>,
}

impl PlatformHandler {
    /// Counts and delays the request. Returns a response if a fault or the rate limit rejects it.
    fn admit(&self, is_write: bool, is_watch: bool) -> Option<Reply> {
        let (faults, allowed) = {
            let mut state = self.shared.lock();
            let allowed = if is_write {
                state.writes.try_take()
            } else {
                state.reads.try_take()
            };
            let count = &mut state.count;
            match (allowed, is_write, is_watch) {
                (false, ..) => count.limited += 1,
                (true, true, _) => count.writes += 1,
                (true, false, true) => count.watches += 1,
                (true, false, false) => count.reads += 1,
            }
            (state.faults, allowed)
        };
        thread::sleep(Duration::from_millis(faults.delay_ms));
        if faults.down {
            return Some(Reply::text(503, "out"));
        }
        (!allowed).then(|| Reply::text(429, "rate"))
    }

    fn respond(&self, incoming: &mut Incoming) -> Reply {
        let is_write = matches!(incoming.method(), "PUT" | "DELETE");
        let after_revision = query_parameter(incoming, "watch_after").and_then(|v| v.parse().ok());
        if let Some(refusal) = self.admit(is_write, after_revision.is_some()) {
            return refusal;
        }
        let path = incoming.path().to_owned();
        let Some(name) = path.strip_prefix("/objects/") else {
            return self.respond_to_listing(incoming, &path);
        };
        match (incoming.method(), after_revision) {
            ("GET", None) => self.shared.get(name),
            ("GET", Some(after_revision)) => {
                let wait_ms = query_parameter(incoming, "wait_ms").and_then(|v| v.parse().ok());
                let wait = Duration::from_millis(wait_ms.unwrap_or(0));
                self.shared.watch(name, after_revision, wait)
            }
            ("PUT", _) => self.put(incoming, name),
            ("DELETE", _) => match Precondition::from_headers(incoming) {
                Some(precondition) => self.shared.write(name, &precondition, None),
                None => Reply::text(400, "If-Match or If-None-Match: * is required"),
            },
            _ => Reply::text(405, "method"),
        }
    }

    fn put(&self, incoming: &mut Incoming, name: &str) -> Reply {
        let Some(precondition) = Precondition::from_headers(incoming) else {
            return Reply::text(400, "If-Match or If-None-Match: * is required");
        };
        match incoming.read_body() {
            Ok(body) if body.len() <= MAX_VALUE_BYTES => {
                self.shared.write(name, &precondition, Some(body))
            }
            Ok(_) => Reply::text(413, "value over 1 MiB"),
            Err(refusal) => Reply::from(&refusal),
        }
    }

    fn respond_to_listing(&self, incoming: &Incoming, path: &str) -> Reply {
        match path {
            "/objects" => {
                let prefix = query_parameter(incoming, "prefix").unwrap_or_default();
                let after = query_parameter(incoming, "after").unwrap_or_default();
                let limit = query_parameter(incoming, "limit").and_then(|v| v.parse().ok());
                self.shared.list(&prefix, &after, limit.unwrap_or(100))
            }
            "/boxes" => {
                let body = serde_json::to_vec(&self.shared.lock().boxes);
                Reply::json(200, body.expect("a box list serializes to JSON"))
            }
            _ => Reply::text(404, "path not found"),
        }
    }
}

impl Handler for PlatformHandler {
    fn handle(&self, mut incoming: Incoming) {
        let reply = self.respond(&mut incoming);
        let _disconnected = incoming.reply(reply);
    }
}

/// Returns the value of a query parameter.
///
/// Only `%2F` is decoded, because object names contain no other character that needs escaping.
fn query_parameter(incoming: &Incoming, name: &str) -> Option<String> {
    let (_, query) = incoming.path_and_query().split_once('?')?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.replace("%2F", "/").replace("%2f", "/"))
}
