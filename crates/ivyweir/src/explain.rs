//! One request's story from the decision logs of boxes.

use std::collections::HashSet;
use std::fs;
use std::io::Read;
use std::path::Path;

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

/// What a step is to the request that is explained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Relation {
    /// It is a step of the request.
    Own,
    /// It is about an earlier or later try of the same request, by its content.
    Same,
    /// It is what the box believed.
    Belief,
}

/// A line of the story.
#[derive(Debug, Serialize)]
pub struct Step {
    /// Time of day.
    pub epoch_ms: u64,
    /// The log file.
    pub from: String,
    /// What happened.
    pub event: String,
    /// What it is to the request.
    pub relation: Relation,
    /// Whose step it is, where it is another try's.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// What decided it.
    pub detail: Map<String, Value>,
}

impl Step {
    /// Whether it is about requests of this content.
    fn names(&self, fingerprint: &str) -> bool {
        let is_it = |value: &Value| value.as_str() == Some(fingerprint);
        let one = self.detail.get("fingerprint").is_some_and(is_it);
        let many = self.detail.get("fingerprints").and_then(Value::as_array);
        one || many.is_some_and(|all| all.iter().any(is_it))
    }
}

/// Reads the files, those of folders, or standard input for `-`, and tells the story of `request_id`.
///
/// # Errors
///
/// When a file cannot be read; the text names it.
pub fn story(request_id: &str, files: &[String]) -> Result<Vec<Step>, String> {
    let mut steps = Vec::new();
    for file in logs_of(files)? {
        let text = read(&file)?;
        steps.extend(text.lines().filter_map(|line| parse(line, &file)));
    }
    let own: Vec<&Step> = steps
        .iter()
        .filter(|step| is_of(step, request_id))
        .collect();
    let (Some(first), Some(last)) = (
        own.iter().map(|step| step.epoch_ms).min(),
        own.iter().map(|step| step.epoch_ms).max(),
    ) else {
        return Ok(Vec::new());
    };
    let boxes: HashSet<String> = own.iter().map(|step| step.from.clone()).collect();
    let fingerprint = own.iter().find_map(|step| fingerprint_of(step));
    let same = same_requests(&steps, fingerprint.as_deref());
    let span = first.saturating_sub(BEFORE_MS)..=last;
    let relation = |step: &Step| {
        if is_of(step, request_id) {
            return Some(Relation::Own);
        }
        let is_same = match &step.request_id {
            Some(id) => same.contains(id),
            None => fingerprint.as_ref().is_some_and(|f| step.names(f)),
        };
        let is_belief = step.request_id.is_none()
            && BELIEFS.contains(&step.event.as_str())
            && span.contains(&step.epoch_ms)
            && boxes.contains(&step.from);
        match (is_same, is_belief) {
            (true, _) => Some(Relation::Same),
            (false, true) => Some(Relation::Belief),
            (false, false) => None,
        }
    };
    let related = steps.into_iter().filter_map(|mut step| {
        step.relation = relation(&step)?;
        Some(step)
    });
    let mut story: Vec<Step> = related.collect();
    story.sort_by_key(|step| step.epoch_ms);
    Ok(story)
}

fn is_of(step: &Step, request_id: &str) -> bool {
    step.request_id.as_deref() == Some(request_id)
}

/// The identity of a request's content, which its first step tells.
fn fingerprint_of(step: &Step) -> Option<String> {
    let fingerprint = step.detail.get("fingerprint")?;
    fingerprint.as_str().map(str::to_owned)
}

/// Ids of the tries of a request by its content, where an upstream ended under one of them: other requests that
/// are alike say nothing of it.
fn same_requests(steps: &[Step], fingerprint: Option<&str>) -> HashSet<String> {
    let Some(fingerprint) = fingerprint else {
        return HashSet::new();
    };
    let is_end = |step: &Step| step.event == "upstream_ended" && step.names(fingerprint);
    if !steps.iter().any(is_end) {
        return HashSet::new();
    }
    let of_content = steps.iter().filter(|step| step.names(fingerprint));
    of_content
        .filter_map(|step| step.request_id.clone())
        .collect()
}

/// The files, and those in folders.
fn logs_of(files: &[String]) -> Result<Vec<String>, String> {
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

/// The story as text, one line a step; a dot marks what the box believed, `=` other tries of the same content.
pub fn table(steps: &Vec<Step>) -> String {
    let Some(first) = steps.iter().find(|step| step.relation == Relation::Own) else {
        return "no line of that request; it succeeded and was thinned out, or these are other boxes\n"
            .into();
    };
    let mut text = String::new();
    for step in steps {
        let after_ms = step.epoch_ms as i64 - first.epoch_ms as i64;
        let mark = match step.relation {
            Relation::Own => ' ',
            Relation::Same => '=',
            Relation::Belief => '.',
        };
        let whose = step
            .request_id
            .iter()
            .filter(|_| step.relation == Relation::Same);
        let whose = whose.map(|id| format!("request_id={id}"));
        let detail: Vec<String> = step
            .detail
            .iter()
            .map(|(k, v)| format!("{k}={v}"))
            .chain(whose)
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

fn parse(line: &str, file: &str) -> Option<Step> {
    // A collector may have put its own words before the line.
    let json = &line[line.find('{')?..];
    let mut detail: Map<String, Value> = serde_json::from_str(json).ok()?;
    let request_id = detail.remove("request_id");
    detail.remove("at_ms");
    let epoch_ms = detail.remove("epoch_ms")?.as_u64()?;
    let event = detail.remove("event")?.as_str()?.to_owned();
    Some(Step {
        epoch_ms,
        from: file.to_owned(),
        event,
        relation: Relation::Belief,
        request_id: request_id.and_then(|id| id.as_str().map(str::to_owned)),
        detail,
    })
}
