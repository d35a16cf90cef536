//! A fake rating service.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use ivyweir_caller::{Handler, Incoming, Reply, Server};
use serde::Deserialize;
use serde_json::json;

use crate::engine::read_json;
use crate::text;

const SERVER_THREADS: usize = 32;

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
struct RatingRequest {
    prompt: String,
    answer: String,
}

impl Rating {
    /// Starts a rating service on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let handler = Arc::new(RatingHandler {
            shared: shared.clone(),
        });
        let server = Server::start("127.0.0.1:0", SERVER_THREADS, handler)?;
        Ok(Self { server, shared })
    }

    /// Returns the base URL of the service.
    pub fn base_url(&self) -> String {
        format!("http://{}", self.server.addr())
    }

    /// Makes every request fail with status 503 while `down` is true.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::Relaxed);
    }

    /// Returns the number of requests received, including failed ones.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }
}

struct RatingHandler {
    shared: Arc<Shared>,
}

impl Handler for RatingHandler {
    fn handle(&self, mut incoming: Incoming) {
        self.shared.calls.fetch_add(1, Ordering::Relaxed);
        let reply = match read_json::<RatingRequest>(&mut incoming) {
            _ if self.shared.down.load(Ordering::Relaxed) => Reply::text(503, "out"),
            None => Reply::text(400, "body is not a valid rating request"),
            Some(request) => {
                let score = text::quality(&request.prompt, &request.answer).unwrap_or(0.0);
                Reply::json(200, json!({ "score": score }).to_string().into_bytes())
            }
        };
        let _disconnected = incoming.reply(reply);
    }
}
