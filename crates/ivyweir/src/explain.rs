//! One request's story from the decision logs of boxes.

use std::fs;
use std::io::Read;

use serde::Serialize;
use serde_json::{Map, Value};

/// Events that say what a box believed, worth showing beside a request.
const BELIEFS: [&str; 9] = [
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
/// Time before a request's first line in which a box's beliefs are shown.
const BEFORE_MS: u64 = 10_000;

/// A line of the story.
#[derive(Debug, Serialize)]
pub struct Step {
    /// Time of day.
    pub epoch_ms: u64,
    /// The log file.
    pub from: String,
    /// What happened.
    pub event: String,
    /// Whether it is about the request itself.
    pub is_own: bool,
    /// What decided it.
    pub detail: Map<String, Value>,
}

/// Reads the files, or standard input for `-`, and tells the story of `request_id`.
///
/// # Errors
///
/// When a file cannot be read; the text names it.
pub fn story(request_id: &str, files: &[String]) -> Result<Vec<Step>, String> {
    let mut own = Vec::new();
    let mut beliefs = Vec::new();
    for file in files {
        let text = read(file)?;
        for line in text.lines() {
            let Some(step) = parse(line, file, request_id) else {
                continue;
            };
            if step.is_own {
                own.push(step);
            } else if BELIEFS.contains(&step.event.as_str()) {
                beliefs.push(step);
            }
        }
    }
    own.sort_by_key(|step| step.epoch_ms);
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Ok(own);
    };
    let span = first.epoch_ms.saturating_sub(BEFORE_MS)..=last.epoch_ms;
    let boxes: Vec<String> = own.iter().map(|step| step.from.clone()).collect();
    beliefs.retain(|step| span.contains(&step.epoch_ms) && boxes.contains(&step.from));
    own.extend(beliefs);
    own.sort_by_key(|step| step.epoch_ms);
    Ok(own)
}

/// The story as text, one line a step; a dot marks what the box believed.
pub fn table(steps: &Vec<Step>) -> String {
    let Some(first) = steps.iter().find(|step| step.is_own) else {
        return "no line of that request; it succeeded and was thinned out, or these are other boxes\n"
            .into();
    };
    let mut text = String::new();
    for step in steps {
        let after_ms = step.epoch_ms as i64 - first.epoch_ms as i64;
        let mark = if step.is_own { ' ' } else { '.' };
        let detail: Vec<String> = step
            .detail
            .iter()
            .map(|(k, v)| format!("{k}={v}"))
            .collect();
        text.push_str(&format!(
            "{after_ms:>+8} ms {mark} {} {}: {}\n",
            step.from,
            step.event,
            detail.join(" ")
        ));
    }
    text
}

fn read(file: &str) -> Result<String, String> {
    if file == "-" {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        return read
            .map(|_| text)
            .map_err(|e| format!("standard input: {e}"));
    }
    fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))
}

fn parse(line: &str, file: &str, request_id: &str) -> Option<Step> {
    // A collector may have put its own words before the line.
    let json = &line[line.find('{')?..];
    let mut detail: Map<String, Value> = serde_json::from_str(json).ok()?;
    let id = detail.remove("request_id");
    let is_own = id.as_ref().and_then(Value::as_str) == Some(request_id);
    if id.is_some() && !is_own {
        return None;
    }
    detail.remove("at_ms");
    let epoch_ms = detail.remove("epoch_ms")?.as_u64()?;
    let event = detail.remove("event")?.as_str()?.to_owned();
    Some(Step {
        epoch_ms,
        from: file.to_owned(),
        event,
        is_own,
        detail,
    })
}
