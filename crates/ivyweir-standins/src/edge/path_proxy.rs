//! TCP proxies in front of upstreams that fail for the connections of selected processes only.
//!
//! The process behind a connection is found in `/proc`: the table of TCP sockets names the inode of the socket at the
//! other end, and the process has a file descriptor for it.

use std::collections::HashMap;
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::sync::watch;

use crate::loopback::unique_ip;

const BUFFER_BYTES: usize = 16 << 10;
/// Field of the local address in a line of `/proc/net/tcp`, after the number of the line.
const LOCAL_ADDR_FIELD: usize = 1;
/// Field of the inode in a line of `/proc/net/tcp`.
const INODE_FIELD: usize = 9;

/// Fault of the paths from a process to upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathFault {
    /// Connections stay open and transfer no data; new ones are accepted and transfer none either.
    Hang,
    /// Open connections and new ones are reset.
    Reset,
    /// Open connections work, new ones are reset.
    RefuseNew,
}

/// Fault of a process, and the upstreams that it concerns.
#[derive(Debug, Clone)]
struct ProcessFault {
    fault: PathFault,
    /// Targets of the proxies that fail; `None` for all.
    targets: Option<Vec<SocketAddr>>,
}

/// Proxies in front of upstreams, with faults by process.
#[derive(Debug, Clone, Default)]
pub struct PathProxies {
    faults: Arc<Mutex<HashMap<u32, ProcessFault>>>,
    changes: watch::Sender<u64>,
    /// Processes whose connections are told apart.
    processes: Arc<Mutex<Vec<u32>>>,
}

impl PathProxies {
    /// Starts a proxy to `target` and returns its address.
    ///
    /// # Panics
    ///
    /// Panics if no loopback port can be bound.
    pub fn start_proxy(&self, target: SocketAddr) -> SocketAddr {
        let listener = std::net::TcpListener::bind((unique_ip(), 0)).expect("free loopback port");
        listener.set_nonblocking(true).expect("non-blocking mode");
        let addr = listener.local_addr().expect("listener has an address");
        let proxies = self.clone();
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("Tokio runtime can be built");
            runtime.block_on(async {
                let listener = TcpListener::from_std(listener).expect("listener is registered");
                loop {
                    if let Ok((client, from)) = listener.accept().await {
                        tokio::spawn(proxies.clone().serve(client, from, target));
                    }
                }
            });
        });
        addr
    }

    /// Tells the connections of a process apart from now on.
    pub fn add_process(&self, pid: u32) {
        lock(&self.processes).push(pid);
    }

    /// Sets the fault of the paths from a process to all upstreams.
    pub fn set_fault(&self, pid: u32, fault: PathFault) {
        self.insert(pid, fault, None);
    }

    /// Sets the fault of the paths from a process to the upstreams at these addresses.
    pub fn set_fault_to(&self, pid: u32, fault: PathFault, targets: Vec<SocketAddr>) {
        self.insert(pid, fault, Some(targets));
    }

    fn insert(&self, pid: u32, fault: PathFault, targets: Option<Vec<SocketAddr>>) {
        let fault = ProcessFault { fault, targets };
        lock(&self.faults).insert(pid, fault);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Ends all faults.
    pub fn heal(&self) {
        lock(&self.faults).clear();
        self.changes.send_modify(|count| *count += 1);
    }

    fn fault_of(&self, pid: Option<u32>, target: SocketAddr) -> Option<PathFault> {
        let faults = lock(&self.faults);
        let of_process = faults.get(&pid?)?;
        let targets = of_process.targets.as_ref();
        let concerns = targets.is_none_or(|targets| targets.contains(&target));
        concerns.then_some(of_process.fault)
    }

    async fn serve(self, client: TcpStream, from: SocketAddr, target: SocketAddr) {
        let processes = lock(&self.processes).clone();
        let pid = process_of(from, &processes);
        if matches!(
            self.fault_of(pid, target),
            Some(PathFault::Reset | PathFault::RefuseNew)
        ) {
            reset(&client);
            return;
        }
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let _nodelay_result = (client.set_nodelay(true), server.set_nodelay(true));
        let path = Path {
            proxies: self,
            pid,
            target,
        };
        let client_socket = SockRef::from(&client).try_clone();
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let broke = tokio::select! {
            broke = path.copy(client_read, server_write) => broke,
            broke = path.copy(server_read, client_write) => broke,
        };
        if let (true, Ok(client)) = (broke, client_socket) {
            let _linger_result = client.set_linger(Some(Duration::ZERO));
        }
    }
}

/// Path of one connection.
struct Path {
    proxies: PathProxies,
    pid: Option<u32>,
    target: SocketAddr,
}

impl Path {
    fn fault(&self) -> Option<PathFault> {
        self.proxies.fault_of(self.pid, self.target)
    }

    /// Copies data until the connection ends; returns whether a fault resets it.
    async fn copy(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> bool {
        let mut changes = self.proxies.changes.subscribe();
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let fault = self.fault();
            if fault == Some(PathFault::Reset) {
                return true;
            }
            if fault == Some(PathFault::Hang) {
                let _changed = changes.changed().await;
                continue;
            }
            let read = tokio::select! {
                biased;
                _changed = changes.changed() => continue,
                read = from.read(&mut buffer) => read,
            };
            let Ok(read @ 1..) = read else {
                return false;
            };
            if to.write_all(&buffer[..read]).await.is_err() {
                return false;
            }
        }
    }
}

fn reset(stream: &TcpStream) {
    let _linger_result = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Returns which of these processes has the socket at `addr`.
fn process_of(addr: SocketAddr, processes: &[u32]) -> Option<u32> {
    let inode = socket_inode(addr)?;
    let link = format!("socket:[{inode}]");
    let owns = |pid: &u32| has_descriptor(*pid, &link).unwrap_or(false);
    processes.iter().copied().find(owns)
}

fn socket_inode(addr: SocketAddr) -> Option<String> {
    let SocketAddr::V4(addr) = addr else {
        return None;
    };
    let ip = u32::from_ne_bytes(Ipv4Addr::octets(addr.ip()));
    let local = format!("{ip:08X}:{:04X}", addr.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let lines = table.lines().map(|line| line.split_whitespace());
    let mut lines = lines.map(|fields| fields.collect::<Vec<_>>());
    let line = lines.find(|fields| fields.get(LOCAL_ADDR_FIELD) == Some(&local.as_str()))?;
    line.get(INODE_FIELD).map(|inode| (*inode).to_owned())
}

fn has_descriptor(pid: u32, link: &str) -> io::Result<bool> {
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd"))?;
    let mut links = descriptors.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    Ok(links.any(|target| target.to_string_lossy() == link))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("mutex is not poisoned")
}
