//! Counts the events of log lines, in memory that is bounded regardless of their
//! number.

use crate::bounded_counts::BoundedCounts;
use crate::distribution::Distribution;
use crate::line::{
    Answered, DECISION_FIELDS, Event, FailedAttempt, Line, LineError, Placed, Refused,
};
use crate::outcome::{Counts, Outcome, classify_answer, classify_refusal};
use crate::size::{self, Class};
use crate::timeline::{Merge, Timeline};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// Maximum number of engines that are counted by name.
pub const MAX_ENGINES: usize = 256;

/// Maximum number of reasons of refusals and of failed attempts that are counted
/// by name.
pub const MAX_REASONS: usize = 32;

/// Maximum number of unknown fields that are counted by name.
pub const MAX_UNKNOWN_FIELDS: usize = 32;

/// Maximum number of unreadable lines that are listed with their places.
const MAX_REPORTED_FAULTS: usize = 8;

/// Maximum number of requests listed per step, to be inspected with `explain`.
const MAX_EXAMPLES_PER_STEP: usize = 3;

/// Maximum prefill time that is distributed over steps.
const MAX_PREFILL_MS: u64 = 3_600_000;

/// Number of counters for the targets a request was sent to; the last one also
/// counts all greater numbers.
pub const SENDS_BUCKETS: usize = 4;

/// The time that an engine spent on prefill, by the length of the prompts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PrefillTime {
    pub(crate) short_ms: u64,
    pub(crate) long_ms: u64,
}

/// A request that is worth inspecting with `explain`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Example {
    pub(crate) request: CompactString,
    pub(crate) outcome: Outcome,
    pub(crate) node: CompactString,
}

/// The counts of one step of the timeline.
#[derive(Debug, Default)]
pub(crate) struct Step {
    pub(crate) outcomes: Counts,
    pub(crate) expected_first_token: Distribution<1>,
    pub(crate) first_token: Distribution<1>,
    pub(crate) wait: Distribution<1>,
    /// The excess of pauses above their limit.
    pub(crate) excess_pause: Distribution<1>,
    /// Attempts that failed.
    pub(crate) failed_attempts: u64,
    /// By the index of the engine.
    pub(crate) prefill_times: Vec<PrefillTime>,
    pub(crate) examples: Vec<Example>,
}

impl Merge for Step {
    fn merge(&mut self, other: Self) {
        self.outcomes.merge(&other.outcomes);
        self.expected_first_token.merge(other.expected_first_token);
        self.first_token.merge(other.first_token);
        self.wait.merge(other.wait);
        self.excess_pause.merge(other.excess_pause);
        self.failed_attempts += other.failed_attempts;
        self.prefill_times.resize(
            self.prefill_times.len().max(other.prefill_times.len()),
            PrefillTime::default(),
        );
        for (own, other) in self.prefill_times.iter_mut().zip(other.prefill_times) {
            own.short_ms += other.short_ms;
            own.long_ms += other.long_ms;
        }
        self.examples.extend(other.examples);
        self.examples.truncate(MAX_EXAMPLES_PER_STEP);
    }
}

/// The counts of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EngineCounts {
    pub(crate) answered: u64,
    pub(crate) late: u64,
    pub(crate) failed: u64,
    /// Long prompts of which it prefilled a part.
    pub(crate) placed: u64,
    pub(crate) prefill: PrefillTime,
}

/// The counts of refusals with the same reason.
#[derive(Debug, Default)]
pub(crate) struct RefusalCounts {
    pub(crate) count: u64,
    /// Refused requests that may have run.
    pub(crate) may_have_run: u64,
    /// The state that decisions were based on, in the order of [`DECISION_FIELDS`].
    pub(crate) known: [Distribution<2>; DECISION_FIELDS.len()],
}

/// The counts of a message about a node's state or its view of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NodeEventCounts {
    pub(crate) count: u64,
    pub(crate) first_ms: i64,
    pub(crate) last_ms: i64,
}

/// The number of occurrences of a name, and the place of the first one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Occurrences {
    pub(crate) count: u64,
    pub(crate) first_place: String,
}

/// The numbers of lines by how they were processed.
#[derive(Debug)]
pub(crate) struct Lines {
    pub(crate) read: u64,
    pub(crate) skipped: u64,
    pub(crate) other: u64,
    pub(crate) dropped: u64,
    /// The first unreadable lines: place and error.
    pub(crate) faults: Vec<String>,
    pub(crate) unknown: BoundedCounts<Occurrences>,
}

/// The counts of all lines.
#[derive(Debug)]
pub struct Tally {
    pub(crate) lines: Lines,
    pub(crate) timeline: Timeline<Step>,
    pub(crate) outcomes: Counts,
    pub(crate) waits: [Distribution<2>; size::COUNT],
    pub(crate) began_to_wait: u64,
    /// Streams by predicted and measured time to the first token, both in half octaves.
    pub(crate) first_token_cells: BTreeMap<(u8, u8), u64>,
    pub(crate) expected_first_token: Distribution<2>,
    pub(crate) first_token: Distribution<2>,
    /// Streams with a limit for pauses.
    pub(crate) paced_streams: u64,
    pub(crate) excess_pause: Distribution<2>,
    pub(crate) engines: BoundedCounts<EngineCounts>,
    /// Answers whose lines don't state whether the prompt was placed as a short one.
    pub(crate) unknown_length: u64,
    pub(crate) refusals: BoundedCounts<RefusalCounts>,
    pub(crate) sends: [u64; SENDS_BUCKETS],
    pub(crate) failed_attempts: BoundedCounts<u64>,
    pub(crate) retries_exhausted: u64,
    pub(crate) node_events: BTreeMap<&'static str, NodeEventCounts>,
}

impl Default for Tally {
    fn default() -> Self {
        let faults = Vec::new();
        let unknown = BoundedCounts::new(MAX_UNKNOWN_FIELDS);
        Self {
            lines: Lines { read: 0, skipped: 0, other: 0, dropped: 0, faults, unknown },
            timeline: Timeline::default(),
            outcomes: Counts::default(),
            waits: Default::default(),
            began_to_wait: 0,
            first_token_cells: BTreeMap::new(),
            expected_first_token: Distribution::default(),
            first_token: Distribution::default(),
            paced_streams: 0,
            excess_pause: Distribution::default(),
            engines: BoundedCounts::new(MAX_ENGINES),
            unknown_length: 0,
            refusals: BoundedCounts::new(MAX_REASONS),
            sends: [0; SENDS_BUCKETS],
            failed_attempts: BoundedCounts::new(MAX_REASONS),
            retries_exhausted: 0,
            node_events: BTreeMap::new(),
        }
    }
}

impl Tally {
    /// Counts an unreadable line; `place` identifies the log and the line.
    pub fn add_unreadable(&mut self, place: &str, fault: &LineError) {
        self.lines.skipped += 1;
        if self.lines.faults.len() < MAX_REPORTED_FAULTS {
            self.lines.faults.push(format!("{place}: {fault}"));
        }
    }

    /// Counts a parsed line.
    pub fn add(&mut self, place: &str, line: &Line) {
        self.lines.read += 1;
        for name in &line.unknown_fields {
            let field = self.lines.unknown.get(name);
            field.count += 1;
            if field.first_place.is_empty() {
                field.first_place = place.to_owned();
            }
        }
        match &line.event {
            Event::Answered(answer) => self.add_answer(line, answer),
            Event::Refused(refusal) => self.add_refusal(line, refusal),
            Event::Failed(prompt) => self.add_end(line, Class::of(*prompt), Outcome::Failed),
            Event::CallerGone(prompt) => self.add_end(line, Class::of(*prompt), Outcome::Gone),
            Event::Placed(placed) => self.add_placed(line, placed),
            Event::WaitStarted => self.began_to_wait += 1,
            Event::AttemptFailed(attempt) => self.add_failed_attempt(line, attempt),
            Event::RetriesExhausted => self.retries_exhausted += 1,
            Event::Dropped(count) => self.lines.dropped += count,
            Event::NodeEvent(name) => self.add_node_event(line, name),
            Event::Other => self.lines.other += 1,
        }
    }

    /// Returns the first unreadable line or unknown field, with its place.
    pub fn first_problem(&self) -> Option<String> {
        let unknown = self.lines.unknown.named().next();
        let unknown = || {
            unknown.map(|(name, _, field)| format!("{}: unknown field {name}", field.first_place))
        };
        self.lines.faults.first().cloned().or_else(unknown)
    }

    /// Counts the end of a request, in the step of its arrival.
    fn add_end(&mut self, line: &Line, class: Class, outcome: Outcome) {
        self.outcomes.add(class, outcome);
        let step = self.timeline.step_at(arrival_ms(line));
        step.outcomes.add(class, outcome);
        if outcome.is_bad()
            && step.examples.len() < MAX_EXAMPLES_PER_STEP
            && !line.request.is_empty()
        {
            let (request, node) = (line.request.clone(), line.node.clone());
            step.examples.push(Example { request, outcome, node });
        }
    }

    fn add_answer(&mut self, line: &Line, answer: &Answered) {
        let outcome = classify_answer(answer);
        let class = Class::of(answer.prompt);
        self.add_end(line, class, outcome);
        let engine = self.engines.get(&answer.target);
        engine.answered += 1;
        engine.late += u64::from(outcome == Outcome::Late);
        let sends = (answer.sends.max(1) as usize).min(SENDS_BUCKETS);
        self.sends[sends - 1] += 1;
        self.add_wait(line, class, answer.wait_ms);
        self.add_pause(line, answer);
        self.add_first_token(line, answer);
        match answer.short {
            Some(true) => {
                let end = arrival_ms(line) + answer.first_ms as i64;
                let begin = end - answer.part_ms as i64;
                self.add_prefill(&answer.target, begin, answer.part_ms, |r| &mut r.short_ms);
            }
            Some(false) => {}
            None => self.unknown_length += 1,
        }
    }

    fn add_wait(&mut self, line: &Line, class: Class, wait_ms: u64) {
        self.waits[class.index()].add(wait_ms);
        self.timeline.step_at(arrival_ms(line)).wait.add(wait_ms);
    }

    fn add_pause(&mut self, line: &Line, answer: &Answered) {
        if answer.pause_max_ms == 0 {
            return;
        }
        self.paced_streams += 1;
        let excess = answer.pause_ms.saturating_sub(answer.pause_max_ms);
        if excess > 0 {
            self.excess_pause.add(excess);
            self.timeline.step_at(arrival_ms(line)).excess_pause.add(excess);
        }
    }

    /// Compares the time to the first token with the prediction. The prediction counts
    /// from the placement, so only streams with a single placement are compared.
    fn add_first_token(&mut self, line: &Line, answer: &Answered) {
        if !answer.is_stream() || answer.sends != 1 || answer.status >= 300 {
            return;
        }
        let first = answer.first_ms.saturating_sub(answer.wait_ms);
        let cell = (half_octave(answer.expected_ms), half_octave(first));
        *self.first_token_cells.entry(cell).or_default() += 1;
        self.expected_first_token.add(answer.expected_ms);
        self.first_token.add(first);
        let step = self.timeline.step_at(arrival_ms(line));
        step.expected_first_token.add(answer.expected_ms);
        step.first_token.add(first);
    }

    fn add_refusal(&mut self, line: &Line, refusal: &Refused) {
        let [prompt, _, _, wait, ..] = refusal.known;
        let class = Class::of(prompt.unwrap_or(0));
        self.add_end(line, class, classify_refusal(refusal));
        if let Some(wait) = wait {
            self.add_wait(line, class, wait);
        }
        let reason = self.refusals.get(&refusal.reason);
        reason.count += 1;
        reason.may_have_run += u64::from(refusal.ran != "no");
        for (distribution, value) in reason.known.iter_mut().zip(refusal.known) {
            if let Some(value) = value {
                distribution.add(value);
            }
        }
    }

    fn add_placed(&mut self, line: &Line, placed: &Placed) {
        for target in placed.targets.iter().take(MAX_ENGINES) {
            self.engines.get(target).placed += 1;
            self.add_prefill(target, line.time_ms, placed.part_ms, |r| &mut r.long_ms);
        }
    }

    fn add_failed_attempt(&mut self, line: &Line, attempt: &FailedAttempt) {
        *self.failed_attempts.get(&attempt.reason) += 1;
        self.timeline.step_at(line.time_ms).failed_attempts += 1;
        if let Some(target) = &attempt.target {
            self.engines.get(target).failed += 1;
        }
    }

    fn add_node_event(&mut self, line: &Line, name: &'static str) {
        let time = line.time_ms;
        let event = NodeEventCounts { count: 0, first_ms: time, last_ms: time };
        let event = self.node_events.entry(name).or_insert(event);
        event.count += 1;
        event.first_ms = event.first_ms.min(time);
        event.last_ms = event.last_ms.max(time);
    }

    /// Distributes the prefill time of an engine over the steps that it overlaps.
    fn add_prefill(
        &mut self,
        target: &str,
        begin_ms: i64,
        part_ms: u64,
        select: fn(&mut PrefillTime) -> &mut u64,
    ) {
        let index = self.engines.index_of(target);
        *select(&mut self.engines.get(target).prefill) += part_ms;
        let Some(index) = index else { return };
        let (mut at, end) = (begin_ms, begin_ms + part_ms.min(MAX_PREFILL_MS) as i64);
        while at < end {
            // Looking up a step may double the step width, so the width is read afterwards.
            self.timeline.step_at(at);
            let step_ms = self.timeline.step_ms();
            let next = ((at.div_euclid(step_ms) + 1) * step_ms).min(end);
            let step = self.timeline.step_at(at);
            if step.prefill_times.len() <= index {
                step.prefill_times.resize(index + 1, PrefillTime::default());
            }
            *select(&mut step.prefill_times[index]) += (next - at) as u64;
            at = next;
        }
    }
}

/// Returns the arrival time of a line's request.
fn arrival_ms(line: &Line) -> i64 {
    line.time_ms - line.age_ms as i64
}

/// Returns the half octave that a time lies in. Each half octave is a bucket whose bounds
/// differ by a factor of the square root of two.
fn half_octave(ms: u64) -> u8 {
    (((ms + 1) as f64).log2() * 2.0) as u8
}

/// Returns the smallest time of a half octave.
pub(crate) fn half_octave_start(cell: u8) -> f64 {
    (f64::from(cell) / 2.0).exp2() - 1.0
}
