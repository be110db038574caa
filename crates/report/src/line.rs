//! What a log line tells.

use chrono::{DateTime, FixedOffset};
use compact_str::CompactString;
use derive_more::{Display, Error};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// The greatest number that a field may hold.
const MAX_NUMBER: u64 = 1_000_000_000_000;

/// Characters of a name that are kept.
const MAX_NAME_CHARS: usize = 64;

/// The fields of the lines that are read, also those that aren't needed.
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

/// The fields that say what a decision knew.
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

/// What nodes came to believe or do, as far as it is counted.
const NODE_EVENTS: &[&str] = &[
    "a target died under a request",
    "configuration taken over",
    "peer gave no items",
    "peer heard",
    "peer lost",
    "peer started anew",
    "planned stop begun",
    "planned stop done",
    "settings taken over",
    "started",
    "target gone",
    "target known",
    "the store gave no answer",
    "the store's reach changed",
    "zone back in service",
    "zone out of service",
];

/// Why a line can't be read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum LineError {
    /// It is no JSON document of a log line.
    #[display("no JSON log line: {_0}")]
    Malformed(#[error(not(source))] String),
    /// It is longer than any line of a node.
    #[display("longer than {_0} bytes")]
    TooLong(#[error(not(source))] usize),
    /// A field that is needed is missing.
    #[display("field {_0} is missing")]
    MissingField(#[error(not(source))] &'static str),
    /// A field holds no number that it may hold.
    #[display("field {_0} holds no number within bounds")]
    InvalidNumber(#[error(not(source))] &'static str),
}

/// A log line, as far as it is read.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When it was written, in milliseconds of Unix time.
    pub time_ms: i64,
    /// The node that wrote it.
    pub node: CompactString,
    /// The caller's id of its attempt.
    pub request: CompactString,
    /// How old the request was.
    pub age_ms: u64,
    /// What it tells.
    pub event: Event,
    /// Fields that aren't known here.
    pub unknown_fields: Vec<CompactString>,
}

/// What a line tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request was answered whole.
    Answered(Answered),
    /// A request was refused.
    Refused(Refused),
    /// A request of so many tokens ended without a whole answer.
    Failed(u64),
    /// The caller of a request of so many tokens left.
    CallerGone(u64),
    /// A long prompt was placed.
    Placed(Placed),
    /// A request begins to wait for engines.
    WaitStarted,
    /// An attempt failed.
    AttemptFailed(FailedAttempt),
    /// No repeat was left to spend.
    RetriesExhausted,
    /// A node dropped so many of its lines.
    Dropped(u64),
    /// What a node came to believe or do.
    NodeEvent(&'static str),
    /// A message that isn't counted.
    Other,
}

/// A request that was answered whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answered {
    /// The target that answered.
    pub target: CompactString,
    /// The answer's status.
    pub status: u64,
    /// Targets that it was sent to.
    pub sends: u64,
    /// The size of its prompt, in tokens.
    pub prompt: u64,
    /// When its first token was expected, from its placing on.
    pub expected_ms: u64,
    /// When its first token came; 0 for an answer that is no stream.
    pub first_ms: u64,
    /// The time within which the first token, or the answer, is wanted.
    pub goal_ms: Option<u64>,
    /// How long it waited for its turn.
    pub wait_ms: u64,
    /// The longest pause of its stream.
    pub pause_ms: u64,
    /// The longest wanted pause; 0 where none is.
    pub pause_max_ms: u64,
    /// Whether it was placed as a short one; unknown from nodes that don't say.
    pub short: Option<bool>,
    /// What each of its engines read.
    pub part_ms: u64,
    /// From its arrival to its end.
    pub age_ms: u64,
}

impl Answered {
    /// Whether it was a stream, as far as the line tells: one whose first event
    /// came at once and of which no longest pause is wanted counts as none.
    pub fn is_stream(&self) -> bool {
        self.first_ms > 0 || self.pause_max_ms > 0
    }

    /// What its route's goal is for: the time to the first token of a stream, or
    /// to the end of another answer.
    pub fn latency_ms(&self) -> u64 {
        if self.is_stream() { self.first_ms } else { self.age_ms }
    }
}

/// A request that was refused.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Refused {
    /// Why.
    pub reason: CompactString,
    /// The status it was answered with.
    pub status: u64,
    /// Whether it ran.
    pub ran: CompactString,
    /// What was known, in the order of [`DECISION_FIELDS`]; all missing where it did not
    /// matter.
    pub known: [Option<u64>; DECISION_FIELDS.len()],
}

/// A long prompt that was placed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Placed {
    /// Its engines.
    pub targets: Vec<CompactString>,
    /// What each of them reads.
    pub part_ms: u64,
}

/// An attempt that failed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FailedAttempt {
    /// Its target, where the line names it.
    pub target: Option<CompactString>,
    /// Why it failed.
    pub reason: CompactString,
}

/// A line as the nodes write it.
#[derive(Deserialize)]
struct Raw {
    time: Option<DateTime<FixedOffset>>,
    message: String,
    #[serde(default)]
    mdc: BTreeMap<CompactString, CompactString>,
    #[serde(default)]
    attributes: Fields,
}

/// What a line bears beside its message.
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

/// Reads a line; it may stand behind columns of whatever gathered the logs.
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
    // A prompt of which nothing was read has no size.
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
