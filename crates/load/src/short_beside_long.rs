//! Measures short requests alone, then during a burst of long ones.
//!
//! The fleet can't prefill the whole burst within the measurement. Any capacity
//! that the short requests gain is therefore lost by the long ones and shows in the
//! latency of the last long answer.

use crate::experiment::{
    POLICIES, add_outcomes, first_token_spread, note_baselines, send, start_fleet,
};
use crate::fleet::{self, Policy};
use crate::mix::{Arrival, Class, Length, Options, Part};
use crate::outcome::{End, Kind, Sample};
use crate::sheet::{Goal, Sheet};
use eyre::Result;
use std::time::Duration;

/// Time of the burst of long requests.
const BURST_AT: Duration = Duration::from_secs(8);

/// Number of long requests. Six engines prefill 32 prompts of 100k tokens in 13 s
/// at 40k tokens per second each.
const BURST_SIZE: u32 = 32;

/// Duration of the workload of short requests.
const DURATION: Duration = Duration::from_secs(20);

/// Rate of short requests per second, an eighth of the prefill capacity of six
/// engines.
const SHORT_RATE: f64 = 30.0;

#[derive(Clone, Copy)]
struct Measurement {
    slowdown: f64,
    beside: f64,
    long_rate: f64,
}

/// Runs the experiment for all policies.
pub(crate) async fn measure(sheet: &mut Sheet) -> Result<()> {
    let mut fair = None;
    for policy in POLICIES {
        let measured = measure_policy(sheet, policy).await?;
        match fair {
            None => fair = Some(measured),
            Some(fair) => compare(sheet, policy, fair, measured),
        }
    }
    sheet.note("long throughput: prompt tokens of whole 100k answers by the time to the last");
    note_baselines(sheet);
    Ok(())
}

fn compare(sheet: &mut Sheet, policy: Policy, fair: Measurement, baseline: Measurement) {
    let name = |what: &str| format!("{what}, {policy} / fair");
    sheet.add(name("slowdown p95"), baseline.slowdown / fair.slowdown, "x");
    sheet.add(name("first token 1k beside long p95"), baseline.beside / fair.beside, "x");
    let kept = fair.long_rate / baseline.long_rate;
    sheet.judge(format!("long throughput, fair / {policy}"), kept, "x", Goal::AtLeast(0.9));
}

async fn measure_policy(sheet: &mut Sheet, policy: Policy) -> Result<Measurement> {
    let fleet = start_fleet(fleet::Options::default(), policy).await?;
    let options = plan(sheet.seed);
    let samples = send(&fleet, policy, &options).await;
    drop(fleet);
    let short = Kind::Completion(Length::Short);
    let alone = first_token_spread(&samples, short, Duration::ZERO..BURST_AT);
    let beside = first_token_spread(&samples, short, BURST_AT..DURATION);
    let slowdown = beside.quantile_ms(0.95) / alone.quantile_ms(0.95);
    let long_rate = measure_long(&samples);
    let name = |what: &str| format!("{policy}: {what}");
    sheet.add(name("first token 1k alone p50"), alone.quantile_ms(0.50), "ms");
    sheet.add(name("first token 1k alone p95"), alone.quantile_ms(0.95), "ms");
    sheet.add(name("first token 1k beside long p50"), beside.quantile_ms(0.50), "ms");
    sheet.add(name("first token 1k beside long p95"), beside.quantile_ms(0.95), "ms");
    match policy {
        Policy::Fair => sheet.judge(name("slowdown p95"), slowdown, "x", Goal::AtMost(1.2)),
        _ => sheet.add(name("slowdown p95"), slowdown, "x"),
    }
    sheet.add(name("long throughput"), long_rate, "tokens/s");
    add_outcomes(sheet, &policy.to_string(), &options, &samples);
    Ok(Measurement { slowdown, beside: beside.quantile_ms(0.95), long_rate })
}

fn plan(seed: u64) -> Options {
    let mut long = Part::new(Length::Long, Class::Batch, 0.0);
    long.arrival = Arrival::Once(BURST_SIZE);
    long.from = BURST_AT;
    let parts = vec![Part::new(Length::Short, Class::Interactive, SHORT_RATE), long];
    Options { parts, skew: 0.0, ..Options::empty(seed, DURATION) }
}

fn measure_long(samples: &[Sample]) -> f64 {
    let long = samples.iter().filter(|s| s.kind == Kind::Completion(Length::Long));
    let whole: Vec<_> = long.filter(|s| s.outcome.end == End::Whole).collect();
    let last = whole.iter().map(|s| s.outcome.latency).max().unwrap_or(Duration::MAX);
    whole.len() as f64 * Length::Long.tokens().0 as f64 / last.as_secs_f64()
}
