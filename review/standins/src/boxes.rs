//! Boxes: the project's own program as separate processes, started as the deploy file says.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http::Channel;
use crate::wait_for;

/// The program, from the repository's root.
const PROGRAM: &str = "target/release/ivyweird";

/// A box that runs, and is ended with the value.
pub struct RunningBox {
    child: Child,
    /// Its name.
    pub name: String,
    /// Where requesters reach it.
    pub caller_addr: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub ready_addr: SocketAddr,
    /// Where it logs.
    pub log: PathBuf,
}

/// Addresses of a box.
#[derive(Debug, Clone, Copy)]
pub struct Addrs {
    caller: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    /// Where other boxes reach it.
    pub peer: SocketAddr,
}

/// Addresses with free loopback ports.
pub fn free_addrs(count: usize) -> io::Result<Vec<Addrs>> {
    let mut held = Vec::new();
    let mut addr = || {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        held.push(listener);
        io::Result::Ok(addr)
    };
    let mut all = Vec::new();
    for _ in 0..count {
        all.push(Addrs {
            caller: addr()?,
            ready: addr()?,
            metrics: addr()?,
            peer: addr()?,
        });
    }
    Ok(all)
}

/// The settings that the deploy file's template gives on the machines of `sites/mls-ivyweir.toml`.
fn settings(
    name: &str,
    hall: &str,
    addrs: Addrs,
    seeds: &[SocketAddr],
    store: SocketAddr,
) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        r#"{{
  "box_name": "{name}", "hall": "{hall}", "dialect": "platform",
  "contracts": ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","rollout"],
  "caller_addr": "{}", "ready_addr": "{}", "metrics_addr": "{}", "peer_addr": "{}",
  "seed_addrs": [{}], "store_addr": "{store}",
  "machine": {{ "memory_mb": 260, "max_fds": 4200, "cpu_share": 0.25 }},
  "policy": {{ "unproven_keys": "refuse" }},
  "bounds": {{
    "leaving_ms": 2000, "config_ms": 2000, "revoke_ms": 5000, "stop_grace_s": 8,
    "repeat_ratio": 0.9, "repeat_slack": 54, "repeat_window_s": 10
  }}
}}
"#,
        addrs.caller,
        addrs.ready,
        addrs.metrics,
        addrs.peer,
        seeds.join(","),
    )
}

impl RunningBox {
    /// Starts a box.
    pub fn start(
        folder: &Path,
        name: &str,
        hall: &str,
        addrs: Addrs,
        seeds: &[SocketAddr],
        store: SocketAddr,
    ) -> io::Result<Self> {
        let file = folder.join(format!("{name}.json"));
        fs::write(&file, settings(name, hall, addrs, seeds, store))?;
        let log = folder.join(format!("{name}.log"));
        let out = File::create(&log)?;
        let child = Command::new(PROGRAM)
            .arg("--gateway")
            .arg(&file)
            .stdin(Stdio::null())
            .stderr(out.try_clone()?)
            .stdout(out)
            .spawn()?;
        Ok(Self {
            child,
            name: name.into(),
            caller_addr: addrs.caller,
            ready_addr: addrs.ready,
            log,
        })
    }

    /// Whether the box answers that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = "GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        let channel = Channel::open(self.ready_addr, Duration::from_secs(1));
        let answer = channel.and_then(|mut channel| channel.call(request));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the box is ready.
    pub fn wait_ready(&self) -> bool {
        wait_for(Duration::from_secs(10), || self.is_ready())
    }

    /// Sends a signal by its name.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _sent = Command::new("kill")
            .args([&format!("-{signal}"), &pid])
            .status();
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for RunningBox {
    fn drop(&mut self) {
        let _killed = self.child.kill();
        let _ended = self.child.wait();
    }
}

/// A temporary folder that is removed with the value.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    /// Creates the folder.
    pub fn create(name: &str) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Self(folder))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _removed = fs::remove_dir_all(&self.0);
        }
    }
}

impl RunningBox {
    /// Memory of the process that no file backs, in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("RssAnon:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _killed = self.child.kill();
        let _ended = self.child.wait();
    }
}
