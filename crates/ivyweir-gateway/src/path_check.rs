//! Checks the paths to suspected upstreams: this box probes them, and asks other boxes to probe those that it does not
//! reach.
//!
//! A box that is cut off from the upstreams detects in this way that they are up, and hands its requests over instead of
//! waiting for one connection after another.

use std::future::{Future, pending};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{BoxFuture, MaybeDone, join_all, maybe_done};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use ivyweir_policy::Name;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_policy::gateway::reachability::{
    CheckedPath, PeerProbes, ProbeResult, probe_extension_ms,
};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::box_call;
use crate::client::Client;
use crate::connection::{CONNECT_TIMEOUT, ClosedSignal, Connection, discard_body, keep_alive_ms};
use crate::response::{self, ResponseBody, status_only};
use crate::state::Gateway;

/// HTTP path of the request to probe upstreams.
pub const PROBE_PATH: &str = "/peer/probe";
/// Time limit for the response of an upstream to a probe. In a check, other boxes are asked after it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time limit for the results of another box, which includes its probes.
const PEER_PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which silent upstreams are looked for and those without a path are probed.
const MONITOR_INTERVAL: Duration = Duration::from_millis(100);
/// Upstreams without a path that are probed in one interval.
const PROBES_PER_INTERVAL: usize = 2;
/// Upstreams that are checked in addition to the suspected ones.
const EXTRA_UPSTREAMS: usize = 2;
/// Further upstreams that are checked after some paths failed and others did not.
const FURTHER_UPSTREAMS: usize = 16;
/// Boxes that are asked to probe upstreams.
const ASKED_BOXES: usize = 3;
/// Rounds in which boxes are asked, as those of one round may be cut off too.
const ASK_ROUNDS: usize = 2;
/// Pause before a check is repeated that could not tell why it reached nothing; doubles each time.
const MIN_RECHECK_PAUSE: Duration = Duration::from_millis(25);
/// Upper bound of that pause.
const MAX_RECHECK_PAUSE: Duration = Duration::from_millis(400);
/// Age of data from any upstream up to which it shows that this box has a path.
const CONTACT_MAX_AGE_MS: u64 = 100;
/// Upstreams that are probed to find out whether this box has a path.
const CONTROL_UPSTREAMS: usize = 2;
/// Time for which the connection opened by a probe is kept in the pool.
const PROBE_KEEP_ALIVE_MS: u64 = 1_000;
/// Maximum size of a message between boxes.
const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// Maximum number of upstreams that are probed for another box at once.
const MAX_PROBES_FOR_PEER: usize = 32;

/// A request to probe upstreams.
#[derive(Debug, Serialize, Deserialize)]
struct ProbeRequest {
    upstreams: Vec<Name>,
}

/// Checks the paths to the suspected upstreams in the background.
pub fn start(gateway: &Arc<Gateway>) {
    let gateway = gateway.clone();
    tokio::spawn(async move {
        let mut pause = MIN_RECHECK_PAUSE;
        while let Some(records) = gateway.begin_path_check(EXTRA_UPSTREAMS) {
            let results = check(&gateway, &records).await;
            if gateway.apply_path_check(&results, false) {
                check_many(&gateway, results).await;
            }
            gateway.end_path_check();
            if gateway.is_path_check_unresolved() {
                sleep(pause).await;
                pause = (pause * 2).min(MAX_RECHECK_PAUSE);
            }
        }
    });
}

/// Checks the paths to many upstreams in the background.
pub fn start_wide(gateway: &Arc<Gateway>) {
    let gateway = gateway.clone();
    tokio::spawn(async move {
        check_many(&gateway, Vec::new()).await;
        gateway.end_wide_path_check();
    });
}

/// Checks many upstreams in addition to those of `results`, and the others too while many of them have no path.
async fn check_many(gateway: &Arc<Gateway>, mut results: Vec<(Name, CheckedPath)>) {
    let mut limit = FURTHER_UPSTREAMS;
    loop {
        let checked: Vec<Name> = results.iter().map(|(name, _)| name.clone()).collect();
        let records = gateway.random_upstreams(limit, &checked);
        results.extend(check(gateway, &records).await);
        gateway.apply_path_check(&results, true);
        if records.len() < limit || !gateway.wants_further_path_check(&results) {
            return;
        }
        limit = MAX_PROBES_FOR_PEER;
    }
}

/// Probes upstreams, and records the termination of those at whose addresses nothing listens.
async fn check(gateway: &Gateway, records: &[Arc<UpstreamRecord>]) -> Vec<(Name, CheckedPath)> {
    let mut probes = Probes::start(gateway, records);
    probes.wait(PROBE_TIMEOUT).await;
    let failed = probes.names_with(|result| result != ProbeResult::Reached);
    let others = if failed.is_empty() {
        Vec::new()
    } else {
        probes.run_beside(ask_boxes(gateway, &failed)).await
    };
    let silent = probes.names_with(|result| result == ProbeResult::Silent);
    let extension_ms = probe_extension_ms(&silent, &others);
    probes.wait(Duration::from_millis(extension_ms)).await;
    let own = probes.results();
    let has_path = own.contains(&ProbeResult::Reached);
    let mut results = Vec::new();
    for (record, own) in records.iter().zip(own) {
        count_probe(gateway, record, own);
        let checked = CheckedPath::new(&record.id, own, &others);
        if checked.is_terminated(has_path) {
            gateway.record_upstream_termination(record);
        }
        if own != ProbeResult::Reached {
            let detail = json!({
                "upstream": record.id, "result": format!("{own:?}"),
                "others": checked.others.map(|result| format!("{result:?}")),
            });
            gateway.log.line("upstream_not_reached", detail);
        }
        results.push((record.id.clone(), checked));
    }
    results
}

/// Probes an upstream on a new connection.
pub async fn probe(gateway: &Gateway, upstream: &UpstreamRecord) -> ProbeResult {
    let result = timeout(PROBE_TIMEOUT, exchange(gateway, upstream)).await;
    let result = result.unwrap_or(ProbeResult::Silent);
    count_probe(gateway, upstream, result);
    result
}

fn count_probe(gateway: &Gateway, upstream: &UpstreamRecord, result: ProbeResult) {
    let outcome = match result {
        ProbeResult::Reached => "reached",
        ProbeResult::Refused => "refused",
        ProbeResult::Broken => "broken",
        ProbeResult::Silent => "silent",
    };
    let probes = &gateway.metrics.probes;
    probes.with_label_values(&[&*upstream.pool, outcome]).inc();
}

/// Probes of upstreams in progress.
struct Probes<'a> {
    records: &'a [Arc<UpstreamRecord>],
    probes: Vec<MaybeDone<BoxFuture<'a, ProbeResult>>>,
}

impl<'a> Probes<'a> {
    fn start(gateway: &'a Gateway, records: &'a [Arc<UpstreamRecord>]) -> Self {
        let start = |record: &'a Arc<UpstreamRecord>| maybe_done(exchange(gateway, record).boxed());
        Self {
            records,
            probes: records.iter().map(start).collect(),
        }
    }

    /// Waits until all have ended, for a limited time.
    async fn wait(&mut self, limit: Duration) {
        let _ended = timeout(limit, join_all(self.probes.iter_mut())).await;
    }

    /// Lets them go on while `other` runs.
    async fn run_beside<T>(&mut self, other: impl Future<Output = T>) -> T {
        let probes = async {
            join_all(self.probes.iter_mut()).await;
            pending().await
        };
        tokio::select! {
            result = other => result,
            result = probes => result,
        }
    }

    /// Results so far; those without a response are silent.
    fn results(&self) -> Vec<ProbeResult> {
        let result = |probe: &MaybeDone<_>| match probe {
            MaybeDone::Done(result) => *result,
            MaybeDone::Future(_) | MaybeDone::Gone => ProbeResult::Silent,
        };
        self.probes.iter().map(result).collect()
    }

    /// Upstreams with such results so far.
    fn names_with(&self, is_wanted: impl Fn(ProbeResult) -> bool) -> Vec<Name> {
        let results = self.records.iter().zip(self.results());
        let wanted = results.filter(|(_, result)| is_wanted(*result));
        wanted.map(|(record, _)| record.id.clone()).collect()
    }
}

/// Opens a connection to an upstream and exchanges a message without effect, if the dialect has one.
async fn exchange(gateway: &Gateway, upstream: &UpstreamRecord) -> ProbeResult {
    match open(gateway, upstream).await {
        Ok(opened) => {
            opened.keep(gateway, upstream);
            ProbeResult::Reached
        }
        Err(result) => result,
    }
}

/// A new connection to an upstream.
pub struct OpenedConnection {
    connection: Connection,
    /// Whether the upstream has answered on it.
    pub is_answered: bool,
    /// Time for which it may be kept; `None` if it must be closed.
    keep_ms: Option<u64>,
}

impl OpenedConnection {
    /// Returns a signal that the connection was closed.
    pub fn closed_signal(&self) -> ClosedSignal {
        self.connection.closed_signal()
    }

    /// Keeps the connection for the next request to the upstream.
    pub fn keep(self, gateway: &Gateway, upstream: &UpstreamRecord) {
        if let Some(keep_ms) = self.keep_ms {
            let now_ms = gateway.clock.now_ms();
            let channels = &gateway.channels;
            channels.keep(&upstream.id, self.connection, keep_ms, now_ms);
        }
    }
}

/// Opens a connection to an upstream and exchanges a message without effect, if the dialect has one.
///
/// # Errors
///
/// Fails with what was found instead if the upstream is not reached.
pub async fn open(
    gateway: &Gateway,
    upstream: &UpstreamRecord,
) -> Result<OpenedConnection, ProbeResult> {
    let connection = Connection::open_within(upstream.addr, CONNECT_TIMEOUT).await;
    let mut connection = connection.map_err(|e| failure(&e))?;
    let site = gateway.site();
    let pool = site.as_ref().and_then(|site| site.pool(&upstream.pool));
    let is_engine = pool.is_some_and(|pool| pool.is_engine);
    let Some(ping) = gateway.dialect.ping(is_engine, upstream.addr) else {
        return Ok(OpenedConnection {
            connection,
            is_answered: false,
            keep_ms: Some(PROBE_KEEP_ALIVE_MS),
        });
    };
    connection.record_request(None);
    let response = connection.send(ping).await;
    let response = response.map_err(|_| ProbeResult::Broken)?;
    let keep_ms = keep_alive_ms(response.headers());
    // What the answer says does not matter. One that goes on takes the connection along.
    let is_whole = discard_body(response.into_body()).await.is_ok();
    let keep_ms = keep_ms.filter(|_| is_whole);
    Ok(OpenedConnection {
        connection,
        is_answered: true,
        keep_ms: keep_ms.map(|ms| ms.min(PROBE_KEEP_ALIVE_MS)),
    })
}

fn failure(error: &io::Error) -> ProbeResult {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => ProbeResult::Refused,
        io::ErrorKind::TimedOut => ProbeResult::Silent,
        _ => ProbeResult::Broken,
    }
}

/// Asks other boxes to probe upstreams, until one of them has a path.
async fn ask_boxes(gateway: &Gateway, upstreams: &[Name]) -> Vec<PeerProbes> {
    let boxes = gateway.peers.responsive_boxes(gateway.clock.now_ms());
    let mut asked = Vec::new();
    let mut answers: Vec<PeerProbes> = Vec::new();
    for _ in 0..ASK_ROUNDS {
        let left: Vec<Name> = boxes
            .iter()
            .filter(|b| !asked.contains(*b))
            .cloned()
            .collect();
        let chosen: Vec<Name> = left
            .choose_multiple(&mut rand::rng(), ASKED_BOXES)
            .cloned()
            .collect();
        let addrs = chosen.iter().filter_map(|name| gateway.peers.addr_of(name));
        let round = join_all(addrs.map(|addr| ask(gateway, addr, upstreams))).await;
        answers.extend(round.into_iter().flatten());
        asked.extend(chosen);
        if answers.iter().any(|probes| probes.has_path) {
            break;
        }
    }
    answers
}

async fn ask(gateway: &Gateway, addr: SocketAddr, upstreams: &[Name]) -> Option<PeerProbes> {
    let asked_at_ms = gateway.clock.now_ms();
    let message = ProbeRequest {
        upstreams: upstreams.to_vec(),
    };
    let mut client = Client::new(addr);
    let call = box_call::post(&mut client, PROBE_PATH, &message, PEER_PROBE_TIMEOUT);
    let probes: PeerProbes = timeout(PEER_PROBE_TIMEOUT, call).await.ok()?.ok()?;
    Some(PeerProbes {
        took_ms: gateway.clock.now_ms() - asked_at_ms,
        ..probes
    })
}

/// Handles the request of another box to probe upstreams.
pub async fn handle(gateway: &Gateway, request: Request<Incoming>) -> Response<ResponseBody> {
    let message = box_call::read_message::<ProbeRequest>(request, MAX_MESSAGE_BYTES);
    let Some(message) = message.await else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    let mut records = gateway.upstream_records(|id| message.upstreams.iter().any(|u| **u == *id));
    records.truncate(MAX_PROBES_FOR_PEER);
    if gateway.is_cut_off() {
        return response::peer_message(&PeerProbes::default());
    }
    let results = join_all(records.iter().map(|record| probe(gateway, record))).await;
    let has_path =
        results.contains(&ProbeResult::Reached) || has_path(gateway, &message.upstreams).await;
    let names = records.iter().map(|record| record.id.clone());
    response::peer_message(&PeerProbes {
        has_path,
        results: names.zip(results).collect(),
        took_ms: 0,
    })
}

/// Whether this box has a path to any upstream other than `except`.
async fn has_path(gateway: &Gateway, except: &[Name]) -> bool {
    if gateway.has_contact_within(CONTACT_MAX_AGE_MS) {
        return true;
    }
    let controls = gateway.random_upstreams(CONTROL_UPSTREAMS, except);
    let results = join_all(controls.iter().map(|record| probe(gateway, record))).await;
    results.contains(&ProbeResult::Reached)
}

/// Whether an upstream that refused a connection has terminated, by what other boxes find at its address.
pub async fn is_terminated(gateway: &Arc<Gateway>, upstream: &UpstreamRecord) -> bool {
    if gateway.peers.peer_count() == 0 {
        return true;
    }
    let upstreams = [upstream.id.clone()];
    let others = ask_boxes(gateway, &upstreams).await;
    let checked = CheckedPath::new(&upstream.id, ProbeResult::Refused, &others);
    let has_path = checked.others.is_none() && has_path(gateway, &upstreams).await;
    checked.is_terminated(has_path)
}

/// Whether another box reaches an upstream.
pub async fn is_reached_by_others(gateway: &Gateway, upstream: &UpstreamRecord) -> bool {
    let others = ask_boxes(gateway, std::slice::from_ref(&upstream.id)).await;
    let checked = CheckedPath::new(&upstream.id, ProbeResult::Refused, &others);
    checked.others == Some(ProbeResult::Reached)
}

/// Looks for silent upstreams and probes those without a path, for the lifetime of the process.
pub async fn monitor(gateway: Arc<Gateway>) {
    loop {
        sleep(MONITOR_INTERVAL).await;
        gateway.suspect_silent_paths();
        if !gateway.has_path_trouble() {
            continue;
        }
        for upstream in gateway.due_path_probes(PROBES_PER_INTERVAL) {
            let gateway = gateway.clone();
            tokio::spawn(async move {
                if probe(&gateway, &upstream).await == ProbeResult::Reached {
                    gateway.record_reached(&upstream.id);
                }
            });
        }
    }
}
