//! A store, upstreams and boxes together, and callers of the boxes.

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
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use ivyweir_policy::gateway::site::{
    CallerLimits, PoolShare, PoolSpec, Route, RouteKind, SiteConfig, Workspace,
};
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::Notify;

use super::gateway_process::{BoxSpec, GatewayProcess};
use super::record_store::RecordStore;
use super::scripted_upstream::ScriptedUpstream;

/// The host of all routes.
pub const HOST: &str = "studio.example";
/// The workspace of every town.
pub const WORKSPACE: &str = "studio";
/// Its key.
pub const KEY: &str = "key-of-the-studio";
/// Boxes at which others join.
const MAX_SEEDS: usize = 3;
/// Time for a condition to come true.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// A store, upstreams and boxes.
pub struct TestCluster {
    /// The store.
    pub store: RecordStore,
    /// Upstreams of the pool `engines`.
    pub engines: Vec<ScriptedUpstream>,
    /// Upstreams of the pool `services`.
    pub services: Vec<ScriptedUpstream>,
    /// The boxes.
    pub boxes: Vec<GatewayProcess>,
    /// The `policy` section in the settings of boxes that start from now on.
    pub policy: Value,
    /// The `duties` section in the settings of boxes that start from now on; null for none.
    pub duties: Value,
    binary: PathBuf,
    folder: PathBuf,
}

impl TestCluster {
    /// Starts a store, two upstreams a pool, and no box yet.
    pub fn start(binary: impl Into<PathBuf>) -> Self {
        static CLUSTER_COUNT: AtomicU64 = AtomicU64::new(0);
        let number = CLUSTER_COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("ivyweir-town-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
        let store = RecordStore::start();
        let upstream = |pool: &str, n: usize| {
            let upstream = ScriptedUpstream::start(&format!("{pool}-{n}"), pool, "v1");
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
            binary: binary.into(),
            folder,
        }
    }

    /// Starts a store, two upstreams a pool, and a box in each of these halls; waits until they are ready.
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

    /// Starts a box that reaches the store at `store_addr`, whether it becomes ready or not.
    pub fn start_box(&mut self, hall: &str, store_addr: &str) -> usize {
        let number = self.boxes.len();
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
        };
        let started = GatewayProcess::start(&self.binary, &self.folder, &spec);
        self.boxes.push(started);
        number
    }

    /// Addresses at which a box that starts now joins the others.
    pub fn seed_addrs(&self) -> Vec<SocketAddr> {
        let first = self.boxes.iter().take(MAX_SEEDS);
        first.map(|running| running.peer_addr).collect()
    }

    /// Whether a box tells the balancer that it takes connections.
    pub fn is_ready(&self, number: usize) -> bool {
        let reply = get(self.boxes[number].ready_addr, "/readyz", &[]);
        reply.is_ok_and(|reply| reply.status == 200)
    }

    /// Status of a plain request with this key to a box; 0 if there is no answer.
    pub fn status(&self, number: usize, key: &str) -> u16 {
        let auth = format!("Bearer {key}");
        let headers = [
            ("ivyweir-request-id", "r1"),
            ("authorization", auth.as_str()),
        ];
        get(self.addr(number), "/safe/x", &headers).map_or(0, |reply| reply.status)
    }

    /// Where callers reach a box.
    pub fn addr(&self, number: usize) -> SocketAddr {
        self.boxes[number].caller_addr
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        self.boxes.clear();
        let _ignored = std::fs::remove_dir_all(&self.folder);
    }
}

/// Any free port of loopback.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Waits until `condition` holds.
///
/// # Panics
///
/// When it does not within half a minute.
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "{what} did not come true");
        thread::sleep(Duration::from_millis(10));
    }
}

/// A configuration with a route of each kind, and a workspace with these keys.
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

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, as far as it came.
    pub body: Bytes,
    /// Whether the body came to its end.
    pub is_complete: bool,
}

impl Reply {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Ids of events in a body, in order.
pub fn event_ids(body: &str) -> Vec<u64> {
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

/// Asks for a path without a body.
///
/// # Errors
///
/// When no head of an answer came.
pub fn get(addr: SocketAddr, path: &str, headers: &[(&str, &str)]) -> io::Result<Reply> {
    call(addr, "GET", path, headers, Bytes::new())
}

/// Posts to a path of a stream with the studio's key.
///
/// # Errors
///
/// When no head of an answer came.
pub fn post_stream(addr: SocketAddr, path: &str, request_id: &str) -> io::Result<Reply> {
    let headers = [
        ("ivyweir-request-id", request_id),
        ("authorization", "Bearer key-of-the-studio"),
        ("ivyweir-model", "*"),
    ];
    call(addr, "POST", path, &headers, Bytes::from_static(b"prompt"))
}

/// Makes a call on a connection of its own.
///
/// # Errors
///
/// When no head of an answer came.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> io::Result<Reply> {
    let mut request = Request::builder().method(method).uri(path);
    if !headers.iter().any(|(name, _)| *name == "host") {
        request = request.header("host", HOST);
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body)).map_err(io::Error::other)?;
    runtime().block_on(async {
        let stream = TcpStream::connect(addr).await?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(connection);
        let answer = sender
            .send_request(request)
            .await
            .map_err(io::Error::other)?;
        Ok(read(answer).await)
    })
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
    Reply {
        status: head.status.as_u16(),
        headers: head.headers,
        body: Bytes::from(body),
        is_complete,
    }
}

fn runtime() -> Runtime {
    let mut builder = Builder::new_current_thread();
    builder.enable_all().build().expect("a runtime can be made")
}

/// Serves HTTP on a free port of loopback, on a thread that lives as long as the process.
pub fn serve_on_thread<F, A, B, E>(answer: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = Result<Response<B>, E>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    E: Into<Box<dyn std::error::Error + Send + Sync>> + 'static,
{
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port can be bound");
    serve_until(listener, Arc::default(), answer)
}

/// Serves HTTP on a thread until `end` is notified; then all its connections close at once, and nobody
/// listens.
pub fn serve_until<F, A, B, E>(
    listener: std::net::TcpListener,
    end: Arc<Notify>,
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
    listener.set_nonblocking(true).expect("a socket can be set");
    let addr = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        runtime().block_on(async move {
            let listener = TcpListener::from_std(listener).expect("it listens");
            let serving = async {
                loop {
                    let Ok((stream, _)) = listener.accept().await else {
                        continue;
                    };
                    let service = service_fn(answer.clone());
                    let connection =
                        server::Builder::new().serve_connection(TokioIo::new(stream), service);
                    tokio::spawn(async move {
                        let _ignored = connection.await;
                    });
                }
            };
            tokio::select! {
                () = serving => {}
                () = end.notified() => {}
            }
        });
    });
    addr
}
