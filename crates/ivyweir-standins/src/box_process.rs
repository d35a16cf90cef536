//! Runs boxes as separate processes, for tests and examples.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::child;

/// Builds `ivyweird` and `ivyweir` with the profile of the current program and returns their folder.
///
/// Examples need this because cargo does not build the binaries of other packages for them.
///
/// # Errors
///
/// Returns an error if cargo fails or if the current program is not in a cargo target folder.
pub fn build_binaries() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folder = program
        .ancestors()
        .nth(2)
        .ok_or_else(|| io::Error::other("the current program is not in a cargo target folder"))?
        .to_owned();
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let mut build = Command::new(cargo);
    build.args([
        "build", "--quiet", "--locked", "-p", "ivyweird", "-p", "ivyweir",
    ]);
    build.current_dir(env!("CARGO_MANIFEST_DIR"));
    if folder.ends_with("release") {
        build.arg("--release");
    }
    if build.status()?.success() {
        Ok(folder)
    } else {
        Err(io::Error::other(
            "cargo failed to build ivyweird and ivyweir",
        ))
    }
}

/// Contents of the settings file of a box.
#[derive(Debug, Clone, Serialize)]
pub struct Settings {
    /// Name of the box.
    pub box_name: String,
    /// Data hall of the box.
    pub hall: String,
    /// Listen address for callers.
    pub caller_addr: String,
    /// Listen address for operators.
    pub operator_addr: String,
    /// Listen address for peers.
    pub peer_addr: String,
    /// Base URL of the platform.
    pub platform_url: String,
    /// Base URL of the rating service, if any.
    pub rating_url: Option<String>,
    /// Key shared by all peers, in hexadecimal.
    pub fleet_key_hex: String,
    /// Hash of the first operator's key, used when the store is empty.
    pub bootstrap_operator_key_hash: Option<String>,
    /// Overrides of the policy settings, for experiments.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub policy: Option<serde_json::Value>,
    /// Overrides of the default limits.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limits: Option<serde_json::Value>,
    /// Address that peers connect to, if it differs from `peer_addr`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advertised_peer_addr: Option<String>,
    /// Peers to contact if the platform is unavailable.
    pub seed_peers: Vec<String>,
}

/// Configuration of a box process.
#[derive(Debug, Clone)]
pub struct BoxSpec {
    /// The `ivyweird` binary.
    pub binary: PathBuf,
    /// Folder for the settings file and the log.
    pub folder: PathBuf,
    /// Contents of the settings file.
    pub settings: Settings,
    /// Additional environment variables, such as fail points.
    pub env: Vec<(String, String)>,
}

/// A running box process, killed on drop.
pub struct BoxProcess {
    child: Child,
    /// Settings of the box, with the addresses that it actually listens on.
    pub settings: Settings,
}

impl BoxSpec {
    /// Writes the settings file, starts the box and waits until it logs its listen addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings file cannot be written, the process cannot be started, or no
    /// listen addresses are logged within 30 s.
    pub fn start(&self) -> io::Result<BoxProcess> {
        fs::create_dir_all(&self.folder)?;
        let name = &self.settings.box_name;
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, serde_json::to_vec_pretty(&self.settings)?)?;
        let log_path = self.folder.join(format!("{name}.log"));
        let mut open_log = fs::OpenOptions::new();
        let log = open_log.create(true).append(true).open(&log_path)?;
        let log_offset = log.metadata()?.len() as usize;
        let child = Command::new(&self.binary)
            .arg("--settings")
            .arg(&file)
            .envs(self.env.iter().cloned())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let mut process = BoxProcess {
            child,
            settings: self.settings.clone(),
        };
        process.read_addresses(&log_path, log_offset)?;
        Ok(process)
    }
}

/// Maximum time until a box logs its listen addresses.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the address of `role` in the line that a box logs on start, `… callers at A, operators at B, peers at C`.
fn parse_address<'t>(text: &'t str, role: &str) -> Option<&'t str> {
    let (_, rest) = text.split_once(&format!("{role} at "))?;
    let end = rest.find(|c: char| !c.is_ascii_digit() && c != '.' && c != ':');
    end.map(|end| rest[..end].trim_end_matches('.'))
}

impl BoxProcess {
    fn read_addresses(&mut self, log_path: &Path, log_offset: usize) -> io::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline && self.is_running() {
            let text = fs::read_to_string(log_path)?;
            let line = text[log_offset..]
                .lines()
                .find(|l| l.contains("listening for callers at"));
            if let Some(line) = line {
                let read = |role| {
                    let found = parse_address(line, role).map(str::to_owned);
                    found.ok_or_else(|| {
                        io::Error::other(format!(
                            "no listen address for {role} in log line: {line}"
                        ))
                    })
                };
                self.settings.caller_addr = read("callers")?;
                self.settings.operator_addr = read("operators")?;
                self.settings.peer_addr = read("peers")?;
                return Ok(());
            }
            thread::sleep(Duration::from_millis(5));
        }
        Err(io::Error::other(format!(
            "{} did not log its listen addresses",
            self.settings.box_name
        )))
    }

    /// Returns the base URL for callers.
    pub fn caller_url(&self) -> String {
        format!("http://{}", self.settings.caller_addr)
    }

    /// Returns the base URL for operators.
    pub fn operator_url(&self) -> String {
        format!("http://{}", self.settings.operator_addr)
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Panics
    ///
    /// Panics if the signal cannot be sent.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.pid().to_string())
            .status();
        assert!(
            sent.is_ok_and(|s| s.success()),
            "failed to send signal {name}"
        );
    }

    /// Kills the process with `SIGKILL` and waits for its exit.
    pub fn kill(&mut self) {
        child::kill(&mut self.child);
    }

    /// Waits for the process to exit and returns its exit code.
    ///
    /// Returns `None` if the process was ended by a signal or is still running after `timeout`.
    pub fn wait_exit(&mut self, timeout: Duration) -> Option<i32> {
        child::wait_exit(&mut self.child, timeout)
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns whether `/readyz` reports that the box is ready.
    pub fn is_ready(&self) -> bool {
        attohttpc::get(format!("{}/readyz", self.caller_url()))
            .timeout(Duration::from_secs(1))
            .send()
            .is_ok_and(|r| r.is_success())
    }

    /// Returns the resident memory of the process, in bytes, or 0 if it cannot be read.
    pub fn resident_bytes(&self) -> u64 {
        read_proc_status(self.pid(), "VmRSS:").unwrap_or(0) * 1_024
    }
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

pub(crate) fn read_proc_status(pid: u32, field: &str) -> Option<u64> {
    let status =
        fs::read_to_string(Path::new("/proc").join(pid.to_string()).join("status")).ok()?;
    let line = status.lines().find(|l| l.starts_with(field))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
