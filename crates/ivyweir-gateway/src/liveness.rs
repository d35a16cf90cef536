//! Probes an upstream after a connection to it broke, to find out whether its process has terminated.
//!
//! A single connection may break while the upstream runs on: the network resets it, or the upstream closes it in the
//! middle of a response. When the process terminates, all its connections break and nothing listens at its address, for
//! any box.
//! That takes a moment: until the listener is closed too, the kernel accepts connections to it. The connection that a
//! probe opened is therefore watched. It breaks when the listener is closed, and the upstream is probed again.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use ivyweir_policy::gateway::answer_end::UpstreamState;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::reachability::ProbeResult as ReachResult;
use tokio::time::{sleep, timeout};

use crate::connection::{ClosedSignal, Connection};
use crate::path_check;
use crate::state::Gateway;

/// Time for which the connection opened by a probe is kept in the pool. The upstream is up, and another request is
/// likely to be sent there in place of the one that broke.
const PROBE_KEEP_ALIVE_MS: u64 = 1_000;
/// Pause before an upstream that closed the connection of a probe is probed again; doubles each time. An upstream with
/// too many connections closes new ones at once.
const MIN_REPROBE_PAUSE: Duration = Duration::from_millis(2);

/// Time limit for the check of an upstream behind the end of an answer, which waits for it, and for other boxes.
const END_CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which the kernel has closed a connection that it accepted for a process that was terminating.
const SETTLING_TIME: Duration = Duration::from_millis(20);

/// What a probe found.
enum ProbeResult {
    /// Nothing listens at the address.
    Refused,
    /// A connection was opened.
    Opened(ClosedSignal),
    /// Neither, as after a timeout: the network path may be down.
    Inconclusive,
}

/// Probes in the background whether an upstream still listens at its address, and watches it while the runs that were
/// lost there may have been interrupted by its termination. If several connections break at once, only one probe runs.
pub fn probe(gateway: &Arc<Gateway>, upstream: &Arc<UpstreamRecord>) {
    if !gateway.begin_termination_check(&upstream.id) {
        return;
    }
    let (gateway, upstream) = (gateway.clone(), upstream.clone());
    tokio::spawn(async move {
        let result = probe_once(&gateway, &upstream).await;
        // Requests that wait for the probe act on its result.
        gateway.finish_termination_check(&upstream.id);
        if let ProbeResult::Opened(closed) = result
            && gateway.begin_watch(&upstream.id)
        {
            watch(&gateway, &upstream, Some(closed)).await;
            gateway.finish_watch(&upstream.id);
        }
    });
}

/// Finds out whether an upstream still runs after the body of its answer ended with the connection. That it was to stop
/// says nothing: part of an answer must not pass for all of it.
pub async fn state_after_end(gateway: &Arc<Gateway>, upstream: &UpstreamRecord) -> UpstreamState {
    let check = confirm_running(gateway, upstream);
    // An upstream that neither answers nor refuses is not known to have terminated.
    let check = timeout(END_CHECK_TIMEOUT, check).await;
    let state = check.unwrap_or(UpstreamState::Running);
    if state != UpstreamState::Terminated {
        return state;
    }
    let others = path_check::is_reached_by_others(gateway, upstream);
    match timeout(END_CHECK_TIMEOUT, others).await {
        Ok(true) => UpstreamState::Running,
        Ok(false) | Err(_) => UpstreamState::Terminated,
    }
}

/// Connects to an upstream until it answers or refuses. While its process terminates, the kernel still accepts
/// connections, and closes them with the listener. An upstream without a request that it answers at once is taken to run
/// if it does not close a connection for a while.
async fn confirm_running(gateway: &Gateway, upstream: &UpstreamRecord) -> UpstreamState {
    let mut pause = MIN_REPROBE_PAUSE;
    loop {
        match path_check::open(gateway, upstream).await {
            Ok(opened) if opened.is_answered => {
                opened.keep(gateway, upstream);
                return UpstreamState::Running;
            }
            Ok(opened) => {
                let mut closed = opened.closed_signal();
                if timeout(SETTLING_TIME, closed.closed()).await.is_err() {
                    opened.keep(gateway, upstream);
                    return UpstreamState::Running;
                }
            }
            Err(ReachResult::Refused) => return UpstreamState::Terminated,
            Err(ReachResult::Silent) => return UpstreamState::Running,
            Err(ReachResult::Broken | ReachResult::Reached) => {}
        }
        sleep(pause).await;
        pause *= 2;
    }
}

/// Watches an upstream in the background while a run that was cancelled there may be interrupted by its termination.
pub fn watch_cancelled(gateway: &Arc<Gateway>, upstream: &Arc<UpstreamRecord>) {
    if !gateway.begin_watch(&upstream.id) {
        return;
    }
    let (gateway, upstream) = (gateway.clone(), upstream.clone());
    tokio::spawn(async move {
        let closed = gateway.channels.closed_signal(&upstream.id);
        watch(&gateway, &upstream, closed).await;
        gateway.finish_watch(&upstream.id);
    });
}

/// Opens a connection to an upstream, and records the termination of the upstream if nothing listens there.
async fn probe_once(gateway: &Arc<Gateway>, upstream: &UpstreamRecord) -> ProbeResult {
    let (outcome, result) = match Connection::open(upstream.addr).await {
        Ok(connection) => {
            let closed = connection.closed_signal();
            let now_ms = gateway.clock.now_ms();
            let channels = &gateway.channels;
            channels.keep(&upstream.id, connection, PROBE_KEEP_ALIVE_MS, now_ms);
            ("opened", ProbeResult::Opened(closed))
        }
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
            if path_check::is_terminated(gateway, upstream).await {
                gateway.record_upstream_termination(upstream);
                ("refused", ProbeResult::Refused)
            } else {
                gateway.suspect_path(&upstream.id);
                ("inconclusive", ProbeResult::Inconclusive)
            }
        }
        Err(_) => ("inconclusive", ProbeResult::Inconclusive),
    };
    let probes = &gateway.metrics.probes;
    probes.with_label_values(&[&*upstream.pool, outcome]).inc();
    result
}

/// Probes an upstream each time that the connection to it that is known to be open was closed, and at once if none is
/// known, until it has terminated or no lost run counts as running there any more.
async fn watch(gateway: &Arc<Gateway>, upstream: &UpstreamRecord, mut open: Option<ClosedSignal>) {
    let mut pause = Duration::ZERO;
    while let Some(left) = gateway.lost_runs_expire_after(&upstream.id) {
        if let Some(signal) = &mut open
            && timeout(left, signal.closed()).await.is_err()
        {
            continue;
        }
        sleep(pause.min(left)).await;
        pause = (pause * 2).max(MIN_REPROBE_PAUSE);
        open = match probe_once(gateway, upstream).await {
            ProbeResult::Refused => return,
            ProbeResult::Opened(signal) => Some(signal),
            ProbeResult::Inconclusive => None,
        };
    }
}
