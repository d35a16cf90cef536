//! Boxes of the deploy file's build, as separate processes with the settings of a small deployment.

use std::fs;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Channel, Message};

/// Addresses of a box.
#[derive(Clone, Copy)]
pub struct Place {
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub peer: SocketAddr,
}

/// Ports below those that the kernel gives to outgoing connections, which could take a port before its box does.
const FIRST_PORT: u16 = 15_000;
const PORTS: u32 = 17_000;
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Finds a port that is free, and that no other place has.
fn free_addr() -> SocketAddr {
    let offset = std::process::id().wrapping_mul(97);
    loop {
        let next = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (offset.wrapping_add(next) % PORTS) as u16;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

impl Place {
    pub fn free() -> Self {
        Self {
            caller: free_addr(),
            ready: free_addr(),
            metrics: free_addr(),
            peer: free_addr(),
        }
    }
}

pub struct Process {
    child: Child,
    pub place: Place,
}

/// What differs between the machines of the small sites.
#[derive(Clone, Copy)]
pub struct Site {
    pub memory_mb: u32,
    pub max_fds: u32,
    pub budget_slack: u32,
}

pub const MAGNOLIA: Site = Site {
    memory_mb: 110,
    max_fds: 4_100,
    budget_slack: 58,
};
pub const MLS: Site = Site {
    memory_mb: 260,
    max_fds: 4_200,
    budget_slack: 54,
};

/// The values that the platform fills into deploy/gateway.json.tmpl.
fn settings(
    site: Site,
    name: &str,
    hall: &str,
    place: &Place,
    seeds: &[SocketAddr],
    store: SocketAddr,
) -> String {
    let Site {
        memory_mb,
        max_fds,
        budget_slack,
    } = site;
    let Place {
        caller,
        ready,
        metrics,
        peer,
    } = place;
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let seeds = seeds.join(",");
    format!(
        r#"{{"box_name":"{name}","hall":"{hall}","dialect":"platform",
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","rollout"],
"caller_addr":"{caller}","ready_addr":"{ready}","metrics_addr":"{metrics}","peer_addr":"{peer}",
"seed_addrs":[{seeds}],"store_addr":"{store}",
"machine":{{"memory_mb":{memory_mb},"max_fds":{max_fds},"cpu_share":0.25}},
"policy":{{"unproven_keys":"refuse"}},
"bounds":{{"leaving_ms":2000,"config_ms":2000,"revoke_ms":5000,"stop_grace_s":8,"repeat_ratio":0.9,"repeat_slack":{budget_slack},"repeat_window_s":10}}}}
"#
    )
}

/// Starts a box at each place; the first three are the seeds.
pub fn start(site: Site, folder: &Path, places: &[Place], store: SocketAddr) -> Vec<Process> {
    let seeds: Vec<SocketAddr> = places.iter().take(3).map(|place| place.peer).collect();
    let halls = ["hall-a", "hall-b", "hall-c", "hall-d"];
    let start = |(n, place): (usize, &Place)| {
        let (name, hall) = (format!("front-{n}"), halls[n % halls.len()]);
        let file: PathBuf = folder.join(format!("{name}.json"));
        fs::write(&file, settings(site, &name, hall, place, &seeds, store))
            .expect("writable folder");
        let log = fs::File::create(folder.join(format!("{name}.log"))).expect("writable folder");
        let child = Command::new("target/release/ivyweird")
            .arg("--gateway")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a descriptor"))
            .stderr(log)
            .spawn()
            .expect("target/release/ivyweird is built");
        Process {
            child,
            place: *place,
        }
    };
    places.iter().enumerate().map(start).collect()
}

impl Process {
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ignored = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Whether it says that it is ready, as the platform asks.
    pub fn is_ready(&self) -> bool {
        let asked = || -> io::Result<u16> {
            let mut channel = Channel::new(TcpStream::connect(self.place.ready)?);
            channel
                .write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            Ok(channel.read_head()?.map_or(0, |head| head.status()))
        };
        asked().is_ok_and(|status| status == 200)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ignored = self.child.kill();
        let _ignored = self.child.wait();
    }
}

/// Waits until all boxes are ready.
pub fn wait_ready(boxes: &[Process], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if boxes.iter().all(Process::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// A request as the pages write it.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    key: &str,
    budget_ms: u64,
    body: &[u8],
) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Ivyweir-Request-Id: {id}\r\nX-Ivyweir-Deadline-Ms: {budget_ms}\r\nAuthorization: Bearer {key}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Sends a request on a new channel and reads the whole answer.
pub fn ask(place: &Place, bytes: &[u8], limit: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect(place.caller)?;
    stream.set_read_timeout(Some(limit))?;
    let mut channel = Channel::new(stream);
    channel.write(bytes)?;
    let closed = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let mut head = channel.read_head()?.ok_or_else(closed)?;
    let length = head.header("content-length").and_then(|l| l.parse().ok());
    let length: usize = length.unwrap_or(0);
    while head.body.len() < length {
        let part = channel.read_some(length - head.body.len())?;
        if part.is_empty() {
            return Err(closed());
        }
        head.body.extend(part);
    }
    Ok(head)
}

/// What is written to record.txt, with the seconds since the start.
pub struct Record {
    file: fs::File,
    pub start: Instant,
}

impl Record {
    pub fn create(file: &Path) -> Self {
        Self {
            file: fs::File::create(file).expect("record.txt can be written"),
            start: Instant::now(),
        }
    }

    pub fn line(&mut self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        let _ignored = writeln!(self.file, "{seconds:9.3} s  {text}");
    }

    pub fn now(&mut self, text: &str) {
        self.line(Instant::now(), text);
    }
}

/// The configuration of a small deployment: one service and two routes.
pub fn config(version: u64, target_ms: u64, timeout_ms: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-safe","host":"ficu95.example","pathPrefix":"/cufi504/","kind":"safe","timeoutMs":{timeout_ms},"targetLatencyMs":{target_ms},"priority":1,"service":"wuno96b","maxAttempts":3,"allowAnonymous":false}},
{{"name":"r-unsafe","host":"ficu95.example","pathPrefix":"/puxa403/","kind":"unsafe","timeoutMs":{timeout_ms},"targetLatencyMs":{target_ms},"priority":1,"service":"wuno96b","maxAttempts":1,"allowAnonymous":false}}],
"services":[{{"name":"wuno96b","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"hule930","apiKeys":[{keys}],"priority":1}}]}}"#
    )
}
