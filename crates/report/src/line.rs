//! Parsing of log lines into events.

use chrono::{DateTime, FixedOffset};
use compact_str::CompactString;
use derive_more::{Display, Error};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// The greatest accepted number in a field.
const MAX_NUMBER: u64 = 1_000_000_000_000;

/// Maximum length of a name; longer names are truncated.
const MAX_NAME_CHARS: usize = 64;

/// All fields of the parsed lines, including those that are not evaluated.
const KNOWN_FIELDS: &[&str] = &[
    "account",
    "age_ms",
    "ahead_ms",
    "attempt",
    "behind_ms",
    "clear",
    "config",
    "config_age_ms",
    "penalized",
    "engines",
    "engines_known",
    "expected_ms",
    "first_ms",
    "full",
    "goal_left_ms",
    "goal_ms",
    "helpers",
    "idle",
    "last_event",
    "limit_left_ms",
    "may_repeat",
    "part_ms",
    "pause_max_ms",
    "pause_ms",
    "peers",
    "prompt",
    "ran",
    "reason",
    "request",
    "retry_after_ms",
    "route",
    "sends",
    "short",
    "status",
    "target",
    "target_id",
    "unread_ms",
    "wait_ms",
    "zone",
];

/// The fields of a refusal that describe the state its decision was based on.
pub const DECISION_FIELDS: [&str; 11] = [
    "prompt",
    "goal_left_ms",
    "limit_left_ms",
    "wait_ms",
    "engines_known",
    "full",
    "idle",
    "clear",
    "penalized",
    "unread_ms",
    "ahead_ms",
];

/// Messages about a node's own state or its view of the fleet that are counted.
const NODE_EVENTS: &[&str] = &[
    "a quarantine is proposed",
    "a target crashed under a request",
    "a target died under a request",
    "configuration taken over",
    "peer gave no items",
    "peer heard",
    "peer lost",
    "peer started anew",
    "planned stop begun",
    "planned stop done",
    "requests are no longer quarantined: an answer was written",
    "requests are no longer quarantined: no crash for a long time",
    "requests are quarantined",
    "settings taken over",
    "started",
    "target gone",
    "target known",
    "the store gave no answer",
    "the store was restored from a copy",
    "the store's reach changed",
    "zone back in service",
    "zone out of service",
];

/// The reason why a line can't be parsed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum LineError {
    /// The line is not a log line in JSON.
    #[display("not a JSON log line: {_0}")]
    Malformed(#[error(not(source))] String),
    /// The line exceeds the maximum length.
    #[display("longer than {_0} bytes")]
    TooLong(#[error(not(source))] usize),
    /// A required field is missing.
    #[display("field {_0} is missing")]
    MissingField(#[error(not(source))] &'static str),
    /// The value of a field is not a number or is out of range.
    #[display("field {_0} is not a number within bounds")]
    InvalidNumber(#[error(not(source))] &'static str),
}

/// A parsed log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The time of the line, in milliseconds of Unix time.
    pub time_ms: i64,
    /// The node that wrote the line.
    pub node: CompactString,
    /// The caller's id of the attempt.
    pub request: CompactString,
    /// The time since the request's arrival.
    pub age_ms: u64,
    /// The event that the line reports.
    pub event: Event,
    /// Names of fields that are not known to this parser.
    pub unknown_fields: Vec<CompactString>,
}

/// The event that a line reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request was answered completely.
    Answered(Answered),
    /// A request was refused.
    Refused(Refused),
    /// A request ended without a complete answer; holds its prompt tokens.
    Failed(u64),
    /// The caller of a request disconnected; holds its prompt tokens.
    CallerGone(u64),
    /// A long prompt was placed on engines.
    Placed(Placed),
    /// A request started to wait for engines.
    WaitStarted,
    /// An attempt failed.
    AttemptFailed(FailedAttempt),
    /// The retry budget was exhausted.
    RetriesExhausted,
    /// A node dropped log lines; holds their number.
    Dropped(u64),
    /// A counted message about a node's state or view; holds the message.
    NodeEvent(&'static str),
    /// A message that is not evaluated.
    Other,
}

/// A request that was answered completely.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answered {
    /// The target that answered.
    pub target: CompactString,
    /// The HTTP status of the answer.
    pub status: u64,
    /// The number of targets that the request was sent to.
    pub sends: u64,
    /// The prompt tokens.
    pub prompt: u64,
    /// The predicted time from the placement to the first token.
    pub expected_ms: u64,
    /// The measured time from the arrival to the first token; 0 if the answer is not a
    /// stream.
    pub first_ms: u64,
    /// The latency goal for the first token or for the whole answer.
    pub goal_ms: Option<u64>,
    /// The time that the request waited in the queue.
    pub wait_ms: u64,
    /// The longest pause of the stream.
    pub pause_ms: u64,
    /// The limit for pauses of the stream; 0 if there is none.
    pub pause_max_ms: u64,
    /// Whether the prompt was placed as a short one. Older nodes don't log this.
    pub short: Option<bool>,
    /// The prefill time of each of its engines.
    pub part_ms: u64,
    /// The time from the arrival to the end.
    pub age_ms: u64,
}

impl Answered {
    /// Whether the answer was a stream. The line does not state it: a stream whose
    /// first event took 0 ms and that has no pause limit counts as no stream.
    pub fn is_stream(&self) -> bool {
        self.first_ms > 0 || self.pause_max_ms > 0
    }

    /// Returns the latency that the route's goal applies to: the time to the first
    /// token of a stream, or to the end of another answer.
    pub fn latency_ms(&self) -> u64 {
        if self.is_stream() { self.first_ms } else { self.age_ms }
    }
}

/// A request that was refused.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Refused {
    /// The reason code.
    pub reason: CompactString,
    /// The HTTP status of the refusal.
    pub status: u64,
    /// Whether the request may have run.
    pub ran: CompactString,
    /// The state that the decision was based on, in the order of [`DECISION_FIELDS`].
    /// All values are `None` if the reason does not depend on it.
    pub known: [Option<u64>; DECISION_FIELDS.len()],
}

/// A long prompt that was placed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Placed {
    /// The engines that the prompt was placed on.
    pub targets: Vec<CompactString>,
    /// The prefill time of each engine.
    pub part_ms: u64,
}

/// An attempt that failed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FailedAttempt {
    /// The target, if the line names it.
    pub target: Option<CompactString>,
    /// The reason of the failure.
    pub reason: CompactString,
}

/// A log line as the nodes write it.
#[derive(Deserialize)]
struct Raw {
    time: Option<DateTime<FixedOffset>>,
    message: String,
    #[serde(default)]
    mdc: BTreeMap<CompactString, CompactString>,
    #[serde(default)]
    attributes: Fields,
}

/// The attributes of a log line.
#[derive(Default, Deserialize)]
struct Fields(BTreeMap<CompactString, Value>);

impl Fields {
    fn number(&self, name: &'static str) -> Result<Option<u64>, LineError> {
        let Some(value) = self.0.get(name) else { return Ok(None) };
        let number = match value {
            Value::String(text) => text.parse().ok(),
            other => other.as_u64(),
        };
        number
            .filter(|number| *number <= MAX_NUMBER)
            .map(Some)
            .ok_or(LineError::InvalidNumber(name))
    }

    fn require(&self, name: &'static str) -> Result<u64, LineError> {
        self.number(name)?.ok_or(LineError::MissingField(name))
    }

    fn number_or_0(&self, name: &'static str) -> Result<u64, LineError> {
        Ok(self.number(name)?.unwrap_or(0))
    }

    fn text(&self, name: &str) -> CompactString {
        self.0.get(name).and_then(Value::as_str).map(truncate_name).unwrap_or_default()
    }

    fn require_text(&self, name: &'static str) -> Result<CompactString, LineError> {
        Some(self.text(name)).filter(|text| !text.is_empty()).ok_or(LineError::MissingField(name))
    }

    fn boolean(&self, name: &str) -> Option<bool> {
        match self.0.get(name)? {
            Value::String(text) => text.parse().ok(),
            other => other.as_bool(),
        }
    }
}

/// Parses a line. Log collectors may have put columns in front of the JSON document.
pub fn parse_line(bytes: &[u8]) -> Result<Line, LineError> {
    let start = bytes.iter().position(|&byte| byte == b'{').unwrap_or(0);
    let raw: Raw = serde_json::from_slice(&bytes[start..])
        .map_err(|error| LineError::Malformed(error.to_string()))?;
    let fields = &raw.attributes;
    let event = parse_event(&raw.message, fields)?;
    let time = match (raw.time, &event) {
        (Some(time), _) => time.timestamp_millis(),
        (None, Event::Dropped(_)) => 0,
        (None, _) => return Err(LineError::MissingField("time")),
    };
    let unknown_fields = match event {
        Event::NodeEvent(_) | Event::Other => Vec::new(),
        _ => {
            fields.0.keys().filter(|name| !KNOWN_FIELDS.contains(&name.as_str())).cloned().collect()
        }
    };
    Ok(Line {
        time_ms: time,
        node: raw.mdc.get("node").map(|node| truncate_name(node)).unwrap_or_default(),
        request: fields.text("request"),
        age_ms: fields.number_or_0("age_ms")?,
        event,
        unknown_fields,
    })
}

fn parse_event(message: &str, fields: &Fields) -> Result<Event, LineError> {
    let name = message.split_once(": ").map_or(message, |(name, _)| name);
    if let Some(name) = NODE_EVENTS.iter().find(|message| **message == name) {
        return Ok(Event::NodeEvent(name));
    }
    if let Some(reason) = message.strip_prefix("attempt failed: ") {
        let target = Some(fields.text("target_id")).filter(|target| !target.is_empty());
        return Ok(Event::AttemptFailed(FailedAttempt { target, reason: truncate_name(reason) }));
    }
    if let Some(count) = message.strip_suffix(" log lines were dropped") {
        return Ok(count.parse().map_or(Event::Other, |count: u32| Event::Dropped(count.into())));
    }
    match message {
        "answered" => parse_answered(fields).map(Event::Answered),
        "placed" => parse_placed(fields).map(Event::Placed),
        "waits for engines" => Ok(Event::WaitStarted),
        "no repeat left to spend" => Ok(Event::RetriesExhausted),
        "the caller is gone" => fields.number_or_0("prompt").map(Event::CallerGone),
        "the deadline passed within the stream" => fields.number_or_0("prompt").map(Event::Failed),
        _ if message.starts_with("given up on: ") => {
            fields.number_or_0("prompt").map(Event::Failed)
        }
        _ if message.starts_with("refused: ") => parse_refused(fields).map(Event::Refused),
        _ => Ok(Event::Other),
    }
}

fn parse_answered(fields: &Fields) -> Result<Answered, LineError> {
    Ok(Answered {
        target: fields.require_text("target_id")?,
        status: fields.require("status")?,
        sends: fields.require("sends")?,
        prompt: fields.require("prompt")?,
        expected_ms: fields.require("expected_ms")?,
        first_ms: fields.require("first_ms")?,
        goal_ms: fields.number("goal_ms")?,
        wait_ms: fields.require("wait_ms")?,
        pause_ms: fields.require("pause_ms")?,
        pause_max_ms: fields.number_or_0("pause_max_ms")?,
        short: fields.boolean("short"),
        part_ms: fields.number_or_0("part_ms")?,
        age_ms: fields.require("age_ms")?,
    })
}

fn parse_refused(fields: &Fields) -> Result<Refused, LineError> {
    let mut known = [None; DECISION_FIELDS.len()];
    for (value, name) in known.iter_mut().zip(DECISION_FIELDS) {
        *value = fields.number(name)?;
    }
    // Nodes log 0 if the request was refused before its prompt was read.
    known[0] = known[0].filter(|prompt| *prompt > 0);
    Ok(Refused {
        reason: fields.require_text("reason")?,
        status: fields.require("status")?,
        ran: fields.require_text("ran")?,
        known,
    })
}

fn parse_placed(fields: &Fields) -> Result<Placed, LineError> {
    let first = fields.require_text("target_id")?;
    let helpers = fields.0.get("helpers").and_then(Value::as_str).unwrap_or_default();
    let helpers = helpers.split(',').filter(|name| !name.is_empty()).map(truncate_name);
    let targets = std::iter::once(first).chain(helpers).collect();
    Ok(Placed { targets, part_ms: fields.require("part_ms")? })
}

fn truncate_name(name: &str) -> CompactString {
    name.chars().take(MAX_NAME_CHARS).collect()
}
