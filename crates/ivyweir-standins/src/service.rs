//! A plain service that echoes what it was asked and records it.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use ivyweir_caller::{Handler, Incoming, Reply, Server};
use ivyweir_engine::LoadReport;
use serde_json::json;

const THREADS: usize = 256;
const SLOTS: u32 = 64;

/// One call that reached the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRun {
    /// Method, path and query.
    pub line: String,
    /// The `Idempotency-Key` header.
    pub key: String,
    /// The body.
    pub body: Vec<u8>,
}

/// A running service.
pub struct Service {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    runs: Mutex<Vec<ServiceRun>>,
    delay_ms: AtomicU64,
    lose_answers: AtomicBool,
    running: AtomicU64,
}

impl Service {
    /// Starts a service on a free port.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
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

    /// All calls that reached it.
    pub fn runs(&self) -> Vec<ServiceRun> {
        self.shared
            .runs
            .lock()
            .expect("no call panics with the lock")
            .clone()
    }

    /// Time that each call takes.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.shared.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Makes every call take effect and fail.
    pub fn set_lose_responses(&self, lose: bool) {
        self.shared.lose_answers.store(lose, Ordering::Relaxed);
    }
}

struct Front {
    shared: Arc<Shared>,
}

impl Front {
    fn run(&self, incoming: &mut Incoming) -> Reply {
        let body = incoming.read_body().unwrap_or_default();
        let key = incoming
            .header("Idempotency-Key")
            .unwrap_or_default()
            .to_owned();
        let line = format!("{} {}", incoming.method(), incoming.path_and_query());
        let mut runs = self
            .shared
            .runs
            .lock()
            .expect("no call panics with the lock");
        let nth = runs.len();
        runs.push(ServiceRun {
            line: line.clone(),
            key: key.clone(),
            body: body.clone(),
        });
        drop(runs);
        thread::sleep(Duration::from_millis(
            self.shared.delay_ms.load(Ordering::Relaxed),
        ));
        if self.shared.lose_answers.load(Ordering::Relaxed) {
            return Reply::text(502, "answer lost");
        }
        let answer = json!({
            "line": line,
            "key": key,
            "body": String::from_utf8_lossy(&body),
            "nth": nth,
        });
        Reply::json(200, answer.to_string().into_bytes()).with_header("X-Service", "stand-in")
    }
}

impl Handler for Front {
    fn handle(&self, mut incoming: Incoming) {
        if incoming.path() == "/load" {
            let report = LoadReport {
                running: self.shared.running.load(Ordering::Relaxed) as u32,
                waiting: 0,
                slots: SLOTS,
                versions: vec![],
            };
            let body = serde_json::to_vec(&report).expect("a report is always valid JSON");
            let _caller_gone = incoming.reply(Reply::json(200, body));
            return;
        }
        self.shared.running.fetch_add(1, Ordering::Relaxed);
        let reply = self.run(&mut incoming);
        self.shared.running.fetch_sub(1, Ordering::Relaxed);
        let _caller_gone = incoming.reply(reply);
    }
}
