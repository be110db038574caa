//! The planned stop of a node.
//!
//! In order: peers stop naming this node to callers; its targets go to other
//! owners; it serves on while a caller may still keep an answer that names it
//! and until the last request has ended; then it closes and leaves.

use crate::core::{Core, Stage};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Between two looks at whether requests are still active.
const ACTIVE_POLL_INTERVAL: Duration = Duration::from_millis(20);

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

/// Waits until a planned stop is begun, and carries it out.
pub(crate) async fn run(core: Arc<Core>) {
    let mut stage = core.stage.subscribe();
    if stage.wait_for(|stage| *stage == Stage::Draining).await.is_err() {
        return;
    }
    let keep = core.duration_ms(core.settings.times.entry_keep_ms + core.settings.times.gossip_ms);
    let kept_until = core.now() + keep;
    // With the platform down neither of these gets through: peers learn of the
    // stop by gossip, and owners go on here until the last stream has ended.
    core.member.set_draining().await;
    core.owners.release_all().await;
    tokio::time::sleep_until(kept_until.into()).await;
    while core.active.load(Ordering::Acquire) > 0 {
        tokio::time::sleep(ACTIVE_POLL_INTERVAL).await;
    }
    core.stage.send_replace(Stage::Closed);
    core.member.leave().await;
}
