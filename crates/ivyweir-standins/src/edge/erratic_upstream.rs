//! Upstream that runs, rejects, delays and loses requests as chosen for each, and records what it began to run.

mod conduct;
mod message;

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use socket2::{Domain, SockRef, Socket, Type};

pub use conduct::{Conduct, Rejection, Run, RunEnd, Then};
pub use message::{LAST_EVENT, answer_text, event_text};

use crate::loopback::unique_ip;
use message::Head;

/// Length of the accept queue: a connection beyond it is established when the client tries again, a second later.
const BACKLOG: i32 = 2;
/// Receive buffer, small so that a long body is not written whole before it is read.
const RECEIVE_BUFFER_BYTES: usize = 4 << 10;
const STACK_BYTES: usize = 128 << 10;
const CHECK_INTERVAL: Duration = Duration::from_millis(3);
/// Time for which a connection stays open on which nothing is sent any more.
const SILENCE: Duration = Duration::from_secs(4);
const MSG_PEEK: i32 = 2;
const MSG_DONTWAIT: i32 = 0x40;

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
    open: HashMap<u64, TcpStream>,
    handled: Vec<Handled>,
}

/// A running upstream.
pub struct ErraticUpstream {
    addr: SocketAddr,
    pool: Name,
    hall: Name,
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
        let listener = listen().expect("a free loopback port");
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
                open: HashMap::new(),
                handled: Vec::new(),
            }),
        });
        let accepting = shared.clone();
        spawn(move || accept(&accepting, &listener));
        Self {
            addr,
            pool: pool.into(),
            hall: hall.into(),
            shared,
        }
    }

    /// Returns its registry record, with this address in the place of its own.
    pub fn record_at(&self, addr: SocketAddr) -> UpstreamRecord {
        UpstreamRecord {
            id: self.name(),
            pool: self.pool.clone(),
            addr,
            hall: self.hall.clone(),
            version: "v1".into(),
            slots: 6,
            is_leaving: false,
            cold_remaining_ms: 0,
            is_spot: false,
            registered_as: None,
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

    /// Reads nothing for this time, and then all that lies in its sockets.
    pub fn pause(&self, pause: Duration) {
        self.shared.state().paused_until = Instant::now() + pause;
    }

    /// Accepts no connections for this time, and then all that wait.
    pub fn pause_accepting(&self, pause: Duration) {
        self.shared.state().accepts_from = Instant::now() + pause;
    }

    /// Closes all connections and serves on under another name at the same address; requests for the earlier one are
    /// rejected with status 421.
    pub fn restart_as(&self, name: &str) {
        let mut state = self.shared.state();
        state.name = name.into();
        for (_, stream) in state.open.drain() {
            // A connection that is closed already needs no end.
            let _ignored = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns the requests that were run or rejected, in order.
    pub fn handled(&self) -> Vec<Handled> {
        self.shared.state().handled.clone()
    }
}

fn listen() -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(&SocketAddr::from((unique_ip(), 0)).into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn spawn(run: impl FnOnce() + Send + 'static) {
    let thread = thread::Builder::new().stack_size(STACK_BYTES);
    thread.spawn(run).expect("a thread can be started");
}

fn accept(shared: &Arc<Shared>, listener: &TcpListener) {
    loop {
        wait_until(|| shared.state().accepts_from);
        let Ok((stream, _)) = listener.accept() else {
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
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// Whether the connection goes on.
#[derive(Debug, PartialEq, Eq)]
enum Next {
    Request,
    End,
}

struct Connection<'s> {
    shared: &'s Shared,
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    number: u64,
    position: u64,
    /// An answer that is sent again before the next one.
    repeated: Option<String>,
}

impl<'s> Connection<'s> {
    fn new(shared: &'s Shared, stream: TcpStream, number: u64) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            shared,
            reader: BufReader::with_capacity(1 << 10, stream.try_clone()?),
            stream,
            number,
            position: 0,
            repeated: None,
        })
    }

    fn serve(mut self) -> io::Result<()> {
        while self.serve_request()? == Next::Request {}
        Ok(())
    }

    fn serve_request(&mut self) -> io::Result<Next> {
        if self.reader.buffer().is_empty() && self.stream.peek(&mut [0])? == 0 {
            return Ok(Next::End);
        }
        wait_until(|| self.shared.state().paused_until);
        let number = self.shared.requests.fetch_add(1, Ordering::SeqCst);
        let conduct = (self.shared.plan)(number);
        if conduct == Conduct::CloseUnread {
            return Ok(Next::End);
        }
        let Some(head) = Head::read(&mut self.reader)? else {
            return Ok(Next::End);
        };
        self.position += 1;
        if head.method == "OPTIONS" {
            let text = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            self.stream.write_all(text.as_bytes())?;
            return Ok(Next::Request);
        }
        let name = self.shared.state().name.clone();
        if head
            .expected_upstream
            .as_deref()
            .is_some_and(|expected| *expected != *name)
        {
            return self.reject(&head, &Rejection::OTHER_INCARNATION);
        }
        match conduct {
            Conduct::Run(run) => self.run(&head, &run),
            Conduct::Reject(rejection) => self.reject(&head, &rejection),
            Conduct::CloseUnread | Conduct::CloseRead => {
                head.read_body(&mut self.reader);
                Ok(Next::End)
            }
        }
    }

    fn note(&self, id: &str, fate: Fate) {
        let mut state = self.shared.state();
        let handled = Handled {
            id: id.to_owned(),
            fate,
            at: Instant::now(),
            connection: self.number,
            position: self.position,
            upstream: state.name.clone(),
        };
        state.handled.push(handled);
    }

    fn note_run(&self, head: &Head) {
        let is_client_gone = self.is_client_gone();
        self.note(&head.id, Fate::Ran { is_client_gone });
    }

    fn is_client_gone(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let received =
            SockRef::from(&self.stream).recv_with_flags(&mut byte, MSG_PEEK | MSG_DONTWAIT);
        match received {
            Ok(length) => length == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    fn run(&mut self, head: &Head, run: &Run) -> io::Result<Next> {
        if run.begins_at_head {
            self.note_run(head);
        }
        if !head.read_body(&mut self.reader) {
            return Ok(Next::End);
        }
        if !run.begins_at_head {
            self.note_run(head);
        }
        if run.is_announced {
            self.announce(head)?;
        }
        thread::sleep(run.work);
        let name = self.shared.state().name.clone();
        let parts = head.answer(run.status, &name);
        match run.end {
            RunEnd::Answer | RunEnd::AnswerTwice => {
                self.write_repeated()?;
                for part in &parts {
                    self.stream.write_all(part.as_bytes())?;
                    thread::sleep(if parts.len() > 1 {
                        run.gap
                    } else {
                        Duration::ZERO
                    });
                }
                if run.end == RunEnd::AnswerTwice {
                    self.repeated = Some(parts.concat());
                }
                Ok(Next::Request)
            }
            RunEnd::Truncate => {
                let text = parts.concat();
                self.stream.write_all(&text.as_bytes()[..text.len() - 9])?;
                Ok(Next::End)
            }
            RunEnd::Close => Ok(Next::End),
            RunEnd::Reset => self.reset(),
            RunEnd::Silence => {
                thread::sleep(SILENCE);
                Ok(Next::End)
            }
        }
    }

    fn reject(&mut self, head: &Head, rejection: &Rejection) -> io::Result<Next> {
        if !rejection.is_early && !head.read_body(&mut self.reader) {
            return Ok(Next::End);
        }
        thread::sleep(rejection.after);
        self.note(&head.id, Fate::Rejected(rejection.status));
        if rejection.is_announced {
            self.announce(head)?;
        }
        self.write_repeated()?;
        let text = head.rejection(rejection);
        let (first, rest) = text.as_bytes().split_at(text.len() * 2 / 3);
        self.stream.write_all(first)?;
        if let Some(pause) = rejection.split {
            thread::sleep(pause);
        }
        if rejection.then == Then::BreakOff {
            return Ok(Next::End);
        }
        self.stream.write_all(rest)?;
        match rejection.then {
            Then::Keep | Then::RejectAgain => {
                if rejection.is_early && !head.read_body(&mut self.reader) {
                    return Ok(Next::End);
                }
                if rejection.then == Then::RejectAgain {
                    self.repeated = Some(text);
                }
                Ok(Next::Request)
            }
            Then::Reset => self.reset(),
            Then::CloseSaid | Then::Close | Then::BreakOff => Ok(Next::End),
        }
    }

    /// Sends an informational response.
    fn announce(&mut self, head: &Head) -> io::Result<()> {
        let text = format!(
            "HTTP/1.1 103 Early Hints\r\nivyweir-request-id: {}\r\n\r\n",
            head.id
        );
        self.stream.write_all(text.as_bytes())
    }

    fn write_repeated(&mut self) -> io::Result<()> {
        let repeated = self.repeated.take().unwrap_or_default();
        self.stream.write_all(repeated.as_bytes())
    }

    fn reset(&self) -> io::Result<Next> {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
        Ok(Next::End)
    }
}
