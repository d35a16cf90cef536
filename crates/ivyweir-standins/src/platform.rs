//! The platform: objects with revisions, watches, a box list, rate limits and faults.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_caller::{Handler, Incoming, Reply, Server};
use ivyweir_policy::{BoxEntry, BoxList, BoxState};
use serde_json::json;

const THREADS: usize = 256;
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Limits of the platform.
#[derive(Debug, Clone, Copy)]
pub struct PlatformOptions {
    /// Writes a second; more are refused with 429.
    pub writes_per_s: f64,
    /// Reads a second, watches included; more are refused with 429.
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

/// What the platform suffers from now.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlatformFaults {
    /// Every call fails.
    pub down: bool,
    /// Every call takes this much longer.
    pub delay_ms: u64,
    /// One write in so many takes effect and has its answer lost; 0 for none.
    pub lose_response_every: u64,
}

/// How often the platform was called.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCount {
    /// Reads and listings.
    pub reads: u64,
    /// Watches.
    pub watches: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Calls refused for the rate.
    pub limited: u64,
}

/// A running stand-in of the platform.
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
    reads: Bucket,
    writes: Bucket,
}

/// A token bucket that holds one second's worth.
struct Bucket {
    rate_per_s: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    fn new(rate_per_s: f64) -> Self {
        Self {
            rate_per_s,
            tokens: rate_per_s,
            filled: Instant::now(),
        }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        let fresh = now.duration_since(self.filled).as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + fresh).min(self.rate_per_s);
        self.filled = now;
        let has = self.tokens >= 1.0;
        if has {
            self.tokens -= 1.0;
        }
        has
    }
}

impl Platform {
    /// Starts a platform on a free port.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub fn start(options: PlatformOptions) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                objects: BTreeMap::new(),
                revision: 0,
                boxes: BoxList::default(),
                faults: PlatformFaults::default(),
                count: CallCount::default(),
                reads: Bucket::new(options.reads_per_s),
                writes: Bucket::new(options.writes_per_s),
            }),
            changed: Condvar::new(),
        });
        let handler = Arc::new(Front {
            shared: shared.clone(),
        });
        let server = Server::start("127.0.0.1:0", THREADS, handler)?;
        Ok(Self { server, shared })
    }

    /// Where it listens.
    pub fn base_url(&self) -> String {
        format!("http://{}", self.server.addr())
    }

    /// The socket address it listens on.
    pub fn addr(&self) -> String {
        self.server.addr().to_string()
    }

    /// Sets what it suffers from.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.lock().faults = faults;
        self.shared.changed.notify_all();
    }

    /// How often it was called so far.
    pub fn count(&self) -> CallCount {
        self.shared.lock().count
    }

    /// Puts a machine on the list, or replaces it there.
    pub fn register_box(&self, entry: BoxEntry) {
        let mut state = self.shared.lock();
        state.boxes.boxes.retain(|b| b.name != entry.name);
        state.boxes.boxes.push(entry);
        state.boxes.generation += 1;
    }

    /// Marks a machine on the list as leaving.
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

    /// Takes a machine off the list.
    pub fn deregister_box(&self, name: &str) {
        let mut state = self.shared.lock();
        state.boxes.boxes.retain(|b| b.name.as_ref() != name);
        state.boxes.generation += 1;
    }

    /// The value of an object, read behind the API's back.
    pub fn peek(&self, name: &str) -> Option<Vec<u8>> {
        self.shared.lock().objects.get(name).map(|o| o.body.clone())
    }

    /// Values of all objects whose name starts with `prefix`.
    pub fn peek_all(&self, prefix: &str) -> Vec<Vec<u8>> {
        let state = self.shared.lock();
        let with_prefix = state.objects.range(prefix.to_owned()..);
        with_prefix
            .take_while(|(name, _)| name.starts_with(prefix))
            .map(|(_, o)| o.body.clone())
            .collect()
    }

    /// Overwrites an object behind the API's back, as a restore from a backup does.
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
        self.state.lock().expect("no call panics with the lock")
    }

    fn get(&self, name: &str) -> Reply {
        match self.lock().objects.get(name) {
            Some(object) => value_reply(object),
            None => Reply::text(404, "no such object"),
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
                Some(o) if o.revision != after_revision => return value_reply(o),
                found => {
                    let left = deadline.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        let status = if found.is_some() { 304 } else { 404 };
                        return Reply::text(status, "");
                    }
                    state = self
                        .changed
                        .wait_timeout(state, left)
                        .expect("no call panics with the lock")
                        .0;
                }
            }
        }
    }

    fn write(&self, name: &str, expect: &Expectation, body: Option<Vec<u8>>) -> Reply {
        let mut state = self.lock();
        let found = state.objects.get(name).map(|o| o.revision);
        let as_expected = match expect {
            Expectation::Absent => found.is_none(),
            Expectation::Revision(revision) => found == Some(*revision),
        };
        if !as_expected {
            return Reply::text(412, "not as expected");
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
        let every = state.faults.lose_response_every;
        if every > 0 && revision.is_multiple_of(every) {
            return Reply::text(500, "answer lost");
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

enum Expectation {
    Absent,
    Revision(u64),
}

impl Expectation {
    fn of(incoming: &Incoming) -> Option<Self> {
        if incoming.header("If-None-Match") == Some("*") {
            return Some(Self::Absent);
        }
        let tag = incoming.header("If-Match")?.trim_matches('"');
        tag.parse().ok().map(Self::Revision)
    }
}

fn value_reply(object: &Stored) -> Reply {
    Reply {
        status: 200,
        headers: vec![],
        body: object.body.clone(),
    }
    .with_header("ETag", format!("\"{}\"", object.revision))
}

struct Front {
    shared: Arc<Shared>,
}

impl Front {
    /// Counts the call, delays it, and refuses it where a fault or a limit says so.
    fn gate(&self, is_write: bool, is_watch: bool) -> Option<Reply> {
        let (faults, allowed) = {
            let mut state = self.shared.lock();
            let allowed = if is_write {
                state.writes.take()
            } else {
                state.reads.take()
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

    fn answer(&self, incoming: &mut Incoming) -> Reply {
        let is_write = matches!(incoming.method(), "PUT" | "DELETE");
        let after_revision = query(incoming, "watch_after").and_then(|v| v.parse().ok());
        if let Some(refusal) = self.gate(is_write, after_revision.is_some()) {
            return refusal;
        }
        let path = incoming.path().to_owned();
        let Some(name) = path.strip_prefix("/objects/") else {
            return self.answer_list(incoming, &path);
        };
        match (incoming.method(), after_revision) {
            ("GET", None) => self.shared.get(name),
            ("GET", Some(after_revision)) => {
                let wait_ms = query(incoming, "wait_ms").and_then(|v| v.parse().ok());
                let wait = Duration::from_millis(wait_ms.unwrap_or(0));
                self.shared.watch(name, after_revision, wait)
            }
            ("PUT", _) => self.put(incoming, name),
            ("DELETE", _) => match Expectation::of(incoming) {
                Some(expect) => self.shared.write(name, &expect, None),
                None => Reply::text(400, "no precondition"),
            },
            _ => Reply::text(405, "method"),
        }
    }

    fn put(&self, incoming: &mut Incoming, name: &str) -> Reply {
        let Some(expect) = Expectation::of(incoming) else {
            return Reply::text(400, "no precondition");
        };
        match incoming.read_body() {
            Ok(body) if body.len() <= MAX_VALUE_BYTES => {
                self.shared.write(name, &expect, Some(body))
            }
            Ok(_) => Reply::text(413, "value over 1 MiB"),
            Err(refusal) => Reply::from(&refusal),
        }
    }

    fn answer_list(&self, incoming: &Incoming, path: &str) -> Reply {
        match path {
            "/objects" => {
                let prefix = query(incoming, "prefix").unwrap_or_default();
                let after = query(incoming, "after").unwrap_or_default();
                let limit = query(incoming, "limit").and_then(|v| v.parse().ok());
                self.shared.list(&prefix, &after, limit.unwrap_or(100))
            }
            "/boxes" => {
                let body = serde_json::to_vec(&self.shared.lock().boxes);
                Reply::json(200, body.expect("a box list is always valid JSON"))
            }
            _ => Reply::text(404, "no such path"),
        }
    }
}

impl Handler for Front {
    fn handle(&self, mut incoming: Incoming) {
        let reply = self.answer(&mut incoming);
        let _caller_gone = incoming.reply(reply);
    }
}

/// A query parameter; names in the store need no more decoding than the slash.
fn query(incoming: &Incoming, name: &str) -> Option<String> {
    let (_, query) = incoming.path_and_query().split_once('?')?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.replace("%2F", "/").replace("%2f", "/"))
}
