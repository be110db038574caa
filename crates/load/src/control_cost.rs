//! Measures the cost of control traffic per node with 3, 6 and 9 nodes, idle and
//! under load.

use crate::experiment::send;
use crate::fleet::{self, Fleet, Policy};
use crate::mix::{Calls, Class, Length, Options, Part};
use crate::process::Usage;
use crate::sheet::{Goal, Sheet};
use crate::socket::{self, Connection, Traffic};
use eyre::Result;
use std::time::{Duration, Instant};

/// Duration of each measurement.
const MEASURED_TIME: Duration = Duration::from_secs(8);

/// Time until the ownership of targets has stabilized.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Budget per node for control: percentage of a core, memory, network traffic.
const MAX_CORE_PERCENT: f64 = 2.1;
const MAX_MEMORY_MB: f64 = 32.0;
const MAX_BYTES_PER_SECOND: f64 = 5_000.0;

/// Engines per node. The ratio is constant, so that the load on a node doesn't
/// change with the number of nodes.
const ENGINES_PER_NODE: usize = 2;

/// Request rate per node under load, for which the budget is specified.
const REQUESTS_PER_SECOND_PER_NODE: f64 = 34.0;

#[derive(Clone, Debug)]
struct Reading {
    at: Instant,
    usage: Vec<Usage>,
    connections: Vec<Connection>,
    calls: f64,
}

/// Runs the experiment for all fleet sizes.
pub(crate) async fn measure(sheet: &mut Sheet) -> Result<()> {
    for nodes in [3, 6, 9] {
        let engines = nodes * ENGINES_PER_NODE;
        let options = fleet::Options { nodes, engines, ..fleet::Options::default() };
        let fleet = Fleet::start(options).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let before = read_counters(&fleet).await?;
        tokio::time::sleep(MEASURED_TIME).await;
        let after = read_counters(&fleet).await?;
        add_cost(sheet, &fleet, &format!("{nodes} nodes idle"), &before, &after, true);
        let options = plan(sheet.seed, nodes as f64);
        let before = read_counters(&fleet).await?;
        let samples = send(&fleet, Policy::Fair, &options).await;
        let after = read_counters(&fleet).await?;
        let label = format!("{nodes} nodes under load");
        add_cost(sheet, &fleet, &label, &before, &after, false);
        let whole = samples.iter().filter(|s| s.outcome.end == crate::outcome::End::Whole).count();
        sheet.add(format!("{label}: whole of sent"), whole as f64 / samples.len() as f64, "");
    }
    sheet.note("for each node: 2 engines, 34 completions of 1k prompts and 1 order per second");
    sheet.note("bytes: sent and received on connections still open at the end of the measurement");
    sheet.note("with targets under load: not measured, since each stream closes its connection");
    Ok(())
}

fn plan(seed: u64, nodes: f64) -> Options {
    let parts =
        vec![Part::new(Length::Short, Class::Interactive, REQUESTS_PER_SECOND_PER_NODE * nodes)];
    let order = Calls {
        service: "orders".into(),
        path: "/place".into(),
        rate: nodes,
        once: true,
        deadline: Duration::from_secs(5),
    };
    Options { parts, calls: vec![order], ..Options::empty(seed, MEASURED_TIME) }
}

async fn read_counters(fleet: &Fleet) -> Result<Reading> {
    let usage: Vec<_> =
        fleet.nodes.iter().map(|node| node.process.usage()).collect::<Result<_>>()?;
    let connections = socket::read_connections()?;
    let mut calls = 0.0;
    for node in 0..fleet.nodes.len() {
        calls += fleet.read_metric(node, "hickory_platform_calls_total").await?;
    }
    Ok(Reading { at: Instant::now(), usage, connections, calls })
}

/// Adds the means over all nodes, and for memory the maximum.
fn add_cost(
    sheet: &mut Sheet,
    fleet: &Fleet,
    label: &str,
    before: &Reading,
    after: &Reading,
    idle: bool,
) {
    let seconds = (after.at - before.at).as_secs_f64();
    let nodes = after.usage.len() as f64;
    let used = after.usage.iter().zip(&before.usage);
    let cpu: f64 = used.map(|(after, before)| after.cpu_seconds - before.cpu_seconds).sum();
    let percent = cpu / seconds / nodes * 100.0;
    let resident = after.usage.iter().map(|usage| usage.resident).max().unwrap_or(0) as f64 / 1e6;
    let traffic = socket::measure_traffic(fleet, &before.connections, &after.connections);
    let rate = |pick: fn(&Traffic) -> u64| {
        let bytes: u64 = traffic.iter().map(pick).sum();
        bytes as f64 / seconds / nodes
    };
    let name = |what: &str| format!("{label}: {what}");
    let (peers, platform) = (rate(|t| t.peers), rate(|t| t.platform));
    sheet.add(name("bytes with peers a node"), peers, "B/s");
    sheet.add(name("bytes with the platform a node"), platform, "B/s");
    let calls = (after.calls - before.calls) / seconds;
    sheet.add(name("calls to the platform, all nodes"), calls, "1/s");
    if idle {
        sheet.add(name("bytes with targets a node"), rate(|t| t.targets), "B/s");
        let control = peers + platform + rate(|t| t.targets);
        sheet.judge(name("control bytes"), control, "B/s", Goal::AtMost(MAX_BYTES_PER_SECOND));
        sheet.judge(name("processor"), percent, "% of a core", Goal::AtMost(MAX_CORE_PERCENT));
    } else {
        sheet.add(name("processor, with the answers"), percent, "% of a core");
    }
    sheet.judge(name("resident memory, greatest"), resident, "MB", Goal::AtMost(MAX_MEMORY_MB));
}
