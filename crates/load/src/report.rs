//! What the callers of a run saw, as a table and as JSON.

use crate::mix::{Length, Options};
use crate::outcome::{End, Kind, Sample};
use crate::spread::Spread;
use hickory_policy::refuse::Ran;
use hickory_unit::id;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// What came of the requests of one kind.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindSummary {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers in time.
    pub whole: u64,
    /// From the intended send time to the first token.
    pub first_token: Spread,
    /// Between two tokens.
    pub between_tokens: Spread,
    /// From the intended send time to the end of whole answers.
    pub whole_answer: Spread,
}

/// Refusals for one reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Refusals {
    /// That said the request did not run.
    pub not_run: u64,
    /// That did not know.
    pub unknown: u64,
}

/// Time to first token of short requests beside long ones, divided by the
/// same while none were sent.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Slowdown {
    /// Of the medians.
    pub p50: f64,
    /// Of the 95th percentiles.
    pub p95: f64,
}

/// What one account got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AccountSummary {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers in time.
    pub whole: u64,
    /// Prompt tokens of whole answers.
    pub prompt_tokens: u64,
    /// Tokens of answers.
    pub answer_tokens: u64,
}

/// The report of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The seed of the workload.
    pub seed: u64,
    /// How long requests were sent, in seconds.
    pub seconds: f64,
    /// Requests sent.
    pub sent: u64,
    /// Requests by kind: prompt length, or `call`.
    pub kinds: BTreeMap<String, KindSummary>,
    /// Requests by end.
    pub ends: BTreeMap<String, u64>,
    /// Refusals by reason, also those after which a request was sent again.
    pub refusals: BTreeMap<String, Refusals>,
    /// Failures and wrong answers by cause.
    pub failures: BTreeMap<String, u64>,
    /// What each account got.
    pub accounts: BTreeMap<id::Account, AccountSummary>,
    /// The slowdown of short requests, where the workload has a time without
    /// long ones.
    pub slowdown: Option<Slowdown>,
    /// Times that a stream was taken up again.
    pub resumes: u64,
    /// Times that a request was sent again.
    pub resends: u64,
}

impl Report {
    /// Sums samples up; `accounts` names the accounts by index.
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

    /// Requests that ended as `end` is displayed.
    pub fn count_ended(&self, end: &str) -> u64 {
        self.ends.get(end).copied().unwrap_or(0)
    }

    /// Requests that neither got their whole answer, nor a refusal, nor were
    /// given up by their caller.
    pub fn lost(&self) -> u64 {
        ["failed", "late", "unanswered", "wrong"].iter().map(|end| self.count_ended(end)).sum()
    }

    /// What came of the completions of one length.
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
            kind.whole_answer.record(outcome.time);
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

/// Short requests before the first long one may be sent against those after.
fn measure_slowdown(options: &Options, samples: &[Sample]) -> Option<Slowdown> {
    let long = options.parts.iter().filter(|part| part.length >= Length::Long && part.rate > 0.0);
    let from = long.map(|part| part.from).min().filter(|from| *from > Duration::ZERO)?;
    let spread = |beside: bool| -> Spread {
        let short = samples.iter().filter(|s| s.kind == Kind::Completion(Length::Short));
        let phase = short.filter(|sample| (sample.at >= from) == beside);
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

/// The quantiles in milliseconds; dashes where nothing was measured.
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
    writeln!(f, "sent again {}, streams taken up again {}", report.resends, report.resumes)
}
