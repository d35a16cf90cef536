//! The request path of ivyweir for opaque requests and streams of events.
//!
//! A gateway takes requests from callers, finds their route in the configuration, and sends them to
//! an upstream of the route's pool. It passes bodies on unaltered and streams event by event. What
//! callers, upstreams and the store call things is the business of a [`Dialect`] and a
//! [`StoreCodec`]; decisions are in `ivyweir_policy::gateway`.
//!
//! ```no_run
//! use std::path::Path;
//! use ivyweir_gateway::{Adapter, Settings};
//!
//! # fn start(adapter: Adapter) -> Result<(), Box<dyn std::error::Error>> {
//! let settings = Settings::from_file(Path::new("gateway.json"))?;
//! ivyweir_gateway::run(settings, adapter)?;
//! # Ok(())
//! # }
//! ```

mod admit;
mod adopt;
mod answer;
mod attempt;
mod box_call;
mod channel;
pub mod client;
pub mod clock;
pub mod dialect;
mod drive;
mod duties;
mod ends;
mod error_response;
mod follow;
mod gather;
pub mod headers;
pub mod history;
mod job;
mod join;
mod judge;
mod keep;
mod log;
pub mod message;
mod metrics;
pub mod native;
mod peers;
mod pipeline;
mod server;
mod settings;
pub mod settings_file;
mod state;
mod store_client;
mod store_news;
mod stream;
mod sync;
mod tries;
mod words;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

use clock::{Clock, SuspensionDetector};
use log::Log;
use state::Gateway;

pub use dialect::{Adapter, Dialect, DutyCodec, StoreCodec};
pub use settings::{Bounds, DialectChoice, Machine, Settings};
pub use settings_file::SettingsError;

/// How often what is past its time is swept up.
const SWEEP: Duration = Duration::from_millis(250);
/// Left of the grace for the end itself.
const END_MARGIN_MS: u64 = 250;
/// How often the end of the last request is looked for.
const POLL: Duration = Duration::from_millis(20);

/// Runs a box until it is told to stop by a signal.
///
/// # Errors
///
/// When an address cannot be bound.
pub fn run(settings: Settings, adapter: Adapter) -> io::Result<()> {
    let clock = Clock::start();
    let log = Log::start(clock.clone())?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let ended = runtime.block_on(async {
        let (settings, listeners) = Listeners::bind(settings)?;
        let gateway = Gateway::new(settings, clock, adapter, log.clone());
        serve(Arc::new(gateway), listeners).await
    });
    log.finish();
    ended
}

/// Everything a box listens on.
struct Listeners {
    callers: TcpListener,
    balancer: TcpListener,
    metrics: TcpListener,
    peers: TcpListener,
}

impl Listeners {
    /// Binds all addresses; the settings returned name the ports that port 0 stood for.
    fn bind(mut settings: Settings) -> io::Result<(Settings, Self)> {
        let bind = |addr: &mut SocketAddr| {
            let listener = server::bind(*addr)?;
            *addr = listener.local_addr()?;
            io::Result::Ok(listener)
        };
        let listeners = Self {
            callers: bind(&mut settings.caller_addr)?,
            balancer: bind(&mut settings.ready_addr)?,
            metrics: bind(&mut settings.metrics_addr)?,
            peers: bind(&mut settings.peer_addr)?,
        };
        Ok((settings, listeners))
    }
}

/// Serves until a signal says to stop, and then until the last request has ended.
async fn serve(gateway: Arc<Gateway>, listeners: Listeners) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    log_start(&gateway);
    let (stop, stopped) = watch::channel(false);
    let server = spawn_tasks(&gateway, listeners, stopped);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => {
                gateway.log.line("reload_asked", json!({}));
                gateway.reload_seeds();
            }
        }
    }
    drain(&gateway, &stop).await;
    server.abort();
    let detail = json!({"requests_left": gateway.active()});
    gateway.log.line("stopped", detail);
    Ok(())
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

/// Starts all that a box does; returns the task that serves callers.
fn spawn_tasks(
    gateway: &Arc<Gateway>,
    listeners: Listeners,
    stopped: watch::Receiver<bool>,
) -> JoinHandle<()> {
    for topic in gateway.topics() {
        tokio::spawn(sync::follow(gateway.clone(), *topic));
    }
    tokio::spawn(drive::run(gateway.clone()));
    tokio::spawn(keep::run(gateway.clone()));
    if let Some(duties) = gateway.settings.duties {
        tokio::spawn(duties::run(gateway.clone(), duties));
    }
    tokio::spawn(join::keep_joined(gateway.clone()));
    tokio::spawn(words::exchange(gateway.clone()));
    tokio::spawn(server::serve_peers(gateway.clone(), listeners.peers));
    tokio::spawn(sweep(gateway.clone()));
    let (balancer, metrics) = (listeners.balancer, listeners.metrics);
    tokio::spawn(server::serve_text(balancer, answer_balancer(gateway)));
    tokio::spawn(server::serve_text(metrics, answer_metrics(gateway)));
    let callers = server::serve_callers(gateway.clone(), listeners.callers, stopped);
    tokio::spawn(callers)
}

/// Waits until the balancer has noticed and the last request has ended, within the grace.
async fn drain(gateway: &Arc<Gateway>, stop: &watch::Sender<bool>) {
    gateway.stop();
    gateway
        .log
        .line("stopping", json!({"requests": gateway.active()}));
    let grace_ms = gateway.settings.bounds.stop_grace_ms();
    let end = Instant::now() + Duration::from_millis(grace_ms.saturating_sub(END_MARGIN_MS));
    let notice = Duration::from_millis(admit::STOP_NOTICE_MS);
    sleep_until(end.min(Instant::now() + notice)).await;
    // The receiver lives as long as the server's task.
    let _server_gone = stop.send(true);
    sleep(POLL).await;
    while gateway.active() > 0 && Instant::now() < end {
        sleep(POLL).await;
    }
    // The last answers leave the kernel's buffers.
    sleep(POLL).await;
}

/// Sweeps now and then, and tells when readiness changes.
async fn sweep(gateway: Arc<Gateway>) {
    let mut was_ready = false;
    let mut suspension = SuspensionDetector::start(&gateway.clock);
    loop {
        sleep(SWEEP).await;
        if let Some(lasted_ms) = suspension.poll(&gateway.clock) {
            gateway.woke(lasted_ms);
        }
        gateway.sweep();
        let ready = gateway.is_ready();
        if ready != was_ready {
            let detail = json!({"ready": ready, "proof_age_ms": gateway.proof_age_ms()});
            gateway.log.line("readiness", detail);
            was_ready = ready;
        }
    }
}

fn answer_balancer(
    gateway: &Arc<Gateway>,
) -> impl Fn(&str) -> (StatusCode, String) + Clone + Send + 'static {
    let gateway = gateway.clone();
    move |path| {
        let status = if path != gateway.dialect.ready_path() {
            StatusCode::NOT_FOUND
        } else if gateway.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        (status, String::new())
    }
}

fn answer_metrics(
    gateway: &Arc<Gateway>,
) -> impl Fn(&str) -> (StatusCode, String) + Clone + Send + 'static {
    let gateway = gateway.clone();
    move |_| {
        let belief = |what: &str, value: u64| {
            let gauge = gateway.metrics.state_gauges.with_label_values(&[what]);
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        };
        let site = gateway.site();
        belief("site_version", site.map_or(0, |site| site.site().version));
        belief("proof_age_ms", gateway.proof_age_ms().unwrap_or(u64::MAX));
        belief("store_era", gateway.store_era().unwrap_or_default());
        for topic in gateway.topics() {
            let revision = gateway.histories.revision(*topic);
            belief(&format!("revision_{}", topic.name()), revision.number);
        }
        belief("requests_active", gateway.active());
        belief("requests_quarantined", gateway.quarantined().len() as u64);
        belief("log_lines_dropped", gateway.log.dropped());
        (StatusCode::OK, gateway.metrics.text())
    }
}
