//! The gateway's log: nothing waits for it, and its volume is bounded.

use std::collections::{BTreeSet, HashMap};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};

use ivyweir_standins::edge::{
    BoxSpec, KEY, TestCluster, UpstreamAction, any_port, eventually, gateway_settings, get,
};
use serde_json::{Value, json};

const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");
/// Requests whose lines are more than a pipe and the log's own queue hold.
const REQUESTS: usize = 3_000;
/// Requests without failure whose lines are kept, a second.
const ROUTINE_PER_S: usize = 20;

/// A box whose standard output is read as far as a test likes.
struct Piped {
    child: Child,
    out: BufReader<ChildStdout>,
    file: PathBuf,
    caller_addr: SocketAddr,
    ready_addr: SocketAddr,
}

impl Piped {
    fn start(name: &str, store_addr: SocketAddr) -> Self {
        let settings = gateway_settings(&BoxSpec {
            name,
            hall: "hall-a",
            store_addr: &store_addr.to_string(),
            peer_addr: any_port(),
            seed_addrs: &[],
            policy: &json!({}),
            duties: &json!(null),
            contracts: &[],
            memory_mb: 110,
            stop_grace_s: 8,
        });
        let name = format!("ivyweir-log-{}-{name}.json", std::process::id());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, settings.to_string()).expect("the file can be written");
        let mut child = Command::new(Path::new(BINARY))
            .arg("--gateway")
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon can be started");
        let mut out = BufReader::new(child.stdout.take().expect("a pipe"));
        let mut line = String::new();
        out.read_line(&mut line).expect("a first line");
        let started: Value = serde_json::from_str(&line).expect("JSON");
        let addr = |field: &str| {
            let addr = started[field].as_str().expect("an address");
            addr.parse().expect("an address")
        };
        Self {
            caller_addr: addr("caller_addr"),
            ready_addr: addr("ready_addr"),
            child,
            out,
            file,
        }
    }

    fn is_ready(&self) -> bool {
        get(self.ready_addr, "/readyz", &[]).is_ok_and(|reply| reply.status == 200)
    }

    fn status(&self, id: &str) -> Option<u16> {
        let auth = format!("Bearer {KEY}");
        let headers = [("ivyweir-request-id", id), ("authorization", auth.as_str())];
        get(self.caller_addr, "/unsafe/x", &headers)
            .ok()
            .map(|reply| reply.status)
    }

    /// Stops the box and gives the rest of its log, which a planned stop writes out whole.
    fn finish(mut self) -> String {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()), "no signal");
        let mut rest = String::new();
        self.out.read_to_string(&mut rest).expect("text");
        self.child.wait().expect("it ends");
        let _left_behind = std::fs::remove_file(&self.file);
        rest
    }
}

#[test]
fn a_log_that_nobody_reads_holds_no_request_up() {
    let town = TestCluster::start(Path::new(BINARY));
    for service in &town.services {
        service.set_action(UpstreamAction::Answer(500));
    }
    let piped = Piped::start("stalled", town.store.addr());
    eventually("the box is ready", || piped.is_ready());
    // Failed requests are those whose lines are always kept.
    for n in 0..REQUESTS {
        assert_eq!(piped.status(&format!("r{n}")), Some(500), "request {n}");
    }
    piped.finish();
}

#[test]
fn a_request_has_all_its_lines_or_none() {
    let town = TestCluster::start(Path::new(BINARY));
    let piped = Piped::start("thinned", town.store.addr());
    eventually("the box is ready", || piped.is_ready());
    for n in 0..200 {
        assert_eq!(piped.status(&format!("r{n}")), Some(200), "request {n}");
    }
    let log = piped.finish();
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let mut events: HashMap<String, Vec<String>> = HashMap::new();
    let mut seconds = BTreeSet::new();
    for line in lines {
        if line["event"] == "answered" {
            seconds.insert(line["at_ms"].as_u64().expect("a time") / 1_000);
        }
        if let (Some(id), Some(event)) = (line["request_id"].as_str(), line["event"].as_str()) {
            events
                .entry(id.to_owned())
                .or_default()
                .push(event.to_owned());
        }
    }
    assert!(!log.contains(KEY), "no key is logged");
    let mut whole = 0;
    for (id, events) in &events {
        if events.iter().any(|event| event == "answered") {
            assert_eq!(events, &["admitted", "chosen", "answered"], "{id}");
            whole += 1;
        }
    }
    assert!(whole > 0, "some requests are kept");
    // A request's lines count for the second in which they are written, which may be the next one.
    let bound = ROUTINE_PER_S * (seconds.len() + 1);
    assert!(
        whole <= bound,
        "{whole} requests are kept in {} seconds",
        seconds.len()
    );
}

/// Guards against refusals that are in no line of the log, without a word that lines are missing.
#[test]
fn failed_requests_are_in_the_log_or_counted_as_left_out() {
    const FAILED: usize = 600;
    let town = TestCluster::start(Path::new(BINARY));
    for service in &town.services {
        service.set_action(UpstreamAction::NotRun);
    }
    let piped = Piped::start("crowded", town.store.addr());
    eventually("the box is ready", || piped.is_ready());
    for n in 0..FAILED {
        assert_eq!(piped.status(&format!("r{n}")), Some(503), "request {n}");
    }
    let log = piped.finish();
    let lines = log.lines();
    let lines = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let (mut logged, mut left_out) = (0, 0);
    for line in lines {
        match line["event"].as_str() {
            Some("promised_not_run") => logged += 1,
            Some("requests_left_out") => left_out += line["failed"].as_u64().expect("a number"),
            _ => {}
        }
    }
    assert_eq!(logged + left_out, FAILED as u64);
}

/// Names on answers that nobody reads, each told once however often it comes; of many, those that are remembered.
macro_rules! unread {
    ($($name:ident: $names:expr => $lines:expr, $others:expr;)*) => {$(
        #[test]
        fn $name() {
            let town = TestCluster::with_boxes(BINARY, &["hall-a"]);
            for service in &town.services {
                for n in 0..$names {
                    service.add_header(&format!("ivyweir-mood-{n}"), "good");
                }
            }
            for n in 0..4 {
                let headers = [("ivyweir-request-id", "r"), ("authorization", &*format!("Bearer {KEY}"))];
                let reply = get(town.addr(0), "/safe/x", &headers).expect("an answer");
                assert_eq!(reply.status, 200, "request {n}");
            }
            let told = || town.boxes[0].event_lines("header_unread").len();
            eventually("the names are told", || told() >= $lines);
            assert_eq!(told(), $lines);
            let metrics = get(town.boxes[0].metrics_addr, "/metrics", &[]).expect("metrics").text();
            let counted = |name: &str, count: u64| {
                metrics.contains(&format!("ivyweir_unread_headers_total{{name=\"{name}\"}} {count}\n"))
            };
            let (name, count) = if $others > 0 { ("others", $others) } else { ("ivyweir-mood-0", 4) };
            assert!(counted(name, count), "{metrics}");
        }
    )*};
}

unread! {
    a_name_that_nobody_reads_is_told_once: 1 => 1, 0;
    eighty_names_are_bounded: 80 => 64, 4 * 16;
}
