//! Boxes as real processes, for tests and examples.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::child;

/// Builds the two binaries as this program was built and returns their folder.
///
/// For examples, which cargo builds without the binaries of other packages.
///
/// # Errors
///
/// When cargo fails or this program does not lie in a cargo target folder.
pub fn build_binaries() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folder = program
        .ancestors()
        .nth(2)
        .ok_or_else(|| io::Error::other("not in a target folder"))?
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
        Err(io::Error::other("the binaries could not be built"))
    }
}

/// A box's settings file.
#[derive(Debug, Clone, Serialize)]
pub struct Settings {
    /// The box's name.
    pub box_name: String,
    /// Its data hall.
    pub hall: String,
    /// Where callers reach it.
    pub caller_addr: String,
    /// Where operators reach it.
    pub operator_addr: String,
    /// Where peers reach it.
    pub peer_addr: String,
    /// The platform.
    pub platform_url: String,
    /// The rating service, if there is one.
    pub rating_url: Option<String>,
    /// Hex of the key that peers share.
    pub fleet_key_hex: String,
    /// Hash of the key of the first operator, for an empty store.
    pub bootstrap_operator_key_hash: Option<String>,
    /// Choices of the policy, for experiments.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub policy: Option<serde_json::Value>,
    /// The boxes' limits, if not the usual ones.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limits: Option<serde_json::Value>,
    /// Where peers reach the box, if not at `peer_addr`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advertised_peer_addr: Option<String>,
    /// Addresses of peers to try when the platform is out.
    pub seed_peers: Vec<String>,
}

/// What a box is started with.
#[derive(Debug, Clone)]
pub struct BoxSpec {
    /// The `ivyweird` binary.
    pub binary: PathBuf,
    /// Folder for the settings file.
    pub folder: PathBuf,
    /// The settings.
    pub settings: Settings,
    /// Other environment variables, as fail points.
    pub env: Vec<(String, String)>,
}

/// A running box; it is killed when dropped.
pub struct BoxProcess {
    child: Child,
    /// Its settings.
    pub settings: Settings,
}

impl BoxSpec {
    /// Writes the settings, starts the box and waits until it says where it listens.
    ///
    /// # Errors
    ///
    /// When the file cannot be written, the process not be started, or it does not listen.
    pub fn start(&self) -> io::Result<BoxProcess> {
        fs::create_dir_all(&self.folder)?;
        let name = &self.settings.box_name;
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, serde_json::to_vec_pretty(&self.settings)?)?;
        let log_path = self.folder.join(format!("{name}.log"));
        let mut open_log = fs::OpenOptions::new();
        let log = open_log.create(true).append(true).open(&log_path)?;
        let logged_before = log.metadata()?.len() as usize;
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
        process.read_addresses(&log_path, logged_before)?;
        Ok(process)
    }
}

/// Time for a box to say where it listens.
const START_LIMIT: Duration = Duration::from_secs(30);

/// The address behind `what` in a box's first line, `… callers at A, operators at B, peers at C`.
fn address<'t>(text: &'t str, what: &str) -> Option<&'t str> {
    let (_, rest) = text.split_once(&format!("{what} at "))?;
    let end = rest.find(|c: char| !c.is_ascii_digit() && c != '.' && c != ':');
    end.map(|end| rest[..end].trim_end_matches('.'))
}

impl BoxProcess {
    fn read_addresses(&mut self, log: &Path, from: usize) -> io::Result<()> {
        let deadline = Instant::now() + START_LIMIT;
        while Instant::now() < deadline && self.is_running() {
            let text = fs::read_to_string(log)?;
            let line = text[from..]
                .lines()
                .find(|l| l.contains("listening for callers at"));
            if let Some(line) = line {
                let read = |what| {
                    let found = address(line, what).map(str::to_owned);
                    found.ok_or_else(|| io::Error::other(format!("no address of {what}: {line}")))
                };
                self.settings.caller_addr = read("callers")?;
                self.settings.operator_addr = read("operators")?;
                self.settings.peer_addr = read("peers")?;
                return Ok(());
            }
            thread::sleep(Duration::from_millis(5));
        }
        Err(io::Error::other(format!(
            "{} does not listen",
            self.settings.box_name
        )))
    }

    /// Base URL for callers.
    pub fn caller_url(&self) -> String {
        format!("http://{}", self.settings.caller_addr)
    }

    /// Base URL for operators.
    pub fn operator_url(&self) -> String {
        format!("http://{}", self.settings.operator_addr)
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.pid().to_string())
            .status();
        assert!(
            sent.is_ok_and(|s| s.success()),
            "signal {name} was not sent"
        );
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        child::kill(&mut self.child);
    }

    /// Waits until it has ended and returns its exit code; none if that takes over `limit`.
    pub fn wait_exit(&mut self, limit: Duration) -> Option<i32> {
        child::wait_exit(&mut self.child, limit)
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        attohttpc::get(format!("{}/readyz", self.caller_url()))
            .timeout(Duration::from_secs(1))
            .send()
            .is_ok_and(|r| r.is_success())
    }

    /// Resident memory, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        read_status(self.pid(), "VmRSS:").unwrap_or(0) * 1_024
    }
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn read_status(pid: u32, field: &str) -> Option<u64> {
    let status =
        fs::read_to_string(Path::new("/proc").join(pid.to_string()).join("status")).ok()?;
    let line = status.lines().find(|l| l.starts_with(field))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
