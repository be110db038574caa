//! The experiments by name, and their common functions.

use crate::direct::Direct;
use crate::fleet::{Fleet, Options, Policy};
use crate::mix;
use crate::outcome::{End, Kind, Sample};
use crate::report::Report;
use crate::run::{self, Route};
use crate::sheet::Sheet;
use crate::spread::Spread;
use crate::{
    configuration, control_cost, first_token, overload, process, relay, share, short_beside_long,
    stream_server, zone_change,
};
use derive_more::Display;
use eyre::{Result, bail};
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Maximum duration of an experiment. Its processes are killed when it expires.
const TIMEOUT: Duration = Duration::from_secs(240);

/// An experiment.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Name {
    /// A stream of 100 tokens over 2 s from the servers of oxhttp and hyper.
    #[display("stream-server")]
    StreamServer,
    /// Short requests alone and during a burst of long ones.
    #[display("short-beside-long")]
    ShortBesideLong,
    /// Time to first token by prompt length under a mixed load.
    #[display("first-token")]
    FirstToken,
    /// A zone is taken out of service and back under load.
    #[display("zone")]
    Zone,
    /// The share of each partner under saturation.
    #[display("shares")]
    Shares,
    /// Goodput at twice the capacity of the fleet.
    #[display("overload")]
    Overload,
    /// Time to first token that the serving layer adds, and tokens relayed per core.
    #[display("relay")]
    Relay,
    /// Control traffic, processor time and memory with 3, 6 and 9 nodes.
    #[display("control-cost")]
    ControlCost,
    /// Time until a release note has taken effect on nine nodes.
    #[display("config")]
    Configuration,
}

impl Name {
    /// All experiments.
    pub const ALL: &[Self] = &[
        Self::StreamServer,
        Self::ShortBesideLong,
        Self::FirstToken,
        Self::Zone,
        Self::Shares,
        Self::Overload,
        Self::Relay,
        Self::ControlCost,
        Self::Configuration,
    ];

    /// Returns the experiment with the given name.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|name| name.to_string() == text)
    }
}

/// Runs an experiment and kills every process that it started, also if it fails.
pub fn run_experiment(name: Name, seed: u64) -> Result<Sheet> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let measured = runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            measured = tokio::time::timeout(TIMEOUT, measure(name, seed)) => measured,
            _ = tokio::signal::ctrl_c() => bail!("the experiment was interrupted"),
            _ = terminate.recv() => bail!("the experiment was terminated by a signal"),
        }
        .unwrap_or_else(|_| bail!("the experiment did not finish within {} s", TIMEOUT.as_secs()))
    });
    process::kill_all();
    measured
}

async fn measure(name: Name, seed: u64) -> Result<Sheet> {
    let mut sheet = Sheet::open(&name.to_string(), seed);
    match name {
        Name::StreamServer => measure_stream_server(&mut sheet)?,
        Name::ShortBesideLong => short_beside_long::measure(&mut sheet).await?,
        Name::FirstToken => first_token::measure(&mut sheet).await?,
        Name::Zone => zone_change::measure(&mut sheet).await?,
        Name::Shares => share::measure(&mut sheet).await?,
        Name::Overload => overload::measure(&mut sheet).await?,
        Name::Relay => relay::measure(&mut sheet).await?,
        Name::ControlCost => control_cost::measure(&mut sheet).await?,
        Name::Configuration => configuration::measure(&mut sheet).await?,
    }
    Ok(sheet.close())
}

fn measure_stream_server(sheet: &mut Sheet) -> Result<()> {
    for arrival in stream_server::measure_servers(100, Duration::from_millis(20))? {
        let server = match arrival.server {
            stream_server::Server::Oxhttp => "oxhttp",
            stream_server::Server::Hyper => "hyper",
        };
        sheet.add(format!("{server} first byte"), arrival.first_byte_ms, "ms");
        sheet.add(format!("{server} first token"), arrival.first_token_ms, "ms");
        sheet.add(format!("{server} end"), arrival.end_ms, "ms");
        sheet.add(format!("{server} reads"), arrival.reads as f64, "");
    }
    sheet.note("100 tokens, one every 20 ms; no seed is used");
    Ok(())
}

/// The policies that experiments compare, with the product's own first.
pub(crate) const POLICIES: [Policy; 3] = [Policy::Fair, Policy::Fifo, Policy::LeastLoaded];

/// Starts a fleet for a policy. Baselines have stand-ins but no nodes.
pub(crate) async fn start_fleet(options: Options, policy: Policy) -> Result<Fleet> {
    match policy {
        Policy::Fair => Fleet::start(options).await,
        Policy::Fifo | Policy::LeastLoaded => Fleet::start_standins(&options),
    }
}

/// Adds a note that describes the baselines.
pub(crate) fn note_baselines(sheet: &mut Sheet) {
    sheet.note(
        "baselines: sent directly to the engines, which queue first in, first out; fifo: engines \
         round robin; least_loaded: the least loaded by reports polled every 250 ms",
    );
}

/// Sends a workload through the nodes of a fleet, or directly to its engines for a
/// baseline.
pub(crate) async fn send(fleet: &Fleet, policy: Policy, options: &mix::Options) -> Vec<Sample> {
    let route = match policy {
        Policy::Fair => Route::nodes(options.callers, &fleet.entry_addresses()),
        Policy::Fifo | Policy::LeastLoaded => {
            Route::Direct(Direct::spawn(policy, fleet.engine_addresses()))
        }
    };
    run::send_workload(options.clone(), route, fleet.credentials.clone()).await
}

/// Returns the times to first token of samples of the given kind whose intended
/// send time is in `due`.
pub(crate) fn first_token_spread(
    samples: &[Sample],
    kind: Kind,
    due: std::ops::Range<Duration>,
) -> Spread {
    let chosen = samples.iter().filter(|s| s.kind == kind && due.contains(&s.send_at));
    chosen.filter_map(|sample| sample.outcome.first_token).collect()
}

/// Adds the number of requests by outcome, so that lost requests remain visible
/// beside the other figures.
pub(crate) fn add_outcomes(
    sheet: &mut Sheet,
    label: &str,
    options: &mix::Options,
    samples: &[Sample],
) {
    let report = Report::from_samples(options, &[], samples);
    sheet.add(format!("{label}: requests"), report.sent as f64, "");
    for (end, count) in &report.ends {
        sheet.add(format!("{label}: {end}"), *count as f64, "");
    }
    for (reason, count) in &report.refusals {
        let (not_run, unknown) = (count.not_run, count.unknown);
        sheet.note(format!("{label}: refused {reason}: {not_run} not run, {unknown} unknown"));
    }
    for (cause, count) in &report.failures {
        sheet.note(format!("{label}: {cause}: {count}"));
    }
}

/// Returns whether a request got neither a complete answer nor a refusal, although
/// its caller didn't hang up.
pub(crate) fn is_lost(sample: &Sample) -> bool {
    !matches!(sample.outcome.end, End::Whole | End::Refused(_) | End::HungUp)
}
