//! The service that rates answers.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use ivyweir_caller::{Handler, Incoming, Reply, Server};
use serde::Deserialize;
use serde_json::json;

use crate::engine::read_json;
use crate::text;

const THREADS: usize = 32;

/// A running rating service.
pub struct Rating {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    down: AtomicBool,
    calls: AtomicU64,
}

#[derive(Deserialize)]
struct Ask {
    prompt: String,
    answer: String,
}

impl Rating {
    /// Starts a rating service on a free port.
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
    pub fn base_url(&self) -> String {
        format!("http://{}", self.server.addr())
    }

    /// Makes every call fail, or work again.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::Relaxed);
    }

    /// How often it was called.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }
}

struct Front {
    shared: Arc<Shared>,
}

impl Handler for Front {
    fn handle(&self, mut incoming: Incoming) {
        self.shared.calls.fetch_add(1, Ordering::Relaxed);
        let reply = match read_json::<Ask>(&mut incoming) {
            _ if self.shared.down.load(Ordering::Relaxed) => Reply::text(503, "out"),
            None => Reply::text(400, "no answer to rate"),
            Some(ask) => {
                let score = text::quality(&ask.prompt, &ask.answer).unwrap_or(0.0);
                Reply::json(200, json!({ "score": score }).to_string().into_bytes())
            }
        };
        let _caller_gone = incoming.reply(reply);
    }
}
