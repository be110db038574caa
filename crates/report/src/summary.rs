//! The summary of a tally, which is printed as JSON and rendered as a page.

use crate::line::DECISION_FIELDS;
use crate::outcome::{Counts, Outcome};
use crate::size::Class;
use crate::tally::{EngineCounts, NodeEventCounts, RefusalCounts, Step, Tally, half_octave_start};
use chrono::{DateTime, SecondsFormat};
use serde::Serialize;
use std::collections::BTreeMap;

/// Maximum number of steps listed as the worst.
const MAX_WORST_STEPS: usize = 10;

/// The name of the row for all names beyond the capacity.
pub(crate) const OTHERS_NAME: &str = "others";

/// The quantiles of a distribution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Quantiles {
    /// The number of values.
    pub count: u64,
    /// The median.
    pub p50: u64,
    /// The 95th percentile.
    pub p95: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The maximum.
    pub max: u64,
}

/// The summary of all logs.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// The numbers of lines by how they were processed.
    pub lines: Lines,
    /// The start of the first step.
    pub from: Option<String>,
    /// The end of the last step.
    pub to: Option<String>,
    /// The step width.
    pub step_s: i64,
    /// Outcomes by prompt size.
    pub outcomes: Vec<OutcomeRow>,
    /// The steps with the most requests that were late, refused or failed.
    pub worst: Vec<WorstStep>,
    /// Predicted and measured times to the first token.
    pub predicted: Predicted,
    /// The queue wait of requests, by prompt size.
    pub waits: BTreeMap<&'static str, Quantiles>,
    /// Requests that started to wait for engines.
    pub began_to_wait: u64,
    /// Pauses of streams above their limit.
    pub pauses: Pauses,
    /// Engines, in descending order of prefill time.
    pub engines: Vec<EngineRow>,
    /// Answers whose lines don't state whether the prompt was placed as a short one.
    pub occupancy_unsaid: u64,
    /// Refusals by reason, in descending order of frequency.
    pub refusals: Vec<Refusal>,
    /// Retries.
    pub sends: Sends,
    /// Messages about the nodes' state or view of the fleet.
    pub news: Vec<NodeEventRow>,
    /// The steps with counts.
    pub series: Vec<Point>,
}

/// The numbers of lines by how they were processed.
#[derive(Debug, Serialize)]
pub struct Lines {
    /// Parsed lines.
    pub read: u64,
    /// Unreadable lines.
    pub skipped: u64,
    /// The first unreadable lines, with places and errors.
    pub faults: Vec<String>,
    /// Parsed lines with messages that are not evaluated.
    pub other: u64,
    /// Lines that nodes reported as dropped.
    pub dropped: u64,
    /// Unknown fields, with the number of occurrences and the first place.
    pub unknown: BTreeMap<String, String>,
}

/// The outcomes of requests of one size.
#[derive(Debug, Serialize)]
pub struct OutcomeRow {
    /// The size class of the prompts.
    pub size: &'static str,
    /// The number of requests by outcome, in the order of [`Outcome::ALL`].
    #[serde(serialize_with = "name_outcomes")]
    pub counts: [u64; crate::outcome::COUNT],
}

/// A step with requests that were late, refused or failed.
#[derive(Debug, Serialize)]
pub struct WorstStep {
    /// The start of the step.
    pub time: String,
    /// Requests that arrived in the step and were late.
    pub late: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests to inspect further.
    pub examples: Vec<Example>,
}

/// A request to inspect further.
#[derive(Debug, Serialize)]
pub struct Example {
    /// The caller's id of the attempt.
    pub request: String,
    /// The outcome.
    pub outcome: Outcome,
    /// The node that logged the outcome.
    pub node: String,
}

/// Predicted and measured times from the placement to the first token, for streams
/// that were sent to one target.
#[derive(Debug, Serialize)]
pub struct Predicted {
    /// The predicted times.
    pub expected_ms: Option<Quantiles>,
    /// The measured times.
    pub first_ms: Option<Quantiles>,
    /// The number of streams by predicted and measured time.
    pub cells: Vec<Cell>,
}

/// Streams with similar predicted and similar measured times.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Cell {
    /// The lower bound of the predicted times.
    pub expected_ms: f64,
    /// The lower bound of the measured times.
    pub first_ms: f64,
    /// The number of streams.
    pub count: u64,
}

/// Pauses of streams above their limit.
#[derive(Debug, Serialize)]
pub struct Pauses {
    /// Streams with a limit for pauses.
    pub streams: u64,
    /// The excess of the longest pause, for streams that exceeded the limit.
    pub over_ms: Option<Quantiles>,
}

/// The counts of an engine.
#[derive(Clone, Debug, Serialize)]
pub struct EngineRow {
    /// The target id of the engine.
    pub name: String,
    /// Answers of which it was the first engine.
    pub answered: u64,
    /// Answers that were late.
    pub late: u64,
    /// Failed attempts on the engine.
    pub failed: u64,
    /// Long prompts of which it prefilled a part.
    pub placed: u64,
    /// Prefill time of short prompts.
    pub short_ms: u64,
    /// Prefill time of long prompts.
    pub long_ms: u64,
}

/// Refusals with the same reason.
#[derive(Debug, Serialize)]
pub struct Refusal {
    /// The reason code.
    pub reason: String,
    /// The number of refusals.
    pub count: u64,
    /// Refused requests that may have run.
    pub may_have_run: u64,
    /// The state that the decisions were based on.
    pub known: BTreeMap<&'static str, Quantiles>,
}

/// Retries.
#[derive(Debug, Serialize)]
pub struct Sends {
    /// Answers by the number of targets that the request was sent to; the last value
    /// also counts all greater numbers.
    pub answered: [u64; crate::tally::SENDS_BUCKETS],
    /// Failed attempts by reason.
    pub failed: BTreeMap<String, u64>,
    /// The number of times that the retry budget was exhausted.
    pub spent: u64,
}

/// The occurrences of a message about a node's state or view.
#[derive(Debug, Serialize)]
pub struct NodeEventRow {
    /// The message.
    pub message: &'static str,
    /// The number of occurrences.
    pub count: u64,
    /// The time of the first occurrence.
    pub first: String,
    /// The time of the last occurrence.
    pub last: String,
}

/// The counts of one step.
#[derive(Debug, Serialize)]
pub struct Point {
    /// The start of the step.
    pub time: String,
    #[serde(skip)]
    pub(crate) time_ms: i64,
    /// Outcomes by prompt size; sizes without requests are left out.
    pub outcomes: Vec<OutcomeRow>,
    /// Predicted times to the first token.
    pub expected_ms: Option<Quantiles>,
    /// Measured times to the first token.
    pub first_ms: Option<Quantiles>,
    /// Queue wait of requests.
    pub wait_ms: Option<Quantiles>,
    /// Excess of pauses above their limit.
    pub over_ms: Option<Quantiles>,
    /// Failed attempts.
    pub failed_attempts: u64,
    /// Prefill time of each engine, for short and for long prompts.
    pub engines: BTreeMap<String, [u64; 2]>,
}

fn name_outcomes<S: serde::Serializer>(
    counts: &[u64; crate::outcome::COUNT],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_map(Outcome::ALL.iter().zip(counts))
}

impl Summary {
    /// Summarizes a tally.
    pub fn of(tally: &Tally) -> Self {
        let names: BTreeMap<usize, &str> =
            tally.engines.named().map(|(name, index, _)| (index, name)).collect();
        let step_ms = tally.timeline.step_ms();
        let last = tally.timeline.steps().last().map(|(time, _)| time + step_ms);
        Self {
            lines: summarize_lines(tally),
            from: tally.timeline.steps().next().map(|(time, _)| format_time(time)),
            to: last.map(format_time),
            step_s: step_ms / 1_000,
            outcomes: outcome_rows(&tally.outcomes),
            worst: list_worst(tally),
            predicted: summarize_predictions(tally),
            waits: Class::all()
                .filter_map(|c| Some((c.name(), tally.waits[c.index()].quantiles()?)))
                .collect(),
            began_to_wait: tally.began_to_wait,
            pauses: Pauses {
                streams: tally.paced_streams,
                over_ms: tally.excess_pause.quantiles(),
            },
            engines: list_engines(tally),
            occupancy_unsaid: tally.unknown_length,
            refusals: list_refusals(tally),
            sends: summarize_sends(tally),
            news: tally
                .node_events
                .iter()
                .map(|(message, event)| summarize_node_event(message, event))
                .collect(),
            series: tally
                .timeline
                .steps()
                .map(|(time, step)| summarize_step(time, step, &names))
                .collect(),
        }
    }
}

/// Formats a time as RFC 3339, in UTC with seconds.
pub(crate) fn format_time(ms: i64) -> String {
    let time = DateTime::from_timestamp_millis(ms).unwrap_or_default();
    time.to_rfc3339_opts(SecondsFormat::Secs, true)
}

fn summarize_lines(tally: &Tally) -> Lines {
    let lines = &tally.lines;
    let known = lines.unknown.named().map(|(name, _, field)| (name, field));
    let others = lines.unknown.others().map(|field| (OTHERS_NAME, field));
    let show = |(name, field): (&str, &crate::tally::Occurrences)| {
        (name.to_owned(), format!("{} times, first at {}", field.count, field.first_place))
    };
    Lines {
        read: lines.read,
        skipped: lines.skipped,
        faults: lines.faults.clone(),
        other: lines.other,
        dropped: lines.dropped,
        unknown: known.chain(others).map(show).collect(),
    }
}

/// Returns the outcomes by size, without sizes that have no requests.
fn outcome_rows(counts: &Counts) -> Vec<OutcomeRow> {
    let row = |class: Class| OutcomeRow {
        size: class.name(),
        counts: Outcome::ALL.map(|outcome| counts.get(class, outcome)),
    };
    Class::all().map(row).filter(|row| row.counts.iter().any(|count| *count > 0)).collect()
}

fn list_worst(tally: &Tally) -> Vec<WorstStep> {
    let mut steps: Vec<(i64, &Step)> =
        tally.timeline.steps().filter(|(_, step)| step.outcomes.count_bad() > 0).collect();
    steps.sort_by_key(|(time, step)| (std::cmp::Reverse(step.outcomes.count_bad()), *time));
    steps.truncate(MAX_WORST_STEPS);
    let show = |(time, step): (i64, &Step)| WorstStep {
        time: format_time(time),
        late: step.outcomes.total(Outcome::Late),
        refused: step.outcomes.total(Outcome::Refused),
        failed: step.outcomes.total(Outcome::Failed),
        examples: step.examples.iter().map(summarize_example).collect(),
    };
    steps.into_iter().map(show).collect()
}

fn summarize_example(example: &crate::tally::Example) -> Example {
    Example {
        request: example.request.to_string(),
        outcome: example.outcome,
        node: example.node.to_string(),
    }
}

fn summarize_predictions(tally: &Tally) -> Predicted {
    let cell = |(&(expected, first), &count): (&(u8, u8), &u64)| Cell {
        expected_ms: half_octave_start(expected).round(),
        first_ms: half_octave_start(first).round(),
        count,
    };
    Predicted {
        expected_ms: tally.expected_first_token.quantiles(),
        first_ms: tally.first_token.quantiles(),
        cells: tally.first_token_cells.iter().map(cell).collect(),
    }
}

fn list_engines(tally: &Tally) -> Vec<EngineRow> {
    let show = |name: &str, engine: &EngineCounts| EngineRow {
        name: name.to_owned(),
        answered: engine.answered,
        late: engine.late,
        failed: engine.failed,
        placed: engine.placed,
        short_ms: engine.prefill.short_ms,
        long_ms: engine.prefill.long_ms,
    };
    let mut rows: Vec<EngineRow> =
        tally.engines.named().map(|(name, _, engine)| show(name, engine)).collect();
    rows.sort_by_key(|row| std::cmp::Reverse((row.short_ms + row.long_ms, row.answered)));
    rows.extend(tally.engines.others().map(|engine| show(OTHERS_NAME, engine)));
    rows
}

fn list_refusals(tally: &Tally) -> Vec<Refusal> {
    let show = |name: &str, reason: &RefusalCounts| Refusal {
        reason: name.to_owned(),
        count: reason.count,
        may_have_run: reason.may_have_run,
        known: DECISION_FIELDS
            .iter()
            .zip(&reason.known)
            .filter_map(|(name, distribution)| Some((*name, distribution.quantiles()?)))
            .collect(),
    };
    let mut rows: Vec<Refusal> =
        tally.refusals.named().map(|(name, _, reason)| show(name, reason)).collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.count));
    rows.extend(tally.refusals.others().map(|reason| show(OTHERS_NAME, reason)));
    rows
}

fn summarize_sends(tally: &Tally) -> Sends {
    let named = tally.failed_attempts.named().map(|(reason, _, count)| (reason.to_owned(), *count));
    let others = tally.failed_attempts.others().map(|count| (OTHERS_NAME.to_owned(), *count));
    Sends {
        answered: tally.sends,
        failed: named.chain(others).collect(),
        spent: tally.retries_exhausted,
    }
}

fn summarize_node_event(message: &'static str, event: &NodeEventCounts) -> NodeEventRow {
    let (first, last) = (format_time(event.first_ms), format_time(event.last_ms));
    NodeEventRow { message, count: event.count, first, last }
}

fn summarize_step(time_ms: i64, step: &Step, names: &BTreeMap<usize, &str>) -> Point {
    let engines = step.prefill_times.iter().enumerate().filter(|(_, r)| r.short_ms + r.long_ms > 0);
    Point {
        time: format_time(time_ms),
        time_ms,
        outcomes: outcome_rows(&step.outcomes),
        expected_ms: step.expected_first_token.quantiles(),
        first_ms: step.first_token.quantiles(),
        wait_ms: step.wait.quantiles(),
        over_ms: step.excess_pause.quantiles(),
        failed_attempts: step.failed_attempts,
        engines: engines
            .filter_map(|(index, r)| {
                Some(((*names.get(&index)?).to_owned(), [r.short_ms, r.long_ms]))
            })
            .collect(),
    }
}
