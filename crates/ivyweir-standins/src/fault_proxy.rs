//! A TCP proxy that injects network faults between two processes.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use crate::loopback::unique_ip;

const THREAD_STACK_BYTES: usize = 64 << 10;
const BUFFER_BYTES: usize = 16 << 10;
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A fault that the proxy injects into new and open connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Each chunk is delayed by this many milliseconds, in both directions.
    DelayMs(u64),
    /// Open connections are closed, and new ones are closed on accept.
    Cut,
    /// Connections stay open but transfer no data.
    HalfOpen,
    /// Data sent by the target is discarded.
    LoseAnswers,
    /// Each connection is closed after the target has sent this many bytes.
    TruncateAfter(usize),
}

/// A running proxy.
pub struct FaultProxy {
    addr: SocketAddr,
    fault: Arc<Mutex<Fault>>,
    target: Arc<Mutex<String>>,
}

impl FaultProxy {
    /// Starts a proxy to `target` on a free port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(target: &str) -> io::Result<Self> {
        Self::start_on(Ipv4Addr::LOCALHOST, target)
    }

    /// Starts a proxy to `target` on a free port of a loopback address that boxes do not use and other test
    /// processes are unlikely to use.
    ///
    /// On 127.0.0.1 the proxy could be assigned the port of a process that has exited, and would then receive
    /// requests from clients that still call that process.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
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
        spawn_thread(move || {
            for client in listener.incoming().flatten() {
                let fault = shared.clone();
                let target = lock(&shared_target).clone();
                spawn_thread(move || proxy_connection(client, &target, &fault));
            }
        });
        Ok(Self {
            addr,
            fault,
            target,
        })
    }

    /// Returns the socket address that the proxy listens on.
    pub fn addr(&self) -> String {
        self.addr.to_string()
    }

    /// Sets the injected fault.
    pub fn set(&self, fault: Fault) {
        *lock(&self.fault) = fault;
    }

    /// Sets the target address of new connections.
    pub fn set_target(&self, target: &str) {
        target.clone_into(&mut lock(&self.target));
    }
}

fn spawn_thread(run: impl FnOnce() + Send + 'static) {
    thread::Builder::new()
        .stack_size(THREAD_STACK_BYTES)
        .spawn(run)
        .expect("failed to spawn a proxy thread");
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("mutex is not poisoned")
}

fn current_fault(fault: &Mutex<Fault>) -> Fault {
    *lock(fault)
}

fn proxy_connection(client: TcpStream, target: &str, fault: &Arc<Mutex<Fault>>) {
    if current_fault(fault) == Fault::Cut {
        return;
    }
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    let (Ok(client_in), Ok(server_in)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let request_fault = fault.clone();
    spawn_thread(move || forward(client_in, server, &request_fault, false));
    forward(server_in, client, fault, true);
}

/// Copies data in one direction until the connection ends or a fault closes it.
fn forward(mut from: TcpStream, mut to: TcpStream, fault: &Mutex<Fault>, is_response: bool) {
    let _nodelay_result = to.set_nodelay(true);
    let _timeout_result = from.set_read_timeout(Some(POLL_INTERVAL));
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut forwarded = 0;
    loop {
        let active_fault = current_fault(fault);
        if active_fault == Fault::Cut {
            break;
        }
        if active_fault == Fault::HalfOpen {
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        let read = match from.read(&mut buffer) {
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
        let mut forward_len = read;
        match current_fault(fault) {
            Fault::DelayMs(ms) => thread::sleep(Duration::from_millis(ms)),
            Fault::LoseAnswers if is_response => continue,
            Fault::TruncateAfter(limit) if is_response => {
                forward_len = read.min(limit.saturating_sub(forwarded))
            }
            _ => {}
        }
        forwarded += forward_len;
        if to.write_all(&buffer[..forward_len]).is_err() || forward_len < read {
            break;
        }
    }
    let _shutdown_result = from.shutdown(Shutdown::Both);
    let _shutdown_result = to.shutdown(Shutdown::Both);
}
