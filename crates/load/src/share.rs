//! Measures the share of each partner in a saturated fleet.

use crate::experiment::{POLICIES, add_outcomes, note_baselines, send, start_fleet};
use crate::fleet::{self, Fleet, Policy};
use crate::mix::{Class, Length, Options, Part};
use crate::outcome::{Kind, Sample};
use crate::sheet::{Goal, Sheet};
use eyre::Result;
use hickory_release::configuration::Partner;
use hickory_release::note::Entries;
use std::time::Duration;

/// The initial shares. Each partner has [`ACCOUNTS_PER_PARTNER`] accounts and
/// demands the capacity of the whole fleet.
const INITIAL_PARTNERS: [(&str, f64, usize); 2] =
    [("mawe", 0.7, ACCOUNTS_PER_PARTNER), ("caucao", 0.3, ACCOUNTS_PER_PARTNER)];

const ACCOUNTS_PER_PARTNER: usize = 3;

/// When a release note swaps the shares of the two partners.
const SWAP_AT: Duration = Duration::from_secs(16);

/// Duration of the workload.
const DURATION: Duration = Duration::from_secs(30);

/// Measurement window for the initial shares, after the queues have filled.
const INITIAL_WINDOW_SECONDS: (f64, f64) = (5.0, 15.0);

/// Measurement window for the swapped shares.
const SWAPPED_WINDOW_SECONDS: (f64, f64) = (19.0, 29.0);

/// Runs the experiment for all policies.
pub(crate) async fn measure(sheet: &mut Sheet) -> Result<()> {
    for policy in POLICIES {
        let options =
            fleet::Options { partners: INITIAL_PARTNERS.to_vec(), ..fleet::Options::default() };
        let fleet = start_fleet(options, policy).await?;
        let options = plan(sheet.seed);
        let (samples, swapped) =
            tokio::join!(send(&fleet, policy, &options), swap_shares(&fleet, policy));
        swapped?;
        drop(fleet);
        add_figures(sheet, policy, "first shares", &samples, INITIAL_WINDOW_SECONDS, 0.7);
        add_figures(sheet, policy, "turned shares", &samples, SWAPPED_WINDOW_SECONDS, 0.3);
        add_outcomes(sheet, &policy.to_string(), &options, &samples);
    }
    sheet.note(
        "service: prompt tokens at the first token, answer tokens evenly from there to the end",
    );
    note_baselines(sheet);
    Ok(())
}

fn add_figures(
    sheet: &mut Sheet,
    policy: Policy,
    phase: &str,
    samples: &[Sample],
    window: (f64, f64),
    share: f64,
) {
    let mawe = measure_service(samples, window, 0..ACCOUNTS_PER_PARTNER);
    let caucao = measure_service(samples, window, ACCOUNTS_PER_PARTNER..2 * ACCOUNTS_PER_PARTNER);
    let got = mawe / (mawe + caucao);
    let seconds = window.1 - window.0;
    sheet.add(format!("{policy}: {phase}: service"), (mawe + caucao) / seconds, "tokens/s");
    sheet.add(format!("{policy}: {phase}: mawe got"), got * 100.0, "%");
    let name = format!("{policy}: {phase}: share error");
    let error = (got - share).abs() * 100.0;
    match policy {
        Policy::Fair => sheet.judge(name, error, "%", Goal::AtMost(2.0)),
        _ => sheet.add(name, error, "%"),
    }
}

/// Returns the tokens served within the window. Prompt tokens count at the time of
/// the first token; answer tokens are distributed evenly from there to the end.
fn measure_service(
    samples: &[Sample],
    (from, to): (f64, f64),
    accounts: std::ops::Range<usize>,
) -> f64 {
    let served = samples.iter().filter(|sample| accounts.contains(&sample.account));
    served
        .map(|sample| {
            let Kind::Completion(length) = sample.kind else { return 0.0 };
            let Some(first) = sample.outcome.first_token else { return 0.0 };
            let first = (sample.send_at + first).as_secs_f64();
            let end = (sample.send_at + sample.outcome.latency).as_secs_f64();
            let within = (end.min(to) - first.max(from)).max(0.0) / (end - first).max(1e-9);
            let prompt = if (from..to).contains(&first) { length.tokens().0 as f64 } else { 0.0 };
            prompt + sample.outcome.tokens as f64 * within
        })
        .sum()
}

/// Returns a workload in which each partner sends 10k prompts at a rate that uses
/// the capacity of the whole fleet.
fn plan(seed: u64) -> Options {
    let part = |first: usize| {
        let mut part = Part::new(Length::Medium, Class::Interactive, 24.0);
        part.accounts = Some((first, first + ACCOUNTS_PER_PARTNER));
        part.max_tokens = 16;
        part.deadline = Duration::from_secs(4);
        part
    };
    let parts = vec![part(0), part(ACCOUNTS_PER_PARTNER)];
    Options { parts, skew: 0.0, resends: 0, ..Options::empty(seed, DURATION) }
}

async fn swap_shares(fleet: &Fleet, policy: Policy) -> Result<()> {
    if policy != Policy::Fair {
        return Ok(());
    }
    tokio::time::sleep(SWAP_AT).await;
    let partners = INITIAL_PARTNERS
        .iter()
        .map(|(name, share, _)| ((*name).into(), Partner { share: 1.0 - share }));
    fleet
        .change_configuration(Entries { partners: partners.collect(), ..Entries::default() })
        .await?;
    Ok(())
}
