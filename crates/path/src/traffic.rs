//! Log lines with a node's control traffic.

use crate::core::{Core, Stage};
use crate::dialect::Dialect;
use crate::supervisor;
use hickory_store::store::Store;
use hickory_telemetry::label::{Datagram, TransferDirection};
use hickory_telemetry::metrics::Metrics;
use hickory_unit::clock::Clock;
use std::sync::Arc;
use std::time::Duration;

/// The interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Starts logging this node's control traffic.
pub(crate) fn spawn<D: Dialect, S: Store, C: Clock>(core: &Arc<Core<D, S, C>>) {
    supervisor::spawn(core, "traffic log", run(core.clone()));
}

async fn run<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    while core.stage() != Stage::Closed {
        tokio::time::sleep(LOG_INTERVAL).await;
        log_totals(&core.metrics, core.count_peers());
    }
}

/// Logs the totals since the start, in bytes except for the calls.
fn log_totals(metrics: &Metrics, peers: usize) {
    let sent = |content| metrics.datagram_bytes(content).0;
    log::info!(
        peers,
        membership = sent(Datagram::Membership),
        members = sent(Datagram::Members),
        placement = sent(Datagram::Placement),
        allocation = sent(Datagram::Allocation),
        revision = sent(Datagram::Revision),
        finding = sent(Datagram::Finding),
        items_sent = metrics.fetch_bytes(TransferDirection::Sent).0,
        items_received = metrics.fetch_bytes(TransferDirection::Received).0,
        platform_calls = metrics.platform_calls();
        "control traffic since the start"
    );
}
