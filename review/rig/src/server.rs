//! A server of a plain service, which records what it runs.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Channel, response};

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub tenant: String,
    pub at: Instant,
}

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
    body: Arc<Vec<u8>>,
    work: Duration,
}

/// Requests to paths with this part get a short answer.
pub const SHORT: &str = "/short";
const SHORT_BYTES: usize = 800;

impl Server {
    /// Starts a server whose answers have this body.
    pub fn start(id: &str, body: Vec<u8>, work: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Self {
            id: id.into(),
            addr: listener.local_addr().expect("bound"),
            runs: Arc::default(),
            body: Arc::new(body),
            work,
        };
        let served = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = served.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// The spec of its entry in the store.
    pub fn spec(&self, service: &str, zone: &str) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"seq":1}}"#,
            self.addr
        )
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("unpoisoned").clone()
    }

    fn serve(&self, stream: TcpStream) {
        let mut channel = Channel::new(stream);
        while let Ok(Some(request)) = channel.read_request() {
            let id = request.header("x-ivyweir-request-id").unwrap_or_default();
            let expected = request.header("x-ivyweir-expect-instance");
            let own = format!(
                "X-Ivyweir-Request-Id: {id}\r\nX-Ivyweir-Instance-Id: {}\r\n",
                self.id
            );
            let answer = if expected.is_some_and(|e| e != self.id) {
                response("421 Misdirected Request", &own, b"")
            } else if request.start.contains(" /health ") {
                response("200 OK", &own, b"")
            } else {
                self.runs.lock().expect("unpoisoned").push(Run {
                    id: id.into(),
                    tenant: request.header("x-ivyweir-tenant").unwrap_or("-").into(),
                    at: Instant::now(),
                });
                thread::sleep(self.work);
                let head = format!("{own}X-Ivyweir-Server-Stamp: {}.{id}\r\n", self.id);
                let is_short = request.start.contains(SHORT);
                let length = if is_short {
                    SHORT_BYTES
                } else {
                    self.body.len()
                };
                response("200 OK", &head, &self.body[..length.min(self.body.len())])
            };
            if channel.write(&answer).is_err() {
                return;
            }
        }
    }
}
