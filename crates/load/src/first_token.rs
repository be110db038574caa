//! Measures the time to first token by prompt length under a mixed load.

use crate::experiment::{
    POLICIES, add_outcomes, first_token_spread, note_baselines, send, start_fleet,
};
use crate::fleet;
use crate::mix::{Arrival, Class, Length, Options, Part};
use crate::outcome::Kind;
use crate::sheet::Sheet;
use eyre::Result;
use hickory_model::engine::Options as Engine;
use std::time::Duration;

/// Duration of the workload.
const DURATION: Duration = Duration::from_secs(20);

/// Speedup of the simulated engines, so that prompts of a million tokens are
/// processed within the run.
const ENGINE_SPEED: f64 = 4.0;

const QUANTILES: [(&str, f64); 3] = [("p50", 0.50), ("p95", 0.95), ("p99", 0.99)];

/// Runs the experiment for all policies.
pub(crate) async fn measure(sheet: &mut Sheet) -> Result<()> {
    let mut fair = Vec::new();
    for policy in POLICIES {
        let engine = Engine { speed: ENGINE_SPEED, ..Engine::default() };
        let options = fleet::Options { engine, ..fleet::Options::default() };
        let fleet = start_fleet(options, policy).await?;
        let options = plan(sheet.seed);
        let samples = send(&fleet, policy, &options).await;
        drop(fleet);
        for length in Length::ALL {
            let kind = Kind::Completion(*length);
            let spread = first_token_spread(&samples, kind, Duration::ZERO..DURATION);
            for (quantile, fraction) in QUANTILES {
                let name = format!("first token {length} {quantile}");
                let value = spread.quantile_ms(fraction);
                sheet.add(format!("{policy}: {name}"), value, "ms");
                let baseline =
                    fair.iter().find(|(known, _)| *known == name).map(|(_, value)| *value);
                match baseline {
                    Some(baseline) => {
                        sheet.add(format!("{name}, {policy} / fair"), value / baseline, "x")
                    }
                    None => fair.push((name, value)),
                }
            }
        }
        add_outcomes(sheet, &policy.to_string(), &options, &samples);
    }
    sheet.note(format!("6 engines, each at {ENGINE_SPEED} times 40k prompt tokens a second"));
    note_baselines(sheet);
    Ok(())
}

/// Returns a load of about half of the prefill capacity of six engines, and two
/// prompts of a million tokens.
fn plan(seed: u64) -> Options {
    let part = Part::new;
    let mut huge = part(Length::Huge, Class::Batch, 0.0);
    huge.arrival = Arrival::Once(2);
    huge.from = Duration::from_secs(2);
    let parts = vec![
        part(Length::Short, Class::Interactive, 60.0),
        part(Length::Medium, Class::Interactive, 8.0),
        part(Length::Long, Class::Batch, 2.0),
        huge,
    ];
    Options { parts, ..Options::empty(seed, DURATION) }
}
