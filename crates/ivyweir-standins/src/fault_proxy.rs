//! A TCP gateway that injects faults between two processes.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use crate::loopback::unique_ip;

const STACK_BYTES: usize = 64 << 10;
const PIECE_BYTES: usize = 16 << 10;
const POLL: Duration = Duration::from_millis(5);

/// What the gateway does to connections, new and open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Each piece waits this long, in both directions.
    DelayMs(u64),
    /// Connections are closed.
    Cut,
    /// Connections stay open and carry nothing.
    HalfOpen,
    /// What the target sends is lost.
    LoseAnswers,
    /// The target's answers end after so many bytes of each connection.
    TruncateAfter(usize),
}

/// A running gateway.
pub struct FaultProxy {
    addr: SocketAddr,
    fault: Arc<Mutex<Fault>>,
    target: Arc<Mutex<String>>,
}

impl FaultProxy {
    /// Starts a gateway to `target` on a free port.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub fn start(target: &str) -> io::Result<Self> {
        Self::start_on(Ipv4Addr::LOCALHOST, target)
    }

    /// Starts a gateway to `target` on a free port of an address that no box or other test has: nobody who calls a
    /// process that ended finds it there.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub fn start_on_unique_ip(target: &str) -> io::Result<Self> {
        Self::start_on(unique_ip(), target)
    }

    fn start_on(ip: Ipv4Addr, target: &str) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let addr = listener.local_addr()?;
        let fault = Arc::new(Mutex::new(Fault::None));
        let target = Arc::new(Mutex::new(target.to_owned()));
        let shared = fault.clone();
        let shared_target = target.clone();
        spawn(move || {
            for client in listener.incoming().flatten() {
                let fault = shared.clone();
                let target = lock(&shared_target).clone();
                spawn(move || connect(client, &target, &fault));
            }
        });
        Ok(Self {
            addr,
            fault,
            target,
        })
    }

    /// Where it listens.
    pub fn addr(&self) -> String {
        self.addr.to_string()
    }

    /// Sets what it does.
    pub fn set(&self, fault: Fault) {
        *lock(&self.fault) = fault;
    }

    /// Sets where new connections go.
    pub fn set_target(&self, target: &str) {
        target.clone_into(&mut lock(&self.target));
    }
}

fn spawn(run: impl FnOnce() + Send + 'static) {
    thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(run)
        .expect("threads can be made");
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics with the lock")
}

fn current(fault: &Mutex<Fault>) -> Fault {
    *lock(fault)
}

fn connect(client: TcpStream, target: &str, fault: &Arc<Mutex<Fault>>) {
    if current(fault) == Fault::Cut {
        return;
    }
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    let (Ok(client_in), Ok(server_in)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let towards = fault.clone();
    spawn(move || carry(client_in, server, &towards, false));
    carry(server_in, client, fault, true);
}

/// Carries bytes one way until an end, a cut or a truncation.
fn carry(mut from: TcpStream, mut to: TcpStream, fault: &Mutex<Fault>, is_answer: bool) {
    let _no_delay = to.set_nodelay(true);
    let _poll = from.set_read_timeout(Some(POLL));
    let mut piece = vec![0; PIECE_BYTES];
    let mut carried = 0;
    loop {
        let fault_now = current(fault);
        if fault_now == Fault::Cut {
            break;
        }
        if fault_now == Fault::HalfOpen {
            thread::sleep(POLL);
            continue;
        }
        let read = match from.read(&mut piece) {
            Ok(0) => break,
            Ok(read) => read,
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                continue;
            }
            Err(_) => break,
        };
        let mut keep = read;
        match current(fault) {
            Fault::DelayMs(ms) => thread::sleep(Duration::from_millis(ms)),
            Fault::LoseAnswers if is_answer => continue,
            Fault::TruncateAfter(limit) if is_answer => {
                keep = read.min(limit.saturating_sub(carried))
            }
            _ => {}
        }
        carried += keep;
        if to.write_all(&piece[..keep]).is_err() || keep < read {
            break;
        }
    }
    let _closed = from.shutdown(Shutdown::Both);
    let _closed = to.shutdown(Shutdown::Both);
}
