//! The ivyweir daemon: one box of a model-aware router for versions and cascades.
//!
//! A box answers callers, operators and peers, and does its part of the duties that boxes share. The
//! decisions are in `ivyweir-policy`; here are the threads, the state and the calls.
//!
//! ```no_run
//! use std::path::Path;
//! use ivyweird::Settings;
//!
//! let settings = Settings::from_file(Path::new("box.json"))?;
//! ivyweird::run(settings)?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod audit;
mod bill;
mod caller_api;
mod chat;
mod clock;
mod config;
mod confirm;
mod context;
mod digest;
mod document_sync;
mod duties;
mod forward;
mod gate;
mod idempotency;
mod lease;
mod ledger;
mod load_polling;
mod logging;
mod metrics;
mod node;
mod operator_api;
mod peer_api;
mod rate;
mod replica;
mod route;
mod run;
mod segments;
mod service_call;
mod session;
mod settings;
mod shards;
mod stop;
mod stream;
mod version_stats;

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use ivyweir_caller::Server as HttpServer;
use ivyweir_peer::Server as PeerServer;
use signal_hook::consts::{SIGINT, SIGTERM};

use caller_api::CallerApi;
use node::Node;
use operator_api::OperatorApi;
use peer_api::PeerApi;

pub use ivyweir_gateway::SettingsError;
pub use settings::Settings;

const POLL: Duration = Duration::from_millis(20);
const DUTY_STACK_BYTES: usize = 256 << 10;
const OPERATOR_THREADS: usize = 16;
/// Time for peers to hear that this box has gone, after its last act.
const FAREWELL: Duration = Duration::from_millis(600);

/// Runs a box until it is told to stop by a signal or by the box list.
///
/// # Errors
///
/// When an address cannot be bound or a thread not be made.
pub fn run(settings: Settings) -> io::Result<()> {
    logging::start();
    stop_on_broken_invariant();
    let asked_to_stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, asked_to_stop.clone())?;
    }
    let node = Arc::new(Node::new(settings)?);
    let settings = &node.settings;
    let peer_api = Arc::new(PeerApi { node: node.clone() });
    let peer_server = PeerServer::start(&settings.peer_addr, settings.fleet_key(), peer_api)?;
    let operator_api = Arc::new(OperatorApi { node: node.clone() });
    let operators = HttpServer::start(&settings.operator_addr, OPERATOR_THREADS, operator_api)?;
    let caller_api = Arc::new(CallerApi { node: node.clone() });
    let max_requests = settings.limits.max_requests;
    let callers = HttpServer::start(&settings.caller_addr, max_requests, caller_api)?;
    let peers_at = peer_server.addr().to_string();
    if settings.advertised_peer_addr.is_none() {
        // Port 0 in the settings stands for any free one.
        node.with_members(|table, _, _| table.set_peer_addr(peers_at.as_str().into()));
    }
    let duties = start_duties(&node)?;
    log::info!(
        "box {} started as {}, listening for callers at {}, operators at {}, peers at {peers_at}.",
        node.me.box_name,
        node.me.number,
        callers.addr(),
        operators.addr(),
    );
    while !asked_to_stop.load(Ordering::Relaxed) && !node.is_draining() {
        thread::sleep(POLL);
    }
    stop::drain(&node);
    stop::finish(&node);
    thread::sleep(FAREWELL);
    callers.stop();
    operators.stop();
    node.stop();
    for duty in duties {
        duty.join().expect("invariant: no duty panics");
    }
    drop(peer_server);
    log::info!("box {} stopped", node.me.box_name);
    Ok(())
}

/// A broken invariant in any thread stops the process; nothing else panics.
fn stop_on_broken_invariant() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        std::process::abort();
    }));
}

fn start_duties(node: &Arc<Node>) -> io::Result<Vec<JoinHandle<()>>> {
    let round = Arc::new(load_polling::PollQueue::new());
    let mut duties = vec![
        start("exchange", node, document_sync::run_exchanges)?,
        start("watch-config", node, document_sync::watch_config)?,
        start("watch-boxes", node, document_sync::poll_box_list)?,
        start("push", node, document_sync::push_changes)?,
        start("replicate", node, replica::replicate)?,
        start("flush", node, flush_rounds)?,
        start("duties", node, duties::run)?,
        start("rate", node, rate::rate)?,
    ];
    let plan = round.clone();
    duties.push(start("plan-loads", node, move |node| {
        load_polling::schedule_polls(node, &plan)
    })?);
    for _ in 0..load_polling::THREAD_COUNT {
        let round = round.clone();
        duties.push(start("ask-loads", node, move |node| {
            load_polling::poll_upstreams(node, &round)
        })?);
    }
    Ok(duties)
}

fn start(
    name: &str,
    node: &Arc<Node>,
    duty: impl FnOnce(&Node) + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    let node = node.clone();
    thread::Builder::new()
        .name(name.into())
        .stack_size(DUTY_STACK_BYTES)
        .spawn(move || duty(&node))
}

/// Writes billing records to the store, for this box and for those that are gone.
fn flush_rounds(node: &Node) {
    while !node.is_stopped() {
        node.pause(segments::flush_interval(node));
        // A store that is out gets the same segment in the next round.
        let _next_round = segments::flush(node);
        segments::settle_for_others(node);
        node.learning.remove_expired(clock::Clock::epoch_ms());
        node.metrics
            .billing_pending
            .record(node.ledger.pending() as u64, &[]);
    }
}
