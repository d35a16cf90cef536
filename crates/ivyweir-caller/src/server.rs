//! HTTP server with a bounded pool of worker threads.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use ivyweir_policy::{Code, Refusal};
use socket2::SockRef;

use crate::{Incoming, Reply};

/// Read and write timeout of caller connections. It bounds how long a slow caller can block a
/// worker thread.
const SOCKET_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the server connects to its own listener. [`SOCKET_TIMEOUT`] applies
/// to the listening socket too, and accepting must not time out, so the interval is shorter.
const SELF_CONNECT_INTERVAL: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of threads that are kept waiting for requests when the server is idle.
const MAX_IDLE_THREADS: usize = 4;
const THREAD_STACK_BYTES: usize = 512 << 10;

/// Handles requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request and sends the response. Called on a worker thread.
    fn handle(&self, incoming: Incoming);
}

/// An HTTP server that passes requests to a [`Handler`].
pub struct Server {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    http: tiny_http::Server,
    handler: Arc<dyn Handler>,
    stopping: AtomicBool,
    /// Number of threads that wait for a request.
    idle_threads: AtomicUsize,
    /// Number of all worker threads.
    total_threads: AtomicUsize,
    max_threads: usize,
}

impl Server {
    /// Binds `addr` and handles requests on up to `max_threads` threads.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or a thread cannot be started.
    pub fn start(addr: &str, max_threads: usize, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        // Accepted sockets inherit these timeouts from the listener.
        let socket = SockRef::from(&listener);
        socket.set_read_timeout(Some(SOCKET_TIMEOUT))?;
        socket.set_write_timeout(Some(SOCKET_TIMEOUT))?;
        let http = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
        let shared = Arc::new(Shared {
            http,
            handler,
            stopping: AtomicBool::new(false),
            idle_threads: AtomicUsize::new(0),
            total_threads: AtomicUsize::new(0),
            max_threads,
        });
        for _ in 0..MAX_IDLE_THREADS.min(max_threads) {
            Shared::spawn_worker(&shared)?;
        }
        spawn_self_connector(addr, shared.clone())?;
        Ok(Self { addr, shared })
    }

    /// Returns the local address of the listener.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops taking requests, without waiting for those in progress.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        self.shared.http.unblock();
    }
}

impl Shared {
    fn spawn_worker(shared: &Arc<Self>) -> io::Result<()> {
        shared.total_threads.fetch_add(1, Ordering::Relaxed);
        shared.idle_threads.fetch_add(1, Ordering::Relaxed);
        let worker = shared.clone();
        thread::Builder::new()
            .name("caller".into())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || worker.run_worker())
            .map(drop)
    }

    /// Handles requests until the server stops or more than [`MAX_IDLE_THREADS`] threads are idle.
    fn run_worker(self: Arc<Self>) {
        while !self.stopping.load(Ordering::Relaxed) {
            let Ok(received) = self.http.recv_timeout(POLL_INTERVAL) else {
                break;
            };
            let Some(request) = received else {
                if self.idle_threads.load(Ordering::Relaxed) > MAX_IDLE_THREADS {
                    break;
                }
                continue;
            };
            self.dispatch(request);
        }
        self.idle_threads.fetch_sub(1, Ordering::Relaxed);
        self.total_threads.fetch_sub(1, Ordering::Relaxed);
    }

    fn dispatch(self: &Arc<Self>, request: tiny_http::Request) {
        let idle_threads = self.idle_threads.fetch_sub(1, Ordering::Relaxed);
        let is_last_idle = idle_threads <= 1;
        let at_limit = self.total_threads.load(Ordering::Relaxed) >= self.max_threads;
        let incoming = Incoming::new(request);
        if is_last_idle && at_limit {
            // At the limit, the last idle thread only refuses requests, so that callers are always
            // told of the overload.
            let refusal = Refusal::not_run(
                Code::Overloaded,
                "this box has reached its limit of concurrent requests",
            );
            let _caller_disconnected = incoming.reply(Reply::from(
                &refusal.with_retry_after(OVERLOAD_RETRY_AFTER_MS),
            ));
        } else {
            if is_last_idle {
                let _spawn_failed = Self::spawn_worker(self);
            }
            self.handler.handle(incoming);
        }
        self.idle_threads.fetch_add(1, Ordering::Relaxed);
    }
}

const OVERLOAD_RETRY_AFTER_MS: u64 = 500;

/// Starts a thread that regularly connects to the listener, so that accepting does not time out.
fn spawn_self_connector(addr: SocketAddr, shared: Arc<Shared>) -> io::Result<()> {
    let mut target = addr;
    if target.ip().is_unspecified() {
        target.set_ip(std::net::Ipv4Addr::LOCALHOST.into());
    }
    thread::Builder::new()
        .name("keep-accepting".into())
        .stack_size(THREAD_STACK_BYTES / 4)
        .spawn(move || {
            while !shared.stopping.load(Ordering::Relaxed) {
                thread::sleep(SELF_CONNECT_INTERVAL);
                drop(TcpStream::connect_timeout(&target, SOCKET_TIMEOUT));
            }
        })
        .map(drop)
}
