//! Measures the effect of taking a zone out of service and back under load.

use crate::experiment::{add_outcomes, first_token_spread, is_lost, send, start_fleet};
use crate::fleet::{self, Fleet, Policy};
use crate::mix::{Calls, Class, Length, Options, Part};
use crate::outcome::{End, Kind};
use crate::sheet::{Goal, Sheet};
use eyre::Result;
use hickory_target::engine::Engines;
use hickory_target::http::Targets;
use hickory_unit::id;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// When the zone is taken out of service.
const OUT_AT: Duration = Duration::from_secs(7);

/// When the zone is put back in service.
const BACK_AT: Duration = Duration::from_secs(14);

/// Duration of the workload.
const DURATION: Duration = Duration::from_secs(21);

/// The zone that is taken out of service.
const ZONE: &str = "a";

/// Interval between two reads of the reports of the zone's engines.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the experiment only with the product's policy, since the baselines differ from
/// it only in placement.
pub(crate) async fn measure(sheet: &mut Sheet) -> Result<()> {
    let options = fleet::Options { engines: 9, ..fleet::Options::default() };
    let fleet = start_fleet(options, Policy::Fair).await?;
    let options = plan(sheet.seed);
    let (samples, changed) =
        tokio::join!(send(&fleet, Policy::Fair, &options), change_zone(&fleet));
    let changed = changed?;
    let short = Kind::Completion(Length::Short);
    let before = first_token_spread(&samples, short, Duration::ZERO..OUT_AT);
    let out = first_token_spread(&samples, short, OUT_AT..BACK_AT);
    let back = first_token_spread(&samples, short, BACK_AT..DURATION);
    sheet.add("first token 1k before p50", before.quantile_ms(0.50), "ms");
    sheet.add("first token 1k before p95", before.quantile_ms(0.95), "ms");
    sheet.add("first token 1k while out p95", out.quantile_ms(0.95), "ms");
    sheet.add("first token 1k after return p95", back.quantile_ms(0.95), "ms");
    let ratio =
        |spread: &crate::spread::Spread| spread.quantile_ms(0.95) / before.quantile_ms(0.95);
    sheet.judge("p95 while out / before", ratio(&out), "x", Goal::AtMost(1.5));
    sheet.judge("p95 after return / before", ratio(&back), "x", Goal::AtMost(1.5));
    let lost = samples.iter().filter(|sample| is_lost(sample)).count();
    let refused = samples.iter().filter(|s| matches!(s.outcome.end, End::Refused(_))).count();
    sheet.judge("requests lost", lost as f64, "", Goal::AtMost(0.0));
    sheet.judge("requests refused", refused as f64, "", Goal::AtMost(0.0));
    let last = changed.last_start_delay.as_secs_f64();
    sheet.judge("last new work in the zone after the note", last, "s", Goal::AtMost(3.0));
    sheet.add("streams begun in the zone after the note", changed.new_while_out as f64, "");
    sheet.add(
        "first new work in the zone after its return",
        changed.first_after_return_seconds,
        "s",
    );
    add_outcomes(sheet, "all", &options, &samples);
    sheet.note(
        "9 engines in 3 zones at a third of their rate; calls of orders run at the same time",
    );
    Ok(())
}

fn plan(seed: u64) -> Options {
    let parts = vec![
        Part::new(Length::Short, Class::Interactive, 60.0),
        Part::new(Length::Medium, Class::Interactive, 6.0),
    ];
    let order = Calls {
        service: "orders".into(),
        path: "/place".into(),
        rate: 5.0,
        once: true,
        deadline: Duration::from_secs(10),
    };
    Options { parts, calls: vec![order], ..Options::empty(seed, DURATION) }
}

/// The streams that began in the zone after the two changes.
struct ZoneChange {
    /// Time from taking the zone out until the last new stream in it.
    last_start_delay: Duration,
    /// Number of new streams while the zone was out of service.
    new_while_out: usize,
    /// Seconds from the zone's return until the first new stream; NaN if there was none.
    first_after_return_seconds: f64,
}

async fn change_zone(fleet: &Fleet) -> Result<ZoneChange> {
    let start = Instant::now();
    let engines = list_engines(fleet);
    let targets = Targets::open(Duration::from_secs(1));
    tokio::time::sleep_until((start + OUT_AT).into()).await;
    let accepted = Instant::now();
    fleet.set_zone(ZONE, true).await?;
    let mut seen = HashSet::new();
    count_new_streams(&targets, &engines, &mut seen).await;
    let mut changed = ZoneChange {
        last_start_delay: Duration::ZERO,
        new_while_out: 0,
        first_after_return_seconds: f64::NAN,
    };
    while start.elapsed() < BACK_AT {
        let new = count_new_streams(&targets, &engines, &mut seen).await;
        if new > 0 {
            changed.new_while_out += new;
            changed.last_start_delay = accepted.elapsed();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let returned = Instant::now();
    fleet.set_zone(ZONE, false).await?;
    while start.elapsed() < DURATION && changed.first_after_return_seconds.is_nan() {
        if count_new_streams(&targets, &engines, &mut seen).await > 0 {
            changed.first_after_return_seconds = returned.elapsed().as_secs_f64();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(changed)
}

fn list_engines(fleet: &Fleet) -> Vec<SocketAddr> {
    let engines = fleet.standins.engines.iter().map(|engine| engine.address());
    // Targets are distributed over three zones round robin, so every third one is in the
    // first zone.
    engines.step_by(3).collect()
}

/// Adds the streams on the engines to `seen` and returns how many are new.
async fn count_new_streams(
    targets: &Targets,
    engines: &[SocketAddr],
    seen: &mut HashSet<id::Stream>,
) -> usize {
    let reports = engines.iter().map(|engine| targets.report(*engine));
    let reports = futures::future::join_all(reports).await;
    let streams = reports.into_iter().flatten().flat_map(|report| report.streams);
    streams.filter(|held| seen.insert(held.stream.clone())).count()
}
