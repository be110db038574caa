//! Measures the time until a release note has taken effect on nine nodes.

use crate::fleet::{self, Fleet};
use crate::sheet::{Goal, Sheet};
use crate::spread::Spread;
use eyre::{Result, ensure};
use hickory_release::configuration::Partner;
use hickory_release::note::Entries;
use hickory_unit::id;
use std::time::{Duration, Instant};

/// Number of release notes, submitted one after the other.
const NOTES: u32 = 30;

/// Pause between two release notes.
const PAUSE: Duration = Duration::from_millis(200);

/// Interval between two reads of a node's configuration version.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Maximum time until a release note has taken effect on all nodes.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Runs the experiment with nine nodes.
pub(crate) async fn measure(sheet: &mut Sheet) -> Result<()> {
    let options = fleet::Options { nodes: 9, engines: 3, ..fleet::Options::default() };
    let fleet = Fleet::start(options).await?;
    let (mut answered, mut everywhere) = (Spread::default(), Spread::default());
    for number in 0..NOTES {
        let share = 0.4 + 0.005 * f64::from(number);
        let partners = [("mawe".into(), Partner { share })].into();
        let start = Instant::now();
        let version =
            fleet.change_configuration(Entries { partners, ..Entries::default() }).await?;
        answered.record(start.elapsed());
        wait_version(&fleet, version).await?;
        everywhere.record(start.elapsed());
        tokio::time::sleep(PAUSE).await;
    }
    sheet.add("note answered p50", answered.quantile_ms(0.50), "ms");
    sheet.add("note answered max", answered.max_ms(), "ms");
    sheet.add("in force on nine nodes p50", everywhere.quantile_ms(0.50), "ms");
    sheet.add("in force on nine nodes p95", everywhere.quantile_ms(0.95), "ms");
    let max = everywhere.max_ms();
    sheet.judge("in force on nine nodes max", max, "ms", Goal::AtMost(1_000.0));
    sheet.note(format!(
        "{NOTES} notes, from reading the current configuration until all nodes report the new one"
    ));
    Ok(())
}

async fn wait_version(fleet: &Fleet, version: id::Release) -> Result<()> {
    let start = Instant::now();
    for node in 0..fleet.nodes.len() {
        while fleet.version(node).await? < version {
            ensure!(
                start.elapsed() < TIMEOUT,
                "node {node} has not applied version {version} within {TIMEOUT:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}
