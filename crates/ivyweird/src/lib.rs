//! The ivyweir daemon: one box of a model-aware request router with version roll-outs and model
//! cascades.
//!
//! A box serves callers, operators and peers, and takes part in the duties that the fleet shares.
//! The crate `ivyweir-policy` makes the decisions; this crate has the threads, the state and the I/O.
//!
//! ```no_run
//! use std::path::Path;
//! use ivyweird::{Settings, Signals};
//!
//! let signals = Signals::register()?;
//! let settings = Settings::from_file(Path::new("box.json"))?;
//! ivyweird::run(settings, &signals)?;
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
mod dispatcher;
mod document_sync;
mod duties;
mod engine_call;
mod forward;
mod idempotency;
mod lease;
mod ledger;
mod load_polling;
mod logging;
mod metrics;
mod node;
mod operator_api;
mod peer_api;
mod rating;
mod replica;
mod route;
mod segments;
mod service_call;
mod session;
mod settings;
mod shards;
mod shutdown;
mod stream;
mod version_stats;

use std::io;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use ivyweir_caller::Server as HttpServer;
use ivyweir_peer::Server as PeerServer;

use caller_api::CallerApi;
use node::Node;
use operator_api::OperatorApi;
use peer_api::PeerApi;

pub use ivyweir_gateway::{SettingsError, Signals};
pub use settings::Settings;

const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
const THREAD_STACK_BYTES: usize = 256 << 10;
const OPERATOR_THREADS: usize = 16;
/// Time for gossip to tell the peers that this box has left, after it has finished its work.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_millis(600);

/// Runs a box until a signal or the box list tells it to stop.
///
/// # Errors
///
/// If an address cannot be bound or a thread cannot be created.
pub fn run(settings: Settings, signals: &Signals) -> io::Result<()> {
    logging::init();
    abort_on_panic();
    let node = Arc::new(Node::new(settings)?);
    let settings = &node.settings;
    let peer_api = Arc::new(PeerApi { node: node.clone() });
    let peer_server = PeerServer::start(&settings.peer_addr, settings.fleet_key(), peer_api)?;
    let operator_api = Arc::new(OperatorApi { node: node.clone() });
    let operator_server =
        HttpServer::start(&settings.operator_addr, OPERATOR_THREADS, operator_api)?;
    let caller_api = Arc::new(CallerApi { node: node.clone() });
    let max_requests = settings.limits.max_requests;
    let caller_server = HttpServer::start(&settings.caller_addr, max_requests, caller_api)?;
    let peer_addr = peer_server.addr().to_string();
    if settings.advertised_peer_addr.is_none() {
        // With port 0 in the settings, the operating system chooses the port.
        node.with_members(|table, _, _| table.set_peer_addr(peer_addr.as_str().into()));
    }
    let background_threads = spawn_background_threads(&node)?;
    log::info!(
        "box {} started as {}, listening for callers at {}, operators at {}, peers at {peer_addr}.",
        node.incarnation.box_name,
        node.incarnation.number,
        caller_server.addr(),
        operator_server.addr(),
    );
    while !signals.is_stop_requested() && !node.is_draining() {
        thread::sleep(STOP_POLL_INTERVAL);
    }
    shutdown::drain(&node);
    shutdown::finish(&node);
    thread::sleep(LEAVE_PROPAGATION_TIME);
    caller_server.stop();
    operator_server.stop();
    node.stop();
    for thread in background_threads {
        thread
            .join()
            .expect("invariant: a panic in a thread aborts the process");
    }
    drop(peer_server);
    log::info!("box {} stopped", node.incarnation.box_name);
    Ok(())
}

/// Makes a panic in any thread abort the process. Only a broken invariant panics.
fn abort_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        std::process::abort();
    }));
}

fn spawn_background_threads(node: &Arc<Node>) -> io::Result<Vec<JoinHandle<()>>> {
    let poll_queue = Arc::new(load_polling::PollQueue::new());
    let mut threads = vec![
        spawn("exchange", node, document_sync::run_exchanges)?,
        spawn("watch-config", node, document_sync::watch_config)?,
        spawn("watch-boxes", node, document_sync::poll_box_list)?,
        spawn("push", node, document_sync::push_changes)?,
        spawn("replicate", node, replica::replicate)?,
        spawn("flush", node, flush_billing)?,
        spawn("duties", node, duties::run)?,
        spawn("rate", node, rating::run)?,
    ];
    let queue = poll_queue.clone();
    threads.push(spawn("plan-loads", node, move |node| {
        load_polling::schedule_polls(node, &queue)
    })?);
    for _ in 0..load_polling::THREAD_COUNT {
        let queue = poll_queue.clone();
        threads.push(spawn("ask-loads", node, move |node| {
            load_polling::poll_upstreams(node, &queue)
        })?);
    }
    Ok(threads)
}

fn spawn(
    name: &str,
    node: &Arc<Node>,
    run: impl FnOnce(&Node) + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    let node = node.clone();
    thread::Builder::new()
        .name(name.into())
        .stack_size(THREAD_STACK_BYTES)
        .spawn(move || run(&node))
}

/// Periodically writes billing records to the store, for this box and for departed boxes.
fn flush_billing(node: &Node) {
    while !node.is_stopped() {
        node.pause(segments::flush_interval(node));
        // If the store is unavailable, the next iteration writes the same segment.
        let _retried_in_next_iteration = segments::flush(node);
        segments::flush_for_departed(node);
        node.version_stats.remove_expired(clock::Clock::epoch_ms());
        node.metrics
            .billing_pending
            .record(node.ledger.pending() as u64, &[]);
    }
}
