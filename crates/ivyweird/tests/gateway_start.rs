//! The start of a box: signals before it runs, addresses that are in use, and settings that are being written.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::Duration;

use ivyweir_standins::edge::{BoxSpec, TestCluster, any_port, eventually, gateway_settings, get};
use serde_json::json;

const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");

/// A box whose start is not waited for.
struct Starting {
    cluster: TestCluster,
    child: Child,
    ready_addr: SocketAddr,
    folder: PathBuf,
}

impl Starting {
    /// Starts a box with a free address for readiness checks. `write` writes the settings to a file, before or after the
    /// process is spawned.
    fn spawn(
        name: &str,
        write: impl FnOnce(&PathBuf, String, &dyn Fn() -> Child) -> Child,
    ) -> Self {
        let ready_addr = free_addr();
        Self::spawn_at(name, ready_addr, write)
    }

    fn spawn_at(
        name: &str,
        ready_addr: SocketAddr,
        write: impl FnOnce(&PathBuf, String, &dyn Fn() -> Child) -> Child,
    ) -> Self {
        let cluster = TestCluster::start(BINARY);
        let mut settings = gateway_settings(&BoxSpec {
            name: "box",
            hall: "hall-a",
            store_addr: &cluster.store.addr().to_string(),
            peer_addr: any_port(),
            seed_addrs: &[],
            policy: &json!({}),
            duties: &json!(null),
            contracts: &[],
            memory_mb: 110,
            stop_grace_s: 8,
        });
        settings["ready_addr"] = json!(ready_addr);
        let folder = std::env::temp_dir().join(format!("ivyweir-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("temporary folder is writable");
        let file = folder.join("box.json");
        let spawn = || {
            let mut command = Command::new(BINARY);
            command.arg("--gateway").arg(&file).stdout(Stdio::null());
            command.spawn().expect("the daemon can be started")
        };
        let child = write(&file, settings.to_string(), &spawn);
        Self {
            cluster,
            child,
            ready_addr,
            folder,
        }
    }

    fn signal(&self, name: &str) {
        signal(&self.child, name);
    }

    fn wait_until_ready(&mut self) {
        let (child, ready_addr) = (&mut self.child, self.ready_addr);
        eventually("the box is ready", || {
            let ended = child.try_wait().expect("its state can be read");
            assert_eq!(ended, None, "the process has ended");
            get(ready_addr, "/readyz", &[]).is_ok_and(|reply| reply.status == 200)
        });
    }

    fn wait_for_end(&mut self) -> ExitStatus {
        self.child.wait().expect("it ends")
    }
}

impl Drop for Starting {
    fn drop(&mut self) {
        // It may have ended already.
        let _ignored = self.child.kill();
        let _ignored = self.child.wait();
        let _ignored = fs::remove_dir_all(&self.folder);
        self.cluster.boxes.clear();
    }
}

fn signal(child: &Child, name: &str) {
    let sent = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(child.id().to_string())
        .status();
    assert!(sent.is_ok_and(|status| status.success()), "no signal");
}

/// Whether the process has a handler for SIGTERM.
fn catches_sigterm(child: &Child) -> bool {
    const SIGTERM_BIT: u64 = 1 << 14;
    let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
    let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let caught = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
    caught.is_some_and(|mask| mask & SIGTERM_BIT != 0)
}

fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind(any_port()).expect("loopback port can be bound");
    listener.local_addr().expect("listener has an address")
}

/// Spawns a box that waits for its settings at a named pipe, and calls `meanwhile` before it gets them.
fn spawn_at_pipe(
    file: &PathBuf,
    settings: &str,
    spawn: &dyn Fn() -> Child,
    meanwhile: impl FnOnce(&Child),
) -> Child {
    let made = Command::new("mkfifo").arg(file).status();
    assert!(made.is_ok_and(|status| status.success()), "no pipe");
    let child = spawn();
    // Blocks until the box opens the pipe.
    let mut pipe = fs::OpenOptions::new()
        .write(true)
        .open(file)
        .expect("the pipe can be opened");
    meanwhile(&child);
    fs::remove_file(file).expect("the pipe can be removed");
    fs::write(file, settings).expect("test folder is writable");
    // Fails if the signal has ended the process.
    let _ignored = std::io::Write::write_all(&mut pipe, settings.as_bytes());
    child
}

// Guards against a reload that ends a process that has just started.
#[test]
fn sighup_while_the_settings_are_read_does_not_end_the_start() {
    let mut starting = Starting::spawn("hangup", |file, settings, spawn| {
        spawn_at_pipe(file, &settings, spawn, |child| signal(child, "HUP"))
    });
    starting.wait_until_ready();
}

macro_rules! stops_at_the_start {
    ($($name:ident: $signal:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut starting = Starting::spawn(stringify!($name), |file, settings, spawn| {
                spawn_at_pipe(file, &settings, spawn, |child| signal(child, $signal))
            });
            assert_eq!(starting.wait_for_end().code(), Some(0));
        }
    )*};
}

// Guards against a planned stop that counts as an end by itself.
stops_at_the_start! {
    sigterm_while_the_settings_are_read_is_a_planned_stop: "TERM";
    sigint_while_the_settings_are_read_is_a_planned_stop: "INT";
}

// Guards against an interrupt that cuts off the requests in progress.
#[test]
fn sigint_drains_a_running_box() {
    let mut starting = Starting::spawn("interrupt", |file, settings, spawn| {
        fs::write(file, settings).expect("test folder is writable");
        spawn()
    });
    starting.wait_until_ready();
    starting.signal("INT");
    assert_eq!(starting.wait_for_end().code(), Some(0));
}

// Guards against a start that fails because an address is in use for a moment.
#[test]
fn an_address_that_is_in_use_for_a_second_does_not_end_the_start() {
    let holder = TcpListener::bind(any_port()).expect("loopback port can be bound");
    let addr = holder.local_addr().expect("listener has an address");
    let mut starting = Starting::spawn_at("in-use", addr, |file, settings, spawn| {
        fs::write(file, settings).expect("test folder is writable");
        spawn()
    });
    thread::sleep(Duration::from_secs(1));
    let ended = starting.child.try_wait().expect("its state can be read");
    assert_eq!(ended, None);
    drop(holder);
    starting.wait_until_ready();
}

// Guards against a process that waits for an address after its order to stop.
#[test]
fn a_box_that_waits_for_an_address_can_be_stopped() {
    let holder = TcpListener::bind(any_port()).expect("loopback port can be bound");
    let addr = holder.local_addr().expect("listener has an address");
    let mut starting = Starting::spawn_at("in-use-stopped", addr, |file, settings, spawn| {
        fs::write(file, settings).expect("test folder is writable");
        spawn()
    });
    eventually("it has a handler", || catches_sigterm(&starting.child));
    starting.signal("TERM");
    assert_eq!(starting.wait_for_end().code(), Some(0));
}

macro_rules! incomplete_settings {
    ($($name:ident: $part:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut starting = Starting::spawn(stringify!($name), |file, settings, spawn| {
                let part: fn(&str) -> Option<&str> = $part;
                if let Some(part) = part(&settings) {
                    fs::write(file, part).expect("test folder is writable");
                }
                let child = spawn();
                thread::sleep(Duration::from_millis(300));
                fs::write(file, settings).expect("test folder is writable");
                child
            });
            starting.wait_until_ready();
        }
    )*};
}

// Guards against a start that fails because its settings are still being written.
incomplete_settings! {
    settings_that_are_half_written_do_not_end_the_start: |settings| Some(&settings[..settings.len() / 2]);
    settings_that_are_empty_do_not_end_the_start: |_| Some("");
    settings_that_are_not_there_yet_do_not_end_the_start: |_| None;
}

// Guards against a wait for settings that are complete and wrong.
#[test]
fn settings_with_an_unknown_field_end_the_start_at_once() {
    let mut starting = Starting::spawn("unknown", |file, _, spawn| {
        fs::write(file, r#"{"unknown": 1}"#).expect("test folder is writable");
        spawn()
    });
    assert_eq!(starting.wait_for_end().code(), Some(2));
}
