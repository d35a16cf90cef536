//! Test cluster of a store, upstreams and boxes, with an HTTP client for calls to the boxes.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::ext::ReasonPhrase;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use ivyweir_policy::gateway::site::{
    CallerLimits, PoolShare, PoolSpec, Route, RouteKind, SiteConfig, Workspace,
};
use serde_json::{Value, json};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::gateway_process::{BoxSpec, GatewayProcess};
use super::record_store::RecordStore;
use super::scripted_upstream::ScriptedUpstream;

/// The host of all routes.
pub const HOST: &str = "studio.example";
/// The workspace in the configuration of each cluster.
pub const WORKSPACE: &str = "studio";
/// The caller key of [`WORKSPACE`].
pub const KEY: &str = "key-of-the-studio";
/// Grace of a stop, in seconds.
const DEFAULT_STOP_GRACE_S: u64 = 8;
/// Maximum number of seed addresses given to a new box.
const MAX_SEEDS: usize = 3;
/// Maximum time for a condition to become true.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// A store, upstreams and boxes.
pub struct TestCluster {
    /// The store.
    pub store: RecordStore,
    /// Upstreams of the pool `engines`.
    pub engines: Vec<ScriptedUpstream>,
    /// Upstreams of the pool `services`.
    pub services: Vec<ScriptedUpstream>,
    /// The boxes; other methods identify a box by its index here.
    pub boxes: Vec<GatewayProcess>,
    /// The `policy` section in the settings of boxes started from now on.
    pub policy: Value,
    /// The `duties` section in the settings of boxes started from now on; null for none.
    pub duties: Value,
    /// The platform's contracts in the settings of boxes started from now on; empty by default.
    pub contracts: Vec<&'static str>,
    /// Memory of the machine in the settings of boxes started from now on; 110 MB by default.
    pub memory_mb: u64,
    /// Grace of a stop in the settings of boxes started from now on; 8 s by default.
    pub stop_grace_s: u64,
    binary: PathBuf,
    folder: PathBuf,
}

impl TestCluster {
    /// Starts a store and two upstreams per pool, without any boxes.
    pub fn start(binary: impl Into<PathBuf>) -> Self {
        static CLUSTER_COUNT: AtomicU64 = AtomicU64::new(0);
        let number = CLUSTER_COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("ivyweir-town-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("temporary folder is writable");
        let store = RecordStore::start();
        let upstream = |pool: &str, n: usize| {
            // Boxes and stores listen on the shared loopback address, and are called there after they ended.
            let upstream = ScriptedUpstream::start_on_own_ip(&format!("{pool}-{n}"), pool, "v1");
            store.put_upstream(&upstream.record());
            upstream
        };
        let engines = (0..2).map(|n| upstream("engines", n)).collect();
        let services = (0..2).map(|n| upstream("services", n)).collect();
        store.put_site(&site_config(1, &[KEY]));
        Self {
            store,
            engines,
            services,
            boxes: Vec::new(),
            policy: json!({}),
            duties: Value::Null,
            contracts: Vec::new(),
            memory_mb: 110,
            stop_grace_s: DEFAULT_STOP_GRACE_S,
            binary: binary.into(),
            folder,
        }
    }

    /// Starts a store, two upstreams per pool, and one box in each of these halls; waits until the boxes are ready.
    pub fn with_boxes(binary: impl Into<PathBuf>, halls: &[&str]) -> Self {
        let mut cluster = Self::start(binary);
        for hall in halls {
            cluster.add_box(hall);
        }
        cluster
    }

    /// Starts a box that reaches the store directly, and waits until it is ready.
    pub fn add_box(&mut self, hall: &str) -> usize {
        let store_addr = self.store.addr().to_string();
        self.add_box_with_store_addr(hall, &store_addr)
    }

    /// Starts a box that reaches the store at `store_addr`, and waits until it is ready.
    pub fn add_box_with_store_addr(&mut self, hall: &str, store_addr: &str) -> usize {
        let number = self.start_box(hall, store_addr);
        eventually("the box is ready", || self.is_ready(number));
        number
    }

    /// Starts a box that reaches the store at `store_addr`, without waiting until it is ready.
    pub fn start_box(&mut self, hall: &str, store_addr: &str) -> usize {
        let number = self.boxes.len();
        let started = self.start_process(number, hall, store_addr);
        self.boxes.push(started);
        number
    }

    /// Kills a box and starts another process of it, without waiting until that is ready.
    pub fn restart_box(&mut self, number: usize, hall: &str) {
        self.boxes[number].kill();
        let store_addr = self.store.addr().to_string();
        self.boxes[number] = self.start_process(number, hall, &store_addr);
    }

    fn start_process(&self, number: usize, hall: &str, store_addr: &str) -> GatewayProcess {
        let name = format!("box-{number}");
        let seed_addrs = self.seed_addrs();
        let spec = BoxSpec {
            name: &name,
            hall,
            store_addr,
            peer_addr: any_port(),
            seed_addrs: &seed_addrs,
            policy: &self.policy,
            duties: &self.duties,
            contracts: &self.contracts,
            memory_mb: self.memory_mb,
            stop_grace_s: self.stop_grace_s,
        };
        GatewayProcess::start(&self.binary, &self.folder, &spec)
    }

    /// Returns the seed addresses for a box started now.
    pub fn seed_addrs(&self) -> Vec<SocketAddr> {
        let first = self.boxes.iter().take(MAX_SEEDS);
        first.map(|running| running.peer_addr).collect()
    }

    /// Returns whether the readiness probe of a box succeeds.
    pub fn is_ready(&self, number: usize) -> bool {
        let reply = get(self.boxes[number].ready_addr, "/readyz", &[]);
        reply.is_ok_and(|reply| reply.status == 200)
    }

    /// Sends a request with this key to a box and returns the status, or 0 if there is no response.
    pub fn status(&self, number: usize, key: &str) -> u16 {
        let auth = format!("Bearer {key}");
        let headers = [
            ("ivyweir-request-id", "r1"),
            ("authorization", auth.as_str()),
        ];
        get(self.addr(number), "/safe/x", &headers).map_or(0, |reply| reply.status)
    }

    /// Returns the caller address of a box.
    pub fn addr(&self, number: usize) -> SocketAddr {
        self.boxes[number].caller_addr
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        self.boxes.clear();
        if thread::panicking() {
            println!("logs of the boxes are kept in {}", self.folder.display());
            return;
        }
        // A folder that cannot be removed does not fail the test.
        let _ignored = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns a loopback address whose port 0 selects a free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Waits until `condition` holds.
///
/// # Panics
///
/// Panics if the condition does not hold within 30 s.
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "condition not met within 30 s: {what}"
        );
        thread::sleep(Duration::from_millis(10));
    }
}

/// Builds a configuration with a route of each kind and a workspace with these keys.
pub fn site_config(version: u64, keys: &[&str]) -> SiteConfig {
    let route = |name: &str, kind: RouteKind, pool: &str, max_attempts: u32| {
        Arc::new(Route {
            name: name.into(),
            host: HOST.into(),
            path_prefix: format!("/{name}/").into(),
            kind,
            timeout_ms: 4_000,
            latency_aim_ms: 500,
            priority: 1,
            models: Vec::new(),
            pools: vec![PoolShare {
                pool: pool.into(),
                weight: 1,
            }],
            max_attempts,
            anonymous: false,
        })
    };
    let stream = RouteKind::Stream {
        resumable: true,
        gap_aim_ms: 1_000,
    };
    let mut sized = (*route("sized", stream, "engines", 3)).clone();
    sized.models = vec!["small".into(), "large".into()];
    let pool = |name: &str, is_engine: bool| PoolSpec {
        name: name.into(),
        max_connections: 100,
        is_engine,
        engine: None,
        cold_start: None,
        scaling: None,
    };
    SiteConfig {
        version,
        routes: vec![
            route("safe", RouteKind::Safe, "services", 2),
            route("unsafe", RouteKind::Unsafe, "services", 1),
            route("stream", stream, "engines", 3),
            Arc::new(sized),
        ],
        pools: vec![pool("engines", true), pool("services", false)],
        limits: Some(CallerLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 65_536,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }),
        workspaces: vec![Arc::new(Workspace {
            name: WORKSPACE.into(),
            keys: keys.iter().map(|key| (*key).into()).collect(),
            priority: None,
        })],
    }
}

/// Builds the configuration of [`site_config`] with a further route, `/once/`, of streams that may not be repeated.
pub fn site_config_with_once(version: u64, keys: &[&str]) -> SiteConfig {
    let mut site = site_config(version, keys);
    let stream = site.routes.iter().find(|route| &*route.name == "stream");
    let mut once = (**stream.expect("a stream route")).clone();
    once.name = "once".into();
    once.path_prefix = "/once/".into();
    once.kind = RouteKind::Stream {
        resumable: false,
        gap_aim_ms: 1_000,
    };
    site.routes.push(Arc::new(once));
    site
}

/// Builds the configuration of [`site_config`] with all routes before one plain pool. A request may be sent three times,
/// and streams may not be repeated.
pub fn site_config_for_pool(version: u64, keys: &[&str], pool: &str) -> SiteConfig {
    let mut site = site_config(version, keys);
    let plain = site.pools.iter().find(|pool| !pool.is_engine);
    let mut spec = plain.expect("a plain pool").clone();
    spec.name = pool.into();
    site.pools.push(spec);
    for route in &mut site.routes {
        let route = Arc::make_mut(route);
        route.pools = vec![PoolShare {
            pool: pool.into(),
            weight: 1,
        }];
        route.max_attempts = 3;
        if let RouteKind::Stream { resumable, .. } = &mut route.kind {
            *resumable = false;
        }
    }
    site
}

/// A response received by a caller.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The reason, unless it is the usual one for the status.
    pub reason: Option<String>,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, as far as it was received.
    pub body: Bytes,
    /// Whether the body was received to its end.
    pub is_complete: bool,
}

impl Reply {
    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Returns the event ids in a body, in order.
pub fn event_ids(body: &str) -> Vec<u64> {
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

/// Sends a GET request without a body.
///
/// # Errors
///
/// Returns an error if no response head is received.
pub fn get(addr: SocketAddr, path: &str, headers: &[(&str, &str)]) -> io::Result<Reply> {
    call(addr, "GET", path, headers, Bytes::new())
}

/// Sends a POST request for a stream, with the key [`KEY`].
///
/// # Errors
///
/// Returns an error if no response head is received.
pub fn post_stream(addr: SocketAddr, path: &str, request_id: &str) -> io::Result<Reply> {
    let headers = [
        ("ivyweir-request-id", request_id),
        ("authorization", "Bearer key-of-the-studio"),
        ("ivyweir-model", "*"),
    ];
    call(addr, "POST", path, &headers, Bytes::from_static(b"prompt"))
}

/// Sends a request on a new connection.
///
/// # Errors
///
/// Returns an error if no response head is received.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> io::Result<Reply> {
    KeptConnection::open(addr)?.call(method, path, headers, body)
}

/// A connection that a caller keeps for its next requests.
pub struct KeptConnection {
    runtime: Runtime,
    sender: SendRequest<Full<Bytes>>,
}

impl KeptConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if nothing listens at the address.
    pub fn open(addr: SocketAddr) -> io::Result<Self> {
        let runtime = runtime();
        let sender = runtime.block_on(async {
            let stream = TcpStream::connect(addr).await?;
            let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
                .await
                .map_err(io::Error::other)?;
            tokio::spawn(connection);
            io::Result::Ok(sender)
        })?;
        Ok(Self { runtime, sender })
    }

    /// Sends a request and reads the response to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if no response head is received, as on a connection that was closed.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> io::Result<Reply> {
        let request = build_request(method, path, headers, body)?;
        let sender = &mut self.sender;
        self.runtime.block_on(async {
            sender.ready().await.map_err(io::Error::other)?;
            let answer = sender.send_request(request).await;
            Ok(read(answer.map_err(io::Error::other)?).await)
        })
    }

    /// Sends a request and disconnects after a while without reading the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the request cannot be sent.
    pub fn call_and_leave(
        mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        after: Duration,
    ) -> io::Result<()> {
        let request = build_request(method, path, headers, body)?;
        self.runtime.block_on(async {
            // Neither a response nor the end of the connection matters to a caller that leaves.
            let _ignored = timeout(after, self.sender.send_request(request)).await;
        });
        Ok(())
    }
}

fn build_request(
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> io::Result<Request<Full<Bytes>>> {
    let mut request = Request::builder().method(method).uri(path);
    if !headers.iter().any(|(name, _)| *name == "host") {
        request = request.header("host", HOST);
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Full::new(body)).map_err(io::Error::other)
}

async fn read(answer: Response<Incoming>) -> Reply {
    let (head, mut incoming) = answer.into_parts();
    let mut body = Vec::new();
    let mut is_complete = true;
    while let Some(frame) = incoming.frame().await {
        match frame {
            Ok(frame) => body.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
            Err(_) => {
                is_complete = false;
                break;
            }
        }
    }
    let reason = head.extensions.get::<ReasonPhrase>();
    Reply {
        status: head.status.as_u16(),
        reason: reason.map(|reason| String::from_utf8_lossy(reason.as_bytes()).into_owned()),
        headers: head.headers,
        body: Bytes::from(body),
        is_complete,
    }
}

fn runtime() -> Runtime {
    let mut builder = Builder::new_current_thread();
    builder
        .enable_all()
        .build()
        .expect("Tokio runtime can be built")
}

/// Serves HTTP on a free loopback port, on a thread that runs until the process exits.
pub fn serve_on_thread<F, A, B, E>(answer: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = Result<Response<B>, E>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    E: Into<Box<dyn std::error::Error + Send + Sync>> + 'static,
{
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback port can be bound");
    serve_until(listener, Arc::default(), Arc::default(), answer)
}

/// Serves HTTP on a thread until `end` is notified, which closes all connections at once, and the listener after
/// `listener_linger_ms` more. Meanwhile the kernel accepts connections that nobody reads. Each request has the
/// `Arc<Socket>` of its connection as an extension.
pub fn serve_until<F, A, B, E>(
    listener: std::net::TcpListener,
    end: Arc<Notify>,
    listener_linger_ms: Arc<AtomicU64>,
    answer: F,
) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = Result<Response<B>, E>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    E: Into<Box<dyn std::error::Error + Send + Sync>> + 'static,
{
    listener
        .set_nonblocking(true)
        .expect("listener can be set to non-blocking");
    let addr = listener.local_addr().expect("listener has a local address");
    thread::spawn(move || {
        let mut lingering = None;
        runtime().block_on(async {
            let accepting = listener.try_clone().expect("listener handle can be cloned");
            let accepting = TcpListener::from_std(accepting)
                .expect("listener can be registered with the runtime");
            let serving = async {
                loop {
                    let Ok((stream, _)) = accepting.accept().await else {
                        continue;
                    };
                    let Ok(socket) = SockRef::from(&stream).try_clone() else {
                        continue;
                    };
                    let (answer, socket) = (answer.clone(), Arc::new(socket));
                    let service = service_fn(move |mut request: Request<Incoming>| {
                        request.extensions_mut().insert(socket.clone());
                        answer(request)
                    });
                    let connection =
                        server::Builder::new().serve_connection(TokioIo::new(stream), service);
                    tokio::spawn(async move {
                        // A caller may disconnect at any time, which ends the connection with an error.
                        let _ignored = connection.await;
                    });
                }
            };
            tokio::select! {
                () = serving => {}
                () = end.notified() => {}
            }
            // The runtime closes the connections when it is dropped, after this future.
            let linger_ms = listener_linger_ms.load(Ordering::SeqCst);
            if linger_ms > 0 {
                lingering = Some((listener, Duration::from_millis(linger_ms)));
            } else {
                drop(listener);
            }
        });
        if let Some((listener, linger)) = lingering {
            thread::sleep(linger);
            drop(listener);
        }
    });
    addr
}
