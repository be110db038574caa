//! Counts what the lines tell; bounded however many there are.

use crate::line::{Answered, Attempt, Event, Fault, KNOWN, Line, Placed, Refused};
use crate::outcome::{Counts, Outcome, judge_answer, judge_refusal};
use crate::roll::Roll;
use crate::size::{self, Class};
use crate::spread::Spread;
use crate::timeline::{Merge, Timeline};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// Engines that are counted by name.
pub const ENGINES_MAX: usize = 256;

/// Reasons of refusals and of failed attempts that are counted by name.
pub const REASONS_MAX: usize = 32;

/// Fields that aren't known which are counted by name.
pub const UNKNOWN_MAX: usize = 32;

/// Bad lines whose places are kept.
const PLACES_MAX: usize = 8;

/// Requests of a step that are named for `explain`.
const EXAMPLES_MAX: usize = 3;

/// The longest reading that is spread over time.
const READING_MAX_MS: u64 = 3_600_000;

/// Sendings that are told apart; the last stands for more.
pub const SENDS_MAX: usize = 4;

/// What an engine read in a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Reading {
    pub(crate) short_ms: u64,
    pub(crate) long_ms: u64,
}

/// A request that `explain` tells more of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Example {
    pub(crate) request: CompactString,
    pub(crate) outcome: Outcome,
    pub(crate) node: CompactString,
}

/// What is counted of a span of time.
#[derive(Debug, Default)]
pub(crate) struct Step {
    pub(crate) outcomes: Counts,
    pub(crate) expected: Spread<1>,
    pub(crate) first: Spread<1>,
    pub(crate) wait: Spread<1>,
    /// By how much pauses were over the wanted one.
    pub(crate) over: Spread<1>,
    /// Attempts that failed.
    pub(crate) attempts: u64,
    /// By the number of the engine.
    pub(crate) engines: Vec<Reading>,
    pub(crate) examples: Vec<Example>,
}

impl Merge for Step {
    fn merge(&mut self, other: Self) {
        self.outcomes.merge(&other.outcomes);
        self.expected.merge(other.expected);
        self.first.merge(other.first);
        self.wait.merge(other.wait);
        self.over.merge(other.over);
        self.attempts += other.attempts;
        self.engines.resize(self.engines.len().max(other.engines.len()), Reading::default());
        for (own, other) in self.engines.iter_mut().zip(other.engines) {
            own.short_ms += other.short_ms;
            own.long_ms += other.long_ms;
        }
        self.examples.extend(other.examples);
        self.examples.truncate(EXAMPLES_MAX);
    }
}

/// What is counted of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Engine {
    pub(crate) answered: u64,
    pub(crate) late: u64,
    pub(crate) failed: u64,
    /// Long prompts that it read a part of.
    pub(crate) placed: u64,
    pub(crate) reading: Reading,
}

/// What is counted of a reason of refusals.
#[derive(Debug, Default)]
pub(crate) struct Reason {
    pub(crate) count: u64,
    /// Those that may have run.
    pub(crate) ran: u64,
    /// What was known, in the order of [`KNOWN`].
    pub(crate) known: [Spread<2>; KNOWN.len()],
}

/// What is counted of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct News {
    pub(crate) count: u64,
    pub(crate) first_ms: i64,
    pub(crate) last_ms: i64,
}

/// A name's count, and where it was met first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Met {
    pub(crate) count: u64,
    pub(crate) first: String,
}

/// What became of the lines.
#[derive(Debug)]
pub(crate) struct Lines {
    pub(crate) read: u64,
    pub(crate) skipped: u64,
    pub(crate) other: u64,
    pub(crate) dropped: u64,
    /// The first bad lines: their places, and what is wrong.
    pub(crate) faults: Vec<String>,
    pub(crate) unknown: Roll<Met>,
}

/// What the lines tell, counted.
#[derive(Debug)]
pub struct Tally {
    pub(crate) lines: Lines,
    pub(crate) timeline: Timeline<Step>,
    pub(crate) outcomes: Counts,
    pub(crate) waits: [Spread<2>; size::COUNT],
    pub(crate) began_to_wait: u64,
    /// First tokens by what was expected and what came, each in half octaves.
    pub(crate) predicted: BTreeMap<(u8, u8), u64>,
    pub(crate) expected: Spread<2>,
    pub(crate) first: Spread<2>,
    /// Streams of which a longest pause is wanted.
    pub(crate) paced: u64,
    pub(crate) over: Spread<2>,
    pub(crate) engines: Roll<Engine>,
    /// Answers whose lines don't say whether they were short.
    pub(crate) unsaid: u64,
    pub(crate) reasons: Roll<Reason>,
    pub(crate) sends: [u64; SENDS_MAX],
    pub(crate) attempts: Roll<u64>,
    pub(crate) spent: u64,
    pub(crate) news: BTreeMap<&'static str, News>,
}

impl Default for Tally {
    fn default() -> Self {
        let faults = Vec::new();
        let unknown = Roll::new(UNKNOWN_MAX);
        Self {
            lines: Lines { read: 0, skipped: 0, other: 0, dropped: 0, faults, unknown },
            timeline: Timeline::default(),
            outcomes: Counts::default(),
            waits: Default::default(),
            began_to_wait: 0,
            predicted: BTreeMap::new(),
            expected: Spread::default(),
            first: Spread::default(),
            paced: 0,
            over: Spread::default(),
            engines: Roll::new(ENGINES_MAX),
            unsaid: 0,
            reasons: Roll::new(REASONS_MAX),
            sends: [0; SENDS_MAX],
            attempts: Roll::new(REASONS_MAX),
            spent: 0,
            news: BTreeMap::new(),
        }
    }
}

impl Tally {
    /// Counts a line that can't be read; `place` names the log and the line.
    pub fn skip(&mut self, place: &str, fault: &Fault) {
        self.lines.skipped += 1;
        if self.lines.faults.len() < PLACES_MAX {
            self.lines.faults.push(format!("{place}: {fault}"));
        }
    }

    /// Counts a line.
    pub fn add(&mut self, place: &str, line: &Line) {
        self.lines.read += 1;
        for name in &line.unknown {
            let met = self.lines.unknown.get(name);
            met.count += 1;
            if met.first.is_empty() {
                met.first = place.to_owned();
            }
        }
        match &line.event {
            Event::Answered(answer) => self.add_answer(line, answer),
            Event::Refused(refusal) => self.add_refusal(line, refusal),
            Event::Broken(prompt) => self.add_end(line, Class::of(*prompt), Outcome::Failed),
            Event::Gone(prompt) => self.add_end(line, Class::of(*prompt), Outcome::Gone),
            Event::Placed(placed) => self.add_placed(line, placed),
            Event::Waits => self.began_to_wait += 1,
            Event::Attempt(attempt) => self.add_attempt(line, attempt),
            Event::Spent => self.spent += 1,
            Event::Dropped(count) => self.lines.dropped += count,
            Event::News(name) => self.add_news(line, name),
            Event::Other => self.lines.other += 1,
        }
    }

    /// The first place at which something could not be read or wasn't known.
    pub fn first_fault(&self) -> Option<String> {
        let unknown = self.lines.unknown.names().next();
        let unknown =
            || unknown.map(|(name, _, met)| format!("{}: unknown field {name}", met.first));
        self.lines.faults.first().cloned().or_else(unknown)
    }

    /// Counts the end of a request, by when it came.
    fn add_end(&mut self, line: &Line, class: Class, outcome: Outcome) {
        self.outcomes.add(class, outcome);
        let step = self.timeline.at(arrived(line));
        step.outcomes.add(class, outcome);
        if outcome.is_bad() && step.examples.len() < EXAMPLES_MAX && !line.request.is_empty() {
            let (request, node) = (line.request.clone(), line.node.clone());
            step.examples.push(Example { request, outcome, node });
        }
    }

    fn add_answer(&mut self, line: &Line, answer: &Answered) {
        let outcome = judge_answer(answer);
        let class = Class::of(answer.prompt);
        self.add_end(line, class, outcome);
        let engine = self.engines.get(&answer.target);
        engine.answered += 1;
        engine.late += u64::from(outcome == Outcome::Late);
        let sends = (answer.sends.max(1) as usize).min(SENDS_MAX);
        self.sends[sends - 1] += 1;
        self.add_wait(line, class, answer.wait_ms);
        self.add_pause(line, answer);
        self.add_first(line, answer);
        match answer.short {
            Some(true) => {
                let end = arrived(line) + answer.first_ms as i64;
                let begin = end - answer.part_ms as i64;
                self.add_reading(&answer.target, begin, answer.part_ms, |r| &mut r.short_ms);
            }
            Some(false) => {}
            None => self.unsaid += 1,
        }
    }

    fn add_wait(&mut self, line: &Line, class: Class, wait_ms: u64) {
        self.waits[class.index()].add(wait_ms);
        self.timeline.at(arrived(line)).wait.add(wait_ms);
    }

    fn add_pause(&mut self, line: &Line, answer: &Answered) {
        if answer.pause_max_ms == 0 {
            return;
        }
        self.paced += 1;
        let over = answer.pause_ms.saturating_sub(answer.pause_max_ms);
        if over > 0 {
            self.over.add(over);
            self.timeline.at(arrived(line)).over.add(over);
        }
    }

    /// Compares a first token with what was expected at its only placing.
    fn add_first(&mut self, line: &Line, answer: &Answered) {
        if !answer.is_stream() || answer.sends != 1 || answer.status >= 300 {
            return;
        }
        let first = answer.first_ms.saturating_sub(answer.wait_ms);
        let cell = (find_cell(answer.expected_ms), find_cell(first));
        *self.predicted.entry(cell).or_default() += 1;
        self.expected.add(answer.expected_ms);
        self.first.add(first);
        let step = self.timeline.at(arrived(line));
        step.expected.add(answer.expected_ms);
        step.first.add(first);
    }

    fn add_refusal(&mut self, line: &Line, refusal: &Refused) {
        let [prompt, _, _, wait, ..] = refusal.known;
        let class = Class::of(prompt.unwrap_or(0));
        self.add_end(line, class, judge_refusal(refusal));
        if let Some(wait) = wait {
            self.add_wait(line, class, wait);
        }
        let reason = self.reasons.get(&refusal.reason);
        reason.count += 1;
        reason.ran += u64::from(refusal.ran != "no");
        for (spread, value) in reason.known.iter_mut().zip(refusal.known) {
            if let Some(value) = value {
                spread.add(value);
            }
        }
    }

    fn add_placed(&mut self, line: &Line, placed: &Placed) {
        for target in placed.targets.iter().take(ENGINES_MAX) {
            self.engines.get(target).placed += 1;
            self.add_reading(target, line.time_ms, placed.part_ms, |r| &mut r.long_ms);
        }
    }

    fn add_attempt(&mut self, line: &Line, attempt: &Attempt) {
        *self.attempts.get(&attempt.why) += 1;
        self.timeline.at(line.time_ms).attempts += 1;
        if let Some(target) = &attempt.target {
            self.engines.get(target).failed += 1;
        }
    }

    fn add_news(&mut self, line: &Line, name: &'static str) {
        let time = line.time_ms;
        let news = News { count: 0, first_ms: time, last_ms: time };
        let news = self.news.entry(name).or_insert(news);
        news.count += 1;
        news.first_ms = news.first_ms.min(time);
        news.last_ms = news.last_ms.max(time);
    }

    /// Counts what an engine reads over the steps in which it reads it.
    fn add_reading(
        &mut self,
        target: &str,
        begin_ms: i64,
        part_ms: u64,
        pick: fn(&mut Reading) -> &mut u64,
    ) {
        let number = self.engines.number(target);
        *pick(&mut self.engines.get(target).reading) += part_ms;
        let Some(number) = number else { return };
        let (mut at, end) = (begin_ms, begin_ms + part_ms.min(READING_MAX_MS) as i64);
        while at < end {
            // Looking a step up may widen all steps: the width is asked after it.
            self.timeline.at(at);
            let step_ms = self.timeline.step_ms();
            let next = ((at.div_euclid(step_ms) + 1) * step_ms).min(end);
            let step = self.timeline.at(at);
            if step.engines.len() <= number {
                step.engines.resize(number + 1, Reading::default());
            }
            *pick(&mut step.engines[number]) += (next - at) as u64;
            at = next;
        }
    }
}

/// When a line's request came.
fn arrived(line: &Line) -> i64 {
    line.time_ms - line.age_ms as i64
}

/// The half octave that a time lies in.
fn find_cell(ms: u64) -> u8 {
    (((ms + 1) as f64).log2() * 2.0) as u8
}

/// The least time of a half octave.
pub(crate) fn cell_begin(cell: u8) -> f64 {
    (f64::from(cell) / 2.0).exp2() - 1.0
}
