//! The planned stop of a node.
//!
//! First peers stop naming this node to callers and its targets move to other owners. The node
//! keeps serving while a caller may still have a cached entry answer that names it, and until
//! the last request has ended. Then it closes, waits until callers have received their answers,
//! and deregisters.

use crate::core::{Core, Stage};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Poll interval for active requests.
const ACTIVE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum wait for callers to receive their answers. One that reads slowly but without end must
/// not keep the process running.
const CONNECTIONS_TIMEOUT: Duration = Duration::from_secs(30);

/// Begins a planned stop; only the first call has an effect.
pub(crate) fn begin(core: &Core) {
    core.stage.send_if_modified(|stage| {
        let is_serving = *stage == Stage::Serving;
        if is_serving {
            *stage = Stage::Draining;
        }
        is_serving
    });
}

/// Waits until a planned stop begins, and performs it.
pub(crate) async fn run(core: Arc<Core>) {
    let mut stage = core.stage.subscribe();
    if stage.wait_for(|stage| *stage == Stage::Draining).await.is_err() {
        return;
    }
    let keep = core.duration_ms(core.settings.times.entry_keep_ms + core.settings.times.gossip_ms);
    let entry_expires_at = core.now() + keep;
    // While the platform is unavailable, both calls fail: peers learn of the stop by gossip,
    // and this node remains owner until the last stream has ended.
    core.member.set_draining().await;
    core.owners.release_all().await;
    tokio::time::sleep_until(entry_expires_at.into()).await;
    while core.active.load(Ordering::Acquire) > 0 || !core.unanswered.is_closed() {
        tokio::time::sleep(ACTIVE_POLL_INTERVAL).await;
    }
    core.stage.send_replace(Stage::Closed);
    if tokio::time::timeout(CONNECTIONS_TIMEOUT, core.connections.closed()).await.is_err() {
        log::warn!("stopped before all callers have received their answers");
    }
    core.stage.send_replace(Stage::Ended);
    core.member.deregister().await;
}
