//! Traces a request through the decision logs of boxes.

use std::collections::HashSet;
use std::fs;
use std::io::Read;
use std::path::Path;

use serde::Serialize;
use serde_json::{Map, Value};

/// Events that show the state of a box and are listed together with a request's own events.
const BOX_STATE_EVENTS: [&str; 9] = [
    "store_lost",
    "store_regained",
    "readiness",
    "site_seen",
    "started",
    "stopping",
    "peer_lost",
    "version_condemned",
    "store_history_gone",
];
/// Time before a request's first log line from which on box state events are included.
const CONTEXT_BEFORE_MS: u64 = 10_000;

/// How an entry is related to the traced request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Relation {
    /// The entry belongs to the request itself.
    Own,
    /// The entry belongs to an earlier or later attempt with the same content.
    #[serde(rename = "same")]
    SameContent,
    /// The entry shows the state of a box that handled the request.
    #[serde(rename = "belief")]
    BoxState,
}

/// One log line of a trace.
#[derive(Debug, Serialize)]
pub struct TraceEntry {
    /// Time of the event, in milliseconds since the Unix epoch.
    pub epoch_ms: u64,
    /// The log file that contains the line.
    #[serde(rename = "from")]
    pub log_file: String,
    /// The name of the event.
    pub event: String,
    /// How the entry is related to the traced request.
    pub relation: Relation,
    /// The id of the request that the line is about, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// The remaining fields of the log line.
    pub detail: Map<String, Value>,
}

impl TraceEntry {
    /// Whether the entry is about requests whose content has this fingerprint.
    fn mentions_fingerprint(&self, fingerprint: &str) -> bool {
        self.has("fingerprint", fingerprint) || self.lists("fingerprints", fingerprint)
    }

    /// Whether the entry is about the part with this fingerprint, or about an upstream that ended under it. Requests
    /// with the part are not meant: there may be many.
    fn is_about_part(&self, part: &str) -> bool {
        let is_about = self.has("fingerprint", part) || self.lists("parts", part);
        is_about && self.request_id.is_none()
    }

    fn has(&self, field: &str, text: &str) -> bool {
        let value = self.detail.get(field);
        value.is_some_and(|value| value.as_str() == Some(text))
    }

    fn lists(&self, field: &str, text: &str) -> bool {
        let values = self.detail.get(field).and_then(Value::as_array);
        values.is_some_and(|all| all.iter().any(|value| value.as_str() == Some(text)))
    }
}

/// Reads log files, all files in given folders, or standard input for `-`, and returns the trace
/// of `request_id` in order of time.
///
/// # Errors
///
/// If a file cannot be read; the message names it.
pub fn trace_request(request_id: &str, files: &[String]) -> Result<Vec<TraceEntry>, String> {
    let mut entries = Vec::new();
    for file in expand_folders(files)? {
        let text = read_input(&file)?;
        entries.extend(text.lines().filter_map(|line| parse_line(line, &file)));
    }
    let own: Vec<&TraceEntry> = entries
        .iter()
        .filter(|entry| has_request_id(entry, request_id))
        .collect();
    let (Some(first), Some(last)) = (
        own.iter().map(|entry| entry.epoch_ms).min(),
        own.iter().map(|entry| entry.epoch_ms).max(),
    ) else {
        return Ok(Vec::new());
    };
    let log_files: HashSet<String> = own.iter().map(|entry| entry.log_file.clone()).collect();
    let fingerprint = own.iter().find_map(|entry| fingerprint_of(entry));
    let part = own.iter().find_map(|entry| refused_part_of(entry));
    let same_content_ids = request_ids_of_content(&entries, fingerprint.as_deref());
    let span = first.saturating_sub(CONTEXT_BEFORE_MS)..=last;
    let relation = |entry: &TraceEntry| {
        if has_request_id(entry, request_id) {
            return Some(Relation::Own);
        }
        let is_same_content = match &entry.request_id {
            Some(id) => same_content_ids.contains(id),
            None => {
                let is_of_request = |f: &String| entry.mentions_fingerprint(f);
                let is_of_part = |part: &String| entry.is_about_part(part);
                fingerprint.as_ref().is_some_and(is_of_request)
                    || part.as_ref().is_some_and(is_of_part)
            }
        };
        let is_box_state = entry.request_id.is_none()
            && BOX_STATE_EVENTS.contains(&entry.event.as_str())
            && span.contains(&entry.epoch_ms)
            && log_files.contains(&entry.log_file);
        match (is_same_content, is_box_state) {
            (true, _) => Some(Relation::SameContent),
            (false, true) => Some(Relation::BoxState),
            (false, false) => None,
        }
    };
    let related = entries.into_iter().filter_map(|mut entry| {
        entry.relation = relation(&entry)?;
        Some(entry)
    });
    let mut trace: Vec<TraceEntry> = related.collect();
    trace.sort_by_key(|entry| entry.epoch_ms);
    Ok(trace)
}

fn has_request_id(entry: &TraceEntry, request_id: &str) -> bool {
    entry.request_id.as_deref() == Some(request_id)
}

/// The fingerprint of the request's content, if the entry contains it.
fn fingerprint_of(entry: &TraceEntry) -> Option<String> {
    let fingerprint = entry.detail.get("fingerprint")?;
    fingerprint.as_str().map(str::to_owned)
}

/// The part of its prompt for which the request was refused.
fn refused_part_of(entry: &TraceEntry) -> Option<String> {
    let part = entry
        .detail
        .get("part")
        .filter(|_| entry.event == "refused")?;
    part.as_str().map(str::to_owned)
}

/// Ids of the requests with this fingerprint, if an upstream ended during one of them; otherwise
/// empty, because other requests with the same content do not explain the traced one.
fn request_ids_of_content(entries: &[TraceEntry], fingerprint: Option<&str>) -> HashSet<String> {
    let Some(fingerprint) = fingerprint else {
        return HashSet::new();
    };
    let is_end = |entry: &TraceEntry| {
        entry.event == "upstream_ended" && entry.mentions_fingerprint(fingerprint)
    };
    if !entries.iter().any(is_end) {
        return HashSet::new();
    }
    let of_content = entries
        .iter()
        .filter(|entry| entry.mentions_fingerprint(fingerprint));
    of_content
        .filter_map(|entry| entry.request_id.clone())
        .collect()
}

/// Replaces folders by the files that they contain.
fn expand_folders(files: &[String]) -> Result<Vec<String>, String> {
    let mut all = Vec::new();
    for file in files {
        if !Path::new(file).is_dir() {
            all.push(file.clone());
            continue;
        }
        let entries = fs::read_dir(file).map_err(|e| format!("{file}: {e}"))?;
        for entry in entries {
            let path = entry.map_err(|e| format!("{file}: {e}"))?.path();
            if path.is_file() {
                all.push(path.display().to_string());
            }
        }
    }
    all.sort();
    Ok(all)
}

/// Formats the trace as text, one line per entry. `.` marks box state, `=` other attempts with the
/// same content.
pub fn table(entries: &Vec<TraceEntry>) -> String {
    let Some(first) = entries.iter().find(|entry| entry.relation == Relation::Own) else {
        return "no log line for that request; it succeeded and was not sampled, or another box handled it\n"
            .into();
    };
    let mut text = String::new();
    for entry in entries {
        let after_ms = entry.epoch_ms as i64 - first.epoch_ms as i64;
        let mark = match entry.relation {
            Relation::Own => ' ',
            Relation::SameContent => '=',
            Relation::BoxState => '.',
        };
        let other_id = entry
            .request_id
            .iter()
            .filter(|_| entry.relation == Relation::SameContent);
        let other_id = other_id.map(|id| format!("request_id={id}"));
        let detail: Vec<String> = entry
            .detail
            .iter()
            .map(|(k, v)| format!("{k}={v}"))
            .chain(other_id)
            .collect();
        text.push_str(&format!(
            "{after_ms:>+8} ms {mark} {} {}: {}\n",
            entry.log_file,
            entry.event,
            detail.join(" ")
        ));
    }
    text
}

fn read_input(file: &str) -> Result<String, String> {
    if file == "-" {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        return read
            .map(|_| text)
            .map_err(|e| format!("standard input: {e}"));
    }
    fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))
}

fn parse_line(line: &str, file: &str) -> Option<TraceEntry> {
    // A log collector may have added a prefix to the line.
    let json = &line[line.find('{')?..];
    let mut detail: Map<String, Value> = serde_json::from_str(json).ok()?;
    let request_id = detail.remove("request_id");
    detail.remove("at_ms");
    let epoch_ms = detail.remove("epoch_ms")?.as_u64()?;
    let event = detail.remove("event")?.as_str()?.to_owned();
    Some(TraceEntry {
        epoch_ms,
        log_file: file.to_owned(),
        event,
        relation: Relation::BoxState,
        request_id: request_id.and_then(|id| id.as_str().map(str::to_owned)),
        detail,
    })
}
