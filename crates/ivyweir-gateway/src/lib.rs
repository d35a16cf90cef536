//! Reverse proxy of ivyweir for opaque requests and event streams.
//!
//! A gateway accepts requests from callers, looks up their route in the configuration, and forwards
//! them to an upstream of the route's pool. It forwards bodies unmodified and streams event by
//! event. A [`Dialect`] and a [`StoreCodec`] define the header names and message formats of
//! callers, upstreams and the store; the decisions are made in `ivyweir_policy::gateway`.
//!
//! ```no_run
//! use std::path::Path;
//! use ivyweir_gateway::{Adapter, Settings, Signals};
//!
//! # fn start(adapter: Adapter) -> Result<(), Box<dyn std::error::Error>> {
//! let signals = Signals::register()?;
//! let settings = Settings::from_file(Path::new("gateway.json"))?;
//! ivyweir_gateway::run(settings, adapter, &signals)?;
//! # Ok(())
//! # }
//! ```

mod admit;
mod answer_end;
mod apply;
mod attempt;
mod box_call;
mod buffer;
mod caller_io;
mod canary;
pub mod client;
pub mod clock;
mod connection;
pub mod dialect;
mod duties;
mod error_response;
mod exchange;
mod follow;
mod handover;
pub mod headers;
pub mod history;
mod in_flight;
mod job;
mod join;
mod larger_model;
mod liveness;
mod log;
pub mod message;
mod metrics;
mod mutex;
pub mod native;
mod path_check;
mod peers;
mod pieces;
mod pipeline;
mod promise;
mod quarantine_sync;
mod relay_buffer;
mod reports;
pub mod request_target;
mod response;
mod retry;
mod rollout_driver;
mod room;
mod server;
mod settings;
pub mod settings_file;
mod signals;
mod state;
mod store_client;
mod store_events;
mod stream;
mod supervisor;
mod sync;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clock::{Clock, SuspensionDetector};
use hyper::StatusCode;
use ivyweir_policy::gateway::quarantine::SuspectKind;
use log::Log;
use serde_json::json;
use server::ServerStop;
use state::Gateway;
use supervisor::TaskRole;
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

pub use dialect::{Adapter, Dialect, DutyCodec, StoreCodec};
pub use settings::{Bounds, DialectChoice, Machine, Settings};
pub use settings_file::SettingsError;
pub use signals::Signals;

/// Interval at which expired state is removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which draining checks whether requests are still active.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which an address that is in use is tried again, and the pause between tries.
const BIND_TIMEOUT: Duration = Duration::from_secs(30);
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a box until a signal to stop, and drains it.
///
/// # Errors
///
/// When an address cannot be bound for 30 s, or the log thread, the runtime or a signal handler
/// cannot be created.
pub fn run(settings: Settings, adapter: Adapter, signals: &Signals) -> io::Result<()> {
    let clock = Clock::start();
    let log = Log::start(clock.clone())?;
    supervisor::log_panics(log.clone());
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let result = runtime.block_on(async {
        let Some((settings, listeners)) = Listeners::bind(settings, signals, &log).await? else {
            log.line("stopped", json!({"requests_left": 0}));
            return Ok(());
        };
        let gateway = Gateway::new(settings, clock, adapter, log.clone());
        serve(Arc::new(gateway), listeners, signals).await
    });
    log.finish();
    result
}

/// Listening sockets of a box.
struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
    metrics: TcpListener,
    peers: TcpListener,
}

impl Listeners {
    /// Binds all addresses, those of callers last: connections that wait for a start are better made to another box. In the
    /// returned settings, port 0 is replaced by the assigned port. Returns `None` after a signal to stop.
    async fn bind(
        mut settings: Settings,
        signals: &Signals,
        log: &Log,
    ) -> io::Result<Option<(Settings, Self)>> {
        let metrics = bind_when_free(&mut settings.metrics_addr, signals, log).await?;
        let peers = bind_when_free(&mut settings.peer_addr, signals, log).await?;
        let readiness = bind_when_free(&mut settings.ready_addr, signals, log).await?;
        let callers = bind_when_free(&mut settings.caller_addr, signals, log).await?;
        let listeners = (callers, readiness, metrics, peers);
        let (Some(callers), Some(readiness), Some(metrics), Some(peers)) = listeners else {
            return Ok(None);
        };
        let listeners = Self {
            callers,
            readiness,
            metrics,
            peers,
        };
        Ok(Some((settings, listeners)))
    }
}

/// Binds an address, and sets its port if that is 0. An address that is in use is tried again for a limited time: an earlier
/// process may still be ending, or an outgoing connection may have the port. Returns `None` after a signal to stop.
async fn bind_when_free(
    addr: &mut SocketAddr,
    signals: &Signals,
    log: &Log,
) -> io::Result<Option<TcpListener>> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    let mut is_logged = false;
    while !signals.is_stop_requested() {
        match server::bind(*addr) {
            Err(e) if is_temporary(&e) && Instant::now() < deadline => {
                if !is_logged {
                    let detail = json!({"addr": addr, "error": e.to_string()});
                    log.line("address_in_use", detail);
                    is_logged = true;
                }
                sleep(BIND_RETRY_INTERVAL).await;
            }
            Err(e) => {
                let error = format!("cannot listen at {addr}: {e}");
                return Err(io::Error::new(e.kind(), error));
            }
            Ok(listener) => {
                *addr = listener.local_addr()?;
                return Ok(Some(listener));
            }
        }
    }
    Ok(None)
}

/// Whether an address may become free, or may be assigned to this machine, soon.
fn is_temporary(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::AddrInUse | io::ErrorKind::AddrNotAvailable
    )
}

/// Serves until SIGTERM or SIGINT, and then drains. SIGHUP reloads the seeds.
async fn serve(gateway: Arc<Gateway>, listeners: Listeners, signals: &Signals) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    log_start(&gateway);
    let servers = Servers::default();
    spawn_tasks(&gateway, listeners, &servers);
    // Signals that came before these handlers are known by their flags only.
    if signals.take_reload() {
        start_reload(&gateway);
    }
    while !signals.is_stop_requested() {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => start_reload(&gateway),
        }
    }
    drain(&gateway, &servers).await;
    let detail = json!({"requests_left": gateway.active_requests()});
    gateway.log.line("stopped", detail);
    Ok(())
}

/// Reloads the seeds, again if the file is still being written.
fn start_reload(gateway: &Arc<Gateway>) {
    gateway.log.line("reload_asked", json!({}));
    let gateway = gateway.clone();
    tokio::spawn(async move {
        for _ in 0..settings_file::READ_TRIES {
            if gateway.reload_seeds() {
                return;
            }
            sleep(settings_file::READ_INTERVAL).await;
        }
    });
}

fn log_start(gateway: &Gateway) {
    let settings = &gateway.settings;
    let detail = json!({
        "box": settings.box_name, "hall": settings.hall, "version": env!("CARGO_PKG_VERSION"),
        "caller_addr": settings.caller_addr, "ready_addr": settings.ready_addr,
        "metrics_addr": settings.metrics_addr, "peer_addr": settings.peer_addr,
        "store_addr": settings.store_addr,
    });
    gateway.log.line("started", detail);
}

/// How the servers of a box are stopped.
#[derive(Default)]
struct Servers {
    callers: ServerStop,
    peers: ServerStop,
}

/// Spawns the tasks of a box.
fn spawn_tasks(gateway: &Arc<Gateway>, listeners: Listeners, servers: &Servers) {
    for topic in gateway.topics() {
        let topic = *topic;
        supervise(gateway, topic.name(), TaskRole::Serving, move |gateway| {
            sync::follow(gateway, topic)
        });
    }
    supervise(
        gateway,
        "rollouts_driver",
        TaskRole::Auxiliary,
        rollout_driver::run,
    );
    supervise(
        gateway,
        "quarantines",
        TaskRole::Auxiliary,
        quarantine_sync::run,
    );
    supervise(gateway, "paths", TaskRole::Serving, path_check::monitor);
    if let Some(duties) = gateway.settings.duties {
        supervise(gateway, "duties", TaskRole::Auxiliary, move |gateway| {
            duties::run(gateway, duties)
        });
    }
    supervise(
        gateway,
        "membership",
        TaskRole::Serving,
        join::maintain_membership,
    );
    supervise(
        gateway,
        "reports",
        TaskRole::Serving,
        reports::exchange_reports,
    );
    supervise(gateway, "sweep", TaskRole::Serving, sweep);
    let Listeners {
        callers,
        readiness,
        metrics,
        peers,
    } = listeners;
    let peers = Arc::new(peers);
    let peers_stop = servers.peers.clone();
    supervise(gateway, "peers", TaskRole::Serving, move |gateway| {
        server::serve_peers(gateway, peers.clone(), peers_stop.clone())
    });
    let readiness = Arc::new(readiness);
    supervise(gateway, "readiness", TaskRole::Serving, move |gateway| {
        server::serve_text(readiness.clone(), readiness_handler(gateway))
    });
    let metrics = Arc::new(metrics);
    supervise(gateway, "metrics", TaskRole::Auxiliary, move |gateway| {
        server::serve_text(metrics.clone(), metrics_handler(gateway))
    });
    let callers = Arc::new(Mutex::new(Some(Arc::new(callers))));
    let callers_stop = servers.callers.clone();
    supervise(gateway, "callers", TaskRole::Serving, move |gateway| {
        server::serve_callers(gateway, callers.clone(), callers_stop.clone())
    });
}

fn supervise<F>(
    gateway: &Arc<Gateway>,
    task: &'static str,
    role: TaskRole,
    start: impl Fn(Arc<Gateway>) -> F + Send + 'static,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    let of_task = gateway.clone();
    let start = move || start(of_task.clone());
    gateway.supervisor.spawn(task, role, start)
}

/// Fails readiness checks, stops accepting callers once the load balancer has noticed, and waits until all answers are
/// written, within the grace period.
async fn drain(gateway: &Arc<Gateway>, servers: &Servers) {
    gateway.stop();
    gateway
        .log
        .line("stopping", json!({"requests": gateway.active_requests()}));
    let schedule = gateway.stop_schedule();
    let started = Instant::now();
    let deadline = started + Duration::from_millis(schedule.ends_at_ms());
    sleep_until(started + Duration::from_millis(schedule.accepts_until_ms())).await;
    servers.callers.stop_and_wait(deadline).await;
    while gateway.active_requests() > 0 && Instant::now() < deadline {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    report_terminations(gateway, deadline).await;
    // Other boxes may still read answers to requests that they handed over.
    servers.peers.stop_and_wait(deadline).await;
}

/// Waits until it is known whether the upstreams of lost requests have terminated, and other boxes were sent that: they may
/// be sent these requests next.
async fn report_terminations(gateway: &Gateway, deadline: Instant) {
    while !gateway.has_finished_checks() && Instant::now() < deadline {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    // Later changes come from other boxes.
    let change = gateway.ledger_change();
    while gateway.reported_ledger_change() < change && Instant::now() < deadline {
        gateway.request_report();
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Periodically removes expired state, handles suspensions of the machine, and logs changes of
/// readiness.
async fn sweep(gateway: Arc<Gateway>) {
    let mut was_ready = false;
    let mut served_keys = false;
    let mut detector = SuspensionDetector::start(&gateway.clock);
    loop {
        sleep(SWEEP_INTERVAL).await;
        if let Some(suspended_ms) = detector.poll(&gateway.clock) {
            gateway.handle_suspension(suspended_ms);
        }
        gateway.sweep();
        let ready = gateway.is_ready();
        if ready != was_ready {
            let detail = json!({"ready": ready, "proof_age_ms": gateway.proof_age_ms()});
            gateway.log.line("readiness", detail);
            was_ready = ready;
        }
        let serves_keys = gateway.may_serve_keys();
        if serves_keys != served_keys {
            gateway.log_key_service(serves_keys);
            served_keys = serves_keys;
        }
    }
}

fn readiness_handler(
    gateway: Arc<Gateway>,
) -> impl Fn(&str) -> (StatusCode, String) + Clone + Send + 'static {
    move |path| {
        let status = if path != gateway.dialect.ready_path() {
            StatusCode::NOT_FOUND
        } else if gateway.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let ended = gateway.supervisor.ended_tasks();
        let lines = ended.iter().map(|task| format!("task ended: {task}\n"));
        (status, lines.collect())
    }
}

fn metrics_handler(
    gateway: Arc<Gateway>,
) -> impl Fn(&str) -> (StatusCode, String) + Clone + Send + 'static {
    move |_| {
        let set_gauge = |name: &str, value: u64| {
            let gauge = gateway.metrics.state_gauges.with_label_values(&[name]);
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        };
        let site = gateway.site();
        set_gauge("site_version", site.map_or(0, |site| site.site().version));
        set_gauge("proof_age_ms", gateway.proof_age_ms().unwrap_or(u64::MAX));
        set_gauge("store_era", gateway.store_era().unwrap_or_default());
        for topic in gateway.topics() {
            let revision = gateway.histories.revision(*topic);
            set_gauge(&format!("revision_{}", topic.name()), revision.number);
        }
        let figures = gateway.relay_buffers.figures();
        set_gauge("relay_bytes_held", figures.held_bytes);
        set_gauge("relay_bytes_peak", figures.peak_bytes);
        set_gauge("relay_bytes_limit", figures.limit_bytes);
        set_gauge("requests_active", gateway.active_requests());
        set_gauge("paths_lost", gateway.is_cut_off().into());
        let accepted = gateway.accepted_handovers.load(Ordering::Relaxed);
        set_gauge("handovers_accepted", accepted);
        let quarantined = |kind| gateway.quarantined_count(kind) as u64;
        set_gauge("requests_quarantined", quarantined(SuspectKind::Request));
        set_gauge("prompt_parts_quarantined", quarantined(SuspectKind::Part));
        set_gauge("log_lines_dropped", gateway.log.dropped());
        (StatusCode::OK, gateway.metrics.text())
    }
}
