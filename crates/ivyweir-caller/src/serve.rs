//! The listener and its threads.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use ivyweir_policy::{Code, Refusal};
use socket2::SockRef;

use crate::{Incoming, Reply};

/// Longest silence of a caller that sends or takes in too slowly.
const SILENCE: Duration = Duration::from_secs(10);
/// Accepting must never time out, so the listener is called more often than [`SILENCE`].
const KEEP_ACCEPTING: Duration = Duration::from_secs(3);
const POLL: Duration = Duration::from_millis(100);
/// Threads that wait for requests when nothing is going on.
const IDLE_THREADS: usize = 4;
const THREAD_STACK_BYTES: usize = 512 << 10;

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, incoming: Incoming);
}

/// A listening server.
pub struct Server {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    http: tiny_http::Server,
    handler: Arc<dyn Handler>,
    stopping: AtomicBool,
    /// Threads that wait for a request.
    idle: AtomicUsize,
    /// Threads at all.
    threads: AtomicUsize,
    max_threads: usize,
}

impl Server {
    /// Listens on `addr` and answers with up to `max_threads` threads.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn start(addr: &str, max_threads: usize, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        // Accepted sockets take these over, which bounds slow callers.
        let socket = SockRef::from(&listener);
        socket.set_read_timeout(Some(SILENCE))?;
        socket.set_write_timeout(Some(SILENCE))?;
        let http = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
        let shared = Arc::new(Shared {
            http,
            handler,
            stopping: AtomicBool::new(false),
            idle: AtomicUsize::new(0),
            threads: AtomicUsize::new(0),
            max_threads,
        });
        for _ in 0..IDLE_THREADS.min(max_threads) {
            Shared::spawn(&shared)?;
        }
        keep_accepting(addr, shared.clone())?;
        Ok(Self { addr, shared })
    }

    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Takes no further requests.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        self.shared.http.unblock();
    }
}

impl Shared {
    fn spawn(shared: &Arc<Self>) -> io::Result<()> {
        shared.threads.fetch_add(1, Ordering::Relaxed);
        shared.idle.fetch_add(1, Ordering::Relaxed);
        let mine = shared.clone();
        thread::Builder::new()
            .name("caller".into())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || mine.run())
            .map(drop)
    }

    /// Answers requests until there are more idle threads than are of use.
    fn run(self: Arc<Self>) {
        while !self.stopping.load(Ordering::Relaxed) {
            let Ok(received) = self.http.recv_timeout(POLL) else {
                break;
            };
            let Some(request) = received else {
                if self.idle.load(Ordering::Relaxed) > IDLE_THREADS {
                    break;
                }
                continue;
            };
            self.answer(request);
        }
        self.idle.fetch_sub(1, Ordering::Relaxed);
        self.threads.fetch_sub(1, Ordering::Relaxed);
    }

    fn answer(self: &Arc<Self>, request: tiny_http::Request) {
        let idle_before = self.idle.fetch_sub(1, Ordering::Relaxed);
        let is_last = idle_before <= 1;
        let at_limit = self.threads.load(Ordering::Relaxed) >= self.max_threads;
        let incoming = Incoming::new(request);
        if is_last && at_limit {
            // One thread always stays free to say so.
            let refusal =
                Refusal::not_run(Code::Overloaded, "this box is at its limit of requests");
            let _caller_gone = incoming.reply(Reply::from(&refusal.with_retry_after(BUSY_HINT_MS)));
        } else {
            if is_last {
                let _at_limit_of_system = Self::spawn(self);
            }
            self.handler.handle(incoming);
        }
        self.idle.fetch_add(1, Ordering::Relaxed);
    }
}

const BUSY_HINT_MS: u64 = 500;

/// Connects to the listener now and then, so that accepting does not run into its time limit.
fn keep_accepting(addr: SocketAddr, shared: Arc<Shared>) -> io::Result<()> {
    let mut target = addr;
    if target.ip().is_unspecified() {
        target.set_ip(std::net::Ipv4Addr::LOCALHOST.into());
    }
    thread::Builder::new()
        .name("keep-accepting".into())
        .stack_size(THREAD_STACK_BYTES / 4)
        .spawn(move || {
            while !shared.stopping.load(Ordering::Relaxed) {
                thread::sleep(KEEP_ACCEPTING);
                drop(TcpStream::connect_timeout(&target, SILENCE));
            }
        })
        .map(drop)
}
