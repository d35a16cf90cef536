//! The platform's store: objects by kind and name, lists, watches, and writes on the condition of a revision.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{answer, listen, read_body, read_head};
use crate::json::{Json, quote};

type Key = (String, String);

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

impl Object {
    fn text(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":{},\"revision\":{},\"createdRev\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":{}}}",
            quote(name),
            self.revision,
            self.created,
            self.spec,
            self.status
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<Key, Object>,
    /// Revision, kind and the event.
    events: Vec<(u64, String, String)>,
    /// While set, calls are read and not answered.
    is_silent: bool,
}

impl State {
    fn log(&mut self, kind: &str, removed: bool, object: &str) {
        let event = format!("{{\"removed\":{removed},\"object\":{object}}}");
        self.events.push((self.revision, kind.into(), event));
    }
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    /// Where it listens.
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> std::io::Result<Self> {
        let shared: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let of_calls = shared.clone();
        let addr = listen(move |stream| serve(&of_calls, stream))?;
        Ok(Self { addr, shared })
    }

    /// Writes an object as the operator or a server does; returns the revision, which is the ack.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.shared.0.lock().expect("no holder panics");
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key);
        let object = Object {
            revision,
            created: known.map_or(revision, |known| known.created),
            spec: spec.to_owned(),
            status: known.map_or("null".into(), |known| known.status.clone()),
        };
        let text = object.text(name);
        state.objects.insert(key, object);
        state.log(kind, false, &text);
        self.shared.1.notify_all();
        revision
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().expect("no holder panics");
        if let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) {
            state.revision += 1;
            let text = object.text(name);
            state.log(kind, true, &text);
            self.shared.1.notify_all();
        }
    }

    /// The status of an object, as JSON.
    pub fn status(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.shared.0.lock().expect("no holder panics");
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(object.status.clone())
    }

    /// Lets the store answer no call any more, or answer again.
    pub fn set_silent(&self, is_silent: bool) {
        self.shared.0.lock().expect("no holder panics").is_silent = is_silent;
        self.shared.1.notify_all();
    }
}

fn serve(shared: &(Mutex<State>, Condvar), stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(mut call)) = read_head(&mut reader) {
        if read_body(&mut reader, &mut call, false).is_err() {
            return;
        }
        let target = call.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let path: Vec<&str> = path.trim_matches('/').split('/').collect();
        let (status, body) = handle(shared, call.word(0), &path, query, &call.text());
        // Once an answer on a channel is lost, that channel says nothing further.
        if shared.0.lock().expect("no holder panics").is_silent {
            std::thread::sleep(Duration::from_secs(60));
            return;
        }
        let text = answer(status, &[("Content-Type", "application/json")], &body);
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

fn field<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    fields
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value)
}

const OK: &str = "200 OK";
const CONFLICT: &str = "409 Conflict";
const NOT_FOUND: &str = "404 Not Found";
const BAD: &str = "400 Bad Request";

fn handle(
    shared: &(Mutex<State>, Condvar),
    method: &str,
    path: &[&str],
    query: &str,
    body: &str,
) -> (&'static str, String) {
    let ["api", "objects", kind, rest @ ..] = path else {
        return (NOT_FOUND, "{}".into());
    };
    if method == "GET" && rest.is_empty() {
        let since = field(query, "watch").and_then(|since| since.parse().ok());
        return match since {
            Some(since) => (OK, watch(shared, kind, since, query)),
            None => (OK, list(shared, kind, field(query, "after"))),
        };
    }
    let mut state = shared.0.lock().expect("no holder panics");
    let message = Json::parse(body);
    let part = |name: &str| message.as_ref().and_then(|message| message.get(name));
    let metadata = part("metadata");
    let name = match rest {
        [name, ..] => (*name).to_owned(),
        [] => match metadata.and_then(|m| m.get("name")?.as_str()) {
            Some(name) => name.to_owned(),
            None => return (BAD, "{}".into()),
        },
    };
    let key = ((*kind).to_owned(), name.clone());
    let known = state.objects.get(&key).cloned();
    let stated = metadata.and_then(|m| m.get("revision")?.as_u64());
    let stated = stated.or_else(|| field(query, "revision")?.parse().ok());
    let is_status = rest.len() == 2 && rest[1] == "status";
    match (method, known) {
        ("GET", Some(object)) => return (OK, object.text(&name)),
        ("POST", None) => {
            state.revision += 1;
            let revision = state.revision;
            let object = Object {
                revision,
                created: revision,
                spec: part("spec").map_or("null".into(), Json::text),
                status: "null".into(),
            };
            let text = object.text(&name);
            state.objects.insert(key, object);
            state.log(kind, false, &text);
            shared.1.notify_all();
            (OK, text)
        }
        ("POST", Some(object)) => (CONFLICT, object.text(&name)),
        (_, None) => (NOT_FOUND, "{}".into()),
        (_, Some(object)) if stated.is_some_and(|stated| stated != object.revision) => {
            (CONFLICT, object.text(&name))
        }
        ("PUT", Some(mut object)) => {
            let place = if is_status {
                &mut object.status
            } else {
                &mut object.spec
            };
            let new = part(if is_status { "status" } else { "spec" });
            let new = new.map_or("null".into(), Json::text);
            if *place == new {
                return (OK, object.text(&name));
            }
            *place = new;
            state.revision += 1;
            object.revision = state.revision;
            let text = object.text(&name);
            state.objects.insert(key, object);
            state.log(kind, false, &text);
            shared.1.notify_all();
            (OK, text)
        }
        ("DELETE", Some(object)) => {
            state.objects.remove(&key);
            state.revision += 1;
            let text = object.text(&name);
            state.log(kind, true, &text);
            shared.1.notify_all();
            (OK, text)
        }
        _ => (BAD, "{}".into()),
    }
}

fn list(shared: &(Mutex<State>, Condvar), kind: &str, after: Option<&str>) -> String {
    let state = shared.0.lock().expect("no holder panics");
    let objects = state.objects.iter().filter(|((known, _), _)| known == kind);
    let objects = objects.filter(|((_, name), _)| after.is_none_or(|after| name.as_str() > after));
    let items: Vec<String> = objects
        .map(|((_, name), object)| object.text(name))
        .collect();
    format!(
        "{{\"items\":[{}],\"truncated\":false,\"currentRev\":{}}}",
        items.join(","),
        state.revision
    )
}

fn watch(shared: &(Mutex<State>, Condvar), kind: &str, since: u64, query: &str) -> String {
    let wait_ms = field(query, "waitMs").and_then(|ms| ms.parse().ok());
    let deadline = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0).min(30_000));
    let mut state = shared.0.lock().expect("no holder panics");
    loop {
        let events = state.events.iter();
        let events = events.filter(|(revision, known, _)| *revision > since && known == kind);
        let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
        let left = deadline.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() || state.is_silent {
            return format!(
                "{{\"events\":[{}],\"currentRev\":{}}}",
                events.join(","),
                state.revision
            );
        }
        state = shared
            .1
            .wait_timeout(state, left)
            .expect("no holder panics")
            .0;
    }
}
