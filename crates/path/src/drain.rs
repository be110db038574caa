//! The planned stop of a node.
//!
//! Callers may cache this node's address, so the node keeps serving after it has announced the
//! stop, and closes each connection after the next response.

use crate::core::{Core, Stage};
use crate::dialect::Dialect;
use crate::refusal::Refusal;
use hickory_policy::refuse::{Ran, Reason};
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// How long a stopping node remains in cached directory responses: three times their maximum age,
/// plus the time until its peers know of the stop.
pub(crate) const CACHED_ADDRESS_LIFETIME: Duration = Duration::from_millis(3_400);

/// The part of the grace period that is reserved for the process to exit by itself before it is
/// killed.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(500);

/// The interval for checking whether the last request has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Begins a planned stop; later calls have no effect.
pub(crate) fn begin<D: Dialect, S: Store, C: Clock>(core: &Arc<Core<D, S, C>>) {
    let has_begun = core.stage.send_if_modified(|stage| {
        let is_serving = *stage == Stage::Serving;
        if is_serving {
            *stage = Stage::Draining;
        }
        is_serving
    });
    if has_begun {
        core.begin_draining();
        log::info!(active = core.active_requests(); "planned stop begun");
        core.update_contact();
        tokio::spawn(finish(core.clone()));
    }
}

async fn finish<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    if let Some(member) = core.member.get().cloned() {
        // The store may be unreachable, and the stop doesn't wait for it.
        tokio::spawn(async move { member.deregister().await });
    }
    let started = core.now();
    let max_drain_time = core.bounds().grace.saturating_sub(SHUTDOWN_RESERVE);
    loop {
        let elapsed = core.now().duration_since(started);
        if elapsed >= max_drain_time
            || (elapsed >= CACHED_ADDRESS_LIFETIME && core.active_requests() == 0)
        {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    log::info!(active = core.active_requests(); "planned stop done");
    core.stage.send_replace(Stage::Closed);
}

/// Runs a part of a request unless the grace period ends first, and the request is then refused.
///
/// # Errors
///
/// Returns the refusal, or that of the request's part.
pub(crate) async fn run_until_closed<D: Dialect, S: Store, C: Clock, T>(
    core: &Core<D, S, C>,
    ran: Ran,
    part: impl Future<Output = Result<T, Refusal>>,
) -> Result<T, Refusal> {
    tokio::select! {
        biased;
        result = part => result,
        () = core.wait_for_stage(Stage::Closed) => {
            core.metrics.count_stop_interruption();
            let refusal = Refusal::new(Reason::Draining, "interrupted by the stop of this node");
            Err(refusal.after_possible_run(ran == Ran::Unknown))
        }
    }
}
