//! The report of a run from the callers' view, as a table and as JSON.

use crate::mix::{Length, Options};
use crate::outcome::{End, Kind, Sample};
use crate::spread::Spread;
use hickory_policy::refuse::Ran;
use hickory_unit::id;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Summary of the requests of one kind.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindSummary {
    /// Requests sent.
    pub sent: u64,
    /// Complete answers in time.
    pub whole: u64,
    /// Time from the intended send time to the first token.
    pub first_token: Spread,
    /// Inter-token latency.
    pub between_tokens: Spread,
    /// Time from the intended send time to the end, for complete answers.
    pub whole_answer: Spread,
}

/// Number of refusals for one reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Refusals {
    /// Refusals that stated that the request did not run.
    pub not_run: u64,
    /// Refusals that stated that the request may have run.
    pub unknown: u64,
}

/// Slowdown of short requests: their time to first token while long requests are
/// sent, divided by that before.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Slowdown {
    /// Ratio of the medians.
    pub p50: f64,
    /// Ratio of the 95th percentiles.
    pub p95: f64,
}

/// Summary of the requests of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AccountSummary {
    /// Requests sent.
    pub sent: u64,
    /// Complete answers in time.
    pub whole: u64,
    /// Prompt tokens of complete answers.
    pub prompt_tokens: u64,
    /// Answer tokens received, also those of incomplete answers.
    pub answer_tokens: u64,
}

/// The report of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The seed of the workload.
    pub seed: u64,
    /// Duration of the workload, in seconds.
    pub seconds: f64,
    /// Requests sent.
    pub sent: u64,
    /// Summary by kind: the length class of the prompt, or `call`.
    pub kinds: BTreeMap<String, KindSummary>,
    /// Number of requests by how they ended.
    pub ends: BTreeMap<String, u64>,
    /// Refusals by reason, including those after which the request was retried.
    pub refusals: BTreeMap<String, Refusals>,
    /// Number of failures and wrong answers by cause.
    pub failures: BTreeMap<String, u64>,
    /// Summary by account.
    pub accounts: BTreeMap<id::Account, AccountSummary>,
    /// The slowdown of short requests, if the workload starts with a phase without
    /// long ones.
    pub slowdown: Option<Slowdown>,
    /// Number of stream resumptions.
    pub resumes: u64,
    /// Number of retries.
    pub resends: u64,
}

impl Report {
    /// Summarizes the samples. `accounts` are the account names by index.
    pub fn from_samples(options: &Options, accounts: &[id::Account], samples: &[Sample]) -> Self {
        let mut report = Self {
            seed: options.seed,
            seconds: options.duration.as_secs_f64(),
            sent: samples.len() as u64,
            kinds: BTreeMap::new(),
            ends: BTreeMap::new(),
            refusals: BTreeMap::new(),
            failures: BTreeMap::new(),
            accounts: BTreeMap::new(),
            slowdown: measure_slowdown(options, samples),
            resumes: 0,
            resends: 0,
        };
        for sample in samples {
            report.add_kind(sample);
            report.add_end(sample);
            if let Some(account) = accounts.get(sample.account) {
                add_to_account(report.accounts.entry(account.clone()).or_default(), sample);
            }
        }
        report
    }

    /// Returns the number of requests whose end is displayed as `end`.
    pub fn count_ended(&self, end: &str) -> u64 {
        self.ends.get(end).copied().unwrap_or(0)
    }

    /// Returns the number of requests that got neither a complete answer nor a
    /// refusal, although their caller didn't hang up.
    pub fn lost(&self) -> u64 {
        ["failed", "late", "unanswered", "wrong"].iter().map(|end| self.count_ended(end)).sum()
    }

    /// Returns the summary of the completions of one length class.
    pub fn for_length(&self, length: Length) -> Option<&KindSummary> {
        self.kinds.get(&length.to_string())
    }

    fn add_kind(&mut self, sample: &Sample) {
        let outcome = &sample.outcome;
        let kind = self.kinds.entry(sample.kind.to_string()).or_default();
        kind.sent += 1;
        outcome.first_token.iter().for_each(|time| kind.first_token.record(*time));
        outcome.gaps.iter().for_each(|gap| kind.between_tokens.record(*gap));
        if outcome.end == End::Whole {
            kind.whole += 1;
            kind.whole_answer.record(outcome.latency);
        }
    }

    fn add_end(&mut self, sample: &Sample) {
        let outcome = &sample.outcome;
        *self.ends.entry(outcome.end.to_string()).or_default() += 1;
        let cause = match &outcome.end {
            End::Failed(failure) => Some(failure.to_string()),
            End::Wrong(fault) => Some(fault.to_string()),
            _ => None,
        };
        cause.into_iter().for_each(|cause| *self.failures.entry(cause).or_default() += 1);
        for refused in &outcome.refusals {
            let count = self.refusals.entry(refused.reason.to_string()).or_default();
            match refused.ran {
                Ran::No => count.not_run += 1,
                Ran::Unknown => count.unknown += 1,
            }
        }
        self.resumes += u64::from(outcome.resumes);
        self.resends += u64::from(outcome.resends);
    }
}

fn add_to_account(account: &mut AccountSummary, sample: &Sample) {
    account.sent += 1;
    account.answer_tokens += sample.outcome.tokens;
    if sample.outcome.end == End::Whole {
        account.whole += 1;
        if let Kind::Completion(length) = sample.kind {
            account.prompt_tokens += length.tokens().0;
        }
    }
}

/// Compares the short requests before and after the start of the first part with
/// long prompts.
fn measure_slowdown(options: &Options, samples: &[Sample]) -> Option<Slowdown> {
    let long = options.parts.iter().filter(|part| part.length >= Length::Long && part.rate > 0.0);
    let from = long.map(|part| part.from).min().filter(|from| *from > Duration::ZERO)?;
    let spread = |beside: bool| -> Spread {
        let short = samples.iter().filter(|s| s.kind == Kind::Completion(Length::Short));
        let phase = short.filter(|sample| (sample.send_at >= from) == beside);
        phase.filter_map(|sample| sample.outcome.first_token).collect()
    };
    let (alone, beside) = (spread(false), spread(true));
    let ratio = |quantile| beside.quantile_ms(quantile) / alone.quantile_ms(quantile);
    (alone.count() > 0 && beside.count() > 0)
        .then(|| Slowdown { p50: ratio(0.50), p95: ratio(0.95) })
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} requests in {} s, seed {}", self.sent, self.seconds, self.seed)?;
        writeln!(f)?;
        writeln!(
            f,
            "{:<6} {:>6} {:>6}  {:>30}  {:>19}",
            "prompt", "sent", "whole", "first token ms p50/p95/p99", "between ms p50/p95"
        )?;
        for length in Length::ALL {
            if let Some(kind) = self.for_length(*length) {
                write_kind(f, &length.to_string(), kind)?;
            }
        }
        if let Some(calls) = self.kinds.get("call") {
            let times = format_quantiles(&calls.whole_answer, &[0.50, 0.95]);
            writeln!(f)?;
            writeln!(
                f,
                "calls: {} sent, {} whole, answer ms p50/p95 {times}",
                calls.sent, calls.whole
            )?;
        }
        if let Some(slowdown) = &self.slowdown {
            writeln!(f)?;
            writeln!(
                f,
                "slowdown of 1k prompts beside long ones: p50 {:.2}, p95 {:.2}",
                slowdown.p50, slowdown.p95
            )?;
        }
        write_counts(f, self)
    }
}

fn write_kind(f: &mut fmt::Formatter<'_>, name: &str, kind: &KindSummary) -> fmt::Result {
    let first = format_quantiles(&kind.first_token, &[0.50, 0.95, 0.99]);
    let between = format_quantiles(&kind.between_tokens, &[0.50, 0.95]);
    writeln!(f, "{name:<6} {:>6} {:>6}  {first:>30}  {between:>19}", kind.sent, kind.whole)
}

/// Formats the quantiles in milliseconds, or dashes if there are no measurements.
fn format_quantiles(spread: &Spread, quantiles: &[f64]) -> String {
    let show = |quantile: &f64| match spread.count() {
        0 => "-".to_owned(),
        _ => format!("{:.1}", spread.quantile_ms(*quantile)),
    };
    quantiles.iter().map(show).collect::<Vec<_>>().join(" / ")
}

fn write_counts(f: &mut fmt::Formatter<'_>, report: &Report) -> fmt::Result {
    writeln!(f)?;
    let ends: Vec<_> = report.ends.iter().map(|(end, count)| format!("{end} {count}")).collect();
    writeln!(f, "ends: {}", ends.join(", "))?;
    for (reason, count) in &report.refusals {
        writeln!(f, "refused {reason}: {} not run, {} may have run", count.not_run, count.unknown)?;
    }
    if report.refusals.is_empty() {
        writeln!(f, "refused: none")?;
    }
    for (cause, count) in &report.failures {
        writeln!(f, "failure {cause}: {count}")?;
    }
    writeln!(f, "retries {}, stream resumptions {}", report.resends, report.resumes)
}
