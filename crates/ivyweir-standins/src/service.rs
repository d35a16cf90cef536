//! A fake service that echoes and records every request.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use ivyweir_caller::{Handler, Incoming, Reply, Server};
use ivyweir_engine::LoadReport;
use serde_json::json;

const SERVER_THREADS: usize = 256;
const SLOTS: u32 = 64;

/// A request that the service received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRun {
    /// Request method, followed by the path with its query.
    pub line: String,
    /// Value of the `Idempotency-Key` header, or an empty string.
    pub key: String,
    /// Request body.
    pub body: Vec<u8>,
}

/// A running echo service.
pub struct Service {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    runs: Mutex<Vec<ServiceRun>>,
    delay_ms: AtomicU64,
    lose_responses: AtomicBool,
    running: AtomicU64,
}

impl Service {
    /// Starts a service on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let handler = Arc::new(EchoHandler {
            shared: shared.clone(),
        });
        let server = Server::start("127.0.0.1:0", SERVER_THREADS, handler)?;
        Ok(Self { server, shared })
    }

    /// Returns the socket address that the service listens on.
    pub fn addr(&self) -> String {
        self.server.addr().to_string()
    }

    /// Returns all requests that the service received.
    pub fn runs(&self) -> Vec<ServiceRun> {
        self.shared
            .runs
            .lock()
            .expect("mutex is not poisoned")
            .clone()
    }

    /// Sets the processing time of each request.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.shared.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Makes every request take effect but respond with status 502 while `lose` is true.
    pub fn set_lose_responses(&self, lose: bool) {
        self.shared.lose_responses.store(lose, Ordering::Relaxed);
    }
}

struct EchoHandler {
    shared: Arc<Shared>,
}

impl EchoHandler {
    fn run(&self, incoming: &mut Incoming) -> Reply {
        let body = incoming.read_body().unwrap_or_default();
        let key = incoming
            .header("Idempotency-Key")
            .unwrap_or_default()
            .to_owned();
        let line = format!("{} {}", incoming.method(), incoming.path_and_query());
        let mut runs = self.shared.runs.lock().expect("mutex is not poisoned");
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
        if self.shared.lose_responses.load(Ordering::Relaxed) {
            return Reply::text(
                502,
                "injected fault: response lost after the request took effect",
            );
        }
        let response = json!({
            "line": line,
            "key": key,
            "body": String::from_utf8_lossy(&body),
            "nth": nth,
        });
        Reply::json(200, response.to_string().into_bytes()).with_header("X-Service", "stand-in")
    }
}

impl Handler for EchoHandler {
    fn handle(&self, mut incoming: Incoming) {
        if incoming.path() == "/load" {
            let report = LoadReport {
                running: self.shared.running.load(Ordering::Relaxed) as u32,
                waiting: 0,
                slots: SLOTS,
                versions: vec![],
            };
            let body = serde_json::to_vec(&report).expect("a load report serializes to JSON");
            let _disconnected = incoming.reply(Reply::json(200, body));
            return;
        }
        self.shared.running.fetch_add(1, Ordering::Relaxed);
        let reply = self.run(&mut incoming);
        self.shared.running.fetch_sub(1, Ordering::Relaxed);
        let _disconnected = incoming.reply(reply);
    }
}
