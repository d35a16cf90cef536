//! Runs a gateway box as a child process.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::box_process::read_proc_status;
use crate::child;

/// Maximum time until a box logs its listening addresses.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// A running box.
pub struct GatewayProcess {
    child: Child,
    log_file: PathBuf,
    /// Box name.
    pub name: String,
    /// Listener for callers.
    pub caller_addr: SocketAddr,
    /// Listener for readiness probes of the load balancer.
    pub ready_addr: SocketAddr,
    /// Listener for metrics.
    pub metrics_addr: SocketAddr,
    /// Listener for other boxes.
    pub peer_addr: SocketAddr,
}

/// Settings that differ between the boxes started by tests.
#[derive(Debug, Clone, Copy)]
pub struct BoxSpec<'a> {
    /// Box name.
    pub name: &'a str,
    /// Hall of the box.
    pub hall: &'a str,
    /// Address at which the box reaches the store.
    pub store_addr: &'a str,
    /// Listening address for other boxes; port 0 selects a free port.
    pub peer_addr: SocketAddr,
    /// Addresses of boxes to join.
    pub seed_addrs: &'a [SocketAddr],
    /// The `policy` section of the settings.
    pub policy: &'a Value,
    /// The `duties` section of the settings; null for none.
    pub duties: &'a Value,
    /// Names of the platform's contracts.
    pub contracts: &'a [&'static str],
    /// Memory of the machine.
    pub memory_mb: u64,
    /// Time between the order to stop and the end of the process, in seconds.
    pub stop_grace_s: u64,
}

/// Builds the settings of a box. The remaining listeners use free ports, and the bounds are those that the tests rely
/// on.
pub fn gateway_settings(spec: &BoxSpec) -> Value {
    let mut settings = json!({
        "box_name": spec.name, "hall": spec.hall,
        "caller_addr": "127.0.0.1:0", "ready_addr": "127.0.0.1:0",
        "metrics_addr": "127.0.0.1:0", "peer_addr": spec.peer_addr,
        "seed_addrs": spec.seed_addrs, "store_addr": spec.store_addr,
        "machine": {"memory_mb": spec.memory_mb, "max_fds": 4100}, "policy": spec.policy,
        "duties": spec.duties,
        "bounds": {
            "leaving_ms": 2000, "config_ms": 2000, "revoke_ms": 5000, "stop_grace_s": spec.stop_grace_s,
            "hall_drain_ms": 5000,
            "repeat_ratio": 0.9, "repeat_slack": 58, "repeat_window_s": 10
        }
    });
    // Builds without load control refuse settings that they do not know.
    if !spec.contracts.is_empty() {
        settings["contracts"] = json!(spec.contracts);
    }
    settings
}

impl GatewayProcess {
    /// Writes the settings of a box to `folder`, starts the box, and waits until it has logged its listening addresses.
    ///
    /// # Panics
    ///
    /// Panics if the box does not start within 30 s.
    pub fn start(binary: &Path, folder: &Path, spec: &BoxSpec) -> Self {
        let BoxSpec {
            name, store_addr, ..
        } = spec;
        let settings = gateway_settings(spec);
        let file = folder.join(format!("{name}.json"));
        fs::write(&file, settings.to_string()).expect("test folder is writable");
        let log_file = folder.join(format!("{name}.log"));
        keep_earlier_log(&log_file);
        let log = fs::File::create(&log_file).expect("test folder is writable");
        let child = Command::new(binary)
            .arg("--gateway")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log file handle can be cloned"))
            .stderr(log)
            .spawn()
            .expect("daemon binary can be started");
        let mut process = Self {
            child,
            log_file,
            name: (*name).to_owned(),
            caller_addr: store_addr.parse().expect("valid socket address"),
            ready_addr: store_addr.parse().expect("valid socket address"),
            metrics_addr: store_addr.parse().expect("valid socket address"),
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
                    let addr = line[field].as_str().expect("valid socket address");
                    addr.parse().expect("valid socket address")
                };
                self.caller_addr = read("caller_addr");
                self.ready_addr = read("ready_addr");
                self.metrics_addr = read("metrics_addr");
                self.peer_addr = read("peer_addr");
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!(
            "box {} did not start within 30 s; log: {}",
            self.name,
            self.log()
        );
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the complete log output.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log_file).unwrap_or_default()
    }

    /// Returns the log lines of this event.
    pub fn event_lines(&self, event: &str) -> Vec<Value> {
        self.matching_lines("event", event)
    }

    /// Returns the log lines of this request.
    pub fn request_lines(&self, request_id: &str) -> Vec<Value> {
        self.matching_lines("request_id", request_id)
    }

    fn matching_lines(&self, field: &str, value: &str) -> Vec<Value> {
        let log = self.log();
        let lines = log.lines().map(serde_json::from_str);
        let lines = lines.filter_map(|line| line.ok());
        lines.filter(|line: &Value| line[field] == value).collect()
    }

    /// Sends a signal by name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(
            sent.is_ok_and(|s| s.success()),
            "failed to send signal {name}"
        );
    }

    /// Waits for the process to exit and returns its exit code, or `None` if it does not exit within `timeout`.
    pub fn wait_exit(&mut self, timeout: Duration) -> Option<i32> {
        child::wait_exit(&mut self.child, timeout)
    }

    /// Returns the resident memory of the process, in bytes, or 0 if it cannot be read.
    pub fn resident_bytes(&self) -> u64 {
        read_proc_status(self.child.id(), "VmRSS:").unwrap_or(0) * 1_024
    }

    /// Returns the largest resident memory of the process so far, in bytes, or 0 if it cannot be read.
    pub fn peak_resident_bytes(&self) -> u64 {
        read_proc_status(self.child.id(), "VmHWM:").unwrap_or(0) * 1_024
    }

    /// Returns whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        child::kill(&mut self.child);
    }
}

/// Renames the log of an earlier process of the box, so that the logs of all its processes can be read.
fn keep_earlier_log(log_file: &Path) {
    let free = (1..).map(|n| log_file.with_extension(format!("{n}.log")));
    let mut free = free.skip_while(|file| file.exists());
    if let Some(earlier) = free.next() {
        // There is none at the first start.
        let _ignored = fs::rename(log_file, earlier);
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
