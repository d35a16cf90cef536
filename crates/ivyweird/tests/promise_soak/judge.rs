//! Compares what callers were told with what upstreams ran, by the ids of the requests.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

use ivyweir_standins::edge::{Fate, Handled, LAST_EVENT, answer_text, event_text};
use serde_json::Value;

use super::callers::Asked;
use super::site::{is_repeatable, is_route, route_of};

/// Time before a box was killed in which lines of its log may be lost with it.
const UNWRITTEN: Duration = Duration::from_millis(1_500);

/// Whether a status promises that the request has not run and never will.
pub fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// What the logs of all boxes say.
#[derive(Debug, Default)]
pub struct Logs {
    /// Reason and basis of each promise, by box and request.
    promises: HashMap<(usize, String), (String, String)>,
    /// Failed requests that were left out, and lines that were dropped, by box.
    left_out: HashMap<usize, u64>,
    /// Requests that were handed over by the box that their caller sent them to.
    handed_over: HashSet<(usize, String)>,
    /// Number of lines by event.
    pub events: BTreeMap<String, usize>,
    /// The logs, each with its box.
    texts: Vec<(usize, String)>,
}

impl Logs {
    /// Reads the logs of all processes of all boxes.
    pub fn read(folder: &Path) -> Self {
        let mut logs = Self::default();
        let files = fs::read_dir(folder).expect("the folder of the logs");
        for file in files.flatten() {
            let name = file.file_name().to_string_lossy().into_owned();
            let number = name
                .strip_prefix("box-")
                .and_then(|rest| rest.split('.').next()?.parse().ok());
            let (Some(number), true) = (number, name.ends_with(".log")) else {
                continue;
            };
            let text = fs::read(file.path()).expect("a readable log");
            let text = String::from_utf8_lossy(&text).into_owned();
            for line in text.lines() {
                // The last line of a box that was killed may be cut.
                if let Ok(line) = serde_json::from_str::<Value>(line) {
                    logs.add(number, &line);
                }
            }
            logs.texts.push((number, text));
        }
        logs
    }

    /// Adds a line of a box.
    pub fn add(&mut self, number: usize, line: &Value) {
        let event = line["event"].as_str().unwrap_or_default();
        *self.events.entry(event.to_owned()).or_default() += 1;
        let text = |field: &str| line[field].as_str().unwrap_or_default().to_owned();
        let request = (number, text("request_id"));
        match event {
            "promised_not_run" => {
                self.promises.entry(request).or_default().1 = text("basis");
            }
            "refused" => self.promises.entry(request).or_default().0 = text("reason"),
            "handed_over" => {
                self.handed_over.insert(request);
            }
            "requests_left_out" => {
                *self.left_out.entry(number).or_default() += line["failed"].as_u64().unwrap_or(0);
            }
            "log_lines_dropped" => {
                *self.left_out.entry(number).or_default() += line["lines"].as_u64().unwrap_or(0);
            }
            _ => {}
        }
    }

    /// Prints how often the boxes logged each event.
    pub fn print_events(&self) {
        let events = self.events.iter();
        let counts: Vec<_> = events
            .map(|(event, count)| format!("{event}: {count}"))
            .collect();
        println!("  events {}", counts.join(", "));
    }

    /// Lines of all boxes about a request, in order of their time.
    pub fn lines_of(&self, id: &str) -> Vec<String> {
        let mut lines = Vec::new();
        for (number, text) in &self.texts {
            let parsed = text.lines().map(serde_json::from_str::<Value>);
            for line in parsed.filter_map(Result::ok) {
                if line["request_id"] == id {
                    lines.push((line["epoch_ms"].as_u64(), format!("box {number}: {line}")));
                }
            }
        }
        lines.sort();
        lines.into_iter().map(|(_, line)| line).collect()
    }

    /// Reason and basis of a promise.
    fn promise(&self, asked: &Asked) -> (&str, &str) {
        let promise = self.promises.get(&(asked.number, asked.id.clone()));
        promise.map_or(("", ""), |(reason, basis)| (reason, basis))
    }

    /// Promises of which the log of their box shows no basis, beyond those that it says to have left out.
    pub fn unexplained(&self, asked: &[Asked], kills: &[(usize, Instant)]) -> Vec<String> {
        let mut missing: HashMap<usize, Vec<&Asked>> = HashMap::new();
        for asked in asked.iter().filter(|asked| is_promise(asked.status)) {
            let died = |(number, at): &(usize, Instant)| {
                *number == asked.number
                    && asked.answered_at + UNWRITTEN > *at
                    && asked.sent_at < *at
            };
            if self.promise(asked).1.is_empty() && !kills.iter().any(died) {
                missing.entry(asked.number).or_default().push(asked);
            }
        }
        let mut faults = Vec::new();
        for (number, missing) in missing {
            let left_out = self.left_out.get(&number).copied().unwrap_or(0);
            if missing.len() as u64 > left_out {
                let ids: Vec<_> = missing
                    .iter()
                    .map(|a| (&*a.id, a.route, a.status))
                    .collect();
                faults.push(format!(
                    "box {number} left out {left_out}, but does not explain {ids:?}"
                ));
            }
        }
        faults
    }
}

/// Counts of one kind of promises.
#[derive(Debug, Default, Clone, Copy)]
pub struct Count {
    pub given: usize,
    pub broken: usize,
}

/// What a soak found.
#[derive(Debug, Default)]
pub struct Verdict {
    pub faults: Vec<String>,
    /// Ids of the requests that faults concern.
    pub faulty: BTreeSet<String>,
    /// Answers by route and status.
    pub answers: BTreeMap<(&'static str, u16), usize>,
    /// Promises for requests that may not be repeated, by status, reason, basis, and whether they were handed over.
    pub promises: BTreeMap<(u16, String, String, bool), Count>,
    /// Promises for requests that may be repeated.
    pub repeatable: Count,
    pub runs: usize,
    pub late_runs: usize,
    pub rejections: BTreeMap<u16, usize>,
}

impl Verdict {
    /// Judges all answers by what upstreams handled.
    pub fn new(asked: &[Asked], handled: &[Handled], logs: &Logs) -> Self {
        let mut verdict = Self::default();
        let mut by_id: HashMap<&str, Vec<&Handled>> = HashMap::new();
        for handled in handled {
            by_id.entry(&handled.id).or_default().push(handled);
            match handled.fate {
                Fate::Ran { is_client_gone } => {
                    verdict.runs += 1;
                    verdict.late_runs += usize::from(is_client_gone);
                }
                Fate::Rejected(status) => *verdict.rejections.entry(status).or_default() += 1,
            }
        }
        for asked in asked {
            let handled = by_id.get(&*asked.id).map_or(&[][..], |handled| handled);
            verdict.judge(asked, handled, logs);
        }
        for (id, handled) in by_id {
            if runs(&handled) > 1 && !is_repeatable(route_of(id)) {
                verdict.fault(id, format!("ran more than once: {handled:?}"));
            }
            if !is_route(route_of(id)) {
                verdict.fault(id, format!("was sent by no caller: {handled:?}"));
            }
        }
        verdict
    }

    fn fault(&mut self, id: &str, fault: String) {
        self.faulty.insert(id.to_owned());
        self.faults.push(format!("{id} {fault}"));
    }

    /// Kinds of promises and of runs that there were none of.
    pub fn missing_kinds(&self) -> Vec<&'static str> {
        let gave = |is_kind: &dyn Fn(u16, &str, &str, bool) -> bool| {
            let mut promises = self.promises.iter();
            promises.any(|((status, reason, basis, is_handed_over), count)| {
                count.given > 0 && is_kind(*status, reason, basis, *is_handed_over)
            })
        };
        let kinds = [
            ("body that is late", gave(&|status, _, _, _| status == 408)),
            (
                "no send",
                gave(&|status, _, basis, _| status == 503 && basis == "no_send"),
            ),
            ("rejections", gave(&|_, _, basis, _| basis == "rejections")),
            (
                "other boxes",
                gave(&|_, _, basis, _| basis == "other_boxes"),
            ),
            (
                "relayed from another box",
                gave(&|_, reason, _, over| over && reason.is_empty()),
            ),
            (
                "no upstream",
                gave(&|_, reason, _, _| reason == "no_upstream"),
            ),
            (
                "deadline",
                gave(&|_, reason, _, _| reason == "late_not_run"),
            ),
            ("runs behind clients that have gone", self.late_runs > 0),
            ("rejections with 421", self.rejections.contains_key(&421)),
            ("rejections with 429", self.rejections.contains_key(&429)),
            ("rejections with 503", self.rejections.contains_key(&503)),
        ];
        let missing = kinds.iter().filter(|(_, is_there)| !is_there);
        missing.map(|(kind, _)| *kind).collect()
    }

    /// Prints what was counted.
    pub fn print(&self) {
        let mut by_route: BTreeMap<&str, Vec<String>> = BTreeMap::new();
        for ((route, status), count) in &self.answers {
            let counts = by_route.entry(route).or_default();
            counts.push(format!("{status}: {count}"));
        }
        for (route, counts) in by_route {
            println!("  {route} {}", counts.join(", "));
        }
        println!(
            "  {} runs, {} of them of clients that had gone, rejections {:?}",
            self.runs, self.late_runs, self.rejections
        );
        for ((status, reason, basis, is_handed_over), count) in &self.promises {
            let over = if *is_handed_over {
                "handed over"
            } else {
                "own"
            };
            println!(
                "  promise {status} {reason:?} {basis:?} {over}: {} given, {} broken",
                count.given, count.broken
            );
        }
        println!(
            "  promises of requests that may be repeated: {} given, {} of requests that ran",
            self.repeatable.given, self.repeatable.broken
        );
        println!("  {} faults", self.faults.len());
    }

    fn judge(&mut self, asked: &Asked, handled: &[&Handled], logs: &Logs) {
        *self.answers.entry((asked.route, asked.status)).or_default() += 1;
        let runs = runs(handled);
        let mut faults = Vec::new();
        if is_promise(asked.status) {
            let (reason, basis) = logs.promise(asked);
            let count = if is_repeatable(asked.route) {
                &mut self.repeatable
            } else {
                let is_handed_over = logs.handed_over.contains(&(asked.number, asked.id.clone()));
                let path = (
                    asked.status,
                    reason.to_owned(),
                    basis.to_owned(),
                    is_handed_over,
                );
                self.promises.entry(path).or_default()
            };
            count.given += 1;
            count.broken += usize::from(runs > 0);
            if runs > 0 && !is_repeatable(asked.route) {
                faults.push("promised not to have run, ran");
            }
            if basis == "no_send" && !handled.is_empty() {
                faults.push("said not to have been sent, was handled");
            }
            if basis == "rejections" && handled.len() == runs {
                faults.push("said to have been rejected, was not");
            }
        }
        if asked.status == 200 && !is_own_answer(asked) {
            faults.push("got another answer");
        }
        for fault in faults {
            self.fault(&asked.id, format!("{fault}: {asked:?}, {handled:?}"));
        }
    }
}

/// Number of times that a request began to run.
fn runs(handled: &[&Handled]) -> usize {
    let ran = |handled: &&&Handled| matches!(handled.fate, Fate::Ran { .. });
    handled.iter().filter(ran).count()
}

/// Whether a success is the upstream's own for the request.
fn is_own_answer(asked: &Asked) -> bool {
    let expected = match asked.route {
        "stream" | "once" | "once3" => (1..=LAST_EVENT)
            .map(|event| event_text(&asked.id, event))
            .collect(),
        _ => answer_text(&asked.id),
    };
    if asked.is_complete {
        asked.text == expected
    } else {
        expected.starts_with(&asked.text)
    }
}
