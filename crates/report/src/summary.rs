//! What was counted, as a document.

use crate::line::DECISION_FIELDS;
use crate::outcome::{Counts, Outcome};
use crate::size::Class;
use crate::tally::{EngineCounts, NodeEventCounts, RefusalCounts, Step, Tally, half_octave_start};
use chrono::{DateTime, SecondsFormat};
use serde::Serialize;
use std::collections::BTreeMap;

/// Steps that are named as the worst.
const MAX_WORST_STEPS: usize = 10;

/// The name of what had no room of its own.
pub(crate) const OTHERS_NAME: &str = "others";

/// How values are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Quantiles {
    /// How many there are.
    pub count: u64,
    /// The median.
    pub p50: u64,
    /// What 95 of 100 don't exceed.
    pub p95: u64,
    /// What 99 of 100 don't exceed.
    pub p99: u64,
    /// The greatest.
    pub max: u64,
}

/// What was counted.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// What became of the lines.
    pub lines: Lines,
    /// The first moment that something was counted for.
    pub from: Option<String>,
    /// The end of the last step.
    pub to: Option<String>,
    /// The width of a step.
    pub step_s: i64,
    /// Requests by size, and of all sizes.
    pub outcomes: Vec<OutcomeRow>,
    /// The steps with the most requests that were late, refused or failed.
    pub worst: Vec<WorstStep>,
    /// Predicted against real first tokens.
    pub predicted: Predicted,
    /// How long requests waited, by size.
    pub waits: BTreeMap<&'static str, Quantiles>,
    /// Requests that began to wait for engines.
    pub began_to_wait: u64,
    /// Pauses.
    pub pauses: Pauses,
    /// Engines, those that read the most first.
    pub engines: Vec<EngineRow>,
    /// Answers whose lines don't say whether they were short.
    pub occupancy_unsaid: u64,
    /// Refusals by reason, the most frequent first.
    pub refusals: Vec<Refusal>,
    /// Sends again.
    pub sends: Sends,
    /// What nodes came to believe or do.
    pub news: Vec<NodeEventRow>,
    /// The steps in which something was counted.
    pub series: Vec<Point>,
}

/// What became of the lines.
#[derive(Debug, Serialize)]
pub struct Lines {
    /// Lines that were read.
    pub read: u64,
    /// Lines that could not be read.
    pub skipped: u64,
    /// The first of them, each with its place.
    pub faults: Vec<String>,
    /// Lines that were read and are not counted here.
    pub other: u64,
    /// Lines that the nodes say they dropped.
    pub dropped: u64,
    /// Fields that aren't known, with how often and where first.
    pub unknown: BTreeMap<String, String>,
}

/// Requests by outcome.
#[derive(Debug, Serialize)]
pub struct OutcomeRow {
    /// Their size.
    pub size: &'static str,
    /// How many ended in which way, in the order of [`Outcome::ALL`].
    #[serde(serialize_with = "name_outcomes")]
    pub counts: [u64; crate::outcome::COUNT],
}

/// A step that went badly.
#[derive(Debug, Serialize)]
pub struct WorstStep {
    /// Its beginning.
    pub time: String,
    /// Requests that came in it and were late.
    pub late: u64,
    /// Those that were refused.
    pub refused: u64,
    /// Those that failed.
    pub failed: u64,
    /// Requests to go on with.
    pub examples: Vec<Example>,
}

/// A request to go on with.
#[derive(Debug, Serialize)]
pub struct Example {
    /// The caller's id of its attempt.
    pub request: String,
    /// How it ended.
    pub outcome: Outcome,
    /// The node it ended at.
    pub node: String,
}

/// Predicted against real first tokens, of streams that were sent once; both from
/// the placing on.
#[derive(Debug, Serialize)]
pub struct Predicted {
    /// What was expected.
    pub expected_ms: Option<Quantiles>,
    /// What came.
    pub first_ms: Option<Quantiles>,
    /// How often they came together.
    pub cells: Vec<Cell>,
}

/// Streams of like expectation and like first token.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Cell {
    /// From when on the first token was expected.
    pub expected_ms: f64,
    /// From when on it came.
    pub first_ms: f64,
    /// How many there are.
    pub count: u64,
}

/// Pauses over what is wanted.
#[derive(Debug, Serialize)]
pub struct Pauses {
    /// Streams of which a longest pause is wanted.
    pub streams: u64,
    /// By how much those over it were over it.
    pub over_ms: Option<Quantiles>,
}

/// What was counted of an engine.
#[derive(Clone, Debug, Serialize)]
pub struct EngineRow {
    /// The engine.
    pub name: String,
    /// Answers of which it was the first engine.
    pub answered: u64,
    /// Those that were late.
    pub late: u64,
    /// Attempts at it that failed.
    pub failed: u64,
    /// Long prompts that it read a part of.
    pub placed: u64,
    /// How long it read short prompts.
    pub short_ms: u64,
    /// How long it read long prompts.
    pub long_ms: u64,
}

/// Refusals of a reason.
#[derive(Debug, Serialize)]
pub struct Refusal {
    /// Why.
    pub reason: String,
    /// How many there are.
    pub count: u64,
    /// Those that may have run.
    pub may_have_run: u64,
    /// What was known when they were refused.
    pub known: BTreeMap<&'static str, Quantiles>,
}

/// Sends again.
#[derive(Debug, Serialize)]
pub struct Sends {
    /// Answers by how many targets they were sent to; the last stands for more.
    pub answered: [u64; crate::tally::SENDS_BUCKETS],
    /// Failed attempts by why.
    pub failed: BTreeMap<String, u64>,
    /// How often no repeat was left.
    pub spent: u64,
}

/// How often nodes came to believe or did something.
#[derive(Debug, Serialize)]
pub struct NodeEventRow {
    /// What.
    pub message: &'static str,
    /// How often.
    pub count: u64,
    /// When first.
    pub first: String,
    /// When last.
    pub last: String,
}

/// A step.
#[derive(Debug, Serialize)]
pub struct Point {
    /// Its beginning.
    pub time: String,
    #[serde(skip)]
    pub(crate) time_ms: i64,
    /// Requests by size; sizes without any are left out.
    pub outcomes: Vec<OutcomeRow>,
    /// When first tokens were expected.
    pub expected_ms: Option<Quantiles>,
    /// When they came.
    pub first_ms: Option<Quantiles>,
    /// How long requests waited.
    pub wait_ms: Option<Quantiles>,
    /// Pauses over the wanted one.
    pub over_ms: Option<Quantiles>,
    /// Attempts that failed.
    pub failed_attempts: u64,
    /// How long each engine read short and long prompts.
    pub engines: BTreeMap<String, [u64; 2]>,
}

fn name_outcomes<S: serde::Serializer>(
    counts: &[u64; crate::outcome::COUNT],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_map(Outcome::ALL.iter().zip(counts))
}

impl Summary {
    /// What a tally holds.
    pub fn of(tally: &Tally) -> Self {
        let names: BTreeMap<usize, &str> =
            tally.engines.named().map(|(name, number, _)| (number, name)).collect();
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

/// A moment as people read it, in UTC.
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

/// Requests by size; sizes without any are left out.
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
    let named = tally.failed_attempts.named().map(|(why, _, count)| (why.to_owned(), *count));
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
            .filter_map(|(number, r)| {
                Some(((*names.get(&number)?).to_owned(), [r.short_ms, r.long_ms]))
            })
            .collect(),
    }
}
