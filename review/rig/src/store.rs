//! The platform's store: objects with revisions, listings, and watches that wait.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Channel, response};

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Mode {
    Up,
    /// Watches hear of no change: the store is about to forget its history.
    Deaf,
    /// No call is answered.
    Silent,
}

struct State {
    mode: Mode,
    revision: u64,
    objects: BTreeMap<(String, String), String>,
    log: Vec<(u64, String, String)>,
    /// Arrivals of watches of the configuration, and how long they wait.
    watches: Vec<(Instant, u64)>,
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("bound");
        let state = State {
            mode: Mode::Up,
            revision: 0,
            objects: BTreeMap::new(),
            log: Vec::new(),
            watches: Vec::new(),
        };
        let store = Self {
            addr,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes the spec of an object; returns when the write is acknowledged.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("unpoisoned");
        state.revision += 1;
        let revision = state.revision;
        let object = format!(
            r#"{{"metadata":{{"name":"{name}","revision":{revision},"createdRev":1,"finalizers":[],"deleting":false}},"spec":{spec},"status":{{}}}}"#
        );
        let event = format!(r#"{{"object":{object},"removed":false}}"#);
        state.objects.insert((kind.into(), name.into()), object);
        state.log.push((revision, kind.into(), event));
        changed.notify_all();
        Instant::now()
    }

    pub fn set_mode(&self, mode: Mode) {
        let (state, changed) = &*self.shared;
        state.lock().expect("unpoisoned").mode = mode;
        changed.notify_all();
    }

    /// Arrival and wait of the newest watch of the configuration.
    pub fn last_watch(&self) -> Option<(Instant, u64)> {
        let state = self.shared.0.lock().expect("unpoisoned");
        state.watches.last().copied()
    }

    fn serve(&self, stream: TcpStream) {
        let mut channel = Channel::new(stream);
        while let Ok(Some(request)) = channel.read_request() {
            thread::sleep(Duration::from_millis(4));
            let mut words = request.start.split(' ');
            let method = words.next().unwrap_or_default().to_owned();
            let target = words.next().unwrap_or_default().to_owned();
            let answer = self.answer(&method, &target);
            if channel.write(&answer).is_err() {
                return;
            }
        }
    }

    /// The answer to a call, once there is one.
    fn answer(&self, method: &str, target: &str) -> Vec<u8> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
        };
        let kind = path.trim_start_matches("/api/objects/").to_owned();
        let json = "Content-Type: application/json\r\n";
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().expect("unpoisoned");
        if method != "GET" {
            return response("503 Service Unavailable", json, b"{}");
        }
        let Some(since) = field("watch").and_then(|s| s.parse::<u64>().ok()) else {
            while state.mode == Mode::Silent {
                state = changed.wait(state).expect("unpoisoned");
            }
            let items = state.objects.iter().filter(|((k, _), _)| *k == kind);
            let items: Vec<&str> = items.map(|(_, object)| object.as_str()).collect();
            let body = format!(
                r#"{{"items":[{}],"truncated":false,"currentRev":{}}}"#,
                items.join(","),
                state.revision
            );
            return response("200 OK", json, body.as_bytes());
        };
        let wait_ms: u64 = field("waitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        if kind == "config" {
            state.watches.push((Instant::now(), wait_ms));
        }
        loop {
            if state.mode == Mode::Silent {
                state = changed.wait(state).expect("unpoisoned");
                continue;
            }
            let is_deaf = state.mode == Mode::Deaf;
            let events = state
                .log
                .iter()
                .filter(|(r, k, _)| *r > since && *k == kind);
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let now = Instant::now();
            if (!events.is_empty() && !is_deaf) || now >= until {
                let (events, revision) = if is_deaf {
                    (String::new(), since)
                } else {
                    (events.join(","), state.revision)
                };
                let body = format!(r#"{{"events":[{events}],"currentRev":{revision}}}"#);
                return response("200 OK", json, body.as_bytes());
            }
            let left = until - now;
            state = changed.wait_timeout(state, left).expect("unpoisoned").0;
        }
    }
}
