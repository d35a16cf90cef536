//! A fake model engine that serves the chat completions API on top of a [`Scheduler`].

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

use crate::scheduler::{BYTES_PER_TOKEN, Scheduler, Speed, TokenEvent};
use crate::text::{self, Draft};

const SERVER_THREADS: usize = 512;
const DEFAULT_MAX_TOKENS: usize = 24;

/// Quality and fault rates of a model version. Fault rates are probabilities from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Behaviour {
    /// Prompt difficulty, 0 to 1, up to which the version tends to answer well.
    pub skill: f64,
    /// Rate of responses with status 500.
    pub fail_rate: f64,
    /// Rate of responses that are truncated off half way.
    pub truncate_rate: f64,
    /// Rate of responses that carry the id of another request.
    pub mismatch_rate: f64,
}

impl Behaviour {
    /// Creates the behaviour of a version without faults.
    pub fn good(skill: f64) -> Self {
        Self {
            skill,
            fail_rate: 0.0,
            truncate_rate: 0.0,
            mismatch_rate: 0.0,
        }
    }
}

/// Configuration of an [`Engine`].
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Timing and capacity.
    pub speed: Speed,
    /// The loaded versions, by name.
    pub versions: BTreeMap<String, Behaviour>,
    /// Age in milliseconds from which the reported load is refreshed.
    pub load_lag_ms: u64,
    /// Whether the engine rejects orders with an older fence and requests for withdrawn versions.
    pub checks_fence: bool,
}

/// A request that an engine accepted.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRun {
    /// Value of the `X-Request-Id` header.
    pub request_id: String,
    /// The version that processed the request.
    pub version: String,
    /// The `user` field of the body, which tests use to identify requests.
    pub user: String,
    /// Time of acceptance, relative to the start of the engine.
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
    draw_count: AtomicU64,
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
    /// Returns an error if no port can be bound.
    pub fn start(options: EngineOptions) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            scheduler: Scheduler::start(options.speed),
            versions: Mutex::new(options.versions.clone()),
            runs: Mutex::default(),
            orders: Mutex::default(),
            reported: Mutex::new((Instant::now(), LoadReport::default())),
            started: Instant::now(),
            draw_count: AtomicU64::new(0),
            options,
        });
        *lock(&shared.reported) = (Instant::now(), shared.current_load());
        let handler = Arc::new(EngineHandler {
            shared: shared.clone(),
        });
        let server = Server::start("127.0.0.1:0", SERVER_THREADS, handler)?;
        Ok(Self { server, shared })
    }

    /// Returns the socket address that the engine listens on.
    pub fn addr(&self) -> String {
        self.server.addr().to_string()
    }

    /// Sets the behaviour of a version, loading the version if necessary.
    pub fn set_behaviour(&self, version: &str, behaviour: Behaviour) {
        lock(&self.shared.versions).insert(version.to_owned(), behaviour);
    }

    /// Multiplies the duration of every step by `factor`.
    pub fn set_slowdown(&self, factor: u64) {
        self.shared.scheduler.set_slowdown(factor);
    }

    /// Aborts all sequences and rejects new ones while `down` is true.
    pub fn set_down(&self, down: bool) {
        self.shared.scheduler.set_down(down);
    }

    /// Returns all requests that the engine accepted.
    pub fn runs(&self) -> Vec<EngineRun> {
        lock(&self.shared.runs).clone()
    }

    /// Returns the time since the engine started, on the same clock as [`EngineRun::at`].
    pub fn now(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// Returns the number of hits and of lookups in the prefix cache, in blocks.
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
    mutex.lock().expect("mutex is not poisoned")
}

impl Shared {
    fn current_load(&self) -> LoadReport {
        let load = self.scheduler.load();
        LoadReport {
            running: load.running as u32,
            waiting: load.waiting as u32,
            slots: self.options.speed.slots as u32,
            versions: lock(&self.versions).keys().cloned().collect(),
        }
    }

    /// Returns the cached load report, refreshing it if it is older than `load_lag_ms`.
    fn reported_load(&self) -> LoadReport {
        let lag = Duration::from_millis(self.options.load_lag_ms);
        let mut reported = lock(&self.reported);
        if reported.0.elapsed() >= lag {
            *reported = (Instant::now(), self.current_load());
        }
        reported.1.clone()
    }

    fn apply_order(&self, order: Order) -> Reply {
        let mut orders = lock(&self.orders);
        if self.options.checks_fence && order.fence < orders.fence {
            return Reply::text(409, "order has an older fence");
        }
        orders.fence = orders.fence.max(order.fence);
        orders.withdrawn.push(order.version);
        Reply::text(200, "")
    }

    fn is_withdrawn(&self, version: &str) -> bool {
        let orders = lock(&self.orders);
        self.options.checks_fence && orders.withdrawn.iter().any(|v| v == version)
    }

    fn random_unit(&self, label: &[u8]) -> f64 {
        let index = self.draw_count.fetch_add(1, Ordering::Relaxed);
        text::unit_hash(&[label, &index.to_le_bytes()])
    }
}

/// An accepted request.
struct Job {
    id: String,
    version: String,
    draft: Draft,
    /// Number of leading words that the client already has.
    skip: usize,
    /// Number of words to send; fewer than remain if the response is truncated.
    word_limit: usize,
    prompt_tokens: usize,
    token_events: Receiver<TokenEvent>,
    include_logprobs: bool,
    is_truncated: bool,
}

struct EngineHandler {
    shared: Arc<Shared>,
}

impl Handler for EngineHandler {
    fn handle(&self, mut incoming: Incoming) {
        let path = incoming.path().to_owned();
        let reply = match (incoming.method(), path.as_str()) {
            ("POST", "/v1/chat/completions") => return self.complete(incoming),
            ("GET", "/load") => {
                let body = serde_json::to_vec(&self.shared.reported_load());
                Reply::json(200, body.expect("a load report serializes to JSON"))
            }
            ("POST", "/orders") => match read_json::<Order>(&mut incoming) {
                Some(order) => self.shared.apply_order(order),
                None => Reply::text(400, "body is not a valid order"),
            },
            _ => Reply::text(404, "path not found"),
        };
        let _disconnected = incoming.reply(reply);
    }
}

pub(crate) fn read_json<T: serde::de::DeserializeOwned>(incoming: &mut Incoming) -> Option<T> {
    let body = incoming.read_body().ok()?;
    serde_json::from_slice(&body).ok()
}

impl EngineHandler {
    fn complete(&self, mut incoming: Incoming) {
        let request = incoming
            .read_body()
            .and_then(|b| ChatRequest::from_slice(&b));
        let request = match request {
            Ok(request) => request,
            Err(refusal) => {
                let _disconnected = incoming.reply(Reply::from(&refusal));
                return;
            }
        };
        let request_id = incoming.header("X-Request-Id").unwrap_or("none").to_owned();
        match self.accept(&request, &request_id) {
            Err(reply) => drop(incoming.reply(reply)),
            Ok(job) if request.stream => stream(incoming, &job, request.wants_usage()),
            Ok(job) => drop(incoming.reply(complete_response(&job))),
        }
    }

    fn accept(&self, request: &ChatRequest, request_id: &str) -> Result<Job, Reply> {
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
        if shared.random_unit(b"fail") < behaviour.fail_rate {
            return Err(Reply::text(500, "injected engine failure"));
        }
        let (prompt, sent) = split_continuation(request);
        let requested_tokens = request
            .max_tokens
            .map_or(DEFAULT_MAX_TOKENS, |n| n as usize);
        let skip = sent.split_inclusive(' ').count();
        let tokens = (requested_tokens + skip).max(2);
        let mismatched = shared.random_unit(b"mismatch") < behaviour.mismatch_rate;
        let effective_prompt = if mismatched {
            "another prompt"
        } else {
            prompt.as_str()
        };
        let draft = text::draft(effective_prompt, &version, behaviour.skill, tokens);
        let words_left = draft.words.len().saturating_sub(skip).max(1);
        let truncated = shared.random_unit(b"truncate") < behaviour.truncate_rate;
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
            word_limit: if truncated {
                words_left / 2
            } else {
                words_left
            },
            prompt_tokens: prompt.len() / BYTES_PER_TOKEN,
            // In the published API a lower `priority` value is served first; the scheduler serves
            // higher values first.
            token_events: shared.scheduler.submit(
                &format!("{prompt}{sent}"),
                words_left,
                (9 - priority.clamp(0, 9)) as u8,
            ),
            include_logprobs: request.body.get("logprobs") == Some(&Value::Bool(true)),
            is_truncated: truncated,
            draft,
        })
    }
}

fn text_field(request: &ChatRequest, name: &str) -> String {
    let field = request.body.get(name).and_then(Value::as_str);
    field.unwrap_or_default().to_owned()
}

/// Splits a request into its prompt and the partial answer that it asks to have continued.
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

fn complete_response(job: &Job) -> Reply {
    let mut content = String::new();
    for word in job.draft.words.iter().skip(job.skip).take(job.word_limit) {
        if job.token_events.recv() != Ok(TokenEvent::Token) {
            return Reply::text(500, "engine went down while generating");
        }
        content.push_str(word);
    }
    let finish_reason = if job.is_truncated {
        Value::Null
    } else {
        json!("stop")
    };
    let mut choice = json!({
        "index": 0,
        "message": { "role": "assistant", "content": content },
        "finish_reason": finish_reason,
    });
    if job.include_logprobs {
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
    if sent.is_err() || job.is_truncated {
        // Dropping the writer closes the stream without the `[DONE]` event.
        return;
    }
    let usage = if wants_usage { usage(job) } else { Value::Null };
    let last = chunk(job, json!({}), json!("stop"), &usage);
    if events.write_event(&last).is_ok() {
        let _disconnected = events.finish();
    }
}

fn stream_words(events: &mut EventWriter, job: &Job) -> Result<(), ()> {
    for word in job.draft.words.iter().skip(job.skip).take(job.word_limit) {
        if job.token_events.recv() != Ok(TokenEvent::Token) {
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

/// Polls `condition` until it holds.
///
/// # Panics
///
/// Panics with `description` if the condition does not hold within 60 s.
pub fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(60);
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "timed out after 60 s waiting for: {description}"
        );
        thread::sleep(Duration::from_millis(10));
    }
}
