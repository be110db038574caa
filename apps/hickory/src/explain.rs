//! The `explain` command: the history of one request across all nodes, from their
//! logs.

use crate::failure::Failure;
use crate::print::{print_json, read_input};
use chrono::{DateTime, FixedOffset, TimeDelta};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

/// Period before the request's arrival in which node events are also shown. Recent
/// changes of a node's view are the ones that explain its decisions.
const LOOKBACK: TimeDelta = TimeDelta::seconds(5);

/// The log message of a placement.
const PLACED_MESSAGE: &str = "placed";

/// The parsed parts of a log line.
#[derive(Deserialize)]
struct Line {
    time: DateTime<FixedOffset>,
    level: String,
    message: String,
    #[serde(default)]
    mdc: BTreeMap<String, String>,
    #[serde(default)]
    attributes: BTreeMap<String, serde_json::Value>,
}

/// A step of the history.
#[derive(Clone, Debug, Serialize)]
struct Step {
    time: DateTime<FixedOffset>,
    node: String,
    level: String,
    /// The subject of the step.
    about: About,
    message: String,
    known: BTreeMap<String, String>,
}

/// The subject of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum About {
    /// The explained request.
    Request,
    /// A change in the view that a node has of the fleet.
    Belief,
    /// A long prompt placed on a target of the request.
    Work,
    /// Another request.
    Other,
}

/// The history of a request.
#[derive(Debug, Serialize)]
struct RequestHistory {
    request: String,
    steps: Vec<Step>,
    /// The number of unreadable lines.
    skipped: usize,
}

/// Prints the history of a request; the file `-` is standard input.
pub(crate) fn run(request: &str, files: &[PathBuf], json: bool) -> Result<(), Failure> {
    let mut steps = Vec::new();
    let mut skipped = 0;
    for file in files {
        let text = read_input(file)?;
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match parse_line(line) {
                Some(line) => steps.push(to_step(line, &name, request)),
                None => skipped += 1,
            }
        }
    }
    let steps = select_steps(steps);
    if steps.is_empty() {
        return Err(Failure::Local(format!("no line names the request {request}")));
    }
    let history = RequestHistory { request: request.to_owned(), steps, skipped };
    match json {
        true => print_json(&history),
        false => print!("{}", render_history(&history)),
    }
    Ok(())
}

/// Parses a line. Log collectors may have put columns in front of the JSON document.
fn parse_line(line: &str) -> Option<Line> {
    serde_json::from_str(&line[line.find('{')?..]).ok()
}

fn to_step(line: Line, file: &str, request: &str) -> Step {
    let mut known: BTreeMap<String, String> =
        line.attributes.into_iter().map(|(name, value)| (name, value_text(value))).collect();
    let about = match known.get("request").map(String::as_str) {
        None => About::Belief,
        Some(named) if named == request => About::Request,
        Some(_) if line.message == PLACED_MESSAGE => About::Work,
        Some(_) => About::Other,
    };
    if about == About::Request {
        known.remove("request");
    }
    Step {
        time: line.time,
        node: line.mdc.get("node").cloned().unwrap_or_else(|| file.to_owned()),
        level: line.level,
        about,
        message: line.message,
        known,
    }
}

fn value_text(value: serde_json::Value) -> String {
    match value {
        serde_json::Value::String(text) => text,
        other => other.to_string(),
    }
}

/// Selects the steps of the request, the changes in its nodes' view of the fleet while
/// it was handled and shortly before, and the long prompts on its targets in that time.
fn select_steps(mut steps: Vec<Step>) -> Vec<Step> {
    steps.retain(|step| step.about != About::Other);
    steps.sort_by(|a, b| (a.time, &a.node).cmp(&(b.time, &b.node)));
    let own = || steps.iter().filter(|step| step.about == About::Request);
    let nodes: BTreeSet<String> = own().map(|step| step.node.clone()).collect();
    let targets: BTreeSet<String> = own().flat_map(targets_of).map(str::to_owned).collect();
    let (Some(begin), Some(end)) = (own().map(arrival_time).min(), own().map(|s| s.time).max())
    else {
        return Vec::new();
    };
    let window = begin - LOOKBACK..=end;
    let refusals: Vec<String> = own().map(|step| step.message.clone()).collect();
    steps.retain(|step| match step.about {
        About::Request => true,
        About::Belief => {
            let is_recent = window.contains(&step.time);
            nodes.contains(&step.node) && (is_recent || is_quarantine_of(step, &refusals))
        }
        About::Work => window.contains(&step.time) && targets_of(step).any(|t| targets.contains(t)),
        About::Other => false,
    });
    steps
}

/// Returns whether a step tells of the prompt parts because of which a request was refused, which
/// may have been quarantined long before.
fn is_quarantine_of(step: &Step, refusals: &[String]) -> bool {
    let parts = step.known.get("parts").filter(|parts| !parts.is_empty());
    parts.is_some_and(|parts| refusals.iter().any(|refusal| refusal.contains(parts.as_str())))
}

/// Returns the targets that a step names.
fn targets_of(step: &Step) -> impl Iterator<Item = &str> {
    let names = ["target_id", "helpers"].into_iter().filter_map(|name| step.known.get(name));
    names.flat_map(|names| names.split(',')).filter(|name| !name.is_empty())
}

/// Returns the arrival time of the request, from the age in the line.
fn arrival_time(step: &Step) -> DateTime<FixedOffset> {
    let age = step.known.get("age_ms").and_then(|age| age.parse().ok()).unwrap_or(0);
    step.time - TimeDelta::milliseconds(age)
}

fn render_history(history: &RequestHistory) -> String {
    let arrival =
        history.steps.iter().filter(|s| s.about == About::Request).map(arrival_time).min();
    let mut text = String::new();
    for step in &history.steps {
        let since_arrival = arrival.map_or(TimeDelta::zero(), |arrival| step.time - arrival);
        let known: Vec<String> =
            step.known.iter().map(|(name, value)| format!("{name}={value}")).collect();
        let mark = match step.about {
            About::Request | About::Other => ' ',
            About::Belief => '*',
            About::Work => '+',
        };
        text.push_str(&format!(
            "{:>8} ms {mark} {:<16} {:<5} {}  {}\n",
            since_arrival.num_milliseconds(),
            step.node,
            step.level.to_lowercase(),
            step.message,
            known.join(" ")
        ));
    }
    text.push_str(
        "(* change in the node's view, + long prompt on a target; times since the arrival)\n",
    );
    if history.skipped > 0 {
        text.push_str(&format!("({} lines could not be read)\n", history.skipped));
    }
    text
}
