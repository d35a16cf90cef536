//! TCP proxies in front of upstreams that fail for the connections of selected processes only.
//!
//! The kernel tells the inode of the socket at the other end of a connection, and the process behind it has a file
//! descriptor for that inode.

use std::collections::HashMap;
use std::fs;
use std::io::{self, Read};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::sync::{OnceCell, watch};
use tokio::task::spawn_blocking;

use crate::loopback::unique_ip;

const BUFFER_BYTES: usize = 16 << 10;
const AF_NETLINK: i32 = 16;
const NETLINK_SOCK_DIAG: i32 = 4;
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
const AF_INET: u8 = 2;
const IPPROTO_TCP: u8 = 6;
/// Length of the netlink header and `inet_diag_req_v2`.
const DIAG_REQUEST_BYTES: usize = 72;
/// Offset of the inode in the netlink header and `inet_diag_msg`.
const DIAG_INODE_OFFSET: usize = 84;

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
    owners: Arc<Mutex<SocketOwners>>,
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
                        tokio::spawn(proxies.clone().serve(client, from, addr, target));
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

    /// Returns the fault of a connection. Its process is looked up once there are faults.
    async fn fault_of(&self, path: &Path) -> Option<PathFault> {
        if lock(&self.faults).is_empty() {
            return None;
        }
        let pid = *path.pid.get_or_init(|| self.find_process(path)).await;
        let faults = lock(&self.faults);
        let of_process = faults.get(&pid?)?;
        let targets = of_process.targets.as_ref();
        let concerns = targets.is_none_or(|targets| targets.contains(&path.target));
        concerns.then_some(of_process.fault)
    }

    /// Finds the process that opened a connection; `None` if it has closed it, or is not one that is told apart.
    async fn find_process(&self, path: &Path) -> Option<u32> {
        let (SocketAddr::V4(from), SocketAddr::V4(to)) = (path.from, path.to) else {
            return None;
        };
        let (proxies, opened_at) = (self.clone(), path.opened_at);
        let found = spawn_blocking(move || {
            let inode = socket_inode(from, to).ok()?;
            let processes = lock(&proxies.processes).clone();
            lock(&proxies.owners).find(inode, &processes, opened_at)
        });
        found.await.ok().flatten()
    }

    async fn serve(
        self,
        client: TcpStream,
        from: SocketAddr,
        addr: SocketAddr,
        target: SocketAddr,
    ) {
        let path = Path {
            proxies: self,
            from,
            to: addr,
            opened_at: Instant::now(),
            pid: OnceCell::new(),
            target,
        };
        if matches!(
            path.fault().await,
            Some(PathFault::Reset | PathFault::RefuseNew)
        ) {
            reset(&client);
            return;
        }
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let _nodelay_result = (client.set_nodelay(true), server.set_nodelay(true));
        let (mut client_read, mut client_write) = client.into_split();
        let (mut server_read, mut server_write) = server.into_split();
        let broke = tokio::select! {
            broke = path.copy(&mut client_read, &mut server_write) => broke,
            broke = path.copy(&mut server_read, &mut client_write) => broke,
        };
        if broke {
            reset(client_write.as_ref());
            // Dropping it would end the connection in order before the reset.
            client_write.forget();
        }
    }
}

/// Path of one connection.
struct Path {
    proxies: PathProxies,
    /// Address of the process that opened the connection.
    from: SocketAddr,
    /// Address of the proxy.
    to: SocketAddr,
    opened_at: Instant,
    /// The process; `None` if it is none of those that are told apart.
    pid: OnceCell<Option<u32>>,
    target: SocketAddr,
}

impl Path {
    async fn fault(&self) -> Option<PathFault> {
        self.proxies.fault_of(self).await
    }

    /// Copies data until the connection ends; returns whether it is to be reset, by a fault or as its other end was.
    async fn copy(&self, from: &mut OwnedReadHalf, to: &mut OwnedWriteHalf) -> bool {
        let mut changes = self.proxies.changes.subscribe();
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let fault = self.fault().await;
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
            let read = match read {
                Ok(0) => return false,
                Ok(read) => read,
                Err(_) => return true,
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

/// The process of each socket inode, for the processes that are told apart.
#[derive(Debug, Default)]
struct SocketOwners {
    scan_began: Option<Instant>,
    by_inode: HashMap<u64, u32>,
}

impl SocketOwners {
    /// Returns which of these processes has a socket, as found by a scan that began after `since`.
    fn find(&mut self, inode: u64, processes: &[u32], since: Instant) -> Option<u32> {
        let known = self.by_inode.get(&inode).copied();
        if known.is_some() || self.scan_began.is_some_and(|began| began >= since) {
            return known;
        }
        self.scan_began = Some(Instant::now());
        self.by_inode = scan(processes);
        self.by_inode.get(&inode).copied()
    }
}

/// Returns the processes that have sockets, by inode.
fn scan(processes: &[u32]) -> HashMap<u64, u32> {
    let mut by_inode = HashMap::new();
    for pid in processes {
        // A process that has ended has no sockets.
        let descriptors = fs::read_dir(format!("/proc/{pid}/fd"));
        for descriptor in descriptors.into_iter().flatten() {
            let link = descriptor.and_then(|entry| fs::read_link(entry.path()));
            let link = link.map(|link| link.to_string_lossy().into_owned());
            let inode = link.ok().and_then(|link| parse_inode(&link));
            by_inode.extend(inode.map(|inode| (inode, *pid)));
        }
    }
    by_inode
}

fn parse_inode(link: &str) -> Option<u64> {
    let inode = link.strip_prefix("socket:[")?.strip_suffix(']')?;
    inode.parse().ok()
}

/// Returns the inode of the TCP socket that is bound to `local` and connected to `remote`, by a query of the kernel's
/// socket diagnostics.
fn socket_inode(local: SocketAddrV4, remote: SocketAddrV4) -> io::Result<u64> {
    let mut request = Vec::with_capacity(DIAG_REQUEST_BYTES);
    request.extend((DIAG_REQUEST_BYTES as u32).to_ne_bytes());
    request.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    request.extend(NLM_F_REQUEST.to_ne_bytes());
    // Sequence number and port of the sender.
    request.extend([0; 8]);
    request.extend([AF_INET, IPPROTO_TCP, 0, 0]);
    // All states of connections.
    request.extend(u32::MAX.to_ne_bytes());
    request.extend(local.port().to_be_bytes());
    request.extend(remote.port().to_be_bytes());
    for addr in [local, remote] {
        request.extend(addr.ip().octets());
        // The rest of an IPv6 address.
        request.extend([0; 12]);
    }
    // Any interface, and no cookie.
    request.extend([0; 4]);
    request.extend([u8::MAX; 8]);
    let mut socket = Socket::new(
        Domain::from(AF_NETLINK),
        Type::RAW,
        Some(Protocol::from(NETLINK_SOCK_DIAG)),
    )?;
    socket.send(&request)?;
    let mut response = [0; 512];
    let length = socket.read(&mut response)?;
    let inode = response[..length].get(DIAG_INODE_OFFSET..DIAG_INODE_OFFSET + 4);
    let inode = inode.and_then(|bytes| bytes.try_into().ok());
    let inode = inode.ok_or_else(|| io::Error::other("no such socket"))?;
    Ok(u32::from_ne_bytes(inode).into())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("mutex is not poisoned")
}
