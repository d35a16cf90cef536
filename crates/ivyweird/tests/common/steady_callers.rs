//! Callers that keep using their connections until a box is gone, and the judge of what became of their requests.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bytes::Bytes;
use ivyweir_standins::edge::{KEY, KeptConnection, Reply, ScriptedUpstream};

/// Callers of one path of a box.
pub const CALLERS: usize = 12;

/// What became of a request.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The request.
    pub id: String,
    /// Status and whether the answer is whole; `None` if there is none.
    pub answer: Option<(u16, bool)>,
    /// When it was sent.
    pub sent_at: Instant,
    /// When its answer ended, or its connection.
    pub ended_at: Instant,
}

fn outcome(id: &str, sent_at: Instant, reply: Option<&Reply>) -> Outcome {
    Outcome {
        id: id.to_owned(),
        answer: reply.map(|reply| (reply.status, reply.is_complete)),
        sent_at,
        ended_at: Instant::now(),
    }
}

/// Callers that go on until they are told to stop.
pub struct Callers {
    stop: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts callers of a box that listens at `addr`, if it does, half of which keep their connections.
    pub fn start(
        addr: impl Fn() -> Option<SocketAddr> + Clone + Send + 'static,
        path: &'static str,
        name: &str,
    ) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let outcomes = Arc::<Mutex<Vec<Outcome>>>::default();
        let start = |number: usize| {
            let (addr, stop, outcomes) = (addr.clone(), stop.clone(), outcomes.clone());
            let name = format!("{name}-{number}");
            let keeps = number.is_multiple_of(2);
            thread::spawn(move || call_in_turn(&addr, path, &name, keeps, &stop, &outcomes))
        };
        let threads = (0..CALLERS).map(start).collect();
        Self {
            stop,
            outcomes,
            threads,
        }
    }

    /// Ends the callers, and returns what became of their requests.
    pub fn finish(self) -> Vec<Outcome> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a caller does not panic");
        }
        std::mem::take(&mut *self.outcomes.lock().expect("no panic"))
    }
}

fn call_in_turn(
    addr: &dyn Fn() -> Option<SocketAddr>,
    path: &str,
    name: &str,
    keeps: bool,
    stop: &AtomicBool,
    outcomes: &Mutex<Vec<Outcome>>,
) {
    let auth = format!("Bearer {KEY}");
    let mut kept = None;
    for count in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{name}-{count}");
        let headers = [
            ("ivyweir-request-id", id.as_str()),
            ("authorization", auth.as_str()),
            ("ivyweir-model", "*"),
        ];
        let open = || KeptConnection::open(addr()?).ok();
        let Some(mut connection) = kept.take().or_else(open) else {
            thread::sleep(Duration::from_millis(10));
            continue;
        };
        let sent_at = Instant::now();
        let reply = connection.call("POST", path, &headers, Bytes::from_static(b"prompt"));
        let closes = |reply: &Reply| {
            reply
                .headers
                .get("connection")
                .is_some_and(|c| c == "close")
        };
        outcomes
            .lock()
            .expect("no panic")
            .push(outcome(&id, sent_at, reply.as_ref().ok()));
        if keeps && reply.is_ok_and(|reply| reply.is_complete && !closes(&reply)) {
            kept = Some(connection);
        }
    }
}

/// Checks that each request that ran has a whole answer that does not deny it. Returns the number that ran.
pub fn judge(outcomes: &[Outcome], ran: &HashSet<String>) -> usize {
    let is_broken = |outcome: &&Outcome| match outcome.answer {
        Some((408 | 421 | 429 | 503, true)) => ran.contains(&outcome.id),
        Some((_, true)) => false,
        Some((_, false)) | None => ran.contains(&outcome.id),
    };
    let broken: Vec<_> = outcomes.iter().filter(is_broken).collect();
    let seen = outcomes.iter().filter(|outcome| ran.contains(&outcome.id));
    let seen = seen.count();
    println!(
        "{} requests, {seen} ran, {} without an answer",
        outcomes.len(),
        outcomes.iter().filter(|o| o.answer.is_none()).count()
    );
    assert!(broken.is_empty(), "of {seen} that ran: {broken:?}");
    seen
}

/// Requests that upstreams ran.
pub fn ids(upstreams: &[ScriptedUpstream]) -> HashSet<String> {
    let received = upstreams
        .iter()
        .flat_map(ScriptedUpstream::received_requests);
    let ran = received.filter(|request| request.was_run);
    ran.filter_map(|request| request.header("ivyweir-request-id").map(str::to_owned))
        .collect()
}
