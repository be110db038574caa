//! Measures the goodput at twice the capacity of the fleet.

use crate::experiment::{POLICIES, add_outcomes, note_baselines, send, start_fleet};
use crate::fleet::{self, Policy};
use crate::mix::{Arrival, Class, Length, Options, Part};
use crate::outcome::{End, Sample};
use crate::sheet::{Goal, Sheet};
use crate::spread::Spread;
use eyre::Result;
use std::time::Duration;

/// Duration of the workload.
const DURATION: Duration = Duration::from_secs(16);

/// Time for queues to fill, which is excluded from the figures.
const WARM_UP_TIME: Duration = Duration::from_secs(4);

/// Number of simultaneous requests for measuring the capacity.
const CAPACITY_BURST: u32 = 240;

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(4);

/// Runs the experiment for all policies.
pub(crate) async fn measure(sheet: &mut Sheet) -> Result<()> {
    let capacity = measure_capacity(sheet).await?;
    sheet.add("capacity", capacity, "requests/s");
    for policy in POLICIES {
        let options = fleet::Options::default();
        let fleet = start_fleet(options, policy).await?;
        let options = plan(sheet.seed, 2.0 * capacity);
        let samples = send(&fleet, policy, &options).await;
        drop(fleet);
        add_figures(sheet, policy, &samples, capacity);
        add_outcomes(sheet, &policy.to_string(), &options, &samples);
    }
    sheet.note("prompts of 10k tokens, answers of 16; capacity: a burst with a long deadline");
    sheet.note("goodput: whole answers in time, counted at the time when they ended");
    note_baselines(sheet);
    Ok(())
}

fn add_figures(sheet: &mut Sheet, policy: Policy, samples: &[Sample], capacity: f64) {
    let ended = |s: &&Sample| (WARM_UP_TIME..DURATION).contains(&(s.send_at + s.outcome.latency));
    let whole = samples.iter().filter(ended).filter(|s| s.outcome.end == End::Whole).count();
    let goodput = whole as f64 / (DURATION - WARM_UP_TIME).as_secs_f64();
    let refused = samples.iter().filter(|s| matches!(s.outcome.end, End::Refused(_)));
    let refusal: Spread = refused.map(|sample| sample.outcome.latency).collect();
    let name = |what: &str| format!("{policy}: {what}");
    sheet.add(name("goodput"), goodput, "requests/s");
    let ratio = goodput / capacity;
    match policy {
        Policy::Fair => sheet.judge(name("goodput / capacity"), ratio, "x", Goal::AtLeast(0.95)),
        _ => sheet.add(name("goodput / capacity"), ratio, "x"),
    }
    sheet.add(name("refused after p50"), refusal.quantile_ms(0.50), "ms");
    sheet.add(name("refused after p95"), refusal.quantile_ms(0.95), "ms");
    sheet.add(name("refused after max"), refusal.max_ms(), "ms");
}

async fn measure_capacity(sheet: &mut Sheet) -> Result<f64> {
    let fleet = fleet::Fleet::start(fleet::Options::default()).await?;
    let mut part = completion_part();
    part.arrival = Arrival::Once(CAPACITY_BURST);
    part.deadline = Duration::from_secs(60);
    let parts = vec![part];
    let options = Options { parts, ..Options::empty(sheet.seed, Duration::from_secs(1)) };
    let samples = send(&fleet, Policy::Fair, &options).await;
    let whole: Vec<_> = samples.iter().filter(|s| s.outcome.end == End::Whole).collect();
    let last = whole.iter().map(|s| s.outcome.latency).max().unwrap_or(Duration::MAX);
    if whole.len() < samples.len() {
        add_outcomes(sheet, "capacity", &options, &samples);
    }
    Ok(whole.len() as f64 / last.as_secs_f64())
}

fn completion_part() -> Part {
    let mut part = Part::new(Length::Medium, Class::Interactive, 0.0);
    part.max_tokens = 16;
    part.deadline = DEADLINE;
    part
}

fn plan(seed: u64, rate: f64) -> Options {
    let parts = vec![Part { rate, ..completion_part() }];
    Options { parts, resends: 0, ..Options::empty(seed, DURATION) }
}
