//! A model engine: the chat completions API over a [`Scheduler`].

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::Receiver;
use ivyweir_caller::{ChatRequest, EventWriter, Handler, Incoming, Reply, Server};
use ivyweir_engine::{LoadReport, Order};
use serde_json::{Value, json};

use crate::scheduler::{CHARS_PER_TOKEN, Scheduler, Speed, Tick};
use crate::text::{self, Draft};

const THREADS: usize = 512;
const DEFAULT_TOKENS: usize = 24;

/// How a version behaves; faults are rates from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Behaviour {
    /// How hard a prompt it answers well, 0 to 1.
    pub skill: f64,
    /// Answers with status 500.
    pub fail: f64,
    /// Answers that stop half way.
    pub truncate: f64,
    /// Answers that carry another request's id.
    pub mismatch: f64,
}

impl Behaviour {
    /// A faultless version of some skill.
    pub fn good(skill: f64) -> Self {
        Self {
            skill,
            fail: 0.0,
            truncate: 0.0,
            mismatch: 0.0,
        }
    }
}

/// What an engine is.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// How fast it is.
    pub speed: Speed,
    /// The versions it has loaded.
    pub versions: BTreeMap<String, Behaviour>,
    /// Age of the load it reports.
    pub load_lag_ms: u64,
    /// Whether it refuses orders of an older generation, and work for withdrawn versions.
    pub checks_fence: bool,
}

/// One call that an engine took up.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRun {
    /// The id that the call came with.
    pub request_id: String,
    /// The version it ran on.
    pub version: String,
    /// The body's `user` field, by which tests tell requests apart.
    pub user: String,
    /// When, since the engine started.
    pub at: Duration,
}

/// A running engine.
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
}

struct Shared {
    options: EngineOptions,
    scheduler: Arc<Scheduler>,
    versions: Mutex<BTreeMap<String, Behaviour>>,
    runs: Mutex<Vec<EngineRun>>,
    orders: Mutex<Orders>,
    reported: Mutex<(Instant, LoadReport)>,
    started: Instant,
    draws: AtomicU64,
}

#[derive(Default)]
struct Orders {
    fence: u64,
    withdrawn: Vec<String>,
}

impl Engine {
    /// Starts an engine on a free port.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub fn start(options: EngineOptions) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            scheduler: Scheduler::start(options.speed),
            versions: Mutex::new(options.versions.clone()),
            runs: Mutex::default(),
            orders: Mutex::default(),
            reported: Mutex::new((Instant::now(), LoadReport::default())),
            started: Instant::now(),
            draws: AtomicU64::new(0),
            options,
        });
        *lock(&shared.reported) = (Instant::now(), shared.load_now());
        let front = Arc::new(Front {
            shared: shared.clone(),
        });
        let server = Server::start("127.0.0.1:0", THREADS, front)?;
        Ok(Self { server, shared })
    }

    /// Where it listens.
    pub fn addr(&self) -> String {
        self.server.addr().to_string()
    }

    /// Changes how a version behaves from now on, or loads it.
    pub fn set_behaviour(&self, version: &str, behaviour: Behaviour) {
        lock(&self.shared.versions).insert(version.to_owned(), behaviour);
    }

    /// Makes every step this much slower.
    pub fn set_slowdown(&self, factor: u64) {
        self.shared.scheduler.set_slowdown(factor);
    }

    /// Breaks off all work and takes none, or takes some again.
    pub fn set_down(&self, dead: bool) {
        self.shared.scheduler.set_down(dead);
    }

    /// All calls that it took up.
    pub fn runs(&self) -> Vec<EngineRun> {
        lock(&self.shared.runs).clone()
    }

    /// Time since its start, the clock of [`EngineRun::at`].
    pub fn now(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// Blocks found in the prefix cache, and blocks looked for.
    pub fn prefix_cache_stats(&self) -> (u64, u64) {
        self.shared.scheduler.prefix_cache_stats()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.server.stop();
        self.shared.scheduler.stop();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no call panics with the lock")
}

impl Shared {
    fn load_now(&self) -> LoadReport {
        let load = self.scheduler.load();
        LoadReport {
            running: load.running as u32,
            waiting: load.waiting as u32,
            slots: self.options.speed.slots as u32,
            versions: lock(&self.versions).keys().cloned().collect(),
        }
    }

    /// The load as it was when the lag was last over.
    fn load_reported(&self) -> LoadReport {
        let lag = Duration::from_millis(self.options.load_lag_ms);
        let mut reported = lock(&self.reported);
        if reported.0.elapsed() >= lag {
            *reported = (Instant::now(), self.load_now());
        }
        reported.1.clone()
    }

    fn take_order(&self, order: Order) -> Reply {
        let mut orders = lock(&self.orders);
        if self.options.checks_fence && order.fence < orders.fence {
            return Reply::text(409, "older fence");
        }
        orders.fence = orders.fence.max(order.fence);
        orders.withdrawn.push(order.version);
        Reply::text(200, "")
    }

    fn is_withdrawn(&self, version: &str) -> bool {
        let orders = lock(&self.orders);
        self.options.checks_fence && orders.withdrawn.iter().any(|v| v == version)
    }

    fn draw(&self, what: &[u8]) -> f64 {
        let draw = self.draws.fetch_add(1, Ordering::Relaxed);
        text::unit(&[what, &draw.to_le_bytes()])
    }
}

/// A call that was taken up.
struct Job {
    id: String,
    version: String,
    draft: Draft,
    /// Words that the caller has already.
    skip: usize,
    /// Words to give before the call breaks off, if it does.
    stop_after: usize,
    prompt_tokens: usize,
    ticks: Receiver<Tick>,
    with_logprobs: bool,
    is_cut: bool,
}

struct Front {
    shared: Arc<Shared>,
}

impl Handler for Front {
    fn handle(&self, mut incoming: Incoming) {
        let path = incoming.path().to_owned();
        let reply = match (incoming.method(), path.as_str()) {
            ("POST", "/v1/chat/completions") => return self.complete(incoming),
            ("GET", "/load") => {
                let body = serde_json::to_vec(&self.shared.load_reported());
                Reply::json(200, body.expect("a report is always valid JSON"))
            }
            ("POST", "/orders") => match read_json::<Order>(&mut incoming) {
                Some(order) => self.shared.take_order(order),
                None => Reply::text(400, "no order"),
            },
            _ => Reply::text(404, "no such path"),
        };
        let _caller_gone = incoming.reply(reply);
    }
}

pub(crate) fn read_json<T: serde::de::DeserializeOwned>(incoming: &mut Incoming) -> Option<T> {
    let body = incoming.read_body().ok()?;
    serde_json::from_slice(&body).ok()
}

impl Front {
    fn complete(&self, mut incoming: Incoming) {
        let request = incoming
            .read_body()
            .and_then(|b| ChatRequest::from_slice(&b));
        let request = match request {
            Ok(request) => request,
            Err(refusal) => {
                let _caller_gone = incoming.reply(Reply::from(&refusal));
                return;
            }
        };
        let request_id = incoming.header("X-Request-Id").unwrap_or("none").to_owned();
        match self.take_up(&request, &request_id) {
            Err(reply) => drop(incoming.reply(reply)),
            Ok(job) if request.stream => stream(incoming, &job, request.wants_usage()),
            Ok(job) => drop(incoming.reply(whole(&job))),
        }
    }

    fn take_up(&self, request: &ChatRequest, request_id: &str) -> Result<Job, Reply> {
        let shared = &self.shared;
        let version = request.model.clone();
        let Some(behaviour) = lock(&shared.versions).get(&version).copied() else {
            return Err(Reply::text(404, "version not loaded"));
        };
        if shared.is_withdrawn(&version) {
            return Err(Reply::text(409, "version withdrawn"));
        }
        lock(&shared.runs).push(EngineRun {
            request_id: request_id.to_owned(),
            version: version.clone(),
            user: text_field(request, "user"),
            at: shared.started.elapsed(),
        });
        if shared.draw(b"fail") < behaviour.fail {
            return Err(Reply::text(500, "engine failed"));
        }
        let (prompt, sent) = split_continuation(request);
        let asked = request.max_tokens.map_or(DEFAULT_TOKENS, |n| n as usize);
        let skip = sent.split_inclusive(' ').count();
        let tokens = (asked + skip).max(2);
        let mismatched = shared.draw(b"mismatch") < behaviour.mismatch;
        let answered = if mismatched {
            "another prompt"
        } else {
            prompt.as_str()
        };
        let draft = text::draft(answered, &version, behaviour.skill, tokens);
        let left = draft.words.len().saturating_sub(skip).max(1);
        let cut = shared.draw(b"truncate") < behaviour.truncate;
        let priority = request
            .body
            .get("priority")
            .and_then(Value::as_i64)
            .unwrap_or(0);
        Ok(Job {
            id: format!(
                "chatcmpl-{}",
                if mismatched { "another" } else { request_id }
            ),
            version,
            skip,
            stop_after: if cut { left / 2 } else { left },
            prompt_tokens: prompt.len() / CHARS_PER_TOKEN,
            // As in the published API, a lower value is served earlier.
            ticks: shared.scheduler.submit(
                &format!("{prompt}{sent}"),
                left,
                (9 - priority.clamp(0, 9)) as u8,
            ),
            with_logprobs: request.body.get("logprobs") == Some(&Value::Bool(true)),
            is_cut: cut,
            draft,
        })
    }
}

fn text_field(request: &ChatRequest, name: &str) -> String {
    let field = request.body.get(name).and_then(Value::as_str);
    field.unwrap_or_default().to_owned()
}

/// The prompt, and the start of the answer that the request wants continued.
fn split_continuation(request: &ChatRequest) -> (String, String) {
    let continues = request.body.get("continue_final_message") == Some(&Value::Bool(true));
    if !continues {
        return (request.prompt(), String::new());
    }
    let mut shorter = request.clone();
    let last = match shorter.body.get_mut("messages") {
        Some(Value::Array(messages)) => messages.pop(),
        _ => None,
    };
    let sent = last.and_then(|m| Some(m.get("content")?.as_str()?.to_owned()));
    (shorter.prompt(), sent.unwrap_or_default())
}

fn whole(job: &Job) -> Reply {
    let mut content = String::new();
    for word in job.draft.words.iter().skip(job.skip).take(job.stop_after) {
        if job.ticks.recv() != Ok(Tick::Token) {
            return Reply::text(500, "engine died");
        }
        content.push_str(word);
    }
    let finish_reason = if job.is_cut {
        Value::Null
    } else {
        json!("stop")
    };
    let mut choice = json!({
        "index": 0,
        "message": { "role": "assistant", "content": content },
        "finish_reason": finish_reason,
    });
    if job.with_logprobs {
        let logprob = job.draft.confidence.ln();
        choice["logprobs"] = json!({ "content": [{ "token": "r", "logprob": logprob }] });
    }
    let body = json!({
        "id": job.id,
        "object": "chat.completion",
        "created": 0,
        "model": job.version,
        "choices": [choice],
        "usage": usage(job),
    });
    Reply::json(200, body.to_string().into_bytes())
}

fn usage(job: &Job) -> Value {
    let generated = job.draft.words.len().saturating_sub(job.skip);
    json!({
        "prompt_tokens": job.prompt_tokens,
        "completion_tokens": generated,
        "total_tokens": job.prompt_tokens + generated,
    })
}

fn stream(incoming: Incoming, job: &Job, wants_usage: bool) {
    let Ok(mut events) = incoming.into_events(&[]) else {
        return;
    };
    let sent = stream_words(&mut events, job);
    if sent.is_err() || job.is_cut {
        // Dropping the writer breaks the stream off without its end mark.
        return;
    }
    let usage = if wants_usage { usage(job) } else { Value::Null };
    let last = chunk(job, json!({}), json!("stop"), &usage);
    if events.write_event(&last).is_ok() {
        let _caller_gone = events.finish();
    }
}

fn stream_words(events: &mut EventWriter, job: &Job) -> Result<(), ()> {
    for word in job.draft.words.iter().skip(job.skip).take(job.stop_after) {
        if job.ticks.recv() != Ok(Tick::Token) {
            return Err(());
        }
        let event = chunk(job, json!({ "content": word }), Value::Null, &Value::Null);
        events.write_event(&event).map_err(drop)?;
    }
    Ok(())
}

fn chunk(job: &Job, delta: Value, finish_reason: Value, usage: &Value) -> String {
    json!({
        "id": job.id,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": job.version,
        "choices": [{ "index": 0, "delta": delta, "finish_reason": finish_reason }],
        "usage": usage,
    })
    .to_string()
}

/// Waits until `condition` holds, for as long as a test may take; then says what was waited for.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(60);
    while !condition() {
        assert!(Instant::now() < deadline, "still waiting: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}
