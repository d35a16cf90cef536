//! Upstream that runs, rejects, delays and loses requests as chosen for each, and records what it began to run.

mod conduct;
mod connection;
mod message;

use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use socket2::{Domain, Socket, Type};

pub use conduct::{Conduct, Rejection, Run, RunEnd, Then};
pub use message::{HARMFUL_PATH, LAST_EVENT, answer_text, event_text};

use crate::loopback::unique_ip;
use connection::Connection;

/// Length of the accept queue: a connection beyond it is established when the client tries again, a second later.
const BACKLOG: i32 = 2;
/// Receive buffer, small so that a long body is not written whole before it is read.
const RECEIVE_BUFFER_BYTES: usize = 4 << 10;
const STACK_BYTES: usize = 128 << 10;
const CHECK_INTERVAL: Duration = Duration::from_millis(3);
const WAKE_TIMEOUT: Duration = Duration::from_millis(20);

/// What became of a request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It began to run.
    Ran {
        /// Whether its client had closed the connection before.
        is_client_gone: bool,
    },
    /// It was rejected as not run, with this status.
    Rejected(u16),
}

/// A request that was run or rejected.
#[derive(Debug, Clone)]
pub struct Handled {
    /// Its id.
    pub id: String,
    /// What became of it.
    pub fate: Fate,
    /// When it began to run, or was rejected.
    pub at: Instant,
    /// Number of the connection at the upstream.
    pub connection: u64,
    /// Number of the request on the connection.
    pub position: u64,
    /// Upstream that handled it.
    pub upstream: Name,
}

/// Chooses what is done with a request, by its number at the upstream.
type Plan = Box<dyn Fn(u64) -> Conduct + Send + Sync>;

struct Shared {
    plan: Plan,
    requests: AtomicU64,
    connections: AtomicU64,
    state: Mutex<State>,
}

struct State {
    name: Name,
    paused_until: Instant,
    accepts_from: Instant,
    rejects_until: Instant,
    down_until: Instant,
    /// Number of the process: what an earlier one read does not run any more.
    life: u64,
    open: HashMap<u64, TcpStream>,
    handled: Vec<Handled>,
}

/// A running upstream.
pub struct ErraticUpstream {
    addr: SocketAddr,
    pool: Name,
    hall: Name,
    version: Name,
    shared: Arc<Shared>,
}

impl ErraticUpstream {
    /// Starts an upstream that does with each request what `plan` chooses by the number of the request. It runs until
    /// the process exits.
    pub fn start(
        name: &str,
        pool: &str,
        hall: &str,
        plan: impl Fn(u64) -> Conduct + Send + Sync + 'static,
    ) -> Self {
        let any_port = SocketAddr::from((unique_ip(), 0));
        let listener = listen(any_port).expect("a free loopback port");
        let addr = listener.local_addr().expect("a bound socket");
        let now = Instant::now();
        let shared = Arc::new(Shared {
            plan: Box::new(plan),
            requests: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            state: Mutex::new(State {
                name: name.into(),
                paused_until: now,
                accepts_from: now,
                rejects_until: now,
                down_until: now,
                life: 0,
                open: HashMap::new(),
                handled: Vec::new(),
            }),
        });
        let accepting = shared.clone();
        spawn(move || accept(&accepting, listener, addr));
        Self {
            addr,
            pool: pool.into(),
            hall: hall.into(),
            version: "v1".into(),
            shared,
        }
    }

    /// Names another version than `v1` in its record.
    pub fn set_version(&mut self, version: &str) {
        self.version = version.into();
    }

    /// Returns the registry record of its present process, with this address in the place of its own.
    pub fn record_at(&self, addr: SocketAddr) -> UpstreamRecord {
        let name = self.name();
        UpstreamRecord {
            id: UpstreamRecord::incarnation_id(&name, self.life()),
            pool: self.pool.clone(),
            addr,
            hall: self.hall.clone(),
            version: self.version.clone(),
            slots: 6,
            is_leaving: false,
            cold_remaining_ms: 0,
            is_spot: false,
            registered_as: Some(name),
        }
    }

    /// Returns its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns its present name.
    pub fn name(&self) -> Name {
        self.shared.state().name.clone()
    }

    /// Returns the number of its present process.
    pub fn life(&self) -> u64 {
        self.shared.state().life
    }

    /// Reads nothing for this time, and then all that lies in its sockets.
    pub fn pause(&self, pause: Duration) {
        self.shared.state().paused_until = Instant::now() + pause;
    }

    /// Accepts no connections for this time, and then all that wait.
    pub fn pause_accepting(&self, pause: Duration) {
        self.shared.state().accepts_from = Instant::now() + pause;
    }

    /// Rejects all requests for this time.
    pub fn reject_all(&self, time: Duration) {
        self.shared.state().rejects_until = Instant::now() + time;
    }

    /// Ends the process, and starts another one under another name at the same address at once; requests for the earlier
    /// one are rejected with status 421.
    pub fn restart_as(&self, name: &str) {
        self.shared.end_process(Duration::ZERO);
        self.shared.state().name = name.into();
    }

    /// Ends the process, and starts another one under the same name after this time.
    pub fn end_for(&self, down: Duration) {
        self.shared.end_process(down);
        wake(self.addr);
    }

    /// Returns the requests that were run or rejected, in order.
    pub fn handled(&self) -> Vec<Handled> {
        self.shared.state().handled.clone()
    }
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn spawn(run: impl FnOnce() + Send + 'static) {
    let thread = thread::Builder::new().stack_size(STACK_BYTES);
    thread.spawn(run).expect("a thread can be started");
}

/// Lets a listener return from its wait for a connection.
fn wake(addr: SocketAddr) {
    // One whose accept queue is full does not wait.
    let _ignored = TcpStream::connect_timeout(&addr, WAKE_TIMEOUT);
}

fn accept(shared: &Arc<Shared>, mut listener: TcpListener, addr: SocketAddr) {
    loop {
        wait_until(|| shared.state().accepts_from);
        let accepted = listener.accept();
        if shared.state().down_until > Instant::now() {
            drop((listener, accepted));
            wait_until(|| shared.state().down_until);
            listener = listen(addr).expect("the address is still free");
            continue;
        }
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let number = shared.connections.fetch_add(1, Ordering::SeqCst);
        let Ok(open) = stream.try_clone() else {
            continue;
        };
        shared.state().open.insert(number, open);
        let shared = shared.clone();
        spawn(move || {
            // A connection that breaks is one of the faults.
            let _ignored = Connection::new(&shared, stream, number).and_then(Connection::serve);
            shared.state().open.remove(&number);
        });
    }
}

/// Waits until a moment, which may be moved meanwhile.
fn wait_until(moment: impl Fn() -> Instant) {
    while Instant::now() < moment() {
        thread::sleep(CHECK_INTERVAL);
    }
}

impl Shared {
    /// Ends the process with all its connections, for this time.
    fn end_process(&self, down: Duration) {
        let mut state = self.state();
        state.life += 1;
        state.down_until = Instant::now() + down;
        for (_, stream) in state.open.drain() {
            // A connection that is closed already needs no end.
            let _ignored = stream.shutdown(Shutdown::Both);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}
