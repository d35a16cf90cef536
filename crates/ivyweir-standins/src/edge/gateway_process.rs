//! A box of the gateway as a process of its own.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::child;

/// Time for a box to say where it listens.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// A running box.
pub struct GatewayProcess {
    child: Child,
    log_file: PathBuf,
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub caller_addr: SocketAddr,
    /// Where the balancer asks.
    pub ready_addr: SocketAddr,
    /// Where metrics are served.
    pub metrics_addr: SocketAddr,
    /// Where other boxes connect.
    pub peer_addr: SocketAddr,
}

/// What differs between boxes that tests start.
#[derive(Debug, Clone, Copy)]
pub struct BoxSpec<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its hall.
    pub hall: &'a str,
    /// Where it reaches the store.
    pub store_addr: &'a str,
    /// Where it listens for other boxes; port 0 for any.
    pub peer_addr: SocketAddr,
    /// Where it joins them.
    pub seed_addrs: &'a [SocketAddr],
    /// The `policy` section of its settings.
    pub policy: &'a Value,
    /// The `duties` section of its settings; null for none.
    pub duties: &'a Value,
}

/// Settings of a box with its other listeners on any free ports, and the bounds that tests go by.
pub fn gateway_settings(spec: &BoxSpec) -> Value {
    json!({
        "box_name": spec.name, "hall": spec.hall,
        "caller_addr": "127.0.0.1:0", "ready_addr": "127.0.0.1:0",
        "metrics_addr": "127.0.0.1:0", "peer_addr": spec.peer_addr,
        "seed_addrs": spec.seed_addrs, "store_addr": spec.store_addr,
        "machine": {"memory_mb": 110, "max_fds": 4100}, "policy": spec.policy,
        "duties": spec.duties,
        "bounds": {
            "leaving_ms": 2000, "config_ms": 2000, "revoke_ms": 5000, "stop_grace_s": 8,
            "hall_drain_ms": 5000,
            "repeat_ratio": 0.9, "repeat_slack": 58, "repeat_window_s": 10
        }
    })
}

impl GatewayProcess {
    /// Starts a box.
    pub fn start(binary: &Path, folder: &Path, spec: &BoxSpec) -> Self {
        let BoxSpec {
            name, store_addr, ..
        } = spec;
        let settings = gateway_settings(spec);
        let file = folder.join(format!("{name}.json"));
        fs::write(&file, settings.to_string()).expect("the folder can be written");
        let log_file = folder.join(format!("{name}.log"));
        let log = fs::File::create(&log_file).expect("the folder can be written");
        let child = Command::new(binary)
            .arg("--gateway")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn()
            .expect("the daemon can be started");
        let mut process = Self {
            child,
            log_file,
            name: (*name).to_owned(),
            caller_addr: store_addr.parse().expect("an address"),
            ready_addr: store_addr.parse().expect("an address"),
            metrics_addr: store_addr.parse().expect("an address"),
            peer_addr: spec.peer_addr,
        };
        process.read_addresses();
        process
    }

    fn read_addresses(&mut self) {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(line) = self.event_lines("started").first() {
                let read = |field: &str| {
                    let addr = line[field].as_str().expect("an address");
                    addr.parse().expect("an address")
                };
                self.caller_addr = read("caller_addr");
                self.ready_addr = read("ready_addr");
                self.metrics_addr = read("metrics_addr");
                self.peer_addr = read("peer_addr");
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("{} did not start: {}", self.name, self.log());
    }

    /// All it has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log_file).unwrap_or_default()
    }

    /// The log lines of an event.
    pub fn event_lines(&self, event: &str) -> Vec<Value> {
        self.matching_lines("event", event)
    }

    /// The log lines of a request.
    pub fn request_lines(&self, request_id: &str) -> Vec<Value> {
        self.matching_lines("request_id", request_id)
    }

    fn matching_lines(&self, field: &str, value: &str) -> Vec<Value> {
        let log = self.log();
        let lines = log.lines().map(serde_json::from_str);
        let lines = lines.filter_map(|line| line.ok());
        lines.filter(|line: &Value| line[field] == value).collect()
    }

    /// Sends a signal by its name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(
            sent.is_ok_and(|s| s.success()),
            "signal {name} was not sent"
        );
    }

    /// Its exit code, once it has ended; none if that takes over `limit`.
    pub fn wait_exit(&mut self, timeout: Duration) -> Option<i32> {
        child::wait_exit(&mut self.child, timeout)
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        child::kill(&mut self.child);
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
